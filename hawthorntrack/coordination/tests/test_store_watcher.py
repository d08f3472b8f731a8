"""Tests of how directives and members are obtained from the store and from peers."""

import asyncio

import pytest

from hawthorntrack.coordination.store_watcher import (
    DIRECTIVES_REQUEST_INTERVAL_S,
    DIRECTIVES_WATCH_S,
    StoreWatcher,
)
from hawthorntrack.coordination.tests.test_dispatcher import (
    GUARD_1,
    DispatcherHarness,
)
from hawthorntrack.protocol.job_requests import (
    DirectivesChanged,
    DirectivesConfirmed,
)
from hawthorntrack.protocol.links import DialOnce, MaintainLink
from hawthorntrack.protocol.local import MembersKnown, NewerStampSeen
from hawthorntrack.protocol.run_messages import (
    ConfirmLease,
    DirectiveRows,
    Hello,
    KnownMembers,
    RequestDirectives,
)
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.catalogue import Catalogue
from hawthorntrack.state.directives import Directives, KeyRange, Member, StoreRow
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.store import Changes, HistoryGone, StoreUnavailable
from hawthorntrack.state.values import Incarnation

ME = Member("10.0.0.1:1", "entry", "recife", "entry-1")
# Longest specified time until a configuration is in force.
CONFIG_LIMIT_S = 2.0
PEER = Incarnation("10.0.0.2:1", "p")


class FakeStore:
    """A store that answers from lists of outcomes, and then not at all."""

    def __init__(self):
        self.reads = {"op": [], "members": []}
        self.watches = {"op": [], "members": []}
        self.puts = []
        self.watch_takes_s = 0.0
        self.calls = []

    async def read(self, table, keys=KeyRange()):
        self.calls.append(("read", table))
        return await self.next(self.reads[table])

    async def watch(self, table, after, wait_s):
        self.calls.append(("watch", table, after))
        await asyncio.sleep(self.watch_takes_s)
        return await self.next(self.watches[table])

    async def put(self, table, key, value):
        self.calls.append(("put", table, key))
        return self.puts.pop(0) if self.puts else None

    async def next(self, outcomes):
        if not outcomes:
            await asyncio.sleep(1e6)
        return outcomes.pop(0)


def decode(rows, stamp):
    """Decode the version from the row `config`; raise ValueError if it is no number."""
    version = int(rows["config"].value) if "config" in rows else 0
    zones = (key.removeprefix("out/") for key in rows if key.startswith("out/"))
    return Directives(stamp, Catalogue(version), frozenset(zones))


def config(version, store_version):
    return StoreRow("config", str(version).encode(), store_version)


