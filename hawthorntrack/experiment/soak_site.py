"""A site of real processes on one machine, with a stand-in platform and relays."""

import asyncio
import itertools
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from hawthorntrack.experiment.model_site import SMALL_SITE
from hawthorntrack.experiment.model_target import ModelTarget
from hawthorntrack.experiment.relays import Relay
from hawthorntrack.platform.entry_http import READY_PATH
from hawthorntrack.platform.standins import StandInStore, TargetEndpoint
from hawthorntrack.state.catalogue import Catalogue, Queue, Service
from hawthorntrack.state.node_settings import MAX_GUARD_LINKS
from hawthorntrack.state.resources import Resources
from hawthorntrack.transport.http_server import HttpServer

ZONES = ("recife", "olinda", "jaboatao")
TARGET = Resources(16_000, 32_768)
SLOWNESS = (0.7, 0.7, 1.7)
GRACE_S = 6.0
START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05
HEALTH_CHECK_INTERVAL_S = 1.0
PORTS = {
    "peers": 7700,
    "callers": 7701,
    "balancer": 7702,
    "beats": 7703,
    "metrics": 7704,
    "target": 7705,
    "store": 7706,
}
# Each block uses two /16 networks from 127.30.0.0 on, for processes and for relays.
FIRST_NETWORK = 30
STORE, FIRST_ENTRY, FIRST_GUARD = 0, 1, 101  # host numbers of the addresses
# An entry instance gets no new connections after this many failed health checks.
MAX_FAILED_CHECKS = 2
HOST = "calls.example"


class SoakNode:
    """One production process, with its settings and its relays.

    Attributes
    ----------
    relays : dict of str to Relay
        ``peers`` (from the peers to this process), ``store`` and ``target`` (from this
        process).
    disturbed_at : float
        Time when the last fault of the process or its relays ended.
    stop_requested : bool
        Whether a terminating signal has been sent to the process.
    """

    def __init__(
        self, name: str, role: str, zone: str, relays: dict[str, Relay]
    ) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.relays = relays
        self.process: subprocess.Popen[bytes] | None = None
        self.disturbances = 0
        self.disturbed_at = 0.0
        self.stop_requested = False
        self.failed_checks = MAX_FAILED_CHECKS

    @property
    def alive(self) -> bool:
        """Return whether the process exists, running or suspended."""
        return self.process is not None and self.process.poll() is None

    @property
    def in_rotation(self) -> bool:
        """Return whether the load balancer sends new connections to the process."""
        return self.failed_checks < MAX_FAILED_CHECKS

    def begin_disturbance(self) -> None:
        """Record the start of a fault."""
        self.disturbances += 1

    def end_disturbance(self) -> None:
        """Record the end of a fault."""
        self.disturbances -= 1
        self.disturbed_at = time.monotonic()

    def fault_free_since(self, since: float) -> bool:
        """Return whether the process had no fault since a time."""
        return not self.disturbances and self.disturbed_at < since


