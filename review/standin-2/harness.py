"""A small deployment on loopback addresses: the project's programs and stand-ins.

The store, the targets and the callers are stand-ins that follow the users' pages. The
programs are started with the commands and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import ClientSession, ClientTimeout, TCPConnector, web

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.03
LATE_HEADER = "Stand-In-Late"  # marks a call that was held up on its way
BOUNDS = {
    "grace_s": 6,
    "remote_factor": 1.5,
    "resend_ms": 1300,
    "hold_max_ms": HOLD_MAX_MS,
    "stop_ms": 50,
}


class Record:
    """What was sent, answered and run; also written to a file."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.began


async def serve(host, port, handler):
    """Serve HTTP on one address; return a function that stops it at once."""
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.01)
    await runner.setup()
    site = web.TCPSite(runner, host, port, reuse_address=True, backlog=512)
    await site.start()
    return runner.cleanup


def answer(body, status=200):
    return web.Response(
        body=json.dumps(body).encode(), status=status, content_type="application/json"
    )


class Store:
    """The platform's store: rows, conditional transactions and the feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.began = time.monotonic()

    def write(self, table, key, value):
        self.ver += 1
        self.rows[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value or b"").decode(),
            "ver": self.ver,
            **({"deleted": True} if value is None else {}),
        }
        self.changed.set()
        self.changed = asyncio.Event()

    def operate(self, key, value):
        """Write or remove one of the operator's rows."""
        self.write("op", key, None if value is None else json.dumps(value).encode())
        self.record(f"operator wrote op/{key}: {json.dumps(value)}")

    def page(self, rows):
        now_ms = int((time.monotonic() - self.began) * 1000)
        body = {"rows": rows, "ver": self.ver, "now_ms": now_ms, "more_pages": False}
        return answer(body)

    async def handle(self, request):
        await asyncio.sleep(0.004)
        if request.path == "/v1/rows-tx":
            return self.transact(json.loads(await request.read()))
        query = request.query
        if request.path == "/v1/rows-get":
            start, end = query.get("from", ""), query.get("target")
            found = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query["table"]
                and not row.get("deleted")
                and key >= start
                and (end is None or key < end)
            ]
            return self.page(found)
        if request.path == "/v1/rows-feed":
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                found = [
                    row
                    for (table, _), row in self.rows.items()
                    if table == query["table"] and row["ver"] > int(query["after"])
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return self.page(sorted(found, key=lambda row: row["ver"]))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        return answer({}, 404)

    def transact(self, body):
        for row in body.get("expected_rev", ()):
            known = self.rows.get((row["table"], row["key"]), {"ver": 0})
            if (0 if known.get("deleted") else known["ver"]) != row["ver"]:
                return answer({"rows": []}, 412)
        writes = body.get("set_keys", ())
        if any(row["table"] in ("op", "servers") for row in writes):
            return answer({}, 403)
        for row in writes:
            self.write(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", ()):
            self.write(row["table"], row["key"], None)
        return answer({"ver": self.ver})


class Run:
    def __init__(self, task, run, work_s, cpu):
        self.task, self.run, self.work_s, self.cpu = task, run, work_s, cpu
        self.began = time.monotonic()
        self.timer = None
        self.stopping = False


class Target:
    """An executor: leases, run numbers, fencing tokens, and its heartbeats.

    A job's `spec` is JSON with `work_s`, the time of a task, and `cpu`, its need.
    """

    def __init__(self, name, deployment, host, guard, zone, labels, cpu):
        self.name, self.host, self.zone = name, host, zone
        self.deployment, self.record = deployment, deployment.record
        self.guard, self.labels, self.cpu = guard, labels, cpu
        self.id = f"i-{name}"
        self.up = False
        self.held_at = None  # when its guard last asked for its lists
        self.guards_capacity = True
        self.runs = {}
        self.late_starts = None  # returns by how much a start is late, or None
        self.held = []  # late starts: (when it may be delivered, body, id)

    # One life

    async def begin(self):
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs, self.highest, self.ends = {}, {}, []
        self.end_count = self.token = self.lease_ms = self.seq = 0
        self.listed = asyncio.Event()
        self.state, self.draining_since = "ready", None
        self.up = True
        self.close = await serve(self.host, self.deployment.app_port, self.handle)
        self.lease_task = asyncio.create_task(self.watch_lease())
        self.beat_task = asyncio.create_task(self.beat())
        self.record(f"{self.name} begins a life as {self.id}")

    async def crash(self):
        """End at once; all that runs here ends with it."""
        self.up = False
        self.record(f"{self.name} ends")
        self.lease_task.cancel()
        self.beat_task.cancel()
        for run in list(self.runs.values()):
            self.end(run, "crashed")
        self.listed.set()
        await self.close()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def heartbeat(self):
        return {
            "service": self.deployment.service,
            "address": f"{self.host}:{self.deployment.app_port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "seq": self.seq,
            "born": self.born,
        }

    @property
    def heartbeat_url(self):
        return f"http://{self.guard}/v1/executors/{self.id}"

    async def beat(self):
        async with ClientSession(timeout=ClientTimeout(1)) as session:
            while True:
                self.seq += 1
                body = self.heartbeat()
                pause_s = HEARTBEAT_S
                try:
                    async with session.put(self.heartbeat_url, json=body) as response:
                        if response.status // 100 != 2:
                            pause_s = 0.3
                        elif (
                            body["state"] == "draining" and self.draining_since is None
                        ):
                            self.draining_since = self.record.now()
                            self.record(f"{self.name}: draining was acknowledged")
                except (OSError, TimeoutError):
                    pause_s = 0.3
                except Exception as error:
                    self.record(f"{self.name} heartbeat: {type(error).__name__}")
                    pause_s = 0.3
                await asyncio.sleep(pause_s)

    def drain(self):
        """Say at once, and from now on, that it is draining."""
        self.record(f"{self.name} drains")
        self.state = "draining"
        self.beat_task.cancel()
        self.beat_task = asyncio.create_task(self.beat())

    async def leave(self):
        """Send the departure, and end."""
        self.beat_task.cancel()
        async with ClientSession(timeout=ClientTimeout(1)) as session:
            async with session.delete(self.heartbeat_url) as response:
                self.record(f"{self.name} departs: {response.status}")
        await self.crash()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    # Orders

    async def handle(self, request):
        body = json.loads(await request.read())
        life = self.born
        if request.headers.get("Hawthorntrack-Expected-Instance") != self.id:
            return answer({}, 421)
        late = LATE_HEADER in request.headers
        if request.path == "/v1/run-start" and self.late_starts and not late:
            after_s = self.late_starts(body)
            if after_s is not None:
                self.record(
                    f"start {body['task']} run {body['run']} to {self.name} is held"
                    f" up on its way (token {body['fencing_token']})"
                )
                self.held.append((time.monotonic() + after_s, body, self.id))
                await asyncio.sleep(5)
                return answer({}, 503)
        if body["fencing_token"] < self.token:
            return self.refuse("fence")
        self.token = body["fencing_token"]
        if request.path == "/v1/run-start":
            return self.start(body)
        if request.path == "/v1/run-stop":
            return self.stop(body)
        if request.path == "/v1/hold":
            return await self.hold(body, life)
        return answer({}, 404)

    async def deliver(self, body):
        """Deliver a start that was held up on its way, as a call of its own.

        Whichever life is up now gets it; nobody reads the answer.
        """
        url = f"http://{self.host}:{self.deployment.app_port}/v1/run-start"
        headers = {"Hawthorntrack-Expected-Instance": self.id, LATE_HEADER: "1"}
        async with ClientSession(timeout=ClientTimeout(1)) as session:
            async with session.post(url, json=body, headers=headers) as response:
                text = (await response.read()).decode()
                self.record(
                    f"{self.name} got the late start {body['task']} run {body['run']}:"
                    f" {response.status} {text}"
                )

    def refuse(self, reason):
        return answer({"clock_ms": self.clock_ms(), "reason": reason}, 409)

    def extend(self, deadline_ms):
        limit = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit))

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(body["deadline_ms"])
        known = self.runs.get(task)
        if known is not None and known.run == number:
            return answer({"clock_ms": self.clock_ms()})
        if known is not None or number <= self.highest.get(task, 0):
            return self.refuse("old")
        spec = json.loads(body["spec"])
        used = sum(run.cpu for run in self.runs.values())
        if self.guards_capacity and used + spec["cpu"] > self.cpu:
            return self.refuse("room")
        run = self.runs[task] = Run(task, number, spec["work_s"], spec["cpu"])
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(spec["work_s"], self.end, run, "done")
        self.deployment.note_start(self, run)
        return answer({"clock_ms": self.clock_ms()})

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run == number and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end, run, "stopped")
        return answer({"clock_ms": self.clock_ms()})

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.runs[run.task]
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.run, how, ""])
        self.deployment.note_end(self, run, how)
        self.listed.set()

    async def hold(self, body, life):
        self.held_at = self.record.now()
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        seen = body["acked_upto"]
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.listed = self.listed if not self.listed.is_set() else asyncio.Event()
            try:
                left = max(0.0, until - time.monotonic())
                await asyncio.wait_for(self.listed.wait(), left)
            except TimeoutError:
                break
        if life != self.born or not self.up:
            return answer({}, 503)
        running = [
            [run.task, run.run, "", self.percent(run), run.cpu]
            for run in self.runs.values()
        ]
        return answer(
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "ended": self.ends[:500],
            }
        )

    @staticmethod
    def percent(run):
        share = (time.monotonic() - run.began) / max(run.work_s, 0.001)
        return min(99, int(100 * share))


