"""The soak: each check can fail, a seed gives its faults again, and a short run holds."""

import itertools
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import gevent

from tests.earlier_build import PRESENT, ROOT
from tests.ports import free_port, separate_port_block
from tests.soak.__main__ import Soak
from tests.soak.faults import ALONE, KINDS, REST, schedule
from tests.soak.processes import Engine, Process
from tests.soak.promises import REPLACED, TIMED, Job, Leaving, Online, Promises, Run, Span
from tests.soak.proxy import Proxy
from tests.soak.tenants import TenantClients

SHORT_SEED = 5
SHORT_SECONDS = 20.0
SHORT_KINDS = (
    "node_kill",
    "node_stop",
    "engine_kill",
    "engine_leaves",
    "link_reset",
    "store_down",
    "store_silent",
    "hup_series",
    "fatal_request",
    "node_suspend",
)


class PromiseTest(unittest.TestCase):
    def setUp(self):
        self.promises = Promises()
        self.job = Job("i-1", {"i-1-0": "a", "i-1-1": "b"}, 0.0, accepted_at=10.0)

    def broken(self):
        return [told.partition(":")[0] for told in self.promises.broken]

    def read(self, *results, position=0, total=2):
        rows = [{"id": item, "state": state, "text": text} for item, state, text in results]
        self.promises.page_read(self.job, "n0", position, {"results": rows, "total": total})

    def online(self, **changes):
        fields = {"status": 200, "body": b"x", "whole": True, "expected": b"x"} | changes
        req = Online("o-1", True, "n0", 1.0, 2.0)
        for name, value in fields.items():
            setattr(req, name, value)
        return req

    def test_an_answer_of_somebody_else(self):
        self.promises.online_ended(self.online())
        self.promises.online_ended(self.online(body=b"y", whole=False))
        self.assertEqual(self.broken(), [])
        self.promises.online_ended(self.online(body=b"y"))
        self.assertEqual(self.broken(), ["whole answers, to one's own request"])

    def test_a_stalled_client_that_is_cut(self):
        self.promises.stalled_ended(self.online())
        self.promises.spans.append(Span("node_kill", "n0", 1.2, 1.4))
        self.promises.stalled_ended(self.online(whole=False))
        self.assertEqual(self.broken(), [])
        self.promises.spans.clear()
        self.promises.stalled_ended(self.online(whole=False))
        self.assertEqual(self.broken(), ["a client that stalls gets its whole answer"])

    def test_a_position_that_changes(self):
        self.read(("i-1-0", "completed", "a"))
        self.read(("i-1-0", "completed", "a"), ("i-1-1", "completed", "b"))
        self.assertEqual(self.broken(), [])
        self.read(("i-1-0", "completed", "b"), position=1)
        self.assertEqual(self.broken(), ["a position keeps its result"])

    def tenants(self, statuses, runs):
        clients = TenantClients(self.promises, 1, None, None)
        clients.statuses = statuses
        clients.check([Run(request_id, at) for request_id, at in runs])

    def test_a_tenant_beyond_its_limit(self):
        allowed = [(f"t-limited-{number}", number * 0.2) for number in range(60)]
        again = [(request_id, 0.1) for request_id, _ in allowed]
        self.tenants({}, allowed + again[:1])
        self.assertEqual(self.broken(), [])
        self.tenants({}, [(f"t-limited-{number}", number * 0.17) for number in range(60)])
        self.assertEqual(self.broken(), ["a tenant stays within its limit"])

    def test_an_unknown_key_that_is_served(self):
        self.tenants({"t-unknown-1": 401, "t-unknown-2": 503, "t-large-1": 200}, [("t-large-1", 1)])
        self.assertEqual(self.broken(), [])
        self.tenants({"t-unknown-1": 401, "t-unknown-2": 200}, [("t-unknown-1", 1.0)])
        self.assertEqual(self.broken(), ["an unknown key runs nothing"] * 2)

    def test_a_refusal_below_the_limit_and_one_that_ran(self):
        self.tenants({"t-limited-1": 429}, [])
        self.assertEqual(self.broken(), [])
        self.tenants({"t-limited-1": 429, "t-large-2": 429}, [("t-limited-1", 1.0)])
        wanted = ['"not run" is true', "no tenant is refused below its limit"]
        self.assertEqual(sorted(self.broken()), wanted)

    def test_a_tenant_that_is_hardly_served(self):
        busy = {f"t-busy-{number}": 200 for number in range(80)}
        quiet = {f"t-quiet-{number}": 200 if number < 6 else 503 for number in range(20)}
        self.tenants(busy | quiet, [])
        self.assertEqual(self.broken(), [])
        quiet |= {f"t-quiet-{number}": 503 for number in range(3, 20)}
        self.tenants(busy | quiet, [])
        self.assertEqual(self.broken(), ["nobody is served a quarter as often as all"])

    def test_a_wrong_number_of_items(self):
        self.read(total=3)
        self.assertEqual(self.broken(), ["the number of items"])

    def test_a_job_that_is_not_known(self):
        self.promises.page_missing(self.job, "n0", 11.0)
        self.assertEqual(self.broken(), [])
        self.promises.page_missing(self.job, "n0", 12.0)
        self.assertEqual(self.broken(), ["accepted jobs are known"])

    def test_a_configuration_that_steps_back(self):
        for life, revision in (("n0#1", 4), ("n0#1", 6), ("n0#2", 4)):
            self.promises.revision_seen(life, revision)
        self.assertEqual(self.broken(), [])
        self.promises.revision_seen("n0#1", 4)
        self.assertEqual(self.broken(), ["configuration never steps back"])

    def test_a_configuration_that_comes_late(self):
        self.promises.revision_due("n0", 6, 6, 1.0)
        self.assertEqual(self.broken(), [])
        self.promises.revision_due("n0", 4, 6, 1.0)
        self.assertEqual(self.broken(), ["configuration comes into force"])

    def test_a_request_that_runs_twice(self):
        self.promises.runs_seen([Run("o-1", 1.0)], [self.online()], [])
        self.assertEqual(self.broken(), [])
        self.promises.runs_seen([Run("o-1", 1.0), Run("o-1", 2.0)], [self.online()], [])
        self.assertEqual(self.broken(), ["at most once"])

    def test_a_refused_request_that_runs(self):
        self.promises.runs_seen([], [self.online(status=503)], [])
        self.assertEqual(self.broken(), [])
        self.promises.runs_seen([Run("o-1", 1.0)], [self.online(status=503)], [])
        self.assertEqual(self.broken(), ['"not run" is true'])

    def test_a_refused_job_that_runs(self):
        self.job.refused = True
        self.promises.runs_seen([Run("i-1-0", 1.0)], [], [self.job])
        self.assertEqual(self.broken(), ['"not run" is true'])

    def test_a_cancelled_job_that_goes_on(self):
        self.job.cancelled_at = 20.0
        self.promises.runs_seen([Run("i-1-0", 22.0)], [], [self.job])
        self.assertEqual(self.broken(), [])
        self.promises.spans.append(Span("node_stop", "n0", 21.0, 23.0))
        self.promises.runs_seen([Run("i-1-0", 28.0)], [], [self.job])
        self.assertEqual(self.broken(), [])
        self.promises.spans.clear()
        self.promises.runs_seen([Run("i-1-0", 28.0)], [], [self.job])
        self.assertEqual(self.broken(), ["a cancelled job stops"])

    def test_that_a_machine_is_replaced_excuses_nothing_elsewhere(self):
        self.promises.spans.append(Span(REPLACED, "n0", 1.0, 9.0))
        self.assertTrue(self.promises.calm(5.0, 6.0))
        self.assertFalse(self.promises.in_touch("n0", "e0", 5.0))
        self.assertTrue(self.promises.in_touch("n1", "e0", 5.0))

    def test_a_replaced_machine_that_cuts_a_request(self):
        self.promises.spans.append(Span(REPLACED, "n0", 1.5, 4.0))
        self.promises.stops_ended([self.online(status=0, whole=False)])
        self.promises.runs_seen(
            [Run("o-1", 1.1)], [self.online(status=0, whole=False, kept=True)], []
        )
        wanted = ["a planned stop cuts nothing", "a kept connection answers what it took"]
        self.assertEqual(self.broken(), wanted)

    def test_online_requests_behind_batch(self):
        calm = [Run("o-1", 5.0, waited=0.1, items=3)] * 20
        self.promises.runs_seen([*calm, Run("o-2", 5.0, waited=2.0, items=0)], [], [])
        self.assertEqual(self.broken(), [])
        self.promises.runs_seen([*calm, Run("o-2", 5.0, waited=2.0, items=3)], [], [])
        self.assertEqual(self.broken(), ["online never waits behind batch"])

    def test_items_that_are_missing_doubled_or_wrong(self):
        self.read(("i-1-0", "completed", "a"), ("i-1-1", "completed", "b"))
        self.promises.jobs_ended([self.job])
        self.assertEqual(self.broken(), [])
        for results in (
            [("i-1-0", "completed", "a")],
            [("i-1-0", "completed", "a"), ("i-1-0", "completed", "a")],
        ):
            self.job.positions.clear()
            self.read(*results)
            self.promises.jobs_ended([self.job])
        self.assertEqual(self.broken(), ["items complete exactly once"] * 2)
        self.promises.broken.clear()
        for result in (("i-1-1", "completed", "x"), ("i-1-1", "dead_letter", "")):
            self.job.positions.clear()
            self.read(("i-1-0", "completed", "a"), result)
            self.promises.jobs_ended([self.job])
        self.assertEqual(self.broken(), ["results are whole"] * 2)

    def test_a_request_at_an_engine_that_has_left(self):
        self.promises.leavings.append(Leaving("e1", 10.0))
        req = self.online()
        for at, waited in ((9.0, 0.0), (12.1, 0.0), (14.0, 2.0)):
            self.promises.runs_seen([Run("o-1", at, waited, engine="e1")], [req], [])
        self.promises.runs_seen([Run("o-1", 13.0, engine="e2")], [req], [])
        self.assertEqual(self.broken(), [])
        self.promises.spans.append(Span("node_stop", "n0", 9.0, 10.5))
        self.promises.runs_seen([Run("o-1", 13.0, engine="e1")], [req], [])
        self.promises.spans[:] = [Span("link_delay", "e1", 9.0, 10.5)]
        self.promises.runs_seen([Run("o-1", 13.0, engine="e1")], [req], [])
        self.promises.spans[:] = [Span("store_down", "", 9.0, 10.5)]
        self.promises.runs_seen([Run("o-1", 13.0, engine="e1")], [req], [])
        self.assertEqual(self.broken(), [])
        for spans in (
            [],
            [Span("node_stop", "n1", 9.0, 12.5)],
            [Span("engine_leaves", "e1", 10.0, 15.0)],
            [Span("store_down", "", 8.0, 9.5)],
        ):
            self.promises.spans[:] = spans
            self.promises.runs_seen([Run("o-1", 13.0, engine="e1")], [req], [])
        self.assertEqual(self.broken(), ["no request reaches an engine that has left"] * 4)

    def fatal(self, *times):
        runs = [Run(f"f-0-{number}", at, engine=f"e{number}") for number, at in enumerate(times)]
        self.promises.fatal_seen(runs, {run.request_id: "n0" for run in runs})

    def test_a_request_under_which_engines_end_goes_on(self):
        self.fatal(0.0, 0.1, 0.2, 0.3, 2.9, 4.0, 5.0, 6.0)
        self.assertEqual(self.broken(), [])
        self.fatal(0.0, 0.1, 0.2, 4.0, 5.0, 6.0, 7.0)
        self.assertEqual(self.broken(), ["a request under which engines end is held back"])

    def test_what_a_node_sends_that_was_cut_off_does_not_count(self):
        self.promises.spans = [Span("node_stop", "n0", 1.0, 6.0), Span("fatal_request", "", 0, 9)]
        self.fatal(0.0, 0.1, 0.2, 4.0, 5.0, 6.0, 7.0)
        self.assertEqual(self.broken(), [])

    def test_nobody_is_served_beside_it(self):
        self.promises.spans = [Span("fatal_request", "", 0.0, 12.0)]
        requests = [
            Online(f"o-{number}", True, "n0", 8.0, 8.5, status=200, whole=number < 7)
            for number in range(10)
        ]
        self.promises.served_beside_fatal(requests[:8])
        self.assertEqual(self.broken(), [])
        self.promises.served_beside_fatal(requests)
        self.assertEqual(self.broken(), ["requests are served beside one under which engines end"])

    def test_a_kept_connection_that_ends_without_an_answer(self):
        cut = self.online(status=0, whole=False, kept=True)
        ran = [Run("o-1", 1.1)]
        self.promises.runs_seen([], [cut], [])
        self.promises.runs_seen(ran, [self.online(kept=True)], [])
        self.promises.runs_seen(ran, [self.online(status=0, whole=False)], [])
        self.promises.spans.append(Span("node_kill", "n0", 1.2, 1.4))
        self.promises.runs_seen(ran, [cut], [])
        self.assertEqual(self.broken(), [])
        for spans in ([], [Span("node_term", "n0", 1.2, 1.4)]):
            self.promises.spans[:] = spans
            self.promises.runs_seen(ran, [cut], [])
        self.assertEqual(self.broken(), ["a kept connection answers what it took"] * 2)

    def test_a_request_on_a_kept_connection_whose_time_is_over(self):
        """Its engine was silent until then, so its node could end it in no other way."""
        cut = self.online(status=0, whole=False, kept=True, deadline=2.0)
        self.promises.runs_seen([Run("o-1", 1.1)], [cut], [])
        self.assertEqual(self.broken(), [])
        cut.deadline = 2.1
        self.promises.runs_seen([Run("o-1", 1.1)], [cut], [])
        self.assertEqual(self.broken(), ["a kept connection answers what it took"])

    def test_a_planned_stop_that_cuts(self):
        under_way = self.online(status=0, whole=False)
        stop = Span("node_term", "n0", 1.5, 4.0)
        self.promises.spans += [stop, Span("node_kill", "n1", 2.0, 3.0)]
        self.promises.stops_ended([under_way])
        self.assertEqual(self.broken(), [])
        self.promises.spans[1:] = []
        self.promises.stops_ended([self.online(), self.online(status=503)])
        self.assertEqual(self.broken(), [])
        self.promises.stops_ended([under_way])
        self.assertEqual(self.broken(), ["a planned stop cuts nothing"])


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_its_faults_again(self):
        self.assertEqual(schedule(7, 60.0, KINDS), schedule(7, 60.0, KINDS))
        self.assertNotEqual(schedule(7, 60.0, KINDS), schedule(8, 60.0, KINDS))

    def test_a_long_schedule_holds_every_kind(self):
        self.assertEqual({one.kind for one in schedule(7, 1800.0, KINDS)}, set(KINDS))

    def test_there_are_calm_times_and_planned_stops_come_alone(self):
        faults = schedule(7, 1800.0, KINDS)
        gaps = [(one, after.at - one.at) for one, after in itertools.pairwise(faults)]
        self.assertGreater(sum(gap > REST for _, gap in gaps), 20)
        stops = [gap for one, gap in gaps if one.kind in ALONE]
        self.assertTrue(stops)
        self.assertGreater(min(stops), KINDS["node_term"][0])


