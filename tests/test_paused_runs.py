"""Runs that pause at sound engines, and those from which nothing will come any more.

A second without a byte was taken for the end of an engine. A run that its engine had put back for
1.4 s was given up, offered to engines that were all full, and its client's stream was cut; where
another engine had room, the run went on at both if the first didn't notice the closed connection.
"""

import unittest
from unittest import mock

import gevent

from postvalve.core.routing.silent_run import ProbeResult, RunReport, RunState, SilentRun
from postvalve.events import Event
from postvalve.gateway.engines import run_watch
from postvalve.gateway.jobs import item_attempts
from postvalve.gateway.serving import routed_run
from postvalve.platform.dialect import PlatformDialect
from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour, StandInEngine
from tests.test_gateway_jobs import JobCase
from tests.test_gateway_online import whole_stream
from tests.waiting import wait_until

PAUSE = 1.2
"""Seconds between two events: several times as long as an engine may be silent in these tests."""


class JudgedRunTest(unittest.TestCase):
    """What the report of an engine tells of a run."""

    def setUp(self):
        self.run = SilentRun("r")

    def state(self, waiting=0, **runs):
        return self.run.judge(ProbeResult(True, RunReport(waiting, runs)))

    def test_an_engine_that_does_not_answer_is_silent(self):
        self.assertIs(self.run.judge(ProbeResult(False)), RunState.ENGINE_SILENT)

    def test_an_engine_that_tells_nothing_of_its_runs_leaves_it_unknown(self):
        self.assertIs(self.run.judge(ProbeResult(True)), RunState.UNKNOWN)

    def test_a_run_in_the_report_is_held(self):
        for _ in range(3):
            self.assertIs(self.state(r=5), RunState.HELD)

    def test_a_run_that_may_be_one_of_those_that_wait_is_held(self):
        self.assertIs(self.state(waiting=1, other=5), RunState.HELD)

    def test_a_run_that_is_nowhere_in_the_report_is_lost(self):
        self.assertIs(self.state(other=5), RunState.LOST)

    def test_a_run_whose_events_do_not_arrive_has_a_dead_connection(self):
        self.assertIs(self.state(r=5), RunState.HELD)
        self.assertIs(self.state(r=6), RunState.UNDELIVERED)


class ReportTest(unittest.TestCase):
    """Reports of engines as they come over the wire."""

    def test_counts_by_request(self):
        body = b'{"waiting": 2, "running": 1, "runs": [["a", 120, 7, 5], ["b", 1, 0, 0, "new"]]}'
        self.assertEqual(PlatformDialect().read_run_report(body), RunReport(2, {"a": 7, "b": 0}))

    def test_what_can_not_be_read_tells_nothing(self):
        for body in (
            b"", b"ok", b"[]", b"{}", b'{"waiting": 1}', b'{"waiting": -1, "runs": []}',
            b'{"waiting": 0, "runs": [["a", 1]]}', b'{"waiting": 0, "runs": [[1, 1, 1, 1]]}',
            b'{"waiting": 0, "runs": [["a", 1, "x", 1]]}', b'{"waiting": 0, "runs": {"a": 1}}',
            b"{" * 100_000, b'{"waiting": 0, "runs": [["a", 1, 1' + b"0" * 40 + b", 1]]}",
        ):  # fmt: skip
            with self.subTest(body=body[:60]):
                self.assertIsNone(PlatformDialect().read_run_report(body))


class PausedRunCase(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=2)
        self.addCleanup(self.fleet.stop)
        for module, name, seconds in (
            (routed_run, "EVENT_TIMEOUT", 0.3),
            (routed_run, "FIRST_EVENT_TIMEOUT", 0.3),
            (run_watch, "REPORT_TIMEOUT", 0.2),
            (run_watch, "RECHECK_INTERVAL", 0.3),
        ):
            patched = mock.patch.object(module, name, seconds)
            patched.start()
            self.addCleanup(patched.stop)

    def plan(self, behaviour, others):
        """Let the first engine that gets the request behave in one way, and all others another."""
        plan = [behaviour, *[others] * 50]
        for engine in self.fleet.engines:
            engine.next_behaviours = plan

    def ask(self):
        return self.fleet.request("n0", STREAM_PATH)

    def runs(self):
        return [run for engine in self.fleet.engines for run in engine.runs]

    def assert_whole(self, answer):
        self.assertEqual((answer.status, answer.body), (200, whole_stream()))
        self.assertTrue(answer.whole)


