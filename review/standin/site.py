"""A small deployment of the project's own programs on loopback addresses."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp

from hawthorntrack.platform.standins import StandInStore
from hawthorntrack.transport.http_server import HttpServer
from review.standin.executor import Executor
from review.standin.links import Cuts, Link

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("recife", "olinda", "jaboatao")
PORTS = {"peers": 7720, "front": 8161, "ready": 8167, "control": 8166, "app": 8080}
LINK_PORT = 7735
STORE_PORT = 8169
START_LIMIT_S = 40.0
BOUNDS = {"grace_s": 6, "remote_factor": 1.5, "resend_ms": 1300}
BOUNDS |= {"hold_max_ms": 1000, "stop_ms": 50}
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as DEPLOY.md says; sections aren't used here."""

    def value_of(match: re.Match[str]) -> str:
        path, _, form = match.group(1).partition("|")
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return "null" if form == "json" else ""
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, template)


class Node:
    """One process of the system."""

    def __init__(self, name: str, role: str, zone: str, host: str) -> None:
        self.name, self.role, self.zone, self.host = name, role, zone, host
        self.process: subprocess.Popen[bytes] | None = None
        self.link: Link | None = None

    def at(self, port: str) -> str:
        """Return one of its addresses."""
        return f"{self.host}:{PORTS[port]}"


