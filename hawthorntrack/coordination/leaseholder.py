"""The task of a guard that starts, renews and stops runs on its target."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from hawthorntrack.coordination import health as health_rules
from hawthorntrack.coordination import leases
from hawthorntrack.coordination.sessions import (
    RUNNING,
    STARTING,
    STOPPING,
    UNSURE,
    Run,
    TargetSession,
)
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
from hawthorntrack.protocol.local import Drain, Drained
from hawthorntrack.protocol.orders import (
    Announced,
    Departed,
    HoldOrder,
    HoldReply,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
)
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import NOT_RUN, RETRIES, STARTS, labelled
from hawthorntrack.state.plans import RunName, TargetState, TaskName
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Incarnation

HOLD_WAIT_S = 0.2  # several renewals fit into one lease
PULSE_S = 0.2
SILENT_S = 4.0  # two heartbeats and some; a target's usual interval is 1.5 s
DOUBLED_S = 3.0  # after a lost answer; such troubles last for seconds
HUNG_S = 0.35  # even a target slowed tenfold shows progress in this time
UNWELL_FIRST_S = 0.2
UNWELL_LONGEST_S = 2.0
ROOM_NEWS_S = 0.004  # gathers changes that come together
START_TRIES = 8  # with a token, number or clock corrected each time
START_REPEATS = 2  # of one that got no answer
SETTLED_KEPT_S = 5.0  # endings are told again when a link comes back
NUMBERS_KEPT = 20_000
SLOWNESS_WEIGHT = 0.1  # of the newest run in the average

after_start: Registry[Callable[..., None]] = Registry("outcome of a start")


class RoomNews:
    """Tells the lease holder to report its room."""


class LeaseHolder(Actor):
    """Owns the runs on the targets beside this guard.

    Parameters
    ----------
    send : callable
        Takes a peer's address and a message.
    calls : Mailbox
        Takes orders to the target.
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
        drained: Mailbox,
        clock: Clock,
        first_token: int,
    ) -> None:
        super().__init__()
        self.send = send
        self.calls = calls
        self.drained = drained
        self.clock = clock
        self.first_token = first_token
        self.sessions: dict[str, TargetSession] = {}
        self.entries: dict[str, str] = {}
        self.trusted_until: dict[str, float] = {}
        self.numbers: dict[TaskName, int] = {}
        self.settled: dict[TaskName, tuple[float, Ending]] = {}
        self.health = health_rules.Health()
        self.slowness = 1.0
        self.zones_out: frozenset[str] = frozenset()
        self.zones_as_of = 0
        self.sequence = 0
        self.draining = False
        self.news_due = False
        self.next_pulse = 0.0
        self.next_hold_at = 0.0

    # What the target says of itself

    @handles(Announced)
    def take_heartbeat(self, news: Announced, sender: Incarnation) -> None:
        """Take a heartbeat in, unless a newer one is known."""
        state = news.state
        if not isinstance(state, TargetState):
            log_event("target:unreadable", problem=state)
            return
        session = self.sessions.get(state.life.id)
        now = self.clock()
        if session is None or state.life.born_ms > session.state.life.born_ms:
            self.begin_life(state, now)
            return
        if state.life != session.state.life or state.sequence <= session.state.sequence:
            return
        changed = state.draining != session.state.draining
        session.state = state
        session.heard_at = now
        session.read_clock(state.clock_ms, now)
        if changed:
            log_event("target:draining", target=state.life.id, runs=len(session.runs))
        if changed or session.failures:
            self.room_changed()

    def begin_life(self, state: TargetState, now: float) -> None:
        """Begin with a new life of a target; runs of the life before are gone."""
        older = self.sessions.pop(state.life.id, None)
        if older is not None:
            self.end_session(older, "lost")
        log_event("target:new", target=state.life.id, born_ms=state.life.born_ms)
        session = TargetSession(state, self.first_token, now)
        self.sessions[state.life.id] = session
        self.health = health_rules.Health()
        self.hold(session)

    @handles(Departed)
    def take_farewell(self, news: Departed, sender: Incarnation) -> None:
        """Forget a target that has ended."""
        session = self.sessions.pop(news.target, None)
        if session is not None:
            log_event("target:departed", target=news.target, runs=len(session.runs))
            self.end_session(session, "lost")

    def end_session(self, session: TargetSession, how: str) -> None:
        """Report all runs of a life that is over."""
        self.finish(session, [(run, how) for run in session.runs.values()])
        self.room_changed()

    # Room

    def current(self) -> TargetSession | None:
        """Return the session that takes new runs."""
        live = [s for s in self.sessions.values() if not s.state.draining]
        return max(live, key=lambda s: s.state.life.born_ms, default=None)

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
        if unwell or not session.verified or self.health.ejected_until > now:
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
        """Have the room reported soon to all entry instances."""
        if not self.news_due:
            self.news_due = True
            self.later(ROOM_NEWS_S, RoomNews())

    def later(self, delay_s: float, message: Any) -> None:
        """Post a message to this task after a while."""
        asyncio.get_running_loop().call_later(delay_s, self.mailbox.put, message)

    @handles(RoomNews)
    def report_room(self, news: RoomNews, sender: Incarnation) -> None:
        """Send a pulse to all entry instances."""
        self.news_due = False
        now = self.clock()
        self.next_pulse = now + PULSE_S
        pulse = Pulse(int(now * 1000), self.room())
        for address in self.entries:
            self.send(address, pulse)

    # Entry instances

    @handles(Hello)
    def greet(self, hello: Hello, sender: Incarnation) -> None:
        """Know an entry instance; a new life of it has none of the old one's runs."""
        if hello.role != "entry":
            return
        known = self.entries.get(sender.address)
        if known is not None and known != sender.nonce:
            self.trusted_until.pop(sender.address, None)
            self.stop_runs_of(sender.address, "owner_restarted")
        self.entries[sender.address] = sender.nonce
        log_event("entry:linked", entry=str(sender))
        self.send(sender.address, Pulse(int(self.clock() * 1000), self.room()))

    @handles(LinkUp)
    def link_up(self, news: LinkUp, sender: Incarnation) -> None:
        """Wait for the peer's first message, which tells its role."""

    @handles(LinkDown)
    def lose_entry(self, news: LinkDown, sender: Incarnation) -> None:
        """Stop an entry instance's runs soon, unless its link comes back."""
        if news.address in self.trusted_until:
            limit = self.clock() + leases.RELINK_S
            until = min(self.trusted_until[news.address], limit)
            self.trusted_until[news.address] = until

    @handles(Vouch)
    def renew_trust(self, vouch: Vouch, sender: Incarnation) -> None:
        """Trust an entry instance for a while from the stamp it returns."""
        until = vouch.stamp_ms / 1000 + leases.TRUST_S
        known = self.trusted_until.get(sender.address, 0.0)
        if known <= self.clock():
            # The owner may have given these runs up already.
            self.stop_runs_of(sender.address, "owner_silent")
        self.trusted_until[sender.address] = max(known, until)
        if vouch.as_of > self.zones_as_of:
            self.zones_as_of = vouch.as_of
            self.zones_out = frozenset(vouch.zones_out)

    # Runs that entry instances ask for

    @handles(StartRuns)
    def start_runs(self, order: StartRuns, sender: Incarnation) -> None:
        """Set room aside for runs and start them; refuse what cannot start."""
        now = self.clock()
        session = self.current()
        taken: list[RunName] = []
        refused: dict[str, list[RunName]] = defaultdict(list)
        trusted = order.stamp_ms / 1000 + leases.TRUST_S
        standing = self.standing(session, now) if trusted > now else "stale_order"
        free = session.free if session is not None else None
        for run_order in order.runs:
            reason = self.why_not(run_order, session, standing, free)
            if reason:
                refused[reason].append(run_order.name)
                continue
            free = free.minus(run_order.need)
            taken.append(run_order.name)
            self.begin_run(session, run_order, order, sender.address, now)
        known = self.trusted_until.get(sender.address, 0.0)
        self.trusted_until[sender.address] = max(known, trusted)
        if taken:
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
        for other in self.sessions.values():
            earlier = other.runs.get(order.name.task)
            if earlier is not None:
                # Its caller sent the job again elsewhere, so nobody waits for it.
                self.stop(other, earlier, "superseded")
                return "still_running"
        return "" if order.need.fits(free) else "no_room"

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

    def order_start(self, session: TargetSession, run: Run) -> None:
        """Send a start, with the number that the run has now."""
        now = self.clock()
        if len(self.numbers) > NUMBERS_KEPT:
            self.numbers = dict(list(self.numbers.items())[NUMBERS_KEPT // 2 :])
        self.numbers[run.name.task] = run.name.run
        run.phase = STARTING
        session.last_sent = now
        self.calls.put(
            StartOrder(
                session.target,
                run.name,
                run.payload,
                leases.lease_until(session.clock, now),
                session.token,
            )
        )

    def refuse(self, owner: str, names: Iterable[RunName], reason: str) -> None:
        """Tell an entry instance that runs did not start and never will."""
        names = tuple(names)
        labelled(NOT_RUN, reason).inc(len(names))
        log_event("run:refused", job=names[0].task.job, count=len(names), reason=reason)
        numbers = tuple(self.numbers.get(name.task, 0) for name in names)
        self.send(owner, RunsRefused(names, numbers, reason, self.room()))

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
        }
        endings = [
            self.settled[name.task][1]
            if name.task in self.settled and self.settled[name.task][1].name == name
            else Ending(name, name.run, "lost")
            for name in order.runs
            if name not in here
        ]
        if endings:
            self.send(sender.address, RunsEnded(tuple(endings), self.room()))

    def stop_runs_of(self, owner: str, why: str) -> None:
        """Stop all runs of an entry instance."""
        for session in self.sessions.values():
            for run in list(session.runs.values()):
                if run.owner == owner:
                    self.stop(session, run, why)

    def stop(self, session: TargetSession, run: Run, why: str) -> None:
        """Send a stop; it fences a start that is still on its way, too."""
        if run.phase == STOPPING:
            return
        log_event("run:stop", job=run.name.task.job, why=why, phase=run.phase)
        run.phase, run.why, run.tries = STOPPING, why, 0
        run.moved_at = 0.0
        self.calls.put(StopOrder(session.target, run.name, session.token))

    # What orders came to

    @handles(StartReply)
    def take_start(self, reply: StartReply, sender: Incarnation) -> None:
        """Act on the outcome of a start."""
        session = self.session_of(reply)
        if session is None:
            return
        session.read_clock(reply.clock_ms, self.clock())
        run = session.runs.get(reply.order.name.task)
        if run is None or run.name != reply.order.name:
            return
        if run.phase == STARTING:
            after_start[reply.outcome](self, session, run)

    def session_of(self, reply: StartReply | StopReply | HoldReply) -> Any:
        """Return the session that an order was meant for, if it goes on."""
        session = self.sessions.get(reply.order.target.life.id)
        if session is None or session.target.life != reply.order.target.life:
            return None
        return session

    @after_start.register("started")
    def run_started(self, session: TargetSession, run: Run) -> None:
        """Begin to follow a run."""
        STARTS.inc()
        session.failures, session.heard_at = 0, self.clock()
        run.phase = RUNNING
        run.began_at = run.moved_at = self.clock()
        self.hold(session)

    @after_start.register("fenced")
    def raise_token(self, session: TargetSession, run: Run) -> None:
        """Send it again with a higher token."""
        session.fenced += 1
        session.token = leases.next_token(session.token, session.fenced)
        self.try_again(session, run, "fenced")

    @after_start.register("old_run")
    def raise_number(self, session: TargetSession, run: Run) -> None:
        """Send it again with a higher number, which an earlier guard has not used."""
        run.name = RunName(run.name.task, run.name.run + 2**run.tries)
        self.try_again(session, run, "old_run")

    @after_start.register("late")
    def correct_clock(self, session: TargetSession, run: Run) -> None:
        """Send it again: the answer has told the target's clock."""
        self.try_again(session, run, "late")

    def try_again(self, session: TargetSession, run: Run, reason: str) -> None:
        """Send a start again a few times."""
        labelled(RETRIES, reason).inc()
        run.tries += 1
        if run.tries < START_TRIES:
            self.order_start(session, run)
        else:
            self.abandon_start(session, run, "unwell")

    def abandon_start(self, session: TargetSession, run: Run, reason: str) -> None:
        """Give back a run that certainly was not begun."""
        del session.runs[run.name.task]
        self.refuse(run.owner, [run.order.name], reason)
        self.room_changed()
        self.report_drained()

    @after_start.register("no_room")
    def no_room(self, session: TargetSession, run: Run) -> None:
        """Give it back, and take nothing until an end may have made room."""
        session.retry_at = max(session.retry_at, self.clock() + HOLD_WAIT_S / 4)
        self.abandon_start(session, run, "no_room")

    @after_start.register("invalid")
    def invalid(self, session: TargetSession, run: Run) -> None:
        """Give back a run that the target does not understand."""
        self.abandon_start(session, run, "invalid")

    @after_start.register("unwell")
    def unwell(self, session: TargetSession, run: Run) -> None:
        """Give it back, and leave the target alone for a while."""
        self.back_off(session)
        self.abandon_start(session, run, "unwell")

    @after_start.register("unreachable")
    def unreachable(self, session: TargetSession, run: Run) -> None:
        """Give it back: the order was not sent."""
        session.failures += 1
        self.unwell(session, run)

    @after_start.register("other_life")
    def other_life(self, session: TargetSession, run: Run) -> None:
        """Another life answers at the address: this one is over."""
        self.sessions.pop(session.state.life.id, None)
        self.end_session(session, "lost")

    @after_start.register("unanswered")
    def unsure(self, session: TargetSession, run: Run) -> None:
        """Send it again; in the end have the list of runs tell whether it began.

        Explanation
        -----------
        The same run begins once, however often its start arrives.
        """
        labelled(RETRIES, "start_unanswered").inc()
        session.lost_answer_at = self.clock()
        if run.repeats < START_REPEATS:
            run.repeats += 1
            self.order_start(session, run)
            return
        run.phase = UNSURE
        run.moved_at = self.clock()
        self.look(session)

    def back_off(self, session: TargetSession) -> None:
        """Take no runs for a while, longer each time."""
        session.failures += 1
        pause_s = min(UNWELL_LONGEST_S, UNWELL_FIRST_S * 2 ** (session.failures - 1))
        session.retry_at = self.clock() + pause_s
        self.room_changed()

    @handles(StopReply)
    def take_stop(self, reply: StopReply, sender: Incarnation) -> None:
        """Remember when a stop was taken, or send it again."""
        session = self.session_of(reply)
        if session is None:
            return
        session.read_clock(reply.clock_ms, self.clock())
        session.foreign.discard(reply.order.name)
        run = session.runs.get(reply.order.name.task)
        if run is None or run.name != reply.order.name or run.phase != STOPPING:
            return
        if reply.outcome == "stopped":
            run.moved_at = self.clock()
            self.look(session)
        elif reply.outcome == "fenced":
            session.fenced += 1
            session.token = leases.next_token(session.token, session.fenced)
            self.calls.put(StopOrder(session.target, run.name, session.token))
        elif reply.outcome == "other_life":
            self.other_life(session, run)
        else:
            run.tries += 1
            self.calls.put(StopOrder(session.target, run.name, session.token))

    # Leases and lists

    def hold(self, session: TargetSession) -> None:
        """Renew the lease and ask for the lists, unless that is under way."""
        now = self.clock()
        pending = session.ends_seen > session.ends_acknowledged
        if session.holding is not None or not (
            session.runs or pending or not session.verified
        ):
            return
        lease_ms = None
        if session.runs and not session.failures and not self.doubtful(session, now):
            lease_ms = leases.lease_until(session.clock, now)
            session.last_sent = now
        waits = session.runs and session.verified
        wait_s = HOLD_WAIT_S if waits else 0.0
        session.holding = self.order_hold(session, lease_ms, wait_s)
        if waits and now < session.lost_answer_at + DOUBLED_S:
            # Either answer tells of an end when the other one is lost.
            self.order_hold(session, lease_ms, wait_s)

    def order_hold(
        self, session: TargetSession, lease_ms: int | None, wait_s: float
    ) -> HoldOrder:
        """Send a hold and return it."""
        token, seen = session.token, session.ends_seen
        order = HoldOrder(session.target, lease_ms, token, seen, wait_s, self.clock())
        self.calls.put(order)
        return order

    def look(self, session: TargetSession) -> None:
        """Ask for the lists now, beside a hold that waits for an end."""
        if session.holding is not None:
            self.order_hold(session, None, 0.0)
        else:
            self.hold(session)

    def doubtful(self, session: TargetSession, now: float) -> bool:
        """Return whether a run must not go on and its stop is not being answered."""
        return any(
            run.phase == STOPPING and not run.moved_at and run.tries > 2
            for run in session.runs.values()
        )

    @handles(HoldReply)
    def take_hold(self, reply: HoldReply, sender: Incarnation) -> None:
        """Act on the lists of runs."""
        session = self.session_of(reply)
        if session is None:
            return
        now = self.clock()
        if reply.order is session.holding:
            session.holding = None
        if reply.outcome == "held" and self.is_other_life(session, reply):
            self.sessions.pop(session.state.life.id)
            self.end_session(session, "lost")
            return
        if reply.outcome == "held":
            self.take_lists(session, reply, now)
            self.hold(session)
            return
        if reply.outcome == "other_life":
            self.sessions.pop(session.state.life.id)
            self.end_session(session, "lost")
        elif reply.outcome == "fenced":
            session.fenced += 1
            session.token = leases.next_token(session.token, session.fenced)
            self.hold(session)
        else:
            session.lost_answer_at = now
            if self.is_answered_by_other(session, reply):
                return
            session.failures += 1
            labelled(RETRIES, f"hold_{reply.outcome}").inc()
            log_event("target:no_lists", outcome=reply.outcome, runs=len(session.runs))
            if session.failures == 1 and reply.outcome == "unanswered":
                self.hold(session)
            self.room_changed()

    def is_answered_by_other(self, session: TargetSession, reply: HoldReply) -> bool:
        """Return whether a later hold has been answered meanwhile."""
        return session.heard_at > reply.order.sent_at + reply.order.wait_s

    def is_other_life(self, session: TargetSession, reply: HoldReply) -> bool:
        """Return whether the lists are of a later life under the same id."""
        known = session.state.life.born_ms
        return bool(known and reply.born_ms and reply.born_ms != known)

    def take_lists(self, session: TargetSession, reply: HoldReply, now: float) -> None:
        """Compare the target's lists with what should run there."""
        recovered = session.failures or not session.verified
        session.failures, session.heard_at = 0, now
        session.read_clock(reply.clock_ms, now)
        session.ends_acknowledged = max(
            session.ends_acknowledged, reply.order.ends_seen
        )
        ended = {}
        for end in reply.ended:
            if end.number > session.ends_seen:
                session.ends_seen = end.number
                ended[end.name] = end.how
        listed = {status.name: status.percent for status in reply.running}
        finished = []
        for run in list(session.runs.values()):
            how = ended.get(run.name) or self.missing(session, run, listed, reply, now)
            if how:
                finished.append((run, how))
        self.finish(session, finished)
        self.stop_foreign(session, listed)
        if recovered and not session.foreign:
            session.verified = True
            self.room_changed()

    def missing(
        self,
        session: TargetSession,
        run: Run,
        listed: dict[RunName, int],
        reply: HoldReply,
        now: float,
    ) -> str:
        """Return how a run that no end tells of has ended; empty if it goes on."""
        sent_at = reply.order.sent_at
        if run.name in listed:
            self.follow(session, run, listed[run.name], now)
            return ""
        if run.phase == RUNNING and run.began_at < sent_at:
            return "lost"
        if run.phase == UNSURE and run.moved_at < sent_at:
            self.stop(session, run, "start_unanswered")
        elif run.phase == STOPPING and run.moved_at:
            return "stopped" if run.moved_at < sent_at else ""
        return ""

    def follow(
        self, session: TargetSession, run: Run, percent: int, now: float
    ) -> None:
        """Take in how far a run has come; stop one that stands still."""
        if run.phase == UNSURE:
            STARTS.inc()
            run.phase, run.moved_at = RUNNING, now
        if run.phase != RUNNING:
            return
        if percent != run.percent:
            run.percent, run.moved_at = percent, now
        elif now - run.moved_at > HUNG_S:
            self.judge(run, spoiled=True)
            self.judge(run, spoiled=True)
            self.stop(session, run, "hung")

    def stop_foreign(self, session: TargetSession, listed: dict[RunName, int]) -> None:
        """Stop runs that this guard knows nothing of: an earlier one's."""
        ours = {run.name for run in session.runs.values()}
        foreign = {
            name
            for name in listed
            if name not in ours and name.task not in session.runs
        }
        for name in foreign:
            log_event("run:stop", job=name.task.job, why="unknown_here", phase="")
            self.calls.put(StopOrder(session.target, name, session.token))
        session.foreign = foreign

    def finish(self, session: TargetSession, ends: list[tuple[Run, str]]) -> None:
        """Report ends to the runs' owners."""
        now = self.clock()
        by_owner: dict[str, list[Ending]] = defaultdict(list)
        for run, how in ends:
            session.runs.pop(run.name.task, None)
            if how == "stopped" and run.why:
                how = run.why
            if how in ("done", "failed"):
                self.judge(run, spoiled=how == "failed")
            if how == "done":
                self.measure(run, now)
            ending = Ending(run.order.name, run.name.run, how)
            self.settled[run.name.task] = (now, ending)
            by_owner[run.owner].append(ending)
        for owner, endings in by_owner.items():
            self.send(owner, RunsEnded(tuple(endings), self.room()))
        if ends:
            self.room_changed()
            self.report_drained()

    def measure(self, run: Run, now: float) -> None:
        """Average the run time over the declared one."""
        declared_s = run.order.estimate_ms / 1000
        if declared_s > 0:
            ratio = min(20.0, (now - run.began_at) / declared_s)
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def judge(self, run: Run, spoiled: bool) -> None:
        """Take a result into the target's standing."""
        before = self.health.ejected_until
        job = run.name.task.job
        self.health = health_rules.after_result(self.health, job, spoiled, self.clock())
        if self.health.ejected_until > before:
            log_event("target:ejected", until=round(self.health.ejected_until, 3))
            self.room_changed()

    # Time

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
            task: (at, ending)
            for task, (at, ending) in self.settled.items()
            if at + SETTLED_KEPT_S > now
        }
        if now >= self.next_pulse:
            self.report_room(RoomNews(), sender)

    def give_up_on_silent(self, session: TargetSession, now: float) -> None:
        """Report runs as lapsed once no lease can be left."""
        if session.failures and session.runs:
            if now > leases.lapsed_by(session.last_sent):
                self.finish(session, [(run, "lapsed") for run in session.runs.values()])
        if not session.runs and now - session.heard_at > 3 * SILENT_S:
            log_event("target:silent", target=session.state.life.id)
            del self.sessions[session.state.life.id]

    # End of the process

    @handles(Drain)
    def drain(self, order: Drain, sender: Incarnation) -> None:
        """Take no more runs."""
        self.draining = True
        self.room_changed()
        self.report_drained()

    def report_drained(self) -> None:
        """Say when nothing runs any more."""
        if self.draining and not any(s.runs for s in self.sessions.values()):
            self.drained.put(Drained(type(self).__name__))
