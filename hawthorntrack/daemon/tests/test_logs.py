"""Writing the log to a pipe must not block the process."""

import os

from hawthorntrack.daemon.logs import PipeWriter
from hawthorntrack.state.metrics import LOG_LINES_DROPPED


def test_line_is_dropped_and_counted_when_the_pipe_is_full():
    reader, writer = os.pipe()
    destination = PipeWriter(writer)
    dropped = LOG_LINES_DROPPED.labels(event="no_room_in_pipe")
    before = dropped._value.get()
    event = {"message_type": "job:taken", "job": "k", "pad": "x" * 3_000}
    for _ in range(100):
        destination(event)
    assert dropped._value.get() > before
    assert os.read(reader, 30).startswith(b"ts=")
    os.close(reader)
    destination(event)
    os.close(writer)


def test_line_is_written_in_full():
    reader, writer = os.pipe()
    PipeWriter(writer)({"message_type": "job:taken", "job": "k", "timestamp": 1})
    assert os.read(reader, 100) == b"ts=1.000 event=job:taken job=k\n"
