"""A pause of the owner, after which it answers a cancellation. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from cell import CannotRun, Channel, job, job_id, run_case

PAUSE_S = 1.7
# The latest acceptance that leaves time for the cancellation before the pause ends.
MAX_ACCEPT_S = 1.4
CANCEL_AFTER_ACCEPT_S = 0.1
STEPS = 6
RUN_MS = 2_000
CANCEL_MS = 3_000


async def play(make_cell, record, trouble):
    cell = make_cell(3)
    await cell.open(workers=4)
    cell.configure([("surveys", "/surveys/", 4)])
    await cell.start_nodes()
    await cell.wait_ready()
    await asyncio.sleep(1)
    owner = next((n for n in cell.nodes if "owner.serves" in n.log()), None)
    if owner is None:
        raise CannotRun("no process owns the partition")
    other = next(n for n in cell.nodes if n is not owner)
    channel = await Channel().open(owner)

    begin = record.at()
    if trouble:
        owner.signal("SIGSTOP")
    id = await submit(cell, other)
    if trouble and record.at() - begin > MAX_ACCEPT_S * 1000:
        raise CannotRun("no other process took over in time")

    await asyncio.sleep(CANCEL_AFTER_ACCEPT_S)
    path = f"/surveys/{id}"
    sent = record.at()
    channel.send("DELETE", path)
    await sleep_until(record, begin + PAUSE_S * 1000)
    if trouble:
        owner.signal("SIGCONT")
    status, answer = await channel.receive()
    acknowledged = record.at()
    record.write("client.call", node=owner.number, method="DELETE", path=path, sent_ms=sent,
                 status=status, answer=answer)
    if not (200 <= status < 300 or status == 410):
        # An answer that is no ack; then nothing is judged.
        return []

    await asyncio.sleep(STEPS * RUN_MS / 1000 + 2)
    states = await asyncio.gather(*(cell.call(n, "GET", path) for n in range(3)))
    late = [e for e in cell.checks.start_log
            if e[1].startswith(id) and e[0] > acknowledged + CANCEL_MS]
    print(f"DELETE was answered {status} after {acknowledged - sent} ms; starts later than "
          f"cancel_ms after that: {len(late)}; state now: {states[other.number][1]}")
    return [f"UNASKED: {task} was started {ms - acknowledged} ms after the ack of its cancelling"
            for ms, task, _ in late]


async def submit(cell, node):
    """Submits a job to a process until it is accepted. A job that was rejected never runs, so each
    attempt has an id of its own."""
    for _ in range(50):
        id = job_id()
        body = job(4, RUN_MS, 500, steps=STEPS)
        status, _ = await cell.call(node.number, "POST", f"/surveys/{id}", body)
        if status == 200:
            return id
        await asyncio.sleep(0.05)
    raise CannotRun("the job was not accepted")


async def sleep_until(record, ms):
    await asyncio.sleep(max(0, ms - record.at()) / 1000)


run_case(__file__, play)
