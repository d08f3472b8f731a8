"""The slot protocol at work: pairs, notes, handovers and claims of one guard."""

import asyncio
import time
from collections import ChainMap
from collections.abc import Callable
from typing import Any, NamedTuple

from eliot import log_message

from hawthorntrack.coordination import ownership as own
from hawthorntrack.coordination.membership import eligible_guards
from hawthorntrack.coordination.slot_assignment import (
    MembershipSnapshot,
    SlotAction,
    plan_claim,
    plan_slot_action,
)
from hawthorntrack.protocol import local, messages
from hawthorntrack.protocol.rows import decode_slot, encode_slot, slot_key
from hawthorntrack.state.actor import Actor, Delivery, handles
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.idempotency_keys import KeySet, ReplicatedKey
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import BAD_INPUT, CLAIMS, RETRIES
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.slots import FORMING, IDLE, OPENED, RoleTracker, SlotState
from hawthorntrack.state.table import (
    Conflict,
    ReadResult,
    Table,
    WriteOutcomeUnknown,
    Written,
)
from hawthorntrack.state.values import GuardInfo, Incarnation, SlotRow

KEYS_PER_HANDOVER_PART = 5_000
MAX_MOVES_PER_TICK = 8
IDLE_SLOTS_PER_TICK = 200
CANDIDATES_STABLE_S = 1.5
RESEND_S = 0.5
WRITE_RETRY_DELAY_S = 0.25
CLAIM_PAUSE_S = 0.5
PEER_RETENTION_S = 60.0

# Slots are shared by all services: the widest rule that a document asks for holds.
WITNESS_RULES_WIDEST_FIRST = ("other_zone", "other_rack")

PAIR_MESSAGES = (
    messages.ReplicateKeys,
    messages.KeysReplicated,
    messages.ReplicationRefused,
    messages.Handover,
    messages.HandoverAccepted,
    messages.YieldSlot,
    messages.TransferAnswers,
)

Send = Callable[[Incarnation, Any], None]


class SlotObserved(NamedTuple):
    """A slot's row was read."""

    slot: int
    row: SlotRow | None


class ReplicationBatch(NamedTuple):
    """Keys sent to the witness and not confirmed yet."""

    number: int
    tokens: tuple[int, ...]
    notes: tuple[ReplicatedKey, ...]


class SuccessionRequest(NamedTuple):
    """A witness that was asked to take a slot over, at which epoch and time."""

    guard: Incarnation
    epoch: int
    asked_at: float


