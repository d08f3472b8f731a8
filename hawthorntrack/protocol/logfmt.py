"""Formats log events as single lines of key=value pairs."""

import json
from typing import Any, TextIO

OMITTED = {"task_uuid", "task_level", "message_type", "timestamp"}
# A value with one of these characters, or with one that is not printable, is quoted.
QUOTED = ' ="\\'


def render_value(value: Any) -> str:
    """Return the text of a value in a log line, quoted if necessary.

    Examples
    --------
    >>> render_value("plain"), render_value("two words")
    ('plain', '"two words"')
    """
    text = value if isinstance(value, str) else str(value)
    needs_quotes = not text or not text.isprintable() or any(c in text for c in QUOTED)
    return json.dumps(text) if needs_quotes else text


def render(event: dict[str, Any]) -> str:
    """Return the log line of one eliot message.

    Examples
    --------
    >>> render({"timestamp": 1.5, "message_type": "job:admitted", "job": "k 1"})
    'ts=1.500 event=job:admitted job="k 1"'
    """
    name = event.get("message_type") or event.get("action_type", "event")
    pairs = [("ts", f"{event.get('timestamp', 0):.3f}"), ("event", name)]
    pairs += [(key, event[key]) for key in event if key not in OMITTED]
    return " ".join(
        f"{render_value(key)}={render_value(value)}" for key, value in pairs
    )


class LineWriter:
    """An eliot destination that writes one line per event."""

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream

    def __call__(self, event: dict[str, Any]) -> None:
        self.stream.write(render(event) + "\n")
        self.stream.flush()
