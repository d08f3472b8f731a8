"""The kinds of refusal and failure, with HTTP status and remedy, and their answers."""

import asyncio
from dataclasses import dataclass

from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Answer


@dataclass(frozen=True)
class OutcomeKind:
    """One kind of refusal or failure.

    Attributes
    ----------
    http_status : int
        HTTP status of the answer to the caller.
    retry_after_s : int
        Seconds to wait before trying again; 0 if waiting does not help.
    """

    name: str
    http_status: int
    remedy: str
    retry_after_s: int = 0


kinds: Registry[OutcomeKind] = Registry("outcome kind")


def define_kind(
    name: str, http_status: int, remedy: str, retry_after_s: int = 0
) -> OutcomeKind:
    """Register an outcome kind and return it."""
    kind = OutcomeKind(name, http_status, remedy, retry_after_s)
    return kinds.register(name)(kind)


def refuse(kind: OutcomeKind, detail: str = "") -> Answer:
    """Return the answer to a refused request, of which no task was or will be run."""
    return Answer("refused", kind.name, "no", detail)


def fail(kind: OutcomeKind, ran: str, detail: str = "") -> Answer:
    """Return the answer to a failed job, which may have run in part."""
    return Answer("failed", kind.name, ran, detail)


def unknown(kind: OutcomeKind) -> Answer:
    """Return the answer to a query about a job of unknown state; it may be running."""
    return Answer("unknown", kind.name, "maybe", "")


def resolve(reply: asyncio.Future[Answer], answer: Answer) -> None:
    """Set the answer as the result of a reply that is not done or cancelled."""
    if not reply.done():
        reply.set_result(answer)


def describe_answer(answer: Answer) -> str:
    """Return the text of an answer for the caller: its detail and the remedy.

    Examples
    --------
    >>> describe_answer(refuse(DRAINING))
    'This instance is stopping. Send the request to another entry instance.'
    """
    remedy = kinds[answer.kind].remedy if answer.kind in kinds else ""
    return f"{answer.detail} {remedy}".strip()


BAD_REQUEST = define_kind(
    "bad_request", 400, "Correct the request as docs/CALLERS.md shows."
)
BODY_TOO_LARGE = define_kind("body_too_large", 413, "Split the job into smaller ones.")
UNKNOWN_SERVICE = define_kind(
    "unknown_service",
    404,
    "Check the service's name, or have its document put into this environment.",
)
UNKNOWN_JOB = define_kind(
    "unknown_job",
    404,
    "Check the key. A key past the retention is forgotten, whether its job ran or not.",
)
KEY_CONFLICT = define_kind(
    "key_conflict",
    409,
    "This key was used with another body: use a new key for a new job.",
)
DRAINING = define_kind(
    "draining",
    503,
    "This instance is stopping. Send the request to another entry instance.",
    1,
)
SLOT_MOVING = define_kind(
    "slot_moving",
    503,
    "The key's slot has no open owner now: send the request again shortly.",
    1,
)
NO_OWNER = define_kind(
    "no_owner",
    503,
    "No guard owned the key's slot before the deadline: send the request again.",
    1,
)
NO_TARGET = define_kind(
    "no_target",
    503,
    "No target in service runs this kind of task: start one or correct the kind.",
    2,
)
QUEUE_FULL = define_kind(
    "queue_full", 503, "Too much work is waiting: send the request again later.", 1
)
CUSTOMER_LIMIT = define_kind(
    "customer_limit",
    429,
    "The customer's quota is used up: wait, or have its limit raised.",
    1,
)
DEADLINE_UNREACHABLE = define_kind(
    "deadline_unreachable",
    503,
    "The work waiting ahead would make it late: wait, or allow a later deadline.",
    1,
)
KEY_STORE_FULL = define_kind(
    "key_store_full",
    503,
    "The slot remembers as many keys as it may: wait, or lower the retention.",
    5,
)
STALE_VIEW = define_kind(
    "stale_view", 503, "The guard is catching up with the table: send it again.", 1
)
CANCELLED = define_kind("cancelled", 409, "The caller cancelled the job.")
NOT_PLACED = define_kind(
    "not_placed",
    503,
    "No guard took the tasks in time and none was started: send the job again.",
    1,
)
DEADLINE_PASSED = define_kind(
    "deadline_passed",
    504,
    "Allow a later deadline or smaller jobs. Some tasks may have run: look before"
    " sending the job again under a new key.",
)
TASK_FAILED = define_kind(
    "task_failed", 200, "Correct the task's input, or see the target's own log."
)
RETRIES_EXHAUSTED = define_kind(
    "retries_exhausted",
    200,
    "Guards sent tasks back too often: check targets and limits. Some tasks ran.",
)
GUARD_LOST = define_kind(
    "guard_lost",
    200,
    "A guard stopped while it had tasks of the job. Some tasks may have run: look"
    " before sending the job again under a new key.",
)
OWNER_LOST = define_kind(
    "owner_lost",
    200,
    "The job's owner changed while it may have run: look before sending the job"
    " again under a new key.",
)
ANSWER_DROPPED = define_kind(
    "answer_dropped", 200, "The job ended but its answer is no longer kept."
)
