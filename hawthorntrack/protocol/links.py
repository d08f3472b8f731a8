"""Messages between a process's actors and the bus that owns its links to peers."""

from typing import Any, NamedTuple


class Send(NamedTuple):
    """Send a message to the peer that listens at `address`, if a link is up."""

    address: str
    body: Any


class MaintainLink(NamedTuple):
    """Keep a link to the peer that listens at `address`."""

    address: str


class DialOnce(NamedTuple):
    """Connect to the peer that listens at `address`, unless a link to it is up."""

    address: str


class CloseLink(NamedTuple):
    """Close the link to a peer; a link that this process dialled is opened again."""

    address: str


class RemovePeer(NamedTuple):
    """Close the link to a peer and stop dialling it."""

    address: str


class LinkUp(NamedTuple):
    """The link to this peer is up; `nonce` identifies the peer's incarnation."""

    address: str
    nonce: str


class LinkDown(NamedTuple):
    """The link to this peer is closed."""

    address: str


class StampChanged(NamedTuple):
    """The configuration version that outgoing messages carry from now on."""

    stamp: int
