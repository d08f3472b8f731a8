"""Keys of the platform's table rows, and encoding and decoding of their values."""

from collections.abc import Iterable
from typing import NotRequired, TypedDict, TypeVar

import msgspec

from hawthorntrack.state.control_view import Config
from hawthorntrack.state.documents import DocumentBody, document_from_body
from hawthorntrack.state.table import Row
from hawthorntrack.state.values import GuardInfo, Incarnation, Location, SlotRow

ZONES = "zones"

T = TypeVar("T")


class ZonesRow(TypedDict):
    """The zones out of service in one environment."""

    out: list[str]


class DocumentRow(TypedDict):
    """A service's document; `number` counts its versions in one environment, from 1.

    `mark` is unique to one write. If a write got no answer, it shows whether the row
    comes from that write or is an equal document that another operator wrote.
    """

    number: int
    body: DocumentBody
    mark: NotRequired[str]


class GuardRow(TypedDict):
    """The registration of a guard or an entry instance.

    `departed` is set when a guard deregisters; the row of an entry instance is deleted.
    """

    nonce: str
    zone: str
    rack: str
    worker: str
    http: str
    draining: bool
    departed: NotRequired[bool]


def config_prefix(environment: str) -> str:
    """Return the key prefix of documents and of the row of zones out of service."""
    return f"config/{environment}/"


def zones_key(environment: str) -> str:
    """Return the key of the row of zones out of service."""
    return f"config/{environment}/{ZONES}"


def document_key(environment: str, service: str) -> str:
    """Return the key of a service's document."""
    return f"config/{environment}/service/{service}"


def history_prefix(environment: str, service: str) -> str:
    """Return the key prefix of a document's past versions."""
    return f"history/{environment}/{service}/"


def history_key(environment: str, service: str, number: int) -> str:
    """Return the key of one version of a document."""
    return f"{history_prefix(environment, service)}{number:08d}"


def guards_prefix(environment: str) -> str:
    """Return the key prefix of guards' registrations."""
    return f"guards/{environment}/"


def guard_key(environment: str, address: str) -> str:
    """Return the key of one guard's registration."""
    return guards_prefix(environment) + address


def entries_prefix(environment: str) -> str:
    """Return the key prefix of entry instances' registrations."""
    return f"entries/{environment}/"


def slots_prefix(environment: str) -> str:
    """Return the key prefix of slot rows."""
    return f"slots/{environment}/"


def slot_key(environment: str, slot: int) -> str:
    """Return the key of one slot's row."""
    return f"{slots_prefix(environment)}{slot:07d}"


def decode_row(row: Row, kind: type[T]) -> T:
    """Return the value of a row, decoded and validated as `kind`.

    Raises
    ------
    ValueError
        If the value does not match `kind`. Nesting that is too deep raises
        `RecursionError` in the decoder, which is converted here.
    """
    try:
        return msgspec.json.decode(row.value, type=kind)
    except RecursionError as error:
        raise ValueError(str(error)) from error


def decode_zones(row: Row) -> list[str]:
    """Return the zones out of service that a row lists."""
    return decode_row(row, ZonesRow)["out"]


def encode_zones(out: Iterable[str]) -> bytes:
    """Return the row value that lists the zones out of service."""
    return msgspec.json.encode({"out": sorted(out)})


def decode_document(row: Row) -> DocumentRow:
    """Return a document with the number of its version."""
    return decode_row(row, DocumentRow)


def encode_document(number: int, body: DocumentBody, mark: str = "") -> bytes:
    """Return the row value for a document; `mark` identifies the write."""
    return msgspec.json.encode({"number": number, "body": body, "mark": mark})


def decode_config(rows: Iterable[Row]) -> Config:
    """Return the configuration that is stored in the rows of its prefix."""
    rows = tuple(rows)
    zones = [row for row in rows if row.key.endswith(f"/{ZONES}")]
    documents = (decode_document(row) for row in rows if row not in zones)
    return Config(
        max((row.version for row in rows), default=0),
        tuple(
            document_from_body(document["body"], document["number"])
            for document in documents
        ),
        frozenset(zone for row in zones for zone in decode_zones(row)),
    )


def registered_address(row: Row) -> str:
    """Return the bus address of the process that a row registers."""
    return row.key.rpartition("/")[2]


def decode_guards(rows: Iterable[Row]) -> dict[str, GuardInfo]:
    """Return the registered processes that have not departed, by bus address."""
    guards = ((registered_address(row), decode_guard(row)) for row in rows)
    return {address: guard for address, guard in guards if guard is not None}


def decode_guard(row: Row) -> GuardInfo | None:
    """Return one registration, or None if its process has departed."""
    body = decode_row(row, GuardRow)
    if body.get("departed"):
        return None
    return GuardInfo(
        Incarnation(registered_address(row), body["nonce"]),
        Location(body["zone"], body["rack"], body["worker"]),
        body["http"],
        body["draining"],
    )


def guard_body(guard: GuardInfo) -> GuardRow:
    """Return the body of a registration."""
    return {
        "nonce": guard.incarnation.nonce,
        "zone": guard.place.zone,
        "rack": guard.place.rack,
        "worker": guard.place.worker,
        "http": guard.http,
        "draining": guard.draining,
    }


def encode_guard(guard: GuardInfo) -> bytes:
    """Return the row value for a registration."""
    return msgspec.json.encode(guard_body(guard))


def encode_departed_guard(guard: GuardInfo) -> bytes:
    """Return the row value for a registration whose process has departed."""
    return msgspec.json.encode({**guard_body(guard), "departed": True})


def decode_slot(row: Row) -> SlotRow:
    """Return a slot's row with the version that the table gave it."""
    return decode_row(row, SlotRow)._replace(version=row.version)


def encode_slot(row: SlotRow) -> bytes:
    """Return the value of a slot's row without its version, which the table assigns."""
    return msgspec.json.encode(row._replace(version=0))


def decode_slots(rows: Iterable[Row]) -> dict[int, SlotRow]:
    """Return slot rows by slot."""
    return {int(row.key.rpartition("/")[2]): decode_slot(row) for row in rows}
