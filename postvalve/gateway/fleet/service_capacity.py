"""Capacity models for the engines of a service, valid for one moment.

Engines count as equal unless they report their pace.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from postvalve.core.admission.engine_use import UseCount
from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.routing.latency_estimate import EngineOccupancy, queue_penalty
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.interfaces import EngineEntry


class ServiceCapacity(Protocol):
    """Capacity of each engine of a service; `count` holds the requests of all nodes there."""

    def occupancy(self, entry: EngineEntry, count: UseCount) -> EngineOccupancy:
        """Return an engine's slots, load and pace factors."""
        ...

    def capacity(self, entry: EngineEntry, count: UseCount) -> int:
        """Return the number of requests that may run at an engine at once."""
        ...

    def has_capacity(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether an engine has capacity that online work does not use."""
        ...

    def queue_penalty(self, occupancy: EngineOccupancy, tokens: int) -> float:
        """Return how much worse an engine is than an average one, in queue positions."""
        ...


class UniformCapacity:
    """Model for equal engines, by slots and counts alone; used hundreds of times a second."""

    def occupancy(self, entry: EngineEntry, count: UseCount) -> EngineOccupancy:
        """Return an engine's slots and counted load."""
        return EngineOccupancy(entry.slots, count.online, count.batch, count.unread)

    def capacity(self, entry: EngineEntry, count: UseCount) -> int:
        """Return the slots of an engine."""
        return entry.slots

    def has_capacity(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether an engine has a slot that online work does not use."""
        return count.online < entry.slots

    def queue_penalty(self, occupancy: EngineOccupancy, tokens: int) -> float:
        """Return 0, as no engine is worse than another."""
        return 0.0


@dataclass(frozen=True, slots=True)
class MeasuredCapacity:
    """Model for engines that report their pace, which corrects their slots and counts."""

    service: str
    paces: EnginePaces
    pace: ServiceLatency
    pause_aim: float | None
    """Longest acceptable pause between events in seconds; None for no bound."""
    now: float
    """Monotonic seconds."""

    def occupancy(self, entry: EngineEntry, count: UseCount) -> EngineOccupancy:
        """Return an engine's slots, corrected load and pace factors."""
        return EngineOccupancy(
            entry.slots,
            count.online + self.paces.uncounted_requests(entry.life, self.now),
            count.batch,
            count.unread,
            self.paces.factors(self.service, entry.life, self.now),
            self.pause_aim,
        )

    def capacity(self, entry: EngineEntry, count: UseCount) -> int:
        """Return the number of requests that may run at once without exceeding `pause_aim`."""
        return self.occupancy(entry, count).capacity(self.pace)

    def has_capacity(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether an engine has capacity that online work does not use."""
        return self.occupancy(entry, count).has_capacity(self.pace)

    def queue_penalty(self, occupancy: EngineOccupancy, tokens: int) -> float:
        """Return how much worse an engine is than an average one, in queue positions."""
        return queue_penalty(occupancy, tokens, self.pace)


UNIFORM_CAPACITY = UniformCapacity()
