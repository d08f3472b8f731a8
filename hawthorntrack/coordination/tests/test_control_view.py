"""Tests that a process keeps its view current by reading only what has changed."""

import asyncio
from collections import Counter

import pytest

from hawthorntrack.coordination.control_view import SWEEP_MIN_ROWS, ControlViewPoller
from hawthorntrack.coordination.tests.conftest import deliver
from hawthorntrack.coordination.tests.fakes import FaultyTable, stop_all
from hawthorntrack.protocol import local, messages, rows
from hawthorntrack.state.table import ABSENT, ReadResult, Row, Written

GUARDS = rows.guards_prefix("production")


class CountingTable(FaultyTable):
    """A table that counts the rows returned by reads, by prefix."""

    def __init__(self):
        super().__init__()
        self.read_rows = Counter()

    async def read(self, prefix, after=ABSENT):
        outcome = await super().read(prefix, after)
        self.read_rows[prefix] += len(outcome.rows)
        return outcome


@pytest.fixture
def make_poller(infos, settings, wire, rng):
    """Return a function that makes the view poller of a guard."""

    def make(table, number=0):
        return ControlViewPoller(
            infos[number], GUARDS, settings, table, wire.send, [], rng
        )

    return make


@pytest.fixture
def start_counting_cluster(start_cluster):
    """Return a function that starts a cluster whose table counts the rows read."""

    async def start():
        cluster, router = await start_cluster()
        table = CountingTable()
        table.rows, table.last_version = cluster.table.rows, cluster.table.last_version
        cluster.table = table
        for name in cluster.nodes:
            cluster.view_poller(name).table = table
        return cluster, table, router

    return start


def registration(info, version):
    return Row(GUARDS + info.incarnation.address, version, rows.encode_guard(info))


def completed_poll(poller, sent_at, *found, total=None, after=ABSENT):
    """Return the outcome of a poll of the registrations."""
    read_result = ReadResult(found, len(found) if total is None else total)
    return local.PollCompleted("guards", sent_at, after, read_result)


def zones_out_by_node(cluster):
    return [cluster.view_poller(name).view.zones_out for name in cluster.nodes]


def test_poll_sent_before_registration_does_not_end_the_process(run, make_poller):
    async def scenario():
        poller = make_poller(FaultyTable())
        sent_at = poller.now()
        await asyncio.sleep(0.1)
        deliver(poller, local.RegistrationWritten(Written(3)))
        deliver(poller, completed_poll(poller, sent_at))
        assert poller.view.guards == {}

    run(scenario())


def test_polls_read_only_changed_rows(run, start_counting_cluster):
    async def scenario():
        cluster, table, _ = await start_counting_cluster()
        await asyncio.sleep(2)
        table.read_rows.clear()
        await asyncio.sleep(10)
        assert table.read_rows.total() == 0
        key = rows.zones_key("production")
        await table.write(key, ABSENT, rows.encode_zones(["olinda"]))
        await asyncio.sleep(3)
        assert zones_out_by_node(cluster) == [frozenset({"olinda"})] * len(
            cluster.nodes
        )
        config = rows.config_prefix("production")
        assert 1 <= table.read_rows[config] <= len(cluster.nodes)
        await stop_all(cluster)

    run(scenario())


def test_planned_stop_of_a_guard_causes_no_full_reads(run, start_counting_cluster):
    async def scenario():
        cluster, table, _ = await start_counting_cluster()
        await cluster.drain_and_stop("g1")
        table.read_rows.clear()
        await asyncio.sleep(3)
        pollers = [cluster.view_poller(name) for name in cluster.nodes]
        assert all("g1" not in poller.view.guards for poller in pollers)
        assert table.read_rows[GUARDS] <= len(pollers)
        cluster.start_guard("g1")
        await asyncio.sleep(3)
        assert all("g1" in poller.view.guards for poller in pollers)
        await stop_all(cluster)

    run(scenario())


def test_guard_whose_row_is_deleted_leaves_all_views(run, start_counting_cluster):
    async def scenario():
        cluster, table, _ = await start_counting_cluster()
        cluster.kill("g3")
        (found,) = (await table.read(GUARDS + "g3")).rows
        await table.write(found.key, found.version, None)
        await asyncio.sleep(3)
        for name in cluster.nodes:
            assert cluster.view_poller(name).view.guards.keys() == {"g0", "g1", "g2"}
        await stop_all(cluster)

    run(scenario())


def test_rows_of_departed_guards_are_deleted_only_once_there_are_many(
    run, start_counting_cluster, infos
):
    async def scenario():
        cluster, table, _ = await start_counting_cluster()
        keys = [f"{GUARDS}old{number}" for number in range(SWEEP_MIN_ROWS - 1)]
        for key in keys:
            await table.write(key, ABSENT, rows.encode_departed_guard(infos[0]))
        await asyncio.sleep(20)
        assert sum(key in table.rows for key in keys) == SWEEP_MIN_ROWS - 1
        await table.write(f"{GUARDS}last", ABSENT, rows.encode_departed_guard(infos[0]))
        await asyncio.sleep(60)
        assert [key for key in table.rows if "old" in key or "last" in key] == []
        assert cluster.view_poller("g0").view.guards.keys() == {"g0", "g1", "g2", "g3"}
        await stop_all(cluster)

    run(scenario())


def test_reply_to_a_config_request_has_only_the_missing_rows(
    run, make_poller, wire, infos
):
    async def scenario():
        poller = make_poller(FaultyTable())
        prefix = rows.config_prefix("production")
        found = [Row(f"{prefix}zones", n, rows.encode_zones([])) for n in (4,)]
        found.append(Row(f"{prefix}service/visits", 2, b"{}"))
        mirror = poller.polls["config"].mirror
        held = mirror._replace(rows={row.key: row for row in found}, version=4)
        poller.store_mirror("config", held)
        deliver(poller, messages.RequestConfig(2, 1.0), infos[1].incarnation)
        (reply,) = wire.take(messages.ConfigRows)
        assert (reply.rows, reply.total) == ((tuple(found[0]),), 2)

    run(scenario())


def test_older_config_rows_of_a_peer_change_nothing(run, make_poller, infos):
    async def scenario():
        poller = make_poller(FaultyTable())
        key = rows.zones_key("production")
        newer = (key, 7, rows.encode_zones(["recife"]))
        older = (key, 5, rows.encode_zones([]))
        for config_rows, total in (((newer,), 1), ((older,), 1), ((), 0)):
            reply = messages.ConfigRows(config_rows, total, poller.now(), 0.0)
            deliver(poller, reply, infos[1].incarnation)
        assert poller.view.zones_out == frozenset({"recife"})
        assert poller.view.stamp == poller.polls["config"].mirror.version == 7

    run(scenario())


def check_other_registrations_are_kept(run, make_poller, infos, odd):
    """Assert that a malformed row among registrations does not affect the others."""

    async def scenario():
        poller = make_poller(FaultyTable())
        good = [registration(info, n + 2) for n, info in enumerate(infos[1:])]
        deliver(poller, completed_poll(poller, poller.now(), odd, *good))
        assert poller.view.guards.keys() == {
            info.incarnation.address for info in infos[1:]
        }
        assert poller.departed == {}

    run(scenario())


def test_malformed_registration_hides_no_other(run, make_poller, infos, odd_document):
    odd = Row(GUARDS + "10.0.0.2:80", 1, odd_document)
    check_other_registrations_are_kept(run, make_poller, infos, odd)
