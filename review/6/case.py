"""Nodes are added while a part of the store is down: does a tenant get more than its limit?"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support_2.fleet import BROKEN, HELD, HOST, CaseError, Fleet, configuration, route, run_case
from support_2.http import request

SEED = 1
WINDOW, OVER, SLACK = 5.0, 0.1, 20
BOUNDS = {
    "contactMs": 4000, "ackMs": 6000, "drainMs": 3000, "graceS": 8, "configMs": 3000,
    "finishS": 18, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "failClosed": False,
    "revokeMs": 5000, "quotaWindowS": WINDOW, "quotaOver": OVER, "quotaSlack": SLACK,
}  # fmt: skip
TENANT, KEY = "kaje80", "wyy7yx5x42q492cqf75r"
RATE, BURST = 20, 20
SENT_PER_SECOND = 90
"""Requests of the tenant: 4.5 times its limit. On the site a limit is 1.6 times the usual, so this
is 7.2 times the usual; a hot tenant sends up to 7.5 times."""
DEADLINE = 5.132
NODES, ADDED = 3, 3
DOWN_TOPIC = "keyed.nodes"
DOWN_TIME = 4.5
BEFORE, AFTER = 8.0, 12.0
"""Seconds of traffic before the nodes are added, and from then on."""


class Traffic:
    """The tenant's requests, at the nodes that the platform hands connections to."""

    def __init__(self, fleet, draw, record):
        self._fleet, self._draw, self._record = fleet, draw, record
        self.sent = {}
        self.statuses = {}
        self._ready = []
        self.tasks = []

    async def poll(self):
        """Ask the nodes once a second whether they are ready, as the platform does."""
        while True:
            self._ready = [node for node in self._fleet.nodes if await node.is_ready()]
            await asyncio.sleep(1.0)

    async def send(self, until):
        """Send requests at a steady rate until a time of the case."""
        due = self._fleet.now()
        while due < until:
            await asyncio.sleep(max(0.0, due - self._fleet.now()))
            due += 1.0 / SENT_PER_SECOND
            if self._ready:
                self.tasks.append(asyncio.ensure_future(self._send_one()))

    async def _send_one(self):
        request_id, node = f"{self._draw.getrandbits(64):016x}", self._draw.choice(self._ready)
        headers = [
            ("Host", HOST), ("Request-Id", request_id), ("Api-Key", KEY), ("Model", "m"),
            ("Token-Count", "450,3"), ("Prompt-Prefix", f"5c1e07a2:200,{request_id[:8]}:250"),
            ("Deadline-Ms", int(DEADLINE * 1000)),
        ]  # fmt: skip
        self.sent[request_id] = sent = self._fleet.now()
        answer = await request(
            node.front, "POST", f"/ask/{request_id[:4]}", headers, request_id.encode(), DEADLINE
        )
        self.statuses[request_id] = answer.status
        self._record(
            request=request_id, node=node.name, sent=round(sent, 3),
            answered=round(self._fleet.now(), 3), status=answer.status,
        )  # fmt: skip


def most_in_window(pairs):
    """Return the most requests both sent and run within a window, and the time of its start."""
    best = (0, 0.0)
    for start, _ in pairs:
        count = sum(sent >= start and ran <= start + WINDOW for sent, ran in pairs)
        best = max(best, (count, start))
    return best


async def case(trouble, record):
    """Run the case; returns the exit code."""
    draw = random.Random(SEED)
    fleet = Fleet(seed=SEED, bounds=BOUNDS, zones=("a", "b", "c"), memory_mb=552, parts=16)
    tenants = [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "ratePerS": RATE, "burst": BURST}]
    document = configuration(
        [route("ask", "/ask/", "stream", targetLatencyMs=307, maxAttempts=2)],
        tenants=tenants, slots=12,
    )  # fmt: skip
    try:
        await fleet.start(document, nodes=NODES, workers=6, slots=12, event_time=0.01)
        traffic = Traffic(fleet, draw, record)
        polling = asyncio.ensure_future(traffic.poll())
        added_at = fleet.now() + BEFORE
        sending = asyncio.ensure_future(traffic.send(added_at + AFTER))
        await asyncio.sleep(BEFORE)
        if trouble:
            fleet.store.down.add(DOWN_TOPIC)
        added = [fleet.add_node() for _ in range(ADDED)]
        record(added=[node.name for node in added], at=round(fleet.now(), 3), down=trouble)
        await asyncio.sleep(DOWN_TIME)
        fleet.store.down.clear()
        record(up_again=round(fleet.now(), 3))
        await sending
        await asyncio.wait(traffic.tasks)
        polling.cancel()
        return judge(fleet, traffic, trouble, record)
    finally:
        fleet.stop()


def judge(fleet, traffic, trouble, record):
    """Record what was run, and return the exit code."""
    first_runs = {}
    for at, request_id, _, tenant, _ in fleet.runs:
        record(ran=request_id, at=round(at, 3), tenant=tenant)
        first_runs.setdefault(request_id, at)
    pairs = [(traffic.sent[request_id], at) for request_id, at in first_runs.items()]
    most, start = most_in_window(sorted(pairs))
    allowed = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
    served = sum(status == 200 for status in traffic.statuses.values())
    record(
        trouble=trouble, sent=len(traffic.sent), served=served, ran=len(pairs),
        most_in_window=most, window_from=round(start, 3), allowed=allowed,
    )  # fmt: skip
    if not served:
        raise CaseError("no request was served")
    return BROKEN if most > allowed else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
