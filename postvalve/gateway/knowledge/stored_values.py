"""Values of any size in the partitions of a keyed topic, split into records.

Few nodes read them, so they are kept out of the topic of jobs, which all nodes read.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from postvalve.exceptions import NotFoundError, Verdict
from postvalve.gateway.interfaces import (
    HistoryGoneError,
    KeyedRecord,
    KeyedTopics,
    PositionTakenError,
    StoreUnavailableError,
)

MAX_READ_BYTES = 1024 * 1024
"""Most bytes requested by one read."""
RECORD_OVERHEAD = 128
"""Bytes of a record in addition to its value, for key and lengths."""
APPEND_ATTEMPTS = 3
"""Attempts of an append while calls remain unanswered."""
CALL_MARGIN = 4_096
"""Bytes of a call reserved for keys and lengths."""


@dataclass(frozen=True, slots=True)
class ValueRef:
    """Location of a value."""

    partition: int
    prefix: str
    """Prefix of the keys of its records."""
    offset: int
    records: int
    size: int
    """Bytes of the value."""

    @property
    def keys(self) -> list[str]:
        """Keys of the value's records."""
        return [f"{self.prefix}{number:04d}" for number in range(self.records)]

    @property
    def read_bytes(self) -> int:
        """Bytes to request for reading the value."""
        return self.size + self.records * RECORD_OVERHEAD


class ValueStore:
    """Stores and reads values in one topic."""

    def __init__(self, topics: KeyedTopics, topic: str, record_bytes: int, call_bytes: int) -> None:
        self._topics = topics
        self._topic = topic
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes

    def put(self, partition: int, values: Sequence[tuple[str, bytes]]) -> list[ValueRef]:
        """Store values in adjacent records; storing again under the same keys is harmless.

        Args:
            partition: Partition of the topic.
            values: Key prefix and content of each value.

        Raises:
            StoreUnavailableError: Some of the values may not have been stored.
        """
        records: list[KeyedRecord] = []
        counts: list[int] = []
        for prefix, value in values:
            chunks = _chunks(value, self._record_bytes - CALL_MARGIN)
            counts.append(len(chunks))
            records += [
                KeyedRecord(f"{prefix}{number:04d}", chunk) for number, chunk in enumerate(chunks)
            ]
        offset = None
        while offset is None:
            offset = self._append(partition, records)
        refs = []
        for (prefix, value), count in zip(values, counts, strict=True):
            refs.append(ValueRef(partition, prefix, offset, count, len(value)))
            offset += count
        return refs

    def _append(self, partition: int, records: Sequence[KeyedRecord]) -> int | None:
        # May take several calls. Returns None if another writer's records came between them.
        expected: int | None = None
        first: int | None = None
        for part in _calls(records, self._call_bytes - CALL_MARGIN):
            try:
                offset = self._append_part(partition, part, expected)
            except PositionTakenError:
                return None
            first = offset if first is None else first
            expected = offset + len(part)
        return 0 if first is None else first

    def _append_part(
        self, partition: int, part: Sequence[KeyedRecord], expected: int | None
    ) -> int:
        # If only the answer was lost, a second copy under the same keys is harmless.
        for _ in range(APPEND_ATTEMPTS - 1):
            try:
                return self._topics.append(self._topic, partition, part, at=expected)
            except StoreUnavailableError as exc:
                if exc.verdict is Verdict.NOT_RUN:
                    raise
        return self._topics.append(self._topic, partition, part, at=expected)

    def get(self, refs: Sequence[ValueRef]) -> list[bytes]:
        """Read values; adjacent ones are read together.

        Raises:
            NotFoundError: A value is no longer stored.
            StoreUnavailableError: The store did not answer.
        """
        found: dict[str, bytes] = {}
        for run in _runs(refs):
            try:
                found.update(self._read(run))
            except HistoryGoneError:
                continue
        return [self._value(ref, found) for ref in refs]

    def _read(self, run: Sequence[ValueRef]) -> dict[str, bytes]:
        found: dict[str, bytes] = {}
        offset, last = run[0].offset, run[-1].offset + run[-1].records
        limit = min(MAX_READ_BYTES, sum(ref.read_bytes for ref in run))
        while offset < last:
            part = self._topics.read(self._topic, run[0].partition, offset, 0.0, limit)
            if not part.records:
                break
            found.update({one.key: one.value for one in part.records})
            offset = part.next_offset
        return found

    def _value(self, ref: ValueRef, found: dict[str, bytes]) -> bytes:
        chunks = [found.get(key) for key in ref.keys]
        if any(chunk is None for chunk in chunks):
            found = self._newest(ref)
            chunks = [found.get(key) for key in ref.keys]
        if any(chunk is None for chunk in chunks):
            raise NotFoundError("the value is not kept any more")
        return b"".join(chunk[1:] for chunk in chunks if chunk is not None)

    def _newest(self, ref: ValueRef) -> dict[str, bytes]:
        found: dict[str, bytes] = {}
        after = ref.prefix
        while len(found) < ref.records:
            part, more = self._topics.newest(self._topic, ref.partition, after)
            wanted = [one for one in part.records if one.key.startswith(ref.prefix)]
            found.update({one.key: one.value for one in wanted})
            if not more or len(wanted) < len(part.records):
                break
            after = part.records[-1].key
        return found

    def drop(self, partition: int, keys: Iterable[str]) -> None:
        """Delete records; unknown keys are ignored.

        Raises:
            StoreUnavailableError: Some of the records may still be stored.
        """
        records = [KeyedRecord(key, b"") for key in keys]
        for part in _calls(records, self._call_bytes - CALL_MARGIN):
            self._topics.append(self._topic, partition, part)


def _runs(refs: Sequence[ValueRef]) -> list[list[ValueRef]]:
    """Group values that are adjacent in their partition."""
    runs: list[list[ValueRef]] = []
    for ref in sorted(refs, key=lambda one: (one.partition, one.offset)):
        last = runs[-1][-1] if runs else None
        follows = (
            last is not None
            and last.partition == ref.partition
            and last.offset + last.records == ref.offset
        )
        if follows:
            runs[-1].append(ref)
        else:
            runs.append([ref])
    return runs


def _chunks(value: bytes, size: int) -> list[bytes]:
    # An empty value would delete the key, so each chunk starts with a marker byte.
    starts = range(0, max(1, len(value)), size)
    return [b"\x01" + value[start : start + size] for start in starts]


def _calls(records: Sequence[KeyedRecord], size: int) -> list[list[KeyedRecord]]:
    calls: list[list[KeyedRecord]] = []
    used = size
    for record in records:
        needed = len(record.key) + len(record.value) + 8
        if used + needed > size:
            calls.append([])
            used = 0
        calls[-1].append(record)
        used += needed
    return calls
