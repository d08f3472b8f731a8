"""Simulated site: production dispatchers and lease holders in simulated time.

Only sockets, targets and callers are modelled; all decisions are made by production
code.
"""

import asyncio
import itertools
import math
import random
from collections import Counter, defaultdict, deque
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
    DirectivesConfirmed,
    SubmitPlan,
)
from hawthorntrack.protocol.links import (
    CloseLink,
    LinkDown,
    MaintainLink,
    RemovePeer,
)
from hawthorntrack.protocol.local import MembersKnown
from hawthorntrack.protocol.run_messages import Hello
from hawthorntrack.state.actor import Actor, Delivery
from hawthorntrack.state.catalogue import Catalogue, Queue, Service
from hawthorntrack.state.directives import Directives, Member
from hawthorntrack.state.lease_times import DeploymentTimes, derive_lease_times
from hawthorntrack.state.mailbox import Mailbox, tick
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import Abandoned, Completed, JobFailed, Refused

CROSS_ZONE_DELAY_S = 0.0014
SAME_ZONE_DELAY_S = 0.0001
RESEND_DELAY_S = 1.3
CALLER_TIMEOUT_FACTOR = 3
REDIAL_DELAY_S = 0.1
MEMBERS_FEED_DELAY_S = 0.01
LOOP_START_S = 1_000.0
CLOCK_STEP_S = 0.001  # resolution of the simulated clock
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
    """Configuration of a model: zones, slowness of each target, and kinds of jobs."""

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
    """Number of jobs of one kind, by their answer."""

    asked: int
    in_time: int
    late: int
    refused: int
    failed: int


class Answered(NamedTuple):
    """The answer to one job of a caller.

    Attributes
    ----------
    at : float
        Time of the job's first submission, in seconds.
    answer : str
        ``in_time``, ``late``, ``refused`` or ``failed``.
    work : float
        Work of the job in core-seconds.
    """

    at: float
    queue: str
    answer: str
    work: float


class Network:
    """Carries messages between the processes of a model.

    Attributes
    ----------
    cut_pairs : set of (str, str)
        Pairs of source and destination between which no message is delivered.
    held_messages : list
        Messages sent between such pairs; they are delivered once the cut is healed.
    in_flight : dict of (Incarnation, str) to deque
        Messages on their way, by sender and destination, in the order of sending. Two
        timers that are due at the same time fire in any order, links keep the order.
    """

    def __init__(self) -> None:
        self.processes: dict[str, Process] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self.held_messages: list[tuple[str, str, Any]] = []
        self.in_flight: dict[tuple[Incarnation, str], deque] = defaultdict(deque)

    def send(self, source: "Process", address: str, body: Any) -> None:
        """Send a message if the link is up."""
        if (address, source.me.nonce) not in source.links:
            return
        self.deliver(source.me, source.zone, address, body)

    def deliver(self, me: Incarnation, zone: str, address: str, body: Any) -> None:
        """Deliver a message after the network delay, or hold it during a cut."""
        if (me.address, address) in self.cut_pairs:
            self.held_messages.append((me, zone, address, body))
            return
        peer = self.processes.get(address)
        if peer is None:
            return
        delay_s = SAME_ZONE_DELAY_S if peer.zone == zone else CROSS_ZONE_DELAY_S
        in_flight = self.in_flight[me, address]
        in_flight.append((peer, body))
        asyncio.get_running_loop().call_later(delay_s, self.arrive, me, in_flight)

    def arrive(self, me: Incarnation, in_flight: deque) -> None:
        """Hand over the message that was sent first."""
        peer, body = in_flight.popleft()
        peer.receive(me, body)

    def heal(self) -> None:
        """End all cuts and deliver the messages held."""
        self.cut_pairs.clear()
        held, self.held_messages = self.held_messages, []
        for me, zone, address, body in held:
            self.deliver(me, zone, address, body)


