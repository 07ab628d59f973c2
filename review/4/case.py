"""Batch jobs while answers of the store are lost: is a job that was refused ever run?"""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support_2.fleet import BROKEN, HELD, HOST, CaseError, Fleet, configuration, route, run_case
from support_2.http import request

SEED = 1
BOUNDS = {
    "contactMs": 4000, "ackMs": 6000, "drainMs": 3000, "graceS": 8, "configMs": 3000,
    "finishS": 18, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOver": 0.1,
}  # fmt: skip
DEADLINE = 5.796
"""Seconds that a client gives a job, and one retry, as the sheet of the site has them."""
TRIES = 2
LOST_SHARE = 0.35
LOST_TIME, PAUSE = 4.5, 3.0
"""Seconds for which answers are lost, and between two such times."""
ROUNDS = 9
BURST, BURST_INTERVAL = 30, 1.5
"""Jobs that come at once, and seconds from one burst to the next."""
ITEMS, ITEM_TOKENS, ITEM_EVENTS = 2, 1000, 12
MOST_WAITING = 15 * ITEMS * ITEM_TOKENS
"""Tokens that may wait on the route: those of a part of a burst."""
SETTLE_TIME = 12.0
"""Seconds after the last job within which what was accepted runs."""


def body_of(job_id):
    """Return the document of a job."""
    items = [
        {
            "id": f"{job_id}{number:02x}", "path": f"/batch/{number}", "tokens": ITEM_TOKENS,
            "headers": {
                "Model": "m", "Token-Count": f"{ITEM_TOKENS - ITEM_EVENTS},{ITEM_EVENTS}",
                "Prompt-Prefix": f"5c1e07a2:200,{job_id[:8]}:{ITEM_TOKENS - ITEM_EVENTS - 200}",
            },
            "body": "q83vEjRWeJA=",
        }
        for number in range(ITEMS)
    ]  # fmt: skip
    return json.dumps({"items": items}).encode()


async def submit(fleet, job_id, draw, record):
    """Hand a job in as a client does, and return the statuses of all its attempts."""
    began, statuses = fleet.now(), []
    nodes = draw.sample(fleet.nodes, TRIES)
    for node in nodes:
        left = began + DEADLINE - fleet.now()
        headers = [("Host", HOST), ("Request-Id", job_id), ("Content-Type", "application/json")]
        sent = fleet.now()
        answer = await request(node.front, "POST", "/batch/", headers, body_of(job_id), left)
        statuses.append(answer.status)
        record(
            job=job_id, node=node.name, sent=round(sent, 3), answered=round(fleet.now(), 3),
            status=answer.status, retry_after=answer.headers.get("retry-after"),
            body=answer.body.decode()[:120],
        )  # fmt: skip
        if answer.status == 202:
            break
        left = began + DEADLINE - fleet.now()
        wait = min(float(answer.headers.get("retry-after", 0.1)), left / 3)
        if left <= 0:
            break
        await asyncio.sleep(wait)
    return statuses


async def lose_answers(fleet):
    """Lose answers of the store, for a while at a time."""
    while True:
        fleet.store.lost_share = LOST_SHARE
        await asyncio.sleep(LOST_TIME)
        fleet.store.lost_share = 0.0
        await asyncio.sleep(PAUSE)


async def case(trouble, record):
    """Run the case; returns the exit code."""
    draw = random.Random(SEED)
    fleet = Fleet(seed=SEED, bounds=BOUNDS, zones=("a", "b"))
    document = configuration(
        [
            route(
                "batch", "/batch/", "batch", timeoutMs=30000, targetLatencyMs=700, priority=2,
                runAimMs=20000, keepS=60, maxQueuedTokens=MOST_WAITING,
            )
        ],
        slots=6,
    )  # fmt: skip
    try:
        await fleet.start(document, nodes=4, workers=4, slots=6, event_time=0.02)
        await asyncio.sleep(3.0)
        losing = asyncio.ensure_future(lose_answers(fleet)) if trouble else None
        until = fleet.now() + ROUNDS * (LOST_TIME + PAUSE)
        jobs = {}
        while fleet.now() < until:
            for _ in range(BURST):
                job_id = f"{draw.getrandbits(64):016x}"
                jobs[job_id] = asyncio.ensure_future(submit(fleet, job_id, draw, record))
            await asyncio.sleep(BURST_INTERVAL)
        await asyncio.wait(jobs.values())
        if losing:
            losing.cancel()
        fleet.store.lost_share = 0.0
        await asyncio.sleep(SETTLE_TIME)
        statuses = {job_id: task.result() for job_id, task in jobs.items()}
        return judge(fleet, statuses, trouble, record)
    finally:
        fleet.stop()


def judge(fleet, statuses, trouble, record):
    """Record what was run, and return the exit code."""
    ran = {}
    for at, item_id, after, _, _ in fleet.runs:
        record(ran=item_id, at=round(at, 3), after=after)
        ran.setdefault(item_id[:16], []).append(item_id)
    accepted = [job_id for job_id, found in statuses.items() if found[-1] == 202]
    refused = [
        job_id for job_id, found in statuses.items() if all(one in (429, 503) for one in found)
    ]
    broken = [job_id for job_id in refused if job_id in ran]
    for job_id in broken:
        record(refused_and_run=job_id, statuses=statuses[job_id], items=ran[job_id])
    record(
        trouble=trouble, jobs=len(statuses), accepted=len(accepted), refused=len(refused),
        lost_answers=fleet.store.lost, refused_and_run=len(broken),
    )  # fmt: skip
    if not accepted:
        raise CaseError("no job was accepted")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
