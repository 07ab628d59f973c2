"""A short experiment, and validity of the scenarios that come with postvalve."""

import unittest

from postvalve.experiment.result import ExperimentResult
from postvalve.experiment.run import run_experiment
from postvalve.experiment.scenario import Scenario, load_scenario, scenario_names


class ExperimentTest(unittest.TestCase):
    def scenario(self):
        return Scenario.model_validate(
            {
                "name": "short",
                "zones": 1,
                "nodes_per_zone": 2,
                "engines": 2,
                "duration": 5.0,
                "online": {
                    "rate": 5.0,
                    "burst_interval": 2.0,
                    "burst_size": 5,
                    "tokens": 8,
                    "prompt_characters": 50,
                },
                "batch": [
                    {
                        "workload": "check",
                        "heap_interval": 3.0,
                        "jobs": 1,
                        "items": 20,
                        "tokens": 8,
                        "deadline": 60,
                    }
                ],
                "disturbance": {"kill_engine_at": 2.0},
            }
        )

    def test_nothing_is_lost_or_doubled_and_a_seed_gives_the_same_figures(self):
        first = run_experiment(self.scenario(), 3)
        again = run_experiment(self.scenario(), 3)
        self.assertEqual(first, again)
        figures = first.with_batch
        self.assertEqual(figures.batch_items_done, figures.batch_items_offered)
        self.assertEqual((figures.batch_items_doubled, figures.batch_items_wrong), (0, 0))
        self.assertEqual(figures.online_requests, first.without_batch.online_requests)
        self.assertEqual(figures.online_not_whole, 0)
        self.assertLessEqual(first.idle_capacity_used, 1.0)
        self.assertEqual(ExperimentResult.model_validate_json(first.model_dump_json()), first)

    def test_the_scenarios_are_valid(self):
        self.assertIn("apcf", scenario_names())
        for name in scenario_names():
            self.assertEqual(load_scenario(name).name, name)


if __name__ == "__main__":
    unittest.main()
