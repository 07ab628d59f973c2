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
EQUAL_WEIGHT = 1.0
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
class _TenantQueue:
    """Items of one tenant that have no result, in the order of their tags."""

    items: list[_Item] = field(default_factory=list)
    end: float = 0.0
    """Tag that follows the last of them."""

    def take_back(self) -> list[_Item]:
        """Take all items off; what has ended of others beside them stays counted."""
        items, self.items = self.items, []
        self.end -= sum(item.cost for item in items)
        return items


@dataclass(slots=True)
class DueCount:
    """Items that are due in the same second; those of jobs that were ended don't count."""

    items: int = 0
    left: int = 0
    """Of them, that have no result."""


class ItemShares:
    """Tags of all items without a result."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Start with no items; weights by tenant, only their proportions matter."""
        self._weights = _normalized(weights)
        self._queues: dict[str, _TenantQueue] = {}
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

    def accepted(
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
        queue = self._queues.setdefault(tenant, _TenantQueue())
        in_order = not queue.items or queue.items[-1].due_at_ms <= due_at_ms
        new = [_Item(job_id, index, due_at_ms, count, clock) for index, count in enumerate(tokens)]
        self._items.update((item.key, item) for item in new)
        for item in new:
            self._count(item, 1, 1)
        if in_order:
            self._append_tagged(tenant, queue, new)
        else:
            self._requeue_by_due(tenant, queue, new)

    def ended(self, job_id: str, index: int, *, ran: bool) -> None:
        """An item has a result; one that was given up says nothing of how far the fleet is."""
        item = self._items.pop((job_id, index), None)
        if item is None:
            return
        self._queues[self._tenants[job_id]].items.remove(item)
        self._count(item, 0 if ran else -1, -1)
        if ran:
            self._clock = max(self._clock, item.tag)

    def closed(self, job_id: str) -> None:
        """Nothing more of a job is run: what its tenant sent after it moves up."""
        tenant = self._tenants.pop(job_id, None)
        if tenant is None:
            return
        queue = self._queues[tenant]
        removed = [item for item in queue.items if item.job_id == job_id]
        if not removed:
            return
        for item in removed:
            del self._items[item.key]
            self._count(item, -1, -1)
        items = queue.take_back()
        self._append_tagged(tenant, queue, [item for item in items if item.job_id != job_id])

    def reweigh(self, weights: Mapping[str, float]) -> None:
        """Weights have changed: tenants go on side by side from the clock."""
        normalized = _normalized(weights)
        if normalized == self._weights:
            return
        self._weights = normalized
        for tenant, queue in self._queues.items():
            items, queue.items, queue.end = queue.items, [], self._clock
            self._append_tagged(tenant, queue, items)

    def forget_due(self, before: int) -> None:
        """Drop the counts of items that were due before a second of the epoch."""
        for second in [due for due in self.due if due < before]:
            del self.due[second]

    def _count(self, item: _Item, items: int, left: int) -> None:
        count = self.due.setdefault(item.due_at_ms // 1000, DueCount())
        count.items += items
        count.left += left
        if len(self.due) > MAX_DUE_SECONDS:
            done = [second for second, count in self.due.items() if count.left <= 0]
            if done:
                del self.due[min(done)]

    def _requeue_by_due(self, tenant: str, queue: _TenantQueue, new: Sequence[_Item]) -> None:
        """Let all items of a tenant stand by due time; what it has been given stays."""
        items = sorted([*queue.take_back(), *new], key=lambda item: item.due_at_ms)
        self._append_tagged(tenant, queue, items)

    def _append_tagged(self, tenant: str, queue: _TenantQueue, items: Sequence[_Item]) -> None:
        """Add items with tags one after the other, from the line's end on."""
        weight = self._weights.get(tenant, EQUAL_WEIGHT)
        for item in items:
            item.cost = item.tokens / weight
            item.tag = max(queue.end, item.clock)
            queue.end = item.tag + item.cost
            queue.items.append(item)


def _normalized(weights: Mapping[str, float]) -> dict[str, float]:
    """Weights whose mean is one, so that tags stay in tokens."""
    mean = sum(weights.values()) / len(weights) if weights else 0.0
    return {name: weight / mean for name, weight in weights.items()} if mean > 0 else {}
