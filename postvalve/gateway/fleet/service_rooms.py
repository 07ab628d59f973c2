"""The rooms of one service's engines at one moment, for all that ask the fleet about them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from postvalve.core.admission.engine_use import UseCount
from postvalve.core.admission.service_pace import ServicePace
from postvalve.core.routing.expectation import EngineRoom, extra_places
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.interfaces import EngineEntry


class ServiceRooms(Protocol):
    """What is asked of each engine; `count` is of all nodes' requests there."""

    def room(self, entry: EngineEntry, count: UseCount) -> EngineRoom:
        """Its load, and its factors."""
        ...

    def places(self, entry: EngineEntry, count: UseCount) -> int:
        """Requests that may run there."""
        ...

    def has_place(self, entry: EngineEntry, count: UseCount) -> bool:
        """Whether there is a place that no online work needs."""
        ...

    def extra_places(self, room: EngineRoom, tokens: int) -> float:
        """See `core/routing/expectation`."""
        ...


class EvenRooms:
    """Engines that are alike: their slots and counts say all. Asked hundreds of times a second."""

    def room(self, entry: EngineEntry, count: UseCount) -> EngineRoom:
        """See `ServiceRooms`."""
        return EngineRoom(entry.slots, count.online, count.batch, count.unread)

    def places(self, entry: EngineEntry, count: UseCount) -> int:
        """See `ServiceRooms`."""
        return entry.slots

    def has_place(self, entry: EngineEntry, count: UseCount) -> bool:
        """See `ServiceRooms`."""
        return count.online < entry.slots

    def extra_places(self, room: EngineRoom, tokens: int) -> float:
        """See `ServiceRooms`."""
        return 0.0


@dataclass(frozen=True, slots=True)
class UnevenRooms:
    """Engines that differ."""

    service: str
    paces: EnginePaces
    pace: ServicePace
    pause_aim: float | None
    now: float
    """Monotonic seconds."""

    def room(self, entry: EngineEntry, count: UseCount) -> EngineRoom:
        """See `ServiceRooms`."""
        return EngineRoom(
            entry.slots,
            count.online + self.paces.not_counted(entry.life, self.now),
            count.batch,
            count.unread,
            self.paces.factors(self.service, entry.life, self.now),
            self.pause_aim,
        )

    def places(self, entry: EngineEntry, count: UseCount) -> int:
        """See `ServiceRooms`."""
        return self.room(entry, count).places(self.pace)

    def has_place(self, entry: EngineEntry, count: UseCount) -> bool:
        """See `ServiceRooms`."""
        return self.room(entry, count).has_place(self.pace)

    def extra_places(self, room: EngineRoom, tokens: int) -> float:
        """See `ServiceRooms`."""
        return extra_places(room, tokens, self.pace)


EVEN_ROOMS = EvenRooms()
