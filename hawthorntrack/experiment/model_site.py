"""A site in simulated time: the real dispatchers and lease holders, joined up.

Only sockets, targets and callers are modelled; every decision is the product's own.
"""

import asyncio
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple

import looptime

from hawthorntrack.coordination.dispatcher import Dispatcher
from hawthorntrack.coordination.leaseholder import LeaseHolder
from hawthorntrack.coordination.queue_ordering import DEFAULT_ORDER, queue_orders
from hawthorntrack.experiment.model_target import ModelTarget
from hawthorntrack.protocol.job_requests import (
    CallerDisconnected,
    DirectivesChanged,
    SubmitPlan,
)
from hawthorntrack.protocol.links import CloseLink, LinkDown
from hawthorntrack.protocol.run_messages import Hello
from hawthorntrack.state.actor import Actor, Delivery
from hawthorntrack.state.catalogue import Catalogue, Queue, Service
from hawthorntrack.state.directives import Directives
from hawthorntrack.state.mailbox import Mailbox, tick
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import Abandoned, Completed, JobFailed, Refused

FAR_S = 0.0014
NEAR_S = 0.0001
RESEND_S = 1.3
LATE_FACTOR = 3
REDIAL_S = 0.1
LOOP_START_S = 1_000.0
LOOK_S = 0.001  # the loop's clock has no finer steps
ENTRY_TICK_S = 0.02
GUARD_TICK_S = 0.1
DRAIN_S = 5.0


class Kind(NamedTuple):
    """One kind of job in a load.

    Attributes
    ----------
    per_s : float
        Jobs a second at the site as a whole.
    width : int
        Tasks of a job, on average.
    task_s : float
        Run time of a task on a target of slowness 1, on average.
    """

    queue: str
    priority: int
    per_s: float
    width: int
    task_s: float
    cpu_m: int


class Site(NamedTuple):
    """What a model is made of: zones, targets by slowness, and kinds of jobs."""

    zones: tuple[str, ...]
    slowness: tuple[float, ...]
    target: Resources
    kinds: tuple[Kind, ...]
    stretch: float = 1.6
    latency_target_s: float = 0.06


SMALL_SITE = Site(
    ("recife", "olinda", "jaboatao"),
    (0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7),
    Resources(16_000, 32_768),
    (
        Kind("confirm", 0, 17.2, 8, 0.12, 1_600),
        Kind("reroute", 2, 3.1, 4, 1.8, 1_600),
        Kind("check", 1, 50.0, 2, 0.4, 1_600),
    ),
)


class Tally(NamedTuple):
    """How the jobs of one kind were answered."""

    asked: int
    in_time: int
    late: int
    refused: int
    failed: int


class Answered(NamedTuple):
    """One job of a caller.

    Attributes
    ----------
    at : float
        When it came, in seconds.
    answer : str
        ``in_time``, ``late``, ``refused`` or ``failed``.
    work : float
        Core-seconds that it takes.
    """

    at: float
    queue: str
    answer: str
    work: float


class Wires:
    """Carries messages between the processes of a model.

    Attributes
    ----------
    cut : set of (str, str)
        Ways, from and to, on which nothing arrives for now.
    held : list
        What was sent on such a way; it arrives when the cut heals.
    """

    def __init__(self) -> None:
        self.processes: dict[str, Process] = {}
        self.cut: set[tuple[str, str]] = set()
        self.held: list[tuple[str, str, Any]] = []

    def send(self, source: "Process", address: str, body: Any) -> None:
        """Send a message if the link is up."""
        if (address, source.me.nonce) not in source.links:
            return
        self.carry(source.me, source.zone, address, body)

    def carry(self, me: Incarnation, zone: str, address: str, body: Any) -> None:
        """Deliver after the way's delay, or hold it while the way is cut."""
        if (me.address, address) in self.cut:
            self.held.append((me, zone, address, body))
            return
        peer = self.processes.get(address)
        if peer is None:
            return
        delay_s = NEAR_S if peer.zone == zone else FAR_S
        asyncio.get_running_loop().call_later(delay_s, peer.receive, me, body)

    def heal(self) -> None:
        """End all cuts; what was held up arrives."""
        self.cut.clear()
        held, self.held = self.held, []
        for me, zone, address, body in held:
            self.carry(me, zone, address, body)


