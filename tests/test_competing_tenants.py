"""Tenants that compete at nodes that run: order over all nodes, and what operators see."""

import unittest

import gevent

from postvalve.core.membership.extensions import Extension, Feature
from postvalve.core.scheduling.load_shedding import MAX_ENGINE_QUEUE
from postvalve.events import Event
from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until

TENANTS = [
    {"name": "hot", "apiKeys": ["hot-key"]},
    {"name": "small", "apiKeys": ["small-key"], "ratePerS": 50, "burst": 50},
]
HELD = 0.4
HOT = 30
"""Requests: they hold four slots for three seconds."""


PLACES = 4 + MAX_ENGINE_QUEUE
"""Requests that the engine takes while others wait."""


class CompetingCase(unittest.TestCase):
    tenants = TENANTS

    def setUp(self):
        # The longest that a request is held is 8 s: nobody starts by that here.
        self.fleet = GatewayFleet(
            nodes=3, engines=1, tenants=self.tenants, targetLatencyMs=10_000, timeoutMs=15_000
        )
        self.addCleanup(self.fleet.stop)
        self.nodes = list(self.fleet.nodes.values())
        wait_until(lambda: all(len(one.peers.all()) == 2 for one in self.nodes))
        self.fleet.engines[0].default_behaviour = Behaviour(events=1, head_delay=HELD)
        # Lenders begin with empty buckets, a keeper listens first, and a line needs all nodes.
        wait_until(lambda: all(one.peers.features() & Feature.LINE for one in self.nodes))
        self.sent = 0

    def send(self, node, tenant):
        self.sent += 1
        headers = [("Api-Key", f"{tenant}-key")]
        request_id = f"{tenant}-{self.sent}"
        return gevent.spawn(
            self.fleet.request, node, STREAM_PATH, headers=headers, request_id=request_id
        )

    def compete(self):
        """One tenant fills all nodes, another one comes a little later.

        Returns:
            The runs' ids, and how many were at the engine when the other one came.
        """
        sent = [self.send(f"n{number % 3}", "hot") for number in range(HOT)]
        gevent.sleep(0.5)
        before = len(self.fleet.engines[0].runs)
        sent += [self.send(f"n{number}", "small") for number in range(3)]
        self.assertEqual({one.get().status for one in sent}, {200})
        return [run[0] for run in self.fleet.engines[0].runs], before


class SharesTest(CompetingCase):
    def test_a_small_tenant_goes_before_what_a_large_one_has_waiting(self):
        runs, before = self.compete()
        places = [number for number, name in enumerate(runs) if name.startswith("small")]
        # A turn of the other's for each of its own, and what was granted when it came.
        self.assertLess(max(places), before + 2 * 3 + PLACES)
        silent = [self.fleet.events(name, Event.LINE_SILENT) for name in self.fleet.nodes]
        granted = [self.fleet.events(name, Event.LINE_GRANTED) for name in self.fleet.nodes]
        self.assertTrue(any(granted), silent)

    def test_operators_see_clock_tags_and_line(self):
        waiting = [self.send(f"n{number % 3}", "hot") for number in range(HOT)]
        wait_until(lambda: any(one.status_document()["line"]["kept"] for one in self.nodes))
        rows = [row for one in self.nodes for row in one.status_document()["line"]["tags"]]
        self.assertIn("hot", {row["tenant"] for row in rows})
        gevent.joinall(waiting)
        wait_until(lambda: all(one._shares.clock.now > 1.0 for one in self.nodes))
        self.assertTrue(all(one.peers.features() & Feature.LINE for one in self.nodes))


class OneTenantTest(CompetingCase):
    tenants = [{"name": "hot", "apiKeys": ["hot-key", "small-key"]}]

    def test_with_one_tenant_nothing_is_told_and_nobody_is_ordered(self):
        self.compete()
        for node in self.nodes:
            self.assertEqual(node._shares.pack(), b"")
            self.assertEqual(node.status_document()["line"]["tags"], [])
            parts = [one.report.extensions for one in node.peers.all()]
            self.assertFalse(any(Extension.SHARE_CLOCK in one for one in parts))
        granted = [self.fleet.events(name, Event.LINE_GRANTED) for name in self.fleet.nodes]
        self.assertFalse(any(granted))


if __name__ == "__main__":
    unittest.main()
