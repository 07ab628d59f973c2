"""Tests of complete nodes under virtual time."""

import unittest

from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_time import run_virtual
from tests.support import expected_first_token, run_batch, submit_batch


class VirtualFleetTest(unittest.TestCase):
    def test_online_and_batch(self):
        def session(loop):
            fleet = VirtualFleet(loop, FleetShape(zones=3, engines=6))
            fleet.start()
            chat = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
            answer = fleet.request("node-0-0", "POST", "/v1/chat/completions", document=chat)
            results = run_batch(fleet, submit_batch(fleet, "node-1-0", 50))
            return answer, results, loop.now()

        answer, results, _ = run_virtual(session)
        text = answer.document["choices"][0]["message"]["content"]
        self.assertTrue(text.startswith(expected_first_token("hi")))
        self.assertEqual(len(results), 50)
        for custom_id, text in results.items():
            self.assertTrue(text.startswith(expected_first_token(f"text of {custom_id}")))

    def test_runs_with_the_same_seed_are_identical(self):
        def session(loop):
            fleet = VirtualFleet(loop, FleetShape(zones=2, engines=3), seed=7)
            fleet.start()
            run_batch(fleet, submit_batch(fleet, "node-1-0", 20))
            return [(event.at, event.node_id, event.event, event.fields) for event in fleet.events]

        self.assertEqual(run_virtual(session), run_virtual(session))


if __name__ == "__main__":
    unittest.main()
