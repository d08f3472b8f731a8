"""The slot protocol at work: pairs, notes, handovers and claims of one guard."""

import asyncio
import time
from collections import ChainMap
from collections.abc import Callable
from typing import Any, NamedTuple

from eliot import log_message

from hawthorntrack.coordination import ownership as own
from hawthorntrack.coordination.balance import Move, Surroundings, claim, plan_move
from hawthorntrack.coordination.membership import eligible
from hawthorntrack.protocol import local, messages
from hawthorntrack.protocol.rows import read_slot, slot_key, write_slot
from hawthorntrack.state.actor import Actor, Delivery, handles
from hawthorntrack.state.control import ControlView
from hawthorntrack.state.keys import KeyNote, KeySet
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import BAD_INPUT, CLAIMS, RETRIES
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.slots import FORMING, IDLE, OPENED, RoleTracker, SlotState
from hawthorntrack.state.table import Conflict, Found, Table, Unsettled, Written
from hawthorntrack.state.values import GuardInfo, Incarnation, SlotRow

HANDOVER_PART_KEYS = 5_000
MOVES_AT_ONCE = 8
IDLE_SLOTS_AT_ONCE = 200
SETTLED_AFTER_S = 1.5
RESEND_S = 0.5
REWRITE_S = 0.25
CLAIM_PAUSE_S = 0.5
FORGET_AFTER_S = 60.0

# Slots are shared by all services: the widest rule that a document asks for holds.
WITNESS_RULES_WIDEST_FIRST = ("other_zone", "other_rack")

PAIR_MESSAGES = (
    messages.Note,
    messages.NoteTaken,
    messages.NoteRefused,
    messages.Handover,
    messages.HandoverTaken,
    messages.Yield,
    messages.Answers,
)

Send = Callable[[Incarnation, Any], None]


class SlotObserved(NamedTuple):
    """A slot's row was read."""

    slot: int
    row: SlotRow | None


class NoteBatch(NamedTuple):
    """Keys sent to the witness and not confirmed yet."""

    number: int
    tokens: tuple[int, ...]
    notes: tuple[KeyNote, ...]


class Heir(NamedTuple):
    """A witness that was asked to take a slot over, at which epoch and time."""

    guard: Incarnation
    epoch: int
    asked_at: float


