"""How often a node sends load reports to its peers: promptly, but within a limit on what each
receives.

Reports go to all peers of the own zone, which use the same engines and need current counts. Nodes
of other zones get them too while there are few; otherwise those receive digests, see
`zone_reporting`.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_INTERVAL = 0.08
"""Least seconds between two reports to a peer, during which changes are collected."""
IDLE_INTERVAL = 0.5
"""Seconds between two reports to a peer when nothing changes."""
ZONE_REPORT_RATE = 120.0
"""Most reports per second that a node receives from its own zone."""
REMOTE_REPORT_RATE = 120.0
"""Most reports per second that a node receives from all other zones."""
GATHER_SHARE = 1 / 6
"""Share of a peer's report interval for which received reports are collected before they are
processed. It makes the knowledge of a peer older by a twelfth of the interval on average; with 38
peers a node then wakes up 19 times a second instead of 48."""
MIN_GATHER_TIME = 0.02
"""Least time, in seconds, for which received reports are collected."""


@dataclass(slots=True)
class ReportSchedule:
    """Schedule of the reports to one group of peers."""

    rate: float
    """Most reports per second that a node receives from this group."""
    _sent_at: float = float("-inf")
    _changed: bool = True

    def record_change(self) -> None:
        """Record that there is something new to report."""
        self._changed = True

    @property
    def waiting(self) -> bool:
        """Whether something new has not been reported yet."""
        return self._changed

    def take_turn(self, peers: int, now: float) -> bool:
        """Return whether a report is due at monotonic time `now`, for a group of `peers` nodes.

        If so, the report counts as sent.
        """
        if self.seconds_left(peers, now) > 0:
            return False
        self._sent_at = now
        self._changed = False
        return True

    def interval(self, peers: int) -> float:
        """Return the seconds between two reports to a group of `peers` nodes while there are
        changes."""
        return min(IDLE_INTERVAL, max(MIN_INTERVAL, peers / self.rate))

    def seconds_left(self, peers: int, now: float) -> float:
        """Return the seconds from `now` until the next report to a group of `peers` nodes."""
        interval = self.interval(peers)
        return self._sent_at + (interval if self._changed else IDLE_INTERVAL) - now