class PausedStreamTest(PausedRunCase):
    def test_it_is_not_cut_where_all_other_engines_are_full(self):
        self.plan(Behaviour(pause=PAUSE), Behaviour(refuse=True))
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 1)

    def test_it_does_not_go_on_at_a_second_engine_beside_the_first(self):
        self.plan(Behaviour(pause=PAUSE), Behaviour())
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 1)
        (silent, *_) = self.fleet.events("n0", Event.RUN_SILENT)
        self.assertEqual((silent["state"], silent["kept"]), ("held", True))

    def test_an_engine_that_tells_nothing_of_its_runs_is_waited_for(self):
        for engine in self.fleet.engines:
            engine.report = lambda: b""
        self.plan(Behaviour(pause=PAUSE), Behaviour())
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 1)

    def test_it_is_put_back_and_waits(self):
        def report(engine):
            return lambda: b'{"waiting": %d, "runs": []}' % bool(engine.running)

        for engine in self.fleet.engines:
            engine.report = report(engine)
        self.plan(Behaviour(pause=PAUSE), Behaviour())
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 1)


class EndedRunTest(PausedRunCase):
    """Streams from which nothing will come go on elsewhere within their time."""

    def test_of_an_engine_that_answers_nothing(self):
        for engine in self.fleet.engines:
            engine.report = lambda: None
        self.plan(Behaviour(pause=4.0), Behaviour())
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 2)

    def test_of_an_engine_that_has_lost_the_run(self):
        for engine in self.fleet.engines:
            engine.report = lambda: b'{"waiting": 0, "runs": []}'
        self.plan(Behaviour(pause=4.0), Behaviour())
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 2)

    def test_whose_events_do_not_arrive(self):
        made = iter(range(1, 100))
        for engine in self.fleet.engines:
            engine.report = lambda: b'{"waiting": 0, "runs": [["r1", 1, %d, 0]]}' % next(made)
        self.plan(Behaviour(pause=4.0), Behaviour())
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 2)


class WaitingRequestTest(PausedRunCase):
    """Requests whose answer has not begun."""

    def test_it_moves_to_an_engine_with_room(self):
        self.plan(Behaviour(head_delay=4.0), Behaviour())
        for engine in self.fleet.engines:
            engine.waiting = 1
        self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 2)

    def test_it_keeps_its_place_where_no_other_engine_has_room(self):
        self.plan(Behaviour(head_delay=PAUSE), Behaviour(refuse=True))
        for engine in self.fleet.engines:
            engine.waiting = 1
        fleet = self.fleet.nodes["n0"]._fleet
        with mock.patch.object(fleet, "has_capacity", return_value=False):
            self.assert_whole(self.ask())
        self.assertEqual(len(self.runs()), 1)


class BrokenStreamTest(PausedRunCase):
    def test_a_stream_that_has_begun_is_offered_until_its_end(self):
        """It was cut once half of its time was over, though its client can't go elsewhere."""
        self.plan(Behaviour(cut_after=1), Behaviour(refuse=True))
        asked = gevent.spawn(
            self.fleet.request, "n0", STREAM_PATH, headers=[("Deadline-Ms", "3000")]
        )
        gevent.sleep(2.2)
        for engine in self.fleet.engines:
            engine.next_behaviours = []
        self.assert_whole(asked.get(timeout=5.0))


class PausedItemTest(JobCase):
    nodes = 1

    def test_an_item_does_not_run_again_because_it_pauses(self):
        def pause(engine, behaviour, request_id, number):
            return PAUSE if number == 1 else 0.0

        with (
            mock.patch.object(item_attempts, "EVENT_TIMEOUT", 0.3),
            mock.patch.object(run_watch, "REPORT_TIMEOUT", 0.2),
            mock.patch.object(StandInEngine, "pause", pause),
        ):
            self.submit("n0", "j", items=1)
            wait_until(lambda: self.runs())
            self.results("n0", "j", 1)
        self.assertEqual(len(self.runs()), 1)
