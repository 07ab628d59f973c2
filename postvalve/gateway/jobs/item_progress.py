"""Saves what running items have given, and reads what other nodes saved."""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

import gevent
import xxhash
from gevent.lock import RLock

from postvalve.clock import Clock, milliseconds
from postvalve.core.batch.job_board import BoardJob
from postvalve.core.batch.progress import (
    SavedJob,
    assemble,
    failures_key,
    job_of_key,
    job_prefix,
    segment_key,
)
from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import KeyedRecord, KeyedTopics, StoreUnavailableError
from postvalve.messages.generated import gateway

PROGRESS_TOPIC = "progress"
SAVE_INTERVAL = 1.0
"""Seconds between saves; what an item gave since the last one is lost with its node."""
MIN_EVENTS_TO_SAVE = 12
"""New events from which an item is worth saving."""
CALL_MARGIN = 8_192
"""Bytes of a call that are left for keys and lengths."""
RESTORE_TIMEOUT = 1.5
"""Seconds in which saved progress is looked for; then items begin anew."""
RESTORE_RETRY_DELAY = 0.2
SWEEP_INTERVAL = 60.0
"""Seconds between looks for segments that their writers left behind."""
COMPRESSION_LEVEL = 1


class SavableItem(Protocol):
    """An item as far as its progress goes."""

    job_id: str
    index: int
    events: list[bytes]
    last_event_id: int | None
    cancelled: bool
    failures: int
    chain: Chain

    def seconds_run(self, now: float) -> float:
        """Seconds that it has run, at monotonic time `now`."""
        ...


@dataclass(slots=True)
class Chain:
    """Segments of one item that this node has saved."""

    name: str = ""
    segments: int = 0
    saved_events: int = 0
    saved_id: int = 0


@dataclass(slots=True)
class _Save:
    item: SavableItem
    record: KeyedRecord
    events: int
    last_id: int


