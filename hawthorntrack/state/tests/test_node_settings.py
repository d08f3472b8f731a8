"""Settings of a process on the platform give the times that its leases keep to."""

import re
from pathlib import Path

import pytest
import yaml

from hawthorntrack.state.lease_times import DeploymentTimes, derive_lease_times
from hawthorntrack.state.node_settings import NodeBody, parse_node_settings
from hawthorntrack.state.validation import InvalidInput

TEMPLATE = Path(__file__).parents[3] / "deploy" / "node.yaml"
BODY = {
    "node": "side-recife-1",
    "zone": "recife",
    "listen": {"peers": "10.1.0.13:7720"},
    "store": "10.200.1.7:8169",
}


def lease_times(**changes):
    return parse_node_settings({**BODY, **changes}, "node.yaml").lease_times


@pytest.mark.parametrize("empty", [None, 0])
def test_settings_without_the_deployments_times_give_the_usual_lease_times(empty):
    """A platform whose callers never submit again leaves their time empty."""
    assert lease_times() == derive_lease_times(DeploymentTimes())
    names = ("caller_retry_ms", "max_target_lease_ms", "stop_ms")
    changes = dict.fromkeys(names, empty)
    assert lease_times(**changes) == derive_lease_times(DeploymentTimes())


def test_lease_times_follow_from_the_deployments_times():
    """The time until a caller's retry was in the settings file and never read."""
    times = lease_times(caller_retry_ms=1_200.0, max_target_lease_ms=1_500, stop_ms=75)
    assert times == derive_lease_times(DeploymentTimes(1_200, 1_500, 75))
    gone_s = times.owner_lease_s + times.owner_lease_overrun_s + times.stop_duration_s
    assert gone_s < 1.2


@pytest.mark.parametrize(
    ("changes", "path", "expected_text"),
    [
        ({"caller_retry_ms": 960}, "caller_retry_ms", "use at least 967"),
        ({"stop_ms": 300}, "caller_retry_ms", "use at least 1467"),
        ({"stop_ms": -1}, "stop_ms", ">= 0"),
        ({"max_target_lease_ms": -1}, "max_target_lease_ms", ">= 0"),
        ({"caller_retry_ms": float("inf")}, "caller_retry_ms", "<= 600000"),
        ({"caller_retry_s": 1.3}, "caller_retry_s", "Use caller_retry_ms"),
    ],
)
def test_times_that_leave_no_time_for_heartbeats_are_refused(
    changes, path, expected_text
):
    with pytest.raises(InvalidInput) as caught:
        lease_times(**changes)
    assert caught.value.path == path
    assert expected_text in str(caught.value)


def test_deployment_passes_all_times_that_leases_keep_to():
    filled = re.sub(r"\{\{bounds\.(\w+)\|json\}\}", r"\1", TEMPLATE.read_text())
    filled = re.sub(r"\{\{.*?\}\}", "x", filled)
    body = yaml.safe_load(filled)
    assert set(body) <= set(NodeBody.__annotations__)
    assert (body["caller_retry_ms"], body["max_target_lease_ms"], body["stop_ms"]) == (
        "resend_ms",
        "hold_max_ms",
        "stop_ms",
    )
