"""Tests of the soak: checks detect violations, schedules are reproducible, a short run passes."""

import contextlib
import itertools
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

from tests.earlier_build import CURRENT_BUILD, ROOT
from tests.ports import free_port, separate_port_block
from tests.soak import joining
from tests.soak.__main__ import Soak
from tests.soak.budget import (
    MAX_ATTEMPTS,
    MAX_EXCEEDED,
    MAX_EXCESS,
    MAX_HOPELESS,
    MAX_ITEM_FAILURES,
    MAX_LATE,
    Arrival,
    BudgetChecker,
    BudgetSoak,
)
from tests.soak.budget_engine import Fate, fate_of
from tests.soak.clients import DEADLINE_MS
from tests.soak.faults import ISOLATED_KINDS, KINDS, QUIET_PERIOD, schedule
from tests.soak.invariants import (
    NODE_REPLACE,
    TIME_BOUND_CHECKS,
    EngineSight,
    FaultSpan,
    InvariantChecker,
    Job,
    LeavingEngine,
    OnlineRequest,
    Run,
    calm_windows,
)
from tests.soak.joining import JoiningSoak, draw_plan
from tests.soak.paced import PacedSoak
from tests.soak.paced_engine import Period, period_at
from tests.soak.peer_links import (
    MAX_LINKED_NODES,
    MAX_WAITING,
    SHUFFLE_DELAY,
    Direction,
    Impairment,
    PeerLinks,
)
from tests.soak.processes import Engine, Process
from tests.soak.prompts import PromptRequest, PromptSoak
from tests.soak.proxy import Proxy
from tests.soak.restarting import RestartingSoak
from tests.soak.surplus import SurplusSoak
from tests.soak.tenants import TenantClients
from tests.soak.versions import Attempt, Stream, VersionChecks, VersionSoak, read_events

SHORT_SEED = 5
SHORT_SECONDS = 20.0
PACED_SECONDS = 12.0
JOINING_SEED, JOINING_SECONDS = 128, 32.0
"""Seed of which four of the first five rounds cut a node off just before a version joins."""
RESTARTING_SEED, RESTARTING_SECONDS = 300, 24.0
"""Seed with which dea81ad mixed 7 of 376 streams."""
STALLING_SEED = 470
"""Seed of which all periods of the first 48 s are such that streams stall."""
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


