"""Destinations of a process's log: a file, standard error or a pipe."""

import os
import sys
from typing import Any

import eliot

from hawthorntrack.protocol.logfmt import LineWriter, render
from hawthorntrack.state.metrics import LOG_LINES_DROPPED

# Writes of up to 4,096 bytes to a pipe are atomic: all of a line is written, or none.
LINE_MAX_BYTES = 4_000


class PipeWriter:
    """Eliot destination that writes log lines to a pipe without blocking.

    Explanation
    -----------
    A line that does not fit into the pipe's buffer is dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)

    def __call__(self, event: dict[str, Any]) -> None:
        line = render(event).encode()[:LINE_MAX_BYTES] + b"\n"
        try:
            os.write(self.descriptor, line)
        except OSError:
            LOG_LINES_DROPPED.labels(event="no_room_in_pipe").inc()


def start_file_log(path: str) -> None:
    """Log events to a file, or to standard error if the path is ``-``."""
    stream = sys.stderr if path == "-" else open(path, "a", buffering=1)
    eliot.add_destinations(LineWriter(stream))


def start_pipe_log() -> None:
    """Log events to standard output without blocking on its reader."""
    eliot.add_destinations(PipeWriter(sys.stdout.fileno()))
