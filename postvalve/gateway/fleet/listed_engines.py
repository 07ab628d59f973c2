"""Engines that the directory lists, with the health of each."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.known_facts import EngineVersions, VersionEvidence
from postvalve.events import Event, EventLog
from postvalve.exceptions import AttemptError, EngineUnconfirmedError, Verdict
from postvalve.gateway.engines.engine_connections import ConnectionPool
from postvalve.gateway.fleet.engine_health import EngineHealth
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.fleet.usable_engines import UsableEngines
from postvalve.gateway.interfaces import EngineEntry, EngineState

CONFIRM_TIMEOUT = 0.1
"""Seconds that a read of the directory may take before an engine goes on with what another began;
without an answer it does not."""
SETTLE_CHECK_INTERVAL = 0.1
"""Seconds between checks whether the directory is still unsettled."""


class ListedEngines:
    """Engines of the directory with their health, pace and warm-up state."""

    def __init__(self, zone: str, clock: Clock, events: EventLog, pool: ConnectionPool) -> None:
        self._zone = zone
        self._clock = clock
        self._events = events
        self._pool = pool
        self._engines: dict[EngineLife, EngineEntry] = {}
        self._usable: dict[tuple[str, str | None], UsableEngines] = {}
        """Engines that accept new work, by service and version (None for all versions); recomputed
        after each change."""
        self._updated = GeventEvent()
        """Set, and replaced by a new event, at each update from the directory."""
        self.directory_unsettled: Callable[[], bool] = bool
        """Returns whether there may be live engines that the directory does not list at present."""
        self.awaits_record: Callable[[EngineEntry], bool] = lambda entry: False
        """Returns whether an engine gets no new requests while engines of other versions serve."""
        self.read_directory: Callable[[float], bool] = lambda timeout: False
        """Waits, for some seconds at most, for a read of the directory that begins afterwards."""
        self.directory_age: Callable[[], float] = float
        """Returns the age of this node's copy of the directory in seconds."""
        self.versions = EngineVersions()
        """Versions by engine id, each with the moment up to which it is known."""
        self._health = EngineHealth(clock)
        self.paces = EnginePaces(clock, events)
        self._warm_at: dict[EngineLife, float] = {}
        """Monotonic seconds at which engines that announced a warm-up will have finished it."""

    def update(self, entries: Iterable[EngineEntry]) -> None:
        """Replace the list of engines by the directory's current entries."""
        engines = {entry.life: entry for entry in entries}
        for life, former in self._engines.items():
            if life not in engines:
                self._pool.drop(former.address)
                self._events.emit(
                    Event.ENGINE_GONE, engine=life, within=round(self.directory_age(), 3)
                )
        self._health.retain(engines)
        self._update_warm_up(engines)
        for life, entry in engines.items():
            known = self._engines.get(life)
            if known is None or known.state is not entry.state:
                self._events.emit(
                    Event.ENGINE_LISTED,
                    engine=life,
                    state=entry.state.value,
                    service=entry.service,
                    engine_zone=entry.zone,
                    version=entry.version,
                    within=round(self.directory_age(), 3),
                )
        self._engines = engines
        self.paces.retain({life: entry.service for life, entry in engines.items()})
        self._usable = {}
        updated, self._updated = self._updated, GeventEvent()
        updated.set()

    def _update_warm_up(self, engines: dict[EngineLife, EngineEntry]) -> None:
        now = self._clock.monotonic()
        known = {key: at for key, at in self._warm_at.items() if key in engines and at > now}
        for life, entry in engines.items():
            # An unchanged entry must not restart the warm-up.
            if entry.warm_in > 0 and entry != self._engines.get(life):
                known[life] = now + entry.warm_in
        self._warm_at = known

    def await_engines(self, service: str, timeout: float, version: str | None = None) -> bool:
        """Wait for an engine of a service if the directory may be about to list one.

        Args:
            service: Name of the service.
            timeout: Longest wait in seconds.
            version: Version that the engine must have; None for any.

        Returns:
            Whether the service has such an engine.
        """
        deadline = self._clock.monotonic() + timeout
        while not self.engines(service, version):
            left = deadline - self._clock.monotonic()
            if left <= 0 or not self.directory_unsettled():
                return False
            self._updated.wait(min(left, SETTLE_CHECK_INTERVAL))
        return True

    def engines(self, service: str, version: str | None = None) -> Sequence[EngineEntry]:
        """Return the engines of a service, or of one version, that accept new work.

        The list must not be modified.
        """
        return self._usable_of(service, version).all

    def _usable_of(self, service: str, version: str | None = None) -> UsableEngines:
        # Cached: a node with batch items asks for it some fifty times a second.
        found = self._usable.get((service, version))
        if found is None:
            entries = [
                entry
                for entry in self._engines.values()
                if entry.service == service
                and version in (None, entry.version)
                and self.takes_work(entry.life)
            ]
            if version is None:
                entries = [one for one in entries if not self.awaits_record(one)] or entries
            found = self._usable[service, version] = UsableEngines(entries, self._zone)
        return found

    def forget_usable(self) -> None:
        """Find the engines that accept new work again, as what is known of them has changed."""
        self._usable = {}

    def takes_work(self, life: EngineLife) -> bool:
        """Whether an engine is listed, is not leaving, and was not replaced."""
        entry = self._engines.get(life)
        return (
            entry is not None
            and entry.state is EngineState.READY
            and not self._health.is_replaced(life)
        )

    def evidence(self, entry: EngineEntry, answered_at: float) -> VersionEvidence:
        """Return what shows which version answered over a connection to an engine's address."""
        return VersionEvidence(self.versions.of(entry.engine_id, entry.version), answered_at)

    def await_proof(self, evidence: VersionEvidence, timeout: float) -> bool:
        """Return whether evidence is proven; reads the directory if this copy does not show it."""
        if not evidence.is_proven and not evidence.is_refuted:
            self.read_directory(timeout)
        return evidence.is_proven

    def check_may_continue(self, entry: EngineEntry, answered_at: float | None) -> None:
        """Check that an engine, to which a connection is open, has the version of its entry.

        It may have started again under its id, with another version, since its entry was read.

        Args:
            entry: The engine's entry.
            answered_at: Monotonic seconds of the first answer over the connection; None if it is
                new.

        Raises:
            EngineUnconfirmedError: No read of the directory shows it.
            AttemptError: The engine takes no work any more.
        """
        opened_at = answered_at if answered_at is not None else self._clock.monotonic()
        is_proven = self.await_proof(self.evidence(entry, opened_at), CONFIRM_TIMEOUT)
        if not self.takes_work(entry.life):
            raise AttemptError("the engine takes no work any more", Verdict.NOT_RUN)
        if not is_proven:
            raise EngineUnconfirmedError("the engine's version is not confirmed", Verdict.NOT_RUN)

    def ready_address(self, life: EngineLife) -> str | None:
        """Return the address of an engine that takes work; None for any other."""
        entry = self._engines.get(life)
        return entry.address if entry is not None and self.takes_work(life) else None

    def is_listed(self, life: EngineLife) -> bool:
        """Whether the directory lists this life of an engine, that is, this run of its process."""
        return life in self._engines

    def listed_engines(self) -> list[EngineEntry]:
        """Return all engines of the directory."""
        return list(self._engines.values())

    def state_of(self, entry: EngineEntry) -> str:
        """Return an engine's state as shown to operators."""
        if self._health.is_replaced(entry.life):
            return "replaced"
        return "suspect" if self._health.is_suspect(entry.life) else entry.state.value

    def _is_cold(self, life: EngineLife) -> bool:
        if not self._warm_at:
            return False
        return self._warm_at.get(life, 0.0) > self._clock.monotonic()

    def _healthy(self, entries: Sequence[EngineEntry]) -> Sequence[EngineEntry]:
        """Return the engines that are not suspect; all of them if each one is."""
        if not self._health.any_suspect:
            return entries
        return [one for one in entries if not self._health.is_suspect(one.life)] or entries

    def record_success(self, life: EngineLife) -> None:
        """Record a successful attempt."""
        self._health.record_success(life)

    def record_failure(self, life: EngineLife, reason: str, *, not_listening: bool = False) -> None:
        """Record an attempt that failed because of its engine; see `EngineHealth`."""
        pause = self._health.record_failure(life, not_listening=not_listening)
        self._events.emit(Event.ENGINE_SUSPECT, engine=life, seconds=pause, reason=reason)

    def record_replaced(self, life: EngineLife) -> None:
        """Record that another engine has answered at its address; it gets no more work."""
        self._health.record_replaced(life)
        self._usable = {}
        entry = self._engines.get(life)
        if entry is not None:
            self._pool.drop(entry.address)
        self._events.emit(Event.ENGINE_REPLACED, engine=life)
