"""Engines as the directory lists them, and how each behaved towards this node."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.membership.engine_life import EngineLife
from postvalve.events import Event, EventLog
from postvalve.gateway.engines.engine_connections import ConnectionPool
from postvalve.gateway.fleet.engine_health import EngineHealth
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.fleet.usable_engines import UsableEngines
from postvalve.gateway.interfaces import EngineEntry, EngineState

SETTLE_LOOK = 0.1
"""Seconds between looks whether the directory is still unsettled."""


class ListedEngines:
    """Engines of the directory, and the standing of each."""

    def __init__(self, zone: str, clock: Clock, events: EventLog, pool: ConnectionPool) -> None:
        self._zone = zone
        self._clock = clock
        self._events = events
        self._pool = pool
        self._engines: dict[EngineLife, EngineEntry] = {}
        self._usable: dict[str, UsableEngines] = {}
        """Those that take new work, by service; worked out anew after each change."""
        self._updated = GeventEvent()
        """Set, and replaced, when the directory was taken in."""
        self.directory_unsettled: Callable[[], bool] = bool
        """Tells whether engines may live that the directory does not list at the moment."""
        self.directory_age: Callable[[], float] = float
        """Gives the seconds of which this node does not know how the directory changed."""
        self._standings = EngineHealth(clock)
        self.paces = EnginePaces(clock, events)
        self._warm_at: dict[EngineLife, float] = {}
        """Monotonic seconds at which engines that told to be cold are warm."""

    def update(self, entries: Iterable[EngineEntry]) -> None:
        """Take the directory's present list in."""
        engines = {entry.life: entry for entry in entries}
        for life, former in self._engines.items():
            if life not in engines:
                self._pool.drop(former.address)
                self._events.emit(
                    Event.ENGINE_GONE, engine=life, within=round(self.directory_age(), 3)
                )
        self._standings.retain(engines)
        self._note_cold(engines)
        for life, entry in engines.items():
            known = self._engines.get(life)
            if known is None or known.state is not entry.state:
                self._events.emit(
                    Event.ENGINE_LISTED,
                    engine=life,
                    state=entry.state.value,
                    service=entry.service,
                    engine_zone=entry.zone,
                    within=round(self.directory_age(), 3),
                )
        self._engines = engines
        self.paces.retain({life: entry.service for life, entry in engines.items()})
        self._usable = {}
        updated, self._updated = self._updated, GeventEvent()
        updated.set()

    def _note_cold(self, engines: dict[EngineLife, EngineEntry]) -> None:
        now = self._clock.monotonic()
        known = {key: at for key, at in self._warm_at.items() if key in engines and at > now}
        for life, entry in engines.items():
            # An entry that stands as it was told nothing new.
            if entry.warm_in > 0 and entry != self._engines.get(life):
                known[life] = now + entry.warm_in
        self._warm_at = known

    def await_engines(self, service: str, patience: float) -> bool:
        """Wait for an engine of a service where the directory may be about to list one.

        Args:
            service: The service.
            patience: Seconds.

        Returns:
            Whether there is one.
        """
        deadline = self._clock.monotonic() + patience
        while not self.engines(service):
            left = deadline - self._clock.monotonic()
            if left <= 0 or not self.directory_unsettled():
                return False
            self._updated.wait(min(left, SETTLE_LOOK))
        return True

    def engines(self, service: str) -> Sequence[EngineEntry]:
        """Engines of a service that take new work; callers only read the list."""
        return self._usable_of(service).all

    def _usable_of(self, service: str) -> UsableEngines:
        # Asked for at each look for room: some fifty times a second at a node with batch items.
        found = self._usable.get(service)
        if found is None:
            entries = [
                entry
                for entry in self._engines.values()
                if entry.service == service and self.takes_work(entry.life)
            ]
            found = self._usable[service] = UsableEngines(entries, self._zone)
        return found

    def takes_work(self, life: EngineLife) -> bool:
        """Whether an engine is listed, does not leave, and was not replaced."""
        entry = self._engines.get(life)
        return (
            entry is not None
            and entry.state is EngineState.READY
            and not self._standings.is_replaced(life)
        )

    def is_listed(self, life: EngineLife) -> bool:
        """Whether the directory lists this life of an engine."""
        return life in self._engines

    def listed_engines(self) -> list[EngineEntry]:
        """All engines of the directory."""
        return list(self._engines.values())

    def state_of(self, entry: EngineEntry) -> str:
        """An engine's state in one word, for operators."""
        if self._standings.is_replaced(entry.life):
            return "replaced"
        return "suspect" if self._standings.is_suspect(entry.life) else entry.state.value

    def _is_cold(self, life: EngineLife) -> bool:
        if not self._warm_at:
            return False
        return self._warm_at.get(life, 0.0) > self._clock.monotonic()

    def _sound(self, entries: Sequence[EngineEntry]) -> Sequence[EngineEntry]:
        """Those that did not fail a moment ago; all where each of them did."""
        if not self._standings.any_suspect:
            return entries
        return [one for one in entries if not self._standings.is_suspect(one.life)] or entries

    def record_success(self, life: EngineLife) -> None:
        """An attempt went well."""
        self._standings.record_success(life)

    def record_failure(self, life: EngineLife, reason: str) -> None:
        """An attempt failed for a cause that lies at the engine."""
        pause = self._standings.record_failure(life)
        self._events.emit(Event.ENGINE_SUSPECT, engine=life, seconds=pause, reason=reason)

    def record_replaced(self, life: EngineLife) -> None:
        """Another engine lives at its address: it takes no more work."""
        self._standings.record_replaced(life)
        self._usable = {}
        entry = self._engines.get(life)
        if entry is not None:
            self._pool.drop(entry.address)
        self._events.emit(Event.ENGINE_REPLACED, engine=life)
