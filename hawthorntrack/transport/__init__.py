"""Sockets: links between processes, HTTP servers and HTTP clients."""
