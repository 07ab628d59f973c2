"""Model of tenants that compete for one pool of slots, in virtual time.

An order of service takes the nodes' queues and returns which request gets a free slot, as `(node,
request)`.
"""

import heapq
import random
from dataclasses import dataclass

from postvalve.core.scheduling.fair_share import ShareClock, TagAssigner, Work

SLOT_TIME = 0.8
"""Seconds for which a request occupies its slot."""
MAX_WAIT = 0.6
"""Seconds after which a request without a slot is late."""


@dataclass(slots=True, eq=False)
class Request:
    """A request that waits."""

    tenant: int
    at: float
    tag: float


class Model:
    """`rates` holds the requests per second of each tenant; all tenants have the same weight."""

    def __init__(self, order, rates, slots, nodes=13, seed=1, burst=None):
        self.order, self.slots, self.random, self.now = order, slots, random.Random(seed), 0.0
        self.clock = ShareClock()
        self.assigner = TagAssigner(self.clock)
        self.queues = [[] for _ in range(nodes)]
        self.in_time = [0] * len(rates)
        self.requested = [0] * len(rates)
        self.arrivals = sorted(
            (at, tenant)
            for tenant, rate in enumerate(rates)
            for at in self._times(rate, burst or (lambda now: 1.0))
        )

    def _times(self, rate, burst):
        now, times = 0.0, []
        while now < 10.0:
            now += self.random.expovariate(rate * 2)
            if self.random.random() * 2 < burst(now):
                times.append(now)
        return times

    def run(self):
        """Play all arrivals; return the share of each tenant's requests that was in time."""
        ends, arrivals = [], list(reversed(self.arrivals))
        while arrivals:
            arriving = not ends or arrivals[-1][0] <= ends[0]
            self.now = now = arrivals[-1][0] if arriving else heapq.heappop(ends)
            if arriving:
                self._arrive(*arrivals.pop())
            self._drop_late(now)
            while len(ends) < self.slots and (found := self.order(self)) is not None:
                node, request = found
                self.queues[node].remove(request)
                self._serve(request)
                heapq.heappush(ends, now + SLOT_TIME)
        return [
            done / max(1, requested)
            for done, requested in zip(self.in_time, self.requested, strict=True)
        ]

    def _arrive(self, now, tenant):
        tag = self.assigner.assign_tag(str(tenant), 1.0, Work(SLOT_TIME))
        self.requested[tenant] += 1
        self.random.choice(self.queues).append(Request(tenant, now, tag))

    def _drop_late(self, now):
        for queue in self.queues:
            for request in [queued for queued in queue if queued.at + MAX_WAIT < now]:
                queue.remove(request)
                # The request did not run, so its cost is returned with the tenant's next one.
                self.assigner.assign_tag(str(request.tenant), 1.0, Work(0.0, -SLOT_TIME))

    def _serve(self, request):
        waiting = [queued.tag for queue in self.queues for queued in queue]
        self.clock.record_served(request.tag, min(waiting, default=None))
        self.in_time[request.tenant] += 1


def random_busy_node(model):
    """Return a random node that has waiting requests, or None."""
    busy = [node for node, queue in enumerate(model.queues) if queue]
    return model.random.choice(busy) if busy else None


def oldest_by_draw(model):
    """The order without shares: nodes draw for each slot, and the node's oldest request gets it."""
    node = random_busy_node(model)
    return None if node is None else (node, min(model.queues[node], key=lambda queued: queued.at))


def tag_by_draw(model):
    """Tags without a shared queue: nodes draw for each slot, and the node's lowest tag gets it."""
    node = random_busy_node(model)
    return None if node is None else (node, min(model.queues[node], key=lambda queued: queued.tag))


def tag_in_shared_queue(model):
    """Tags in one queue over all nodes."""
    waiting = [
        (queued.tag, queued.at, node, queued) for node, q in enumerate(model.queues) for queued in q
    ]
    if not waiting:
        return None
    first = min(waiting, key=lambda entry: entry[:3])
    return first[2], first[3]


class DeficitRoundRobin:
    """The alternative: each node serves its tenants in turn, by the counts that digests report.

    With equal requests the deficit is a count. A tenant that was idle starts at the count of the
    waiting tenant that was served least.
    """

    MAX_CREDIT = 25
    """Requests that a tenant may get in a row after it was idle."""
    DIGEST = 0.25
    """Seconds after which nodes know what others have served."""

    def __init__(self):
        self.shared_counts, self.shared_at = {}, 0.0
        """Requests served by tenant, as all nodes know."""
        self.local_counts = {}
        """Requests served since then, by node and tenant."""

    def __call__(self, model):
        node = random_busy_node(model)
        if node is None:
            return None
        if model.now - self.shared_at > self.DIGEST:
            self._share_counts(model.now)
        queue = model.queues[node]
        least = min((self._served(node, queued.tenant) for queued in queue), default=0)
        first = min(queue, key=lambda queued: (self._served(node, queued.tenant), queued.at))
        floor = max(0, least - self.shared_counts.get(first.tenant, 0))
        local_counts = self.local_counts.setdefault(node, {})
        local_counts[first.tenant] = max(local_counts.get(first.tenant, 0), floor) + 1
        return node, first

    def _share_counts(self, now):
        for counts in self.local_counts.values():
            for tenant, count in counts.items():
                self.shared_counts[tenant] = self.shared_counts.get(tenant, 0) + count
        busy = max(self.shared_counts.values(), default=0)
        self.shared_counts = {
            tenant: max(count, busy - self.MAX_CREDIT)
            for tenant, count in self.shared_counts.items()
        }
        self.local_counts, self.shared_at = {}, now

    def _served(self, node, tenant):
        return self.shared_counts.get(tenant, 0) + self.local_counts.get(node, {}).get(tenant, 0)
