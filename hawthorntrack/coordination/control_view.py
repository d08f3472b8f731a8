"""Actor that keeps a process's view of configuration, guards and slot owners current.

It polls the table for changes, exchanges configuration with peers, and registers the
process.
"""

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
POLL_JITTER_FRACTION = 0.2
# A view older than this fraction of the freshness bound is confirmed by peers.
PEER_REQUEST_AGE_FRACTION = 0.5
PEERS_PER_REQUEST = 3
# The rows of departed guards are deleted together once there are at least this many,
# and at least this fraction of the number of registered guards.
SWEEP_MIN_ROWS = 64
SWEEP_MIN_FRACTION = 0.1


class RegistrationLost(RuntimeError):
    """This process's registration was replaced by another one or removed."""


class Registration(NamedTuple):
    """State of this process's registration row.

    Attributes
    ----------
    version : int
        Version of the row in the table, as far as this process has seen it; 0 before
        that.
    established : bool
        Whether the table is confirmed to contain the row of this process.
    established_at : float
        Loop time in seconds of that confirmation.
    """

    version: int = ABSENT
    established: bool = False
    established_at: float = float("-inf")


class Poll(NamedTuple):
    """State of the repeated reads of one subject.

    Attributes
    ----------
    prefix : str
        Prefix of the table's keys that belong to the subject.
    due_at : float
        Loop time of the next read, in seconds.
    running : bool
        Whether a read is under way.
    mirror : Mirror
        Rows read so far. If it is empty, the next read returns all rows.
    """

    prefix: str
    due_at: float = 0.0
    running: bool = False
    mirror: Mirror = Mirror()


def fleet_poll_interval_s(
    interval_s: float, processes: int, budget_per_s: int
) -> float:
    """Return the interval in seconds at which one of many processes may poll.

    Explanation
    -----------
    Every message carries its sender's stamp, so that a change spreads from the first
    process that sees it. How soon this happens depends on the polls of all
    processes together. They share the table's budget of polls, and the interval of
    each process grows with their number.

    Parameters
    ----------
    interval_s : float
        The shortest interval, in seconds.
    processes : int
        The number of processes that poll.
    budget_per_s : int
        The number of polls per second that all processes may make together.

    Examples
    --------
    >>> fleet_poll_interval_s(0.5, 13, 400), fleet_poll_interval_s(0.5, 13_000, 400)
    (0.5, 32.5)
    """
    return max(interval_s, processes / budget_per_s)


