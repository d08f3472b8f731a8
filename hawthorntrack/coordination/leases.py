"""Computes the ends of target leases and of owner leases, and fencing tokens.

A target lease covers all runs on a target, and only the guard beside the target renews
it. An owner lease is the time for which a guard keeps an entry instance's runs without
a new confirmation. A guard that has lost contact with the owner of a run therefore
stops the run itself, before the caller's next attempt elsewhere.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hawthorntrack.state.lease_times import LeaseTimes

# Covers targets' clocks, which run up to 2% slow.
MAX_CLOCK_DRIFT_FACTOR = 1.03
# An owner whose link broke has this time to reconnect before its runs are stopped.
RECONNECT_GRACE_S = 0.25
FIRST_TOKEN_STEP = 1_000


class TargetClockReading(NamedTuple):
    """A reading of a target's clock.

    Attributes
    ----------
    clock_ms : int
        The target's time when it answered, in milliseconds.
    read_at : float
        The guard's time when the answer arrived, in seconds. The reading was taken
        earlier, so at that time the target's clock showed at least `clock_ms`.
    """

    clock_ms: int
    read_at: float


def to_target_clock_ms(clock: TargetClockReading, at: float) -> int:
    """Convert a time of the guard's clock to the clock of a target that runs slow.

    Parameters
    ----------
    clock : TargetClockReading
        A reading of the target's clock.
    at : float
        Time of the guard's clock in seconds.

    Returns
    -------
    int
        Time of the target's clock in milliseconds, at the largest drift allowed.

    Examples
    --------
    >>> to_target_clock_ms(TargetClockReading(50_000, 10.0), 11.4)
    51359
    """
    return clock.clock_ms + int((at - clock.read_at) / MAX_CLOCK_DRIFT_FACTOR * 1000)


def target_lease_end(
    times: LeaseTimes, now: float, owner_lease_ends: Iterable[float]
) -> float:
    """Return the end of a target lease, limited by the leases of the runs' owners.

    Examples
    --------
    >>> from hawthorntrack.state.lease_times import DeploymentTimes, derive_lease_times
    >>> times = derive_lease_times(DeploymentTimes())
    >>> target_lease_end(times, 10.0, [10.6])
    10.75
    >>> target_lease_end(times, 10.0, [10.6, 10.25])
    10.65
    """
    return min(
        [
            now + times.target_lease_s,
            *(end + times.owner_lease_overrun_s for end in owner_lease_ends),
        ]
    )


def overruns_owner_lease(
    times: LeaseTimes, lease_end: float, owner_lease_end: float
) -> bool:
    """Return whether a target lease ends too long after an owner lease."""
    return lease_end > owner_lease_end + times.owner_lease_overrun_s


def latest_lease_end(times: LeaseTimes, now: float) -> float:
    """Return the latest end of a lease granted by now, whatever end was requested."""
    return now + times.max_target_lease_s * MAX_CLOCK_DRIFT_FACTOR


def runs_stopped_by(times: LeaseTimes, lease_end: float) -> float:
    """Return when all runs under a lease have been stopped by its expiry."""
    return lease_end + times.stop_duration_s


def runs_gone_by(times: LeaseTimes, last_heartbeat_at: float) -> float:
    """Return the time by which an owner's runs at a silent guard have certainly ended.

    Explanation
    -----------
    The owner confirms its lease with timestamps from guard heartbeats only, so the
    owner lease ends at most `owner_lease_s` after the newest heartbeat that the owner
    has received. No target lease ends more than `owner_lease_overrun_s` after that,
    even if the guard is suspended or its stop orders are lost.
    """
    lease_and_overrun_s = times.owner_lease_s + times.owner_lease_overrun_s
    return runs_stopped_by(times, last_heartbeat_at + lease_and_overrun_s)


def owner_lease_end(times: LeaseTimes, guard_clock_ms: int, now: float) -> float:
    """Return when an owner lease ends, given the guard timestamp that it is based on.

    Explanation
    -----------
    The guard's clock restarts from zero when the machine loses power. A timestamp ahead
    of the clock was issued before that and grants no lease.

    Parameters
    ----------
    times : LeaseTimes
        Durations of leases.
    guard_clock_ms : int
        Timestamp from a guard heartbeat, in milliseconds of the guard's clock.
    now : float
        Current time of the guard's clock in seconds.

    Examples
    --------
    >>> from hawthorntrack.state.lease_times import DeploymentTimes, derive_lease_times
    >>> times = derive_lease_times(DeploymentTimes())
    >>> owner_lease_end(times, 9_900, 10.0), owner_lease_end(times, 64_564_000, 10.0)
    (10.5, 0.0)
    """
    ahead = guard_clock_ms > round(now * 1000)
    return 0.0 if ahead else guard_clock_ms / 1000 + times.owner_lease_s


def expired_owners(owner_lease_ends: Mapping[str, float], now: float) -> set[str]:
    """Return the owners whose lease has expired."""
    return {owner for owner, lease_end in owner_lease_ends.items() if lease_end <= now}


def next_token(token: int, refusals: int) -> int:
    """Return a higher fencing token after a number of consecutive refusals.

    Explanation
    -----------
    The first token of a guard process is the time of day, which may have been set back
    since the previous process. Only the target remembers the highest token. Steps that
    double overtake it after a few orders, without access to the store.

    Examples
    --------
    >>> next_token(5_000, 1), next_token(5_000, 4)
    (6000, 13000)
    """
    return token + FIRST_TOKEN_STEP * 2 ** (refusals - 1)
