"""Decoding of the platform's JSON bodies into the project's types, and encoding.

Every number and text that is used in arithmetic or sent on is checked against a bound
here, so that the rest of the code does not have to.
"""

import base64
import re
from collections.abc import Iterable
from typing import Annotated, Any, Literal

import msgspec

from hawthorntrack.state.addresses import split_address
from hawthorntrack.state.catalogue import Catalogue, Limits, Queue, Service
from hawthorntrack.state.directives import Directives, KeyRange, Member, StoreRow
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.metrics import BAD_INPUT, labelled
from hawthorntrack.state.plans import (
    JobPlan,
    RunEnd,
    RunName,
    RunStatus,
    StepSpec,
    TargetIncarnation,
    TargetState,
    TaskName,
)
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.store import Changes

# Environment variable that gives the path of the settings file.
SETTINGS_PATH_VARIABLE = "HAWTHORNTRACK_BOOT"
CONFIG_KEY = "config"
EVACUATED_ZONE_PREFIX = "evacuate/"
# "0" is the character after "/".
ZONES_OUT_KEYS = KeyRange(EVACUATED_ZONE_PREFIX, "evacuate0")
# Every JSON reader represents integers up to this one exactly. Sums and products of
# the values bounded by it stay far from any overflow.
MAX_SAFE_INTEGER = 2**53 - 1
# A target's id is sent in a header and in URL paths: printable ASCII without "/".
TARGET_ID = re.compile(r"[!-.0-~]{1,200}")
MAX_TASKS_PER_JOB = 10_000  # callers submit up to 160 tasks per job
LOGGED_ENTRY_MAX_CHARS = 100  # an unreadable entry is truncated in log lines

# Bounds of the decoded fields. Values beyond them are refused.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
BoundedText = Annotated[str, msgspec.Meta(max_length=200)]
Labels = Annotated[tuple[BoundedText, ...], msgspec.Meta(max_length=100)]

encode_json = msgspec.json.Encoder().encode


class Malformed(ValueError):
    """A body that does not match its schema; the message gives the location."""


def decode_json(decoder: msgspec.json.Decoder, body: bytes) -> Any:
    """Decode a JSON body.

    Raises
    ------
    Malformed
        If the body cannot be decoded. Excessive nesting, which the decoder reports
        as a `RecursionError`, is included.
    """
    try:
        return decoder.decode(body)
    except (ValueError, RecursionError) as error:
        raise Malformed(str(error)) from error


def report_unreadable(edge: str, entry: str, problem: object) -> None:
    """Count and log an unreadable entry; the caller skips it and keeps the others."""
    labelled(BAD_INPUT, edge, "entry").inc()
    log_event(
        "entry:unreadable",
        edge=edge,
        entry=entry[:LOGGED_ENTRY_MAX_CHARS],
        problem=str(problem),
    )


def format_task_name(name: TaskName) -> str:
    """Return a task's name in the platform's notation.

    Examples
    --------
    >>> format_task_name(TaskName("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{name.job}.{name.occurrence}.{name.step}.{name.index}"


def parse_task_name(text: str) -> TaskName:
    """Parse a task's name in the platform's notation.

    Examples
    --------
    >>> parse_task_name("5c0e7a21d94b36f8.0.1.17")
    TaskName(job='5c0e7a21d94b36f8', occurrence=0, step=1, index=17)
    """
    job, occurrence, step, index = text.rsplit(".", 3)
    return TaskName(job, int(occurrence), int(step), int(index))


class StepFields(msgspec.Struct):
    """One step in the body of a job."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)]
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    requires: BoundedText = ""
    affinity: BoundedText = ""
    anti_affinity: Count = 0
    speculative: bool = False


class JobFields(msgspec.Struct):
    """The fields of a job's body that this project reads."""

    steps: tuple[StepFields, ...]
    spec: str = ""
    best_effort: bool = False


job_decoder = msgspec.json.Decoder(JobFields)


