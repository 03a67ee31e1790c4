"""Stand-ins for a small deployment, and the processes under test.

One asyncio program plays the platform's store, the runners and the clients, and starts the
project's own `hollowford node` processes with the command of the deploy file. Everything is on
loopback addresses and the real clock. The stand-ins follow PROTOCOL.md; where it is silent they
behave like a sound store, runner or client.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "hollowford")
# The arguments of `run` in deploy/system.toml.
ARGUMENTS = ["node", "--metrics", "9464"]

# Bounds of the kivu-seis sheet.
HOLD_MAX_MS = 6_000
STOP_TIMEOUT_MS = 400
GANG_TIMEOUT_MS = 3_000
STATUS_S = 120
FINISH_S = 14
# LOST: "for 3 s, a job has nothing running although a task's turn has come, ... and less than half
# of the service's capacity is in use".
NOTHING_RUNNING_S = 3.0
MEMORY_MB = 260
CLIENT_LIMIT_MS = 3_000
CLIENT_RETRIES = 4
RESTART_DELAY_S = 0.5
# After a short start, tasks that last are at work: their percent is 100.
LASTING_START_MS = 500
HEARTBEAT_MS = 1_500
HOST = "nony24.example"
PREFIX = "/lohu930/"
POOL = "huvo11a"


def now_ms():
    return time.monotonic() * 1_000


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")


# --- HTTP ---------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads a request or an answer: its first line, headers and body. None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0") or 0)
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def answer_bytes(status, value):
    body = b"" if value is None else json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class HttpServer:
    """Serves `handle(method, path, query, headers, body) -> (status, value)` at an address.

    A handler that returns None closes the channel without an answer.
    """

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    break
                writer.write(answer_bytes(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_channels(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self.server:
            self.server.close()
        self.reset_channels()


async def http_call(ip, port, method, path, headers=None, value=None, limit_s=3.0):
    """Makes one call on a channel of its own. Returns (status, body), or (None, why)."""
    body = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def run():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22)
        try:
            writer.write(data)
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            return None, "no answer"
        line, _, answer = message
        return int(line.split(" ")[1]), answer

    try:
        return await asyncio.wait_for(run(), limit_s)
    except asyncio.TimeoutError:
        return None, "time limit"
    except OSError as e:
        return None, f"channel: {e.__class__.__name__}"


# --- The platform's store -----------------------------------------------------------------------


class Store:
    """Rows in tables. Reads take 4 ms, transactions of one part 5 ms each, in turn."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 0
        self.history = []  # (version, table, key, part, value or None)
        self.changed = asyncio.Condition()
        self.parts = {}
        self.http = HttpServer(self.handle)

    async def start(self, ip):
        self.ip = ip
        self.port = await self.http.start(ip)

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def put_now(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self.history.append((self.version, table, part, key, value))

    def remove_now(self, table, part, key):
        self.version += 1
        self.rows.pop((table, part, key), None)
        self.history.append((self.version, table, part, key, None))

    async def put(self, table, key, value, part=""):
        async with self.changed:
            self.put_now(table, part, key, base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    async def remove(self, table, key, part=""):
        async with self.changed:
            self.remove_now(table, part, key)
            self.changed.notify_all()

    def row(self, table, part, key):
        value, version = self.rows[(table, part, key)]
        return {"table": table, "part": part, "private-key": key, "value": value, "schema-version": version}

    def answer(self, rows=(), **more):
        return {"rows": list(rows), "schema-version": self.version, "now-ms": now_ms(), **more}

    async def handle(self, method, path, query, headers, body):
        name = path.rsplit("/", 1)[-1]
        if name == "rows-tx":
            return await self.transact(json.loads(body))
        await asyncio.sleep(0.004)
        if name == "rows-get":
            return self.get(query)
        if name == "rows-feed":
            return await self.feed(query)
        if name == "rows-parts":
            parts = sorted({p for (t, p, _) in self.rows if t == query["table"]})
            return 200, {"parts": parts, "schema-version": self.version, "now-ms": now_ms()}
        return 404, {}

    async def transact(self, tx):
        entries = tx["expect-rev"] + tx["set-keys"] + tx["remove"]
        if len(entries) > 100:
            return 400, {}
        part = entries[0]["part"] if entries else ""
        if any(e["part"] != part for e in entries) or any(e["table"] == "servers" for e in entries):
            return 400, {}
        if any(len(e["value"]) * 3 // 4 > 65_536 + 2 for e in tx["set-keys"]):
            return 400, {}
        async with self.parts.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(0.005)
            for e in tx["expect-rev"]:
                key = (e["table"], e["part"], e["private-key"])
                if self.rows.get(key, (None, 0))[1] != e["schema-version"]:
                    keys = [(x["table"], x["part"], x["private-key"]) for x in tx["expect-rev"]]
                    return 412, self.answer(self.row(*k) for k in keys if k in self.rows)
            async with self.changed:
                self.version += 1
                for e in tx["set-keys"]:
                    self.rows[(e["table"], e["part"], e["private-key"])] = (e["value"], self.version)
                    self.history.append((self.version, e["table"], e["part"], e["private-key"], e["value"]))
                for e in tx["remove"]:
                    self.rows.pop((e["table"], e["part"], e["private-key"]), None)
                    self.history.append((self.version, e["table"], e["part"], e["private-key"], None))
                self.changed.notify_all()
            return 200, {"schema-version": self.version, "now-ms": now_ms()}

    def get(self, q):
        table, part, start = q["table"], q.get("part", ""), q.get("start-key", "")
        end, limit = q.get("target-version", ""), min(int(q.get("limit", 500)), 500)
        keys = sorted(k for (t, p, k) in self.rows if t == table and p == part and k >= start and (not end or k < end))
        rows = [self.row(table, part, k) for k in keys[:limit]]
        return 200, self.answer(rows, **{"has-more": len(keys) > limit})

    async def feed(self, q):
        table, after = q["table"], int(q["depends-on"])
        wait = min(int(q.get("wait-ms", 0)), 30_000) / 1_000

        def changes():
            return [h for h in self.history if h[0] > after and h[1] == table]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: bool(changes())), wait or 0.001)
            except asyncio.TimeoutError:
                pass
            rows = []
            for version, t, part, key, value in changes():
                row = {"table": t, "part": part, "private-key": key, "schema-version": version}
                rows.append({**row, "removed": True} if value is None else {**row, "value": value})
            return 200, self.answer(rows)


# --- Runners ------------------------------------------------------------------------------------


class Runner:
    """A runner of 16 cores and 64 GB that doesn't guard its capacity.

    A task's template tells how long it works, in milliseconds, or that it lasts ("lasting").
    """

    def __init__(self, deployment, host, ip, rack, capacity=None):
        self.deployment, self.host, self.ip, self.rack = deployment, host, ip, rack
        self.capacity = capacity or {"cpu": 16_000, "mem-mb": 65_536, "gpu": 0}
        self.http = HttpServer(self.handle)
        self.state = "ready"
        self.sequence = 0
        self.up = False
        # Share of the starts that it rejects with 503, as an unhealthy runner that has done nothing.
        self.unhealthy = 0.0
        # Cut off from the machines of the system and from the store, while it runs on.
        self.cut = False
        self.kinds = ["a"]

    async def start(self, port=0):
        """Begins a life: a new id, nothing running, no fence."""
        self.id = "i-%010x" % random.getrandbits(40)
        self.born = now_ms()
        self.fence, self.lease = 0, 0.0
        self.running, self.ended, self.last_run, self.ends = {}, [], {}, 0
        self.more = asyncio.Event()
        self.port = await self.http.start(self.ip, port)
        self.up = True
        self.task = asyncio.create_task(self.work())
        await self.write_entry()

    def clock(self):
        return int(now_ms() - self.born)

    async def write_entry(self):
        if self.cut:
            return
        self.sequence += 1
        entry = {
            "backend": POOL, "address": f"{self.ip}:{self.port}", "zone": "zone-a", "version": "v1",
            "slots": 8, "state": self.state, "cold-remaining-ms": 0, "capacity": self.capacity,
            "labels": [*self.kinds, self.rack], "clock-ms": self.clock(), "sequence": self.sequence,
        }
        await self.deployment.store.put("servers", self.id, entry)

    async def crash(self):
        """Ends this life without a word. Its entry lapses after three pings."""
        self.up = False
        for task, run in self.running.items():
            self.deployment.run_ended(self, task, run, "lost")
        self.running = {}
        self.task.cancel()
        await self.http.stop()

    async def work(self):
        last_ping = now_ms()
        while True:
            await asyncio.sleep(0.005)
            clock = self.clock()
            for task, run in list(self.running.items()):
                if clock >= run["until"]:
                    self.end(task, "done")
                elif clock >= self.lease:
                    self.end(task, "lapsed")
            if now_ms() - last_ping >= HEARTBEAT_MS:
                last_ping = now_ms()
                await self.write_entry()

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.last_run[task] = max(self.last_run.get(task, 0), run["run"])
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.deployment.run_ended(self, task, run, how)
        self.more.set()

    async def handle(self, method, path, query, headers, body):
        if self.cut:
            # The call is lost, and nobody says so.
            await asyncio.sleep(60)
            return None
        if headers.get("hollowford-target-instance", self.id) != self.id:
            return 421, {"clock-ms": self.clock()}
        order = json.loads(body)
        name = path.rsplit("/", 1)[-1]
        if name == "run-start" and random.random() < self.unhealthy:
            self.deployment.record(f"start rejected with 503 task={order['task']} runner={self.id}")
            return 503, {"clock-ms": self.clock()}
        if order.get("fence-token", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fence-token", 0)
        if "deadline-ms" in order:
            self.lease = max(self.lease, min(order["deadline-ms"], self.clock() + HOLD_MAX_MS))
        if name == "run-start":
            return self.run_start(order)
        if name == "run-stop":
            return self.run_stop(order)
        if name == "hold":
            return await self.hold(order)
        return 200, {"clock-ms": self.clock()}

    def run_start(self, order):
        task, run, clock = order["task"], order["run"], self.clock()
        present = self.running.get(task)
        if present and present["run"] == run:
            return 200, {"clock-ms": clock}
        if present or run <= self.last_run.get(task, 0):
            return 409, {"clock-ms": clock, "reason": "old"}
        if order["deadline-ms"] <= clock:
            return 409, {"clock-ms": clock, "reason": "late"}
        word = order["template"].split(" ")[0]
        lasting = word == "lasting"
        work_ms = LASTING_START_MS if lasting else int(word)
        until = float("inf") if lasting else clock + work_ms
        begun = {"run": run, "until": until, "from": clock, "work": work_ms}
        self.running[task] = begun
        self.deployment.run_started(self, task, begun)
        return 200, {"clock-ms": clock}

    def run_stop(self, order):
        task, run = order["task"], order["run"]
        present = self.running.get(task)
        if present and present["run"] <= run:
            self.end(task, "stopped")
        self.last_run[task] = max(self.last_run.get(task, 0), run)
        return 200, {"clock-ms": self.clock()}

    async def hold(self, order):
        seen = order.get("last-seen", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        wait = min(order.get("wait-ms", 0), 2_000) / 1_000
        if wait and not self.ended:
            self.more.clear()
            try:
                await asyncio.wait_for(self.more.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.up or self.cut:
            return None
        clock = self.clock()

        def percent(run):
            return min(100, int((clock - run["from"]) * 100 / max(1, run["work"])))

        running = [[t, r["run"], "", percent(r), 0] for t, r in self.running.items()]
        return 200, {"clock-ms": clock, "running": running, "ended": self.ended[:500]}


# --- The processes under test -------------------------------------------------------------------


class Node:
    """One `hollowford node` process, which the platform starts again when it ends."""

    def __init__(self, deployment, name, ip, folder):
        self.deployment, self.name, self.ip, self.folder = deployment, name, ip, folder
        self.frontend, self.readiness, self.control = deployment.ports
        self.settings = os.path.join(folder, f"{name}.toml")
        self.process, self.wanted, self.ready = None, False, False
        self.own_ends = 0
        self.peak_mb = 0

    def write_settings(self):
        d = self.deployment
        seeds = ", ".join(f'"{n.ip}:{n.control}"' for n in d.nodes[:3])
        with open(self.settings, "w") as f:
            f.write(f"""node-name = "{self.name}"
role = "node"
machine-class = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "zone-a"
region = "region-a"
port-range = [{self.control}, {self.control + 15}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = {HEARTBEAT_MS}
commands = "invoke"
recommendation = ""
[zones]
zone-a = "region-a"
[listen]
frontend = "{self.ip}:{self.frontend}"
readiness = "{self.ip}:{self.readiness}"
control = "{self.ip}:{self.control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {MEMORY_MB}
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[bounds]
hold-max-ms = {HOLD_MAX_MS}
stop-timeout-ms = {STOP_TIMEOUT_MS}
gang-timeout-ms = {GANG_TIMEOUT_MS}
status_s = {STATUS_S}
[platform]
address = "{d.store.address}"
form = "table"
writes-per-s = 600
reads-per-s = 2000
txn-ms = 5.0
partition-writes-s = 200
row-bytes = 65536
across = false
retention-s = 20
""")

    async def run(self):
        """Keeps the process running until it is no longer wanted."""
        self.wanted = True
        while self.wanted:
            env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                   "HOLLOWFORD_NODE_FILE": self.settings}
            log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, *ARGUMENTS, cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL, start_new_session=True)
            self.deployment.record(f"process {self.name} pid={self.process.pid} started")
            code = await self.process.wait()
            log.close()
            self.ready = False
            self.deployment.record(f"process {self.name} pid={self.process.pid} ended code={code}")
            if self.wanted:
                await asyncio.sleep(RESTART_DELAY_S)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) // 1_024
        except (OSError, AttributeError, ValueError):
            pass
        return 0

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)


