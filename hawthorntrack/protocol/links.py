"""Messages between a process's tasks and the owner of its links to peers."""

from typing import Any, NamedTuple


class Send(NamedTuple):
    """Send a message to the peer that listens at `address`, if a link is up."""

    address: str
    body: Any


class MaintainLink(NamedTuple):
    """Keep a link to the peer that listens at `address`."""

    address: str


class CloseLink(NamedTuple):
    """Close the link to a peer; one that was dialled is opened again."""

    address: str


class RemovePeer(NamedTuple):
    """Close the link to a peer and do not dial it any more."""

    address: str


class LinkUp(NamedTuple):
    """A link to this peer is up; `nonce` tells which life of the process."""

    address: str
    nonce: str


class LinkDown(NamedTuple):
    """The link to this peer is gone."""

    address: str


class StampChanged(NamedTuple):
    """From now on messages carry this stamp."""

    stamp: int
