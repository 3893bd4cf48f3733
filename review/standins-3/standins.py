"""Stand-ins for the platform, its workers and its clients, and the start of the project's own processes.

Everything runs on loopback addresses and on the real clock. The stand-ins follow the users' page PROTOCOL.md; where it is
silent, they behave like a sound store, worker or client. A case under review/ describes its deployment with `World`, acts,
and judges what its clients and workers have seen (`World.events`).
"""

import asyncio
import base64
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
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "nutmegwalk-platform")
METRICS_PORT = "9464"
CALLERS, READY, STORE, CONTROL, INTERNAL, APP, LINK = 8521, 8523, 8524, 8526, 7000, 8080, 7100
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.05
ROUND_TRIP_S = 0.04
GANG_S = 3.0
ZONES = [("recife-suape", "recife"), ("fortaleza-pecem", "fortaleza"), ("salvador-aratu", "salvador")]
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
orders=rpc
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txMs=3.0
platform.partWritesS=300
platform.rowBytes=65536
platform.across=true
platform.historyS=20
platform.blobBytes=8388608
heartbeatMs=1500
bootstrap=true
"""


class CannotRun(Exception):
    """The case could not be played."""


# HTTP ---------------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads the first line, the headers and the body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves `handler(method, path, query, headers, body) -> (status, object)`; a status of None leaves a call unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self.handler(method, path, query, headers, body)
                if status is None:
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode() if answer is not None else b""
                kind = "content-type: application/json\r\n" if data else ""
                writer.write(f"HTTP/1.1 {status} X\r\n{kind}content-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, headers=None, body=None, timeout=3.0, connection=None):
    """Sends one request; returns (status, body), or (None, reason) without a complete answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(data)}", "content-type: application/json"]
            given = {"host": f"{address[0]}:{address[1]}", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "connection ended"
            line, _, answer = message
            return int(line.split(" ")[1]), (json.loads(answer) if answer[:1] == b"{" else None)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except OSError as error:
        return None, str(error)


# The platform's store -----------------------------------------------------------------------------------------------


class Store:
    """Rows of the platform's store. `server` makes one entrance to it for each process of the system."""

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()

    def put(self, table, part, key, value):
        self.version += 1
        self.apply(table, part, key, value)
        self.wake()

    def remove(self, table, part, key):
        self.version += 1
        self.apply(table, part, key, None)
        self.wake()

    def apply(self, table, part, key, value):
        if value is None:
            if self.rows.pop((table, part, key), None) is None:
                return
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.history.append((self.version, table, part, key, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, name, translate):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": translate(value), "ver": version}

    def answer(self, **fields):
        return {"ver": self.version, "nowMs": self.world.clock_ms(), **fields}

    def server(self, translate=lambda value: value, translate_back=lambda value: value):
        async def handle(method, path, query, headers, body):
            await asyncio.sleep(0.002)
            if path == "/api/rows-tx":
                return self.transact(json.loads(body), translate, translate_back)
            if path == "/api/rows-get":
                return self.get(query, translate)
            if path == "/api/rows-feed":
                return await self.feed(query, translate)
            return 404, None
        return HttpServer(handle)

    def transact(self, body, translate, translate_back):
        expected = body.get("expectedRevision", [])
        names = [(row["table"], row["part"], row["key"]) for row in expected]
        held = all(self.rows.get(name, (None, 0))[1] == row["ver"] for name, row in zip(names, expected))
        if not held:
            return 412, self.answer(rows=[self.row(name, translate) for name in names if name in self.rows])
        self.version += 1
        for row in body.get("puts", []):
            self.apply(row["table"], row["part"], row["key"], translate_back(row["value"]))
        for row in body.get("remove", []):
            self.apply(row["table"], row["part"], row["key"], None)
        self.wake()
        return 200, self.answer()

    def get(self, query, translate):
        limit = min(int(query.get("limit", "500")), 500)
        start, end = query.get("from", ""), query.get("target", "")
        names = sorted(
            name for name in self.rows
            if name[0] == query["table"] and name[1] == query.get("part", "")
            and name[2] >= start and (not end or name[2] < end)
        )
        rows = [self.row(name, translate) for name in names[:limit]]
        return 200, self.answer(rows=rows, hasMore=len(names) > limit)

    async def feed(self, query, translate):
        after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            found = [entry for entry in self.history if entry[0] > after and entry[1] == query["table"]]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for version, table, part, key, value in found:
            row = {"table": table, "part": part, "key": key, "ver": version}
            row.update({"deleted": True} if value is None else {"value": translate(value)})
            rows.append(row)
        return 200, self.answer(rows=rows)


# Workers ------------------------------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, run, spec):
        self.task, self.run, self.spec = task, run, spec
        self.started_at = time.monotonic()
        words = dict(word.partition("=")[::2] for word in spec.split())
        self.work_s = float(words.get("work", "3600"))
        self.lasts = "lasts" in words
        self.gpu = int(words.get("gpu", "0"))

    def percent(self):
        age = time.monotonic() - self.started_at
        return min(100, int(100 * age / (0.2 if self.lasts else max(self.work_s, 0.001))))


class Worker:
    """One worker and its successive lives."""

    def __init__(self, world, number, ip, zone, rack, capacity, label="a"):
        self.world, self.number, self.ip, self.zone = world, number, ip, zone
        self.machine, self.labels, self.capacity = f"m-{number}", [label, rack], capacity
        self.service = "spoil-tickets"
        self.state = "ready"
        self.is_up = True
        self.beats = True
        self.control = (ip, CONTROL)
        self.on_start = None
        self.sheds = False
        self.server = HttpServer(self.handle)
        self.life = 0
        self.begin_life()

    def begin_life(self, worker_id=None):
        self.life += 1
        self.id = worker_id or f"i-{self.number}-{self.life}"
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.lease_until_ms, self.fence, self.seq, self.next_end = 0, 0, 0, 1
        self.running, self.ended, self.closed = {}, [], {}
        self.has_news = asyncio.Event()
        self.state = "ready"
        self.is_up = True

    async def start(self):
        await self.server.start(self.ip, APP)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    def crash(self):
        """Ends this life: everything that runs is gone, and nothing answers."""
        self.is_up = False
        for run in list(self.running.values()):
            self.world.record("run lost with its worker", worker=self.id, task=run.task, run=run.run)
        self.running.clear()
        self.server.reset_connections()
        self.world.record("worker crashed", worker=self.id)

    def beat_body(self):
        self.seq += 1
        return {
            "service": self.service, "address": f"{self.ip}:{APP}", "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
            "machine": self.machine, "born": self.born, "clockMs": self.clock_ms(), "seq": self.seq,
        }

    async def send_beat(self, address=None):
        body = self.beat_body()
        status, _ = await call(address or self.control, "PUT", f"/api/instances/{self.id}", body=body, timeout=1.0)
        return body, status

    async def beat(self):
        while True:
            if self.is_up and self.beats:
                await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.is_up:
                continue
            for run in list(self.running.values()):
                if self.clock_ms() > self.lease_until_ms:
                    self.end(run, "lapsed")
                elif not run.lasts and time.monotonic() - run.started_at >= run.work_s:
                    self.end(run, "done")

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.run)
        self.ended.append([self.next_end, run.task, run.run, how, ""])
        self.next_end += 1
        self.world.record("run ended", worker=self.id, task=run.task, run=run.run, how=how)
        self.has_news.set()

    async def handle(self, method, path, query, headers, body):
        if not self.is_up:
            return None, None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, None
        body = json.loads(body or b"{}")
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence", "born": self.born}
        self.fence = token
        if path == "/api/hold":
            return await self.hold(body)
        if path == "/api/run-start":
            return self.run_start(body)
        if path == "/api/run-stop":
            run = self.running.get(body["task"])
            if run is not None and run.run == body["run"]:
                asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
            else:
                self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["run"])
            return 200, {"clockMs": self.clock_ms()}
        if path == "/api/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, None

    def extend(self, until_ms):
        if until_ms is not None:
            self.lease_until_ms = max(self.lease_until_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))

    async def hold(self, body):
        self.extend(body.get("deadlineMs"))
        self.ended = [end for end in self.ended if end[0] > body.get("lastSeen", 0)]
        wait = min(body.get("waitMs", 0), 2000) / 1000
        life = self.life
        if wait and not self.ended:
            self.has_news.clear()
            try:
                await asyncio.wait_for(self.has_news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.is_up or life != self.life:
            return None, None
        running = [[run.task, run.run, "", run.percent(), 0] for run in self.running.values()]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def run_start(self, body):
        if self.sheds:
            self.world.record("start refused with 503", worker=self.id, task=body["task"], run=body["run"])
            return 503, None
        self.extend(body["deadlineMs"])
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.run == number:
            return 200, {"clockMs": self.clock_ms()}
        reason = None
        if body["deadlineMs"] <= self.clock_ms():
            reason = "late"
        elif self.closed.get(task, 0) >= number:
            reason = "old"
        if reason:
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        run = Run(task, number, body["spec"])
        self.running[task] = run
        self.world.record("run started", worker=self.id, task=task, run=number, state=self.state)
        if self.on_start:
            self.on_start(self, run)
        return 200, {"clockMs": self.clock_ms()}

    def used_gpu(self):
        return sum(run.gpu for run in self.running.values())


# Links and processes ------------------------------------------------------------------------------------------------


class Link:
    """Forwards connections and can be cut, as a network is: silently and both ways.

    Bytes that are sent during the cut on a connection from before it are delivered after it, when TCP sends them again; that
    is `resume_s` after its end. A connection that is opened during the cut is established after it, if its opener still waits.
    """

    def __init__(self, target, rewrite=lambda data: data):
        self.target, self.rewrite = target, rewrite
        self.resume_s = 0.0
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.relay, ip, port)

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    async def pass_bytes(self):
        while not self.is_open.is_set():
            await self.is_open.wait()
            await asyncio.sleep(self.resume_s)

    async def relay(self, reader, writer):
        if not self.is_open.is_set():
            waiting = asyncio.ensure_future(self.is_open.wait())
            while not waiting.done():
                await asyncio.sleep(0.01)
                if reader.at_eof():
                    waiting.cancel()
                    writer.close()
                    return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return

        async def copy(source, sink, back):
            try:
                while True:
                    data = await source.read(65536)
                    await self.pass_bytes()
                    if not data:
                        break
                    if back.at_eof():
                        # The process at the other end is gone, and its host resets the connection.
                        writer.transport.abort()
                        far_writer.transport.abort()
                        return
                    sink.write(self.rewrite(data))
                    await sink.drain()
                # The end of a connection is a packet of its own, sent again once the bytes before it were acknowledged.
                await asyncio.sleep(ROUND_TRIP_S)
                sink.write_eof()
            except (OSError, RuntimeError):
                pass

        await asyncio.gather(copy(reader, far_writer, far_reader), copy(far_reader, writer, reader))
        far_writer.close()
        writer.close()


