"""One hopeless recurring job among twenty jobs in three seconds; the platform's limit on memory holds."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import main

FINISH_S = 14.0
IDLE_S = 3.0
POISON_WINDOW_S = 3.0
LATER_JOBS = 6
WATCHED_S = 30.0
OCCURRENCES = 64
TASKS = 8000
AGENT_MEMORY_KB = 128 * 1024
RESTART_DELAY_S = 0.5


def resident_kb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
    except OSError:
        pass
    return 0


async def enforce_memory(site, record, kills):
    """The platform kills a process that exceeds `limits.memoryMb`, and starts it again after a short delay."""
    while True:
        for process in site.agents:
            if process.child.poll() is None and (size := resident_kb(process.child.pid)) > AGENT_MEMORY_KB:
                kills.append(process.name)
                record.write(f"platform: {process.name} uses {size} kB, more than its {AGENT_MEMORY_KB} kB, and is killed")
                process.kill()
                asyncio.get_running_loop().call_later(RESTART_DELAY_S, process.start)
        await asyncio.sleep(0.05)


async def play(make, record, trouble):
    hopeless_id = f"{random.getrandbits(64):016x}"
    site = make(lambda task: (300, "done"))
    await site.start()
    kills = []
    memory = asyncio.create_task(enforce_memory(site, record, kills))
    small = {"spec": "reconcile", "steps": [{"count": 2, "cpu": 5600, "memMb": 8200, "gpu": 1, "estimateMs": 300}]}
    # No worker has 1,000 cores, so the tasks can never run.
    step = {"count": TASKS if trouble else 1, "cpu": 1000000, "memMb": 8200, "gpu": 1, "estimateMs": 300}
    hopeless = {"spec": "reconcile", "startAtMs": int(time.time() * 1000), "intervalMs": 100, "repeatCount": OCCURRENCES, "steps": [step]}
    record.write(f"within {POISON_WINDOW_S} s: 19 small jobs and {hopeless_id}, hopeless, {OCCURRENCES} x {step['count']} tasks")
    jobs = []
    for index in range(20):
        if index == 10:
            await site.submit("/reconcile/", hopeless, job_id=hopeless_id)
        else:
            jobs.append(await site.submit("/reconcile/", small))
        await asyncio.sleep(POISON_WINDOW_S / 20)
    await asyncio.sleep(5.0)
    for _ in range(LATER_JOBS):
        jobs.append(await site.submit("/reconcile/", small))
        await asyncio.sleep(1.0)
    traffic_ended_at = time.monotonic()
    record.write("end of the traffic")
    accepted = [job for job, at in jobs if at is not None]

    idle_since, idle_s = None, 0.0
    started = set()
    while time.monotonic() < traffic_ended_at + FINISH_S + WATCHED_S:
        now = time.monotonic()
        started = {task.split(".")[0] for worker in site.workers for _, task, _ in worker.starts}
        waiting = [job for job in accepted if job not in started]
        if waiting and not any(worker.running for worker in site.workers) and now > traffic_ended_at + FINISH_S:
            idle_since = idle_since or now
            idle_s = max(idle_s, now - idle_since)
        else:
            idle_since = None
        if now > traffic_ended_at + FINISH_S and not waiting:
            break
        await asyncio.sleep(0.05)
    memory.cancel()
    for job in accepted:
        if job not in started:
            record.write(f"job {job} was accepted and never began; shown as {await site.state('/reconcile/', job)}")
    exits = {name: kills.count(name) for name in sorted(set(kills))}
    record.write(f"{len(accepted)} small jobs were accepted, {len(started)} began; processes over their memory limit: {exits}")
    record.write(f"later than finish_s after the end of the traffic, accepted jobs had nothing running on an idle service for {idle_s:.1f} s; {IDLE_S} s are allowed")
    return idle_s <= IDLE_S


main(play)
