"""Addresses that other programs garbled must not end a process that connects to them.

Seen: the address ``[::ffff:127..0.9]:8080`` in a heartbeat passed the check of
addresses. The resolver raised `UnicodeError`, which no client expected, and the guard's
process ended each time.
"""

import asyncio
import ipaddress
import socket
from contextlib import suppress

import aiohttp
from aiohttp import web
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from hawthorntrack.platform.store import PlatformStore
from hawthorntrack.platform.targets import HeartbeatHandler, TargetCalls
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.run_messages import Hello
from hawthorntrack.protocol.target_messages import (
    RenewLeaseOrder,
    StartOrder,
    StopOrder,
    TargetAddress,
)
from hawthorntrack.state.addresses import split_address
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, labelled
from hawthorntrack.state.plans import RunName, TargetIncarnation, TargetState, TaskName
from hawthorntrack.state.store import StoreUnavailable
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.streams import StreamBus

NAME = RunName(TaskName("5c0e7a21d94b36f8", 0, 0, 3), 2)
HOST_CHARACTERS = "0159afAFnx.:[]-_% \0\u00e9\u0668"
HOSTS = st.one_of(
    st.text(HOST_CHARACTERS, max_size=70),
    st.text("01fF.:", max_size=70).map("[{}]".format),
    st.text("019.", max_size=20),
    st.from_regex(r"(xn--)?[a-z0-9-]{0,70}(\.[a-z0-9-]{0,70}){0,3}", fullmatch=True),
)
PORTS = st.one_of(st.integers(-1, 70_000).map(str), st.text("0129.-", max_size=6))


async def outcomes_of_orders(address):
    """Return the outcomes of a start, a stop and a renewal at an address."""
    calls = TargetCalls(Mailbox("replies"))
    running = asyncio.create_task(calls.run())
    target = TargetAddress(TargetIncarnation("i-1", 7), address)
    orders = (
        StartOrder(target, NAME, "text", 900, 50),
        StopOrder(target, NAME, 50),
        RenewLeaseOrder(target, None, 50, 0, 0.0, 0.0),
    )
    try:
        outcomes = []
        for order in orders:
            calls.mailbox.put(order)
            reply = asyncio.create_task(calls.replies.get())
            await asyncio.wait((reply, running), return_when=asyncio.FIRST_COMPLETED)
            if running.done():
                running.result()
            outcomes.append(reply.result().outcome)
        return outcomes
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def dial(address):
    """Connect to an address as to a peer; return the link, or None."""
    me = Incarnation("127.0.0.1:1", "n1")
    hello = Hello("guard", "recife", "side-1")
    bus = StreamBus(me, me.address, hello, codecs["msgpack"], lambda envelope: None)
    return await bus.dial(address)


async def read_store(address):
    """Return the outcome of a read of the store at an address."""
    store = PlatformStore(address)
    try:
        return await store.read("op")
    finally:
        await store.close()


def refuse_to_resolve(host, *_, **__):
    """Encode a host as the resolver does, and find no address for it."""
    host.encode("idna")
    raise socket.gaierror(socket.EAI_NONAME, "Name or service not known")


def is_on_another_machine(address):
    """Return whether an accepted address has an IP number outside of loopback."""
    host, _ = split_address(address)
    with suppress(ValueError):
        return not ipaddress.ip_address(host).is_loopback
    return False


@settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(host=HOSTS, port=PORTS)
@example(host="[::ffff:127..0.9]", port="8080")
def test_accepted_address_never_ends_the_client_that_connects(monkeypatch, host, port):
    address = f"{host}:{port}"
    try:
        if is_on_another_machine(address):
            return
    except ValueError:
        return

    async def scenario():
        await outcomes_of_orders(address)
        await dial(address)
        await read_store(address)

    with monkeypatch.context() as patch:
        patch.setattr(socket, "getaddrinfo", refuse_to_resolve)
        asyncio.run(scenario())


def test_orders_to_an_unencodable_address_are_unanswered(unencodable_address):
    counter = labelled(BAD_INPUT, "target", "address")
    before = counter._value.get()
    outcomes = asyncio.run(outcomes_of_orders(unencodable_address))
    assert set(outcomes) <= {"unanswered", "unsent"}
    assert counter._value.get() - before == outcomes.count("unanswered")


def test_unencodable_address_of_the_store_counts_as_unavailable(unencodable_address):
    outcome = asyncio.run(read_store(unencodable_address))
    assert isinstance(outcome, StoreUnavailable)


def test_heartbeat_with_a_garbled_address_does_not_end_the_guards_calls(
    with_server, heartbeat, odd_address
):
    events = Mailbox("events")

    async def scenario(address):
        url = f"http://{address}/v1/executors/other-1"
        body = heartbeat | {"address": odd_address}
        for field in ("version", "slots", "cold_remaining_ms", "labels"):
            del body[field]
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, json=body) as response,
        ):
            assert response.status == 200
        state = (await events.get()).state
        if isinstance(state, TargetState):
            await outcomes_of_orders(state.address)

    with_server(HeartbeatHandler(events).answer, scenario)


def test_redirection_of_an_order_is_not_followed(with_server):
    """The address in it may be garbled, and the order is for one target alone."""
    paths = []

    async def redirect(request):
        paths.append(request.path)
        return web.Response(status=307, headers={"Location": "/elsewhere"})

    outcomes = with_server(redirect, outcomes_of_orders)
    assert outcomes == ["unanswered"] * 3
    assert "/elsewhere" not in paths
