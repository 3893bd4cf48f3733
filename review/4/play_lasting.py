"""Tasks that last fail once, all at the same time, as they may at any time."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import main

AFTER_RUN_S = 6.0
IDLE_S = 3.0
WATCHED_S = 40.0


async def play(make, record, trouble):
    job_id = f"{random.getrandbits(64):016x}"
    runs = {}

    def behaviour(task):
        runs[task] = runs.get(task, 0) + 1
        return (4000, "failed") if trouble and runs[task] == 1 else (1, "lasting")

    site = make(behaviour)
    await site.start()
    step = {"count": 44, "cpu": 11000, "memMb": 8200, "gpu": 1, "estimateMs": 1000, "longRunning": True}
    _, confirmed_at = await site.submit("/reconcile/", {"spec": "reconcile", "steps": [step]}, job_id=job_id)
    if confirmed_at is None:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(WATCHED_S)
    now = time.monotonic()
    starts = {(task, run): at for worker in site.workers for at, task, run in worker.starts}
    waits = []
    for worker in site.workers:
        for at, task, run, _ in worker.ends_listed:
            later = [start for (other, number), start in starts.items() if other == task and number > run]
            waits.append(min(later, default=now) - at)
    late = sum(wait > AFTER_RUN_S + IDLE_S for wait in waits)
    record.write(f"{len(waits)} runs failed; longest time until the task ran again: {max(waits, default=0):.1f} s; over {AFTER_RUN_S + IDLE_S} s: {late}")
    return late == 0


main(play)
