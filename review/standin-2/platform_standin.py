"""Stand-in of the users' platform for the scripts of this review: its table store, its workers
and its advice service, as PROTOCOL.md and DEPLOY.md describe them. Needs only Python 3.

Everything runs on one asyncio loop and listens on loopback addresses only. The store refuses
what the pages forbid (a value above `row-bytes`, over 100 entries or 1 MB in a transaction) with
status 400 and changes nothing. Workers start tasks, keep fences and leases, list runs and ends.
"""

import asyncio
import base64
import json
import random
import time
from urllib.parse import parse_qsl, unquote, urlsplit

ROW_BYTES = 65536
MAX_TX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
MAX_ENDS = 500
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


def steady_ms():
    return time.monotonic() * 1000.0


class HttpServer:
    """Minimal HTTP/1.1 server with keep-alive. `handle(method, path, query, headers, body)` is a
    coroutine that returns (status, body object or bytes), or None to close without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.address = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    def stop(self):
        """Stops listening and resets all open connections."""
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        k, _, v = line.partition(":")
                        headers[k.strip().lower()] = v.strip()
                body = b""
                size = int(headers.get("content-length", "0"))
                if size:
                    body = await reader.readexactly(size)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                result = await self.handle(method, unquote(url.path), query, headers, body)
                if result is None:
                    break
                status, out = result
                data = out if isinstance(out, bytes) else json.dumps(out).encode()
                writer.write(("HTTP/1.1 %d %s\r\ncontent-type: application/json\r\n"
                              "content-length: %d\r\n\r\n"
                              % (status, REASONS.get(status, "-"), len(data))).encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: tables of rows with versions, transactions and a change feed."""

    def __init__(self, answer_ms=4.0, txn_ms=5.0, retention_s=20.0):
        self.rows = {}          # (table, part, key) -> (value, version)
        self.version = 1
        self.history = []       # (time, version, table, part, key, value or None)
        self.history_from = 1
        self.answer_ms = answer_ms
        self.txn_ms = txn_ms
        self.retention_ms = retention_s * 1000
        self.part_locks = {}
        self.changed = asyncio.Event()
        self.refused = []       # (time, reason) of transactions that break a limit of the pages
        self.largest_row = 0
        self.down = False
        self.http = HttpServer(self.handle)

    async def start(self, host="127.0.0.1"):
        return await self.http.start(host)

    def apply(self, table, part, key, value):
        self.version += 1
        self._put(table, part, key, value)
        self._wake()

    def _put(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        now = steady_ms()
        self.history.append((now, self.version, table, part, key, value))
        while self.history and self.history[0][0] < now - self.retention_ms:
            self.history_from = self.history.pop(0)[1]

    def _wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put_json(self, table, key, value):
        """Writes a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply(table, "", key, text)

    def remove(self, table, key):
        self.apply(table, "", key, None)

    def answer(self, rows, **more):
        return dict(rows=rows, **{"schema-version": self.version, "now-ms": steady_ms()}, **more)

    async def handle(self, method, path, query, headers, body):
        if self.down:
            return 503, {}
        await asyncio.sleep(self.answer_ms / 1000)
        if (method, path) == ("POST", "/hollowford/rows-tx"):
            return await self.transact(json.loads(body), len(body))
        if (method, path) == ("GET", "/hollowford/rows-get"):
            return self.get(query)
        if (method, path) == ("GET", "/hollowford/rows-feed"):
            return await self.feed(query)
        return 404, {}

    def check_limits(self, tx, size):
        entries = sum(len(tx.get(k) or []) for k in ("expect-rev", "set-keys", "remove"))
        if entries > MAX_TX_ENTRIES:
            return "%d entries" % entries
        if size > MAX_TX_BYTES:
            return "%d bytes in the transaction" % size
        for row in tx.get("set-keys") or []:
            value = len(base64.b64decode(row["value"]))
            self.largest_row = max(self.largest_row, value)
            if value > ROW_BYTES:
                return "row %s has %d bytes" % (row["private-key"], value)
            if len(row["private-key"].encode()) > 200:
                return "key of %d bytes" % len(row["private-key"])
        return None

    async def transact(self, tx, size):
        wrong = self.check_limits(tx, size)
        if wrong:
            self.refused.append((steady_ms(), wrong))
            return 400, {}
        entries = [e for k in ("expect-rev", "set-keys", "remove") for e in tx.get(k) or []]
        parts = {e.get("part", "") for e in entries}
        if len(parts) > 1:
            return 400, {}
        if any(e["table"] == "servers" for e in tx.get("set-keys") or []):
            return 403, {}
        lock = self.part_locks.setdefault(parts.pop() if parts else "", asyncio.Lock())
        async with lock:
            await asyncio.sleep(self.txn_ms / 1000)
            found, conflict = [], False
            for e in tx.get("expect-rev") or []:
                at = (e["table"], e.get("part", ""), e["private-key"])
                value, version = self.rows.get(at, (None, 0))
                conflict |= version != e["schema-version"]
                if version:
                    found.append(self.row(at, value, version))
            if conflict:
                return 412, self.answer(found)
            self.version += 1
            for e in tx.get("set-keys") or []:
                self._put(e["table"], e.get("part", ""), e["private-key"], e["value"])
            for e in tx.get("remove") or []:
                self._put(e["table"], e.get("part", ""), e["private-key"], None)
            self._wake()
            return 200, {"schema-version": self.version, "now-ms": steady_ms()}

    @staticmethod
    def row(at, value, version):
        return {"table": at[0], "part": at[1], "private-key": at[2], "value": value,
                "schema-version": version}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start, end = query.get("start-key", ""), query.get("target-version", "")
        limit = min(int(query.get("limit") or 500), 500)
        keys = sorted(k[2] for k in self.rows
                      if k[0] == table and k[1] == part and k[2] >= start
                      and (not end or k[2] < end))
        out, size, more = [], 0, False
        for key in keys:
            value, version = self.rows[(table, part, key)]
            if len(out) >= limit or (out and size + len(value) > MAX_TX_BYTES):
                more = True
                break
            size += len(value)
            out.append(self.row((table, part, key), value, version))
        return 200, self.answer(out, **{"has-more": more})

    async def feed(self, query):
        table, after = query.get("table", ""), int(float(query.get("depends-on") or 0))
        until = steady_ms() + min(int(float(query.get("wait-ms") or 0)), 30000)
        while True:
            if self.down:
                return 503, {}
            if after + 1 < self.history_from:
                return 410, {}
            latest = {}
            for _, version, t, part, key, value in self.history:
                if t == table and version > after:
                    latest[(part, key)] = (version, value)
            if latest or steady_ms() >= until:
                rows = []
                for (part, key), (version, value) in sorted(latest.items(), key=lambda i: i[1][0]):
                    row = self.row((table, part, key), value, version)
                    if value is None:
                        row = {k: v for k, v in row.items() if k != "value"}
                        row["removed"] = True
                    rows.append(row)
                return 200, self.answer(rows)
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), max(0.001, (until - steady_ms()) / 1000))
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, run, template, saved, began, takes_ms):
        self.task, self.run, self.template = task, run, template
        self.saved, self.began, self.takes_ms = saved, began, takes_ms
        self.stopping_at = None


class Worker:
    """One life of a worker. `plan(task, run, template)` returns (milliseconds, how it ends,
    checkpoints) for a run; milliseconds of None: it runs until it is stopped."""

    def __init__(self, cell, name, labels=("a", "r1-1"), cpu=16000, mem=65536, same_id=None):
        self.cell, self.name = cell, name
        self.labels, self.cpu, self.mem = list(labels), cpu, mem
        self.id = same_id or "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.started = steady_ms()
        # The clock of a life under a former id starts anew.
        self.clock0 = 0 if same_id else random.randint(100_000, 900_000)
        self.fence = 0
        self.deadline = 0.0
        self.runs = {}          # (task, run) -> Run
        self.top = {}           # task -> highest run that was stopped or ended here
        self.ended = []         # [N, task, run, how, saved]
        self.next_end = 1
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.alive = True
        self.delays_starts = False
        self.delayed = []       # (time, request) of starts that are held on their way
        self.address = None
        self.http = HttpServer(self.handle)
        self.ticker = None

    def clock(self):
        return int(steady_ms() - self.started) + self.clock0

    async def start(self, host="127.0.0.1", port=0):
        self.address = await self.http.start(host, port)
        self.ticker = [asyncio.ensure_future(self.tick()), asyncio.ensure_future(self.beat())]
        return self

    def crash(self, silent_entry=True):
        """Ends this life. Its entry stays until three heartbeats are missed."""
        self.alive = False
        self.http.stop()
        for t in self.ticker:
            t.cancel()
        for key in list(self.runs):
            self.record("lost", key[0], key[1])
        self.runs.clear()
        life = self.id
        if silent_entry:
            asyncio.get_event_loop().call_later(
                3 * self.cell.heartbeat_ms / 1000, self.expire_entry, life)
        else:
            self.cell.store.remove("servers", life)

    def expire_entry(self, life):
        """Removes the entry after three missed heartbeats, unless a life under the id is back."""
        if not any(w.id == life and w.alive for w in self.cell.workers):
            self.cell.store.remove("servers", life)

    def record(self, what, task, run, **more):
        self.cell.record(what, task=task, run=run, worker=self.id, **more)

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.cell.heartbeat_ms / 1000)

    def write_entry(self):
        self.sequence += 1
        born = {"born": self.born} if self.cell.tells_born else {}
        self.cell.store.put_json("servers", self.id, {
            **born, "backend": self.cell.service, "address": self.address, "zone": self.cell.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": 0}, "labels": self.labels,
            "clock-ms": self.clock(), "sequence": self.sequence})

    def end(self, run, how):
        if self.runs.pop((run.task, run.run), None) is None:
            return
        self.top[run.task] = max(self.top.get(run.task, 0), run.run)
        saved = run.saved if how in ("stopped", "lapsed", "broken") else ""
        self.ended.append([self.next_end, run.task, run.run, how, saved])
        self.next_end += 1
        self.record("ended", run.task, run.run, how=how)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = steady_ms()
            if self.runs and self.clock() > self.deadline:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
                continue
            for run in list(self.runs.values()):
                takes, how, saves = run.plan
                if run.stopping_at is not None and now >= run.stopping_at:
                    self.end(run, "stopped")
                elif takes is not None and now - run.began >= takes:
                    self.end(run, how)
                elif saves:
                    step = int((now - run.began) // saves)
                    if step > run.step:
                        run.step = step
                        run.saved = "%08x%08x" % (step, hash(run.task) & 0xffffffff)

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("hollowford-target-instance", self.id) != self.id:
            return 421, {}
        req = json.loads(body) if body else {}
        if path == "/hollowford/run-start" and self.delays_starts:
            # The call is held on its way, and gets no answer.
            self.delayed.append((steady_ms(), req))
            await asyncio.sleep(3600)
        return await self.execute(path, req)

    async def execute(self, path, req):
        fence = req.get("fence-token", 0)
        if path in ("/hollowford/run-start", "/hollowford/run-stop", "/hollowford/hold",
                    "/hollowford/pace"):
            if fence < self.fence:
                return 409, {"clock-ms": self.clock(), "reason": "fence"}
            self.fence = max(self.fence, fence)
        if path == "/hollowford/run-start":
            return self.run_start(req)
        if path == "/hollowford/run-stop":
            key = (req["task"], req["run"])
            self.top[req["task"]] = max(self.top.get(req["task"], 0), req["run"])
            if key in self.runs and self.runs[key].stopping_at is None:
                self.runs[key].stopping_at = steady_ms() + 50
            return 200, {"clock-ms": self.clock()}
        if path == "/hollowford/pace":
            return 200, {"clock-ms": self.clock()}
        if path == "/hollowford/hold":
            return await self.hold(req)
        return 404, {}

    def extend(self, req):
        until = req.get("deadline-ms")
        if until:
            self.deadline = max(self.deadline, min(until, self.clock() + self.cell.hold_max_ms))

    def run_start(self, req):
        task, run = req["task"], req["run"]
        if req["deadline-ms"] <= self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}
        self.extend(req)
        if (task, run) in self.runs:
            return 200, {"clock-ms": self.clock()}
        if run <= self.top.get(task, 0) or any(t == task and r > run for t, r in self.runs):
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        started = Run(task, run, req["template"], req.get("saved", ""), steady_ms(), 0)
        started.plan = self.cell.plan(task, run, req["template"])
        started.step = 0
        self.runs[(task, run)] = started
        self.record("started", task, run)
        return 200, {"clock-ms": self.clock()}

    async def hold(self, req):
        self.extend(req)
        seen = req.get("last-seen", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        until = steady_ms() + min(req.get("wait-ms", 0), 2000)
        known = self.next_end
        while self.next_end == known and steady_ms() < until and not self.ended:
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), (until - steady_ms()) / 1000)
            except asyncio.TimeoutError:
                break
        running = []
        for r in self.runs.values():
            takes = r.plan[0]
            done = 0 if not takes else int(min(99, 100 * (steady_ms() - r.began) / takes))
            running.append([r.task, r.run, r.saved, done if takes else 100])
        answer = {"clock-ms": self.clock(), "running": running, "ended": self.ended[:MAX_ENDS]}
        if self.cell.tells_born:
            answer["born"] = self.born
        return 200, answer


class Cell:
    """The platform around the nodes of one script: store, workers and the record of what ran."""

    def __init__(self, plan, service="wavepipe", zone="kg-hall-a", hold_max_ms=6000):
        self.plan, self.service, self.zone = plan, service, zone
        self.hold_max_ms = hold_max_ms
        self.heartbeat_ms = 1500
        self.tells_born = False
        self.events = []
        self.began = steady_ms()
        self.store = Store()
        self.workers = []
        self.config_version = 0

    def record(self, what, **more):
        self.events.append(dict(at=round(steady_ms() - self.began), what=what, **more))

    async def start(self, workers, **kind):
        await self.store.start()
        for n in range(workers):
            labels = (kind.get("label", "a"), "r1-%d" % (n // 6 + 1))
            self.workers.append(await Worker(self, "w%d" % n, labels).start())

    async def restart_worker(self, at, same_port=True, same_id=False):
        """Starts a new life at the address of a worker that has crashed, under a new id or, with
        `same_id`, under its former one."""
        old = self.workers[at]
        host, port = old.address.rsplit(":", 1)
        for _ in range(50):
            try:
                w = await Worker(self, old.name, old.labels, old.cpu, old.mem,
                                 old.id if same_id else None).start(
                    host, int(port) if same_port else 0)
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.workers[at] = w
        return w

    def configure(self, routes):
        """Writes the next config. `routes`: dicts with name, prefix and, if wanted, others."""
        self.config_version += 3
        out = [dict({"name": r["name"], "host": "jobs.example", "path-prefix": r["prefix"],
                     "type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 1000,
                     "priority": 1, "backend": self.service, "max-attempts": 3, "stretch": 2.0},
                    **r.get("more", {})) for r in routes]
        self.store.put_json("op", "config", {
            "version": self.config_version, "routes": out,
            "services": [{"name": self.service, "health-path": "/health", "max-connections": 64,
                          "protocol": "h1", "tls": False, "admission-check": False,
                          "headroom": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
        self.record("config", version=self.config_version, routes=[r["prefix"] for r in routes])

    def close(self):
        self.store.http.stop()
        for w in self.workers:
            w.http.stop()
            for t in w.ticker:
                t.cancel()
