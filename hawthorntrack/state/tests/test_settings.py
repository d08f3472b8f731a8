"""Invalid settings and documents are refused with the key path and a remedy."""

import socket

import pytest
import yaml

from hawthorntrack.coordination.membership import witness_rules
from hawthorntrack.coordination.placement import policies
from hawthorntrack.experiment.layout import (
    Ports,
    deployments,
    document_body,
    settings_body,
)
from hawthorntrack.state.documents import check_document
from hawthorntrack.state.settings import load_settings, parse_settings
from hawthorntrack.state.validation import InvalidInput, load_yaml


@pytest.fixture
def body(base_port):
    return settings_body(deployments["jardim"], Ports(base_port + 1_500), 0, "-", {})


@pytest.fixture
def document_data():
    return document_body(deployments["jardim"])


def without_key(data, key):
    return {name: item for name, item in data.items() if name != key}


@pytest.mark.parametrize(
    ("change", "path", "expected_text"),
    [
        ({"colour": "red"}, "colour", "Known keys"),
        ({"timing": {"poll_interval_s": 1}}, "timing.poll_interval_s", "_ms"),
        ({"timing": {"pol_interval_ms": 1}}, "timing.pol_interval_ms", "mean poll"),
        ({"timing": {"poll_interval_ms": "1s"}}, "timing.poll_interval_ms", "int"),
        ({"environment": "staging"}, "environment", "trial, production"),
        ({"listen": {"bus": "localhost:1", "http": "::1"}}, "listen.bus", "IP number"),
        ({"timing": {"pair_silence_ms": 300}}, "timing.pair_silence_ms", "three times"),
        ({"timing": {"freshness_ms": 1500}}, "timing.freshness_ms", "outage"),
        ({"listen": {"bus": "::1:7101", "http": "::1"}}, "listen.bus", "[::1]:7101"),
        ({"listen": {"bus": "[1]:7101", "http": "::1"}}, "listen.bus", "IP number"),
        ({"table": {"url": "127.0.0.1:7100"}}, "table.url", "scheme"),
        ({"table": {"url": "http://127..0.9:7100"}}, "table.url", "scheme"),
        ({"table": {"url": "http://[::ffff:127..0.9]:1"}}, "table.url", "scheme"),
        ({"table": {"url": "http://127.0.0.1:65536"}}, "table.url", "scheme"),
        ({"slots": 0}, "slots", ">= 1"),
        ({"routes": {"127.0.0.1:1": "far"}}, "routes.127.0.0.1:1", "IP number"),
    ],
)
def test_invalid_settings_are_refused_with_path_and_remedy(
    body, change, path, expected_text
):
    with pytest.raises(InvalidInput) as caught:
        parse_settings({**body, **change}, "guard.yaml")
    assert caught.value.path == path
    assert expected_text in str(caught.value)


def test_missing_zone_is_refused_by_name(body):
    with pytest.raises(InvalidInput, match="zone"):
        parse_settings(without_key(body, "zone"), "guard.yaml")


def test_port_in_use_is_refused_with_its_key_path(body, tmp_path):
    path = tmp_path / "guard.yaml"
    path.write_text(yaml.safe_dump(body))
    with socket.socket() as occupying_socket:
        host, port = body["listen"]["bus"].split(":")
        occupying_socket.bind((host, int(port)))
        occupying_socket.listen()
        with pytest.raises(InvalidInput) as caught:
            load_settings(str(path))
    assert caught.value.path == "listen.bus"


@pytest.mark.parametrize("text", ["a: [", "\x00"])
def test_file_that_is_not_yaml_is_refused(text, tmp_path):
    path = tmp_path / "guard.yaml"
    path.write_text(text)
    with pytest.raises(InvalidInput, match="not valid YAML"):
        load_settings(str(path))


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"policy": "guess"}, "policy"),
        ({"witness": "anywhere"}, "witness"),
        ({"customers": {"a": {"max_tasks": 1}}}, "customers"),
        ({"retention_s": 60}, "retention_s"),
        ({"deadlines": {"default_ms": 9, "max_ms": 8}}, "deadlines.default_ms"),
        ({"limits": {"queued_tasks": 1}}, "limits"),
        ({"customers": {"default": {"max_task": 1}}}, "customers.default.max_task"),
    ],
)
def test_invalid_document_is_refused_with_its_key_path(document_data, change, path):
    with pytest.raises(InvalidInput) as caught:
        check_document(
            {**document_data, **change},
            "visits.yaml",
            policies.names(),
            witness_rules.names(),
        )
    assert caught.value.path == path


@pytest.mark.parametrize(
    "content",
    [b"node: \xff", b"since: 2026-13-45", b"[" * 100_000],
    ids=["no_utf8", "no_date", "nested"],
)
def test_settings_file_that_cannot_be_decoded_is_refused(tmp_path, content):
    """Such a file used to raise an error that a reload does not handle."""
    path = tmp_path / "node.yaml"
    path.write_bytes(content)
    with pytest.raises(InvalidInput, match="not valid YAML"):
        load_yaml(str(path))
