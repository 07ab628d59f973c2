"""Nodes that have not read which nodes there are.

Such a node took an empty list for a fleet of its own: each of three nodes that started while the
topic of addresses was down lent a tenant's whole limit, beside the lender of the others.
"""

import unittest

import gevent

from postvalve.core.admission.fleet_limits import CreditOutcome, FleetLimits, LimitTerms
from postvalve.core.membership.extensions import pack_ids, unpack_ids
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import run_virtual
from postvalve.events import Event
from postvalve.exceptions import Verdict
from postvalve.gateway.fleet.node_directory import NODE_TOPIC, NodeDirectory
from postvalve.gateway.interfaces import StoreUnavailableError, TopicSlice
from postvalve.gateway.jobs.job_claims import CLAIM_AFTER_START
from postvalve.messages.generated import gateway
from tests.gateway_support import BATCH_PATH, STREAM_PATH, GatewayFleet, RecordingEventLog
from tests.limit_model import LimitModel, allowed
from tests.stand_in_engine import Behaviour
from tests.test_fleet_limits import LARGE, flood, settle
from tests.test_gateway_jobs import job_body
from tests.waiting import wait_until

TENANTS = [{"name": "ann", "apiKeys": ["ann-key"], "ratePerS": 40.0, "burst": 40.0}]
OUTAGE = 6.0
SEEDS = 6


class FaultyNodeTopics(MemoryTopics):
    """A store of which one topic is down, silent or behind."""

    def __init__(self):
        super().__init__()
        self.fault = None

    def _fail(self, topic):
        if topic != NODE_TOPIC or self.fault is None:
            return
        if self.fault == "silent":
            gevent.sleep(1.5)
        raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)

    def append(self, topic, part, records, at=None):
        if self.fault != "behind":
            self._fail(topic)
        return super().append(topic, part, records, at)

    def newest(self, topic, part, after=""):
        if topic == NODE_TOPIC and self.fault == "behind":
            return TopicSlice((), 0, 0), False
        self._fail(topic)
        return super().newest(topic, part, after)


class LenderTest(unittest.TestCase):
    def test_a_node_that_does_not_know_the_fleet_lends_nothing(self):
        limits, terms, now = FleetLimits("n0", 0.0), LimitTerms(10.0, 10.0), 0.0
        while now < 60.0:
            now += 0.5
            limits.update_view(["n0"], None, now)
            decision = limits.try_acquire("t", terms, now)
            self.assertIs(decision.outcome, CreditOutcome.NOT_OWNER)
        self.assertIsNone(limits.fleet_size)

    def test_it_begins_with_an_empty_bucket_and_its_share(self):
        limits, terms = FleetLimits("n0", 0.0), LimitTerms(10.0, 10.0)
        for now in range(1, 50):
            limits.update_view(["n0"], None, float(now))
        limits.update_view(["n0"], 5, 50.0)
        self.assertEqual((limits.fleet_size, limits.share), (5, 0.2))
        self.assertTrue(limits.is_starting(50.0))
        granted = sum(
            limits.try_acquire("t", terms, 50.0 + tenths / 10).outcome is CreditOutcome.GRANTED
            for tenths in range(10)
        )
        self.assertLessEqual(granted, 3)

    def test_it_asks_the_nodes_that_it_hears_of(self):
        limits = FleetLimits("n0", 0.0)
        limits.update_view(["n0", "n1"], None, 1.0)
        self.assertEqual(limits.choices("t"), ["n1"])

    def test_others_lend_its_share_and_do_not_ask_it(self):
        limits = FleetLimits("n0", 0.0)
        limits.update_view(["n0", "n1", "n2", "n3"], 4, 1.0, unsynced=["n1", "n2", "n3"])
        self.assertEqual((limits.fleet_size, limits.share, limits.zone_share), (4, 1.0, 1.0))
        self.assertEqual({tuple(limits.choices(f"t{number}")) for number in range(20)}, {("n0",)})


class PackedIdsTest(unittest.TestCase):
    def test_ids_in_reports_and_digests(self):
        for ids in ((), ("n0",), ("n0", "näher", "n2")):
            self.assertEqual(unpack_ids(pack_ids(ids)), frozenset(ids))
        self.assertEqual(len(unpack_ids(b"\xff\0\0n1")), 2)


class BoundTest(unittest.TestCase):
    """No window exceeds the limit while nodes start in any order beside an outage of the topic."""

    def run_fault(self, seed, fault):
        model = LimitModel(seed, 12, LARGE)
        settle(model)
        flood(model, 2, 700, faults=False)
        model.end_topic(OUTAGE)
        fault(model)
        flood(model, 3, 700, faults=False)
        return model

    def test_nodes_are_added(self):
        for seed in range(SEEDS):
            model = self.run_fault(seed, lambda model: model.add(12))
            flood(model, 10, 700, faults=False)
            self.assertLessEqual(model.max_in_window, allowed(LARGE), seed)

    def test_some_or_all_nodes_start_again(self):
        for seed in range(SEEDS):
            for share in (0.3, 0.6, 1.0):
                model = self.run_fault(seed, lambda model, share=share: model.kill(share, 1.0))
                flood(model, 10, 700, faults=False)
                self.assertLessEqual(model.max_in_window, allowed(LARGE), (seed, share))

    def test_at_random_among_other_faults(self):
        for seed in range(SEEDS * 2):
            model = LimitModel(seed, 13, LARGE)
            settle(model)
            for _ in range(5):
                if not model.topic_is_down:
                    model.end_topic(model.random.uniform(1.0, 8.0))
                flood(model, 5, 7 * LARGE.rate)
            self.assertLessEqual(model.max_in_window, allowed(LARGE), seed)
            self.assertGreater(model.total, 0)


