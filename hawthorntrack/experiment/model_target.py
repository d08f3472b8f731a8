"""A target in simulated time: leases, run numbers, fencing tokens, faults."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from hawthorntrack.protocol.target_messages import (
    RenewLeaseOrder,
    RenewLeaseReply,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
    TargetHeartbeat,
)
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.plans import (
    RunEnd,
    RunName,
    RunStatus,
    TargetIncarnation,
    TargetState,
    TaskName,
)
from hawthorntrack.state.resources import NO_RESOURCES, Resources

CALL_S = 0.0003  # one way between a guard and the target beside it
LONGEST_LEASE_S = 1.0
STOP_TAKES_S = 0.02
BEAT_S = 1.5
LISTED_AT_ONCE = 500
UNANSWERED_S = 0.05


class ModelRun:
    """A run in progress: `done` of `work` seconds as of `at`."""

    def __init__(self, name: RunName, need: Resources, work: float, at: float) -> None:
        self.name = name
        self.need = need
        self.work = work
        self.done = 0.0
        self.at = at
        self.timer: asyncio.TimerHandle | None = None


class ModelTarget:
    """Runs tasks in simulated time and answers a guard's orders.

    Parameters
    ----------
    name : str
        Its id.
    zone : str
        Where it runs.
    capacity : Resources
        What it has.
    slowness : float
        Run time over the work that a payload declares.
    rng : random.Random
        Source of chance for faults.
    on_start, on_end : callable
        Told of each run that begins and ends: the checks of an experiment.

    Attributes
    ----------
    fault : str
        ``""``, ``errors`` (runs fail), ``hang`` (runs stand still), ``shed``
        (starts are turned away), ``mute`` (nothing is answered), ``late`` (a share
        of the orders is carried out seconds later) or ``lost`` (of the starts,
        only the answer is lost).
    """

    def __init__(
        self,
        name: str,
        zone: str,
        capacity: Resources,
        slowness: float,
        rng: random.Random,
        on_start: Callable[["ModelTarget", RunName], None],
        on_end: Callable[["ModelTarget", RunName, str], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.slowness = slowness
        self.rng = rng
        self.on_start = on_start
        self.on_end = on_end
        self.needs: dict[str, Resources] = {}
        self.fault = ""
        self.fault_share = 1.0
        self.draining = False
        self.replies: Mailbox | None = None
        self.births = 0
        self.be_born()

    def be_born(self) -> None:
        """Begin a life that knows nothing of the one before."""
        for run in getattr(self, "runs", {}).values():
            if run.timer is not None:
                run.timer.cancel()
            self.on_end(self, run.name, "crashed")
        self.births += 1
        self.incarnation = TargetIncarnation(self.name, self.births)
        self.born_at = self.time()
        self.runs: dict[TaskName, ModelRun] = {}
        self.spent: dict[TaskName, int] = {}
        self.ends: list[RunEnd] = []
        self.end_count = 0
        self.token = 0
        self.lease_end_ms = 0
        self.lease_timer: asyncio.TimerHandle | None = None
        self.sequence = 0
        for _, timer in getattr(self, "waiters", []):
            timer.cancel()
        self.waiters: list[tuple[RenewLeaseOrder, asyncio.TimerHandle]] = []

    def time(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def clock_ms(self) -> int:
        """Return the target's own clock."""
        return round((self.time() - self.born_at) * 1000)

    # The guard's side of the calls

    def put(self, order: Any) -> None:
        """Take an order as the mailbox of the target's client would."""
        if self.fault == "mute":
            timeout_s = UNANSWERED_S + getattr(order, "wait_s", 0.0)
            self.answer(order, "unanswered", timeout_s)
            return
        if self.fault == "late" and self.rng.random() < self.fault_share:
            self.later(self.rng.uniform(2, 6), self.carry_out, order, False)
            self.answer(
                order, "unanswered", UNANSWERED_S + getattr(order, "wait_s", 0.0)
            )
            return
        self.later(CALL_S, self.carry_out, order, True)

    def carry_out(self, order: Any, answered: bool) -> None:
        """Do what an order says, and answer it if anybody waits.

        Explanation
        -----------
        Orders name a target by its id only, so a later life carries out what was sent
        to an earlier one.
        """
        if order.target.incarnation.id != self.name:
            if answered:
                self.answer(order, "other_life")
            return
        if order.token < self.token:
            if answered:
                self.answer(order, "fenced")
            return
        self.token = order.token
        if isinstance(order, RenewLeaseOrder):
            self.hold(order, answered)
            return
        if isinstance(order, StopOrder):
            self.stop(order)
            outcome = "stopped"
        else:
            outcome = self.start(order)
            lost = self.fault == "lost" and self.rng.random() < self.fault_share
            if lost and outcome == "started":
                self.answer(order, "unanswered", 0.05)
                return
        if answered:
            self.answer(order, outcome)

    def answer(self, order: Any, outcome: str, after_s: float = CALL_S) -> None:
        """Send a reply to the guard."""
        kinds = {
            StartOrder: StartReply,
            StopOrder: StopReply,
            RenewLeaseOrder: RenewLeaseReply,
        }
        clock_ms = 0 if outcome in ("unanswered", "other_life") else self.clock_ms()
        reply = kinds[type(order)](order, outcome, clock_ms)
        self.later(after_s, self.replies.put, reply)

    def later(self, delay_s: float, act: Callable, *args: Any) -> asyncio.TimerHandle:
        """Act after a while."""
        return asyncio.get_running_loop().call_later(delay_s, act, *args)

    # Orders

    def start(self, order: StartOrder) -> str:
        """Begin a run unless something speaks against it."""
        name = order.name
        if self.fault == "shed":
            return "unwell"
        if order.lease_end_ms <= self.clock_ms():
            return "late"
        self.renew(order.lease_end_ms)
        if name.run <= self.spent.get(name.task, 0):
            return "old_run"
        known = self.runs.get(name.task)
        if known is not None:
            return "started" if known.name == name else "old_run"
        need = self.needs.get(name.task.job, NO_RESOURCES)
        free = self.capacity
        for run in self.runs.values():
            free = free.minus(run.need)
        if not need.fits_in(free):
            return "no_room"
        run = ModelRun(name, need, float(order.payload or 0), self.time())
        self.runs[name.task] = run
        self.on_start(self, name)
        if self.fault == "errors" and self.rng.random() < self.fault_share:
            run.timer = self.later(0.005, self.finish, run, "failed")
        elif self.fault != "hang":
            self.schedule(run)
        return "started"

    def schedule(self, run: ModelRun) -> None:
        """Have a run end when its work is done at the present speed."""
        left_s = (run.work - run.done) * self.slowness
        run.timer = self.later(max(0.0, left_s), self.finish, run, "done")

    def change_speed(self, slowness: float) -> None:
        """Work faster or slower from now on."""
        now = self.time()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
                run.done += (now - run.at) / self.slowness
                run.at = now
        self.slowness = slowness
        for run in self.runs.values():
            if run.timer is not None:
                self.schedule(run)

    def stop(self, order: StopOrder) -> None:
        """Stop a run, or see that it never begins."""
        task = order.name.task
        self.spent[task] = max(self.spent.get(task, 0), order.name.run)
        run = self.runs.get(task)
        if run is not None and run.name == order.name:
            self.later(STOP_TAKES_S, self.finish, run, "stopped")

    def renew(self, lease_end_ms: int) -> None:
        """Extend the lease on everything that runs."""
        limit = self.clock_ms() + round(LONGEST_LEASE_S * 1000)
        self.lease_end_ms = max(self.lease_end_ms, min(lease_end_ms, limit))
        if self.lease_timer is None:
            self.lease_timer = self.later(0.0, self.check_lease)

    def check_lease(self) -> None:
        """End everything once the lease is over."""
        left_s = (self.lease_end_ms - self.clock_ms()) / 1000
        self.lease_timer = None
        if left_s <= 0:
            for run in list(self.runs.values()):
                self.finish(run, "lapsed")
        elif self.runs:
            self.lease_timer = self.later(left_s, self.check_lease)

    def finish(self, run: ModelRun, how: str) -> None:
        """List the end of a run."""
        if self.runs.get(run.name.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.runs[run.name.task]
        self.spent[run.name.task] = max(run.name.run, self.spent.get(run.name.task, 0))
        self.end_count += 1
        self.ends.append(RunEnd(self.end_count, run.name, how))
        self.on_end(self, run.name, how)
        waiters, self.waiters = self.waiters, []
        for order, timer in waiters:
            timer.cancel()
            self.tell_lists(order)

    def hold(self, order: RenewLeaseOrder, answered: bool) -> None:
        """Renew the lease, and list the runs now or at the next end."""
        if order.lease_end_ms is not None:
            self.renew(order.lease_end_ms)
        self.ends = [end for end in self.ends if end.number > order.ends_seen]
        if not answered:
            return
        if order.wait_s and not self.ends:
            timer = self.later(order.wait_s, self.wait_over, order)
            self.waiters.append((order, timer))
        else:
            self.tell_lists(order)

    def wait_over(self, order: RenewLeaseOrder) -> None:
        """Answer a hold although nothing has ended."""
        self.waiters = [waiter for waiter in self.waiters if waiter[0] is not order]
        self.tell_lists(order)

    def tell_lists(self, order: RenewLeaseOrder) -> None:
        """Send the lists of runs."""
        now = self.time()
        running = tuple(
            RunStatus(run.name, self.percent(run, now)) for run in self.runs.values()
        )
        reply = RenewLeaseReply(
            order,
            "held",
            self.clock_ms(),
            self.incarnation.born_ms,
            running,
            tuple(self.ends[:LISTED_AT_ONCE]),
        )
        self.later(CALL_S, self.replies.put, reply)

    def percent(self, run: ModelRun, now: float) -> int:
        """Return the share of a run's work that is done."""
        if run.timer is None or not run.work:
            return 0
        return min(
            99, int(100 * (run.done + (now - run.at) / self.slowness) / run.work)
        )

    # Heartbeats

    async def beat(self) -> None:
        """Announce itself to the guard for ever."""
        while True:
            if self.fault != "mute" and self.replies is not None:
                self.sequence += 1
                self.replies.put(TargetHeartbeat(self.state()))
            await asyncio.sleep(BEAT_S)

    def state(self) -> TargetState:
        """Return what it says of itself."""
        return TargetState(
            self.incarnation,
            "visits",
            f"{self.name}:1",
            self.zone,
            self.draining,
            self.capacity,
            ("a", f"r-{self.zone}"),
            self.sequence,
            self.clock_ms(),
        )
