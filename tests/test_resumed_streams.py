"""Streams that go on at another engine, which answers with a failure.

Once its client has the head, only the rest of the stream may follow. The failure had no body, so it
was read as the end of the stream: the client got a short answer that looked whole. On five days on
which half of the engines failed many requests and some ended, it was one or two answers a day.
"""

import unittest

from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour


class FailedResumptionTest(unittest.TestCase):
    def answer(self, cut_after, status, max_attempts):
        fleet = GatewayFleet(nodes=1, engines=3, maxAttempts=max_attempts)
        self.addCleanup(fleet.stop)
        plan = [Behaviour(cut_after=cut_after), *(Behaviour(status=status) for _ in range(9))]
        for engine in fleet.engines:
            engine.next_behaviours = plan
        return fleet.request("n0", STREAM_PATH + "x")

    def test_a_stream_that_no_engine_goes_on_with_looks_cut(self):
        for max_attempts in (2, 3):
            for status in (500, 422):
                with self.subTest(max_attempts=max_attempts, status=status):
                    answer = self.answer(1, status, max_attempts)
                    self.assertEqual(answer.status, 200)
                    self.assertFalse(answer.whole)

    def test_a_failure_before_the_head_reaches_the_client(self):
        self.assertEqual(self.answer(-1, 500, 2).status, 500)
