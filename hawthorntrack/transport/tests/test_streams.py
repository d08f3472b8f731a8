"""Links between processes, over real sockets on loopback."""

import asyncio

import pytest

from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.links import (
    CloseLink,
    DialOnce,
    LinkDown,
    LinkUp,
    MaintainLink,
    RemovePeer,
    Send,
    StampChanged,
)
from hawthorntrack.protocol.run_messages import CancelJobRuns, Hello
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.streams import FRAME_HEADER, StreamBus


class Peer:
    """A bus that records the messages it delivers and the events of its links."""

    def __init__(self, address, nonce, role):
        self.received = Mailbox("received")
        self.link_events = Mailbox("link_events")
        self.bus = StreamBus(
            Incarnation(address, nonce),
            address,
            Hello(role, "recife", role),
            codecs["msgpack"],
            self.received.put,
        )
        self.bus.listeners.append(self.link_events)
        self.task = asyncio.create_task(self.bus.run())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.fixture
def with_peers(free_address):
    """Return a function that runs a scenario with two peers; the first connects."""

    def run_with_peers(scenario):
        async def run_all():
            one = Peer(free_address(), "n1", "entry")
            two = Peer(free_address(), "n2", "guard")
            one.bus.mailbox.put(MaintainLink(two.bus.me.address))
            try:
                async with asyncio.timeout(10):
                    await scenario(one, two)
            finally:
                await one.stop()
                await two.stop()

        asyncio.run(run_all())

    return run_with_peers


async def wait_for_hello(peer):
    """Wait for the other side's hello message and the event of its link."""
    envelope = await peer.received.get()
    assert isinstance(envelope.body, Hello)
    assert isinstance(await peer.link_events.get(), LinkUp)
    return envelope


def test_linked_peers_identify_each_other_and_exchange_messages(with_peers):
    async def scenario(one, two):
        assert (await wait_for_hello(one)).sender == two.bus.me
        assert (await wait_for_hello(two)).sender == one.bus.me
        two.bus.mailbox.put(Send(one.bus.me.address, CancelJobRuns("k")))
        assert (await one.received.get()).body == CancelJobRuns("k")

    with_peers(scenario)


def test_stopped_peer_is_reported_and_its_next_incarnation_is_linked(with_peers):
    async def scenario(one, two):
        await wait_for_hello(one)
        address = two.bus.me.address
        await two.stop()
        assert await one.link_events.get() == LinkDown(address)
        restarted = Peer(address, "n3", "guard")
        assert (await wait_for_hello(one)).sender.nonce == "n3"
        await restarted.stop()

    with_peers(scenario)


def test_closed_link_is_opened_again(with_peers):
    async def scenario(one, two):
        await wait_for_hello(one)
        one.bus.mailbox.put(CloseLink(two.bus.me.address))
        assert isinstance(await one.link_events.get(), LinkDown)
        await wait_for_hello(one)

    with_peers(scenario)


def test_two_peers_that_connect_to_each_other_keep_one_link(with_peers):
    """Guards connect to seeds while the store is away; the seeds connect to guards."""

    async def scenario(one, two):
        await wait_for_hello(one)
        await wait_for_hello(two)
        two.bus.mailbox.put(MaintainLink(one.bus.me.address))
        await asyncio.sleep(0.5)
        assert one.link_events.queue.empty()
        assert two.link_events.queue.empty()

    with_peers(scenario)


def test_single_dial_of_a_linked_peer_opens_no_second_link(with_peers):
    async def scenario(one, two):
        await wait_for_hello(one)
        await wait_for_hello(two)
        two.bus.mailbox.put(DialOnce(one.bus.me.address))
        await asyncio.sleep(0.2)
        assert len(two.bus.open_links) == 1

    with_peers(scenario)


def test_single_dial_is_not_repeated(with_peers):
    async def scenario(one, two):
        await wait_for_hello(one)
        one.bus.mailbox.put(RemovePeer(two.bus.me.address))
        assert isinstance(await one.link_events.get(), LinkDown)
        one.bus.mailbox.put(DialOnce(two.bus.me.address))
        await wait_for_hello(one)
        one.bus.mailbox.put(CloseLink(two.bus.me.address))
        assert isinstance(await one.link_events.get(), LinkDown)
        await asyncio.sleep(0.3)
        assert one.link_events.queue.empty()

    with_peers(scenario)


def test_message_to_several_peers_is_encoded_once_and_with_the_present_stamp(
    with_peers, monkeypatch
):
    async def scenario(one, two):
        await wait_for_hello(one)
        message, address = CancelJobRuns("k"), two.bus.me.address
        await wait_for_hello(two)
        encoded = []
        encode = one.bus.codec.encode
        monkeypatch.setattr(
            one.bus.codec, "encode", lambda e: encoded.append(e) or encode(e)
        )
        for order in (
            Send(address, message),
            Send(address, message),
            StampChanged(9),
            Send(address, message),
        ):
            one.bus.mailbox.put(order)
        received = [await two.received.get() for _ in range(3)]
        assert [envelope.stamp for envelope in received] == [0, 0, 9]
        assert len(encoded) == 2

    with_peers(scenario)


def test_removed_peer_is_not_connected_to_again(with_peers):
    async def scenario(one, two):
        await wait_for_hello(one)
        one.bus.mailbox.put(RemovePeer(two.bus.me.address))
        assert isinstance(await one.link_events.get(), LinkDown)
        await asyncio.sleep(0.3)
        assert one.link_events.queue.empty()

    with_peers(scenario)


@pytest.mark.parametrize(
    "data",
    [
        FRAME_HEADER.pack(2**31) + b"x",
        FRAME_HEADER.pack(3) + b"abc",
        b"GET / HTTP/1.1\r\n",
    ],
)
def test_connection_with_invalid_frames_does_not_disturb_other_links(with_peers, data):
    async def scenario(one, two):
        await wait_for_hello(one)
        await wait_for_hello(two)
        host, _, port = two.bus.me.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await writer.drain()
        writer.close()
        one.bus.mailbox.put(Send(two.bus.me.address, CancelJobRuns("k")))
        assert (await two.received.get()).body == CancelJobRuns("k")

    with_peers(scenario)


def test_peer_with_an_invalid_address_does_not_affect_other_links(
    with_peers, odd_address
):
    async def scenario(one, two):
        await wait_for_hello(one)
        one.bus.mailbox.put(MaintainLink(odd_address))
        one.bus.mailbox.put(Send(two.bus.me.address, CancelJobRuns("after")))
        await wait_for_hello(two)
        assert (await two.received.get()).body == CancelJobRuns("after")
        assert list(one.bus.dial_tasks) == [two.bus.me.address]
        assert not one.task.done()

    with_peers(scenario)


def test_unencodable_address_of_a_peer_does_not_end_the_bus(
    with_peers, unencodable_address
):
    """Seen: such an address in a member's row ended all entry instances."""

    async def scenario(one, two):
        await wait_for_hello(one)
        assert await one.bus.dial(unencodable_address) is None
        for order in (MaintainLink(unencodable_address), DialOnce(unencodable_address)):
            one.bus.mailbox.put(order)
        one.bus.mailbox.put(Send(two.bus.me.address, CancelJobRuns("k")))
        await wait_for_hello(two)
        assert (await two.received.get()).body == CancelJobRuns("k")
        assert not one.task.done()

    with_peers(scenario)
