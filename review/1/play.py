"""Workers crash in quick succession; after that the items of a batch job are left lying."""

import asyncio
import base64
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.case import main  # noqa: E402
from support.deployment import CannotRunError, Deployment  # noqa: E402
from support.http import Message, call  # noqa: E402
from support.record import has_trouble  # noqa: E402
from support.worker import Worker, stream_events  # noqa: E402

HOST = "host-1.example"
JOB = "7c41e09b52d6a3f8"
WORKERS, ITEMS = 5, 24
EVENTS, EVENT_PAUSE = 30, 0.1
CRASHES, CRASH_GAP = 20, 0.45
CRASHED_TOGETHER = 2
"""Workers that crash at one moment: 0.4 of them, twice the sheet's largest share."""
DOWN = 0.5
"""Seconds until a crashed worker starts again, under a new id."""
TRAFFIC_END = 3.0
"""Seconds from the last crash to the end of the traffic (`contactMs`)."""
FINISH = 18.0
"""Seconds that batch jobs get when traffic has ended (`finishS`)."""
FAILED_WITHIN = 20.0
"""Seconds in which an item that failed at a worker isn't counted."""
IDLE, UNFINISHED = 5.0, 3.0
"""Seconds without a run of the job, and without an end of an item, before the end."""


def configuration() -> dict[str, object]:
    """Return the operator's configuration: one batch route."""
    route = {
        "name": "r-lots", "host": HOST, "pathPrefix": "/lots/", "kind": "batch", "service": "llm",
        "timeoutMs": 30000, "targetLatencyMs": 500, "runAimMs": 20000, "keepS": 60,
        "maxQueuedTokens": 1600000, "maxAttempts": 3, "priority": 2,
    }  # fmt: skip
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": "llm", "healthPath": "/health", "engine": {"slots": 8}}],
    }


class Fleet:
    """The workers, each of which has several lives."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self.now: list[Worker] = []
        self.all: list[Worker] = []
        self.last_run = self.last_end = asyncio.get_running_loop().time()
        """Times of the last moment at which a worker had an item, and of the last whole run."""
        self.running = 0
        """Items that workers have now."""

    async def start(self, place: int) -> None:
        """Start a worker, under an id of its own."""
        name = f"i-{place}-{len(self.all)}"
        worker = Worker(name, "llm", self._deployment.store, self._deployment.record, self._run)
        await worker.start()
        self.all.append(worker)
        self.now[place : place + 1] = [worker]

    async def _run(self, worker: Worker, request: Message, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        self.running += 1
        try:
            await stream_events(worker, request, writer, EVENTS, EVENT_PAUSE)
            self.last_end = loop.time()
        finally:
            self.running -= 1
            self.last_run = loop.time()

    async def crash(self, places: list[int]) -> None:
        """Let workers crash together, and start them again."""
        for place in places:
            await self.now[place].crash()
        await asyncio.sleep(DOWN)
        for place in places:
            await self.start(place)


def job() -> bytes:
    """Return the body of the batch job; its items share the first part of their prompts."""
    body = base64.b64encode(b"prompt").decode()
    items = []
    for number in range(ITEMS):
        parts = f"9c2e4100:300,{number:08x}:240"
        headers = {"Model": "m", "Token-Count": f"540,{EVENTS}", "Prompt-Prefix": parts}
        items.append(
            {
                "id": f"item-{number}",
                "path": f"/lots/{number}",
                "headers": headers,
                "body": body,
                "tokens": 540 + EVENTS,
            }
        )
    return json.dumps({"items": items}).encode()


async def results(deployment: Deployment) -> dict[str, str]:
    """Return the state of each listed item, as a client reads it at one of the nodes."""
    found: dict[str, str] = {}
    while True:
        read = await call(
            deployment.nodes[0].front,
            "GET",
            f"/api/lots/{JOB}?watchAfter={len(found)}",
            [("Host", HOST)],
        )
        if read.answer is None or read.answer.status != 200:
            raise CannotRunError(f"the results can't be read: {read.outcome}")
        page = json.loads(read.answer.body)
        found |= {one["id"]: one["state"] for one in page["results"]}
        if not page["results"]:
            return found


async def play(deployment: Deployment) -> bool:
    """Play the case; returns whether items were left lying."""
    record, loop = deployment.record, asyncio.get_running_loop()
    await deployment.start(2, configuration())
    fleet = Fleet(deployment)
    for place in range(WORKERS):
        await fleet.start(place)
    await deployment.wait_ready()
    await asyncio.sleep(4.0)

    headers = [("Host", HOST), ("Request-Id", JOB), ("Content-Type", "application/json")]
    made = await call(deployment.nodes[0].front, "POST", "/lots/a", headers, job())
    record.write(f"client hands in {JOB} with {ITEMS} items and gets {made.outcome}")
    if made.answer is None or made.answer.status != 202:
        raise CannotRunError("the batch job wasn't accepted")

    await asyncio.sleep(0.8)
    crashes = []
    for number in range(CRASHES if has_trouble() else 0):
        first = number * CRASHED_TOGETHER
        places = [(first + one) % WORKERS for one in range(CRASHED_TOGETHER)]
        crashes.append(asyncio.create_task(fleet.crash(places)))
        await asyncio.sleep(CRASH_GAP)
    await asyncio.gather(*crashes)
    last_crash = loop.time() - DOWN
    record.write("the last crash is over; all workers serve from now on")
    await asyncio.sleep(max(TRAFFIC_END + FINISH, FAILED_WITHIN + 1.0))

    now, listed = loop.time(), await results(deployment)
    left = sorted({f"item-{number}" for number in range(ITEMS)} - listed.keys())
    record.write(f"{now - last_crash:.1f} s after the last crash: listed {len(listed)} of {ITEMS}")
    record.write(f"not listed: {left}")
    record.write(f"items that workers have now: {fleet.running}")
    record.write(f"last run of an item: {now - fleet.last_run:.1f} s ago")
    record.write(f"last whole run of an item: {now - fleet.last_end:.1f} s ago")
    for node in deployment.nodes:
        for line in node.log_text().splitlines():
            if "engines crashed under a part of its prompt" in line and left:
                record.write(f"log of {node.name}: {line[:400]}")
                break
    idle = not fleet.running and now - fleet.last_run > IDLE
    return bool(left) and idle and now - fleet.last_end > UNFINISHED


if __name__ == "__main__":
    main(FOLDER, play)
