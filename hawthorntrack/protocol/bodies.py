"""Bodies of the HTTP interfaces to callers, targets and the table service."""

from typing import Annotated, NamedTuple, NotRequired, TypedDict

import msgspec

from hawthorntrack.state.hashing import digest
from hawthorntrack.state.outcomes import describe_answer, kinds
from hawthorntrack.state.values import Answer, JobSpec, TaskSpec

KEY_HEADER = "Idempotency-Key"
CUSTOMER_HEADER = "Hawthorntrack-Customer"
KEY_MAX_CHARS = 128

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class TaskBody(TypedDict):
    """One task as a caller submits it."""

    kind: Label
    input: NotRequired[msgspec.Raw]
    size_ms: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]]


class JobBody(TypedDict):
    """A job as a caller submits it."""

    tasks: Annotated[list[TaskBody], msgspec.Meta(min_length=1)]
    repeatable: NotRequired[bool]
    deadline_ms: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]]


class AnswerBody(TypedDict):
    """The body of the answer to a caller."""

    job: str
    status: str
    results: NotRequired[list[msgspec.Raw]]
    kind: NotRequired[str]
    ran: NotRequired[str]
    message: NotRequired[str]


class AnnouncementBody(TypedDict):
    """A target's announcement to its guard, repeated every second.

    `address` is where the target accepts ``POST /run``. If `leaving` is true, the
    target accepts no new work.
    """

    service: Label
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.\[\]:a-f]+:[0-9]+$")]
    kinds: Annotated[list[Label], msgspec.Meta(min_length=1, max_length=100)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    zone: Label
    rack: Label
    worker: Label
    leaving: NotRequired[bool]


class RunBody(TypedDict):
    """A task as a guard posts it to its target; `input` is always present."""

    key: str
    index: int
    kind: str
    size_ms: int
    input: NotRequired[msgspec.Raw]


class RowBody(TypedDict):
    """A row of the table service; every row has a `value`.

    `value` is declared as not required because msgspec refuses a required `Raw` in a
    TypedDict.
    """

    key: str
    version: int
    value: NotRequired[msgspec.Raw]


class RowsBody(TypedDict):
    """The answer to a read by prefix; `total` counts all rows with that prefix."""

    rows: list[RowBody]
    total: int


class WriteBody(TypedDict):
    """A conditional write; a write without `value` deletes the row."""

    expect: int
    value: NotRequired[msgspec.Raw]


class WriteAnswerBody(TypedDict):
    """The answer to a conditional write: the new version, or the conflicting row."""

    version: NotRequired[int]
    row: NotRequired[RowBody | None]


class BadBody(ValueError):
    """A body that failed validation; `reason` is the label of the counter."""

    def __init__(self, reason: str, detail: str) -> None:
        self.reason = reason
        super().__init__(detail)


class CallerHeaders(NamedTuple):
    """The service and the headers of a caller's request."""

    service: str
    key: str
    customer: str


jobs_decoder = msgspec.json.Decoder(JobBody)
announcements_decoder = msgspec.json.Decoder(AnnouncementBody)


def decode_job(caller: CallerHeaders, body: bytes, tasks_per_job: int) -> JobSpec:
    """Return the job of a submission; its `deadline_ms` is 0 if the caller set none.

    Raises
    ------
    BadBody
        If the key, the customer or the body does not have the form that
        docs/CALLERS.md describes, or the job has more than `tasks_per_job` tasks.
    """
    if not 0 < len(caller.key) <= KEY_MAX_CHARS or not caller.key.isprintable():
        raise BadBody(
            "key", f"{KEY_HEADER} must have 1 to {KEY_MAX_CHARS} printable characters."
        )
    if not 0 < len(caller.customer) <= KEY_MAX_CHARS:
        raise BadBody("customer", f"{CUSTOMER_HEADER} must name the customer.")
    try:
        job = jobs_decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadBody("body", f"{error}.") from error
    if len(job["tasks"]) > tasks_per_job:
        raise BadBody(
            "tasks", f"A job has at most {tasks_per_job} tasks: split it into several."
        )
    tasks = tuple(
        TaskSpec(
            task["kind"], bytes(task.get("input", b"null")), task.get("size_ms", 100)
        )
        for task in job["tasks"]
    )
    return JobSpec(
        caller.key,
        digest(body),
        caller.service,
        caller.customer,
        tasks,
        job.get("repeatable", False),
        job.get("deadline_ms", 0),
    )


def decode_announcement(body: bytes) -> AnnouncementBody:
    """Return a target's announcement.

    Raises
    ------
    BadBody
        If it does not have the form that docs/OPERATIONS.md describes.
    """
    try:
        return announcements_decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadBody("announcement", f"{error}.") from error


def answer_body(key: str, answer: Answer) -> AnswerBody:
    """Return the HTTP body of an answer to a caller."""
    if answer.status == "complete":
        outputs = [msgspec.Raw(result.output) for result in answer.results]
        return {"job": key, "status": "complete", "results": outputs}
    body: AnswerBody = {"job": key, "status": answer.status}
    if answer.kind:
        body |= {
            "kind": answer.kind,
            "ran": answer.ran,
            "message": describe_answer(answer),
        }
    return body


def answer_status(answer: Answer) -> int:
    """Return the HTTP status of an answer; 200 for a failed job as well.

    Examples
    --------
    >>> answer_status(Answer("refused", "customer_limit", "no", ""))
    429
    """
    has_error_status = answer.status in ("refused", "unknown") and answer.kind in kinds
    return kinds[answer.kind].http_status if has_error_status else 200
