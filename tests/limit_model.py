"""Model of nodes that enforce tenant limits together, under partitions and outages; without sockets
or real time."""

import random
from collections import deque

from postvalve.core.admission.fleet_limits import CreditOutcome, FleetLimits, LimitBounds
from postvalve.core.admission.token_bucket import TokenBucket

STEP = 0.02
REPORT_EVERY = 0.2
BOUNDS = LimitBounds()
SILENT_AFTER = 2.0


def allowed(terms, bounds=BOUNDS):
    """Return the requests that may run within any window."""
    return (terms.rate * bounds.window + terms.burst) * (1 + bounds.over) + bounds.slack


class ModelNode:
    def __init__(self, name, now, bounds):
        self.name = name
        self.bounds = bounds
        self.heard = {}
        self.suspended = False
        self.down = False
        self.addresses = None
        """Names of the nodes that it sends reports to; None before it has read them."""
        self.start(now)

    def start(self, now):
        self.limits = FleetLimits(self.name, now, self.bounds)
        self.heard = {}
        self.heard_unsynced = {}
        """Whether each node heard had not read which nodes there are, by its last report."""

    @property
    def knows_nodes(self):
        return self.addresses is not None

    def facts(self):
        """Return the number of nodes that it has read, and those heard that have read none."""
        unsynced = [name for name in self.heard if self.heard_unsynced[name]]
        return len(self.addresses) if self.knows_nodes else None, unsynced

    def update_view(self, now):
        live = [name for name, at in self.heard.items() if now - at <= SILENT_AFTER]
        announced, unsynced = self.facts()
        self.limits.update_view([*live, self.name], announced, now, unsynced=unsynced)

    def hear(self, other, now):
        self.heard[other.name] = now
        self.heard_unsynced[other.name] = not other.knows_nodes

    def sends_to(self, other, now):
        """Whether it has the address of another node, by the store or by its reports."""
        heard_at = self.heard.get(other.name, -SILENT_AFTER)
        return other.name in (self.addresses or ()) or now - heard_at <= SILENT_AFTER

    @property
    def is_running(self):
        return not (self.suspended or self.down)


