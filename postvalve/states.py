"""Enumerations of the states and classes of postvalve's objects."""

from __future__ import annotations

import enum


class TrafficClass(enum.StrEnum):
    """Traffic class with strict priority: ONLINE requests never wait for BATCH items."""

    ONLINE = "online"
    BATCH = "batch"


class NodeState(enum.StrEnum):
    """State of a node as other nodes see it.

    A node that is LEAVING stays so until it is restarted as a new incarnation; a DEAD node may
    become alive again.
    """

    ALIVE = "alive"
    LEAVING = "leaving"
    DEAD = "dead"


class JobState(enum.StrEnum):
    """State of a batch job; its first terminal record in offset order decides the final state."""

    IN_PROGRESS = "in_progress"
    CANCELLED = "cancelled"
    COMPLETED = "completed"

    @property
    def is_terminal(self) -> bool:
        """Whether the state is final, so that later records have no effect."""
        return self is not JobState.IN_PROGRESS


class LeaseState(enum.StrEnum):
    """State of a shard's lease as one node sees it."""

    FREE = "free"
    HELD_HERE = "held_here"
    HELD_ELSEWHERE = "held_elsewhere"


class MachineKind(enum.StrEnum):
    """Kind of process that runs on a machine of the platform's list."""

    NODE = "node"
    ENGINE = "engine"


class MachineState(enum.StrEnum):
    """State of a machine in the platform's list, which lags behind its actual state."""

    LIVE = "live"
    LEAVING = "leaving"
