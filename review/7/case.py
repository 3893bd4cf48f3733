"""A run that is being stopped is taken for absent, because the list made after the stop is overtaken by the answer to a start."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import CannotRun, Client, job_id, manifest, play, task, work_ms

# Time by which the worker's answer to `hold` is later than the answer to a start that it handled afterwards.
START_TAKES_S = 0.020
ANSWER_ON_ITS_WAY_S = 0.045
# Largest share of lost answers and its span on the site (`answer_lost`).
LOST_SHARE, LOST_FOR_S = 0.264, 6.57


def behaviour(run):
    run.ends_at = run.started_at + work_ms(run.spec) / 1000.0


def case(deployment, trouble, record):
    client = Client(deployment, "port-key")
    worker = deployment.workers[0]
    # The other worker is full.
    filler, first, second = job_id(), job_id(), job_id()
    client.submit("normal", filler, [task(gpu=8, estimate_ms=60000)], spec="work=60000")
    worker = next(worker for worker in deployment.workers if worker is not deployment.wait_for("the filler", 10.0, lambda: deployment.runs(filler))[0].worker)
    stopped, holding = threading.Event(), threading.Event()
    ran, lost = [], []

    def before(path, body):
        if path == "/api/hold" and body.get("waitMs") == 2000:
            holding.set()
        if path == "/api/run-start" and body["task"].startswith(second):
            time.sleep(START_TAKES_S)

    def after(path, body, status, content):
        ran.append(time.monotonic())
        if path == "/api/run-stop" and body["task"].startswith(first):
            stopped.set()
        if path == "/api/run-start" and body["task"].startswith(first) and body["run"] == 1:
            lost.append(time.monotonic())
            record(f"worker {worker.number}: the answer to the start of {body['task']}#1 is lost")
            return False
        if path == "/api/hold" and body.get("waitMs", 0) == 0 and stopped.is_set():
            time.sleep(ANSWER_ON_ITS_WAY_S)
        return True

    if trouble:
        worker.request_hook, worker.answer_hook = before, after
        holding.clear()
        holding.wait(5.0)
    client.submit("normal", first, [task(gpu=5, estimate_ms=8000)], spec="work=8000")
    deployment.wait_for("the first run", 5.0, lambda: deployment.runs(first))
    time.sleep(0.4)
    client.submit("normal", second, [task(gpu=1, estimate_ms=8000)], spec="work=8000")
    time.sleep(1.5)
    # Further small tasks, as the worker runs on: the share of lost answers is counted among all of its answers.
    client.submit("normal", job_id(), [task(gpu=1, count=24, estimate_ms=100)], spec="work=100")
    time.sleep(LOST_FOR_S - 1.0)
    if trouble:
        near = [at for at in ran if lost and lost[0] - 0.01 <= at <= lost[0] + LOST_FOR_S]
        record(f"{len(lost)} of {len(near)} answers of the worker within {LOST_FOR_S} s were lost")
        if not lost or len(lost) > LOST_SHARE * len(near):
            raise CannotRun("the share of lost answers is not within the limit")
    broken = []
    runs = deployment.runs(first)
    for earlier, later in zip(runs, runs[1:]):
        end = earlier.ended_at or time.monotonic()
        if later.started_at < end:
            overlap_ms = (end - later.started_at) * 1000
            broken.append(f"TWICE: {later.task}#{later.number} started on worker {later.worker.number} {overlap_ms:.0f} ms before #{earlier.number} had ended on worker {earlier.worker.number}")
    for run in deployment.runs(first) + deployment.runs(second):
        beside = [other for other in worker.runs if other.worker is run.worker and other.started_at <= run.started_at and (other.ended_at or 1e18) > run.started_at]
        used = sum(5 if other.task.startswith(first) else 1 for other in beside)
        if run.worker is worker and used > 8:
            broken.append(f"LIMIT: the start of {run.task}#{run.number} brings worker {worker.number} to {used} of 8 accelerators")
    return broken


play(FOLDER, case, entries=2, workers=2, behaviour=behaviour, config=manifest())
