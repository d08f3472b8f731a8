"""How a guard that restarts finds its target before the next heartbeat."""

import asyncio

import pytest

from hawthorntrack.coordination.target_record import TARGETS_TABLE, TargetRecord
from hawthorntrack.platform.formats import decode_target_row, encode_target_row
from hawthorntrack.protocol.target_messages import TargetHeartbeat, TargetStateChanged
from hawthorntrack.state.directives import StoreRow
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.plans import TargetIncarnation, TargetState
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.store import StoreUnavailable

GUARD = "10.0.0.1:1"
ROOM = Resources(16_000, 32_768)
TARGET = TargetState(
    TargetIncarnation("t1", 100),
    "visits",
    "10.0.0.1:80",
    "recife",
    False,
    ROOM,
    ("a",),
    1,
    5,
)


class FakeStore:
    """Keeps rows, and fails as often as a test says."""

    def __init__(self):
        self.rows = {}
        self.failures = 0

    def fails(self):
        self.failures -= 1
        return self.failures >= 0

    async def read_row(self, table, key):
        if self.fails():
            return StoreUnavailable("unanswered")
        value = self.rows.get((table, key))
        return StoreRow(key, value, 1) if value is not None else None

    async def put(self, table, key, value):
        if self.fails():
            return StoreUnavailable("unanswered")
        self.rows[table, key] = value
        return None


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def play(run, store):
    """Return a function that runs a memory for a while and returns what it told."""

    def play(*news, seconds=5.0):
        holder = Mailbox("holder")

        async def whole():
            memory = TargetRecord(
                GUARD, store, encode_target_row, decode_target_row, holder
            )
            for item in news:
                memory.mailbox.put(item)
            task = asyncio.create_task(memory.run())
            await asyncio.sleep(seconds)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run(whole())
        return [holder.queue.get_nowait() for _ in range(holder.queue.qsize())]

    return play


def test_target_is_told_after_a_restart(play, store):
    assert play(TargetStateChanged(TARGET)) == []
    assert play() == [TargetHeartbeat(TARGET)]


def test_newest_news_of_the_target_are_kept(play, store):
    leaving = TARGET._replace(draining=True, sequence=2)
    play(TargetStateChanged(TARGET), TargetStateChanged(leaving))
    assert decode_target_row(store.rows[TARGETS_TABLE, GUARD]) == leaving


def test_store_that_is_away_is_asked_again(play, store):
    store.failures = 2
    play(TargetStateChanged(TARGET))
    assert store.rows
    store.failures = 2
    assert play() == [TargetHeartbeat(TARGET)]


def test_heartbeat_that_came_first_goes_before_the_row(play, store):
    play(TargetStateChanged(TARGET))
    store.failures = 3
    newer = TARGET._replace(incarnation=TargetIncarnation("t2", 200))
    assert play(TargetStateChanged(newer)) == []


@pytest.mark.parametrize("value", [b"", b"[]", b"\xff", b'{"life": 1}'])
def test_row_that_cannot_be_read_names_no_target(play, store, value):
    store.rows[TARGETS_TABLE, GUARD] = value
    assert play() == []
