"""The task of a guard that gets runs done for entry instances, under leases."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import chain
from typing import Any, NamedTuple

from hawthorntrack.coordination import leases
from hawthorntrack.coordination.sessions import (
    Run,
    TargetSession,
)
from hawthorntrack.coordination.target_lists import SILENT_S
from hawthorntrack.coordination.target_orders import TargetOrders
from hawthorntrack.protocol.dispatch import (
    CheckRuns,
    DropJob,
    Ending,
    Hello,
    Pulse,
    RunOrder,
    RunsEnded,
    RunsRefused,
    RunsTaken,
    StartRuns,
    StopRuns,
    TargetRoom,
    Vouch,
)
from hawthorntrack.protocol.links import LinkDown, LinkUp
from hawthorntrack.protocol.local import Drain, Drained, DrainOver
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import NOT_RUN, labelled
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.plans import RunName, TaskName
from hawthorntrack.state.values import Incarnation

PULSE_S = 0.2
ROOM_NEWS_S = 0.004  # gathers changes that come together
SETTLED_KEPT_S = 5.0  # endings are told again when a link comes back


class RoomNews:
    """Tells the lease holder to report its room."""


class Successor(NamedTuple):
    """An order that waits until an earlier run of its task is over."""

    name: RunName
    owner: str


class LeaseHolder(TargetOrders):
    """Owns the runs on the targets beside this guard.

    Parameters
    ----------
    send : callable
        Takes a peer's address and a message.
    calls : Mailbox
        Takes orders to the target.
    memory : Mailbox
        Takes `TargetSeen`.
    drained : Mailbox
        Gets `Drained` when nothing runs any more after a `Drain`.
    clock : callable
        Returns seconds, suspended time included.
    first_token : int
        Fencing token to begin with.
    """

    def __init__(
        self,
        send: Callable[[str, Any], None],
        calls: Mailbox,
        memory: Mailbox,
        drained: Mailbox,
        clock: Clock,
        first_token: int,
    ) -> None:
        super().__init__(calls, memory, clock, first_token)
        self.send = send
        self.drained = drained
        self.entries: dict[str, str] = {}
        self.wanting_news: set[str] = set()
        self.told_standing = ""
        self.settled: dict[tuple[str, TaskName], tuple[float, Ending]] = {}
        self.successors: dict[TaskName, list[Successor]] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.zones_as_of = 0
        self.sequence = 0
        self.draining = False
        self.news_due = False
        self.next_pulse = 0.0

    def standing(self, session: TargetSession | None, now: float) -> str:
        """Return whether the target takes new runs."""
        if session is None:
            drains = any(s.state.draining for s in self.sessions.values())
            return "draining" if drains else "absent"
        if self.draining:
            return "draining"
        if now - session.heard_at > SILENT_S:
            return "absent"
        unwell = session.failures > 1 or session.retry_at > now
        known = session.announced and session.verified
        if unwell or not known or self.health.ejected_until > now:
            return "unwell"
        return "ready"

    def room(self) -> TargetRoom:
        """Return what the target can take."""
        self.sequence += 1
        session, now = self.current(), self.clock()
        standing = self.standing(session, now)
        if session is None:
            return TargetRoom(standing, sequence=self.sequence)
        state = session.state
        return TargetRoom(
            standing,
            state.service,
            state.zone,
            state.life.id,
            state.labels,
            state.capacity,
            session.free,
            self.slowness,
            self.sequence,
        )

    def room_changed(self) -> None:
        """Have the room reported soon where that matters."""
        if not self.news_due and (self.wanting_news or self.standing_changed()):
            self.news_due = True
            self.later(ROOM_NEWS_S, RoomNews())

    def standing_changed(self) -> bool:
        """Return whether entry instances have not been told how the target stands."""
        return self.standing(self.current(), self.clock()) != self.told_standing

    @handles(RoomNews)
    def report_room(self, news: RoomNews, sender: Incarnation) -> None:
        """Send a pulse where jobs wait; to all if the target's standing changed."""
        self.news_due = False
        self.pulse(self.entries if self.standing_changed() else self.wanting_news)

    def pulse(self, addresses: Iterable[str]) -> None:
        """Send a pulse to entry instances."""
        room = self.room()
        if addresses is self.entries:
            self.told_standing = room.standing
        pulse = Pulse(int(self.clock() * 1000), room)
        for address in addresses:
            self.send(address, pulse)

    @handles(Hello)
    def greet(self, hello: Hello, sender: Incarnation) -> None:
        """Know an entry instance; a new life of it has none of the old one's runs."""
        if hello.role != "entry":
            return
        known = self.entries.get(sender.address)
        if known is not None and known != sender.nonce:
            self.trusted_until.pop(sender.address, None)
            self.stop_runs_of(sender.address, "owner_restarted")
            self.disown(sender.address)
        self.entries[sender.address] = sender.nonce
        log_event("entry:linked", entry=str(sender))
        self.send(sender.address, Pulse(int(self.clock() * 1000), self.room()))

    @handles(LinkUp)
    def link_up(self, news: LinkUp, sender: Incarnation) -> None:
        """Wait for the peer's first message, which tells its role."""

    @handles(LinkDown)
    def lose_entry(self, news: LinkDown, sender: Incarnation) -> None:
        """Stop an entry instance's runs soon, unless its link comes back."""
        self.wanting_news.discard(news.address)
        if news.address in self.trusted_until:
            limit = self.clock() + leases.RELINK_S
            until = min(self.trusted_until[news.address], limit)
            self.trusted_until[news.address] = until

    @handles(Vouch)
    def renew_trust(self, vouch: Vouch, sender: Incarnation) -> None:
        """Trust an entry instance on, and learn what it wants."""
        self.trust(sender.address, leases.trust_end(vouch.stamp_ms, self.clock()))
        if vouch.wants_news:
            self.wanting_news.add(sender.address)
        else:
            self.wanting_news.discard(sender.address)
        if vouch.as_of > self.zones_as_of:
            self.zones_as_of = vouch.as_of
            self.zones_out = frozenset(vouch.zones_out)

    def trust(self, owner: str, until: float) -> None:
        """Trust an owner until a time, unless it is trusted for longer."""
        known = self.trusted_until.get(owner, 0.0)
        if known <= self.clock():
            # The owner may have given these runs up already.
            self.stop_runs_of(owner, "owner_silent")
        self.trusted_until[owner] = max(known, until)

    @handles(StartRuns)
    def start_runs(self, order: StartRuns, sender: Incarnation) -> None:
        """Set room aside for runs and start them; refuse what cannot start."""
        now = self.clock()
        session = self.current()
        taken: list[RunName] = []
        refused: dict[str, list[RunName]] = defaultdict(list)
        trusted = leases.trust_end(order.stamp_ms, now)
        self.trust(sender.address, trusted)
        standing = self.standing(session, now) if trusted > now else "stale_order"
        free = session.free if session is not None else None
        for run_order in order.runs:
            earlier = self.find_run(run_order.name.task)
            if earlier is not None:
                successor = Successor(run_order.name, sender.address)
                self.add_successor(successor, *earlier, standing)
                continue
            reason = self.why_not(run_order, session, standing, free)
            if reason:
                refused[reason].append(run_order.name)
                continue
            self.begin_run(session, run_order, order, sender.address, now)
            if run_order.name.task in session.runs:
                free = free.minus(run_order.need)
                taken.append(run_order.name)
        if taken:
            log_event(
                "run:taken",
                job=taken[0].task.job,
                runs=",".join(f"{name.task.place}:{name.run}" for name in taken),
                owner=str(sender),
                trust_left_ms=round((trusted - now) * 1000),
                born_ms=session.state.life.born_ms,
            )
            self.send(sender.address, RunsTaken(tuple(taken), self.room()))
            self.room_changed()
        for reason, names in refused.items():
            self.refuse(sender.address, names, reason)

    def why_not(
        self, order: RunOrder, session: TargetSession | None, standing: str, free: Any
    ) -> str:
        """Return why a run is refused; empty if it is taken."""
        if standing != "ready":
            return standing
        if session.state.zone in self.zones_out:
            return "zone_out"
        return "" if order.need.fits(free) else "no_room"

    def find_run(self, task: TaskName) -> tuple[TargetSession, Run] | None:
        """Return a task's run that is not over, and the life of the target it is at."""
        found = (
            (session, session.runs[task])
            for session in self.sessions.values()
            if task in session.runs
        )
        return next(found, None)

    def add_successor(
        self, successor: Successor, session: TargetSession, earlier: Run, standing: str
    ) -> None:
        """Have an order wait until an earlier run of its task is over.

        Explanation
        -----------
        Its owner places the task elsewhere once it is refused. An order that was held
        up stops nothing: the earlier run may be of a later submission.
        """
        waiting = self.successors.setdefault(earlier.name.task, [])
        if successor not in waiting:
            waiting.append(successor)
        log_event(
            "run:awaited",
            **self.particulars(session, earlier),
            phase=earlier.phase,
            by=successor.owner,
        )
        if standing != "stale_order":
            # The caller sent the job again, so nobody waits for the earlier run.
            self.stop(session, earlier, "superseded")

    def disown(self, owner: str) -> None:
        """Tell nobody any more of the orders of an entry instance's earlier life."""
        for session in self.sessions.values():
            for run in session.runs.values():
                if run.owner == owner:
                    run.owner = ""
        self.successors = {
            task: [each for each in waiting if each.owner != owner]
            for task, waiting in self.successors.items()
        }

    def begin_run(
        self,
        session: TargetSession,
        order: RunOrder,
        batch: StartRuns,
        owner: str,
        now: float,
    ) -> None:
        """Send the start of one run."""
        task = order.name.task
        number = max(order.name.run, self.numbers.get(task, 0) + 1)
        useless_at = now + batch.left_ms / 1000
        run = Run(order, RunName(task, number), owner, batch.payload, useless_at, now)
        session.runs[task] = run
        self.order_start(session, run)

    def refuse(self, owner: str, names: Iterable[RunName], reason: str) -> None:
        """Tell an entry instance that runs did not start and never will."""
        names = tuple(names)
        labelled(NOT_RUN, reason).inc(len(names))
        session = self.current()
        log_event(
            "run:refused",
            job=names[0].task.job,
            count=len(names),
            reason=reason,
            owner=owner,
            free_cpu_m=session.free.cpu_m if session is not None else 0,
            target_age_ms=self.age_ms(session),
        )
        numbers = tuple(self.numbers.get(name.task, 0) for name in names)
        self.send(owner, RunsRefused(names, numbers, reason, self.room()))

    def age_ms(self, session: TargetSession | None) -> int:
        """Return how long ago the target was last heard, in milliseconds."""
        return round((self.clock() - session.heard_at) * 1000) if session else -1

    @handles(StopRuns)
    def stop_runs(self, order: StopRuns, sender: Incarnation) -> None:
        """Stop runs that their owner no longer wants."""
        for session in self.sessions.values():
            for name in order.runs:
                run = session.runs.get(name.task)
                if run is not None and run.owner == sender.address:
                    self.stop(session, run, "unwanted")

    @handles(DropJob)
    def drop_job(self, order: DropJob, sender: Incarnation) -> None:
        """Stop all runs of a job that its caller cancelled."""
        dropped = [task for task in self.successors if task.job == order.job]
        for successor in chain.from_iterable(map(self.successors.pop, dropped)):
            ending = Ending(successor.name, successor.name.run, "cancelled")
            self.send(successor.owner, RunsEnded((ending,), self.room()))
        for session in self.sessions.values():
            for run in list(session.runs.values()):
                if run.name.task.job == order.job:
                    self.stop(session, run, "cancelled")

    @handles(CheckRuns)
    def check_runs(self, order: CheckRuns, sender: Incarnation) -> None:
        """Report runs that are not here any more; stop others of that owner."""
        for session in self.sessions.values():
            for run in list(session.runs.values()):
                if run.owner == sender.address and run.order.name not in order.runs:
                    self.stop(session, run, "unwanted")
        here = {
            run.order.name
            for session in self.sessions.values()
            for run in session.runs.values()
            if run.owner == sender.address
        } | {
            successor.name
            for waiting in self.successors.values()
            for successor in waiting
            if successor.owner == sender.address
        }
        endings = [
            self.ending_of(sender.address, name)
            for name in order.runs
            if name not in here
        ]
        if endings:
            self.send(sender.address, RunsEnded(tuple(endings), self.room()))

    def ending_of(self, owner: str, name: RunName) -> Ending:
        """Return how a run that is not here any more has ended."""
        _, ending = self.settled.get((owner, name.task), (0.0, None))
        if ending is not None and ending.name == name:
            return ending
        return Ending(name, name.run, "lost")

    def stop_runs_of(self, owner: str, why: str) -> None:
        """Stop all runs of an entry instance."""
        for session in self.sessions.values():
            for run in list(session.runs.values()):
                if run.owner == owner:
                    self.stop(session, run, why)

    def finish(self, session: TargetSession, ends: list[tuple[Run, str]]) -> None:
        """Report ends to the runs' owners."""
        now = self.clock()
        by_owner: dict[str, list[Ending]] = defaultdict(list)
        not_begun: dict[str, list[RunName]] = defaultdict(list)
        for run, how in ends:
            session.runs.pop(run.name.task, None)
            if how == "stopped" and run.why:
                how = run.why
            if how != "done":
                log_event("run:over", **self.particulars(session, run), how=how)
            if how in ("done", "failed"):
                self.judge(run, spoiled=how == "failed")
            if how == "done":
                self.measure(session, run, now)
            ending = Ending(run.order.name, run.name.run, how)
            if run.owner:
                by_owner[run.owner].append(ending)
            for name, owner in self.successors.pop(run.name.task, ()):
                if how == "done":
                    by_owner[owner].append(ending._replace(name=name))
                else:
                    not_begun[owner].append(name)
        for owner, endings in by_owner.items():
            for ending in endings:
                self.settled[owner, ending.name.task] = (now, ending)
            self.send(owner, RunsEnded(tuple(endings), self.room()))
        for owner, names in not_begun.items():
            self.refuse(owner, names, "still_running")
        if ends:
            self.room_changed()
            self.report_drained()

    def answer_successors(self, task: TaskName) -> None:
        """Refuse the orders that waited for a run of a task, which is over now."""
        for name, owner in self.successors.pop(task, ()):
            self.refuse(owner, [name], "still_running")

    @handles(Tick)
    def keep_time(self, tick: Tick, sender: Incarnation) -> None:
        """Stop what nobody waits for, give up on silent targets, send pulses."""
        now = self.clock()
        for owner in leases.untrusted(self.trusted_until, now):
            del self.trusted_until[owner]
            self.stop_runs_of(owner, "owner_silent")
        for session in list(self.sessions.values()):
            for run in list(session.runs.values()):
                if run.useless_at <= now:
                    self.stop(session, run, "deadline")
            self.give_up_on_silent(session, now)
            self.hold(session)
        self.settled = {
            key: (at, ending)
            for key, (at, ending) in self.settled.items()
            if at + SETTLED_KEPT_S > now
        }
        if now >= self.next_pulse:
            self.next_pulse = now + PULSE_S
            self.pulse(self.entries)

    @handles(Drain)
    def drain(self, order: Drain, sender: Incarnation) -> None:
        """Take no more runs."""
        self.draining = True
        self.room_changed()
        self.report_drained()

    @handles(DrainOver)
    def leave_the_rest(self, order: DrainOver, sender: Incarnation) -> None:
        """Leave what still runs to the end of its lease."""
        runs = sum(len(session.runs) for session in self.sessions.values())
        log_event("guard:leaves_runs", runs=runs)

    def report_drained(self) -> None:
        """Say when nothing runs any more."""
        if self.draining and not any(s.runs for s in self.sessions.values()):
            self.drained.put(Drained(exposed_name(type(self))))