def decode_job(key: str, body: bytes) -> JobPlan:
    """Decode the body of a submitted job.

    Raises
    ------
    Malformed
        If the body is not a valid job, has no steps or too many tasks, or if a step
        depends on itself or on a later step.
    """
    fields = decode_json(job_decoder, body)
    for number, step in enumerate(fields.steps):
        if any(before >= number for before in step.after):
            raise Malformed(f"step {number} waits for a later step")
    if not fields.steps:
        raise Malformed("a job without steps")
    if sum(step.count for step in fields.steps) > MAX_TASKS_PER_JOB:
        raise Malformed(
            f"a job has at most {MAX_TASKS_PER_JOB} tasks: split it into several"
        )
    return JobPlan(
        key,
        fields.spec,
        tuple(
            StepSpec(
                step.count,
                Resources(step.cpu, step.mem_mb, step.gpu),
                step.estimate_ms / 1000,
                step.after,
                step.requires,
                step.affinity,
                step.anti_affinity,
                step.speculative,
            )
            for step in fields.steps
        ),
        survives_disconnect=not fields.best_effort,
    )


class CapacityFields(msgspec.Struct, frozen=True):
    """A target's total capacity; omitted fields are 0."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class HeartbeatFields(msgspec.Struct):
    """The body of a target's heartbeat."""

    service: BoundedText
    address: str
    zone: BoundedText
    state: Literal["ready", "draining"]
    seq: Count
    capacity: CapacityFields = CapacityFields()
    labels: Labels = ()
    clock_ms: Count = 0
    born: Count = 0


heartbeat_decoder = msgspec.json.Decoder(HeartbeatFields)


def validate_target(target: str, address: str) -> None:
    """Raise `Malformed` unless orders can be sent to this id and address."""
    try:
        split_address(address)
    except ValueError as error:
        raise Malformed(str(error)) from error
    if not TARGET_ID.fullmatch(target):
        raise Malformed(f"{target[:LOGGED_ENTRY_MAX_CHARS]!r} is not a valid target id")


def decode_heartbeat(target: str, body: bytes) -> TargetState:
    """Decode a target's heartbeat.

    Raises
    ------
    Malformed
        If a field is missing, of another type or out of range, or if the state, the
        address or the target's id is invalid.
    """
    heartbeat = decode_json(heartbeat_decoder, body)
    validate_target(target, heartbeat.address)
    return TargetState(
        TargetIncarnation(target, heartbeat.born),
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.state == "draining",
        Resources(
            heartbeat.capacity.cpu, heartbeat.capacity.mem_mb, heartbeat.capacity.gpu
        ),
        heartbeat.labels,
        heartbeat.seq,
        heartbeat.clock_ms,
    )


class TargetRowFields(msgspec.Struct, array_like=True):
    """A guard's stored row of its target: the fields of `TargetState` in order."""

    incarnation: tuple[str, Count]
    service: BoundedText
    address: str
    zone: BoundedText
    draining: bool
    capacity: tuple[Count, Count, Count]
    labels: Labels
    sequence: Count
    clock_ms: Count


target_row_decoder = msgspec.json.Decoder(TargetRowFields)


def encode_target_row(state: TargetState) -> bytes:
    """Encode the row in which a guard stores its target's state."""
    return encode_json(state)


def decode_target_row(value: bytes) -> TargetState | None:
    """Decode a target's stored state; return None if it cannot be read."""
    try:
        fields = decode_json(target_row_decoder, value)
        validate_target(fields.incarnation[0], fields.address)
    except Malformed as error:
        report_unreadable("store", "remembered target", error)
        return None
    return TargetState(
        TargetIncarnation(*fields.incarnation),
        fields.service,
        fields.address,
        fields.zone,
        fields.draining,
        Resources(*fields.capacity),
        fields.labels,
        fields.sequence,
        fields.clock_ms,
    )


WireTaskName = Annotated[str, msgspec.Meta(pattern=r"^[^.]{1,100}(\.[0-9]{1,9}){3}\Z")]


class RunningRunFields(msgspec.Struct, array_like=True):
    """An active run in a target's list; a further item, its usage, is ignored."""

    task: WireTaskName
    run: Count
    checkpoint: Any
    percent: Amount


