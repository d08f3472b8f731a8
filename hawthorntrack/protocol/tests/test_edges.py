"""Each decoder raises its own typed error for invalid input, and no other error."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthorntrack.protocol import messages
from hawthorntrack.protocol.bodies import (
    BadBody,
    CallerHeaders,
    decode_announcement,
    decode_job,
)
from hawthorntrack.protocol.codec import BadMessage, codecs
from hawthorntrack.protocol.logfmt import render
from hawthorntrack.protocol.rows import decode_slot, encode_slot
from hawthorntrack.state.table import Row
from hawthorntrack.state.values import (
    NO_INCARNATION,
    Answer,
    Incarnation,
    SlotRow,
    TaskResult,
    TaskSpec,
)

CALLER_HEADERS = CallerHeaders("visits", "k", "jardim")
SENDER = Incarnation("127.0.0.1:1", "a")


@pytest.mark.parametrize("name", codecs.names())
@given(data=st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_bad_message(name, data):
    try:
        codecs[name].decode(data)
    except BadMessage as error:
        assert error.reason in ("malformed", "unknown_type")


@pytest.mark.parametrize("name", codecs.names())
def test_decoded_message_equals_the_encoded_one(name, make_job, load):
    row = SlotRow(1, SENDER, SENDER, True, SENDER, NO_INCARNATION)
    result = TaskResult(0, True, b'{"a":1}', 1.5)
    bodies = [
        messages.Submit("1", 1, 2, make_job()),
        messages.Answered("1", Answer("complete", "", "yes", "", (result,)), row),
        messages.StartTasks(
            "1",
            "visits",
            "k",
            9,
            (messages.StartTask(0, 1, TaskSpec("a", b"1", 2)),),
        ),
        messages.TasksNotRun("1", ((0, 1),), "draining", load),
    ]
    for body in bodies:
        envelope = messages.Envelope(SENDER, 3, body)
        assert codecs[name].decode(codecs[name].encode(envelope)) == envelope


@pytest.mark.parametrize("name", codecs.names())
def test_message_with_unknown_tag_raises_bad_message(name):
    encoded = codecs[name].encode(messages.Envelope(SENDER, 3, messages.Pending("1")))
    encoded_with_unknown_tag = encoded.replace(b"pending", b"unknown")
    with pytest.raises(BadMessage) as caught:
        codecs[name].decode(encoded_with_unknown_tag)
    assert caught.value.reason in ("unknown_type", "malformed")


@given(st.binary(max_size=300))
def test_arbitrary_job_body_decodes_or_raises_bad_body(body):
    try:
        assert decode_job(CALLER_HEADERS, body, 160).tasks
    except BadBody as error:
        assert error.reason in ("body", "tasks")


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b'{"tasks": []}', "body"),
        (b'{"tasks": [{"kind": ""}]}', "body"),
        (b'{"tasks": [{"kind": "a", "size_ms": -1}]}', "body"),
        (b'{"tasks": [{"kind": "a"}], "deadline_ms": 0}', "body"),
        (msgspec.json.encode({"tasks": [{"kind": "a"}] * 161}), "tasks"),
        (b"[" * 5_000, "body"),
    ],
)
def test_invalid_job_is_refused_with_its_reason(body, reason):
    with pytest.raises(BadBody) as caught:
        decode_job(CALLER_HEADERS, body, 160)
    assert caught.value.reason == reason


@pytest.mark.parametrize("key", ["", "x" * 129, "a\nb"])
def test_invalid_idempotency_key_is_refused(key):
    with pytest.raises(BadBody):
        decode_job(CALLER_HEADERS._replace(key=key), b'{"tasks": [{"kind": "a"}]}', 160)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_as_announcement_raise_bad_body(body):
    with pytest.raises(BadBody):
        decode_announcement(body)


def test_decoded_slot_row_has_the_version_of_the_table_row():
    row = SlotRow(3, SENDER, SENDER, False, NO_INCARNATION, NO_INCARNATION, 7, 99)
    assert decode_slot(Row("slots/production/1", 5, encode_slot(row))) == row._replace(
        version=5
    )


@given(st.dictionaries(st.text(min_size=1, max_size=5), st.text(), max_size=4))
def test_rendered_event_is_a_single_line(pairs):
    assert len(render({"message_type": "x", **pairs}).splitlines()) == 1
