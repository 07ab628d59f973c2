"""What each tenant asked for and got at one node: counts of bounded size, and no decisions.

Every request counts once, when it ends, so that what was asked is at all times the sum of the ways
in which it ended. A tenant has an account of its own while it is among the first `TOP_TENANTS` in one of
three orders of the last `WINDOW` seconds: who asked most, who held engines longest, who was served
worst. There may be `MAX_ACCOUNTS` accounts; when one more tenant comes, all that are in none of these
orders are summed in one account, and a tenant among them begins anew when it comes again. So a
newcomer has the time of many others to show what it asks for, and a node's sums are exact.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Self

SLICE_SECONDS = 5.0
"""Seconds of one slice of the window."""
SLICES = 6
"""Slices of the window, the one under way among them."""
WINDOW = SLICE_SECONDS * SLICES
"""Seconds of which `Row.lately` tells at the most, and a slice less at the least: a heap of
requests and what came of it."""
TOP_TENANTS = 24
"""Tenants of each order that keep accounts of their own."""
MAX_ACCOUNTS = 128
"""Accounts of single tenants."""
PRIOR_REQUESTS = 2
"""Requests served in time that are added to all when tenants are ordered by how they were served:
one refused request must not rank before a hundred of them."""
OTHERS = "all others"
"""Name of the row that sums tenants without accounts; no tenant's name holds a blank."""


class End(enum.StrEnum):
    """How a request ended for its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    """Served whole, its first event (or its body) after the route's target latency."""
    FAILED = "failed"
    """Answered with a failure, or cut, after it may have run."""
    GIVEN_UP = "given_up"
    """Its time was over after it may have run."""
    LEFT = "left"
    """Its client closed the connection."""
    OVER_LIMIT = "over_limit"
    """This and the following: refused, not run."""
    COUNT_UNKNOWN = "count_unknown"
    """Nobody told whether the tenant has credit."""
    KEY_UNKNOWN = "key_unknown"
    """No key, one that nobody holds, or one that the node could not judge."""
    NO_ROOM = "no_room"
    """No engine would have been in time, or took it."""
    NODE_LEAVING = "node_leaving"
    STORE_AWAY = "store_away"
    TIME_OVER = "time_over"
    """Its time was over before it could have run."""
    INVALID = "invalid"
    """No node could serve it as it was sent: no route leads there, too large, no job."""
    REFUSED_ELSE = "refused_else"


class ItemOutcome(enum.StrEnum):
    """How a batch item ended."""

    IN_TIME = "items_in_time"
    LATE = "items_late"
    GIVEN_UP = "items_given_up"


REFUSED = (
    End.OVER_LIMIT,
    End.COUNT_UNKNOWN,
    End.KEY_UNKNOWN,
    End.NO_ROOM,
    End.NODE_LEAVING,
    End.STORE_AWAY,
    End.TIME_OVER,
    End.INVALID,
    End.REFUSED_ELSE,
)
CALLER_CAUSED = (End.LEFT, End.OVER_LIMIT, End.KEY_UNKNOWN, End.INVALID)
"""Ends that are the caller's own doing, passed over in the order of who is served worst."""


