"""Follows one partition of a keyed topic by long polling.

A read that hangs holds up no other one: if it is overdue or has failed, further reads start beside
it until one is answered (`gateway.knowledge.hedged_reads`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent
from gevent.lock import RLock

from postvalve.clock import Clock
from postvalve.events import Event, EventLog
from postvalve.exceptions import PlatformError, Verdict
from postvalve.gateway.interfaces import (
    HistoryGoneError,
    KeyedRecord,
    KeyedTopics,
    StoreUnavailableError,
    TopicSlice,
)
from postvalve.gateway.knowledge.hedged_reads import HedgedReads
from postvalve.gateway.knowledge.snapshot_read import SnapshotRead

READ_BYTES = 1024 * 1024
"""Bytes requested by one read."""
STALE_AFTER = 2.0
"""Age in seconds from which the copy of a topic is stale: the shortest time within which some
deployment requires acknowledged changes to take effect."""
MAX_REPORTED_AGE = 60.0
"""Largest age reported, in seconds."""

Listener = Callable[[Sequence[KeyedRecord], bool], None]
"""Called with records in offset order, and whether they are a snapshot of the whole state."""


class TopicFollower:
    """Passes a snapshot of a partition, and then each new record, to a listener."""

    def __init__(
        self,
        topics: KeyedTopics,
        clock: Clock,
        events: EventLog,
        topic: str,
        listener: Listener,
        *,
        wait: float,
        pause: float,
    ) -> None:
        """Set up to follow partition 0 of `topic`.

        Args:
            topics: The store.
            clock: Source of time.
            events: Log.
            topic: Name of the topic.
            listener: Called with the records.
            wait: Seconds for which a read waits for new records.
            pause: Seconds between reads, so that one read returns several records.
        """
        self._topics = topics
        self._clock = clock
        self._events = events
        self._topic = topic
        self._listener = listener
        self._pause = pause
        self._lock = RLock()
        self._pages: SnapshotRead | None = None
        """Pages of a read that failed before its last page."""
        self._reads = HedgedReads(self._read, clock, wait)
        # Pages of the first read may be many and large, so they are read only once.
        self._reads.is_exclusive = lambda: not self.loaded
        self._reads.on_overdue = self._log_overdue
        # Idle connections may be dead or all taken by calls that hang, or this node is cut off.
        self._reads.before_further_read = topics.change_path
        self._must_reload = False
        """Whether the listener failed on records, so that it needs the whole state."""
        self._lost = False
        self._logged_stale = False
        self.on_lost: Callable[[], None] = lambda: None
        """Called at the first failed read of an outage."""
        self.on_regained: Callable[[], None] = lambda: None
        """Called when the store answers again, before the answer is processed."""
        self.next_offset = -1
        """Offset of the next read; -1 before the snapshot was read."""
        self.applied_offset = -1
        """Offset up to which the listener has processed all records. It is behind `next_offset`
        while the listener processes some, and if it failed on them."""
        self.answered_start = float("-inf")
        """Monotonic seconds at which the latest of the reads that were answered began."""
        self.answered_at = float("-inf")
        """Monotonic seconds of the store's last answer."""
        self.fresh_at = float("-inf")
        """Monotonic seconds up to which all acknowledged records are known."""
        self.fresh_before_snapshot = float("-inf")
        """What `fresh_at` was before the latest snapshot was processed."""

    @property
    def loaded(self) -> bool:
        """Whether the snapshot has been read."""
        return self.next_offset >= 0

    @property
    def age(self) -> float:
        """Seconds in which the store may have acknowledged records that are not known yet."""
        return min(MAX_REPORTED_AGE, self._clock.monotonic() - self.fresh_at)

    def log_if_stale(self) -> None:
        """Log that the copy is stale, once until it is up to date again."""
        is_stale = self.loaded and self.age > STALE_AFTER
        if is_stale and not self._logged_stale:
            self._events.emit(
                Event.STORE_TOPIC_OLD,
                topic=self._topic,
                age=round(self.age, 3),
                offset=self.next_offset,
            )
        self._logged_stale = is_stale

    def run(self) -> None:
        """Follow the topic; never returns."""
        try:
            while True:
                self._reads.run_turn()
                gevent.sleep(self._pause)
        finally:
            self._reads.stop()

    def record_answer_elsewhere(self) -> None:
        """Read soon if reads are unanswered: the store has answered another call of this node."""
        self._reads.record_answer_elsewhere()

    def _read(self, wait: float) -> None:
        started = self._clock.monotonic()
        try:
            self._read_once(wait, started)
        except PlatformError as exc:
            self._record_failure(exc, started)
            raise

    def _read_once(self, wait: float, started: float) -> None:
        if not self.loaded or self._must_reload:
            self._load(started)
            return
        offset = self.next_offset
        try:
            part = self._topics.read(self._topic, 0, offset, wait, READ_BYTES)
        except HistoryGoneError:
            self._events.emit(Event.STORE_HISTORY_GONE, topic=self._topic, offset=offset)
            self._load(started)
            return
        self._record_answer(started)
        with self._lock:
            self._process(part.records, part.next_offset)
            if _is_current(part, offset):
                self.fresh_at = max(self.fresh_at, started + part.held)

    def catch_up(self) -> None:
        """Read up to the end that the partition has now, or a later one.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        while True:
            offset, started = self.next_offset, self._clock.monotonic()
            if not self.loaded or self._must_reload:
                # The pages may be of a read that began before.
                self._load(started)
                continue
            try:
                part = self._topics.read(self._topic, 0, offset, 0.0, READ_BYTES)
            except HistoryGoneError:
                self._load(started)
                continue
            self._record_answer(started)
            with self._lock:
                self._process(part.records, part.next_offset)
                if _is_current(part, offset):
                    self.fresh_at = max(self.fresh_at, started)
                if part.next_offset >= part.end_offset and not self._must_reload:
                    return

    def read_current(self) -> None:
        """Read all that was acknowledged before the call.

        Raises:
            StoreUnavailableError: The store did not answer, or its reads are behind.
        """
        called_at = self._clock.monotonic()
        self.catch_up()
        if self.fresh_at < called_at:
            raise StoreUnavailableError("the store's reads are behind", Verdict.MAY_HAVE_RUN)

    def record_own_write(self, records: Sequence[KeyedRecord], offset: int) -> bool:
        """Process records that this node has appended at `offset`, without reading them.

        Returns:
            Whether they directly follow the known records; if not, they must be read.
        """
        with self._lock:
            if offset != self.next_offset:
                return False
            placed = [
                KeyedRecord(one.key, one.value, offset + number)
                for number, one in enumerate(records)
            ]
            self._process(placed, offset + len(placed))
            return True

    def _process(self, records: Sequence[KeyedRecord], next_offset: int) -> None:
        new = [one for one in records if one.offset >= self.next_offset]
        self.next_offset = max(self.next_offset, next_offset)
        if new:
            try:
                self._listener(new, False)
            except BaseException:  # also if this greenlet is killed
                self._must_reload = True
                raise
        if not self._must_reload:
            self.applied_offset = self.next_offset

    def _load(self, started: float) -> None:
        # A concurrent read must not share these pages.
        pages, self._pages = self._pages or SnapshotRead(self._clock.monotonic()), None
        try:
            pages.read(self._topics, self._topic)
        except PlatformError:
            self._pages = pages
            raise
        self._record_answer(started)
        with self._lock:
            if pages.end < self.next_offset:
                # A concurrent read was faster, and its state is newer.
                return
            self.next_offset = pages.end
            self.fresh_before_snapshot = self.fresh_at
            self.fresh_at = max(self.fresh_at, pages.started_at)
            # If this fails too, reading it again would not help.
            self._must_reload = False
            self._listener(pages.records(), True)
            self.applied_offset = pages.end

    def _record_answer(self, started: float) -> None:
        self.answered_at = self._clock.monotonic()
        self.answered_start = max(self.answered_start, started)
        if self._lost:
            self._lost = False
            self.on_regained()
            self._events.emit(
                Event.STORE_REGAINED,
                topic=self._topic,
                offset=self.next_offset,
                age=round(self.age, 3),
            )

    def _record_failure(self, error: PlatformError, started: float) -> None:
        self._events.emit(
            Event.STORE_READ_FAILED,
            topic=self._topic,
            seconds=round(self._clock.monotonic() - started, 3),
            pending=self._reads.pending - 1,
            error=error.message,
        )
        # The failure of a read that began before an answered one is out of date.
        if self._lost or started < self.answered_start:
            return
        self._lost = True
        self.on_lost()
        self._events.emit(
            Event.STORE_LOST, topic=self._topic, error=error.message, age=round(self.age, 3)
        )

    def _log_overdue(self, seconds: float) -> None:
        self._events.emit(
            Event.STORE_READ_OVERDUE,
            topic=self._topic,
            seconds=round(seconds, 3),
            pending=self._reads.pending,
            age=round(self.age, 3),
        )


def _is_current(part: TopicSlice, offset: int) -> bool:
    """Whether an answer to a read from `offset` covers all that was acknowledged before the read.

    A store whose reads are behind may name an end before records that are known already.
    """
    return part.next_offset >= part.end_offset >= offset