class Slot:
    """One slot as this guard keeps it.

    Attributes
    ----------
    unreplicated : list of (int, ReplicatedKey)
        Jobs whose keys go into the next note.
    batch : ReplicationBatch or None
        The note that is out.
    resend_at : float
        Loop time at which an unanswered note or handover is sent again.
    claim_paused_until : float
        Loop time before which no further claim is begun.
    succession : SuccessionRequest or None
        The witness that this guard, as owner, asked to take the slot over.
    predecessor : Incarnation or None
        The owner that asked this guard, as witness, to take the slot over.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.state = SlotState()
        self.tracker = RoleTracker()
        self.keys = KeySet()
        self.unreplicated: list[tuple[int, ReplicatedKey]] = []
        self.batch: ReplicationBatch | None = None
        self.batch_count = 0
        self.parts: dict[int, tuple[ReplicatedKey, ...]] = {}
        self.parts_source: tuple[Incarnation, int] | None = None
        self.resend_at = 0.0
        self.claim_paused_until = 0.0
        self.row_read_pending = False
        self.succession: SuccessionRequest | None = None
        self.predecessor: Incarnation | None = None


class SlotReplication(Actor):
    """Keeps a guard's part in the pairs of its slots.

    Explanation
    -----------
    The decisions are those of `ownership` and `balance`; this task owns the key
    sets, the clock and the wire around them. `admit_replicated`, `refuse_pending` and
    `forward_answers` are left to the subclass that holds the jobs.

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
    heartbeats : Mailbox
        The heartbeat task, which is told of this guard's partners.
    """

    def __init__(
        self,
        me: GuardInfo,
        settings: Settings,
        table: Table,
        send: Send,
        heartbeats: Mailbox,
    ) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.settings = settings
        self.table = table
        self.send = send
        self.heartbeats = heartbeats
        self.slots = [Slot(number) for number in range(settings.slots)]
        self.active_slots: dict[int, Slot] = {}
        self.view = ControlView()
        self.last_heard_at: dict[Incarnation, float] = {}
        self.candidate_addresses: frozenset[str] = frozenset()
        self.candidates_stable_since = 0.0
        self.next_idle_slot = 0
        self.draining = False
        self.leaving_peers: set[Incarnation] = set()
        self.partners: frozenset[Incarnation] = frozenset()
        self.last_tick_at: float | None = None

    def handle(self, message: Any) -> None:
        """Handle one message; whoever sent one is heard of."""
        if isinstance(message, Delivery):
            self.last_heard_at[message.sender] = self.now()
            body = message.body
            if isinstance(body, PAIR_MESSAGES) and not self.has_slot(body.slot):
                BAD_INPUT.labels(edge="bus", reason="slot").inc()
                return
        super().handle(message)

    def has_slot(self, number: int) -> bool:
        """Return whether there is a slot of this number."""
        return 0 <= number < len(self.slots)

    def admit_replicated(self, slot: Slot, tokens: tuple[int, ...]) -> None:
        """Admit jobs whose keys the witness remembers."""
        raise NotImplementedError

    def refuse_pending(self, slot: Slot) -> None:
        """Refuse jobs whose keys the witness has not confirmed."""
        raise NotImplementedError

    def forward_answers(self, slot: Slot) -> None:
        """Pass the answers of a slot's jobs on to its heir."""
        raise NotImplementedError

    # --- decisions and their commands

    def apply_event(self, slot: Slot, event: Any) -> None:
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
        slot.tracker.transition_to(step.state.phase)
        if step.state.phase == IDLE:
            self.active_slots.pop(slot.number, None)
        else:
            self.active_slots[slot.number] = slot
        for command in step.commands:
            self.execute_command(slot, command)

    def execute_command(self, slot: Slot, command: Any) -> None:
        """Carry out a command that needs no message of its own."""
        match command:
            case own.ReadRow():
                self.read_row(slot)
            case own.WriteRow(expect, row):
                self.spawn(self.write_row(slot.number, expect, row))
            case own.SendHandover(to, epoch):
                self.send_handover(slot, to, epoch)
            case own.MergeHandover(to, epoch):
                self.merge_handover(slot, to, epoch)
            case own.RefusePending():
                slot.unreplicated.clear()
                slot.batch = None
                self.refuse_pending(slot)
            case own.ForgetKeys():
                slot.keys = KeySet()

    def read_row(self, slot: Slot) -> None:
        """Read a slot's row, one read at a time."""
        if not slot.row_read_pending:
            slot.row_read_pending = True
            self.spawn(self.fetch_row(slot))

    async def fetch_row(self, slot: Slot) -> None:
        """Read the row and have it observed."""
        key = slot_key(self.settings.environment, slot.number)
        outcome = await self.table.read(key)
        slot.row_read_pending = False
        if isinstance(outcome, ReadResult):
            rows = [decode_slot(row) for row in outcome.rows]
            self.mailbox.put(SlotObserved(slot.number, rows[0] if rows else None))

    async def write_row(self, number: int, expect: int, row: SlotRow) -> None:
        """Write a slot's row and report what came of it."""
        key = slot_key(self.settings.environment, number)
        outcome = await self.table.write(key, expect, encode_slot(row))
        if isinstance(outcome, WriteOutcomeUnknown):
            RETRIES.labels(reason="table_write_unsettled").inc()
            await asyncio.sleep(WRITE_RETRY_DELAY_S)
        self.mailbox.put(local.SlotWriteCompleted(number, outcome))

    @handles(local.SlotWriteCompleted)
    def on_slot_write_completed(
        self, settled: local.SlotWriteCompleted, sender: Incarnation
    ) -> None:
        """Take the outcome of a write of a slot's row."""
        slot = self.slots[settled.slot]
        match settled.outcome:
            case Written(version):
                self.apply_event(slot, own.WriteSucceeded(version))
            case Conflict(row):
                self.apply_event(
                    slot, own.WriteConflicted(decode_slot(row) if row else None)
                )
            case WriteOutcomeUnknown():
                self.apply_event(slot, own.WriteUnconfirmed())

    @handles(SlotObserved)
    def on_slot_observed(self, observed: SlotObserved, sender: Incarnation) -> None:
        """Take a slot's row as the table shows it."""
        self.apply_event(self.slots[observed.slot], own.RowObserved(observed.row))

    # --- handovers

    def send_handover(self, slot: Slot, to: Incarnation, epoch: int) -> None:
        """Send the whole key set in parts."""
        notes = list(slot.keys.with_ages(self.now()))
        parts = max(1, -(-len(notes) // KEYS_PER_HANDOVER_PART))
        for part in range(parts):
            chunk = notes[
                part * KEYS_PER_HANDOVER_PART : (part + 1) * KEYS_PER_HANDOVER_PART
            ]
            self.send(
                to, messages.Handover(slot.number, epoch, part, parts, tuple(chunk))
            )
        slot.resend_at = self.now() + RESEND_S

    @handles(messages.Handover)
    def on_handover(self, part: messages.Handover, sender: Incarnation) -> None:
        """Collect the parts of a key set; decide once all are there."""
        slot = self.slots[part.slot]
        source = (sender, part.epoch)
        if slot.parts_source != source:
            newest = slot.parts_source[1] if slot.parts_source else 0
            if part.epoch < newest:
                return
            slot.parts, slot.parts_source = {}, source
        slot.parts[part.part] = part.keys
        if len(slot.parts) == part.parts:
            self.apply_event(slot, own.HandoverReceived(sender, part.epoch))

    def merge_handover(self, slot: Slot, to: Incarnation, epoch: int) -> None:
        """Merge the collected keys and confirm that."""
        for notes in slot.parts.values():
            slot.keys.merge(notes, self.now())
        self.send(to, messages.HandoverAccepted(slot.number, epoch))

    @handles(messages.HandoverAccepted)
    def on_handover_accepted(
        self, taken: messages.HandoverAccepted, sender: Incarnation
    ) -> None:
        """Go on to seal the pair."""
        self.apply_event(
            self.slots[taken.slot], own.HandoverConfirmed(sender, taken.epoch)
        )

    @handles(messages.YieldSlot)
    def on_yield_slot(self, offer: messages.YieldSlot, sender: Incarnation) -> None:
        """Claim a slot whose owner asks for it."""
        slot = self.slots[offer.slot]
        if (sender, offer.epoch) == (slot.state.peer, slot.state.epoch):
            slot.predecessor = sender
            self.start_move(
                SlotAction(
                    offer.slot, "yielded", self.choose_next_witness(slot, sender)
                )
            )

    def choose_next_witness(self, slot: Slot, owner: Incarnation) -> Incarnation | None:
        """Return the witness to claim with when the owner hands its slot on."""
        around = self.cluster_snapshot()
        number = slot.number
        move = plan_claim(number, "yielded", around, avoid=owner)
        move = move or plan_claim(number, "yielded", around)
        return move.witness if move else None

    # --- notes

    def replicate_key(self, slot: Slot, token: int, key: ReplicatedKey) -> None:
        """Have the witness remember a key; keys that wait go out together."""
        slot.unreplicated.append((token, key))
        self.send_next_batch(slot)

    def send_next_batch(self, slot: Slot) -> None:
        """Send the waiting keys, unless a note is out."""
        if slot.batch is not None or not slot.unreplicated:
            return
        slot.batch_count += 1
        tokens, notes = zip(*slot.unreplicated, strict=True)
        slot.unreplicated = []
        slot.batch = ReplicationBatch(slot.batch_count, tokens, notes)
        self.send_batch(slot)

    def send_batch(self, slot: Slot) -> None:
        """Send the note that is out, for the first time or again."""
        state, batch = slot.state, slot.batch
        slot.resend_at = self.now() + RESEND_S
        self.send(
            state.peer,
            messages.ReplicateKeys(slot.number, state.epoch, batch.number, batch.notes),
        )

    @handles(messages.ReplicateKeys)
    def on_replicate_keys(
        self, note: messages.ReplicateKeys, sender: Incarnation
    ) -> None:
        """Remember an owner's keys as its witness, or reject the note."""
        slot = self.slots[note.slot]
        step = own.decide(
            self.me.incarnation,
            slot.state,
            own.ReplicationRequested(sender, note.epoch),
        )
        for command in step.commands:
            if isinstance(command, own.AcceptReplication):
                slot.keys.merge(note.keys, self.now())
                reply = messages.KeysReplicated(note.slot, note.epoch, note.batch)
            else:
                reply = messages.ReplicationRefused(note.slot, note.epoch)
            self.send(sender, reply)

    @handles(messages.KeysReplicated)
    def on_keys_replicated(
        self, taken: messages.KeysReplicated, sender: Incarnation
    ) -> None:
        """Admit the jobs of a confirmed note and send the next."""
        slot = self.slots[taken.slot]
        if slot.batch is None or slot.batch.number != taken.batch:
            return
        step = own.decide(
            self.me.incarnation,
            slot.state,
            own.ReplicationConfirmed(sender, taken.epoch),
        )
        if step.commands:
            tokens, slot.batch = slot.batch.tokens, None
            self.admit_replicated(slot, tokens)
            self.send_next_batch(slot)

    @handles(messages.ReplicationRefused)
    def on_replication_refused(
        self, refused: messages.ReplicationRefused, sender: Incarnation
    ) -> None:
        """Look at the row: this guard is deposed, or its witness stepped down."""
        slot = self.slots[refused.slot]
        state = slot.state
        current = (state.phase, state.epoch, state.peer)
        if current == (OPENED, refused.epoch, sender):
            self.read_row(slot)
            around = self.cluster_snapshot()
            move = plan_claim(slot.number, "note_refused", around, avoid=sender)
            if move and self.now() >= slot.claim_paused_until:
                self.start_move(move)

    # --- looking after the slots

    def cluster_snapshot(self) -> MembershipSnapshot:
        """Return what this guard knows of the others now."""
        now = self.now()
        limit = self.settings.timing.pair_silence_s
        alive = {guard for guard, at in self.last_heard_at.items() if now - at <= limit}
        alive.add(self.me.incarnation)
        own = {self.me.incarnation.address: self.me}
        registered = ChainMap(own, self.view.guards)
        candidates = eligible_guards(
            registered, self.view.zones_out, alive - self.leaving_peers
        )
        leaving = self.draining or self.me.place.zone in self.view.zones_out
        if self.draining:
            candidates.pop(self.me.incarnation.address, None)
        if candidates.keys() != self.candidate_addresses:
            self.candidates_stable_since = now
            self.candidate_addresses = frozenset(candidates)
        rules = {document.witness for document in self.view.documents.values()}
        return MembershipSnapshot(
            me=self.me,
            registered=registered,
            candidates=candidates,
            candidate_addresses=self.candidate_addresses,
            alive=alive,
            rule=min(rules, default="other_zone", key=WITNESS_RULES_WIDEST_FIRST.index),
            membership_stable=now - self.candidates_stable_since >= CANDIDATES_STABLE_S,
            leaving=leaving,
        )

    def start_move(self, move: SlotAction) -> None:
        """Begin a claim, or ask the witness for one."""
        slot = self.slots[move.slot]
        slot.claim_paused_until = self.now() + CLAIM_PAUSE_S
        CLAIMS.labels(reason=move.reason).inc()
        if move.witness is None:
            if slot.state.phase == OPENED:
                self.request_succession(slot)
            return
        reset_ms = int(time.time() * 1000) if move.reset else 0
        self.apply_event(slot, own.Claim(move.witness, reset_ms))

    def request_succession(self, slot: Slot) -> None:
        """Ask the witness to take a slot over, and give it what it may be asked for."""
        peer, epoch = slot.state.peer, slot.state.epoch
        if slot.succession is None or slot.succession.epoch != epoch:
            slot.succession = SuccessionRequest(peer, epoch, self.now())
            self.forward_answers(slot)
        self.send(peer, messages.YieldSlot(slot.number, epoch))

    def resend(self, slot: Slot) -> None:
        """Send a note or a handover again that had no answer."""
        if self.now() < slot.resend_at:
            return
        if slot.state.phase == OPENED and slot.batch is not None:
            RETRIES.labels(reason="note_unanswered").inc()
            self.send_batch(slot)
        elif slot.state.phase == FORMING:
            RETRIES.labels(reason="handover_unanswered").inc()
            self.send_handover(slot, slot.state.peer, slot.state.epoch)

    @handles(messages.Heartbeat)
    def on_heartbeat(self, beat: messages.Heartbeat, sender: Incarnation) -> None:
        """Remember whether a guard is leaving."""
        (self.leaving_peers.add if beat.draining else self.leaving_peers.discard)(
            sender
        )

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Take a new view; observe the slot rows that it brings."""
        before, self.view = self.view, change.view
        if change.view.slots is before.slots:
            return
        for number, row in change.view.slots.items():
            if before.slots.get(number) != row and number < len(self.slots):
                self.apply_event(self.slots[number], own.RowObserved(row))

    @handles(Tick)
    def maintain_slots(self, tick: Tick, sender: Incarnation) -> None:
        """Resend, claim, and hand on what needs it."""
        now = self.now()
        if self.was_suspended(now):
            # Nobody was heard while this process did not run.
            self.last_heard_at = dict.fromkeys(self.last_heard_at, now)
        self.last_tick_at = now
        self.drop_silent_guards(now)
        self.update_partners()
        if not self.view.is_fresh(now, self.settings.timing.freshness_s):
            return
        around = self.cluster_snapshot()
        moves = 0
        for slot in self.slots_due():
            self.resend(slot)
            if moves < MAX_MOVES_PER_TICK and now >= slot.claim_paused_until:
                move = plan_slot_action(slot.number, slot.state, around)
                if move is not None:
                    moves += 1
                    self.start_move(move)

    def drop_silent_guards(self, now: float) -> None:
        """Forget guards not heard of for long, ended lives among them."""
        last_heard_at = self.last_heard_at
        self.last_heard_at = {
            g: at for g, at in last_heard_at.items() if now - at <= PEER_RETENTION_S
        }
        self.leaving_peers &= self.last_heard_at.keys()

    def update_partners(self) -> None:
        """Tell the heartbeat task whom this guard shares slots with."""
        partners = frozenset(slot.state.peer for slot in self.active_slots.values())
        if partners != self.partners:
            self.partners = partners
            self.heartbeats.post(local.PartnersChanged(partners))

    def slots_due(self) -> list[Slot]:
        """Return the slots to look at now: those held here, and others in turn."""
        active_slots = list(self.active_slots.values())
        begin, self.next_idle_slot = (
            self.next_idle_slot,
            self.next_idle_slot + IDLE_SLOTS_PER_TICK,
        )
        if self.next_idle_slot >= len(self.slots):
            self.next_idle_slot = 0
        others = self.slots[begin : begin + IDLE_SLOTS_PER_TICK]
        return active_slots + [slot for slot in others if slot.state.phase == IDLE]

    def was_suspended(self, now: float) -> bool:
        """Return whether this process has not run for a while."""
        limit = self.settings.timing.pair_silence_s / 2
        return self.last_tick_at is not None and now - self.last_tick_at > limit
