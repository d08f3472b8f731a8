"""Base class of the lease holder: renews target leases and reconciles run lists.

Each answer to a renewal lists the runs on the target and those that have ended there.
The reconciler compares it with the runs that this guard has started.
"""

from typing import Any

from hawthorntrack.coordination import answer_times, leases
from hawthorntrack.coordination import health as health_rules
from hawthorntrack.coordination.retries import TARGET_BUDGET_RATIO
from hawthorntrack.coordination.target_session import (
    RUNNING,
    START_UNCONFIRMED,
    STOPPING,
    Run,
    TargetSession,
)
from hawthorntrack.protocol.run_messages import CrashedRun
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
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import RETRIES, STARTS, TARGET_CRASHES, labelled
from hawthorntrack.state.plans import RunName, TargetState
from hawthorntrack.state.values import Incarnation

# Allows several renewals within one target lease.
RENEWAL_LONG_POLL_S = 0.2
# Covers more than two heartbeat intervals of a target, which are usually 1.5 s.
TARGET_SILENCE_LIMIT_S = 4.0
# Faults that lose an answer tend to last for seconds. For this time after one, each
# renewal that waits for the end of a run is sent twice.
DUPLICATE_RENEWALS_S = 3.0
# Even a target slowed down tenfold shows progress within this time.
NO_PROGRESS_LIMIT_S = 0.35
# While answers are lost, the ends of runs may be reported up to this much late.
SLOWNESS_SAMPLING_PAUSE_S = 1.0
# Weight of the newest run in the moving average, once it covers enough runs.
SLOWNESS_WEIGHT = 0.1


