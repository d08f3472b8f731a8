"""Where a process writes its log."""

import sys

import eliot

from hawthorntrack.protocol.logfmt import LineWriter


def begin_log(path: str) -> None:
    """Write events to a file, or to standard error for ``-``."""
    stream = sys.stderr if path == "-" else open(path, "a", buffering=1)
    eliot.add_destinations(LineWriter(stream))
