"""Runners that were unhealthy for a moment and hold a task that lasts get no other task any more."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from harness import new_job, run_case  # noqa: E402

# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 8
CHECKS, SURVEYS = "/pule252/", "/pufi791/"
ROUTES = (("r-checks", CHECKS, 0), ("r-surveys", SURVEYS, 2))
# One task on each runner, of half a core.
LASTING = {"template": "lasting", "phases": [
    {"count": RUNNERS, "cpu": 500, "mem-mb": 256, "estimate-ms": 500, "daemon": True, "anti-affinity": 1}]}
CHECK = {"template": "300 x", "phases": [{"count": 1, "cpu": 1_000, "mem-mb": 256, "estimate-ms": 300}]}
SECONDS_BETWEEN_JOBS = 0.5
# The runners are unhealthy one after the other.
UNHEALTHY_SHARE = 0.4
UNHEALTHY_S = 5.0
TRAFFIC_S = 5.0 + RUNNERS * UNHEALTHY_S


async def play(d, trouble):
    await d.start(ROUTES)
    if await d.submit(new_job(), LASTING, SURVEYS) != 200:
        raise RuntimeError("the lasting job was not accepted")
    await asyncio.sleep(2)
    accepted, traffic, began = [], [], time.monotonic()

    async def client():
        job = new_job()
        if await d.submit(job, CHECK, CHECKS) == 200:
            accepted.append(job)

    async def make_unhealthy():
        await asyncio.sleep(2)
        for r in sorted(d.runners, key=lambda r: r.id):
            d.record(f"runner {r.id} is unhealthy for {UNHEALTHY_S} s")
            r.unhealthy = UNHEALTHY_SHARE
            await asyncio.sleep(UNHEALTHY_S)
            r.unhealthy = 0.0
        d.record("all runners are healthy")

    if trouble:
        d.spawn(make_unhealthy())
    while time.monotonic() - began < TRAFFIC_S:
        traffic.append(asyncio.create_task(client()))
        await asyncio.sleep(SECONDS_BETWEEN_JOBS)
    await asyncio.gather(*traffic)
    breaches = await d.check_lost(accepted, CHECKS)
    print(f"{len(accepted)} checks accepted; {len(d.starts)} starts")
    d.record(f"accepted={len(accepted)} starts={len(d.starts)}")
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, TROUBLE, runners=RUNNERS))
