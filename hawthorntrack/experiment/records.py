"""What a run recorded: every submission, its answer, and every start."""

from typing import Any, NamedTuple


class Submission(NamedTuple):
    """One request of a caller and what came back.

    Attributes
    ----------
    begun_s, spent_s : float
        Seconds from the run's begin, and seconds until the answer.
    status : str
        ``complete``, ``failed``, ``refused``, or ``cut`` where no answer came.
    body : dict
        The answer's body.
    ideal_ms : float
        Run time of the job's longest task on a target of speed 1.
    """

    key: str
    tasks: int
    begun_s: float
    spent_s: float
    status: str
    http_status: int
    body: dict[str, Any]
    ideal_ms: float

    @property
    def ratio(self) -> float:
        """Response time over the ideal."""
        return self.spent_s * 1000 / self.ideal_ms


class ZoneOut(NamedTuple):
    """A zone was out of service between two Unix times, in seconds."""

    zone: str
    since: float
    until: float


class Run(NamedTuple):
    """The record of a whole run.

    Attributes
    ----------
    starts : list of dict
        Starts at the targets: key, index, Unix time, target and zone.
    zones_out : list of ZoneOut
        Closed intervals; a zone still out ends at infinity.
    counters : dict
        Sums over processes of their counters, by name and labels.
    stamps : dict of str to list of int
        Configuration stamps that each process showed, in order of time.
    cpu_s : dict of str to float
        Processor seconds by role.
    """

    submissions: list[Submission]
    starts: list[dict[str, Any]]
    zones_out: list[ZoneOut]
    counters: dict[str, float]
    stamps: dict[str, list[int]]
    cpu_s: dict[str, float]
    notes: dict[str, Any]


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    Examples
    --------
    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
