"""Detects that most batch items finish late, so that due times can't decide their order.

While the work that arrives is about the work that gets done, each order has the same mean wait. By
due time all items wait alike and finish in time; by shares, items of large tenants wait longer and
are late. Under overload, ordering by due time makes every tenant late because of what one tenant
sends. Shares therefore decide while most items are late, as all nodes derive alike from the job
log.
"""

from __future__ import annotations

from collections.abc import Mapping

from postvalve.core.batch.item_shares import DueCount

LATENESS_WINDOW = 10
"""Seconds of past due times that are considered: longer than a burst of online requests and the
pause that follows it."""
LATE_SHARE_ON, LATE_SHARE_OFF = 0.5, 0.25
"""Hysteresis of `mostly_late`: shares of late items above which it is set and below which it is
cleared. In between it keeps its value, since ordering by shares itself makes some items late."""
MIN_ITEMS = 20
"""Items due in the window below which the share of late ones is not significant."""


class Lateness:
    """Share of late items among those that were due recently."""

    def __init__(self) -> None:
        self._by_second: dict[int, tuple[int, int]] = {}
        """Items, and late ones among them, by due second, as counted when the second had passed."""
        self._updated_to: int | None = None
        self.items = 0
        """Items due in the window."""
        self.late = 0
        """Late items among them."""
        self.mostly_late = False
        """Whether most items finish late."""

    def update(self, due: Mapping[int, DueCount], now: float) -> None:
        """Take in the counts of the seconds that have passed; called several times a second.

        Args:
            due: Counts by due second, as kept by `ItemShares`.
            now: Seconds of the epoch. After the clock was set back, nothing is counted until it has
                reached its former value.
        """
        second = int(now)
        first = (
            second if self._updated_to is None else max(self._updated_to, second - LATENESS_WINDOW)
        )
        for passed in range(first, second):
            count = due.get(passed)
            if count is not None:
                self._by_second[passed] = count.items, count.unfinished
        self._updated_to = max(second, first)
        for old in [passed for passed in self._by_second if passed < second - LATENESS_WINDOW]:
            del self._by_second[old]
        self.items = sum(items for items, _ in self._by_second.values())
        self.late = sum(late for _, late in self._by_second.values())
        if self.items >= MIN_ITEMS:
            self.mostly_late = self.late > self.items * (
                LATE_SHARE_OFF if self.mostly_late else LATE_SHARE_ON
            )
        elif not self.items:
            self.mostly_late = False