@dataclass(slots=True)
class Counts:
    """What some requests and batch items of a tenant came to; times in seconds."""

    asked: int = 0
    sent: int = 0
    """Requests that were sent to an engine at least once."""
    ends: dict[End, int] = field(default_factory=dict)
    items: dict[ItemOutcome, int] = field(default_factory=dict)
    waited: float = 0.0
    """Until an engine got them, or until they ended without one."""
    worst_wait: float = 0.0
    online_seconds: float = 0.0
    """For which online requests were at engines; those that an engine refused do not count."""
    item_seconds: float = 0.0
    """The same of batch items."""

    @property
    def engine_seconds(self) -> float:
        """For which requests and items were at engines."""
        return self.online_seconds + self.item_seconds

    @property
    def refused(self) -> int:
        """Requests that were refused, not run."""
        return sum(self.ends.get(one, 0) for one in REFUSED)

    @property
    def eligible(self) -> int:
        """Requests that should have been served."""
        return self.asked - sum(self.ends.get(one, 0) for one in CALLER_CAUSED)

    @property
    def in_time_share(self) -> float:
        """Share of what was owed that was served in time; 1 where nothing was."""
        return self.ends.get(End.IN_TIME, 0) / self.eligible if self.eligible else 1.0

    @property
    def in_time_score(self) -> float:
        """The same, nearer to 1 the fewer requests it is made of."""
        return (self.ends.get(End.IN_TIME, 0) + PRIOR_REQUESTS) / (self.eligible + PRIOR_REQUESTS)

    def add(self, other: Counts) -> None:
        """Add what others came to."""
        self.asked += other.asked
        self.sent += other.sent
        for end, count in other.ends.items():
            self.ends[end] = self.ends.get(end, 0) + count
        for outcome, count in other.items.items():
            self.items[outcome] = self.items.get(outcome, 0) + count
        self.waited += other.waited
        self.worst_wait = max(self.worst_wait, other.worst_wait)
        self.online_seconds += other.online_seconds
        self.item_seconds += other.item_seconds

    def fields(self) -> dict[str, float]:
        """All counts by name, for output; `read` takes them back."""
        return {
            "asked": self.asked,
            "sent": self.sent,
            **{str(end): self.ends.get(end, 0) for end in End},
            "waited": round(self.waited, 3),
            "worst_wait": round(self.worst_wait, 3),
            "online_seconds": round(self.online_seconds, 3),
            "item_seconds": round(self.item_seconds, 3),
            **{str(outcome): self.items.get(outcome, 0) for outcome in ItemOutcome},
        }

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> Self:
        """Counts from `fields` of this or another build: what is missing counts as nothing."""
        plain = [one.name for one in dataclasses.fields(cls) if one.name not in ("ends", "items")]
        return cls(
            ends={end: int(fields.get(end, 0)) for end in End},
            items={outcome: int(fields.get(outcome, 0)) for outcome in ItemOutcome},
            **{name: fields.get(name, 0) for name in plain},
        )


def total_of(counts: Iterable[Counts]) -> Counts:
    """The sum of counts."""
    total = Counts()
    for one in counts:
        total.add(one)
    return total


@dataclass(frozen=True, slots=True)
class Row:
    """One tenant's account, or the sum of those that have none."""

    tenant: str
    total: Counts
    """Since the node's start, or since the tenant last got an account."""
    recent: Counts
    """Of the last `WINDOW` seconds."""
    running: int = 0
    """Online requests that are at engines now."""

    def fields(self) -> dict[str, Any]:
        """All of it by name, for output."""
        return {
            "tenant": self.tenant,
            "running": self.running,
            "total": self.total.fields(),
            "lately": self.recent.fields(),
        }


class _Account:
    """Counts by slices of time, the older ones summed."""

    __slots__ = ("_past", "_slices")

    def __init__(self) -> None:
        self._past = Counts()
        self._slices: deque[tuple[int, Counts]] = deque()

    def at(self, number: int) -> Counts:
        """Counts of the slice of that number, for adding to."""
        if self._slices and self._slices[-1][0] >= number:
            return self._slices[-1][1]
        self._expire(number)
        self._slices.append((number, Counts()))
        return self._slices[-1][1]

    def _expire(self, number: int) -> None:
        while self._slices and self._slices[0][0] <= number - SLICES:
            self._past.add(self._slices.popleft()[1])

    def recent(self, number: int) -> Counts:
        """Counts of the window that ends with the slice of that number."""
        self._expire(number)
        return total_of(counts for _, counts in self._slices)

    def total(self) -> Counts:
        """All counts."""
        return total_of((self._past, *(counts for _, counts in self._slices)))

    def take(self, other: _Account) -> None:
        """Add another account to this one, slice by slice."""
        self._past.add(other._past)
        slices = dict(self._slices)
        for number, counts in other._slices:
            slices.setdefault(number, Counts()).add(counts)
        self._slices = deque(sorted(slices.items()))
        if self._slices:
            self._expire(self._slices[-1][0])