class SoakSite:
    """Entry instances, guards, and a stand-in for the platform.

    Parameters
    ----------
    entries, guards : int
        Number of processes of each role.
    seed : int
        Seed of all random choices.
    block : int
        Number of the block of loopback addresses; concurrent sites need different ones.
    watcher : Any
        Object whose `on_run_started` and `on_run_ended` the targets call.
    max_guard_links : int
        Largest number of guards that an entry instance keeps links to.
    share_room : bool
        Whether the processes' settings let guards offer capacity to waiting tasks.
    """

    def __init__(
        self,
        entries: int,
        guards: int,
        seed: int,
        block: int,
        watcher: Any,
        max_guard_links: int = MAX_GUARD_LINKS,
        share_room: bool = True,
    ) -> None:
        self.max_guard_links = max_guard_links
        self.share_room = share_room
        self.rng = random.Random(seed)
        self.block = block
        self.watcher = watcher
        self.folder = Path(tempfile.mkdtemp(prefix="hawthorntrack-soak-"))
        self.store = StandInStore(self.rng)
        self.nodes: dict[str, SoakNode] = {}
        self.targets: list[ModelTarget] = []
        self.servers = [HttpServer(self.address(STORE, "store"), self.store.answer)]
        self.session: aiohttp.ClientSession | None = None
        self.version = 0
        self.store_disturbances = 0
        self.store_fault_ended_at = 0.0
        self.started_at = 0.0
        self.zones_out: dict[str, float] = {}
        self.extra_queue = ""
        self.queue_listener: Callable[[str, bool], None] = lambda name, added: None
        self.background: set[asyncio.Task] = set()
        for number in range(entries):
            self.add_node(f"entry{number}", "entry", number)
        for number in range(guards):
            self.add_node(f"guard{number}", "guard", number)

    def address(self, number: int, socket: str, proxied: bool = False) -> str:
        """Return a loopback address; each process and each relay has its own host."""
        network = FIRST_NETWORK + 2 * self.block + proxied
        return f"127.{network}.{number // 250}.{1 + number % 250}:{PORTS[socket]}"

    def number(self, name: str) -> int:
        """Return the host number of a process."""
        offset = FIRST_ENTRY if name.startswith("entry") else FIRST_GUARD
        return offset + int(name.lstrip("abcdefghijklmnopqrstuvwxyz"))

    def add_node(self, name: str, role: str, number: int) -> None:
        """Add a process, not started yet, and the relays to and from it."""
        own = self.number(name)
        destinations = {"peers": own, "store": STORE}
        if role == "guard":
            destinations["target"] = own
        relays = {
            relay_name: Relay(
                self.address(own, relay_name, proxied=True),
                self.address(destination, relay_name),
            )
            for relay_name, destination in destinations.items()
        }
        self.nodes[name] = SoakNode(name, role, ZONES[number % len(ZONES)], relays)

    def add_target(self, node: SoakNode, slowness: float) -> None:
        """Add the target beside a guard, and the HTTP server for its calls."""
        own = self.number(node.name)
        target = ModelTarget(
            f"t{own}",
            node.zone,
            TARGET,
            slowness,
            self.rng,
            self.watcher.on_run_started,
            self.watcher.on_run_ended,
        )
        relay = node.relays["target"]
        endpoint = TargetEndpoint(target, relay.listen, self.address(own, "beats"))
        endpoint.session = self.session
        self.targets.append(target)
        self.servers.append(HttpServer(relay.destination, endpoint.answer))

    def role(self, role: str) -> list[SoakNode]:
        """Return the nodes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def configure(self) -> None:
        """Publish a configuration with the usual queues and the extra queue."""
        self.version += self.rng.randint(1, 3)
        names = [kind.queue for kind in SMALL_SITE.kinds]
        names += [self.extra_queue] if self.extra_queue else []
        queues = tuple(
            Queue(name, HOST, f"/{name}/", "visits", 0.06, 0, 3, 1.6) for name in names
        )
        services = (Service("visits", True),)
        self.store.configure(Catalogue(self.version, queues, services))

    def change_queues(self) -> None:
        """Replace the extra queue by one with a new name."""
        before, self.extra_queue = self.extra_queue, f"extra{self.version}"
        self.configure()
        self.queue_listener(self.extra_queue, True)
        if before:
            self.queue_listener(before, False)

    def set_zone_out(self, zone: str, out: bool) -> None:
        """Take a zone out of service, or return it."""
        self.store.set_zone_out(zone, out)
        if out:
            self.zones_out.setdefault(zone, self.now())
        else:
            self.zones_out.pop(zone, None)

    def store_fault_free_since(self, since: float) -> bool:
        """Return whether the store had no fault since a time."""
        return not self.store_disturbances and self.store_fault_ended_at < since

    def now(self) -> float:
        """Return the monotonic time used by all faults and checks."""
        return time.monotonic()

    def write_settings(self, node: SoakNode) -> Path:
        """Write the settings file of a process."""
        own = self.number(node.name)
        listen = {
            "peers": self.address(own, "peers"),
            "advertised": node.relays["peers"].listen,
            "metrics": self.address(own, "metrics"),
        }
        if node.role == "entry":
            listen["callers"] = self.callers_address(node)
            listen["balancer"] = self.address(own, "balancer")
        else:
            listen["target"] = self.address(own, "beats")
        body = {
            "node": node.name,
            "zone": node.zone,
            "listen": listen,
            "store": node.relays["store"].listen,
            "seeds": [entry.relays["peers"].listen for entry in self.role("entry")],
            "grace_s": GRACE_S,
            "far_factor": 1.5,
            "max_guard_links": self.max_guard_links,
            "share_room": self.share_room,
        }
        path = self.folder / f"{node.name}.yaml"
        path.write_text(yaml.safe_dump(body, sort_keys=False))
        return path

    def callers_address(self, node: SoakNode) -> str:
        """Return the address where an entry instance accepts jobs."""
        return self.address(self.number(node.name), "callers")

    def spawn(self, node: SoakNode) -> None:
        """Start a process that logs to a file in the folder."""
        path = self.write_settings(node)
        node.stop_requested = False
        node.failed_checks = MAX_FAILED_CHECKS
        with open(self.folder / f"{node.name}.log", "ab") as log:
            node.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "hawthorntrack.daemon.noded",
                    node.role,
                    "--settings",
                    str(path),
                ],
                stdout=log,
                stderr=log,
            )

    def signal(self, node: SoakNode, number: int) -> None:
        """Send a signal to a process if it is alive."""
        if node.alive:
            node.stop_requested |= number in (signal.SIGTERM, signal.SIGKILL)
            node.process.send_signal(number)

    async def start(self) -> None:
        """Start all processes and wait until each entry instance is ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=HEALTH_CHECK_INTERVAL_S),
        )
        for node, slowness in zip(
            self.role("guard"), itertools.cycle(SLOWNESS), strict=False
        ):
            self.add_target(node, slowness)
        for server in self.servers:
            await server.start()
        self.configure()
        for node in self.nodes.values():
            for relay in node.relays.values():
                await relay.open()
            self.spawn(node)
        self.run_in_background(
            *(target.send_heartbeats() for target in self.targets),
            self.run_health_checks(),
        )
        limit = time.monotonic() + START_LIMIT_S
        while not all(node.in_rotation for node in self.role("entry")):
            if time.monotonic() > limit:
                raise TimeoutError(f"entry instances are not ready; {self.folder}")
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(2.0)  # each target sends at least one more heartbeat
        self.started_at = self.now()

    def run_in_background(self, *work: Any) -> None:
        """Run coroutines until the site is closed."""
        for item in work:
            task = asyncio.get_running_loop().create_task(item)
            self.background.add(task)
            task.add_done_callback(self.background.discard)

    async def run_health_checks(self) -> None:
        """Check the readiness of the entry instances periodically."""
        while True:
            await asyncio.gather(*map(self.check_ready, self.role("entry")))
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def check_ready(self, node: SoakNode) -> None:
        """Check one entry instance and count its consecutive failed checks."""
        url = f"http://{self.address(self.number(node.name), 'balancer')}{READY_PATH}"
        try:
            async with self.session.get(url) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        node.failed_checks = 0 if ready else node.failed_checks + 1

    async def stop(self) -> dict[str, int]:
        """Stop all processes gracefully; return the exit codes other than 0."""
        for node in self.nodes.values():
            self.signal(node, signal.SIGTERM)
        limit = time.monotonic() + 2 * GRACE_S
        while any(node.alive for node in self.nodes.values()):
            if time.monotonic() > limit:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        codes = {n.name: n.process.poll() for n in self.nodes.values() if n.process}
        return {name: code for name, code in codes.items() if code != 0}

    async def close(self) -> None:
        """Kill the remaining processes and close every socket."""
        for task in self.background:
            task.cancel()
        for node in self.nodes.values():
            if node.alive:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
            for relay in node.relays.values():
                await relay.close()
        for server in self.servers:
            await server.stop()
        if self.session is not None:
            await self.session.close()
