"""Streams while engines of several versions serve one service.

What two versions write does not fit together, and engines do not check it: a stream that broke off
went on at whichever engine was best, and its answer held events of two versions.
"""

import unittest

from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour


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