class InvariantTest(unittest.TestCase):
    def setUp(self):
        self.invariants = InvariantChecker()
        self.job = Job("i-1", {"i-1-0": "a", "i-1-1": "b"}, 0.0, accepted_at=10.0)

    def violations(self):
        return [violation.partition(":")[0] for violation in self.invariants.violations]

    def read_page(self, *results, position=0, total=2):
        rows = [{"id": item, "state": state, "text": text} for item, state, text in results]
        self.invariants.check_page(self.job, "n0", position, {"results": rows, "total": total})

    def online_request(self, **changes):
        fields = {"status": 200, "body": b"x", "whole": True, "expected": b"x"} | changes
        req = OnlineRequest("o-1", True, "n0", 1.0, 2.0)
        for name, value in fields.items():
            setattr(req, name, value)
        return req

    def test_an_answer_to_another_request(self):
        self.invariants.check_online_request(self.online_request())
        self.invariants.check_online_request(self.online_request(body=b"y", whole=False))
        self.assertEqual(self.violations(), [])
        self.invariants.check_online_request(self.online_request(body=b"y"))
        self.assertEqual(self.violations(), ["whole answers, to one's own request"])

    def test_a_stalled_client_that_is_cut(self):
        self.invariants.check_stalled_request(self.online_request())
        self.invariants.spans.append(FaultSpan("node_kill", "n0", 1.2, 1.4))
        self.invariants.check_stalled_request(self.online_request(whole=False))
        self.assertEqual(self.violations(), [])
        self.invariants.spans.clear()
        self.invariants.check_stalled_request(self.online_request(whole=False))
        self.assertEqual(self.violations(), ["a client that stalls gets its whole answer"])

    def test_a_position_that_changes(self):
        self.read_page(("i-1-0", "completed", "a"))
        self.read_page(("i-1-0", "completed", "a"), ("i-1-1", "completed", "b"))
        self.assertEqual(self.violations(), [])
        self.read_page(("i-1-0", "completed", "b"), position=1)
        self.assertEqual(self.violations(), ["a position keeps its result"])

    def check_tenants(self, statuses, runs):
        clients = TenantClients(self.invariants, 1, None, None)
        clients.statuses = statuses
        clients.check([Run(request_id, at) for request_id, at in runs])

    def test_a_tenant_above_its_limit(self):
        allowed = [(f"t-limited-{number}", number * 0.2) for number in range(60)]
        again = [(request_id, 0.1) for request_id, _ in allowed]
        self.check_tenants({}, allowed + again[:1])
        self.assertEqual(self.violations(), [])
        self.check_tenants({}, [(f"t-limited-{number}", number * 0.17) for number in range(60)])
        self.assertEqual(self.violations(), ["a tenant stays within its limit"])

    def test_an_unknown_key_that_is_accepted(self):
        self.check_tenants(
            {"t-unknown-1": 401, "t-unknown-2": 503, "t-large-1": 200}, [("t-large-1", 1)]
        )
        self.assertEqual(self.violations(), [])
        self.check_tenants({"t-unknown-1": 401, "t-unknown-2": 200}, [("t-unknown-1", 1.0)])
        self.assertEqual(self.violations(), ["an unknown key runs nothing"] * 2)

    def test_a_refusal_below_the_limit_and_one_that_ran(self):
        self.check_tenants({"t-limited-1": 429}, [])
        self.assertEqual(self.violations(), [])
        self.check_tenants({"t-limited-1": 429, "t-large-2": 429}, [("t-limited-1", 1.0)])
        expected = ['"not run" is true', "no tenant is refused below its limit"]
        self.assertEqual(sorted(self.violations()), expected)

    def test_a_tenant_that_is_starved(self):
        busy = {f"t-busy-{number}": 200 for number in range(80)}
        quiet = {f"t-quiet-{number}": 200 if number < 6 else 503 for number in range(20)}
        self.check_tenants(busy | quiet, [])
        self.assertEqual(self.violations(), [])
        quiet |= {f"t-quiet-{number}": 503 for number in range(3, 20)}
        self.check_tenants(busy | quiet, [])
        self.assertEqual(self.violations(), ["nobody is served a quarter as often as all"])

    def test_a_wrong_number_of_items(self):
        self.read_page(total=3)
        self.assertEqual(self.violations(), ["the number of items"])

    def test_an_accepted_job_that_is_unknown(self):
        self.invariants.check_unknown_job(self.job, "n0", 11.0)
        self.assertEqual(self.violations(), [])
        self.invariants.check_unknown_job(self.job, "n0", 12.0)
        self.assertEqual(self.violations(), ["accepted jobs are known"])

    def test_a_configuration_that_goes_backwards(self):
        for life, revision in (("n0#1", 4), ("n0#1", 6), ("n0#2", 4)):
            self.invariants.check_revision_order(life, revision)
        self.assertEqual(self.violations(), [])
        self.invariants.check_revision_order("n0#1", 4)
        self.assertEqual(self.violations(), ["configuration never steps back"])

    def test_a_configuration_that_comes_late(self):
        self.invariants.check_revision_in_force("n0", 6, 6, 1.0)
        self.assertEqual(self.violations(), [])
        self.invariants.check_revision_in_force("n0", 4, 6, 1.0)
        self.assertEqual(self.violations(), ["configuration comes into force"])

    def test_a_request_that_runs_twice(self):
        self.invariants.check_runs([Run("o-1", 1.0)], [self.online_request()], [])
        self.assertEqual(self.violations(), [])
        self.invariants.check_runs([Run("o-1", 1.0), Run("o-1", 2.0)], [self.online_request()], [])
        self.assertEqual(self.violations(), ["at most once"])

    def test_a_refused_request_that_runs(self):
        self.invariants.check_runs([], [self.online_request(status=503)], [])
        self.assertEqual(self.violations(), [])
        self.invariants.check_runs([Run("o-1", 1.0)], [self.online_request(status=503)], [])
        self.assertEqual(self.violations(), ['"not run" is true'])

    def test_a_refused_job_that_runs(self):
        self.job.refused = True
        self.invariants.check_runs([Run("i-1-0", 1.0)], [], [self.job])
        self.assertEqual(self.violations(), ['"not run" is true'])

    def test_a_cancelled_job_that_goes_on(self):
        self.job.cancelled_at = 20.0
        self.invariants.check_runs([Run("i-1-0", 22.0)], [], [self.job])
        self.assertEqual(self.violations(), [])
        self.invariants.spans.append(FaultSpan("node_stop", "n0", 21.0, 23.0))
        self.invariants.check_runs([Run("i-1-0", 28.0)], [], [self.job])
        self.assertEqual(self.violations(), [])
        self.invariants.spans.clear()
        self.invariants.check_runs([Run("i-1-0", 28.0)], [], [self.job])
        self.assertEqual(self.violations(), ["a cancelled job stops"])

    def test_replacing_a_node_is_no_fault_of_other_nodes(self):
        self.invariants.spans.append(FaultSpan(NODE_REPLACE, "n0", 1.0, 9.0))
        self.assertTrue(self.invariants.fault_free(5.0, 6.0))
        self.assertFalse(self.invariants.undisturbed("n0", "e0", 5.0))
        self.assertTrue(self.invariants.undisturbed("n1", "e0", 5.0))

    def test_a_replaced_node_that_cuts_a_request(self):
        self.invariants.spans.append(FaultSpan(NODE_REPLACE, "n0", 1.5, 4.0))
        self.invariants.check_planned_stops([self.online_request(status=0, whole=False)])
        self.invariants.check_runs(
            [Run("o-1", 1.1)],
            [self.online_request(status=0, whole=False, connection_reused=True)],
            [],
        )
        expected = ["a planned stop cuts nothing", "a kept connection answers what it took"]
        self.assertEqual(self.violations(), expected)

    def test_online_requests_behind_batch(self):
        calm = [Run("o-1", 5.0, waited=0.1, items=3)] * 20
        self.invariants.check_runs([*calm, Run("o-2", 5.0, waited=2.0, items=0)], [], [])
        self.assertEqual(self.violations(), [])
        self.invariants.check_runs([*calm, Run("o-2", 5.0, waited=2.0, items=3)], [], [])
        self.assertEqual(self.violations(), ["online never waits behind batch"])

    def test_items_that_are_missing_doubled_or_wrong(self):
        self.read_page(("i-1-0", "completed", "a"), ("i-1-1", "completed", "b"))
        self.invariants.check_jobs([self.job])
        self.assertEqual(self.violations(), [])
        for results in (
            [("i-1-0", "completed", "a")],
            [("i-1-0", "completed", "a"), ("i-1-0", "completed", "a")],
        ):
            self.job.positions.clear()
            self.read_page(*results)
            self.invariants.check_jobs([self.job])
        self.assertEqual(self.violations(), ["items complete exactly once"] * 2)
        self.invariants.violations.clear()
        for result in (("i-1-1", "completed", "x"), ("i-1-1", "dead_letter", "")):
            self.job.positions.clear()
            self.read_page(("i-1-0", "completed", "a"), result)
            self.invariants.check_jobs([self.job])
        self.assertEqual(self.violations(), ["results are whole"] * 2)

    def test_a_request_at_a_departed_engine(self):
        self.invariants.leaving_engines.append(LeavingEngine("e1", 10.0))
        req = self.online_request()
        for at, waited in ((9.0, 0.0), (12.1, 0.0), (14.0, 2.0)):
            self.invariants.check_runs([Run("o-1", at, waited, engine="e1")], [req], [])
        self.invariants.check_runs([Run("o-1", 13.0, engine="e2")], [req], [])
        self.assertEqual(self.violations(), [])
        self.invariants.spans.append(FaultSpan("node_stop", "n0", 9.0, 10.5))
        self.invariants.check_runs([Run("o-1", 13.0, engine="e1")], [req], [])
        self.invariants.spans[:] = [FaultSpan("link_delay", "e1", 9.0, 10.5)]
        self.invariants.check_runs([Run("o-1", 13.0, engine="e1")], [req], [])
        self.invariants.spans[:] = [FaultSpan("store_down", "", 9.0, 10.5)]
        self.invariants.check_runs([Run("o-1", 13.0, engine="e1")], [req], [])
        self.assertEqual(self.violations(), [])
        for spans in (
            [],
            [FaultSpan("node_stop", "n1", 9.0, 12.5)],
            [FaultSpan("engine_leaves", "e1", 10.0, 15.0)],
            [FaultSpan("store_down", "", 8.0, 9.5)],
        ):
            self.invariants.spans[:] = spans
            self.invariants.check_runs([Run("o-1", 13.0, engine="e1")], [req], [])
        self.assertEqual(self.violations(), ["no request reaches an engine that has left"] * 4)

    def check_fatal(self, *times):
        runs = [Run(f"f-0-{number}", at, engine=f"e{number}") for number, at in enumerate(times)]
        self.invariants.check_fatal_runs(runs, {run.request_id: "n0" for run in runs})

    def test_a_fatal_request_that_is_not_held_back(self):
        self.check_fatal(0.0, 0.1, 0.2, 0.3, 2.9, 4.0, 5.0, 6.0)
        self.assertEqual(self.violations(), [])
        self.check_fatal(0.0, 0.1, 0.2, 4.0, 5.0, 6.0, 7.0)
        self.assertEqual(self.violations(), ["a request under which engines end is held back"])

    def test_requests_of_a_suspended_node_are_not_counted(self):
        self.invariants.spans = [
            FaultSpan("node_stop", "n0", 1.0, 6.0),
            FaultSpan("fatal_request", "", 0, 9),
        ]
        self.check_fatal(0.0, 0.1, 0.2, 4.0, 5.0, 6.0, 7.0)
        self.assertEqual(self.violations(), [])

    def test_too_few_requests_are_served_beside_a_fatal_one(self):
        self.invariants.spans = [FaultSpan("fatal_request", "", 0.0, 12.0)]
        requests = [
            OnlineRequest(f"o-{number}", True, "n0", 8.0, 8.5, status=200, whole=number < 7)
            for number in range(10)
        ]
        self.invariants.check_served_beside_fatal(requests[:8])
        self.assertEqual(self.violations(), [])
        self.invariants.check_served_beside_fatal(requests)
        self.assertEqual(
            self.violations(), ["requests are served beside one under which engines end"]
        )

    def test_a_persistent_connection_that_ends_without_an_answer(self):
        cut = self.online_request(status=0, whole=False, connection_reused=True)
        runs = [Run("o-1", 1.1)]
        self.invariants.check_runs([], [cut], [])
        self.invariants.check_runs(runs, [self.online_request(connection_reused=True)], [])
        self.invariants.check_runs(runs, [self.online_request(status=0, whole=False)], [])
        self.invariants.spans.append(FaultSpan("node_kill", "n0", 1.2, 1.4))
        self.invariants.check_runs(runs, [cut], [])
        self.assertEqual(self.violations(), [])
        for spans in ([], [FaultSpan("node_term", "n0", 1.2, 1.4)]):
            self.invariants.spans[:] = spans
            self.invariants.check_runs(runs, [cut], [])
        self.assertEqual(self.violations(), ["a kept connection answers what it took"] * 2)

    def test_a_request_on_a_persistent_connection_past_its_deadline(self):
        """At the deadline, a node may cut the answer of a silent engine: no other way is left."""
        cut = self.online_request(status=0, whole=False, connection_reused=True, deadline=2.0)
        self.invariants.check_runs([Run("o-1", 1.1)], [cut], [])
        self.assertEqual(self.violations(), [])
        cut.deadline = 2.1
        self.invariants.check_runs([Run("o-1", 1.1)], [cut], [])
        self.assertEqual(self.violations(), ["a kept connection answers what it took"])

    def test_a_planned_stop_that_cuts_a_request(self):
        under_way = self.online_request(status=0, whole=False)
        stop = FaultSpan("node_term", "n0", 1.5, 4.0)
        self.invariants.spans += [stop, FaultSpan("node_kill", "n1", 2.0, 3.0)]
        self.invariants.check_planned_stops([under_way])
        self.assertEqual(self.violations(), [])
        self.invariants.spans[1:] = []
        self.invariants.check_planned_stops(
            [self.online_request(), self.online_request(status=503)]
        )
        self.assertEqual(self.violations(), [])
        self.invariants.check_planned_stops([under_way])
        self.assertEqual(self.violations(), ["a planned stop cuts nothing"])


