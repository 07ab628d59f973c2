"""A hundred hollow gateways under virtual time, with the product's own decisions."""

import unittest

from postvalve.experiment.hollow_gateways import (
    BestOfAll,
    FewestRequests,
    HollowFleet,
    TwoChoices,
    by_unread_tokens,
)

LATE = 0.2
"""Seconds to the first token."""


def fleet(policy, *, nodes=100, engines=33, zones=3, seed=1):
    return HollowFleet(
        nodes=nodes, engines=engines, zones=zones, slots=17, seed=seed, policy=policy
    )


class ChoiceTest(unittest.TestCase):
    def test_fewer_first_tokens_are_late_than_with_other_choices(self):
        """Against earlier versions and power of two choices, all with the same traffic."""
        late = {
            name: sum(
                fleet(policy, seed=seed).run(4.9, 300, 0, settle=1.0).late(LATE) for seed in (1, 2)
            )
            for name, policy in (
                ("ours", by_unread_tokens),
                ("best of all", BestOfAll(1)),
                ("fewest requests", FewestRequests(1)),
                ("two choices by requests", TwoChoices(1)),
            )
        }
        for name, share in late.items():
            if name != "ours":
                self.assertLess(late["ours"], 0.9 * share, late)

    def test_what_a_node_hears_is_bounded(self):
        played = fleet(by_unread_tokens)
        result = played.run(3.0, 300, 0, settle=0.0)
        # 120 a second from the zone, and two a second from each of 67 others.
        self.assertLess(result.most_heard, 120 + 2.2 * 67 + 10)


class CountsTest(unittest.TestCase):
    def test_all_nodes_agree_with_a_naive_count_when_nothing_moves(self):
        """Datagrams are lost and late; after some seconds without traffic all is known."""
        for seed in (1, 2):
            played = fleet(by_unread_tokens, nodes=100, engines=12, zones=4, seed=seed)
            result = played.run(2.0, 60, 40, settle=25.0)
            self.assertEqual(result.items_done, 40)
            for node in played.nodes:
                for engine in played.engines.values():
                    self.assertEqual((engine.running, list(engine.queue)), ([], []))
                    count = node.use.total(engine.engine_id)
                    self.assertEqual((count.online, count.batch, count.unread), (0, 0, 0))

    def test_batch_gives_way_and_comes_back(self):
        played = fleet(by_unread_tokens, nodes=24, engines=6)
        result = played.run(9.8, 70, 90, settle=40.0)
        self.assertGreater(result.stops, 0)
        self.assertEqual(result.items_done, 90)


if __name__ == "__main__":
    unittest.main()
