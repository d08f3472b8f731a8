"""Actor that replicates the keys of a guard's slots to their witnesses.

It carries out the slot protocol: claims of slots, handovers of key sets, and the
replication of new keys before their jobs are admitted.
"""

import asyncio
import time
from collections import ChainMap
from collections.abc import Callable
from typing import Any, NamedTuple

from eliot import log_message

from hawthorntrack.coordination import ownership
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

# All services share the slots, so the widest rule in any service document applies.
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
    """Result of reading a slot's row; `row` is None if the table has no such row."""

    slot: int
    row: SlotRow | None


class ReplicationBatch(NamedTuple):
    """Keys that were sent to the witness and are not confirmed yet."""

    number: int
    tokens: tuple[int, ...]
    keys: tuple[ReplicatedKey, ...]


class SuccessionRequest(NamedTuple):
    """The request by which an owner asked its witness to take a slot over."""

    guard: Incarnation
    epoch: int
    asked_at: float


class Slot:
    """State of one slot at this guard.

    Attributes
    ----------
    unreplicated : list of (int, ReplicatedKey)
        Tokens and keys of the jobs that go into the next batch.
    batch : ReplicationBatch or None
        The batch that the witness has not confirmed yet.
    batch_count : int
        Number of the newest batch.
    parts : dict of int to tuple of ReplicatedKey
        Parts of a handover received so far, by part number.
    parts_source : (Incarnation, int) or None
        Sender and epoch of the handover that `parts` belong to.
    resend_at : float
        Loop time in seconds at which an unanswered batch or handover is sent again.
    claim_paused_until : float
        Loop time in seconds before which no further claim is started.
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
    """Acts as owner or witness of a guard's slots.

    Explanation
    -----------
    The decisions are made in `ownership` and `slot_assignment`; this actor owns the
    key sets and does the timing and the sending. `admit_replicated`,
    `refuse_pending` and `forward_answers` are left to the subclass that holds the
    jobs.

    Parameters
    ----------
    me : GuardInfo
        This guard.
    settings : Settings
        Settings of the guard.
    table : Table
        The platform's table.
    send : callable
        Sends a message to an incarnation.
    heartbeats : Mailbox
        Receives `PartnersChanged` when this guard shares slots with other guards than
        before.
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
        """Handle one message, and record the time of its arrival by sender."""
        if isinstance(message, Delivery):
            self.last_heard_at[message.sender] = self.now()
            body = message.body
            if isinstance(body, PAIR_MESSAGES) and not self.has_slot(body.slot):
                BAD_INPUT.labels(edge="bus", reason="slot").inc()
                return
        super().handle(message)

    def has_slot(self, number: int) -> bool:
        """Return whether `number` is the number of a slot."""
        return 0 <= number < len(self.slots)

    def admit_replicated(self, slot: Slot, tokens: tuple[int, ...]) -> None:
        """Admit jobs whose keys the witness has confirmed."""
        raise NotImplementedError

    def refuse_pending(self, slot: Slot) -> None:
        """Refuse the jobs of a slot whose keys the witness has not confirmed."""
        raise NotImplementedError

    def forward_answers(self, slot: Slot) -> None:
        """Send the answers of a slot's jobs to the guard that takes it over."""
        raise NotImplementedError

    # Decisions and their commands

    def apply_event(self, slot: Slot, event: Any) -> None:
        """Decide on an event, store the new state, and execute the commands."""
        step = ownership.decide(self.me.incarnation, slot.state, event)
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
        """Execute a command other than those that answer a replication message."""
        match command:
            case ownership.ReadRow():
                self.read_row(slot)
            case ownership.WriteRow(expect, row):
                self.spawn(self.write_row(slot.number, expect, row))
            case ownership.SendHandover(to, epoch):
                self.send_handover(slot, to, epoch)
            case ownership.MergeHandover(to, epoch):
                self.merge_handover(slot, to, epoch)
            case ownership.RefusePending():
                slot.unreplicated.clear()
                slot.batch = None
                self.refuse_pending(slot)
            case ownership.ForgetKeys():
                slot.keys = KeySet()

    def read_row(self, slot: Slot) -> None:
        """Read a slot's row in the background, unless a read is under way."""
        if not slot.row_read_pending:
            slot.row_read_pending = True
            self.spawn(self.fetch_row(slot))

    async def fetch_row(self, slot: Slot) -> None:
        """Read a slot's row and post it as `SlotObserved`."""
        key = slot_key(self.settings.environment, slot.number)
        outcome = await self.table.read(key)
        slot.row_read_pending = False
        if isinstance(outcome, ReadResult):
            rows = [decode_slot(row) for row in outcome.rows]
            self.mailbox.put(SlotObserved(slot.number, rows[0] if rows else None))

    async def write_row(self, number: int, expect: int, row: SlotRow) -> None:
        """Write a slot's row and post the outcome as `SlotWriteCompleted`."""
        key = slot_key(self.settings.environment, number)
        outcome = await self.table.write(key, expect, encode_slot(row))
        if isinstance(outcome, WriteOutcomeUnknown):
            RETRIES.labels(reason="table_write_unsettled").inc()
            await asyncio.sleep(WRITE_RETRY_DELAY_S)
        self.mailbox.put(local.SlotWriteCompleted(number, outcome))

    @handles(local.SlotWriteCompleted)
    def on_slot_write_completed(
        self, completed: local.SlotWriteCompleted, sender: Incarnation
    ) -> None:
        """Apply the outcome of writing a slot's row."""
        slot = self.slots[completed.slot]
        match completed.outcome:
            case Written(version):
                self.apply_event(slot, ownership.WriteSucceeded(version))
            case Conflict(row):
                self.apply_event(
                    slot, ownership.WriteConflicted(decode_slot(row) if row else None)
                )
            case WriteOutcomeUnknown():
                self.apply_event(slot, ownership.WriteUnconfirmed())

    @handles(SlotObserved)
    def on_slot_observed(self, observed: SlotObserved, sender: Incarnation) -> None:
        """Apply a slot's row as read from the table."""
        self.apply_event(self.slots[observed.slot], ownership.RowObserved(observed.row))

    # Handovers

    def send_handover(self, slot: Slot, to: Incarnation, epoch: int) -> None:
        """Send a slot's whole key set to its new witness, in parts."""
        keys = list(slot.keys.with_ages(self.now()))
        parts = max(1, -(-len(keys) // KEYS_PER_HANDOVER_PART))
        for part in range(parts):
            chunk = keys[
                part * KEYS_PER_HANDOVER_PART : (part + 1) * KEYS_PER_HANDOVER_PART
            ]
            self.send(
                to, messages.Handover(slot.number, epoch, part, parts, tuple(chunk))
            )
        slot.resend_at = self.now() + RESEND_S

    @handles(messages.Handover)
    def on_handover(self, part: messages.Handover, sender: Incarnation) -> None:
        """Collect the parts of a key set, and decide once all have arrived."""
        slot = self.slots[part.slot]
        source = (sender, part.epoch)
        if slot.parts_source != source:
            newest = slot.parts_source[1] if slot.parts_source else 0
            if part.epoch < newest:
                return
            slot.parts, slot.parts_source = {}, source
        slot.parts[part.part] = part.keys
        if len(slot.parts) == part.parts:
            self.apply_event(slot, ownership.HandoverReceived(sender, part.epoch))

    def merge_handover(self, slot: Slot, to: Incarnation, epoch: int) -> None:
        """Merge the collected keys and confirm the handover."""
        for keys in slot.parts.values():
            slot.keys.merge(keys, self.now())
        self.send(to, messages.HandoverAccepted(slot.number, epoch))

    @handles(messages.HandoverAccepted)
    def on_handover_accepted(
        self, accepted: messages.HandoverAccepted, sender: Incarnation
    ) -> None:
        """Record in the table that the pair is formed."""
        self.apply_event(
            self.slots[accepted.slot],
            ownership.HandoverConfirmed(sender, accepted.epoch),
        )

    @handles(messages.YieldSlot)
    def on_yield_slot(self, offer: messages.YieldSlot, sender: Incarnation) -> None:
        """Claim a slot that its owner asks this guard, its witness, to take over."""
        slot = self.slots[offer.slot]
        if (sender, offer.epoch) == (slot.state.peer, slot.state.epoch):
            slot.predecessor = sender
            self.start_move(
                SlotAction(
                    offer.slot, "yielded", self.choose_next_witness(slot, sender)
                )
            )

    def choose_next_witness(self, slot: Slot, owner: Incarnation) -> Incarnation | None:
        """Return the new witness for a slot that `owner` hands over to this guard."""
        snapshot = self.cluster_snapshot()
        number = slot.number
        move = plan_claim(number, "yielded", snapshot, avoid=owner)
        move = move or plan_claim(number, "yielded", snapshot)
        return move.witness if move else None

    # Replication of keys

    def replicate_key(self, slot: Slot, token: int, key: ReplicatedKey) -> None:
        """Replicate a key to the witness, in one batch with others that wait."""
        slot.unreplicated.append((token, key))
        self.send_next_batch(slot)

    def send_next_batch(self, slot: Slot) -> None:
        """Send the waiting keys, unless a batch is still unconfirmed."""
        if slot.batch is not None or not slot.unreplicated:
            return
        slot.batch_count += 1
        tokens, keys = zip(*slot.unreplicated, strict=True)
        slot.unreplicated = []
        slot.batch = ReplicationBatch(slot.batch_count, tokens, keys)
        self.send_batch(slot)

    def send_batch(self, slot: Slot) -> None:
        """Send the unconfirmed batch, for the first time or again."""
        state, batch = slot.state, slot.batch
        slot.resend_at = self.now() + RESEND_S
        self.send(
            state.peer,
            messages.ReplicateKeys(slot.number, state.epoch, batch.number, batch.keys),
        )

    @handles(messages.ReplicateKeys)
    def on_replicate_keys(
        self, request: messages.ReplicateKeys, sender: Incarnation
    ) -> None:
        """Store an owner's keys as its witness, or refuse them."""
        slot = self.slots[request.slot]
        step = ownership.decide(
            self.me.incarnation,
            slot.state,
            ownership.ReplicationRequested(sender, request.epoch),
        )
        for command in step.commands:
            if isinstance(command, ownership.AcceptReplication):
                slot.keys.merge(request.keys, self.now())
                reply = messages.KeysReplicated(
                    request.slot, request.epoch, request.batch
                )
            else:
                reply = messages.ReplicationRefused(request.slot, request.epoch)
            self.send(sender, reply)

    @handles(messages.KeysReplicated)
    def on_keys_replicated(
        self, confirmed: messages.KeysReplicated, sender: Incarnation
    ) -> None:
        """Admit the jobs of a confirmed batch and send the next one."""
        slot = self.slots[confirmed.slot]
        if slot.batch is None or slot.batch.number != confirmed.batch:
            return
        step = ownership.decide(
            self.me.incarnation,
            slot.state,
            ownership.ReplicationConfirmed(sender, confirmed.epoch),
        )
        if step.commands:
            tokens, slot.batch = slot.batch.tokens, None
            self.admit_replicated(slot, tokens)
            self.send_next_batch(slot)

    @handles(messages.ReplicationRefused)
    def on_replication_refused(
        self, refused: messages.ReplicationRefused, sender: Incarnation
    ) -> None:
        """Read the row after a refusal, and claim the slot with another witness.

        Explanation
        -----------
        Either this guard is no longer the owner, or its witness has stepped down.
        """
        slot = self.slots[refused.slot]
        state = slot.state
        current = (state.phase, state.epoch, state.peer)
        if current == (OPENED, refused.epoch, sender):
            self.read_row(slot)
            snapshot = self.cluster_snapshot()
            move = plan_claim(slot.number, "note_refused", snapshot, avoid=sender)
            if move and self.now() >= slot.claim_paused_until:
                self.start_move(move)

    # Maintenance of the slots

    def cluster_snapshot(self) -> MembershipSnapshot:
        """Return this guard's present view of the other guards."""
        now = self.now()
        limit = self.settings.timing.pair_silence_s
        alive = {guard for guard, at in self.last_heard_at.items() if now - at <= limit}
        alive.add(self.me.incarnation)
        this_guard = {self.me.incarnation.address: self.me}
        registered = ChainMap(this_guard, self.view.guards)
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
        """Start a claim, or ask the witness to claim the slot."""
        slot = self.slots[move.slot]
        slot.claim_paused_until = self.now() + CLAIM_PAUSE_S
        CLAIMS.labels(reason=move.reason).inc()
        if move.witness is None:
            if slot.state.phase == OPENED:
                self.request_succession(slot)
            return
        reset_ms = int(time.time() * 1000) if move.reset else 0
        self.apply_event(slot, ownership.Claim(move.witness, reset_ms))

    def request_succession(self, slot: Slot) -> None:
        """Ask the witness to take a slot over; forward answers on the first request."""
        peer, epoch = slot.state.peer, slot.state.epoch
        if slot.succession is None or slot.succession.epoch != epoch:
            slot.succession = SuccessionRequest(peer, epoch, self.now())
            self.forward_answers(slot)
        self.send(peer, messages.YieldSlot(slot.number, epoch))

    def resend(self, slot: Slot) -> None:
        """Send an unanswered batch or handover again when it is due."""
        if self.now() < slot.resend_at:
            return
        if slot.state.phase == OPENED and slot.batch is not None:
            RETRIES.labels(reason="note_unanswered").inc()
            self.send_batch(slot)
        elif slot.state.phase == FORMING:
            RETRIES.labels(reason="handover_unanswered").inc()
            self.send_handover(slot, slot.state.peer, slot.state.epoch)

    @handles(messages.Heartbeat)
    def on_heartbeat(self, heartbeat: messages.Heartbeat, sender: Incarnation) -> None:
        """Record whether a guard is draining."""
        (self.leaving_peers.add if heartbeat.draining else self.leaving_peers.discard)(
            sender
        )

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Store a new view and apply the slot rows that changed in it."""
        before, self.view = self.view, change.view
        if change.view.slots is before.slots:
            return
        for number, row in change.view.slots.items():
            if before.slots.get(number) != row and number < len(self.slots):
                self.apply_event(self.slots[number], ownership.RowObserved(row))

    @handles(Tick)
    def maintain_slots(self, tick: Tick, sender: Incarnation) -> None:
        """Resend unanswered messages, and claim or hand over slots where needed."""
        now = self.now()
        if self.was_suspended(now):
            # This process received no messages while it was suspended, so the silence
            # of other guards is no sign of failure.
            self.last_heard_at = dict.fromkeys(self.last_heard_at, now)
        self.last_tick_at = now
        self.drop_silent_guards(now)
        self.update_partners()
        if not self.view.is_fresh(now, self.settings.timing.freshness_s):
            return
        snapshot = self.cluster_snapshot()
        moves = 0
        for slot in self.slots_due():
            self.resend(slot)
            if moves < MAX_MOVES_PER_TICK and now >= slot.claim_paused_until:
                move = plan_slot_action(slot.number, slot.state, snapshot)
                if move is not None:
                    moves += 1
                    self.start_move(move)

    def drop_silent_guards(self, now: float) -> None:
        """Drop guards that have been silent for long, earlier incarnations included."""
        last_heard_at = self.last_heard_at
        self.last_heard_at = {
            g: at for g, at in last_heard_at.items() if now - at <= PEER_RETENTION_S
        }
        self.leaving_peers &= self.last_heard_at.keys()

    def update_partners(self) -> None:
        """Notify the heartbeat sender when the guards that share slots change."""
        partners = frozenset(slot.state.peer for slot in self.active_slots.values())
        if partners != self.partners:
            self.partners = partners
            self.heartbeats.post(local.PartnersChanged(partners))

    def slots_due(self) -> list[Slot]:
        """Return the slots to check now: all active ones, and idle ones in turn."""
        active_slots = list(self.active_slots.values())
        begin, self.next_idle_slot = (
            self.next_idle_slot,
            self.next_idle_slot + IDLE_SLOTS_PER_TICK,
        )
        if self.next_idle_slot >= len(self.slots):
            self.next_idle_slot = 0
        next_slots = self.slots[begin : begin + IDLE_SLOTS_PER_TICK]
        return active_slots + [slot for slot in next_slots if slot.state.phase == IDLE]

    def was_suspended(self, now: float) -> bool:
        """Return whether the process was suspended for long since the last tick."""
        limit = self.settings.timing.pair_silence_s / 2
        return self.last_tick_at is not None and now - self.last_tick_at > limit
