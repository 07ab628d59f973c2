"""Where requests and batch items go: the load of each engine, and what has room there."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from postvalve.clock import Clock
from postvalve.core.admission.engine_use import EngineUse, relaxed_slots
from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.randomness import RandomSource
from postvalve.core.routing.engine_choice import (
    AFFINITY_TOKENS,
    SAMPLE_SIZE,
    EngineChooser,
    EngineOption,
)
from postvalve.core.routing.engine_pace import UNIFORM
from postvalve.core.routing.latency_estimate import (
    EngineOccupancy,
    expected_first_event,
    expected_in_time,
)
from postvalve.events import EventLog
from postvalve.gateway.engines.engine_connections import ConnectionPool
from postvalve.gateway.fleet.listed_engines import ListedEngines
from postvalve.gateway.fleet.placement import ConsideredEngine, Placement
from postvalve.gateway.fleet.service_capacity import (
    UNIFORM_CAPACITY,
    MeasuredCapacity,
    ServiceCapacity,
)
from postvalve.gateway.interfaces import EngineEntry, RequestTerms
from postvalve.settings.routes import ServiceSpec

USABLE_MEMORY = 0.95
"""Share of an engine's memory that requests may fill by their own words."""
START_UNREAD = 2_500
"""Prompt tokens that an engine has to read up to which one more batch item starts there, so
that items which start after a heap don't hold online work up by reading their prompts."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An engine that may take an online request, as this node sees it now."""

    entry: EngineEntry
    option: EngineOption
    occupancy: EngineOccupancy


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
    candidates: list[_Candidate], pace: ServiceLatency, tokens: int, left: float
) -> list[EngineOption]:
    """Engines by which a request can be in time; else those with a free place; else all."""
    in_time = expected_in_time((one.occupancy for one in candidates), tokens, pace, left)
    found = [one.option for one, is_so in zip(candidates, in_time, strict=True) if is_so]
    if not found:
        found = [one.option for one in candidates if one.occupancy.has_capacity(pace)]
    return found or [one.option for one in candidates]


