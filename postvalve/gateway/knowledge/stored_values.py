"""Values of any size in the partitions of a keyed topic: read by offset, or by key.

They are read by few nodes, and apart from the topic of jobs, which all nodes read.
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
"""Bytes that one read asks for at the most."""
RECORD_OVERHEAD = 128
"""Bytes of a record beside the value: key and lengths."""
APPEND_TRIES = 3
"""Tries of an append whose answers do not come."""
CALL_MARGIN = 4_096
"""Bytes of a call that are left for keys and lengths."""


@dataclass(frozen=True, slots=True)
class ValueRef:
    """Where a value lies."""

    partition: int
    prefix: str
    """Begins the keys of its records."""
    offset: int
    records: int
    size: int
    """Bytes of the value."""

    @property
    def keys(self) -> list[str]:
        """Keys of its records."""
        return [f"{self.prefix}{number:04d}" for number in range(self.records)]

    @property
    def read_bytes(self) -> int:
        """Bytes that a read of it asks for."""
        return self.size + self.records * RECORD_OVERHEAD


class ValueStore:
    """Values in one topic."""

    def __init__(self, topics: KeyedTopics, topic: str, record_bytes: int, call_bytes: int) -> None:
        self._topics = topics
        self._topic = topic
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes

    def put(self, partition: int, values: Sequence[tuple[str, bytes]]) -> list[ValueRef]:
        """Store values, one after the other; a repetition under the same keys does no harm.

        Args:
            partition: Where to.
            values: Prefix of the keys, and the value.

        Raises:
            StoreUnavailableError: they can't be relied on.
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
        # Several calls may be needed; the values must lie together.
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
        # A lost answer costs another copy under the same keys, which is as good as the first.
        for _ in range(APPEND_TRIES - 1):
            try:
                return self._topics.append(self._topic, partition, part, at=expected)
            except StoreUnavailableError as exc:
                if exc.verdict is Verdict.NOT_RUN:
                    raise
        return self._topics.append(self._topic, partition, part, at=expected)

    def get(self, refs: Sequence[ValueRef]) -> list[bytes]:
        """Read values; those that lie together with one call.

        Raises:
            NotFoundError: one is not there any more.
            StoreUnavailableError: no answer.
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
        """Drop records; those that are not there are passed over.

        Raises:
            StoreUnavailableError: they may still be there.
        """
        records = [KeyedRecord(key, b"") for key in keys]
        for part in _calls(records, self._call_bytes - CALL_MARGIN):
            self._topics.append(self._topic, partition, part)


def _runs(refs: Sequence[ValueRef]) -> list[list[ValueRef]]:
    """Values that lie one behind the other, together."""
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
    # A record without a value would drop its key, so each begins with a byte of ours.
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
