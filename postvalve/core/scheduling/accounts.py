"""Counts of what each tenant requested and received at one node, of bounded size.

Every request is counted once, when it ends, so the number of requests is always the sum over the
ways in which they ended. A tenant has an account of its own while it is among the first
`TOP_TENANTS` of the last `WINDOW` seconds by requests, by engine time, or by worst service. There
are at most `MAX_ACCOUNTS` accounts. When a new tenant needs one, the accounts of all tenants that
rank in none of these orders are merged into a common one, and a tenant among them starts a new
account with its next request. A new tenant thus keeps its account until many others have come, and
the node's totals are exact.
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
"""Number of slices of the window, including the current one."""
WINDOW = SLICE_SECONDS * SLICES
"""Upper bound of the seconds covered by `Row.recent`, which covers one slice less at the least:
long enough for a burst of requests and its outcome."""
TOP_TENANTS = 24
"""Tenants of each order that keep accounts of their own."""
MAX_ACCOUNTS = 128
"""Upper bound of the accounts of single tenants."""
PRIOR_REQUESTS = 2
"""Requests served in time that are added to each tenant's counts for ordering by service, so that
one refused request does not rank before a hundred of them."""
OTHERS = "all others"
"""Name of the row that sums tenants without accounts; tenant names contain no blanks."""


class End(enum.StrEnum):
    """How a request ended for its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    """Completed, but the first event (or the body) came after the route's target latency."""
    FAILED = "failed"
    """Answered with an error, or cut off, after it may have run."""
    GIVEN_UP = "given_up"
    """Timed out after it may have run."""
    LEFT = "left"
    """The client closed the connection."""
    OVER_LIMIT = "over_limit"
    """Refused without running, like all that follow."""
    COUNT_UNKNOWN = "count_unknown"
    """No node could tell whether the tenant has credit."""
    KEY_UNKNOWN = "key_unknown"
    """No key, an unknown key, or one that the node could not check."""
    NO_ROOM = "no_room"
    """No engine would have been in time, or accepted the request."""
    NODE_LEAVING = "node_leaving"
    STORE_AWAY = "store_away"
    TIME_OVER = "time_over"
    """Timed out before it could have run."""
    INVALID = "invalid"
    """No node could serve the request as sent: no route, body too large, or no such job."""
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
"""Ends caused by the caller itself, ignored when tenants are ordered by worst service."""


@dataclass(slots=True)
class Counts:
    """Totals of some requests and batch items of a tenant; times in seconds."""

    asked: int = 0
    sent: int = 0
    """Requests that were sent to an engine at least once."""
    ends: dict[End, int] = field(default_factory=dict)
    items: dict[ItemOutcome, int] = field(default_factory=dict)
    waited: float = 0.0
    """Time until an engine got the requests, or until they ended without one."""
    worst_wait: float = 0.0
    online_seconds: float = 0.0
    """Time that online requests spent at engines, except at those that refused them."""
    item_seconds: float = 0.0
    """Time that batch items spent at engines."""

    @property
    def engine_seconds(self) -> float:
        """Time that requests and batch items spent at engines."""
        return self.online_seconds + self.item_seconds

    @property
    def refused(self) -> int:
        """Requests that were refused without running."""
        return sum(self.ends.get(entry, 0) for entry in REFUSED)

    @property
    def eligible(self) -> int:
        """Requests that should have been served, those excluded whose end the caller caused."""
        return self.asked - sum(self.ends.get(entry, 0) for entry in CALLER_CAUSED)

    @property
    def in_time_share(self) -> float:
        """Fraction of the eligible requests served in time; 1 if there were none."""
        return self.ends.get(End.IN_TIME, 0) / self.eligible if self.eligible else 1.0

    @property
    def in_time_score(self) -> float:
        """The in-time share with a prior: the fewer the requests, the nearer to 1."""
        return (self.ends.get(End.IN_TIME, 0) + PRIOR_REQUESTS) / (self.eligible + PRIOR_REQUESTS)

    def add(self, other: Counts) -> None:
        """Add other counts to these."""
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
        """Return all counts by name, for output; `from_fields` is the inverse."""
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
        """Return counts from the output of `fields` of any build; missing counts are 0."""
        names = [
            entry.name for entry in dataclasses.fields(cls) if entry.name not in ("ends", "items")
        ]
        return cls(
            ends={end: int(fields.get(end, 0)) for end in End},
            items={outcome: int(fields.get(outcome, 0)) for outcome in ItemOutcome},
            **{name: fields.get(name, 0) for name in names},
        )


def total_of(counts: Iterable[Counts]) -> Counts:
    """Return the sum of counts."""
    total = Counts()
    for entry in counts:
        total.add(entry)
    return total


