"""Order of batch items between tenants, for starting and preemption: start-time fair queueing.

Every item has a start tag: the tokens of its tenant's earlier work, divided by the tenant's weight.
The lowest tag starts first and is preempted last, so tenants with a backlog advance equally, and
capacity that one tenant leaves goes to the others at once. A tenant without a backlog starts at the
virtual clock of the fleet, so it gains no credit while it sends nothing.

All nodes read the same job log and derive the same tags from it without exchanging messages. A
job's record holds the clock of the node that accepted it. A node that starts after old jobs were
dropped from the log therefore assigns the same tags as the others to a tenant without a backlog. To
a tenant with a backlog it assigns lower tags, by the items that waited before the first job in the
log, until that tenant's backlog is empty once.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

MAX_DUE_SECONDS = 1_024
"""Limit on the seconds for which due items are counted, besides seconds with unfinished items. A
node that works on no item never reads these counts."""
DEFAULT_WEIGHT = 1.0
"""Weight of a tenant that the configuration doesn't name."""


@dataclass(slots=True, eq=False)
class _Item:
    """An item without a result."""

    job_id: str
    index: int
    due_at_ms: int
    tokens: int
    clock: float
    """Virtual clock when its job was accepted; a lower bound of its tag."""
    tag: float = 0.0
    cost: float = 0.0
    """Tokens divided by the tenant's weight."""

    @property
    def key(self) -> tuple[str, int]:
        return self.job_id, self.index


@dataclass(slots=True)
class _TenantQueue:
    """Unfinished items of one tenant, in order of their tags."""

    items: list[_Item] = field(default_factory=list)
    end: float = 0.0
    """Tag of the next item to be added."""

    def remove_all(self) -> list[_Item]:
        """Remove all items, and return them; the cost of finished items stays in `end`."""
        items, self.items = self.items, []
        self.end -= sum(item.cost for item in items)
        return items


@dataclass(slots=True)
class DueCount:
    """Items that are due in the same second, without those of cancelled jobs."""

    items: int = 0
    unfinished: int = 0
    """How many of them have no result."""


class ItemShares:
    """Start tags of all unfinished items."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Start with no items; `weights` is by tenant, and only the proportions matter."""
        self._weights = _normalized(weights)
        self._queues: dict[str, _TenantQueue] = {}
        self._items: dict[tuple[str, int], _Item] = {}
        self._tenants: dict[str, str] = {}
        """Tenant by job id."""
        self._clock = 0.0
        self.due: dict[int, DueCount] = {}
        """Counts of due items, by second of the epoch."""

    @property
    def clock(self) -> int:
        """Virtual clock of the fleet, stored in the record of a job that is accepted now.

        This is the highest tag of a completed item, and never less than the clock of any record
        read.
        """
        return int(self._clock)

    def tag(self, job_id: str, index: int) -> int:
        """Return the start tag of an item, or the clock if the item is not known."""
        item = self._items.get((job_id, index))
        return int(item.tag) if item is not None else self.clock

    def add_job(
        self, job_id: str, tenant: str, clock: int, due_at_ms: int, tokens: Sequence[int]
    ) -> None:
        """Add the items of an accepted job.

        Args:
            job_id: Id of the job, which must not have been added before.
            tenant: Tenant that submitted it.
            clock: Virtual clock in the job's record.
            due_at_ms: When its items are due.
            tokens: Token count of each item.
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

    def end_item(self, job_id: str, index: int, *, ran: bool) -> None:
        """Remove an item that has a result; if it was given up, the clock does not advance."""
        item = self._items.pop((job_id, index), None)
        if item is None:
            return
        self._queues[self._tenants[job_id]].items.remove(item)
        self._count(item, 0 if ran else -1, -1)
        if ran:
            self._clock = max(self._clock, item.tag)

    def close_job(self, job_id: str) -> None:
        """Remove the remaining items of a job; the tenant's later items move forward."""
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
        items = queue.remove_all()
        self._append_tagged(tenant, queue, [item for item in items if item.job_id != job_id])

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights; all backlogged tenants continue from the present clock."""
        normalized = _normalized(weights)
        if normalized == self._weights:
            return
        self._weights = normalized
        for tenant, queue in self._queues.items():
            items, queue.items, queue.end = queue.items, [], self._clock
            self._append_tagged(tenant, queue, items)

    def forget_due(self, before: int) -> None:
        """Delete the counts of items that were due before a second of the epoch."""
        for second in [due for due in self.due if due < before]:
            del self.due[second]

    def _count(self, item: _Item, items: int, unfinished: int) -> None:
        count = self.due.setdefault(item.due_at_ms // 1000, DueCount())
        count.items += items
        count.unfinished += unfinished
        if len(self.due) > MAX_DUE_SECONDS:
            done = [second for second, count in self.due.items() if count.unfinished <= 0]
            if done:
                del self.due[min(done)]

    def _requeue_by_due(self, tenant: str, queue: _TenantQueue, new: Sequence[_Item]) -> None:
        """Add items to a tenant's queue and sort it by due time; cost already consumed is kept."""
        items = sorted([*queue.remove_all(), *new], key=lambda item: item.due_at_ms)
        self._append_tagged(tenant, queue, items)

    def _append_tagged(self, tenant: str, queue: _TenantQueue, items: Sequence[_Item]) -> None:
        """Append items with consecutive tags, beginning at the end of the queue."""
        weight = self._weights.get(tenant, DEFAULT_WEIGHT)
        for item in items:
            item.cost = item.tokens / weight
            item.tag = max(queue.end, item.clock)
            queue.end = item.tag + item.cost
            queue.items.append(item)


def _normalized(weights: Mapping[str, float]) -> dict[str, float]:
    """Scale weights to a mean of one, so that tags remain in tokens."""
    mean = sum(weights.values()) / len(weights) if weights else 0.0
    return {name: weight / mean for name, weight in weights.items()} if mean > 0 else {}
