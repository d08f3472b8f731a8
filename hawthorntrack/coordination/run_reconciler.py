"""The part of a lease holder that renews leases and reads lists of runs."""

from typing import Any

from hawthorntrack.coordination import health as health_rules
from hawthorntrack.coordination import leases
from hawthorntrack.coordination.target_session import (
    RUNNING,
    START_UNCONFIRMED,
    STOPPING,
    Run,
    TargetSession,
)
from hawthorntrack.protocol.target_messages import (
    RenewLeaseOrder,
    RenewLeaseReply,
    StartReply,
    StopOrder,
    StopReply,
)
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import RETRIES, STARTS, labelled
from hawthorntrack.state.plans import RunName, TargetState
from hawthorntrack.state.values import Incarnation

RENEWAL_LONG_POLL_S = 0.2  # several renewals fit into one lease
TARGET_SILENCE_LIMIT_S = (
    4.0  # two heartbeats and some; a target's usual interval is 1.5 s
)
DUPLICATE_RENEWALS_S = 3.0  # after a lost answer; such troubles last for seconds
NO_PROGRESS_LIMIT_S = 0.35  # even a target slowed tenfold shows progress in this time
SLOWNESS_SAMPLING_PAUSE_S = 1.0  # after a lost answer: as long as ends may be told late
SLOWNESS_WEIGHT = 0.1  # of the newest run in the average


