"""Large jobs come at once; small jobs of another queue go on meanwhile.

A job of 10 steps of 2,000 tasks is handed in. Its progress no longer fits into one row of the store
(`row-bytes`), so nothing of it is stored. Afterwards small jobs of two steps are handed in. The
check is a case of LOST: for 3 s a job has nothing running although a task's turn has come, there is
room for it twice over and less than half of the capacity is in use. Only the end of the script is
judged, when the large tasks have long ended and the workers are free.

With TROUBLE=0 the same tasks come as 50 jobs of 400 tasks.
"""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from nodes import Nodes, call, ready, run
from platform_standin import Cell, steady_ms

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 12
NODES = 3
STEP_TASKS = 2000
STEPS = 10
LARGE_JOBS = 1
LARGE_TASK_MS = 450
SMALL_TASK_MS = 300
CAPACITY = WORKERS * 16000
LARGE_CPU, SMALL_CPU = 500, 1000
STALLED_MS = 3000
CALM_MS = 4000
TRAFFIC_S, TAIL_S = 50, 14


def new_id():
    return "%016x" % random.getrandbits(64)


def step(count, cpu, ms, **more):
    return dict({"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": ms}, **more)


def plan(task, run, template):
    return (LARGE_TASK_MS if template == "large" else SMALL_TASK_MS), "done", 0


def final_stall(events, job, since, until):
    """Returns for how long, until the end of the script, the small job has had nothing running
    although the turn of one of its tasks had come, and how many of its 4 tasks have ended `done`.
    All of its tasks end `done` once they are started."""
    running, done = set(), set()
    for e in events:
        if not e.get("task", "").startswith(job):
            continue
        key = (e["task"], e["run"])
        if e["what"] == "started":
            running.add(key)
        else:
            running.discard(key)
            if e.get("how") == "done":
                done.add(e["task"])
            since = max(since, e["at"])
    unfinished = len(done) < 4 and not running
    return until - since if unfinished else 0, len(done)


async def main():
    cell = Cell(plan)
    await cell.start(WORKERS)
    cell.configure([dict(name="small", prefix="/small/", more={"priority": 0}),
                    dict(name="large", prefix="/large/", more={"priority": 2})])
    nodes = Nodes(NODES, cell.store.http.address)
    small, large = {}, {}

    async def hand_in_small(n):
        job, at = new_id(), round(steady_ms() - cell.began)
        phases = [step(2, SMALL_CPU, SMALL_TASK_MS),
                  step(2, SMALL_CPU, SMALL_TASK_MS, **{"depends-on": [0]})]
        for _ in range(4):
            status, _ = await call(nodes.front(n % NODES), "POST", "/small/" + job,
                                   {"template": "small", "phases": phases})
            if status == 200:
                break
            await asyncio.sleep(0.5)
        small[job] = (at, status, round(steady_ms() - cell.began))

    async def hand_in_large(n, steps, count):
        job = new_id()
        body = {"template": "large",
                "phases": [step(count, LARGE_CPU, LARGE_TASK_MS) for _ in range(steps)]}
        for _ in range(20):
            status, _ = await call(nodes.front(n % NODES), "POST", "/large/" + job, body)
            if status == 200:
                break
            await asyncio.sleep(0.3)
        large[job] = status

    try:
        for n in range(NODES):
            nodes.start(n)
        if not await ready(nodes, NODES):
            return 2
        if TROUBLE:
            for n in range(LARGE_JOBS):
                await hand_in_large(n, STEPS, STEP_TASKS)
        else:
            total = LARGE_JOBS * STEPS * STEP_TASKS
            for n in range(total // 400):
                await hand_in_large(n, 1, 400)
        waits = []
        began = time.monotonic()
        while time.monotonic() - began < TRAFFIC_S:
            waits.append(asyncio.ensure_future(hand_in_small(len(waits))))
            await asyncio.sleep(0.5)
        await asyncio.gather(*waits)
        await asyncio.sleep(TAIL_S)
        until = round(steady_ms() - cell.began)
        states = {}
        for job, (_, status, _) in small.items():
            if status == 200:
                states[job] = await call(nodes.front(0), "GET", "/small/" + job)
        held = sum(len(w.runs) for w in cell.workers)
        in_use = sum((LARGE_CPU if r.template == "large" else SMALL_CPU)
                     for w in cell.workers for r in w.runs.values())
        unforgotten = [len(w.ended) for w in cell.workers]
        return report(cell, small, large, states, until, held, in_use, unforgotten)
    finally:
        nodes.stop()
        cell.close()


def report(cell, small, large, states, until, held, in_use, unforgotten):
    stalled = []
    # Only the last part of the run is judged: the large tasks have ended, so that there is room.
    large_ends = [e["at"] for e in cell.events
                  if e["what"] == "ended" and e["task"][:16] in large]
    quiet_from = max(large_ends, default=0) + CALM_MS
    with open(os.path.join(HERE, "record.txt"), "w") as out:
        print("trouble:", TROUBLE, file=out)
        print("large jobs (status of the submission):", large, file=out)
        print("large tasks ended: %d, the last at %d ms" % (len(large_ends), quiet_from - CALM_MS),
              file=out)
        print("largest row that was sent: %d bytes; transactions refused by the store: %d"
              % (cell.store.largest_row, len(cell.store.refused)), file=out)
        for at, why in cell.store.refused[:5] + cell.store.refused[-5:]:
            print("  refused at %d ms: %s" % (at - cell.began, why), file=out)
        print("at the end (%d ms): %d runs on the workers, %d of %d thousandths of a core in use"
              % (until, held, in_use, CAPACITY), file=out)
        print("ends that the workers still keep:", unforgotten, file=out)
        for job, (at, status, answered) in sorted(small.items(), key=lambda i: i[1]):
            line = "small %s sent %d ms status %d at %d ms" % (job, at, status, answered)
            if status == 200:
                stall, done = final_stall(cell.events, job, max(answered, quiet_from), until)
                shown = states[job]
                line += " state %s, tasks done %d of 4, stands still for %d ms" % (shown, done, stall)
                if stall > STALLED_MS and in_use * 2 < CAPACITY:
                    stalled.append(job)
                    line += " LOST"
            print(line, file=out)
        print("jobs that stood still for over %d ms with room: %d" % (STALLED_MS, len(stalled)),
              file=out)
        for e in cell.events:
            if e.get("task", "")[:16] in small or e["what"] == "config":
                print(json.dumps(e), file=out)
    return 1 if stalled else 0


if __name__ == "__main__":
    run(main)
