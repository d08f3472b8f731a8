"""A simulated cluster of a few guards and one entry instance, with fault injection.

The actors are real and run on an event loop with a simulated clock. The bus, the
table and the targets are fakes: links can be cut, messages lost, duplicated or
delayed, guards frozen, and the table can fail.
"""

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
DRAIN_TIMEOUT_S = 20.0
# Tasks must stop starting in a zone "a few seconds" after it is taken out of service.
MAX_ZONE_OUT_DELAY_S = 3.0
# Messages that the bus may duplicate or delay.
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
    """A table that can be unavailable, or lose the acknowledgements of writes."""

    mode = "up"
    reads = 0

    async def read(self, prefix: str, after: int = ABSENT) -> Any:
        """Return rows, or `TableUnavailable` while the table is down."""
        self.reads += 1
        await asyncio.sleep(DELAY_S)
        if self.mode == "down":
            return TableUnavailable("down")
        return await super().read(prefix, after)

    async def write(self, key: str, expect: int, value: bytes | None) -> Any:
        """Write unless the table is down; the acknowledgement may be lost."""
        await asyncio.sleep(DELAY_S)
        if self.mode == "down":
            return WriteOutcomeUnknown("down")
        outcome = self.apply(key, expect, value)
        return WriteOutcomeUnknown("lost") if self.mode == "lose_answers" else outcome


class FakeTarget(Actor):
    """A target that runs tasks by waiting, and records their starts."""

    def __init__(self, place: Location, starts: list, answers: Mailbox) -> None:
        super().__init__()
        self.place = place
        self.starts = starts
        self.answers = answers

    @handles(local.RunTask)
    def on_run_task(self, task: local.RunTask, sender: Incarnation) -> None:
        """Record a start, and report the result after the task's run time."""
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
        """Ignore the number of connections: this target has none."""

    @handles(local.StopTask)
    def on_stop_task(self, stop: local.StopTask, sender: Incarnation) -> None:
        """Ignore the request: the task runs to its end."""


class Node:
    """One simulated process: its actors, and the messages held back while frozen."""

    def __init__(self, info: GuardInfo) -> None:
        self.info = info
        self.routes: dict[type, list[Mailbox]] = {}
        self.actors: list[Actor] = []
        self.tasks: list[asyncio.Task] = []
        self.errors: list[BaseException] = []
        self.drained = Mailbox("drained")
        self.held_local_messages: list[tuple[Mailbox, Any]] = []
        self.held_bus_messages: list[tuple[Incarnation, int, Any]] | None = None

    def make_hold(self, mailbox: Mailbox) -> Callable[[Any], bool]:
        """Return a function that holds back a mailbox's messages and drops ticks."""

        def hold(message: Any) -> bool:
            if not isinstance(message, Tick):
                self.held_local_messages.append((mailbox, message))
            return True

        return hold

    def add(self, *actors: Actor) -> None:
        """Add actors, and route to each the bus messages that it handles."""
        self.actors += actors
        for actor in actors:
            for kind in messages.bus_message_types(actor.handlers):
                self.routes.setdefault(kind, []).append(actor.mailbox)

    def start(self) -> None:
        """Run the actors, and send them ticks."""
        for actor in self.actors:
            self.run(actor.run())
            self.run(tick([(actor.mailbox, TICK_S)]))

    def run(self, coroutine: Any) -> None:
        """Run a coroutine as a task; its failure ends the process."""
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self.on_task_done)
        self.tasks.append(task)

    def on_task_done(self, task: asyncio.Task) -> None:
        """Record the error of a failed task, and stop the others."""
        if not task.cancelled() and task.exception():
            self.errors.append(task.exception())
            self.stop()

    def stop(self) -> None:
        """Cancel all tasks at once, as if the process were killed."""
        for task in self.tasks:
            task.cancel()


