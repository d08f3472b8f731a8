"""Actor of a guard that executes runs on its target for entry instances, under leases.

It decides on orders from entry instances, reports the target's capacity to them, and
stops the runs of owners whose lease has expired.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import chain, islice
from typing import Any, NamedTuple

from hawthorntrack.coordination import leases
from hawthorntrack.coordination.room_offering import RoomOffering
from hawthorntrack.coordination.run_reconciler import TARGET_SILENCE_LIMIT_S
from hawthorntrack.coordination.target_session import (
    Run,
    TargetSession,
)
from hawthorntrack.protocol.links import LinkDown, LinkUp
from hawthorntrack.protocol.local import (
    Drain,
    DrainCompleted,
    DrainDeadlinePassed,
    ReadZones,
    ZonesRead,
)
from hawthorntrack.protocol.run_messages import (
    CancelJobRuns,
    CheckRuns,
    ConfirmLease,
    CrashedRun,
    GuardHeartbeat,
    Hello,
    RunEnding,
    RunOrder,
    RunsAccepted,
    RunsCrashed,
    RunsEnded,
    RunsRefused,
    StartRuns,
    StopRuns,
    TargetStatus,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.directives import ZonesAsOf
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import GUARD_HEARTBEAT_INTERVAL_S, LeaseTimes
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import NOT_RUN, ZONE_READS, labelled
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.plans import RunName, TaskName
from hawthorntrack.state.values import Incarnation

# Each change of capacity is reported to this many of the entry instances that wait for
# it, in turn, which bounds the reports of a busy target.
CAPACITY_REPORT_FANOUT = 3
# Changes of capacity within this time are combined into one report.
CAPACITY_REPORT_DELAY_S = 0.004
# Owners that reconnect within this time can still ask how their runs ended.
ENDING_RETENTION_S = 5.0


class ReportCapacity:
    """Message of the lease holder to itself: report the target's capacity."""


class DeferredOrder(NamedTuple):
    """An order that waits until an earlier run of its task has ended."""

    name: RunName
    owner: str


