"""Follows the topic of the engine directory and passes its entries to the fleet."""

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
"""Seconds for which a read of the directory waits for changes. A connection that stops responding
is detected that much later, and on the smallest deployments engines drain for only 2 s."""
READ_PAUSE = 0.3
"""Seconds between such reads, so that one read returns several changes."""
CATCH_UP_DELAY = READ_PAUSE + 0.1
"""Seconds for which the pending read may still return entries that a peer already has."""
MAX_UNREADABLE_LOGGED = 3
"""Most unreadable entries logged one by one for each read."""
MAX_BORN_AHEAD = 24 * 3600.0
"""Seconds by which an engine's start may be ahead of this node's time of day. A start far ahead is
no engine's, and would make all its later lives former ones."""
MIN_EXPIRY_INTERVAL = 0.01
"""Least seconds between checks for retained entries that have expired."""

DirectoryParser = Callable[[KeyedRecord], EngineEntry | None]
"""Parses one entry of the directory; returns None if it is unreadable."""


class DirectoryReader:
    """This node's copy of the engine directory."""

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
        self._is_catching_up = False
        self._in_snapshot = False
        """Whether a snapshot is being processed."""
        self.on_change: Callable[[], None] = lambda: None
        """Called after the fleet has been updated."""
        self.on_listed: Callable[[EngineEntry], None] = lambda entry: None
        """Called with each entry that is read, before the update, and even if it is gone again."""
        self.on_snapshot: Callable[[], None] = lambda: None
        """Called before a snapshot is processed: entries may have come and gone unread."""
        self.follower = TopicFollower(
            topics, clock, events, topic, self._observe, wait=READ_WAIT, pause=READ_PAUSE
        )
        self.follower.on_lost = self._entries.store_lost
        self.follower.on_regained = self._store_regained
        fleet.directory_unsettled = lambda: self._entries.unsettled(clock.monotonic())
        fleet.directory_age = lambda: self.follower.age
        fleet.versions.read_up_to = self._read_up_to

    def run(self) -> None:
        """Follow the directory; never returns."""
        self.follower.run()

    @property
    def store_unreachable(self) -> bool:
        """Whether neither this node nor any peer that it hears has read the directory lately."""
        return self._shared.unavailable

    def state(self) -> DirectoryState | None:
        """Return the directory state for load reports; None before the directory was first read."""
        if not self.follower.loaded:
            return None
        return DirectoryState(self.follower.next_offset, milliseconds(self.follower.age))

    def update_age(self) -> None:
        """Record the age of this node's copy; called a few times a second."""
        self._record_fresh(self.follower.fresh_at)

    def receive(self, state: DirectoryState, peer: str) -> None:
        """Record the age of a peer's copy; start an extra read if the peer is ahead."""
        self._record_fresh(self._clock.monotonic() - state.age_ms / 1000)
        behind = self.follower.loaded and self.follower.next_offset < state.offset
        if behind and not self._is_catching_up:
            self._is_catching_up = True
            gevent.spawn_later(CATCH_UP_DELAY, self._catch_up, state.offset, peer)

    def _catch_up(self, offset: int, peer: str) -> None:
        """Read beside the pending read, unless that has caught up with the peer meanwhile."""
        known, error = self.follower.next_offset, ""
        try:
            if known >= offset:
                return
            self.follower.catch_up()
        except PlatformError as exc:
            error = exc.message
        finally:
            self._is_catching_up = False
        self._events.emit(
            Event.DIRECTORY_BEHIND, peer=peer, offset=offset, known=known, error=error
        )

    def _record_fresh(self, fresh_at: float) -> None:
        now = self._clock.monotonic()
        was_unavailable = self._shared.unavailable
        self._shared.record(fresh_at, now)
        if was_unavailable and not self._shared.unavailable:
            self._events.emit(Event.STORE_WAS_AWAY, back=round(now - self._shared.returned_at, 3))

    def _store_regained(self) -> None:
        """Handle the first answer of the store after an outage."""
        self._record_fresh(self.follower.answered_start)
        self._entries.store_back(self._clock.monotonic())

    def log_if_stale(self) -> None:
        """Log, once for each outage, that this node's copy of the directory is stale."""
        self.follower.log_if_stale()

    def _observe(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        if is_snapshot:
            self.on_snapshot()
        self._in_snapshot = is_snapshot
        try:
            changes = self._entries_of(records, is_snapshot)
        finally:
            self._in_snapshot = False
        missing = self._entries.observe(changes, is_snapshot, self._clock.monotonic())
        if missing:
            self._events.emit(
                Event.ENGINES_LAPSED,
                engines=missing,
                seconds=round(self._entries.seconds_to_expiry(self._clock.monotonic()) or 0.0, 3),
                age=round(self.follower.age, 3),
            )
            gevent.spawn(self._drop_lapsed)
        self._update_fleet()

    def _read_up_to(self) -> float:
        """Return the moment up to which all entries are known, without the read being processed."""
        follower = self.follower
        return follower.fresh_before_snapshot if self._in_snapshot else follower.fresh_at

    def _entries_of(
        self, records: Sequence[KeyedRecord], is_snapshot: bool
    ) -> list[tuple[str, EngineEntry | None]]:
        """Return engine id and entry of each record; unusable ones are logged.

        These are unreadable entries, and entries that an engine wrote before it was restarted.
        """
        found: list[tuple[str, EngineEntry | None]] = []
        unreadable: list[KeyedRecord] = []
        for record in records:
            entry = self._parse_plausible(record) if record.value else None
            if record.value and entry is None:
                unreadable.append(record)
            if entry is not None:
                self.on_listed(entry)
                self._fleet.versions.observe(
                    entry.life,
                    entry.service,
                    entry.version,
                    self._clock.monotonic(),
                    is_snapshot=is_snapshot,
                )
            if entry is not None and not self._lives.admits(entry.life):
                self._events.emit(Event.ENGINE_FORMER_LIFE, engine=entry.life)
                entry = self._present_entry(entry)
            found.append((record.key, entry))
        for record in unreadable[:MAX_UNREADABLE_LOGGED]:
            self._events.emit(
                Event.ENGINE_UNREADABLE,
                engine=record.key,
                entry=repr(record.value[:200]),
                others=len(unreadable) - 1,
            )
        return found

    def _present_entry(self, former: EngineEntry) -> EngineEntry | None:
        """Return the entry that is kept in place of one of a former life.

        With another version it may as well be the present life, after its clock was set back: then
        nobody knows which version serves, and the engine is not used.
        """
        listed = self._entries.listed(former.engine_id)
        return listed if listed is not None and listed.version == former.version else None

    def _parse_plausible(self, record: KeyedRecord) -> EngineEntry | None:
        entry = self._parse(record)
        latest = milliseconds(self._clock.wall() + MAX_BORN_AHEAD)
        return entry if entry is not None and entry.life.born <= latest else None

    def _drop_lapsed(self) -> None:
        """Drop each retained entry that was not listed again before it expires.

        The event loop's timers start from a cached time that is some milliseconds old and may fire
        that much too early, so a single check after `LAPSED_ENTRY_RETENTION` might find the entry
        still valid.
        """
        while (left := self._entries.seconds_to_expiry(self._clock.monotonic())) is not None:
            gevent.sleep(max(MIN_EXPIRY_INTERVAL, left))
            self._update_fleet()

    def _update_fleet(self) -> None:
        self._fleet.update(self._entries.entries(self._clock.monotonic()))
        self.on_change()
