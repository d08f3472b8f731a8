"""Where a process writes its log."""

import os
import sys
from typing import Any

import eliot

from hawthorntrack.protocol.logfmt import LineWriter, render
from hawthorntrack.state.metrics import LOG_LINES_DROPPED

LINE_MAX_BYTES = 4_000  # written whole or not at all, below a pipe's atomic 4,096


class PipeWriter:
    """An eliot destination that never waits for its reader.

    Explanation
    -----------
    A line for which the pipe has no room is dropped and counted.

    Parameters
    ----------
    descriptor : int
        What to write to; it is made non-blocking.
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
    """Write events to a file, or to standard error for ``-``."""
    stream = sys.stderr if path == "-" else open(path, "a", buffering=1)
    eliot.add_destinations(LineWriter(stream))


def start_pipe_log() -> None:
    """Write events to standard output without ever waiting for its reader."""
    eliot.add_destinations(PipeWriter(sys.stdout.fileno()))
