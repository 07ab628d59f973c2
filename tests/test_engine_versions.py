"""Streams while engines of several versions serve one service.

What two versions write does not fit together, and engines do not check it: a stream that broke off
went on at whichever engine was best, and its answer held events of two versions.
"""

import unittest
from time import monotonic

import gevent

from postvalve.gateway.interfaces import KeyedRecord
from postvalve.gateway.jobs.item_progress import PROGRESS_TOPIC
from postvalve.platform.fleet import DIRECTORY_TOPIC
from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.test_gateway_jobs import JobCase, whole_text
from tests.waiting import wait_until


class BrokenStreamTest(unittest.TestCase):
    def fleet(self, *versions, **options):
        fleet = GatewayFleet(engines=len(versions), versions=versions, **options)
        self.addCleanup(fleet.stop)
        return fleet

    def test_answer_goes_on_at_the_version_that_began_it(self):
        for attempt in range(8):
            with self.subTest(attempt=attempt):
                fleet = self.fleet("v1", "v2", "v1", "v2", nodes=1)
                for engine in fleet.engines:
                    engine.next_behaviours = [Behaviour(cut_after=1)]
                answer = fleet.request("n0", STREAM_PATH + "x")
                ran = {engine.version for engine in fleet.engines if engine.runs}
                self.assertEqual(len(ran), 1)
                self.assertTrue(answer.whole)

    def test_answer_ends_at_once_if_no_engine_of_its_version_is_left(self):
        fleet = self.fleet("v1", "v2", nodes=1)
        first, second = fleet.engines
        fleet.nodes["n0"]._fleet.directory_unsettled = lambda: False
        first.next_behaviours = [Behaviour(cut_after=1, pause=0.6)]
        second.next_behaviours = [Behaviour(refuse=True)]
        started = monotonic()
        answering = gevent.spawn(fleet.request, "n0", STREAM_PATH + "x")
        wait_until(lambda: first.runs)
        fleet.topics.append(DIRECTORY_TOPIC, 0, [KeyedRecord(first.engine_id, b"")])
        answer = answering.get()
        self.assertLess(monotonic() - started, 1.0)
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.whole)
        self.assertEqual(second.runs, [])

    def test_attempt_without_an_event_binds_nothing(self):
        fleet = self.fleet("v1", "v2", nodes=1)
        for engine in fleet.engines:
            engine.next_behaviours = [Behaviour(cut_after=0)]
        answer = fleet.request("n0", STREAM_PATH + "x")
        self.assertTrue(answer.whole)
        self.assertEqual({len(engine.runs) for engine in fleet.engines}, {1, 2})


class ItemCase(JobCase):
    nodes = 1
    versions = ("v1", "v2")

    def setUp(self):
        self.fleet = GatewayFleet(nodes=self.nodes, engines=2, versions=self.versions)
        self.addCleanup(self.fleet.stop)

    def versions_run(self):
        """Return version and Last-Event-Id of each run, by item."""
        runs = {}
        for engine in self.fleet.engines:
            for item_id, last in engine.runs:
                runs.setdefault(item_id, []).append((engine.version, last))
        return runs

    def assert_no_item_continues_at_another_version(self):
        for item_id, runs in self.versions_run().items():
            begun = {version for version, last in runs if last is None}
            continued = {version for version, last in runs if last is not None}
            self.assertLessEqual(continued, begun, (item_id, runs))
            if continued:
                self.assertEqual(len(begun), 1, (item_id, runs))


class InterruptedItemTest(ItemCase):
    """Items that broke off went on at engines of any version, and their texts were mixed."""

    def test_item_goes_on_at_the_version_that_began_it(self):
        for engine in self.fleet.engines:
            engine.next_behaviours = [Behaviour(cut_after=1) for _ in range(6)]
        self.submit("n0", "j", items=6)
        self.results("n0", "j", 6)
        self.assertIn("1", [last for runs in self.versions_run().values() for _, last in runs])
        self.assert_no_item_continues_at_another_version()

    def test_item_whose_version_has_gone_begins_again(self):
        self.fleet.nodes["n0"]._fleet.directory_unsettled = lambda: False
        first, second = self.fleet.engines
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(events=100, pause=0.01)
        self.submit("n0", "j", items=2)
        wait_until(lambda: sum(engine.running for engine in self.fleet.engines) == 2)
        gone = first if first.running else second
        left = second if gone is first else first
        gevent.sleep(0.3)
        gone.end()
        self.fleet.topics.append(DIRECTORY_TOPIC, 0, [KeyedRecord(gone.engine_id, b"")])
        for result in self.results("n0", "j", 2):
            self.assertEqual(result["text"], whole_text(result["id"], 100))
        self.assertEqual({last for _, last in left.runs}, {None})


class TakenOverItemTest(ItemCase):
    nodes = 3

    def test_restored_item_goes_on_at_the_version_that_began_it(self):
        self.usual(pause=0.02, events=400)
        self.submit("n0", "j", items=6)
        saved = self.fleet.topics
        wait_until(
            lambda: sum(len(saved.partition(PROGRESS_TOPIC, part).log) for part in range(2)) >= 6
        )
        self.fleet.kill("n0")
        self.usual(events=400)
        for result in self.results("n1", "j", 6):
            self.assertEqual(result["text"], whole_text(result["id"], 400))
        runs = self.versions_run()
        self.assertIn(True, [last is not None for some in runs.values() for _, last in some])
        self.assert_no_item_continues_at_another_version()
