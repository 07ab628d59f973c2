"""Estimates of the time that one more request takes at an engine, in seconds.

Whether there is capacity, whether a request will be in time, which requests wait and where they go
all follow from the same estimates, computed from the service's latencies, the engine's pace factors
and its load. An engine without factors is estimated by its service's latencies alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.routing.engine_pace import UNIFORM, PaceFactors

PREEMPTION_TIME = 0.15
"""Seconds until preempted batch items have left their slots."""
MIN_LOAD_SHARE = 0.2
"""Share of a pause that must be due to the number of running requests for fewer of them to be of
use."""


@dataclass(slots=True)
class EngineOccupancy:
    """Slots and load of an engine as this node sees them."""

    slots: int
    online: int
    batch: int
    unread: int
    """Prompt tokens that the engine must read before those of another request."""
    factors: PaceFactors = UNIFORM
    """How much longer than usual for its service the engine takes now."""
    pause_aim: float | None = None
    """Longest pause between events that callers accept, in seconds; None if no route sets one."""
    _capacity: int = -1
    """Cached capacity; -1 before it is computed."""

    def capacity(self, pace: ServiceLatency) -> int:
        """Return how many requests may run at once without exceeding the pause that callers accept;
        at least one."""
        if self.factors is UNIFORM or self.pause_aim is None:
            return self.slots
        if self._capacity < 0:
            self._capacity = capacity_within(self.slots, pace, self.factors.pause, self.pause_aim)
        return self._capacity

    def has_capacity(self, pace: ServiceLatency) -> bool:
        """Return whether online work leaves capacity free."""
        return self.online < self.capacity(pace)


def capacity_within(slots: int, pace: ServiceLatency, factor: float, pause_aim: float) -> int:
    """Return the number of running requests up to which no pause above `pause_aim` is expected.

    It goes down only as far as fewer requests shorten pauses: a pause that has another cause, such
    as one in the network, doesn't limit how many requests run. It is at least one, so that a slow
    engine is never left without work, and its recovery is noticed.
    """
    if pace.longest_pause(slots) * factor <= pause_aim:
        return slots
    fixed = pace.longest_pause(0)
    for running in range(slots, 1, -1):
        pause = pace.longest_pause(running)
        if pause * factor <= pause_aim or pause - fixed < MIN_LOAD_SHARE * pause:
            return running
    return 1


def queue_delay_per_place(engine: EngineOccupancy, pace: ServiceLatency) -> float:
    """Return the delay in seconds for each position in an engine's queue."""
    return pace.queue_delay_per_place(engine.capacity(pace)) * engine.factors.held


def queue_wait(engine: EngineOccupancy, pace: ServiceLatency) -> float:
    """Return the seconds until an engine has a slot for one more online request."""
    total = engine.online + engine.batch
    capacity = engine.slots if engine.pause_aim is None else engine.capacity(pace)
    if total < capacity:
        return 0.0
    delay = queue_delay_per_place(engine, pace)
    if engine.online < capacity:
        return min(PREEMPTION_TIME, (total - capacity + 1) * delay)
    return (engine.online - capacity + 1) * delay


def expected_first_event(engine: EngineOccupancy, tokens: int, pace: ServiceLatency) -> float:
    """Return the seconds to the first event of a request with so many prompt tokens."""
    return (
        queue_wait(engine, pace) + pace.first_event(engine.unread + tokens) * engine.factors.first
    )


def expected_in_time(
    engines: Iterable[EngineOccupancy], tokens: int, pace: ServiceLatency, time_left: float
) -> Iterator[bool]:
    """Yield for each engine whether the first event is expected within `time_left` seconds."""
    known, margin = pace.known, pace.margin
    return (
        known and expected_first_event(engine, tokens, pace) + margin <= time_left
        for engine in engines
    )


def any_has_capacity(engines: Iterable[EngineOccupancy], pace: ServiceLatency) -> bool:
    """Return whether online work leaves capacity free at any engine."""
    return any(engine.has_capacity(pace) for engine in engines)


def least_loaded(engines: Sequence[EngineOccupancy], pace: ServiceLatency) -> EngineOccupancy:
    """Return the engine with the least online work relative to its capacity."""
    return min(engines, key=lambda engine: engine.online / max(1, engine.capacity(pace)))


def queue_penalty(engine: EngineOccupancy, tokens: int, pace: ServiceLatency) -> float:
    """Return how much worse an engine is than a uniform one of the same load, in queue positions.

    This adds up how much longer the request waits for its first event, and how much longer the next
    request waits for its slot, weighted by how full the engine is. One queue position is the time
    in which an engine of the service finishes one request, so the value can be weighed against
    other reasons to choose another engine. It is 0 for a uniform engine, and negative for a faster
    one.
    """
    if engine.factors is UNIFORM or not pace.known:
        return 0.0
    uniform = EngineOccupancy(engine.slots, engine.online, engine.batch, engine.unread)
    step = pace.queue_delay_per_place(engine.slots)
    if step <= 0:
        return 0.0
    extra = (
        expected_first_event(engine, tokens, pace) - expected_first_event(uniform, tokens, pace)
    ) / step
    load = min(1.0, (engine.online + engine.batch) / engine.slots)
    return extra + (engine.factors.held - 1.0) * load
