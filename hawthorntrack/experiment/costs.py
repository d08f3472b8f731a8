"""Pieces of the hot path, each to be timed by itself."""

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
TARGET_GUARDS = 13_000
IN_VIEW = 64
DEPLOYMENT = deployments["jardim"]


class Work(NamedTuple):
    """Something to be timed.

    Attributes
    ----------
    run : callable
        Does the work once.
    items : int
        How many items that is.
    """

    run: Callable[[], Any]
    items: int


costs: Registry[Callable[[], Work]] = Registry("processor cost")


def median_us(work: Work) -> float:
    """Return the median microseconds of one item of work."""
    work.run()
    spans = []
    for _ in range(REPEATS):
        begun = time.perf_counter()
        work.run()
        spans.append(time.perf_counter() - begun)
    return statistics.median(spans) / work.items * 1e6


# --- what the pieces work on


def guard_name(number: int) -> Incarnation:
    """Return a guard's name as large as real ones."""
    return Incarnation(f"10.{number % 200}.{number % 250}.7:{7_000 + number}", "a" * 12)


def guard_info(number: int) -> GuardInfo:
    """Return a guard's registration."""
    place = Location(f"zone-{number % 10}", f"rack-{number % 500}", f"w{number}")
    return GuardInfo(guard_name(number), place, guard_name(number).address, False)


def idle_load() -> TargetLoad:
    """Return the load of an idle target."""
    return TargetLoad(DEPLOYMENT.service, DEPLOYMENT.kinds, 8, 0, 0, 1.0)


def settings(slots: int) -> Settings:
    """Return a process's settings."""
    body = settings_body(DEPLOYMENT, Ports(31_000), 0, "-", {"slots": slots})
    return parse_settings(body, "costs")


def view(now: float, guards: int, slots: int) -> ControlView:
    """Return a view in which every slot has a pair of guards."""
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
    """Return a job."""
    spec = TaskSpec("confirm", b'{"visit": 1234567}', 100)
    key = f"0193c2a0-0000-7000-8000-{number:012d}"
    tasks = (spec,) * JOB_TASKS
    return JobSpec(key, bytes(16), DEPLOYMENT.service, "jardim", tasks, False, 4_000)


def results(indices: range | list[int]) -> tuple[TaskResult, ...]:
    """Return results of tasks."""
    return tuple(TaskResult(index, True, b'{"visit": 1}', 80.5) for index in indices)


class Stage:
    """One task of a process, with its messages kept rather than sent.

    Explanation
    -----------
    The task reads the loop's clock, so its work runs on a loop; `BATCH` items at a
    time, for the loop's own part to be small.
    """

    def __init__(self, make: Callable[["Stage"], Actor]) -> None:
        self.loop = asyncio.new_event_loop()
        self.sent: list[tuple[Incarnation, Any]] = []
        self.numbers = itertools.count(1)
        self.actor = make(self)

    def send(self, to: Incarnation, body: Any) -> None:
        """Keep a message."""
        self.sent.append((to, body))

    def take(self) -> list[tuple[Incarnation, Any]]:
        """Return and drop the messages kept."""
        found, self.sent = self.sent, []
        return found

    def tell(self, body: Any, sender: Incarnation | None = None) -> None:
        """Have the task handle a message and what it posts to itself."""
        self.actor.handle(Delivery(sender, body) if sender else body)
        queue = self.actor.mailbox.queue
        while not queue.empty():
            self.actor.handle(queue.get_nowait())

    def show(self, guards: int, slots: int) -> None:
        """Give the task a view."""
        self.tell(local.ViewChanged(view(self.loop.time(), guards, slots)))

    def work(self, one: Callable[["Stage"], None], items: int = 1) -> Work:
        """Return a batch of one item of work."""

        async def batch() -> None:
            for _ in range(BATCH):
                one(self)

        return Work(lambda: self.run(batch()), BATCH * items)

    def run(self, scene: Coroutine[Any, Any, None]) -> None:
        """Run a scene on the task's loop."""
        self.loop.run_until_complete(scene)

    def prepare(self, *steps: Callable[["Stage"], None]) -> "Stage":
        """Run steps that go before the work, and return this stage."""

        async def scene() -> None:
            for step in steps:
                step(self)

        self.run(scene())
        return self