class Harness:
    """A watcher of a fake store, with the messages that it posts and sends."""

    def __init__(self):
        self.store = FakeStore()
        self.subscriber = Mailbox("subscriber")
        self.links = Mailbox("links")
        self.sent = []
        self.watcher = StoreWatcher(
            ME,
            self.store,
            decode,
            lambda rows: tuple(Member(r.key, "guard", "z", "n") for r in rows),
            b"me",
            ["10.0.0.9:1"],
            lambda address, body: self.sent.append((address, body)),
            self.links,
            [self.subscriber],
            lambda: self.watcher.now(),
        )

    async def run_for(self, seconds=0.1):
        task = asyncio.create_task(self.watcher.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def deliver(self, body, sender=PEER):
        self.watcher.handle(Delivery(sender, body))

    def versions(self):
        items = self.posted_messages()
        return [
            (item.directives.catalogue.version, item.directives.stamp)
            for item in items
            if isinstance(item, DirectivesChanged)
        ]

    def posted_messages(self):
        queue = self.subscriber.queue
        return [queue.get_nowait() for _ in range(queue.qsize())]

    def dialled_addresses(self, kind):
        queue = self.links.queue
        items = [queue.get_nowait() for _ in range(queue.qsize())]
        return [item.address for item in items if isinstance(item, kind)]

    def known_members(self):
        items = self.posted_messages()
        return [
            member
            for item in items
            if isinstance(item, MembersKnown)
            for member in item.members
        ]


@pytest.fixture
def harness():
    return Harness()


def test_table_is_read_once_and_then_watched(run, harness):
    harness.store.reads["op"] = [Changes((config(3, 5),), 6)]
    harness.store.watches["op"] = [Changes((config(4, 9),), 9)]
    run(harness.run_for())
    assert harness.versions() == [(3, 6), (4, 9)]
    assert ("watch", "op", 6) in harness.store.calls


def test_table_is_read_again_after_a_gap_in_the_history(run, harness):
    harness.store.reads["op"] = [
        Changes((config(3, 5),), 6),
        Changes((config(8, 20),), 21),
    ]
    harness.store.watches["op"] = [HistoryGone()]
    run(harness.run_for())
    assert harness.versions() == [(3, 6), (8, 21)]


def test_stale_read_does_not_replace_newer_directives(run, harness):
    harness.store.reads["op"] = [
        Changes((config(8, 20),), 21),
        Changes((config(3, 5),), 6),
    ]
    harness.store.watches["op"] = [HistoryGone(), Changes((config(9, 30),), 30)]
    run(harness.run_for())
    assert harness.versions() == [(8, 21), (9, 30)]


def test_zone_is_in_service_again_once_its_row_is_removed(run, harness):
    out = StoreRow("out/recife", b"", 7)
    harness.store.reads["op"] = [Changes((config(3, 5), out), 7)]
    harness.store.watches["op"] = [Changes((out._replace(version=9, removed=True),), 9)]
    run(harness.run_for())
    assert harness.watcher.rows.keys() == {"config"}
    assert harness.versions()[-1] == (3, 9)


def test_unreadable_configuration_does_not_replace_the_one_in_force(run, harness):
    bad = StoreRow("config", b"?", 9)
    harness.store.reads["op"] = [Changes((config(3, 5),), 6)]
    harness.store.watches["op"] = [Changes((bad,), 9), Changes((config(5, 12),), 12)]
    run(harness.run_for())
    assert harness.versions() == [(3, 6), (5, 12)]


def test_watcher_connects_to_seeds_while_the_store_is_unavailable(run, harness):
    harness.store.reads["op"] = [StoreUnavailable("busy"), Changes((config(3, 5),), 6)]
    run(harness.run_for(1.0))
    assert "10.0.0.9:1" in harness.dialled_addresses(DialOnce)
    assert harness.versions() == [(3, 6)]


def test_seeds_are_not_dialled_any_more_once_the_store_answers(run, harness):
    harness.store.reads["op"] = [StoreUnavailable("busy"), Changes((config(3, 5),), 6)]

    async def scenario():
        await harness.run_for(1.0)
        return harness.dialled_addresses(DialOnce)

    assert run(scenario()) == ["10.0.0.9:1"]


def test_registration_is_repeated_until_it_is_acknowledged(run, harness):
    harness.store.puts = [
        StoreUnavailable("limited"),
        StoreUnavailable("unanswered"),
        None,
    ]
    run(harness.run_for(2.0))
    puts = [call for call in harness.store.calls if call[0] == "put"]
    assert puts == [("put", "members", ME.address)] * 3


def test_directives_of_a_peer_with_a_newer_stamp_are_put_in_force(run, harness):
    async def scenario():
        await harness.run_for()
        harness.deliver(NewerStampSeen(PEER, 40))
        harness.deliver(DirectiveRows(40, (("config", b"7", 38),)))

    run(scenario())
    assert (PEER.address, RequestDirectives()) in harness.sent
    assert harness.versions() == [(7, 40)]


def test_peers_are_asked_for_directives_while_the_store_refuses_this_process(
    run, harness
):
    """Seen: a configuration reached such an entry instance 7 s after its peers."""
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]
    harness.store.watches["op"] = [StoreUnavailable("busy")] * 99
    peers = ("10.0.0.2:1", "10.0.0.3:1")

    async def scenario():
        harness.watcher.add_members(
            (*(Member(peer, "entry", "z", "n") for peer in peers), ME)
        )
        await harness.run_for(CONFIG_LIMIT_S)

    run(scenario())
    asked = [(to, body) for to, body in harness.sent if to in peers]
    assert {to for to, _ in asked} == set(peers)
    assert {body for _, body in asked} == {RequestDirectives(21)}
    assert len(asked) <= CONFIG_LIMIT_S / DIRECTIVES_REQUEST_INTERVAL_S


def test_peers_are_not_asked_for_directives_while_the_store_answers(run, harness):
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]
    harness.store.watches["op"] = [Changes((), 21)] * 9
    harness.store.watch_takes_s = DIRECTIVES_WATCH_S

    async def scenario():
        harness.watcher.add_members((Member("10.0.0.2:1", "entry", "z", "n"),))
        await harness.run_for(6.0)

    run(scenario())
    assert harness.sent == []


def test_request_for_directives_is_answered_only_with_newer_ones(run, harness):
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]

    async def scenario():
        await harness.run_for()
        harness.deliver(RequestDirectives(21))
        assert harness.sent == []
        harness.deliver(RequestDirectives(20))

    run(scenario())
    ((to, reply),) = harness.sent
    assert (to, reply.store_version) == (PEER.address, 21)


def test_directives_of_a_peer_that_is_behind_change_nothing(run, harness):
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]

    async def scenario():
        await harness.run_for()
        harness.deliver(DirectiveRows(10, (("config", b"3", 5),)))

    run(scenario())
    assert harness.versions() == [(8, 21)]


def test_equal_rows_with_a_newer_stamp_are_not_requested_again(run, harness):
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]

    async def scenario():
        await harness.run_for()
        harness.deliver(DirectiveRows(50, (("config", b"8", 20),)))
        harness.deliver(NewerStampSeen(PEER, 50))

    run(scenario())
    assert harness.versions() == [(8, 21)]
    assert harness.sent == []


