"""One attempt's place at an engine."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.latency_estimate import EngineOccupancy
from postvalve.gateway.interfaces import EngineEntry


@dataclass(frozen=True, slots=True)
class ConsideredEngine:
    """An engine that a request might have been sent to, as this node saw it then."""

    life: EngineLife
    occupancy: EngineOccupancy


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

    considered: Sequence[ConsideredEngine] = ()
    """Engines that were looked at, where those of the service differ."""

    @property
    def running(self) -> int:
        """Requests that ran at the engine with this one, as far as this node knew."""
        return min(self.engine.slots, self.online_seen + self.batch_seen + 1)

    @property
    def found_slot(self) -> bool:
        """Whether a slot was free, as far as this node knew."""
        return self.online_seen + self.batch_seen < self.engine.slots
