"""Stand-in of a model worker: slots, a short queue, and streams of events."""

import asyncio

from support_2.http import answer_bytes, head_bytes, serve

GONE_INTERVAL = 0.02
"""Seconds between checks whether the caller has closed the connection."""


class Worker:
    """A worker that runs requests for tokens; `runs` tells each run from its first token on."""

    def __init__(self, name, slots, event_time, clock, *, version="v1", born=1, queue=48):
        self.name = name
        self.version = version
        self.born = born
        self.slots = slots
        self.queue = queue
        """Requests that may wait for a slot."""
        self.event_time = event_time
        """Seconds for each event. There are as many as tokens, `most_events` at most."""
        self.most_events = 400
        self.pause_before = lambda request_id, number: 0.0
        """Returns the seconds for which a run pauses before one of its events."""
        self.drops = True
        """Whether a run ends when its connection closes; "most" workers do that."""
        self.spans = []
        """Request id, start and end of each run, in the order of their ends."""
        self.runs = []
        """Time, request id, value of Last-Event-Id, tenant and body size of each run."""
        self.finished = {}
        """Time of the first run to its end, by request id."""
        self.text = lambda request_id, number: f"{request_id} part {number}"
        self._clock = clock
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._open = set()

    async def start(self, address, port):
        """Listen."""
        self.address = f"{address}:{port}"
        self._server = await serve(self._handle, address, port)

    def crash(self):
        """End at once: nothing listens any more, and all connections are reset."""
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    def entry(self, service, zone):
        """Return the entry for the store."""
        return {
            "service": service, "address": self.address, "zone": zone, "version": self.version,
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": self.born,
        }  # fmt: skip

    async def _handle(self, call, reader, writer):
        self._open.add(writer)
        try:
            return await self._serve(call, reader, writer)
        finally:
            self._open.discard(writer)

    async def _serve(self, call, reader, writer):
        if call.method == "GET":
            writer.write(answer_bytes(200, b"", [("Instance-Id", self.name)]))
            return True
        request_id = call.headers.get("request-id", "")
        named = [("Request-Id", request_id)]
        if call.headers.get("expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", [*named, ("Instance-Id", self.name)]))
            return True
        if self._waiting >= self.queue:
            writer.write(answer_bytes(503, b"", [*named, ("Not-Executed", "1")]))
            return True
        work = asyncio.ensure_future(self._run(call, request_id, writer))
        while not work.done():
            await asyncio.wait((work,), timeout=GONE_INTERVAL)
            if self.drops and (reader.at_eof() or reader.exception()):
                work.cancel()
        await asyncio.wait((work,))
        return not work.cancelled() and work.exception() is None

    async def _run(self, call, request_id, writer):
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await self._stream(call, request_id, writer)
        finally:
            self._running -= 1
            self._free.release()

    async def _stream(self, call, request_id, writer):
        after = int(call.headers.get("last-event-id", 0) or 0)
        out = int(call.headers.get("token-count", "0,3").rpartition(",")[2])
        last = max(1, min(self.most_events, out))
        headers = [
            ("Request-Id", request_id),
            ("Response-Seal", f"{self.name}.{request_id}"),
            ("Content-Type", "text/event-stream"),
            ("Server-Load", f"{self._running},{self._waiting},{self.slots}"),
            ("Transfer-Encoding", "chunked"),
        ]
        tenant = call.headers.get("tenant", "")
        self.runs.append((self._clock(), request_id, after, tenant, len(call.body)))
        writer.write(head_bytes(200, headers))
        began = self._clock()
        try:
            for number in range(after + 1, last + 1):
                await asyncio.sleep(self.pause_before(request_id, number))
                event = f"id: {number}\ndata: {self.text(request_id, number)}\n\n".encode()
                await self._write(writer, b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(self.event_time)
        finally:
            self.spans.append((request_id, began, self._clock()))
        self.finished.setdefault(request_id, self._clock())
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _write(self, writer, data):
        try:
            writer.write(data)
            await writer.drain()
        except OSError:
            if self.drops:
                raise
