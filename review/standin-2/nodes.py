"""Starts the project's own processes with the command of the deploy file, and calls them as a
client does. Every address is a loopback address; all processes are ended by `Nodes.stop`."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

SETTINGS = """node-name = "edge-kg-hall-a-{n}"
role = "node"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "kg-hall-a"
region = "kigali"
port-range = [{peer}, {peer_end}]
seeds = [{seeds}]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
commands = "invoke"
[zones]
kg-hall-a = "kigali"
[listen]
frontend = "{ip}:{front}"
readiness = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-ms = 2000
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
lease-ms = 3000
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
"""


def free_ports(ips):
    """Returns a base port of which the next 32 ports are free on all of the addresses."""
    for _ in range(200):
        base = random.randrange(20000, 50000, 32)
        try:
            for ip in ips:
                for port in range(base, base + 24):
                    with socket.socket() as s:
                        s.bind((ip, port))
            return base
        except OSError:
            continue
    raise SystemExit(2)


class Nodes:
    """The processes of one cell."""

    def __init__(self, count, store):
        self.ips = ["127.7.%d.%d" % (random.randrange(1, 250), n + 1) for n in range(count)]
        self.base = free_ports(self.ips)
        self.folder = tempfile.TemporaryDirectory()
        self.store = store
        self.procs = {}
        self.program = os.path.join(ROOT, "target", "release", "hollowford")
        if not os.path.exists(self.program):
            raise SystemExit(2)

    def front(self, n):
        return self.ips[n], self.base + 16

    def start(self, n):
        ip, b = self.ips[n], self.base
        text = SETTINGS.format(
            n=n + 1, ip=ip, peer=b, peer_end=b + 15, front=b + 16, ready=b + 17, control=b + 18,
            store=self.store, seeds=", ".join('"%s:%d"' % (i, b + 18) for i in self.ips[:3]))
        path = os.path.join(self.folder.name, "settings-%d.toml" % n)
        with open(path, "w") as f:
            f.write(text)
        log = open(os.path.join(self.folder.name, "node-%d.log" % n), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HOLLOWFORD_NODE_FILE"] = path
        self.procs[n] = subprocess.Popen(
            [self.program, "node", "--metrics", str(b + 19)], cwd=ROOT, env=env,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def log(self, n):
        with open(os.path.join(self.folder.name, "node-%d.log" % n), errors="replace") as f:
            return f.read()

    def signal(self, n, sig):
        self.procs[n].send_signal(sig)

    def owner(self):
        """Returns the number of the process that owns the partition now, by the logs."""
        best = (-1, None)
        for n in self.procs:
            for line in self.log(n).splitlines():
                if " owner.serves " in line:
                    epoch = int(line.split("epoch=")[1].split()[0])
                    best = max(best, (epoch, n))
        return best[1]

    def stop(self):
        for p in self.procs.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.procs.values():
            p.wait()
        self.folder.cleanup()


async def call(front, method, path, body=None, timeout_ms=3000, host="jobs.example", key=None):
    """One client's call on a channel of its own. Returns (status, body), or (0, reason)."""
    data = b"" if body is None else json.dumps(body).encode()
    head = ("%s %s HTTP/1.1\r\nhost: %s\r\nhollowford-timeout-ms: %d\r\n"
            "content-type: application/json\r\n" % (method, path, host, timeout_ms))
    if key:
        head += "authorization: Bearer %s\r\n" % key
    head += "content-length: %d\r\nconnection: close\r\n\r\n" % len(data)
    writer = None
    try:
        async def talk():
            nonlocal writer
            reader, writer = await asyncio.open_connection(*front)
            writer.write(head.encode() + data)
            await writer.drain()
            return await reader.read()
        raw = await asyncio.wait_for(talk(), timeout_ms / 1000)
        if not raw:
            return 0, "closed"
        head, _, rest = raw.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), rest.decode("utf-8", "replace")
    except asyncio.TimeoutError:
        return 0, "timeout"
    except (OSError, IndexError, ValueError) as e:
        return 0, type(e).__name__
    finally:
        if writer:
            writer.close()


async def ready(nodes, count, limit_s=20):
    """Waits until all processes call themselves ready."""
    for _ in range(int(limit_s * 10)):
        answers = [await call((nodes.ips[n], nodes.base + 17), "GET", "/hollowford/ready",
                              timeout_ms=500) for n in range(count)]
        if all(a[0] == 200 for a in answers):
            return True
        await asyncio.sleep(0.1)
    return False


def run(main, limit_s=115):
    """Runs a case and exits with its result: 1 if the rule was broken, 0 if it held, and 2 if the
    case couldn't run, also when it fails itself or takes too long. Its `finally` ends all processes
    in each case."""
    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(asyncio.wait_for(main(), limit_s))
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
