"""What the events of one attempt at an engine say of its pace.

A reader that lags leaves events unread, which then come at once. So a pause counts only between
events of which each was waited for, where the times at which they were asked for are told.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_WAIT = 0.001
"""Seconds from asking for an event to its coming from which it counts as waited for: one that lies
in a buffer comes sooner."""
MIN_PAUSES = 4
"""Pauses of an attempt from which their mean says something."""


@dataclass(slots=True)
class AttemptTimes:
    """Times of one attempt, in monotonic seconds."""

    placed_at: float
    first_at: float = 0.0
    """0 before the first event."""
    events: int = 0
    pauses: int = 0
    """Those that were measured."""
    pauses_sum: float = 0.0
    longest_pause: float = 0.0
    requested_at: float = 0.0
    """When the next event was asked for; 0 where nobody tells, since each is read as it comes."""
    _last_at: float = 0.0
    """When the last event came; 0 where that is not known."""

    def record_event(self, now: float) -> None:
        """An event was read at `now`."""
        awaited = not self.requested_at or now - self.requested_at >= MIN_WAIT
        if not self.first_at:
            self.first_at = now
        elif self._last_at and awaited:
            self.pauses += 1
            self.pauses_sum += now - self._last_at
            self.longest_pause = max(self.longest_pause, now - self._last_at)
        self.events += 1
        self._last_at = now if awaited else 0.0

    @property
    def mean_pause(self) -> float:
        """Seconds between events; 0 where too few pauses were measured."""
        return self.pauses_sum / self.pauses if self.pauses >= MIN_PAUSES else 0.0

    @property
    def first_event(self) -> float:
        """Seconds to the first event; 0 before it."""
        return self.first_at - self.placed_at if self.first_at else 0.0