class CalmTest(unittest.TestCase):
    """Two engines of 8 slots, and 40 items that were accepted before the calm."""

    def setUp(self):
        self.invariants = InvariantChecker()
        self.texts = {f"i-1-{number}": "" for number in range(40)}
        self.job = Job("i-1", self.texts, 0.0, accepted_at=90.0)

    def sights(self, running, items=()):
        return [
            EngineSight(f"e{number % 2}", 100.0 + number * 0.25, 8, running, items)
            for number in range(40)
        ]

    def violations(self, sights, end=105.0):
        self.invariants.violations.clear()
        self.invariants.check_calm(calm_windows(100.0, end, [self.job], sights))
        return [violation.partition(":")[0] for violation in self.invariants.violations]

    def read(self, number, at):
        self.job.read_at = {f"i-1-{item}": at for item in range(number)}

    def test_items_that_wait_beside_engines_under_half_full(self):
        expected = ["in a calm, items end or engines are busy"]
        self.assertEqual(self.violations(self.sights(3)), expected)
        self.assertEqual(self.violations(self.sights(0)), expected)
        self.assertEqual(self.violations(self.sights(3), end=110.0), expected * 2)

    def test_engines_that_are_half_full(self):
        self.assertEqual(self.violations(self.sights(4)), [])

    def test_a_tenth_of_the_items_that_end(self):
        self.read(4, 104.0)
        self.assertEqual(self.violations(self.sights(3)), [])
        self.read(3, 104.0)
        self.assertEqual(len(self.violations(self.sights(3))), 1)
        self.read(4, 105.5)
        self.assertEqual(len(self.violations(self.sights(3))), 1)

    def test_items_that_ended_before_do_not_excuse_those_that_wait(self):
        self.read(10, 99.0)
        self.assertEqual(len(self.violations(self.sights(3))), 1)
        self.read(40, 99.0)
        self.assertEqual(self.violations(self.sights(3)), [])

    def test_items_that_run(self):
        self.assertEqual(self.violations(self.sights(3, tuple(self.texts))), [])
        self.assertEqual(len(self.violations(self.sights(3, tuple(self.texts)[1:]))), 1)

    def test_items_that_are_not_owed(self):
        self.job.cancelled_at = 95.0
        self.assertEqual(self.violations(self.sights(3)), [])
        self.job.cancelled_at, self.job.accepted_at = 0.0, 0.0
        self.assertEqual(self.violations(self.sights(3)), [])
        self.job.accepted_at = 101.0
        self.assertEqual(self.violations(self.sights(3)), [])

    def test_a_calm_that_is_shorter_than_a_window(self):
        self.assertEqual(self.violations(self.sights(3), end=104.0), [])

    def test_ends_count_from_when_they_were_first_read(self):
        self.job.positions = {0: ("i-1-0", "completed", "")}
        self.job.record_read(101.0)
        self.job.record_read(102.0)
        self.assertEqual(self.job.read_at, {"i-1-0": 101.0})