# --- messages


def codec_work(body: Any) -> Work:
    """Return the encoding and decoding of a message."""
    codec = codecs["msgpack"]
    sample = messages.Envelope(guard_name(7), 99, body)

    def both_ways() -> None:
        for _ in range(BATCH):
            codec.decode(codec.encode(sample))

    return Work(both_ways, BATCH)


def beat() -> messages.Envelope:
    """Return a heartbeat of ordinary size."""
    loads = (TargetLoad("visits", ("confirm", "reroute", "check"), 8, 5, 1, 1.03),)
    body = messages.Heartbeat(Location("recife", "recife-r0", "w000"), False, loads)
    return messages.Envelope(guard_name(7), 99, body)


@costs.register("heartbeat encoded and decoded")
def heartbeat() -> Work:
    """Return the coding of a heartbeat."""
    return codec_work(beat().body)


@costs.register("start message of ten tasks encoded and decoded")
def start_message() -> Work:
    """Return the coding of a start message."""
    spec = TaskSpec("confirm", b'{"visit": 1234567}', 100)
    tasks = tuple(messages.StartTask(n, 1, spec) for n in range(10))
    return codec_work(messages.StartTasks("1", "visits", "k" * 36, 4_000, tasks))


@costs.register("answer of twenty tasks encoded and decoded")
def answer_message() -> Work:
    """Return the coding of an answer."""
    answer = Answer("complete", "", "yes", "", results(range(JOB_TASKS)))
    return codec_work(messages.Answered("1", answer))


# --- the hot path


@costs.register("entry: job of twenty tasks taken and answered")
def entry_job() -> Work:
    """Return an entry's part in a job, without HTTP and coding."""
    answer = Answer("complete", "", "yes", "", results(range(JOB_TASKS)))
    drained = Mailbox("drained")
    stage = Stage(lambda s: Router(guard_name(0), settings(64), s.send, drained))

    def one(stage: Stage) -> None:
        reply = stage.loop.create_future()
        stage.tell(local.SubmitJob(job(next(stage.numbers)), reply))
        ((owner, submit),) = stage.take()
        stage.tell(messages.Answered(submit.request, answer), owner)
        assert reply.result() is answer

    return stage.prepare(lambda s: s.show(11, 64)).work(one)


@costs.register("owner: task of a job of twenty placed and its result taken")
def owner_task() -> Work:
    """Return an owner's part in a task, without keys and coding."""
    keeper, load = Mailbox("keeper"), idle_load()
    rng = random.Random(1)
    stage = Stage(lambda s: JobRunner(guard_name(0), settings(64), s.send, rng))
    stage.actor.slot_manager = keeper

    def hear(stage: Stage) -> None:
        for number in range(11):
            info = guard_info(number)
            told = messages.Heartbeat(info.place, False, (load,))
            stage.tell(told, info.incarnation)

    def one(stage: Stage) -> None:
        token = next(stage.numbers)
        stage.tell(local.OfferJob(token, 0, job(token)))
        stage.tell(local.AdmitJob(token))
        while sent := stage.take():
            for guard, start in sent:
                if isinstance(start, messages.StartTasks):
                    done = results([task.index for task in start.tasks])
                    stage.tell(messages.TasksDone(start.job, done, load), guard)
        # What was sent counts as on its way for a while, and no time passes here.
        stage.actor.fleet.sent_times.clear()
        ended = [keeper.queue.get_nowait() for _ in range(keeper.queue.qsize())]
        assert ended[-1].answer.status == "complete"

    return stage.prepare(lambda s: s.show(11, 64), hear).work(one, JOB_TASKS)


