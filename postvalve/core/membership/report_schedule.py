"""How often a node reports to its peers: as soon as useful, within a bound on what each hears.

Reports go to every peer of the zone, whose nodes share its engines and need fresh counts, and to
those of other zones while they are few; many of those are told by digests instead, as
`zone_reporting` has it.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_INTERVAL = 0.08
"""Seconds between two reports to one peer at the least, in which changes gather."""
IDLE_INTERVAL = 0.5
"""Seconds between reports to one peer when nothing changes."""
ZONE_REPORT_RATE = 120.0
"""Reports a second that a node hears from its own zone at the most."""
REMOTE_REPORT_RATE = 120.0
"""The same from all other zones."""
GATHER_SHARE = 1 / 6
"""Share of the time between two reports of a peer in which reports gather at their reader: what is
known of a peer gets older by a twelfth of that in the mean, and 38 peers wake a node up 19 times a
second, not 48."""
MIN_GATHER_TIME = 0.02
"""Seconds of it at the least."""


@dataclass(slots=True)
class ReportSchedule:
    """The reports to one group of peers."""

    rate: float
    """Reports a second that a node hears from this group at the most."""
    _sent_at: float = float("-inf")
    _changed: bool = True

    def record_change(self) -> None:
        """There is something to tell."""
        self._changed = True

    @property
    def waiting(self) -> bool:
        """Whether there is something to tell that was not told."""
        return self._changed

    def take_turn(self, peers: int, now: float) -> bool:
        """Whether a report goes out at monotonic time `now`, to a group of so many peers."""
        if self.seconds_left(peers, now) > 0:
            return False
        self._sent_at = now
        self._changed = False
        return True

    def interval(self, peers: int) -> float:
        """Seconds between two reports to a group of so many peers while there is news."""
        return min(IDLE_INTERVAL, max(MIN_INTERVAL, peers / self.rate))

    def seconds_left(self, peers: int, now: float) -> float:
        """Seconds from `now` until a report goes out to a group of so many peers."""
        interval = self.interval(peers)
        return self._sent_at + (interval if self._changed else IDLE_INTERVAL) - now
