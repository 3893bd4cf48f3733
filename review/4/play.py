"""One hopeless job among twenty jobs in three seconds; later one urgent job that its tenant's guarantee covers."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import main

RECLAIM_S = 2.7
CONTACT_S = 4.0
FINISH_S = 14.0
IDLE_S = 3.0
TASKS = 55
POISON_WINDOW_S = 3.0
URGENT_AFTER_S = 6.0
WATCHED_S = 45.0


async def play(make, record, trouble):
    wide_id, urgent_id = (f"{random.getrandbits(64):016x}" for _ in range(2))
    wide_ends = []
    begun = {}

    def behaviour(task):
        job = task.split(".")[0]
        if job == wide_id:
            return 500, "failed" if trouble else "done"
        return (800, "done") if job == urgent_id else (300, "done")

    site = make(behaviour)

    def on_start(worker, task, run):
        if task.startswith(urgent_id):
            begun.setdefault(task, time.monotonic())

    for worker in site.workers:
        worker.on_start = on_start
    await site.start()

    small = {"spec": "reconcile", "steps": [{"count": 1, "cpu": 5600, "memMb": 8200, "gpu": 1, "estimateMs": 300}]}
    wide = {"spec": "reconcile", "steps": [{"count": TASKS, "cpu": 5600, "memMb": 8200, "gpu": 1, "estimateMs": 500}]}
    urgent = {"spec": "ticket", "steps": [{"count": 3, "cpu": 7500, "memMb": 11000, "gpu": 1, "estimateMs": 800}]}
    record.write(f"within {POISON_WINDOW_S} s: 19 small jobs and {wide_id} with {TASKS} tasks, hopeless={trouble}")
    for index in range(20):
        await site.submit("/reconcile/", wide if index == 19 else small, job_id=wide_id if index == 19 else None)
        await asyncio.sleep(POISON_WINDOW_S / 20)
    sent_at = time.monotonic()
    await asyncio.sleep(URGENT_AFTER_S)
    _, confirmed_at = await site.submit("/ticket/", urgent, job_id=urgent_id)
    if confirmed_at is None:
        raise RuntimeError("the urgent job was not accepted")
    record.write("end of the traffic")

    # Samples what runs, so that an idle service is seen as such.
    idle_since, idle_s = None, 0.0
    while time.monotonic() < confirmed_at + WATCHED_S and not (len(begun) == 3 and time.monotonic() > confirmed_at + 20):
        now = time.monotonic()
        is_idle = not begun and sum(len(worker.running) for worker in site.workers) == 0
        if is_idle and now > confirmed_at + FINISH_S:
            idle_since = idle_since or now
            idle_s = max(idle_s, now - idle_since)
        else:
            idle_since = None
        await asyncio.sleep(0.05)
    for worker in site.workers:
        wide_ends += [at for at, task, _, how in worker.ends_listed if task.startswith(wide_id)]

    began_after = max(begun.values()) - confirmed_at if len(begun) == 3 else None
    calm_s = confirmed_at - max(at for at in wide_ends if at < confirmed_at)
    record.write(f"the urgent job was sent {confirmed_at - sent_at:.1f} s after the hopeless one; the last run of it had ended {calm_s:.1f} s before")
    record.write(f"the urgent job began after {'never' if began_after is None else f'{began_after:.2f} s'}; reclaimMs is {RECLAIM_S} s")
    record.write(f"later than finish_s after the end of the traffic, it had nothing running on an idle service for {idle_s:.1f} s; {IDLE_S} s are allowed")
    record.write(f"the wide job is shown as {await site.state('/reconcile/', wide_id)}, the urgent one as {await site.state('/ticket/', urgent_id)}")
    reclaim_held = calm_s < CONTACT_S or began_after is not None and began_after <= RECLAIM_S
    lost_held = idle_s <= IDLE_S
    record.write(f"RECLAIM {'held' if reclaim_held else 'broken'}, LOST {'held' if lost_held else 'broken'}")
    return reclaim_held and lost_held


main(play)
