"""Decoding of valid and invalid bodies of the platform."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthorntrack.platform import formats
from hawthorntrack.platform.formats import Malformed
from hawthorntrack.state.directives import Member, StoreRow
from hawthorntrack.state.plans import RunName, RunStatus, TaskName
from hawthorntrack.state.resources import Resources

KEY = "5c0e7a21d94b36f8"
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["steps", "count", "state", "running", "rows", "ver"])
            | st.text(max_size=6),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


def body(value):
    """Encode a value as a JSON body."""
    return json.dumps(value).encode()


def test_omitted_step_fields_get_their_defaults():
    plan = formats.decode_job(
        KEY,
        body(
            {
                "spec": "text",
                "best_effort": True,
                "steps": [
                    {"count": 4, "cpu": 500, "mem_mb": 256, "affinity": "r1-3"},
                    {"count": 2, "cpu": 2000, "after": [0], "estimate_ms": 700},
                ],
            }
        ),
    )
    first, second = plan.steps
    assert (first.count, first.need, first.rack) == (4, Resources(500, 256), "r1-3")
    assert (second.depends_on, second.estimate_s) == ((0,), 0.7)
    assert not plan.survives_disconnect


def test_job_survives_disconnect_unless_it_is_best_effort():
    assert formats.decode_job(KEY, body({"steps": [{"count": 1}]})).survives_disconnect


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"steps": []},
        {"steps": [{"count": 0}]},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": 1, "after": [-1]}]},
        {"steps": [{"count": "4"}]},
        [],
    ],
)
def test_invalid_job_body_is_refused(value):
    with pytest.raises(Malformed):
        formats.decode_job(KEY, body(value))


def test_heartbeat_is_decoded(heartbeat):
    state = formats.decode_heartbeat("i-1", body(heartbeat))
    assert state.incarnation == ("i-1", 1777896939785)
    assert state.capacity == Resources(16_000, 32_768, 0)
    assert not state.draining


@pytest.mark.parametrize(
    ("field", "value"),
    [("state", "odd"), ("seq", "4"), ("address", "nowhere"), ("capacity", [1])],
)
def test_heartbeat_with_an_invalid_field_is_refused(heartbeat, field, value):
    heartbeat[field] = value
    with pytest.raises(Malformed):
        formats.decode_heartbeat("i-1", body(heartbeat))


@pytest.mark.parametrize("field", ["service", "address", "zone", "state", "seq"])
def test_heartbeat_without_a_required_field_is_refused(heartbeat, field):
    del heartbeat[field]
    with pytest.raises(Malformed):
        formats.decode_heartbeat("i-1", body(heartbeat))


def test_lists_of_runs_are_decoded():
    clock_ms, born_ms, running, ended = formats.decode_run_lists(
        body(
            {
                "clock_ms": 482113,
                "born": 7,
                "running": [[f"{KEY}.0.1.17", 2, "", 41, 1600]],
                "ended": [[58, f"{KEY}.0.1.9", 1, "done", ""]],
            }
        )
    )
    assert (clock_ms, born_ms) == (482113, 7)
    assert running == (RunStatus(RunName(TaskName(KEY, 0, 1, 17), 2), 41),)
    assert (ended[0].number, ended[0].end_state) == (58, "done")


def test_page_is_decoded_with_its_deleted_rows():
    changes, more = formats.decode_page(
        body(
            {
                "ver": 533,
                "now_ms": 1,
                "more_pages": True,
                "rows": [
                    {"table": "op", "part": "", "key": "a", "value": "eA==", "ver": 7},
                    {"table": "op", "part": "", "key": "b", "ver": 8, "deleted": True},
                ],
            }
        )
    )
    assert changes.rows == (StoreRow("a", b"x", 7), StoreRow("b", b"", 8, True))
    assert (changes.version, more) == (533, True)


def test_operator_rows_are_decoded_to_directives():
    config = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "hostname": "nony24.example",
                "path_prefix": "/lohu930/",
                "target_latency_ms": 60,
                "service": "huvo11a",
                "max_attempts": 3,
                "stretch": 1.6,
            }
        ],
        "services": [{"name": "huvo11a", "enforces_capacity": True}],
    }
    rows = {
        "config": StoreRow("config", body(config), 3),
        "evacuate/recife": StoreRow("evacuate/recife", b"{}", 9),
    }
    directives = formats.decode_operator_rows(rows, 9)
    assert directives.catalogue.version == 7
    assert directives.catalogue.queues[0].latency_target_s == 0.06
    assert directives.zones_out == {"recife"}


def test_unreadable_member_rows_are_skipped():
    member = Member("10.0.0.1:7720", "guard", "recife", "side-1")
    rows = [
        StoreRow(member.address, formats.encode_member(member), 1),
        StoreRow("10.0.0.2:7720", b"\xff", 2),
        StoreRow("10.0.0.3:7720", b"{}", 3),
    ]
    assert formats.decode_member_rows(rows) == (member,)


@given(JSON_VALUES)
def test_any_json_value_is_decoded_or_raises_malformed(value):
    data = body(value)
    for decode in (
        lambda: formats.decode_job(KEY, data),
        lambda: formats.decode_heartbeat("i-1", data),
        lambda: formats.decode_run_lists(data),
        lambda: formats.decode_page(data),
        lambda: formats.decode_catalogue(data),
    ):
        try:
            decode()
        except Malformed:
            pass


@given(st.binary(max_size=60))
def test_any_bytes_are_decoded_or_raise_malformed(data):
    for decode in (
        formats.decode_run_lists,
        formats.decode_page,
        formats.decode_catalogue,
    ):
        try:
            decode(data)
        except Malformed:
            pass
