"""Bodies on the wire, decoded into the project's types and back."""

import base64
from collections.abc import Iterable
from typing import Any

import msgspec

from hawthorntrack.state.catalogue import Catalogue, Limits, Queue, Service
from hawthorntrack.state.directives import Directives, Member, StoreRow
from hawthorntrack.state.plans import (
    JobPlan,
    RunEnd,
    RunName,
    RunStatus,
    StepSpec,
    TargetLife,
    TargetState,
    TaskName,
)
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.store import Changes

SETTINGS_VARIABLE = "HAWTHORNTRACK_BOOT"  # holds the path of the settings file
CONFIG_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"
STATES = {"ready", "draining"}

decode_json = msgspec.json.Decoder().decode
encode_json = msgspec.json.Encoder().encode


class Malformed(ValueError):
    """A body that is not what its call carries; the message says where."""


def task_text(name: TaskName) -> str:
    """Return a task's name on the wire.

    Examples
    --------
    >>> task_text(TaskName("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{name.job}.{name.occurrence}.{name.step}.{name.index}"


def task_name(text: str) -> TaskName:
    """Return the task that a name on the wire stands for.

    Examples
    --------
    >>> task_name("5c0e7a21d94b36f8.0.1.17")
    TaskName(job='5c0e7a21d94b36f8', occurrence=0, step=1, index=17)
    """
    job, occurrence, step, index = text.rsplit(".", 3)
    return TaskName(job, int(occurrence), int(step), int(index))


def resources_of(body: Any) -> Resources:
    """Return amounts; a field that is left out is 0."""
    return Resources(
        int(body.get("cpu", 0)), int(body.get("mem_mb", 0)), int(body.get("gpu", 0))
    )


class StepFields(msgspec.Struct):
    """What `msgspec` checks of a step before it is translated."""

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False


class JobFields(msgspec.Struct):
    """The body of a job, as far as this product reads it."""

    steps: tuple[StepFields, ...]
    spec: str = ""
    best_effort: bool = False


job_decoder = msgspec.json.Decoder(JobFields)


def plan_of(key: str, body: bytes) -> JobPlan:
    """Return the job that a caller handed in.

    Raises
    ------
    Malformed
        If the body is no job, or its steps refer to steps that do not come before.
    """
    try:
        fields = job_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from error
    for number, step in enumerate(fields.steps):
        if step.count < 1 or any(not 0 <= before < number for before in step.after):
            raise Malformed(f"step {number} has no tasks or waits for a later step")
    if not fields.steps:
        raise Malformed("a job without steps")
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
        kept=not fields.best_effort,
    )


class BeatFields(msgspec.Struct):
    """A target's heartbeat."""

    service: str
    address: str
    zone: str
    state: str
    seq: int
    capacity: dict[str, int] = {}
    labels: tuple[str, ...] = ()
    clock_ms: int = 0
    born: int = 0


beat_decoder = msgspec.json.Decoder(BeatFields)


def target_state_of(target: str, body: bytes) -> TargetState:
    """Return what a target says of itself.

    Raises
    ------
    Malformed
        If fields are missing or of another type, or the state is unknown: it then
        names no target to use.
    """
    try:
        beat = beat_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from error
    if beat.state not in STATES or ":" not in beat.address:
        raise Malformed(f"state {beat.state!r}, address {beat.address!r}")
    return TargetState(
        TargetLife(target, beat.born),
        beat.service,
        beat.address,
        beat.zone,
        beat.state == "draining",
        resources_of(beat.capacity),
        beat.labels,
        beat.seq,
        beat.clock_ms,
    )


target_state_decoder = msgspec.json.Decoder(TargetState)


def target_value(state: TargetState) -> bytes:
    """Return what a row holds that remembers a target."""
    return encode_json(state)


def remembered_target(value: bytes) -> TargetState | None:
    """Return the target that a row remembers, None if it cannot be read."""
    try:
        return target_state_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class HoldFields(msgspec.Struct):
    """A target's lists of runs.

    Attributes
    ----------
    running : rows of task, run, checkpoint, percent and a usage figure
    ended : rows of number, task, run, how and checkpoint
    """

    clock_ms: int
    running: list[tuple[Any, ...]] = []
    ended: list[tuple[Any, ...]] = []
    born: int = 0


