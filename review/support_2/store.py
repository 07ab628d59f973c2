"""Stand-in of the platform's metadata store, by the page PROTOCOL; it keeps all in memory."""

import asyncio
import base64
import json
import random
import struct
from collections import defaultdict

from support_2.http import answer_bytes, serve

LENGTH = struct.Struct("!I")
OFFSETS = struct.Struct("!QQ")
APPEND_TIME = 0.004
PAGE_RECORDS = 500
JSON = [("Content-Type", "application/json")]


class Partition:
    """The records of a partition, from offset 0 on; nothing is dropped."""

    def __init__(self):
        self.records = []
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def newest(self):
        """Return offset, key and value of the newest record of each key, in the order of keys."""
        found = {}
        for offset, record in enumerate(self.records):
            size = record[0]
            found[record[1 : 1 + size]] = (offset, record[1 + size :])
        return [(offset, key, value) for key, (offset, value) in sorted(found.items()) if value]

    def add(self, records):
        """Append records; returns the offset of the first."""
        offset = len(self.records)
        self.records += records
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return offset


class Store:
    """The store; `lost_share` and `down` are its disruptions."""

    def __init__(self, seed):
        self.partitions = defaultdict(Partition)
        self.lost_share = 0.0
        """Share of the writing calls that are done and not answered."""
        self.down = set()
        """Topics that are down: calls about them get 503, and nothing is done."""
        self.calls = defaultdict(int)
        self.lost = 0
        self._random = random.Random(seed)

    async def start(self, address, port):
        """Listen."""
        self._server = await serve(self._handle, address, port)

    async def _handle(self, call, reader, writer):
        kind, query = call.path.rpartition("/")[2], call.query
        self.calls[kind] += 1
        if query.get("topic") in self.down:
            status, body = 503, b"{}"
        elif kind == "log-append":
            status, body = await self._append(query, call.body)
            if status == 200 and self._random.random() < self.lost_share:
                self.lost += 1
                await reader.read()
                return False
        elif kind == "log-read":
            status, body = await self._read(query)
        elif kind == "log-newest":
            status, body = self._newest(query)
        else:
            status, body = 404, b"{}"
        writer.write(answer_bytes(status, body, JSON if kind != "log-read" else []))
        await writer.drain()
        return True

    def _partition(self, query):
        return self.partitions[query["topic"], int(query["part"])]

    async def _append(self, query, body):
        partition = self._partition(query)
        async with partition.lock:
            await asyncio.sleep(APPEND_TIME)
            end = len(partition.records)
            if "at" in query and int(query["at"]) != end:
                return 412, json.dumps({"end": end}).encode()
            records = list(split(body))
            offset = partition.add(records)
        return 200, json.dumps({"offset": offset, "end": offset + len(records)}).encode()

    async def _read(self, query):
        partition, start = self._partition(query), int(query["from"])
        wait = min(30.0, int(query.get("waitMs", 0)) / 1000)
        if wait and start >= len(partition.records):
            try:
                async with asyncio.timeout(wait):
                    await partition.grown.wait()
            except TimeoutError:
                pass
        size, found = int(query.get("max_kb", 1024)) * 1024, []
        for record in partition.records[start:]:
            size -= len(record) + LENGTH.size
            if found and size < 0:
                break
            found.append(LENGTH.pack(len(record)) + record)
        return 200, OFFSETS.pack(len(partition.records), 0) + b"".join(found)

    def _newest(self, query):
        partition, after = self._partition(query), query.get("watchAfter", "").encode()
        found = [one for one in partition.newest() if one[1] > after]
        page = found[:PAGE_RECORDS]
        items = [
            {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            for offset, key, value in page
        ]
        more = len(found) > len(page)
        document = {"items": items, "more": more, "end": len(partition.records)}
        return 200, json.dumps(document).encode()

    def write(self, topic, key, document):
        """Write a record of the operator or a worker, which no disruption of nodes' calls meets."""
        value = json.dumps(document).encode() if document is not None else b""
        name = key.encode()
        self.partitions[topic, 0].add([bytes((len(name),)) + name + value])


def split(data):
    """Yield the records of a body."""
    start = 0
    while start < len(data):
        (size,) = LENGTH.unpack_from(data, start)
        yield data[start + LENGTH.size : start + LENGTH.size + size]
        start += LENGTH.size + size