def test_directives_are_confirmed_as_of_the_end_of_each_wait(run, harness):
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]
    harness.store.watches["op"] = [Changes((), 21), Changes((), 21)]
    harness.store.watch_takes_s = DIRECTIVES_WATCH_S
    run(harness.run_for(2.0))
    as_of = [
        message.as_of
        for message in harness.posted_messages()
        if isinstance(message, DirectivesConfirmed)
    ]
    expected = [1_000.0 + DIRECTIVES_WATCH_S * n for n in range(3)]
    assert as_of == pytest.approx(expected)


def test_directives_are_not_confirmed_while_the_store_gives_no_answer(run, harness):
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]
    harness.store.watches["op"] = [StoreUnavailable("busy")] * 9
    run(harness.run_for(3.0))
    messages = harness.posted_messages()
    confirmed = [m for m in messages if isinstance(m, DirectivesConfirmed)]
    assert [message.as_of for message in confirmed] == [1_000.0]


def test_zone_out_and_back_between_two_answers_gives_guards_a_newer_stamp(run, harness):
    """A guard that learnt of the zone in between kept it out until the next change."""
    harness.store.reads["op"] = [Changes((config(8, 20),), 21)]
    harness.store.watches["op"] = [Changes((StoreRow("out/z", b"", 30, True),), 30)]
    entry = DispatcherHarness(asyncio.new_event_loop())
    entry.connect_guard(GUARD_1)
    run(harness.run_for())
    for message in harness.posted_messages():
        entry.deliver(message)
    entry.send_heartbeat(GUARD_1)
    _, confirmation = entry.take_messages(ConfirmLease)[-1]
    assert (confirmation.store_version, confirmation.zones_out) == (30, ())
    entry.loop.close()


def test_guards_in_the_members_table_are_passed_to_the_dispatcher(run, harness):
    harness.store.reads["members"] = [Changes((StoreRow("10.0.0.5:1", b"", 1),), 2)]
    run(harness.run_for())
    assert harness.known_members() == [Member("10.0.0.5:1", "guard", "z", "n")]
    assert harness.dialled_addresses(MaintainLink) == []


def test_guard_that_registers_again_is_passed_to_the_dispatcher_again(run, harness):
    row = StoreRow("10.0.0.5:1", b"", 1)
    harness.store.reads["members"] = [Changes((row,), 2)]
    harness.store.watches["members"] = [Changes((row._replace(version=3),), 3)]
    run(harness.run_for())
    assert len(harness.known_members()) == 2


def test_entry_connects_to_entries_with_higher_addresses(run, harness):
    for address in ("10.0.0.0:1", "10.0.0.3:1"):
        member = (address, "entry", "z", "n")
        harness.deliver(KnownMembers((member,)))
    assert harness.dialled_addresses(MaintainLink) == ["10.0.0.3:1"]


def test_members_spread_among_entries_while_the_store_is_silent(run, harness):
    async def scenario():
        await harness.run_for()
        harness.deliver(Hello("entry", "olinda", "entry-2"))
        harness.deliver(KnownMembers((("10.0.0.7:1", "guard", "z", "n"),)))
        guard = Incarnation("10.0.0.8:1", "g")
        harness.deliver(Hello("guard", "olinda", "side-1"), guard)

    run(scenario())
    guards = [m.address for m in harness.known_members() if m.role == "guard"]
    assert guards == ["10.0.0.7:1", "10.0.0.8:1"]
    sent_to_peer = [body for to, body in harness.sent if to == PEER.address]
    assert KnownMembers((("10.0.0.8:1", "guard", "olinda", "side-1"),)) in sent_to_peer


@pytest.mark.parametrize("is_full_read", [True, False])
def test_unreadable_configuration_hides_no_zone_out(run, harness, is_full_read):
    out = StoreRow("out/recife", b"", 8)
    changes = Changes((StoreRow("config", b"?", 9), out), 9)
    harness.store.reads["op"] = [Changes((config(3, 5),), 6)]
    harness.store.watches["op"] = [HistoryGone()] if is_full_read else [changes]
    harness.store.reads["op"] += [changes] if is_full_read else []
    harness.store.watches["op"] += [Changes((config(5, 12),), 12)]
    run(harness.run_for())
    assert harness.versions() == [(3, 6), (3, 9), (5, 12)]
    assert harness.watcher.rows.keys() == {"config", "out/recife"}


def test_unreadable_configuration_at_the_first_read_hides_no_zone_out(run, harness):
    out = StoreRow("out/recife", b"", 8)
    harness.store.reads["op"] = [Changes((StoreRow("config", b"?", 9), out), 9)]
    harness.store.watches["op"] = [Changes((config(5, 12),), 12)]
    run(harness.run_for())
    assert harness.versions()[-1] == (5, 12)
    assert harness.watcher.rows.keys() == {"config", "out/recife"}


def test_malformed_member_row_is_decoded_only_once(run, harness):
    decoded = []
    harness.watcher.decode_members = lambda rows: decoded.extend(rows) or ()
    first, second = StoreRow("x", b"?", 1), StoreRow("10.0.0.5:1", b"", 2)
    harness.store.reads["members"] = [Changes((first,), 1)]
    harness.store.watches["members"] = [Changes((second,), 2)]
    run(harness.run_for())
    assert decoded == [first, second]