class Connection:
    """One connection through a relay: its two processes, and whether it is silent."""

    def __init__(self, ends):
        self.ends = ends
        self.silent = False


class Relay:
    """Passes TCP connections on to one address, and holds their bytes during a cut.

    A connection between two processes of the system is that of the process that it
    leads to and of the one that opened it; the latter's address stands in the first
    bytes. The system's sockets give up bytes that are unacknowledged for 2 s
    (TCP_USER_TIMEOUT), so a connection with bytes held for longer is reset.
    """

    GIVE_UP_S = 2.0

    def __init__(self, deployment, host, port, destination, ends):
        self.deployment = deployment
        self.host, self.port, self.destination, self.ends = (
            host,
            port,
            destination,
            ends,
        )

    async def begin(self):
        await asyncio.start_server(self.accept, self.host, self.port)

    def accept(self, reader, writer):
        task = asyncio.ensure_future(self.connect(reader, writer))
        self.deployment.tasks.add(task)
        task.add_done_callback(self.deployment.tasks.discard)

    async def connect(self, reader, writer):
        ends = set(self.ends)
        host, port = self.destination.split(":")
        first = await reader.read(65536)
        ends |= {
            node.name
            for node in (*self.deployment.entries, *self.deployment.guards)
            if node.advertised.encode() in first
        }
        connection = Connection(ends)
        self.deployment.connections.add(connection)
        far_writer = None
        try:
            await self.wait(connection)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            far_writer.write(first)
            await asyncio.gather(
                self.copy(reader, far_writer, connection),
                self.copy(far_reader, writer, connection),
            )
        except (OSError, TimeoutError):
            pass
        finally:
            self.deployment.connections.discard(connection)
            for end in (writer, far_writer):
                if end is not None:
                    end.transport.abort()

    async def wait(self, connection):
        """Wait until bytes pass; give up where they have been held for too long."""
        since = time.monotonic()
        while self.deployment.cut & connection.ends or connection.silent:
            await asyncio.sleep(0.01)
            if connection.silent and time.monotonic() > since + self.GIVE_UP_S:
                break
        if time.monotonic() > since + self.GIVE_UP_S:
            raise TimeoutError

    async def copy(self, reader, writer, connection):
        while True:
            data = await reader.read(65536)
            await self.wait(connection)
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()


