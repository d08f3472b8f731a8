"""The part of a lease holder that renews leases and reads lists of runs."""

from typing import Any

from hawthorntrack.coordination import health as health_rules
from hawthorntrack.coordination import leases
from hawthorntrack.coordination.sessions import (
    RUNNING,
    STOPPING,
    UNSURE,
    Run,
    TargetSession,
)
from hawthorntrack.protocol.orders import (
    HoldOrder,
    HoldReply,
    StartReply,
    StopOrder,
    StopReply,
)
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import RETRIES, STARTS, labelled
from hawthorntrack.state.plans import RunName, TargetState
from hawthorntrack.state.values import Incarnation

HOLD_WAIT_S = 0.2  # several renewals fit into one lease
SILENT_S = 4.0  # two heartbeats and some; a target's usual interval is 1.5 s
DOUBLED_S = 3.0  # after a lost answer; such troubles last for seconds
HUNG_S = 0.35  # even a target slowed tenfold shows progress in this time
LATE_ENDS_S = 1.0  # after a lost answer: as long as ends may be told late
SLOWNESS_WEIGHT = 0.1  # of the newest run in the average


class TargetLists(Actor):
    """Keeps the sessions of targets in step with the lists that targets give.

    Parameters
    ----------
    calls : Mailbox
        Takes orders to the target.
    clock : callable
        Returns seconds, suspended time included.
    first_token : int
        Fencing token to begin with.

    Attributes
    ----------
    next_token : int
        Fencing token of the next life of a target, above those of all before it.
    trusted_until : dict of str to float
        For each owner of runs, when the trust in it ends.
    """

    def __init__(self, calls: Mailbox, clock: Clock, first_token: int) -> None:
        super().__init__()
        self.calls = calls
        self.clock = clock
        self.next_token = first_token
        self.sessions: dict[str, TargetSession] = {}
        self.trusted_until: dict[str, float] = {}
        self.health = health_rules.Health()
        self.slowness = 1.0

    def stop(self, session: TargetSession, run: Run, why: str) -> None:
        """Send a stop."""
        raise NotImplementedError

    def note_verified(self, session: TargetSession) -> None:
        """Take in that a target has answered, and runs nothing of another guard."""
        raise NotImplementedError

    def finish(self, session: TargetSession, ends: list[tuple[Run, str]]) -> None:
        """Report ends to the runs' owners."""
        raise NotImplementedError

    def begin_life(self, state: TargetState, now: float) -> None:
        """Begin with a new life of a target."""
        raise NotImplementedError

    def room_changed(self) -> None:
        """Have the room reported soon."""
        raise NotImplementedError

    def session_of(self, reply: StartReply | StopReply | HoldReply) -> Any:
        """Return the session that an order was meant for, if it goes on."""
        session = self.sessions.get(reply.order.target.life.id)
        if session is None or session.target != reply.order.target:
            return None
        return session

    def open_session(self, state: TargetState, now: float) -> TargetSession:
        """Begin a session whose first order fences those to the lives before it.

        Explanation
        -----------
        A life that comes back under its id carries out what was sent to the one
        before, and has seen no token.
        """
        session = TargetSession(state, self.next_token, now)
        self.next_token = leases.next_token(session.token, 1)
        self.sessions[state.life.id] = session
        return session

    def raise_fence(self, session: TargetSession) -> None:
        """Go up to a token that the target may accept."""
        session.fenced += 1
        session.token = leases.next_token(session.token, session.fenced)
        above = leases.next_token(session.token, 1)
        self.next_token = max(self.next_token, above)

    def end_session(self, session: TargetSession, how: str) -> None:
        """Forget a life that is over, and report all of its runs."""
        self.sessions.pop(session.state.life.id, None)
        self.finish(session, [(run, how) for run in session.runs.values()])
        self.room_changed()

    def hold(self, session: TargetSession) -> None:
        """Renew the lease and ask for the lists, unless that is under way.

        Explanation
        -----------
        A target that did not answer is asked on, also when it runs nothing any more:
        nothing else shows that it answers again.
        """
        now = self.clock()
        pending = session.ends_seen > session.ends_acknowledged
        doubted = session.failures or not session.verified
        wanted = session.runs or session.foreign or pending or doubted
        if session.holding is not None or not wanted:
            return
        lease_ms = self.renewal(session, now)
        waits = session.foreign or (session.runs and session.verified)
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
            lease_ms = self.renewal(session, self.clock())
            self.order_hold(session, lease_ms, 0.0)
        else:
            self.hold(session)

    def renewal(self, session: TargetSession, now: float) -> int | None:
        """Return the lease of a hold; None if the target's lease is to stay."""
        wanted = any(run.phase != STOPPING for run in session.runs.values())
        steady = session.clock is not None and not session.failures
        if not wanted or not steady or self.doubtful(session, now):
            return None
        return self.lease(session, now)

    def lease(self, session: TargetSession, now: float) -> int:
        """Return until when everything on a target may go on, on its clock.

        Explanation
        -----------
        One lease covers all runs there. So while one must not go on, a start for
        another gets what has been granted before.
        """
        if not self.doubtful(session, now):
            trusted = [
                self.trusted_until[run.owner]
                for run in session.runs.values()
                if run.phase != STOPPING
            ]
            ends = leases.lease_end(now, trusted)
            session.lease_ends = max(session.lease_ends, ends)
        return leases.lease_until(session.clock, session.lease_ends)

    def doubtful(self, session: TargetSession, now: float) -> bool:
        """Return whether something must not go on and is not known to be stopped."""
        return bool(session.foreign) or any(
            not run.moved_at
            if run.phase == STOPPING
            else self.trusted_until.get(run.owner, 0.0) <= now
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
            life = session.state.life._replace(born_ms=reply.born_ms)
            self.begin_life(session.state._replace(life=life, sequence=-1), now)
            self.sessions[life.id].announced = False
            return
        if reply.outcome == "held":
            self.take_lists(session, reply, now)
            self.hold(session)
            return
        if session.is_over(reply.outcome):
            self.end_session(session, "lost")
        elif reply.outcome == "fenced":
            self.raise_fence(session)
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
        session.clock = leases.TargetClock(reply.clock_ms, now)
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
            if not session.verified:
                self.note_verified(session)
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
            # Only lists that are asked for from now on tell of its end.
            run.phase, run.began_at, run.moved_at = RUNNING, now, now
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
            log_event(
                "run:stop",
                job=name.task.job,
                task=name.task.place,
                run=name.run,
                born_ms=session.state.life.born_ms,
                token=session.token,
                why="unknown_here",
                percent=listed[name],
            )
            self.calls.put(StopOrder(session.target, name, session.token))
        session.foreign = foreign

    def measure(self, session: TargetSession, run: Run, now: float) -> None:
        """Average the run time over the declared one.

        Explanation
        -----------
        Ends that are told late, since answers are being lost, say nothing of it.
        """
        if now < session.lost_answer_at + LATE_ENDS_S:
            return
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

    def give_up_on_silent(self, session: TargetSession, now: float) -> None:
        """Report runs as lapsed once no lease can be left."""
        if session.failures and session.runs:
            if now > leases.lapsed_by(session.lapses_at):
                self.finish(session, [(run, "lapsed") for run in session.runs.values()])
        if not session.runs and now - session.heard_at > 3 * SILENT_S:
            log_event("target:silent", target=session.state.life.id)
            del self.sessions[session.state.life.id]
