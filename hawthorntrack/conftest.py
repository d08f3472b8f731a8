"""Pytest fixtures shared by the tests of all layers."""

import os
import random
import socket
from collections.abc import Callable, Iterator
from typing import Any

import looptime
import pytest

from hawthorntrack.experiment.layout import Ports, deployments, document_body
from hawthorntrack.state.documents import Document, document_from_body
from hawthorntrack.state.settings import Settings, parse_settings
from hawthorntrack.state.values import (
    Incarnation,
    JobSpec,
    Location,
    TargetLoad,
    TaskSpec,
)

SEED = 20_261_204
FIRST_PORT = 18_000
# Each pytest-xdist process has its own range, so that test files that run in
# parallel never share a port.
PORTS_PER_TEST_PROCESS = 2_000
NESTING_DEPTH = 100_000
NESTED = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH

MALFORMED_DOCUMENTS = {
    "empty": b"",
    "null": b"null",
    "list": b"[]",
    "cut": b'{"seq":',
    "no_utf8": b"\xff\xfe",
    "nested": NESTED,
    "nested_in_a_skipped_field": b'{"more":' + NESTED + b"}",
}
INVALID_ADDRESSES = {
    "port_0": "10.0.0.2:0",
    "port_65536": "10.0.0.2:65536",
    "port_99999": "10.0.0.2:99999",
    "port_negative": "10.0.0.2:-1",
    "port_beyond_64_bits": "10.0.0.2:18446744073709551616",
    "port_of_letters": "10.0.0.2:http",
    "port_of_other_digits": "10.0.0.2:\u0668\u0660",
    "no_port": "10.0.0.2",
    "empty": "",
    "only_a_colon": ":",
    "null_character": "a\0b:80",
    "long_label": "x" * 100 + ":80",
    "not_ascii": "\u00e9" * 80 + ":80",
    "path": "10.0.0.2/x:80",
    "garbled_ipv6": "[::ffff:127..0.9]:8080",
    "empty_labels_in_brackets": "[..]:80",
    "long_label_in_brackets": "[" + "a" * 64 + "]:80",
    "number_in_brackets": "[1]:80",
    "scope_in_brackets": "[fe80::1%lo]:80",
    "ipv6_without_brackets": "::1:80",
    "garbled_ipv4": "127.0.0:80",
    "ipv4_out_of_range": "999.0.0.1:80",
    "only_a_hyphen": "-:80",
}
# Hosts for which the resolver raises UnicodeError, and a port for which it raises
# OverflowError.
UNENCODABLE_ADDRESSES = {
    "garbled_ipv6": "[::ffff:127..0.9]:8080",
    "empty_label": "127..0.9:80",
    "port_65536": "127.0.0.1:65536",
}


@pytest.fixture
def run() -> Iterator[Callable[[Any], Any]]:
    """Return a function that runs a coroutine on an event loop with simulated time.

    The loop advances its clock to the next timer instead of waiting for it.
    """
    loop = looptime.new_event_loop(start=1_000.0)
    yield loop.run_until_complete
    loop.close()


@pytest.fixture(scope="session")
def base_port() -> int:
    """Return the first port of the range reserved for this test process."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    return FIRST_PORT + PORTS_PER_TEST_PROCESS * int(worker)


@pytest.fixture
def free_address() -> Callable[[], str]:
    """Return a function that finds an unused loopback address."""

    def find() -> str:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{probe.getsockname()[1]}"

    return find


@pytest.fixture
def rng() -> random.Random:
    """Return a random number generator with a fixed seed."""
    return random.Random(SEED)


@pytest.fixture
def document() -> Document:
    """Return the service document of ``visits`` at version 1."""
    return document_from_body(document_body(deployments["jardim"]), 1)


@pytest.fixture
def settings(base_port: int) -> Settings:
    """Return the settings of a guard with four slots."""
    return parse_settings(
        {
            "environment": "production",
            "zone": "recife",
            "rack": "recife-r0",
            "worker": "w000",
            "listen": {
                "bus": Ports(base_port + 1_500).bus(0),
                "http": Ports(base_port + 1_500).http(0),
            },
            "table": {"url": f"http://{Ports(base_port + 1_500).table()}"},
            "slots": 4,
        },
        "test",
    )


@pytest.fixture
def guards() -> list[Incarnation]:
    """Return the incarnations of four guards."""
    return [Incarnation(f"127.0.0.1:{31_001 + n}", f"n{n}") for n in range(4)]


@pytest.fixture
def places() -> list[Location]:
    """Return the locations of those guards: two racks of one zone, then two zones."""
    return [
        Location("recife", "recife-r0", "w0"),
        Location("recife", "recife-r1", "w1"),
        Location("olinda", "olinda-r2", "w2"),
        Location("jaboatao", "jaboatao-r3", "w3"),
    ]


@pytest.fixture
def make_job() -> Callable[..., JobSpec]:
    """Return a function that makes a job with a given number of tasks."""

    def make(key: str = "k", tasks: int = 2, **changes: Any) -> JobSpec:
        spec = TaskSpec("confirm", b"null", 100)
        job = JobSpec(key, b"d", "visits", "jardim", (spec,) * tasks, False, 4_000)
        return job._replace(**changes)

    return make


@pytest.fixture
def load() -> TargetLoad:
    """Return the load of an idle target."""
    return TargetLoad("visits", ("confirm", "reroute", "check"), 8, 0, 0, 1.0)


@pytest.fixture(params=MALFORMED_DOCUMENTS.values(), ids=MALFORMED_DOCUMENTS)
def odd_document(request: pytest.FixtureRequest) -> bytes:
    """Return a malformed or unexpected JSON body."""
    return request.param


@pytest.fixture(params=INVALID_ADDRESSES.values(), ids=INVALID_ADDRESSES)
def odd_address(request: pytest.FixtureRequest) -> str:
    """Return a text that is not a valid ``host:port`` address."""
    return request.param


@pytest.fixture(params=UNENCODABLE_ADDRESSES.values(), ids=UNENCODABLE_ADDRESSES)
def unencodable_address(request: pytest.FixtureRequest) -> str:
    """Return an address for which connecting raises no network error."""
    return request.param


LONG_RUNNING = ("test_processes.py", "test_searches.py", "test_tool.py")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the long test files first, so that none starts near the end of the run."""

    def file_order(item: pytest.Item) -> int:
        name = item.path.name
        return LONG_RUNNING.index(name) if name in LONG_RUNNING else len(LONG_RUNNING)

    items.sort(key=file_order)
