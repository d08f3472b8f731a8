"""Base class of the lease holder: when the runs on the target are expected to end."""

from collections.abc import Iterator

from hawthorntrack.coordination.run_controller import RunController
from hawthorntrack.coordination.run_reconciler import SLOWNESS_SAMPLING_PAUSE_S
from hawthorntrack.coordination.scheduling.estimates import (
    OVERDUE_S,
    RunProgress,
    RunTimeRatios,
    expected_end,
)
from hawthorntrack.coordination.scheduling.lookahead import ExpectedEnd, RoomView
from hawthorntrack.coordination.target_session import STOPPING, Run, TargetSession
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.resources import Resources


class RunEstimates(RunController):
    """Learns how declared run times differ from measured ones, by queue.

    Parameters
    ----------
    calls, target_record, clock, first_token, lease_times, awake_clock
        As for `RunController`.

    Attributes
    ----------
    ratios : RunTimeRatios
        What was learned since this guard started.
    """

    def __init__(
        self,
        calls: Mailbox,
        target_record: Mailbox,
        clock: Clock,
        first_token: int,
        lease_times: LeaseTimes,
        awake_clock: Clock,
    ) -> None:
        super().__init__(
            calls, target_record, clock, first_token, lease_times, awake_clock
        )
        self.ratios = RunTimeRatios()

    def update_slowness(self, session: TargetSession, run: Run, now: float) -> None:
        """Learn from a run that ended, before it changes the target's slowness."""
        if now >= session.lost_answer_at + SLOWNESS_SAMPLING_PAUSE_S:
            declared_s = run.order.estimate_ms / 1000
            self.ratios.learn(
                run.queue, now - run.started_at, declared_s, self.slowness
            )
        super().update_slowness(session, run, now)

    def room_view(
        self, session: TargetSession, reserved: Resources, now: float
    ) -> RoomView:
        """Return the capacity that is free now, less a reserved part, and soon."""
        free = session.offered.minus(reserved)
        if session.isolated_job:
            return RoomView(free)
        return RoomView(free, tuple(self.expected_ends(session, now)))

    def expected_ends(
        self, session: TargetSession, now: float
    ) -> Iterator[ExpectedEnd]:
        """Yield the expected ends of the runs on a target."""
        for run in session.runs.values():
            at = now + OVERDUE_S
            if run.phase != STOPPING:
                progress = RunProgress(
                    run.started_at,
                    run.order.estimate_ms / 1000,
                    run.percent,
                    run.last_change_at,
                )
                ratio = self.ratios.of(run.queue)
                at = expected_end(progress, self.slowness, ratio, now)
            yield ExpectedEnd(at, run.order.need)

    def upper_ratio(self, queue: str) -> float:
        """Return the upper side of the ratio that was learned for a queue."""
        return self.ratios.of(queue).upper
