"""Fakes at the interfaces of a few guards and an entry, on a loop whose clock is
advanced: a bus that can be cut, guards that can be frozen, a table with outages."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from hawthorntrack.coordination.control_view import ControlViewPoller, RegistrationLost
from hawthorntrack.coordination.executor import Executor
from hawthorntrack.coordination.heartbeats import HeartbeatSender
from hawthorntrack.coordination.router import Router
from hawthorntrack.coordination.runner import JobRunner
from hawthorntrack.coordination.slot_manager import SlotManager
from hawthorntrack.protocol import local, messages, rows
from hawthorntrack.state.actor import Actor, Delivery, handles
from hawthorntrack.state.mailbox import Mailbox, Tick, tick
from hawthorntrack.state.outcomes import QUEUE_FULL, refuse
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.table import (
    ABSENT,
    MemoryTable,
    TableUnavailable,
    WriteOutcomeUnknown,
)
from hawthorntrack.state.values import GuardInfo, Incarnation, JobSpec, Location

DELAY_S = 0.002
TICK_S = 0.1
MAX_EXTRA_DELAY_S = 3.0
LEAVE_LIMIT_S = 20.0
ZONE_OUT_BOUND_S = 3.0  # "a few seconds"
DUPLICABLE_MESSAGES = {
    messages.Submit,
    messages.Answered,
    messages.Inquire,
    messages.Pending,
    messages.JobNotFound,
    messages.StartTasks,
    messages.TasksDone,
    messages.TasksNotRun,
    messages.ProbeTasks,
    messages.ReplicateKeys,
    messages.KeysReplicated,
    messages.Handover,
    messages.HandoverAccepted,
    messages.YieldSlot,
}


class FaultyTable(MemoryTable):
    """A table that can be down, or lose the answers of writes."""

    mode = "up"
    reads = 0

    async def read(self, prefix: str, after: int = ABSENT) -> Any:
        """Return rows, unless the table is down."""
        self.reads += 1
        await asyncio.sleep(DELAY_S)
        if self.mode == "down":
            return TableUnavailable("down")
        return await super().read(prefix, after)

    async def write(self, key: str, expect: int, value: bytes | None) -> Any:
        """Write, unless the table is down; the answer may be lost."""
        await asyncio.sleep(DELAY_S)
        if self.mode == "down":
            return WriteOutcomeUnknown("down")
        outcome = self.apply(key, expect, value)
        return WriteOutcomeUnknown("lost") if self.mode == "lose_answers" else outcome


class FakeTarget(Actor):
    """Runs tasks by waiting, and counts their starts."""

    def __init__(self, place: Location, starts: list, answers: Mailbox) -> None:
        super().__init__()
        self.place = place
        self.starts = starts
        self.answers = answers

    @handles(local.RunTask)
    def on_run_task(self, task: local.RunTask, sender: Incarnation) -> None:
        """Count a start and answer later."""
        self.starts.append((task.name, self.place.zone, self.now()))
        run_s = task.spec.size_ms / 1000
        answer = local.TargetAnswered(
            task.name, True, task.spec.input, run_s * 1000, False
        )
        asyncio.get_running_loop().call_later(run_s, self.answers.post, answer)

    @handles(local.SetConnections)
    def on_set_connections(
        self, change: local.SetConnections, sender: Incarnation
    ) -> None:
        """Need nothing for connections."""

    @handles(local.StopTask)
    def on_stop_task(self, stop: local.StopTask, sender: Incarnation) -> None:
        """Let the task run out."""


class Node:
    """One process: its tasks, and the messages it has not read while frozen."""

    def __init__(self, info: GuardInfo) -> None:
        self.info = info
        self.routes: dict[type, list[Mailbox]] = {}
        self.actors: list[Actor] = []
        self.running: list[asyncio.Task] = []
        self.errors: list[BaseException] = []
        self.drained = Mailbox("drained")
        self.unread: list[tuple[Mailbox, Any]] = []
        self.held: list[tuple[Incarnation, int, Any]] | None = None

    def holder(self, mailbox: Mailbox) -> Callable[[Any], bool]:
        """Return what keeps a mailbox's messages, but for ticks, unread."""

        def hold(message: Any) -> bool:
            if not isinstance(message, Tick):
                self.unread.append((mailbox, message))
            return True

        return hold

    def add(self, *actors: Actor) -> None:
        """Add tasks, each with the messages it handles."""
        self.actors += actors
        for actor in actors:
            for kind in messages.bus_message_types(actor.handlers):
                self.routes.setdefault(kind, []).append(actor.mailbox)

    def start(self) -> None:
        """Run the tasks."""
        for actor in self.actors:
            self.run(actor.run())
            self.run(tick([(actor.mailbox, TICK_S)]))

    def run(self, work: Any) -> None:
        """Run one task; its failure ends the process."""
        task = asyncio.ensure_future(work)
        task.add_done_callback(self.settle)
        self.running.append(task)

    def settle(self, task: asyncio.Task) -> None:
        """Keep what a task failed with, and end the others."""
        if not task.cancelled() and task.exception():
            self.errors.append(task.exception())
            self.stop()

    def stop(self) -> None:
        """End the tasks at once, as a kill does."""
        for task in self.running:
            task.cancel()


