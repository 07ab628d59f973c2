"""Lease of one shard, replayed from the shard's stream.

The first claim of epoch n+1 in offset order holds the shard. Each reader estimates expiry on its
own from the last renewal it read. A wrong estimate costs duplicate work but no correctness: which
result of an item counts is decided in the job's stream.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record
from postvalve.states import LeaseState


class LeaseStep(enum.StrEnum):
    """Record that a node should append now."""

    NONE = "none"
    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Duration of a lease and interval of its renewals, in seconds."""

    duration: float
    renewal: float


class ShardLease:
    """State of a shard's lease as seen by one node."""

    def __init__(self, node_id: str, incarnation: int, timing: LeaseTiming) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._timing = timing
        self.epoch = 0
        self.holder = ""
        self.holder_incarnation = 0
        self._renewed_at = float("-inf")
        self._last_append_at = float("-inf")

    def observe(self, record: Record, now: float) -> None:
        """Apply a record of the shard's stream."""
        body = record.body
        if isinstance(body, records.LeaseClaimed) and body.epoch == self.epoch + 1:
            self.epoch = body.epoch
            self.holder = body.node_id
            self.holder_incarnation = body.incarnation
            self._renewed_at = now
        elif isinstance(body, records.LeaseRenewed) and body.epoch == self.epoch:
            self._renewed_at = now
        elif isinstance(body, records.LeaseReleased) and body.epoch == self.epoch:
            self.holder = ""
        elif isinstance(body, records.ShardCheckpoint) and body.epoch > self.epoch:
            self.epoch = body.epoch
            self.holder = body.node_id
            self.holder_incarnation = body.incarnation
            self._renewed_at = now

    def state(self, now: float) -> LeaseState:
        """Return who holds the shard, by this node's estimate."""
        if not self.holder or now - self._renewed_at >= self._timing.duration:
            return LeaseState.FREE
        if self.holder == self._node_id and self.holder_incarnation == self._incarnation:
            return LeaseState.HELD_HERE
        return LeaseState.HELD_ELSEWHERE

    def next_step(self, now: float, *, preferred: bool, holder_gone: bool) -> LeaseStep:
        """Return which record to append now.

        Args:
            now: Monotonic seconds.
            preferred: Whether this node is the first choice among the live nodes.
            holder_gone: Whether the holder is known to be dead.
        """
        state = self.state(now)
        if state is LeaseState.HELD_HERE:
            if not preferred:
                return self._throttled(LeaseStep.RELEASE, now)
            if now - self._renewed_at >= self._timing.renewal:
                return self._throttled(LeaseStep.RENEW, now)
            return LeaseStep.NONE
        free = state is LeaseState.FREE or holder_gone
        if free and preferred:
            return self._throttled(LeaseStep.CLAIM, now)
        return LeaseStep.NONE

    def _throttled(self, step: LeaseStep, now: float) -> LeaseStep:
        # Limits appends to one at a time: waits until the last one can have been read back.
        if now - self._last_append_at < self._timing.renewal / 2:
            return LeaseStep.NONE
        self._last_append_at = now
        return step