class Accounts:
    """The accounts of one node; times in monotonic seconds."""

    def __init__(self) -> None:
        self._own: dict[str, _Account] = {}
        self._others: _Account | None = None
        self._running: dict[str, int] = {}
        self.change_count = 0
        """Times that anything was counted."""

    def __len__(self) -> int:
        """Number of tenants that have accounts of their own."""
        return len(self._own)

    def record_request(
        self,
        tenant: str,
        end: End,
        now: float,
        *,
        waited: float = 0.0,
        sent: bool = False,
        engine_seconds: float = 0.0,
    ) -> None:
        """A request of a tenant ended; empty is nobody in particular.

        Args:
            tenant: Its name.
            end: How it ended.
            now: When.
            waited: Seconds until its first engine got it, or until it ended without one.
            sent: Whether an engine got it.
            engine_seconds: Seconds for which it was at engines.
        """
        counts = self._counts(tenant, now)
        counts.asked += 1
        counts.sent += sent
        counts.ends[end] = counts.ends.get(end, 0) + 1
        counts.waited += waited
        if waited > counts.worst_wait:
            counts.worst_wait = waited
        counts.online_seconds += engine_seconds

    def record_start(self, tenant: str) -> None:
        """An engine gets an online request of a tenant."""
        self._running[tenant] = self._running.get(tenant, 0) + 1

    def record_stop(self, tenant: str) -> None:
        """That engine is done with it."""
        self._running[tenant] -= 1
        if not self._running[tenant]:
            del self._running[tenant]

    def holders(self, count: int) -> dict[str, int]:
        """Tenants with the most online requests at engines now, and how many."""
        first_ones = sorted(self._running.items(), key=lambda one: (-one[1], one[0]))[:count]
        return dict(first_ones)

    def record_item_run(self, tenant: str, seconds: float, now: float) -> None:
        """A batch item was at an engine for some time, whether it ended there or not."""
        self._counts(tenant, now).item_seconds += seconds

    def record_item_end(self, tenant: str, outcome: ItemOutcome, now: float) -> None:
        """A batch item ended."""
        items = self._counts(tenant, now).items
        items[outcome] = items.get(outcome, 0) + 1

    def _counts(self, tenant: str, now: float) -> Counts:
        self.change_count += 1
        number = int(now // SLICE_SECONDS)
        account = self._own.get(tenant)
        if account is None:
            if len(self._own) >= MAX_ACCOUNTS:
                self._fold(number)
            account = self._own[tenant] = _Account()
        return account.at(number)

    def _fold(self, number: int) -> None:
        """Sum the accounts of all that are in none of the orders."""
        lately = {tenant: account.recent(number) for tenant, account in self._own.items()}
        kept = set().union(*(top_tenants(lately, order, TOP_TENANTS) for order in ORDERS))
        for tenant in lately.keys() - kept:
            if self._others is None:
                self._others = _Account()
            self._others.take(self._own.pop(tenant))

    def rows(self, now: float) -> list[Row]:
        """All accounts, those served worst lately first, the sum of the others last.

        Tenants whose first request still runs are among the others.
        """
        number = int(now // SLICE_SECONDS)
        rows = [
            Row(tenant, account.total(), account.recent(number), self._running.get(tenant, 0))
            for tenant, account in self._own.items()
        ]
        rows.sort(key=lambda row: (row.recent.in_time_score, row.total.in_time_score, row.tenant))
        running = sum(self._running.values()) - sum(row.running for row in rows)
        if self._others is not None or running:
            others = self._others or _Account()
            rows.append(Row(OTHERS, others.total(), others.recent(number), running))
        return rows


def by_asked(counts: Counts) -> float:
    """Order of who asked most."""
    return -counts.asked


def by_engine_seconds(counts: Counts) -> float:
    """Order of who held engines longest."""
    return -counts.engine_seconds


def by_in_time_score(counts: Counts) -> float:
    """Order of who was served worst."""
    return counts.in_time_score


ORDERS: tuple[Callable[[Counts], float], ...] = (by_asked, by_engine_seconds, by_in_time_score)


def top_tenants(
    lately: Mapping[str, Counts], order: Callable[[Counts], float], count: int
) -> list[str]:
    """The first tenants in an order, by name among equals."""
    return sorted(lately, key=lambda tenant: (order(lately[tenant]), tenant))[:count]
