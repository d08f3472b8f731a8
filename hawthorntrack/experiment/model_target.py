"""Model of a target on an event loop: leases, run numbers, fencing tokens, faults."""

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

CALL_DELAY_S = 0.0003  # one way between a guard and its target
MAX_LEASE_S = 1.0
STOP_DURATION_S = 0.02
HEARTBEAT_INTERVAL_S = 1.5
MAX_LISTED_ENDS = 500
# Time from the start of a task that crashes its target to the crash.
CRASH_DELAY_S = 0.015
# Time for which a target that has crashed is down.
CRASH_DOWN_S = 3.2
# Bounds of the time by which an order that gets no answer is executed late.
MIN_LATE_S = 2.0
MAX_LATE_S = 6.0


def extended_by(order: Any, delay_s: float) -> Any:
    """Return an order with the end of the lease that it grants moved by a delay."""
    lease_end_ms = getattr(order, "lease_end_ms", None)
    if lease_end_ms is None:
        return order
    return order._replace(lease_end_ms=lease_end_ms + round(delay_s * 1000))


class ModelRun:
    """A run in progress, with `done` of its `work` seconds complete at `as_of`."""

    def __init__(
        self, name: RunName, need: Resources, work: float, as_of: float
    ) -> None:
        self.name = name
        self.need = need
        self.work = work
        self.done = 0.0
        self.as_of = as_of
        self.timer: asyncio.TimerHandle | None = None


