"""Stand-ins for a small deployment on loopback addresses: the platform's store, its workers and
its clients, and the processes under test.

The store and the workers do what PROTOCOL.md says. All run in this one process, on the real
clock. Everything that is sent, answered, started and ended is written to the record.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "review.example"
POOL = "pool"
ROW_BYTES = 65_536
HOLD_MAX_MS = 6_000
STOP_TIMEOUT_MS = 400
MAX_ENDS_PER_ANSWER = 500
TXN_S = 0.005
READ_S = 0.001
# Workers write their entries this often; an entry goes after three missed writes.
HEARTBEAT_MS = 1_500


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """The record of one play: one JSON line an event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = now_ms()

    def at(self):
        return now_ms() - self.started

    def write(self, event, **fields):
        line = {"ms": self.at(), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")

    def close(self):
        self.file.close()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        url = urlsplit(target)
        self.path = url.path
        self.query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


class HttpServer:
    """A keep-alive HTTP/1.1 server. `handle(request)` returns (status, JSON) or None, which closes
    the connection without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.port = 0

    async def open(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                reply = await self.handle(request)
                if reply is None:
                    break
                status, body = reply
                data = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            # The peer has left, or the play is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows with versions, transactions under conditions, and a feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 0
        self.down = False
        self.changed = asyncio.Event()
        self.part_locks = {}
        self.refused_large = 0
        self.http = HttpServer(self.handle)

    def put(self, table, part, key, value):
        self.version += 1
        self.set_row(table, part, key, value)
        self.wake()

    def remove(self, table, part, key):
        self.version += 1
        self.drop_row(table, part, key)
        self.wake()

    def set_row(self, table, part, key, value):
        self.rows.setdefault((table, part), {})[key] = (value, self.version)
        self.changes.append((self.version, table, part, key))

    def drop_row(self, table, part, key):
        self.rows.setdefault((table, part), {}).pop(key, None)
        self.changes.append((self.version, table, part, key))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down):
        self.down = down
        self.record.write("store.down" if down else "store.up")
        self.wake()

    def answer(self, **fields):
        return 200, {**fields, "schema-version": self.version, "now-ms": now_ms()}

    def row(self, table, part, key):
        found = self.rows.get((table, part), {}).get(key)
        base = {"table": table, "part": part, "private-key": key}
        if found is None:
            return None
        value, version = found
        return {**base, "value": base64.b64encode(value).decode(), "schema-version": version}

    async def handle(self, request):
        if self.down:
            return 503, {}
        call = request.path.removeprefix("/hollowford/")
        if call == "rows-tx":
            return await self.transact(request.json())
        if call == "rows-get":
            await asyncio.sleep(READ_S)
            return self.read(request.query)
        if call == "rows-feed":
            return await self.feed(request.query)
        return 404, {}

    async def transact(self, body):
        entries = body.get("expect-rev", []) + body.get("set-keys", []) + body.get("remove", [])
        parts = {e.get("part", "") for e in entries}
        if len(entries) > 100 or len(parts) > 1:
            return 400, {}
        values = [base64.b64decode(e["value"]) for e in body.get("set-keys", [])]
        largest = max(map(len, values), default=0)
        if largest > ROW_BYTES:
            self.refused_large += 1
            if self.refused_large <= 5:
                self.record.write("store.refused_large_row", bytes=largest)
            return 400, {}
        lock = self.part_locks.setdefault(parts.pop() if parts else "", asyncio.Lock())
        async with lock:
            await asyncio.sleep(TXN_S)
            if self.down:
                return 503, {}
            return self.commit(body, values)

    def commit(self, body, values):
        def key(e):
            return e.get("table", ""), e.get("part", ""), e.get("private-key", "")

        def holds(e):
            table, part, k = key(e)
            row = self.rows.get((table, part), {}).get(k)
            return (row[1] if row else 0) == e.get("schema-version", 0)

        expected = body.get("expect-rev", [])
        if not all(map(holds, expected)):
            rows = [r for r in (self.row(*key(e)) for e in expected) if r]
            return 412, {"rows": rows, "schema-version": self.version, "now-ms": now_ms()}
        self.version += 1
        for e, value in zip(body.get("set-keys", []), values):
            self.set_row(*key(e), value)
        for e in body.get("remove", []):
            self.drop_row(*key(e))
        self.wake()
        return self.answer()

    def read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start, end = query.get("start-key", ""), query.get("target-version", "")
        limit = min(int(query.get("limit") or 500), 500)
        keys = sorted(self.rows.get((table, part), {}), key=str.encode)
        keys = [k for k in keys if k >= start and (not end or k < end)]
        rows = [self.row(table, part, k) for k in keys[:limit]]
        return self.answer(rows=rows, **{"has-more": len(keys) > limit})

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("depends-on") or 0)
        until = time.monotonic() + min(int(query.get("wait-ms") or 0), 30_000) / 1000
        while True:
            if self.down:
                return 503, {}
            latest = {}
            for version, t, part, key in self.changes:
                if t == table and version > after:
                    latest[(part, key)] = version
            rows = []
            for (part, key), version in sorted(latest.items(), key=lambda item: item[1]):
                removed = {
                    "table": table, "part": part, "private-key": key, "removed": True,
                    "schema-version": version,
                }
                rows.append(self.row(table, part, key) or removed)
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.answer(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, template, now):
        words = template.split()
        self.task, self.number = task, number
        self.started_at = now
        self.ends_at = now + int(words[0])
        self.cpu = int(words[1])

    def percent(self, now):
        return min(99, 100 * (now - self.started_at) // max(1, self.ends_at - self.started_at))


class Worker:
    """A runner: it checks fences, holds one lease for all that it runs, and lists ends until they
    are acknowledged, at most 500 at once. The template of a task says how long it runs (ms) and
    what it takes (thousandths of a core)."""

    def __init__(self, cell, name, cpu=16_000):
        self.cell, self.name, self.cpu = cell, name, cpu
        self.record = cell.record
        self.fence = 0
        self.lease_until = 0
        self.running = {}
        self.ended = []
        self.last_number = 0
        self.last_ended_run = {}
        self.changed = asyncio.Event()
        self.silent_until = 0
        self.http = HttpServer(self.handle)
        self.state = "ready"
        self.reaches_store = True
        self.sequence = 0
        self.cut_list = False

    async def open(self):
        await self.http.open()
        self.write_entry()
        return self

    def entry(self):
        self.sequence += 1
        return {
            "backend": POOL, "address": f"127.0.0.1:{self.http.port}", "zone": "z",
            "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
            "labels": ["a", "r1"], "clock-ms": now_ms(), "sequence": self.sequence,
        }

    def write_entry(self):
        self.cell.store.put("servers", "", self.name, json.dumps(self.entry()).encode())

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def tick(self):
        now = now_ms()
        for run in list(self.running.values()):
            if run.ends_at <= now:
                self.end(run, "done")
            elif self.lease_until <= now:
                self.end(run, "lapsed")

    def end(self, run, how):
        del self.running[run.task]
        self.last_number += 1
        self.last_ended_run[run.task] = run.number
        self.ended.append([self.last_number, run.task, run.number, how, ""])
        self.record.write(
            "run.ended", worker=self.name, task=run.task, run=run.number, how=how,
            number=self.last_number,
        )
        self.cell.checks.ended(self, run, how, self.last_number)
        self.wake()

    async def handle(self, request):
        if request.headers.get("hollowford-target-instance", self.name) != self.name:
            return 421, {}
        body = request.json()
        call = request.path.removeprefix("/hollowford/")
        if now_ms() < self.silent_until:
            # The order is carried out, but its answer is lost with the connection.
            self.record.write("worker.answer_lost", worker=self.name, call=call)
            if call == "hold":
                await self.hold({**body, "wait-ms": 0})
            elif call in ("run-start", "run-stop", "pace"):
                await self.order(call, body)
            await asyncio.sleep(30)
            return None
        if call == "hold":
            return await self.hold(body)
        return await self.order(call, body)

    def accept(self, body):
        if body.get("fence-token", 0) < self.fence:
            return False
        self.fence = body.get("fence-token", 0)
        deadline = min(body.get("deadline-ms", 0), now_ms() + HOLD_MAX_MS)
        self.lease_until = max(self.lease_until, deadline)
        return True

    def refuse(self, reason):
        return 409, {"clock-ms": now_ms(), "reason": reason}

    async def order(self, call, body):
        if not self.accept(body):
            return self.refuse("fence")
        task, number = body.get("task", ""), body.get("run", 0)
        if call == "run-stop":
            run = self.running.get(task)
            if run and run.number <= number:
                self.end(run, "stopped")
            self.last_ended_run[task] = max(self.last_ended_run.get(task, 0), number)
        elif call == "run-start":
            run = self.running.get(task)
            if run and run.number == number:
                return 200, {"clock-ms": now_ms()}
            if run or number <= self.last_ended_run.get(task, 0):
                return self.refuse("old")
            if body.get("deadline-ms", 0) <= now_ms():
                return self.refuse("late")
            run = Run(task, number, body.get("template", ""), now_ms())
            self.record.write(
                "run.started", worker=self.name, task=task, run=number, fence=self.fence
            )
            self.cell.checks.started(self, run)
            self.running[task] = run
        return 200, {"clock-ms": now_ms()}

    async def hold(self, body):
        if not self.accept(body):
            return self.refuse("fence")
        seen = body.get("last-seen", 0)
        noted = [e for e in self.ended if e[0] <= seen]
        if noted:
            self.record.write(
                "ends.noted", worker=self.name, last_seen=seen, ends=len(noted),
                fence=self.fence,
            )
        for _, task, run, how, _ in noted:
            self.cell.checks.noted(self, task, run, how)
        self.ended = [e for e in self.ended if e[0] > seen]
        until = time.monotonic() + min(body.get("wait-ms", 0), 2_000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = now_ms()
        running = [
            [r.task, r.number, "", r.percent(now), r.cpu] for r in self.running.values()
        ]
        ended = self.ended[:MAX_ENDS_PER_ANSWER]
        if len(ended) < len(self.ended) and not self.cut_list:
            self.record.write("ends.more_than_one_answer_lists", worker=self.name)
        self.cut_list = len(ended) < len(self.ended)
        return 200, {"clock-ms": now_ms(), "running": running, "ended": ended}


class Checks:
    """What the workers see of each task, for the rule TWICE."""

    def __init__(self, record):
        self.record = record
        self.runs = {}
        self.up = {}
        self.overlaps = []
        self.after_done = []
        self.noted_runs = set()
        self.starts = 0
        # Time, task and run of each start.
        self.start_log = []
        self.over_capacity = []

    def started(self, worker, run):
        self.starts += 1
        self.start_log.append((self.record.at(), run.task, run.number))
        for w in self.up.values():
            other = w.running.get(run.task)
            if other:
                self.overlaps.append((self.record.at(), run.task, run.number, w.name, worker.name))
                self.record.write(
                    "two_runs_at_once", task=run.task, run=run.number, worker=worker.name,
                    other_run=other.number, other_worker=w.name,
                )
        done = [key for key, how in self.runs.get(run.task, {}).items() if how == "done"]
        for key in done:
            self.after_done.append((self.record.at(), run.task, run.number, worker.name, key))
            self.record.write(
                "started_after_done", task=run.task, run=run.number, worker=worker.name,
                done_run=key[1], done_worker=key[0],
            )
        used = run.cpu + sum(r.cpu for r in worker.running.values())
        if used > worker.cpu:
            self.over_capacity.append((self.record.at(), worker.name, used))

    def ended(self, worker, run, how, number):
        self.runs.setdefault(run.task, {})[(worker.name, run.number, number)] = how

    def noted(self, worker, task, run, how):
        if how == "done":
            self.noted_runs.add((worker.name, run, task))

    def doubled(self):
        """Returns the runs (task, run) that were started after a run of the task that ended `done`
        and whose end has been taken note of, before or since."""
        noted = [e for e in self.after_done if (e[4][0], e[4][1], e[1]) in self.noted_runs]
        return sorted({(task, run) for _, task, run, _, _ in noted})


class Node:
    """One process of the program under test, started with the command of the deploy file."""

    def __init__(self, cell, number):
        self.cell, self.number = cell, number
        self.ip = cell.ip(number)
        self.process = None
        self.log_path = os.path.join(cell.dir.name, f"node-{number}.log")
        self.file = os.path.join(cell.dir.name, f"node-{number}.toml")

    def settings(self):
        seeds = ",".join(f'"{self.cell.ip(n)}:8166"' for n in range(min(3, self.cell.node_count)))
        store = f"127.0.0.1:{self.cell.store.http.port}"
        return SETTINGS.format(
            name=f"edge-z-{self.number + 1}", ip=self.ip, seeds=seeds, store=store
        )

    async def start(self):
        with open(self.file, "w", encoding="utf-8") as f:
            f.write(self.settings())
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HOLLOWFORD_NODE_FILE"] = self.file
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/release/hollowford", "node", "--metrics", "9464",
                cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            )
        self.cell.record.write("node.started", node=self.number)

    def signal(self, name):
        self.process.send_signal(getattr(signal, name))
        self.cell.record.write("node.signal", node=self.number, signal=name)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()


class Cell:
    """A small deployment."""

    def __init__(self, record, nodes):
        self.record = record
        self.node_count = nodes
        self.prefix = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        self.dir = tempfile.TemporaryDirectory(prefix="hollowford-review-")
        self.checks = Checks(record)
        self.store = Store(record)
        self.workers = {}
        self.nodes = []
        self.config_version = 0
        self.tasks = []

    def ip(self, number):
        return f"{self.prefix}.{number + 1}"

    async def open(self, workers):
        await self.store.http.open()
        self.tasks.append(asyncio.create_task(self.run_workers()))
        for n in range(workers):
            await self.add_worker(f"i-{n:08x}")

    async def add_worker(self, name, cpu=16_000):
        w = await Worker(self, name, cpu).open()
        self.workers[name] = self.checks.up[name] = w
        return w

    async def run_workers(self):
        next_beat = now_ms() + HEARTBEAT_MS
        while True:
            for w in self.workers.values():
                w.tick()
            if now_ms() >= next_beat:
                next_beat += HEARTBEAT_MS
                for w in self.workers.values():
                    if w.reaches_store and not self.store.down:
                        w.write_entry()
            await asyncio.sleep(0.005)

    async def start_nodes(self):
        for n in range(self.node_count):
            self.nodes.append(Node(self, n))
            await self.nodes[n].start()

    def configure(self, routes):
        """Writes a config with these routes: a list of (name, path prefix, max-attempts)."""
        self.config_version += 1
        config = {
            "version": self.config_version,
            "routes": [
                {
                    "name": name, "host": HOST, "path-prefix": prefix, "type": "unsafe",
                    "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 0,
                    "backend": POOL, "max-attempts": attempts, "stretch": 2.0,
                }
                for name, prefix, attempts in routes
            ],
            "services": [
                {
                    "name": POOL, "health-path": "/health", "max-connections": 64,
                    "protocol": "h1", "tls": False, "admission-check": False, "headroom": False,
                }
            ],
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 262144,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
            },
        }
        self.store.put("op", "", "config", json.dumps(config).encode())
        self.record.write(
            "config.acknowledged", version=self.config_version, routes=[r[0] for r in routes]
        )

    async def wait_ready(self, timeout=25):
        until = time.monotonic() + timeout
        for node in self.nodes:
            while True:
                status, _ = await http(node.ip, 8167, "GET", "/hollowford/ready", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"node {node.number} is not ready: {node.log()[-2000:]}")
                await asyncio.sleep(0.1)

    async def call(self, node, method, path, body=None, timeout_ms=3_000, quiet=False):
        """A client's call. Returns the status, or 0 if no answer came, and the decoded body."""
        sent = self.record.at()
        status, data = await http(
            self.nodes[node].ip, 8161, method, path, body,
            headers={"Host": HOST, "Hollowford-Timeout-Ms": str(timeout_ms)},
            timeout=timeout_ms / 1000 + 0.2,
        )
        if not quiet:
            self.record.write(
                "client.call", node=node, method=method, path=path, sent_ms=sent, status=status,
                answer=data,
            )
        return status, data

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                with open(os.path.join(keep, f"node-{node.number}.log"), "w") as f:
                    f.write(node.log())
        self.dir.cleanup()


class CannotRun(Exception):
    """The case couldn't run."""


async def http(ip, port, method, path, body=None, headers=None, timeout=3.2):
    try:
        return await asyncio.wait_for(http_once(ip, port, method, path, body, headers), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, None


async def http_once(ip, port, method, path, body, headers):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in {"Host": ip, **(headers or {})}.items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader):
    status = int((await reader.readline()).split()[1])
    length = 0
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode().partition(":")
        if name.lower() == "content-length":
            length = int(value)
    data = await reader.readexactly(length) if length else b""
    return status, json.loads(data) if data else None


class Channel:
    """A client's channel to a process, which stays open."""

    async def open(self, node):
        self.reader, self.writer = await asyncio.open_connection(node.ip, 8161)
        return self

    def send(self, method, path, timeout_ms=3_000):
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Hollowford-Timeout-Ms: {timeout_ms}",
            "Content-Length: 0",
        ]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def receive(self, timeout=10):
        try:
            return await asyncio.wait_for(read_response(self.reader), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError):
            return 0, None