class Node:
    """One of the project's programs."""

    def __init__(self, deployment, role, name, host, zone):
        self.deployment, self.role, self.name = deployment, role, name
        self.host, self.zone = host, zone
        self.process = None

    @property
    def relay_host(self):
        """The address at which others reach it: its own, or that of its relay."""
        if not self.deployment.relayed:
            return self.host
        first, second, third, last = self.host.split(".")
        return f"{first}.{second}.{int(third) + 1}.{last}"

    @property
    def advertised(self):
        return f"{self.relay_host}:{self.deployment.ports['peers']}"

    @property
    def listen(self):
        ports = self.deployment.ports
        if self.role == "entry":
            return {
                "front": f"{self.host}:{ports['front']}",
                "ready_addr": f"{self.host}:{ports['ready']}",
                "control": f"{self.host}:{ports['control']}",
            }
        return {"control": f"{self.host}:{ports['control']}"}

    @property
    def front(self):
        return self.listen["front"]

    @property
    def store_address(self):
        if not self.deployment.relayed:
            return self.deployment.store_address
        return f"{self.relay_host}:{self.deployment.ports['store']}"

    async def start(self):
        deployment = self.deployment
        role = deployment.roles[self.role]
        settings = {
            "node": self.name,
            "ip": self.host,
            "zone": self.zone,
            "internal_ports": [deployment.ports["peers"], deployment.ports["metrics"]],
            "seeds": [
                f"{entry.relay_host}:{deployment.ports['control']}"
                for entry in deployment.entries[:3]
            ],
            "listen": self.listen,
            "bounds": BOUNDS,
            "limits": {
                "memory_mb": 300 if self.role == "entry" else 168,
                "max_fds": 4096,
            },
            "platform": {"address": self.store_address},
        }
        path = deployment.folder / f"{self.name}.yaml"
        text = render((ROOT / role["template"]).read_text(), settings)
        if deployment.relayed:
            text = text.replace(
                "listen:\n", f'listen:\n  advertised: "{self.advertised}"\n', 1
            )
        path.write_text(text)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment |= {
            "HAWTHORNTRACK_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        log = open(deployment.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        deployment.record(f"{self.name} started")

    def signal(self, number):
        self.deployment.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


def render(template, fields):
    """Fill in the settings template as the platform does."""

    def fill(match):
        value = fields
        for part in match[1].split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part)
        if value is None:
            return ""
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


