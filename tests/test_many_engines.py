"""What a decision on one request costs where there are thousands of engines.

Each request looked at every engine of its service before it drew the four that it chose among:
0.19 ms at 72 engines, 9.0 ms at 3,000, and 2.4 ms more to see that there is room. Each change of
the directory or of the nodes worked out anew who watches over which engine: 37 ms at 1,000 engines
and 100 nodes of a zone, up to twice a second.
"""

import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.membership import ownership
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.ownership import Owners, preferred_owner
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import EngineEntry, EngineState, RequestTerms
from tests.gateway_support import RecordingEventLog

SLOTS = 6
ZONES = ("z0", "z1", "z2")
FEW, MANY = 72, 3_000
MOST_LOOKED_AT = 120
"""Engines at which one request may look."""


def entry(number):
    life = EngineLife.of(f"i-{number:04}")
    zone = ZONES[number % len(ZONES)]
    return EngineEntry(life, "s", f"{life}:1", zone, SLOTS, EngineState.READY)


class ManyEnginesTest(unittest.TestCase):
    def fleet_of(self, engines, seed=1, zone="z0"):
        clock = mock.Mock(**{"monotonic.return_value": 0.0})
        fleet = EngineFleet(zone, clock, RecordingEventLog(), mock.Mock(), random.Random(seed))
        fleet.update(entry(number) for number in range(engines))
        for _ in range(10):
            fleet.pace("s").observe_first_event(100, 0.05)
            fleet.pace("s").observe_slot_time(5.0)
        return fleet

    def place(self, fleet, key="", shared=0, excluded=(), left=1.0):
        terms = RequestTerms("r", None, None, key, shared, 100, 10)
        return fleet.place_online("s", terms, excluded, left).engine

    def looked_at(self, fleet, act):
        """Engines whose counts `act` reads."""
        with mock.patch.object(fleet.use, "total", wraps=fleet.use.total) as total:
            act()
        return len({one.args[0] for one in total.call_args_list})

    def fill(self, fleet, lives, online=SLOTS):
        for life in lives:
            for _ in range(online):
                fleet.use.enter(life, batch=False)

    def test_a_request_looks_at_a_bounded_number_of_engines(self):
        for engines in (FEW, MANY):
            fleet = self.fleet_of(engines)
            for shared in (0, 5_000):
                looked = self.looked_at(fleet, lambda f=fleet, s=shared: self.place(f, "k", s))
                self.assertLessEqual(looked, MOST_LOOKED_AT, engines)

    def test_whether_there_is_room_is_told_by_the_first_engine_that_has_some(self):
        fleet = self.fleet_of(MANY)
        self.assertEqual(self.looked_at(fleet, lambda: self.assertTrue(fleet.has_room("s"))), 1)
        self.fill(fleet, [one.life for one in fleet.engines("s")])
        self.assertFalse(fleet.has_room("s"))
        self.assertTrue(fleet.has_room("nobody serves this"))

    def test_room_at_an_engine_that_failed_counts_where_no_other_is_sound(self):
        fleet = self.fleet_of(2)
        first, second = (one.life for one in fleet.engines("s"))
        self.fill(fleet, [second])
        fleet.record_failure(first, "closed")
        self.assertFalse(fleet.has_room("s"))
        fleet.record_failure(second, "closed")
        self.assertTrue(fleet.has_room("s"))

    def test_requests_spread_over_all_engines_of_the_zone(self):
        fleet = self.fleet_of(MANY)
        chosen = {self.place(fleet).life for _ in range(500)}
        self.assertGreater(len(chosen), 350)
        self.assertEqual({int(one[2:]) % len(ZONES) for one in chosen}, {0})

    def test_kept_parts_are_found_by_all_nodes_of_a_zone(self):
        keepers = set()
        for seed in range(4):
            keepers.add(self.place(self.fleet_of(MANY, seed), "key", 5_000).life)
        self.assertEqual(len(keepers), 1)
        # The next one takes its place where it is full, at all nodes alike.
        others = set()
        for seed in range(4):
            fleet = self.fleet_of(MANY, seed)
            self.fill(fleet, keepers)
            others.add(self.place(fleet, "key", 5_000, left=0.06).life)
        self.assertEqual(len(others - keepers), 1)

    def test_an_engine_is_found_where_only_one_is_left(self):
        fleet = self.fleet_of(MANY)
        *skipped, last = (one.life for one in fleet.engines("s"))
        self.assertEqual(self.place(fleet, excluded=skipped).life, last)
        for life in skipped:
            fleet.record_failure(life, "closed")
        self.assertEqual(self.place(fleet).life, last)


class OwnersTest(unittest.TestCase):
    keys = st.frozensets(st.integers(0, 12).map("e{}".format))
    nodes = st.frozensets(st.integers(0, 8).map("n{}".format))

    @given(st.lists(st.tuples(keys, nodes), max_size=12))
    def test_owners_are_the_preferred_ones_after_each_change(self, changes):
        owners = Owners()
        for keys, nodes in changes:
            owners.update(sorted(keys), sorted(nodes))
            wanted = {key: preferred_owner(key, nodes) for key in keys} if nodes else {}
            self.assertEqual(owners.of, wanted)

    def test_one_change_costs_what_changed(self):
        keys = [f"e{number}" for number in range(1_000)]
        nodes = [f"n{number}" for number in range(100)]
        owners = Owners()
        owners.update(keys, nodes)
        with mock.patch.object(ownership, "_score", wraps=ownership._score) as score:
            owners.update([*keys, "another"], nodes)
            owners.update([*keys, "another"], [*nodes, "another"])
            owners.update(keys, nodes)
        # A new key among all nodes, a new node for each key beside its owner, and what it owned.
        self.assertLess(score.call_count, 100 + 2 * 1_001 + 3_000)
