"""Reads the request bodies of batch items from the input file, chunk by chunk."""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import dataclass

import betterproto

from postvalve.core.batch.identity import file_stream
from postvalve.exceptions import NotFoundError
from postvalve.messages.generated import records
from postvalve.messages.records_codec import parse_record
from postvalve.services.log import LogService

MAX_CACHED_CHUNKS = 16
"""Chunks of about 1 MiB that a holder keeps in its cache."""


@dataclass(frozen=True, slots=True)
class ItemBody:
    """Custom id and request body of an item, as the client sent them."""

    custom_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class _Chunk:
    first_line: int
    lines: list[bytes]


class ItemBodies:
    """Looks up item bodies by file and line, with an LRU cache of chunks."""

    def __init__(self, log: LogService) -> None:
        self._log = log
        self._chunks: OrderedDict[tuple[str, int], _Chunk] = OrderedDict()
        self._first_lines: dict[str, list[int]] = {}

    def get(self, file_id: str, line: int) -> ItemBody:
        """Return the item at `line`, counted from 0.

        Raises:
            LogUnavailableError: if the chunk could not be read.
            NotFoundError: if the file has no such line.
        """
        chunk = self._cached_chunk(file_id, line) or self._read_chunk(file_id, line)
        document = json.loads(chunk.lines[line - chunk.first_line])
        return ItemBody(document["custom_id"], json.dumps(document["body"]).encode("utf-8"))

    def evict(self, file_id: str) -> None:
        """Drop the cached chunks and offsets of a file."""
        self._first_lines.pop(file_id, None)
        for key in [key for key in self._chunks if key[0] == file_id]:
            del self._chunks[key]

    def _cached_chunk(self, file_id: str, line: int) -> _Chunk | None:
        for offset, first_line in enumerate(self._first_lines.get(file_id, ())):
            chunk = self._chunks.get((file_id, offset))
            if chunk is None or first_line < 0:
                continue
            if chunk.first_line <= line < chunk.first_line + len(chunk.lines):
                self._chunks.move_to_end((file_id, offset))
                return chunk
        return None

    def _read_chunk(self, file_id: str, line: int) -> _Chunk:
        # Starts at the last known chunk that begins at or before the line.
        first_lines = self._first_lines.setdefault(file_id, [])
        offset = max(
            (index for index, first in enumerate(first_lines) if 0 <= first <= line), default=0
        )
        while True:
            log_slice = self._log.read(file_stream(file_id), offset, limit=1)
            if not log_slice.entries:
                raise NotFoundError(f"file {file_id} has no line {line + 1}")
            record = parse_record(log_slice.entries[0].payload)
            chunk = self._cache_chunk(file_id, offset, record.body)
            if chunk and chunk.first_line <= line < chunk.first_line + len(chunk.lines):
                return chunk
            offset += 1

    def _cache_chunk(
        self, file_id: str, offset: int, body: betterproto.Message | None
    ) -> _Chunk | None:
        first_lines = self._first_lines.setdefault(file_id, [])
        while len(first_lines) <= offset:
            first_lines.append(-1)
        if not isinstance(body, records.FileChunk):
            return None
        chunk = _Chunk(body.first_line, body.content.splitlines())
        first_lines[offset] = body.first_line
        self._chunks[file_id, offset] = chunk
        while len(self._chunks) > MAX_CACHED_CHUNKS:
            self._chunks.popitem(last=False)
        return chunk
