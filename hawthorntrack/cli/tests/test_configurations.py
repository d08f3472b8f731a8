"""The check of a configuration before it is sent, as a command."""

import json

import pytest
from click.testing import CliRunner

from hawthorntrack.cli.main import main

QUICK = {
    "name": "quick",
    "hostname": "calls.example",
    "path_prefix": "/quick/",
    "service": "visits",
    "target_latency_ms": 62,
    "stretch": 1.6,
    "max_attempts": 3,
}
IN_FORCE = {"version": 7, "services": [{"name": "visits"}], "routes": [QUICK]}


@pytest.fixture
def check(tmp_path):
    """Return a function that checks a configuration and returns code and output."""

    def run(body, in_force=None):
        words = ["--json", "configuration", "check"]
        for number, item in enumerate([body] if in_force is None else [body, in_force]):
            path = tmp_path / f"{number}.json"
            path.write_bytes(
                item if isinstance(item, bytes) else json.dumps(item).encode()
            )
            words += ["--against", str(path)] if number else [str(path)]
        result = CliRunner().invoke(main, words)
        return result.exit_code, json.loads(result.output)

    return run


def test_faultless_configuration_passes(check):
    """A check that reports what is in order would be left out by operators."""
    assert check(IN_FORCE) == (0, {"ok": True, "findings": [], "differences": []})


def test_error_gives_exit_code_2_and_names_the_queue(check):
    """A script that sends the file after the check would send a hidden queue."""
    hidden = QUICK | {"name": "second"}
    code, output = check(IN_FORCE | {"routes": [QUICK, hidden]})
    assert code == 2 and not output["ok"]
    (finding,) = output["findings"]
    assert (finding["check"], finding["subject"]) == ("hidden_queue", "queue second")


def test_misspelt_field_is_reported_and_its_default_shown_as_a_difference(check):
    """The decoder ignores a misspelt field, and its default silently takes effect."""
    misspelt = {k: v for k, v in QUICK.items() if k != "max_attempts"}
    misspelt["max_attempt"] = 3
    code, output = check(IN_FORCE | {"version": 8, "routes": [misspelt]}, IN_FORCE)
    assert code == 0
    assert [f["subject"] for f in output["findings"]] == ["routes[0].max_attempt"]
    assert {
        "subject": "queue quick",
        "field": "max_attempts",
        "before": 3,
        "after": 1,
    } in (output["differences"])


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b'{"version": -1}', b'{"version": 1, "routes": [{"name": "a"}]}'],
)
def test_file_that_processes_would_not_accept_is_refused(check, body):
    """Processes keep the configuration in force, and operators would not learn why."""
    code, output = check(body)
    assert (code, output["error"]) == (2, "malformed_configuration")
    assert check(IN_FORCE, body)[0] == 2


def test_missing_file_is_reported(tmp_path):
    """A traceback would hide that the path is wrong."""
    words = ["--json", "configuration", "check", str(tmp_path / "none.json")]
    result = CliRunner().invoke(main, words)
    assert result.exit_code == 2
    assert json.loads(result.output)["error"] == "unreadable_file"
