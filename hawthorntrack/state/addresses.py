"""Addresses, ``host:port``."""

import re

HOST = re.compile(r"\[[0-9A-Fa-f:.]+\]|(?:[\w-]{1,63}\.)*[\w-]{1,63}", re.ASCII)
HOST_MAX_CHARS = 253  # of a name in the DNS
PORT = re.compile(r"[0-9]{1,5}")
LAST_PORT = 65_535


def split_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If there is no host, or no port that can be connected to.

    Examples
    --------
    >>> split_address("10.128.0.9:8080")
    ('10.128.0.9', 8080)
    """
    host, _, port = text.rpartition(":")
    named = len(host) <= HOST_MAX_CHARS and HOST.fullmatch(host)
    if not (named and PORT.fullmatch(port) and 0 < int(port) <= LAST_PORT):
        raise ValueError(f"{text[:100]!r} is no address")
    return host, int(port)