def free_ports(count):
    """Finds ports that are free on all loopback addresses now."""
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("0.0.0.0", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Deployment:
    """The store, runners, processes and clients of one run."""

    def __init__(self, folder, nodes=4, runners=8):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = random.randint(10, 250)
        self.store = Store()
        self.ports = free_ports(3)
        self.nodes = [Node(self, f"edge-{i + 1}", f"127.{self.net}.0.{i + 11}", self.folder) for i in range(nodes)]
        self.runners = [Runner(self, f"m-{i}", f"127.{self.net}.1.{i + 11}", f"r-{i // 2}") for i in range(runners)]
        self.tasks = []
        self.starts = []  # (time, task, run, runner id)
        self.ends = []  # (time, task, run, runner id, how)
        self.specs = {}  # job -> what was handed in
        self.key = None  # of the tenant whose clients call
        self.version = 0

    def run_started(self, runner, task, run):
        self.starts.append((time.monotonic(), task, run["run"], runner.id))
        self.record(f"run started task={task} run={run['run']} runner={runner.id}")

    def run_ended(self, runner, task, run, how):
        self.ends.append((time.monotonic(), task, run["run"], runner.id, how))
        self.record(f"run ended task={task} run={run['run']} runner={runner.id} how={how}")

    async def configure(self, routes, tenants=None):
        """Writes a config with these routes: (name, prefix, priority)."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": [{"name": name, "host": HOST, "path-prefix": prefix, "type": "unsafe", "timeout-ms": 3000,
                        "target-latency-ms": 1000, "priority": priority, "backend": POOL, "max-attempts": 4,
                        "stretch": 2.0} for name, prefix, priority in routes],
            "services": [{"name": POOL, "health-path": "/health", "max-connections": 64, "protocol": "h1",
                          "tls": False, "admission-check": False, "headroom": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
        }
        if tenants:
            config["tenants"] = tenants
        await self.store.put("op", "config", config)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start(self, routes=(("r-one", PREFIX, 1),), tenants=None):
        await self.store.start(f"127.{self.net}.2.11")
        await self.configure(routes, tenants)
        for r in self.runners:
            await r.start()
        for n in self.nodes:
            n.write_settings()
            n.runner = self.spawn(n.run())
        self.spawn(self.probe())
        self.spawn(self.limit_memory())
        began = time.monotonic()
        while not all(n.ready for n in self.nodes):
            if time.monotonic() - began > 25:
                raise RuntimeError("the processes don't become ready")
            await asyncio.sleep(0.1)

    async def probe(self):
        """The balancer's question, each second. Two misses take a node out."""
        misses = {n.name: 2 for n in self.nodes}

        async def ask(n):
            status, _ = await http_call(n.ip, n.readiness, "GET", "/hollowford/ready", limit_s=0.9)
            misses[n.name] = 0 if status == 200 else misses[n.name] + 1
            n.ready = misses[n.name] < 2

        while True:
            for n in self.nodes:
                asyncio.create_task(ask(n))
            await asyncio.sleep(1.0)

    async def limit_memory(self):
        """Kills a process that goes over memory-mb, as the platform does."""
        while True:
            for n in self.nodes:
                if n.process and n.process.returncode is None:
                    mb = n.resident_mb()
                    n.peak_mb = max(n.peak_mb, mb)
                    if mb > MEMORY_MB:
                        n.own_ends += 1
                        self.record(f"process {n.name} has {mb} MB, over memory-mb={MEMORY_MB}: killed")
                        n.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    def pick(self, avoid=None):
        """The balancer's choice for a new channel: a node that is in, else any."""
        nodes = [n for n in self.nodes if n.ready] or self.nodes
        others = [n for n in nodes if n is not avoid]
        return random.choice(others or nodes)

    async def ask(self, method, path, value=None, limit_ms=CLIENT_LIMIT_MS, node=None):
        """One try of a client."""
        n = node or self.pick()
        headers = {"Host": HOST, "Content-Type": "application/json", "Hollowford-Timeout-Ms": int(limit_ms)}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        status, body = await http_call(n.ip, n.frontend, method, path, headers, value, limit_ms / 1_000)
        self.record(f"client {method} {path} at {n.name}: {status if status else body}"
                    f"{' ' + body.decode(errors='replace') if status == 200 and method == 'GET' else ''}")
        return status, body, n

    async def submit(self, job, spec, prefix=PREFIX):
        """Hands a job in, with the page's retries. Returns the last status."""
        self.specs[job] = spec
        status, last = None, None
        for _ in range(1 + CLIENT_RETRIES):
            status, _, last = await self.ask("POST", prefix + job, spec, node=self.pick(last))
            if status is not None and status not in (429, 502, 503, 504):
                return status
            await asyncio.sleep(random.uniform(0.2, 0.6) if status is None else random.uniform(0.6, 1.1))
        return status

    async def state(self, job, prefix=PREFIX, tries=1 + CLIENT_RETRIES):
        """Asks for a job's state, with retries. Returns (state, status)."""
        status, last = None, None
        for _ in range(tries):
            status, body, last = await self.ask("GET", prefix + job, node=self.pick(last))
            if status == 200:
                return json.loads(body)["state"], status
            if status == 410:
                return None, status
            await asyncio.sleep(0.3)
        return None, status

    def processors(self, task):
        """Returns the processors of a running task, in thousandths of a core."""
        job, _, step, _ = task.split(".")
        return self.specs[job]["phases"][int(step)]["cpu"]

    async def watch_runners(self, seconds):
        """Watches the runners. Returns the largest share of their processors in use, and the jobs seen."""
        capacity = sum(r.capacity["cpu"] for r in self.runners)
        most, seen, until = 0.0, set(), time.monotonic() + seconds
        while time.monotonic() < until:
            running = [task for r in self.runners for task in r.running]
            most = max(most, sum(map(self.processors, running)) / capacity)
            seen.update(task.split(".")[0] for task in running)
            await asyncio.sleep(0.05)
        return most, seen

    async def check_lost(self, jobs, prefix=PREFIX):
        """Asks for accepted jobs of one step, FINISH_S after the traffic has ended: the rule LOST."""
        self.record("traffic ends")
        await asyncio.sleep(FINISH_S - NOTHING_RUNNING_S)
        share, seen = await self.watch_runners(NOTHING_RUNNING_S)
        self.record(f"in the last {NOTHING_RUNNING_S} s at most {share:.2f} of the processors were in use")
        done = {task for _, task, _, _, how in self.ends if how == "done"}
        breaches = []

        async def ask(job):
            state, status = await self.state(job, prefix)
            waits = any(f"{job}.0.0.{i}" not in done for i in range(self.specs[job]["phases"][0]["count"]))
            if state is None:
                breaches.append(f"accepted job {job} is not known or no answer comes in time: {status}")
            elif waits and job not in seen and share < 0.5:
                breaches.append(f"accepted job {job} ({state}) has had nothing running for {NOTHING_RUNNING_S} s, "
                                f"with {1 - share:.2f} of the processors free")

        await asyncio.gather(*(ask(job) for job in jobs))
        return breaches

    def count_lines(self, word):
        """Counts the lines with a word in the logs of the processes."""
        count = 0
        for n in self.nodes:
            with open(os.path.join(self.folder, f"{n.name}.log"), errors="replace") as f:
                count += sum(word in line for line in f)
        return count

    async def stop(self):
        for n in self.nodes:
            n.wanted = False
            n.signal(signal.SIGCONT)
            n.signal(signal.SIGKILL)
        for n in self.nodes:
            if n.process:
                await n.process.wait()
        for t in self.tasks:
            t.cancel()
        for r in self.runners:
            if r.up:
                await r.crash()
        await self.store.http.stop()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def new_job():
    return "%016x" % random.getrandbits(64)


def run_case(folder, play, trouble, limit_s=112, **sizes):
    """Plays a case. `play(deployment, trouble)` returns the list of breaches of the rule."""
    if not os.access(PROGRAM, os.X_OK):
        print("target/release/hollowford is not built")
        return 2

    async def main():
        d = Deployment(folder, **sizes)
        try:
            d.record(f"trouble={'yes' if trouble else 'no'}")
            return await asyncio.wait_for(play(d, trouble), limit_s), d
        finally:
            await d.stop()

    try:
        breaches, d = asyncio.run(main())
    except Exception as e:  # The case could not run.
        print(f"not played: {e.__class__.__name__}: {e}")
        return 2
    for b in breaches[:20]:
        d.record(f"breach: {b}")
        print(b)
    peaks = ", ".join(f"{n.name} {n.peak_mb}" for n in d.nodes)
    print(f"breaches: {len(breaches)}; peak memory in MB: {peaks}")
    d.record(f"breaches={len(breaches)} peak_mb: {peaks}")
    return 1 if breaches else 0