class ProxyTest(unittest.TestCase):
    def test_it_starts_where_nobody_listens(self):
        proxy = Proxy(1)
        self.addCleanup(proxy.stop)
        self.assertGreater(proxy.port, 0)


class ProcessTest(unittest.TestCase):
    """The sign of a suspension came to a node that was still starting, and ended it."""

    def test_the_sign_of_a_suspension_ends_no_process_that_starts(self):
        with tempfile.TemporaryDirectory() as folder:
            process = Process("e", Path(folder), ["tests.soak.engine", "e", str(free_port())])
            process.start()
            process.signal(signal.SIGUSR1)
            gevent.sleep(0.3)
            runs = process.runs
            process.kill()
        self.assertTrue(runs)


class NodeTest(unittest.TestCase):
    """A soak's node took half a second until it ignored the signal for changed settings."""

    def test_it_imports_nothing_of_the_tests_before_it_ignores_signals(self):
        """The product's own program takes 0.04 s; the tests' package brings a library of 0.3 s."""
        words = ["-X", "importtime", *PRESENT.words]
        environment = {"PYTHONPATH": str(ROOT)}
        ran = subprocess.run(
            [sys.executable, *words], env=environment, cwd=ROOT, capture_output=True, check=False
        )
        imported = {line.rpartition("|")[2].strip() for line in ran.stderr.decode().splitlines()}
        self.assertIn("postvalve.startup", imported)
        self.assertEqual(imported & {"tests", "hypothesis"}, set())


