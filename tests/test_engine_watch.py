"""Fast preemption of batch items: which node watches an engine, and which items it preempts."""

import unittest
from unittest import mock

import gevent

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.batch.preemption import encode_running
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.report_schedule import ReportSchedule
from postvalve.events import Event
from tests.gateway_support import BATCH_PATH, STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.test_gateway_jobs import job_body
from tests.test_zone_digest import FleetCase
from tests.waiting import wait_until

_PREEMPTION = Event.ITEM_TOLD_TO_GIVE_WAY


class WatchTest(unittest.TestCase):
    def test_items_are_preempted_before_any_scheduled_report(self):
        fleet = GatewayFleet(nodes=3, engines=1)
        self.addCleanup(fleet.stop)
        wait_until(lambda: all(len(one.peers.all()) == 2 for one in fleet.nodes.values()))
        fleet.engines[0].default_behaviour = Behaviour(pause=0.05, events=1_000)
        fleet.request("n0", BATCH_PATH + "x", body=job_body("j", items=3), request_id="j")
        for name in ("n1", "n2"):
            items = fleet.nodes[name]._reports.items
            wait_until(lambda items=items: len(items.at(engine_hash("e0"))) == 3)
        # From now on nodes send no scheduled reports, only those to watchers.
        with mock.patch.object(ReportSchedule, "take_turn", return_value=False):
            for number, name in enumerate(("n1", "n2", "n1")):
                gevent.spawn(fleet.request, name, STREAM_PATH, request_id=f"r{number}")
            wait_until(lambda: fleet.events("n0", Event.ROUTED_ITEM_PREEMPTED))
            gevent.sleep(0.3)
        # Four slots for three online requests and two items: one of these may be queued.
        self.assertEqual(len(fleet.events("n0", Event.ROUTED_ITEM_PREEMPTED)), 1)
        requests = [
            one for name in fleet.nodes for one in fleet.events(name, Event.ITEM_TOLD_TO_GIVE_WAY)
        ]
        self.assertTrue(requests)


class WatcherTest(FleetCase):
    def setUp(self):
        super().setUp()
        self.start(2, 4)
        self.entries = [mock.Mock(life=EngineLife(f"e{number}"), zone="z0") for number in range(12)]
        for node in self.nodes:
            node.reports._fleet.listed_engines = lambda: self.entries
            node.reports._fleet.excess = lambda engine_id: 0
        self.run_for(2.0)

    def watchers(self, node):
        return {one.life: node.reports.watch._watcher_of(one.life) for one in self.entries}

    def test_each_engine_is_watched_by_one_node_of_its_zone(self):
        near = [node for node in self.nodes if node.identity.zone == "z0"]
        views = [self.watchers(node) for node in near]
        self.assertTrue(all(view == views[0] for view in views))
        self.assertGreater(len(set(views[0].values())), 1)
        self.assertLessEqual(set(views[0].values()), {node.name for node in near})

    def test_no_node_of_another_zone_is_watcher(self):
        far = next(node for node in self.nodes if node.identity.zone == "z1")
        self.assertEqual(set(self.watchers(far).values()), {None})

    def test_the_watcher_requests_preemption_of_the_least_urgent_item(self):
        near = [node for node in self.nodes if node.identity.zone == "z0"]
        watcher = next(one for one in near if self.watchers(one)["e0"] == one.name)
        holder, other = [one for one in near if one is not watcher][:2]
        engine = engine_hash("e0")
        holder.reports.items_running = lambda: encode_running([(engine, 90)])
        other.reports.items_running = lambda: encode_running([(engine, 10)])
        requests = []
        for node in (holder, other):
            node.reports.watch.on_preempt = lambda engine, urgency, name=node.name: requests.append(
                (name, engine, urgency)
            )
        self.run_for(1.0)
        watcher.reports._fleet.excess = lambda engine_id: 1 if engine_id == "e0" else 0
        watcher.reports.watch.preempt_excess()
        watcher.reports.watch.preempt_excess()
        self.network.deliver()
        self.assertEqual(requests, [(holder.name, engine, 90)])

    def test_a_node_of_another_zone_preempts_items_and_logs_it(self):
        holder = next(node for node in self.nodes if node.identity.zone == "z0")
        far = next(node for node in self.nodes if node.identity.zone == "z1")
        requests = []
        holder.reports.watch.on_preempt = lambda engine, urgency: requests.append(urgency)
        far.reports._fleet.excess = lambda engine_id: 1
        far.reports.items.at = lambda engine: [(90, holder.name)]
        far.reports.watch.preempt_remote("e0")
        self.network.deliver()
        self.assertEqual(requests, [90])
        logged = [fields for event, fields in far.log.written if event is _PREEMPTION]
        self.assertEqual(logged, [{"engine": "e0", "peer": holder.name, "excess": 1}])


if __name__ == "__main__":
    unittest.main()
