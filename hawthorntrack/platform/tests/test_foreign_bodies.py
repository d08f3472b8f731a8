"""Unexpected values in bodies from other programs must not stop a process.

Each body passes through its decoder and through the code that uses the result.
"""

import asyncio
import json
from types import SimpleNamespace

import aiohttp
import pytest

from hawthorntrack.coordination.store_watcher import StoreAnswer
from hawthorntrack.coordination.target_record import TargetRecord
from hawthorntrack.coordination.tests.test_dispatcher import (
    CALLER,
    GUARD_1,
    DispatcherHarness,
)
from hawthorntrack.coordination.tests.test_store_watcher import Harness
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.platform import formats
from hawthorntrack.platform.entry_http import DEADLINE_HEADER, request_deadline_s
from hawthorntrack.platform.formats import Malformed
from hawthorntrack.platform.targets import HeartbeatHandler, TargetCalls
from hawthorntrack.platform.tests.conftest import NON_JSON_VALUES, with_field
from hawthorntrack.protocol.codec import codecs
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
VALID_MEMBER = Member("10.0.0.5:7720", "guard", "recife", "side-1")
HEARTBEAT_FIELDS = [
    *("service", "address", "zone", "state", "seq", "capacity", "labels"),
    *("clock_ms", "born", "more"),
]
RUN_LISTS = {
    "clock_ms": 5_000,
    "born": 1777896939785,
    "running": [[f"{KEY}.0.1.17", 2, "", 41, 1600]],
    "ended": [[58, f"{KEY}.0.1.9", 1, "done", ""]],
}
RUN_LIST_PATHS = [
    *(("clock_ms",), ("born",), ("running",), ("ended",), ("more",)),
    *(("running", 0), *(("running", 0, n) for n in range(5))),
    *(("ended", 0), *(("ended", 0, n) for n in range(5))),
]
JOB = {"best_effort": True, "steps": [{"count": 2, "cpu": 1600, "estimate_ms": 400}]}
STEP_FIELDS = [
    *("cpu", "mem_mb", "gpu", "estimate_ms", "after", "requires", "affinity"),
    *("anti_affinity", "speculative", "more"),
]
STORED_TARGET_PATHS = [
    *((index,) for index in range(9)),
    *((0, 0), (0, 1), (5, 0), (5, 1), (5, 2), (6, 0)),
]


def decode_to_message(target, body):
    """Return the message that the guard gets for the body of a heartbeat."""
    try:
        return TargetHeartbeat(formats.decode_heartbeat(target, body))
    except Malformed as error:
        return TargetHeartbeat(str(error))


def check_heartbeat(guard, body):
    """Pass a heartbeat to a guard, and check that the target's row is readable."""
    newer = body.replace(b"1777896939785", b"1777896939786")
    for message in (decode_to_message("i-1", body), decode_to_message("i-2", newer)):
        guard.holder.handle(message)
        guard.run_one_task()
        if isinstance(message.state, TargetState):
            value = formats.encode_target_row(message.state)
            assert formats.decode_target_row(value) == message.state


@pytest.mark.parametrize("field", HEARTBEAT_FIELDS)
def test_unexpected_heartbeat_field_does_not_stop_the_guard(
    guard, heartbeat, field, unexpected_value
):
    check_heartbeat(
        guard, with_field(heartbeat | {"seq": 9}, [field], unexpected_value)
    )


@pytest.mark.parametrize("amount", ["cpu", "mem_mb", "gpu", "more"])
def test_unexpected_capacity_does_not_stop_the_guard(
    guard, heartbeat, amount, unexpected_value
):
    body = with_field(heartbeat | {"seq": 9}, ["capacity", amount], unexpected_value)
    check_heartbeat(guard, body)


def test_malformed_heartbeat_does_not_stop_the_guard(guard, odd_document):
    check_heartbeat(guard, odd_document)


def test_heartbeat_with_an_invalid_address_is_refused(heartbeat, odd_address):
    body = formats.encode_json(heartbeat | {"address": odd_address})
    with pytest.raises(Malformed):
        formats.decode_heartbeat("i-1", body)


