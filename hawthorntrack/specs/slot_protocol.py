"""The slot protocol of several guards, one table and an unkind network.

The guards decide by `hawthorntrack.coordination.ownership.decide`, the product's own
function; this module only plays what surrounds it. Every message sent stays in the
network for ever and may be delivered at any time and any number of times, so delays,
doubles, losses and pauses are all covered. A conditional write may take effect late,
and its answer may be lost. Guards crash and come back as a new incarnation.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

from hawthorntrack.coordination import ownership as own
from hawthorntrack.coordination.slot_manager import may_predate_reset
from hawthorntrack.state.slots import OPENED, PHASE_TRANSITIONS, SlotState
from hawthorntrack.state.values import Incarnation, SlotRow

Decide = Callable[[Incarnation, SlotState, Any], own.Step]
Step = tuple[str, Callable[[], "World"]]
MOVES = {(source, dest) for _, source, dest in PHASE_TRANSITIONS}


class Limits(NamedTuple):
    """Bounds of the search.

    Attributes
    ----------
    late_writes : int
        Writes whose answer may be lost while they take effect later.
    stale_reads : bool
        Whether a read may return a row that has been written over meanwhile.
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
    """One guard.

    Attributes
    ----------
    pending : frozenset of (int, int)
        Keys noted but not confirmed, each with its submission's number.
    """

    name: Incarnation
    state: SlotState = SlotState()
    keys: frozenset[int] = frozenset()
    pending: frozenset[tuple[int, int]] = frozenset()
    alive: bool = True


class Message(NamedTuple):
    """A message in the network."""

    kind: str
    sender: Incarnation
    to: Incarnation
    epoch: int
    keys: frozenset[int] = frozenset()
    submission: int = 0


class PendingWrite(NamedTuple):
    """A conditional write on its way; nobody awaits it where `by` is None."""

    by: Incarnation | None
    expect: int
    row: SlotRow


class World(NamedTuple):
    """A state of the whole."""

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
    bad_move: str = ""


def first_world(limits: Limits) -> World:
    """Return the world before anything happened."""
    names = (Incarnation(f"g{number}", "1") for number in range(limits.guards))
    return World(tuple(Member(name) for name in names))


def breach(world: World) -> str | None:
    """Return what must never be, if it is."""
    return unsafe(world) or world.bad_move or None


def unsafe(world: World) -> str | None:
    """Return a double start or an untrue refusal, if there is one."""
    keys = [key for key, _ in world.started]
    if len(keys) != len(set(keys)):
        return f"double start of a key: {world.started}"
    untrue = world.refused & {submission for _, submission in world.started}
    if untrue:
        return f"submission {min(untrue)} was refused as not run, and started"
    return None


