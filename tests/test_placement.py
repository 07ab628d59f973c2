"""Placement of models: the plan and its orders."""

import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.core.placement.plan import EngineView, plan_orders
from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_time import run_virtual
from postvalve.exceptions import PlatformError
from postvalve.settings.fleet import FleetConfiguration
from tests.test_configuration import operator


def configuration(version="2", max_unavailable=1, models=("m",)):
    return FleetConfiguration.model_validate(
        {
            "models": [{"name": name, "version": version} for name in models],
            "placements": [
                {"name": "all", "models": list(models), "max_unavailable": max_unavailable}
            ],
        }
    )


def views(held):
    return [EngineView(f"e{number}", {}, models) for number, models in enumerate(held)]


class PlanTest(unittest.TestCase):
    def test_at_most_max_unavailable_engines_change_at_once(self):
        orders = plan_orders(configuration(max_unavailable=2), views([{"m": "1"}] * 5))
        self.assertEqual([order.engine_id for order in orders], ["e0", "e1"])

    def test_last_engine_of_a_model_is_kept(self):
        self.assertEqual(plan_orders(configuration(), views([{"m": "1"}])), [])
        self.assertEqual(plan_orders(configuration(), views([{"m": "1"}, {}]))[0].engine_id, "e1")

    def test_empty_engine_loads_at_once(self):
        orders = plan_orders(configuration(), views([{}]))
        self.assertEqual([(order.action, order.version) for order in orders], [("load", "2")])

    def test_undesired_models_are_unloaded(self):
        orders = plan_orders(configuration(), views([{"m": "2", "old": "1"}, {"old": "1"}]))
        self.assertIn(("e0", "unload", "old"), [(o.engine_id, o.action, o.model) for o in orders])

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(st.dictionaries(st.sampled_from("mn"), st.sampled_from("12")), max_size=6),
        st.integers(1, 3),
    )
    def test_rollout_completes_and_keeps_the_last_engine(self, held, max_unavailable):
        wanted = configuration(max_unavailable=max_unavailable, models=("m", "n"))
        engines = [dict(models) for models in held]
        for _ in range(20):
            orders = plan_orders(wanted, views(engines))
            changing = {order.engine_id for order in orders}
            self.assertLessEqual(len(changing), max_unavailable)
            for model in "mn":
                served = [f"e{n}" for n, models in enumerate(engines) if model in models]
                if served and any(order.model == model for order in orders):
                    lost = {order.engine_id for order in orders if order.model == model}
                    self.assertTrue(set(served) - lost)
            for order in orders:
                engines[int(order.engine_id[1:])][order.model] = order.version
        # A single engine keeps the models that it serves; with more engines the rollout completes.
        if len(engines) > 1:
            self.assertTrue(all(models == {"m": "2", "n": "2"} for models in engines))


class RolloutTest(unittest.TestCase):
    def test_new_version_is_rolled_out_under_load(self):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(engines=4))
            fleet.start()
            store = operator(fleet, "a")
            current = store.newest_configuration()
            document = current.model_dump()
            document["models"] = [{"name": "m", "version": "2"}]
            document["placements"] = [{"name": "all", "models": ["m"]}]
            store.publish(FleetConfiguration.model_validate(document), None, "a")
            answers = []
            chat = {"model": "m", "messages": [{"role": "user", "content": "hi"}], "stream": True}
            while any(engine.models["m"] != "2" for engine in fleet.engines.values()):
                answers.append(
                    fleet.request("node-0-0", "POST", "/v1/chat/completions", document=chat)
                )
                gevent.sleep(0.2)
                self.assertLess(loop.now(), 200)
            return answers, [engine.orders for engine in fleet.engines.values()]

        answers, orders = run_virtual(run)
        self.assertEqual(orders, [["load m=2"]] * 4)
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_older_fencing_token_is_rejected(self):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape())
            engine = fleet.engines["engine-0"]
            engine.order("load", "m", "3", 7)
            with self.assertRaisesRegex(PlatformError, "older fencing token"):
                engine.order("load", "m", "2", 6)
            gevent.sleep(10)
            return engine.models

        self.assertEqual(run_virtual(run), {"m": "3"})


if __name__ == "__main__":
    unittest.main()
