"""Engines and other nodes as this node sees them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.admission.engine_use import EngineUse, UseCount, relaxed_slots
from postvalve.core.admission.holding import EngineRoom, expected_first
from postvalve.core.admission.service_pace import ServicePace
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.randomness import RandomSource
from postvalve.core.routing.engine_choice import (
    AFFINITY_TOKENS,
    DRAWN,
    EngineChooser,
    EngineOption,
)
from postvalve.events import Event, EventLog
from postvalve.gateway.engines.engine_connections import ConnectionPool
from postvalve.gateway.fleet.engine_standing import EngineStandings
from postvalve.gateway.fleet.usable_engines import UsableEngines
from postvalve.gateway.interfaces import EngineEntry, EngineState, RequestTerms
from postvalve.settings.routes import ServiceSpec

USABLE_MEMORY = 0.95
"""Share of an engine's memory that requests may fill by their own words."""
SETTLE_LOOK = 0.1
"""Seconds between looks whether the directory is still unsettled."""
START_UNREAD = 2_500
"""Prompt tokens that an engine has to read up to which one more batch item starts there, so
that items which start after a heap don't hold online work up by reading their prompts."""


@dataclass(slots=True)
class Placement:
    """An engine chosen for one attempt, counted as used until it is left."""

    engine: EngineEntry
    batch: bool
    online_seen: int = 0
    """Online requests of all nodes at the engine, as this node knew before."""
    batch_seen: int = 0
    """Batch items likewise."""
    unread_seen: int = 0
    """Prompt tokens that the engine had to read before, likewise."""
    unread: int = 0
    """Prompt tokens of this attempt; 0 once its first token came."""
    memory: int = 0
    """Tokens that this attempt may need in the engine's memory."""
    to_read: int = 0
    """Prompt tokens that the engine had to read until this attempt's first event."""
    expected: float = 0.0
    """Seconds to the first event, as this node expected."""

    @property
    def found_slot(self) -> bool:
        """Whether a slot was free, as far as this node knew."""
        return self.online_seen + self.batch_seen < self.engine.slots


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An engine that may take an online request, as this node sees it now."""

    entry: EngineEntry
    option: EngineOption
    room: EngineRoom


def _room_of(entry: EngineEntry, count: UseCount) -> EngineRoom:
    return EngineRoom(entry.slots, count.online, count.batch, count.unread)


def _memory_short(used: int, tokens: int, memory_tokens: int) -> int:
    """Tokens by which an engine's memory is too small for one more request.

    Args:
        used: Tokens that its requests may need.
        tokens: Those that this one may need.
        memory_tokens: The engine's memory; 0 where it is not known.
    """
    if not memory_tokens or not used:
        # Whether it takes a request that is larger than its memory is the engine's to say.
        return 0
    return max(0, used + tokens - int(memory_tokens * USABLE_MEMORY))


def _timely(
    candidates: list[_Candidate], pace: ServicePace, tokens: int, left: float
) -> list[EngineOption]:
    """Engines by which a request can be in time; else those with a free slot; else all."""
    timely = [
        one.option
        for one in candidates
        if pace.known and expected_first(one.room, tokens, pace) + pace.margin <= left
    ]
    free = [one.option for one in candidates if one.room.online < one.room.slots]
    return timely or free or [one.option for one in candidates]


class EngineFleet:
    """Engines of the directory, with the load and standing of each."""

    def __init__(
        self,
        zone: str,
        clock: Clock,
        events: EventLog,
        pool: ConnectionPool,
        generator: RandomSource,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._events = events
        self._pool = pool
        self._chooser = EngineChooser(zone, generator)
        self._random = generator
        self._engines: dict[EngineLife, EngineEntry] = {}
        self._usable: dict[str, UsableEngines] = {}
        """Those that take new work, by service; worked out anew after each change."""
        self._updated = GeventEvent()
        """Set, and replaced, when the directory was taken in."""
        self.directory_unsettled: Callable[[], bool] = bool
        """Tells whether engines may live that the directory does not list at the moment."""
        self.directory_age: Callable[[], float] = float
        """Gives the seconds of which this node does not know how the directory changed."""
        self._standings = EngineStandings(clock)
        self._warm_at: dict[EngineLife, float] = {}
        """Monotonic seconds at which engines that told to be cold are warm."""
        self.use = EngineUse()
        self._paces: dict[str, ServicePace] = {}
        self.service_named: Callable[[str], ServiceSpec | None] = lambda name: None
        """Gives a service of the configuration in force."""
        self.watched: Callable[[], Collection[EngineLife]] = tuple
        """Gives the engines of which this node hears first what others send there."""
        self.on_change: Callable[[], None] = lambda: None
        """Called after a request was counted in or out."""
        self.on_placed: Callable[[EngineLife], None] = lambda life: None
        """Called after a request was counted in at an engine."""
        self.on_crowded: Callable[[EngineLife], None] = lambda life: None
        """Called when an online request was sent to an engine where batch must give way."""

    def update(self, entries: Iterable[EngineEntry]) -> None:
        """Take the directory's present list in."""
        engines = {entry.life: entry for entry in entries}
        for life, former in self._engines.items():
            if life not in engines:
                self._pool.drop(former.address)
                self._events.emit(
                    Event.ENGINE_GONE, engine=life, within=round(self.directory_age(), 3)
                )
        self._standings.keep(engines)
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

    def _memory_of(self, service: str) -> int:
        """Tokens that an engine of a service holds; 0 where it is not known."""
        spec = self.service_named(service)
        return spec.memory_tokens if spec is not None else 0

    def _is_cold(self, life: EngineLife) -> bool:
        if not self._warm_at:
            return False
        return self._warm_at.get(life, 0.0) > self._clock.monotonic()

    def pace(self, service: str) -> ServicePace:
        """What this node has learnt of a service's engines."""
        return self._paces.setdefault(service, ServicePace())

    def rooms(self, service: str) -> list[EngineRoom]:
        """Load of each sound engine of a service; of all where none is sound."""
        entries = self._sound(self.engines(service))
        return [_room_of(entry, self.use.total(entry.life)) for entry in entries]

    def has_room(self, service: str) -> bool:
        """Whether a sound engine has a slot that no online work needs, or there is no engine.

        The answer that `rooms` would give too, by the first engine that has one.
        """
        entries = self.engines(service)
        any_sound = False
        for one in entries:
            if self._standings.is_suspect(one.life):
                continue
            any_sound = True
            if self._has_slot(one):
                return True
        # Where none is sound, all count.
        return not entries or (not any_sound and any(map(self._has_slot, entries)))

    def _has_slot(self, entry: EngineEntry) -> bool:
        return self.use.total(entry.life).online < entry.slots

    def _sound(self, entries: Sequence[EngineEntry]) -> Sequence[EngineEntry]:
        """Those that did not fail a moment ago; all where each of them did."""
        if not self._standings.any_suspect:
            return entries
        return [one for one in entries if not self._standings.is_suspect(one.life)] or entries

    def place_online(
        self, service: str, terms: RequestTerms, excluded: Iterable[EngineLife], left: float
    ) -> Placement | None:
        """Choose an engine for an online attempt and count it in.

        Args:
            service: Who serves it.
            terms: What the request's headers say.
            excluded: Engines that are passed over.
            left: Seconds within which its first event is in time.
        """
        memory = terms.shared_tokens + terms.own_tokens + terms.output_tokens
        memory_tokens = self._memory_of(service)
        candidates = [
            self._candidate(entry, memory, memory_tokens)
            for entry in self._looked_at(service, terms, set(excluded))
        ]
        if not candidates:
            return None
        pace = self.pace(service)
        options = _timely(candidates, pace, terms.own_tokens, left)
        best = self._chooser.choose(options, terms.prefix_key, terms.shared_tokens, self.watched())
        chosen = next(one for one in candidates if one.option.life == best.life)
        unread = terms.own_tokens + best.shared_unread
        expected = expected_first(chosen.room, unread, pace)
        placement = self._enter(chosen.entry, False, unread, memory)
        placement.expected = expected
        if self.excess(best.life):
            self.on_crowded(best.life)
        return placement

    def _looked_at(
        self, service: str, terms: RequestTerms, skipped: set[EngineLife]
    ) -> list[EngineEntry]:
        """Engines that a request may be sent to: sound ones, or all where none is."""
        usable = self._usable_of(service)
        shared = terms.prefix_key if terms.shared_tokens >= AFFINITY_TOKENS else ""
        drawn = usable.drawn(self._random, shared, self.watched())
        for entries in (drawn, usable.all):
            left = [one for one in entries if one.life not in skipped]
            # One that has just ended has nothing to do, and looks like the fastest one: 253 of
            # 2,358 failed attempts went there past a sound one without this, 106 of 2,242 with it.
            if sound := [one for one in left if not self._standings.is_suspect(one.life)]:
                return sound
        return left

    def place_at(
        self,
        service: str,
        terms: RequestTerms,
        excluded: Iterable[EngineLife],
        choose: Callable[[Iterable[EngineLife]], str | None],
    ) -> Placement | None:
        """Count an online attempt in at the engine that `choose` names among the sound ones."""
        skipped = set(excluded)
        entries = [one for one in self.engines(service) if one.life not in skipped]
        sound = self._sound(entries)
        chosen = choose(one.life for one in sound)
        entry = next((one for one in sound if one.life == chosen), None)
        if entry is None:
            return None
        unread = terms.shared_tokens + terms.own_tokens
        return self._enter(entry, False, unread, unread + terms.output_tokens)

    def _candidate(self, entry: EngineEntry, memory: int, memory_tokens: int) -> _Candidate:
        count = self.use.total(entry.life)
        option = EngineOption(
            entry.life,
            entry.zone,
            entry.slots,
            count.total,
            count.batch,
            count.unread,
            self._is_cold(entry.life),
            _memory_short(count.memory, memory, memory_tokens),
        )
        return _Candidate(entry, option, _room_of(entry, count))

    def batch_room(self, service: str, *, pressing: bool) -> int:
        """Batch items that the service's engines have room for now."""
        entries = self._batch_engines(service, pressing)
        return sum(max(0, self._room(entry, pressing)) for entry in entries)

    def relaxed_slots(self, service: str) -> int:
        """Slots that batch items which have time may take, free or not; one at the least."""
        entries = self._batch_engines(service, False)
        return max(1, sum(relaxed_slots(entry.slots) for entry in entries))

    def _batch_engines(self, service: str, pressing: bool) -> Sequence[EngineEntry]:
        """Engines where batch items may start.

        Those that have time stay in their zone while it has engines: nodes of other zones hear
        late of what starts there, and would fill them beyond their slots together.
        """
        usable = self._usable_of(service)
        if pressing:
            return usable.all
        sound = any(not self._standings.is_suspect(one.life) for one in usable.near)
        return usable.near if sound else usable.all

    def _room(self, entry: EngineEntry, pressing: bool) -> int:
        if self.use.total(entry.life).unread > START_UNREAD or self._standings.is_suspect(
            entry.life
        ):
            return 0
        if not pressing and self._is_cold(entry.life):
            return 0
        return self.use.batch_room(entry.life, entry.slots, pressing=pressing)

    def place_batch(
        self,
        service: str,
        prompt: int,
        output: int,
        excluded: Iterable[EngineLife],
        *,
        pressing: bool,
    ) -> Placement | None:
        """Choose an engine with room for a batch item and count it in.

        It is the better one of two that are drawn: nodes that take the best of one view all fill
        the same engine, and items that just began are cut there.

        Args:
            service: The item's service.
            prompt: Prompt tokens of the item.
            output: The most tokens that it may give.
            excluded: Engines that are passed over.
            pressing: Whether it has to start soon; else it leaves more room to online work.
        """
        skipped = set(excluded)
        memory_tokens = self._memory_of(service)
        rooms = [
            (
                self._room(entry, pressing),
                entry.zone == self._zone,
                self._random.uniform(0, 1),
                entry,
            )
            for entry in self._batch_engines(service, pressing)
            if entry.life not in skipped
            and not _memory_short(self.use.total(entry.life).memory, prompt + output, memory_tokens)
        ]
        free = [one for one in rooms if one[0] > 0]
        if not free:
            return None
        near = [one for one in free if one[1]] or free
        drawn = self._random.sample(near, min(DRAWN, len(near)))
        chosen = max(drawn, key=lambda one: one[:3])[3]
        return self._enter(chosen, True, prompt, prompt + output)

    def excess(self, life: EngineLife) -> int:
        """Batch items of all nodes that should give way at an engine."""
        entry = self._engines.get(life)
        if entry is None:
            return 0
        return self.use.excess(life, entry.slots)

    def _enter(self, entry: EngineEntry, batch: bool, unread: int, memory: int) -> Placement:
        seen = self.use.total(entry.life)
        placement = Placement(
            entry,
            batch,
            seen.online,
            seen.batch,
            seen.unread,
            unread,
            memory,
            to_read=seen.unread + unread,
        )
        self.use.enter(entry.life, batch=batch, unread=unread, memory=memory)
        self.on_change()
        self.on_placed(entry.life)
        return placement

    def leave(self, placement: Placement) -> None:
        """Count an attempt out."""
        self.use.leave(
            placement.engine.life,
            batch=placement.batch,
            unread=placement.unread,
            memory=placement.memory,
        )
        self.on_change()

    def note_read(self, placement: Placement) -> None:
        """An attempt's first token came: its prompt was read."""
        if placement.unread:
            self.use.note_read(placement.engine.life, placement.unread)
            placement.unread = 0
            self.on_change()

    def note_success(self, life: EngineLife) -> None:
        """An attempt went well."""
        self._standings.note_success(life)

    def note_failure(self, life: EngineLife, reason: str) -> None:
        """An attempt failed for a cause that lies at the engine."""
        pause = self._standings.note_failure(life)
        self._events.emit(Event.ENGINE_SUSPECT, engine=life, seconds=pause, reason=reason)

    def note_replaced(self, life: EngineLife) -> None:
        """Another engine lives at its address: it takes no more work."""
        self._standings.note_replaced(life)
        self._usable = {}
        entry = self._engines.get(life)
        if entry is not None:
            self._pool.drop(entry.address)
        self._events.emit(Event.ENGINE_REPLACED, engine=life)