class Process:
    """One process of a model: an actor, its links, and whether it runs."""

    def __init__(self, wires: Wires, address: str, zone: str, role: str) -> None:
        self.wires = wires
        self.zone = zone
        self.role = role
        self.me = Incarnation(address, f"{random.getrandbits(32):x}")
        self.links: set[tuple[str, str]] = set()
        self.runs = asyncio.Event()
        self.runs.set()
        self.actor: Actor | None = None
        self.tasks: list[asyncio.Task] = []
        wires.processes[address] = self

    def send(self, address: str, body: Any) -> None:
        """Send a message to a peer."""
        self.wires.send(self, address, body)

    def receive(self, sender: Incarnation, body: Any) -> None:
        """Give a message to the actor."""
        if isinstance(body, LinkDown):
            self.actor.mailbox.put(body)
        else:
            self.actor.mailbox.put(Delivery(sender, body))

    def begin(self, actor: Actor, interval_s: float) -> None:
        """Run the actor and its ticks."""
        self.actor = actor
        mailbox, usual_get = actor.mailbox, actor.mailbox.get

        async def get_while_running() -> Any:
            message = await usual_get()
            await self.runs.wait()
            return message

        mailbox.get = get_while_running
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(actor.run()),
            loop.create_task(self.tick(interval_s)),
        ]

    async def tick(self, interval_s: float) -> None:
        """Tick while the process runs."""
        pulse = Mailbox("ticks")
        source = asyncio.get_running_loop().create_task(tick([(pulse, interval_s)]))
        try:
            while True:
                message = await pulse.get()
                if self.runs.is_set():
                    self.actor.mailbox.put(message)
        finally:
            source.cancel()

    @property
    def frozen(self) -> bool:
        """Return whether the process stands still."""
        return not self.runs.is_set()

    def freeze(self) -> None:
        """Stand still; what arrives waits."""
        self.runs.clear()

    def thaw(self) -> None:
        """Go on, with all that arrived meanwhile."""
        self.runs.set()

    def kill(self) -> None:
        """End the process; its peers see their links end."""
        for task in self.tasks:
            task.cancel()
        self.wires.processes.pop(self.me.address, None)
        for address, _ in self.links:
            peer = self.wires.processes.get(address)
            if peer is not None:
                peer.links.discard((self.me.address, peer.me.nonce))
                peer.receive(self.me, LinkDown(self.me.address))


class Hangups(Mailbox):
    """Takes what a dispatcher asks of the owner of its links."""

    def __init__(self, site: "ModelSite", process: Process) -> None:
        super().__init__("links")
        self.site = site
        self.process = process

    def put(self, message: Any) -> None:
        """Close a link; it is dialled again soon."""
        if isinstance(message, CloseLink):
            self.site.break_link(self.process, message.address)


