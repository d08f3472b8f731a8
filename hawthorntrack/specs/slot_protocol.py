"""Model of the slot protocol: several guards, one table, an unreliable network.

The guards decide with the production function
`hawthorntrack.coordination.ownership.decide`; this module models only the
environment. A message that was sent stays in the network forever and may be delivered
at any time and any number of times, which covers delay, duplication, loss and paused
processes. A conditional write may take effect late, and its result may be lost.
Guards crash and restart as a new incarnation.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

from hawthorntrack.coordination import ownership as own
from hawthorntrack.coordination.slot_manager import may_predate_reset
from hawthorntrack.state.slots import OPENED, PHASE_TRANSITIONS, SlotState
from hawthorntrack.state.values import Incarnation, SlotRow

Decide = Callable[[Incarnation, SlotState, Any], own.Step]
Step = tuple[str, Callable[[], "SystemState"]]
ALLOWED_TRANSITIONS = {(source, dest) for _, source, dest in PHASE_TRANSITIONS}


class Limits(NamedTuple):
    """Bounds of the search.

    Attributes
    ----------
    late_writes : int
        Number of writes whose result may be lost and that take effect later.
    stale_reads : bool
        Whether a read may return a row that has since been overwritten.
    """

    guards: int = 3
    keys: int = 1
    epochs: int = 2
    submissions: int = 2
    crashes: int = 1
    restarts: int = 0
    late_writes: int = 1
    stale_reads: bool = False


class Member(NamedTuple):
    """State of one guard.

    Attributes
    ----------
    pending : frozenset of (int, int)
        Keys sent to the witness and not yet confirmed, each with the number of its
        submission.
    """

    name: Incarnation
    state: SlotState = SlotState()
    keys: frozenset[int] = frozenset()
    pending: frozenset[tuple[int, int]] = frozenset()
    alive: bool = True


class Message(NamedTuple):
    """A message between two guards."""

    kind: str
    sender: Incarnation
    to: Incarnation
    epoch: int
    keys: frozenset[int] = frozenset()
    submission: int = 0


class PendingWrite(NamedTuple):
    """A conditional write in transit; `by` is None if no guard awaits its result."""

    by: Incarnation | None
    expect: int
    row: SlotRow


class SystemState(NamedTuple):
    """State of the guards, the table and the network."""

    members: tuple[Member, ...]
    row: SlotRow | None = None
    old_rows: frozenset[SlotRow] = frozenset()
    writes: frozenset[PendingWrite] = frozenset()
    network: frozenset[Message] = frozenset()
    started: tuple[tuple[int, int], ...] = ()
    refused: frozenset[int] = frozenset()
    submitted: int = 0
    crashes: int = 0
    restarts: int = 0
    late: int = 0
    invalid_transition: str = ""


def initial_state(limits: Limits) -> SystemState:
    """Return the state before the first step."""
    names = (Incarnation(f"g{number}", "1") for number in range(limits.guards))
    return SystemState(tuple(Member(name) for name in names))


def find_violation(system: SystemState) -> str | None:
    """Return a description of the first violated invariant, or None."""
    return find_safety_violation(system) or system.invalid_transition or None


def find_safety_violation(system: SystemState) -> str | None:
    """Return a description of a double start or a false refusal, or None."""
    keys = [key for key, _ in system.started]
    if len(keys) != len(set(keys)):
        return f"double start of a key: {system.started}"
    false_refusals = system.refused & {submission for _, submission in system.started}
    if false_refusals:
        return f"submission {min(false_refusals)} was refused as not run but started"
    return None


class Protocol:
    """Transition relation of the slot protocol.

    Parameters
    ----------
    limits : Limits
        Bounds of the search.
    decide : callable
        The decision function; the search must detect a mutated one.
    """

    def __init__(self, limits: Limits, decide: Decide = own.decide) -> None:
        self.limits = limits
        self.decide = decide

    def successors(self, system: SystemState) -> Iterator[Step]:
        """Yield every step that is possible in a state."""
        for index, member in enumerate(system.members):
            if member.alive:
                yield from self.guard_steps(system, index, member)
        for message in system.network:
            yield from self.delivery_steps(system, message)
        for write in system.writes:
            yield from self.write_outcomes(system, write)

    def guard_steps(
        self, system: SystemState, index: int, member: Member
    ) -> Iterator[Step]:
        """Yield the submissions, claims, reads and crashes of one guard."""
        yield from self.submission_steps(system, index, member)
        yield from self.claim_steps(system, index, member)
        old_rows = system.old_rows if self.limits.stale_reads else frozenset()
        for row in sorted(old_rows | ({system.row} if system.row else set())):
            if member.state.row is None or row.version > member.state.row.version:
                name = f"{member.name.address} reads version {row.version}"
                yield (
                    name,
                    partial(self.apply_event, system, index, own.RowObserved(row)),
                )
        if system.crashes < self.limits.crashes:
            yield from self.crash_steps(system, index, member)

    def submission_steps(
        self, system: SystemState, index: int, member: Member
    ) -> Iterator[Step]:
        """Yield submissions of keys that the owner does not hold."""
        state = member.state
        if state.phase != OPENED or system.submitted >= self.limits.submissions:
            return
        known = member.keys | {key for key, _ in member.pending}
        for key in set(range(self.limits.keys)) - known:
            if may_predate_reset(f"key-{key}", state.row.reset_ms, 0.0):
                continue
            number = system.submitted + 1
            request = Message(
                "replicate",
                member.name,
                state.peer,
                state.epoch,
                frozenset({key}),
                number,
            )
            after = member._replace(pending=member.pending | {(key, number)})
            replicated = replace_member(system, index, after)._replace(
                network=system.network | {request}, submitted=number
            )
            yield (
                f"{member.name.address} replicates key {key}",
                partial(precomputed, replicated),
            )

    def claim_steps(
        self, system: SystemState, index: int, member: Member
    ) -> Iterator[Step]:
        """Yield claims at any time and with any witness.

        Claims are not limited to failed peers, because a silent peer may be alive.
        """
        row = member.state.row
        if (row.epoch if row else 0) >= self.limits.epochs:
            return
        both_ended = row is not None and all(
            self.has_ended(system, name) for name in (row.last_owner, row.last_witness)
        )
        for other in system.members:
            if other.name != member.name:
                for reset_ms in (0, 1) if both_ended else (0,):
                    event = own.Claim(other.name, reset_ms)
                    name = f"{member.name.address} claims with {other.name.address}"
                    yield name, partial(self.apply_event, system, index, event)

    def has_ended(self, system: SystemState, name: Incarnation) -> bool:
        """Return whether the table would show that an incarnation has ended."""
        return bool(name.address) and not any(
            member.name == name and member.alive for member in system.members
        )

    def crash_steps(
        self, system: SystemState, index: int, member: Member
    ) -> Iterator[Step]:
        """Yield the crash of a guard, and its restart as a new incarnation."""
        writes = frozenset(
            write._replace(by=None) if write.by == member.name else write
            for write in system.writes
        )
        system = system._replace(writes=writes, crashes=system.crashes + 1)
        crashed = Member(member.name, alive=False)
        yield (
            f"{member.name.address} crashes",
            partial(replace_member, system, index, crashed),
        )
        if system.restarts < self.limits.restarts:
            nonce = str(int(member.name.nonce) + 1)
            restarted = Member(Incarnation(member.name.address, nonce))
            after = replace_member(system, index, restarted)._replace(
                restarts=system.restarts + 1
            )
            yield f"{member.name.address} restarts", partial(precomputed, after)

    def apply_event(self, system: SystemState, index: int, event: Any) -> SystemState:
        """Return the state after a guard has decided on an event."""
        member = system.members[index]
        step = self.decide(member.name, member.state, event)
        transition = (member.state.phase, step.state.phase)
        if transition[0] != transition[1] and transition not in ALLOWED_TRANSITIONS:
            system = system._replace(
                invalid_transition=f"undeclared phase transition {transition}"
            )
        system = replace_member(system, index, member._replace(state=step.state))
        for command in step.commands:
            system = self.run_command(system, index, command, event)
        return system

    def run_command(
        self, system: SystemState, index: int, command: Any, event: Any
    ) -> SystemState:
        """Return the state after a guard has run one command."""
        member = system.members[index]
        match command:
            case own.WriteRow(expect, row):
                write = PendingWrite(member.name, expect, row)
                return system._replace(writes=system.writes | {write})
            case own.SendHandover(to, epoch):
                return send(
                    system, Message("handover", member.name, to, epoch, member.keys)
                )
            case own.RefusePending():
                numbers = {number for _, number in member.pending}
                system = system._replace(refused=system.refused | numbers)
                return replace_member(
                    system, index, member._replace(pending=frozenset())
                )
            case own.ForgetKeys():
                return replace_member(system, index, member._replace(keys=frozenset()))
        return system

    def delivery_steps(self, system: SystemState, message: Message) -> Iterator[Step]:
        """Yield the delivery of a message, which stays and may be delivered again."""
        for index, member in enumerate(system.members):
            if member.alive and member.name == message.to:
                handler = getattr(self, f"on_{message.kind}")
                name = f"{member.name.address} gets {message.kind}"
                step = partial(handler, system, index, message)
                yield f"{name} of epoch {message.epoch}", step

    def on_replicate(
        self, system: SystemState, index: int, message: Message
    ) -> SystemState:
        """Return the state after a replication request was received."""
        member = system.members[index]
        event = own.ReplicationRequested(message.sender, message.epoch)
        step = self.decide(member.name, member.state, event)
        if not any(
            isinstance(command, own.AcceptReplication) for command in step.commands
        ):
            return system
        system = replace_member(
            system, index, member._replace(keys=member.keys | message.keys)
        )
        reply = message._replace(
            kind="replicate_ack", sender=member.name, to=message.sender
        )
        return send(system, reply)

    def on_replicate_ack(
        self, system: SystemState, index: int, message: Message
    ) -> SystemState:
        """Return the state after a replication request was confirmed."""
        member = system.members[index]
        event = own.ReplicationConfirmed(message.sender, message.epoch)
        step = self.decide(member.name, member.state, event)
        replicated = {
            (key, message.submission) for key in message.keys
        } & member.pending
        if not replicated or not step.commands:
            return system
        after = member._replace(
            pending=member.pending - replicated,
            keys=member.keys | {key for key, _ in replicated},
        )
        started = tuple(sorted((*system.started, *replicated)))
        return replace_member(system, index, after)._replace(started=started)

    def on_handover(
        self, system: SystemState, index: int, message: Message
    ) -> SystemState:
        """Return the state after the keys of a handover were received."""
        member = system.members[index]
        event = own.HandoverReceived(message.sender, message.epoch)
        step = self.decide(member.name, member.state, event)
        after = self.apply_event(system, index, event)
        if not any(isinstance(command, own.MergeHandover) for command in step.commands):
            return after
        member = after.members[index]
        after = replace_member(
            after, index, member._replace(keys=member.keys | message.keys)
        )
        reply = Message("handover_ack", member.name, message.sender, message.epoch)
        return send(after, reply)

    def on_handover_ack(
        self, system: SystemState, index: int, message: Message
    ) -> SystemState:
        """Return the state after a handover was confirmed."""
        event = own.HandoverConfirmed(message.sender, message.epoch)
        return self.apply_event(system, index, event)

    def write_outcomes(
        self, system: SystemState, write: PendingWrite
    ) -> Iterator[Step]:
        """Yield the outcomes of a write: result received, result lost, applied late."""
        by = write.by.address if write.by else "nobody"
        without = system._replace(writes=system.writes - {write})
        applied, succeeded = apply_write(without, write)
        writer = self.index_of_live(system, write.by)
        if writer is None:
            yield "an orphaned write completes", partial(precomputed, applied)
            return
        answer = (
            own.WriteSucceeded(applied.row.version)
            if succeeded
            else own.WriteConflicted(system.row)
        )
        if self.awaits_result(system, writer, write):
            delivered = partial(self.apply_event, applied, writer, answer)
            yield f"{by} receives its write result", delivered
        else:
            yield f"{by} ignores its write result", partial(precomputed, applied)
        if system.late < self.limits.late_writes and self.awaits_result(
            system, writer, write
        ):
            late = without._replace(late=system.late + 1)
            unawaited = write._replace(by=None)
            late = late._replace(writes=late.writes | {unawaited})
            no_answer = partial(self.apply_event, late, writer, own.WriteUnconfirmed())
            yield f"{by} gets no answer to its write", no_answer

    def awaits_result(
        self, system: SystemState, writer: int, write: PendingWrite
    ) -> bool:
        """Return whether the guard still waits for the result of this write."""
        return system.members[writer].state.pending_write == write.row

    def index_of_live(
        self, system: SystemState, name: Incarnation | None
    ) -> int | None:
        """Return the index of the live member with this incarnation, or None."""
        for index, member in enumerate(system.members):
            if member.alive and member.name == name:
                return index
        return None


def precomputed(system: SystemState) -> SystemState:
    """Return a state that has been computed already."""
    return system


OPENING = (
    "g0 claims with g1",
    "g0 receives its write result",
    "g1 gets handover of epoch 1",
    "g0 gets handover_ack of epoch 1",
    "g0 receives its write result",
)
REPLICATING = (*OPENING, "g0 replicates key 0")


def state_after(limits: Limits, steps: tuple[str, ...]) -> SystemState:
    """Return the state that the labelled steps lead to from the initial one."""
    protocol, system = Protocol(limits), initial_state(limits)
    for label in steps:
        system = dict(protocol.successors(system))[label]()
    return system


def weight(step: str) -> float:
    """Return the relative probability that a random walk takes a step."""
    rare = {"claims": 0.04, "crashes": 0.02, "restarts": 0.05, "reads": 0.3}
    return next((share for word, share in rare.items() if word in step), 1.0)


def apply_write(system: SystemState, write: PendingWrite) -> tuple[SystemState, bool]:
    """Return the state after a conditional write, and whether it took effect."""
    version = system.row.version if system.row else 0
    if version != write.expect:
        return system, False
    row = write.row._replace(version=version + 1)
    old = system.old_rows | ({system.row} if system.row else set())
    return system._replace(row=row, old_rows=old), True


def replace_member(system: SystemState, index: int, member: Member) -> SystemState:
    """Return the state with one member replaced."""
    members = (*system.members[:index], member, *system.members[index + 1 :])
    return system._replace(members=members)


def send(system: SystemState, message: Message) -> SystemState:
    """Return the state with a message added to the network."""
    return system._replace(network=system.network | {message})
