"""Requests and engines that failed a moment ago.

Where three of six engines had just ended, the other three soon had no free slot, and each one that
had ended looked like the only engine by which a request could be in time: it had nothing to do. So
requests went there and failed. Of 197 attempts that failed in 30 s, 92 were sent to an engine which
the node itself knew to have failed within the last seconds, 28 of them while it knew a sound one.
"""

import random
import unittest
from unittest import mock

from postvalve.core.membership.engine_life import EngineLife
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.engine_health import SUSPECT_TIME
from postvalve.gateway.interfaces import EngineEntry, EngineState, RequestTerms
from tests.gateway_support import RecordingEventLog

SLOTS = 10
TERMS = RequestTerms("r", None, None, "", 0, 100, 10)


class FailedEngineTest(unittest.TestCase):
    def setUp(self):
        self.clock = mock.Mock(**{"monotonic.return_value": 0.0})
        self.fleet = EngineFleet(
            "near", self.clock, RecordingEventLog(), mock.Mock(), random.Random(1)
        )
        self.fleet.update(
            EngineEntry(EngineLife(name), "s", f"{name}:1", zone, SLOTS, EngineState.READY)
            for name, zone in (("failed", "near"), ("sound", "near"), ("far", "far"))
        )
        self.fleet.record_failure("failed", "closed before an answer")

    def place(self, excluded=()):
        """Place a request that has no time to wait for a slot."""
        return self.fleet.place_online("s", TERMS, excluded, 0.1).engine.life

    def fill(self, *engines, requests=SLOTS):
        for engine in engines:
            for _ in range(requests):
                self.fleet.use.enter(engine, batch=False)

    def learn_pace(self):
        for _ in range(10):
            self.fleet.pace("s").observe_first_event(100, 0.05)
            self.fleet.pace("s").observe_slot_time(5.0)

    def test_one_that_failed_is_left_alone_while_others_are_full(self):
        self.fill("sound", "far")
        self.assertNotIn("failed", {self.place() for _ in range(20)})
        self.learn_pace()
        self.assertNotIn("failed", {self.place() for _ in range(20)})

    def test_one_that_failed_is_left_alone_while_others_are_farther(self):
        self.fill("far", requests=SLOTS - 1)
        self.assertEqual(self.place(excluded=("sound",)), "far")

    def test_it_is_used_where_no_other_is_left(self):
        self.assertEqual(self.place(excluded=("sound", "far")), "failed")

    def test_it_is_used_again_after_a_while(self):
        self.fill("sound", "far")
        self.clock.monotonic.return_value = SUSPECT_TIME
        self.assertEqual(self.place(), "failed")