class ModelSite:
    """A site of entry instances, guards and targets, with callers.

    Parameters
    ----------
    site : Site
        What it is made of.
    seed : int
        Of all chance in it.
    order : str
        In which order waiting jobs get room.

    Attributes
    ----------
    answers : list of Answered
        How each job was answered.
    violations : list of str
        Tasks of which two runs were at work at the same time, and the like.
    """

    def __init__(self, site: Site, seed: int, order: str = DEFAULT_ORDER) -> None:
        self.site = site
        self.order = queue_orders[order]
        self.rng = random.Random(seed)
        self.wires = Wires()
        self.entries: list[Process] = []
        self.guards: list[Process] = []
        self.targets: list[ModelTarget] = []
        self.ready: dict[str, bool] = {}
        self.running: dict[TaskName, set[str]] = defaultdict(set)
        self.violations: list[str] = []
        self.counts: dict[str, Counter] = defaultdict(Counter)
        self.numbers = itertools.count()
        self.background: set[asyncio.Task] = set()
        self.answers: list[Answered] = []
        self.directives = Directives(
            1,
            Catalogue(
                1,
                tuple(
                    Queue(
                        kind.queue,
                        "calls.example",
                        f"/{kind.queue}/",
                        "visits",
                        site.latency_target_s,
                        kind.priority,
                        3,
                        site.stretch,
                    )
                    for kind in site.kinds
                ),
                (Service("visits", True),),
            ),
        )

    def clock(self) -> float:
        """Return simulated time."""
        return asyncio.get_running_loop().time()

    # Processes

    def build(self) -> None:
        """Start all processes."""
        for number, zone in enumerate(self.site.zones):
            self.start_entry(f"entry-{number}:1", zone)
        for number, slowness in enumerate(self.site.slowness):
            zone = self.site.zones[number % len(self.site.zones)]
            target = ModelTarget(
                f"t{number}",
                zone,
                self.site.target,
                slowness,
                self.rng,
                self.run_began,
                self.run_ended,
            )
            self.targets.append(target)
            self.spawn(target.beat())
            self.start_guard(f"guard-{number}:1", zone, target)

    def spawn(self, work: Any) -> None:
        """Run something beside the processes."""
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def start_entry(self, address: str, zone: str) -> Process:
        """Start an entry instance and link it to all guards."""
        process = Process(self.wires, address, zone, "entry")

        def on_ready(ready: bool, reason: str) -> None:
            self.ready[address] = ready

        dispatcher = Dispatcher(
            zone,
            1.5,
            process.send,
            Hangups(self, process),
            Mailbox("drained"),
            on_ready,
            self.clock,
            DRAIN_S,
        )
        dispatcher.queue_order = self.order
        process.begin(dispatcher, ENTRY_TICK_S)
        dispatcher.mailbox.put(DirectivesChanged(self.directives))
        self.entries = [e for e in self.entries if e.me.address != address] + [process]
        for guard in self.guards:
            self.link(process, guard)
        return process

    def start_guard(self, address: str, zone: str, target: ModelTarget) -> Process:
        """Start the guard beside a target and link it to all entry instances."""
        process = Process(self.wires, address, zone, "guard")
        holder = LeaseHolder(
            process.send,
            target,
            Mailbox("memory"),
            Mailbox("drained"),
            self.clock,
            1_000,
        )
        target.replies = holder.mailbox
        process.begin(holder, GUARD_TICK_S)
        self.guards = [g for g in self.guards if g.me.address != address] + [process]
        for entry in self.entries:
            self.link(entry, process)
        return process

    def link(self, entry: Process, guard: Process) -> None:
        """Make a link, if both ends still run."""
        ways = {
            (entry.me.address, guard.me.address),
            (guard.me.address, entry.me.address),
        }
        alive = all(self.wires.processes.get(p.me.address) is p for p in (entry, guard))
        if not alive:
            return
        if ways & self.wires.cut or entry.frozen or guard.frozen:
            asyncio.get_running_loop().call_later(REDIAL_S, self.link, entry, guard)
            return
        for one, other in ((entry, guard), (guard, entry)):
            one.links.add((other.me.address, one.me.nonce))
            other.receive(one.me, Hello(one.role, one.zone, one.me.address))

    def break_link(self, process: Process, address: str) -> None:
        """Break a link; it is made anew soon."""
        peer = self.wires.processes.get(address)
        process.links.discard((address, process.me.nonce))
        if peer is None:
            return
        peer.links.discard((process.me.address, peer.me.nonce))
        if (process.me.address, address) not in self.wires.cut:
            peer.receive(process.me, LinkDown(process.me.address))
        entry, guard = (process, peer) if process.role == "entry" else (peer, process)
        asyncio.get_running_loop().call_later(REDIAL_S, self.link, entry, guard)

    def restart_guard(self, number: int, after_s: float) -> None:
        """Kill a guard and start it again after a while."""
        target = self.targets[number]
        old = next(g for g in self.guards if g.me.address == f"guard-{number}:1")
        old.kill()
        target.replies = Mailbox("nobody")
        asyncio.get_running_loop().call_later(
            after_s, self.start_guard, old.me.address, old.zone, target
        )

    def restart_entry(self, number: int, after_s: float) -> None:
        """Kill an entry instance and start it again after a while."""
        old = next(e for e in self.entries if e.me.address == f"entry-{number}:1")
        old.kill()
        asyncio.get_running_loop().call_later(
            after_s, self.start_entry, old.me.address, old.zone
        )

    def cut_off(self, one: Process, others: Sequence[Process]) -> None:
        """Cut all ways between a process and others."""
        for other in others:
            self.wires.cut |= {
                (one.me.address, other.me.address),
                (other.me.address, one.me.address),
            }

    # Checks

    def run_began(self, target: ModelTarget, name: RunName) -> None:
        """Check that no other run of the task is at work."""
        others = self.running[name.task]
        if others:
            self.violations.append(f"{name} on {target.name} beside {sorted(others)}")
        others.add(target.name)

    def run_ended(self, target: ModelTarget, name: RunName, how: str) -> None:
        """Note that a run is over."""
        self.running[name.task].discard(target.name)

    # Callers

    def plan(self, kind: Kind) -> JobPlan:
        """Draw a job of a kind."""
        key = f"{next(self.numbers):016x}"
        work_s = kind.task_s * self.rng.lognormvariate(-0.08, 0.4)
        width = max(1, round(kind.width * self.rng.lognormvariate(-0.08, 0.4)))
        cpu_m = round(kind.cpu_m * self.rng.lognormvariate(-0.02, 0.2))
        estimate_s = work_s * self.rng.lognormvariate(-0.08, 0.4)
        need = Resources(min(cpu_m, self.site.target.cpu_m), 64)
        for target in self.targets:
            target.needs[key] = need
        return JobPlan(key, f"{work_s}", (StepSpec(width, need, estimate_s),))

    async def arrive(self, kind: Kind, until: float, factor: Callable) -> None:
        """Have callers of one kind come until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(kind.per_s * factor(loop.time())))
            self.spawn(self.call(kind, self.plan(kind)))

    async def call(self, kind: Kind, plan: JobPlan) -> Any:
        """Hand a job in; send it again where the answer leaves its fate open."""
        begun = self.clock()
        task_s = float(plan.payload)
        objective = self.site.stretch * task_s + self.site.latency_target_s
        limit = LATE_FACTOR * objective
        self.counts[kind.queue]["asked"] += 1
        verdict: Any = Abandoned("no_answer")
        while isinstance(verdict, Abandoned) and self.clock() < begun + limit:
            verdict = await self.try_once(kind, plan, begun + limit)
            if isinstance(verdict, Abandoned):
                await asyncio.sleep(RESEND_S)
        took = self.clock() - begun
        if isinstance(verdict, Completed):
            answer = "in_time" if took <= objective else "late"
            answer = answer if took <= limit else "failed"
        elif isinstance(verdict, Refused):
            answer = "refused"
        elif isinstance(verdict, JobFailed):
            answer = "failed"
        else:
            answer = "failed"
        self.counts[kind.queue][answer] += 1
        work = sum(step.count * step.need.cpu_m for step in plan.steps) / 1000 * task_s
        self.answers.append(Answered(begun, kind.queue, answer, work))
        return verdict

    async def try_once(self, kind: Kind, plan: JobPlan, until: float) -> Any:
        """Send a job to an entry instance and wait for the verdict."""
        entries = [e for e in self.entries if self.ready.get(e.me.address)]
        alive = [e for e in entries if e.me.address in self.wires.processes]
        if not alive:
            return Abandoned("no_entry")
        entry = self.rng.choice(alive)
        left_s = until - self.clock()
        reply = asyncio.get_running_loop().create_future()
        order = SubmitPlan(
            "calls.example", f"/{kind.queue}/{plan.key}", plan, "", left_s, reply
        )
        entry.receive(Incarnation("caller:1", ""), order)
        while not reply.done() and self.clock() < until:
            await asyncio.wait(
                [reply], timeout=max(LOOK_S, min(0.05, until - self.clock()))
            )
            if self.wires.processes.get(entry.me.address) is not entry:
                return Abandoned("broken")
        if reply.done():
            return reply.result()
        entry.receive(Incarnation("caller:1", ""), CallerDisconnected(plan.key, reply))
        return Abandoned("timeout")

    async def play(
        self,
        seconds: float,
        faults: Callable[["ModelSite"], Any] | None = None,
        factor: Callable[[float], float] = lambda at: 1.0,
        settle_s: float = 8.0,
    ) -> dict[str, Tally]:
        """Play so many seconds of callers and return how they were served."""
        self.build()
        await asyncio.sleep(1.0)
        until = self.clock() + seconds
        for kind in self.site.kinds:
            self.spawn(self.arrive(kind, until, factor))
        if faults is not None:
            self.spawn(faults(self))
        await asyncio.sleep(seconds + settle_s)
        await self.close()
        return {
            kind.queue: Tally(
                *(self.counts[kind.queue][name] for name in Tally._fields)
            )
            for kind in self.site.kinds
        }

    async def close(self) -> None:
        """End all tasks."""
        tasks = [*self.background]
        tasks += [t for p in [*self.entries, *self.guards] for t in p.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def in_simulated_time(work: Coroutine[Any, Any, Any]) -> Any:
    """Return what `work` returns, on a loop whose clock is advanced, not waited for."""
    loop = looptime.new_event_loop(start=LOOP_START_S)
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
