"""Placement by nodes whose counts of each other's requests are some tenths of a second old.

Twenty nodes of a zone share 24 engines of six slots. Requests come in bursts, more at some nodes
than at others. Each node knows at once what it sent itself, and what any node sent to the engines
that it watches; it learns of all other requests one report later.
"""

import collections
import heapq
import random
import unittest

from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.routing.engine_choice import EngineChooser, EngineOption

NODES, ENGINES, SLOTS = 20, 24, 6
REPORT_AGE = 0.13
"""Seconds until a request of another node is known: half a report interval and the gather time."""
SLOT_TIME = 0.8
"""Mean seconds for which a request occupies its slot."""
BASE_RATE, BURST_RATE = 60.0, 150.0
"""Requests per second of all nodes together; the slots can serve 180."""
BURST_INTERVAL, BURST_SECONDS = 6.0, 2.4
"""Seconds."""
RUN_SECONDS = 40.0


class Zone:
    """Request counts of engines, and what each node knows of them."""

    def __init__(self, seed, *, own_first):
        self.random = random.Random(seed)
        self.engines = [f"e{number}" for number in range(ENGINES)]
        nodes = [f"n{number}" for number in range(NODES)]
        watcher_of = {engine: preferred_owner(engine, nodes) for engine in self.engines}
        self.watched = {
            node: [engine for engine in self.engines if watcher_of[engine] == node]
            for node in nodes
        }
        self.own_first = own_first
        # Clients keep few connections, so a node has up to ten times the load of another one.
        self.weights = {node: self.random.uniform(0.2, 2.0) for node in nodes}
        self.chooser = EngineChooser("near", self.random)
        self.actual = collections.Counter()
        self.reported = collections.Counter()
        """Counts by engine from reports; they are the same at all nodes."""
        self.unreported = collections.Counter()
        """By node and engine: the node's own requests that no report includes yet."""
        self.scheduled = []
        """Future events: time, sequence number, action, arguments."""
        self.order = 0
        self.waited = self.placed = self.elsewhere = 0

    def schedule(self, time, action, *arguments):
        self.order += 1
        heapq.heappush(self.scheduled, (time, self.order, action, arguments))

    def count(self, node, engine, change, time):
        self.actual[engine] += change
        self.unreported[node, engine] += change
        self.schedule(time + REPORT_AGE, self.report, node, engine, change)

    def report(self, _time, node, engine, change):
        self.reported[engine] += change
        self.unreported[node, engine] -= change

    def leave(self, time, node, engine):
        self.count(node, engine, -1, time)

    def known_count(self, node, engine):
        if engine in self.watched[node]:
            return self.actual[engine]
        return self.reported[engine] + self.unreported[node, engine]

    def place(self, time, node):
        options = [
            EngineOption(engine, "near", SLOTS, max(0, self.known_count(node, engine)))
            for engine in self.engines
        ]
        own = self.watched[node] if self.own_first else ()
        engine = self.chooser.choose(options, "", 0, own).life
        self.placed += 1
        self.waited += self.actual[engine] >= SLOTS
        self.elsewhere += engine not in self.watched[node]
        self.count(node, engine, 1, time)
        self.schedule(time + self.random.expovariate(1 / SLOT_TIME), self.leave, node, engine)

    def arrive(self, time):
        names = list(self.weights)
        node = self.random.choices(names, [self.weights[name] for name in names])[0]
        self.place(time, node)
        rate = BURST_RATE if time % BURST_INTERVAL < BURST_SECONDS else BASE_RATE
        self.schedule(time + self.random.expovariate(rate), self.arrive)

    def run(self):
        self.schedule(0.0, self.arrive)
        while self.scheduled[0][0] < RUN_SECONDS:
            time, _, action, arguments = heapq.heappop(self.scheduled)
            action(time, *arguments)
        return self


class OwnFirstTest(unittest.TestCase):
    def test_own_engine_bonus_reduces_waiting_and_remote_placement(self):
        former = [Zone(seed, own_first=False).run() for seed in range(4)]
        now = [Zone(seed, own_first=True).run() for seed in range(4)]
        for name, most in (("waited", 0.8), ("elsewhere", 0.6)):
            before = sum(getattr(zone, name) for zone in former) / sum(z.placed for z in former)
            after = sum(getattr(zone, name) for zone in now) / sum(z.placed for z in now)
            self.assertLess(after, before * most, name)


if __name__ == "__main__":
    for own_first in (False, True):
        zones = [Zone(seed, own_first=own_first).run() for seed in range(6)]
        placed = sum(zone.placed for zone in zones)
        for name in ("waited", "elsewhere"):
            print(own_first, name, round(sum(getattr(zone, name) for zone in zones) / placed, 4))
