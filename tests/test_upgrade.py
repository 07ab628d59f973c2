"""Nodes of an earlier build run beside such of this one while machines are replaced."""

import itertools
import tempfile
import unittest
from pathlib import Path

from tests.earlier_build import LANDINGS, HistoryMissingError, check_out, production
from tests.ports import separate_port_block
from tests.soak.promises import TIMED
from tests.soak.upgrade import UpgradeSoak, draw_plan

SHORT_SEED, SHORT_SECONDS = 2, 15.0
"""This seed's upgrade is taken back halfway."""
SHORT_KINDS = ("engine_kill", "engine_leaves", "fatal_request", "config_storm")
NODES, ENGINES = 3, 2


class PlanTest(unittest.TestCase):
    def test_four_seeds_in_a_row_have_both_directions_whole_and_taken_back(self):
        plans = [draw_plan(seed, 4) for seed in range(4)]
        ways = {(plan.from_present, len({step.present for step in plan.steps})) for plan in plans}
        self.assertEqual(ways, set(itertools.product((False, True), (1, 2))))

    def test_what_is_taken_back_ends_where_it_began_and_was_halfway(self):
        for seed in range(2, 400, 4):
            plan = draw_plan(seed, 4)
            builds = [plan.from_present] * 4
            mixed = False
            for step in plan.steps:
                builds[step.node] = step.present
                mixed = mixed or len(set(builds)) == 2
            self.assertTrue(mixed)
            self.assertEqual(builds, [plan.from_present] * 4)

    def test_a_whole_one_replaces_each_machine_once_in_an_order_of_the_seed(self):
        orders = {tuple(step.node for step in draw_plan(seed, 4).steps) for seed in range(0, 80, 4)}
        self.assertTrue(all(sorted(order) == [0, 1, 2, 3] for order in orders))
        self.assertGreater(len(orders), 5)


class EarlierBuildTest(unittest.TestCase):
    def test_history_that_is_missing_is_said_clearly(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            self.assertRaisesRegex(HistoryMissingError, "full clone"),
        ):
            check_out("0" * 40, folder)

    def test_production_is_a_landing(self):
        self.assertIn(production(), LANDINGS)


class ShortUpgradeTest(unittest.TestCase):
    def test_promises_hold_while_two_builds_run(self):
        with separate_port_block(), tempfile.TemporaryDirectory() as folder:
            soak = UpgradeSoak(
                SHORT_SEED,
                SHORT_SECONDS,
                SHORT_KINDS,
                Path(folder),
                lambda told: None,
                nodes=NODES,
                engines=ENGINES,
                earlier=check_out(production(), Path(folder) / "builds"),
            )
            promises = soak.run()
            told = soak.report()
        # The machine of a test run may be too busy for bounds of seconds.
        broken = [one for one in promises.broken if one.partition(":")[0] not in TIMED]
        self.assertEqual(broken, [], told)
        self.assertEqual(sum(soak.replaced.values()), len(soak.plan.steps), told)
        self.assertEqual(len(soak.replaced), 2, told)
        self.assertGreater(promises.checked["items complete exactly once"], 3, told)
        self.assertGreater(promises.checked["whole answers, to one's own request"], 50, told)


if __name__ == "__main__":
    unittest.main()
