"""Deployments of the two users, laid out as processes on one machine."""

from typing import Any, NamedTuple

from hawthorntrack.state.documents import DocumentBody
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Location

HOST = "127.0.0.1"
WORKERS_PER_RACK = 3
PORTS_PER_KIND = 400


class Ports(NamedTuple):
    """Addresses of the processes of a deployment, derived from one base port."""

    base: int

    def table(self) -> str:
        """Return the address of the table."""
        return f"{HOST}:{self.base}"

    def bus(self, number: int) -> str:
        """Return the bus address of a process; guards are numbered before entries."""
        return f"{HOST}:{self.base + 1 + number}"

    def http(self, number: int) -> str:
        """Return the HTTP address of a process."""
        return f"{HOST}:{self.base + PORTS_PER_KIND + number}"

    def relays(self) -> int:
        """Return the first port of the relays between processes."""
        return self.base + 3 * PORTS_PER_KIND

    def target(self, number: int) -> str:
        """Return the address of a target."""
        return f"{HOST}:{self.base + 2 * PORTS_PER_KIND + number}"


class Deployment(NamedTuple):
    """The size and configuration of a deployment on one machine.

    Attributes
    ----------
    speeds : tuple of float
        Speeds of the targets, assigned in turn: 1 runs a task in its true run time.
    """

    service: str
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    workers: int
    slots: int
    connections: int
    entries: int
    speeds: tuple[float, ...]
    customers: dict[str, int]


deployments: Registry[Deployment] = Registry("deployment")

deployments.register("jardim")(
    Deployment(
        service="visits",
        kinds=("confirm", "reroute", "check"),
        zones=("recife", "olinda", "jaboatao"),
        workers=11,
        slots=8,
        connections=64,
        entries=2,
        speeds=(1.0, 0.8, 1.25),
        customers={"default": 400, "jardim": 2_000},
    )
)
deployments.register("liegewerk")(
    Deployment(
        service="bookings",
        kinds=("availability", "reserve", "delivery", "quote"),
        zones=("bern", "olten", "aarau"),
        workers=11,
        slots=8,
        connections=64,
        entries=2,
        speeds=(1.0, 1.0, 0.7),
        customers={"default": 400, "liegewerk": 2_000},
    )
)


def place_of(deployment: Deployment, number: int) -> Location:
    """Return the location of a worker: three per rack, racks spread over zones."""
    rack = number // WORKERS_PER_RACK
    zone = deployment.zones[rack % len(deployment.zones)]
    return Location(zone, f"{zone}-r{rack}", f"w{number:03d}")


def settings_body(
    deployment: Deployment,
    ports: Ports,
    number: int,
    log: str,
    changes: dict[str, Any],
) -> dict[str, Any]:
    """Return the settings of one process, in the form of its YAML file."""
    place = place_of(deployment, number % deployment.workers)
    return {
        "environment": "production",
        "zone": place.zone,
        "rack": place.rack,
        "worker": place.worker,
        "listen": {"bus": ports.bus(number), "http": ports.http(number)},
        "table": {"url": f"http://{ports.table()}", "timeout_ms": 1000},
        "slots": 32,
        "seed": number + 1,
        "log": log,
        **changes,
    }


def document_body(
    deployment: Deployment, policy: str = "expected_finish"
) -> DocumentBody:
    """Return the service document of a deployment."""
    return {
        "service": deployment.service,
        "deadlines": {"default_ms": 5_000, "max_ms": 60_000},
        "retries": {"max_attempts": 20, "budget_ratio": 0.2},
        "limits": {
            "queued_tasks": 4_000,
            "guard_queue": 12,
            "remembered_keys": 200_000,
        },
        "customers": {
            name: {"max_tasks": tasks} for name, tasks in deployment.customers.items()
        },
        "retention_s": 600,
        "policy": policy,
        "witness": "other_zone",
    }