class EndedRunFields(msgspec.Struct, array_like=True):
    """An ended run in a target's list; a further item, its checkpoint, is ignored."""

    number: Count
    task: WireTaskName
    run: Count
    how: BoundedText


class RunListsFields(msgspec.Struct):
    """A target's answer to a lease renewal: its active and its ended runs."""

    clock_ms: Count
    running: list[RunningRunFields] = []
    ended: list[EndedRunFields] = []
    born: Count = 0


run_lists_decoder = msgspec.json.Decoder(RunListsFields)


def decode_run_lists(body: bytes) -> tuple[int, int, tuple, tuple]:
    """Decode a target's lists of runs.

    Returns
    -------
    clock_ms : int
        The target's clock.
    born_ms : int
        Unix milliseconds at which the target started; 0 if it does not report them.
    running : tuple of RunStatus
        The active runs.
    ended : tuple of RunEnd
        The ended runs of which the target still has a record.

    Raises
    ------
    Malformed
        If the body does not match the schema.
    """
    lists = decode_json(run_lists_decoder, body)
    running = tuple(
        RunStatus(RunName(parse_task_name(row.task), row.run), int(row.percent))
        for row in lists.running
    )
    ended = tuple(
        RunEnd(row.number, RunName(parse_task_name(row.task), row.run), row.how)
        for row in lists.ended
    )
    return lists.clock_ms, lists.born, running, ended


class OrderAnswerFields(msgspec.Struct):
    """A target's answer to an order: its clock, and the reason of a refusal."""

    clock_ms: Count = 0
    reason: str = ""


order_answer_decoder = msgspec.json.Decoder(OrderAnswerFields)


def decode_order_answer(body: bytes) -> OrderAnswerFields:
    """Decode a target's answer to an order; an unreadable one has no fields set."""
    try:
        return decode_json(order_answer_decoder, body)
    except Malformed as error:
        report_unreadable("target", "answer", error)
        return OrderAnswerFields()


class RouteFields(msgspec.Struct):
    """A queue in the configuration; callers address it by host name and path."""

    name: str
    hostname: str
    path_prefix: str
    service: str
    target_latency_ms: Amount = 0
    priority: int = 0
    max_attempts: Count = 1
    stretch: Amount = 1.0


class ServiceFields(msgspec.Struct):
    """A service in the configuration."""

    name: str
    enforces_capacity: bool = False


class LimitFields(msgspec.Struct, frozen=True):
    """Size limits of callers' requests in the configuration."""

    max_body_bytes: Count = Limits().body_bytes
    max_header_bytes: Count = Limits().header_bytes


class ConfigFields(msgspec.Struct):
    """The value of the configuration row."""

    version: Count
    routes: list[RouteFields] = []
    services: list[ServiceFields] = []
    limits: LimitFields = LimitFields()


config_decoder = msgspec.json.Decoder(ConfigFields)


def decode_catalogue(value: bytes) -> Catalogue:
    """Decode the value of a configuration row.

    Raises
    ------
    Malformed
        If the value does not match the schema of the configuration.
    """
    config = decode_json(config_decoder, value)
    return Catalogue(
        config.version,
        tuple(
            Queue(
                route.name,
                route.hostname,
                route.path_prefix,
                route.service,
                route.target_latency_ms / 1000,
                route.priority,
                route.max_attempts,
                route.stretch,
            )
            for route in config.routes
        ),
        tuple(Service(s.name, s.enforces_capacity) for s in config.services),
        Limits(config.limits.max_body_bytes, config.limits.max_header_bytes),
    )


def find_unknown_config_fields(value: bytes) -> list[str]:
    """Return the paths of the fields that `decode_catalogue` ignores.

    Explanation
    -----------
    A field with a misspelt name is ignored, and its default value takes effect.

    Raises
    ------
    Malformed
        If the value does not match the schema of the configuration.
    """
    decode_json(config_decoder, value)
    config = msgspec.json.decode(value)
    return [
        *unknown_fields(config, ConfigFields, ""),
        *unknown_fields(config.get("limits", {}), LimitFields, "limits."),
        *(
            path
            for name, shape in (("routes", RouteFields), ("services", ServiceFields))
            for number, item in enumerate(config.get(name, ()))
            for path in unknown_fields(item, shape, f"{name}[{number}].")
        ),
    ]