@dataclass(frozen=True, slots=True)
class Row:
    """The account of one tenant, or the sum of the tenants that have none."""

    tenant: str
    total: Counts
    """Counts since the node's start, or since the tenant last got an account."""
    recent: Counts
    """Counts of the last `WINDOW` seconds."""
    running: int = 0
    """Online requests at engines now."""

    def fields(self) -> dict[str, Any]:
        """Return the row as nested dictionaries, for output."""
        return {
            "tenant": self.tenant,
            "running": self.running,
            "total": self.total.fields(),
            "lately": self.recent.fields(),
        }


class _Account:
    """Counts in time slices, with the older slices summed."""

    __slots__ = ("_past", "_slices")

    def __init__(self) -> None:
        self._past = Counts()
        self._slices: deque[tuple[int, Counts]] = deque()

    def at(self, number: int) -> Counts:
        """Return the counts of a slice, to be added to."""
        if self._slices and self._slices[-1][0] >= number:
            return self._slices[-1][1]
        self._expire(number)
        self._slices.append((number, Counts()))
        return self._slices[-1][1]

    def _expire(self, number: int) -> None:
        while self._slices and self._slices[0][0] <= number - SLICES:
            self._past.add(self._slices.popleft()[1])

    def recent(self, number: int) -> Counts:
        """Return the counts of the window that ends with a slice."""
        self._expire(number)
        return total_of(counts for _, counts in self._slices)

    def total(self) -> Counts:
        """Return the counts of all time."""
        return total_of((self._past, *(counts for _, counts in self._slices)))

    def merge(self, other: _Account) -> None:
        """Merge another account into this one, slice by slice."""
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
        """Number of changes to the counts."""

    def __len__(self) -> int:
        """Return the number of tenants that have accounts of their own."""
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
        """Count a request that has ended.

        Args:
            tenant: Name of the tenant; empty if it is unknown.
            end: How the request ended.
            now: When it ended.
            waited: Seconds until its first engine got it, or until it ended without one.
            sent: Whether an engine got it.
            engine_seconds: Seconds that it spent at engines.
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
        """Count an online request that an engine gets as running."""
        self._running[tenant] = self._running.get(tenant, 0) + 1

    def record_stop(self, tenant: str) -> None:
        """Count an online request that has left its engine as no longer running."""
        self._running[tenant] -= 1
        if not self._running[tenant]:
            del self._running[tenant]

    def holders(self, count: int) -> dict[str, int]:
        """Return the tenants with the most online requests at engines now, with their numbers."""
        ordered = sorted(self._running.items(), key=lambda entry: (-entry[1], entry[0]))[:count]
        return dict(ordered)

    def record_item_run(self, tenant: str, seconds: float, now: float) -> None:
        """Add the time that a batch item spent at an engine, whether it ended there or not."""
        self._counts(tenant, now).item_seconds += seconds

    def record_item_end(self, tenant: str, outcome: ItemOutcome, now: float) -> None:
        """Count a batch item that has ended."""
        items = self._counts(tenant, now).items
        items[outcome] = items.get(outcome, 0) + 1

    def _counts(self, tenant: str, now: float) -> Counts:
        self.change_count += 1
        number = int(now // SLICE_SECONDS)
        account = self._own.get(tenant)
        if account is None:
            if len(self._own) >= MAX_ACCOUNTS:
                self._merge_unranked(number)
            account = self._own[tenant] = _Account()
        return account.at(number)

    def _merge_unranked(self, number: int) -> None:
        """Merge the accounts of all tenants that rank in none of the orders."""
        recent = {tenant: account.recent(number) for tenant, account in self._own.items()}
        ranked = set().union(*(top_tenants(recent, order, TOP_TENANTS) for order in ORDERS))
        for tenant in recent.keys() - ranked:
            if self._others is None:
                self._others = _Account()
            self._others.merge(self._own.pop(tenant))

    def rows(self, now: float) -> list[Row]:
        """Return all accounts, those with the worst recent service first, the sum of the others
        last.

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
    """Sort key of the order by most requests."""
    return -counts.asked


def by_engine_seconds(counts: Counts) -> float:
    """Sort key of the order by most engine time."""
    return -counts.engine_seconds


def by_in_time_score(counts: Counts) -> float:
    """Sort key of the order by worst service."""
    return counts.in_time_score


ORDERS: tuple[Callable[[Counts], float], ...] = (by_asked, by_engine_seconds, by_in_time_score)


def top_tenants(
    recent: Mapping[str, Counts], order: Callable[[Counts], float], count: int
) -> list[str]:
    """Return the first tenants in an order; equal ones are ordered by name."""
    return sorted(recent, key=lambda tenant: (order(recent[tenant]), tenant))[:count]
