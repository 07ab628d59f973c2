"""Streams while engines of several versions serve one service.

What two versions write does not fit together, and engines do not check it: a stream that broke off
went on at whichever engine was best, and its answer held events of two versions.
"""

import unittest
from time import monotonic

import gevent

from postvalve.gateway.interfaces import KeyedRecord
from postvalve.platform.fleet import DIRECTORY_TOPIC
from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until


class BrokenStreamTest(unittest.TestCase):
    def fleet(self, *versions, **options):
        fleet = GatewayFleet(engines=len(versions), versions=versions, **options)
        self.addCleanup(fleet.stop)
        return fleet

    def test_answer_goes_on_at_the_version_that_began_it(self):
        for attempt in range(8):
            with self.subTest(attempt=attempt):
                fleet = self.fleet("v1", "v2", "v1", "v2", nodes=1)
                for engine in fleet.engines:
                    engine.next_behaviours = [Behaviour(cut_after=1)]
                answer = fleet.request("n0", STREAM_PATH + "x")
                ran = {engine.version for engine in fleet.engines if engine.runs}
                self.assertEqual(len(ran), 1)
                self.assertTrue(answer.whole)

    def test_answer_ends_at_once_if_no_engine_of_its_version_is_left(self):
        fleet = self.fleet("v1", "v2", nodes=1)
        first, second = fleet.engines
        fleet.nodes["n0"]._fleet.directory_unsettled = lambda: False
        first.next_behaviours = [Behaviour(cut_after=1, pause=0.6)]
        second.next_behaviours = [Behaviour(refuse=True)]
        started = monotonic()
        answering = gevent.spawn(fleet.request, "n0", STREAM_PATH + "x")
        wait_until(lambda: first.runs)
        fleet.topics.append(DIRECTORY_TOPIC, 0, [KeyedRecord(first.engine_id, b"")])
        answer = answering.get()
        self.assertLess(monotonic() - started, 1.0)
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.whole)
        self.assertEqual(second.runs, [])

    def test_attempt_without_an_event_binds_nothing(self):
        fleet = self.fleet("v1", "v2", nodes=1)
        for engine in fleet.engines:
            engine.next_behaviours = [Behaviour(cut_after=0)]
        answer = fleet.request("n0", STREAM_PATH + "x")
        self.assertTrue(answer.whole)
        self.assertEqual({len(engine.runs) for engine in fleet.engines}, {1, 2})
