"""The task that keeps a process's view of configuration and membership."""

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from eliot import log_message

from hawthorntrack.coordination.membership import sample_guards
from hawthorntrack.coordination.slot_replication import Send
from hawthorntrack.protocol import local, messages, rows
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.control_view import ControlView, apply_config
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import BAD_INPUT, CONFIG_STAMP, RETRIES
from hawthorntrack.state.mirror import Mirror, MirrorUpdate, merge
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.table import (
    ABSENT,
    Conflict,
    ReadResult,
    Row,
    Table,
    WriteOutcomeUnknown,
    Written,
)
from hawthorntrack.state.values import GuardInfo, Incarnation

CONFIG_REQUEST_INTERVAL_S = 0.2
JITTER = 0.2
PEER_REQUEST_AGE_FRACTION = 0.5  # of the freshness bound
PEERS_PER_REQUEST = 3
SWEEP_MIN_ROWS = 64  # rows of departed guards
SWEEP_MIN_FRACTION = 0.1  # of the registered guards


class RegistrationLost(RuntimeError):
    """Another life of this process has registered, or an operator forgot this one."""


class Registration(NamedTuple):
    """How far this process has come with its registration row.

    Attributes
    ----------
    version : int
        The table's version of the row this process wrote; 0 before that.
    established_at : float
        Loop time at which it was known to stand, in seconds.
    """

    version: int = ABSENT
    established: bool = False
    established_at: float = float("-inf")


class Poll(NamedTuple):
    """One subject that is read again and again.

    Attributes
    ----------
    due_at : float
        Loop time of the next read, in seconds.
    mirror : Mirror
        What was read so far; an empty one has the whole read next.
    """

    prefix: str
    due_at: float = 0.0
    running: bool = False
    mirror: Mirror = Mirror()


def fleet_poll_interval_s(
    interval_s: float, processes: int, budget_per_s: int
) -> float:
    """Return the interval at which one of many processes may poll.

    Explanation
    -----------
    The first process to see a change passes it on with every message it sends, so
    the polls of all processes together decide how soon that is. They share the
    table's budget, and the interval of each grows with their number.

    Examples
    --------
    >>> fleet_poll_interval_s(0.5, 13, 400), fleet_poll_interval_s(0.5, 13_000, 400)
    (0.5, 32.5)
    """
    return max(interval_s, processes / budget_per_s)