class PacedEngineTest(unittest.TestCase):
    def test_the_short_run_stalls_throughout(self):
        kinds = {period_at(STALLING_SEED, seconds) for seconds in range(48)}
        self.assertEqual(kinds, {Period.STALLS})

    def test_a_seed_determines_the_periods_and_all_kinds_occur(self):
        kinds = [period_at(7, seconds) for seconds in range(0, 300, 6)]
        self.assertEqual(kinds, [period_at(7, seconds + 5.9) for seconds in range(0, 300, 6)])
        self.assertEqual(set(kinds), set(Period))


class ScheduleTest(unittest.TestCase):
    def test_a_seed_determines_the_schedule(self):
        self.assertEqual(schedule(7, 60.0, KINDS), schedule(7, 60.0, KINDS))
        self.assertNotEqual(schedule(7, 60.0, KINDS), schedule(8, 60.0, KINDS))

    def test_a_long_schedule_contains_every_kind(self):
        self.assertEqual({fault.kind for fault in schedule(7, 1800.0, KINDS)}, set(KINDS))

    def test_there_are_quiet_periods_and_planned_stops_are_isolated(self):
        faults = schedule(7, 1800.0, KINDS)
        gaps = [(fault, following.at - fault.at) for fault, following in itertools.pairwise(faults)]
        self.assertGreater(sum(gap > QUIET_PERIOD for _, gap in gaps), 20)
        stops = [gap for fault, gap in gaps if fault.kind in ISOLATED_KINDS]
        self.assertTrue(stops)
        self.assertGreater(min(stops), KINDS["node_term"][0])


class ProxyTest(unittest.TestCase):
    def test_the_proxy_starts_without_a_server(self):
        proxy = Proxy(1)
        self.addCleanup(proxy.stop)
        self.assertGreater(proxy.port, 0)


class DirectionTest(unittest.TestCase):
    """What a direction between two nodes lets pass, and when."""

    def setUp(self):
        self.direction = Direction("seed")
        self.delivered = []

    def send(self, *numbers):
        for number in numbers:
            self.direction.pass_datagram(number, self.delivered.append)

    @contextlib.contextmanager
    def impaired(self, **changes):
        with PeerLinks.impaired([self.direction], Impairment(**changes)):
            yield

    def test_datagrams_are_lost_while_they_are_dropped(self):
        with self.impaired(dropped=True), self.impaired(held=True):
            self.send(1)
        self.send(2)
        self.assertEqual(self.delivered, [2])

    def test_held_datagrams_come_in_order_when_the_last_fault_ends(self):
        with self.impaired(held=True):
            with self.impaired(held=True):
                self.send(1, 2)
            self.assertEqual(self.delivered, [])
        self.assertEqual(self.delivered, [1, 2])

    def test_the_number_of_held_datagrams_is_bounded(self):
        with self.impaired(held=True):
            self.send(*range(MAX_WAITING + 5))
        self.assertEqual(len(self.delivered), MAX_WAITING)

    def test_datagrams_are_lost_doubled_and_out_of_order(self):
        with self.impaired(lost=0.3):
            self.send(*range(100))
            gevent.sleep(0.05)
        self.assertTrue(50 < len(self.delivered) < 90)
        self.assertEqual(self.delivered, sorted(self.delivered))
        self.delivered.clear()
        with self.impaired(doubled=0.3, shuffled=0.3):
            self.send(*range(100))
            gevent.sleep(SHUFFLE_DELAY + 0.05)
        self.assertEqual(set(self.delivered), set(range(100)))
        self.assertTrue(110 < len(self.delivered) < 150)
        self.assertNotEqual(self.delivered, sorted(self.delivered))

    def test_datagrams_come_late(self):
        with self.impaired(delay=0.1):
            self.send(1)
            gevent.sleep(0.03)
            self.assertEqual(self.delivered, [])
        gevent.sleep(0.15)
        self.assertEqual(self.delivered, [1])


