"""Stand-in of the platform's store: topics of keyed records behind its HTTP calls."""

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

from support.http import Message, pack_answer, read_message

APPEND_SECONDS = 0.004
"""Seconds that an append takes (`append_ms`)."""
PAGE_RECORDS = 500
_LENGTH = struct.Struct("!I")
_OFFSETS = struct.Struct("!QQ")

Records = list[tuple[str, bytes]]


@dataclass
class _Partition:
    log: Records = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, records: Records) -> int:
        offset = len(self.log)
        self.log += records
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def newest(self) -> dict[str, tuple[bytes, int]]:
        found = {key: (value, offset) for offset, (key, value) in enumerate(self.log)}
        return {key: one for key, one in sorted(found.items()) if one[0]}


class Store:
    """The store; it keeps everything until the end of the run."""

    def __init__(self):
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._server: asyncio.Server | None = None
        self.port = 0
        self.is_down = False
        """Whether it turns every call away at once (503: nothing was done)."""
        self.loses_answer: Callable[[str, Records], bool] = lambda topic, records: False
        """Whether the answer of an append is lost: it is done, and its connection says nothing
        more."""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = self._server.sockets[0].getsockname()[1]

    def partition(self, topic: str, part: int = 0) -> _Partition:
        """Return a partition, made at its first use."""
        return self._partitions.setdefault((topic, part), _Partition())

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a document as the platform, the operator or a worker does; None removes it."""
        value = b"" if document is None else json.dumps(document).encode()
        self.partition(topic).append([(key, value)])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request)
                if answer is None:
                    await reader.read()  # says nothing more
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes | None:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query))
        topic, part = query.get("topic", ""), int(query.get("part", 0))
        if self.is_down:
            return _json("503 Service Unavailable", {"error": "try later"})
        if url.path == "/api/log-append":
            return await self._append(topic, part, query.get("at"), request.body)
        if url.path == "/api/log-read":
            return await self._read(topic, part, query)
        if url.path == "/api/log-newest":
            return self._newest(topic, part, query.get("watchAfter", ""))
        return pack_answer("404 Not Found", [])

    async def _append(self, topic: str, part: int, at: str | None, body: bytes) -> bytes | None:
        await asyncio.sleep(APPEND_SECONDS)
        partition, records = self.partition(topic, part), _split(body)
        if at is not None and int(at) != len(partition.log):
            return _json("412 Precondition Failed", {"end": len(partition.log)})
        offset = partition.append(records)
        if self.loses_answer(topic, records):
            return None
        return _json("200 OK", {"offset": offset, "end": len(partition.log)})

    async def _read(self, topic: str, part: int, query: dict[str, str]) -> bytes:
        partition, start = self.partition(topic, part), int(query["from"])
        wait = int(query.get("waitMs", 0)) / 1000
        if wait and start >= len(partition.log):
            try:
                async with asyncio.timeout(wait):
                    await partition.changed.wait()
            except TimeoutError:
                pass
        found, size = bytearray(), 0
        for key, value in partition.log[start:]:
            payload = bytes((len(key.encode()),)) + key.encode() + value
            size += len(payload)
            if found and size > int(query.get("max_kb", 1024)) * 1024:
                break
            found += _LENGTH.pack(len(payload)) + payload
        return pack_answer("200 OK", [], _OFFSETS.pack(len(partition.log), 0) + bytes(found))

    def _newest(self, topic: str, part: int, after: str) -> bytes:
        partition = self.partition(topic, part)
        left = [(key, *one) for key, one in partition.newest().items() if key > after]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, value, offset in left[:PAGE_RECORDS]
        ]
        more = len(left) > PAGE_RECORDS
        return _json("200 OK", {"items": items, "more": more, "end": len(partition.log)})


def _json(status: str, document: object) -> bytes:
    return pack_answer(
        status, [("Content-Type", "application/json")], json.dumps(document).encode()
    )


def _split(data: bytes) -> Records:
    records, start = [], 0
    while start < len(data):
        (size,) = _LENGTH.unpack_from(data, start)
        payload = data[start + _LENGTH.size : start + _LENGTH.size + size]
        start += _LENGTH.size + size
        key_end = 1 + payload[0]
        records.append((payload[1:key_end].decode(), payload[key_end:]))
    return records
