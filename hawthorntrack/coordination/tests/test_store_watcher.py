"""How a process keeps in step with the store, and with its peers without it."""

import asyncio

import pytest

from hawthorntrack.coordination.store_watcher import StoreWatcher
from hawthorntrack.protocol.job_requests import DirectivesChanged
from hawthorntrack.protocol.links import MaintainLink
from hawthorntrack.protocol.local import NewerStampSeen
from hawthorntrack.protocol.run_messages import (
    DirectiveRows,
    Hello,
    KnownMembers,
    RequestDirectives,
)
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.catalogue import Catalogue
from hawthorntrack.state.directives import Directives, Member, StoreRow
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.store import Changes, HistoryGone, StoreUnavailable
from hawthorntrack.state.values import Incarnation

ME = Member("10.0.0.1:1", "entry", "recife", "entry-1")
PEER = Incarnation("10.0.0.2:1", "p")


class FakeStore:
    """Answers from lists of outcomes; then stays silent."""

    def __init__(self):
        self.reads = {"op": [], "members": []}
        self.watches = {"op": [], "members": []}
        self.puts = []
        self.asked = []

    async def read(self, table):
        self.asked.append(("read", table))
        return await self.next(self.reads[table])

    async def watch(self, table, after, wait_s):
        self.asked.append(("watch", table, after))
        return await self.next(self.watches[table])

    async def put(self, table, key, value):
        self.asked.append(("put", table, key))
        return self.puts.pop(0) if self.puts else None

    async def next(self, outcomes):
        if not outcomes:
            await asyncio.sleep(1e6)
        return outcomes.pop(0)


def decode(rows, stamp):
    """Take a row's text for the version; refuse one that is no number."""
    version = int(rows["config"].value) if "config" in rows else 0
    zones = (key.removeprefix("out/") for key in rows if key.startswith("out/"))
    return Directives(stamp, Catalogue(version), frozenset(zones))


def config(version, at):
    return StoreRow("config", str(version).encode(), at)


class Scene:
    """A follower with what it tells and sends."""

    def __init__(self):
        self.store = FakeStore()
        self.told = Mailbox("told")
        self.links = Mailbox("links")
        self.sent = []
        self.follower = StoreWatcher(
            ME,
            self.store,
            decode,
            lambda rows: tuple(Member(r.key, "guard", "z", "n") for r in rows),
            b"me",
            ["10.0.0.9:1"],
            lambda address, body: self.sent.append((address, body)),
            self.links,
            [self.told],
        )

    async def settle(self, seconds=0.1):
        task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def tell(self, body, sender=PEER):
        self.follower.handle(Delivery(sender, body))

    def versions(self):
        queue = self.told.queue
        news = [queue.get_nowait() for _ in range(queue.qsize())]
        return [
            (n.directives.catalogue.version, n.directives.stamp)
            for n in news
            if isinstance(n, DirectivesChanged)
        ]

    def dialled(self):
        queue = self.links.queue
        items = [queue.get_nowait() for _ in range(queue.qsize())]
        return [item.address for item in items if isinstance(item, MaintainLink)]


@pytest.fixture
def scene():
    return Scene()


def test_reads_the_table_then_goes_by_the_feed(run, scene):
    scene.store.reads["op"] = [Changes((config(3, 5),), 6)]
    scene.store.watches["op"] = [Changes((config(4, 9),), 9)]
    run(scene.settle())
    assert scene.versions() == [(3, 6), (4, 9)]
    assert ("watch", "op", 6) in scene.store.asked


def test_gap_in_the_feed_has_the_table_read_again(run, scene):
    scene.store.reads["op"] = [
        Changes((config(3, 5),), 6),
        Changes((config(8, 20),), 21),
    ]
    scene.store.watches["op"] = [HistoryGone()]
    run(scene.settle())
    assert scene.versions() == [(3, 6), (8, 21)]


def test_stale_read_puts_nothing_older_in_force(run, scene):
    scene.store.reads["op"] = [
        Changes((config(8, 20),), 21),
        Changes((config(3, 5),), 6),
    ]
    scene.store.watches["op"] = [HistoryGone(), Changes((config(9, 30),), 30)]
    run(scene.settle())
    assert scene.versions() == [(8, 21), (9, 30)]


def test_zone_that_is_taken_back_is_in_service_again(run, scene):
    out = StoreRow("out/recife", b"", 7)
    scene.store.reads["op"] = [Changes((config(3, 5), out), 7)]
    scene.store.watches["op"] = [Changes((out._replace(version=9, removed=True),), 9)]
    run(scene.settle())
    assert scene.follower.rows.keys() == {"config"}
    assert scene.versions()[-1] == (3, 9)