class EngineFleet(ListedEngines):
    """Engines of the directory, with the load and standing of each."""

    def __init__(
        self,
        zone: str,
        clock: Clock,
        events: EventLog,
        pool: ConnectionPool,
        generator: RandomSource,
    ) -> None:
        super().__init__(zone, clock, events, pool)
        self._chooser = EngineChooser(zone, generator)
        self._random = generator
        self.use = EngineUse()
        self.paces.count_requests = lambda life: self.use.total(life).total
        self.pause_aim: Callable[[str], float | None] = lambda service: None
        """Gives the seconds between events that callers of a service bear; None for no bound."""
        self.find_service: Callable[[str], ServiceSpec | None] = lambda name: None
        """Gives a service of the configuration in force."""
        self.watched: Callable[[], Collection[EngineLife]] = tuple
        """Gives the engines of which this node hears first what others send there."""
        self.on_change: Callable[[], None] = lambda: None
        """Called after a request was counted in or out."""
        self.on_placed: Callable[[EngineLife], None] = lambda life: None
        """Called after a request was counted in at an engine."""
        self.on_overload: Callable[[EngineLife], None] = lambda life: None
        """Called when an online request was sent to an engine where batch must give way."""

    def _memory_of(self, service: str) -> int:
        """Tokens that an engine of a service holds; 0 where it is not known."""
        spec = self.find_service(service)
        return spec.memory_tokens if spec is not None else 0

    def pace(self, service: str) -> ServiceLatency:
        """What this node has learnt of a service's engines."""
        return self.paces.service(service)

    def _rooms_of(self, service: str) -> ServiceCapacity:
        """The rooms of a service's engines as they are now."""
        if not self.paces.reports_pace(service):
            return UNIFORM_CAPACITY
        now = self._clock.monotonic()
        return MeasuredCapacity(
            service, self.paces, self.pace(service), self.pause_aim(service), now
        )

    def occupancies(self, service: str) -> list[EngineOccupancy]:
        """Load of each sound engine of a service; of all where none is sound."""
        entries = self._sound(self.engines(service))
        rooms = self._rooms_of(service)
        return [rooms.occupancy(entry, self.use.total(entry.life)) for entry in entries]

    def has_room(self, service: str) -> bool:
        """Whether a sound engine has a slot that no online work needs, or there is no engine.

        The answer that `rooms` would give too, by the first engine that has one.
        """
        entries = self.engines(service)
        rooms = self._rooms_of(service)
        any_sound = False
        for one in entries:
            if self._standings.is_suspect(one.life):
                continue
            any_sound = True
            if rooms.has_capacity(one, self.use.total(one.life)):
                return True
        # Where none is sound, all count.
        return not entries or (
            not any_sound
            and any(rooms.has_capacity(one, self.use.total(one.life)) for one in entries)
        )

    def spare_capacity(self, entry: EngineEntry) -> int:
        """Places of an engine that no online work has, as `rooms` tells them; below 0 where more
        run, or wait there, than it has places.
        """
        pace, count = self.pace(entry.service), self.use.total(entry.life)
        room = self._rooms_of(entry.service).occupancy(entry, count)
        return room.capacity(pace) - room.online

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
        pace, rooms = self.pace(service), self._rooms_of(service)
        candidates = [
            self._candidate(entry, memory, memory_tokens, rooms, terms.own_tokens)
            for entry in self._looked_at(service, terms, set(excluded))
        ]
        if not candidates:
            return None
        options = _timely(candidates, pace, terms.own_tokens, left)
        best = self._chooser.choose(options, terms.prefix_key, terms.shared_tokens, self.watched())
        chosen = next(one for one in candidates if one.option.life == best.life)
        unread = terms.own_tokens + best.shared_unread
        expected = expected_first_event(chosen.occupancy, unread, pace)
        placement = self._enter(chosen.entry, False, unread, memory)
        placement.expected = expected
        if rooms is not UNIFORM_CAPACITY:
            placement.considered = [
                ConsideredEngine(one.option.life, one.occupancy) for one in candidates
            ]
        if self.excess(best.life):
            self.on_overload(best.life)
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

    def _candidate(
        self,
        entry: EngineEntry,
        memory: int,
        memory_tokens: int,
        rooms: ServiceCapacity,
        tokens: int,
    ) -> _Candidate:
        count = self.use.total(entry.life)
        room = rooms.occupancy(entry, count)
        option = EngineOption(
            entry.life,
            entry.zone,
            entry.slots,
            room.online + count.batch,
            count.batch,
            count.unread,
            self._is_cold(entry.life),
            _memory_short(count.memory, memory, memory_tokens),
            0.0 if room.factors is UNIFORM else rooms.queue_penalty(room, tokens),
        )
        return _Candidate(entry, option, room)

    def batch_room(self, service: str, *, pressing: bool) -> int:
        """Batch items that the service's engines have room for now."""
        entries, rooms = self._batch_engines(service, pressing), self._rooms_of(service)
        return sum(max(0, self._room(entry, pressing, rooms)) for entry in entries)

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

    def _room(self, entry: EngineEntry, pressing: bool, rooms: ServiceCapacity) -> int:
        count = self.use.total(entry.life)
        if count.unread > START_UNREAD or self._standings.is_suspect(entry.life):
            return 0
        if not pressing and self._is_cold(entry.life):
            return 0
        places = rooms.capacity(entry, count)
        return self.use.batch_room(entry.life, places, pressing=pressing)

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
        known = self._rooms_of(service)
        held = self._held_factors(known)
        rooms = [
            (
                # One that has to start soon goes where it ends soon.
                self._room(entry, pressing, known) / (held(entry) if pressing else 1.0),
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
        drawn = self._random.sample(near, min(SAMPLE_SIZE, len(near)))
        chosen = max(drawn, key=lambda one: one[:3])[3]
        return self._enter(chosen, True, prompt, prompt + output)

    def _held_factors(self, rooms: ServiceCapacity) -> Callable[[EngineEntry], float]:
        """Gives how many times as long as usual each engine of a service holds a slot."""
        if rooms is UNIFORM_CAPACITY:
            return lambda entry: 1.0
        return lambda entry: rooms.occupancy(entry, self.use.total(entry.life)).factors.held

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

    def release(self, placement: Placement) -> None:
        """Count an attempt out."""
        self.use.leave(
            placement.engine.life,
            batch=placement.batch,
            unread=placement.unread,
            memory=placement.memory,
        )
        self.on_change()

    def record_prompt_read(self, placement: Placement) -> None:
        """An attempt's first token came: its prompt was read."""
        if placement.unread:
            self.use.record_prompt_read(placement.engine.life, placement.unread)
            placement.unread = 0
            self.on_change()
