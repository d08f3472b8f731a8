"""The part of a lease holder that starts and stops runs on its target."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from hawthorntrack.coordination import health as health_rules
from hawthorntrack.coordination import leases
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
    StopOrder,
    StopReply,
    TargetAddress,
    TargetDeparted,
    TargetHeartbeat,
    TargetStateChanged,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, RETRIES, STARTS, labelled
from hawthorntrack.state.plans import RunName, TargetState, TaskName
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Incarnation

BACKOFF_INITIAL_S = 0.2
BACKOFF_MAX_S = 2.0
NO_CAPACITY_PAUSE_S = 0.05  # half a short task: until an end may have made room
MAX_START_ATTEMPTS = 8  # with a token, number or clock corrected each time
MAX_UNANSWERED_START_RETRIES = 2  # of one that got no answer
IMMEDIATE_STOP_RETRIES = (
    3  # at once; further ones pause, since a refused port answers in no time
)
STOP_RETRY_DELAY_S = 0.05  # as long as an order waits for its answer
MAX_RUN_NUMBERS = 20_000

start_outcome_handlers: Registry[Callable[..., None]] = Registry("outcome of a start")


class RetryStop(NamedTuple):
    """Tells the lease holder to repeat a stop that no answer has confirmed."""

    target: TargetAddress
    name: RunName


class RunController(RunReconciler):
    """Sends starts and stops, and acts on what they came to.

    Parameters
    ----------
    calls, clock, first_token
        As for `RunReconciler`.
    target_record : Mailbox
        Takes `TargetStateChanged`.
    """

    def __init__(
        self, calls: Mailbox, target_record: Mailbox, clock: Clock, first_token: int
    ) -> None:
        super().__init__(calls, clock, first_token)
        self.target_record = target_record
        self.run_numbers: dict[TaskName, int] = {}

    def refuse(self, owner: str, names: Iterable[RunName], reason: str) -> None:
        """Tell an entry instance that runs did not start and never will."""
        raise NotImplementedError

    def refuse_deferred_orders(self, task: TaskName) -> None:
        """Answer the orders that waited for a run of a task to be over."""
        raise NotImplementedError

    def report_drained(self) -> None:
        """Say when nothing runs any more."""
        raise NotImplementedError

    @handles(TargetHeartbeat)
    def on_target_heartbeat(
        self, message: TargetHeartbeat, sender: Incarnation
    ) -> None:
        """Take a heartbeat in, unless a newer one is known."""
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
        session.state, session.announced, session.departed = state, True, False
        session.heard_at = now
        if session.verified and (changed or first):
            self.target_record.put(TargetStateChanged(state))
        if changed:
            log_event(
                "target:draining", target=state.incarnation.id, runs=len(session.runs)
            )
        if changed or first or session.failures:
            self.schedule_capacity_report()

    def begin_incarnation(self, state: TargetState, now: float) -> None:
        """Begin with a new life of a target."""
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
        """Stop what was ordered in the life before; only then is it certainly lost.

        Explanation
        -----------
        A crash shows some time after it. A start that was sent meanwhile has been
        carried out by the new life, which goes by the same id.
        """
        latest_end = leases.latest_lease_end(self.clock())
        session.inherited_leases_end = max(older.all_leases_end, latest_end)
        session.runs = older.runs
        for run in session.runs.values():
            reason, run.phase = run.stop_reason or "lost", START_UNCONFIRMED
            self.stop_run(session, run, reason)

    @handles(TargetDeparted)
    def on_target_departed(self, message: TargetDeparted, sender: Incarnation) -> None:
        """Give a target no more runs, and find out whether it is gone.

        Explanation
        -----------
        A farewell that was held up may be one of an earlier life. One that tells the
        truth is followed by a refused connection.
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
        """Remember a target that has answered."""
        if session.announced:
            self.target_record.put(TargetStateChanged(session.state))

    def current_session(self) -> TargetSession | None:
        """Return the session that takes new runs.

        Explanation
        -----------
        A heartbeat may be another writer's: whoever has answered goes first.
        """
        candidates = [s for s in self.sessions.values() if not s.state.draining]
        return max(
            candidates,
            key=lambda s: (s.verified, s.state.incarnation.born_ms),
            default=None,
        )

    def run_log_fields(self, session: TargetSession, run: Run) -> dict[str, object]:
        """Return what tells a run, and the life of the target that it is at."""
        return {
            "job": run.name.task.job,
            "task": run.name.task.position,
            "run": run.name.run,
            "owner": run.owner,
            "born_ms": session.state.incarnation.born_ms,
            "token": session.token,
        }

    def send_start(self, session: TargetSession, run: Run) -> None:
        """Send a start, with the number that the run has now, if its owner is there.

        Explanation
        -----------
        Leases cover all runs on a target and are never shortened, so a run for an
        owner that is trusted for less long than others may not join theirs.
        """
        now = self.clock()
        owner_lease_end = self.owner_lease_ends.get(run.owner, 0.0)
        if owner_lease_end <= now or leases.overruns_owner_lease(
            session.all_leases_end, owner_lease_end
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
        if session.lease_end <= now:
            # What is being stopped still counts as running.
            self.on_no_room(session, run)
            return
        self.calls.put(
            StartOrder(
                session.target, run.name, run.payload, lease_end_ms, session.token
            )
        )

    def stop_run(self, session: TargetSession, run: Run, reason: str) -> None:
        """Send a stop; it fences a start that is still on its way, too."""
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
        run.last_change_at = 0.0
        self.calls.put(StopOrder(session.target, run.name, session.token))

    @handles(StartReply)
    def on_start_reply(self, reply: StartReply, sender: Incarnation) -> None:
        """Act on the outcome of a start."""
        session = self.session_for_reply(reply)
        if session is None:
            return
        session.record_clock(reply.clock_ms, self.clock())
        run = session.runs.get(reply.order.name.task)
        if run is None or run.name != reply.order.name:
            return
        if run.phase == STARTING:
            start_outcome_handlers[reply.outcome](self, session, run)

    @start_outcome_handlers.register("started")
    def on_started(self, session: TargetSession, run: Run) -> None:
        """Begin to follow a run."""
        STARTS.inc()
        session.failures, session.heard_at = 0, self.clock()
        run.phase = RUNNING
        run.started_at = run.last_change_at = self.clock()
        self.renew_lease(session)

    @start_outcome_handlers.register("fenced")
    def on_fenced(self, session: TargetSession, run: Run) -> None:
        """Send it again with a higher token."""
        self.advance_token(session)
        self.retry_start(session, run, "fenced")

    @start_outcome_handlers.register("old_run")
    def on_old_run(self, session: TargetSession, run: Run) -> None:
        """Send it again with a higher number, which an earlier guard has not used.

        Explanation
        -----------
        After an order without an answer the number may be this run's own: it has
        begun, and may be over. Then the lists tell.
        """
        if run.unanswered_retries:
            self.log_start_retry(session, run, "old_run")
            self.verify_start(session, run)
            return
        run.name = RunName(run.name.task, run.name.run + 2**run.attempts)
        self.retry_start(session, run, "old_run")

    @start_outcome_handlers.register("late")
    def on_late(self, session: TargetSession, run: Run) -> None:
        """Send it again: the answer has told the target's clock."""
        self.retry_start(session, run, "late")

    def retry_start(self, session: TargetSession, run: Run, reason: str) -> None:
        """Send a start again a few times."""
        labelled(RETRIES, reason).inc()
        run.attempts += 1
        self.log_start_retry(session, run, reason)
        if run.attempts < MAX_START_ATTEMPTS:
            self.send_start(session, run)
        else:
            self.abandon_start(session, run, "unwell")

    def log_start_retry(self, session: TargetSession, run: Run, reason: str) -> None:
        """Tell why a start is sent once more, or looked for in the lists."""
        log_event(
            "run:start_again",
            **self.run_log_fields(session, run),
            reason=reason,
            tries=run.attempts,
            repeats=run.unanswered_retries,
        )

    def abandon_start(self, session: TargetSession, run: Run, reason: str) -> None:
        """Give back a run that was not begun.

        Explanation
        -----------
        Only the last order of the run has been turned away. One before it that got
        no answer may still be carried out, so it is fenced by a stop first.
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
        """Give it back, and take nothing until an end may have made room."""
        session.retry_at = max(session.retry_at, self.clock() + NO_CAPACITY_PAUSE_S)
        self.abandon_start(session, run, "no_room")

    @start_outcome_handlers.register("invalid")
    def on_invalid(self, session: TargetSession, run: Run) -> None:
        """Give back a run that the target does not understand."""
        self.abandon_start(session, run, "invalid")

    @start_outcome_handlers.register("unwell")
    def on_unwell(self, session: TargetSession, run: Run) -> None:
        """Give it back, and leave the target alone for a while."""
        self.back_off(session)
        self.abandon_start(session, run, "unwell")

    @start_outcome_handlers.register("unreachable")
    @start_outcome_handlers.register("unsent")
    def on_unreachable(self, session: TargetSession, run: Run) -> None:
        """Give it back: the order was not sent."""
        session.failures += 1
        self.on_unwell(session, run)

    @start_outcome_handlers.register("other_life")
    def on_other_life(self, session: TargetSession, run: Run) -> None:
        """Another life answers at the address: this one is over."""
        self.end_session(session, "lost")

    @start_outcome_handlers.register("unanswered")
    def on_unanswered(self, session: TargetSession, run: Run) -> None:
        """Send it again; in the end have the list of runs tell whether it began.

        Explanation
        -----------
        The same run begins once, however often its start arrives.
        """
        labelled(RETRIES, "start_unanswered").inc()
        session.lost_answer_at = self.clock()
        self.log_start_retry(session, run, "start_unanswered")
        if run.unanswered_retries < MAX_UNANSWERED_START_RETRIES:
            run.unanswered_retries += 1
            self.send_start(session, run)
            return
        self.verify_start(session, run)

    def verify_start(self, session: TargetSession, run: Run) -> None:
        """Have the lists tell whether a run has begun."""
        run.phase = START_UNCONFIRMED
        run.last_change_at = self.clock()
        self.request_run_list(session)

    def back_off(self, session: TargetSession) -> None:
        """Take no runs for a while, longer each time."""
        session.failures += 1
        pause_s = min(BACKOFF_MAX_S, BACKOFF_INITIAL_S * 2 ** (session.failures - 1))
        session.retry_at = self.clock() + pause_s
        self.schedule_capacity_report()

    @handles(StopReply)
    def on_stop_reply(self, reply: StopReply, sender: Incarnation) -> None:
        """Remember when a stop was taken, or send it again."""
        session = self.session_for_reply(reply)
        if session is None:
            return
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
            self.advance_token(session)
            self.calls.put(StopOrder(session.target, run.name, session.token))
        elif session.proves_ended(reply.outcome):
            self.end_session(session, "lost")
        else:
            run.attempts += 1
            retry = RetryStop(session.target, run.name)
            if run.attempts <= IMMEDIATE_STOP_RETRIES:
                self.on_retry_stop(retry, sender)
            else:
                self.post_later(STOP_RETRY_DELAY_S, retry)

    @handles(RetryStop)
    def on_retry_stop(self, message: RetryStop, sender: Incarnation) -> None:
        """Repeat a stop, unless it was taken or the run is over."""
        session = self.sessions.get(message.target.incarnation.id)
        if session is None or session.target != message.target:
            return
        run = session.runs.get(message.name.task)
        if run is None or run.name != message.name:
            return
        if run.phase == STOPPING and not run.last_change_at:
            self.calls.put(StopOrder(session.target, run.name, session.token))