class Links:
    """The links of one host to the other hosts of the system and to the store, in both directions."""

    def __init__(self, world, number, hosts):
        self.world, self.number, self.hosts = world, number, hosts
        self.links = []

    def address(self, number, port=INTERNAL):
        return f"{self.world.network}.{number + 1}", port

    async def start(self):
        own_ip = self.address(self.number)[0]
        octets = bytes(int(octet) for octet in own_ip.split("."))
        packed = b"\x94" + b"".join(bytes([octet]) if octet < 128 else b"\xcc" + bytes([octet]) for octet in octets)
        port = lambda number: b"\xcd" + number.to_bytes(2, "big")

        def announce_link(data):
            # Other hosts reach this one over its link, too.
            return data.replace(packed + port(INTERNAL), packed + port(LINK + 99))

        for other in range(self.hosts):
            if other != self.number:
                link = Link(self.address(other), announce_link)
                await link.start(own_ip, LINK + other)
                self.links.append(link)
        inbound = Link(self.address(self.number))
        await inbound.start(own_ip, LINK + 99)
        store = Link((own_ip, STORE + 100))
        await store.start(own_ip, STORE)
        self.links += [inbound, store]

    def translations(self):
        """Returns how this host reads the addresses in the store's rows, and how it writes them."""
        def replace(value, pairs):
            text = base64.b64decode(value).decode()
            for old, new in pairs:
                text = text.replace(old, new)
            return base64.b64encode(text.encode()).decode()

        others = [other for other in range(self.hosts) if other != self.number]
        own_ip = self.address(self.number)[0]
        pairs = [(f'"{self.address(other)[0]}:{INTERNAL}"', f'"{own_ip}:{LINK + other}"') for other in others]
        return (lambda value: replace(value, pairs)), (lambda value: replace(value, [(b, a) for a, b in pairs]))

    def cut(self):
        self.world.record("host cut off", host=self.number)
        for link in self.links:
            link.cut()

    def heal(self, resume_s):
        self.world.record("cut ended", host=self.number)
        for link in self.links:
            link.resume_s = resume_s
            link.heal()


