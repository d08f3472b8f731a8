"""Imports go one way through the layers."""

import ast
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
