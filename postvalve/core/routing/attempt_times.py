"""Timing of one attempt at an engine, from the events of its answer.

A reader that lags behind leaves events in a buffer, from which they are then read without delay. So
where the reader reports when it requests each event, a pause counts only if the reader waited for
the events at both of its ends.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_WAIT = 0.001
"""Seconds between requesting an event and reading it from which the reader counts as having waited
for it; an event that is already in a buffer is read sooner."""
MIN_PAUSES = 4
"""Number of measured pauses below which their mean is not used."""


@dataclass(slots=True)
class AttemptTimes:
    """Event times of one attempt, in monotonic seconds."""

    placed_at: float
    first_at: float = 0.0
    """Time of the first event; 0 before it."""
    events: int = 0
    pauses: int = 0
    """Number of measured pauses."""
    pauses_sum: float = 0.0
    longest_pause: float = 0.0
    requested_at: float = 0.0
    """When the reader requested the next event; 0 if the reader does not report this, because it
    reads each event as it arrives."""
    _last_at: float = 0.0
    """Time of the last event; 0 if it is unknown, because the event came from a buffer."""

    def record_event(self, now: float, delay: float = 0.0) -> None:
        """Record that an event was read at `now`.

        Args:
            now: Monotonic seconds.
            delay: Seconds by which this node may have read it late, since it stood still; they
                don't count as part of a pause.
        """
        awaited = not self.requested_at or now - self.requested_at >= MIN_WAIT
        if not self.first_at:
            self.first_at = now
        elif self._last_at and awaited:
            pause = max(0.0, now - self._last_at - delay)
            self.pauses += 1
            self.pauses_sum += pause
            self.longest_pause = max(self.longest_pause, pause)
        self.events += 1
        self._last_at = now if awaited else 0.0

    @property
    def mean_pause(self) -> float:
        """Mean seconds between events; 0 if too few pauses were measured."""
        return self.pauses_sum / self.pauses if self.pauses >= MIN_PAUSES else 0.0

    @property
    def first_event(self) -> float:
        """Seconds from placement to the first event; 0 before it."""
        return self.first_at - self.placed_at if self.first_at else 0.0
