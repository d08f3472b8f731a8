"""Bodies of other writers, through their decoder and whoever uses what it returns."""

import asyncio
import json
from types import SimpleNamespace

import aiohttp
import pytest

from hawthorntrack.coordination.store_watcher import StoreAnswer
from hawthorntrack.coordination.target_record import TargetRecord
from hawthorntrack.coordination.tests.test_dispatcher import CALLER, ONE, Entry
from hawthorntrack.coordination.tests.test_store_watcher import Scene
from hawthorntrack.platform import formats
from hawthorntrack.platform.entry_http import DEADLINE_HEADER, request_deadline_s
from hawthorntrack.platform.formats import Malformed
from hawthorntrack.platform.targets import HeartbeatHandler, TargetCalls
from hawthorntrack.platform.tests.conftest import NO_JSON, with_field
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.links import MaintainLink
from hawthorntrack.protocol.messages import Envelope
from hawthorntrack.protocol.target_messages import (
    RenewLeaseOrder,
    RenewLeaseReply,
    StartOrder,
    TargetAddress,
    TargetHeartbeat,
)
from hawthorntrack.state.directives import Member, StoreRow
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.plans import RunName, TargetIncarnation, TargetState, TaskName
from hawthorntrack.state.store import Changes

KEY = "5c0e7a21d94b36f8"
GOOD = Member("10.0.0.5:7720", "guard", "recife", "side-1")
BEAT_FIELDS = [
    *("service", "address", "zone", "state", "seq", "capacity", "labels"),
    *("clock_ms", "born", "more"),
]
LISTS = {
    "clock_ms": 5_000,
    "born": 1777896939785,
    "running": [[f"{KEY}.0.1.17", 2, "", 41, 1600]],
    "ended": [[58, f"{KEY}.0.1.9", 1, "done", ""]],
}
LIST_FIELDS = [
    *(("clock_ms",), ("born",), ("running",), ("ended",), ("more",)),
    *(("running", 0), *(("running", 0, n) for n in range(5))),
    *(("ended", 0), *(("ended", 0, n) for n in range(5))),
]
JOB = {"best_effort": True, "steps": [{"count": 2, "cpu": 1600, "estimate_ms": 400}]}
STEP_FIELDS = [
    *("cpu", "mem_mb", "gpu", "estimate_ms", "after", "requires", "affinity"),
    *("anti_affinity", "speculative", "more"),
]
REMEMBERED_FIELDS = [
    *((place,) for place in range(9)),
    *((0, 0), (0, 1), (5, 0), (5, 1), (5, 2), (6, 0)),
]


def announced(target, body):
    """Return the news that a heartbeat makes."""
    try:
        return TargetHeartbeat(formats.decode_heartbeat(target, body))
    except Malformed as error:
        return TargetHeartbeat(str(error))


def check_heartbeat(guard, body):
    """Have a guard and its memory take in what a heartbeat says."""
    newer = body.replace(b"1777896939785", b"1777896939786")
    for news in (announced("i-1", body), announced("i-2", newer)):
        guard.holder.handle(news)
        guard.work()
        if isinstance(news.state, TargetState):
            value = formats.encode_target_row(news.state)
            assert formats.decode_target_row(value) == news.state


@pytest.mark.parametrize("field", BEAT_FIELDS)
def test_odd_field_of_a_heartbeat_ends_no_guard(guard, beat, field, odd_value):
    check_heartbeat(guard, with_field(beat | {"seq": 9}, [field], odd_value))


@pytest.mark.parametrize("amount", ["cpu", "mem_mb", "gpu", "more"])
def test_odd_capacity_ends_no_guard(guard, beat, amount, odd_value):
    body = with_field(beat | {"seq": 9}, ["capacity", amount], odd_value)
    check_heartbeat(guard, body)


def test_heartbeat_that_is_no_document_ends_no_guard(guard, odd_document):
    check_heartbeat(guard, odd_document)


def test_heartbeat_with_an_address_that_is_none_names_no_target(beat, odd_address):
    body = formats.encode_json(beat | {"address": odd_address})
    with pytest.raises(Malformed):
        formats.decode_heartbeat("i-1", body)


