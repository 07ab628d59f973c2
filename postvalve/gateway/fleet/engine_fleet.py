"""Placement of online requests and batch items on engines, by the load of each engine."""

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

USABLE_MEMORY_SHARE = 0.95
"""Share of an engine's memory that requests may fill according to the tokens they announce."""
MAX_UNREAD_FOR_BATCH = 2_500
"""Most unread prompt tokens at an engine with which a batch item may still start there. After a
burst of online requests, many items that start at once would delay online work by prefilling."""


@dataclass(frozen=True, slots=True)
class BatchRoom:
    """Room for batch items at the engines where they may start; sums over these engines."""

    engines: int
    suspect: int
    """Engines that are avoided after a failure."""
    reading: int
    """Engines where no item may start, since they have too many prompt tokens to read."""
    slots: int
    capacity: int
    """Requests that may run at once."""
    online: int
    batch: int
    free: int
    """Batch items that may start now."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An engine that may take an online request, with its load as this node sees it."""

    entry: EngineEntry
    option: EngineOption
    occupancy: EngineOccupancy


def _memory_short(used: int, tokens: int, memory_tokens: int) -> int:
    """Return the tokens by which an engine's memory is too small for one more request.

    Args:
        used: Tokens that the engine's current requests may need.
        tokens: Tokens that the new request may need.
        memory_tokens: Size of the engine's memory; 0 if it is unknown.
    """
    if not memory_tokens or not used:
        # An idle engine decides itself whether it accepts a request larger than its memory.
        return 0
    return max(0, used + tokens - int(memory_tokens * USABLE_MEMORY_SHARE))


def _options_in_time(
    candidates: list[_Candidate], pace: ServiceLatency, tokens: int, left: float
) -> list[EngineOption]:
    """Return the engines that are expected to be in time; else those with capacity; else all."""
    in_time = expected_in_time((one.occupancy for one in candidates), tokens, pace, left)
    found = [one.option for one, is_so in zip(candidates, in_time, strict=True) if is_so]
    if not found:
        found = [one.option for one in candidates if one.occupancy.has_capacity(pace)]
    return found or [one.option for one in candidates]


