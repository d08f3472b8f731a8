"""Real processes on one machine, with the platform's side and lines between them."""

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
from hawthorntrack.experiment.relays import Line
from hawthorntrack.platform.entry_http import READY_PATH
from hawthorntrack.platform.standins import StandInStore, TargetEndpoint
from hawthorntrack.state.catalogue import Catalogue, Queue, Service
from hawthorntrack.state.resources import Resources
from hawthorntrack.transport.http_server import HttpServer

ZONES = ("recife", "olinda", "jaboatao")
TARGET = Resources(16_000, 32_768)
SLOWNESS = (0.7, 0.7, 1.7)
GRACE_S = 6.0
START_LIMIT_S = 30.0
LOOK_S = 0.05
BALANCER_S = 1.0  # between the balancer's questions
PORTS = {
    "peers": 7700,
    "callers": 7701,
    "balancer": 7702,
    "beats": 7703,
    "metrics": 7704,
    "target": 7705,
    "store": 7706,
}
FIRST_NETWORK = 30  # 127.30.0.0/16 and on: one network for processes, one for lines
STORE, FIRST_ENTRY, FIRST_GUARD = 0, 1, 101  # numbers that addresses go by
MISSES = 2  # after which an entry instance gets no new connections
HOST = "calls.example"


class SoakNode:
    """One process of the product, its settings and its lines.

    Attributes
    ----------
    lines : dict of str to Line
        ``peers`` (theirs to this process), ``store`` and ``target`` (this one's).
    disturbed_at : float
        When a fault of the process or its lines was last in force; infinite while
        one is.
    asked_to_end : bool
        Whether a signal that ends it has been sent.
    """

    def __init__(self, name: str, role: str, zone: str, lines: dict[str, Line]) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.lines = lines
        self.process: subprocess.Popen[bytes] | None = None
        self.disturbances = 0
        self.disturbed_at = 0.0
        self.asked_to_end = False
        self.misses = MISSES

    @property
    def alive(self) -> bool:
        """Return whether the process runs, or stands still."""
        return self.process is not None and self.process.poll() is None

    @property
    def in_rotation(self) -> bool:
        """Return whether the balancer sends it connections."""
        return self.misses < MISSES

    def begin_disturbance(self) -> None:
        """Note that a fault is in force."""
        self.disturbances += 1

    def end_disturbance(self) -> None:
        """Note that one fault is over."""
        self.disturbances -= 1
        self.disturbed_at = time.monotonic()

    def calm_since(self, begun: float) -> bool:
        """Return whether no fault was in force since a time."""
        return not self.disturbances and self.disturbed_at < begun