class Process:
    """A program of the system, started with the command of the deploy file."""

    def __init__(self, world, role, name, settings):
        self.world, self.role, self.name = world, role, name
        self.settings = os.path.join(world.directory, f"{name}.conf")
        self.log = os.path.join(world.directory, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.child = None
        self.spawn()

    def spawn(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [PROGRAM, self.role, "--metrics-port", METRICS_PORT], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                cwd=ROOT, env={"NUTMEGWALK_SETTINGS": self.settings, "PATH": os.environ.get("PATH", "")},
            )
        self.world.record("process started", name=self.name)

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child:
            self.child.kill()
            self.child.wait()
            self.world.record("process killed", name=self.name)
            self.child = None

    def log_lines(self, *words):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if all(word in line for word in words)]


class World:
    """A small deployment: entry hosts, agents with their workers, the store and clients."""

    def __init__(self, case):
        self.case = case
        self.began = time.monotonic()
        self.events = []
        self.file = open(os.path.join(os.path.dirname(os.path.abspath(case)), "record.txt"), "w", encoding="utf-8")
        self.directory = tempfile.mkdtemp(prefix="nutmegwalk-review-")
        self.store = Store(self)
        self.network = f"127.{random.randrange(64, 240)}.{random.randrange(1, 255)}"
        self.workers, self.agents, self.entries = [], [], []

    def now(self):
        return time.monotonic() - self.began

    def clock_ms(self):
        return self.now() * 1000

    def owner(self):
        """Returns the number of the host that owns the domain, from the lease row in the store; None if there is none."""
        row = self.store.rows.get(("control", "", "owner/all"))
        if row is None:
            return None
        ip = json.loads(base64.b64decode(row[0]))["address"].rpartition(":")[0]
        return int(ip.rpartition(".")[2]) - 1

    def record(self, what, **fields):
        self.events.append((self.now(), what, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()

    def found(self, what, **fields):
        return [
            event for event in self.events
            if event[1] == what and all(event[2].get(name) == value for name, value in fields.items())
        ]

    def publish(self, config):
        self.store.put("op", "", "config", base64.b64encode(json.dumps(config).encode()).decode())
        self.record("manifest confirmed", version=config["version"])

    def settings(self, name, ip, zone, role, extra):
        zones = "".join(f"zones.{zone_name}={region}\n" for zone_name, region in ZONES)
        return (
            f"nodeName={name}\nrole={role}\nip={ip}\nzone={zone[0]}\nregion={zone[1]}\n{zones}"
            f"internalPorts={INTERNAL},{INTERNAL + 15}\nplatform.address={ip}:{STORE}\n{BOUNDS}{extra}"
        )

    async def start(self, config, entries=2, workers=4, capacity=None, cut_host=None, zone_of=None, kinds=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program is not built")
        self.publish(config)
        capacity = capacity or {"cpu": 64000, "memMb": 131072, "gpu": 8}
        for number in range(workers):
            zone = (zone_of or (lambda n: ZONES[n % 3]))(number)
            ip = f"{self.network}.{number + 1}"
            if number == cut_host:
                # Another host owns the domain then.
                await asyncio.sleep(0.2)
                self.links = Links(self, number, workers)
                await self.links.start()
                await self.store.server(*self.links.translations()).start(ip, STORE + 100)
            else:
                await self.store.server().start(ip, STORE)
            worker = Worker(self, number, ip, zone[0], f"r-{number // 3}", capacity, (kinds or {}).get(number, "a"))
            await worker.start()
            self.workers.append(worker)
            name = f"side-{zone[0]}-{number}"
            extra = f"machineClass=side\nserves=side\nlisten.control={ip}:{CONTROL}\napp={ip}:{APP}\n"
            self.agents.append(Process(self, "agent", name, self.settings(name, ip, zone, "agent", extra)))
        for number in range(entries):
            zone = ZONES[number % 3]
            ip = f"{self.network}.{number + 101}"
            await self.store.server().start(ip, STORE)
            name = f"front-{zone[0]}-{number}"
            extra = f"machineClass=front\nserves=front\nlisten.front={ip}:{CALLERS}\nlisten.ready={ip}:{READY}\n"
            self.entries.append(Process(self, "entry", name, self.settings(name, ip, zone, "entry", extra)))
        await self.wait_until(self.is_ready, 15, "the system did not become ready")

    async def is_ready(self):
        for number in range(len(self.entries)):
            status, _ = await call((f"{self.network}.{number + 101}", READY), "GET", "/api/readiness", timeout=1)
            if status != 200:
                return False
        return all(worker.fence > 0 for worker in self.workers if worker.is_up)

    async def wait_until(self, condition, limit, problem):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)
        raise CannotRun(problem)

    async def client(self, method, path, key, body=None, entry=0):
        address = (f"{self.network}.{entry + 101}", CALLERS)
        headers = {"host": "desk.example", "x-deadline-ms": "3000"}
        if key:
            headers["api-key"] = key
        status, answer = await call(address, method, path, headers, body, 3.0)
        self.record("call", method=method, path=path, key=key, status=status, answer=answer)
        return status, answer

    async def submit(self, path, key, body):
        """Hands a job in as a client does, with retries at other hosts."""
        for attempt in range(5):
            status, _ = await self.client("POST", path, key, body, entry=attempt % len(self.entries))
            if status == 200:
                return self.now()
            await asyncio.sleep(0.5)
        raise CannotRun(f"{path} was not accepted")

    def close(self, keep=False):
        for process in self.agents + self.entries:
            if process.child:
                process.child.kill()
                process.child.wait()
        if keep:
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        self.file.close()


def job(spec, *steps, **fields):
    return {"spec": spec, "steps": list(steps), **fields}


def step(count, gpu, cpu=1000, mem=1000, estimate=3000, **fields):
    return {"count": count, "cpu": cpu, "memMb": mem, "gpu": gpu, "estimateMs": estimate, **fields}


def configuration(version, guaranteed=(("mill", 8), ("harbour", 0)), attempts=3):
    """Queues `urgent` (priority 0), `normal` (1) and `low` (2), and the tenants with their keys `NAME-key`."""
    routes = [
        {
            "name": name, "host": "desk.example", "pathPrefix": f"/{name}/", "service": "spoil-tickets",
            "priority": priority, "maxAttempts": attempts, "stretch": 3.0, "targetCompletionMs": 1000,
        }
        for name, priority in (("urgent", 0), ("normal", 1), ("low", 2))
    ]
    tenants = [{"name": name, "apiKeys": [f"{name}-key"], "guaranteed": {"gpu": gpu}} for name, gpu in guaranteed]
    return {
        "version": version, "routes": routes, "services": [{"name": "spoil-tickets"}], "tenants": tenants,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
    }


def play(case, scenario):
    """Runs `scenario(world, trouble) -> list of broken rules` and exits as the cases of this review do."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(case)
        try:
            broken = await asyncio.wait_for(scenario(world, trouble), 110)
        except CannotRun as problem:
            world.record("the case could not run", problem=problem)
            print(f"could not run: {problem}")
            return 2
        except asyncio.TimeoutError:
            world.record("the case could not run", problem="out of time")
            return 2
        finally:
            world.close(keep="KEEP" in os.environ)
        return broken

    loop = asyncio.new_event_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    result = loop.run_until_complete(run())
    if result == 2:
        os._exit(2)
    for line in result:
        print(f"broken: {line}")
    path = os.path.join(os.path.dirname(os.path.abspath(case)), "record.txt")
    with open(path, "a", encoding="utf-8") as file:
        file.writelines(f"broken: {line}\n" for line in result)
        if not result:
            file.write("no rule broken\n")
    sys.stdout.flush()
    os._exit(1 if result else 0)