class ControlViewPoller(Actor):
    """Maintains the view of one process and its registration.

    Parameters
    ----------
    me : GuardInfo
        This process.
    prefix : str
        Prefix of the key under which it registers in the table.
    settings : Settings
        Settings of the process.
    table : Table
        The platform's table.
    send : callable
        Sends a message to an incarnation.
    subscribers : list of Mailbox
        Receive `ViewChanged` with each new view.
    rng : random.Random
        Random number generator for jitter and sampling.
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

    # Polls

    def interval_s(self, subject: str) -> float:
        """Return the mean interval between reads of a subject, in seconds."""
        timing = self.settings.timing
        base = (
            timing.poll_interval_s if subject == "config" else timing.members_interval_s
        )
        budget = self.settings.bounds.poll_budget_per_s
        return fleet_poll_interval_s(base, len(self.view.guards) + 1, budget)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Start the polls that are due, and register if that is not confirmed."""
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
        """Start to read one subject, and schedule the next read."""
        poll, now = self.polls[subject], self.now()
        wait_s = self.interval_s(subject) * self.rng.uniform(
            1 - POLL_JITTER_FRACTION, 1 + POLL_JITTER_FRACTION
        )
        self.polls[subject] = poll._replace(running=True, due_at=now + wait_s)
        self.spawn(self.read_subject(subject, poll, now))

    async def read_subject(self, subject: str, poll: Poll, sent_at: float) -> None:
        """Read the rows that changed and post the outcome as `PollCompleted`."""
        after = poll.mirror.version
        outcome = await self.table.read(poll.prefix, after)
        read_result = outcome if isinstance(outcome, ReadResult) else None
        self.mailbox.put(local.PollCompleted(subject, sent_at, after, read_result))

    @handles(local.PollCompleted)
    def on_poll_completed(
        self, answer: local.PollCompleted, sender: Incarnation
    ) -> None:
        """Update the view with the rows read, or record that the read failed."""
        poll = self.polls[answer.subject]
        self.polls[answer.subject] = poll._replace(running=False)
        if answer.read_result is None:
            RETRIES.labels(reason="table_read_unavailable").inc()
            # A poll that is under way while the process is suspended fails only after
            # the process resumes, but the failure dates from the time it was sent.
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
        """Store the rows held of a subject."""
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
        is_full_read = not answer.after
        if answer.subject == "slots":
            known = {} if is_full_read else self.view.slots
            changed = rows.decode_slots(merged.changed)
            return self.view._replace(slots={**known, **changed} if changed else known)
        view = self.view._replace(
            guards=self.merge_registrations(merged.changed, is_full_read)
        )
        if view.guards is not self.view.guards:
            view = view._replace(
                neighbours=self.sample_neighbours(view.guards.values())
            )
        if self.is_guard and answer.sent_at >= self.registration.established_at:
            self.check_registration(view.guards.get(self.me.incarnation.address))
        return view

    def view_with_config(self, merged: MirrorUpdate) -> ControlView:
        """Return the view with the merged configuration rows applied."""
        if not merged.changed:
            return self.view
        return apply_config(self.view, rows.decode_config(merged.mirror.rows.values()))

    def merge_registrations(
        self, changed: tuple[Row, ...], is_full_read: bool
    ) -> dict[str, GuardInfo]:
        """Return the registered guards, and store the rows of departed ones."""
        if is_full_read:
            self.departed = {}
        known = {} if is_full_read else self.view.guards
        changed = tuple(row for row in changed if is_readable_registration(row))
        if not changed:
            return known
        present = rows.decode_guards(changed)
        rows_by_address = {rows.registered_address(row): row for row in changed}
        departed = {**self.departed, **rows_by_address}
        self.departed = {
            address: row for address, row in departed.items() if address not in present
        }
        guards = {**known, **present}
        return {
            address: guard
            for address, guard in guards.items()
            if address not in self.departed
        }

    def sample_neighbours(self, guards: Iterable[GuardInfo]) -> tuple[Incarnation, ...]:
        """Return the guards to exchange messages with, a sample of all others."""
        size, me = self.settings.bounds.view_size, self.me.incarnation
        sample = sample_guards(self.me.place, guards, size, me.address)
        return tuple(guard.incarnation for guard in sample if guard.incarnation != me)

    def sweep_departed(self) -> None:
        """Delete the rows of departed guards once there are many of them.

        Explanation
        -----------
        A deletion makes every process read the whole list once more, so the rows are
        deleted together. No process is elected for this: each starts at random, on
        average one process per poll interval. A row that two processes delete at once
        is deleted once.
        """
        guards = len(self.view.guards)
        if len(self.departed) < max(SWEEP_MIN_ROWS, SWEEP_MIN_FRACTION * guards):
            return
        if self.rng.random() * guards < 1:
            self.spawn(self.delete_rows(list(self.departed.values())))

    async def delete_rows(self, departed: list[Row]) -> None:
        """Delete the rows that are unchanged; stop if a write's outcome is unknown."""
        for row in departed:
            outcome = await self.table.write(row.key, row.version, None)
            if isinstance(outcome, WriteOutcomeUnknown):
                return

    def publish(self, view: ControlView) -> None:
        """Replace the current view and send the new one to the subscribers."""
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

    # Peers

    @handles(local.NewerStampSeen)
    def on_newer_stamp_seen(
        self, seen: local.NewerStampSeen, sender: Incarnation
    ) -> None:
        """Request the configuration from a peer whose message had a newer stamp."""
        if seen.stamp <= self.view.stamp:
            return
        if self.now() - self.asked_at < CONFIG_REQUEST_INTERVAL_S:
            return
        self.asked_at = self.now()
        self.request_config(seen.peer)

    def request_config(self, peer: Incarnation) -> None:
        """Request from a peer the configuration rows that this process lacks."""
        after = self.polls["config"].mirror.version
        self.send(peer, messages.RequestConfig(after, self.now()))

    def request_config_from_peers(self) -> None:
        """Request the configuration from some peers, to confirm an aging view.

        Explanation
        -----------
        With many processes, each may poll the table only seldom. A peer whose view
        was confirmed later, by its own poll or by another peer, replies with its
        rows and the age of its view. As with a poll, the age is counted from the time
        of the request, so that a reply which arrived while this process was suspended
        does not make its view fresh.
        """
        peers = self.view.neighbours
        for peer in self.rng.sample(peers, min(PEERS_PER_REQUEST, len(peers))):
            self.request_config(peer)

    @handles(messages.RequestConfig)
    def on_request_config(
        self, request: messages.RequestConfig, sender: Incarnation
    ) -> None:
        """Send a peer the configuration rows that it lacks."""
        held = self.polls["config"].mirror.rows
        newer = tuple(
            tuple(row) for row in held.values() if row.version > request.after
        )
        age_s = self.view.age_s(self.now())
        reply = messages.ConfigRows(newer, len(held), request.asked_at, age_s)
        self.send(sender, reply)

    @handles(messages.ConfigRows)
    def on_config_rows(self, reply: messages.ConfigRows, sender: Incarnation) -> None:
        """Merge a peer's configuration rows, if they are newer.

        Explanation
        -----------
        If rows are missing after the merge, the reply is dropped; the next poll reads
        them from the table.
        """
        held = self.polls["config"].mirror
        merged = merge(held, (Row(*row) for row in reply.rows), reply.total)
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
        as_of = reply.asked_at - reply.age_s
        self.publish(view._replace(last_success_at=max(view.last_success_at, as_of)))

    # Registration

    def register(self) -> None:
        """Start to write this process's registration row."""
        self.registering = True
        self.spawn(self.write_registration(self.registration.version))

    async def write_registration(self, expect: int) -> None:
        """Write the registration and post the outcome as `RegistrationWritten`."""
        outcome = await self.table.write(self.key, expect, rows.encode_guard(self.me))
        self.mailbox.put(local.RegistrationWritten(outcome))

    @handles(local.RegistrationWritten)
    def on_registration_written(
        self, written: local.RegistrationWritten, sender: Incarnation
    ) -> None:
        """Record the outcome of writing the registration.

        Explanation
        -----------
        After a conflict the next tick writes over the row that was found.
        """
        self.registering = False
        match written.outcome:
            case Written(version):
                self.registration = Registration(version, True, self.now())
                self.polls["guards"] = self.polls["guards"]._replace(due_at=0.0)
            case Conflict(row):
                self.registration = self.registration_after_conflict(row)
            case WriteOutcomeUnknown():
                RETRIES.labels(reason="registration_unsettled").inc()

    def registration_after_conflict(self, row: Row | None) -> Registration:
        """Return the state of the registration after a conflict with `row`."""
        if row is None:
            return Registration(ABSENT)
        is_own_row = rows.decode_guard(row) == self.me
        return Registration(row.version, is_own_row, self.now())

    def check_registration(self, row: GuardInfo | None) -> None:
        """Raise an error, which ends this process, if its registration is lost.

        Raises
        ------
        RegistrationLost
            If the table shows another incarnation at this address, or none.
        """
        if not self.registration.established:
            return
        if row is None or row.incarnation != self.me.incarnation:
            raise RegistrationLost(
                f"{self.me.incarnation} is no longer registered: an operator removed"
                " it or a new process has its address. Restart it if it is needed."
            )

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Register this process as draining."""
        self.me = self.me._replace(draining=True)
        self.registration = self.registration._replace(established=False)
        self.register()

    async def deregister(self) -> None:
        """Remove the registration; called last in a planned stop.

        Explanation
        -----------
        The row of a guard is not deleted but marked as departed: a deletion would make
        all other processes read the whole list.
        """
        value = rows.encode_departed_guard(self.me) if self.is_guard else None
        await self.table.write(self.key, self.registration.version, value)

    @handles(local.GetStatus)
    def on_get_status(self, request: local.GetStatus, sender: Incarnation) -> None:
        """Report the configuration in force and the view for the status page."""
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
        if not request.reply.done():
            request.reply.set_result(page)


def is_readable_registration(row: Row) -> bool:
    """Return whether a registration row can be decoded; log it if not.

    Explanation
    -----------
    Each row is checked by itself, so that a malformed one hides no other.
    """
    try:
        rows.decode_guard(row)
    except ValueError as error:
        BAD_INPUT.labels(edge="table", reason="guard").inc()
        log_event("table:bad_row", key=row.key, error=str(error))
        return False
    return True
