"""What engines tell and show comes to the nodes that choose, over real sockets."""

import unittest

from postvalve.events import Event
from tests.answers import read_answer
from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until


class ToldLoadTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(nodes=2, engines=1)
        self.addCleanup(self.fleet.stop)
        self.engine = self.fleet.engines[0]
        self.sent = 0

    def tell(self, load, node="n0"):
        self.engine.default_behaviour = Behaviour(load=load)
        self.sent += 1
        answer = read_answer(self.fleet.open(node, STREAM_PATH, request_id=f"r{self.sent}"))
        self.assertEqual(answer.status, 200)

    def row(self, node):
        return self.fleet.nodes[node].status_document()["engines"][0]

    def test_a_told_pace_is_known_with_its_age(self):
        self.assertIsNone(self.row("n0")["pace_told"])
        self.tell("1,0,4,250")
        row = self.row("n0")
        self.assertEqual(row["pace_told"], 2.5)
        self.assertLess(row["pace_told_age"], 1.0)

    def test_peers_hear_of_it(self):
        """Many nodes send an engine little each; none alone would know it well."""
        wait_until(lambda: self.fleet.nodes["n1"].peers.count() == 1)
        self.tell("1,0,4,100")
        self.tell("1,0,4,250")
        wait_until(lambda: self.row("n1")["pace_told"] is not None)
        self.assertAlmostEqual(self.row("n1")["pace_told"], 2.5, delta=0.1)

    def test_what_cannot_be_read_is_named_once(self):
        for load in ("nonsense", "-1,0,4,100", "1,0,4,0"):
            self.tell(load)
        told = self.fleet.events("n0", Event.ENGINE_LOAD_UNREADABLE)
        self.assertEqual([(one["engine"], one["told"]) for one in told], [("e0", "nonsense")])
        self.assertIsNone(self.row("n0")["pace_told"])

    def test_an_answer_to_another_request_tells_nothing(self):
        self.engine.next_behaviours = [Behaviour(load="1,0,4,900", wrong_request_id=True)]
        self.tell(None)
        self.assertIsNone(self.row("n0")["pace_told"])

    def test_three_figures_leave_all_as_it_was(self):
        self.tell("3,0,4")
        paces = self.fleet.nodes["n0"]._fleet.paces
        self.assertFalse(paces.reports_pace("s"))
        self.assertEqual(paces.pack_report(1), b"")

    def test_the_pauses_that_callers_bear_come_with_the_configuration(self):
        self.fleet.configure(gapAimMs=250)
        node = self.fleet.nodes["n0"]
        wait_until(lambda: node._fleet.pause_aim("s") == 0.25)


if __name__ == "__main__":
    unittest.main()
