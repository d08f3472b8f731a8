"""Starts, controls and stops the processes of a deployment on this machine."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import yaml

from hawthorntrack.experiment.layout import (
    Deployment,
    Ports,
    document_body,
    place_of,
    settings_body,
)
from hawthorntrack.experiment.relays import Relays
from hawthorntrack.protocol.rows import document_key, encode_document
from hawthorntrack.state.table import ABSENT, Written
from hawthorntrack.transport.table_client import HttpTable

ENVIRONMENT = "production"
READY_LIMIT_S = 30.0
# Added to the limit for each process, because processes that start at the same time
# share the machine's processors.
READY_LIMIT_PER_PROCESS_S = 0.5
STOP_LIMIT_S = 45.0
POLL_INTERVAL_S = 0.05


class Fleet:
    """The processes of a deployment on this machine.

    Parameters
    ----------
    deployment : Deployment
        The deployment to run.
    base_port : int
        First port of the range that the processes listen on.
    policy : str
        Placement policy in the service document.
    changes : dict or None
        Settings that replace those of the layout, in every process.
    relayed : bool
        Whether bus connections pass through relays, so that a trace can cut them.

    Attributes
    ----------
    processes : dict of str to subprocess.Popen
        Started processes by name: ``table``, ``guard0``, ``target0``, ``entry0``.
    """

    def __init__(
        self,
        deployment: Deployment,
        base_port: int,
        policy: str = "expected_finish",
        changes: dict[str, Any] | None = None,
        relayed: bool = False,
    ) -> None:
        self.deployment = deployment
        self.ports = Ports(base_port)
        self.policy = policy
        self.changes = changes or {}
        self.folder = Path(tempfile.mkdtemp(prefix="hawthorntrack-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.session: aiohttp.ClientSession | None = None
        names = [*self.guards(), *self.entries()] if relayed else []
        addresses = {name: self.ports.bus(self.process_number(name)) for name in names}
        self.relays = Relays(addresses, self.ports.relays())
        self.table = HttpTable(f"http://{self.ports.table()}", 2.0, 1_000, 1_000)

    # Process names and addresses

    def guards(self) -> list[str]:
        """Return the names of all guards."""
        return [f"guard{number}" for number in range(self.deployment.workers)]

    def targets(self) -> list[str]:
        """Return the names of all targets."""
        return [f"target{number}" for number in range(self.deployment.workers)]

    def entries(self) -> list[str]:
        """Return the names of all entry instances."""
        return [f"entry{number}" for number in range(self.deployment.entries)]

    def process_number(self, name: str) -> int:
        """Return the number that determines the ports of a guard or entry instance."""
        offset = self.deployment.workers if name.startswith("entry") else 0
        return offset + int(name.lstrip("abcdefghijklmnopqrstuvwxyz"))

    def http(self, name: str) -> str:
        """Return the HTTP address of a process."""
        if name == "table":
            return self.ports.table()
        if name.startswith("target"):
            return self.ports.target(int(name.removeprefix("target")))
        return self.ports.http(self.process_number(name))

    def zone(self, name: str) -> str:
        """Return the zone of a guard or target."""
        number = int(name.lstrip("abcdefghijklmnopqrstuvwxyz"))
        return place_of(self.deployment, number).zone

    # Starting processes

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a process, with its output appended to a file in `folder`."""
        output = open(self.folder / f"{name}.out", "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=output,
            stderr=output,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        output.close()

    def spawn_table(self) -> None:
        """Start the stand-in for the table."""
        address = self.ports.table()
        self.spawn("table", "hawthorntrack.standins.table", "--address", address)

    def spawn_daemon(self, name: str) -> None:
        """Write the settings of a guard or an entry instance, and start it."""
        body = settings_body(
            self.deployment,
            self.ports,
            self.process_number(name),
            str(self.folder / f"{name}.log"),
            {**self.changes, "routes": self.relays.routes(name)},
        )
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(body, sort_keys=False))
        role = "entry" if name.startswith("entry") else "guard"
        self.spawn(name, "hawthorntrack.daemon.main", role, "--settings", str(path))

    def spawn_target(self, number: int, speed: float | None = None) -> None:
        """Start the stand-in for a target."""
        deployment = self.deployment
        place = place_of(deployment, number)
        speeds = deployment.speeds
        options = {
            "address": self.ports.target(number),
            "guard": self.ports.http(number),
            "service": deployment.service,
            "kinds": ",".join(deployment.kinds),
            "slots": deployment.slots,
            "connections": deployment.connections,
            "zone": place.zone,
            "rack": place.rack,
            "worker": place.worker,
            "speed": speed or speeds[number % len(speeds)],
            "seed": number + 1,
        }
        command_line = [
            argument
            for key, option_value in options.items()
            for argument in (f"--{key}", option_value)
        ]
        self.spawn(
            f"target{number}", "hawthorntrack.standins.target", *map(str, command_line)
        )

    async def start(self, targets: bool = True) -> None:
        """Start all processes and wait until every slot has an open owner.

        With `targets`, also wait until every guard has an announced target.
        """
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=70),
            connector=aiohttp.TCPConnector(limit=0),
        )
        await self.relays.open()
        self.spawn_table()
        await self.wait_until_ok("table", "/stats")
        body = document_body(self.deployment, self.policy)
        key = document_key(ENVIRONMENT, self.deployment.service)
        await self.table.write(key, 0, encode_document(1, body))
        for number, name in enumerate(self.guards()):
            self.spawn_daemon(name)
            if targets:
                self.spawn_target(number)
        for name in self.entries():
            self.spawn_daemon(name)
        for name in [*self.guards(), *self.entries()]:
            await self.wait_until_ok(name, "/readyz")
        await self.wait_until(self.all_slots_open, "every slot has an open owner")
        if targets:
            await self.wait_until(
                self.all_targets_announced, "every target is announced"
            )

    async def wait_until_ok(self, name: str, path: str) -> None:
        """Wait until a process answers a request with status 200."""

        async def answers_ok() -> bool:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.get(f"http://{self.http(name)}{path}") as reply:
                    return reply.status == 200
            return False

        limit_s = READY_LIMIT_S + READY_LIMIT_PER_PROCESS_S * len(self.processes)
        await self.wait_until(answers_ok, f"{name} answers {path}", limit_s)

    async def wait_until(
        self, condition: Any, what: str, limit_s: float = READY_LIMIT_S
    ) -> float:
        """Wait until a condition holds, and return the seconds waited.

        Raises
        ------
        TimeoutError
            If the condition does not hold within the limit.
        """
        started_at = time.monotonic()
        while not await condition():
            if time.monotonic() - started_at > limit_s:
                raise TimeoutError(
                    f"timed out after {limit_s} s waiting until {what};"
                    f" logs are in {self.folder}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started_at

    async def all_slots_open(self) -> bool:
        """Return whether every running entry instance reports all slots open."""
        slots = settings_body(self.deployment, self.ports, 0, "", self.changes)["slots"]
        pages = [await self.status(name) for name in self.running(self.entries())]
        return all(page["router"]["slots_open"] == slots for page in pages)

    async def all_targets_announced(self) -> bool:
        """Return whether every running guard has an announced target."""
        pages = [await self.status(name) for name in self.running(self.guards())]
        return all(page["executor"]["target"] for page in pages)

    # State of running processes, stand-in faults and table rows

    def running(self, names: list[str]) -> list[str]:
        """Return the names of those processes that are running."""
        return [
            name
            for name in names
            if name in self.processes and self.processes[name].poll() is None
        ]

    async def get(self, name: str, path: str) -> Any:
        """Return the decoded JSON answer of a process to a GET request."""
        async with self.session.get(f"http://{self.http(name)}{path}") as response:
            return msgspec.json.decode(await response.read())

    async def status(self, name: str) -> Any:
        """Return the status page of a daemon."""
        return await self.get(name, "/status")

    async def fault(self, name: str, **fault: Any) -> None:
        """Set the fault that a stand-in simulates."""
        url = f"http://{self.http(name)}/faults"
        async with self.session.post(url, data=msgspec.json.encode(fault)) as response:
            response.raise_for_status()

    async def starts(self) -> list[dict[str, Any]]:
        """Return every task start recorded by the running targets."""
        pages = {n: await self.get(n, "/starts") for n in self.running(self.targets())}
        return [
            {**start, "target": name, "zone": self.zone(name)}
            for name, page in pages.items()
            for start in page["starts"]
        ]

    async def write_row(self, key: str, value: bytes) -> int:
        """Write a row unconditionally and return its version.

        The table has conditional writes only: a write that conflicts with another
        one is repeated from the version then in force.
        """
        while True:
            row = (await self.table.read(key)).row(key)
            expect = row.version if row else ABSENT
            outcome = await self.table.write(key, expect, value)
            if isinstance(outcome, Written):
                return outcome.version

    # Stopping processes

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this fleet."""
        self.processes[name].send_signal(number)

    async def wait_until_stopped(self, name: str, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait until a process has ended, and return its exit code."""
        process = self.processes[name]

        async def ended() -> bool:
            return process.poll() is not None

        await self.wait_until(ended, f"{name} has stopped", limit_s)
        return process.returncode

    async def stop(self) -> dict[str, int]:
        """Stop all processes gracefully, and return their exit codes by name."""
        codes: dict[str, int] = {}
        for names in (self.entries(), self.guards(), self.targets(), ["table"]):
            running = self.running(names)
            for name in running:
                self.signal(name, signal.SIGTERM)
            for name in running:
                codes[name] = await self.wait_until_stopped(name)
        await self.close()
        return codes

    async def close(self) -> None:
        """Kill processes that are still running, and close connections."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        await self.relays.close()
        await self.table.close()
        if self.session is not None:
            await self.session.close()
