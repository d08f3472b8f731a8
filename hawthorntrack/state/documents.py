"""A service's document: deadlines, retries, limits, quotas and placement rules."""

from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hawthorntrack.state.validation import InvalidInput, check

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]*\Z", max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Seconds = Annotated[int, msgspec.Meta(ge=1, le=86_400)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=10)]

ENVIRONMENTS = ("trial", "production")
DEFAULT_CUSTOMER = "default"


class DeadlinesBody(TypedDict):
    """Deadlines in milliseconds."""

    default_ms: Milliseconds
    max_ms: Milliseconds


class RetriesBody(TypedDict):
    """Limits on placing tasks again that a guard returned."""

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)]
    budget_ratio: Ratio


class LimitsBody(TypedDict):
    """Limits per guard on waiting tasks and on remembered keys."""

    queued_tasks: Count
    guard_queue: Annotated[int, msgspec.Meta(ge=0, le=1000)]
    remembered_keys: Count


class CustomerBody(TypedDict):
    """One customer's quota: its concurrent tasks over all guards, and its weight."""

    max_tasks: Count
    weight: NotRequired[Annotated[float, msgspec.Meta(gt=0, le=1000)]]


class DocumentBody(TypedDict):
    """The YAML document of one service in one environment."""

    service: Name
    deadlines: DeadlinesBody
    retries: RetriesBody
    limits: LimitsBody
    customers: dict[str, CustomerBody]
    retention_s: Seconds
    policy: str
    witness: str


class Customer(NamedTuple):
    """A customer's quota in force."""

    max_tasks: int
    weight: float


class Document(NamedTuple):
    """A service's document in force, with its version in this environment."""

    service: str
    version: int
    default_ms: int
    max_ms: int
    max_attempts: int
    budget_ratio: float
    queued_tasks: int
    guard_queue: int
    remembered_keys: int
    customers: dict[str, Customer]
    retention_s: int
    policy: str
    witness: str

    def customer(self, name: str) -> Customer:
        """Return the customer's quota, or that of the default customer."""
        return self.customers.get(name, self.customers[DEFAULT_CUSTOMER])


def check_document(
    data: Any, source: str, policies: list[str], witness_rules: list[str]
) -> DocumentBody:
    """Return the validated body of a document.

    Parameters
    ----------
    data : Any
        Plain values of the YAML document.
    policies : list of str
        Names of the registered placement policies.
    witness_rules : list of str
        Names of the registered rules for choosing a witness.

    Raises
    ------
    InvalidInput
        If `data` is not a valid document. The error names the key path and the
        remedy.
    """
    body = check(data, DocumentBody, source)
    if body["deadlines"]["default_ms"] > body["deadlines"]["max_ms"]:
        raise InvalidInput(
            source,
            "deadlines.default_ms",
            "is above deadlines.max_ms",
            "Lower the default or raise the maximum.",
        )
    if body["retention_s"] * 1000 < 2 * body["deadlines"]["max_ms"]:
        raise InvalidInput(
            source,
            "retention_s",
            "is under twice deadlines.max_ms",
            "Raise it: a key must be remembered while its job can still run.",
        )
    if body["policy"] not in policies:
        raise InvalidInput(
            source,
            "policy",
            f"unknown policy {body['policy']!r}",
            f"Choose one of {', '.join(policies)}.",
        )
    if body["witness"] not in witness_rules:
        raise InvalidInput(
            source,
            "witness",
            f"unknown witness rule {body['witness']!r}",
            f"Choose one of {', '.join(witness_rules)}.",
        )
    if DEFAULT_CUSTOMER not in body["customers"]:
        raise InvalidInput(
            source,
            "customers",
            "has no default",
            "Add a customer named default for callers that are not listed.",
        )
    return body


def document_from_body(body: DocumentBody, version: int) -> Document:
    """Return the document that a validated body describes."""
    return Document(
        service=body["service"],
        version=version,
        default_ms=body["deadlines"]["default_ms"],
        max_ms=body["deadlines"]["max_ms"],
        max_attempts=body["retries"]["max_attempts"],
        budget_ratio=body["retries"]["budget_ratio"],
        queued_tasks=body["limits"]["queued_tasks"],
        guard_queue=body["limits"]["guard_queue"],
        remembered_keys=body["limits"]["remembered_keys"],
        customers={
            name: Customer(item["max_tasks"], item.get("weight", 1.0))
            for name, item in body["customers"].items()
        },
        retention_s=body["retention_s"],
        policy=body["policy"],
        witness=body["witness"],
    )
