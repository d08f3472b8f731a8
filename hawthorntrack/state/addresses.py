"""Parses network addresses of the form ``host:port``."""

import ipaddress
import re

LABEL = r"\w(?:[\w-]{0,61}\w)?"
DNS_NAME = re.compile(rf"(?:{LABEL}\.)*{LABEL}", re.ASCII)
BRACKETED = re.compile(r"\[([0-9A-Fa-f:.]+)\]")
# A name whose last label is a number is an IPv4 address or nothing (RFC 3696).
NUMBER_AT_END = re.compile(r"(?:.*\.)?[0-9]+")
HOST_MAX_CHARS = 253  # maximum length of a DNS name
PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535


def parse_host(text: str) -> str:
    """Return a host as resolvers take it: an IPv6 address without its brackets.

    Raises
    ------
    ValueError
        If the text is neither an IP address nor a DNS name.

    Examples
    --------
    >>> parse_host("[::1]"), parse_host("10.128.0.9"), parse_host("store.example")
    ('::1', '10.128.0.9', 'store.example')
    """
    if bracketed := BRACKETED.fullmatch(text):
        return str(ipaddress.IPv6Address(bracketed[1]))
    if len(text) > HOST_MAX_CHARS or not DNS_NAME.fullmatch(text):
        raise ValueError(f"{text[:100]!r} is not a host name")
    if NUMBER_AT_END.fullmatch(text):
        return str(ipaddress.IPv4Address(text))
    return text


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
    problem = f"{text[:100]!r} is not a valid host:port address"
    if not (PORT.fullmatch(port) and 0 < int(port) <= MAX_PORT):
        raise ValueError(problem)
    try:
        return parse_host(host), int(port)
    except ValueError as error:
        raise ValueError(f"{problem}: {error}") from error
