"""Monotonic clocks with and without the time in which the machine is suspended."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def seconds_since_boot() -> float:
    """Return the seconds since boot, including suspended time.

    Explanation
    -----------
    The event loop's clock does not advance while the machine is suspended, but leases
    and other time limits agreed with peers continue to run. They are therefore
    measured on this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def seconds_awake() -> float:
    """Return the seconds since boot, without suspended time."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)
