import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from standins import asyncio, configuration, job, play, step

URGENT = "/urgent/00000000000000a1"
LASTING = "/low/00000000000000b1"
WORKERS = 3
RECLAIM_S = 2.7


async def scenario(world, trouble):
    await world.start(configuration(1), workers=WORKERS)
    if trouble:
        # Another tenant uses what is idle: one lasting task of 8 GPUs for each worker.
        body = job("lasts gpu=8", step(WORKERS, 8, longRunning=True))
        await world.submit(LASTING, "harbour-key", body)
        await world.wait_until(lambda: len(world.found("run started")) == WORKERS, 10, "the lasting tasks did not start")
        await asyncio.sleep(8)
    accepted_at = await world.submit(URGENT, "mill-key", job("work=3 gpu=8", step(1, 8)))
    await asyncio.sleep(20)
    task = URGENT[-16:] + ".0.0.0"
    starts = [at for at, _, fields in world.found("run started") if fields["task"] == task]
    state = await world.client("GET", URGENT, "mill-key")
    world.record("judged", accepted_at=accepted_at, starts=starts, state=state)
    if not starts or starts[0] > accepted_at + RECLAIM_S:
        return [f"RECLAIM: a job of priority 0 within its tenant's guarantee had not begun {RECLAIM_S} s after its "
                f"confirmation: {'never begun in 20 s' if not starts else f'begun after {starts[0] - accepted_at:.1f} s'}"]
    return []


play(__file__, scenario)
