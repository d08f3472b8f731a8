"""A dispatcher for sub-second tasks.

Layers, lowest first: `state` (what a process knows), `protocol` (messages and
codecs), `coordination` (decisions and the tasks that act on them) and `transport`
(the tasks that own sockets). `daemon` and `cli` wire them together.
"""

__version__ = "0.1.0"
__all__ = ["__version__"]
