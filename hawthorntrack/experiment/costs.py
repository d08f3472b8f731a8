"""Microbenchmarks of pieces of the hot path."""

import asyncio
import itertools
import random
import statistics
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from hawthorntrack.coordination.executor import Executor
from hawthorntrack.coordination.placement import PlacementContext, WaitingTask, policies
from hawthorntrack.coordination.router import Router
from hawthorntrack.coordination.runner import JobRunner
from hawthorntrack.coordination.slot_manager import SlotManager
from hawthorntrack.experiment.layout import (
    Ports,
    deployments,
    document_body,
    settings_body,
)
from hawthorntrack.protocol import local, messages
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.state.actor import Actor, Delivery
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.documents import document_from_body
from hawthorntrack.state.guard_view import GuardView
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.mirror import Mirror, merge
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.settings import Settings, parse_settings
from hawthorntrack.state.table import MemoryTable, Row
from hawthorntrack.state.values import (
    Answer,
    GuardInfo,
    Incarnation,
    JobSpec,
    Location,
    SlotRow,
    TargetLoad,
    TaskResult,
    TaskSpec,
)

REPEATS = 15
BATCH = 50
JOB_TASKS = 20
GUARDS_AT_TARGET_SIZE = 13_000
GUARDS_IN_VIEW = 64
DEPLOYMENT = deployments["jardim"]


class BenchmarkWork(NamedTuple):
    """A piece of work to be timed.

    Attributes
    ----------
    run : callable
        Does the work once.
    items : int
        Number of items that one call of `run` processes.
    """

    run: Callable[[], Any]
    items: int


costs: Registry[Callable[[], BenchmarkWork]] = Registry("processor cost")


def median_us_per_item(work: BenchmarkWork) -> float:
    """Return the median time of one item of work, in microseconds."""
    work.run()
    durations_s = []
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        work.run()
        durations_s.append(time.perf_counter() - started_at)
    return statistics.median(durations_s) / work.items * 1e6


# Test data


def guard_name(number: int) -> Incarnation:
    """Return the incarnation of a guard, with an address of realistic length."""
    return Incarnation(f"10.{number % 200}.{number % 250}.7:{7_000 + number}", "a" * 12)


def guard_info(number: int) -> GuardInfo:
    """Return the registration of a guard."""
    place = Location(f"zone-{number % 10}", f"rack-{number % 500}", f"w{number}")
    return GuardInfo(guard_name(number), place, guard_name(number).address, False)


def idle_load() -> TargetLoad:
    """Return the load of a target without tasks."""
    return TargetLoad(DEPLOYMENT.service, DEPLOYMENT.kinds, 8, 0, 0, 1.0)


def settings(slots: int) -> Settings:
    """Return the settings of a process with a given number of slots."""
    body = settings_body(DEPLOYMENT, Ports(31_000), 0, "-", {"slots": slots})
    return parse_settings(body, "costs")


def view(now: float, guards: int, slots: int) -> ControlView:
    """Return a control view in which every slot has an owner and a witness."""
    document = document_from_body(document_body(DEPLOYMENT), 1)
    infos = [guard_info(number) for number in range(guards)]
    pairs = [
        (guard_name(n % guards), guard_name((n + 7) % guards)) for n in range(slots)
    ]
    return ControlView(
        stamp=1,
        documents={document.service: document},
        guards={info.incarnation.address: info for info in infos},
        slots={
            n: SlotRow(1, owner, witness, True, owner, witness, 0, n + 1)
            for n, (owner, witness) in enumerate(pairs)
        },
        last_success_at=now,
    )


def job(number: int) -> JobSpec:
    """Return a job of twenty tasks with a unique key."""
    spec = TaskSpec("confirm", b'{"visit": 1234567}', 100)
    key = f"0193c2a0-0000-7000-8000-{number:012d}"
    tasks = (spec,) * JOB_TASKS
    return JobSpec(key, bytes(16), DEPLOYMENT.service, "jardim", tasks, False, 4_000)


def results(indices: range | list[int]) -> tuple[TaskResult, ...]:
    """Return successful results of the tasks with given indices."""
    return tuple(TaskResult(index, True, b'{"visit": 1}', 80.5) for index in indices)


