"""One accepted job whose times fall due together stops the whole deployment."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from harness import new_job, run_case  # noqa: E402

# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASKS = 24_000
TASKS_PER_STEP = 2_000
TASK = {"cpu": 100, "mem-mb": 64, "estimate-ms": 200}
SMALL_STEP = {"count": 2, "cpu": 1_000, "mem-mb": 256, "estimate-ms": 600}
TRAFFIC_S = 30
LARGE_JOB_AT_S = 6
SECONDS_BETWEEN_JOBS = 0.25


def large_job(trouble):
    """The same 24,000 tasks of 0.2 s and 0.1 cores: as times of one step, or as steps."""
    if not trouble:
        steps = TASKS // TASKS_PER_STEP
        return {"template": "200 x", "phases": [{"count": TASKS_PER_STEP, **TASK}] * steps}
    start = int(time.time() * 1_000) + 2_000
    return {"template": "200 x", "phases": [{"count": 1, **TASK}], "start-at-ms": start, "repeat-count": TASKS}


async def play(d, trouble):
    await d.start()
    accepted, large, traffic, began = [], None, [], time.monotonic()

    async def client():
        job = new_job()
        if await d.submit(job, {"template": "600 x", "phases": [SMALL_STEP]}) == 200:
            accepted.append(job)

    while time.monotonic() - began < TRAFFIC_S:
        traffic.append(asyncio.create_task(client()))
        if large is None and time.monotonic() - began >= LARGE_JOB_AT_S:
            large = new_job()
            traffic.append(asyncio.create_task(d.submit(large, large_job(trouble))))
        await asyncio.sleep(SECONDS_BETWEEN_JOBS)
    await asyncio.gather(*traffic)
    breaches = await d.check_lost(accepted)
    owners = d.count_lines("owner.taken")
    print(f"{len(accepted)} small jobs accepted; {owners} owners so far; {len(d.starts)} starts")
    d.record(f"accepted={len(accepted)} owners={owners} starts={len(d.starts)}")
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, TROUBLE))
