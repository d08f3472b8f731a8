"""The daemon: wires the layers into an entry instance or a guard."""