class LeaseHolder(RoomOffering):
    """Owns the runs on the targets beside this guard.

    Parameters
    ----------
    send : callable
        Sends a message to a peer; called with the peer's address and the message.
    calls : Mailbox
        Receives orders to the target.
    target_record : Mailbox
        Receives `TargetStateChanged`.
    drained : Mailbox
        Receives `DrainCompleted` once all runs have ended after a `Drain`.
    zone_reader : Mailbox
        Receives `ReadZones`.
    clock : callable
        Returns seconds, including time for which the machine was suspended.
    first_token : int
        First fencing token.
    lease_times : LeaseTimes
        Durations of leases.
    awake_clock : callable
        Returns seconds, without time for which the machine was suspended.
    share_room : bool
        Whether free capacity is offered to waiting tasks of all entry instances.

    Attributes
    ----------
    capacity_subscribers : dict of str to None
        Entry instances where jobs wait; the one that comes first is told first of the
        next change of capacity.
    reported_status : str
        Status in the last heartbeat that was sent to all entry instances.
    recent_endings : dict
        Ending of the last run, by owner and task, with the time of the report.
    """

    def __init__(
        self,
        send: Callable[[str, Any], None],
        calls: Mailbox,
        target_record: Mailbox,
        drained: Mailbox,
        zone_reader: Mailbox,
        clock: Clock,
        first_token: int,
        lease_times: LeaseTimes,
        awake_clock: Clock,
        share_room: bool = False,
    ) -> None:
        super().__init__(
            calls,
            target_record,
            clock,
            first_token,
            lease_times,
            awake_clock,
            send,
            share_room,
        )
        self.drained = drained
        self.zone_reader = zone_reader
        self.capacity_subscribers: dict[str, None] = {}
        self.reported_status = ""
        self.recent_endings: dict[tuple[str, TaskName], tuple[float, RunEnding]] = {}
        self.deferred_orders: dict[TaskName, list[DeferredOrder]] = {}
        self.sequence = 0
        self.draining = False
        self.report_scheduled = False
        self.next_heartbeat_at = 0.0

    def status(self, session: TargetSession | None, now: float) -> str:
        """Return the target's status.

        It is `ready`, `draining`, `unwell`, `absent`, or `zone_out` where no task may
        start in the target's zone.
        """
        if session is None:
            any_draining = any(s.state.draining for s in self.sessions.values())
            return "draining" if any_draining else "absent"
        if self.draining:
            return "draining"
        if now - session.heard_at > TARGET_SILENCE_LIMIT_S:
            return "absent"
        unwell = session.failures > 1 or session.retry_at > now
        # What unknown runs occupy is not known until they have been stopped.
        usable = session.announced and session.verified and not session.unknown_runs
        if unwell or not usable or self.health.ejected_until > now:
            return "unwell"
        return (
            "zone_out" if session.state.zone in self.zones.known.zones_out else "ready"
        )

    def target_status(self) -> TargetStatus:
        """Return the target's status and capacity under a new sequence number."""
        self.make_offers()
        self.sequence += 1
        session, now = self.current_session(), self.clock()
        status = self.status(session, now)
        if session is None:
            return TargetStatus(status, sequence=self.sequence)
        state = session.state
        return TargetStatus(
            status,
            state.service,
            state.zone,
            state.incarnation.id,
            state.labels,
            session.largest_capacity,
            session.offered.minus(self.offers.reserved),
            self.slowness,
            self.sequence,
            session.capacity_is_current,
            self.offers.waits(now),
            self.free_soon_cpu_m(session, now),
        )

    def schedule_capacity_report(self) -> None:
        """Schedule a capacity report if an entry instance needs one."""
        self.room_changed = True
        if not self.report_scheduled and (
            self.capacity_subscribers or self.status_changed()
        ):
            self.report_scheduled = True
            self.post_later(CAPACITY_REPORT_DELAY_S, ReportCapacity())

    def status_changed(self) -> bool:
        """Return whether the target's status differs from the one reported last."""
        return self.status(self.current_session(), self.clock()) != self.reported_status

    @handles(ReportCapacity)
    def on_report_capacity(self, message: ReportCapacity, sender: Incarnation) -> None:
        """Send a heartbeat to some subscribers, or to all after a change of status."""
        self.report_scheduled = False
        if self.status_changed():
            self.send_heartbeat_to_all()
        else:
            self.send_heartbeat(self.next_subscribers())

    def next_subscribers(self) -> list[str]:
        """Return the subscribers whose turn it is to learn of a change of capacity."""
        addresses = list(islice(self.capacity_subscribers, CAPACITY_REPORT_FANOUT))
        for address in addresses:
            del self.capacity_subscribers[address]
            self.capacity_subscribers[address] = None
        return addresses

    def send_heartbeat_to_all(self) -> None:
        """Send a heartbeat to all linked entry instances."""
        heartbeat = self.send_heartbeat(self.linked_entries)
        self.reported_status = heartbeat.target_status.status

    def send_heartbeat(self, addresses: Iterable[str]) -> GuardHeartbeat:
        """Send a heartbeat to entry instances, and return it."""
        heartbeat = GuardHeartbeat(int(self.clock() * 1000), self.target_status())
        for address in addresses:
            self.send(address, heartbeat)
        return heartbeat

    @handles(Hello)
    def on_hello(self, hello: Hello, sender: Incarnation) -> None:
        """Register an entry instance; stop the runs of its earlier process."""
        if hello.role != "entry":
            return
        known = self.entry_nonces.get(sender.address)
        if known is not None and known != sender.nonce:
            self.owner_lease_ends.pop(sender.address, None)
            self.stop_owner_runs(sender.address, "owner_restarted")
            self.forget_owner(sender.address)
            self.forget_demand(sender.address)
        self.entry_nonces[sender.address] = sender.nonce
        self.linked_entries.add(sender.address)
        log_event("entry:linked", entry=str(sender))
        self.send(
            sender.address,
            GuardHeartbeat(int(self.clock() * 1000), self.target_status()),
        )

    @handles(LinkUp)
    def on_link_up(self, event: LinkUp, sender: Incarnation) -> None:
        """Do nothing: the peer's role follows in its first message."""

    @handles(LinkDown)
    def on_link_down(self, event: LinkDown, sender: Incarnation) -> None:
        """Shorten an entry instance's lease to the time it has to reconnect."""
        self.linked_entries.discard(event.address)
        self.capacity_subscribers.pop(event.address, None)
        self.forget_demand(event.address)
        if event.address in self.owner_lease_ends:
            limit = self.clock() + leases.RECONNECT_GRACE_S
            lease_end = min(self.owner_lease_ends[event.address], limit)
            self.owner_lease_ends[event.address] = lease_end

    @handles(ConfirmLease)
    def on_confirm_lease(self, confirmation: ConfirmLease, sender: Incarnation) -> None:
        """Extend an owner's lease; update its subscription and the zones in service."""
        self.extend_owner_lease(
            sender.address,
            leases.owner_lease_end(
                self.lease_times, confirmation.guard_clock_ms, self.clock()
            ),
        )
        if confirmation.needs_capacity_updates:
            self.capacity_subscribers.setdefault(sender.address)
        else:
            self.capacity_subscribers.pop(sender.address, None)
        self.record_directives_age(confirmation, sender)
        reported = ZonesAsOf(
            confirmation.store_version, frozenset(confirmation.zones_out)
        )
        if self.zones.update(reported):
            self.apply_zones(f"entry {sender.address}")

    def record_directives_age(
        self, message: ConfirmLease | StartRuns, sender: Incarnation
    ) -> None:
        """Record how old an entry instance's directives are; read the zones if needed.

        Explanation
        -----------
        The age was true when the message was sent, which was after the heartbeat whose
        clock reading it returns.
        """
        self.zones.record_age(
            sender.address,
            message.directives_age_ms / 1000,
            min(message.guard_clock_ms / 1000, self.clock()),
        )
        self.read_zones_if_needed()

    def read_zones_if_needed(self) -> None:
        """Read the zones out of service if no entry instance knows them well enough."""
        now = self.clock()
        self.zones.outdated_entries &= self.linked_entries
        if self.zones.needs_read(now):
            self.zones.read_pending = True
            self.zone_reader.put(ReadZones(now))

    @handles(ZonesRead)
    def on_zones_read(self, message: ZonesRead, sender: Incarnation) -> None:
        """Apply the zones that were read, unless an entry instance told newer ones."""
        outcome = "failed" if message.zones is None else "ok"
        labelled(ZONE_READS, outcome).inc()
        log_event(
            "zones:read",
            outcome=outcome,
            outdated_entries=len(self.zones.outdated_entries),
            age_ms=round((self.clock() - self.zones.as_of) * 1000),
        )
        if self.zones.record_read(message.zones, message.asked_at):
            self.apply_zones("store")

    def apply_zones(self, source: str) -> None:
        """Log changed zones, and report the target's status if it has changed."""
        version, zones_out = self.zones.known
        zones = ",".join(sorted(zones_out))
        log_event("zones:changed", as_of=version, zones_out=zones, source=source)
        self.schedule_capacity_report()

    def extend_owner_lease(self, owner: str, lease_end: float) -> None:
        """Extend an owner's lease to a time; never shorten it."""
        known = self.owner_lease_ends.get(owner, 0.0)
        if known <= self.clock():
            # The owner may already have given up these runs.
            self.stop_owner_runs(owner, "owner_silent")
        self.owner_lease_ends[owner] = max(known, lease_end)

    @handles(StartRuns)
    def on_start_runs(self, order: StartRuns, sender: Incarnation) -> None:
        """Start the ordered runs that fit, defer some, and refuse the others."""
        now = self.clock()
        self.record_directives_age(order, sender)
        session = self.current_session()
        accepted: list[RunName] = []
        refused: dict[str, list[RunName]] = defaultdict(list)
        lease_end = leases.owner_lease_end(self.lease_times, order.guard_clock_ms, now)
        self.extend_owner_lease(sender.address, lease_end)
        status = self.status(session, now) if lease_end > now else "stale_order"
        free = session.free if session is not None else None
        for run_order in order.runs:
            earlier = self.find_run(run_order.name.task)
            if earlier is not None:
                successor = DeferredOrder(run_order.name, sender.address)
                self.defer_order(successor, *earlier, status)
                continue
            reason = self.refusal_reason(run_order, session, status)
            if not reason and not self.admits(
                run_order.need, free, order, sender.address
            ):
                reason = "no_room"
            if reason:
                refused[reason].append(run_order.name)
                continue
            self.start_run(session, run_order, order, sender.address, now)
            if run_order.name.task in session.runs:
                free = free.minus(run_order.need)
                self.charge_start(run_order, order)
                accepted.append(run_order.name)
        if accepted:
            log_event(
                "run:taken",
                job=accepted[0].task.job,
                runs=",".join(f"{name.task.position}:{name.run}" for name in accepted),
                owner=str(sender),
                trust_left_ms=round((lease_end - now) * 1000),
                born_ms=session.state.incarnation.born_ms,
            )
            self.send(
                sender.address, RunsAccepted(tuple(accepted), self.target_status())
            )
            self.schedule_capacity_report()
        for reason, names in refused.items():
            self.refuse(sender.address, names, reason)

    def refusal_reason(
        self, order: RunOrder, session: TargetSession | None, status: str
    ) -> str:
        """Return why a run is refused, apart from its need; empty if it is not."""
        if status != "ready":
            return status
        if not self.zones.allows_starts(self.clock()):
            return "zones_outdated"
        if session.isolated_job not in ("", order.name.task.job):
            return "isolated"
        return ""

    def find_run(self, task: TaskName) -> tuple[TargetSession, Run] | None:
        """Return a task's unfinished run with the session that it belongs to."""
        matching = (
            (session, session.runs[task])
            for session in self.sessions.values()
            if task in session.runs
        )
        return next(matching, None)

    def defer_order(
        self,
        successor: DeferredOrder,
        session: TargetSession,
        earlier: Run,
        status: str,
    ) -> None:
        """Defer an order until an earlier run of its task has ended.

        Explanation
        -----------
        The order is not refused at once, because its owner would then place the task
        elsewhere while the earlier run continues. An order whose owner
        lease has expired on arrival stops nothing, because the earlier run may belong
        to a later submission.
        """
        waiting = self.deferred_orders.setdefault(earlier.name.task, [])
        if successor not in waiting:
            waiting.append(successor)
        log_event(
            "run:awaited",
            **self.run_log_fields(session, earlier),
            phase=earlier.phase,
            by=successor.owner,
        )
        if status != "stale_order":
            # The caller submitted the job again, so the earlier run is obsolete.
            self.stop_run(session, earlier, "superseded")

    def forget_owner(self, owner: str) -> None:
        """Remove a replaced owner from its runs and discard its deferred orders.

        Explanation
        -----------
        The new process at its address must not get reports on orders of the old one.
        """
        for session in self.sessions.values():
            for run in session.runs.values():
                if run.owner == owner:
                    run.owner = ""
        self.deferred_orders = {
            task: [order for order in waiting if order.owner != owner]
            for task, waiting in self.deferred_orders.items()
        }

    def start_run(
        self,
        session: TargetSession,
        order: RunOrder,
        batch: StartRuns,
        owner: str,
        now: float,
    ) -> None:
        """Create a run and send its start order."""
        task = order.name.task
        number = max(order.name.run, self.run_numbers.get(task, 0) + 1)
        deadline_at = now + batch.remaining_ms / 1000
        name, queue = RunName(task, number), batch.queue
        run = Run(order, name, owner, batch.payload, deadline_at, now, queue)
        session.runs[task] = run
        self.send_start(session, run)

    def refuse(self, owner: str, names: Iterable[RunName], reason: str) -> None:
        """Report to an entry instance that runs did not start and never will."""
        names = tuple(names)
        labelled(NOT_RUN, reason).inc(len(names))
        session = self.current_session()
        log_event(
            "run:refused",
            job=names[0].task.job,
            count=len(names),
            reason=reason,
            owner=owner,
            free_cpu_m=session.free.cpu_m if session is not None else 0,
            target_age_ms=self.age_ms(session),
        )
        highest_run_numbers = tuple(
            self.run_numbers.get(name.task, 0) for name in names
        )
        self.send(
            owner, RunsRefused(names, highest_run_numbers, reason, self.target_status())
        )

    def age_ms(self, session: TargetSession | None) -> int:
        """Return the age of the target's newest message in ms; -1 without a target."""
        return round((self.clock() - session.heard_at) * 1000) if session else -1

    @handles(StopRuns)
    def on_stop_runs(self, order: StopRuns, sender: Incarnation) -> None:
        """Stop runs that their owner no longer needs."""
        for session in self.sessions.values():
            for name in order.runs:
                run = session.runs.get(name.task)
                if run is not None and run.owner == sender.address:
                    self.stop_run(session, run, "unwanted")

    @handles(CancelJobRuns)
    def on_cancel_job_runs(self, order: CancelJobRuns, sender: Incarnation) -> None:
        """Stop all runs of a job that its caller cancelled."""
        cancelled_tasks = [
            task for task in self.deferred_orders if task.job == order.job
        ]
        for successor in chain.from_iterable(
            map(self.deferred_orders.pop, cancelled_tasks)
        ):
            ending = RunEnding(successor.name, successor.name.run, "cancelled")
            self.send(successor.owner, RunsEnded((ending,), self.target_status()))
        for session in self.sessions.values():
            for run in list(session.runs.values()):
                if run.name.task.job == order.job:
                    self.stop_run(session, run, "cancelled")

    @handles(CheckRuns)
    def on_check_runs(self, order: CheckRuns, sender: Incarnation) -> None:
        """Report which runs have ended; stop runs that the owner did not name."""
        for session in self.sessions.values():
            for run in list(session.runs.values()):
                if run.owner == sender.address and run.order.name not in order.runs:
                    self.stop_run(session, run, "unwanted")
        present = {
            run.order.name
            for session in self.sessions.values()
            for run in session.runs.values()
            if run.owner == sender.address
        } | {
            successor.name
            for waiting in self.deferred_orders.values()
            for successor in waiting
            if successor.owner == sender.address
        }
        endings = [
            self.ending_of(sender.address, name)
            for name in order.runs
            if name not in present
        ]
        if endings:
            self.send(sender.address, RunsEnded(tuple(endings), self.target_status()))

    def ending_of(self, owner: str, name: RunName) -> RunEnding:
        """Return how a run has ended; it counts as lost if no ending is stored."""
        _, ending = self.recent_endings.get((owner, name.task), (0.0, None))
        if ending is not None and ending.name == name:
            return ending
        return RunEnding(name, name.run, "lost")

    def stop_owner_runs(self, owner: str, reason: str) -> None:
        """Stop all runs that an entry instance owns."""
        for session in self.sessions.values():
            for run in list(session.runs.values()):
                if run.owner == owner:
                    self.stop_run(session, run, reason)

    def finish_runs(
        self, session: TargetSession, ended_runs: list[tuple[Run, str]]
    ) -> None:
        """Remove ended runs; answer their owners and the orders deferred for them."""
        now = self.clock()
        by_owner: dict[str, list[RunEnding]] = defaultdict(list)
        unstarted: dict[str, list[RunName]] = defaultdict(list)
        for run, end_state in ended_runs:
            session.runs.pop(run.name.task, None)
            if end_state == "stopped" and run.stop_reason:
                end_state = run.stop_reason
            if end_state != "done":
                log_event(
                    "run:over", **self.run_log_fields(session, run), how=end_state
                )
            if end_state in ("done", "failed"):
                self.record_result(run, target_fault=end_state == "failed")
            if end_state == "done":
                self.update_slowness(session, run, now)
            ending = RunEnding(run.order.name, run.name.run, end_state)
            if run.owner:
                by_owner[run.owner].append(ending)
            for name, owner in self.deferred_orders.pop(run.name.task, ()):
                if end_state == "done":
                    by_owner[owner].append(ending._replace(name=name))
                else:
                    unstarted[owner].append(name)
        self.room_changed |= bool(ended_runs)
        for owner, endings in by_owner.items():
            for ending in endings:
                self.recent_endings[owner, ending.name.task] = (now, ending)
            self.send(owner, RunsEnded(tuple(endings), self.target_status()))
        for owner, names in unstarted.items():
            self.refuse(owner, names, "still_running")
        if ended_runs:
            self.schedule_capacity_report()
            self.report_drained()

    def report_crash(self, crashed: tuple[CrashedRun, ...]) -> None:
        """Report runs that ended in a crash of their target to the entry instances.

        Explanation
        -----------
        The owner may be gone, and the callers of its jobs submit them to any other
        entry instance. All that are linked get the report, and one passes it on.
        """
        passes_on = min(self.linked_entries, default="")
        for address in self.linked_entries:
            self.send(address, RunsCrashed(crashed, pass_on=address == passes_on))

    def refuse_deferred_orders(self, task: TaskName) -> None:
        """Refuse the orders that were deferred until a run of a task has ended."""
        for name, owner in self.deferred_orders.pop(task, ()):
            self.refuse(owner, [name], "still_running")

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Stop expired runs, renew target leases, and send heartbeats when due."""
        now = self.clock()
        for owner in leases.expired_owners(self.owner_lease_ends, now):
            del self.owner_lease_ends[owner]
            self.stop_owner_runs(owner, "owner_silent")
        for session in list(self.sessions.values()):
            for run in list(session.runs.values()):
                if run.deadline_at <= now:
                    self.stop_run(session, run, "deadline")
            self.expire_silent_session(session, now)
            self.renew_lease(session)
        self.recent_endings = {
            key: (ended_at, ending)
            for key, (ended_at, ending) in self.recent_endings.items()
            if ended_at + ENDING_RETENTION_S > now
        }
        self.read_zones_if_needed()
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + GUARD_HEARTBEAT_INTERVAL_S
            self.send_heartbeat_to_all()
            self.forget_unlinked_entries()

    def forget_unlinked_entries(self) -> None:
        """Forget the nonces of entry instances that have neither a link nor runs."""
        owners = {
            run.owner
            for session in self.sessions.values()
            for run in session.runs.values()
        }
        waiting = chain.from_iterable(self.deferred_orders.values())
        kept = self.linked_entries | owners | {order.owner for order in waiting}
        self.entry_nonces = {
            address: nonce
            for address, nonce in self.entry_nonces.items()
            if address in kept
        }

    @handles(Drain)
    def on_drain(self, order: Drain, sender: Incarnation) -> None:
        """Refuse new runs from now on."""
        self.draining = True
        self.schedule_capacity_report()
        self.report_drained()

    @handles(DrainDeadlinePassed)
    def on_drain_deadline_passed(
        self, order: DrainDeadlinePassed, sender: Incarnation
    ) -> None:
        """Log how many runs are left; the target stops them when their lease ends."""
        runs = sum(len(session.runs) for session in self.sessions.values())
        log_event("guard:leaves_runs", runs=runs)

    def report_drained(self) -> None:
        """Report that draining is complete once all runs have ended."""
        if self.draining and not any(s.runs for s in self.sessions.values()):
            self.drained.put(DrainCompleted(exposed_name(type(self))))
