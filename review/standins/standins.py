"""Stand-ins for the platform, its workers, its operator and its clients, on loopback addresses and the real clock.

They follow PROTOCOL.md. The programs under test are started as separate processes with the commands of
`deploy/system.toml` and with settings like those that DEPLOY.md shows.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]

# Bounds of the two sites of SYSTEM.md, as DEPLOY.md shows them.
BOUNDS = """bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=2500
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2500
bounds.rollbackSlackMs=250
bounds.maxStretchMs=6000
bounds.revokeFailClosed=true
bounds.revokeMs=5000
bounds.coldOver=1.5
bounds.coldSlack=5
bounds.evacuateMs=5000
bounds.recoverS=12
bounds.holdMaxMs=6000
bounds.stopMs=200
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.farX=3
bounds.checkpointS=1
bounds.restoreMs=100
bounds.noticeMs=5500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.fencingEnforced=true
bounds.leaseMs=3000
bounds.thawMs=300
bounds.paceMs=100
bounds.harmMs=4000
bounds.reclaimMs=2700
"""
HOLD_MAX_MS = 6000
STOP_MS = 200
GANG_MS = 3000
CHECKPOINT_MS = 1000
HEARTBEAT_S = 1.5
ROW_BYTES = 65536
SERVICE = "huvo11a"
HOST = "nony24.example"
ZONES = {"recife-suape": "recife", "fortaleza-pecem": "fortaleza", "salvador-aratu": "salvador"}


class Record:
    """Lines of `record.txt`, with the time since the start of the record in seconds."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves `handler(method, path, query, headers, body) -> (status, object)`; None closes the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.connections = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 24)

    async def stop(self):
        if self.server is not None:
            self.server.close()
            for writer in list(self.connections):
                writer.transport.abort()
            self.server = None

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handler(method, unquote(url.path), query, headers, body)
                if answer is None:
                    break
                status, content = answer
                data = b"" if content is None else json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


async def http_call(address, method, path, headers=None, body=None, timeout=3.0):
    """Sends one request on a connection of its own; returns status, headers and body, or None without an answer."""

    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": ip, "Content-Type": "application/json", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            lines += [f"Content-Length: {len(data)}", "", ""]
            writer.write("\r\n".join(lines).encode() + data)
            await writer.drain()
            first, answer_headers, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer_headers, answer
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


# --- The platform's store -----------------------------------------------------------------------------------------


