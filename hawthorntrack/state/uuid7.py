"""Generates UUIDv7 keys and reads the creation time that they contain."""

import os
import uuid

UUID_HEX_DIGITS = 32
VERSION_DIGIT_INDEX = 12


def created_ms(key: str) -> int | None:
    """Return the Unix time in milliseconds of a UUIDv7 key, or None for other keys.

    Examples
    --------
    >>> created_ms("018bcfe5-6800-7000-8000-000000000000")
    1700000000000
    >>> created_ms("reservation-7") is None
    True
    """
    digits = key.replace("-", "")
    if len(digits) != UUID_HEX_DIGITS or digits[VERSION_DIGIT_INDEX] != "7":
        return None
    try:
        return int(digits, 16) >> 80
    except ValueError:
        return None


def new_uuid7(unix_ms: int) -> str:
    """Return a new UUIDv7 for a Unix time in milliseconds.

    Examples
    --------
    >>> created_ms(new_uuid7(1700000000000))
    1700000000000
    """
    random_bits = int.from_bytes(os.urandom(10), "big")
    number = (unix_ms << 80) | random_bits
    number = number & ~(0xF << 76) | (0x7 << 76)
    number = number & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=number))
