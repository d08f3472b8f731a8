"""Tests that a restarted guard learns of its target before the next heartbeat."""

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
CAPACITY = Resources(16_000, 32_768)
TARGET = TargetState(
    TargetIncarnation("t1", 100),
    "visits",
    "10.0.0.1:80",
    "recife",
    False,
    CAPACITY,
    ("a",),
    1,
    5,
)


class FakeStore:
    """A store in memory whose next `failures` calls fail."""

    def __init__(self):
        self.rows = {}
        self.failures = 0

    def next_call_fails(self):
        self.failures -= 1
        return self.failures >= 0

    async def read_row(self, table, key):
        if self.next_call_fails():
            return StoreUnavailable("unanswered")
        value = self.rows.get((table, key))
        return StoreRow(key, value, 1) if value is not None else None

    async def put(self, table, key, value):
        if self.next_call_fails():
            return StoreUnavailable("unanswered")
        self.rows[table, key] = value
        return None


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def run_record(run, store):
    """Return a function that runs a target record and returns what it reported.

    Each call represents a restart of the guard. The record first gets `messages`.
    """

    def run_record(*messages, seconds=5.0):
        holder = Mailbox("holder")

        async def scenario():
            record = TargetRecord(
                GUARD, store, encode_target_row, decode_target_row, holder
            )
            for message in messages:
                record.mailbox.put(message)
            task = asyncio.create_task(record.run())
            await asyncio.sleep(seconds)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run(scenario())
        return [holder.queue.get_nowait() for _ in range(holder.queue.qsize())]

    return run_record


def test_target_is_reported_after_a_restart(run_record, store):
    assert run_record(TargetStateChanged(TARGET)) == []
    assert run_record() == [TargetHeartbeat(TARGET, stored=True)]


def test_newest_state_of_the_target_is_stored(run_record, store):
    leaving = TARGET._replace(draining=True, sequence=2)
    run_record(TargetStateChanged(TARGET), TargetStateChanged(leaving))
    assert decode_target_row(store.rows[TARGETS_TABLE, GUARD]) == leaving


def test_calls_are_repeated_while_the_store_is_unavailable(run_record, store):
    store.failures = 2
    run_record(TargetStateChanged(TARGET))
    assert store.rows
    store.failures = 2
    assert run_record() == [TargetHeartbeat(TARGET, stored=True)]


def test_row_is_ignored_once_a_target_has_announced_itself(run_record, store):
    run_record(TargetStateChanged(TARGET))
    store.failures = 3
    newer = TARGET._replace(incarnation=TargetIncarnation("t2", 200))
    assert run_record(TargetStateChanged(newer)) == []


@pytest.mark.parametrize("value", [b"", b"[]", b"\xff", b'{"life": 1}'])
def test_malformed_row_reports_no_target(run_record, store, value):
    store.rows[TARGETS_TABLE, GUARD] = value
    assert run_record() == []