class Store:
    """The metadata store: rows, transactions and the feed of changes."""

    TX_S = 0.003

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 100
        self.log = []
        self.changed = asyncio.Event()
        self.started_at = time.monotonic()
        self.server = HttpServer(self.handle)
        self.refused = {}

    def now_ms(self):
        return (time.monotonic() - self.started_at) * 1000

    def commit(self, puts, removed):
        self.version += 1
        for location, value in puts:
            self.rows[location] = (value, self.version)
            self.log.append((self.version, location, value))
        for location in removed:
            if self.rows.pop(location, None) is not None:
                self.log.append((self.version, location, None))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def write_as_operator(self, key, value):
        self.commit([(("op", "", key), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def remove_as_operator(self, key):
        self.commit([], [("op", "", key)])

    def row(self, location, value, version):
        table, part, key = location
        row = {"table": table, "part": part, "key": key, "ver": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def refuse(self, status, reason):
        if reason not in self.refused:
            self.record.write(f"store: first refusal with {status}: {reason}")
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return status, {"error": reason}

    def transact(self, body):
        expected, puts, remove = body.get("expectedRevision", []), body.get("puts", []), body.get("remove", [])
        if len(expected) + len(puts) + len(remove) > 100:
            return self.refuse(400, "more than 100 entries")
        if len({row["part"] for row in expected + puts + remove}) > 1 and not body.get("across"):
            return self.refuse(400, "several parts")
        for row in puts:
            if len(base64.b64decode(row["value"])) > ROW_BYTES:
                return self.refuse(400, f"a value of more than rowBytes={ROW_BYTES} bytes in table {row['table']}")
            if row["table"] in ("op", "servers"):
                return self.refuse(403, "a table that the system may not write")
        location = lambda row: (row["table"], row["part"], row["key"])
        current = lambda row: self.rows.get(location(row), (None, 0))
        if any(current(row)[1] != row["ver"] for row in expected):
            rows = [self.row(location(row), *current(row)) for row in expected if location(row) in self.rows]
            return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
        self.commit([(location(row), row["value"]) for row in puts], [location(row) for row in remove])
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    async def handle(self, method, path, query, headers, body):
        if path == "/api/rows-tx":
            if len(body) > 1 << 20:
                return self.refuse(400, "a call of more than 1 MB")
            await asyncio.sleep(self.TX_S)
            return self.transact(json.loads(body))
        if path == "/api/rows-get":
            await asyncio.sleep(0.001)
            table, part = query["table"], query.get("part", "")
            low, high = query.get("from", ""), query.get("target")
            limit = min(int(query.get("limit", "500")), 500)
            found = sorted(
                (location[2], location)
                for location in self.rows
                if location[:2] == (table, part) and location[2] >= low and (high is None or location[2] < high)
            )
            rows = [self.row(location, *self.rows[location]) for _, location in found[:limit]]
            return 200, {"rows": rows, "hasMore": len(found) > limit, "ver": self.version, "nowMs": self.now_ms()}
        if path == "/api/rows-feed":
            table, after = query["table"], int(query["after"])
            until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
            while True:
                first = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
                rows = [
                    self.row(location, value, version)
                    for version, location, value in self.log[first:]
                    if location[0] == table
                ]
                remaining = until - time.monotonic()
                if rows or remaining <= 0:
                    return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining)
                except asyncio.TimeoutError:
                    pass
        return 404, None


# --- Workers ------------------------------------------------------------------------------------------------------


class Gangs:
    """Gangs over all workers: members work from the moment at which all of them are present."""

    def __init__(self):
        self.sizes = {}
        self.present = {}

    def key(self, task, run):
        job, occurrence, step, _ = task.rsplit(".", 3)
        return job, occurrence, step, run

    def size(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.sizes.get((job, int(step)), 0)


class Worker:
    """One machine with its worker.

    `behaviour(task)` gives the work of a task in ms and how it ends. A task that ends `lasting` works until it is stopped,
    and is at work at once.
    """

    def __init__(self, name, ip, zone, rack, capacity, record, behaviour, gangs, port=8529):
        self.name, self.ip, self.zone, self.rack, self.capacity = name, ip, zone, rack, capacity
        self.record, self.behaviour, self.gangs, self.port = record, behaviour, gangs, port
        self.agent = None
        self.server = HttpServer(self.handle)
        self.machine = f"m-{random.getrandbits(20):05x}"
        self.state = "ready"
        self.remaining_ms = None
        self.on_start = None
        self.is_up = False
        self.tasks = []
        self.starts = []
        self.ends_listed = []

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, worker_id=None):
        self.id = worker_id or f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.closed = {}
        self.ended_event = asyncio.Event()
        self.state, self.remaining_ms = "ready", None
        self.is_up = True
        await self.server.start(self.ip, self.port)
        self.tasks = [asyncio.create_task(self.send_heartbeats()), asyncio.create_task(self.run_tasks())]
        self.record.write(f"worker {self.name} is up as {self.id}")

    async def crash(self):
        """Ends the worker without notice; everything on it is gone."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        gone = sorted(f"{task} run {entry['run']}" for task, entry in self.running.items())
        self.record.write(f"worker {self.name} ({self.id}) crashes with {len(gone)} runs: {', '.join(gone[:6])}")
        for task, entry in list(self.running.items()):
            self.gangs.present.get(self.gangs.key(task, entry["run"]), set()).discard(task)
        self.running = {}

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def heartbeat(self):
        self.sequence += 1
        body = {
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": ["a", self.rack],
            "clockMs": self.clock_ms(), "seq": self.sequence, "born": self.born, "machine": self.machine,
        }
        if self.state == "draining":
            body["remainingMs"] = self.remaining_ms
        return body

    async def send(self, body):
        answer = await http_call(self.agent, "PUT", f"/api/instances/{self.id}", None, body, 1.0)
        return answer is not None and 200 <= answer[0] < 300

    async def send_heartbeats(self):
        await asyncio.sleep(random.random() * 0.3)
        while True:
            if self.agent is not None:
                await self.send(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, task, how):
        entry = self.running.pop(task)
        self.end_count += 1
        self.closed[task] = max(self.closed.get(task, 0), entry["run"])
        self.ended.append([self.end_count, task, entry["run"], how, entry["saved"]])
        self.ends_listed.append((time.monotonic(), task, entry["run"], how))
        self.record.write(f"worker {self.name}: {task} run {entry['run']} ends {how}")
        event, self.ended_event = self.ended_event, asyncio.Event()
        event.set()

    async def run_tasks(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            step_ms, last = (now - last) * 1000, now
            if self.running and self.clock_ms() > self.lease_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")
                continue
            for task, entry in list(self.running.items()):
                if entry["stop_at"] is not None:
                    if now >= entry["stop_at"]:
                        self.end(task, "stopped")
                    continue
                size = self.gangs.size(task)
                if size and len(self.gangs.present[self.gangs.key(task, entry["run"])]) < size:
                    if now - entry["since"] > GANG_MS / 1000:
                        self.end(task, "alone")
                    continue
                entry["worked_ms"] += step_ms
                if entry["how"] != "lasting" and entry["worked_ms"] >= entry["work_ms"]:
                    self.end(task, entry["how"])

    def hold_lease(self, deadline_ms):
        limit = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit))

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock_ms()}
        if method != "POST" or path not in ("/api/run-start", "/api/run-stop", "/api/hold", "/api/pace"):
            return 404, None
        body = json.loads(body)
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence", "born": self.born}
        self.fence = token
        if path == "/api/run-start":
            return self.start_run(body)
        if path == "/api/run-stop":
            task, run = body["task"], body["run"]
            entry = self.running.get(task)
            if entry is not None and entry["run"] <= run:
                if entry["stop_at"] is None:
                    entry["stop_at"] = time.monotonic() + 0.05
            else:
                self.closed[task] = max(self.closed.get(task, 0), run)
            return 200, {"clockMs": self.clock_ms(), "born": self.born}
        if path == "/api/pace":
            return 200, {"clockMs": self.clock_ms(), "born": self.born}
        if "deadlineMs" in body:
            self.hold_lease(body["deadlineMs"])
        self.ended = [end for end in self.ended if end[0] > body.get("lastSeen", 0)]
        if not self.ended and body.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.ended_event.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [
            [task, entry["run"], entry["saved"], self.percent(entry), 0]
            for task, entry in self.running.items()
        ]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def percent(self, entry):
        return 100 if entry["how"] == "lasting" else int(min(99, 100 * entry["worked_ms"] / entry["work_ms"]))

    def start_run(self, body):
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late", "born": self.born}
        self.hold_lease(body["deadlineMs"])
        entry = self.running.get(task)
        if entry is not None and entry["run"] == run:
            return 200, {"clockMs": self.clock_ms(), "born": self.born}
        if run <= self.closed.get(task, 0) or entry is not None:
            return 409, {"clockMs": self.clock_ms(), "reason": "old", "born": self.born}
        work_ms, how = self.behaviour(task)
        self.running[task] = {
            "run": run, "since": time.monotonic(), "worked_ms": 0.0, "work_ms": max(work_ms, 1), "how": how,
            "saved": "", "stop_at": None,
        }
        if self.gangs.size(task):
            self.gangs.present.setdefault(self.gangs.key(task, run), set()).add(task)
        self.starts.append((time.monotonic(), task, run))
        self.record.write(f"worker {self.name} ({self.id}) begins {task} run {run}")
        if self.on_start is not None:
            self.on_start(self, task, run)
        return 200, {"clockMs": self.clock_ms(), "born": self.born}


# --- The system under test ----------------------------------------------------------------------------------------


def free_ip():
    """Returns a loopback address on which the ports of a machine are free."""
    while True:
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for port in (7000, 8521, 8523, 8524, 8526, 8529, 9464):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip
        except OSError:
            continue


class Process:
    """A process of the system, started with its command of the deploy file."""

    def __init__(self, role, name, settings, folder):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"][role]["run"].split(" ")
        self.name = name
        self.settings = folder / f"{name}.conf"
        self.settings.write_text(settings)
        self.log = folder / f"{name}.log"
        self.child = None

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["NUTMEGWALK_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child is not None:
            if self.child.poll() is None:
                self.child.kill()
            self.child.wait()


class Site:
    """A small deployment: the store, three entry hosts, and machines with a worker and an agent each."""

    def __init__(self, record, behaviour, machines=11, cores=64, memory_mb=128000, gpus=8, routes=None, tenants=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="nutmegwalk-review-"))
        self.store = Store(record)
        self.gangs = Gangs()
        self.entries, self.agents, self.workers, self.entry_addresses = [], [], [], []
        self.store_ip = free_ip()
        self.routes = routes or [route("assay", "/assay/", 1, 2, 3.0, 1200), route("ticket", "/ticket/", 0, 2, 1.5, 500),
                                 route("reconcile", "/reconcile/", 2, 4, 3.0, 3000)]
        self.tenants = tenants or [{"name": "kaje80", "apiKeys": ["d4a3hwrr6x73d3zji9n7"], "guaranteed": {"gpu": 16}}]
        self.version = 7
        self.shown = {}
        zones = list(ZONES)
        for index in range(3):
            self.add_entry(index, zones[index])
        for index in range(machines):
            zone = zones[index * 3 // machines]
            capacity = {"cpu": cores * 1000, "memMb": memory_mb, "gpu": gpus}
            self.add_machine(index, zone, f"r{index * 3 // machines}-{index // 3}", capacity, behaviour)

    def settings(self, name, machine_class, ip, zone):
        zones = "".join(f"zones.{zone}={region}\n" for zone, region in ZONES.items())
        return (
            f"nodeName={name}\nrole={'entry' if machine_class == 'front' else 'agent'}\nmachineClass={machine_class}\n"
            f"ip={ip}\nzone={zone}\nregion={ZONES[zone]}\n{zones}internalPorts=7000,7015\nbootstrap=true\n"
            f"limits.cores=1\nlimits.maxFds=4096\ndiscovery=local\nentry=vip\nheartbeatMs=1500\n"
            f"contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing\n{BOUNDS}"
            f"orders=rpc\nplatform.address={self.store_ip}:8524\nplatform.form=table\nplatform.writesPerS=800\n"
            f"platform.readsPerS=2000\nplatform.txMs=3.0\nplatform.partWritesS=300\nplatform.rowBytes={ROW_BYTES}\n"
            f"platform.across=true\nplatform.historyS=20\nplatform.blobBytes=8388608\n"
        )

    def add_entry(self, index, zone):
        ip, name = free_ip(), f"front-{zone}-{index}"
        text = self.settings(name, "front", ip, zone)
        text += f"serves=front\nlisten.front={ip}:8521\nlisten.ready={ip}:8523\nlimits.memoryMb=260\nlimits.cpuShare=0.25\n"
        self.entries.append(Process("entry", name, text, self.folder))
        self.entry_addresses.append((f"{ip}:8521", f"{ip}:8523"))

    def add_machine(self, index, zone, rack, capacity, behaviour):
        ip, name = free_ip(), f"side-{zone}-{index}"
        text = self.settings(name, "side", ip, zone)
        text += f"serves=side\nlisten.control={ip}:8526\napp={ip}:8529\nservice={SERVICE}\nlimits.memoryMb=128\nlimits.cpuShare=0.15\n"
        self.agents.append(Process("agent", name, text, self.folder))
        worker = Worker(f"{zone}-{index}", ip, zone, rack, capacity, self.record, behaviour, self.gangs)
        worker.agent = f"{ip}:8526"
        self.workers.append(worker)

    def manifest(self):
        service = {"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "admissionCheck": False, "spare": False}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        return {"version": self.version, "routes": self.routes, "services": [service], "limits": limits, "tenants": self.tenants}

    async def start(self):
        await self.store.server.start(self.store_ip, 8524)
        self.store.write_as_operator("config", self.manifest())
        for process in self.entries + self.agents:
            process.start()
        for worker in self.workers:
            await worker.start()
        until = time.monotonic() + 20
        for _, ready in self.entry_addresses:
            while True:
                answer = await http_call(ready, "GET", "/api/readiness", None, None, 1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError("the entry hosts are not ready in time")
                await asyncio.sleep(0.1)
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(6.0)
        self.record.write("the deployment is up")

    async def stop(self):
        for process in self.entries + self.agents:
            process.kill()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
            await worker.server.stop()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, method, prefix, job_id, body=None, key=None, timeout_ms=3000, entry=None):
        """Sends one request of a client to an entry host; returns the status (None without an answer) and the body."""
        index = random.randrange(len(self.entry_addresses)) if entry is None else entry
        headers = {"Host": HOST, "Api-Key": key or self.tenants[0]["apiKeys"][0], "X-Deadline-Ms": str(timeout_ms)}
        answer = await http_call(self.entry_addresses[index][0], method, f"{prefix}{job_id}", headers, body, timeout_ms / 1000)
        if answer is None:
            return None, {}
        try:
            return answer[0], json.loads(answer[2])
        except ValueError:
            return answer[0], {}

    async def submit(self, prefix, body, key=None, job_id=None):
        """Hands a job in, with up to four retries; returns its id, and the time of its confirmation or None."""
        job_id = job_id or f"{random.getrandbits(64):016x}"
        for step, content in enumerate(body["steps"]):
            if content.get("gang"):
                self.gangs.sizes[(job_id, step)] = content["count"]
        for _ in range(5):
            status, _ = await self.call("POST", prefix, job_id, body, key)
            self.record.write(f"client: POST {prefix}{job_id} -> {status}")
            if status == 200:
                return job_id, time.monotonic()
            if status not in (None, 429, 502, 503, 504):
                return job_id, None
            await asyncio.sleep(1.0)
        return job_id, None

    async def state(self, prefix, job_id, key=None):
        for _ in range(3):
            status, body = await self.call("GET", prefix, job_id, None, key)
            if status in (200, 410):
                state = body.get("state", status)
                if self.shown.get(job_id) != state:
                    self.shown[job_id] = state
                    self.record.write(f"client: GET {prefix}{job_id} -> {status} {state}")
                return state
            await asyncio.sleep(0.3)
        return None


def route(name, prefix, priority, attempts, stretch, target_ms):
    return {
        "name": f"r-{name}", "host": HOST, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
        "targetCompletionMs": target_ms, "priority": priority, "service": SERVICE, "maxAttempts": attempts,
        "stretch": stretch, "anonymous": False, "allowedRegions": [],
    }


def main(play):
    """Runs `play(site_factory, record, trouble) -> bool`, whether the rule held, and exits with 0, 1 or 2."""
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(trouble)}")
    sites = []

    def make(*args, **kwargs):
        sites.append(Site(record, *args, **kwargs))
        return sites[-1]

    async def run():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(make, record, trouble), 112)
        finally:
            for site in sites:
                await site.stop()

    try:
        held = asyncio.run(run())
    except BaseException as error:  # Any failure of the stand-ins means that the case could not run.
        record.write(f"the case could not run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
