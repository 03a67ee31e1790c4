"""One job of 16 stages, whose steps wait for all steps of the stage before. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from cell import CannotRun, http, job, job_id, run_case

NODES = 3
ORDINARY_JOBS = 10
STAGES = int(os.environ.get("STAGES", "16"))
STEPS_PER_STAGE = int(os.environ.get("STEPS_PER_STAGE", "4"))
# What the sheet says of the clients: time limit and retries.
TIMEOUT_MS = 3_000
RETRIES = 4
FINISH_S = 14
GRACE_S = 6


async def play(make_cell, record, trouble):
    cell = make_cell(NODES)
    await cell.open(workers=4)
    cell.configure([("surveys", "/surveys/", 4)])
    await cell.start_nodes()
    await cell.wait_ready()

    ids = [job_id() for _ in range(ORDINARY_JOBS)]
    body = job(4, 2_000, 500, steps=3)
    for n, id in enumerate(ids):
        status, _ = await cell.call(n % NODES, "POST", f"/surveys/{id}", body)
        if status != 200:
            raise CannotRun(f"job {id} was not accepted: {status}")

    await submit_with_retries(cell, staged_job(join_stages=trouble))

    await asyncio.sleep(FINISH_S)
    findings = []
    for id in ids:
        answers = await asyncio.gather(
            *(cell.call(n, "GET", f"/surveys/{id}", timeout_ms=TIMEOUT_MS) for n in range(NODES))
        )
        if not any(status == 200 for status, _ in answers):
            findings.append(f"LOST: no process answers about the accepted job {id}")
        elif not any(status == 200 and a["state"] == "completed" for status, a in answers):
            findings.append(f"LOST: the accepted job {id} isn't done: {answers}")
        if len(findings) >= 3:
            break
    ready = [
        (await http(node.ip, 8167, "GET", "/hollowford/ready", timeout=1))[0] for node in cell.nodes
    ]
    record.write("readiness", statuses=ready)
    await stop_all(cell)
    return findings


def staged_job(join_stages):
    """A job of stages with several steps each, of one task a step. A step waits for all steps of
    the stage before, or, without `join_stages`, only for its own predecessor there."""
    body = job(1, 300, 200, steps=STAGES * STEPS_PER_STAGE)
    for n, phase in enumerate(body["phases"]):
        stage = n // STEPS_PER_STAGE
        before = range((stage - 1) * STEPS_PER_STAGE, stage * STEPS_PER_STAGE)
        own = [n - STEPS_PER_STAGE]
        phase["depends-on"] = [] if stage == 0 else list(before) if join_stages else own
    return body


async def submit_with_retries(cell, workflow):
    """Sends a job as a client does: after no answer, 502 or 504 the same id at the next node."""
    id = job_id()
    for attempt in range(1 + RETRIES):
        node = (1 + attempt) % NODES
        status, _ = await cell.call(node, "POST", f"/surveys/{id}", workflow, TIMEOUT_MS)
        if status not in (0, 502, 504):
            return


async def stop_all(cell):
    """Stops all processes as planned, and records which have ended in time."""
    for node in cell.nodes:
        node.signal("SIGTERM")
    await asyncio.sleep(GRACE_S)
    ended = [node.process.returncode is not None for node in cell.nodes]
    cell.record.write("stopped", grace_s=GRACE_S, ended=ended)
    print(f"ended within {GRACE_S} s of SIGTERM: {ended}")


run_case(__file__, play)