def unknown_fields(
    item: dict[str, Any], shape: type[msgspec.Struct], path: str
) -> list[str]:
    """Return the paths of the fields of an object that a schema does not have."""
    return [path + name for name in item if name not in shape.__struct_fields__]


def decode_operator_rows(rows: dict[str, StoreRow], stamp: int) -> Directives:
    """Decode the operator's rows: the configuration and the zones out of service.

    Raises
    ------
    Malformed
        If the value of the configuration row does not match its schema.
    """
    config = rows.get(CONFIG_KEY)
    return Directives(
        stamp,
        decode_catalogue(config.value) if config is not None else Catalogue(),
        decode_zones_out(rows.values()),
    )


def decode_zones_out(rows: Iterable[StoreRow]) -> frozenset[str]:
    """Return the zones that the operator's rows take out of service."""
    return frozenset(
        row.key.removeprefix(EVACUATED_ZONE_PREFIX)
        for row in rows
        if row.key.startswith(EVACUATED_ZONE_PREFIX)
    )


class RowFields(msgspec.Struct):
    """A row of the store; `deleted` marks a row that a transaction removed."""

    key: str
    ver: Count = 0
    value: msgspec.Raw = msgspec.Raw(b'""')
    deleted: bool = False


class PageFields(msgspec.Struct):
    """One page of rows; `ver` is the store's newest version."""

    ver: Count
    rows: list[msgspec.Raw] = []
    more_pages: bool = False


row_decoder = msgspec.json.Decoder(RowFields)
page_decoder = msgspec.json.Decoder(PageFields)
value_decoder = msgspec.json.Decoder(str)


def decode_row(body: bytes) -> StoreRow:
    """Decode a row; a value that is not base64 text is replaced by an empty one.

    Raises
    ------
    Malformed
        If the key is missing, or a field has another type or is out of range.
    """
    row = decode_json(row_decoder, body)
    try:
        value = base64.b64decode(decode_json(value_decoder, row.value), validate=True)
    except ValueError as error:
        report_unreadable("store", row.key, error)
        value = b""
    return StoreRow(row.key, value, row.ver, row.deleted)


def decode_readable_rows(bodies: Iterable[msgspec.Raw]) -> Iterable[StoreRow]:
    """Yield the rows that can be decoded; count and log the others."""
    for body in bodies:
        try:
            yield decode_row(body)
        except Malformed as error:
            report_unreadable("store", bytes(body).decode(errors="replace"), error)


def decode_page(body: bytes) -> tuple[Changes, bool]:
    """Decode one page of rows; return its changes and whether more pages follow.

    Raises
    ------
    Malformed
        If the body is not a page of rows.
    """
    page = decode_json(page_decoder, body)
    return Changes(tuple(decode_readable_rows(page.rows)), page.ver), page.more_pages


def encode_write(table: str, key: str, value: bytes) -> bytes:
    """Encode a transaction that writes one row."""
    text = base64.b64encode(value).decode()
    entry = {"table": table, "part": "", "key": key, "value": text}
    return encode_json({"set_keys": [entry]})


class MemberFields(msgspec.Struct):
    """The value of a member's row; the row's key is the member's address."""

    role: Literal["entry", "guard"]
    zone: BoundedText
    node: BoundedText


member_decoder = msgspec.json.Decoder(MemberFields)


def encode_member(member: Member) -> bytes:
    """Encode the value of a member's row."""
    return encode_json(MemberFields(member.role, member.zone, member.node))


def decode_member_rows(rows: Iterable[StoreRow]) -> tuple[Member, ...]:
    """Decode the rows of members; unreadable rows are counted, logged and skipped."""
    members = []
    for row in rows:
        try:
            split_address(row.key)
            fields = decode_json(member_decoder, row.value)
        except ValueError as error:
            report_unreadable("store", row.key, error)
            continue
        members.append(Member(row.key, fields.role, fields.zone, fields.node))
    return tuple(members)
