"""A short outage of the store while two runners run many short tasks. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from cell import CannotRun, job, job_id, run_case

JOBS = 40
TASKS_PER_JOB = 60
RUN_MS = 500
TASK_CPU = 200
OUTAGE_S = 7.0


async def play(make_cell, record, trouble):
    cell = make_cell(3)
    await cell.open(workers=2)
    cell.configure([("surveys", "/surveys/", 4)])
    await cell.start_nodes()
    await cell.wait_ready()

    ids = [job_id() for _ in range(JOBS)]
    body = job(TASKS_PER_JOB, RUN_MS, TASK_CPU)
    calls = [
        cell.call(n % len(cell.nodes), "POST", f"/surveys/{id}", body) for n, id in enumerate(ids)
    ]
    statuses = [status for status, _ in await asyncio.gather(*calls)]
    if any(status != 200 for status in statuses):
        raise CannotRun(f"jobs were not accepted: {statuses}")

    if trouble:
        cell.store.set_down(True)
    await asyncio.sleep(OUTAGE_S)
    if trouble:
        cell.store.set_down(False)

    await wait_until_completed(cell, ids)
    # Ends that are listed last are noted a moment later.
    await asyncio.sleep(3)
    doubled = cell.checks.doubled()
    lapsed = sum(how == "lapsed" for runs in cell.checks.runs.values() for how in runs.values())
    tasks = JOBS * TASKS_PER_JOB
    record.write("summary", tasks=tasks, starts=cell.checks.starts, lapsed=lapsed,
                 started_again_after_done=len(doubled), overlaps=len(cell.checks.overlaps))
    print(f"tasks={tasks} starts={cell.checks.starts} lapsed={lapsed} "
          f"started_again_after_done={len(doubled)}")
    return [f"TWICE: {task} run {run} was started after a run of it that ended done and was noted"
            for task, run in doubled]


async def wait_until_completed(cell, ids):
    for _ in range(60):
        answers = [await cell.call(0, "GET", f"/surveys/{id}", quiet=True) for id in ids]
        if all(status == 200 and body["state"] == "completed" for status, body in answers):
            cell.record.write("jobs.completed", jobs=len(ids))
            return
        await asyncio.sleep(0.5)


run_case(__file__, play)
