"""A large gang is handed in while the service is idle."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import main

FINISH_S = 14.0
IDLE_S = 3.0
WATCHED_S = 50.0
MEMBERS = 1024
SMALL_MEMBERS = 64


async def play(make, record, trouble):
    members = MEMBERS if trouble else SMALL_MEMBERS
    large_id = f"{random.getrandbits(64):016x}"
    site = make(lambda task: (2000, "done"))
    await site.start()
    body = {"spec": "reconcile", "steps": [{"count": members, "cpu": 250, "memMb": 64, "estimateMs": 2000, "gang": True}]}
    _, confirmed_at = await site.submit("/reconcile/", body, job_id=large_id)
    if confirmed_at is None:
        record.write("the large job was not accepted")
        return True
    record.write(f"a gang of {members} tasks of 0.25 cores on 704 idle cores; end of the traffic")
    idle_since, idle_s, shown = None, 0.0, None
    while time.monotonic() < confirmed_at + WATCHED_S and shown != "completed":
        now = time.monotonic()
        started = sum(len(worker.starts) for worker in site.workers)
        if started == 0 and now > confirmed_at + FINISH_S:
            idle_since = idle_since or now
            idle_s = max(idle_s, now - idle_since)
        shown = await site.state("/reconcile/", large_id)
        await asyncio.sleep(0.3)
    record.write(f"starts: {sum(len(worker.starts) for worker in site.workers)}; the job is shown as {shown} after {time.monotonic() - confirmed_at:.1f} s")
    for reason, count in site.store.refused.items():
        record.write(f"the store refused {count} calls: {reason}")
    record.write(f"later than finish_s after the end of the traffic, it had nothing running on an idle service for {idle_s:.1f} s; {IDLE_S} s are allowed")
    return idle_s <= IDLE_S


main(play)
