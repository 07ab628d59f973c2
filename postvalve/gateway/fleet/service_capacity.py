"""The rooms of one service's engines at one moment, for all that ask the fleet about them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from postvalve.core.admission.engine_use import UseCount
from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.routing.latency_estimate import EngineOccupancy, queue_penalty
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.interfaces import EngineEntry


class ServiceCapacity(Protocol):
    """What is asked of each engine; `count` is of all nodes' requests there."""

    def occupancy(self, entry: EngineEntry, count: UseCount) -> EngineOccupancy:
        """Its load, and its factors."""
        ...

    def capacity(self, entry: EngineEntry, count: UseCount) -> int:
        """Requests that may run there."""
        ...

    def has_capacity(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether there is a place that no online work needs."""
        ...

    def queue_penalty(self, room: EngineOccupancy, tokens: int) -> float:
        """See `core/routing/expectation`."""
        ...


class UniformCapacity:
    """Engines that are alike: their slots and counts say all. Asked hundreds of times a second."""

    def occupancy(self, entry: EngineEntry, count: UseCount) -> EngineOccupancy:
        """See `ServiceCapacity`."""
        return EngineOccupancy(entry.slots, count.online, count.batch, count.unread)

    def capacity(self, entry: EngineEntry, count: UseCount) -> int:
        """See `ServiceCapacity`."""
        return entry.slots

    def has_capacity(self, entry: EngineEntry, count: UseCount) -> bool:
        """See `ServiceCapacity`."""
        return count.online < entry.slots

    def queue_penalty(self, room: EngineOccupancy, tokens: int) -> float:
        """See `ServiceCapacity`."""
        return 0.0


@dataclass(frozen=True, slots=True)
class MeasuredCapacity:
    """Engines that differ."""

    service: str
    paces: EnginePaces
    pace: ServiceLatency
    pause_aim: float | None
    now: float
    """Monotonic seconds."""

    def occupancy(self, entry: EngineEntry, count: UseCount) -> EngineOccupancy:
        """See `ServiceCapacity`."""
        return EngineOccupancy(
            entry.slots,
            count.online + self.paces.uncounted_requests(entry.life, self.now),
            count.batch,
            count.unread,
            self.paces.factors(self.service, entry.life, self.now),
            self.pause_aim,
        )

    def capacity(self, entry: EngineEntry, count: UseCount) -> int:
        """See `ServiceCapacity`."""
        return self.occupancy(entry, count).capacity(self.pace)

    def has_capacity(self, entry: EngineEntry, count: UseCount) -> bool:
        """See `ServiceCapacity`."""
        return self.occupancy(entry, count).has_capacity(self.pace)

    def queue_penalty(self, room: EngineOccupancy, tokens: int) -> float:
        """See `ServiceCapacity`."""
        return queue_penalty(room, tokens, self.pace)


UNIFORM_CAPACITY = UniformCapacity()
