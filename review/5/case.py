"""Nodes are stopped in turn while workers are busy: is a stream cut that a worker was still at?"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support_2.fleet import BROKEN, HELD, HOST, CaseError, Fleet, configuration, route, run_case
from support_2.http import read_head

SEED = 1
GRACE = 8.0
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": GRACE, "configMs": 2000,
    "lossSlackMs": 200, "finishS": 18, "statusS": 120, "cancelMs": 3000, "settleMs": 1000,
    "quotaOver": 0.1,
}  # fmt: skip
NODES, WORKERS, SLOTS, QUEUE = 5, 3, 4, 3
STREAMS_PER_SECOND, EVENTS, EVENT_TIME = 30, 16, 0.06
PAUSED_SHARE, PAUSE = 0.2, 1.4
"""Share of the runs that the worker puts back in the middle, and seconds until they go on."""
DEADLINE = 4.0
GIVE_UP_GAP = 2.4
"""Seconds without an event after which a client gives up: eight times the pause on the sheet."""
ROUNDS, ROUND_TIME = 6, 11.0


async def stream(fleet, draw, number, streams):
    """Send a request for a stream, and note how it ended."""
    request_id = f"{draw.getrandbits(64):016x}"
    ready = [node for node in fleet.nodes if node.takes_clients] or fleet.nodes
    node = draw.choice(ready)
    headers = [
        ("Host", HOST), ("Request-Id", request_id), ("Model", "m"),
        ("Token-Count", f"450,{EVENTS}"),
        ("Prompt-Prefix", f"{number % 8:08x}:200,{request_id[:8]}:250"),
        ("Deadline-Ms", int(DEADLINE * 1000)), ("Content-Length", 16),
    ]  # fmt: skip
    lines = [f"POST /ask/{number} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    sent = fleet.now()
    status, body, ended = 0, b"", "no connection"
    try:
        host, _, port = node.front.rpartition(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + request_id).encode())
        ended = "deadline"
        async with asyncio.timeout(DEADLINE):
            head = await read_head(reader)
            ended = "no answer"
            if head is not None:
                status, ended = int(head[0].split(" ")[1]), "cut"
                while True:
                    ended = "gap"
                    async with asyncio.timeout(GIVE_UP_GAP):
                        data = await reader.read(65536)
                    ended = "cut"
                    if not data:
                        break
                    body += data
                    if body.endswith(b"0\r\n\r\n") or status != 200:
                        ended = "whole"
                        break
        writer.close()
    except TimeoutError:
        if ended in ("cut", "no answer"):
            ended = "deadline"
    except OSError:
        pass
    streams[request_id] = {
        "node": node.name, "sent": round(sent, 3), "end": round(fleet.now(), 3), "how": ended,
        "status": status, "events": body.count(b"\nid: ") + body.startswith(b"id: "),
    }  # fmt: skip


async def roll(fleet, stops, record):
    """Stop the nodes in turn with SIGTERM, and start each again."""
    for number in range(ROUNDS):
        node = fleet.nodes[number % len(fleet.nodes)]
        stops.append((node.name, fleet.now()))
        record(sigterm=node.name, at=round(fleet.now(), 3))
        node.signal(signal.SIGTERM)
        # The platform takes a node out after two questions, a second apart, without a 200.
        await asyncio.sleep(2.0)
        node.takes_clients = False
        await asyncio.sleep(GRACE - 2.0)
        node.kill()
        node.start()
        await asyncio.sleep(ROUND_TIME - GRACE)
        node.takes_clients = True


async def case(trouble, record):
    """Run the case; returns the exit code."""
    draw = random.Random(SEED)
    fleet = Fleet(seed=SEED, bounds=BOUNDS, zones=("a", "b"))
    document = configuration(
        [route("ask", "/ask/", "stream", maxAttempts=2, timeoutMs=4000, gapAimMs=300)],
        slots=SLOTS,
    )
    try:
        await fleet.start(
            document,
            nodes=NODES,
            workers=WORKERS,
            slots=SLOTS,
            event_time=EVENT_TIME,
            queue=QUEUE,
        )
        for node in fleet.nodes:
            node.takes_clients = True
        for worker in fleet.workers:
            worker.pause_before = lambda request_id, number: (
                PAUSE if number == EVENTS // 2 and draw.random() < PAUSED_SHARE else 0.0
            )
        await asyncio.sleep(3.0)
        streams, tasks, stops = {}, [], []
        until = fleet.now() + ROUNDS * ROUND_TIME
        rolling = asyncio.ensure_future(roll(fleet, stops, record)) if trouble else None
        while fleet.now() < until:
            tasks.append(asyncio.ensure_future(stream(fleet, draw, len(tasks), streams)))
            await asyncio.sleep(draw.expovariate(STREAMS_PER_SECOND))
        await asyncio.wait(tasks)
        if rolling:
            await rolling
        return judge(fleet, streams, stops, trouble, record)
    finally:
        fleet.stop()


def excused(fleet, request_id, one, stops):
    """Whether a worker was still at work in the last sixth of the grace, on an early request."""
    spans = [
        span for worker in fleet.workers for span in worker.spans if span[0] == request_id
    ]  # fmt: skip
    return any(
        name == one["node"]
        and one["sent"] <= at + 3.0
        and any(began < at + GRACE and ended > at + GRACE * 5 / 6 for _, began, ended in spans)
        for name, at in stops
    )


def judge(fleet, streams, stops, trouble, record):
    """Record how the streams ended, and return the exit code."""
    runs = {}
    for at, request_id, after, _, _ in fleet.runs:
        runs.setdefault(request_id, []).append((round(at, 3), after))
    counts, lost = {}, 0
    for request_id, one in streams.items():
        counts[one["how"], one["status"]] = counts.get((one["how"], one["status"]), 0) + 1
        planned = any(
            name == one["node"] and at <= one["end"] <= at + GRACE + 1.0 for name, at in stops
        )
        is_cut = one["how"] in ("cut", "no answer") and request_id in runs
        # The excuses of the rule: the deadline, and a worker at work late in the grace.
        in_time = one["end"] - one["sent"] < DEADLINE - 0.3
        is_lost = planned and is_cut and in_time and not excused(fleet, request_id, one, stops)
        lost += is_lost
        if is_cut:
            record(request=request_id, lost=is_lost, runs=runs[request_id], **one)
    record(counts={f"{how} {status}": count for (how, status), count in counts.items()})
    record(trouble=trouble, streams=len(streams), lost=lost)
    if not counts.get(("whole", 200)):
        raise CaseError("no stream was served")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
