"""Tests of upgrades in which nodes of an earlier build and of this one run side by side."""

import itertools
import tempfile
import unittest
from pathlib import Path

from tests.earlier_build import RECENT_RELEASES, HistoryMissingError, check_out, production
from tests.ports import separate_port_block
from tests.soak.invariants import TIME_BOUND_CHECKS
from tests.soak.upgrade import UpgradeSoak, draw_plan

SHORT_SEED, SHORT_SECONDS = 2, 15.0
"""The upgrade of this seed is rolled back halfway."""
SHORT_KINDS = ("engine_kill", "engine_leaves", "fatal_request", "config_storm")
NODES, ENGINES = 3, 2


class PlanTest(unittest.TestCase):
    def test_four_consecutive_seeds_cover_both_directions_completed_and_rolled_back(self):
        plans = [draw_plan(seed, 4) for seed in range(4)]
        outcomes = {
            (plan.from_current, len({step.uses_current for step in plan.steps})) for plan in plans
        }
        self.assertEqual(outcomes, set(itertools.product((False, True), (1, 2))))

    def test_a_rollback_restores_the_initial_builds_after_mixed_ones(self):
        for seed in range(2, 400, 4):
            plan = draw_plan(seed, 4)
            builds = [plan.from_current] * 4
            mixed = False
            for step in plan.steps:
                builds[step.node] = step.uses_current
                mixed = mixed or len(set(builds)) == 2
            self.assertTrue(mixed)
            self.assertEqual(builds, [plan.from_current] * 4)

    def test_a_completed_upgrade_replaces_each_node_once_in_an_order_of_the_seed(self):
        orders = {tuple(step.node for step in draw_plan(seed, 4).steps) for seed in range(0, 80, 4)}
        self.assertTrue(all(sorted(order) == [0, 1, 2, 3] for order in orders))
        self.assertGreater(len(orders), 5)


class EarlierBuildTest(unittest.TestCase):
    def test_missing_history_is_reported_clearly(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            self.assertRaisesRegex(HistoryMissingError, "full clone"),
        ):
            check_out("0" * 40, folder)

    def test_production_is_a_recent_release(self):
        self.assertIn(production(), RECENT_RELEASES)


class ShortUpgradeTest(unittest.TestCase):
    def test_promises_hold_while_two_builds_run(self):
        with separate_port_block(), tempfile.TemporaryDirectory() as folder:
            soak = UpgradeSoak(
                SHORT_SEED,
                SHORT_SECONDS,
                SHORT_KINDS,
                Path(folder),
                lambda line: None,
                nodes=NODES,
                engines=ENGINES,
                earlier=check_out(production(), Path(folder) / "builds"),
            )
            invariants = soak.run()
            report = soak.report()
        # Checks with time limits can fail on a busy machine.
        violations = [
            violation
            for violation in invariants.violations
            if violation.partition(":")[0] not in TIME_BOUND_CHECKS
        ]
        self.assertEqual(violations, [], report)
        self.assertEqual(sum(soak.replacements.values()), len(soak.plan.steps), report)
        self.assertEqual(len(soak.replacements), 2, report)
        self.assertGreater(invariants.check_counts["items complete exactly once"], 3, report)
        self.assertGreater(
            invariants.check_counts["whole answers, to one's own request"], 50, report
        )


if __name__ == "__main__":
    unittest.main()
