"""Whether most batch items end late, so that due times can't decide which of them go first.

While there is about as much work as gets done, each order has the same mean wait, and by due time
all wait alike and are in time; by shares those of large tenants wait longer and are late. With more
work than gets done, due times make everybody late for what one tenant sends too much. So shares
decide while most items are late, by what the log tells all nodes alike.
"""

from __future__ import annotations

from collections.abc import Mapping

from postvalve.core.batch.item_shares import DueCount

LATENESS_WINDOW = 10
"""Seconds of due times that are looked back at: longer than a heap of online work and its lull."""
LATE_SHARE_ON, LATE_SHARE_OFF = 0.5, 0.25
"""Shares of late items above which most count as late, and below which they don't any more: in
between it stays, since the order by shares itself makes some items late."""
MIN_ITEMS = 20
"""Due in a window, from which their share says something."""


class Lateness:
    """Late items among those that were due lately."""

    def __init__(self) -> None:
        self._seen: dict[int, tuple[int, int]] = {}
        """Items and late ones by the second in which they were due, as it passed."""
        self._looked_at: int | None = None
        self.items = 0
        """Due in the window."""
        self.late = 0
        """Of these."""
        self.mostly_late = False
        """Whether most items end late."""

    def update(self, due: Mapping[int, DueCount], now: float) -> None:
        """Take in counts by due second; some times a second.

        Args:
            due: As `ItemShares` keeps it.
            now: Seconds of the epoch. Where it was set back nothing is seen until it has come to
                where it was.
        """
        second = int(now)
        first = (
            second if self._looked_at is None else max(self._looked_at, second - LATENESS_WINDOW)
        )
        for passed in range(first, second):
            count = due.get(passed)
            if count is not None:
                self._seen[passed] = count.items, count.unfinished
        self._looked_at = max(second, first)
        for old in [one for one in self._seen if one < second - LATENESS_WINDOW]:
            del self._seen[old]
        self.items = sum(items for items, _ in self._seen.values())
        self.late = sum(late for _, late in self._seen.values())
        if self.items >= MIN_ITEMS:
            self.mostly_late = self.late > self.items * (
                LATE_SHARE_OFF if self.mostly_late else LATE_SHARE_ON
            )
        elif not self.items:
            self.mostly_late = False
