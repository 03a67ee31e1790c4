"""One gang that doesn't fit beside a task that lasts keeps all other jobs from starting."""

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
LASTING = {"template": "lasting", "phases": [
    {"count": 1, "cpu": 500, "mem-mb": 256, "estimate-ms": 500, "daemon": True}]}
# Each task takes a whole runner, and there are as many as runners.
GANG = {"template": "2000 x", "phases": [
    {"count": RUNNERS, "cpu": 16_000, "mem-mb": 1_024, "estimate-ms": 2_000, "gang": True}]}
CHECK = {"template": "600 x", "phases": [{"count": 2, "cpu": 1_000, "mem-mb": 256, "estimate-ms": 600}]}
TRAFFIC_S = 35
SECONDS_BETWEEN_JOBS = 0.25


async def play(d, trouble):
    await d.start(ROUTES)
    if await d.submit(new_job(), LASTING, SURVEYS) != 200:
        raise RuntimeError("the lasting job was not accepted")
    await asyncio.sleep(2)
    if trouble and await d.submit(new_job(), GANG, SURVEYS) != 200:
        raise RuntimeError("the gang was not accepted")
    accepted, traffic, began = [], [], time.monotonic()

    async def client():
        job = new_job()
        if await d.submit(job, CHECK, CHECKS) == 200:
            accepted.append(job)

    while time.monotonic() - began < TRAFFIC_S:
        traffic.append(asyncio.create_task(client()))
        await asyncio.sleep(SECONDS_BETWEEN_JOBS)
    await asyncio.gather(*traffic)
    breaches = await d.check_lost(accepted, CHECKS)
    kept = d.count_lines("cause=kept")
    print(f"{len(accepted)} checks accepted; {len(d.starts)} starts; {kept} lines with cause=kept")
    d.record(f"accepted={len(accepted)} starts={len(d.starts)} lines_with_cause_kept={kept}")
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, TROUBLE, runners=RUNNERS))
