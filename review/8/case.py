"""A cancellation is answered with 410 while the write that accepts the job is under way; the job then runs to its end."""

import base64
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import CannotRun, Client, job_id, manifest, play, task, work_ms

CANCEL_S = 3.0
# The store carries out a write that it does not answer up to 6 s later (`platform_lost`, how `late`).
DELAY_S = 6.0
# Span over which the share of lost answers is counted.
LOST_FOR_S = 4.5


def behaviour(run):
    run.ends_at = run.started_at + work_ms(run.spec) / 1000.0


def case(deployment, trouble, record):
    client, job = Client(deployment, "port-key"), job_id()
    writes, lost = [], []

    def delay_write(transaction):
        # The attempts of the entry host to store the job get no answer. All other writes are answered.
        now = time.monotonic()
        writes.append(now)
        concerns_job = any(job in row["key"] for row in transaction.get("puts", []))
        if trouble and concerns_job and (not lost or now < lost[0] + 2.0):
            lost.append(now)
            record("store: a write gets no answer and will be applied later")
            return DELAY_S
        return None

    deployment.store.delay_write = delay_write
    body = {"spec": "work=6800", "steps": [task(gpu=2, estimate_ms=6800)]}
    status, _ = client.call(0, "POST", "normal", job, body, timeout_s=3.0)
    if status == 200 and trouble:
        raise CannotRun("the submission was answered although its write was not")
    if status in (429, 503):
        raise CannotRun("the submission was refused")
    # The client gives the job up instead of submitting it again.
    acknowledged_at = None
    for attempt in range(4):
        status, _ = client.call(1, "DELETE", "normal", job)
        if status in (200, 410):
            acknowledged_at = time.monotonic()
            break
        time.sleep(0.5)
    if acknowledged_at is None:
        raise CannotRun("the cancellation was not acknowledged")
    record(f"the cancellation is acknowledged with {status}")
    if lost:
        time.sleep(max(0.0, lost[0] + LOST_FOR_S - time.monotonic()))
        near = [at for at in writes if lost[0] <= at <= lost[0] + LOST_FOR_S]
        record(f"{len(lost)} of {len(near)} writes within {LOST_FOR_S} s got no answer, the last one {lost[-1] - lost[0]:.1f} s after the first")
    time.sleep(DELAY_S + 5.0)
    client.call(1, "GET", "normal", job)
    late = [run for run in deployment.runs(job) if run.started_at > acknowledged_at + CANCEL_S]
    return [
        f"UNASKED: {run.task}#{run.number} started {run.started_at - acknowledged_at:.1f} s after the job's cancelling was "
        f"acknowledged with {status}, and ran until {'now' if run.how is None else run.how}"
        for run in late
    ]


play(FOLDER, case, entries=2, workers=3, behaviour=behaviour, config=manifest())