class EngineFleet(ListedEngines):
    """Engines of the directory with the load and health of each; places requests on them."""

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
        """Returns the longest acceptable pause between events for a service; None for no bound."""
        self.find_service: Callable[[str], ServiceSpec | None] = lambda name: None
        """Returns a service of the configuration in force by its name."""
        self.watched: Callable[[], Collection[EngineLife]] = tuple
        """Returns the engines watched by this node, to which peers report new requests at once."""
        self.on_change: Callable[[], None] = lambda: None
        """Called after a request was added to or removed from the counts."""
        self.on_placed: Callable[[EngineLife], None] = lambda life: None
        """Called after a request was placed on an engine."""
        self.on_overload: Callable[[EngineLife], None] = lambda life: None
        """Called when an online request was placed on an engine where batch must be preempted."""

    def _memory_of(self, service: str) -> int:
        """Return the memory of a service's engines in tokens; 0 if it is unknown."""
        spec = self.find_service(service)
        return spec.memory_tokens if spec is not None else 0

    def pace(self, service: str) -> ServiceLatency:
        """Return the latency estimates of a service's engines."""
        return self.paces.service(service)

    def _capacity_of(self, service: str) -> ServiceCapacity:
        """Return the capacity model of a service's engines for the present moment."""
        if not self.paces.reports_pace(service):
            return UNIFORM_CAPACITY
        now = self._clock.monotonic()
        pause_aim = self.pause_aim(service) if self.paces.knows_pauses(service, now) else None
        return MeasuredCapacity(service, self.paces, self.pace(service), pause_aim, now)

    def occupancies(self, service: str, version: str | None = None) -> list[EngineOccupancy]:
        """Return the load of each healthy engine of a service, or of one version of it.

        If none is healthy, all of them count.
        """
        entries = self._healthy(self.engines(service, version))
        capacity_model = self._capacity_of(service)
        return [capacity_model.occupancy(entry, self.use.total(entry.life)) for entry in entries]

    def has_capacity(
        self, service: str, version: str | None = None, besides: EngineLife | None = None
    ) -> bool:
        """Whether a healthy engine has a slot without online work, or no engine is listed.

        Agrees with `occupancies`, but stops at the first such engine.

        Args:
            service: The service.
            version: Version that the engine must have; None for any.
            besides: An engine that does not count, and neither does its absence.
        """
        entries = self.engines(service, version)
        if besides is not None:
            entries = [one for one in entries if one.life != besides]
            if not entries:
                return False
        capacity_model = self._capacity_of(service)
        any_healthy = False
        for one in entries:
            if self._health.is_suspect(one.life):
                continue
            any_healthy = True
            if capacity_model.has_capacity(one, self.use.total(one.life)):
                return True
        # If no engine is healthy, all of them count.
        return not entries or (
            not any_healthy
            and any(capacity_model.has_capacity(one, self.use.total(one.life)) for one in entries)
        )

    def spare_capacity(self, entry: EngineEntry) -> int:
        """Return the capacity of an engine that online work does not use.

        Negative if more online requests run or wait there than the engine has capacity for.
        """
        pace, count = self.pace(entry.service), self.use.total(entry.life)
        occupancy = self._capacity_of(entry.service).occupancy(entry, count)
        return occupancy.capacity(pace) - occupancy.online

    def place_online(
        self,
        service: str,
        terms: RequestTerms,
        excluded: Iterable[EngineLife],
        left: float,
        version: str | None = None,
    ) -> Placement | None:
        """Choose an engine for an online attempt and add the attempt to its counts.

        Args:
            service: Service that the request is routed to.
            terms: Parameters from the request's headers.
            excluded: Engines that must not be chosen.
            left: Seconds within which the first event is in time.
            version: Version that the engine must have; None for any.

        Returns:
            The placement; None if no engine is left.
        """
        memory = terms.shared_tokens + terms.own_tokens + terms.output_tokens
        memory_tokens = self._memory_of(service)
        pace, capacity_model = self.pace(service), self._capacity_of(service)
        candidates = [
            self._candidate(entry, memory, memory_tokens, capacity_model, terms.own_tokens)
            for entry in self._eligible_engines(service, version, terms, set(excluded))
        ]
        if not candidates:
            return None
        options = _options_in_time(candidates, pace, terms.own_tokens, left)
        best = self._chooser.choose(options, terms.prefix_key, terms.shared_tokens, self.watched())
        chosen = next(one for one in candidates if one.option.life == best.life)
        unread = terms.own_tokens + best.shared_unread
        expected = expected_first_event(chosen.occupancy, unread, pace)
        placement = self._add(chosen.entry, False, unread, memory)
        placement.expected = expected
        if capacity_model is not UNIFORM_CAPACITY:
            placement.considered = [
                ConsideredEngine(one.option.life, one.occupancy) for one in candidates
            ]
        if self.excess(best.life):
            self.on_overload(best.life)
        return placement

    def _eligible_engines(
        self, service: str, version: str | None, terms: RequestTerms, skipped: set[EngineLife]
    ) -> list[EngineEntry]:
        """Return the engines that a request may be sent to: healthy ones, else all."""
        usable = self._usable_of(service, version)
        shared = terms.prefix_key if terms.shared_tokens >= AFFINITY_TOKENS else ""
        drawn = usable.request_candidates(self._random, shared, self.watched())
        for entries in (drawn, usable.all):
            left = [one for one in entries if one.life not in skipped]
            # An engine that has just crashed is idle and looks like the fastest one. Without this
            # check 253 of 2,358 failed attempts went to such an engine although a healthy one was
            # known, with it 106 of 2,242.
            if healthy := [one for one in left if not self._health.is_suspect(one.life)]:
                return healthy
        return left

    def place_at(
        self,
        service: str,
        terms: RequestTerms,
        excluded: Iterable[EngineLife],
        choose: Callable[[Iterable[EngineLife]], str | None],
        version: str | None = None,
    ) -> Placement | None:
        """Place an online attempt on the engine that `choose` selects among the healthy ones."""
        skipped = set(excluded)
        entries = [one for one in self.engines(service, version) if one.life not in skipped]
        healthy = self._healthy(entries)
        chosen = choose(one.life for one in healthy)
        entry = next((one for one in healthy if one.life == chosen), None)
        if entry is None:
            return None
        unread = terms.shared_tokens + terms.own_tokens
        return self._add(entry, False, unread, unread + terms.output_tokens)

    def _candidate(
        self,
        entry: EngineEntry,
        memory: int,
        memory_tokens: int,
        capacity_model: ServiceCapacity,
        tokens: int,
    ) -> _Candidate:
        count = self.use.total(entry.life)
        occupancy = capacity_model.occupancy(entry, count)
        option = EngineOption(
            entry.life,
            entry.zone,
            entry.slots,
            occupancy.online + count.batch,
            count.batch,
            count.unread,
            self._is_cold(entry.life),
            _memory_short(count.memory, memory, memory_tokens),
            0.0
            if occupancy.factors is UNIFORM
            else capacity_model.queue_penalty(occupancy, tokens),
        )
        return _Candidate(entry, option, occupancy)

    def batch_capacity(self, service: str, *, pressing: bool, version: str | None = None) -> int:
        """Return the number of batch items that may start now on a service's engines, or on those
        of one version."""
        entries = self._batch_engines(service, pressing, version)
        capacity_model = self._capacity_of(service)
        return sum(
            max(0, self._batch_room_at(entry, pressing, False, capacity_model)) for entry in entries
        )

    def engines_with_batch_room(
        self, service: str, *, pressing: bool, overdue: bool = False
    ) -> dict[EngineLife, int]:
        """Return the engines of a service where a batch item may start now, those of this node's
        zone first, and the number of batch items that run at each."""
        capacity_model = self._capacity_of(service)
        found = [
            entry
            for entry in self._batch_engines(service, pressing or overdue)
            if self._batch_room_at(entry, pressing, overdue, capacity_model) > 0
        ]
        found.sort(key=lambda entry: entry.zone != self._zone)
        return {entry.life: self.use.total(entry.life).batch for entry in found}

    def batch_room(self, service: str, *, pressing: bool) -> BatchRoom:
        """Return the room for batch items at a service's engines, and what it is made of."""
        entries, capacity_model = self._batch_engines(service, pressing), self._capacity_of(service)
        counts = [self.use.total(entry.life) for entry in entries]
        capacities = map(capacity_model.capacity, entries, counts)
        return BatchRoom(
            engines=len(entries),
            suspect=sum(self._health.is_suspect(entry.life) for entry in entries),
            reading=sum(count.unread > MAX_UNREAD_FOR_BATCH for count in counts),
            slots=sum(entry.slots for entry in entries),
            capacity=sum(capacities),
            online=sum(count.online for count in counts),
            batch=sum(count.batch for count in counts),
            free=self.batch_capacity(service, pressing=pressing),
        )

    def relaxed_slots(self, service: str) -> int:
        """Return the slots, free or not, that non-urgent batch items may take; at least one."""
        entries = self._batch_engines(service, False)
        return max(1, sum(relaxed_slots(entry.slots) for entry in entries))

    def _batch_engines(
        self, service: str, anywhere: bool, version: str | None = None
    ) -> Sequence[EngineEntry]:
        """Return the engines where batch items may start, of one version if it is given.

        Non-urgent items stay in their zone while it has healthy engines: nodes of other zones
        learn late of what starts there, and together they would overfill the slots.
        """
        usable = self._usable_of(service, version)
        if anywhere:
            return usable.all
        healthy = any(not self._health.is_suspect(one.life) for one in usable.near)
        return usable.near if healthy else usable.all

    def _batch_room_at(
        self, entry: EngineEntry, pressing: bool, overdue: bool, capacity_model: ServiceCapacity
    ) -> int:
        count = self.use.total(entry.life)
        if count.unread > MAX_UNREAD_FOR_BATCH or self._health.is_suspect(entry.life):
            return 0
        if not pressing and self._is_cold(entry.life):
            return 0
        spare = self.use.spare_slots(entry.life, entry.slots)
        if overdue:
            return spare
        measured = self._measured_room_at(entry, pressing, capacity_model)
        return max(measured, spare) if pressing else measured

    def _measured_room_at(
        self, entry: EngineEntry, pressing: bool, capacity_model: ServiceCapacity
    ) -> int:
        """Return the batch items that may start within an engine's measured capacity."""
        slots = capacity_model.capacity(entry, self.use.total(entry.life))
        return self.use.batch_capacity(entry.life, slots, pressing=pressing)

    def place_batch(
        self,
        service: str,
        prompt: int,
        output: int,
        excluded: Iterable[EngineLife],
        *,
        pressing: bool,
        overdue: bool = False,
        version: str | None = None,
    ) -> Placement | None:
        """Choose an engine with capacity for a batch item and add the item to its counts.

        Takes the best of a small random sample of the engines. If all nodes took the best engine
        of the same view they would overfill it, and items that have just started would be
        preempted there.

        Args:
            service: Service that the item is routed to.
            prompt: Prompt tokens of the item.
            output: Most tokens that the item may generate.
            excluded: Engines that must not be chosen.
            pressing: Whether the item must start soon; otherwise it leaves more slots to online
                work.
            overdue: Whether the item may start at any engine below half of its slots, since it is
                overdue and its zone has no room.
            version: Version that the engine must have; None for any.

        Returns:
            The placement; None if no engine has capacity.
        """
        skipped = set(excluded)
        memory_tokens = self._memory_of(service)
        capacity_model = self._capacity_of(service)
        slot_time_factor = self._slot_time_factors(capacity_model)
        ranked = [
            (
                # An urgent item prefers engines where it ends soon.
                self._batch_room_at(entry, pressing, overdue, capacity_model)
                / (slot_time_factor(entry) if pressing else 1.0),
                entry.zone == self._zone,
                self._random.uniform(0, 1),
                entry,
            )
            for entry in self._batch_engines(service, pressing or overdue, version)
            if entry.life not in skipped
            and not _memory_short(self.use.total(entry.life).memory, prompt + output, memory_tokens)
        ]
        free = [one for one in ranked if one[0] > 0]
        if not free:
            return None
        if (pressing or overdue) and capacity_model is not UNIFORM_CAPACITY:
            # An engine beyond its measured capacity may be slow at this moment.
            free = [
                one for one in free if self._measured_room_at(one[3], True, capacity_model) > 0
            ] or free
        near = [one for one in free if one[1]] or free
        drawn = self._random.sample(near, min(SAMPLE_SIZE, len(near)))
        chosen = max(drawn, key=lambda one: one[:3])[3]
        return self._add(chosen, True, prompt, prompt + output)

    def _slot_time_factors(self, capacity_model: ServiceCapacity) -> Callable[[EngineEntry], float]:
        """Return a function that gives an engine's slot time relative to the service's average."""
        if capacity_model is UNIFORM_CAPACITY:
            return lambda entry: 1.0
        return lambda entry: (
            capacity_model.occupancy(entry, self.use.total(entry.life)).factors.held
        )

    def excess(self, life: EngineLife) -> int:
        """Return the number of batch items, of all nodes, that should be preempted at an engine."""
        entry = self._engines.get(life)
        if entry is None:
            return 0
        return self.use.excess(life, entry.slots)

    def _add(self, entry: EngineEntry, batch: bool, unread: int, memory: int) -> Placement:
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
        """Remove an attempt from its engine's counts."""
        self.use.leave(
            placement.engine.life,
            batch=placement.batch,
            unread=placement.unread,
            memory=placement.memory,
        )
        self.on_change()

    def record_prompt_read(self, placement: Placement) -> None:
        """Record an attempt's first token: its prompt is no longer counted as unread."""
        if placement.unread:
            self.use.record_prompt_read(placement.engine.life, placement.unread)
            placement.unread = 0
            self.on_change()
