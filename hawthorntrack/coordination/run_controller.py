"""Base class of the lease holder: starts and stops runs on the target.

It sends start and stop orders, and retries, abandons or verifies them by their outcome.
It also opens a session for each new incarnation of the target.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from hawthorntrack.coordination import answer_times, leases
from hawthorntrack.coordination import health as health_rules
from hawthorntrack.coordination.retries import TARGET_BUDGET_RATIO
from hawthorntrack.coordination.run_reconciler import RunReconciler
from hawthorntrack.coordination.target_session import (
    RUNNING,
    START_UNCONFIRMED,
    STARTING,
    STOPPING,
    Run,
    TargetSession,
)
from hawthorntrack.protocol.target_messages import (
    StartOrder,
    StartReply,
    StopReply,
    TargetAddress,
    TargetDeparted,
    TargetHeartbeat,
    TargetStateChanged,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, RETRIES, STARTS, labelled
from hawthorntrack.state.plans import RunName, TargetState, TaskName
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Incarnation

BACKOFF_INITIAL_S = 0.2
BACKOFF_MAX_S = 2.0
# After this time, half the run time of a short task, a run may have ended and freed
# capacity.
NO_CAPACITY_PAUSE_S = 0.05
# Before each further attempt, the token, the run number or the clock reading is
# corrected.
MAX_START_ATTEMPTS = 8
MAX_UNANSWERED_START_RETRIES = 2
# Further retries are delayed, because a connection to a closed port is refused
# immediately.
IMMEDIATE_STOP_RETRIES = 3
# Equals the shortest time for which an order waits for its answer.
STOP_RETRY_DELAY_S = 0.05
MAX_RUN_NUMBERS = 20_000

start_outcome_handlers: Registry[Callable[..., None]] = Registry("outcome of a start")


class RetryStop(NamedTuple):
    """Message of the lease holder to itself: repeat a stop that is not confirmed."""

    target: TargetAddress
    name: RunName


class RunController(RunReconciler):
    """Sends start and stop orders to the target and handles their outcomes.

    Parameters
    ----------
    calls, clock, first_token, lease_times, awake_clock
        As for `RunReconciler`.
    target_record : Mailbox
        Receives `TargetStateChanged`.

    Attributes
    ----------
    run_numbers : dict of TaskName to int
        Highest run number used for each task, of the tasks started most recently.
    """

    def __init__(
        self,
        calls: Mailbox,
        target_record: Mailbox,
        clock: Clock,
        first_token: int,
        lease_times: LeaseTimes,
        awake_clock: Clock,
    ) -> None:
        super().__init__(calls, clock, first_token, lease_times, awake_clock)
        self.target_record = target_record
        self.run_numbers: dict[TaskName, int] = {}

    def refuse(self, owner: str, names: Iterable[RunName], reason: str) -> None:
        """Report to an entry instance that runs did not start and never will."""
        raise NotImplementedError

    def refuse_deferred_orders(self, task: TaskName) -> None:
        """Refuse the orders that were deferred until a run of a task has ended."""
        raise NotImplementedError

    def report_drained(self) -> None:
        """Report that draining is complete once all runs have ended."""
        raise NotImplementedError

    @handles(TargetHeartbeat)
    def on_target_heartbeat(
        self, message: TargetHeartbeat, sender: Incarnation
    ) -> None:
        """Update the target's state, unless the heartbeat is outdated or contradictory.

        Explanation
        -----------
        A heartbeat that contradicts the address or service of a verified target comes
        from another sender and is ignored.
        """
        state = message.state
        if not isinstance(state, TargetState):
            log_event("target:unreadable", problem=state)
            return
        session = self.sessions.get(state.incarnation.id)
        now = self.clock()
        contradicts = session is not None and session.contradicts(state)
        if contradicts and session.verified and session.announced:
            labelled(BAD_INPUT, "heartbeat", "contradiction").inc()
            log_event(
                "target:contradicted",
                target=state.incarnation.id,
                service=state.service,
                address=state.address,
            )
            return
        if (
            session is None
            or state.incarnation.born_ms > session.state.incarnation.born_ms
        ):
            self.begin_incarnation(state, now)
            opened = self.sessions[state.incarnation.id]
            opened.capacity_is_current = not message.stored
            return
        if (
            contradicts
            and not session.verified
            and state.incarnation == session.state.incarnation
        ):
            self.begin_incarnation(state, now)
            return
        if (
            state.incarnation != session.state.incarnation
            or state.sequence <= session.state.sequence
        ):
            return
        changed = state.draining != session.state.draining
        first = not session.announced
        session.update_state(state, now)
        if session.verified and (changed or first):
            self.target_record.put(TargetStateChanged(state))
        if changed:
            log_event(
                "target:draining", target=state.incarnation.id, runs=len(session.runs)
            )
        if changed or first or session.failures:
            self.schedule_capacity_report()

    def begin_incarnation(self, state: TargetState, now: float) -> None:
        """Open the session of a new incarnation of a target."""
        older = self.sessions.pop(state.incarnation.id, None)
        session = self.open_session(state, now)
        log_event(
            "target:new",
            target=state.incarnation.id,
            born_ms=state.incarnation.born_ms,
            sequence=state.sequence,
            born_before_ms=older.state.incarnation.born_ms if older is not None else 0,
            runs_before=len(older.runs) if older is not None else 0,
            token_before=older.token if older is not None else 0,
            token=session.token,
        )
        self.health = health_rules.Health()
        if older is not None:
            self.stop_inherited_runs(older, session)
            self.schedule_capacity_report()
        self.renew_lease(session)

    def stop_inherited_runs(self, older: TargetSession, session: TargetSession) -> None:
        """Stop the runs of the previous incarnation before they are reported as lost.

        Explanation
        -----------
        The guard detects a crash some time after it happened. A start order sent in
        between is executed by the new incarnation, which has the same id.
        """
        latest_end = leases.latest_lease_end(self.lease_times, self.clock())
        session.inherited_leases_end = max(older.all_leases_end, latest_end)
        end_state = "lost" if older.leaves_as_planned else "crashed"
        if not older.leaves_as_planned:
            self.note_crash(older, "other_incarnation")
        session.runs = older.runs
        for run in session.runs.values():
            reason, run.phase = run.stop_reason or end_state, START_UNCONFIRMED
            self.stop_run(session, run, reason)

    @handles(TargetDeparted)
    def on_target_departed(self, message: TargetDeparted, sender: Incarnation) -> None:
        """Start no more runs on a target, and check whether it has really ended.

        Explanation
        -----------
        A delayed departure message may be from an earlier incarnation. If the target
        has ended, the request that is sent here finds its connection refused.
        """
        session = self.sessions.get(message.target)
        if session is None:
            return
        log_event("target:departed", target=message.target, runs=len(session.runs))
        session.departed = True
        session.state = session.state._replace(draining=True)
        self.request_run_list(session)
        self.schedule_capacity_report()

    def record_verified_target(self, session: TargetSession) -> None:
        """Record a target that has answered, once its heartbeat has been received."""
        if session.announced:
            self.target_record.put(TargetStateChanged(session.state))

    def current_session(self) -> TargetSession | None:
        """Return the session on which new runs are started.

        Explanation
        -----------
        A heartbeat may come from another sender, so targets that have answered an order
        are preferred.
        """
        candidates = [s for s in self.sessions.values() if not s.state.draining]
        return max(
            candidates,
            key=lambda s: (s.verified, s.state.incarnation.born_ms),
            default=None,
        )

    def run_log_fields(self, session: TargetSession, run: Run) -> dict[str, object]:
        """Return log fields that identify a run and the target's incarnation."""
        return {
            "job": run.name.task.job,
            "task": run.name.task.position,
            "run": run.name.run,
            "owner": run.owner,
            "born_ms": session.state.incarnation.born_ms,
            "token": session.token,
        }

    def send_start(self, session: TargetSession, run: Run) -> None:
        """Send the start order of a run, unless its owner's lease is too short.

        Explanation
        -----------
        A target lease covers all runs on the target and is never shortened. A run whose
        owner's lease ends much earlier than the target lease is therefore abandoned.
        """
        now = self.clock()
        owner_lease_end = self.owner_lease_ends.get(run.owner, 0.0)
        if owner_lease_end <= now or leases.overruns_owner_lease(
            self.lease_times, session.all_leases_end, owner_lease_end
        ):
            self.abandon_start(session, run, "owner_silent")
            return
        if len(self.run_numbers) > MAX_RUN_NUMBERS:
            self.run_numbers = dict(
                list(self.run_numbers.items())[MAX_RUN_NUMBERS // 2 :]
            )
        self.run_numbers[run.name.task] = run.name.run
        run.phase = STARTING
        lease_end_ms = self.granted_lease_ms(session, now)
        if not run.unanswered_retries:
            session.repeat_budget.add_tokens(TARGET_BUDGET_RATIO)
        if session.lease_end <= now:
            # Runs without a confirmed stop prevent a new lease and occupy capacity.
            self.on_no_room(session, run)
            return
        self.calls.put(
            StartOrder(
                session.target,
                run.name,
                run.payload,
                lease_end_ms,
                session.token,
                now,
                answer_times.timeout_s(session.answer_times),
            )
        )

    def stop_run(self, session: TargetSession, run: Run, reason: str) -> None:
        """Send a stop order, which also fences a start order still in flight."""
        if run.phase == STOPPING:
            return
        log_event(
            "run:stop",
            **self.run_log_fields(session, run),
            why=reason,
            phase=run.phase,
            target_age_ms=round((self.clock() - session.heard_at) * 1000),
        )
        run.phase, run.stop_reason, run.attempts = STOPPING, reason, 0
        run.stopping_since = self.clock()
        run.last_change_at = 0.0
        self.send_stop(session, run.name)

    @handles(StartReply)
    def on_start_reply(self, reply: StartReply, sender: Incarnation) -> None:
        """Handle the outcome of a start order."""
        session = self.session_for_reply(reply)
        if session is None:
            return
        self.update_token(session, reply)
        session.record_clock(reply.clock_ms, self.clock())
        run = session.runs.get(reply.order.name.task)
        if run is None or run.name != reply.order.name:
            return
        if run.phase == STARTING:
            start_outcome_handlers[reply.outcome](self, session, run)

    @start_outcome_handlers.register("started")
    def on_started(self, session: TargetSession, run: Run) -> None:
        """Mark a run as running, and renew the lease to follow its progress."""
        STARTS.inc()
        session.record_contact(self.clock())
        run.phase, run.was_seen_running = RUNNING, True
        run.started_at = run.last_change_at = self.clock()
        self.renew_lease(session)

    @start_outcome_handlers.register("fenced")
    def on_fenced(self, session: TargetSession, run: Run) -> None:
        """Retry a start with the token that was raised after the refusal."""
        self.retry_start(session, run, "fenced")

    @start_outcome_handlers.register("old_run")
    def on_old_run(self, session: TargetSession, run: Run) -> None:
        """Retry a start with a higher number, which no earlier guard has used.

        Explanation
        -----------
        If an earlier order got no answer, the target may know the number from that
        order: the run has started and may have ended. The run list then shows it.
        """
        if run.unanswered_retries:
            self.log_start_retry(session, run, "old_run")
            self.verify_start(session, run)
            return
        run.name = RunName(run.name.task, run.name.run + 2**run.attempts)
        self.retry_start(session, run, "old_run")

    @start_outcome_handlers.register("late")
    def on_late(self, session: TargetSession, run: Run) -> None:
        """Retry a start that arrived late, with the clock reading from its answer."""
        self.retry_start(session, run, "late")

    def retry_start(self, session: TargetSession, run: Run, reason: str) -> None:
        """Send a start order again, up to `MAX_START_ATTEMPTS` times."""
        labelled(RETRIES, reason).inc()
        run.attempts += 1
        self.log_start_retry(session, run, reason)
        if run.attempts < MAX_START_ATTEMPTS:
            self.send_start(session, run)
        else:
            self.abandon_start(session, run, "unwell")

    def log_start_retry(self, session: TargetSession, run: Run, reason: str) -> None:
        """Log why a start is sent again or looked up in the run list."""
        log_event(
            "run:start_again",
            **self.run_log_fields(session, run),
            reason=reason,
            tries=run.attempts,
            repeats=run.unanswered_retries,
        )

    def abandon_start(self, session: TargetSession, run: Run, reason: str) -> None:
        """Refuse a run that was not started.

        Explanation
        -----------
        Only the last start order of the run is known to be refused. An earlier one that
        got no answer may still be executed, so it is first fenced by a stop.
        """
        if run.unanswered_retries:
            self.stop_run(session, run, "start_unanswered")
            return
        del session.runs[run.name.task]
        self.refuse(run.owner, [run.order.name], reason)
        self.refuse_deferred_orders(run.name.task)
        self.schedule_capacity_report()
        self.report_drained()

    @start_outcome_handlers.register("no_room")
    def on_no_room(self, session: TargetSession, run: Run) -> None:
        """Refuse the run, and accept none until the end of a run may free capacity."""
        session.retry_at = max(session.retry_at, self.clock() + NO_CAPACITY_PAUSE_S)
        self.abandon_start(session, run, "no_room")

    @start_outcome_handlers.register("invalid")
    def on_invalid(self, session: TargetSession, run: Run) -> None:
        """Refuse a run whose order the target rejected as invalid."""
        self.abandon_start(session, run, "invalid")

    @start_outcome_handlers.register("unwell")
    def on_unwell(self, session: TargetSession, run: Run) -> None:
        """Refuse the run, and start none on the target for a while."""
        self.back_off(session)
        self.abandon_start(session, run, "unwell")

    @start_outcome_handlers.register("unreachable")
    def on_unreachable(self, session: TargetSession, run: Run) -> None:
        """Refuse the run, since no process listens at the target's address."""
        self.refuse_unsent(session, run, "unreachable")

    @start_outcome_handlers.register("unsent")
    def on_unsent(self, session: TargetSession, run: Run) -> None:
        """Refuse the run, since its order was not sent."""
        self.refuse_unsent(session, run, "unsent")

    def refuse_unsent(self, session: TargetSession, run: Run, outcome: str) -> None:
        """Refuse a run whose order no target has received."""
        session.record_failure(outcome, self.clock())
        self.back_off(session, outcome)
        self.abandon_start(session, run, "unwell")

    @start_outcome_handlers.register("other_life")
    def on_other_life(self, session: TargetSession, run: Run) -> None:
        """End the session, since another incarnation answers at the address."""
        self.end_proven_session(session)

    @start_outcome_handlers.register("unanswered")
    def on_unanswered(self, session: TargetSession, run: Run) -> None:
        """Retry a start without an answer; finally look for the run in the run list.

        Explanation
        -----------
        A target starts the same run only once, however often the order arrives. Without
        budget for a repeat, the run is looked for at once.
        """
        labelled(RETRIES, "start_unanswered").inc()
        session.lost_answer_at = self.clock()
        self.log_start_retry(session, run, "start_unanswered")
        may_repeat = run.unanswered_retries < MAX_UNANSWERED_START_RETRIES
        if may_repeat and session.repeat_budget.take(self.clock()):
            run.unanswered_retries += 1
            self.send_start(session, run)
            return
        self.verify_start(session, run)

    def verify_start(self, session: TargetSession, run: Run) -> None:
        """Request the run list to find out whether a run has started."""
        run.phase = START_UNCONFIRMED
        run.last_change_at = self.clock()
        self.request_run_list(session)

    def back_off(self, session: TargetSession, outcome: str = "unwell") -> None:
        """Accept no runs for a while, which doubles with each consecutive failure."""
        session.record_failure(outcome, self.clock())
        pause_s = min(BACKOFF_MAX_S, BACKOFF_INITIAL_S * 2 ** (session.failures - 1))
        session.retry_at = self.clock() + pause_s
        self.schedule_capacity_report()

    @handles(StopReply)
    def on_stop_reply(self, reply: StopReply, sender: Incarnation) -> None:
        """Record when a stop was confirmed, or retry it."""
        session = self.session_for_reply(reply)
        if session is None:
            return
        self.update_token(session, reply)
        session.record_clock(reply.clock_ms, self.clock())
        if reply.outcome == "stopped":
            session.unknown_runs.discard(reply.order.name)
        run = session.runs.get(reply.order.name.task)
        if run is None or run.name != reply.order.name or run.phase != STOPPING:
            return
        if reply.outcome == "stopped":
            run.last_change_at = self.clock()
            self.request_run_list(session)
        elif reply.outcome == "fenced":
            self.send_stop(session, run.name)
        elif session.proves_ended(reply.outcome):
            self.end_proven_session(session)
        else:
            run.attempts += 1
            retry = RetryStop(session.target, run.name)
            if run.attempts <= IMMEDIATE_STOP_RETRIES:
                self.on_retry_stop(retry, sender)
            else:
                self.post_later(STOP_RETRY_DELAY_S, retry)

    @handles(RetryStop)
    def on_retry_stop(self, message: RetryStop, sender: Incarnation) -> None:
        """Repeat a stop order, unless it was confirmed or the run has ended."""
        session = self.sessions.get(message.target.incarnation.id)
        if session is None or session.target != message.target:
            return
        run = session.runs.get(message.name.task)
        if run is None or run.name != message.name:
            return
        if run.phase == STOPPING and not run.last_change_at:
            self.send_stop(session, run.name)