class LimitModel:
    """A fleet of nodes, each of which admits requests by asking the tenant's lenders for credit."""

    def __init__(self, seed, nodes, terms, bounds=BOUNDS):
        self.random = random.Random(seed)
        self.topic_is_down = False
        """Whether nodes can't read which nodes there are."""
        self.now = 100.0
        self.terms = terms
        self.bounds = bounds
        names = [f"n{number}" for number in range(nodes)]
        self.nodes = {name: self.new_node(name) for name in names}
        self.side = dict.fromkeys(self.nodes, 0)
        self.admitted = deque()
        self.total = 0
        self.asked = 0
        self.max_in_window = 0
        self.scheduled = []
        self.announced = set()
        """Names of the nodes that have announced themselves."""
        for name in self.random.sample(names, len(names)):
            self.read_nodes(name)

    def read_nodes(self, name):
        """Let a node announce itself, and read which nodes there are."""
        self.announced.add(name)
        self.nodes[name].addresses = set(self.announced)

    def new_node(self, name):
        return ModelNode(name, self.now, self.bounds)

    def can_reach(self, first, second):
        nodes = self.nodes[first], self.nodes[second]
        both = all(one.is_running for one in nodes)
        return both and self.side[first] == self.side[second]

    def step(self, arrivals, at=None):
        """Advance the time by one step, with requests at random running nodes, or at those of
        `at`."""
        self.now += STEP
        while self.scheduled and self.scheduled[0][0] <= self.now:
            self.scheduled.pop(0)[1]()
        if round(self.now / STEP) % round(REPORT_EVERY / STEP) == 0:
            self.report()
        working = [self.nodes[one] for one in at or self.nodes if self.nodes[one].is_running]
        for _ in range(arrivals if working else 0):
            node = self.random.choice(working)
            node.update_view(self.now)
            self.asked += 1
            if self.try_admit(node):
                self.total += 1
                self.admitted.append(self.now)
        while self.admitted and self.admitted[0] <= self.now - self.bounds.window:
            self.admitted.popleft()
        self.max_in_window = max(self.max_in_window, len(self.admitted))

    def report(self):
        for first in self.nodes.values():
            if not first.is_running:
                continue
            for second in self.nodes.values():
                if not first.sends_to(second, self.now):
                    continue
                if first is not second and self.can_reach(first.name, second.name):
                    second.hear(first, self.now)
            first.update_view(self.now)

    def try_admit(self, node):
        for name in node.limits.choices("t"):
            if name != node.name and not self.can_reach(node.name, name):
                continue
            other = self.nodes[name]
            other.update_view(self.now)
            decision = other.limits.try_acquire("t", self.terms, self.now)
            if decision.outcome is CreditOutcome.GRANTED:
                return True
            if decision.outcome is CreditOutcome.OVER_LIMIT and decision.share >= 1.0:
                return False
        return False

    # Faults

    def after(self, seconds, action):
        self.scheduled.append((self.now + seconds, action))
        self.scheduled.sort(key=lambda one: one[0])

    def cut(self, share, seconds):
        """Cut a share of the nodes off from the others; they still reach each other."""
        chosen = self.random.sample(sorted(self.nodes), int(len(self.nodes) * share))
        for name in chosen:
            self.side[name] = 1
        self.after(seconds, lambda: self.side.update(dict.fromkeys(chosen, 0)))

    def isolate(self, share, seconds):
        """Cut each of a share of the nodes off from all others."""
        chosen = self.random.sample(sorted(self.nodes), int(len(self.nodes) * share))
        for number, name in enumerate(chosen):
            self.side[name] = 10 + number
        self.after(seconds, lambda: self.side.update(dict.fromkeys(chosen, 0)))

    def freeze(self, share, seconds):
        chosen = self.random.sample(sorted(self.nodes), max(1, int(len(self.nodes) * share)))
        for name in chosen:
            self.nodes[name].suspended = True
        self.after(
            seconds, lambda: [setattr(self.nodes[one], "suspended", False) for one in chosen]
        )

    def freeze_lender(self, seconds):
        """Suspend the primary lender."""
        lenders = [
            choices[0] for node in self.nodes.values() if (choices := node.limits.choices("t"))
        ]
        if not lenders:
            return
        primary = lenders[0]
        self.nodes[primary].suspended = True
        self.after(seconds, lambda: setattr(self.nodes[primary], "suspended", False))

    def kill(self, share, seconds):
        chosen = self.random.sample(sorted(self.nodes), max(1, int(len(self.nodes) * share)))
        for name in chosen:
            self.nodes[name].down = True

        def start():
            for name in chosen:
                self.nodes[name].down = False
                self.nodes[name].start(self.now)
                self.nodes[name].addresses = None
                if not self.topic_is_down:
                    self.read_nodes(name)

        self.after(seconds, start)

    def end_topic(self, seconds):
        """Keep nodes that start from reading which nodes there are."""
        self.topic_is_down = True

        def restore():
            self.topic_is_down = False
            for name, node in self.nodes.items():
                if not node.down and not node.knows_nodes:
                    self.read_nodes(name)

        self.after(seconds, restore)

    def add(self, count):
        """Start further nodes, which announce themselves once they can."""
        for _ in range(count):
            name = f"n{len(self.nodes)}"
            self.nodes[name] = self.new_node(name)
            self.side[name] = 0
            if not self.topic_is_down:
                self.read_nodes(name)


class ShareModel(LimitModel):
    """The alternative policy: each node enforces a part of the limit, by the number of nodes it
    hears."""

    def try_admit(self, node):
        nodes = node.limits.live_nodes
        terms = self.terms
        bucket = getattr(node, "bucket", None)
        if bucket is None:
            bucket = node.bucket = TokenBucket(0.0, 0.0, 0.0, node.limits._started_at)
        bucket.rate = terms.rate / nodes
        bucket.burst = max(1.0, terms.burst / nodes)
        return not bucket.take(self.now)
