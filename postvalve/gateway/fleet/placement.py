"""Placement of one attempt on an engine, and what this node knew when it chose the engine."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.latency_estimate import EngineOccupancy
from postvalve.gateway.interfaces import EngineEntry


@dataclass(frozen=True, slots=True)
class ConsideredEngine:
    """An engine that was considered for a request, with its load as seen at that time."""

    life: EngineLife
    occupancy: EngineOccupancy


@dataclass(slots=True)
class Placement:
    """An engine chosen for one attempt; the attempt counts as load there until it is released."""

    engine: EngineEntry
    batch: bool
    online_seen: int = 0
    """Online requests of all nodes at the engine before this one, by this node's counts."""
    batch_seen: int = 0
    """Batch items of all nodes at the engine before this one, by this node's counts."""
    unread_seen: int = 0
    """Prompt tokens that the engine still had to read before this attempt's own."""
    unread: int = 0
    """Prompt tokens of this attempt that are still unread; 0 from its first token on."""
    memory: int = 0
    """Tokens of the engine's memory that this attempt may need."""
    to_read: int = 0
    """Prompt tokens that the engine must read before the attempt's first event, with its own."""
    expected: float = 0.0
    """Expected seconds from the placement to the first event."""

    considered: Sequence[ConsideredEngine] = ()
    """Engines that were considered; empty unless engines of the service report their pace."""

    @property
    def running(self) -> int:
        """Requests running at the engine, this one included, by this node's counts."""
        return min(self.engine.slots, self.online_seen + self.batch_seen + 1)

    @property
    def found_slot(self) -> bool:
        """Whether the engine had a free slot, by this node's counts."""
        return self.online_seen + self.batch_seen < self.engine.slots
