"""Messages, bodies and codecs; no sockets and no decisions."""
