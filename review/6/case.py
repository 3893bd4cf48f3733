"""An end of the next life of a worker is forgotten by a `hold` meant for the life before; the task is done twice."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import Client, job_id, manifest, play, task, work_ms

# One crash among them is a share of 0.125.
WORKERS = 8
DOWN_S = 0.3
# The worker checks in every 1.5 s (`heartbeatMs`), for the first time 1 s after its start.
FIRST_CHECK_IN_S = 1.0


def behaviour(run):
    run.ends_at = run.started_at + work_ms(run.spec) / 1000.0


def case(deployment, trouble, record):
    client = Client(deployment, "port-key")
    warm = job_id()
    client.submit("normal", warm, [task(gpu=8, count=WORKERS, estimate_ms=200)], spec="work=200")
    deployment.wait_for("the ends of the first job", 10.0, lambda: all(worker.noted for worker in deployment.workers))
    time.sleep(1.0)
    # The other workers are busy.
    filler = job_id()
    client.submit("normal", filler, [task(gpu=8, count=WORKERS - 1, estimate_ms=60000)], spec="work=60000")
    deployment.wait_for("the fillers", 10.0, lambda: len(deployment.runs(filler)) == WORKERS - 1)
    busy = [run.worker for run in deployment.runs(filler)]
    worker = next(worker for worker in deployment.workers if worker not in busy)
    time.sleep(1.0)
    if trouble:
        worker.same_id, worker.first_check_in_s = True, FIRST_CHECK_IN_S
        worker.crash()
        time.sleep(DOWN_S)
        worker.start()
        time.sleep(0.05)
    short = job_id()
    client.submit("normal", short, [task(gpu=2, estimate_ms=150)], spec="work=150")
    time.sleep(8.0)
    client.call(1, "GET", "normal", short)
    broken = []
    for end, noted_at, life in worker.noted:
        if end[3] == "done" and end[1].startswith(short):
            for run in deployment.runs(short):
                if run.task == end[1] and run.number > end[2]:
                    broken.append(f"TWICE: {run.task}#{run.number} started although #{end[2]} had ended done and `lastSeen` had reached that end")
    return broken


play(FOLDER, case, entries=2, workers=WORKERS, behaviour=behaviour, config=manifest())
