"""A clock that counts time in which the machine was suspended."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def seconds_since_boot() -> float:
    """Return seconds since boot, suspended time included.

    Explanation
    -----------
    The loop's clock stands still while a machine is suspended. Promises to peers
    go on ageing, so they are held against this one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
