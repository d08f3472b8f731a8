"""Tests of the dependencies between layers, and of where outer names may be used."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ALLOWED_LAYERS = {
    "state": {"state"},
    "protocol": {"protocol", "state"},
    "transport": {"transport", "protocol", "state"},
    "coordination": {"coordination", "protocol", "state"},
}
SOCKET_LIBRARIES = {"aiohttp", "zmq"}


def imported_modules(path: Path) -> set[str]:
    """Return the names of the modules that a file imports."""
    nodes = list(ast.walk(ast.parse(path.read_text())))
    modules = {
        alias.name
        for node in nodes
        if isinstance(node, ast.Import)
        for alias in node.names
    }
    return modules | {node.module for node in nodes if isinstance(node, ast.ImportFrom)}


def source_files(layer: str) -> list[Path]:
    """Return the files of a layer, without its tests."""
    return [path for path in (ROOT / layer).rglob("*.py") if "tests" not in path.parts]


@pytest.mark.parametrize("layer", sorted(ALLOWED_LAYERS))
def test_layer_imports_only_layers_below(layer):
    layers = {
        module.split(".")[1]
        for path in source_files(layer)
        for module in imported_modules(path)
        if module and module.startswith("hawthorntrack.")
    }
    assert layers <= ALLOWED_LAYERS[layer]


@pytest.mark.parametrize("layer", ["state", "protocol", "coordination"])
def test_only_transport_imports_socket_libraries(layer):
    libraries = {
        module.split(".")[0]
        for path in source_files(layer)
        for module in imported_modules(path)
        if module
    }
    assert not libraries & SOCKET_LIBRARIES


def test_coordination_imports_no_codec():
    libraries = {
        module.split(".")[0]
        for path in source_files("coordination")
        for module in imported_modules(path)
        if module
    }
    assert not libraries & {"msgspec", "json", "yaml"}


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


def test_wire_names_of_the_platform_are_used_only_in_its_package():
    uses = {
        (str(path.relative_to(ROOT)), name)
        for path in ROOT.rglob("*.py")
        if "platform" not in path.parts and "tests" not in path.parts
        for name in WIRE_NAMES
        if name in OWN_PATHS.sub("", path.read_text())
    }
    assert uses == set()


def test_platform_adapter_does_not_import_decisions():
    """The adapter has only names, formats and calls: no decisions and no timing."""
    for path in source_files("platform"):
        layers = {
            module.split(".")[1]
            for module in imported_modules(path)
            if module and module.startswith("hawthorntrack.")
        }
        assert layers <= {"platform", "protocol", "state", "transport"}
