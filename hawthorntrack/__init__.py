"""A dispatcher for sub-second tasks.

Layers, lowest first: `state` (value types and a process's local state), `protocol`
(messages and codecs), `coordination` (decisions and the tasks that act on them) and
`transport` (the tasks that own sockets). `daemon` and `cli` wire them together.
"""

__version__ = "0.1.0"
__all__ = ["__version__"]