class Process:
    """One process of a model: an actor, its links, and whether it is frozen.

    Attributes
    ----------
    links : set of (str, str)
        Address of each linked peer, with the own nonce under which it was linked.
    maintained : set of str
        Peers to which links are opened again.
    """

    def __init__(self, network: Network, address: str, zone: str, role: str) -> None:
        self.network = network
        self.zone = zone
        self.role = role
        self.me = Incarnation(address, f"{random.getrandbits(32):x}")
        self.links: set[tuple[str, str]] = set()
        self.maintained: set[str] = set()
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.actor: Actor | None = None
        self.tasks: list[asyncio.Task] = []
        network.processes[address] = self

    def send(self, address: str, body: Any) -> None:
        """Send a message to a peer."""
        self.network.send(self, address, body)

    def receive(self, sender: Incarnation, body: Any) -> None:
        """Put a message into the actor's mailbox."""
        if isinstance(body, LinkDown):
            self.actor.mailbox.put(body)
        else:
            self.actor.mailbox.put(Delivery(sender, body))

    def start(self, actor: Actor, interval_s: float) -> None:
        """Start the actor and its ticks."""
        self.actor = actor
        mailbox, get = actor.mailbox, actor.mailbox.get

        async def get_while_running() -> Any:
            message = await get()
            await self.unfrozen.wait()
            return message

        mailbox.get = get_while_running
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(actor.run()),
            loop.create_task(self.tick(interval_s)),
        ]

    async def tick(self, interval_s: float) -> None:
        """Send ticks to the actor, except while the process is frozen."""
        ticks = Mailbox("ticks")
        source = asyncio.get_running_loop().create_task(tick([(ticks, interval_s)]))
        try:
            while True:
                message = await ticks.get()
                if self.unfrozen.is_set():
                    self.actor.mailbox.put(message)
        finally:
            source.cancel()

    @property
    def frozen(self) -> bool:
        """Return whether the process is frozen."""
        return not self.unfrozen.is_set()

    def freeze(self) -> None:
        """Freeze the process; messages queue in its mailbox."""
        self.unfrozen.clear()

    def thaw(self) -> None:
        """Continue with the messages queued meanwhile."""
        self.unfrozen.set()

    def kill(self) -> None:
        """End the process; its peers receive `LinkDown`."""
        for task in self.tasks:
            task.cancel()
        self.network.processes.pop(self.me.address, None)
        for address, _ in self.links:
            peer = self.network.processes.get(address)
            if peer is not None:
                peer.links.discard((self.me.address, peer.me.nonce))
                peer.receive(self.me, LinkDown(self.me.address))


def member_of(process: Process) -> Member:
    """Return the registration of a process."""
    return Member(process.me.address, process.role, process.zone, process.me.address)


class LinkOwner(Mailbox):
    """Mailbox in place of the link owner; opens and closes links for a dispatcher."""

    def __init__(self, site: "ModelSite", process: Process) -> None:
        super().__init__("links")
        self.site = site
        self.process = process

    def put(self, message: Any) -> None:
        """Open, break or close a link; a broken one is redialled after a delay."""
        if isinstance(message, CloseLink):
            self.site.break_link(self.process, message.address)
        elif isinstance(message, MaintainLink):
            self.process.maintained.add(message.address)
            self.site.dial(self.process, message.address)
        elif isinstance(message, RemovePeer):
            self.process.maintained.discard(message.address)
            self.site.break_link(self.process, message.address)


