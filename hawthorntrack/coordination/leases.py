"""Decisions on leases of a target, and on how long a run's owner is trusted.

A lease covers everything that runs on a target, and only the guard beside it renews
it. So a guard that has lost touch with the owner of a run stops that run itself, in
time for the caller's next attempt elsewhere.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

MAX_TARGET_LEASE_S = 1.0  # what targets grant at most, on their clocks
TARGET_LEASE_S = (
    0.75  # with a pulse 0.2 s old, no longer than trust and OWNER_LEASE_OVERRUN_S
)
MAX_CLOCK_DRIFT_FACTOR = 1.03  # targets' clocks are up to 2% slow
OWNER_LEASE_S = (
    0.6  # three pulses; a caller sends again 1.3 s after a broken connection
)
OWNER_LEASE_OVERRUN_S = (
    0.4  # of a lease beyond trust; both and a stop end within a caller's 1.3 s
)
RECONNECT_GRACE_S = 0.25  # for a broken link to be made anew
MAX_STOP_DURATION_S = 0.1  # twice what a target takes to stop a run
FIRST_TOKEN_STEP = 1_000


class TargetClockReading(NamedTuple):
    """A reading of a target's clock.

    Attributes
    ----------
    clock_ms : int
        What it showed.
    read_at : float
        Our time when the answer arrived, in seconds: a bound from below.
    """

    clock_ms: int
    read_at: float


def to_target_clock_ms(clock: TargetClockReading, at: float) -> int:
    """Return what a target's clock shows at a time of ours, if it is slow.

    Examples
    --------
    >>> to_target_clock_ms(TargetClockReading(50_000, 10.0), 11.4)
    51359
    """
    return clock.clock_ms + int((at - clock.read_at) / MAX_CLOCK_DRIFT_FACTOR * 1000)


def target_lease_end(now: float, owner_lease_ends: Iterable[float]) -> float:
    """Return when a lease should be over that covers runs of owners so trusted.

    Examples
    --------
    >>> target_lease_end(10.0, [10.6]), target_lease_end(10.0, [10.6, 10.25])
    (10.75, 10.65)
    """
    return min(
        [
            now + TARGET_LEASE_S,
            *(end + OWNER_LEASE_OVERRUN_S for end in owner_lease_ends),
        ]
    )


def overruns_owner_lease(lease_end: float, owner_lease_end: float) -> bool:
    """Return whether a lease goes on for too long after the trust in an owner."""
    return lease_end > owner_lease_end + OWNER_LEASE_OVERRUN_S


def latest_lease_end(now: float) -> float:
    """Return when a lease is over that a target granted by now, whatever was asked."""
    return now + MAX_TARGET_LEASE_S * MAX_CLOCK_DRIFT_FACTOR


def runs_stopped_by(lease_end: float) -> float:
    """Return when all runs under a lease have lapsed."""
    return lease_end + MAX_STOP_DURATION_S


def runs_gone_by(last_heartbeat_at: float) -> float:
    """Return when an owner's runs at a silent guard are certainly gone.

    Explanation
    -----------
    The owner vouches for the stamps of pulses only, so the guard's trust ends
    `OWNER_LEASE_S` after the newest pulse the owner has seen. No lease goes on for
    longer
    than `OWNER_LEASE_OVERRUN_S` after it, also if the guard stands still or its stops
    are lost.
    """
    return runs_stopped_by(last_heartbeat_at + OWNER_LEASE_S + OWNER_LEASE_OVERRUN_S)


def owner_lease_end(guard_clock_ms: int, now: float) -> float:
    """Return until when an owner is trusted that returns a stamp of our clock.

    Explanation
    -----------
    The clock begins anew when the machine loses power, so a stamp that is ahead of it
    was given before that and is good for nothing.

    Examples
    --------
    >>> owner_lease_end(9_900, 10.0), owner_lease_end(64_564_000, 10.0)
    (10.5, 0.0)
    """
    ahead = guard_clock_ms > round(now * 1000)
    return 0.0 if ahead else guard_clock_ms / 1000 + OWNER_LEASE_S


def expired_owners(owner_lease_ends: Mapping[str, float], now: float) -> set[str]:
    """Return the owners whose trust has run out."""
    return {owner for owner, lease_end in owner_lease_ends.items() if lease_end <= now}


def next_token(token: int, refusals: int) -> int:
    """Return a higher fencing token after so many refusals in a row.

    Explanation
    -----------
    Tokens begin at the time of day, which may have been set back since the guard's
    last life. The target alone remembers the highest one; doubling steps pass any
    such difference in a few orders, without the store.

    Examples
    --------
    >>> next_token(5_000, 1), next_token(5_000, 4)
    (6000, 13000)
    """
    return token + FIRST_TOKEN_STEP * 2 ** (refusals - 1)
