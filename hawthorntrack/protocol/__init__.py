"""Messages between tasks and processes, bodies and codecs; no sockets or decisions."""
