"""Expected ends of runs, from their progress or from learned run time ratios.

Load pattern: declared run times are wrong by up to 40%, and look-ahead that trusts them
keeps capacity free for tasks that cannot start yet.
"""

from typing import NamedTuple

from hawthorntrack.protocol.run_messages import MAX_DEMANDS

# Progress is a whole percentage, rounded down; below this value the rounding makes the
# expected end wrong by more than a declared run time is.
MIN_PROGRESS_PERCENT = 10
# Weight of the newest run in the moving averages: some ten runs outweigh older ones.
RATIO_WEIGHT = 0.1
# Declared run times are wrong by up to 40%; assumed until runs have been measured.
INITIAL_RATIO_DEVIATION = 0.4
# A run that hung for a while must not dominate the average of its queue.
MAX_RATIO = 20.0
# A run past its expected end counts as ending this much later than now.
OVERDUE_S = 0.05


class RunTimeRatio(NamedTuple):
    """Ratio of measured run time to declared run time times the target's slowness.

    Attributes
    ----------
    mean : float
        Moving average of the ratio.
    deviation : float
        Moving average of its distance from the mean.
    """

    mean: float = 1.0
    deviation: float = INITIAL_RATIO_DEVIATION

    @property
    def upper(self) -> float:
        """Return the upper side of the ratio, by one mean deviation."""
        return self.mean + self.deviation


UNMEASURED = RunTimeRatio()


def after_run(ratio: RunTimeRatio, measured: float) -> RunTimeRatio:
    """Return the averages after the ratio of one more run."""
    distance = min(MAX_RATIO, measured) - ratio.mean
    return RunTimeRatio(
        ratio.mean + RATIO_WEIGHT * distance,
        ratio.deviation + RATIO_WEIGHT * (abs(distance) - ratio.deviation),
    )


class RunTimeRatios:
    """Run time ratios of the queues whose tasks a target runs.

    Examples
    --------
    >>> ratios = RunTimeRatios()
    >>> ratios.learn("checks", measured_s=0.8, declared_s=0.5, slowness=0.8)
    >>> round(ratios.of("checks").mean, 6)
    1.1
    """

    def __init__(self) -> None:
        self.by_queue: dict[str, RunTimeRatio] = {}

    def of(self, queue: str) -> RunTimeRatio:
        """Return the ratio of a queue."""
        return self.by_queue.get(queue, UNMEASURED)

    def learn(
        self, queue: str, measured_s: float, declared_s: float, slowness: float
    ) -> None:
        """Add a run that ended; of too many queues, the one learned first is removed.

        Parameters
        ----------
        slowness : float
            Slowness of the target; 0 if it is not measured.
        """
        expected_s = declared_s * (slowness or 1.0)
        if expected_s <= 0 or measured_s < 0:
            return
        self.by_queue[queue] = after_run(self.of(queue), measured_s / expected_s)
        if len(self.by_queue) > MAX_DEMANDS:
            del self.by_queue[next(iter(self.by_queue))]


class RunProgress(NamedTuple):
    """What a guard knows of a run in progress.

    Attributes
    ----------
    started_at : float
        Time of its start, in seconds.
    declared_s : float
        Its declared run time.
    percent : int
        Progress that the target listed last.
    percent_at : float
        Time at which the target first listed this progress, in seconds.
    """

    started_at: float
    declared_s: float
    percent: int = 0
    percent_at: float = 0.0


def run_time_factor(slowness: float, ratio: RunTimeRatio) -> float:
    """Return the upper side of the run time on a target over the declared run time."""
    return (slowness or 1.0) * ratio.upper


def expected_end(
    run: RunProgress, slowness: float, ratio: RunTimeRatio, now: float
) -> float:
    """Return the time at which a run is expected to end, on the upper side.

    Parameters
    ----------
    slowness : float
        Slowness of the target; 0 if it is not measured.
    ratio : RunTimeRatio
        Ratio of the run's queue.
    now : float
        Current time in seconds.

    Examples
    --------
    >>> run = RunProgress(started_at=10.0, declared_s=1.0)
    >>> expected_end(run, 0.5, RunTimeRatio(1.0, 0.5), 10.25)
    10.75
    >>> listed = run._replace(percent=25, percent_at=10.125)
    >>> expected_end(listed, 0.5, RunTimeRatio(1.0, 0.5), 10.25)
    10.5
    >>> expected_end(listed, 0.5, RunTimeRatio(1.0, 0.5), 10.5)
    10.55
    """
    if run.percent >= MIN_PROGRESS_PERCENT:
        duration_s = (run.percent_at - run.started_at) * 100 / run.percent
    else:
        duration_s = run.declared_s * run_time_factor(slowness, ratio)
    at = run.started_at + duration_s
    return at if at > now else now + OVERDUE_S
