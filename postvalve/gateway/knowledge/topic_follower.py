"""Follows one partition of a keyed topic by waiting reads."""

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
"""Bytes asked for in one read."""
ERROR_PAUSE = 0.05
"""Seconds after a failed read: another way is there, or a new connection."""
ERROR_PAUSE_FACTOR = 4.0
"""By which each later failure makes the pause longer."""
MAX_ERROR_PAUSE = 1.0
STALE_AFTER = 2.0
"""Seconds after which what is known of a topic counts as old: the shortest time within which a
deployment lets acknowledged changes go unheeded."""
MAX_AGE = 60.0
"""Seconds; greater ages are told as this."""

Listener = Callable[[Sequence[KeyedRecord], bool], None]
"""Takes records in offset order, and whether they are the whole present state."""


@dataclass(slots=True)
class _Pages:
    """The newest record of each key, as far as it was read.

    Pages are no snapshot: what changes meanwhile comes after the first page's end. So a read goes
    on after its last page, however long ago that came: the history from that end on is read next.
    """

    started_at: float
    """Monotonic seconds."""
    end: int = -1
    """Offset after the first page's newest record."""
    _found: dict[str, KeyedRecord] = field(default_factory=dict)
    _after: str = ""

    def read(self, topics: KeyedTopics, topic: str) -> None:
        """Read on to the last page.

        Raises:
            PlatformError: a page did not come; those before it are kept.
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
        """Those before the first page's end, in their order.

        A later page may hold a record beyond that end, while one before it lies on a page that was
        read already: both are read in their order from there.
        """
        before = [one for one in self._found.values() if one.offset < self.end]
        return sorted(before, key=lambda one: one.offset)


class TopicFollower:
    """Gives every record of a partition to a listener, once it was read from the start."""

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
        """Follow partition 0 of `topic`.

        Args:
            wait: Seconds that a read waits for a record.
            pause: Seconds between reads, in which records gather.
        """
        self._topics = topics
        self._clock = clock
        self._events = events
        self._topic = topic
        self._listener = listener
        self._wait = wait
        self._pause = pause
        self._lock = RLock()
        self._pages: _Pages | None = None
        """What came before a page did not."""
        self._lost = False
        self._told_old = False
        self.on_lost: Callable[[], None] = lambda: None
        """Called when the store does not answer, once until it does again."""
        self.on_regained: Callable[[], None] = lambda: None
        """Called when it answers again, before what it told is taken in."""
        self.next_offset = -1
        self.requested_at = float("-inf")
        """Monotonic seconds at which the read under way, or the last one, was begun."""
        self.answered_at = float("-inf")
        """Monotonic seconds at which the store answered last."""
        self.fresh_at = float("-inf")
        """Monotonic seconds up to which everything that was acknowledged is known."""

    @property
    def loaded(self) -> bool:
        """Whether the present state was read once."""
        return self.next_offset >= 0

    @property
    def age(self) -> float:
        """Seconds of which this node does not know what was acknowledged in them."""
        return min(MAX_AGE, self._clock.monotonic() - self.fresh_at)

    def log_if_stale(self) -> None:
        """Log, once until it is up to date again, that what is known is old."""
        old = self.loaded and self.age > STALE_AFTER
        if old and not self._told_old:
            self._events.emit(
                Event.STORE_TOPIC_OLD,
                topic=self._topic,
                age=round(self.age, 3),
                offset=self.next_offset,
            )
        self._told_old = old

    def run(self) -> None:
        """Follow for ever."""
        pause = ERROR_PAUSE
        while True:
            try:
                self._step()
                pause = ERROR_PAUSE
                gevent.sleep(self._pause)
            except PlatformError as error:
                self._note_lost(error)
                gevent.sleep(pause)
                pause = min(MAX_ERROR_PAUSE, pause * ERROR_PAUSE_FACTOR)

    def _step(self) -> None:
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
        self._heard()
        with self._lock:
            self._take(part.records, part.next_offset)
            if part.next_offset >= part.end_offset:
                self.fresh_at = max(self.fresh_at, started + part.held)

    def catch_up(self) -> None:
        """Read what is there now.

        Raises:
            StoreUnavailableError: no answer; what was known stands.
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
            self._heard()
            with self._lock:
                self._take(part.records, part.next_offset)
                if part.next_offset >= part.end_offset:
                    self.fresh_at = max(self.fresh_at, started)
                    return

    def record_own_write(self, records: Sequence[KeyedRecord], offset: int) -> bool:
        """Take records in that this node has appended at `offset`, without reading them.

        Returns:
            Whether they followed what was known; if not, they must be read.
        """
        with self._lock:
            if offset != self.next_offset:
                return False
            placed = [
                KeyedRecord(one.key, one.value, offset + number)
                for number, one in enumerate(records)
            ]
            self._take(placed, offset + len(placed))
            return True

    def _take(self, records: Sequence[KeyedRecord], next_offset: int) -> None:
        new = [one for one in records if one.offset >= self.next_offset]
        self.next_offset = max(self.next_offset, next_offset)
        if new:
            self._listener(new, False)

    def _load(self) -> None:
        # Another read that begins meanwhile reads pages of its own.
        pages, self._pages = self._pages or _Pages(self._clock.monotonic()), None
        self.requested_at = self._clock.monotonic()
        try:
            pages.read(self._topics, self._topic)
        except PlatformError:
            self._pages = pages
            raise
        self._heard()
        with self._lock:
            if pages.end < self.next_offset:
                # Another read overtook this one; its state is the newer one.
                return
            self.next_offset = pages.end
            self.fresh_at = max(self.fresh_at, pages.started_at)
            self._listener(pages.records(), True)

    def _heard(self) -> None:
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

    def _note_lost(self, error: PlatformError) -> None:
        if not self._lost:
            self._lost = True
            self.on_lost()
            self._events.emit(
                Event.STORE_LOST,
                topic=self._topic,
                error=error.message,
                age=round(self.age, 3),
            )
