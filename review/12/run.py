import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from standins import asyncio, configuration, job, play, step

BUSY = "/normal/00000000000000b1"
APART = "/normal/00000000000000a1"
WORKERS = 7
TASKS, LIMIT = 2, 1


async def scenario(world, trouble):
    # Three of the seven workers are of the kind that the jobs require.
    await world.start(configuration(1), workers=WORKERS, kinds={4: "b", 5: "b", 6: "b"})
    # One of them is taken by another job for 10 s.
    await world.submit(BUSY, "harbour-key", job("work=10 gpu=8", step(1, 8, estimate=10000, requirements="b")))
    await world.wait_until(lambda: world.found("run started"), 10, "the first job did not start")
    at_once = {}

    def started(worker, run):
        tasks = [known.task for known in worker.running.values() if known.task[:16] == APART[-16:]]
        if len(tasks) > LIMIT:
            at_once[worker.id] = sorted(tasks)
        if trouble and run.task[:16] == APART[-16:] and run.run == 1:
            # Each of the tasks fails once, through its own fault.
            asyncio.get_running_loop().call_later(2.0, worker.end, run, "failed")

    for worker in world.workers:
        worker.on_start = started
    body = job("work=6 gpu=1", step(TASKS, 1, estimate=6000, requirements="b", antiAffinity=LIMIT))
    await world.submit(APART, "mill-key", body)
    await asyncio.sleep(24)
    state = await world.client("GET", APART, "mill-key")
    world.record("judged", at_once=at_once, state=state)
    return [
        f"ROUTE: {len(tasks)} tasks of a step with antiAffinity {LIMIT} were started on worker {worker} and ran there at the "
        f"same time: {' '.join(tasks)}" for worker, tasks in at_once.items()
    ]


play(__file__, scenario)