class ControlViewPoller(Actor):
    """Owns the view of one process and its registration.

    Parameters
    ----------
    me : GuardInfo
        This process.
    prefix : str
        Where it registers in the table.
    settings : Settings
        Its settings.
    table : Table
        The platform's table.
    send : callable
        Sends a message to an incarnation.
    subscribers : list of Mailbox
        Tasks that get each new view.
    rng : random.Random
        Source of chance, for jitter.
    """

    exposed_name = "Control"

    def __init__(
        self,
        me: GuardInfo,
        prefix: str,
        settings: Settings,
        table: Table,
        send: Send,
        subscribers: list[Mailbox],
        rng: random.Random,
    ) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.key = prefix + me.incarnation.address
        self.is_guard = prefix == rows.guards_prefix(settings.environment)
        self.settings = settings
        self.table = table
        self.send = send
        self.subscribers = subscribers
        self.rng = rng
        self.view = ControlView()
        self.departed: dict[str, Row] = {}
        self.registration = Registration()
        self.registering = False
        environment = settings.environment
        self.polls = {
            "config": Poll(rows.config_prefix(environment)),
            "guards": Poll(rows.guards_prefix(environment)),
            "slots": Poll(rows.slots_prefix(environment)),
        }
        self.loaded_subjects: set[str] = set()
        self.asked_at = float("-inf")
        self.on_ready: Callable[[], None] = lambda: None

    # --- polls

    def interval_s(self, subject: str) -> float:
        """Return how often a subject is read, in seconds."""
        timing = self.settings.timing
        base = (
            timing.poll_interval_s if subject == "config" else timing.members_interval_s
        )
        budget = self.settings.bounds.poll_budget_per_s
        return fleet_poll_interval_s(base, len(self.view.guards) + 1, budget)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Read what is due, and register if that is not settled."""
        now = self.now()
        for subject, poll in self.polls.items():
            if now >= poll.due_at and not poll.running:
                self.poll(subject)
        if not self.registration.established and not self.registering:
            self.register()
        if (
            self.view.age_s(now)
            > self.settings.timing.freshness_s * PEER_REQUEST_AGE_FRACTION
        ):
            self.request_config_from_peers()

    def poll(self, subject: str) -> None:
        """Read one subject now."""
        poll, now = self.polls[subject], self.now()
        span = self.interval_s(subject) * self.rng.uniform(1 - JITTER, 1 + JITTER)
        self.polls[subject] = poll._replace(running=True, due_at=now + span)
        self.spawn(self.read_subject(subject, poll, now))

    async def read_subject(self, subject: str, poll: Poll, sent_at: float) -> None:
        """Read what changed and post what came of it."""
        after = poll.mirror.version
        outcome = await self.table.read(poll.prefix, after)
        found = outcome if isinstance(outcome, ReadResult) else None
        self.mailbox.put(local.PollCompleted(subject, sent_at, after, found))

    @handles(local.PollCompleted)
    def on_poll_completed(
        self, answer: local.PollCompleted, sender: Incarnation
    ) -> None:
        """Take rows into the view, or note that the table did not answer."""
        poll = self.polls[answer.subject]
        self.polls[answer.subject] = poll._replace(running=False)
        if answer.read_result is None:
            RETRIES.labels(reason="table_read_unavailable").inc()
            # A poll that was out during a freeze fails at its end: what it tells is
            # how things stood when it was sent.
            last_failure_at = max(self.view.last_failure_at, answer.sent_at)
            self.publish(self.view._replace(last_failure_at=last_failure_at))
            return
        before = poll.mirror if answer.after else Mirror()
        merged = merge(before, answer.read_result.rows, answer.read_result.total)
        if merged is None:
            RETRIES.labels(reason="table_rows_deleted").inc()
            self.polls[answer.subject] = Poll(poll.prefix)
            return
        try:
            view = self.view_with_rows(answer, merged)
        except ValueError as error:
            BAD_INPUT.labels(edge="table", reason=answer.subject).inc()
            log_message("table:bad_rows", subject=answer.subject, error=str(error))
            return
        self.store_mirror(answer.subject, merged.mirror)
        self.loaded_subjects.add(answer.subject)
        if answer.subject == "guards":
            self.sweep_departed()
        self.publish(view)
        if self.loaded_subjects >= self.polls.keys() and self.registration.established:
            self.on_ready()

    def store_mirror(self, subject: str, mirror: Mirror) -> None:
        """Keep what is held of a subject now."""
        self.polls[subject] = self.polls[subject]._replace(mirror=mirror)

    def view_with_rows(
        self, answer: local.PollCompleted, merged: MirrorUpdate
    ) -> ControlView:
        """Return the view with the rows of one poll."""
        if answer.subject == "config":
            view = self.view_with_config(merged)
            return view._replace(
                last_success_at=max(view.last_success_at, answer.sent_at)
            )
        whole = not answer.after
        if answer.subject == "slots":
            known = {} if whole else self.view.slots
            changed = rows.decode_slots(merged.changed)
            return self.view._replace(slots={**known, **changed} if changed else known)
        view = self.view._replace(
            guards=self.merge_registrations(merged.changed, whole)
        )
        if view.guards is not self.view.guards:
            view = view._replace(
                neighbours=self.sample_neighbours(view.guards.values())
            )
        if self.is_guard and answer.sent_at >= self.registration.established_at:
            self.check_registration(view.guards.get(self.me.incarnation.address))
        return view

    def view_with_config(self, merged: MirrorUpdate) -> ControlView:
        """Return the view with the configuration that is held now."""
        if not merged.changed:
            return self.view
        return apply_config(self.view, rows.decode_config(merged.mirror.rows.values()))

    def merge_registrations(
        self, changed: tuple[Row, ...], whole: bool
    ) -> dict[str, GuardInfo]:
        """Return the registered guards, and keep the rows of those that departed."""
        if whole:
            self.departed = {}
        known = {} if whole else self.view.guards
        changed = tuple(row for row in changed if is_readable_registration(row))
        if not changed:
            return known
        here = rows.decode_guards(changed)
        written = {rows.registered_address(row): row for row in changed}
        departed = {**self.departed, **written}
        self.departed = {a: row for a, row in departed.items() if a not in here}
        guards = {**known, **here}
        return {a: guard for a, guard in guards.items() if a not in self.departed}

    def sample_neighbours(self, guards: Iterable[GuardInfo]) -> tuple[Incarnation, ...]:
        """Return the guards to tell and to ask, a sample of all others."""
        size, me = self.settings.bounds.view_size, self.me.incarnation
        sample = sample_guards(self.me.place, guards, size, me.address)
        return tuple(guard.incarnation for guard in sample if guard.incarnation != me)

    def sweep_departed(self) -> None:
        """Delete the rows of departed guards once they are many.

        Explanation
        -----------
        Each deletion has every process read the whole list once, so they go together.
        No process is chosen: each begins by chance, one of all at a poll, and what
        two delete at once is deleted once.
        """
        guards = len(self.view.guards)
        if len(self.departed) < max(SWEEP_MIN_ROWS, SWEEP_MIN_FRACTION * guards):
            return
        if self.rng.random() * guards < 1:
            self.spawn(self.delete_rows(list(self.departed.values())))

    async def delete_rows(self, departed: list[Row]) -> None:
        """Delete rows, unless they changed meanwhile or the table does not answer."""
        for row in departed:
            outcome = await self.table.write(row.key, row.version, None)
            if isinstance(outcome, WriteOutcomeUnknown):
                return

    def publish(self, view: ControlView) -> None:
        """Make a view the one in force, and tell the tasks that act on it."""
        if view.stamp != self.view.stamp:
            CONFIG_STAMP.set(view.stamp)
            log_message(
                "config:in_force",
                process=str(self.me.incarnation),
                stamp=view.stamp,
                zones_out=",".join(sorted(view.zones_out)) or "none",
            )
        self.view = view
        for mailbox in self.subscribers:
            mailbox.put(local.ViewChanged(view))

    # --- peers

    @handles(local.NewerStampSeen)
    def on_newer_stamp_seen(
        self, seen: local.NewerStampSeen, sender: Incarnation
    ) -> None:
        """Ask a peer for the newer configuration that its message speaks of."""
        if seen.stamp <= self.view.stamp:
            return
        if self.now() - self.asked_at < CONFIG_REQUEST_INTERVAL_S:
            return
        self.asked_at = self.now()
        self.request_config(seen.peer)

    def request_config(self, peer: Incarnation) -> None:
        """Ask a peer for what is lacking here."""
        after = self.polls["config"].mirror.version
        self.send(peer, messages.RequestConfig(after, self.now()))

    def request_config_from_peers(self) -> None:
        """Ask some peers for their newer view.

        Explanation
        -----------
        Among many processes each may ask the table only seldom. A peer that asked it
        later, or was told by one that did, tells what it found and how long ago. As
        with a poll, what counts is when this process asked, so that answers which
        waited through a freeze make no view fresh.
        """
        known = self.view.neighbours
        for peer in self.rng.sample(known, min(PEERS_PER_REQUEST, len(known))):
            self.request_config(peer)

    @handles(messages.RequestConfig)
    def on_request_config(
        self, ask: messages.RequestConfig, sender: Incarnation
    ) -> None:
        """Give a peer the configuration rows that it lacks."""
        held = self.polls["config"].mirror.rows
        told = tuple(tuple(row) for row in held.values() if row.version > ask.after)
        age_s = self.view.age_s(self.now())
        answer = messages.ConfigRows(told, len(held), ask.asked_at, age_s)
        self.send(sender, answer)

    @handles(messages.ConfigRows)
    def on_config_rows(self, told: messages.ConfigRows, sender: Incarnation) -> None:
        """Take a peer's configuration rows, if they are newer.

        Explanation
        -----------
        Where they do not make a whole with what is held, the next poll does.
        """
        held = self.polls["config"].mirror
        merged = merge(held, (Row(*row) for row in told.rows), told.total)
        if merged is None:
            RETRIES.labels(reason="peer_config_partial").inc()
            return
        try:
            view = self.view_with_config(merged)
        except ValueError as error:
            BAD_INPUT.labels(edge="bus", reason="config_rows").inc()
            log_message("config:bad_rows", error=str(error))
            return
        self.store_mirror("config", merged.mirror)
        as_of = told.asked_at - told.age_s
        self.publish(view._replace(last_success_at=max(view.last_success_at, as_of)))

    # --- registration

    def register(self) -> None:
        """Write this process's row over whatever stands there."""
        self.registering = True
        self.spawn(self.write_registration(self.registration.version))

    async def write_registration(self, expect: int) -> None:
        """Write the registration and post what came of it."""
        outcome = await self.table.write(self.key, expect, rows.encode_guard(self.me))
        self.mailbox.put(local.RegistrationWritten(outcome))

    @handles(local.RegistrationWritten)
    def on_registration_written(
        self, done: local.RegistrationWritten, sender: Incarnation
    ) -> None:
        """Settle the registration, or try again over the row that was met."""
        self.registering = False
        match done.outcome:
            case Written(version):
                self.registration = Registration(version, True, self.now())
                self.polls["guards"] = self.polls["guards"]._replace(due_at=0.0)
            case Conflict(row):
                self.registration = self.registration_after_conflict(row)
            case WriteOutcomeUnknown():
                RETRIES.labels(reason="registration_unsettled").inc()

    def registration_after_conflict(self, row: Row | None) -> Registration:
        """Return the standing after a row was met in place of the one expected."""
        if row is None:
            return Registration(ABSENT)
        mine = rows.decode_guard(row) == self.me
        return Registration(row.version, mine, self.now())

    def check_registration(self, row: GuardInfo | None) -> None:
        """End this process if its registration was taken over or forgotten.

        Raises
        ------
        RegistrationLost
            If the table shows another life at this address, or none.
        """
        if not self.registration.established:
            return
        if row is None or row.incarnation != self.me.incarnation:
            raise RegistrationLost(
                f"{self.me.incarnation} is no longer registered: an operator forgot"
                " it or a new process has its address. Start it again if it is needed."
            )

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Register this process as leaving."""
        self.me = self.me._replace(draining=True)
        self.registration = self.registration._replace(established=False)
        self.register()

    async def deregister(self) -> None:
        """End the registration, the last act of a process.

        Explanation
        -----------
        A row that others keep in step says that its guard departed: a deleted one
        would have all of them read the whole list.
        """
        value = rows.encode_departed_guard(self.me) if self.is_guard else None
        await self.table.write(self.key, self.registration.version, value)

    @handles(local.GetStatus)
    def on_get_status(self, ask: local.GetStatus, sender: Incarnation) -> None:
        """Give the status page what is in force."""
        view = self.view
        page: dict[str, Any] = {
            "incarnation": str(self.me.incarnation),
            "zone": self.me.place.zone,
            "stamp": view.stamp,
            "documents": {name: doc.version for name, doc in view.documents.items()},
            "zones_out": sorted(view.zones_out),
            "guards": len(view.guards),
            "fresh": view.is_fresh(self.now(), self.settings.timing.freshness_s),
        }
        if not ask.reply.done():
            ask.reply.set_result(page)


def is_readable_registration(row: Row) -> bool:
    """Return whether a row can be read; one that cannot hides no other."""
    try:
        rows.decode_guard(row)
    except ValueError as error:
        BAD_INPUT.labels(edge="table", reason="guard").inc()
        log_event("table:bad_row", key=row.key, error=str(error))
        return False
    return True