@pytest.mark.parametrize(
    "target", ["", "a%0d%0ab", "x" * 5_000, "%00", "%ff", "a/b", "%f0%9f%8c%b3", "a b"]
)
def test_order_to_an_odd_target_id_is_answered(with_server, beat, target):
    news = Mailbox("news")

    async def scene(address):
        url = f"http://{address}/v1/executors/{target}"
        async with aiohttp.ClientSession() as session:
            data = formats.encode_json(beat)
            async with session.put(url, data=data) as response:
                assert response.status in (200, 400, 404)
        if news.queue.empty():
            return None
        state = (await news.get()).state
        if not isinstance(state, TargetState):
            return None
        calls = TargetCalls(Mailbox("replies"), 5.0)
        task = asyncio.create_task(calls.run())
        target_of_calls = TargetAddress(state.incarnation, address)
        calls.mailbox.put(RenewLeaseOrder(target_of_calls, None, 1, 0, 0.0, 0.0))
        replied = asyncio.create_task(calls.replies.get())
        await asyncio.wait([replied, task], return_when=asyncio.FIRST_COMPLETED)
        return task.exception() if task.done() else None

    assert with_server(HeartbeatHandler(news).answer, scene) is None


def check_lists(guard, body):
    """Have a guard take in a target's answer to a hold."""
    try:
        clock_ms, born_ms, running, ended = formats.decode_run_lists(body)
    except Malformed:
        return
    (session,) = guard.holder.sessions.values()
    order = RenewLeaseOrder(session.target, None, 50, 0, 0.0, guard.time)
    guard.holder.handle(
        RenewLeaseReply(order, "held", clock_ms, born_ms, running, ended)
    )
    guard.work()


@pytest.mark.parametrize("path", LIST_FIELDS)
def test_odd_list_of_runs_ends_no_guard(guard, path, odd_value):
    check_lists(guard, with_field(LISTS, path, odd_value))


def test_lists_that_are_no_document_end_no_guard(guard, odd_document):
    check_lists(guard, odd_document)


def answer_of(body, status):
    """Return the reply to a start whose answer has this body."""

    async def scene():
        calls = TargetCalls(Mailbox("replies"))

        async def post(*_):
            return status, body

        calls.post = post
        name = RunName(TaskName(KEY, 0, 0, 3), 2)
        target = TargetAddress(TargetIncarnation("i-1", 7), "10.0.0.2:80")
        await calls.send_start(StartOrder(target, name, "text", 900, 50))
        await calls.send_renewal(RenewLeaseOrder(target, None, 50, 0, 0.0, 0.0))
        return [await calls.replies.get() for _ in range(2)]

    return asyncio.run(scene())


@pytest.mark.parametrize("status", [200, 409, 503])
@pytest.mark.parametrize("field", ["clock_ms", "reason", "more"])
def test_odd_answer_to_an_order_is_a_reply(guard, field, odd_value, status):
    body = with_field({"clock_ms": 5_000, "reason": "late"}, [field], odd_value)
    start, _ = answer_of(body, status)
    guard.holder.handle(RenewLeaseReply(start.order, "unwell", start.clock_ms))
    (session,) = guard.holder.sessions.values()
    session.record_clock(start.clock_ms, guard.time)
    guard.work()


@pytest.mark.parametrize("status", [200, 409, 503])
def test_answer_that_is_no_document_is_a_reply(odd_document, status):
    assert len(answer_of(odd_document, status)) == 2


def remembered(value):
    """Return what a guard that starts hears of its target from a row."""

    class Store:
        async def read_row(self, table, key):
            return StoreRow(key, value, 7)

    holder = Mailbox("holder")
    memory = TargetRecord(
        "10.0.0.9:7720",
        Store(),
        formats.encode_target_row,
        formats.decode_target_row,
        holder,
    )
    asyncio.run(memory.restore())
    return [] if holder.queue.empty() else [holder.queue.get_nowait()]


@pytest.mark.parametrize("path", REMEMBERED_FIELDS)
def test_odd_remembered_target_ends_no_guard(guard, beat, path, odd_value):
    newer = beat | {"born": beat["born"] + 1}
    state = formats.decode_heartbeat("i-2", formats.encode_json(newer))
    for news in remembered(with_field(state, path, odd_value)):
        guard.holder.handle(news)
        guard.work()


def test_remembered_target_that_is_no_document_names_none(odd_document):
    assert remembered(odd_document) == []


