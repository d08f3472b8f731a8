"""The tasks that own sockets."""
