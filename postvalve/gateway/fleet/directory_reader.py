"""Follows the engines' directory, and gives its entries to the fleet."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from postvalve.clock import Clock, milliseconds
from postvalve.core.membership.engine_directory import EngineDirectory
from postvalve.core.membership.engine_life import NewestLives
from postvalve.core.membership.load_report import DirectoryState
from postvalve.core.membership.shared_freshness import SharedFreshness
from postvalve.events import Event, EventLog
from postvalve.exceptions import PlatformError
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import EngineEntry, KeyedRecord, KeyedTopics
from postvalve.gateway.knowledge.topic_follower import TopicFollower

READ_WAIT = 0.8
"""Seconds that a read of the directory waits. A way that falls silent is noticed so much later, and
what an engine's leaving leaves is 2 s on the smallest deployments."""
READ_PAUSE = 0.3
"""Seconds between such reads, in which changes gather."""
BEHIND_TIME = READ_PAUSE + 0.1
"""Seconds in which the read under way may still bring what a peer knows already."""
UNREADABLE_TOLD = 3
"""Entries that can't be read of which one read tells by a line each."""
KEPT_LOOK = 0.01
"""Seconds between looks at entries that lapsed, at the least."""

DirectoryParser = Callable[[KeyedRecord], EngineEntry | None]
"""Reads one entry of the directory; None for one that can't be read."""


class DirectoryReader:
    """What this node reads of the directory."""

    def __init__(
        self,
        topics: KeyedTopics,
        topic: str,
        parse: DirectoryParser,
        fleet: EngineFleet,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._parse = parse
        self._fleet = fleet
        self._clock = clock
        self._events = events
        self._shared = SharedFreshness(clock.monotonic())
        self._entries: EngineDirectory[EngineEntry] = EngineDirectory(self._shared)
        self._lives = NewestLives()
        self._reads_beside = False
        self.on_change: Callable[[], None] = lambda: None
        """Called after the fleet has got the entries."""
        self._follower = TopicFollower(
            topics, clock, events, topic, self._observe, wait=READ_WAIT, pause=READ_PAUSE
        )
        self._follower.on_lost = self._entries.store_lost
        self._follower.on_regained = self._store_back
        fleet.directory_unsettled = lambda: self._entries.unsettled(clock.monotonic())
        fleet.directory_age = lambda: self._follower.age

    def run(self) -> None:
        """Follow for ever."""
        self._follower.run()

    @property
    def store_unreachable(self) -> bool:
        """Whether no node that is heard could read the directory lately."""
        return self._shared.unavailable

    def state(self) -> DirectoryState | None:
        """What peers are told; None before the directory was read."""
        if not self._follower.loaded:
            return None
        return DirectoryState(self._follower.next_offset, milliseconds(self._follower.age))

    def update_age(self) -> None:
        """See how old what is known is; called a few times a second."""
        self._note_fresh(self._follower.fresh_at)

    def receive(self, state: DirectoryState, peer: str) -> None:
        """Take in what a peer knows of the directory."""
        self._note_fresh(self._clock.monotonic() - state.age_ms / 1000)
        behind = self._follower.loaded and self._follower.next_offset < state.offset
        if behind and not self._reads_beside:
            self._reads_beside = True
            gevent.spawn_later(BEHIND_TIME, self._read_beside, state.offset, peer)

    def _read_beside(self, offset: int, peer: str) -> None:
        """Read beside the read under way, where that does not bring what a peer knows."""
        known, error = self._follower.next_offset, ""
        try:
            if known >= offset:
                return
            self._follower.catch_up()
        except PlatformError as exc:
            error = exc.message
        finally:
            self._reads_beside = False
        self._events.emit(
            Event.DIRECTORY_BEHIND, peer=peer, offset=offset, known=known, error=error
        )

    def _note_fresh(self, fresh_at: float) -> None:
        now = self._clock.monotonic()
        was_away = self._shared.unavailable
        self._shared.note(fresh_at, now)
        if was_away and not self._shared.unavailable:
            self._events.emit(Event.STORE_WAS_AWAY, back=round(now - self._shared.returned_at, 3))

    def _store_back(self) -> None:
        """The store has answered a read of this node, after it did not."""
        self._note_fresh(self._follower.requested_at)
        self._entries.store_back(self._clock.monotonic())

    def log_if_stale(self) -> None:
        """See `TopicFollower`."""
        self._follower.log_if_stale()

    def _observe(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        changes = self._entries_of(records)
        missing = self._entries.observe(changes, whole, self._clock.monotonic())
        if missing:
            self._events.emit(
                Event.ENGINES_LAPSED,
                engines=missing,
                seconds=round(self._entries.seconds_to_expiry(self._clock.monotonic()) or 0.0, 3),
                age=round(self._follower.age, 3),
            )
            gevent.spawn(self._drop_lapsed)
        self._use()

    def _entries_of(self, records: Sequence[KeyedRecord]) -> list[tuple[str, EngineEntry | None]]:
        """Engine id and entry of each record; what can't be used is left out, and told."""
        found: list[tuple[str, EngineEntry | None]] = []
        unreadable: list[KeyedRecord] = []
        for record in records:
            entry = self._parse(record) if record.value else None
            if record.value and entry is None:
                unreadable.append(record)
            if entry is not None and not self._lives.admits(entry.life):
                self._events.emit(Event.ENGINE_FORMER_LIFE, engine=entry.life)
                entry = self._entries.listed(record.key)
            found.append((record.key, entry))
        for record in unreadable[:UNREADABLE_TOLD]:
            self._events.emit(
                Event.ENGINE_UNREADABLE,
                engine=record.key,
                entry=repr(record.value[:200]),
                others=len(unreadable) - 1,
            )
        return found

    def _drop_lapsed(self) -> None:
        """Drop entries that did not come back, each in its time.

        The loop's timers start from a time that is some milliseconds old and may fire that much
        too early, so one look after `LAPSED_ENTRY_RETENTION` could be the last and come too soon.
        """
        while (left := self._entries.seconds_to_expiry(self._clock.monotonic())) is not None:
            gevent.sleep(max(KEPT_LOOK, left))
            self._use()

    def _use(self) -> None:
        self._fleet.update(self._entries.entries(self._clock.monotonic()))
        self.on_change()
