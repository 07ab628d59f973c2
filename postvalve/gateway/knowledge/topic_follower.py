"""Follows one partition of a keyed topic by long polling."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent
from gevent.lock import RLock

from postvalve.clock import Clock
from postvalve.events import Event, EventLog
from postvalve.exceptions import PlatformError
from postvalve.gateway.interfaces import HistoryGoneError, KeyedRecord, KeyedTopics

READ_BYTES = 1024 * 1024
"""Bytes requested by one read."""
RETRY_DELAY = 0.05
"""Seconds before the first retry of a failed read, which may use a peer or a new connection."""
RETRY_BACKOFF = 4.0
"""Factor by which the delay grows with each further failure."""
MAX_RETRY_DELAY = 1.0
STALE_AFTER = 2.0
"""Age in seconds from which the copy of a topic is stale: the shortest time within which some
deployment requires acknowledged changes to take effect."""
MAX_REPORTED_AGE = 60.0
"""Largest age reported, in seconds."""

Listener = Callable[[Sequence[KeyedRecord], bool], None]
"""Called with records in offset order, and whether they are a snapshot of the whole state."""


@dataclass(slots=True)
class _SnapshotRead:
    """Resumable read of the newest record of each key, page by page.

    The pages are not a consistent snapshot: changes made during the read lie after the offset at
    which the first page was taken, and the history is followed from that offset. So the read may
    resume after its last page at any later time.
    """

    started_at: float
    """Monotonic seconds at which the first page was requested."""
    end: int = -1
    """End of the partition when the first page was taken; -1 before."""
    _found: dict[str, KeyedRecord] = field(default_factory=dict)
    _after: str = ""

    def read(self, topics: KeyedTopics, topic: str) -> None:
        """Read the remaining pages.

        Raises:
            PlatformError: A page could not be read; the pages before it are kept.
        """
        more = True
        while more:
            part, more = topics.newest(topic, 0, self._after)
            self.end = part.end_offset if self.end < 0 else self.end
            for record in part.records:
                self._found[record.key] = record
                self._after = record.key
            more = more and bool(part.records)

    def records(self) -> list[KeyedRecord]:
        """Return the records before `end` in offset order.

        Later pages may contain records from `end` on, but miss others whose keys belong to pages
        read before. All of these are read in order from the history.
        """
        before = [one for one in self._found.values() if one.offset < self.end]
        return sorted(before, key=lambda one: one.offset)


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
        self._wait = wait
        self._pause = pause
        self._lock = RLock()
        self._pages: _SnapshotRead | None = None
        """Pages of a read that failed before its last page."""
        self._lost = False
        self._logged_stale = False
        self.on_lost: Callable[[], None] = lambda: None
        """Called at the first failed read of an outage."""
        self.on_regained: Callable[[], None] = lambda: None
        """Called when the store answers again, before the answer is processed."""
        self.next_offset = -1
        """Offset of the next read; -1 before the snapshot was read."""
        self.requested_at = float("-inf")
        """Monotonic seconds at which the pending or the last read was started."""
        self.answered_at = float("-inf")
        """Monotonic seconds of the store's last answer."""
        self.fresh_at = float("-inf")
        """Monotonic seconds up to which all acknowledged records are known."""

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
        delay = RETRY_DELAY
        while True:
            try:
                self._read_once()
                delay = RETRY_DELAY
                gevent.sleep(self._pause)
            except PlatformError as error:
                self._record_failure(error)
                self._events.emit(
                    Event.STORE_READ_FAILED,
                    topic=self._topic,
                    seconds=round(self._clock.monotonic() - self.requested_at, 3),
                    retry_in=delay,
                    error=error.message,
                )
                gevent.sleep(delay)
                delay = min(MAX_RETRY_DELAY, delay * RETRY_BACKOFF)

    def _read_once(self) -> None:
        if not self.loaded:
            self._load()
            return
        offset, started = self.next_offset, self._clock.monotonic()
        self.requested_at = started
        try:
            part = self._topics.read(self._topic, 0, offset, self._wait, READ_BYTES)
        except HistoryGoneError:
            self._events.emit(Event.STORE_HISTORY_GONE, topic=self._topic, offset=offset)
            self._load()
            return
        self._record_answer()
        with self._lock:
            self._process(part.records, part.next_offset)
            if part.next_offset >= part.end_offset:
                self.fresh_at = max(self.fresh_at, started + part.held)

    def catch_up(self) -> None:
        """Read up to the current end of the partition.

        Raises:
            StoreUnavailableError: The store did not answer; the state is unchanged.
        """
        if not self.loaded:
            self._load()
            return
        while True:
            started = self._clock.monotonic()
            try:
                part = self._topics.read(self._topic, 0, self.next_offset, 0.0, READ_BYTES)
            except HistoryGoneError:
                self._load()
                return
            self._record_answer()
            with self._lock:
                self._process(part.records, part.next_offset)
                if part.next_offset >= part.end_offset:
                    self.fresh_at = max(self.fresh_at, started)
                    return

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
            self._listener(new, False)

    def _load(self) -> None:
        # A concurrent read must not share these pages.
        pages, self._pages = self._pages or _SnapshotRead(self._clock.monotonic()), None
        self.requested_at = self._clock.monotonic()
        try:
            pages.read(self._topics, self._topic)
        except PlatformError:
            self._pages = pages
            raise
        self._record_answer()
        with self._lock:
            if pages.end < self.next_offset:
                # A concurrent read was faster, and its state is newer.
                return
            self.next_offset = pages.end
            self.fresh_at = max(self.fresh_at, pages.started_at)
            self._listener(pages.records(), True)

    def _record_answer(self) -> None:
        self.answered_at = self._clock.monotonic()
        if self._lost:
            self._lost = False
            self.on_regained()
            self._events.emit(
                Event.STORE_REGAINED,
                topic=self._topic,
                offset=self.next_offset,
                age=round(self.age, 3),
            )

    def _record_failure(self, error: PlatformError) -> None:
        if not self._lost:
            self._lost = True
            self.on_lost()
            self._events.emit(
                Event.STORE_LOST,
                topic=self._topic,
                error=error.message,
                age=round(self.age, 3),
            )
