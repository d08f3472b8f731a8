"""Stand-ins for a small deployment on loopback: store, executors, clients, relays.

They use the standard library only and follow PROTOCOL.md. The programs of the project
run as processes of their own, with the command of `deploy/system.toml` and settings
rendered from `deploy/node.yaml`.
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
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl

REPO = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "queue.example"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_MS = 20
BOUNDS = {
    "grace_s": 6,
    "remote_factor": 1.5,
    "resend_ms": 1300,
    "hold_max_ms": HOLD_MAX_MS,
    "stop_ms": 50,
}
LIMITS = {"memory_mb": 300, "max_fds": 4100}


class CannotRun(Exception):
    """The case could not be carried out."""


# HTTP


async def read_head(reader):
    """Read the first line and the headers of an HTTP message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Read the body of an HTTP message."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first_line, body, headers=()):
    """Encode an HTTP message with a JSON body."""
    data = json.dumps(body).encode() if not isinstance(body, bytes) else body
    head = [
        first_line,
        *headers,
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + data


class HttpServer:
    """HTTP/1.1 server; `handle(method, path, headers, body)` returns (status, body).

    A handler that returns None leaves the call without an answer.
    """

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None
        self.writers = set()

    async def open(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self.serve, host, int(port), reuse_address=True
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    await reader.read()
                    return
                status, data = answer
                writer.write(message(f"HTTP/1.1 {status} X", data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        """Reset the open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self):
        """Stop listening, and reset the open connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()


async def call(address, method, path, body=None, headers=(), timeout_s=10.0):
    """Make one HTTP call on a new connection; return (status, body), or None.

    None means that there was no answer: a time-out or a broken connection.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            first = f"{method} {path} HTTP/1.1"
            if not any(header.startswith("Host:") for header in headers):
                headers = (f"Host: {address}", *headers)
            if body is None:
                head = [first, *headers, "Content-Length: 0"]
                writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            else:
                writer.write(message(first, body, headers))
            line, answered = await read_head(reader)
            data = await read_body(reader, answered)
            return int(line.split(" ")[1]), data
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


# The store


class Store:
    """The platform's store: rows with versions, a feed, unconditional transactions."""

    def __init__(self):
        self.version = 0
        self.tables = {}
        self.changed = asyncio.Event()

    def write(self, table, key, value):
        """Write a row, or drop it if the value is None."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value or b"").decode(),
            "ver": self.version,
            "deleted": value is None,
        }
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, rows):
        now_ms = round(time.monotonic() * 1000)
        return 200, {
            "rows": rows,
            "ver": self.version,
            "now_ms": now_ms,
            "more_pages": False,
        }

    async def handle(self, method, path, headers, body):
        await asyncio.sleep(0.004)
        path, _, query = path.partition("?")
        query = dict(parse_qsl(query, keep_blank_values=True))
        rows = self.tables.get(query.get("table"), {})
        if path == "/v1/rows-get":
            found = [
                row
                for key, row in sorted(rows.items(), key=lambda kv: kv[0].encode())
                if not row["deleted"]
                and key >= query.get("from", "")
                and ("target" not in query or key < query["target"])
            ]
            return self.page(found[:500])
        if path == "/v1/rows-feed":
            limit = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                rows = self.tables.get(query["table"], {}).values()
                found = [row for row in rows if row["ver"] > int(query["after"])]
                left = limit - time.monotonic()
                if found or left <= 0:
                    return self.page(sorted(found, key=lambda row: row["ver"]))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            entries = json.loads(body)
            for row in entries.get("set_keys", ()):
                if row["table"] in ("op", "servers"):
                    return 403, {}
                value = base64.b64decode(row["value"])
                self.write(row["table"], row["key"], value)
            return 200, {"ver": self.version, "now_ms": 0}
        return 404, {}


# Executors


class Executor:
    """An executor beside a guard, as PROTOCOL.md describes it.

    The spec of a task is the JSON object {"ms": time of a run, ...}.
    """

    def __init__(self, site, name, zone, address, guard, labels=()):
        self.site = site
        self.name = name
        self.zone = zone
        self.address = address
        self.guard = guard
        self.labels = list(labels)
        self.service = "work"
        self.capacity = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
        self.server = HttpServer(address, self.handle)
        self.up = False
        self.state = "ready"
        self.beating = None
        self.lease_timer = None
        self.lives = 0
        self.on_order = None
        self.acked_draining_at = None

    def log(self, event):
        self.site.log(event, executor=self.id)

    def clock_ms(self):
        """Return the executor's steady clock, which runs 1% slow."""
        return int((time.monotonic() - self.began) * 990)

    async def start(self, new_id=True):
        """Begin a life of the executor."""
        if new_id or not self.lives:
            self.id = f"{self.name}-{self.lives}"
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.seq = 0
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.ends = 0
        self.news = asyncio.Event()
        await self.server.open()
        self.up = True
        self.log("executor up")
        self.beating = asyncio.create_task(self.beat())

    async def crash(self):
        """End at once; all that runs is gone."""
        self.up = False
        self.beating.cancel()
        if self.lease_timer is not None:
            self.lease_timer.cancel()
            self.lease_timer = None
        for run in self.runs.values():
            run["timer"].cancel()
            self.site.ended(self, run, "crashed")
        self.runs = {}
        await self.server.close()
        self.log("executor crashed")

    def report(self):
        """Return the body of a heartbeat."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "seq": self.seq,
            "born": self.born,
        }

    async def send(self, body):
        """Send a heartbeat to the guard; return its answer."""
        path = f"/v1/executors/{self.id}"
        return await call(self.guard, "PUT", path, body, timeout_s=1.0)

    async def leave(self):
        """End after a drain, as planned; what still runs ends with it."""
        await call(self.guard, "DELETE", f"/v1/executors/{self.id}", timeout_s=1.0)
        await self.crash()

    async def beat(self):
        while True:
            self.seq += 1
            state = self.state
            answer = await self.send(self.report())
            if answer and answer[0] == 200 and state == "draining":
                if self.acked_draining_at is None:
                    self.acked_draining_at = time.monotonic()
                    self.log("draining acknowledged")
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method, path, headers, body):
        if headers.get("hawthorntrack-expected-instance") != self.id:
            return 421, {}
        order = json.loads(body)
        if self.on_order is not None:
            verdict = await self.on_order(path, order)
            if verdict == "drop":
                return None
        return await self.execute(path, order)

    async def execute(self, path, order):
        if order["fencing_token"] < self.token:
            return self.refuse("fence")
        self.token = order["fencing_token"]
        if path == "/v1/run-start":
            return self.run_start(order)
        if path == "/v1/run-stop":
            return self.run_stop(order)
        if path == "/v1/hold":
            return await self.hold(order)
        return 404, {}

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def grant(self, deadline_ms):
        limit = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit))
        if self.lease_timer is None:
            self.check_lease()

    def check_lease(self):
        left_ms = self.lease_ms - self.clock_ms()
        self.lease_timer = None
        if left_ms <= 0:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        else:
            loop = asyncio.get_running_loop()
            self.lease_timer = loop.call_later(left_ms / 990, self.check_lease)

    def run_start(self, order):
        task, number = order["task"], order["run"]
        if order["deadline_ms"] <= self.clock_ms():
            return self.refuse("late")
        present = self.runs.get(task)
        if present is not None and present["run"] == number:
            self.grant(order["deadline_ms"])
            return 200, {"clock_ms": self.clock_ms()}
        self.grant(order["deadline_ms"])
        if present is not None or number <= self.highest.get(task, 0):
            return self.refuse("old")
        spec = json.loads(order["spec"])
        need = self.site.needs.get(task.split(".")[0], {})
        for kind, amount in need.items():
            used = sum(run["need"].get(kind, 0) for run in self.runs.values())
            if used + amount > self.capacity[kind]:
                return self.refuse("room")
        run = {
            "task": task,
            "run": number,
            "need": need,
            "ms": spec["ms"],
            "began": time.monotonic(),
            "how": spec.get("how", "done"),
        }
        loop = asyncio.get_running_loop()
        run["timer"] = loop.call_later(run["ms"] / 1000, self.end, run, run["how"])
        self.site.started(self, run)
        self.runs[task] = run
        return 200, {"clock_ms": self.clock_ms()}

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run["run"] == number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self.end, run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    def end(self, run, how):
        if self.runs.get(run["task"]) is not run:
            return
        run["timer"].cancel()
        del self.runs[run["task"]]
        self.highest[run["task"]] = max(run["run"], self.highest.get(run["task"], 0))
        self.ends += 1
        self.ended.append([self.ends, run["task"], run["run"], how, ""])
        self.site.ended(self, run, how)
        self.news.set()
        self.news = asyncio.Event()

    async def hold(self, order):
        if order.get("deadline_ms") is not None:
            self.grant(order["deadline_ms"])
        self.ended = [row for row in self.ended if row[0] > order["acked_upto"]]
        if order.get("wait_ms") and not self.ended:
            try:
                wait_s = min(order["wait_ms"], 2000) / 1000
                await asyncio.wait_for(self.news.wait(), wait_s)
            except TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            share = (time.monotonic() - run["began"]) * 1000 / run["ms"]
            percent = min(99, int(100 * share))
            running.append([run["task"], run["run"], "", percent, 1600])
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }


# Relays


class Relay:
    """TCP relay in front of one process; delays, cuts, silences or resets."""

    def __init__(self, listen, destination):
        self.listen = listen
        self.destination = destination
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.open_pairs = []
        self.server = None

    async def open(self):
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(
            self.connect, host, int(port), reuse_address=True
        )

    async def connect(self, reader, writer):
        host, _, port = self.destination.rpartition(":")
        await self.flowing.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {"silent": False, "writers": (writer, far_writer)}
        self.open_pairs.append(pair)
        try:
            await asyncio.gather(
                self.copy(reader, far_writer, writer, pair),
                self.copy(far_reader, writer, far_writer, pair),
            )
        except asyncio.CancelledError:
            return
        finally:
            self.open_pairs.remove(pair)

    async def copy(self, source, sink, back, pair):
        try:
            while data := await source.read(65_536):
                await self.flowing.wait()
                if pair["silent"]:
                    # The bytes are never acknowledged: the sender's kernel closes the
                    # connection after the time that the sender has set.
                    await asyncio.sleep(2.0)
                    back.transport.abort()
                    return
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        if not pair["silent"]:
            await self.flowing.wait()
            sink.close()

    def silence(self):
        """Let the open connections go silent for good; new ones work."""
        for pair in self.open_pairs:
            pair["silent"] = True

    def cut(self):
        """Hold back all bytes, and all new connections."""
        self.flowing.clear()

    def heal(self):
        """End a cut; bytes held back are delivered."""
        self.flowing.set()

    def reset(self):
        """Reset the open connections."""
        for pair in self.open_pairs:
            for writer in pair["writers"]:
                writer.transport.abort()


# The deployment


class Site:
    """Entry instances and guards as processes, and the stand-ins around them.

    Parameters
    ----------
    folder : Path
        Folder of the case; `record.txt` is written there.
    executors : int
        Number of guards, each with an executor.
    relayed : collection of str
        Names of nodes whose peers reach them through a relay.
    entries : int
        Number of entry instances.
    """

    def __init__(self, folder, executors=11, relayed=(), entries=3, labels=None):
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(self.folder / "record.txt", "w")
        self.began = time.monotonic()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.network = random.randrange(40, 250)
        self.ports = free_ports(self.network)
        self.store = Store()
        self.relays = {}
        self.processes = {}
        self.executors = []
        self.needs = {}
        self.violations = []
        self.entries_turned_away = False
        self.on_started = lambda executor, run: None
        self.on_ended = lambda executor, run, how: None
        self.run_log = []
        self.entries = [f"entry{n}" for n in range(entries)]
        self.guards = [f"guard{n}" for n in range(executors)]
        self.relayed = set(relayed)
        for n, guard in enumerate(self.guards):
            zone = ZONES[n % 3]
            self.executors.append(
                Executor(
                    self,
                    f"x{n}",
                    zone,
                    self.at(guard, "app"),
                    self.at(guard, "control"),
                    (labels or (lambda n: []))(n),
                )
            )

    def log(self, event, /, **fields):
        at = time.monotonic() - self.began
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.write(f"{at:8.3f} {event} {text}\n")
        self.record.flush()

    def started(self, executor, run):
        self.log("start", executor=executor.id, task=run["task"], run=run["run"])
        self.on_started(executor, run)

    def ended(self, executor, run, how):
        self.log("end", executor=executor.id, task=run["task"], run=run["run"], how=how)
        self.on_ended(executor, run, how)

    def violation(self, text):
        self.violations.append(text)
        self.log("BROKEN", what=text)

    def host(self, name, relay=False):
        kind = name.rstrip("0123456789")
        number = int(name[len(kind) :] or 0)
        third = {"store": 0, "entry": 1, "guard": 2}[kind] + (10 if relay else 0)
        return f"127.{self.network}.{third}.{number + 1}"

    def at(self, name, port, relay=False):
        return f"{self.host(name, relay)}:{self.ports[port]}"

    def settings(self, name):
        """Return the fields that the platform fills into the template."""
        role = name.rstrip("0123456789")
        number = int(name[len(role) :])
        listen = {}
        if role == "entry":
            listen = {
                "front": self.at(name, "front"),
                "ready_addr": self.at(name, "ready"),
            }
        else:
            listen = {"control": self.at(name, "control")}
        return {
            "node": name,
            "zone": ZONES[number % 3],
            "ip": self.host(name),
            "internal_ports": [self.ports["peers"], self.ports["metrics"]],
            "listen": listen,
            "platform": {"address": self.store_address(role)},
            "seeds": [],
            "bounds": BOUNDS,
            "limits": LIMITS,
        }

    def store_address(self, role):
        """Return the store's address; entry instances have one of their own."""
        return self.at("store1" if role == "entry" else "store", "store")

    async def answer_entries(self, *request):
        """Answer a call of an entry instance to the store, unless it is turned away."""
        if self.entries_turned_away:
            return None
        answer = await self.store.handle(*request)
        return None if self.entries_turned_away else answer

    def write_settings(self, name):
        template = (REPO / "deploy" / "node.yaml").read_text()
        text = render(template, self.settings(name))
        if name in self.relayed:
            advertised = self.at(name, "peers", relay=True)
            text = text.replace("listen:\n", f'listen:\n  advertised: "{advertised}"\n')
        path = self.temporary / f"{name}.yaml"
        path.write_text(text)
        return path

    def spawn(self, name):
        """Start the program of a node with the command of the deploy file."""
        role = name.rstrip("0123456789")
        deploy = tomllib.loads((REPO / "deploy" / "system.toml").read_text())
        command = deploy["roles"][role]["run"].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= deploy["roles"][role].get("env", {})
        environment["PYTHONPATH"] = str(REPO / "target" / "deps")
        environment["HAWTHORNTRACK_BOOT"] = str(self.write_settings(name))
        with open(self.temporary / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=REPO, env=environment, stdout=log, stderr=log
            )
        self.log("process started", node=name)

    def signal(self, name, number):
        self.log("signal", node=name, number=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def configure(self, version, routes, enforces=True):
        """Write a configuration as the operator does."""
        body = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "hostname": HOST,
                    "path_prefix": f"/{name}/",
                    "service": "work",
                    "target_latency_ms": 60,
                    "priority": 0,
                    "max_attempts": 3,
                    "stretch": 1.6,
                    **fields,
                }
                for name, fields in routes.items()
            ],
            "services": [
                {"name": name, "enforces_capacity": enforces}
                for name in dict.fromkeys(x.service for x in self.executors)
            ],
            "limits": {},
        }
        self.log("configuration", version=version, routes=",".join(routes))
        self.store.write("op", "config", json.dumps(body).encode())

    def evacuate(self, zone, out=True):
        self.log("evacuate" if out else "take back", zone=zone)
        value = json.dumps({"zone": zone}).encode() if out else None
        self.store.write("op", f"evacuate/{zone}", value)

    async def start(self, routes):
        self.store_server = HttpServer(self.at("store", "store"), self.store.handle)
        await self.store_server.open()
        self.entry_store_server = HttpServer(
            self.store_address("entry"), self.answer_entries
        )
        await self.entry_store_server.open()
        self.configure(1, routes)
        for name in self.relayed:
            self.relays[name] = Relay(
                self.at(name, "peers", relay=True), self.at(name, "peers")
            )
            await self.relays[name].open()
        for executor in self.executors:
            await executor.start()
        for name in [*self.entries, *self.guards]:
            self.spawn(name)
        await self.wait_ready(self.entries)
        await asyncio.sleep(3.5)

    async def wait_ready(self, names, limit_s=30.0):
        limit = time.monotonic() + limit_s
        for name in names:
            while True:
                answer = await call(
                    self.at(name, "ready"), "GET", "/v1/ready", timeout_s=1.0
                )
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > limit:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.1)

    async def submit(self, entry, queue, job, steps, spec, deadline_ms=20_000):
        """Hand in a job and wait for its answer; None if there is none."""
        need = {
            "cpu": steps[0].get("cpu", 0),
            "mem_mb": steps[0].get("mem_mb", 0),
        }
        self.needs[job] = need
        body = {"spec": json.dumps(spec), "steps": steps, "best_effort": True}
        self.log("POST", job=job, node=entry)
        answer = await call(
            self.at(entry, "front"),
            "POST",
            f"/{queue}/{job}",
            body,
            (f"Host: {HOST}", f"Hawthorntrack-Deadline-Ms: {deadline_ms}"),
            deadline_ms / 1000,
        )
        self.log("POST answered", job=job, node=entry, answer=answer)
        return answer

    async def request(self, entry, method, queue, job):
        """Ask for the state of a job (GET), or cancel it (DELETE)."""
        self.log(method, job=job, node=entry)
        answer = await call(
            self.at(entry, "front"),
            method,
            f"/{queue}/{job}",
            None,
            (f"Host: {HOST}", "Hawthorntrack-Deadline-Ms: 2000"),
            2.0,
        )
        self.log(f"{method} answered", job=job, node=entry, answer=answer)
        return answer

    async def press(self, queue, per_s, steps, spec, deadline_ms=1_500):
        """Hand in jobs at a steady rate, to each entry instance in turn."""
        pending = set()
        number = 0
        try:
            while True:
                entry = self.entries[number % len(self.entries)]
                number += 1
                work = self.submit(entry, queue, new_job(), steps, spec, deadline_ms)
                task = asyncio.create_task(work)
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(1 / per_s)
        finally:
            for task in pending:
                task.cancel()

    async def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for executor in self.executors:
            if executor.up:
                await executor.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def render(template, fields):
    """Fill in the placeholders of a settings template that have no sections."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if found is None:
            return ""
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def free_ports(network):
    """Return ports that are free on a loopback address, by their use."""
    names = ("peers", "metrics", "front", "ready", "control", "store", "app")
    while True:
        first = random.randrange(10_000, 30_000)
        try:
            for offset in range(len(names)):
                with socket.socket() as probe:
                    probe.bind((f"127.{network}.1.1", first + offset))
        except OSError:
            continue
        return {name: first + offset for offset, name in enumerate(names)}


def new_job():
    """Return an ID of 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


def run_case(case, folder, **options):
    """Run a case on a site; return the exit status of its script.

    `case(site)` is a coroutine function. 1: the rule was broken; 0: it held; 2: the
    case could not run.
    """

    async def main():
        site = Site(folder, **options)
        try:
            async with asyncio.timeout(110):
                await case(site)
        except (CannotRun, TimeoutError, OSError) as error:
            site.log("cannot run", error=repr(error))
            return 2
        finally:
            await site.close()
        site.log("result", broken=len(site.violations))
        return 1 if site.violations else 0

    return asyncio.run(main())