@costs.register("guard: task started and its result sent, eight a message")
def guard_task() -> Work:
    """Return an executing guard's part in a task, without the target and coding."""
    boxes = [Mailbox(name) for name in ("client", "beats", "drained")]
    client, beats, drained = boxes
    me, spec = guard_info(0), job(0).tasks[0]
    stage = Stage(lambda s: Executor(me, settings(64), s.send, beats, drained))
    stage.actor.client = client

    def announce(stage: Stage) -> None:
        body = {
            "service": DEPLOYMENT.service,
            "address": "127.0.0.1:9",
            "kinds": list(DEPLOYMENT.kinds),
            "slots": 8,
            "connections": 64,
            **me.place._asdict(),
        }
        stage.tell(local.AnnounceTarget(body, stage.loop.create_future()))

    def one(stage: Stage) -> None:
        key = job(next(stage.numbers)).key
        tasks = tuple(messages.StartTask(n, 1, spec, 100, "") for n in range(8))
        start = messages.StartTasks("1", DEPLOYMENT.service, key, 4_000, tasks)
        stage.tell(start, guard_name(1))
        while not client.queue.empty():
            task = client.queue.get_nowait()
            if isinstance(task, local.RunTask):
                answered = local.TargetAnswered(task.name, True, b"1", 80.5, False)
                stage.tell(answered)
        assert (
            len([m for _, m in stage.take() if isinstance(m, messages.TasksDone)]) == 8
        )
        beats.queue = asyncio.Queue()

    return stage.prepare(lambda s: s.show(11, 64), announce).work(one, 8)


@costs.register("task placed among 64 guards")
def placement() -> Work:
    """Return the placing of ten tasks."""
    rng = random.Random(1)
    views = tuple(
        GuardView(
            guard_name(n),
            Location(f"zone-{n % 3}", "r", "w"),
            TargetLoad("visits", ("a",), 8, n % 8, 0, 1.0),
            0,
            0.0,
        )
        for n in range(IN_VIEW)
    )
    scene = PlacementContext(views, lambda guard, kind: 1.0, "zone-0", rng)
    tasks = [
        WaitingTask(1, n, "a", 100.0 + n, -n / 1000, frozenset()) for n in range(10)
    ]
    choose = policies["expected_finish"].choose
    return Work(lambda: choose(scene, tasks), len(tasks))


# --- control at the target's size


@costs.register("upkeep of 26,000 slots among 13,000 guards")
def upkeep() -> Work:
    """Return one tick of a guard's slots where 64 others are heard."""
    boxes = [Mailbox(name) for name in ("beats", "runner", "drained")]
    slots = 2 * TARGET_GUARDS
    me, made = guard_info(0), settings(slots)
    stage = Stage(lambda s: SlotManager(me, made, MemoryTable(), s.send, *boxes))

    def hear(stage: Stage) -> None:
        for number in range(1, IN_VIEW + 1):
            info = guard_info(number)
            stage.tell(messages.Heartbeat(info.place, False, ()), info.incarnation)

    def one(stage: Stage) -> None:
        stage.tell(
            local.ViewChanged(
                stage.actor.view._replace(last_success_at=stage.loop.time())
            )
        )
        hear(stage)
        stage.tell(Tick())

    return stage.prepare(lambda s: s.show(TARGET_GUARDS, slots), hear).work(one)


@costs.register("ten changed rows taken into 39,000")
def merging() -> Work:
    """Return the taking in of a poll that found changes."""
    count = 3 * TARGET_GUARDS
    held = [Row(f"slots/production/{n:07d}", n + 1, bytes(130)) for n in range(count)]
    mirror = merge(Mirror(), held, count).mirror
    changed = [row._replace(version=count + 1 + n) for n, row in enumerate(held[:10])]
    return Work(lambda: merge(mirror, changed, count), 1)
