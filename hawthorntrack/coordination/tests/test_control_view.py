"""A process keeps its view in step with the table by what has changed."""

import asyncio
from collections import Counter

import pytest

from hawthorntrack.coordination.control_view import SWEEP_MIN_ROWS, ControlViewPoller
from hawthorntrack.coordination.tests.conftest import deliver
from hawthorntrack.coordination.tests.fakes import FaultyTable, stop
from hawthorntrack.protocol import local, messages, rows
from hawthorntrack.state.table import ABSENT, ReadResult, Row, Written

GUARDS = rows.guards_prefix("production")


class CountingTable(FaultyTable):
    """Counts the rows that reads by prefix return."""

    def __init__(self):
        super().__init__()
        self.read_rows = Counter()

    async def read(self, prefix, after=ABSENT):
        outcome = await super().read(prefix, after)
        self.read_rows[prefix] += len(outcome.rows)
        return outcome


@pytest.fixture
def make_control(infos, settings, wire, rng):
    """Return a function that makes the control task of a guard."""

    def make(table, number=0):
        return ControlViewPoller(
            infos[number], GUARDS, settings, table, wire.send, [], rng
        )

    return make


@pytest.fixture
def counted(cluster):
    """Return a function that starts guards whose table counts what they read."""

    async def start():
        made, router = await cluster()
        table = CountingTable()
        table.rows, table.last_version = made.table.rows, made.table.last_version
        made.table = table
        for name in made.nodes:
            made.control(name).table = table
        return made, table, router

    return start


def registration(info, version):
    return Row(GUARDS + info.incarnation.address, version, rows.encode_guard(info))


def answer(control, sent_at, *found, total=None, after=ABSENT):
    """Return the answer to a poll of the registrations."""
    outcome = ReadResult(found, len(found) if total is None else total)
    return local.PollCompleted("guards", sent_at, after, outcome)


def zones_of(made):
    return [made.control(name).view.zones_out for name in made.nodes]


def test_list_read_before_the_own_registration_ends_nothing(run, make_control):
    async def scene():
        control = make_control(FaultyTable())
        sent_at = control.now()
        await asyncio.sleep(0.1)
        deliver(control, local.RegistrationWritten(Written(3)))
        deliver(control, answer(control, sent_at))
        assert control.view.guards == {}

    run(scene())


def test_only_what_changed_is_read(run, counted):
    async def scene():
        made, table, _ = await counted()
        await asyncio.sleep(2)
        table.read_rows.clear()
        await asyncio.sleep(10)
        assert table.read_rows.total() == 0
        key = rows.zones_key("production")
        await table.write(key, ABSENT, rows.encode_zones(["olinda"]))
        await asyncio.sleep(3)
        assert zones_of(made) == [frozenset({"olinda"})] * len(made.nodes)
        config = rows.config_prefix("production")
        assert 1 <= table.read_rows[config] <= len(made.nodes)
        await stop(made)

    run(scene())


def test_guard_that_leaves_has_nobody_read_the_whole_list(run, counted):
    async def scene():
        made, table, _ = await counted()
        await made.leave("g1")
        table.read_rows.clear()
        await asyncio.sleep(3)
        others = [made.control(name) for name in made.nodes]
        assert all("g1" not in control.view.guards for control in others)
        assert table.read_rows[GUARDS] <= len(others)
        made.start_guard("g1")
        await asyncio.sleep(3)
        assert all("g1" in control.view.guards for control in others)
        await stop(made)

    run(scene())


def test_deleted_row_has_the_whole_list_read(run, counted):
    async def scene():
        made, table, _ = await counted()
        made.kill("g3")
        (found,) = (await table.read(GUARDS + "g3")).rows
        await table.write(found.key, found.version, None)
        await asyncio.sleep(3)
        for name in made.nodes:
            assert made.control(name).view.guards.keys() == {"g0", "g1", "g2"}
        await stop(made)

    run(scene())


def test_many_rows_of_departed_guards_are_deleted_together(run, counted, infos):
    async def scene():
        made, table, _ = await counted()
        keys = [f"{GUARDS}old{number}" for number in range(SWEEP_MIN_ROWS - 1)]
        for key in keys:
            await table.write(key, ABSENT, rows.encode_departed_guard(infos[0]))
        await asyncio.sleep(20)
        assert sum(key in table.rows for key in keys) == SWEEP_MIN_ROWS - 1
        await table.write(f"{GUARDS}last", ABSENT, rows.encode_departed_guard(infos[0]))
        await asyncio.sleep(60)
        assert [key for key in table.rows if "old" in key or "last" in key] == []
        assert made.control("g0").view.guards.keys() == {"g0", "g1", "g2", "g3"}
        await stop(made)

    run(scene())


def test_peer_tells_only_what_is_lacking(run, make_control, wire, infos):
    async def scene():
        control = make_control(FaultyTable())
        prefix = rows.config_prefix("production")
        found = [Row(f"{prefix}zones", n, rows.encode_zones([])) for n in (4,)]
        found.append(Row(f"{prefix}service/visits", 2, b"{}"))
        mirror = control.polls["config"].mirror
        held = mirror._replace(rows={row.key: row for row in found}, version=4)
        control.store_mirror("config", held)
        deliver(control, messages.RequestConfig(2, 1.0), infos[1].incarnation)
        (told,) = wire.take(messages.ConfigRows)
        assert (told.rows, told.total) == ((tuple(found[0]),), 2)

    run(scene())


def test_peer_that_knows_less_changes_nothing(run, make_control, infos):
    async def scene():
        control = make_control(FaultyTable())
        key = rows.zones_key("production")
        newer = (key, 7, rows.encode_zones(["recife"]))
        older = (key, 5, rows.encode_zones([]))
        for told, total in (((newer,), 1), ((older,), 1), ((), 0)):
            rows_told = messages.ConfigRows(told, total, control.now(), 0.0)
            deliver(control, rows_told, infos[1].incarnation)
        assert control.view.zones_out == frozenset({"recife"})
        assert control.view.stamp == control.polls["config"].mirror.version == 7

    run(scene())


def check_others_hold(run, make_control, infos, odd):
    """Have a guard read an odd row among registrations; the others hold."""

    async def scene():
        control = make_control(FaultyTable())
        good = [registration(info, n + 2) for n, info in enumerate(infos[1:])]
        deliver(control, answer(control, control.now(), odd, *good))
        assert control.view.guards.keys() == {
            info.incarnation.address for info in infos[1:]
        }
        assert control.departed == {}

    run(scene())


def test_registration_that_is_no_document_hides_no_other(
    run, make_control, infos, odd_document
):
    odd = Row(GUARDS + "10.0.0.2:80", 1, odd_document)
    check_others_hold(run, make_control, infos, odd)
