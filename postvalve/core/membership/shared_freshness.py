"""How current the knowledge of a store topic is, across all nodes that report to this one.

A failed read of one node proves little: the store may be rejecting that node, or its connection may
have stalled, while others are served. If no node has read the topic for a while, the store was
unavailable to all of them, and records that have disappeared since may only have lapsed.
"""

from __future__ import annotations

UNAVAILABLE_AFTER = 2.0
"""Seconds without updates at any node after which the store counts as unavailable. It is longer
than a follower goes without updates when its path to the store breaks."""
UPDATE_INTERVAL = 0.5
"""Longest time in seconds between two updates of a node that runs. In what goes beyond it the node
stood still."""


class SharedFreshness:
    """Newest time up to which any node knows a topic, and the end of the store's last outage."""

    def __init__(self, now: float) -> None:
        self._fresh_at = now
        self._updated_at = now
        self._unavailable = False
        self.returned_at = float("-inf")
        """Monotonic seconds by which the store had certainly recovered from its last outage for all
        nodes."""

    @property
    def unavailable(self) -> bool:
        """Whether the store is unavailable to all known nodes."""
        return self._unavailable

    def update(self, now: float) -> None:
        """Take in the current time; called several times a second.

        While this node stood still it received nothing, which says nothing about the others.
        """
        stood_still = max(0.0, now - self._updated_at - UPDATE_INTERVAL)
        self._fresh_at += stood_still
        self._updated_at = now
        if now - self._fresh_at >= UNAVAILABLE_AFTER:
            self._unavailable = True

    def record(self, fresh_at: float, now: float) -> None:
        """Record that a node knows everything acknowledged until monotonic time `fresh_at`."""
        self.update(now)
        if fresh_at <= self._fresh_at:
            return
        self._fresh_at = fresh_at
        if self._unavailable and now - fresh_at < UNAVAILABLE_AFTER:
            self._unavailable = False
            self.returned_at = fresh_at
