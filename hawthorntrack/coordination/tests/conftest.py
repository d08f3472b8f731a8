"""Fixtures for tests of the decisions and of the actors of this layer."""

import asyncio
from typing import Any

import pytest

from hawthorntrack.coordination.tests.fakes import Cluster
from hawthorntrack.experiment.layout import deployments, document_body
from hawthorntrack.protocol import local, rows
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.table import ABSENT
from hawthorntrack.state.values import GuardInfo, Incarnation, SlotRow


class SentMessages:
    """Records the messages that an actor sends, in place of the bus."""

    def __init__(self) -> None:
        self.sent: list[tuple[Incarnation, Any]] = []

    def send(self, to: Incarnation, body: Any) -> None:
        """Record a message."""
        self.sent.append((to, body))

    def take(self, kind: type) -> list[Any]:
        """Return and remove the recorded messages of a type."""
        found = [body for _, body in self.sent if type(body) is kind]
        self.sent = [item for item in self.sent if type(item[1]) is not kind]
        return found


def posted(box: Mailbox, kind: type) -> list[Any]:
    """Return and remove the messages of a type from a mailbox."""
    items = [box.queue.get_nowait() for _ in range(box.queue.qsize())]
    for item in items:
        if type(item) is not kind:
            box.post(item)
    return [item for item in items if type(item) is kind]


@pytest.fixture
def wire():
    return SentMessages()


@pytest.fixture
def box():
    return Mailbox("test")


@pytest.fixture
def infos(guards, places):
    return [
        GuardInfo(guard, place, "127.0.0.1:1", False)
        for guard, place in zip(guards, places, strict=True)
    ]


@pytest.fixture
def view(infos, document):
    """Return a view with all guards in service, confirmed at the clock's start."""
    return ControlView(
        stamp=1,
        documents={"visits": document},
        guards={info.incarnation.address: info for info in infos},
        last_success_at=1_000.0,
    )


def slot_row(owner, witness, version, epoch=1):
    """Return the row of a slot whose pair is formed."""
    return SlotRow(epoch, owner, witness, True, owner, witness, 0, version)


def deliver(actor, body, sender=None):
    """Let an actor handle a message, from another process if a sender is given."""
    actor.handle(Delivery(sender, body) if sender else body)


def show_view(actor, view):
    """Deliver a view to an actor as if it had been confirmed now."""
    deliver(actor, local.ViewChanged(view._replace(last_success_at=actor.now())))


def tick(actor):
    """Let an actor handle a tick."""
    actor.handle(Tick())


@pytest.fixture
def start_cluster(settings, places):
    """Return a function that starts four guards and an entry, and opens all slots."""

    async def start(seed=1):
        cluster = Cluster(settings, places, seed)
        body = document_body(deployments["jardim"])
        key = rows.document_key("production", "visits")
        await cluster.table.write(key, ABSENT, rows.encode_document(1, body))
        for name in cluster.places:
            cluster.start_guard(name)
        router = cluster.start_entry()
        await asyncio.sleep(4)
        assert sum(row.formed for row in router.owners.rows.values()) == settings.slots
        return cluster, router

    return start