@dataclass
class LinkedNode:
    """What links need of a node."""

    name: str
    peer: int
    links_path: Path


class PeerLinksTest(unittest.TestCase):
    """Three nodes, each a server that echoes data and a socket for datagrams."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.nodes, self.datagrams = {}, {}
        for name in ("n0", "n1", "n2"):
            server = StreamServer(("127.0.0.1", free_port()), self.echo)
            server.start()
            self.addCleanup(server.stop, timeout=0.1)
            receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            receiver.bind(("127.0.0.1", server.server_port))
            self.addCleanup(receiver.close)
            self.datagrams[name] = receiver
            path = Path(folder.name) / f"{name}.links.json"
            self.nodes[name] = LinkedNode(name, server.server_port, path)
        self.links = PeerLinks(list(self.nodes.values()), "seed")
        self.addCleanup(self.links.stop)

    @staticmethod
    def echo(conn, address):
        with contextlib.suppress(ConnectionError):
            while data := conn.recv(100):
                conn.sendall(data)

    def address(self, sender, receiver, kind):
        links = json.loads(self.nodes[sender].links_path.read_text())
        host, _, port = links[f"127.0.0.1:{self.nodes[receiver].peer}"][kind].rpartition(":")
        return host, int(port)

    def connect(self, sender, receiver):
        conn = socket.create_connection(self.address(sender, receiver, "stream"))
        self.addCleanup(conn.close)
        return conn

    def comes_back(self, conn, data, timeout=0.2):
        conn.settimeout(timeout)
        conn.sendall(data)
        try:
            return conn.recv(100)
        except TimeoutError:
            return b""

    def hears(self, sender, receiver):
        """Whether a datagram arrives."""
        self.datagrams[sender].sendto(b"x", self.address(sender, receiver, "datagram"))
        self.datagrams[receiver].settimeout(0.2)
        try:
            return self.datagrams[receiver].recv(100) == b"x"
        except TimeoutError:
            return False

    def heard(self):
        return {pair for pair in itertools.permutations(self.nodes, 2) if self.hears(*pair)}

    def test_a_node_that_is_cut_off(self):
        conn, other = self.connect("n0", "n1"), self.connect("n1", "n2")
        with self.links.impaired(self.links.around("n0"), Impairment(dropped=True)):
            self.assertEqual(self.heard(), {("n1", "n2"), ("n2", "n1")})
            self.assertEqual(self.comes_back(conn, b"a"), b"")
            self.assertEqual(self.comes_back(other, b"a"), b"a")
            self.assertEqual(self.comes_back(self.connect("n1", "n0"), b"a"), b"")
        self.assertEqual(conn.recv(100), b"a")
        self.assertEqual(len(self.heard()), 6)

    def test_a_node_whose_peers_do_not_hear_it(self):
        opened, accepted = self.connect("n0", "n1"), self.connect("n1", "n0")
        with self.links.impaired(self.links.sent_by("n0"), Impairment(dropped=True)):
            self.assertEqual({pair for pair in self.heard() if "n0" in pair}, {
                ("n1", "n0"), ("n2", "n0"),
            })  # fmt: skip
            # Its replies on connections of its peers are as lost as its requests.
            self.assertEqual(self.comes_back(opened, b"a"), b"")
            self.assertEqual(self.comes_back(accepted, b"a"), b"")

    def test_a_node_that_does_not_hear_its_peers(self):
        with self.links.impaired(self.links.heard_by("n0"), Impairment(dropped=True)):
            self.assertEqual({pair for pair in self.heard() if "n0" in pair}, {
                ("n0", "n1"), ("n0", "n2"),
            })  # fmt: skip

    def test_two_halves(self):
        crossing = self.links.between_halves(random.Random(1))
        with self.links.impaired(crossing, Impairment(dropped=True)):
            heard = self.heard()
        self.assertEqual(len(heard), 2)
        self.assertEqual({pair[::-1] for pair in heard}, heard)

    def test_data_of_a_connection_comes_late_and_in_order(self):
        conn = self.connect("n0", "n1")
        late = Impairment(delay=0.1, jitter=0.1)
        with self.links.impaired(self.links.sent_by("n0"), late):
            started = time.monotonic()
            for part in (b"a", b"b", b"c"):
                conn.sendall(part)
                gevent.sleep(0.02)
            data = b""
            while len(data) < 3:
                data += conn.recv(100)
        self.assertEqual(data, b"abc")
        self.assertGreater(time.monotonic() - started, 0.1)

    def test_connections_that_are_reset(self):
        conn, other = self.connect("n0", "n1"), self.connect("n1", "n2")
        self.assertEqual(self.comes_back(conn, b"a"), b"a")
        self.assertEqual(self.comes_back(other, b"a"), b"a")
        self.links.reset("n0")
        with self.assertRaises(ConnectionError):
            conn.sendall(b"b")
            if not conn.recv(100):
                raise ConnectionResetError
        self.assertEqual(self.comes_back(other, b"b"), b"b")

    def test_pairs_of_a_large_fleet_that_no_fault_affects_have_no_links(self):
        folder = self.nodes["n0"].links_path.parent
        nodes = [LinkedNode(f"m{number}", 1, folder / f"m{number}") for number in range(9)]
        links = PeerLinks(nodes, "seed")
        self.addCleanup(links.stop)
        self.assertEqual(len(links.sent_by("m0")), 8)
        self.assertEqual(len(links.sent_by("m8")), MAX_LINKED_NODES)


class JoiningPlanTest(unittest.TestCase):
    """Rounds of the soak with versions that join."""

    def setUp(self):
        self.plans = [draw_plan(random.Random(seed), joining.KINDS) for seed in range(400)]

    def test_a_seed_determines_a_round_and_all_kinds_occur(self):
        self.assertEqual(draw_plan(random.Random(7), joining.KINDS), self.plans[7])
        self.assertEqual({plan.fault.kind for plan in self.plans}, set(joining.KINDS))

    def test_faults_begin_near_the_listing_and_most_breaks_come_while_they_are_in_force(self):
        self.assertTrue(all(-1.5 <= plan.fault.at <= 0.5 for plan in self.plans))
        within = [
            plan for plan in self.plans if plan.breaks_at <= plan.fault.at + plan.fault.duration
        ]
        self.assertGreater(len(within), 200)
        self.assertLess(len(within), 400)


class ProcessTest(unittest.TestCase):
    """SIGUSR1 must not end a process that is starting and has not installed its handler yet."""

    def test_sigusr1_does_not_end_a_starting_process(self):
        with tempfile.TemporaryDirectory() as folder:
            process = Process("e", Path(folder), ["tests.soak.engine", "e", str(free_port())])
            process.start()
            process.signal(signal.SIGUSR1)
            gevent.sleep(0.3)
            is_running = process.is_running
            process.kill()
        self.assertTrue(is_running)


class NodeTest(unittest.TestCase):
    """A node of the soak must ignore SIGHUP soon after its start.

    This once took half a second, since the tests package was imported first; a SIGHUP that arrived
    before ended the node.
    """

    def test_a_node_imports_nothing_of_the_tests_package(self):
        """The product takes 0.04 s to import; the tests package adds a library that takes 0.3 s."""
        arguments = ["-X", "importtime", *CURRENT_BUILD.arguments]
        environment = {"PYTHONPATH": str(ROOT)}
        result = subprocess.run(
            [sys.executable, *arguments],
            env=environment,
            cwd=ROOT,
            capture_output=True,
            check=False,
        )
        imported = {line.rpartition("|")[2].strip() for line in result.stderr.decode().splitlines()}
        self.assertIn("postvalve.startup", imported)
        self.assertEqual(imported & {"tests", "hypothesis"}, set())


class EngineTest(unittest.TestCase):
    """Two overlapping faults at one engine must not both restart it.

    When they did, two processes were called e2-2, and the fleet kept track of the second only. The
    first stayed listed, and still ran after the soak had killed all processes that it knew.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.engine = Engine(0, Path(folder.name))
        self.first = self.engine.process
        self.addCleanup(self.first.kill)
        self.addCleanup(lambda: (self.engine.link.stop(), self.engine.process.kill()))

    def test_two_restarts_of_an_engine_start_one_process(self):
        self.first.kill()
        self.engine.restart()
        again = self.engine.process
        self.addCleanup(again.kill)
        self.engine.restart()
        self.assertIs(self.engine.process, again)
        self.assertEqual(self.engine.engine_id, "e0-2")

    def test_the_next_life_runs_beside_a_leaving_one(self):
        self.engine.start()
        self.assertTrue(self.first.is_running and self.engine.process.is_running)
        self.assertEqual(self.engine.engine_id, "e0-2")