class Slot:
    """One slot as this guard keeps it.

    Attributes
    ----------
    unnoted : list of (int, KeyNote)
        Jobs whose keys go into the next note.
    batch : NoteBatch or None
        The note that is out.
    resend_at : float
        Loop time at which an unanswered note or handover is sent again.
    paused_until : float
        Loop time before which no further claim is begun.
    heir : Heir or None
        The witness that this guard, as owner, asked to take the slot over.
    predecessor : Incarnation or None
        The owner that asked this guard, as witness, to take the slot over.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.state = SlotState()
        self.tracker = RoleTracker()
        self.keys = KeySet()
        self.unnoted: list[tuple[int, KeyNote]] = []
        self.batch: NoteBatch | None = None
        self.batches = 0
        self.parts: dict[int, tuple[KeyNote, ...]] = {}
        self.parts_from: tuple[Incarnation, int] | None = None
        self.resend_at = 0.0
        self.paused_until = 0.0
        self.reading = False
        self.heir: Heir | None = None
        self.predecessor: Incarnation | None = None


class SlotPairing(Actor):
    """Keeps a guard's part in the pairs of its slots.

    Explanation
    -----------
    The decisions are those of `ownership` and `balance`; this task owns the key
    sets, the clock and the wire around them. `admit_noted`, `refuse_pending` and
    `pass_answers` are left to the subclass that holds the jobs.

    Parameters
    ----------
    me : GuardInfo
        This guard.
    settings : Settings
        Its settings.
    table : Table
        The platform's table.
    send : callable
        Sends a message to an incarnation.
    beats : Mailbox
        The heartbeat task, which is told of this guard's partners.
    """

    def __init__(
        self,
        me: GuardInfo,
        settings: Settings,
        table: Table,
        send: Send,
        beats: Mailbox,
    ) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.settings = settings
        self.table = table
        self.send = send
        self.beats = beats
        self.slots = [Slot(number) for number in range(settings.slots)]
        self.held: dict[int, Slot] = {}
        self.view = ControlView()
        self.heard: dict[Incarnation, float] = {}
        self.names: frozenset[str] = frozenset()
        self.candidates_since = 0.0
        self.next_idle = 0
        self.draining = False
        self.leaving_peers: set[Incarnation] = set()
        self.partners: frozenset[Incarnation] = frozenset()
        self.ticked_at: float | None = None

    def handle(self, message: Any) -> None:
        """Handle one message; whoever sent one is heard of."""
        if isinstance(message, Delivery):
            self.heard[message.sender] = self.now()
            body = message.body
            if isinstance(body, PAIR_MESSAGES) and not self.has_slot(body.slot):
                BAD_INPUT.labels(edge="bus", reason="slot").inc()
                return
        super().handle(message)

    def has_slot(self, number: int) -> bool:
        """Return whether there is a slot of this number."""
        return 0 <= number < len(self.slots)

    def admit_noted(self, slot: Slot, tokens: tuple[int, ...]) -> None:
        """Admit jobs whose keys the witness remembers."""
        raise NotImplementedError

    def refuse_pending(self, slot: Slot) -> None:
        """Refuse jobs whose keys the witness has not confirmed."""
        raise NotImplementedError

    def pass_answers(self, slot: Slot) -> None:
        """Pass the answers of a slot's jobs on to its heir."""
        raise NotImplementedError

    # --- decisions and their commands

    def apply(self, slot: Slot, event: Any) -> None:
        """Decide on an event and carry out what the decision calls for."""
        step = own.decide(self.me.incarnation, slot.state, event)
        if step.state.phase != slot.state.phase:
            log_message(
                "slot:phase",
                process=str(self.me.incarnation),
                slot=slot.number,
                before=slot.state.phase,
                after=step.state.phase,
                epoch=step.state.epoch,
            )
        slot.state = step.state
        slot.tracker.move(step.state.phase)
        if step.state.phase == IDLE:
            self.held.pop(slot.number, None)
        else:
            self.held[slot.number] = slot
        for command in step.commands:
            self.carry_out(slot, command)

    def carry_out(self, slot: Slot, command: Any) -> None:
        """Carry out a command that needs no message of its own."""
        match command:
            case own.ReadRow():
                self.read_row(slot)
            case own.WriteRow(expect, row):
                self.spawn(self.write_row(slot.number, expect, row))
            case own.SendHandover(to, epoch):
                self.send_handover(slot, to, epoch)
            case own.TakeKeys(to, epoch):
                self.take_keys(slot, to, epoch)
            case own.RefusePending():
                slot.unnoted.clear()
                slot.batch = None
                self.refuse_pending(slot)
            case own.ForgetKeys():
                slot.keys = KeySet()

    def read_row(self, slot: Slot) -> None:
        """Read a slot's row, one read at a time."""
        if not slot.reading:
            slot.reading = True
            self.spawn(self.fetch_row(slot))

    async def fetch_row(self, slot: Slot) -> None:
        """Read the row and have it observed."""
        key = slot_key(self.settings.environment, slot.number)
        outcome = await self.table.read(key)
        slot.reading = False
        if isinstance(outcome, Found):
            rows = [read_slot(row) for row in outcome.rows]
            self.mailbox.put(SlotObserved(slot.number, rows[0] if rows else None))

    async def write_row(self, number: int, expect: int, row: SlotRow) -> None:
        """Write a slot's row and report what came of it."""
        key = slot_key(self.settings.environment, number)
        outcome = await self.table.write(key, expect, write_slot(row))
        if isinstance(outcome, Unsettled):
            RETRIES.labels(reason="table_write_unsettled").inc()
            await asyncio.sleep(REWRITE_S)
        self.mailbox.put(local.WriteSettled(number, outcome))

    @handles(local.WriteSettled)
    def settle_write(self, settled: local.WriteSettled, sender: Incarnation) -> None:
        """Take the outcome of a write of a slot's row."""
        slot = self.slots[settled.slot]
        match settled.outcome:
            case Written(version):
                self.apply(slot, own.WriteTook(version))
            case Conflict(row):
                self.apply(slot, own.WriteLost(read_slot(row) if row else None))
            case Unsettled():
                self.apply(slot, own.WriteUnknown())

    @handles(SlotObserved)
    def observe(self, observed: SlotObserved, sender: Incarnation) -> None:
        """Take a slot's row as the table shows it."""
        self.apply(self.slots[observed.slot], own.Observe(observed.row))

    # --- handovers

    def send_handover(self, slot: Slot, to: Incarnation, epoch: int) -> None:
        """Send the whole key set in parts."""
        notes = list(slot.keys.notes(self.now()))
        parts = max(1, -(-len(notes) // HANDOVER_PART_KEYS))
        for part in range(parts):
            chunk = notes[part * HANDOVER_PART_KEYS : (part + 1) * HANDOVER_PART_KEYS]
            self.send(
                to, messages.Handover(slot.number, epoch, part, parts, tuple(chunk))
            )
        slot.resend_at = self.now() + RESEND_S

    @handles(messages.Handover)
    def collect(self, part: messages.Handover, sender: Incarnation) -> None:
        """Collect the parts of a key set; decide once all are there."""
        slot = self.slots[part.slot]
        source = (sender, part.epoch)
        if slot.parts_from != source:
            newest = slot.parts_from[1] if slot.parts_from else 0
            if part.epoch < newest:
                return
            slot.parts, slot.parts_from = {}, source
        slot.parts[part.part] = part.keys
        if len(slot.parts) == part.parts:
            self.apply(slot, own.HandoverArrived(sender, part.epoch))

    def take_keys(self, slot: Slot, to: Incarnation, epoch: int) -> None:
        """Merge the collected keys and confirm that."""
        for notes in slot.parts.values():
            slot.keys.merge(notes, self.now())
        self.send(to, messages.HandoverTaken(slot.number, epoch))

    @handles(messages.HandoverTaken)
    def confirm(self, taken: messages.HandoverTaken, sender: Incarnation) -> None:
        """Go on to seal the pair."""
        self.apply(self.slots[taken.slot], own.HandoverConfirmed(sender, taken.epoch))

    @handles(messages.Yield)
    def succeed(self, offer: messages.Yield, sender: Incarnation) -> None:
        """Claim a slot whose owner asks for it."""
        slot = self.slots[offer.slot]
        if (sender, offer.epoch) == (slot.state.peer, slot.state.epoch):
            slot.predecessor = sender
            self.begin(Move(offer.slot, "yielded", self.successor(slot, sender)))

    def successor(self, slot: Slot, owner: Incarnation) -> Incarnation | None:
        """Return the witness to claim with when the owner hands its slot on."""
        around = self.surroundings()
        number = slot.number
        move = claim(number, "yielded", around, avoid=owner)
        move = move or claim(number, "yielded", around)
        return move.witness if move else None

    # --- notes

    def note(self, slot: Slot, token: int, key: KeyNote) -> None:
        """Have the witness remember a key; keys that wait go out together."""
        slot.unnoted.append((token, key))
        self.send_notes(slot)

    def send_notes(self, slot: Slot) -> None:
        """Send the waiting keys, unless a note is out."""
        if slot.batch is not None or not slot.unnoted:
            return
        slot.batches += 1
        tokens, notes = zip(*slot.unnoted, strict=True)
        slot.unnoted = []
        slot.batch = NoteBatch(slot.batches, tokens, notes)
        self.push_batch(slot)

    def push_batch(self, slot: Slot) -> None:
        """Send the note that is out, for the first time or again."""
        state, batch = slot.state, slot.batch
        slot.resend_at = self.now() + RESEND_S
        self.send(
            state.peer,
            messages.Note(slot.number, state.epoch, batch.number, batch.notes),
        )

    @handles(messages.Note)
    def take_note(self, note: messages.Note, sender: Incarnation) -> None:
        """Remember an owner's keys as its witness, or reject the note."""
        slot = self.slots[note.slot]
        step = own.decide(
            self.me.incarnation, slot.state, own.NoteArrived(sender, note.epoch)
        )
        for command in step.commands:
            if isinstance(command, own.TakeNote):
                slot.keys.merge(note.keys, self.now())
                reply = messages.NoteTaken(note.slot, note.epoch, note.batch)
            else:
                reply = messages.NoteRefused(note.slot, note.epoch)
            self.send(sender, reply)

    @handles(messages.NoteTaken)
    def note_taken(self, taken: messages.NoteTaken, sender: Incarnation) -> None:
        """Admit the jobs of a confirmed note and send the next."""
        slot = self.slots[taken.slot]
        if slot.batch is None or slot.batch.number != taken.batch:
            return
        step = own.decide(
            self.me.incarnation, slot.state, own.NoteConfirmed(sender, taken.epoch)
        )
        if step.commands:
            tokens, slot.batch = slot.batch.tokens, None
            self.admit_noted(slot, tokens)
            self.send_notes(slot)

    @handles(messages.NoteRefused)
    def note_refused(self, refused: messages.NoteRefused, sender: Incarnation) -> None:
        """Look at the row: this guard is deposed, or its witness stepped down."""
        slot = self.slots[refused.slot]
        state = slot.state
        current = (state.phase, state.epoch, state.peer)
        if current == (OPENED, refused.epoch, sender):
            self.read_row(slot)
            around = self.surroundings()
            move = claim(slot.number, "note_refused", around, avoid=sender)
            if move and self.now() >= slot.paused_until:
                self.begin(move)

    # --- looking after the slots

    def surroundings(self) -> Surroundings:
        """Return what this guard knows of the others now."""
        now = self.now()
        limit = self.settings.timing.pair_silence_s
        alive = {guard for guard, at in self.heard.items() if now - at <= limit}
        alive.add(self.me.incarnation)
        own = {self.me.incarnation.address: self.me}
        registered = ChainMap(own, self.view.guards)
        candidates = eligible(
            registered, self.view.zones_out, alive - self.leaving_peers
        )
        leaving = self.draining or self.me.place.zone in self.view.zones_out
        if self.draining:
            candidates.pop(self.me.incarnation.address, None)
        if candidates.keys() != self.names:
            self.candidates_since = now
            self.names = frozenset(candidates)
        rules = {document.witness for document in self.view.documents.values()}
        return Surroundings(
            me=self.me,
            registered=registered,
            candidates=candidates,
            names=self.names,
            alive=alive,
            rule=min(rules, default="other_zone", key=WITNESS_RULES_WIDEST_FIRST.index),
            settled=now - self.candidates_since >= SETTLED_AFTER_S,
            leaving=leaving,
        )

    def begin(self, move: Move) -> None:
        """Begin a claim, or ask the witness for one."""
        slot = self.slots[move.slot]
        slot.paused_until = self.now() + CLAIM_PAUSE_S
        CLAIMS.labels(reason=move.reason).inc()
        if move.witness is None:
            if slot.state.phase == OPENED:
                self.hand_on(slot)
            return
        reset_ms = int(time.time() * 1000) if move.reset else 0
        self.apply(slot, own.Claim(move.witness, reset_ms))

    def hand_on(self, slot: Slot) -> None:
        """Ask the witness to take a slot over, and give it what it may be asked for."""
        peer, epoch = slot.state.peer, slot.state.epoch
        if slot.heir is None or slot.heir.epoch != epoch:
            slot.heir = Heir(peer, epoch, self.now())
            self.pass_answers(slot)
        self.send(peer, messages.Yield(slot.number, epoch))

    def resend(self, slot: Slot) -> None:
        """Send a note or a handover again that had no answer."""
        if self.now() < slot.resend_at:
            return
        if slot.state.phase == OPENED and slot.batch is not None:
            RETRIES.labels(reason="note_unanswered").inc()
            self.push_batch(slot)
        elif slot.state.phase == FORMING:
            RETRIES.labels(reason="handover_unanswered").inc()
            self.send_handover(slot, slot.state.peer, slot.state.epoch)

    @handles(messages.Beat)
    def hear(self, beat: messages.Beat, sender: Incarnation) -> None:
        """Remember whether a guard is leaving."""
        (self.leaving_peers.add if beat.draining else self.leaving_peers.discard)(
            sender
        )

    @handles(local.ViewChanged)
    def take_view(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Take a new view; observe the slot rows that it brings."""
        before, self.view = self.view, change.view
        if change.view.slots is before.slots:
            return
        for number, row in change.view.slots.items():
            if before.slots.get(number) != row and number < len(self.slots):
                self.apply(self.slots[number], own.Observe(row))

    @handles(Tick)
    def look_after(self, tick: Tick, sender: Incarnation) -> None:
        """Resend, claim, and hand on what needs it."""
        now = self.now()
        if self.froze(now):
            # Nobody was heard while this process did not run.
            self.heard = dict.fromkeys(self.heard, now)
        self.ticked_at = now
        self.forget_silent(now)
        self.update_partners()
        if not self.view.fresh(now, self.settings.timing.freshness_s):
            return
        around = self.surroundings()
        moves = 0
        for slot in self.due():
            self.resend(slot)
            if moves < MOVES_AT_ONCE and now >= slot.paused_until:
                move = plan_move(slot.number, slot.state, around)
                if move is not None:
                    moves += 1
                    self.begin(move)

    def forget_silent(self, now: float) -> None:
        """Forget guards not heard of for long, ended lives among them."""
        heard = self.heard
        self.heard = {g: at for g, at in heard.items() if now - at <= FORGET_AFTER_S}
        self.leaving_peers &= self.heard.keys()

    def update_partners(self) -> None:
        """Tell the heartbeat task whom this guard shares slots with."""
        partners = frozenset(slot.state.peer for slot in self.held.values())
        if partners != self.partners:
            self.partners = partners
            self.beats.post(local.Partners(partners))

    def due(self) -> list[Slot]:
        """Return the slots to look at now: those held here, and others in turn."""
        held = list(self.held.values())
        begin, self.next_idle = self.next_idle, self.next_idle + IDLE_SLOTS_AT_ONCE
        if self.next_idle >= len(self.slots):
            self.next_idle = 0
        others = self.slots[begin : begin + IDLE_SLOTS_AT_ONCE]
        return held + [slot for slot in others if slot.state.phase == IDLE]

    def froze(self, now: float) -> bool:
        """Return whether this process has not run for a while."""
        limit = self.settings.timing.pair_silence_s / 2
        return self.ticked_at is not None and now - self.ticked_at > limit