def job(tasks, run_ms, cpu, steps=1, **fields):
    """A job whose steps follow one another, each with `tasks` tasks that run for `run_ms`."""
    step = {"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": run_ms, **fields}
    phases = [dict(step) for _ in range(steps)]
    for n in range(1, steps):
        phases[n]["depends-on"] = [n - 1]
    return {"template": f"{run_ms} {cpu}", "phases": phases}


def job_id():
    return f"{random.getrandbits(64):016x}"


SETTINGS = """node-name = "{name}"
role = "node"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "z"
region = "r"
port-range = [7720,7735]
seeds = [{seeds}]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
commands = "invoke"
[zones]
z = "r"
[listen]
frontend = "{ip}:8161"
readiness = "{ip}:8167"
control = "{ip}:8166"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
recovery-s = 12
hold-max-ms = 6000
stop-timeout-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far-factor = 1.5
checkpoint-s = 2
restore-ms = 250
notice-ms = 4500
migrate-s = 1.5
maintenance-s = 2
require-fence = false
lease-ms = 3000
thaw-ms = 300
ramp-ms = 100
harm-ms = 4000
[platform]
address = "{store}"
form = "table"
writes-per-s = 600
reads-per-s = 2000
txn-ms = 5.0
partition-writes-s = 200
row-bytes = 65536
across = false
retention-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"""


def run_case(name, play):
    """Runs `play(cell_factory, record, trouble)`, which returns a list of findings, and exits as
    the case's script has to: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(name))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def main():
        cells = []
        # A stopped play ends its processes, too.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)

        def make_cell(nodes):
            cells.append(Cell(record, nodes))
            return cells[-1]

        try:
            return await play(make_cell, record, trouble)
        finally:
            for cell in cells:
                await cell.close()

    try:
        findings = asyncio.run(main())
    except CannotRun as e:
        record.write("cannot_run", why=str(e))
        print(f"cannot run: {e}")
        raise SystemExit(2) from e
    except (Exception, asyncio.CancelledError) as e:
        record.write("cannot_run", why=repr(e))
        print(f"cannot run: {e!r}")
        raise SystemExit(2) from e
    record.write("verdict", broken=bool(findings), findings=findings[:20])
    record.close()
    for line in findings[:10]:
        print(line)
    print(f"trouble={int(trouble)} broken={bool(findings)}")
    raise SystemExit(1 if findings else 0)
