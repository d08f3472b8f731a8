"""Imports go one way through the layers."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ALLOWED = {
    "state": {"state"},
    "protocol": {"protocol", "state"},
    "transport": {"transport", "protocol", "state"},
    "coordination": {"coordination", "protocol", "state"},
}
SOCKET_LIBRARIES = {"aiohttp", "zmq"}


def imported(path: Path) -> set[str]:
    """Return the modules that a file imports."""
    nodes = list(ast.walk(ast.parse(path.read_text())))
    whole = {a.name for n in nodes if isinstance(n, ast.Import) for a in n.names}
    return whole | {n.module for n in nodes if isinstance(n, ast.ImportFrom)}


def sources(layer: str) -> list[Path]:
    """Return the files of a layer, without its tests."""
    return [p for p in (ROOT / layer).rglob("*.py") if "tests" not in p.parts]


@pytest.mark.parametrize("layer", sorted(ALLOWED))
def test_layer_imports_only_layers_below(layer):
    found = {
        module.split(".")[1]
        for path in sources(layer)
        for module in imported(path)
        if module and module.startswith("hawthorntrack.")
    }
    assert found <= ALLOWED[layer]


@pytest.mark.parametrize("layer", ["state", "protocol", "coordination"])
def test_only_transport_has_sockets(layer):
    found = {
        module.split(".")[0]
        for path in sources(layer)
        for module in imported(path)
        if module
    }
    assert not found & SOCKET_LIBRARIES


def test_decisions_know_no_codec():
    found = {m.split(".")[0] for p in sources("coordination") for m in imported(p) if m}
    assert not found & {"msgspec", "json", "yaml"}


WIRE_NAMES = (
    "/v1/",
    "run-start",
    "run-stop",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "blob-",
    "acked_upto",
    "fencing_token",
    "heartbeat_addr",
    "expected_rev",
    "set_keys",
    "now_ms",
    "path_prefix=",
    "target_latency_ms",
    "max_attempts_",
    "enforces_capacity",
    "best_effort",
    "mem_mb",
    "evacuate/",
    "Hawthorntrack-Deadline-Ms",
    "Hawthorntrack-Expected-Instance",
)
OWN_PATHS = re.compile(r"/v1/(services|table)")


def test_names_of_the_platform_stay_in_its_folder():
    found = {
        (str(path.relative_to(ROOT)), name)
        for path in ROOT.rglob("*.py")
        if "platform" not in path.parts and "tests" not in path.parts
        for name in WIRE_NAMES
        if name in OWN_PATHS.sub("", path.read_text())
    }
    assert found == set()


def test_adapter_decides_nothing():
    """Names, formats and calls: the adapter knows no decisions and keeps no time."""
    for path in sources("platform"):
        layers = {
            module.split(".")[1]
            for module in imported(path)
            if module and module.startswith("hawthorntrack.")
        }
        assert layers <= {"platform", "protocol", "state", "transport"}