class Cluster:
    """A few guards and one entry over the fakes."""

    def __init__(self, settings: Settings, places: list[Location], seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.table = FaultyTable()
        self.cuts: set[frozenset[str]] = set()
        self.loss = self.doubled = self.late = 0.0
        self.starts: list = []
        self.nodes: dict[str, Node] = {}
        self.places = {f"g{n}": place for n, place in enumerate(places)}
        self.lives: Counter[str] = Counter()
        self.jobs: dict[str, JobSpec] = {}

    # --- the bus

    def sender(self, name: str, me: Incarnation) -> Any:
        """Return how a node sends."""

        def send(to: Incarnation, body: Any) -> None:
            lost = frozenset((name, to.address)) in self.cuts
            lost |= name != to.address and self.rng.random() < self.loss
            if lost:
                return
            loop = asyncio.get_running_loop()
            stamp = self.control(name).view.stamp if name in self.nodes else 0
            delay_s = DELAY_S * self.rng.uniform(0.5, 1.5)
            if type(body) in DUPLICABLE_MESSAGES:
                if self.rng.random() < self.doubled:
                    later_s = self.rng.uniform(0, MAX_EXTRA_DELAY_S)
                    loop.call_later(later_s, self.deliver, me, stamp, to, body)
                if self.rng.random() < self.late:
                    delay_s += self.rng.uniform(0, MAX_EXTRA_DELAY_S)
            loop.call_later(delay_s, self.deliver, me, stamp, to, body)

        return send

    def deliver(
        self, sender: Incarnation, stamp: int, to: Incarnation, body: Any
    ) -> None:
        """Give a message to a node of that life, or hold it while it is frozen."""
        node = self.nodes.get(to.address)
        if node is None or node.errors or node.info.incarnation != to:
            return
        if node.held is not None:
            node.held.append((sender, stamp, body))
            return
        control = self.control(to.address)
        if stamp > control.view.stamp:
            control.mailbox.post(local.NewerStampSeen(sender, stamp))
        for mailbox in node.routes.get(type(body), ()):
            mailbox.post(Delivery(sender, body))

    # --- nodes

    def new_node(self, name: str) -> tuple[Node, Any]:
        """Return a new life of a process, and how it sends."""
        self.lives[name] += 1
        me = Incarnation(name, str(self.lives[name]))
        place = self.places.get(name, Location("recife", "r", "e"))
        node = self.nodes[name] = Node(GuardInfo(me, place, "", False))
        return node, self.sender(name, me)

    def start_guard(self, name: str) -> None:
        """StartTasks a guard with its target."""
        node, send = self.new_node(name)
        info, settings = node.info, self.settings._replace(place=node.info.place)
        drained = node.drained
        beats = HeartbeatSender(info, settings, send)
        runner = JobRunner(info.incarnation, settings, send, self.rng)
        keeper = SlotManager(
            info, settings, self.table, send, beats.mailbox, runner.mailbox, drained
        )
        executor = Executor(info, settings, send, beats.mailbox, drained)
        target = FakeTarget(info.place, self.starts, executor.mailbox)
        runner.slot_manager, executor.client = keeper.mailbox, target.mailbox
        subscribers = [a.mailbox for a in (beats, runner, keeper, executor)]
        self.add_control(node, send, rows.guards_prefix("production"), subscribers)
        node.add(keeper, runner, executor, beats, target)
        node.start()
        node.run(self.announce(node, executor))

    def start_entry(self) -> Router:
        """StartTasks the entry instance and return its router."""
        node, send = self.new_node("entry")
        router = Router(node.info.incarnation, self.settings, send, Mailbox("drained"))
        prefix = rows.entries_prefix("production")
        self.add_control(node, send, prefix, [router.mailbox])
        node.add(router)
        node.start()
        return router

    def add_control(
        self, node: Node, send: Any, prefix: str, subscribers: list[Mailbox]
    ) -> None:
        """Add the control task of a node."""
        control = ControlViewPoller(
            node.info, prefix, self.settings, self.table, send, subscribers, self.rng
        )
        node.add(control)

    async def announce(self, node: Node, executor: Executor) -> None:
        """Announce a guard's target, again and again."""
        body = {
            "service": "visits",
            "address": f"target-{node.info.incarnation.address}",
            "kinds": ["confirm"],
            "slots": 4,
            "connections": 8,
            **node.info.place._asdict(),
        }
        while True:
            reply = asyncio.get_running_loop().create_future()
            executor.mailbox.post(local.AnnounceTarget(body, reply))
            await asyncio.sleep(0.5)

    def control(self, name: str) -> ControlViewPoller:
        """Return the control task of a node."""
        return next(
            a for a in self.nodes[name].actors if isinstance(a, ControlViewPoller)
        )

    # --- faults

    def kill(self, name: str) -> None:
        """End a guard at once."""
        self.nodes.pop(name).stop()

    async def leave(self, name: str) -> None:
        """Have a guard drain within the limit, and end it then."""
        node, left = self.nodes[name], {"SlotKeeper", "Executor"}
        for actor in node.actors:
            actor.mailbox.put(local.Drain())
        async with asyncio.timeout(LEAVE_LIMIT_S):
            while left:
                left.discard((await node.drained.get()).task)
        await asyncio.sleep(10 * DELAY_S)
        await self.control(name).deregister()
        self.kill(name)

    def freeze(self, name: str) -> None:
        """Hold a guard's messages; its tasks and timers stand still."""
        node = self.nodes[name]
        node.held, node.unread = [], []
        for actor in node.actors:
            actor.mailbox.post = actor.mailbox.put = node.holder(actor.mailbox)

    def resume(self, name: str) -> None:
        """Give a frozen guard all that came meanwhile, before any of its timers."""
        node = self.nodes[name]
        held, node.held = node.held, None
        for actor in node.actors:
            del actor.mailbox.post, actor.mailbox.put
        for sender, stamp, body in held:
            self.deliver(sender, stamp, node.info.incarnation, body)
        for mailbox, message in node.unread:
            mailbox.put(message)

    # --- what must always hold

    def double_starts(self) -> list:
        """Return the tasks that started more than once."""
        counts = Counter(name for name, _, _ in self.starts)
        return [name for name, count in counts.items() if count > 1]

    def broken(self) -> list:
        """Return what processes failed with, but for those told that they are gone."""
        errors = [error for node in self.nodes.values() for error in node.errors]
        return [error for error in errors if not isinstance(error, RegistrationLost)]

    def started(self, key: str) -> bool:
        """Return whether any task of a job started."""
        return any(name[1] == key for name, _, _ in self.starts)


def ask(router: Router, job: JobSpec) -> asyncio.Future:
    """Have a caller submit a job."""
    reply = asyncio.get_running_loop().create_future()
    if not router.mailbox.post(local.SubmitJob(job, reply)):
        reply.set_result(refuse(QUEUE_FULL))
    return reply


async def stop(cluster):
    """End all nodes."""
    for name in list(cluster.nodes):
        cluster.kill(name)
    await asyncio.sleep(0)


def check(cluster, replies):
    """Assert what must always hold of jobs and their answers, by key."""
    assert cluster.double_starts() == []
    assert cluster.broken() == []
    for key, answers in replies.items():
        assert all(reply.done() for reply in answers)
        results = [reply.result() for reply in answers]
        if all(answer.ran == "no" for answer in results):
            assert not cluster.started(key)
        for answer in results:
            assert (answer.status == "complete") == bool(answer.results)
            if answer.results:
                own = [task.input for task in cluster.jobs[key].tasks]
                assert [item and item.output for item in answer.results] == own


def job_of(make_job: Callable[..., JobSpec], key: str, tasks: int) -> JobSpec:
    """Return a job of which every task's input, and so its output, is its own."""
    job = make_job(key, tasks=tasks, deadline_ms=6_000)
    inputs = [f'"{key}/{index}"'.encode() for index in range(tasks)]
    specs = [
        spec._replace(input=text) for spec, text in zip(job.tasks, inputs, strict=True)
    ]
    return job._replace(tasks=tuple(specs))


async def load(cluster, router, make_job, jobs=40, gap_s=0.1, again_s=(0.0, 3.0)):
    """Submit jobs in a row, each again after a while; return the answers by key."""
    replies = {}
    loop = asyncio.get_running_loop()
    for number in range(jobs):
        job = job_of(make_job, f"k{number}", 1 + number % 3)
        cluster.jobs[job.key] = job
        replies[job.key] = [ask(router, job)]
        for wait_s in again_s:
            loop.call_later(wait_s, lambda j=job: replies[j.key].append(ask(router, j)))
        await asyncio.sleep(gap_s)
    return replies


async def wait_for_answers(replies):
    """Wait for all answers."""
    await asyncio.sleep(11)
    return replies


async def poll_seldom(cluster):
    """Have each process ask the table every 2 to 3 s, one after the other."""
    for number, name in enumerate(cluster.nodes):
        control = cluster.control(name)
        bounds = control.settings.bounds._replace(poll_budget_per_s=2)
        control.settings = control.settings._replace(bounds=bounds)
        due_at = control.now() + 0.5 + number / 2
        for subject, poll in control.polls.items():
            control.polls[subject] = poll._replace(due_at=due_at)
    await asyncio.sleep(6)


def starts_after_zone_out(cluster: Cluster, zone: str, out_at: float) -> list:
    """Return the starts in a zone later than the bound after it was taken out."""
    limit = out_at + ZONE_OUT_BOUND_S
    return [start for start in cluster.starts if start[1] == zone and start[2] > limit]
