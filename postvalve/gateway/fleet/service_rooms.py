"""Capacity models for the engines of a service, valid for one moment.

Engines count as equal unless they report their pace.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from postvalve.core.admission.engine_use import UseCount
from postvalve.core.admission.service_pace import ServicePace
from postvalve.core.routing.expectation import EngineRoom, extra_places
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.interfaces import EngineEntry


class ServiceRooms(Protocol):
    """Capacity of each engine of a service; `count` holds the requests of all nodes there."""

    def room(self, entry: EngineEntry, count: UseCount) -> EngineRoom:
        """Return an engine's slots, load and pace factors."""
        ...

    def places(self, entry: EngineEntry, count: UseCount) -> int:
        """Return the number of requests that may run at an engine."""
        ...

    def has_place(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether an engine has a place that online work does not use."""
        ...

    def extra_places(self, room: EngineRoom, tokens: int) -> float:
        """Return how much worse an engine is than an average one, in places of its queue."""
        ...


class EvenRooms:
    """Model for equal engines, by slots and counts alone; used hundreds of times a second."""

    def room(self, entry: EngineEntry, count: UseCount) -> EngineRoom:
        """Return an engine's slots and counted load."""
        return EngineRoom(entry.slots, count.online, count.batch, count.unread)

    def places(self, entry: EngineEntry, count: UseCount) -> int:
        """Return the slots of an engine."""
        return entry.slots

    def has_place(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether an engine has a slot that online work does not use."""
        return count.online < entry.slots

    def extra_places(self, room: EngineRoom, tokens: int) -> float:
        """Return 0, as no engine is worse than another."""
        return 0.0


@dataclass(frozen=True, slots=True)
class UnevenRooms:
    """Model for engines that report their pace, which corrects their slots and counts."""

    service: str
    paces: EnginePaces
    pace: ServicePace
    pause_aim: float | None
    """Longest acceptable pause between events in seconds; None for no bound."""
    now: float
    """Monotonic seconds."""

    def room(self, entry: EngineEntry, count: UseCount) -> EngineRoom:
        """Return an engine's slots, corrected load and pace factors."""
        return EngineRoom(
            entry.slots,
            count.online + self.paces.not_counted(entry.life, self.now),
            count.batch,
            count.unread,
            self.paces.factors(self.service, entry.life, self.now),
            self.pause_aim,
        )

    def places(self, entry: EngineEntry, count: UseCount) -> int:
        """Return the requests that may run at an engine without exceeding `pause_aim`."""
        return self.room(entry, count).places(self.pace)

    def has_place(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether an engine has a place that online work does not use."""
        return self.room(entry, count).has_place(self.pace)

    def extra_places(self, room: EngineRoom, tokens: int) -> float:
        """Return how much worse an engine is than an average one, in places of its queue."""
        return extra_places(room, tokens, self.pace)


EVEN_ROOMS = EvenRooms()
