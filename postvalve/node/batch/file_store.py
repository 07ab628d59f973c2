"""Stores uploaded files on the log: one stream per file, in chunks of whole lines."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from postvalve.clock import milliseconds
from postvalve.core.batch.identity import file_stream, tenant_stream
from postvalve.exceptions import (
    InvalidRequestError,
    LogUnavailableError,
    NotFoundError,
    RequestTooLargeError,
)
from postvalve.messages.generated import records
from postvalve.messages.records_codec import parse_record
from postvalve.node.batch.input_lines import CHAT_ENDPOINT, MAX_LINE_BYTES, InputChecker
from postvalve.node.context import NodeContext
from postvalve.node.log_writer import LogWriter
from postvalve.services.log import read_all

CHUNK_BYTES = 1024 * 1024
"""Buffered bytes at which a chunk of whole lines is appended."""
MAX_CACHED_DESCRIPTIONS = 1024
"""File descriptions that a node keeps in its cache."""
BATCH_PURPOSE = "batch"


@dataclass(frozen=True, slots=True)
class FileDescription:
    """Metadata of a file."""

    file_id: str
    tenant: str
    filename: str
    purpose: str
    created_at_ms: int
    size: int
    lines: int
    model: str
    sha256: str


@dataclass(frozen=True, slots=True)
class _CachedDescription:
    """A file description, and the end offset of the stream when it was read."""

    description: FileDescription
    end_offset: int


class FileUpload:
    """Receives a file's bytes, validates each line and appends chunks to the log.

    It is a writable stream for the form parser, so that no file is held in memory as a whole.
    """

    def __init__(self, writer: LogWriter, file_id: str, max_bytes: int, max_items: int) -> None:
        self._writer = writer
        self._stream = file_stream(file_id)
        self._max_bytes = max_bytes
        self._checker = InputChecker(max_items)
        self._digest = hashlib.sha256()
        self._size = 0
        self._incomplete_line = bytearray()
        self._chunk = bytearray()
        self._chunks = 0
        self._chunk_first_line = 0

    def write(self, data: bytes) -> int:
        """Receive the next bytes of the file.

        Raises:
            InvalidRequestError: if a line is malformed, or the file or a line is too large.
            LogUnavailableError: if a chunk could not be appended; the file does not exist then.
        """
        self._size += len(data)
        if self._size > self._max_bytes:
            raise RequestTooLargeError(f"file over {self._max_bytes} bytes", parameter="file")
        self._digest.update(data)
        self._incomplete_line += data
        *lines, incomplete = self._incomplete_line.split(b"\n")
        for line in lines:
            self._add_line(bytes(line))
        self._incomplete_line = bytearray(incomplete)
        if len(incomplete) > MAX_LINE_BYTES:
            raise RequestTooLargeError(f"line {self._checker.lines + 1}: too long")
        return len(data)

    def seek(self, position: int, whence: int = 0) -> int:
        """Return `position` without effect: the form parser rewinds, but never reads back."""
        return position

    def _add_line(self, line: bytes) -> None:
        line = line.rstrip(b"\r")
        if not line.strip():
            return
        self._checker.check(line)
        self._chunk += line + b"\n"
        if len(self._chunk) >= CHUNK_BYTES:
            self._append_chunk()

    def _append_chunk(self) -> None:
        chunk = records.FileChunk(
            sequence=self._chunks,
            content=bytes(self._chunk),
            first_line=self._chunk_first_line,
        )
        self._writer.append(self._stream, chunk)
        self._chunks += 1
        self._chunk_first_line = self._checker.lines
        self._chunk.clear()

    def finish(self) -> records.FileSealed:
        """Append the remaining lines, and return the record that completes the file.

        Raises:
            InvalidRequestError: if the last line is malformed, or the file has no lines.
            LogUnavailableError: if a chunk could not be appended.
        """
        self._add_line(bytes(self._incomplete_line))
        if not self._checker.lines:
            raise InvalidRequestError("the file has no lines", parameter="file")
        if self._chunk:
            self._append_chunk()
        return records.FileSealed(
            chunks=self._chunks,
            size=self._size,
            lines=self._checker.lines,
            sha256=self._digest.hexdigest(),
            model=self._checker.model,
            endpoint=CHAT_ENDPOINT,
        )


class FileStore:
    """Creates, reads and deletes uploaded files."""

    def __init__(self, context: NodeContext) -> None:
        self._log = context.log
        self._writer = context.writer
        self._clock = context.clock
        self._new_id = context.new_id
        self._descriptions: OrderedDict[str, _CachedDescription] = OrderedDict()

    def begin(self, max_bytes: int, max_items: int) -> tuple[str, FileUpload]:
        """Start an upload, and return the file's id and the stream that receives its bytes."""
        file_id = f"file-{self._new_id()}"
        return file_id, FileUpload(self._writer, file_id, max_bytes, max_items)

    def seal(self, file_id: str, tenant: str, filename: str, upload: FileUpload) -> FileDescription:
        """Complete an upload, which makes the file visible to its tenant.

        Raises:
            InvalidRequestError: if the last line is malformed, or the file has no lines.
            LogUnavailableError: if the log did not answer; the file may exist, but no client
                knows its id.
        """
        sealed = upload.finish()
        created = records.FileCreated(
            file_id=file_id,
            tenant=tenant,
            filename=filename,
            purpose=BATCH_PURPOSE,
            created_at_ms=milliseconds(self._clock.wall()),
        )
        stream = file_stream(file_id)
        self._writer.append(stream, created)
        self._writer.append(stream, sealed)
        indexed = records.FileIndexed(file_id=file_id)
        self._writer.append(tenant_stream(tenant), indexed)
        return _describe(created, sealed)

    def describe(self, tenant: str, file_id: str) -> FileDescription:
        """Return the metadata of a tenant's file.

        Raises:
            NotFoundError: if the file does not exist, was deleted or belongs to another tenant.
            LogUnavailableError: if the metadata could not be read from the log.
        """
        cached = self._descriptions.get(file_id)
        if cached is None or self._end_offset(file_id, cached.end_offset) != cached.end_offset:
            cached = self._read_description(file_id)
        if cached is None or cached.description.tenant != tenant:
            raise NotFoundError(f"there is no file {file_id!r}")
        self._descriptions[file_id] = cached
        while len(self._descriptions) > MAX_CACHED_DESCRIPTIONS:
            self._descriptions.popitem(last=False)
        return cached.description

    def _end_offset(self, file_id: str, offset: int) -> int:
        # While the log does not answer, a cached file stays readable; a delete is noticed later.
        try:
            return self._log.read(file_stream(file_id), offset, limit=1).end_offset
        except LogUnavailableError:
            return offset

    def _read_description(self, file_id: str) -> _CachedDescription | None:
        stream = file_stream(file_id)
        end = self._log.read(stream, 0, limit=1).end_offset
        # The stream begins with the chunks; the metadata is in the last records. Repeated
        # appends, whose first acknowledgement was lost, may follow them.
        created: records.FileCreated | None = None
        sealed: records.FileSealed | None = None
        start = end
        while start > 0 and (created is None or sealed is None):
            start -= 1
            body = parse_record(self._log.read(stream, start, limit=1).entries[0].payload).body
            if isinstance(body, records.FileCreated):
                created = body
            elif isinstance(body, records.FileSealed):
                sealed = body
            elif isinstance(body, records.FileDeleted) or created is None:
                return None
        return _CachedDescription(_describe(created, sealed), end) if created and sealed else None

    def delete(self, tenant: str, file_id: str) -> None:
        """Hide a file from its tenant; jobs already accepted can still read it.

        Raises:
            NotFoundError: if the file does not exist, was deleted or belongs to another tenant.
            LogUnavailableError: if the log did not answer; the file may be deleted.
        """
        self.describe(tenant, file_id)
        deleted = records.FileDeleted(tenant=tenant)
        self._writer.append(file_stream(file_id), deleted)
        self._descriptions.pop(file_id, None)

    def content(self, file_id: str) -> Iterator[bytes]:
        """Yield the content of a file, chunk by chunk."""
        for chunk in self.chunks(file_id):
            yield chunk.content

    def chunks(self, file_id: str, offset: int = 0) -> Iterator[records.FileChunk]:
        """Yield the chunk records of a file from `offset` on, without repeated ones."""
        expected: int | None = None
        for entry in read_all(self._log, file_stream(file_id), offset):
            chunk = parse_record(entry.payload).body
            if not isinstance(chunk, records.FileChunk):
                continue
            if expected is not None and chunk.sequence < expected:
                continue
            expected = chunk.sequence + 1
            yield chunk


def _describe(created: records.FileCreated, sealed: records.FileSealed) -> FileDescription:
    return FileDescription(
        file_id=created.file_id,
        tenant=created.tenant,
        filename=created.filename,
        purpose=created.purpose,
        created_at_ms=created.created_at_ms,
        size=sealed.size,
        lines=sealed.lines,
        model=sealed.model,
        sha256=sealed.sha256,
    )
