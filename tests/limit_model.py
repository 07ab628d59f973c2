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
        self.start(now)

    def start(self, now):
        self.limits = FleetLimits(self.name, now, self.bounds)
        self.heard = {}

    @property
    def is_running(self):
        return not (self.suspended or self.down)

    def update_view(self, announced, now):
        live = [name for name, at in self.heard.items() if now - at <= SILENT_AFTER]
        self.limits.update_view([*live, self.name], announced, now)


class LimitModel:
    """A fleet of nodes, each of which admits requests by asking the tenant's lenders for credit."""

    def __init__(self, seed, nodes, terms, bounds=BOUNDS):
        self.random = random.Random(seed)
        self.now = 100.0
        self.terms = terms
        self.bounds = bounds
        names = [f"n{number}" for number in range(nodes)]
        self.nodes = {name: ModelNode(name, 100.0, bounds) for name in names}
        self.announced = nodes
        self.side = dict.fromkeys(self.nodes, 0)
        self.admitted = deque()
        self.total = 0
        self.asked = 0
        self.max_in_window = 0
        self.scheduled = []

    def can_reach(self, first, second):
        both = self.nodes[first].is_running and self.nodes[second].is_running
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
            node.update_view(self.announced, self.now)
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
                if first is not second and self.can_reach(first.name, second.name):
                    second.heard[first.name] = self.now
            first.update_view(self.announced, self.now)

    def try_admit(self, node):
        for name in node.limits.choices("t"):
            if name != node.name and not self.can_reach(node.name, name):
                continue
            other = self.nodes[name]
            other.update_view(self.announced, self.now)
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
        primary = next(iter(self.nodes.values())).limits.choices("t")[0]
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

        self.after(seconds, start)


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
