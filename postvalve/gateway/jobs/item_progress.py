"""Saves the progress of running items, and restores what other nodes saved."""

from __future__ import annotations

import math
import zlib
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
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
"""Seconds between saves; output after the last save is lost if the node fails."""
MIN_EVENTS_TO_SAVE = 12
"""New events from which an item is worth saving."""
CALL_MARGIN = 8_192
"""Bytes of a call that are reserved for keys and lengths."""
RESTORE_TIMEOUT = 1.5
"""Seconds for which reading saved progress is retried; after that the items start from the
beginning."""
MAX_RESTORE_TIME = 5.0
"""Seconds after which no further page of saved progress is read."""
RESTORE_RETRY_DELAY = 0.2
SWEEP_INTERVAL = 60.0
"""Seconds between sweeps for segments that their writers left behind."""
COMPRESSION_LEVEL = 1


class SavableItem(Protocol):
    """Attributes of an item that saving its progress needs."""

    job_id: str
    index: int
    events: list[bytes]
    last_event_id: int | None
    version: str | None
    cancelled: bool
    failures: int
    chain: Chain

    def seconds_run(self, now: float) -> float:
        """Return the seconds that the item has run, at monotonic time `now`."""
        ...


@dataclass(slots=True)
class Chain:
    """State of the chain of segments that this node has saved for one item."""

    name: str = ""
    segments: int = 0
    saved_events: int = 0
    saved_id: int = 0


@dataclass(slots=True)
class _Save:
    item: SavableItem
    chain: Chain
    record: KeyedRecord
    events: int
    last_id: int