class RunReconciler(Actor):
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
    owner_lease_ends : dict of str to float
        For each owner of runs, when the trust in it ends.
    """

    def __init__(self, calls: Mailbox, clock: Clock, first_token: int) -> None:
        super().__init__()
        self.calls = calls
        self.clock = clock
        self.next_token = first_token
        self.sessions: dict[str, TargetSession] = {}
        self.owner_lease_ends: dict[str, float] = {}
        self.health = health_rules.Health()
        self.slowness = 1.0

    def stop_run(self, session: TargetSession, run: Run, reason: str) -> None:
        """Send a stop."""
        raise NotImplementedError

    def record_verified_target(self, session: TargetSession) -> None:
        """Take in that a target has answered, and runs nothing of another guard."""
        raise NotImplementedError

    def finish_runs(
        self, session: TargetSession, ended_runs: list[tuple[Run, str]]
    ) -> None:
        """Report ends to the runs' owners."""
        raise NotImplementedError

    def begin_incarnation(self, state: TargetState, now: float) -> None:
        """Begin with a new life of a target."""
        raise NotImplementedError

    def schedule_capacity_report(self) -> None:
        """Have the room reported soon."""
        raise NotImplementedError

    def session_for_reply(self, reply: StartReply | StopReply | RenewLeaseReply) -> Any:
        """Return the session that an order was meant for, if it goes on."""
        session = self.sessions.get(reply.order.target.incarnation.id)
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
        self.sessions[state.incarnation.id] = session
        return session

    def advance_token(self, session: TargetSession) -> None:
        """Go up to a token that the target may accept."""
        session.fencing_refusals += 1
        session.token = leases.next_token(session.token, session.fencing_refusals)
        following = leases.next_token(session.token, 1)
        self.next_token = max(self.next_token, following)

    def end_session(self, session: TargetSession, end_state: str) -> None:
        """Forget a life that is over, and report all of its runs."""
        self.sessions.pop(session.state.incarnation.id, None)
        self.finish_runs(session, [(run, end_state) for run in session.runs.values()])
        self.schedule_capacity_report()

    def renew_lease(self, session: TargetSession) -> None:
        """Renew the lease and ask for the lists, unless that is under way.

        Explanation
        -----------
        A target that did not answer is asked on, also when it runs nothing any more:
        nothing else shows that it answers again.
        """
        now = self.clock()
        unacknowledged = session.ends_seen > session.ends_acknowledged
        unconfirmed = session.failures or not session.verified
        needed = session.runs or session.unknown_runs or unacknowledged or unconfirmed
        if session.pending_renewal is not None or not needed:
            return
        lease_end_ms = self.renewal_lease_ms(session, now)
        long_poll = session.unknown_runs or (session.runs and session.verified)
        wait_s = RENEWAL_LONG_POLL_S if long_poll else 0.0
        session.pending_renewal = self.send_renewal(session, lease_end_ms, wait_s)
        if long_poll and now < session.lost_answer_at + DUPLICATE_RENEWALS_S:
            # Either answer tells of an end when the other one is lost.
            self.send_renewal(session, lease_end_ms, wait_s)

    def send_renewal(
        self, session: TargetSession, lease_end_ms: int | None, wait_s: float
    ) -> RenewLeaseOrder:
        """Send a hold and return it."""
        token, ends_seen = session.token, session.ends_seen
        order = RenewLeaseOrder(
            session.target, lease_end_ms, token, ends_seen, wait_s, self.clock()
        )
        self.calls.put(order)
        return order

    def request_run_list(self, session: TargetSession) -> None:
        """Ask for the lists now, beside a hold that waits for an end."""
        if session.pending_renewal is not None:
            lease_end_ms = self.renewal_lease_ms(session, self.clock())
            self.send_renewal(session, lease_end_ms, 0.0)
        else:
            self.renew_lease(session)

    def renewal_lease_ms(self, session: TargetSession, now: float) -> int | None:
        """Return the lease of a hold; None if the target's lease is to stay."""
        has_active_runs = any(run.phase != STOPPING for run in session.runs.values())
        responsive = session.clock is not None and not session.failures
        if not has_active_runs or not responsive or self.renewal_blocked(session, now):
            return None
        return self.granted_lease_ms(session, now)

    def granted_lease_ms(self, session: TargetSession, now: float) -> int:
        """Return until when everything on a target may go on, on its clock.

        Explanation
        -----------
        One lease covers all runs there. So while one must not go on, a start for
        another gets what has been granted before.
        """
        if not self.renewal_blocked(session, now):
            owner_lease_ends = [
                self.owner_lease_ends[run.owner]
                for run in session.runs.values()
                if run.phase != STOPPING
            ]
            lease_end = leases.target_lease_end(now, owner_lease_ends)
            session.lease_end = max(session.lease_end, lease_end)
        return leases.to_target_clock_ms(session.clock, session.lease_end)

    def renewal_blocked(self, session: TargetSession, now: float) -> bool:
        """Return whether something must not go on and is not known to be stopped."""
        return bool(session.unknown_runs) or any(
            not run.last_change_at
            if run.phase == STOPPING
            else self.owner_lease_ends.get(run.owner, 0.0) <= now
            for run in session.runs.values()
        )

    @handles(RenewLeaseReply)
    def on_renew_lease_reply(self, reply: RenewLeaseReply, sender: Incarnation) -> None:
        """Act on the lists of runs."""
        session = self.session_for_reply(reply)
        if session is None:
            return
        now = self.clock()
        if reply.order is session.pending_renewal:
            session.pending_renewal = None
        if reply.outcome == "held" and self.is_other_incarnation(session, reply):
            incarnation = session.state.incarnation._replace(born_ms=reply.born_ms)
            self.begin_incarnation(
                session.state._replace(incarnation=incarnation, sequence=-1), now
            )
            self.sessions[incarnation.id].announced = False
            return
        if reply.outcome == "held":
            self.reconcile_runs(session, reply, now)
            self.renew_lease(session)
            return
        if session.proves_ended(reply.outcome):
            self.end_session(session, "lost")
        elif reply.outcome == "fenced":
            self.advance_token(session)
            self.renew_lease(session)
        else:
            session.lost_answer_at = now
            if self.answered_by_later_renewal(session, reply):
                return
            session.failures += 1
            labelled(RETRIES, f"hold_{reply.outcome}").inc()
            log_event("target:no_lists", outcome=reply.outcome, runs=len(session.runs))
            if session.failures == 1 and reply.outcome == "unanswered":
                self.renew_lease(session)
            self.schedule_capacity_report()

    def answered_by_later_renewal(
        self, session: TargetSession, reply: RenewLeaseReply
    ) -> bool:
        """Return whether a later hold has been answered meanwhile."""
        return session.heard_at > reply.order.sent_at + reply.order.wait_s

    def is_other_incarnation(
        self, session: TargetSession, reply: RenewLeaseReply
    ) -> bool:
        """Return whether the lists are of a later life under the same id."""
        current = session.state.incarnation.born_ms
        return bool(current and reply.born_ms and reply.born_ms != current)

    def reconcile_runs(
        self, session: TargetSession, reply: RenewLeaseReply, now: float
    ) -> None:
        """Compare the target's lists with what should run there."""
        recovered = session.failures or not session.verified
        session.failures, session.heard_at = 0, now
        session.clock = leases.TargetClockReading(reply.clock_ms, now)
        session.ends_acknowledged = max(
            session.ends_acknowledged, reply.order.ends_seen
        )
        ended = {}
        for end in reply.ended:
            if end.number > session.ends_seen:
                session.ends_seen = end.number
                ended[end.name] = end.end_state
        listed = {status.name: status.percent for status in reply.running}
        ended_runs = []
        for run in list(session.runs.values()):
            end_state = ended.get(run.name) or self.infer_ending(
                session, run, listed, reply, now
            )
            if end_state:
                ended_runs.append((run, end_state))
        self.finish_runs(session, ended_runs)
        self.stop_unknown_runs(session, listed)
        if recovered and not session.unknown_runs:
            if not session.verified:
                self.record_verified_target(session)
            session.verified = True
            self.schedule_capacity_report()

    def infer_ending(
        self,
        session: TargetSession,
        run: Run,
        listed: dict[RunName, int],
        reply: RenewLeaseReply,
        now: float,
    ) -> str:
        """Return how a run that no end tells of has ended; empty if it goes on."""
        sent_at = reply.order.sent_at
        if run.name in listed:
            self.track_progress(session, run, listed[run.name], now)
            return ""
        if run.phase == RUNNING and run.started_at < sent_at:
            return "lost"
        if run.phase == START_UNCONFIRMED and run.last_change_at < sent_at:
            self.stop_run(session, run, "start_unanswered")
        elif run.phase == STOPPING and run.last_change_at:
            return "stopped" if run.last_change_at < sent_at else ""
        return ""

    def track_progress(
        self, session: TargetSession, run: Run, percent: int, now: float
    ) -> None:
        """Take in how far a run has come; stop one that stands still."""
        if run.phase == START_UNCONFIRMED:
            STARTS.inc()
            # Only lists that are asked for from now on tell of its end.
            run.phase, run.started_at, run.last_change_at = RUNNING, now, now
        if run.phase != RUNNING:
            return
        if percent != run.percent:
            run.percent, run.last_change_at = percent, now
        elif now - run.last_change_at > NO_PROGRESS_LIMIT_S:
            self.record_result(run, target_fault=True)
            self.record_result(run, target_fault=True)
            self.stop_run(session, run, "hung")

    def stop_unknown_runs(
        self, session: TargetSession, listed: dict[RunName, int]
    ) -> None:
        """Stop runs that this guard knows nothing of: an earlier one's."""
        own_runs = {run.name for run in session.runs.values()}
        unknown_runs = {
            name
            for name in listed
            if name not in own_runs and name.task not in session.runs
        }
        for name in unknown_runs:
            log_event(
                "run:stop",
                job=name.task.job,
                task=name.task.position,
                run=name.run,
                born_ms=session.state.incarnation.born_ms,
                token=session.token,
                why="unknown_here",
                percent=listed[name],
            )
            self.calls.put(StopOrder(session.target, name, session.token))
        session.unknown_runs = unknown_runs

    def update_slowness(self, session: TargetSession, run: Run, now: float) -> None:
        """Average the run time over the declared one.

        Explanation
        -----------
        Ends that are told late, since answers are being lost, say nothing of it.
        """
        if now < session.lost_answer_at + SLOWNESS_SAMPLING_PAUSE_S:
            return
        declared_s = run.order.estimate_ms / 1000
        if declared_s > 0:
            ratio = min(20.0, (now - run.started_at) / declared_s)
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def record_result(self, run: Run, target_fault: bool) -> None:
        """Take a result into the target's standing."""
        previous = self.health.ejected_until
        job = run.name.task.job
        self.health = health_rules.after_result(
            self.health, job, target_fault, self.clock()
        )
        if self.health.ejected_until > previous:
            log_event("target:ejected", until=round(self.health.ejected_until, 3))
            self.schedule_capacity_report()

    def expire_silent_session(self, session: TargetSession, now: float) -> None:
        """Report runs as lapsed once no lease can be left."""
        if session.failures and session.runs:
            if now > leases.runs_stopped_by(session.all_leases_end):
                self.finish_runs(
                    session, [(run, "lapsed") for run in session.runs.values()]
                )
        if not session.runs and now - session.heard_at > 3 * TARGET_SILENCE_LIMIT_S:
            log_event("target:silent", target=session.state.incarnation.id)
            del self.sessions[session.state.incarnation.id]