@pytest.mark.parametrize(
    "target", ["", "a%0d%0ab", "x" * 5_000, "%00", "%ff", "a/b", "%f0%9f%8c%b3", "a b"]
)
def test_unexpected_target_id_does_not_stop_the_target_client(
    with_server, heartbeat, target
):
    events = Mailbox("events")

    async def scenario(address):
        url = f"http://{address}/v1/executors/{target}"
        async with aiohttp.ClientSession() as session:
            data = formats.encode_json(heartbeat)
            async with session.put(url, data=data) as response:
                assert response.status in (200, 400, 404)
        if events.queue.empty():
            return None
        state = (await events.get()).state
        if not isinstance(state, TargetState):
            return None
        calls = TargetCalls(Mailbox("replies"), 5.0)
        task = asyncio.create_task(calls.run())
        target_address = TargetAddress(state.incarnation, address)
        calls.mailbox.put(RenewLeaseOrder(target_address, None, 1, 0, 0.0, 0.0))
        reply_task = asyncio.create_task(calls.replies.get())
        await asyncio.wait([reply_task, task], return_when=asyncio.FIRST_COMPLETED)
        return task.exception() if task.done() else None

    assert with_server(HeartbeatHandler(events).answer, scenario) is None


def check_lists(guard, body):
    """Pass a target's lists of runs to a guard."""
    try:
        clock_ms, born_ms, running, ended = formats.decode_run_lists(body)
    except Malformed:
        return
    (session,) = guard.holder.sessions.values()
    order = RenewLeaseOrder(session.target, None, 50, 0, 0.0, guard.time)
    guard.holder.handle(
        RenewLeaseReply(order, "held", clock_ms, born_ms, running, ended)
    )
    guard.run_one_task()


@pytest.mark.parametrize("path", RUN_LIST_PATHS)
def test_unexpected_run_list_entry_does_not_stop_the_guard(
    guard, path, unexpected_value
):
    check_lists(guard, with_field(RUN_LISTS, path, unexpected_value))


def test_malformed_run_lists_do_not_stop_the_guard(guard, odd_document):
    check_lists(guard, odd_document)


def replies_for_answer(body, status):
    """Return the replies to a start and a renewal that are answered with this body."""

    async def scenario():
        calls = TargetCalls(Mailbox("replies"))

        async def post(*_):
            return status, body

        calls.post = post
        name = RunName(TaskName(KEY, 0, 0, 3), 2)
        target = TargetAddress(TargetIncarnation("i-1", 7), "10.0.0.2:80")
        await calls.send_start(StartOrder(target, name, "text", 900, 50))
        await calls.send_renewal(RenewLeaseOrder(target, None, 50, 0, 0.0, 0.0))
        return [await calls.replies.get() for _ in range(2)]

    return asyncio.run(scenario())


@pytest.mark.parametrize("status", [200, 409, 503])
@pytest.mark.parametrize("field", ["clock_ms", "reason", "more"])
def test_unexpected_order_answer_field_still_gives_a_reply(
    guard, field, unexpected_value, status
):
    body = with_field({"clock_ms": 5_000, "reason": "late"}, [field], unexpected_value)
    start, _ = replies_for_answer(body, status)
    guard.holder.handle(RenewLeaseReply(start.order, "unwell", start.clock_ms))
    (session,) = guard.holder.sessions.values()
    session.record_clock(start.clock_ms, guard.time)
    guard.run_one_task()


@pytest.mark.parametrize("status", [200, 409, 503])
def test_malformed_order_answer_still_gives_replies(odd_document, status):
    assert len(replies_for_answer(odd_document, status)) == 2


def restored_messages(value):
    """Return the messages that a starting guard gets for its target's stored row."""

    class Store:
        async def read_row(self, table, key):
            return StoreRow(key, value, 7)

    holder = Mailbox("holder")
    stored_record = TargetRecord(
        "10.0.0.9:7720",
        Store(),
        formats.encode_target_row,
        formats.decode_target_row,
        holder,
    )
    asyncio.run(stored_record.restore())
    return [] if holder.queue.empty() else [holder.queue.get_nowait()]


@pytest.mark.parametrize("path", STORED_TARGET_PATHS)
def test_unexpected_field_in_a_stored_target_does_not_stop_the_guard(
    guard, heartbeat, path, unexpected_value
):
    newer = heartbeat | {"born": heartbeat["born"] + 1}
    state = formats.decode_heartbeat("i-2", formats.encode_json(newer))
    for message in restored_messages(with_field(state, path, unexpected_value)):
        guard.holder.handle(message)
        guard.run_one_task()


def test_malformed_stored_target_is_ignored(odd_document):
    assert restored_messages(odd_document) == []


def dialled_addresses(run, rows):
    """Return the addresses to which an entry instance connects, given member rows."""
    harness = Harness()
    harness.watcher.decode_members = formats.decode_member_rows
    changes = Changes(
        (*rows, StoreRow(VALID_MEMBER.address, formats.encode_member(VALID_MEMBER), 9)),
        9,
    )
    harness.watcher.handle(StoreAnswer("members", True, changes, 0.0))
    working_set = WorkingSet("10.9.9.9:1", "recife", 160)
    working_set.add_members(harness.known_members())
    return working_set.review(1.0, lambda address: False, (), ()).dial


