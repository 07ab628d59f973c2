"""In-memory keyed topics, with injected faults of a store."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
from gevent.event import Event as GeventEvent

from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import (
    HistoryGoneError,
    KeyedRecord,
    PositionTakenError,
    StoreUnavailableError,
    TopicSlice,
)

DOWN_CHECK_INTERVAL = 0.05
"""Seconds between a waiting read's checks whether the store is down."""
MAX_PAGE_RECORDS = 500


@dataclass(slots=True)
class _Partition:
    log: list[KeyedRecord] = field(default_factory=list)
    first_offset: int = 0
    appended: GeventEvent = field(default_factory=GeventEvent)
    """Set, and replaced by a new event, when records are appended."""

    def newest(self) -> list[KeyedRecord]:
        by_key = {record.key: record for record in self.log}
        return sorted(
            (record for record in by_key.values() if record.value), key=lambda record: record.key
        )


class MemoryTopics:
    """In-memory implementation of `KeyedTopics`, shared by all nodes of a test."""

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self.down = False
        self.lost_answers = 0
        """Number of next appends that take effect and get no answer."""
        self.late_appends = 0
        """Number of next appends that get no answer and take effect `late_append_delay` later."""
        self.late_append_delay = 0.05
        self.calls = 0

    def partition(self, topic: str, part: int) -> _Partition:
        """Return a partition, created on first use."""
        return self._partitions.setdefault((topic, part), _Partition())

    def append(
        self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        """See `KeyedTopics`."""
        self._begin_call()
        if self.late_appends > 0:
            self.late_appends -= 1
            gevent.spawn_later(self.late_append_delay, self._append_late, topic, part, records, at)
            raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
        offset = self._append(topic, part, records, at)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
        return offset

    def _append(self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None) -> int:
        partition = self.partition(topic, part)
        log = partition.log
        if at is not None and at != len(log):
            raise PositionTakenError(len(log))
        offset = len(log)
        for number, record in enumerate(records):
            log.append(KeyedRecord(record.key, record.value, offset + number))
        appended, partition.appended = partition.appended, GeventEvent()
        appended.set()
        return offset

    def _append_late(
        self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None
    ) -> None:
        try:
            self._append(topic, part, records, at)
        except PositionTakenError:
            return

    def read(self, topic: str, part: int, offset: int, wait: float, limit: int) -> TopicSlice:
        """See `KeyedTopics`."""
        self._begin_call()
        partition = self.partition(topic, part)
        waited = 0.0
        while True:
            if self.down:
                raise StoreUnavailableError("down", Verdict.NOT_RUN)
            if offset < partition.first_offset:
                raise HistoryGoneError("dropped")
            if offset < len(partition.log) or waited >= wait:
                break
            pause = min(DOWN_CHECK_INTERVAL, wait - waited)
            # A read that a record wakes early waited less than this, but it then reports no wait.
            partition.appended.wait(pause)
            waited += pause
        records = _limit_bytes(partition.log[offset:], limit)
        elapsed = 0.0 if records else waited
        return TopicSlice(records, offset + len(records), len(partition.log), elapsed)

    def newest(self, topic: str, part: int, after: str = "") -> tuple[TopicSlice, bool]:
        """See `KeyedTopics`."""
        self._begin_call()
        partition = self.partition(topic, part)
        found = [record for record in partition.newest() if record.key > after]
        page = tuple(found[:MAX_PAGE_RECORDS])
        end = len(partition.log)
        return TopicSlice(page, end, end), len(found) > len(page)

    def change_path(self) -> None:
        """See `KeyedTopics`; there is only one way."""

    def _begin_call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("down", Verdict.NOT_RUN)

    def all_records(self) -> list[tuple[str, list[KeyedRecord]]]:
        """Return all records by partition, with their topic, including superseded ones."""
        return [(topic, partition.log) for (topic, _), partition in self._partitions.items()]

    def drop_history(self) -> None:
        """Drop all records except the newest of each key; older offsets can no longer be read."""
        for partition in self._partitions.values():
            partition.first_offset = len(partition.log)


def _limit_bytes(records: Sequence[KeyedRecord], limit: int) -> tuple[KeyedRecord, ...]:
    """Return the first records, up to `limit` bytes in total, but at least one."""
    size = 0
    for number, record in enumerate(records):
        size += len(record.key) + len(record.value)
        if number and size > limit:
            return tuple(records[:number])
    return tuple(records)