class Protocol:
    """The steps that the world may take.

    Parameters
    ----------
    limits : Limits
        Bounds of the search.
    decide : callable
        The decision function; a mutation of it must be caught.
    """

    def __init__(self, limits: Limits, decide: Decide = own.decide) -> None:
        self.limits = limits
        self.decide = decide

    def successors(self, world: World) -> Iterator[Step]:
        """Yield every step that may come next."""
        for index, member in enumerate(world.members):
            if member.alive:
                yield from self.own_steps(world, index, member)
        for message in world.network:
            yield from self.deliver(world, message)
        for write in world.writes:
            yield from self.settle(world, write)

    # --- what a guard may do of itself

    def own_steps(self, world: World, index: int, member: Member) -> Iterator[Step]:
        """Yield submissions, claims, reads and crashes at one guard."""
        yield from self.submissions(world, index, member)
        yield from self.claims(world, index, member)
        old_rows = world.old_rows if self.limits.stale_reads else frozenset()
        for row in sorted(old_rows | ({world.row} if world.row else set())):
            if member.state.row is None or row.version > member.state.row.version:
                name = f"{member.name.address} reads version {row.version}"
                yield name, partial(self.event, world, index, own.RowObserved(row))
        if world.crashes < self.limits.crashes:
            yield from self.crash(world, index, member)

    def submissions(self, world: World, index: int, member: Member) -> Iterator[Step]:
        """Yield submissions of keys that the owner does not know."""
        state = member.state
        if state.phase != OPENED or world.submitted >= self.limits.submissions:
            return
        known = member.keys | {key for key, _ in member.pending}
        for key in set(range(self.limits.keys)) - known:
            if may_predate_reset(f"key-{key}", state.row.reset_ms, 0.0):
                continue
            number = world.submitted + 1
            note = Message(
                "note",
                member.name,
                state.peer,
                state.epoch,
                frozenset({key}),
                number,
            )
            after = member._replace(pending=member.pending | {(key, number)})
            noted = put(world, index, after)._replace(
                network=world.network | {note}, submitted=number
            )
            yield f"{member.name.address} notes key {key}", partial(same, noted)

    def claims(self, world: World, index: int, member: Member) -> Iterator[Step]:
        """Yield claims, at any time and with any witness: silence may deceive."""
        row = member.state.row
        if (row.epoch if row else 0) >= self.limits.epochs:
            return
        gone = row is not None and all(
            self.is_gone(world, name) for name in (row.last_owner, row.last_witness)
        )
        for other in world.members:
            if other.name != member.name:
                for reset_ms in (0, 1) if gone else (0,):
                    event = own.Claim(other.name, reset_ms)
                    name = f"{member.name.address} claims with {other.name.address}"
                    yield name, partial(self.event, world, index, event)

    def is_gone(self, world: World, name: Incarnation) -> bool:
        """Return whether the table would show that a guard's life has ended."""
        return bool(name.address) and not any(
            member.name == name and member.alive for member in world.members
        )

    def crash(self, world: World, index: int, member: Member) -> Iterator[Step]:
        """Yield the guard's crash, and its return as a new incarnation."""
        orphaned = frozenset(
            write._replace(by=None) if write.by == member.name else write
            for write in world.writes
        )
        world = world._replace(writes=orphaned, crashes=world.crashes + 1)
        dead = Member(member.name, alive=False)
        yield f"{member.name.address} crashes", partial(put, world, index, dead)
        if world.restarts < self.limits.restarts:
            life = str(int(member.name.nonce) + 1)
            fresh = Member(Incarnation(member.name.address, life))
            after = put(world, index, fresh)._replace(restarts=world.restarts + 1)
            yield f"{member.name.address} restarts", partial(same, after)

    # --- decisions and their commands

    def event(self, world: World, index: int, event: Any) -> World:
        """Return the world after a guard decided on an event."""
        member = world.members[index]
        step = self.decide(member.name, member.state, event)
        move = (member.state.phase, step.state.phase)
        if move[0] != move[1] and move not in MOVES:
            world = world._replace(bad_move=f"undeclared move {move}")
        world = put(world, index, member._replace(state=step.state))
        for command in step.commands:
            world = self.carry_out(world, index, command, event)
        return world

    def carry_out(self, world: World, index: int, command: Any, event: Any) -> World:
        """Return the world after one command."""
        member = world.members[index]
        match command:
            case own.WriteRow(expect, row):
                write = PendingWrite(member.name, expect, row)
                return world._replace(writes=world.writes | {write})
            case own.SendHandover(to, epoch):
                return send(
                    world, Message("handover", member.name, to, epoch, member.keys)
                )
            case own.RefusePending():
                numbers = {number for _, number in member.pending}
                world = world._replace(refused=world.refused | numbers)
                return put(world, index, member._replace(pending=frozenset()))
            case own.ForgetKeys():
                return put(world, index, member._replace(keys=frozenset()))
        return world

    # --- the network

    def deliver(self, world: World, message: Message) -> Iterator[Step]:
        """Yield the delivery of a message, which may come again later."""
        for index, member in enumerate(world.members):
            if member.alive and member.name == message.to:
                handler = getattr(self, f"take_{message.kind}")
                name = f"{member.name.address} gets {message.kind}"
                step = partial(handler, world, index, message)
                yield f"{name} of epoch {message.epoch}", step

    def take_note(self, world: World, index: int, message: Message) -> World:
        """Return the world after a note arrived."""
        member = world.members[index]
        event = own.ReplicationRequested(message.sender, message.epoch)
        step = self.decide(member.name, member.state, event)
        if not any(
            isinstance(command, own.AcceptReplication) for command in step.commands
        ):
            return world
        world = put(world, index, member._replace(keys=member.keys | message.keys))
        reply = message._replace(
            kind="note_taken", sender=member.name, to=message.sender
        )
        return send(world, reply)

    def take_note_taken(self, world: World, index: int, message: Message) -> World:
        """Return the world after a note was confirmed."""
        member = world.members[index]
        event = own.ReplicationConfirmed(message.sender, message.epoch)
        step = self.decide(member.name, member.state, event)
        noted = {(key, message.submission) for key in message.keys} & member.pending
        if not noted or not step.commands:
            return world
        after = member._replace(
            pending=member.pending - noted,
            keys=member.keys | {key for key, _ in noted},
        )
        started = tuple(sorted((*world.started, *noted)))
        return put(world, index, after)._replace(started=started)

    def take_handover(self, world: World, index: int, message: Message) -> World:
        """Return the world after a key set arrived."""
        member = world.members[index]
        event = own.HandoverReceived(message.sender, message.epoch)
        step = self.decide(member.name, member.state, event)
        after = self.event(world, index, event)
        if not any(isinstance(command, own.MergeHandover) for command in step.commands):
            return after
        member = after.members[index]
        after = put(after, index, member._replace(keys=member.keys | message.keys))
        reply = Message("handover_taken", member.name, message.sender, message.epoch)
        return send(after, reply)

    def take_handover_taken(self, world: World, index: int, message: Message) -> World:
        """Return the world after a handover was confirmed."""
        event = own.HandoverConfirmed(message.sender, message.epoch)
        return self.event(world, index, event)

    # --- the table

    def settle(self, world: World, write: PendingWrite) -> Iterator[Step]:
        """Yield what may become of a write: answered, answer lost, or late."""
        by = write.by.address if write.by else "nobody"
        without = world._replace(writes=world.writes - {write})
        applied, took = apply_write(without, write)
        writer = self.index_of(world, write.by)
        if writer is None:
            yield "an orphaned write settles", partial(same, applied)
            return
        answer = (
            own.WriteSucceeded(applied.row.version)
            if took
            else own.WriteConflicted(world.row)
        )
        if self.awaits(world, writer, write):
            learns = partial(self.event, applied, writer, answer)
            yield f"{by} learns of its write", learns
        else:
            yield f"{by} is past its write", partial(same, applied)
        if world.late < self.limits.late_writes and self.awaits(world, writer, write):
            late = without._replace(late=world.late + 1)
            ghost = write._replace(by=None)
            late = late._replace(writes=late.writes | {ghost})
            nothing = partial(self.event, late, writer, own.WriteUnconfirmed())
            yield f"{by} hears nothing", nothing

    def awaits(self, world: World, writer: int, write: PendingWrite) -> bool:
        """Return whether the guard still waits for this write's answer."""
        return world.members[writer].state.pending_write == write.row

    def index_of(self, world: World, name: Incarnation | None) -> int | None:
        """Return where the living member of a name stands."""
        for index, member in enumerate(world.members):
            if member.alive and member.name == name:
                return index
        return None


