"""Tenants that compete for slots under virtual time: nodes, one pool of slots, an order of service.

An order takes the nodes' queues and says who gets a slot that came free: `(node, request)`.
"""

import heapq
import random
from dataclasses import dataclass

from postvalve.core.scheduling.fair_share import ShareClock, TagAssigner, Work

HELD = 0.8
"""Seconds that a request holds its slot."""
PATIENCE = 0.6
"""Seconds after which a request that has no slot is late."""


@dataclass(slots=True, eq=False)
class Ask:
    """A request that waits."""

    tenant: int
    at: float
    tag: float


class Model:
    """`rates` are requests a second of each tenant; all have the same weight."""

    def __init__(self, order, rates, slots, nodes=13, seed=1, burst=None):
        self.order, self.slots, self.random, self.now = order, slots, random.Random(seed), 0.0
        self.clock = ShareClock()
        self.book = TagAssigner(self.clock)
        self.queues = [[] for _ in range(nodes)]
        self.in_time = [0] * len(rates)
        self.asked = [0] * len(rates)
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
        """Play all arrivals; returns the share of each tenant's requests that was in time."""
        ends, arrivals = [], list(reversed(self.arrivals))
        while arrivals:
            arriving = not ends or arrivals[-1][0] <= ends[0]
            self.now = now = arrivals[-1][0] if arriving else heapq.heappop(ends)
            if arriving:
                self._arrive(*arrivals.pop())
            self._drop_late(now)
            while len(ends) < self.slots and (found := self.order(self)) is not None:
                node, ask = found
                self.queues[node].remove(ask)
                self._serve(ask)
                heapq.heappush(ends, now + HELD)
        return [done / max(1, asked) for done, asked in zip(self.in_time, self.asked, strict=True)]

    def _arrive(self, now, tenant):
        tag = self.book.assign_tag(str(tenant), 1.0, Work(HELD))
        self.asked[tenant] += 1
        self.random.choice(self.queues).append(Ask(tenant, now, tag))

    def _drop_late(self, now):
        for queue in self.queues:
            for ask in [one for one in queue if one.at + PATIENCE < now]:
                queue.remove(ask)
                # Nothing was run for it: its tenant gets it back with the next ask.
                self.book.assign_tag(str(ask.tenant), 1.0, Work(0.0, -HELD))

    def _serve(self, ask):
        waiting = [one.tag for queue in self.queues for one in queue]
        self.clock.record_served(ask.tag, min(waiting, default=None))
        self.in_time[ask.tenant] += 1


def drawn(model):
    """A node that has somebody waiting; None without one."""
    busy = [node for node, queue in enumerate(model.queues) if queue]
    return model.random.choice(busy) if busy else None


def oldest_by_draw(model):
    """Today's way: each slot is drawn for, and the node's oldest gets it."""
    node = drawn(model)
    return None if node is None else (node, min(model.queues[node], key=lambda one: one.at))


def tag_by_draw(model):
    """Tags without the line: each slot is drawn for, and the node's lowest tag gets it."""
    node = drawn(model)
    return None if node is None else (node, min(model.queues[node], key=lambda one: one.tag))


def tag_in_line(model):
    """Tags in one line over all nodes."""
    waiting = [(one.tag, one.at, node, one) for node, q in enumerate(model.queues) for one in q]
    if not waiting:
        return None
    first = min(waiting, key=lambda one: one[:3])
    return first[2], first[3]


class DeficitRoundRobin:
    """The other way: each node takes its tenants in turn, by what digests tell that each got.

    With equal requests the deficit is a count. A tenant that was idle starts where the one is that
    got the least of those that wait.
    """

    SAVED = 25
    """Requests that a tenant may get at once after it was idle."""
    DIGEST = 0.25
    """Seconds after which nodes know what others served."""

    def __init__(self):
        self.told, self.told_at = {}, 0.0
        """What each tenant got, as all nodes know."""
        self.own = {}
        """By node and tenant: what it got since then."""

    def __call__(self, model):
        node = drawn(model)
        if node is None:
            return None
        if model.now - self.told_at > self.DIGEST:
            self._tell(model.now)
        queue = model.queues[node]
        least = min((self._got(node, one.tenant) for one in queue), default=0)
        first = min(queue, key=lambda one: (self._got(node, one.tenant), one.at))
        floor = max(0, least - self.told.get(first.tenant, 0))
        own = self.own.setdefault(node, {})
        own[first.tenant] = max(own.get(first.tenant, 0), floor) + 1
        return node, first

    def _tell(self, now):
        for counts in self.own.values():
            for tenant, count in counts.items():
                self.told[tenant] = self.told.get(tenant, 0) + count
        busy = max(self.told.values(), default=0)
        self.told = {tenant: max(count, busy - self.SAVED) for tenant, count in self.told.items()}
        self.own, self.told_at = {}, now

    def _got(self, node, tenant):
        return self.told.get(tenant, 0) + self.own.get(node, {}).get(tenant, 0)
