"""Up to when a topic of the store is known to any node that is heard.

One node's failed read says little: the store may turn that node away, or its connection may have
fallen silent, while it serves everybody else. Where no node has read the topic for a while, the
store was away for all of them, and what has gone from the topic since may have lapsed only.
"""

from __future__ import annotations

UNAVAILABLE_AFTER = 2.0
"""Seconds of which no node knows anything, after which the store counts as away: longer than one
follower is blind when the way of its read is lost."""
STALL_THRESHOLD = 1.5
"""Seconds between two looks after which this node itself must have stood still."""


class SharedFreshness:
    """The newest time up to which anybody knows a topic, and the last time the store was away."""

    def __init__(self, now: float) -> None:
        self._fresh_at = now
        self._looked_at = now
        self._away = False
        self.returned_at = float("-inf")
        """Monotonic seconds at which the store had surely returned, after it was away for all."""

    @property
    def unavailable(self) -> bool:
        """Whether the store is away for all nodes that are heard."""
        return self._away

    def update(self, now: float) -> None:
        """See what time it is; called a few times a second.

        A node that stood still has heard nobody, which says nothing of the others.
        """
        if now - self._looked_at > STALL_THRESHOLD:
            self._fresh_at = max(self._fresh_at, now)
        self._looked_at = now
        if now - self._fresh_at >= UNAVAILABLE_AFTER:
            self._away = True

    def note(self, fresh_at: float, now: float) -> None:
        """A node knows all that was acknowledged until monotonic time `fresh_at`."""
        self.update(now)
        if fresh_at <= self._fresh_at:
            return
        self._fresh_at = fresh_at
        if self._away and now - fresh_at < UNAVAILABLE_AFTER:
            self._away = False
            self.returned_at = fresh_at
