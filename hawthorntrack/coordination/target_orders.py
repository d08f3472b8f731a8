"""The part of a lease holder that starts and stops runs on its target."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

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
from hawthorntrack.coordination.target_lists import TargetLists
from hawthorntrack.protocol.orders import (
    Address,
    Announced,
    Departed,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
    TargetSeen,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, RETRIES, STARTS, labelled
from hawthorntrack.state.plans import RunName, TargetState, TaskName
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Incarnation

UNWELL_FIRST_S = 0.2
UNWELL_LONGEST_S = 2.0
NO_ROOM_PAUSE_S = 0.05  # half a short task: until an end may have made room
START_TRIES = 8  # with a token, number or clock corrected each time
START_REPEATS = 2  # of one that got no answer
STOP_REPEATS = 3  # at once; further ones pause, since a refused port answers in no time
STOP_AGAIN_S = 0.05  # as long as an order waits for its answer
NUMBERS_KEPT = 20_000

after_start: Registry[Callable[..., None]] = Registry("outcome of a start")


class StopAgain(NamedTuple):
    """Tells the lease holder to repeat a stop that no answer has confirmed."""

    target: Address
    name: RunName


class TargetOrders(TargetLists):
    """Sends starts and stops, and acts on what they came to.

    Parameters
    ----------
    calls, clock, first_token
        As for `TargetLists`.
    memory : Mailbox
        Takes `TargetSeen`.
    """

    def __init__(
        self, calls: Mailbox, memory: Mailbox, clock: Clock, first_token: int
    ) -> None:
        super().__init__(calls, clock, first_token)
        self.memory = memory
        self.numbers: dict[TaskName, int] = {}

    def refuse(self, owner: str, names: Iterable[RunName], reason: str) -> None:
        """Tell an entry instance that runs did not start and never will."""
        raise NotImplementedError

    def answer_successors(self, task: TaskName) -> None:
        """Answer the orders that waited for a run of a task to be over."""
        raise NotImplementedError

    def report_drained(self) -> None:
        """Say when nothing runs any more."""
        raise NotImplementedError

    @handles(Announced)
    def take_heartbeat(self, news: Announced, sender: Incarnation) -> None:
        """Take a heartbeat in, unless a newer one is known."""
        state = news.state
        if not isinstance(state, TargetState):
            log_event("target:unreadable", problem=state)
            return
        session = self.sessions.get(state.life.id)
        now = self.clock()
        contradicts = session is not None and session.contradicts(state)
        if contradicts and session.verified and session.announced:
            labelled(BAD_INPUT, "heartbeat", "contradiction").inc()
            log_event(
                "target:contradicted",
                target=state.life.id,
                service=state.service,
                address=state.address,
            )
            return
        if session is None or state.life.born_ms > session.state.life.born_ms:
            self.begin_life(state, now)
            return
        if contradicts and not session.verified and state.life == session.state.life:
            self.begin_life(state, now)
            return
        if state.life != session.state.life or state.sequence <= session.state.sequence:
            return
        changed = state.draining != session.state.draining
        first = not session.announced
        session.state, session.announced, session.departed = state, True, False
        session.heard_at = now
        if session.verified and (changed or first):
            self.memory.put(TargetSeen(state))
        if changed:
            log_event("target:draining", target=state.life.id, runs=len(session.runs))
        if changed or first or session.failures:
            self.room_changed()

    def begin_life(self, state: TargetState, now: float) -> None:
        """Begin with a new life of a target."""
        older = self.sessions.pop(state.life.id, None)
        session = self.open_session(state, now)
        log_event(
            "target:new",
            target=state.life.id,
            born_ms=state.life.born_ms,
            sequence=state.sequence,
            born_before_ms=older.state.life.born_ms if older is not None else 0,
            runs_before=len(older.runs) if older is not None else 0,
            token_before=older.token if older is not None else 0,
            token=session.token,
        )
        self.health = health_rules.Health()
        if older is not None:
            self.stop_in_new_life(older, session)
            self.room_changed()
        self.hold(session)

    def stop_in_new_life(self, older: TargetSession, session: TargetSession) -> None:
        """Stop what was ordered in the life before; only then is it certainly lost.

        Explanation
        -----------
        A crash shows some time after it. A start that was sent meanwhile has been
        carried out by the new life, which goes by the same id.
        """
        longest = leases.lapse_of_longest(self.clock())
        session.inherited_until = max(older.lapses_at, longest)
        session.runs = older.runs
        for run in session.runs.values():
            why, run.phase = run.why or "lost", UNSURE
            self.stop(session, run, why)

    @handles(Departed)
    def take_farewell(self, news: Departed, sender: Incarnation) -> None:
        """Give a target no more runs, and find out whether it is gone.

        Explanation
        -----------
        A farewell that was held up may be one of an earlier life. One that tells the
        truth is followed by a refused connection.
        """
        session = self.sessions.get(news.target)
        if session is None:
            return
        log_event("target:departed", target=news.target, runs=len(session.runs))
        session.departed = True
        session.state = session.state._replace(draining=True)
        self.look(session)
        self.room_changed()

    def note_verified(self, session: TargetSession) -> None:
        """Remember a target that has answered."""
        if session.announced:
            self.memory.put(TargetSeen(session.state))

    def current(self) -> TargetSession | None:
        """Return the session that takes new runs.

        Explanation
        -----------
        A heartbeat may be another writer's: whoever has answered goes first.
        """
        live = [s for s in self.sessions.values() if not s.state.draining]
        return max(live, key=lambda s: (s.verified, s.state.life.born_ms), default=None)

    def particulars(self, session: TargetSession, run: Run) -> dict[str, object]:
        """Return what tells a run, and the life of the target that it is at."""
        return {
            "job": run.name.task.job,
            "task": run.name.task.place,
            "run": run.name.run,
            "owner": run.owner,
            "born_ms": session.state.life.born_ms,
            "token": session.token,
        }

    def order_start(self, session: TargetSession, run: Run) -> None:
        """Send a start, with the number that the run has now, if its owner is there.

        Explanation
        -----------
        Leases cover all runs on a target and are never shortened, so a run for an
        owner that is trusted for less long than others may not join theirs.
        """
        now = self.clock()
        trusted = self.trusted_until.get(run.owner, 0.0)
        if trusted <= now or leases.outlasts(session.lapses_at, trusted):
            self.abandon_start(session, run, "owner_silent")
            return
        if len(self.numbers) > NUMBERS_KEPT:
            self.numbers = dict(list(self.numbers.items())[NUMBERS_KEPT // 2 :])
        self.numbers[run.name.task] = run.name.run
        run.phase = STARTING
        lease_ms = self.lease(session, now)
        if session.lease_ends <= now:
            # What is being stopped still counts as running.
            self.no_room(session, run)
            return
        self.calls.put(
            StartOrder(session.target, run.name, run.payload, lease_ms, session.token)
        )

    def stop(self, session: TargetSession, run: Run, why: str) -> None:
        """Send a stop; it fences a start that is still on its way, too."""
        if run.phase == STOPPING:
            return
        log_event(
            "run:stop",
            **self.particulars(session, run),
            why=why,
            phase=run.phase,
            target_age_ms=round((self.clock() - session.heard_at) * 1000),
        )
        run.phase, run.why, run.tries = STOPPING, why, 0
        run.moved_at = 0.0
        self.calls.put(StopOrder(session.target, run.name, session.token))

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
        self.raise_fence(session)
        self.try_again(session, run, "fenced")

    @after_start.register("old_run")
    def raise_number(self, session: TargetSession, run: Run) -> None:
        """Send it again with a higher number, which an earlier guard has not used.

        Explanation
        -----------
        After an order without an answer the number may be this run's own: it has
        begun, and may be over. Then the lists tell.
        """
        if run.repeats:
            self.log_start_again(session, run, "old_run")
            self.look_for_start(session, run)
            return
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
        self.log_start_again(session, run, reason)
        if run.tries < START_TRIES:
            self.order_start(session, run)
        else:
            self.abandon_start(session, run, "unwell")

    def log_start_again(self, session: TargetSession, run: Run, reason: str) -> None:
        """Tell why a start is sent once more, or looked for in the lists."""
        log_event(
            "run:start_again",
            **self.particulars(session, run),
            reason=reason,
            tries=run.tries,
            repeats=run.repeats,
        )

    def abandon_start(self, session: TargetSession, run: Run, reason: str) -> None:
        """Give back a run that was not begun.

        Explanation
        -----------
        Only the last order of the run has been turned away. One before it that got
        no answer may still be carried out, so it is fenced by a stop first.
        """
        if run.repeats:
            self.stop(session, run, "start_unanswered")
            return
        del session.runs[run.name.task]
        self.refuse(run.owner, [run.order.name], reason)
        self.answer_successors(run.name.task)
        self.room_changed()
        self.report_drained()

    @after_start.register("no_room")
    def no_room(self, session: TargetSession, run: Run) -> None:
        """Give it back, and take nothing until an end may have made room."""
        session.retry_at = max(session.retry_at, self.clock() + NO_ROOM_PAUSE_S)
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
    @after_start.register("unsent")
    def unreachable(self, session: TargetSession, run: Run) -> None:
        """Give it back: the order was not sent."""
        session.failures += 1
        self.unwell(session, run)

    @after_start.register("other_life")
    def other_life(self, session: TargetSession, run: Run) -> None:
        """Another life answers at the address: this one is over."""
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
        self.log_start_again(session, run, "start_unanswered")
        if run.repeats < START_REPEATS:
            run.repeats += 1
            self.order_start(session, run)
            return
        self.look_for_start(session, run)

    def look_for_start(self, session: TargetSession, run: Run) -> None:
        """Have the lists tell whether a run has begun."""
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
        if reply.outcome == "stopped":
            session.foreign.discard(reply.order.name)
        run = session.runs.get(reply.order.name.task)
        if run is None or run.name != reply.order.name or run.phase != STOPPING:
            return
        if reply.outcome == "stopped":
            run.moved_at = self.clock()
            self.look(session)
        elif reply.outcome == "fenced":
            self.raise_fence(session)
            self.calls.put(StopOrder(session.target, run.name, session.token))
        elif session.is_over(reply.outcome):
            self.end_session(session, "lost")
        else:
            run.tries += 1
            again = StopAgain(session.target, run.name)
            if run.tries <= STOP_REPEATS:
                self.stop_again(again, sender)
            else:
                self.later(STOP_AGAIN_S, again)

    @handles(StopAgain)
    def stop_again(self, news: StopAgain, sender: Incarnation) -> None:
        """Repeat a stop, unless it was taken or the run is over."""
        session = self.sessions.get(news.target.life.id)
        if session is None or session.target != news.target:
            return
        run = session.runs.get(news.name.task)
        if run is None or run.name != news.name:
            return
        if run.phase == STOPPING and not run.moved_at:
            self.calls.put(StopOrder(session.target, run.name, session.token))