class ModelTarget:
    """Simulates runs of tasks, and answers the orders of a guard.

    Parameters
    ----------
    name : str
        Id of the target.
    zone : str
        Zone of the target.
    capacity : Resources
        Resources for concurrent runs.
    slowness : float
        Ratio of the run time to the work that a payload declares.
    rng : random.Random
        Random number generator for faults.
    on_start, on_end : callable
        Called at the start and the end of each run, for the checks of an experiment.

    Attributes
    ----------
    fault : str
        ``""``, ``errors`` (runs fail), ``hang`` (runs make no progress), ``shed``
        (starts are refused), ``mute`` (orders are dropped without a reply), ``late``
        (a share of the orders is executed seconds later), ``late_grants`` (the same,
        and the lease time that they grant counts from their execution) or ``lost`` (a
        share of the starts succeeds, but the reply is lost).
    crashing_tasks : set of TaskName
        Tasks that crash the target shortly after their start.
    renamed_by_crash : bool
        Whether the incarnation after a crash has another id.
    down : bool
        Whether the target has crashed and is not back; it refuses connections then.
    call_s : float
        Time that the target works on one call, in seconds; 0.0 for unlimited calls at
        a time. Calls queue, and those that the guard has given up stay in the queue.
    calls : int
        Number of calls received.
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
        self.crashing_tasks: set[TaskName] = set()
        self.renamed_by_crash = False
        self.down = False
        self.call_s = 0.0
        self.calls = 0
        self.busy_until = 0.0
        self.open_calls: dict[int, asyncio.TimerHandle] = {}
        self.draining = False
        self.replies: Mailbox | None = None
        self.incarnation_count = 0
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation, which keeps no state of the previous one."""
        for run in getattr(self, "runs", {}).values():
            if run.timer is not None:
                run.timer.cancel()
            self.on_end(self, run.name, "crashed")
        self.incarnation_count += 1
        renamed = self.renamed_by_crash and self.incarnation_count > 1
        target_id = f"{self.name}.{self.incarnation_count}" if renamed else self.name
        self.incarnation = TargetIncarnation(target_id, self.incarnation_count)
        self.started_at = self.now()
        self.runs: dict[TaskName, ModelRun] = {}
        self.highest_ended_run: dict[TaskName, int] = {}
        self.unseen_ends: list[RunEnd] = []
        self.end_count = 0
        self.token = 0
        self.lease_end_ms = 0
        self.lease_timer: asyncio.TimerHandle | None = None
        self.sequence = 0
        for _, timer in getattr(self, "waiters", []):
            timer.cancel()
        self.waiters: list[tuple[RenewLeaseOrder, asyncio.TimerHandle]] = []

    def crash(self, incarnation: TargetIncarnation) -> None:
        """End the process if this incarnation is up; the next begins after a while.

        Explanation
        -----------
        Connections are reset, and refused until the next incarnation is up.
        """
        if self.down or incarnation != self.incarnation:
            return
        interrupted = [order for order, _ in self.waiters]
        self.restart()
        self.down = True
        for order in interrupted:
            self.answer(order, "unanswered")
        self.call_later(CRASH_DOWN_S, self.come_back)

    def come_back(self) -> None:
        """Begin the next incarnation, which announces itself at once."""
        self.down = False
        self.started_at = self.now()
        self.announce()

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def clock_ms(self) -> int:
        """Return the target's own clock, which starts at zero in each incarnation."""
        return round((self.now() - self.started_at) * 1000)

    def put(self, order: Any) -> None:
        """Accept an order; stands in for the mailbox of the guard's target client."""
        self.calls += 1
        if self.down:
            self.answer(order, "unreachable")
            return
        if self.fault == "mute":
            self.answer(order, "unanswered", self.time_limit_s(order))
            return
        late = self.fault in ("late", "late_grants")
        if late and self.rng.random() < self.fault_share:
            delay_s = self.rng.uniform(MIN_LATE_S, MAX_LATE_S)
            executed = order
            if self.fault == "late_grants":
                executed = extended_by(order, delay_s)
            self.call_later(delay_s, self.execute, executed, False)
            self.answer(order, "unanswered", self.time_limit_s(order))
            return
        if self.call_s:
            self.queue_call(order)
            return
        self.call_later(CALL_DELAY_S, self.execute, order, True)

    def queue_call(self, order: Any) -> None:
        """Execute an order after all calls before it; the guard may give it up."""
        now = self.now()
        self.busy_until = max(now, self.busy_until) + self.call_s
        self.open_calls[id(order)] = self.call_later(
            self.time_limit_s(order), self.give_up, order
        )
        self.call_later(self.busy_until - now + CALL_DELAY_S, self.execute, order, True)

    def time_limit_s(self, order: Any) -> float:
        """Return how long the guard waits for the answer to an order, in seconds."""
        return order.timeout_s + getattr(order, "wait_s", 0.0)

    def give_up(self, order: Any) -> None:
        """Reply that an order got no answer in time, unless its answer is under way."""
        if id(order) in self.open_calls:
            self.answer(order, "unanswered", 0.0)

    def execute(self, order: Any, awaited: bool) -> None:
        """Execute an order, and reply if the guard still waits.

        Explanation
        -----------
        Orders name a target by its id only, so a new incarnation executes orders that
        were sent to a previous one.
        """
        if self.down:
            if awaited:
                self.answer(order, "unanswered")
            return
        if order.target.incarnation.id != self.incarnation.id:
            if awaited:
                self.answer(order, "other_life")
            return
        if order.token < self.token:
            if awaited:
                self.answer(order, "fenced")
            return
        self.token = order.token
        if isinstance(order, RenewLeaseOrder):
            self.renew_and_list(order, awaited)
            return
        if isinstance(order, StopOrder):
            self.stop(order)
            outcome = "stopped"
        else:
            outcome = self.start(order)
            reply_lost = self.fault == "lost" and self.rng.random() < self.fault_share
            if reply_lost and outcome == "started":
                self.answer(order, "unanswered", self.time_limit_s(order))
                return
        if awaited:
            self.answer(order, outcome)

    def answer(self, order: Any, outcome: str, after_s: float = CALL_DELAY_S) -> None:
        """Send a reply to the guard."""
        kinds = {
            StartOrder: StartReply,
            StopOrder: StopReply,
            RenewLeaseOrder: RenewLeaseReply,
        }
        unread = ("unanswered", "unreachable", "other_life")
        clock_ms = 0 if outcome in unread else self.clock_ms()
        self.send_reply(kinds[type(order)](order, outcome, clock_ms), after_s)

    def send_reply(self, reply: Any, after_s: float = CALL_DELAY_S) -> None:
        """Send a reply to the guard, unless it has given up the call."""
        if self.call_s:
            timer = self.open_calls.pop(id(reply.order), None)
            if timer is None:
                return
            timer.cancel()
        self.call_later(after_s, self.replies.put, reply)

    def call_later(
        self, delay_s: float, callback: Callable, *args: Any
    ) -> asyncio.TimerHandle:
        """Call a function after a delay."""
        return asyncio.get_running_loop().call_later(delay_s, callback, *args)

    def start(self, order: StartOrder) -> str:
        """Start a run if lease, run number and free resources allow it."""
        name = order.name
        if self.fault == "shed":
            return "unwell"
        if order.lease_end_ms <= self.clock_ms():
            return "late"
        self.extend_lease(order.lease_end_ms)
        if name.run <= self.highest_ended_run.get(name.task, 0):
            return "old_run"
        existing = self.runs.get(name.task)
        if existing is not None:
            return "started" if existing.name == name else "old_run"
        need = self.needs.get(name.task.job, NO_RESOURCES)
        free = self.capacity
        for run in self.runs.values():
            free = free.minus(run.need)
        if not need.fits_in(free):
            return "no_room"
        run = ModelRun(name, need, float(order.payload or 0), self.now())
        self.runs[name.task] = run
        self.on_start(self, name)
        if name.task in self.crashing_tasks:
            self.call_later(CRASH_DELAY_S, self.crash, self.incarnation)
        if self.fault == "errors" and self.rng.random() < self.fault_share:
            run.timer = self.call_later(0.005, self.finish, run, "failed")
        elif self.fault != "hang":
            self.schedule(run)
        return "started"

    def schedule(self, run: ModelRun) -> None:
        """Schedule the end of a run at the current speed."""
        remaining_s = (run.work - run.done) * self.slowness
        run.timer = self.call_later(max(0.0, remaining_s), self.finish, run, "done")

    def change_speed(self, slowness: float) -> None:
        """Change the speed of present and future runs."""
        now = self.now()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
                run.done += (now - run.as_of) / self.slowness
                run.as_of = now
        self.slowness = slowness
        for run in self.runs.values():
            if run.timer is not None:
                self.schedule(run)

    def stop(self, order: StopOrder) -> None:
        """Stop a run, or prevent its start if it has not started yet."""
        task = order.name.task
        self.highest_ended_run[task] = max(
            self.highest_ended_run.get(task, 0), order.name.run
        )
        run = self.runs.get(task)
        if run is not None and run.name == order.name:
            self.call_later(STOP_DURATION_S, self.finish, run, "stopped")

    def extend_lease(self, lease_end_ms: int) -> None:
        """Extend the lease that covers all runs."""
        limit = self.clock_ms() + round(MAX_LEASE_S * 1000)
        self.lease_end_ms = max(self.lease_end_ms, min(lease_end_ms, limit))
        if self.lease_timer is None:
            self.lease_timer = self.call_later(0.0, self.check_lease)

    def check_lease(self) -> None:
        """End all runs once the lease has expired."""
        remaining_s = (self.lease_end_ms - self.clock_ms()) / 1000
        self.lease_timer = None
        if remaining_s <= 0:
            for run in list(self.runs.values()):
                self.finish(run, "lapsed")
        elif self.runs:
            self.lease_timer = self.call_later(remaining_s, self.check_lease)

    def finish(self, run: ModelRun, how: str) -> None:
        """End a run and report it to the guard."""
        if self.runs.get(run.name.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.runs[run.name.task]
        self.highest_ended_run[run.name.task] = max(
            run.name.run, self.highest_ended_run.get(run.name.task, 0)
        )
        self.end_count += 1
        self.unseen_ends.append(RunEnd(self.end_count, run.name, how))
        self.on_end(self, run.name, how)
        waiters, self.waiters = self.waiters, []
        for order, timer in waiters:
            timer.cancel()
            self.send_run_lists(order)

    def renew_and_list(self, order: RenewLeaseOrder, awaited: bool) -> None:
        """Extend the lease, and send the run lists now or at the next end of a run."""
        if order.lease_end_ms is not None:
            self.extend_lease(order.lease_end_ms)
        self.unseen_ends = [
            end for end in self.unseen_ends if end.number > order.ends_seen
        ]
        if not awaited:
            return
        if order.wait_s and not self.unseen_ends:
            timer = self.call_later(order.wait_s, self.end_wait, order)
            self.waiters.append((order, timer))
        else:
            self.send_run_lists(order)

    def end_wait(self, order: RenewLeaseOrder) -> None:
        """Reply to a lease renewal whose wait ended without the end of a run."""
        self.waiters = [waiter for waiter in self.waiters if waiter[0] is not order]
        self.send_run_lists(order)

    def send_run_lists(self, order: RenewLeaseOrder) -> None:
        """Send the lists of active and ended runs."""
        now = self.now()
        running = tuple(
            RunStatus(run.name, self.percent_done(run, now))
            for run in self.runs.values()
        )
        reply = RenewLeaseReply(
            order,
            "held",
            self.clock_ms(),
            self.incarnation.born_ms,
            running,
            tuple(self.unseen_ends[:MAX_LISTED_ENDS]),
        )
        self.send_reply(reply)

    def percent_done(self, run: ModelRun, now: float) -> int:
        """Return the completed share of a run's work, in percent."""
        if run.timer is None or not run.work:
            return 0
        return min(
            99, int(100 * (run.done + (now - run.as_of) / self.slowness) / run.work)
        )

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the guard until cancelled."""
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def announce(self) -> None:
        """Send a heartbeat to the guard if the target is up."""
        if self.fault != "mute" and not self.down and self.replies is not None:
            self.sequence += 1
            self.replies.put(TargetHeartbeat(self.current_state()))

    def current_state(self) -> TargetState:
        """Return the state that heartbeats report."""
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
