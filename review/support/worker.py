"""Stand-in of a model worker, which speaks HTTP/1.1 and keeps itself in the store's list."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

from support.http import Message, pack_answer, read_message
from support.record import Record
from support.store import Store

HEARTBEAT = 1.2
"""Seconds between two writes of a worker's entry (`heartbeatMs`)."""
ENTRY_BEATS = 3
"""Heartbeats of silence after which the store drops an entry."""

Respond = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """One start of a worker; `respond` answers the requests that it runs."""

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        respond: Respond,
        *,
        slots: int = 8,
    ):
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.slots = slots
        self._respond = respond
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None
        self.port = 0
        self.after_misdirected: Callable[[bytes, asyncio.StreamWriter], None] = (
            lambda answer, writer: None
        )
        """Called after a 421 was sent, with its bytes."""
        self.runs: list[str] = []
        """Ids of the requests that it has begun to run, in order."""
        self.requests: list[Message] = []
        """The same requests."""

    async def start(self, port: int = 0) -> None:
        """Listen, at a given port or a free one, and enter the store's list."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 24, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat(int(time.time() * 1000)))

    async def crash(self) -> None:
        """End at once and without a word; the entry lapses after some heartbeats."""
        self.record.write(f"worker {self.name} crashes")
        assert self._server is not None and self._beats is not None
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        asyncio.create_task(self._lapse())

    async def _lapse(self) -> None:
        await asyncio.sleep(ENTRY_BEATS * HEARTBEAT)
        self.record.write(f"the store drops the entry of worker {self.name}")
        self.store.put("keyed.servers", self.name, None)

    async def _beat(self, born: int) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "stage": "dual",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": sequence,
                "born": born,
            }
            self.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None and request.complete:
                await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.header("Request-Id") or ""
        expected = request.header("Expect-Instance")
        if expected not in (None, self.name):
            self.record.write(
                f"worker {self.name} answers 421 to {request_id}, which expects {expected}"
            )
            headers = [("Request-Id", request_id), ("Instance-Id", self.name)]
            answer = pack_answer("421 Misdirected Request", headers)
            writer.write(answer)
            self.after_misdirected(answer, writer)
            await writer.drain()
            return
        if not request_id:
            writer.write(pack_answer("400 Bad Request", [("Not-Executed", "1")]))
            return
        self.runs.append(request_id)
        self.requests.append(request)
        self.record.write(f"worker {self.name} runs {request_id} ({request.first_line})")
        await self._respond(self, request, writer)


def answer_headers(worker: Worker, request: Message) -> list[tuple[str, str]]:
    """Return the headers of a worker's own answer to a request that it runs."""
    request_id = request.header("Request-Id") or ""
    return [
        ("Request-Id", request_id),
        ("Response-Seal", f"{worker.name}.{request_id}"),
        ("Weight-Versions", "1"),
    ]


async def stream_events(
    worker: Worker, request: Message, writer: asyncio.StreamWriter, events: int, pause: float
) -> None:
    """Answer with a stream of events, in chunks, and write when it is whole."""
    head = [
        *answer_headers(worker, request),
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head)]
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
    first = int(request.header("Last-Event-Id") or 0) + 1
    for number in range(first, events + 1):
        await asyncio.sleep(pause)
        event = f"id: {number}\ndata: {request.header('Request-Id')} {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    worker.record.write(f"worker {worker.name} has run {request.header('Request-Id')} to its end")
