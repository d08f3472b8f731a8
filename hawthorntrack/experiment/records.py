"""Records of a run: submissions with their answers, task starts and counters."""

from typing import Any, NamedTuple


class Submission(NamedTuple):
    """A submission by a caller, and its answer.

    Attributes
    ----------
    started_s, duration_s : float
        Seconds from the start of the run to the request, and from there to the
        answer.
    status : str
        ``complete``, ``failed``, ``refused``, or ``cut`` if no answer was received.
    body : dict
        The body of the answer, or the error if no answer was received.
    ideal_ms : float
        Run time of the job's longest task on a target of speed 1.
    """

    key: str
    tasks: int
    started_s: float
    duration_s: float
    status: str
    http_status: int
    body: dict[str, Any]
    ideal_ms: float

    @property
    def ratio(self) -> float:
        """Response time divided by the ideal run time."""
        return self.duration_s * 1000 / self.ideal_ms


class ZoneOut(NamedTuple):
    """A period, in Unix seconds, during which a zone was out of service."""

    zone: str
    since: float
    until: float


class Run(NamedTuple):
    """The record of a run.

    Attributes
    ----------
    starts : list of dict
        Task starts recorded by the targets: key, index, Unix time, target and zone.
    zones_out : list of ZoneOut
        Outages of zones; one that has not ended has `until` at infinity.
    counters : dict
        Counters summed over processes, by role, name and labels.
    stamps : dict of str to list of int
        Configuration stamps that each process reported, in order of time.
    cpu_s : dict of str to float
        Processor seconds spent, by role.
    notes : dict
        Exit codes of processes, and whether a target was killed.
    """

    submissions: list[Submission]
    starts: list[dict[str, Any]]
    zones_out: list[ZoneOut]
    counters: dict[str, float]
    stamps: dict[str, list[int]]
    cpu_s: dict[str, float]
    notes: dict[str, Any]


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of values at a share from 0 to 1, or NaN without values.

    Examples
    --------
    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