@pytest.mark.parametrize("field", ["role", "zone", "node", "more"])
def test_unexpected_member_field_does_not_hide_other_members(
    run, field, unexpected_value
):
    body = {"role": "guard", "zone": "recife", "node": "side-2"}
    row = StoreRow("10.0.0.6:7720", with_field(body, [field], unexpected_value), 8)
    assert VALID_MEMBER.address in dialled_addresses(run, [row])


def test_malformed_member_does_not_hide_other_members(run, odd_document):
    row = StoreRow("10.0.0.6:7720", odd_document, 8)
    assert dialled_addresses(run, [row]) == [VALID_MEMBER.address]


def test_member_with_an_invalid_address_is_not_connected_to(run, odd_address):
    row = StoreRow(odd_address, formats.encode_member(VALID_MEMBER), 8)
    assert dialled_addresses(run, [row]) == [VALID_MEMBER.address]


@pytest.mark.parametrize("field", ["key", "value", "ver", "deleted", "part", "more"])
def test_unexpected_row_field_does_not_hide_other_rows(field, unexpected_value):
    valid = {"table": "members", "part": "", "key": "good", "value": "eA==", "ver": 7}
    invalid = {"table": "members", "part": "", "key": "odd", "value": "eA==", "ver": 8}
    body = {"ver": 8, "rows": [invalid, valid], "more_pages": False}
    data = with_field(body, ["rows", 0, field], unexpected_value)
    if unexpected_value in NON_JSON_VALUES.values():
        with pytest.raises(Malformed):
            formats.decode_page(data)
        return
    changes, _ = formats.decode_page(data)
    assert StoreRow("good", b"x", 7) in changes.rows


def test_malformed_page_is_refused(odd_document):
    with pytest.raises(Malformed):
        formats.decode_page(odd_document)


def test_row_with_an_invalid_base64_value_is_kept_with_an_empty_value():
    rows = [{"key": "evacuate/recife", "value": "a", "ver": 8}]
    changes, _ = formats.decode_page(formats.encode_json({"ver": 8, "rows": rows}))
    assert [(row.key, row.value) for row in changes.rows] == [("evacuate/recife", b"")]


@pytest.mark.parametrize("field", ["version", "routes", "services", "limits", "more"])
def test_unexpected_configuration_field_is_decoded_or_refused(field, unexpected_value):
    body = with_field({"version": 7, "routes": []}, [field], unexpected_value)
    try:
        formats.decode_catalogue(body)
    except Malformed:
        pass


def test_malformed_configuration_is_refused(odd_document):
    with pytest.raises(Malformed):
        formats.decode_catalogue(odd_document)


@pytest.fixture
def entry():
    """Return an entry instance linked to a guard with free capacity."""
    loop = asyncio.new_event_loop()
    entry_instance = DispatcherHarness(loop)
    entry_instance.set_directives()
    entry_instance.connect_guard(GUARD_1)
    yield entry_instance
    loop.close()


def check_job(entry, **submission):
    """Submit a job to an entry instance, and encode all messages that it sends."""
    entry.submit(**submission)
    entry.advance(0.1)
    for _, body in entry.sent:
        codecs["msgpack"].encode(Envelope(CALLER, 1, body))


@pytest.mark.parametrize("field", STEP_FIELDS)
def test_unexpected_step_field_does_not_stop_the_dispatcher(
    entry, field, unexpected_value
):
    body = with_field(JOB, ["steps", 0, field], unexpected_value)
    try:
        plan = formats.decode_job(KEY, body)
    except Malformed:
        return
    check_job(entry, steps=plan.steps)


@pytest.mark.parametrize(
    "steps", [[10**9], [2**63], [10**400], [-1], [6_000, 6_000], [160] * 1_000]
)
def test_job_with_too_many_tasks_is_refused(steps):
    body = {"steps": [{"count": count} for count in steps]}
    with pytest.raises(Malformed):
        formats.decode_job(KEY, json.dumps(body).encode())


@pytest.mark.parametrize(
    "text",
    ["9" * 20, "9" * 400, "9" * 5_000, "-5", "-" + "9" * 20, "nan", "1e400", "", "1.5"],
)
def test_unexpected_deadline_does_not_stop_the_dispatcher(entry, text):
    deadline_s = request_deadline_s(SimpleNamespace(headers={DEADLINE_HEADER: text}))
    check_job(entry, deadline_s=deadline_s)
