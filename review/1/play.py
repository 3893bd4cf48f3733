"""The store turns one entry host away, loses the answer of one write, and then is down for some seconds."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import HttpServer, main

DOWN_AFTER_S = 0.3
DOWN_S = 3.0
TURNED_AWAY_S = 3.5
WATCHED_S = 20.0


async def play(make, record, trouble):
    job_id = f"{random.getrandbits(64):016x}"
    site = make(lambda task: (2000, "done"))
    store = site.store
    turned_away_at = []
    polls = {}
    lost_at = []

    def is_turned_away():
        return bool(turned_away_at) and time.monotonic() - turned_away_at[0] < TURNED_AWAY_S

    async def serve_entry(method, path, query, headers, body):
        """The store, as the first entry host sees it."""
        if path == "/api/rows-feed":
            polls[query["table"]] = time.monotonic()
        if is_turned_away():
            return 503, None
        return await serve(method, path, query, headers, body)

    async def serve(method, path, query, headers, body):
        if lost_at and DOWN_AFTER_S < time.monotonic() - lost_at[0] < DOWN_AFTER_S + DOWN_S:
            return 503, None
        is_acceptance = path == "/api/rows-tx" and job_id.encode() in body
        answer = await store.handle(method, path, query, headers, body)
        if is_turned_away() and is_acceptance and not lost_at and answer[0] == 200:
            lost_at.append(time.monotonic())
            record.write("store: performs the write of the job for another machine; its answer is lost")
            await asyncio.sleep(10)
            return None
        return answer

    store.server.handler = serve
    entry_server = HttpServer(serve_entry)
    await entry_server.start(site.store_ip, 8525)
    settings = site.entries[0].settings
    settings.write_text(settings.read_text().replace(f"platform.address={site.store_ip}:8524", f"platform.address={site.store_ip}:8525"))
    try:
        await site.start()
        # The entry host asks the owner for the peers that relay its requests every ten seconds.
        await asyncio.sleep(6.0)
        if trouble:
            # The outage begins between two polls of the host's feeds, which it sends every 0.7 s each.
            until = time.monotonic() + 5.0
            while time.monotonic() < until:
                ages = [time.monotonic() - at for at in polls.values()]
                if len(ages) == 2 and max(ages) < 0.4:
                    break
                await asyncio.sleep(0.005)
            record.write("store: turns the first entry host away with 503")
            turned_away_at.append(time.monotonic())
        body = {"spec": "ticket", "steps": [{"count": 1, "cpu": 7500, "memMb": 11000, "gpu": 1, "estimateMs": 2000}]}
        status, _ = await site.call("POST", "/ticket/", job_id, body, entry=0)
        record.write(f"client: POST /ticket/{job_id} -> {status}; it is not sent again")
        await asyncio.sleep(WATCHED_S)
        starts = [start for worker in site.workers for start in worker.starts if start[1].startswith(job_id)]
        shown = await site.state("/ticket/", job_id)
        record.write(f"attempts of the client: 1, rejected: {status in (429, 503)}; starts of the job's task: {len(starts)}; the job is shown as {shown}")
        return not (status in (429, 503) and starts)
    finally:
        await entry_server.stop()


main(play)
