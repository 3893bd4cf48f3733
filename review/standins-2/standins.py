"""Stand-ins for the platform: metadata store, workers, clients and the operator, and a small deployment of the real programs.

Everything listens on loopback addresses of its own, as a machine does. The store and the workers follow PROTOCOL.md.
"""

import base64
import http.client
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
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
QUEUE_HOST = "desk.example"
ZONES = ["recife-suape", "fortaleza-pecem", "salvador-aratu"]
REGIONS = ["recife", "fortaleza", "salvador"]
# Bounds of the small sites, as the settings file carries them.
BOUNDS = {
    "contactMs": 4000, "ackMs": 5000, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2500,
    "maxStretchMs": 6000, "revokeFailClosed": "true", "revokeMs": 5000, "evacuateMs": 5000, "recoverS": 12,
    "holdMaxMs": 6000, "stopMs": 200, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "farX": 3, "checkpointS": 1, "restoreMs": 100, "leaseMs": 3000,
    "reclaimMs": 2700,
}
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be brought about, so it says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started_at

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address, answer):
        self.answer = answer
        self.connections = set()
        super().__init__(address, Connection)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    def end(self):
        """Stops listening and resets all connections, as a process that has ended does."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Connection(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.connections.add(self.connection)

    def finish(self):
        self.server.connections.discard(self.connection)
        super().finish()

    def log_message(self, *args):
        pass

    def respond(self):
        length = int(self.headers.get("content-length") or 0)
        body = self.rfile.read(length) if length else b""
        result = self.server.answer(self.command, self.path, self.headers, body)
        if result is None:
            # No answer: the connection stays silent until the peer gives up.
            self.close_connection = True
            time.sleep(8)
            return
        status, content = result
        data = b"" if content is None else json.dumps(content).encode()
        head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        try:
            self.wfile.write(head.encode() + data)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = respond


class Store:
    """The platform's metadata store (tables only)."""

    def __init__(self, address, record):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = threading.Condition()
        self.started_at = time.monotonic()
        self.record = record
        # Called with the body of each transaction. Returns None, or the seconds after which the transaction is applied
        # if its conditions still hold; it then gets no answer.
        self.delay_write = None
        self.server = Server(address, self.answer)

    def now_ms(self):
        return (time.monotonic() - self.started_at) * 1000.0

    def answer(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/rows-tx":
            transaction = json.loads(body)
            delay_s = self.delay_write(transaction) if self.delay_write else None
            if delay_s is not None:
                threading.Thread(target=self.apply_later, args=(transaction, delay_s), daemon=True).start()
                return None
            time.sleep(0.004)
            return self.apply(transaction)
        if url.path == "/api/rows-get":
            return self.get(query)
        if url.path == "/api/rows-feed":
            return self.feed(query)
        return 404, {}

    def apply_later(self, transaction, delay_s):
        time.sleep(delay_s)
        status, _ = self.apply(transaction)
        self.record(f"store: applied a write that had got no answer, {delay_s} s later: {status}")

    def apply(self, transaction):
        with self.changed:
            expected = transaction.get("expectedRevision", [])
            key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
            if any(self.rows.get(key_of(row), (0,))[0] != row["ver"] for row in expected):
                known = [key_of(row) for row in expected if key_of(row) in self.rows]
                return 412, {"rows": [self.row(key) for key in known], "ver": self.version, "nowMs": self.now_ms()}
            self.version += 1
            for row in transaction.get("puts", []):
                self.put(key_of(row), row["value"])
            for row in transaction.get("remove", []):
                if self.rows.pop(key_of(row), None):
                    table, part, key = key_of(row)
                    self.changes.append({"table": table, "part": part, "key": key, "ver": self.version, "deleted": True})
            self.changed.notify_all()
            return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def put(self, key, value):
        self.rows[key] = (self.version, value)
        self.changes.append(self.row(key))

    def row(self, key):
        version, value = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    def get(self, query):
        start, end = query.get("from", ""), query.get("target", "")
        limit = min(int(query.get("limit", 500)), 500)
        with self.changed:
            keys = sorted(
                key for key in self.rows
                if key[0] == query["table"] and key[1] == query.get("part", "")
                and key[2] >= start and (not end or key[2] < end)
            )
            rows = [self.row(key) for key in keys[:limit]]
            return 200, {"rows": rows, "hasMore": len(keys) > limit, "ver": self.version, "nowMs": self.now_ms()}

    def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000.0
        with self.changed:
            while True:
                rows = [row for row in self.changes if row["ver"] > after and row["table"] == query["table"]]
                remaining = until - time.monotonic()
                if rows or remaining <= 0:
                    return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
                self.changed.wait(remaining)

    def operate(self, name, value):
        """Writes a row of the operator."""
        with self.changed:
            self.version += 1
            self.put(("op", "", name), base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()


class Run:
    """One run of one task on one life of a worker."""

    def __init__(self, worker, task, number, spec):
        self.worker, self.task, self.number, self.spec = worker, task, number, spec
        self.started_at = time.monotonic()
        self.ends_at = None
        self.outcome = "done"
        self.how = None
        self.ended_at = None
        self.stopping_until = None


class Worker:
    """A worker: `run-start`, `run-stop`, `hold`, and the check-ins at the agent on its machine."""

    def __init__(self, number, address, control, zone, record, behaviour, gpu=8):
        self.number, self.address, self.control, self.zone = number, address, control, zone
        self.record, self.behaviour, self.gpu = record, behaviour, gpu
        self.lock = threading.Condition()
        self.life = 0
        self.runs = []  # all runs of all lives
        self.noted = []  # ends that `lastSeen` has reached, with the time and the life
        self.server = None
        self.state = "ready"
        # May delay or lose an answer: called as hook(path, body, status, content) outside the lock, after the request was
        # carried out. Returns False to give no answer.
        self.answer_hook = None
        # May delay a request before it is carried out: called as hook(path, body) outside the lock.
        self.request_hook = None
        # Offset of the machine's time of day from the true one.
        self.day_offset_ms = 0
        self.same_id = False
        # Time from the start of a life until its first check-in; the next ones follow every `heartbeatMs`.
        self.first_check_in_s = 0.0
        self.start()

    # Lives.
    def start(self):
        with self.lock:
            self.life += 1
            self.id = f"i-{self.number}" if self.same_id or self.life == 1 else f"i-{self.number}-{self.life}"
            self.born = int(time.time() * 1000) + self.day_offset_ms
            self.born_at = time.monotonic()
            self.fence = 0
            self.lease_until = 0
            self.running, self.ended, self.highest = {}, [], {}
            self.end_count, self.sequence, self.is_up = 0, 0, True
        life = self.life
        self.server = Server(self.address, self.answer)
        self.record(f"worker {self.number}: life {life} begins, id {self.id}, born {self.born}")
        threading.Thread(target=self.work, args=(life,), daemon=True).start()
        threading.Thread(target=self.check_in, args=(life,), daemon=True).start()

    def crash(self):
        with self.lock:
            self.is_up = False
            for run in self.running.values():
                run.how, run.ended_at = "crashed", time.monotonic()
            names = [f"{run.task}#{run.number}" for run in self.running.values()]
            self.running = {}
            self.lock.notify_all()
        self.server.end()
        self.record(f"worker {self.number}: life {self.life} crashes with {names}")

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    # Work.
    def work(self, life):
        while self.is_up and self.life == life:
            time.sleep(0.005)
            with self.lock:
                if not self.is_up or self.life != life:
                    return
                now = time.monotonic()
                if self.running and self.clock_ms() > self.lease_until:
                    for run in list(self.running.values()):
                        self.finish(run, "lapsed")
                for run in list(self.running.values()):
                    if run.stopping_until is not None and now >= run.stopping_until:
                        self.finish(run, "stopped")
                    elif run.stopping_until is None and run.ends_at is not None and now >= run.ends_at:
                        self.finish(run, run.outcome)

    def finish(self, run, how):
        run.how, run.ended_at = how, time.monotonic()
        self.running.pop((run.task, run.number), None)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.record(f"worker {self.number}: {run.task}#{run.number} ends {how}")
        self.lock.notify_all()

    # Calls.
    def answer(self, method, path, headers, body):
        if headers.get("x-expect-instance") not in (None, self.id):
            return 421, {"clockMs": self.clock_ms()}
        body = json.loads(body)
        handler = {"/api/run-start": self.run_start, "/api/run-stop": self.run_stop, "/api/hold": self.hold}.get(path)
        if handler is None:
            return 404, {}
        if self.request_hook is not None:
            self.request_hook(path, body)
        with self.lock:
            if not self.is_up:
                return None
            if body.get("fencingToken", 0) < self.fence:
                return 409, {"clockMs": self.clock_ms(), "reason": "fence", "born": self.born}
            self.fence = body.get("fencingToken", 0)
            status, content = handler(body)
            content["clockMs"], content["born"] = self.clock_ms(), self.born
        if self.answer_hook is not None and self.answer_hook(path, body, status, content) is False:
            return None
        return status, content

    def extend(self, body):
        if "deadlineMs" in body:
            until = min(body["deadlineMs"], self.clock_ms() + BOUNDS["holdMaxMs"])
            self.lease_until = max(self.lease_until, until)

    def run_start(self, body):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body)
        if (task, number) in self.running:
            return 200, {}
        if number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        run = Run(self, task, number, body["spec"])
        run.life = self.life
        self.behaviour(run)
        self.running[task, number] = run
        self.runs.append(run)
        self.record(f"worker {self.number}: starts {task}#{number}, fence {self.fence}")
        return 200, {}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None and run.stopping_until is None:
            run.stopping_until = time.monotonic() + BOUNDS["stopMs"] * 0.9 / 1000.0
        self.record(f"worker {self.number}: told to stop {task}#{number}")
        return 200, {}

    def hold(self, body):
        self.extend(body)
        seen = body.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.noted.append((end, time.monotonic(), self.life))
                self.record(f"worker {self.number}: lastSeen {seen} takes note of end {end[0]}, {end[1]}#{end[2]} {end[3]}")
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000.0
        life = self.life
        while not self.ended and self.is_up and self.life == life and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        now = time.monotonic()
        running = []
        for run in self.running.values():
            percent = 100 if run.ends_at is None else min(99, int(100 * (now - run.started_at) / (run.ends_at - run.started_at)))
            running.append([run.task, run.number, "", percent, 0])
        return 200, {"running": running, "ended": list(self.ended[:500])}

    # Check-ins.
    def check_in(self, life):
        time.sleep(self.first_check_in_s)
        while self.is_up and self.life == life:
            with self.lock:
                self.sequence += 1
                body = {
                    "service": "spoil-tickets", "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                    "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
                    "capacity": {"cpu": 64000, "memMb": 131072, "gpu": self.gpu},
                    "labels": ["a", f"r{self.number // 3}"], "machine": f"m-{self.number}",
                    "clockMs": self.clock_ms(), "seq": self.sequence, "born": self.born,
                }
            status = request(self.control, "PUT", f"/api/instances/{self.id}", body, timeout_s=1.0)[0]
            time.sleep(HEARTBEAT_S if status == 200 else 0.2)


def request(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Sends one request on a connection of its own. Returns status and body; the status is None without an answer."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text) if text else {}
        except ValueError:
            return response.status, {}
    except (OSError, http.client.HTTPException):
        return None, {}
    finally:
        connection.close()


class Client:
    """A client of one tenant."""

    def __init__(self, deployment, key):
        self.deployment, self.key = deployment, key

    def call(self, entry, method, queue, job="", body=None, timeout_s=3.0):
        headers = {"Host": QUEUE_HOST, "Api-Key": self.key, "X-Deadline-Ms": str(int(timeout_s * 1000))}
        address = self.deployment.entries[entry]
        status, content = request(address, method, f"/{queue}/{job}", body, headers, timeout_s)
        self.deployment.record(f"client {self.key}: {method} /{queue}/{job} at entry {entry} -> {status} {content if method == 'GET' else ''}")
        return status, content

    def submit(self, queue, job, steps, spec="x", tries=4, entry=0, **more):
        """Submits a job as a client does, with repetitions; raises CannotRun if it is not accepted."""
        for attempt in range(tries):
            status, _ = self.call((entry + attempt) % len(self.deployment.entries), "POST", queue, job, {"spec": spec, "steps": steps, **more})
            if status == 200:
                return
            time.sleep(0.5)
        raise CannotRun(f"job {job} was not accepted")


def job_id():
    return f"{random.getrandbits(64):016x}"


def route(name, priority, attempts):
    return {
        "name": name, "host": QUEUE_HOST, "pathPrefix": f"/{name}/", "service": "spoil-tickets", "priority": priority,
        "maxAttempts": attempts, "stretch": 3.0, "targetCompletionMs": 1000,
    }


def manifest(guaranteed=None):
    """Two queues, two tenants."""
    guaranteed = guaranteed or {}
    return {
        "version": 3, "routes": [route("urgent", 0, 2), route("normal", 1, 4)],
        "services": [{"name": "spoil-tickets", "admissionCheck": False}], "limits": {},
        "tenants": [
            {"name": name, "apiKeys": [f"{name}-key"], "guaranteed": {"gpu": guaranteed.get(name, 0)}} for name in ("port", "barge")
        ],
    }


class Deployment:
    """The programs of the deploy file on a few machines, each with a loopback address of its own."""

    def __init__(self, record, entries, workers, behaviour, config):
        self.record = record
        self.program = os.path.join(ROOT, "target", "release", "nutmegwalk-platform")
        if not os.path.exists(self.program):
            raise CannotRun("the build of the deploy file is missing")
        self.folder = tempfile.mkdtemp(prefix="nutmegwalk-review-")
        self.processes = {}
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.store = Store((f"{self.net}.1", 8524), record)
        self.store.operate("config", config)
        self.entries, self.workers = [], []
        for number in range(workers):
            ip, zone = f"{self.net}.{100 + number}", number % len(ZONES)
            name = f"side-{ZONES[zone]}-{number // len(ZONES) + 1}"
            control = (ip, 8526)
            self.write_settings(name, "side", ip, zone, {"listen.control": f"{ip}:8526", "app": f"{ip}:8080"})
            self.spawn(name, "agent")
            self.workers.append(Worker(number, (ip, 8080), control, ZONES[zone], record, behaviour))
        for number in range(entries):
            ip, zone = f"{self.net}.{10 + number}", number % len(ZONES)
            name = f"front-{ZONES[zone]}-{number // len(ZONES) + 1}"
            ready = f"{ip}:8523"
            self.write_settings(name, "front", ip, zone, {"listen.front": f"{ip}:8521", "listen.ready": ready})
            self.spawn(name, "entry")
            self.entries.append((ip, 8521))
        self.wait_ready()

    def write_settings(self, name, machine_class, ip, zone, more):
        fields = {
            "nodeName": name, "machineClass": machine_class, "serves": machine_class, "ip": ip, "zone": ZONES[zone],
            "region": REGIONS[zone], "internalPorts": "7000,7015", "bootstrap": "true", "discovery": "local", "entry": "vip",
            "heartbeatMs": 1500, "orders": "rpc", "platform.address": f"{self.net}.1:8524", "platform.form": "table",
            "platform.writesPerS": 800, "platform.readsPerS": 2000, "platform.rowBytes": 65536, "platform.across": "true",
            **{f"bounds.{bound}": value for bound, value in BOUNDS.items()}, **more,
        }
        with open(os.path.join(self.folder, f"{name}.conf"), "w", encoding="utf-8") as file:
            file.writelines(f"{field}={value}\n" for field, value in fields.items())

    def spawn(self, name, role):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "NUTMEGWALK_SETTINGS": os.path.join(self.folder, f"{name}.conf")}
        self.processes[name] = subprocess.Popen(
            [self.program, role, "--metrics-port", "9464"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        self.record(f"started {name} ({role})")

    def wait_ready(self, limit_s=15.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answers = [request((entry[0], 8523), "GET", "/api/readiness", timeout_s=1.0)[0] for entry in self.entries]
            if all(status == 200 for status in answers) and all(worker.lease_until > 0 for worker in self.workers):
                self.record("all entry hosts are ready, all workers are supervised")
                return
            time.sleep(0.1)
        raise CannotRun("the deployment did not become ready")

    def runs(self, job):
        runs = [run for worker in self.workers for run in list(worker.runs) if run.task.startswith(job + ".")]
        return sorted(runs, key=lambda run: run.started_at)

    def wait_for(self, what, limit_s, check):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            value = check()
            if value:
                return value
            time.sleep(0.01)
        raise CannotRun(f"did not see within {limit_s} s: {what}")

    def end(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for worker in self.workers:
            worker.is_up = False
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case, **setup):
    """Runs `case(deployment, trouble, record)`, which returns a list of broken rules. Exits with 0, 1 or 2."""
    record = Record(os.environ.get("RECORD") or os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment, code = None, 2
    watchdog = threading.Timer(110, lambda: (deployment and deployment.end(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    try:
        deployment = Deployment(record, **setup)
        broken = case(deployment, trouble, record)
        for text in broken:
            record(f"BROKEN {text}")
            print(text)
        code = 1 if broken else 0
    except CannotRun as problem:
        record(f"the case could not run: {problem}")
        print(f"could not run: {problem}")
    finally:
        if deployment is not None:
            deployment.end()
        record(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)


def task(gpu=8, count=1, estimate_ms=5000, **more):
    return {"count": count, "cpu": 4000, "memMb": 8000, "gpu": gpu, "estimateMs": estimate_ms, **more}


def work_ms(spec, default=1000):
    found = re.search(r"work=(\d+)", spec)
    return int(found.group(1)) if found else default
