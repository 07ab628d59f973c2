"""Every state of postvalve's objects, named in one place."""

from __future__ import annotations

import enum


class TrafficClass(enum.StrEnum):
    """Strict classes: ONLINE never waits behind BATCH."""

    ONLINE = "online"
    BATCH = "batch"


class NodeState(enum.StrEnum):
    """A node as others see it. LEAVING is sticky for an incarnation; DEAD may come back."""

    ALIVE = "alive"
    LEAVING = "leaving"
    DEAD = "dead"


class JobState(enum.StrEnum):
    """A batch job. The first terminal record in offset order decides which one it ends in."""

    IN_PROGRESS = "in_progress"
    CANCELLED = "cancelled"
    COMPLETED = "completed"

    @property
    def is_terminal(self) -> bool:
        """Whether no later record changes the job."""
        return self is not JobState.IN_PROGRESS


class LeaseState(enum.StrEnum):
    """The lease of a shard, as one node sees it."""

    FREE = "free"
    HELD_HERE = "held_here"
    HELD_ELSEWHERE = "held_elsewhere"


class MachineKind(enum.StrEnum):
    """What runs on a machine of the platform's list."""

    NODE = "node"
    ENGINE = "engine"


class MachineState(enum.StrEnum):
    """A machine in the platform's list, which lags."""

    LIVE = "live"
    LEAVING = "leaving"