class ProgressLog:
    """Progress of the items of one node. It saves work; no promise hangs on it."""

    def __init__(
        self,
        node_id: str,
        partitions: int,
        call_bytes: int,
        topics: KeyedTopics,
        clock: Clock,
        events: EventLog,
        new_id: Callable[[], str],
    ) -> None:
        self._partitions = partitions
        self._own_partition = self._partition_of(node_id)
        self._call_bytes = call_bytes
        self._topics = topics
        self._clock = clock
        self._events = events
        self._new_id = new_id
        self._dropped: dict[int, list[str]] = defaultdict(list)
        """Keys whose records are not needed any more, by partition."""
        self._lock = RLock()
        self.unfinished: Callable[[], Iterable[SavableItem]] = list

    def _partition_of(self, node_id: str) -> int:
        # By node, so that all its items are saved with one call.
        return xxhash.xxh32_intdigest(node_id.encode()) % self._partitions

    def run(self) -> None:
        """Save for ever."""
        while True:
            gevent.sleep(SAVE_INTERVAL)
            self.save()

    def save(self) -> None:
        """Save what the items have given since the last time, and drop what has ended."""
        with self._lock:
            saves = [save for item in self.unfinished() if (save := self._next(item)) is not None]
            for part in self._calls(saves):
                if not self._append(part):
                    return
            self._drop()

    def save_failures(self, item: SavableItem) -> None:
        """Let whoever takes the item's job over know how often the item failed."""
        segment = gateway.ItemProgress(failures=item.failures)
        record = KeyedRecord(failures_key(item.job_id, item.index), bytes(segment))
        try:
            self._topics.append(PROGRESS_TOPIC, self._own_partition, [record])
        except StoreUnavailableError as exc:
            # The next failure tells it again.
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, job=item.job_id)
        if item.cancelled:
            self._dropped[self._own_partition].append(record.key)

    def _append(self, part: Sequence[_Save]) -> bool:
        records = [one.record for one in part]
        try:
            self._topics.append(PROGRESS_TOPIC, self._own_partition, records)
        except StoreUnavailableError as exc:
            # It may be done late, so its keys must not be used again.
            for one in part:
                one.item.chain = Chain()
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, items=len(part))
            return False
        for one in part:
            chain = one.item.chain
            chain.segments += 1
            chain.saved_events, chain.saved_id = one.events, one.last_id
            if one.item.cancelled:
                self._dropped[self._own_partition].append(one.record.key)
        return True

    def _next(self, item: SavableItem) -> _Save | None:
        chain, last_id = item.chain, item.last_event_id
        new = item.events[chain.saved_events :]
        if last_id is None or len(new) < MIN_EVENTS_TO_SAVE:
            return None
        if not chain.name:
            chain.name = self._new_id()
        text = zlib.compress(b"\n".join(new), COMPRESSION_LEVEL)
        segment = gateway.ItemProgress(
            after_event_id=chain.saved_id,
            last_event_id=last_id,
            text=text,
            run_ms=milliseconds(item.seconds_run(self._clock.monotonic())),
        )
        key = segment_key(item.job_id, item.index, chain.name, chain.segments)
        return _Save(item, KeyedRecord(key, bytes(segment)), len(item.events), last_id)

    def _calls(self, saves: Sequence[_Save]) -> list[list[_Save]]:
        calls: list[list[_Save]] = []
        left = 0
        for save in saves:
            size = len(save.record.key) + len(save.record.value) + 8
            if size > left:
                calls.append([])
                left = self._call_bytes - CALL_MARGIN
            calls[-1].append(save)
            left -= size
        return calls

    # Dropping

    def forget(self, item: SavableItem) -> None:
        """An item has ended: its segments are dropped with the next save."""
        chain = item.chain
        self._dropped[self._own_partition] += [
            segment_key(item.job_id, item.index, chain.name, number)
            for number in range(chain.segments)
        ]
        if item.failures:
            self._dropped[self._own_partition].append(failures_key(item.job_id, item.index))

    def _drop(self) -> None:
        for partition, keys in list(self._dropped.items()):
            try:
                if keys:
                    records = [KeyedRecord(key, b"") for key in keys]
                    self._topics.append(PROGRESS_TOPIC, partition, records)
                del self._dropped[partition]
            except StoreUnavailableError:
                return

    def sweep(self, open_jobs: Collection[str]) -> None:
        """Drop what nodes left behind that are gone, with the next save.

        Args:
            open_jobs: Ids of the jobs that still have items to run.

        Raises:
            StoreUnavailableError: the next sweep goes on.
        """
        for partition in range(self._partitions):
            found = self._records(partition, "")
            left = [key for key, _ in found if job_of_key(key) not in open_jobs]
            self._dropped[partition] += left

    # Restoring

    def restore(self, job: BoardJob) -> SavedJob:
        """What is saved of a job; nothing when the store does not tell in time."""
        deadline = self._clock.monotonic() + RESTORE_TIMEOUT
        partitions = {self._partition_of(node_id) for node_id in job.holders}
        while True:
            try:
                found = [
                    record
                    for partition in sorted(partitions)
                    for record in self._records(partition, job_prefix(job.job_id))
                ]
                return assemble(found)
            except StoreUnavailableError as exc:
                if self._clock.monotonic() + RESTORE_RETRY_DELAY >= deadline:
                    self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, job=job.job_id)
                    return SavedJob()
            gevent.sleep(RESTORE_RETRY_DELAY)

    def _records(self, partition: int, prefix: str) -> list[tuple[str, bytes]]:
        found: list[tuple[str, bytes]] = []
        after, more = prefix, True
        while more:
            part, more = self._topics.newest(PROGRESS_TOPIC, partition, after)
            wanted = [one for one in part.records if one.key.startswith(prefix)]
            found += [(one.key, one.value) for one in wanted]
            if not part.records or len(wanted) < len(part.records):
                break
            after = part.records[-1].key
        return found


def unpack_segment(text: bytes) -> bytes:
    """The events' data of a saved segment."""
    return zlib.decompress(text)
