"""Load scenarios for comparing placement policies."""

from collections.abc import Callable

from hawthorntrack.experiment.layout import Deployment
from hawthorntrack.experiment.trace import (
    Event,
    Trace,
    arrival_rate_for_load,
    draw_jobs,
)
from hawthorntrack.state.registry import Registry

SIZE_RANGE_MS = (50.0, 1_000.0)
# Mean of sizes within that range that are uniformly distributed on a logarithmic scale.
MEAN_SIZE_MS = 317.0
TASKS_PER_JOB_RANGE = (1, 20)
MEAN_TASKS_PER_JOB = 10.5

Scenario = Callable[[Deployment, float, str, int], list[Event]]
scenarios: Registry[Scenario] = Registry("scenario")


def load(
    deployment: Deployment,
    share: float,
    start_s: float,
    seconds: float,
    prefix: str,
    seed: int,
    error: float = 1.0,
) -> list[Event]:
    """Return jobs that use a share of the capacity during a period."""
    body = {
        "at_ms": start_s * 1000,
        "seconds": seconds,
        "jobs_per_s": arrival_rate_for_load(
            deployment, share, MEAN_TASKS_PER_JOB, MEAN_SIZE_MS
        ),
        "tasks": TASKS_PER_JOB_RANGE,
        "size_ms": SIZE_RANGE_MS,
        "error": error,
        "prefix": prefix,
        "seed": seed,
        "customers": [max(deployment.customers, key=deployment.customers.get)],
        "deadline_ms": 20_000,
    }
    return list(draw_jobs(body))


def fault_all(deployment: Deployment, at_s: float, **fault: object) -> list[Event]:
    """Return events that set the same fault at every target."""
    names = [f"target{number}" for number in range(deployment.workers)]
    return [Event(at_s, "fault", {"process": name, **fault}) for name in names]


@scenarios.register("steady")
def steady(
    deployment: Deployment, seconds: float, prefix: str, seed: int
) -> list[Event]:
    """Return a load of 70% of the capacity, on targets of different speeds."""
    return load(deployment, 0.7, 0, seconds, prefix, seed)


@scenarios.register("wrong_sizes")
def wrong_sizes(
    deployment: Deployment, seconds: float, prefix: str, seed: int
) -> list[Event]:
    """Return a load of 70% with declared sizes up to four times too high or low."""
    return load(deployment, 0.7, 0, seconds, prefix, seed, error=4.0)


@scenarios.register("stragglers")
def stragglers(
    deployment: Deployment, seconds: float, prefix: str, seed: int
) -> list[Event]:
    """Return a load of 60% where one task in fifty runs five times as long."""
    return [
        *fault_all(deployment, 0, mode="straggle", share=0.02, factor=5.0),
        *load(deployment, 0.6, 0.1, seconds, prefix, seed),
        *fault_all(deployment, seconds + 0.1, mode="ok"),
    ]


@scenarios.register("burst")
def burst(
    deployment: Deployment, seconds: float, prefix: str, seed: int
) -> list[Event]:
    """Return a load of 50% with a burst to 90% in the middle third."""
    third = seconds / 3
    return [
        *load(deployment, 0.5, 0, seconds, prefix, seed),
        *load(deployment, 0.4, third, third, f"{prefix}-burst", seed + 1),
    ]


@scenarios.register("zone")
def zone_outage(
    deployment: Deployment, seconds: float, prefix: str, seed: int
) -> list[Event]:
    """Return a load of 50% with the second zone out of service in the middle third."""
    zone = deployment.zones[1]
    return [
        *load(deployment, 0.5, 0, seconds, prefix, seed),
        Event(seconds / 3, "zone_out", {"zone": zone}),
        Event(2 * seconds / 3, "zone_back", {"zone": zone}),
    ]


def scenario_trace(
    name: str,
    deployment_name: str,
    deployment: Deployment,
    seconds: float,
    prefix: str,
    seed: int,
) -> Trace:
    """Return the trace of a scenario."""
    events = scenarios[name](deployment, seconds, prefix, seed)
    header = {"trace": name, "deployment": deployment_name, "about": ""}
    ordered = sorted(events, key=lambda event: event.at_s)
    return Trace(header, tuple(ordered), ())
