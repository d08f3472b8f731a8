"""Parses network addresses of the form ``host:port``."""

import re

HOST = re.compile(r"\[[0-9A-Fa-f:.]+\]|(?:[\w-]{1,63}\.)*[\w-]{1,63}", re.ASCII)
HOST_MAX_CHARS = 253  # maximum length of a DNS name
PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535


def split_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If the host is missing or invalid, or the port is not from 1 to 65535.

    Examples
    --------
    >>> split_address("10.128.0.9:8080")
    ('10.128.0.9', 8080)
    """
    host, _, port = text.rpartition(":")
    valid_host = len(host) <= HOST_MAX_CHARS and HOST.fullmatch(host)
    if not (valid_host and PORT.fullmatch(port) and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{text[:100]!r} is not a valid host:port address")
    return host, int(port)