class ProgressLog:
    """Saved progress of one node's items.

    It avoids repeated work; correctness does not depend on it.
    """

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
        self._obsolete_keys: dict[int, list[str]] = defaultdict(list)
        """Keys whose records are no longer needed, by partition."""
        self._lock = RLock()
        self.unfinished: Callable[[], Iterable[SavableItem]] = list

    def _partition_of(self, node_id: str) -> int:
        # The partition depends on the node, so that all its items are saved with one call.
        return xxhash.xxh32_intdigest(node_id.encode()) % self._partitions

    def run(self) -> None:
        """Save periodically, forever."""
        while True:
            gevent.sleep(SAVE_INTERVAL)
            self.save()

    def save(self) -> None:
        """Save newly received events, and delete the segments of items that have ended."""
        with self._lock:
            saves = [
                save for item in self.unfinished() if (save := self._next_save(item)) is not None
            ]
            for part in self._split_calls(saves):
                if not self._append(part):
                    return
            self._delete_obsolete()

    def save_failures(self, item: SavableItem) -> None:
        """Save how often an item has failed, for the node that may take its job over.

        Raises:
            StoreUnavailableError: It is not known whether the count was saved.
        """
        segment = gateway.ItemProgress(failures=item.failures)
        key = failures_key(item.job_id, item.index, item.failures)
        record = KeyedRecord(key, bytes(segment))
        self._topics.append(PROGRESS_TOPIC, self._own_partition, [record])
        if item.cancelled:
            self._obsolete_keys[self._own_partition].append(record.key)

    def _append(self, part: Sequence[_Save]) -> bool:
        records = [save.record for save in part]
        try:
            self._topics.append(PROGRESS_TOPIC, self._own_partition, records)
        except Exception as exc:
            # The append may still take effect late, so its keys must not be reused.
            for save in part:
                if save.item.chain is save.chain:
                    save.item.chain = Chain()
            if not isinstance(exc, StoreUnavailableError):
                raise
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, items=len(part))
            return False
        for save in part:
            chain = save.chain
            chain.segments += 1
            chain.saved_events, chain.saved_id = save.events, save.last_id
            if save.item.cancelled or save.item.chain is not chain:
                self._obsolete_keys[self._own_partition].append(save.record.key)
        return True

    def _next_save(self, item: SavableItem) -> _Save | None:
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
            engine_version=item.version or "",
            has_version=item.version is not None,
        )
        key = segment_key(item.job_id, item.index, chain.name, chain.segments)
        return _Save(item, chain, KeyedRecord(key, bytes(segment)), len(item.events), last_id)

    def _split_calls(self, saves: Sequence[_Save]) -> list[list[_Save]]:
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

    # Deletion of segments

    def forget(self, item: SavableItem) -> None:
        """Mark the segments of an item that has ended for deletion with the next save."""
        self.forget_chain(item)
        self._obsolete_keys[self._own_partition] += [
            failures_key(item.job_id, item.index, count) for count in range(1, item.failures + 1)
        ]

    def forget_chain(self, item: SavableItem) -> None:
        """Mark the segments of an item's present chain for deletion with the next save."""
        chain = item.chain
        self._obsolete_keys[self._own_partition] += [
            segment_key(item.job_id, item.index, chain.name, number)
            for number in range(chain.segments)
        ]

    def _delete_obsolete(self) -> None:
        for partition, keys in list(self._obsolete_keys.items()):
            records = [KeyedRecord(key, b"") for key in keys]
            try:
                if records:
                    self._topics.append(PROGRESS_TOPIC, partition, records)
            except StoreUnavailableError as exc:
                self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, keys=len(records))
                return
            # More may have been added during the call.
            del keys[: len(records)]
            if not keys:
                del self._obsolete_keys[partition]

    def saved_keys(self) -> dict[int, list[str]]:
        """Return the keys of all saved segments and failure counts, by partition.

        Raises:
            StoreUnavailableError: They could not all be read.
        """
        return {
            partition: [key for key, _ in self._records(partition, "")]
            for partition in range(self._partitions)
        }

    def sweep(
        self, open_jobs: Collection[str], saved: Mapping[int, Sequence[str]] | None = None
    ) -> None:
        """Mark the segments that failed nodes left behind for deletion with the next save.

        Args:
            open_jobs: Ids of the jobs that still have items to run.
            saved: Keys of the segments, read before the open jobs were: then each job of which one
                was saved had been accepted. None to read them now.

        Raises:
            StoreUnavailableError: The next sweep continues.
        """
        for partition, keys in (self.saved_keys() if saved is None else saved).items():
            self._obsolete_keys[partition] += [
                key for key in keys if job_of_key(key) not in open_jobs
            ]

    # Restoring

    def restore(
        self, job: BoardJob, can_continue: Callable[[str | None], bool] = lambda version: True
    ) -> SavedJob:
        """Return the saved progress of a job; empty if the store does not answer in time.

        Where the store is slow, the progress of the last holders is read, which is the farthest.

        Args:
            job: The job.
            can_continue: Tells whether an engine can continue the text of a version.
        """
        started = self._clock.monotonic()
        deadline, last_read = started + RESTORE_TIMEOUT, started + MAX_RESTORE_TIME
        left = list(dict.fromkeys(self._partition_of(one) for one in reversed(job.holders)))
        found: list[tuple[str, bytes]] = []
        while True:
            try:
                while left and self._clock.monotonic() < last_read:
                    found += self._records(left[0], job_prefix(job.job_id), last_read)
                    del left[0]
                saved = assemble(found, can_continue)
                saved.is_complete = self._clock.monotonic() < last_read
                return saved
            except StoreUnavailableError as exc:
                if self._clock.monotonic() + RESTORE_RETRY_DELAY >= deadline:
                    self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, job=job.job_id)
                    return SavedJob(is_complete=False)
            gevent.sleep(RESTORE_RETRY_DELAY)

    def read_failures(self, job: BoardJob) -> dict[int, int]:
        """Return the saved number of failed runs of a job's items, by index.

        Raises:
            StoreUnavailableError: They could not all be read.
        """
        found: list[tuple[str, bytes]] = []
        for partition in {self._partition_of(one) for one in job.holders}:
            found += self._records(partition, job_prefix(job.job_id))
        return assemble(found).failures

    def _records(
        self, partition: int, prefix: str, last_read: float = math.inf
    ) -> list[tuple[str, bytes]]:
        """Return the records of a partition whose keys begin with a prefix.

        Args:
            partition: Partition of the topic.
            prefix: Beginning of the keys.
            last_read: Monotonic seconds from which no further page is read.
        """
        found: list[tuple[str, bytes]] = []
        after, more = prefix, True
        while more and self._clock.monotonic() < last_read:
            part, more = self._topics.newest(PROGRESS_TOPIC, partition, after)
            wanted = [record for record in part.records if record.key.startswith(prefix)]
            found += [(record.key, record.value) for record in wanted]
            if not part.records or len(wanted) < len(part.records):
                break
            after = part.records[-1].key
        return found


def unpack_segment(text: bytes) -> bytes:
    """Decompress the event data of a saved segment."""
    return zlib.decompress(text)
