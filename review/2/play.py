"""A late second copy of a 421 arrives where the answer to the next request is due."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.case import main  # noqa: E402
from support.deployment import CannotRunError, Deployment  # noqa: E402
from support.http import Message, call, pack_answer  # noqa: E402
from support.record import has_trouble  # noqa: E402
from support.worker import Worker, answer_headers  # noqa: E402

REUSE_AFTER = 2.0
"""Seconds after which a worker of another service may get an address (`reuseAfterS`)."""
SURPLUS_DELAY = 0.6
"""Seconds after its 421 at which the faulty worker sends it once more."""
RUN_SECONDS = 0.8
REQUESTS = 8
HOST = "host-1.example"


def configuration() -> dict[str, object]:
    """Return the operator's configuration: one route to each of two services."""
    common = {
        "host": HOST,
        "kind": "unsafe",
        "timeoutMs": 4000,
        "targetLatencyMs": 1000,
        "priority": 0,
        "maxAttempts": 2,
    }
    return {
        "version": 7,
        "routes": [
            {"name": "r-one", "pathPrefix": "/one/", "service": "one", **common},
            {"name": "r-two", "pathPrefix": "/two/", "service": "two", **common},
        ],
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 200, "engine": {"slots": 8}}
            for name in ("one", "two")
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def respond(worker: Worker, request: Message, writer: asyncio.StreamWriter) -> None:
    """Run a request, and answer it whole."""
    await asyncio.sleep(RUN_SECONDS)
    writer.write(pack_answer("200 OK", answer_headers(worker, request), b"done"))
    await writer.drain()
    worker.record.write(f"worker {worker.name} has run {request.header('Request-Id')} to its end")


async def send(deployment: Deployment, path: str, request_id: str) -> str:
    """Send one request as a client; returns what came back."""
    headers = [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", "4000")]
    deployment.record.write(f"client sends {request_id} (POST {path})")
    made = await call(deployment.nodes[0].front, "POST", path, headers, b"order")
    deployment.record.write(f"client gets {made.outcome} for {request_id}")
    return made.outcome


async def misdirected(deployment: Deployment) -> list[str]:
    """Let a 421 come twice; returns the requests that have run more than once."""
    record, store = deployment.record, deployment.store
    former = Worker("i-one-a", "one", store, record, respond)
    other = Worker("i-two-b", "two", store, record, respond)
    await former.start()
    await other.start()
    await deployment.wait_ready()
    await asyncio.sleep(2.0)
    warm = [await send(deployment, "/one/x", "warm-1"), await send(deployment, "/two/x", "warm-2")]
    if warm != ["200", "200"]:
        raise CannotRunError("the deployment doesn't serve")

    await former.crash()
    await asyncio.sleep(REUSE_AFTER + 0.1)
    new = Worker("i-two-a", "two", store, record, respond)
    if has_trouble():
        new.after_misdirected = lambda answer, writer: send_again(
            new, answer, writer, SURPLUS_DELAY
        )
    await new.start(former.port)
    record.write(f"worker {new.name} of service two has the address of worker {former.name}")
    await asyncio.sleep(0.6)

    await send(deployment, "/one/x", "misdirected")
    sent = [f"order-{number}" for number in range(REQUESTS)]
    await asyncio.gather(*(send(deployment, "/two/x", one) for one in sent))
    await asyncio.sleep(1.5)
    return more_than_once(former, other, new)


def send_again(worker: Worker, answer: bytes, writer: asyncio.StreamWriter, delay: float) -> None:
    """Let a worker send an answer once more on the same connection, late."""

    def surplus() -> None:
        first_line = answer.split(b"\r\n")[0].decode()
        worker.record.write(
            f"worker {worker.name} sends '{first_line}' to {answered} once more, late"
        )
        writer.write(answer)

    answered = answer.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
    asyncio.get_running_loop().call_later(delay, surplus)


def more_than_once(*workers: Worker) -> list[str]:
    """Return the requests that workers have begun to run more than once, together."""
    runs = Counter(one for worker in workers for one in worker.runs)
    workers[0].record.write(f"runs: {dict(sorted(runs.items()))}")
    return sorted(name for name, count in runs.items() if count > 1)


async def play(deployment: Deployment) -> bool:
    """Play the case; returns whether a request that isn't idempotent has run twice."""
    await deployment.start(2, configuration())
    twice = await misdirected(deployment)
    deployment.record.write(f"run more than once after a 421 that came twice: {twice}")
    return bool(twice)


if __name__ == "__main__":
    main(FOLDER, play)
