"""Durations of owner leases and target leases, derived from a deployment's times."""

import math
from typing import NamedTuple

# Between the end of the last run of a silent owner and its caller's next attempt.
CALLER_RETRY_RESERVE_MS = 200
# Allows a target twice the time that it takes to stop a run.
STOP_DURATION_FACTOR = 2
# Longer leases would only delay the next run of a task whose guard is silent.
MAX_OWNER_LEASE_AND_OVERRUN_MS = 1_000
OWNER_LEASE_SHARE = 0.6
MAX_TARGET_LEASE_REQUEST_MS = 750
GUARD_HEARTBEAT_INTERVAL_S = 0.2
# A heartbeat may arrive a whole interval late without ending the owner lease.
MIN_OWNER_LEASE_MS = round(2_000 * GUARD_HEARTBEAT_INTERVAL_S)


class DeploymentTimes(NamedTuple):
    """Times that the deployment gives, in milliseconds.

    Attributes
    ----------
    caller_retry_ms : float
        Time after which a caller whose connection broke submits its job again.
    max_target_lease_ms : float
        Longest lease that a target grants, on its own clock.
    stop_ms : float
        Time that a target takes at most to stop a run.
    """

    caller_retry_ms: float = 1_300
    max_target_lease_ms: float = 1_000
    stop_ms: float = 50


class LeaseTimes(NamedTuple):
    """Durations of leases and of a stop, in seconds.

    Attributes
    ----------
    owner_lease_s : float
        Duration of an owner lease, from the guard heartbeat that it is based on.
    owner_lease_overrun_s : float
        Time by which a target lease may end after the owner lease.
    target_lease_s : float
        Duration of a target lease, unless an owner lease limits it.
    max_target_lease_s : float
        Longest lease that a target grants, on its own clock.
    stop_duration_s : float
        Time until a run has certainly stopped after its stop or its lease's expiry.
    """

    owner_lease_s: float
    owner_lease_overrun_s: float
    target_lease_s: float
    max_target_lease_s: float
    stop_duration_s: float


def derive_lease_times(given: DeploymentTimes) -> LeaseTimes:
    """Return lease times under which runs have ended before a caller tries again.

    Explanation
    -----------
    Owner lease, overrun, stop and reserve together take at most the time until a
    caller's next attempt. A target lease fits into owner lease and overrun even if the
    guard heartbeat that the owner lease is based on is one interval old.

    Examples
    --------
    >>> derive_lease_times(DeploymentTimes())
    LeaseTimes(owner_lease_s=0.6, owner_lease_overrun_s=0.4, target_lease_s=0.75, \
max_target_lease_s=1.0, stop_duration_s=0.1)
    >>> derive_lease_times(DeploymentTimes(caller_retry_ms=1_100))[:3]
    (0.48, 0.32, 0.6)
    """
    stop_duration_ms = STOP_DURATION_FACTOR * given.stop_ms
    available_ms = given.caller_retry_ms - CALLER_RETRY_RESERVE_MS - stop_duration_ms
    lease_and_overrun_ms = min(MAX_OWNER_LEASE_AND_OVERRUN_MS, math.floor(available_ms))
    owner_lease_ms = math.floor(OWNER_LEASE_SHARE * lease_and_overrun_ms)
    heartbeat_interval_ms = round(1_000 * GUARD_HEARTBEAT_INTERVAL_S)
    target_lease_ms = min(
        MAX_TARGET_LEASE_REQUEST_MS, lease_and_overrun_ms - heartbeat_interval_ms
    )
    return LeaseTimes(
        owner_lease_ms / 1000,
        (lease_and_overrun_ms - owner_lease_ms) / 1000,
        target_lease_ms / 1000,
        given.max_target_lease_ms / 1000,
        stop_duration_ms / 1000,
    )


def min_caller_retry_ms(stop_ms: float) -> int:
    """Return the shortest time to a caller's next attempt that leases can keep to.

    Explanation
    -----------
    A shorter time leaves less than `MIN_OWNER_LEASE_MS` for the owner lease.

    Examples
    --------
    >>> min_caller_retry_ms(50)
    967
    """
    return math.ceil(
        MIN_OWNER_LEASE_MS / OWNER_LEASE_SHARE
        + CALLER_RETRY_RESERVE_MS
        + STOP_DURATION_FACTOR * stop_ms
    )
