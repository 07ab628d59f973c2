"""Answers of engines to earlier requests, which arrive late where another answer is due."""

import unittest

import gevent

from postvalve.events import Event
from tests.gateway_support import ONCE_PATH, STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour, misdirected_answer, refused_answer

RUN_TIME = 0.3
"""Seconds that an engine runs a request before it answers."""


class SurplusCase(unittest.TestCase):
    engines = 2

    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=self.engines)
        self.addCleanup(self.fleet.stop)

    def plan(self, *behaviours):
        """Set the behaviours of the next attempts, whichever engines get them."""
        plan = list(behaviours)
        for engine in self.fleet.engines:
            engine.next_behaviours = plan

    def runs(self):
        """Return the ids of the requests that engines have run, once for each run."""
        return [request_id for engine in self.fleet.engines for request_id, _ in engine.runs]


class LateRefusalTest(SurplusCase):
    def test_a_late_421_to_another_request_lets_no_request_run_twice(self):
        """It counted as the answer to the present request, which went to a second engine."""
        self.plan(Behaviour(surplus=misdirected_answer("earlier"), head_delay=RUN_TIME))
        answer = self.fleet.request("n0", ONCE_PATH)
        self.assertEqual(self.runs(), ["r1"])
        self.assertEqual(answer.status, 502)

    def test_a_late_421_to_another_request_takes_no_engine_out_of_use(self):
        self.plan(Behaviour(surplus=misdirected_answer("earlier"), head_delay=RUN_TIME))
        self.fleet.request("n0", STREAM_PATH)
        self.assertEqual(self.fleet.events("n0", Event.ENGINE_REPLACED), [])

    def test_a_late_refusal_of_another_request_lets_no_request_run_twice(self):
        self.plan(Behaviour(surplus=refused_answer("earlier"), head_delay=RUN_TIME))
        self.assertEqual(self.fleet.request("n0", ONCE_PATH).status, 502)
        self.assertEqual(self.runs(), ["r1"])


class ConnectionTest(SurplusCase):
    engines = 1

    def send(self, *request_ids):
        """Send some requests beside each other; returns their answers' status codes."""
        senders = [
            gevent.spawn(self.fleet.request, "n0", STREAM_PATH, request_id=one)
            for one in request_ids
        ]
        gevent.joinall(senders)
        return [sender.value.status for sender in senders]

    def test_a_connection_that_brought_a_foreign_answer_is_not_used_again(self):
        """The answer that was due came later, where that to the next request was due."""
        surplus = misdirected_answer("earlier")
        self.plan(Behaviour(surplus=surplus, head_delay=RUN_TIME))
        self.send("r1")
        self.assertEqual(self.send("r2", "r3"), [200, 200])
        self.assertEqual(sorted(self.runs()), ["r1", "r1", "r2", "r3"])

    def test_a_refusal_that_comes_twice_lets_no_request_run_twice(self):
        """The request went over the same connection again, so its id told nothing apart."""
        self.plan(Behaviour(refuse=True, refused_again_after=0.15), Behaviour(head_delay=RUN_TIME))
        self.assertEqual(self.fleet.request("n0", ONCE_PATH).status, 200)
        self.assertEqual(self.runs(), ["r1"])


if __name__ == "__main__":
    unittest.main()