class VersionChecksTest(unittest.TestCase):
    """The soak with two versions sees streams that are mixed, cut short, or turned away."""

    def setUp(self):
        self.invariants = InvariantChecker()
        self.checks = VersionChecks(self.invariants)

    def violations(self):
        return [violation.partition(":")[0] for violation in self.invariants.violations]

    @staticmethod
    def attempt(*events, after=0, sent_at=1.0, begun_by=""):
        return Attempt("v-1", "n0", sent_at, after, 200, True, list(events), begun_by)

    def test_events_are_read_with_their_versions(self):
        body = b"id: 1\ndata: v-1 part 1\nversion: v1\n\nid: 2\ndata: v-1 part 2\nversion: v"
        self.assertEqual(read_events(body), [(1, "v1")])

    def test_a_stream_of_one_version(self):
        self.checks.check_stream(
            Stream([self.attempt((1, "v1"), (2, "v1")), self.attempt((3, "v1"), after=2)])
        )
        self.assertEqual(self.violations(), [])

    def test_two_versions_in_an_answer(self):
        self.checks.check_stream(Stream([self.attempt((1, "v1"), (2, "v2"))]))
        self.assertIn("an answer holds one version", self.violations())

    def test_two_versions_over_attempts(self):
        attempts = [self.attempt((1, "v1")), self.attempt((2, "v2"), after=1)]
        self.checks.check_stream(Stream(attempts))
        self.assertEqual(self.violations(), ["a client's attempts hold one version"])

    def test_a_repeated_event(self):
        attempts = [self.attempt((1, "v1")), self.attempt((1, "v1"), after=1)]
        self.checks.check_stream(Stream(attempts))
        self.assertEqual(self.violations(), ["a stream lacks and repeats no event"])

    def test_too_few_streams_that_are_taken_up_go_on(self):
        def streams(gone_on):
            new = [Stream([self.attempt((1, "v1"))]) for _ in range(10)]
            continued = [(2, "v1")]
            return new + [
                Stream([self.attempt(*(continued if one < gone_on else ()), after=1)])
                for one in range(12)
            ]

        self.checks.check_shares(streams(6), lambda version, at: True)
        self.assertEqual(self.violations(), [])
        self.checks.check_shares(streams(5), lambda version, at: False)
        self.assertEqual(self.violations(), [])
        self.invariants.spans.append(FaultSpan("node_kill", "n0", 0.0, 0.5))
        self.checks.check_shares(streams(5), lambda version, at: True)
        self.assertEqual(self.violations(), [])
        self.invariants.spans.clear()
        self.checks.check_shares(streams(5), lambda version, at: True)
        self.assertEqual(self.violations(), ["streams taken up go on"])

    def test_streams_that_begin_at_a_node_out_of_touch_with_its_peers_do_not_count(self):
        first = self.attempt((1, "v1"), sent_at=4.0)
        later = Attempt("v-2", "n1", 5.0, 1, 503, True, [], "v1")
        for span, is_counted in (
            (FaultSpan("peers_cut", "n0", 4.5, 6.0), False),
            (FaultSpan("peers_cut", "n0", 0.0, 1.5), False),
            (FaultSpan("peers_cut", "n0", 0.0, 0.9), True),
            (FaultSpan("peers_cut", "n0", 5.5, 6.0), True),
            (FaultSpan("peers_cut", "n2", 4.5, 6.0), True),
            (FaultSpan("node_kill", "n0", 4.5, 6.0), True),
        ):
            self.invariants.spans[:] = [span]
            _, taken_up = self.checks.counts([Stream([first, later])], lambda version, at: True)
            self.assertEqual(taken_up.total(), is_counted, span)

    def test_a_stream_that_is_refused_several_times_counts_once(self):
        refused = self.attempt(after=1)
        streams = [Stream([self.attempt((1, "v1")), refused, refused, refused])]
        begun, taken_up = self.checks.counts(streams, lambda version, at: True)
        self.assertEqual((begun, taken_up), ({True: 1}, {False: 1}))

    def test_an_item_at_another_version(self):
        versions = {"e0": "v1", "e1": "v2"}
        self.checks.check_items([("i", "e0", None), ("i", "e0", "3")], versions)
        self.assertEqual(self.violations(), [])
        self.checks.check_items([("i", "e0", None), ("i", "e1", "3")], versions)
        self.assertEqual(self.violations(), ["an item goes on at its version"])