def dialled(run, rows):
    """Return whom an entry instance dials that reads these rows of members."""
    scene = Scene()
    scene.follower.decode_members = formats.decode_member_rows
    changes = Changes(
        (*rows, StoreRow(GOOD.address, formats.encode_member(GOOD), 9)), 9
    )
    scene.follower.handle(StoreAnswer("members", True, changes))
    queue = scene.links.queue
    orders = [queue.get_nowait() for _ in range(queue.qsize())]
    return [order.address for order in orders if isinstance(order, MaintainLink)]


@pytest.mark.parametrize("field", ["role", "zone", "node", "more"])
def test_odd_member_hides_no_other(run, field, odd_value):
    body = {"role": "guard", "zone": "recife", "node": "side-2"}
    row = StoreRow("10.0.0.6:7720", with_field(body, [field], odd_value), 8)
    assert GOOD.address in dialled(run, [row])


def test_member_that_is_no_document_hides_no_other(run, odd_document):
    row = StoreRow("10.0.0.6:7720", odd_document, 8)
    assert dialled(run, [row]) == [GOOD.address]


def test_member_at_an_address_that_is_none_is_not_dialled(run, odd_address):
    row = StoreRow(odd_address, formats.encode_member(GOOD), 8)
    assert dialled(run, [row]) == [GOOD.address]


@pytest.mark.parametrize("field", ["key", "value", "ver", "deleted", "part", "more"])
def test_odd_row_hides_no_other(field, odd_value):
    good = {"table": "members", "part": "", "key": "good", "value": "eA==", "ver": 7}
    odd = {"table": "members", "part": "", "key": "odd", "value": "eA==", "ver": 8}
    body = {"ver": 8, "rows": [odd, good], "more_pages": False}
    data = with_field(body, ["rows", 0, field], odd_value)
    if odd_value in NO_JSON.values():
        with pytest.raises(Malformed):
            formats.decode_page(data)
        return
    changes, _ = formats.decode_page(data)
    assert StoreRow("good", b"x", 7) in changes.rows


def test_page_that_is_no_document_is_malformed(odd_document):
    with pytest.raises(Malformed):
        formats.decode_page(odd_document)


def test_row_whose_value_is_no_base64_is_there_and_holds_nothing():
    rows = [{"key": "evacuate/recife", "value": "a", "ver": 8}]
    changes, _ = formats.decode_page(formats.encode_json({"ver": 8, "rows": rows}))
    assert [(row.key, row.value) for row in changes.rows] == [("evacuate/recife", b"")]


@pytest.mark.parametrize("field", ["version", "routes", "services", "limits", "more"])
def test_odd_configuration_is_decoded_or_malformed(field, odd_value):
    body = with_field({"version": 7, "routes": []}, [field], odd_value)
    try:
        formats.decode_catalogue(body)
    except Malformed:
        pass


def test_configuration_that_is_no_document_is_malformed(odd_document):
    with pytest.raises(Malformed):
        formats.decode_catalogue(odd_document)


@pytest.fixture
def entry():
    """Return an entry instance with a guard that has room."""
    loop = asyncio.new_event_loop()
    made = Entry(loop)
    made.direct()
    made.link(ONE)
    yield made
    loop.close()


def check_job(entry, **submission):
    """Have an entry instance place a job, and encode all that it sends."""
    entry.submit(**submission)
    entry.wait(0.1)
    for _, body in entry.sent:
        codecs["msgpack"].encode(Envelope(CALLER, 1, body))


@pytest.mark.parametrize("field", STEP_FIELDS)
def test_odd_step_of_a_caller_ends_no_entry(entry, field, odd_value):
    body = with_field(JOB, ["steps", 0, field], odd_value)
    try:
        plan = formats.decode_job(KEY, body)
    except Malformed:
        return
    check_job(entry, steps=plan.steps)


@pytest.mark.parametrize(
    "steps", [[10**9], [2**63], [10**400], [-1], [6_000, 6_000], [160] * 1_000]
)
def test_job_of_too_many_tasks_is_refused(steps):
    body = {"steps": [{"count": count} for count in steps]}
    with pytest.raises(Malformed):
        formats.decode_job(KEY, json.dumps(body).encode())


@pytest.mark.parametrize(
    "text",
    ["9" * 20, "9" * 400, "9" * 5_000, "-5", "-" + "9" * 20, "nan", "1e400", "", "1.5"],
)
def test_odd_deadline_of_a_caller_ends_no_entry(entry, text):
    deadline_s = request_deadline_s(SimpleNamespace(headers={DEADLINE_HEADER: text}))
    check_job(entry, deadline_s=deadline_s)
