"""What an engine is expected to take for one more request: one answer, in seconds, for all who ask.

Whether there is room, whether a request will be in time, who waits and where it goes follow from
the same sums: the service's pace, the engine's factors to it, and its load. An engine without
factors is taken by the service's pace alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.routing.engine_pace import UNIFORM, PaceFactors

PREEMPTION_TIME = 0.15
"""Seconds until batch items have left the slots that online work needs."""


@dataclass(slots=True)
class EngineOccupancy:
    """An engine's load as this node sees it."""

    slots: int
    online: int
    batch: int
    unread: int
    """Prompt tokens that it must read before those of another request."""
    factors: PaceFactors = UNIFORM
    """How much longer than usual for its service it takes now."""
    pause_aim: float | None = None
    """Seconds between events that callers bear; None where nobody says."""
    _places: int = -1
    """Its places, once they were worked out."""

    def capacity(self, pace: ServiceLatency) -> int:
        """Requests that may run there within the pauses that callers bear, one at least."""
        if self.factors is UNIFORM or self.pause_aim is None:
            return self.slots
        if self._places < 0:
            self._places = capacity_within(self.slots, pace, self.factors.pause, self.pause_aim)
        return self._places

    def has_capacity(self, pace: ServiceLatency) -> bool:
        """Whether there is a place that no online work needs."""
        return self.online < self.capacity(pace)


def capacity_within(slots: int, pace: ServiceLatency, factor: float, pause_aim: float) -> int:
    """Requests of which none is expected to see a pause above `pause_aim`; one at the least.

    A slow engine takes what it can bear, so that it is never left without work, and is seen to be
    well again.
    """
    if pace.longest_pause(slots) * factor <= pause_aim:
        return slots
    for running in range(slots - 1, 1, -1):
        if pace.longest_pause(running) * factor <= pause_aim:
            return running
    return 1


def queue_delay_per_place(room: EngineOccupancy, pace: ServiceLatency) -> float:
    """Seconds for each place in an engine's queue."""
    return pace.queue_delay_per_place(room.capacity(pace)) * room.factors.held


def queue_wait(room: EngineOccupancy, pace: ServiceLatency) -> float:
    """Seconds until an engine has a slot for one more online request."""
    total = room.online + room.batch
    places = room.slots if room.pause_aim is None else room.capacity(pace)
    if total < places:
        return 0.0
    by_slots = queue_delay_per_place(room, pace)
    if room.online < places:
        return min(PREEMPTION_TIME, (total - places + 1) * by_slots)
    return (room.online - places + 1) * by_slots


def expected_first_event(room: EngineOccupancy, tokens: int, pace: ServiceLatency) -> float:
    """Seconds to the first event of a request with so many prompt tokens."""
    return queue_wait(room, pace) + pace.first_event(room.unread + tokens) * room.factors.first


def expected_in_time(
    rooms: Iterable[EngineOccupancy], tokens: int, pace: ServiceLatency, left: float
) -> Iterator[bool]:
    """Whether a request's first event is expected within `left` seconds, for each engine."""
    known, margin = pace.known, pace.margin
    return (known and expected_first_event(room, tokens, pace) + margin <= left for room in rooms)


def any_has_capacity(rooms: Iterable[EngineOccupancy], pace: ServiceLatency) -> bool:
    """Whether any engine has a place that no online work needs."""
    return any(room.has_capacity(pace) for room in rooms)


def least_loaded(rooms: Sequence[EngineOccupancy], pace: ServiceLatency) -> EngineOccupancy:
    """The engine with the least online work for its places."""
    return min(rooms, key=lambda room: room.online / max(1, room.capacity(pace)))


def queue_penalty(room: EngineOccupancy, tokens: int, pace: ServiceLatency) -> float:
    """How much worse than an even engine of the same load one is, in places of a queue.

    Counts what the request waits longer for its first event, and what the next one waits longer for
    its slot, as likely as the engine is full. One place is what an engine of the service needs to
    come free of one request, so this can be held against other reasons to go elsewhere; 0 for an
    even engine, below 0 for one that is faster.
    """
    if room.factors is UNIFORM or not pace.known:
        return 0.0
    even = EngineOccupancy(room.slots, room.online, room.batch, room.unread)
    step = pace.queue_delay_per_place(room.slots)
    if step <= 0:
        return 0.0
    own = (
        expected_first_event(room, tokens, pace) - expected_first_event(even, tokens, pace)
    ) / step
    load = min(1.0, (room.online + room.batch) / room.slots)
    return own + (room.factors.held - 1.0) * load
