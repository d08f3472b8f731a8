"""Base class of the dispatcher: lets tasks wait for a better target than a free one.

Load pattern: targets of uneven speed, of which the fast ones are full for a moment.
"""

from collections.abc import Callable, Iterable
from typing import Any

from hawthorntrack.coordination.job_progress import Job, Task
from hawthorntrack.coordination.run_placement import RunPlacement
from hawthorntrack.coordination.scheduling.placement_pass import PlacementPass
from hawthorntrack.coordination.scheduling.speeds import KindSpeeds
from hawthorntrack.coordination.target_selection import (
    LookAhead,
    TargetCandidate,
    look_ahead_for,
    paths_after_s,
)
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import AWAITED_TARGETS, labelled
from hawthorntrack.state.plans import TaskName


class LookAheadPlacement(RunPlacement):
    """Places tasks with regard to the capacity that is expected to be free soon.

    Explanation
    -----------
    Without `share_room` guards do not report that capacity, and it adds nothing to
    `RunPlacement`.

    Parameters
    ----------
    zone, far_factor, send, links, clock, lease_times, working_set, share_room
        As for `RunPlacement`.

    Attributes
    ----------
    speeds : KindSpeeds
        Slowness by kind of target.
    awaiting : set of TaskName
        Tasks that waited for a better target in the last placement.
    """

    def __init__(
        self,
        zone: str,
        far_factor: float,
        send: Callable[[str, Any], None],
        links: Mailbox,
        clock: Clock,
        lease_times: LeaseTimes,
        working_set: WorkingSet,
        share_room: bool,
    ) -> None:
        super().__init__(
            zone, far_factor, send, links, clock, lease_times, working_set, share_room
        )
        self.speeds = KindSpeeds()
        self.awaiting: set[TaskName] = set()
        self.awaited_before: set[TaskName] = set()

    def new_pass(self, candidates: Iterable[TargetCandidate]) -> PlacementPass:
        """Return a placement pass over targets."""
        if not self.share_room:
            return super().new_pass(candidates)
        self.awaited_before, self.awaiting = self.awaiting, set()
        return PlacementPass(candidates, self.zone, self.far_factor, self.speeds)

    def placement_order(self, tasks: list[Task]) -> list[Task]:
        """Return tasks of one job with the longest first, which decides its answer."""
        if not self.share_room:
            return tasks
        return sorted(tasks, key=lambda task: -task.step.estimate_s)

    def look_ahead(self, job: Job, task: Task, now: float) -> LookAhead | None:
        """Return how long a task may wait for a better target than the free ones."""
        if not self.share_room:
            return None
        return look_ahead_for(
            job.queue.name,
            job.begun,
            job.placement_deadline_at - now,
            job.arrived + job.objective - now,
            paths_after_s(job.plan.steps)[task.name.step],
        )

    def note_awaited_target(self, job: Job, task: Task) -> None:
        """Record that a task waits although a target has room for it."""
        self.awaiting.add(task.name)
        if task.name not in self.awaited_before:
            labelled(AWAITED_TARGETS, job.queue.name).inc()
            log_event(
                "task:awaits_target",
                job=job.plan.key,
                task=task.name.position,
                queue=job.queue.name,
                estimate_ms=round(task.step.estimate_s * 1000),
                waited_ms=round((self.clock() - job.arrived) * 1000),
            )

    def place_if_awaiting(self) -> None:
        """Place again if tasks wait for a better target: they may not wait for long."""
        self.placement_pending |= bool(self.awaiting and self.waiting_jobs)