class ActorHarness:
    """Runs an actor by itself and collects the messages that it sends.

    Explanation
    -----------
    The actor reads the clock of the event loop, so the work runs on a loop. Each run of
    the loop processes `BATCH` items, which keeps the overhead of the loop small.
    """

    def __init__(self, make: Callable[["ActorHarness"], Actor]) -> None:
        self.loop = asyncio.new_event_loop()
        self.sent: list[tuple[Incarnation, Any]] = []
        self.numbers = itertools.count(1)
        self.actor = make(self)

    def send(self, to: Incarnation, body: Any) -> None:
        """Collect a message that the actor sends."""
        self.sent.append((to, body))

    def take_sent(self) -> list[tuple[Incarnation, Any]]:
        """Return the collected messages and remove them."""
        found, self.sent = self.sent, []
        return found

    def deliver(self, body: Any, sender: Incarnation | None = None) -> None:
        """Pass a message to the actor, then those that the actor posts to itself."""
        self.actor.handle(Delivery(sender, body) if sender else body)
        queue = self.actor.mailbox.queue
        while not queue.empty():
            self.actor.handle(queue.get_nowait())

    def deliver_view(self, guards: int, slots: int) -> None:
        """Pass a control view to the actor."""
        self.deliver(local.ViewChanged(view(self.loop.time(), guards, slots)))

    def work(
        self, run_once: Callable[["ActorHarness"], None], items: int = 1
    ) -> BenchmarkWork:
        """Return work that runs a function `BATCH` times."""

        async def batch() -> None:
            for _ in range(BATCH):
                run_once(self)

        return BenchmarkWork(lambda: self.run(batch()), BATCH * items)

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine on the loop of the actor."""
        self.loop.run_until_complete(coroutine)

    def prepare(self, *steps: Callable[["ActorHarness"], None]) -> "ActorHarness":
        """Run preparatory steps that are not timed, and return this harness."""

        async def run_steps() -> None:
            for step in steps:
                step(self)

        self.run(run_steps())
        return self


# Message encoding


def codec_work(body: Any) -> BenchmarkWork:
    """Return work that encodes and decodes a message."""
    codec = codecs["msgpack"]
    sample = messages.Envelope(guard_name(7), 99, body)

    def encode_and_decode() -> None:
        for _ in range(BATCH):
            codec.decode(codec.encode(sample))

    return BenchmarkWork(encode_and_decode, BATCH)


def heartbeat_envelope() -> messages.Envelope:
    """Return the envelope of a heartbeat of typical size."""
    loads = (TargetLoad("visits", ("confirm", "reroute", "check"), 8, 5, 1, 1.03),)
    body = messages.Heartbeat(Location("recife", "recife-r0", "w000"), False, loads)
    return messages.Envelope(guard_name(7), 99, body)


@costs.register("heartbeat encoded and decoded")
def heartbeat() -> BenchmarkWork:
    """Return work that encodes and decodes a heartbeat."""
    return codec_work(heartbeat_envelope().body)


@costs.register("start message of ten tasks encoded and decoded")
def start_message() -> BenchmarkWork:
    """Return work that encodes and decodes a start message."""
    spec = TaskSpec("confirm", b'{"visit": 1234567}', 100)
    tasks = tuple(messages.StartTask(n, 1, spec) for n in range(10))
    return codec_work(messages.StartTasks("1", "visits", "k" * 36, 4_000, tasks))


@costs.register("answer of twenty tasks encoded and decoded")
def answer_message() -> BenchmarkWork:
    """Return work that encodes and decodes an answer."""
    answer = Answer("complete", "", "yes", "", results(range(JOB_TASKS)))
    return codec_work(messages.Answered("1", answer))


# Job processing


@costs.register("entry: job of twenty tasks taken and answered")
def entry_job() -> BenchmarkWork:
    """Return the work of an entry instance for a job, without HTTP and encoding."""
    answer = Answer("complete", "", "yes", "", results(range(JOB_TASKS)))
    drained = Mailbox("drained")
    harness = ActorHarness(
        lambda h: Router(guard_name(0), settings(64), h.send, drained)
    )

    def run_once(harness: ActorHarness) -> None:
        reply = harness.loop.create_future()
        harness.deliver(local.SubmitJob(job(next(harness.numbers)), reply))
        ((owner, submit),) = harness.take_sent()
        harness.deliver(messages.Answered(submit.request, answer), owner)
        assert reply.result() is answer

    return harness.prepare(lambda h: h.deliver_view(11, 64)).work(run_once)


@costs.register("owner: task of a job of twenty placed and its result taken")
def owner_task() -> BenchmarkWork:
    """Return the work of an owner for a task, without keys and encoding."""
    slot_manager_mailbox, load = Mailbox("keeper"), idle_load()
    rng = random.Random(1)
    harness = ActorHarness(
        lambda h: JobRunner(guard_name(0), settings(64), h.send, rng)
    )
    harness.actor.slot_manager = slot_manager_mailbox

    def deliver_heartbeats(harness: ActorHarness) -> None:
        for number in range(11):
            info = guard_info(number)
            message = messages.Heartbeat(info.place, False, (load,))
            harness.deliver(message, info.incarnation)

    def run_once(harness: ActorHarness) -> None:
        token = next(harness.numbers)
        harness.deliver(local.OfferJob(token, 0, job(token)))
        harness.deliver(local.AdmitJob(token))
        while sent := harness.take_sent():
            for guard, start in sent:
                if isinstance(start, messages.StartTasks):
                    done = results([task.index for task in start.tasks])
                    harness.deliver(messages.TasksDone(start.job, done, load), guard)
        # Sent tasks count as in flight for a time, but the clock hardly advances here.
        harness.actor.fleet.sent_times.clear()
        ended = [
            slot_manager_mailbox.queue.get_nowait()
            for _ in range(slot_manager_mailbox.queue.qsize())
        ]
        assert ended[-1].answer.status == "complete"

    return harness.prepare(lambda h: h.deliver_view(11, 64), deliver_heartbeats).work(
        run_once, JOB_TASKS
    )


@costs.register("guard: task started and its result sent, eight a message")
def guard_task() -> BenchmarkWork:
    """Return the work of an executing guard for a task, without target and encoding."""
    mailboxes = [Mailbox(name) for name in ("client", "beats", "drained")]
    client, beats, drained = mailboxes
    own_info, spec = guard_info(0), job(0).tasks[0]
    harness = ActorHarness(
        lambda h: Executor(own_info, settings(64), h.send, beats, drained)
    )
    harness.actor.client = client

    def announce(harness: ActorHarness) -> None:
        body = {
            "service": DEPLOYMENT.service,
            "address": "127.0.0.1:9",
            "kinds": list(DEPLOYMENT.kinds),
            "slots": 8,
            "connections": 64,
            **own_info.place._asdict(),
        }
        harness.deliver(local.AnnounceTarget(body, harness.loop.create_future()))

    def run_once(harness: ActorHarness) -> None:
        key = job(next(harness.numbers)).key
        tasks = tuple(messages.StartTask(n, 1, spec, 100, "") for n in range(8))
        start = messages.StartTasks("1", DEPLOYMENT.service, key, 4_000, tasks)
        harness.deliver(start, guard_name(1))
        while not client.queue.empty():
            task = client.queue.get_nowait()
            if isinstance(task, local.RunTask):
                answered = local.TargetAnswered(task.name, True, b"1", 80.5, False)
                harness.deliver(answered)
        assert (
            len(
                [m for _, m in harness.take_sent() if isinstance(m, messages.TasksDone)]
            )
            == 8
        )
        beats.queue = asyncio.Queue()

    return harness.prepare(lambda h: h.deliver_view(11, 64), announce).work(run_once, 8)


@costs.register("task placed among 64 guards")
def placement() -> BenchmarkWork:
    """Return work that places ten tasks."""
    rng = random.Random(1)
    views = tuple(
        GuardView(
            guard_name(n),
            Location(f"zone-{n % 3}", "r", "w"),
            TargetLoad("visits", ("a",), 8, n % 8, 0, 1.0),
            0,
            0.0,
        )
        for n in range(GUARDS_IN_VIEW)
    )
    context = PlacementContext(views, lambda guard, kind: 1.0, "zone-0", rng)
    tasks = [
        WaitingTask(1, n, "a", 100.0 + n, -n / 1000, frozenset()) for n in range(10)
    ]
    choose = policies["expected_finish"].choose
    return BenchmarkWork(lambda: choose(context, tasks), len(tasks))


# Control work at the target size


@costs.register("upkeep of 26,000 slots among 13,000 guards")
def upkeep() -> BenchmarkWork:
    """Return work of one slot manager tick with heartbeats from 64 other guards."""
    mailboxes = [Mailbox(name) for name in ("beats", "runner", "drained")]
    slots = 2 * GUARDS_AT_TARGET_SIZE
    own_info, own_settings = guard_info(0), settings(slots)
    harness = ActorHarness(
        lambda h: SlotManager(own_info, own_settings, MemoryTable(), h.send, *mailboxes)
    )

    def deliver_heartbeats(harness: ActorHarness) -> None:
        for number in range(1, GUARDS_IN_VIEW + 1):
            info = guard_info(number)
            harness.deliver(messages.Heartbeat(info.place, False, ()), info.incarnation)

    def run_once(harness: ActorHarness) -> None:
        harness.deliver(
            local.ViewChanged(
                harness.actor.view._replace(last_success_at=harness.loop.time())
            )
        )
        deliver_heartbeats(harness)
        harness.deliver(Tick())

    return harness.prepare(
        lambda h: h.deliver_view(GUARDS_AT_TARGET_SIZE, slots), deliver_heartbeats
    ).work(run_once)


@costs.register("ten changed rows taken into 39,000")
def merging() -> BenchmarkWork:
    """Return work that merges ten changed rows into a mirror of 39,000."""
    count = 3 * GUARDS_AT_TARGET_SIZE
    rows = [Row(f"slots/production/{n:07d}", n + 1, bytes(130)) for n in range(count)]
    mirror = merge(Mirror(), rows, count).mirror
    changed = [row._replace(version=count + 1 + n) for n, row in enumerate(rows[:10])]
    return BenchmarkWork(lambda: merge(mirror, changed, count), 1)