hold_decoder = msgspec.json.Decoder(HoldFields)


def lists_of(body: bytes) -> tuple[int, int, tuple, tuple]:
    """Return clock, birth, running and ended of a target's answer.

    Raises
    ------
    Malformed
        If the body is not such an answer.
    """
    try:
        lists = hold_decoder.decode(body)
        running = tuple(
            RunStatus(RunName(task_name(row[0]), row[1]), int(row[3]))
            for row in lists.running
        )
        ended = tuple(
            RunEnd(row[0], RunName(task_name(row[1]), row[2]), row[3])
            for row in lists.ended
        )
    except (msgspec.DecodeError, ValueError, IndexError, AttributeError) as error:
        raise Malformed(str(error)) from error
    return lists.clock_ms, lists.born, running, ended


class RouteFields(msgspec.Struct):
    """A queue as the configuration spells it: `hostname` is what callers name."""

    name: str
    hostname: str
    path_prefix: str
    service: str
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0


class ServiceFields(msgspec.Struct):
    """A service as the configuration spells it."""

    name: str
    enforces_capacity: bool = False


class LimitFields(msgspec.Struct, frozen=True):
    """Bounds on callers' requests."""

    max_body_bytes: int = Limits().body_bytes
    max_header_bytes: int = Limits().header_bytes


class ConfigFields(msgspec.Struct):
    """The configuration row."""

    version: int
    routes: list[RouteFields] = []
    services: list[ServiceFields] = []
    limits: LimitFields = LimitFields()


config_decoder = msgspec.json.Decoder(ConfigFields)


def catalogue_of(value: bytes) -> Catalogue:
    """Return the catalogue that a configuration row holds.

    Raises
    ------
    Malformed
        If the row holds no configuration.
    """
    try:
        config = config_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from error
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


def directives_of(rows: dict[str, StoreRow], stamp: int) -> Directives:
    """Return what the operator's rows put in force.

    Raises
    ------
    Malformed
        If the configuration row cannot be read.
    """
    config = rows.get(CONFIG_KEY)
    return Directives(
        stamp,
        catalogue_of(config.value) if config is not None else Catalogue(),
        frozenset(
            key.removeprefix(ZONE_OUT_PREFIX)
            for key in rows
            if key.startswith(ZONE_OUT_PREFIX)
        ),
    )


class RowFields(msgspec.Struct):
    """A row: `deleted` marks one that a transaction removed."""

    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False
    part: str = ""


class RowsFields(msgspec.Struct):
    """An answer with rows; `ver` is the store's newest version."""

    ver: int
    rows: list[RowFields] = []
    more_pages: bool = False


rows_decoder = msgspec.json.Decoder(RowsFields)


def page_of(body: bytes) -> tuple[Changes, bool]:
    """Return the rows of one answer, and whether more pages follow.

    Raises
    ------
    Malformed
        If the body is no such answer.
    """
    try:
        page = rows_decoder.decode(body)
        rows = tuple(
            StoreRow(row.key, base64.b64decode(row.value), row.ver, row.deleted)
            for row in page.rows
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise Malformed(str(error)) from error
    return Changes(rows, page.ver), page.more_pages


def write_body(table: str, key: str, value: bytes) -> bytes:
    """Return the body of a transaction that writes one row."""
    text = base64.b64encode(value).decode()
    entry = {"table": table, "part": "", "key": key, "value": text}
    return encode_json({"set_keys": [entry]})


class MemberFields(msgspec.Struct):
    """A member's row; its key is the address."""

    role: str
    zone: str
    node: str


member_decoder = msgspec.json.Decoder(MemberFields)


def member_value(member: Member) -> bytes:
    """Return what a member's row holds."""
    return encode_json(MemberFields(member.role, member.zone, member.node))


def members_of(rows: Iterable[StoreRow]) -> tuple[Member, ...]:
    """Return the members that rows name; a row that cannot be read names none."""
    members = []
    for row in rows:
        try:
            fields = member_decoder.decode(row.value)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        members.append(Member(row.key, fields.role, fields.zone, fields.node))
    return tuple(members)
