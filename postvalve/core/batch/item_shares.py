"""In which order items of several tenants start and give way: start-time fair queueing.

Every item has a tag: the tokens of its tenant's work that go before it, for the tenant's weight.
The lowest tag starts first and gives way last, so tenants that wait get equally far, and what one
leaves is the others' at once. A tenant that had nothing waiting begins where the fleet is (the
clock), so none saves anything up while it sends nothing.

All nodes read the same log of jobs, and get the same tags from it without a message. A job's record
holds the clock of the node that accepted it: a node that starts, and finds old jobs dropped from
the log, places a tenant that had nothing waiting where those do that have read them. One with a
backlog it places lower, by what waited before the first job that it finds, until that tenant has
nothing waiting once.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

MAX_DUE_SECONDS = 1_024
"""Seconds whose due items are counted, beside those with items that have no result: a node that
works on no item looks at none of them."""
DEFAULT_WEIGHT = 1.0
"""Of a tenant that the configuration doesn't name."""


@dataclass(slots=True, eq=False)
class _Item:
    """An item without a result."""

    job_id: str
    index: int
    due_at_ms: int
    tokens: int
    clock: float
    """When its job was accepted; its tag is never less."""
    tag: float = 0.0
    cost: float = 0.0
    """Tokens for its tenant's weight."""

    @property
    def key(self) -> tuple[str, int]:
        return self.job_id, self.index


@dataclass(slots=True)
class _Line:
    """Items of one tenant that have no result, in the order of their tags."""

    items: list[_Item] = field(default_factory=list)
    end: float = 0.0
    """Tag that follows the last of them."""

    def remove_all(self) -> list[_Item]:
        """Take all items off; what has ended of others beside them stays counted."""
        items, self.items = self.items, []
        self.end -= sum(one.cost for one in items)
        return items


@dataclass(slots=True)
class DueCount:
    """Items that are due in the same second; those of jobs that were ended don't count."""

    items: int = 0
    unfinished: int = 0
    """Of them, that have no result."""


class ItemShares:
    """Tags of all items without a result."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Start with no items; weights by tenant, only their proportions matter."""
        self._weights = _relative(weights)
        self._lines: dict[str, _Line] = {}
        self._items: dict[tuple[str, int], _Item] = {}
        self._tenants: dict[str, str] = {}
        """Tenant by job."""
        self._clock = 0.0
        self.due: dict[int, DueCount] = {}
        """By seconds of the epoch."""

    @property
    def clock(self) -> int:
        """How far the fleet has come, for the record of a job that is accepted now.

        The highest tag of an item that has ended; never less than what a record told.
        """
        return int(self._clock)

    def tag(self, job_id: str, index: int) -> int:
        """The tag of an item; the clock for one that is not known."""
        item = self._items.get((job_id, index))
        return int(item.tag) if item is not None else self.clock

    def add_job(
        self, job_id: str, tenant: str, clock: int, due_at_ms: int, tokens: Sequence[int]
    ) -> None:
        """A job was accepted.

        Args:
            job_id: The job; each is accepted once.
            tenant: Who sent it.
            clock: What its record tells.
            due_at_ms: When it is due.
            tokens: Of each of its items.
        """
        self._clock = max(self._clock, clock)
        self._tenants[job_id] = tenant
        line = self._lines.setdefault(tenant, _Line())
        in_order = not line.items or line.items[-1].due_at_ms <= due_at_ms
        new = [_Item(job_id, index, due_at_ms, count, clock) for index, count in enumerate(tokens)]
        self._items.update((item.key, item) for item in new)
        for item in new:
            self._count(item, 1, 1)
        if in_order:
            self._lay(tenant, line, new)
        else:
            self._lay_by_due(tenant, line, new)

    def end_item(self, job_id: str, index: int, *, ran: bool) -> None:
        """An item has a result; one that was given up says nothing of how far the fleet is."""
        item = self._items.pop((job_id, index), None)
        if item is None:
            return
        self._lines[self._tenants[job_id]].items.remove(item)
        self._count(item, 0 if ran else -1, -1)
        if ran:
            self._clock = max(self._clock, item.tag)

    def close_job(self, job_id: str) -> None:
        """Nothing more of a job is run: what its tenant sent after it moves up."""
        tenant = self._tenants.pop(job_id, None)
        if tenant is None:
            return
        line = self._lines[tenant]
        gone = [one for one in line.items if one.job_id == job_id]
        if not gone:
            return
        for item in gone:
            del self._items[item.key]
            self._count(item, -1, -1)
        items = line.remove_all()
        self._lay(tenant, line, [one for one in items if one.job_id != job_id])

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Weights have changed: tenants go on side by side from the clock."""
        relative = _relative(weights)
        if relative == self._weights:
            return
        self._weights = relative
        for tenant, line in self._lines.items():
            items, line.items, line.end = line.items, [], self._clock
            self._lay(tenant, line, items)

    def forget_due(self, before: int) -> None:
        """Drop the counts of items that were due before a second of the epoch."""
        for second in [one for one in self.due if one < before]:
            del self.due[second]

    def _count(self, item: _Item, items: int, unfinished: int) -> None:
        count = self.due.setdefault(item.due_at_ms // 1000, DueCount())
        count.items += items
        count.unfinished += unfinished
        if len(self.due) > MAX_DUE_SECONDS:
            done = [second for second, one in self.due.items() if one.unfinished <= 0]
            if done:
                del self.due[min(done)]

    def _lay_by_due(self, tenant: str, line: _Line, new: Sequence[_Item]) -> None:
        """Let all items of a tenant stand by due time; what it has been given stays."""
        items = sorted([*line.remove_all(), *new], key=lambda one: one.due_at_ms)
        self._lay(tenant, line, items)

    def _lay(self, tenant: str, line: _Line, items: Sequence[_Item]) -> None:
        """Add items with tags one after the other, from the line's end on."""
        weight = self._weights.get(tenant, DEFAULT_WEIGHT)
        for item in items:
            item.cost = item.tokens / weight
            item.tag = max(line.end, item.clock)
            line.end = item.tag + item.cost
            line.items.append(item)


def _relative(weights: Mapping[str, float]) -> dict[str, float]:
    """Weights whose mean is one, so that tags stay in tokens."""
    mean = sum(weights.values()) / len(weights) if weights else 0.0
    return {name: weight / mean for name, weight in weights.items()} if mean > 0 else {}