def test_unreadable_configuration_leaves_the_one_in_force(run, scene):
    bad = StoreRow("config", b"?", 9)
    scene.store.reads["op"] = [Changes((config(3, 5),), 6)]
    scene.store.watches["op"] = [Changes((bad,), 9), Changes((config(5, 12),), 12)]
    run(scene.settle())
    assert scene.versions() == [(3, 6), (5, 12)]


def test_store_that_gives_no_answer_has_the_seeds_dialled(run, scene):
    scene.store.reads["op"] = [StoreUnavailable("busy"), Changes((config(3, 5),), 6)]
    run(scene.settle(1.0))
    assert "10.0.0.9:1" in scene.dialled()
    assert scene.versions() == [(3, 6)]


def test_registration_is_written_until_it_is_acknowledged(run, scene):
    scene.store.puts = [
        StoreUnavailable("limited"),
        StoreUnavailable("unanswered"),
        None,
    ]
    run(scene.settle(2.0))
    puts = [asked for asked in scene.store.asked if asked[0] == "put"]
    assert puts == [("put", "members", ME.address)] * 3


def test_peer_that_is_ahead_is_asked_and_taken_at_its_word(run, scene):
    async def play():
        await scene.settle()
        scene.tell(NewerStampSeen(PEER, 40))
        scene.tell(DirectiveRows(40, (("config", b"7", 38),)))

    run(play())
    assert (PEER.address, RequestDirectives()) in scene.sent
    assert scene.versions() == [(7, 40)]


def test_peer_that_is_behind_changes_nothing(run, scene):
    scene.store.reads["op"] = [Changes((config(8, 20),), 21)]

    async def play():
        await scene.settle()
        scene.tell(DirectiveRows(10, (("config", b"3", 5),)))

    run(play())
    assert scene.versions() == [(8, 21)]


def test_equal_rows_of_a_newer_stamp_are_not_asked_for_again(run, scene):
    scene.store.reads["op"] = [Changes((config(8, 20),), 21)]

    async def play():
        await scene.settle()
        scene.tell(DirectiveRows(50, (("config", b"8", 20),)))
        scene.tell(NewerStampSeen(PEER, 50))

    run(play())
    assert scene.versions() == [(8, 21)]
    assert scene.sent == []


def test_guards_of_the_table_are_dialled(run, scene):
    scene.store.reads["members"] = [Changes((StoreRow("10.0.0.5:1", b"", 1),), 2)]
    run(scene.settle())
    assert "10.0.0.5:1" in scene.dialled()


def test_members_spread_among_entries_without_the_store(run, scene):
    async def play():
        await scene.settle()
        scene.tell(Hello("entry", "olinda", "entry-2"))
        scene.tell(KnownMembers((("10.0.0.7:1", "guard", "z", "n"),)))
        guard = Incarnation("10.0.0.8:1", "g")
        scene.tell(Hello("guard", "olinda", "side-1"), guard)

    run(play())
    assert "10.0.0.7:1" in scene.dialled()
    spread = [body for to, body in scene.sent if to == PEER.address]
    assert KnownMembers((("10.0.0.8:1", "guard", "olinda", "side-1"),)) in spread


@pytest.mark.parametrize("whole", [True, False])
def test_unreadable_configuration_hides_no_zone(run, scene, whole):
    out = StoreRow("out/recife", b"", 8)
    changes = Changes((StoreRow("config", b"?", 9), out), 9)
    scene.store.reads["op"] = [Changes((config(3, 5),), 6)]
    scene.store.watches["op"] = [HistoryGone()] if whole else [changes]
    scene.store.reads["op"] += [changes] if whole else []
    scene.store.watches["op"] += [Changes((config(5, 12),), 12)]
    run(scene.settle())
    assert scene.versions() == [(3, 6), (3, 9), (5, 12)]
    assert scene.follower.rows.keys() == {"config", "out/recife"}


def test_unreadable_configuration_at_the_start_hides_no_zone(run, scene):
    out = StoreRow("out/recife", b"", 8)
    scene.store.reads["op"] = [Changes((StoreRow("config", b"?", 9), out), 9)]
    scene.store.watches["op"] = [Changes((config(5, 12),), 12)]
    run(scene.settle())
    assert scene.versions()[-1] == (5, 12)
    assert scene.follower.rows.keys() == {"config", "out/recife"}


def test_member_row_that_cannot_be_read_is_looked_at_once(run, scene):
    seen = []
    scene.follower.decode_members = lambda rows: seen.extend(rows) or ()
    first, second = StoreRow("x", b"?", 1), StoreRow("10.0.0.5:1", b"", 2)
    scene.store.reads["members"] = [Changes((first,), 1)]
    scene.store.watches["members"] = [Changes((second,), 2)]
    run(scene.settle())
    assert seen == [first, second]