class PromptCheckTest(unittest.TestCase):
    """The checks of the prompt soak see late requests and shares that fall, in made-up sights."""

    def setUp(self):
        self.soak = PromptSoak(1, 1.0, ["fatal_part"], Path(tempfile.gettempdir()))
        self.soak.clients.prompts = self.prompts = []
        self.runs = defaultdict(list)

    def violations(self):
        return [one.partition(":")[0] for one in self.soak.invariants.violations]

    def send(self, at, *parts, status=200, runs=()):
        """Add a request that was sent at a time, and run some seconds later at some engines."""
        name = f"o-{len(self.prompts)}"
        req = OnlineRequest(name, False, "n0", at, at + 0.5, status=status, whole=status == 200)
        self.prompts.append(PromptRequest(req, parts))
        self.runs[name] = [at + seconds for seconds in runs]

    def check_fatal(self, start, end):
        self.soak._check_fatal_part("c3", start, end, self.runs)

    def crash(self, *times):
        for at in times:
            self.send(at, "a0", "c3", status=502, runs=[0.0])

    def test_three_late_requests_are_allowed_and_a_fourth_is_not(self):
        self.crash(*range(100, 105), 108, 109, 110)
        self.check_fatal(99, 120)
        self.assertEqual(self.violations(), [])
        self.crash(111)
        self.check_fatal(99, 120)
        self.assertEqual(self.violations(), ["a fatal part is held back"])

    def test_repeats_of_one_request_count(self):
        self.crash(*range(100, 105))
        self.send(108, "a0", "c3", status=502, runs=[0.0, 0.1, 0.2, 0.3])
        self.check_fatal(99, 120)
        self.assertEqual(self.violations(), ["a fatal part is held back"])

    def test_sound_requests_that_are_refused(self):
        self.crash(100)
        for number in range(30):
            self.send(90 + number / 10, "a0", "c1")
            self.send(107 + number / 10, "a0", "c1", status=503 if number % 3 else 200)
        self.check_fatal(99, 120)
        self.assertEqual(self.violations(), ["sound requests are served beside a fatal part"])

    def test_a_crowded_node_that_refuses_what_it_has_read(self):
        span = FaultSpan("crowd", "n0", 100.0, 108.0)
        self.soak.invariants.spans.append(span)
        for number in range(30):
            self.send(92 + number / 10, "a0", "c1")
            self.send(104 + number / 10, "a0", "c1", status=0 if number % 2 else 200)
        self.soak._check_crowd(span)
        self.assertEqual(self.violations(), [])
        for number in range(30):
            self.send(104 + number / 10, "a0", "c1", status=503)
        self.soak._check_crowd(span)
        self.assertEqual(self.violations(), ["a crowded node serves"])


class BudgetCheckTest(unittest.TestCase):
    """The checks of repeats see what goes beyond a limit, in made-up sights."""

    def setUp(self):
        self.checker = BudgetChecker()
        self.requests, self.arrivals = [], defaultdict(list)

    def send(self, *runs):
        """Add a request sent at second 100; each run has an engine, a second and what it may."""
        request_id = f"o-{len(self.requests)}"
        self.requests.append(OnlineRequest(request_id, False, "n0", 100.0))
        self.arrivals[request_id] = [Arrival(*run) for run in runs]

    def violations(self):
        return [one.partition(":")[0] for one in self.checker.violations]

    def test_more_engines_than_a_route_allows(self):
        for _ in range(MAX_EXCEEDED):
            self.send(*((f"e{number}", 100.0, 4.0) for number in range(MAX_ATTEMPTS + 1)))
        self.checker.check_engines(self.arrivals, self.requests)
        self.assertEqual(self.violations(), [])
        self.send(*((f"e{number}", 100.0, 4.0) for number in range(MAX_ATTEMPTS + 1)))
        self.checker.check_engines(self.arrivals, self.requests)
        self.assertEqual(self.violations(), ["an attempt goes to few engines"])

    def test_more_time_than_remains(self):
        left = DEADLINE_MS / 1000
        for _ in range(MAX_LATE):
            self.send(("e0", 101.0, left))
        self.send(("e0", 101.0, left - 1.0 + MAX_EXCESS))
        self.checker.check_times(self.arrivals, self.requests)
        self.assertEqual(self.violations(), [])
        self.send(("e0", 101.0, None))
        self.checker.check_times(self.arrivals, self.requests)
        self.assertEqual(self.violations(), ["engines get the time that remains"])

    def test_time_at_an_engine_whose_link_was_harmed_does_not_count(self):
        for _ in range(2 * MAX_LATE):
            self.send(("e0", 101.0, DEADLINE_MS / 1000))
        self.checker.spans = [FaultSpan("link_delay", "e0", 99.0, 99.5)]
        self.checker.check_times(self.arrivals, self.requests)
        self.assertEqual(self.violations(), [])
        self.checker.spans = [FaultSpan("link_delay", "e1", 99.0, 99.5)]
        self.checker.check_times(self.arrivals, self.requests)
        self.assertEqual(self.violations(), ["engines get the time that remains"])

    def check_item(self, fate, failures, later):
        """Check an item that failed some times, and reached engines some times after that."""
        item = next(name for name in map("i-{}-0".format, range(999)) if fate_of(name) is fate)
        rows = [{"at": float(number), "heard": True} for number in range(failures)]
        arrivals = [Arrival("e0", failures + number, None) for number in range(later)]
        self.checker.check_failures({item: rows}, {item: arrivals})
        return self.violations()

    def test_an_item_that_fails_once_too_often(self):
        self.assertEqual(self.check_item(Fate.FAILS, MAX_ITEM_FAILURES - 1, 1), [])
        self.assertEqual(self.check_item(Fate.HOPELESS, MAX_HOPELESS, 0), [])
        expected = ["an item that always fails is given up"]
        self.assertEqual(self.check_item(Fate.HOPELESS, MAX_HOPELESS, 1), expected)
        self.assertEqual(self.check_item(Fate.FAILS, MAX_ITEM_FAILURES, 1), expected * 2)