class Cluster:
    """A few guards and one entry instance, connected by fakes."""

    def __init__(self, settings: Settings, places: list[Location], seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.table = FaultyTable()
        self.cut_links: set[frozenset[str]] = set()
        self.loss_rate = self.duplicate_rate = self.delay_rate = 0.0
        self.starts: list = []
        self.nodes: dict[str, Node] = {}
        self.places = {f"g{n}": place for n, place in enumerate(places)}
        self.incarnation_counts: Counter[str] = Counter()
        self.jobs: dict[str, JobSpec] = {}

    # Bus

    def make_send(self, name: str, me: Incarnation) -> Any:
        """Return the function with which a node sends messages."""

        def send(to: Incarnation, body: Any) -> None:
            lost = frozenset((name, to.address)) in self.cut_links
            lost |= name != to.address and self.rng.random() < self.loss_rate
            if lost:
                return
            loop = asyncio.get_running_loop()
            stamp = self.view_poller(name).view.stamp if name in self.nodes else 0
            delay_s = DELAY_S * self.rng.uniform(0.5, 1.5)
            if type(body) in DUPLICABLE_MESSAGES:
                if self.rng.random() < self.duplicate_rate:
                    later_s = self.rng.uniform(0, MAX_EXTRA_DELAY_S)
                    loop.call_later(later_s, self.deliver, me, stamp, to, body)
                if self.rng.random() < self.delay_rate:
                    delay_s += self.rng.uniform(0, MAX_EXTRA_DELAY_S)
            loop.call_later(delay_s, self.deliver, me, stamp, to, body)

        return send

    def deliver(
        self, sender: Incarnation, stamp: int, to: Incarnation, body: Any
    ) -> None:
        """Deliver a message to an incarnation, or hold it while its node is frozen."""
        node = self.nodes.get(to.address)
        if node is None or node.errors or node.info.incarnation != to:
            return
        if node.held_bus_messages is not None:
            node.held_bus_messages.append((sender, stamp, body))
            return
        poller = self.view_poller(to.address)
        if stamp > poller.view.stamp:
            poller.mailbox.post(local.NewerStampSeen(sender, stamp))
        for mailbox in node.routes.get(type(body), ()):
            mailbox.post(Delivery(sender, body))

    # Nodes

    def new_node(self, name: str) -> tuple[Node, Any]:
        """Return a new incarnation of a process, and its send function."""
        self.incarnation_counts[name] += 1
        me = Incarnation(name, str(self.incarnation_counts[name]))
        place = self.places.get(name, Location("recife", "r", "e"))
        node = self.nodes[name] = Node(GuardInfo(me, place, "", False))
        return node, self.make_send(name, me)

    def start_guard(self, name: str) -> None:
        """Start a guard with its target."""
        node, send = self.new_node(name)
        info, settings = node.info, self.settings._replace(place=node.info.place)
        drained = node.drained
        heartbeats = HeartbeatSender(info, settings, send)
        runner = JobRunner(info.incarnation, settings, send, self.rng)
        manager = SlotManager(
            info,
            settings,
            self.table,
            send,
            heartbeats.mailbox,
            runner.mailbox,
            drained,
        )
        executor = Executor(info, settings, send, heartbeats.mailbox, drained)
        target = FakeTarget(info.place, self.starts, executor.mailbox)
        runner.slot_manager, executor.client = manager.mailbox, target.mailbox
        subscribers = [
            actor.mailbox for actor in (heartbeats, runner, manager, executor)
        ]
        self.add_view_poller(node, send, rows.guards_prefix("production"), subscribers)
        node.add(manager, runner, executor, heartbeats, target)
        node.start()
        node.run(self.announce_target(node, executor))

    def start_entry(self) -> Router:
        """Start the entry instance and return its router."""
        node, send = self.new_node("entry")
        router = Router(node.info.incarnation, self.settings, send, Mailbox("drained"))
        prefix = rows.entries_prefix("production")
        self.add_view_poller(node, send, prefix, [router.mailbox])
        node.add(router)
        node.start()
        return router

    def add_view_poller(
        self, node: Node, send: Any, prefix: str, subscribers: list[Mailbox]
    ) -> None:
        """Add the view poller of a node."""
        poller = ControlViewPoller(
            node.info, prefix, self.settings, self.table, send, subscribers, self.rng
        )
        node.add(poller)

    async def announce_target(self, node: Node, executor: Executor) -> None:
        """Announce a guard's target every 0.5 s."""
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

    def view_poller(self, name: str) -> ControlViewPoller:
        """Return the view poller of a node."""
        return next(
            actor
            for actor in self.nodes[name].actors
            if isinstance(actor, ControlViewPoller)
        )

    # Faults and planned stops

    def kill(self, name: str) -> None:
        """End a guard at once."""
        self.nodes.pop(name).stop()

    async def drain_and_stop(self, name: str) -> None:
        """Drain a guard within the time limit, deregister it and stop it."""
        node, draining = self.nodes[name], {"SlotKeeper", "Executor"}
        for actor in node.actors:
            actor.mailbox.put(local.Drain())
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            while draining:
                draining.discard((await node.drained.get()).task)
        await asyncio.sleep(10 * DELAY_S)
        await self.view_poller(name).deregister()
        self.kill(name)

    def freeze(self, name: str) -> None:
        """Suspend a guard: hold its messages and drop its ticks."""
        node = self.nodes[name]
        node.held_bus_messages, node.held_local_messages = [], []
        for actor in node.actors:
            actor.mailbox.post = actor.mailbox.put = node.make_hold(actor.mailbox)

    def resume(self, name: str) -> None:
        """Resume a frozen guard; it gets the held messages before its next tick."""
        node = self.nodes[name]
        held, node.held_bus_messages = node.held_bus_messages, None
        for actor in node.actors:
            del actor.mailbox.post, actor.mailbox.put
        for sender, stamp, body in held:
            self.deliver(sender, stamp, node.info.incarnation, body)
        for mailbox, message in node.held_local_messages:
            mailbox.put(message)

    # Observations for the invariants

    def double_starts(self) -> list:
        """Return the tasks that started more than once."""
        counts = Counter(name for name, _, _ in self.starts)
        return [name for name, count in counts.items() if count > 1]

    def unexpected_errors(self) -> list:
        """Return the errors that ended processes, except lost registrations."""
        errors = [error for node in self.nodes.values() for error in node.errors]
        return [error for error in errors if not isinstance(error, RegistrationLost)]

    def started(self, key: str) -> bool:
        """Return whether any task of a job started."""
        return any(name[1] == key for name, _, _ in self.starts)


def submit_job(router: Router, job: JobSpec) -> asyncio.Future:
    """Submit a job as a caller does; return the future of its answer."""
    reply = asyncio.get_running_loop().create_future()
    if not router.mailbox.post(local.SubmitJob(job, reply)):
        reply.set_result(refuse(QUEUE_FULL))
    return reply


async def stop_all(cluster):
    """Kill all nodes."""
    for name in list(cluster.nodes):
        cluster.kill(name)
    await asyncio.sleep(0)


def check_invariants(cluster, replies):
    """Assert the invariants of jobs and their answers, which are given by key."""
    assert cluster.double_starts() == []
    assert cluster.unexpected_errors() == []
    for key, answers in replies.items():
        assert all(reply.done() for reply in answers)
        results = [reply.result() for reply in answers]
        if all(answer.ran == "no" for answer in results):
            assert not cluster.started(key)
        for answer in results:
            assert (answer.status == "complete") == bool(answer.results)
            if answer.results:
                inputs = [task.input for task in cluster.jobs[key].tasks]
                assert [item and item.output for item in answer.results] == inputs


def make_distinct_job(
    make_job: Callable[..., JobSpec], key: str, tasks: int
) -> JobSpec:
    """Return a job whose tasks have distinct inputs, and so distinct outputs."""
    job = make_job(key, tasks=tasks, deadline_ms=6_000)
    inputs = [f'"{key}/{index}"'.encode() for index in range(tasks)]
    specs = [
        spec._replace(input=text) for spec, text in zip(job.tasks, inputs, strict=True)
    ]
    return job._replace(tasks=tuple(specs))


async def submit_load(
    cluster, router, make_job, jobs=40, gap_s=0.1, resubmit_after_s=(0.0, 3.0)
):
    """Submit jobs one after the other, and again later; return the answers by key."""
    replies = {}
    loop = asyncio.get_running_loop()
    for number in range(jobs):
        job = make_distinct_job(make_job, f"k{number}", 1 + number % 3)
        cluster.jobs[job.key] = job
        replies[job.key] = [submit_job(router, job)]
        for delay_s in resubmit_after_s:
            loop.call_later(
                delay_s, lambda j=job: replies[j.key].append(submit_job(router, j))
            )
        await asyncio.sleep(gap_s)
    return replies


async def wait_for_answers(replies):
    """Wait until all jobs must have been answered; return the answers."""
    await asyncio.sleep(11)
    return replies


async def lengthen_poll_intervals(cluster):
    """Make each process poll the table every 2 to 3 s, one after the other."""
    for number, name in enumerate(cluster.nodes):
        poller = cluster.view_poller(name)
        bounds = poller.settings.bounds._replace(poll_budget_per_s=2)
        poller.settings = poller.settings._replace(bounds=bounds)
        due_at = poller.now() + 0.5 + number / 2
        for subject, poll in poller.polls.items():
            poller.polls[subject] = poll._replace(due_at=due_at)
    await asyncio.sleep(6)


def starts_after_zone_out(cluster: Cluster, zone: str, out_at: float) -> list:
    """Return the starts in a zone that came too late after it was taken out."""
    limit = out_at + MAX_ZONE_OUT_DELAY_S
    return [start for start in cluster.starts if start[1] == zone and start[2] > limit]