class ModelSite:
    """A site of entry instances, guards and targets, with callers.

    Parameters
    ----------
    site : Site
        Configuration of the model.
    seed : int
        Seed of all random choices.
    order : str
        Name of the order in which waiting jobs get capacity.
    share_room : bool
        Whether guards offer free capacity to waiting tasks of all entry instances.

    Attributes
    ----------
    answers : list of Answered
        The answer to each job.
    violations : list of str
        Tasks that had two runs in progress at the same time.
    first_runs : dict of str to float
        Time of the first run on each target.
    """

    def __init__(
        self,
        site: Site,
        seed: int,
        order: str = DEFAULT_ORDER,
        share_room: bool = True,
    ) -> None:
        self.site = site
        self.share_room = share_room
        self.order = queue_orders[order]
        self.rng = random.Random(seed)
        self.network = Network()
        self.entries: list[Process] = []
        self.guards: list[Process] = []
        self.targets: list[ModelTarget] = []
        self.ready: dict[str, bool] = {}
        self.running: dict[TaskName, set[str]] = defaultdict(set)
        self.violations: list[str] = []
        self.first_runs: dict[str, float] = {}
        self.counts: dict[str, Counter] = defaultdict(Counter)
        self.job_numbers = itertools.count()
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
        """Return the simulated time."""
        return asyncio.get_running_loop().time()

    def build(self) -> None:
        """Start all processes."""
        for number, zone in enumerate(self.site.zones):
            self.start_entry(f"entry-{number}:1", zone)
        for slowness in self.site.slowness:
            self.add_target(slowness)

    def add_target(self, slowness: float) -> ModelTarget:
        """Start a target and the guard beside it; the target has no runs yet."""
        number = len(self.targets)
        zone = self.site.zones[number % len(self.site.zones)]
        target = ModelTarget(
            f"t{number}",
            zone,
            self.site.target,
            slowness,
            self.rng,
            self.on_run_started,
            self.on_run_ended,
        )
        self.targets.append(target)
        self.spawn(target.send_heartbeats())
        self.start_guard(f"guard-{number}:1", zone, target)
        return target

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background until the site is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def start_entry(self, address: str, zone: str) -> Process:
        """Start an entry instance; it links itself to the guards of its choice."""
        process = Process(self.network, address, zone, "entry")

        def on_ready(ready: bool, reason: str) -> None:
            self.ready[address] = ready

        dispatcher = Dispatcher(
            zone,
            1.5,
            process.send,
            LinkOwner(self, process),
            Mailbox("drained"),
            on_ready,
            self.clock,
            DRAIN_S,
            derive_lease_times(DeploymentTimes()),
            address,
            share_room=self.share_room,
        )
        dispatcher.queue_order = self.order
        process.start(dispatcher, ENTRY_TICK_S)
        dispatcher.mailbox.put(DirectivesChanged(self.directives))
        # The model has no store: the directives never change, and never get old.
        dispatcher.mailbox.put(DirectivesConfirmed(0, math.inf))
        self.entries = [e for e in self.entries if e.me.address != address] + [process]
        members = map(member_of, [*self.entries, *self.guards])
        dispatcher.mailbox.put(MembersKnown(tuple(members)))
        self.announce(process)
        return process

    def announce(self, process: Process) -> None:
        """Tell all entry instances that a process has registered."""
        for entry in self.entries:
            asyncio.get_running_loop().call_later(
                MEMBERS_FEED_DELAY_S,
                entry.actor.mailbox.put,
                MembersKnown((member_of(process),)),
            )

    def start_guard(self, address: str, zone: str, target: ModelTarget) -> Process:
        """Start the guard beside a target, and announce it to all entry instances."""
        process = Process(self.network, address, zone, "guard")
        holder = LeaseHolder(
            process.send,
            target,
            Mailbox("memory"),
            Mailbox("drained"),
            Mailbox("zone_reader"),
            self.clock,
            1_000,
            derive_lease_times(DeploymentTimes()),
            self.clock,
            self.share_room,
        )
        target.replies = holder.mailbox
        process.start(holder, GUARD_TICK_S)
        self.guards = [g for g in self.guards if g.me.address != address] + [process]
        self.announce(process)
        for entry in self.entries:
            self.dial(entry, address)
        return process

    def dial(self, entry: Process, address: str) -> None:
        """Link an entry instance to a guard, repeatedly until it succeeds."""
        guard = self.network.processes.get(address)
        if address not in entry.maintained or (address, entry.me.nonce) in entry.links:
            return
        if guard is not None:
            self.link(entry, guard)
        if (address, entry.me.nonce) not in entry.links:
            asyncio.get_running_loop().call_later(
                REDIAL_DELAY_S, self.dial, entry, address
            )

    def link(self, entry: Process, guard: Process) -> None:
        """Connect two processes if both are alive and can reach each other."""
        directions = {
            (entry.me.address, guard.me.address),
            (guard.me.address, entry.me.address),
        }
        alive = all(
            self.network.processes.get(p.me.address) is p for p in (entry, guard)
        )
        if (
            not alive
            or directions & self.network.cut_pairs
            or entry.frozen
            or guard.frozen
        ):
            return
        for one, other in ((entry, guard), (guard, entry)):
            one.links.add((other.me.address, one.me.nonce))
            other.receive(one.me, Hello(one.role, one.zone, one.me.address))

    def break_link(self, process: Process, address: str) -> None:
        """Break a link of an entry; it is redialled later if it is maintained."""
        peer = self.network.processes.get(address)
        process.links.discard((address, process.me.nonce))
        if peer is not None:
            peer.links.discard((process.me.address, peer.me.nonce))
            if (process.me.address, address) not in self.network.cut_pairs:
                peer.receive(process.me, LinkDown(process.me.address))
        asyncio.get_running_loop().call_later(
            REDIAL_DELAY_S, self.dial, process, address
        )

    def restart_guard(self, number: int, after_s: float) -> None:
        """Kill a guard and restart it after a delay."""
        target = self.targets[number]
        old = next(g for g in self.guards if g.me.address == f"guard-{number}:1")
        old.kill()
        target.replies = Mailbox("nobody")
        asyncio.get_running_loop().call_later(
            after_s, self.start_guard, old.me.address, old.zone, target
        )

    def restart_entry(self, number: int, after_s: float) -> None:
        """Kill an entry instance and restart it after a delay."""
        old = next(e for e in self.entries if e.me.address == f"entry-{number}:1")
        old.kill()
        asyncio.get_running_loop().call_later(
            after_s, self.start_entry, old.me.address, old.zone
        )

    def cut_off(self, one: Process, others: Sequence[Process]) -> None:
        """Cut the network between a process and others in both directions."""
        for other in others:
            self.network.cut_pairs |= {
                (one.me.address, other.me.address),
                (other.me.address, one.me.address),
            }

    def on_run_started(self, target: ModelTarget, name: RunName) -> None:
        """Check that no other run of the task is in progress."""
        self.first_runs.setdefault(target.name, self.clock())
        others = self.running[name.task]
        if others:
            self.violations.append(f"{name} on {target.name} beside {sorted(others)}")
        others.add(target.name)

    def on_run_ended(self, target: ModelTarget, name: RunName, how: str) -> None:
        """Record the end of a run."""
        self.running[name.task].discard(target.name)

    def plan(self, kind: Kind) -> JobPlan:
        """Return a random job of a kind."""
        key = f"{next(self.job_numbers):016x}"
        work_s = kind.task_s * self.rng.lognormvariate(-0.08, 0.4)
        width = max(1, round(kind.width * self.rng.lognormvariate(-0.08, 0.4)))
        cpu_m = round(kind.cpu_m * self.rng.lognormvariate(-0.02, 0.2))
        estimate_s = work_s * self.rng.lognormvariate(-0.08, 0.4)
        need = Resources(min(cpu_m, self.site.target.cpu_m), 64)
        for target in self.targets:
            target.needs[key] = need
        return JobPlan(key, f"{work_s}", (StepSpec(width, need, estimate_s),))

    async def generate_arrivals(
        self, kind: Kind, until: float, factor: Callable
    ) -> None:
        """Start callers of one kind of job, as a Poisson process, until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(kind.per_s * factor(loop.time())))
            self.spawn(self.submit_until_answered(kind, self.plan(kind)))

    async def submit_until_answered(self, kind: Kind, plan: JobPlan) -> Any:
        """Submit a job; resubmit it if it was abandoned without a final answer."""
        submitted_at = self.clock()
        task_s = float(plan.payload)
        objective_s = self.site.stretch * task_s + self.site.latency_target_s
        limit_s = CALLER_TIMEOUT_FACTOR * objective_s
        self.counts[kind.queue]["asked"] += 1
        verdict: Any = Abandoned("no_answer")
        while isinstance(verdict, Abandoned) and self.clock() < submitted_at + limit_s:
            verdict = await self.submit_once(kind, plan, submitted_at + limit_s)
            if isinstance(verdict, Abandoned):
                await asyncio.sleep(RESEND_DELAY_S)
        response_time_s = self.clock() - submitted_at
        if isinstance(verdict, Completed):
            answer = "in_time" if response_time_s <= objective_s else "late"
            answer = answer if response_time_s <= limit_s else "failed"
        elif isinstance(verdict, Refused):
            answer = "refused"
        elif isinstance(verdict, JobFailed):
            answer = "failed"
        else:
            answer = "failed"
        self.counts[kind.queue][answer] += 1
        work = sum(step.count * step.need.cpu_m for step in plan.steps) / 1000 * task_s
        self.answers.append(Answered(submitted_at, kind.queue, answer, work))
        return verdict

    async def submit_once(self, kind: Kind, plan: JobPlan, until: float) -> Any:
        """Send a job to an entry instance and wait for the verdict."""
        entries = [e for e in self.entries if self.ready.get(e.me.address)]
        alive = [e for e in entries if e.me.address in self.network.processes]
        if not alive:
            return Abandoned("no_entry")
        entry = self.rng.choice(alive)
        remaining_s = until - self.clock()
        reply = asyncio.get_running_loop().create_future()
        order = SubmitPlan(
            "calls.example",
            f"/{kind.queue}/{plan.key}",
            plan,
            "",
            self.clock(),
            remaining_s,
            reply,
        )
        entry.receive(Incarnation("caller:1", ""), order)
        while not reply.done() and self.clock() < until:
            await asyncio.wait(
                [reply], timeout=max(CLOCK_STEP_S, min(0.05, until - self.clock()))
            )
            if self.network.processes.get(entry.me.address) is not entry:
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
        """Run the site under load.

        Parameters
        ----------
        seconds : float
            Time during which callers submit jobs.
        faults : callable, optional
            Coroutine function that injects faults into the site.
        factor : callable
            Factor on the arrival rates at a time.
        settle_s : float
            Time to wait for answers after the last arrival.

        Returns
        -------
        dict of str to Tally
            The answers by queue.
        """
        self.build()
        await asyncio.sleep(1.0)
        until = self.clock() + seconds
        for kind in self.site.kinds:
            self.spawn(self.generate_arrivals(kind, until, factor))
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
        """Cancel all tasks of the site."""
        tasks = [*self.background]
        tasks += [t for p in [*self.entries, *self.guards] for t in p.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def in_simulated_time(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on an event loop with simulated time, and return its result."""
    loop = looptime.new_event_loop(start=LOOP_START_S)
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