class ShortPacedSoak(PacedSoak):
    """Run with one flood just before a calm, in which all engines stall."""

    flood_items = (14, 16)
    floods_at = (0.9,)
    calm_seconds = (5.0, 25.0)


class ShortRunTest(unittest.TestCase):
    def test_a_short_run_of_a_fixed_seed_passes(self):
        with separate_port_block(), tempfile.TemporaryDirectory() as folder:
            soak = Soak(
                SHORT_SEED, SHORT_SECONDS, SHORT_KINDS, Path(folder), print_line=lambda line: None
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
        self.assertGreater(invariants.check_counts["items complete exactly once"], 3, report)
        self.assertGreater(
            invariants.check_counts["whole answers, to one's own request"], 50, report
        )

    def test_items_that_wait_end_in_a_short_run_whose_streams_pause(self):
        kinds = ["node_kill", "engine_kill", "store_down"]
        with separate_port_block(), tempfile.TemporaryDirectory() as folder:
            soak = ShortPacedSoak(
                STALLING_SEED, PACED_SECONDS, kinds, Path(folder), print_line=lambda line: None,
                nodes=3, engines=3,
            )  # fmt: skip
            invariants = soak.run()
            report = soak.report()
        violations = [
            violation
            for violation in invariants.violations
            if violation.partition(":")[0] not in TIME_BOUND_CHECKS
        ]
        self.assertEqual(violations, [], report)
        self.assertGreater(
            invariants.check_counts["in a calm, items end or engines are busy"], 0, report
        )
        self.assertGreater(invariants.check_counts["items complete exactly once"], 2, report)

    def check_short_run(
        self, soak_type, kinds, check, least, *, seed=SHORT_SEED, seconds=SHORT_SECONDS, **sizes
    ):
        """Run a soak for a short time; `check` must be made more than `least` times."""
        with separate_port_block(), tempfile.TemporaryDirectory() as folder:
            soak = soak_type(
                seed, seconds, kinds, Path(folder), print_line=lambda line: None,
                **sizes,
            )  # fmt: skip
            invariants = soak.run()
            report = soak.report()
        violations = [
            violation
            for violation in invariants.violations
            if violation.partition(":")[0] not in TIME_BOUND_CHECKS
        ]
        self.assertEqual(violations, [], report)
        self.assertGreater(invariants.check_counts[check], least, report)

    def test_a_short_run_with_prompts_passes(self):
        kinds = ["fatal_part"] * 2 + ["crowd", "engine_kill"]
        check = "whole answers, to one's own request"
        self.check_short_run(PromptSoak, kinds, check, 50, engines=5)

    def test_a_short_run_with_engines_that_crash_by_the_clock_passes(self):
        check = "items complete exactly once"
        self.check_short_run(PromptSoak, ["engine_storm"], check, 3, engines=5)

    def test_a_short_run_with_surplus_answers_passes(self):
        kinds = ["engine_kill"] * 3 + ["engine_leaves"]
        self.check_short_run(SurplusSoak, kinds, "at most once", 50, engines=3)

    def test_a_short_run_with_requests_that_fail_everywhere_passes(self):
        kinds = ["stop_series"] * 2 + ["node_kill", "link_reset"]
        self.check_short_run(BudgetSoak, kinds, "at most once", 50, engines=4)

    def test_a_short_run_with_two_versions_passes(self):
        kinds = ["some_nodes_kill"] * 3 + ["engine_kill"] * 2 + ["store_down"]
        check = "a client's attempts hold one version"
        self.check_short_run(VersionSoak, kinds, check, 50, engines=4)

    def test_a_short_run_with_versions_that_join_passes(self):
        check = "a client's attempts hold one version"
        kinds = ["node_cut"] * 4 + ["peers_cut", "node_halt"]
        self.check_short_run(
            JoiningSoak, kinds, check, 100, seed=JOINING_SEED, seconds=JOINING_SECONDS,
            nodes=4, engines=2,
        )  # fmt: skip

    def test_a_short_run_with_engines_that_start_again_in_place_passes(self):
        check = "a client's attempts hold one version"
        self.check_short_run(
            RestartingSoak, ["", "store_cut"], check, 100, seed=RESTARTING_SEED,
            seconds=RESTARTING_SECONDS, nodes=4, engines=2,
        )  # fmt: skip


if __name__ == "__main__":
    unittest.main()