class RunReconciler(Actor):
    """Reconciles the sessions of targets with the run lists that the targets report.

    Parameters
    ----------
    calls : Mailbox
        Receives orders to the target.
    clock : callable
        Returns seconds, including time for which the machine was suspended.
    first_token : int
        First fencing token.
    lease_times : LeaseTimes
        Durations of leases.
    awake_clock : callable
        Returns seconds, without time for which the machine was suspended.

    Attributes
    ----------
    next_token : int
        Fencing token of the next session, above those of all sessions before it.
    sessions : dict of str to TargetSession
        Current session by target id.
    owner_lease_ends : dict of str to float
        For each owner of runs, when its lease ends, in seconds of `clock`.
    slowness : float
        Moving average of measured run time over declared run time; 0 before the first
        run was measured.
    measured_runs : int
        Number of runs in that average.
    suspended_s : float
        Time for which the machine was suspended, up to a constant.
    """

    def __init__(
        self,
        calls: Mailbox,
        clock: Clock,
        first_token: int,
        lease_times: LeaseTimes,
        awake_clock: Clock,
    ) -> None:
        super().__init__()
        self.calls = calls
        self.clock = clock
        self.next_token = first_token
        self.lease_times = lease_times
        self.awake_clock = awake_clock
        self.suspended_s = clock() - awake_clock()
        self.sessions: dict[str, TargetSession] = {}
        self.owner_lease_ends: dict[str, float] = {}
        self.health = health_rules.Health()
        self.slowness = 0.0
        self.measured_runs = 0

    def handle(self, message: Any) -> None:
        """Handle one message, after a check for a suspension of the machine."""
        suspension_s = self.clock() - self.awake_clock() - self.suspended_s
        # Below zero if the process lost the processor between the two readings.
        if suspension_s > 0:
            self.suspended_s += suspension_s
            for session in self.sessions.values():
                session.add_suspension(suspension_s)
        super().handle(message)

    def stop_run(self, session: TargetSession, run: Run, reason: str) -> None:
        """Send a stop order for a run."""
        raise NotImplementedError

    def record_verified_target(self, session: TargetSession) -> None:
        """Record a target that has answered and has no run of another guard."""
        raise NotImplementedError

    def finish_runs(
        self, session: TargetSession, ended_runs: list[tuple[Run, str]]
    ) -> None:
        """Remove ended runs and report them to their owners."""
        raise NotImplementedError

    def report_crash(self, crashed: tuple[CrashedRun, ...]) -> None:
        """Report runs that ended in a crash of their target to the entry instances."""
        raise NotImplementedError

    def begin_incarnation(self, state: TargetState, now: float) -> None:
        """Open the session of a new incarnation of a target."""
        raise NotImplementedError

    def schedule_capacity_report(self) -> None:
        """Schedule a report of the target's capacity."""
        raise NotImplementedError

    def session_for_reply(self, reply: StartReply | StopReply | RenewLeaseReply) -> Any:
        """Return the session that an order belongs to, or None if it has ended."""
        session = self.sessions.get(reply.order.target.incarnation.id)
        if session is None or session.target != reply.order.target:
            return None
        session.record_answer_time(reply.order, reply.outcome, self.clock())
        return session

    def open_session(self, state: TargetState, now: float) -> TargetSession:
        """Open a session whose token fences the orders to earlier incarnations.

        Explanation
        -----------
        A target that restarts under the same id executes orders that were sent to the
        incarnation before it, because it has not seen any token yet.
        """
        session = TargetSession(state, self.take_token(), now)
        self.sessions[state.incarnation.id] = session
        return session

    def take_token(self) -> int:
        """Return a fencing token above those of all sessions so far."""
        token = self.next_token
        self.next_token = leases.next_token(token, 1)
        return token

    def update_token(
        self,
        session: TargetSession,
        reply: StartReply | StopReply | RenewLeaseReply,
    ) -> None:
        """Raise the session's token after an order was refused or got no answer.

        Explanation
        -----------
        An order without an answer may be executed seconds later and would then start a
        run, or extend the lease of runs, that the guard has given up. A higher token in
        the orders that follow fences it. An order that was overtaken by one of them is
        refused as well, although the session's token is high enough.
        """
        refused = reply.outcome == "fenced" and reply.order.token == session.token
        if refused:
            session.fencing_refusals += 1
            session.token = leases.next_token(session.token, session.fencing_refusals)
        elif reply.outcome == "unanswered":
            session.token = max(session.token, reply.order.token + 1)
        following = leases.next_token(session.token, 1)
        self.next_token = max(self.next_token, following)

    def end_session(self, session: TargetSession, end_state: str) -> None:
        """Close the session of an ended incarnation and report all of its runs."""
        self.sessions.pop(session.state.incarnation.id, None)
        self.finish_runs(session, [(run, end_state) for run in session.runs.values()])
        self.schedule_capacity_report()

    def end_proven_session(self, session: TargetSession) -> None:
        """Close the session of an incarnation that has certainly ended."""
        if session.leaves_as_planned:
            self.end_session(session, "lost")
            return
        self.note_crash(session, "other_incarnation")
        self.end_session(session, "crashed")

    def note_crash(self, session: TargetSession, evidence: str) -> None:
        """Report, count and log that a target has crashed under its runs."""
        crashed = tuple(
            self.crashed_run(session, run)
            for run in session.runs.values()
            if run.stop_reason != "crashed"
        )
        if not crashed:
            return
        TARGET_CRASHES.inc()
        log_event(
            "target:crashed",
            target=session.state.incarnation.id,
            born_ms=session.state.incarnation.born_ms,
            evidence=evidence,
            runs=",".join(
                f"{run.name.task.job}:{run.name.task.position}:{run.name.run}"
                f":{run.age_ms}"
                for run in crashed
            ),
        )
        self.report_crash(crashed)

    def crashed_run(self, session: TargetSession, run: Run) -> CrashedRun:
        """Return what is known of a run at the time when its target ended."""
        ended_at = min(session.failing_since, self.clock())
        age_ms = max(0, round((ended_at - run.started_at) * 1000))
        was_running = run.was_seen_running and run.stopping_since >= ended_at
        return CrashedRun(run.name, age_ms, was_running, run.order.isolated)

    def renew_lease(self, session: TargetSession) -> None:
        """Send a lease renewal if one is needed and none is pending.

        Explanation
        -----------
        The answer contains the run list. A target that did not answer is asked again
        even if it has no runs, since only an answer shows that it has recovered.
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
        session.repeat_budget.add_tokens(TARGET_BUDGET_RATIO)
        answers_lost = now < session.lost_answer_at + DUPLICATE_RENEWALS_S
        if long_poll and answers_lost and session.repeat_budget.take(now):
            # If one answer is lost, the other one still reports the end of a run.
            self.send_renewal(session, lease_end_ms, wait_s)

    def send_renewal(
        self, session: TargetSession, lease_end_ms: int | None, wait_s: float
    ) -> RenewLeaseOrder:
        """Send a lease renewal and return it."""
        token, ends_seen = session.token, session.ends_seen
        order = RenewLeaseOrder(
            session.target,
            lease_end_ms,
            token,
            ends_seen,
            wait_s,
            self.clock(),
            answer_times.timeout_s(session.answer_times),
        )
        self.calls.put(order)
        return order

    def send_stop(self, session: TargetSession, name: RunName) -> None:
        """Send a stop order for a run."""
        limit_s = answer_times.timeout_s(session.answer_times)
        self.calls.put(
            StopOrder(session.target, name, session.token, self.clock(), limit_s)
        )

    def request_run_list(self, session: TargetSession) -> None:
        """Request the run list now, even while a renewal waits for the end of a run.

        Explanation
        -----------
        Without budget, a further list is requested only once the one before has been
        answered or given up.
        """
        now = self.clock()
        if session.pending_renewal is None:
            self.renew_lease(session)
        elif session.pending_list is not None and not session.repeat_budget.take(now):
            session.list_wanted = True
        else:
            lease_end_ms = self.renewal_lease_ms(session, now)
            session.pending_list = self.send_renewal(session, lease_end_ms, 0.0)

    def request_wanted_list(self, session: TargetSession) -> None:
        """Request the run list if that had to wait for an earlier list."""
        if session.list_wanted and session.pending_list is None:
            session.list_wanted = False
            self.request_run_list(session)

    def renewal_lease_ms(self, session: TargetSession, now: float) -> int | None:
        """Return the lease end for a renewal; None to leave the lease unchanged."""
        has_active_runs = any(run.phase != STOPPING for run in session.runs.values())
        responsive = session.clock is not None and not session.failures
        if not has_active_runs or not responsive or self.renewal_blocked(session, now):
            return None
        return self.granted_lease_ms(session, now)

    def granted_lease_ms(self, session: TargetSession, now: float) -> int:
        """Return the end of the lease on a target, in ms of the target's clock.

        Explanation
        -----------
        One lease covers all runs on the target. While one of them must not continue,
        the lease is not extended, and the start of another run gets the end that was
        granted before.
        """
        if not self.renewal_blocked(session, now):
            owner_lease_ends = [
                self.owner_lease_ends[run.owner]
                for run in session.runs.values()
                if run.phase != STOPPING
            ]
            lease_end = leases.target_lease_end(self.lease_times, now, owner_lease_ends)
            session.lease_end = max(session.lease_end, lease_end)
        return leases.to_target_clock_ms(session.clock, session.lease_end)

    def renewal_blocked(self, session: TargetSession, now: float) -> bool:
        """Return whether a run that must not continue has not confirmed its stop."""
        return bool(session.unknown_runs) or any(
            not run.last_change_at
            if run.phase == STOPPING
            else self.owner_lease_ends.get(run.owner, 0.0) <= now
            for run in session.runs.values()
        )

    @handles(RenewLeaseReply)
    def on_renew_lease_reply(self, reply: RenewLeaseReply, sender: Incarnation) -> None:
        """Reconcile the runs with an answered renewal, or handle its failure."""
        session = self.session_for_reply(reply)
        if session is None:
            return
        now = self.clock()
        self.update_token(session, reply)
        if self.settles_pending_renewal(session, reply):
            session.pending_renewal = None
        if reply.order is session.pending_list:
            session.pending_list = None
            session.list_wanted |= reply.outcome == "fenced"
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
            self.request_wanted_list(session)
            return
        if session.proves_ended(reply.outcome):
            self.end_proven_session(session)
        elif reply.outcome == "fenced":
            self.renew_lease(session)
            self.request_wanted_list(session)
        else:
            session.lost_answer_at = now
            self.request_wanted_list(session)
            if self.answered_by_later_renewal(session, reply):
                return
            session.record_failure(reply.outcome, now)
            labelled(RETRIES, f"hold_{reply.outcome}").inc()
            log_event("target:no_lists", outcome=reply.outcome, runs=len(session.runs))
            if session.failures == 1 and reply.outcome == "unanswered":
                self.renew_lease(session)
            self.schedule_capacity_report()

    def settles_pending_renewal(
        self, session: TargetSession, reply: RenewLeaseReply
    ) -> bool:
        """Return whether the next renewal may be sent after this answer.

        Explanation
        -----------
        While answers are lost, a renewal that waits for the end of a run is sent twice.
        If only the second one is answered, waiting for the first would leave no renewal
        at the target until it is given up, and the ends of runs would be reported up to
        `RENEWAL_LONG_POLL_S` late.
        """
        pending, order = session.pending_renewal, reply.order
        if pending is None or order is pending:
            return True
        return (
            reply.outcome == "held"
            and order.wait_s > 0
            and order.sent_at >= pending.sent_at
        )

    def answered_by_later_renewal(
        self, session: TargetSession, reply: RenewLeaseReply
    ) -> bool:
        """Return whether a later renewal has been answered meanwhile."""
        return session.heard_at > reply.order.sent_at + reply.order.wait_s

    def is_other_incarnation(
        self, session: TargetSession, reply: RenewLeaseReply
    ) -> bool:
        """Return whether another incarnation under the same id sent the answer."""
        current = session.state.incarnation.born_ms
        return bool(current and reply.born_ms and reply.born_ms != current)

    def reconcile_runs(
        self, session: TargetSession, reply: RenewLeaseReply, now: float
    ) -> None:
        """Compare the target's run list with the session; report and stop runs."""
        recovered = session.failures or not session.verified
        session.record_contact(now)
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
        """Return how a run ended whose end was not reported; empty if it continues.

        Explanation
        -----------
        A run that is missing from the list has ended only if the list was requested
        after the run was started or its stop was confirmed.
        """
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
        """Update a run's progress; stop a run that makes none."""
        if run.phase == START_UNCONFIRMED:
            STARTS.inc()
            # Only lists requested from now on can show that it has ended.
            run.phase, run.started_at, run.last_change_at = RUNNING, now, now
            run.was_seen_running = True
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
        """Stop listed runs that this guard did not start; an earlier guard did."""
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
            self.send_stop(session, name)
        session.unknown_runs = unknown_runs

    def update_slowness(self, session: TargetSession, run: Run, now: float) -> None:
        """Update the average ratio of measured to declared run time.

        Explanation
        -----------
        Runs that end while answers are being lost are left out, since their ends are
        reported late.
        """
        if now < session.lost_answer_at + SLOWNESS_SAMPLING_PAUSE_S:
            return
        declared_s = run.order.estimate_ms / 1000
        if declared_s > 0:
            ratio = min(20.0, (now - run.started_at) / declared_s)
            self.measured_runs += 1
            weight = max(SLOWNESS_WEIGHT, 1 / self.measured_runs)
            self.slowness += weight * (ratio - self.slowness)

    def record_result(self, run: Run, target_fault: bool) -> None:
        """Update the target's health with a result; it may be ejected."""
        previous = self.health.ejected_until
        job = run.name.task.job
        self.health = health_rules.after_result(
            self.health, job, target_fault, self.clock()
        )
        if self.health.ejected_until > previous:
            log_event("target:ejected", until=round(self.health.ejected_until, 3))
            self.schedule_capacity_report()

    def expire_silent_session(self, session: TargetSession, now: float) -> None:
        """Report the runs of a silent target as ended; drop a session without runs.

        Explanation
        -----------
        The runs have ended once every lease on the target has expired: ``crashed`` if
        no process listens at its address, otherwise ``lapsed``. A connection may also
        be refused on the way, so it does not prove the end by itself. If the
        target has crashed, a start order that was delayed would still be executed by
        its next incarnation, so the next order to the address fences it.
        """
        if session.failures and session.runs:
            if now > leases.runs_stopped_by(self.lease_times, session.all_leases_end):
                session.token = self.take_token()
                end_state = "lapsed"
                if session.connection_refused and not session.leaves_as_planned:
                    self.note_crash(session, "connection_refused")
                    end_state = "crashed"
                self.finish_runs(
                    session, [(run, end_state) for run in session.runs.values()]
                )
        if not session.runs and now - session.heard_at > 3 * TARGET_SILENCE_LIMIT_S:
            log_event("target:silent", target=session.state.incarnation.id)
            del self.sessions[session.state.incarnation.id]
