"""One process is left of six, and the store is away for 4.5 s. Then everything is calm.

Five processes are killed and never come back; the sixth takes over and serves. The store then
answers no call for 4.5 s. Afterwards the store, the workers and the process are sound for more than
20 s. The check is LOST: jobs that were accepted before the outage are asked for at the end, each
several times; "no answer comes in time" if every answer is a 503, a 504 or none. It also notes for
how long their tasks stand still.

With TROUBLE=0 the same five processes are lost, and the store stays.
"""

import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from nodes import Nodes, call, ready, run
from platform_standin import Cell, steady_ms

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS, NODES = 24, 6
TASK_MS = 2500
STEPS = 12
OUTAGE_S = 4.5
CALM_S = 18
FINISH_S = 14


def body():
    """A job of steps that run one after the other, so that it lasts through the outage."""
    return {"template": "chain", "phases": [
        dict({"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": TASK_MS},
             **({"depends-on": [n - 1]} if n else {})) for n in range(STEPS)]}


async def main():
    cell = Cell(lambda task, run, template: (TASK_MS, "done", 0))
    await cell.start(WORKERS)
    cell.configure([dict(name="q", prefix="/q/")])
    nodes = Nodes(NODES, cell.store.http.address)
    accepted, calls = [], []

    async def ask(method, job, payload=None):
        at = round(steady_ms() - cell.began)
        answer = await call(nodes.front(survivor), method, "/q/" + job, payload)
        calls.append((at, method, job, answer))
        return answer

    try:
        for n in range(NODES):
            nodes.start(n)
        if not await ready(nodes, NODES):
            return 2
        survivor = nodes.owner()
        for _ in range(5):
            job = "%016x" % random.getrandbits(64)
            if (await ask("POST", job, body()))[0] == 200:
                accepted.append(job)
        await asyncio.sleep(2)
        for n in range(NODES):
            if n != survivor:
                nodes.signal(n, signal.SIGKILL)
        cell.record("killed", nodes=NODES - 1)
        # The last process takes over and serves before the store goes away.
        served = False
        for _ in range(40):
            await asyncio.sleep(0.5)
            if (await ask("GET", accepted[0]))[0] == 200:
                served = True
                break
        if not served or not accepted:
            return 2
        await asyncio.sleep(3)
        if TROUBLE:
            cell.store.down = True
            cell.record("store down")
        await asyncio.sleep(OUTAGE_S)
        cell.store.down = False
        cell.record("store back")
        back = round(steady_ms() - cell.began)
        await asyncio.sleep(CALM_S)
        last = {}
        for job in accepted:
            for _ in range(3):
                last[job] = await ask("GET", job)
                if last[job][0] in (200, 410):
                    break
                await asyncio.sleep(0.2)
        new = [(await ask("POST", "%016x" % random.getrandbits(64), body()))[0] for _ in range(3)]
        log = [line for line in nodes.log(survivor).splitlines() if " owner." in line]
        alive = nodes.procs[survivor].poll() is None
        return report(cell, accepted, calls, last, new, back, alive, log)
    finally:
        nodes.stop()
        cell.close()


def report(cell, accepted, calls, last, new, back, alive, log):
    until = round(steady_ms() - cell.began)
    unanswered = [job for job in accepted if last[job][0] not in (200, 410)]
    still = 0
    with open(os.path.join(HERE, "record.txt"), "w") as out:
        print("trouble:", TROUBLE, "| the last process is alive:", alive, file=out)
        for job in accepted:
            events = [e for e in cell.events if e.get("task", "").startswith(job)]
            done = {e["task"] for e in events if e.get("how") == "done"}
            active = sum(1 if e["what"] == "started" else -1 for e in events)
            since = max([e["at"] for e in events] + [back])
            stands = until - since if len(done) < 2 * STEPS and not active else 0
            still = max(still, stands)
            print("job %s asked at the end: %s; tasks done %d of %d, at work %d, stands still for "
                  "%d ms" % (job, last[job], len(done), 2 * STEPS, active, stands), file=out)
        print("submissions at the end:", new, file=out)
        print("accepted jobs without an answer %d s after the store came back: %d of %d"
              % (CALM_S, len(unanswered), len(accepted)), file=out)
        for line in log:
            print("log of the last process:", line[:200], file=out)
        for c in calls:
            print("call", json.dumps(c), file=out)
        for e in cell.events:
            print(json.dumps(e), file=out)
    return 1 if unanswered or still > 3000 else 0


if __name__ == "__main__":
    run(main)
