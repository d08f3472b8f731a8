"""Links between processes: over real sockets on loopback."""

import asyncio

import pytest

from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.links import (
    CloseLink,
    LinkDown,
    LinkUp,
    MaintainLink,
    RemovePeer,
    Send,
)
from hawthorntrack.protocol.run_messages import CancelJobRuns, Hello
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.streams import FRAME_HEADER, StreamBus


class Peer:
    """A bus with all that it delivers and tells."""

    def __init__(self, address, nonce, role):
        self.got = Mailbox("got")
        self.news = Mailbox("news")
        self.bus = StreamBus(
            Incarnation(address, nonce),
            address,
            Hello(role, "recife", role),
            codecs["msgpack"],
            self.got.put,
        )
        self.bus.listeners.append(self.news)
        self.task = asyncio.create_task(self.bus.run())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.fixture
def with_peers(free_address):
    """Return a function that runs a test with two processes, the first dialling."""

    def play(scene):
        async def whole():
            one = Peer(free_address(), "n1", "entry")
            two = Peer(free_address(), "n2", "guard")
            one.bus.mailbox.put(MaintainLink(two.bus.me.address))
            try:
                async with asyncio.timeout(10):
                    await scene(one, two)
            finally:
                await one.stop()
                await two.stop()

        asyncio.run(whole())

    return play


async def greeted(peer):
    """Wait for the other side's first message, and for the news of its link."""
    envelope = await peer.got.get()
    assert isinstance(envelope.body, Hello)
    assert isinstance(await peer.news.get(), LinkUp)
    return envelope


def test_both_ends_learn_of_each_other_and_exchange_messages(with_peers):
    async def scene(one, two):
        assert (await greeted(one)).sender == two.bus.me
        assert (await greeted(two)).sender == one.bus.me
        two.bus.mailbox.put(Send(one.bus.me.address, CancelJobRuns("k")))
        assert (await one.got.get()).body == CancelJobRuns("k")

    with_peers(scene)


def test_end_of_a_process_shows_at_once_and_its_next_life_is_linked(with_peers):
    async def scene(one, two):
        await greeted(one)
        address = two.bus.me.address
        await two.stop()
        assert await one.news.get() == LinkDown(address)
        again = Peer(address, "n3", "guard")
        assert (await greeted(one)).sender.nonce == "n3"
        await again.stop()

    with_peers(scene)


def test_link_that_was_hung_up_is_dialled_again(with_peers):
    async def scene(one, two):
        await greeted(one)
        one.bus.mailbox.put(CloseLink(two.bus.me.address))
        assert isinstance(await one.news.get(), LinkDown)
        await greeted(one)

    with_peers(scene)


def test_forgotten_peer_is_not_dialled_again(with_peers):
    async def scene(one, two):
        await greeted(one)
        one.bus.mailbox.put(RemovePeer(two.bus.me.address))
        assert isinstance(await one.news.get(), LinkDown)
        await asyncio.sleep(0.3)
        assert one.news.queue.empty()

    with_peers(scene)


@pytest.mark.parametrize(
    "data",
    [
        FRAME_HEADER.pack(2**31) + b"x",
        FRAME_HEADER.pack(3) + b"abc",
        b"GET / HTTP/1.1\r\n",
    ],
)
def test_stranger_that_sends_no_frames_harms_nobody(with_peers, data):
    async def scene(one, two):
        await greeted(one)
        await greeted(two)
        host, _, port = two.bus.me.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await writer.drain()
        writer.close()
        one.bus.mailbox.put(Send(two.bus.me.address, CancelJobRuns("k")))
        assert (await two.got.get()).body == CancelJobRuns("k")

    with_peers(scene)


def test_peer_at_an_address_that_is_none_ends_no_link(with_peers, odd_address):
    async def scene(one, two):
        await greeted(one)
        one.bus.mailbox.put(MaintainLink(odd_address))
        one.bus.mailbox.put(Send(two.bus.me.address, CancelJobRuns("after")))
        await greeted(two)
        assert (await two.got.get()).body == CancelJobRuns("after")
        assert list(one.bus.dial_tasks) == [two.bus.me.address]
        assert not one.task.done()

    with_peers(scene)
