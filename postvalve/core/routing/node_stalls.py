"""Time for which this node's own event loop stood still, from ticks that came late.

Whatever arrives meanwhile is read late, which says nothing about who sent it.
"""

from __future__ import annotations

TICK_INTERVAL = 0.05
"""Seconds between ticks."""
MIN_STALL = 0.02
"""Seconds by which a tick must be late; less is usual for timers."""
READ_TIME = 0.02
"""Seconds after a stall within which what arrived meanwhile is read."""


class NodeStalls:
    """The last stall of this node."""

    def __init__(self, interval: float = TICK_INTERVAL) -> None:
        """Set up; `interval` is the seconds between ticks."""
        self._interval = interval
        self._ticked_at: float | None = None
        """Monotonic seconds of the last tick; None while no ticks come."""
        self._ended_at = float("-inf")
        self._length = 0.0

    def tick(self, now: float) -> None:
        """Record a tick at monotonic second `now`."""
        if (late := self._late(now)) >= MIN_STALL:
            self._ended_at, self._length = now, late
        self._ticked_at = now

    def pause(self) -> None:
        """Record that no ticks will come for a while."""
        self._ticked_at = None

    def delay(self, now: float) -> float:
        """Return the seconds by which a stall may have delayed what is read at monotonic second
        `now`.

        What arrived during a stall may also be read before the tick that is overdue. Stalls that
        ended earlier have delayed other reads.
        """
        if (late := self._late(now)) >= MIN_STALL:
            return late
        return self._length if now - self._ended_at <= READ_TIME else 0.0

    def _late(self, now: float) -> float:
        return 0.0 if self._ticked_at is None else now - self._ticked_at - self._interval