class SoakSite:
    """Entry instances, guards, and the platform around them.

    Parameters
    ----------
    entries, guards : int
        How many processes of each role.
    seed : int
        Of all chance in it.
    block : int
        Which loopback addresses are used; sites that run side by side differ.
    watcher : Any
        Has `run_began` and `run_ended`, which targets call.
    """

    def __init__(
        self, entries: int, guards: int, seed: int, block: int, watcher: Any
    ) -> None:
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
        self.store_calm_at = 0.0
        self.began_at = 0.0
        self.zones_out: dict[str, float] = {}
        self.extra_queue = ""
        self.on_queue: Callable[[str, bool], None] = lambda name, added: None
        self.background: set[asyncio.Task] = set()
        for number in range(entries):
            self.add_node(f"entry{number}", "entry", number)
        for number in range(guards):
            self.add_node(f"guard{number}", "guard", number)

    def address(self, number: int, socket: str, proxied: bool = False) -> str:
        """Return a loopback address: each process and line has its own host."""
        network = FIRST_NETWORK + 2 * self.block + proxied
        return f"127.{network}.{number // 250}.{1 + number % 250}:{PORTS[socket]}"

    def number(self, name: str) -> int:
        """Return the number that a process's addresses go by."""
        offset = FIRST_ENTRY if name.startswith("entry") else FIRST_GUARD
        return offset + int(name.lstrip("abcdefghijklmnopqrstuvwxyz"))

    def add_node(self, name: str, role: str, number: int) -> None:
        """Note a process and the lines to and from it."""
        own = self.number(name)
        ends = {"peers": own, "store": STORE}
        if role == "guard":
            ends["target"] = own
        lines = {
            way: Line(self.address(own, way, proxied=True), self.address(far, way))
            for way, far in ends.items()
        }
        self.nodes[name] = SoakNode(name, role, ZONES[number % len(ZONES)], lines)

    def add_target(self, node: SoakNode, slowness: float) -> None:
        """Make the target beside a guard, and its calls."""
        own = self.number(node.name)
        target = ModelTarget(
            f"t{own}",
            node.zone,
            TARGET,
            slowness,
            self.rng,
            self.watcher.run_began,
            self.watcher.run_ended,
        )
        line = node.lines["target"]
        face = TargetEndpoint(target, line.listen, self.address(own, "beats"))
        face.session = self.session
        self.targets.append(target)
        self.servers.append(HttpServer(line.to, face.answer))

    def role(self, role: str) -> list[SoakNode]:
        """Return the nodes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    # Configuration

    def configure(self) -> None:
        """Put a configuration with the usual queues and the extra one in force."""
        self.version += self.rng.randint(1, 3)
        names = [kind.queue for kind in SMALL_SITE.kinds]
        names += [self.extra_queue] if self.extra_queue else []
        queues = tuple(
            Queue(name, HOST, f"/{name}/", "visits", 0.06, 0, 3, 1.6) for name in names
        )
        services = (Service("visits", True),)
        self.store.configure(Catalogue(self.version, queues, services))

    def change_queues(self) -> None:
        """Add a queue of a new name in place of the one added before."""
        before, self.extra_queue = self.extra_queue, f"extra{self.version}"
        self.configure()
        self.on_queue(self.extra_queue, True)
        if before:
            self.on_queue(before, False)

    def zone_out(self, zone: str, out: bool) -> None:
        """Take a zone out of service, or back."""
        self.store.set_zone_out(zone, out)
        if out:
            self.zones_out.setdefault(zone, self.now())
        else:
            self.zones_out.pop(zone, None)

    def store_calm_since(self, begun: float) -> bool:
        """Return whether the store had no fault since a time."""
        return not self.store_disturbances and self.store_calm_at < begun

    def now(self) -> float:
        """Return the time that all faults and checks go by."""
        return time.monotonic()

    # Processes

    def write_settings(self, node: SoakNode) -> Path:
        """Write a process's settings file."""
        own = self.number(node.name)
        listen = {
            "peers": self.address(own, "peers"),
            "advertised": node.lines["peers"].listen,
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
            "store": node.lines["store"].listen,
            "seeds": [entry.lines["peers"].listen for entry in self.role("entry")],
            "grace_s": GRACE_S,
            "far_factor": 1.5,
        }
        path = self.folder / f"{node.name}.yaml"
        path.write_text(yaml.safe_dump(body, sort_keys=False))
        return path

    def callers_address(self, node: SoakNode) -> str:
        """Return where an entry instance takes jobs."""
        return self.address(self.number(node.name), "callers")

    def spawn(self, node: SoakNode) -> None:
        """Start a process; its log goes to a file in the folder."""
        path = self.write_settings(node)
        node.asked_to_end = False
        node.misses = MISSES
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
        """Send a signal to a process of this site."""
        if node.alive:
            node.asked_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
            node.process.send_signal(number)

    async def start(self) -> None:
        """Start everything and wait until each entry instance takes jobs."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=BALANCER_S),
        )
        for node, slowness in zip(
            self.role("guard"), itertools.cycle(SLOWNESS), strict=False
        ):
            self.add_target(node, slowness)
        for server in self.servers:
            await server.start()
        self.configure()
        for node in self.nodes.values():
            for line in node.lines.values():
                await line.open()
            self.spawn(node)
        self.run_beside(*(target.beat() for target in self.targets), self.balance())
        limit = time.monotonic() + START_LIMIT_S
        while not all(node.in_rotation for node in self.role("entry")):
            if time.monotonic() > limit:
                raise TimeoutError(f"entry instances are not ready; {self.folder}")
            await asyncio.sleep(LOOK_S)
        await asyncio.sleep(2.0)  # for each target to announce itself once more
        self.began_at = self.now()

    def run_beside(self, *work: Any) -> None:
        """Run things until the site is closed."""
        for item in work:
            task = asyncio.get_running_loop().create_task(item)
            self.background.add(task)
            task.add_done_callback(self.background.discard)

    async def balance(self) -> None:
        """Ask each entry instance again and again whether it is ready."""
        while True:
            await asyncio.gather(*map(self.ask_ready, self.role("entry")))
            await asyncio.sleep(BALANCER_S)

    async def ask_ready(self, node: SoakNode) -> None:
        """Count the misses of one entry instance."""
        url = f"http://{self.address(self.number(node.name), 'balancer')}{READY_PATH}"
        try:
            async with self.session.get(url) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        node.misses = 0 if ready else node.misses + 1

    async def stop(self) -> dict[str, int]:
        """Stop all processes gracefully; return the codes of those that failed."""
        for node in self.nodes.values():
            self.signal(node, signal.SIGTERM)
        limit = time.monotonic() + 2 * GRACE_S
        while any(node.alive for node in self.nodes.values()):
            if time.monotonic() > limit:
                break
            await asyncio.sleep(LOOK_S)
        codes = {n.name: n.process.poll() for n in self.nodes.values() if n.process}
        return {name: code for name, code in codes.items() if code != 0}

    async def close(self) -> None:
        """End what still runs, and close every socket."""
        for task in self.background:
            task.cancel()
        for node in self.nodes.values():
            if node.alive:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
            for line in node.lines.values():
                await line.close()
        for server in self.servers:
            await server.stop()
        if self.session is not None:
            await self.session.close()