def same(world: World) -> World:
    """Return a world that was worked out already."""
    return world


OPENING = (
    "g0 claims with g1",
    "g0 learns of its write",
    "g1 gets handover of epoch 1",
    "g0 gets handover_taken of epoch 1",
    "g0 learns of its write",
)
NOTING = (*OPENING, "g0 notes key 0")


def world_after(limits: Limits, steps: tuple[str, ...]) -> World:
    """Return the world after named steps from the first one."""
    protocol, world = Protocol(limits), first_world(limits)
    for wanted in steps:
        world = dict(protocol.successors(world))[wanted]()
    return world


def weight(step: str) -> float:
    """Return how often a walk takes a step, against the others it could take."""
    rare = {"claims": 0.04, "crashes": 0.02, "restarts": 0.05, "reads": 0.3}
    return next((share for word, share in rare.items() if word in step), 1.0)


def apply_write(world: World, write: PendingWrite) -> tuple[World, bool]:
    """Return the world after a conditional write, and whether it took effect."""
    version = world.row.version if world.row else 0
    if version != write.expect:
        return world, False
    row = write.row._replace(version=version + 1)
    old = world.old_rows | ({world.row} if world.row else set())
    return world._replace(row=row, old_rows=old), True


def put(world: World, index: int, member: Member) -> World:
    """Return the world with one member replaced."""
    members = (*world.members[:index], member, *world.members[index + 1 :])
    return world._replace(members=members)


def send(world: World, message: Message) -> World:
    """Return the world with a message in the network."""
    return world._replace(network=world.network | {message})