class ServedTest(unittest.TestCase):
    """What a tenant gets while some nodes have not read the nodes, and once all have."""

    def served(self, model, seconds, at=None):
        before = model.total
        flood(model, seconds, 2 * LARGE.rate, faults=False, at=at)
        return model.total - before

    def usual(self, model):
        settle(model)
        self.served(model, 5)
        return self.served(model, 5)

    def test_nodes_that_know_the_fleet_serve_on_while_others_start_again(self):
        for seed in range(SEEDS):
            model = LimitModel(seed, 12, LARGE)
            usual = self.usual(model)
            model.end_topic(30.0)
            model.kill(0.3, 1.0)
            ready = [name for name, node in model.nodes.items() if not node.down]
            self.served(model, 3)
            self.assertGreater(self.served(model, 5, ready), 0.8 * usual, seed)

    def test_added_nodes_take_nothing_from_those_that_know_the_fleet(self):
        model = LimitModel(1, 12, LARGE)
        usual = self.usual(model)
        ready = list(model.nodes)
        model.end_topic(30.0)
        model.add(12)
        self.assertGreater(self.served(model, 5, ready), 0.95 * usual)

    def test_all_serve_two_seconds_after_the_topic_is_back(self):
        model = LimitModel(1, 12, LARGE)
        usual = self.usual(model)
        model.end_topic(5.0)
        model.kill(1.0, 1.0)
        self.assertEqual(self.served(model, 4.8), 0)
        flood(model, 2.2, 2 * LARGE.rate, faults=False)
        self.assertGreater(self.served(model, 5), 0.8 * usual)


class AnnouncementTest(unittest.TestCase):
    def run_fault(self, fault, seconds):
        """Let a node announce itself during a fault; return when it knew the nodes after it."""

        def run(loop):
            topics = FaultyNodeTopics()
            identity = gateway.NodeStarted(node_id="one", peer_address="10.0.0.1:1", zone="z")
            nodes = NodeDirectory(identity, topics, RecordingEventLog())
            topics.fault = fault
            gevent.spawn(nodes.announce)
            gevent.sleep(seconds)
            during = nodes.addresses()
            topics.fault = None
            returned_at = loop.now()
            while not nodes.is_known:
                gevent.sleep(0.01)
            return during, nodes.addresses(), loop.now() - returned_at

        return run_virtual(run)

    def test_nothing_is_known_until_the_nodes_were_read(self):
        for fault in ("down", "silent", "behind"):
            for seconds in (0.5, 4.5, 40.0):
                with self.subTest(fault=fault, seconds=seconds):
                    during, after, delay = self.run_fault(fault, seconds)
                    self.assertIsNone(during)
                    self.assertEqual(set(after), {"one"})
                    self.assertLess(delay, 1.0)


class StartedNodeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(nodes=2, engines=1, tenants=TENANTS)
        self.addCleanup(self.fleet.stop)
        self.fleet.topics.__class__ = FaultyNodeTopics
        self.fleet.topics.fault = "down"

    def ask(self, node, request_id):
        return self.fleet.request(
            node, STREAM_PATH, headers=[("Api-Key", "ann-key")], request_id=request_id
        )

    def test_it_refuses_what_needs_a_limit_and_sends_clients_elsewhere(self):
        node = self.fleet.start_node("n2")
        wait_until(lambda: node._can_serve)
        self.assertFalse(node.ready)
        gevent.sleep(2.0)
        self.assertFalse(node.ready)
        answer = self.ask("n2", "r1")
        self.assertEqual((answer.status, answer.document["error"]["verdict"]), (503, "not_run"))
        self.assertLessEqual(float(answer.headers["retry-after"]), 0.5)
        self.assertIsNone(node.status_document()["limits"]["known"])
        self.fleet.topics.fault = None
        wait_until(lambda: node.ready, timeout=2.0)
        wait_until(lambda: len(node.peers.all()) == 2, timeout=2.0)
        self.assertTrue(self.fleet.events("n2", Event.NODES_READ))
        wait_until(lambda: self.ask("n2", "r2").status == 200, timeout=4.0)

    def test_it_is_ready_where_no_tenant_has_a_limit(self):
        self.fleet.configure(tenants=[{"name": "ann", "apiKeys": ["ann-key"]}])
        node = self.fleet.start_node("n2")
        wait_until(lambda: node.ready)
        self.assertEqual(self.ask("n2", "r1").status, 200)

    def test_it_claims_no_jobs_of_nodes_that_it_can_not_know(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(pause=0.1, events=200)
        self.fleet.configure()
        body = job_body("j")
        self.assertEqual(
            self.fleet.request("n0", BATCH_PATH + "x", body=body, request_id="j").status, 202
        )
        self.fleet.start_node("n2")
        gevent.sleep(CLAIM_AFTER_START + 1.5)
        self.assertEqual(self.fleet.events("n2", Event.ROUTED_JOB_CLAIMED), [])
        self.fleet.topics.fault = None
        wait_until(lambda: len(self.fleet.nodes["n2"].peers.all()) == 2)
        gevent.sleep(CLAIM_AFTER_START + 1.0)
        self.assertEqual(self.fleet.events("n2", Event.ROUTED_JOB_CLAIMED), [])
