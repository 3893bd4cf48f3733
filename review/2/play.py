"""A job of many small tasks comes, and small jobs after it."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import main

FINISH_S = 14.0
IDLE_S = 3.0
TASKS, FEWER_TASKS = 2500, 500
SMALL_JOBS = 6
WATCHED_S = 30.0


async def play(make, record, trouble):
    large_id = f"{random.getrandbits(64):016x}"
    tasks = TASKS if trouble else FEWER_TASKS

    def behaviour(task):
        # 0.5 to 1.7 s each, so that the tasks don't end all at once.
        return (500 + int(task.split(".")[3]) % 7 * 200 if task.startswith(large_id) else 300), "done"

    site = make(behaviour)
    await site.start()
    step = {"count": tasks, "cpu": 1500, "memMb": 64, "estimateMs": 1000}
    _, confirmed_at = await site.submit("/reconcile/", {"spec": "reconcile", "steps": [step]}, job_id=large_id)
    if confirmed_at is None:
        raise RuntimeError("the large job was not accepted")
    record.write(f"a job of {tasks} tasks of 1.5 cores; the service has 704 cores")
    await asyncio.sleep(4.0)
    small = {"spec": "assay", "steps": [{"count": 2, "cpu": 5600, "memMb": 8200, "gpu": 1, "estimateMs": 300}]}
    jobs = []
    for index in range(SMALL_JOBS):
        prefix = "/assay/" if index % 2 else "/reconcile/"
        jobs.append((prefix, *await site.submit(prefix, small)))
        await asyncio.sleep(1.0)
    ended_at = time.monotonic()
    record.write("end of the traffic")

    idle_since, idle_s, started = None, 0.0, set()
    while time.monotonic() < ended_at + FINISH_S + WATCHED_S:
        now = time.monotonic()
        started = {task.split(".")[0] for worker in site.workers for _, task, _ in worker.starts}
        waiting = [job for _, job, at in jobs if at is not None and job not in started]
        if now > ended_at + FINISH_S and not waiting:
            break
        if waiting and now > ended_at + FINISH_S and not any(worker.running for worker in site.workers):
            idle_since = idle_since or now
            idle_s = max(idle_s, now - idle_since)
        else:
            idle_since = None
        await asyncio.sleep(0.05)
    for prefix, job, at in jobs:
        if at is not None and job not in started:
            record.write(f"job {job} was accepted and never began; shown as {await site.state(prefix, job)}")
    done = sum(end[3] == "done" and end[1].startswith(large_id) for worker in site.workers for end in worker.ends_listed)
    listed = sum(len(worker.ended) for worker in site.workers)
    record.write(f"the large job: {done} of {tasks} tasks have ended done; shown as {await site.state('/reconcile/', large_id)}; ends not taken note of: {listed}")
    for reason, count in site.store.refused.items():
        record.write(f"the store refused {count} calls: {reason}")
    record.write(f"later than finish_s after the end of the traffic, accepted jobs had nothing running on an idle service for {idle_s:.1f} s; {IDLE_S} s are allowed")
    return idle_s <= IDLE_S


main(play)
