"""The view of configuration and membership that a process acts on."""

from typing import NamedTuple, TypedDict

import msgspec

from hawthorntrack.state.documents import Document, DocumentBody, document_of
from hawthorntrack.state.table import Row
from hawthorntrack.state.values import GuardInfo, Incarnation, Place, SlotRow

ZONES_KEY = "zones"


class ZonesBody(TypedDict):
    """The row of zones out of service in one environment."""

    out: list[str]


class DocumentRow(TypedDict):
    """The row of a service's document.

    `number` counts the versions of this document in this environment, from 1.
    """

    number: int
    body: DocumentBody


class GuardRow(TypedDict):
    """A guard's registration."""

    nonce: str
    zone: str
    rack: str
    worker: str
    http: str
    draining: bool


class ControlView(NamedTuple):
    """What a process holds to be in force.

    Attributes
    ----------
    stamp : int
        Highest table version among the configuration rows; it only grows.
    confirmed_at : float
        Loop time at which the newest successful poll was sent, in seconds.
    failed_at : float
        Loop time at which the newest failed poll ended, in seconds.
    """

    stamp: int = 0
    documents: dict[str, Document] = {}
    zones_out: frozenset[str] = frozenset()
    guards: dict[str, GuardInfo] = {}
    slots: dict[int, SlotRow] = {}
    confirmed_at: float = float("-inf")
    failed_at: float = float("-inf")

    def fresh(self, now: float, freshness_s: float) -> bool:
        """Return whether the table was asked within the last `freshness_s`.

        Explanation
        -----------
        A poll that failed counts as asked: in an outage of the table nothing can
        change, and work goes on. A process that was frozen has neither, and must
        not act on its view until it has asked again.
        """
        return now - max(self.confirmed_at, self.failed_at) <= freshness_s


def config_prefix(environment: str) -> str:
    """Return the key prefix of documents and zones."""
    return f"config/{environment}/"


def zones_key(environment: str) -> str:
    """Return the key of the row of zones out of service."""
    return f"config/{environment}/{ZONES_KEY}"


def document_key(environment: str, service: str) -> str:
    """Return the key of a service's document."""
    return f"config/{environment}/service/{service}"


def history_key(environment: str, service: str, number: int) -> str:
    """Return the key of one past version of a document."""
    return f"history/{environment}/{service}/{number:08d}"


def guards_prefix(environment: str) -> str:
    """Return the key prefix of guards' registrations."""
    return f"guards/{environment}/"


def slots_prefix(environment: str) -> str:
    """Return the key prefix of slot rows."""
    return f"slots/{environment}/"


def slot_key(environment: str, slot: int) -> str:
    """Return the key of one slot's row."""
    return f"{slots_prefix(environment)}{slot:07d}"


def apply_config(view: ControlView, rows: tuple[Row, ...]) -> ControlView:
    """Return the view with configuration rows taken in, never a lower version.

    Parameters
    ----------
    view : ControlView
        The view before.
    rows : tuple of Row
        All configuration rows of the environment, from the table or a peer.

    Returns
    -------
    ControlView
        The same view when the rows are not newer than it.
    """
    stamp = max((row.version for row in rows), default=0)
    if stamp <= view.stamp:
        return view
    documents = dict(view.documents)
    zones_out = view.zones_out
    for row in rows:
        if row.key.endswith("/" + ZONES_KEY):
            zones_out = frozenset(msgspec.json.decode(row.value, type=ZonesBody)["out"])
        else:
            held = msgspec.json.decode(row.value, type=DocumentRow)
            document = document_of(held["body"], held["number"])
            known = documents.get(document.service)
            if known is None or known.version < document.version:
                documents[document.service] = document
    return view._replace(stamp=stamp, documents=documents, zones_out=zones_out)


def guards_of(rows: tuple[Row, ...]) -> dict[str, GuardInfo]:
    """Return registered guards by their bus address."""
    bodies = (
        (row.key.rpartition("/")[2], msgspec.json.decode(row.value, type=GuardRow))
        for row in rows
    )
    return {
        address: GuardInfo(
            Incarnation(address, body["nonce"]),
            Place(body["zone"], body["rack"], body["worker"]),
            body["http"],
            body["draining"],
        )
        for address, body in bodies
    }


def slot_row(row: Row) -> SlotRow:
    """Return a slot's row with the version it stands at."""
    return msgspec.json.decode(row.value, type=SlotRow)._replace(version=row.version)


def slots_of(rows: tuple[Row, ...]) -> dict[int, SlotRow]:
    """Return slot rows by slot."""
    return {int(row.key.rpartition("/")[2]): slot_row(row) for row in rows}