class Deployment:
    """Entry instances, guards with their targets, the store, and the operator."""

    service = "visits"
    hostname = "visits.example"
    prefix = "/visits/"

    def __init__(
        self,
        folder,
        entries=3,
        guards=3,
        cpu=16000,
        max_attempts=3,
        relayed=False,
        labels=(("a",),),
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(folder) / "record.txt")
        self.cpu, self.max_attempts = cpu, max_attempts
        self.relayed = relayed
        self.cut = set()  # names of the programs that are cut off
        self.connections = set()  # those through the relays
        self.tasks = set()
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
        base = self.free_ports()
        names = ("peers", "metrics", "front", "ready", "control", "store")
        self.ports = {name: base + number for number, name in enumerate(names)}
        self.app_port = base + 6
        self.store_address = f"{self.net}250:{base + 7}"
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        zones = ("recife", "olinda", "jaboatao")
        self.store = Store(self.record)
        self.entries = [
            Node(self, "entry", f"entry-{n}", f"{self.net}{n + 1}", zones[n % 3])
            for n in range(entries)
        ]
        self.guards = [
            Node(self, "guard", f"guard-{n}", f"{self.net}{n + 101}", zones[n % 3])
            for n in range(guards)
        ]
        self.targets = [
            Target(
                f"target-{n}",
                self,
                guard.host,
                guard.listen["control"],
                guard.zone,
                [*labels[n % len(labels)], f"r-{n % 3}"],
                cpu,
            )
            for n, guard in enumerate(self.guards)
        ]
        self.on_start = []
        self.history = []  # (task, run, target, start, end, how)

    def free_ports(self):
        """Return the first of ten ports that are free on these addresses."""
        for _ in range(100):
            base = random.randint(20000, 55000)
            try:
                for port in range(base, base + 10):
                    with socket.socket() as probe:
                        probe.bind((self.net + "1", port))
                return base
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def note_start(self, target, run):
        self.record(f"{target.name} starts {run.task} run {run.run}")
        self.history.append(
            [run.task, run.run, target.name, self.record.now(), None, ""]
        )
        for check in self.on_start:
            check(target, run)

    def note_end(self, target, run, how):
        self.record(f"{target.name} ends {run.task} run {run.run}: {how}")
        for row in self.history:
            if row[:3] == [run.task, run.run, target.name] and row[4] is None:
                row[4], row[5] = self.record.now(), how

    def configure(self, version=3, routes=None):
        route = {
            "name": "visits",
            "hostname": self.hostname,
            "path_prefix": self.prefix,
            "service": self.service,
            "target_latency_ms": 60,
            "priority": 0,
            "max_attempts": self.max_attempts,
            "stretch": 1.6,
        }
        self.store.operate(
            "config",
            {
                "version": version,
                "routes": [route] if routes is None else routes,
                "services": [{"name": self.service, "enforces_capacity": True}],
                "limits": {},
            },
        )

    async def begin(self):
        host, port = self.store_address.split(":")
        self.stop_store = await serve(host, int(port), self.store.handle)
        for target in self.targets:
            await target.begin()
        for node in (*self.entries, *self.guards):
            if self.relayed:
                ports = self.ports
                peers = f"{node.host}:{ports['peers']}"
                for port, destination in (
                    (ports["peers"], peers),
                    (ports["store"], self.store_address),
                ):
                    relay = Relay(self, node.relay_host, port, destination, {node.name})
                    await relay.begin()
        for node in (*self.entries, *self.guards):
            await node.start()
        await asyncio.sleep(0.5)
        self.configure()
        for entry in self.entries:
            await self.wait_ready(entry)
        await self.wait_until(
            lambda: all(target.held_at for target in self.targets),
            "not all guards have asked their targets for their lists",
        )
        await asyncio.sleep(3.5)  # all machines are in touch

    async def wait_until(self, holds, problem, limit_s=20):
        """Wait until a condition holds; the case couldn't run if it never does."""
        until = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > until:
                raise RuntimeError(problem)
            await asyncio.sleep(0.01)

    async def watch_until(self, at_s):
        """Let the deployment run on until a time of the record."""
        await asyncio.sleep(max(0.0, at_s - self.record.now()))

    async def wait_ready(self, entry, limit_s=30):
        until = time.monotonic() + limit_s
        async with ClientSession(timeout=ClientTimeout(1)) as session:
            while time.monotonic() < until:
                try:
                    url = f"http://{entry.listen['ready_addr']}/v1/ready"
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except (OSError, TimeoutError):
                    pass
                except Exception:
                    pass
                await asyncio.sleep(0.05)
        raise RuntimeError(f"{entry.name} is not ready")

    async def call(self, method, entry, key, body=None, deadline_s=30.0):
        """Send one request of a client; return the status and the answer."""
        headers = {
            "Host": self.hostname,
            "Hawthorntrack-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        url = f"http://{entry.front}{self.prefix}{key}"
        self.record(f"client: {method} {key} at {entry.name}")
        try:
            async with (
                ClientSession(
                    timeout=ClientTimeout(deadline_s), connector=TCPConnector()
                ) as session,
                session.request(method, url, json=body, headers=headers) as response,
            ):
                text = (await response.read()).decode()
                self.record(f"client: {method} {key}: {response.status} {text}")
                return response.status, json.loads(text or "{}")
        except Exception as error:
            self.record(f"client: {method} {key}: no answer, {type(error).__name__}")
            return 0, {}

    def cut_off(self, name):
        """Cut a program off from all others and from the store; callers reach it."""
        self.cut.add(name)
        self.record(f"{name} is cut off")

    def silence(self, *names):
        """Let the open connections between some programs go silent for good.

        No end is reset or closed; new connections work.
        """
        silent = [c for c in self.connections if c.ends == set(names)]
        if not silent:
            raise RuntimeError("there is no such connection")
        for connection in silent:
            connection.silent = True
        self.record(
            f"{len(silent)} of {len(self.connections)} open connections goes silent,"
            f" between {' and '.join(names)}"
        )

    def heal(self):
        """End the cuts."""
        self.record(f"{', '.join(sorted(self.cut))}: the cut ends")
        self.cut.clear()

    async def end(self):
        for node in (*self.entries, *self.guards):
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for target in self.targets:
            if target.up:
                target.lease_task.cancel()
                target.beat_task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def new_key():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, case, **options):
    """Run a case; exit with 10 if the rule broke, 0 if it held, 2 if it couldn't run.

    `run.sh` exits with 1 for 10, and with 2 for anything else, so that an error before
    this function isn't taken for a broken rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, this.cancel)
        deployment = Deployment(folder, **options)
        try:
            await deployment.begin()
            async with asyncio.timeout(90):
                return await case(deployment, trouble)
        finally:
            await deployment.end()

    try:
        broken = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(10 if broken else 0)
