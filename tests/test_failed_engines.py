"""Requests are not sent to an engine that has just failed while a healthy one is known.

When three of six engines had crashed, the other three soon had no free slot. A crashed engine was
idle and thus looked like the only one that could be in time, so requests went there and failed. Of
197 attempts that failed in 30 s, 92 were sent to an engine that had failed within the last seconds
as the node knew, 28 of them while the node knew a healthy one.
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
        """Place a request that can't wait for a slot."""
        return self.fleet.place_online("s", TERMS, excluded, 0.1).engine.life

    def fill(self, *engines, requests=SLOTS):
        for engine in engines:
            for _ in range(requests):
                self.fleet.use.enter(engine, batch=False)

    def record_latencies(self):
        for _ in range(10):
            self.fleet.pace("s").observe_first_event(100, 0.05)
            self.fleet.pace("s").observe_slot_time(5.0)

    def test_a_failed_engine_is_avoided_while_others_are_full(self):
        self.fill("sound", "far")
        self.assertNotIn("failed", {self.place() for _ in range(20)})
        self.record_latencies()
        self.assertNotIn("failed", {self.place() for _ in range(20)})

    def test_a_failed_engine_is_avoided_in_favour_of_another_zone(self):
        self.fill("far", requests=SLOTS - 1)
        self.assertEqual(self.place(excluded=("sound",)), "far")

    def test_a_failed_engine_is_used_if_no_other_is_left(self):
        self.assertEqual(self.place(excluded=("sound", "far")), "failed")

    def test_a_failed_engine_is_used_again_after_the_suspect_time(self):
        self.fill("sound", "far")
        self.clock.monotonic.return_value = SUSPECT_TIME
        self.assertEqual(self.place(), "failed")