class Site:
    """Entry instances, guards, an executor beside each, and the platform's store.

    Parameters
    ----------
    folder : Path
        Folder of the case, where `record.txt` is written.
    with_links : bool
        Whether the processes reach each other through links that can be cut.
    """

    def __init__(
        self, folder: Path, entries: int, guards: int, with_links: bool = False
    ) -> None:
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.record = open(folder / "record.txt", "w", buffering=1)
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))
        self.block = self.free_block()
        self.jobs: dict[str, dict[str, Any]] = {}
        self.events: list[tuple[float, str, dict[str, Any]]] = []
        self.cuts = Cuts()
        self.store = StandInStore(random.Random(1))
        self.store_server = HttpServer(
            f"{self.host(1)}:{STORE_PORT}", self.store.answer
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.nodes: dict[str, Node] = {}
        self.executors: dict[str, Executor] = {}
        for number in range(entries):
            zone = ZONES[number % 3]
            self.add(Node(f"entry{number}", "entry", zone, self.host(10 + number)))
        for number in range(guards):
            zone = ZONES[number % 3]
            node = Node(f"guard{number}", "guard", zone, self.host(50 + number))
            self.add(node)
            self.executors[node.name] = Executor(
                f"i-{number:08x}",
                node.at("app"),
                node.at("control"),
                zone,
                ("a", f"r{number // 3}"),
                self.need_of,
                self.note,
            )
        if with_links:
            for node in self.nodes.values():
                listen = f"{node.host}:{LINK_PORT}"
                node.link = Link(listen, node.at("peers"), self.cuts)
                self.cuts.addresses.append(listen)
        self.session: aiohttp.ClientSession | None = None

    def successor_of(self, guard: str, labels: tuple[str, ...]) -> Executor:
        """Return a new executor, not started yet, beside the one at a guard."""
        node, old = self.nodes[guard], self.executors[guard]
        name = f"i-{random.getrandbits(32):08x}"
        address = f"{node.host}:{PORTS['app'] + 1}"
        control, zone = old.control, old.zone
        return Executor(name, address, control, zone, labels, self.need_of, self.note)

    def free_block(self) -> str:
        """Return the first two numbers of loopback addresses that are free."""
        for _ in range(50):
            block = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}"
            try:
                for port in (STORE_PORT, PORTS["peers"]):
                    with socket.create_server((f"{block}.1", port)):
                        pass
            except OSError:
                continue
            return block
        raise OSError("no free loopback addresses")

    def host(self, number: int) -> str:
        """Return one address of the block."""
        return f"{self.block}.{number}"

    def add(self, node: Node) -> None:
        """Add a process that isn't started yet."""
        self.nodes[node.name] = node

    def note(self, word: str, **fields: Any) -> None:
        """Record an event."""
        at_s = time.monotonic() - self.began
        self.events.append((at_s, word, fields))
        shown = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.write(f"{at_s:8.3f} {word} {shown}\n")

    def need_of(self, task: str) -> tuple[float, int]:
        """Return a task's work in seconds and its `cpu`, from its job's body."""
        job, _, step, _ = task.rsplit(".", 3)
        fields = self.jobs[job]["steps"][int(step)]
        return fields["estimate_ms"] / 1000, fields["cpu"]

    def configure(self) -> None:
        """Write the first configuration, as the operator does."""
        route = {
            "name": "reroutes",
            "hostname": "nony24.example",
            "path_prefix": "/lohu930/",
            "service": "visitas",
            "target_latency_ms": 60,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.6,
        }
        services = [{"name": "visitas", "enforces_capacity": True}]
        body = {"version": 7, "routes": [route], "services": services, "limits": {}}
        self.store.write("op", "config", json.dumps(body).encode())

    def settings_of(self, node: Node) -> Path:
        """Write a process's settings, from the template of its role."""
        listen = {"front": node.at("front"), "ready_addr": node.at("ready")}
        if node.role == "guard":
            listen = {"control": node.at("control")}
        fields = {
            "node": node.name,
            "zone": node.zone,
            "ip": node.host,
            "internal_ports": [PORTS["peers"], PORTS["peers"] + 1],
            "listen": listen,
            "platform": {"address": f"{self.host(1)}:{STORE_PORT}"},
            "seeds": [f"{self.host(10 + n)}:{PORTS['control']}" for n in range(2)],
            "bounds": BOUNDS,
        }
        text = fill_in((ROOT / self.roles[node.role]["template"]).read_text(), fields)
        if node.link is not None:
            # The address at which its peers reach it, which is that of the link.
            advertised = f'  advertised: "{node.link.listen}"\n'
            text = text.replace("listen:\n", "listen:\n" + advertised, 1)
        path = self.scratch / f"{node.name}.yaml"
        path.write_text(text)
        return path

    def spawn(self, node: Node) -> None:
        """Start a process with the command of the deploy file."""
        role = self.roles[node.role]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= role.get("env", {})
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["HAWTHORNTRACK_BOOT"] = str(self.settings_of(node))
        with open(self.scratch / f"{node.name}.log", "ab") as log:
            node.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.note("process-start", node=node.name)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.note("signal", node=name, signal=number.name)
        self.nodes[name].process.send_signal(number)

    async def start(self) -> None:
        """Start everything, and wait until all entry instances know all executors."""
        self.session = aiohttp.ClientSession()
        await self.store_server.start()
        self.configure()
        for node in self.nodes.values():
            if node.link is not None:
                await node.link.open()
            self.spawn(node)
        for executor in self.executors.values():
            await executor.start()
        limit = time.monotonic() + START_LIMIT_S
        entries = [node for node in self.nodes.values() if node.role == "entry"]
        while not all([await self.is_ready(node) for node in entries]):
            if time.monotonic() > limit:
                raise TimeoutError("the entry instances aren't ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)  # `contact_ms`, and two heartbeats
        self.note("ready")

    async def is_ready(self, node: Node) -> bool:
        """Return the readiness that the platform would see."""
        try:
            async with (
                asyncio.timeout(1.0),
                self.session.get(f"http://{node.at('ready')}/v1/ready") as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def new_job(self, steps: list[dict[str, Any]]) -> str:
        """Make a job, and return its ID."""
        job = f"{random.getrandbits(64):016x}"
        body = {"spec": f"spec of {job}", "steps": steps, "best_effort": True}
        self.jobs[job] = body
        return job

    async def call(
        self, method: str, name: str, job: str, wait_s: float = 30.0
    ) -> tuple[int, str]:
        """Make one call of a client on a connection of its own."""
        self.note("sent", method=method, job=job, to=name)
        headers = {
            "Host": "nony24.example",
            "Hawthorntrack-Deadline-Ms": str(round(wait_s * 1000)),
        }
        data = None
        if method == "POST":
            data = json.dumps(self.jobs[job]).encode()
            headers["Content-Type"] = "application/json"
        url = f"http://{self.nodes[name].at('front')}/lohu930/{job}"
        try:
            async with (
                asyncio.timeout(wait_s),
                aiohttp.ClientSession() as session,
                session.request(method, url, data=data, headers=headers) as response,
            ):
                answer = response.status, (await response.text())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer = 0, type(error).__name__
        self.note("answered", method=method, job=job, by=name, answer=answer)
        return answer

    def times_of(self, word: str, **wanted: Any) -> list[float]:
        """Return when events of a word with these fields were recorded."""
        return [
            at_s
            for at_s, found, fields in self.events
            if found == word and all(fields.get(k) == v for k, v in wanted.items())
        ]

    def starts_of(self, job: str) -> list[tuple[float, str, str]]:
        """Return the starts of a job's tasks: when, where and which."""
        return [
            (at_s, fields["executor"], fields["task"])
            for at_s, word, fields in self.events
            if word == "start" and fields["task"].startswith(job)
        ]

    async def close(self) -> None:
        """End every process that was started, and close every socket."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process is not None:
                node.process.wait()
            if node.link is not None:
                await node.link.close()
        for executor in self.executors.values():
            if executor.beats is not None:
                executor.beats.cancel()
                await executor.session.close()
            if executor.runner is not None:
                await executor.runner.cleanup()
        await self.store_server.stop()
        if self.session is not None:
            await self.session.close()
        shutil.rmtree(self.scratch, ignore_errors=True)


async def judge(site: Site, play: Any) -> int:
    """Play a case on a site, and return the exit code of its script."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        await site.start()
        broken = await play(site)
    except (Exception, asyncio.CancelledError) as error:
        site.note("could-not-run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        await site.close()
    site.note("verdict", broken=broken or "no")
    print(f"broken: {broken}" if broken else "held")
    return BROKEN if broken else HELD


def main(site: Site, play: Any) -> None:
    """Run a case, and exit with its code."""
    sys.exit(asyncio.run(judge(site, play)))