class EngineTest(unittest.TestCase):
    """Two faults that overlapped at an engine both started it again.

    Of two processes e2-2 the fleet knew the last one only; the other was listed, and was still
    there after the soak had ended all that it knew.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.engine = Engine(0, Path(folder.name))
        self.first = self.engine.process
        self.addCleanup(self.first.kill)
        self.addCleanup(lambda: (self.engine.link.stop(), self.engine.process.kill()))

    def test_an_engine_that_two_faults_start_again_has_one_process(self):
        self.first.kill()
        self.engine.start_again()
        again = self.engine.process
        self.addCleanup(again.kill)
        self.engine.start_again()
        self.assertIs(self.engine.process, again)
        self.assertEqual(self.engine.engine_id, "e0-2")

    def test_the_next_life_of_an_engine_that_leaves_runs_beside_it(self):
        self.engine.start()
        self.assertTrue(self.first.runs and self.engine.process.runs)
        self.assertEqual(self.engine.engine_id, "e0-2")


class ShortRunTest(unittest.TestCase):
    def test_a_short_run_of_a_fixed_seed_holds(self):
        with separate_port_block(), tempfile.TemporaryDirectory() as folder:
            soak = Soak(
                SHORT_SEED, SHORT_SECONDS, SHORT_KINDS, Path(folder), tell=lambda told: None
            )
            promises = soak.run()
            told = soak.report()
        # The machine of a test run may be too busy for bounds of seconds.
        broken = [one for one in promises.broken if one.partition(":")[0] not in TIMED]
        self.assertEqual(broken, [], told)
        self.assertGreater(promises.checked["items complete exactly once"], 3, told)
        self.assertGreater(promises.checked["whole answers, to one's own request"], 50, told)


if __name__ == "__main__":
    unittest.main()
