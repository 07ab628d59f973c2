"""Routed online requests: complete responses, attempts, refusals and disconnecting clients."""

import json
import time
import unittest
from unittest import mock

import gevent

from postvalve.events import Event
from postvalve.gateway.interfaces import KeyedRecord
from postvalve.gateway.knowledge.state_age import MAX_REVISION_AGE
from postvalve.gateway.serving import routed_run
from postvalve.platform.fleet import DIRECTORY_TOPIC
from tests.answers import read_answer
from tests.gateway_support import ONCE_PATH, STREAM_PATH, GatewayFleet, SlowClock
from tests.ports import free_port
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until


def whole_stream(request_id="r1", events=3):
    return b"".join(
        f"id: {number}\ndata: {request_id} part {number}\n\n".encode()
        for number in range(1, events + 1)
    )


class OnlineCase(unittest.TestCase):
    engines = 2

    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=self.engines)
        self.addCleanup(self.fleet.stop)
        self.first = self.fleet.engines[0]

    def plan(self, *behaviours):
        """Set the behaviours of the next attempts, whichever engines get them."""
        plan = list(behaviours)
        for engine in self.fleet.engines:
            engine.next_behaviours = plan

    def runs(self):
        return [run for engine in self.fleet.engines for run in engine.runs]


class AnswerTest(OnlineCase):
    def test_request_and_answer_pass_unchanged(self):
        target = STREAM_PATH + "a%20b/%2f?x=1&y=%41"
        answer = self.fleet.request(
            "n0", target, headers=[("X-Own", "1"), ("Deadline-Ms", "3000")], body=b"\x00body"
        )
        self.assertEqual((answer.status, answer.body, answer.whole), (200, whole_stream(), True))
        self.assertTrue(answer.headers["response-seal"].startswith("seal-"))
        line, headers = next(head for one in self.fleet.engines for head in one.heads)
        self.assertEqual(line, f"POST {target} HTTP/1.1")
        self.assertEqual(headers["x-own"], "1")
        self.assertEqual(headers["host"], "h.example")
        self.assertLessEqual(int(headers["deadline-ms"]), 3000)
        self.assertNotIn("connection", headers)
        bodies = [one.bodies.get("r1") for one in self.fleet.engines]
        self.assertIn(b"\x00body", bodies)

    def test_fragmented_events_are_forwarded_whole(self):
        self.plan(Behaviour(piecewise=True))
        self.assertEqual(self.fleet.request("n0", STREAM_PATH).body, whole_stream())

    def test_engine_failure_is_forwarded_where_no_retry_is_allowed(self):
        self.plan(Behaviour(status=500))
        answer = self.fleet.request("n0", ONCE_PATH)
        self.assertEqual(answer.status, 500)
        self.assertIn("response-seal", answer.headers)
        self.assertEqual(len(self.runs()), 1)

    def test_connections_are_reused(self):
        for number in range(5):
            self.fleet.request("n0", STREAM_PATH, request_id=f"r{number}")
        self.assertLessEqual(sum(one.connections for one in self.fleet.engines), 2)

    def test_connection_with_bytes_after_a_response_is_not_reused(self):
        extra = b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\nX"
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(trailing_bytes=extra)
        for number in range(4):
            answer = self.fleet.request("n0", STREAM_PATH, request_id=f"r{number}")
            self.assertEqual(answer.body, whole_stream(f"r{number}"))
        self.assertEqual(sum(one.connections for one in self.fleet.engines), 4)

    def test_connection_that_received_bytes_while_idle_is_not_reused(self):
        extra = b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\nX"
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(late_trailing_bytes=extra)
        for number in range(4):
            answer = self.fleet.request("n0", STREAM_PATH, request_id=f"r{number}")
            self.assertEqual(answer.body, whole_stream(f"r{number}"))
            gevent.sleep(0.15)
        self.assertEqual(sum(one.connections for one in self.fleet.engines), 4)
        self.assertEqual(self.fleet.events("n0", Event.ROUTED_ATTEMPT_FAILED), [])

    def test_response_to_another_request_is_not_forwarded(self):
        self.plan(Behaviour(wrong_request_id=True))
        answer = self.fleet.request("n0", STREAM_PATH)
        self.assertEqual((answer.status, answer.body), (200, whole_stream()))
        self.assertEqual(len(self.runs()), 2)


class AttemptTest(OnlineCase):
    def test_refused_request_is_sent_to_another_engine(self):
        self.plan(Behaviour(refuse=True))
        self.assertEqual(self.fleet.request("n0", ONCE_PATH).status, 200)
        self.assertEqual(len(self.runs()), 1)

    def test_truncated_stream_resumes_after_its_last_complete_event(self):
        self.plan(Behaviour(cut_after=2))
        answer = self.fleet.request("n0", STREAM_PATH)
        self.assertEqual((answer.body, answer.whole), (whole_stream(), True))
        self.assertEqual(sorted(str(run[1]) for run in self.runs()), ["2", "None"])
        self.assertEqual(len(self.fleet.events("n0", Event.ROUTED_STREAM_RESUMED)), 1)

    def test_client_may_resume_from_its_own_position(self):
        answer = self.fleet.request("n0", STREAM_PATH, headers=[("Last-Event-Id", "2")])
        self.assertEqual(answer.body, whole_stream().partition(b"part 2\n\n")[2])

    def test_truncated_stream_that_may_not_resume_looks_truncated(self):
        self.plan(Behaviour(cut_after=2))
        answer = self.fleet.request("n0", ONCE_PATH)
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, whole_stream(events=2))
        self.assertEqual(len(self.runs()), 1)

    def test_request_that_may_have_run_is_not_retried_on_a_once_route(self):
        self.plan(Behaviour(cut_after=-1))
        answer = self.fleet.request("n0", ONCE_PATH)
        self.assertEqual((answer.status, len(self.runs())), (502, 1))

    def test_attempts_are_bounded(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(cut_after=-1)
        answer = self.fleet.request("n0", STREAM_PATH)
        self.assertEqual((answer.status, len(self.runs())), (502, 3))

    def test_replaced_engine_gets_no_more_requests(self):
        self.first.expected_id = "another"
        for number in range(4):
            answer = self.fleet.request("n0", ONCE_PATH, request_id=f"r{number}")
            self.assertEqual(answer.status, 200)
        self.assertLessEqual(len(self.first.heads), 1)

    def test_leaving_engine_gets_no_new_request(self):
        self.fleet.list_engine(self.first, "draining")
        wait_until(
            lambda: any(
                one["engine"] == "e0" and one["state"] == "leaving"
                for one in self.fleet.events("n0", Event.ENGINE_LISTED)
            )
        )
        for number in range(4):
            self.fleet.request("n0", STREAM_PATH, request_id=f"r{number}")
        self.assertEqual(self.first.runs, [])

    def test_refused_request_waits_for_capacity(self):
        self.plan(*[Behaviour(refuse=True)] * 9)
        answer = self.fleet.request("n0", ONCE_PATH)
        self.assertEqual((answer.status, len(self.runs())), (200, 1))

    def test_refusal_has_retry_after(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(refuse=True)
        answer = self.fleet.request("n0", ONCE_PATH, headers=[("Deadline-Ms", "400")])
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertEqual(answer.document["error"]["verdict"], "not_run")
        self.assertEqual(self.runs(), [])


class TimeTest(OnlineCase):
    def test_request_past_its_deadline_gets_a_response(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(silent=True)
        answer = self.fleet.request("n0", ONCE_PATH, headers=[("Deadline-Ms", "300")])
        self.assertEqual(answer.status, 504)

    def test_slow_engine_is_waited_for_where_no_retry_is_allowed(self):
        self.plan(Behaviour(head_delay=0.6))
        with mock.patch.object(routed_run, "FIRST_EVENT_TIMEOUT", 0.1):
            answer = self.fleet.request("n0", ONCE_PATH)
        self.assertEqual((answer.status, answer.body), (200, whole_stream()))
        self.assertEqual(len(self.runs()), 1)

    def test_late_first_event_is_logged_with_the_counts_at_placement(self):
        # Longer than a process on a busy machine is suspended, which would make any request late.
        self.fleet.configure(targetLatencyMs=600)
        holder = self.fleet.nodes["n0"].configuration
        wait_until(lambda: holder.table.route_named("stream").target_latency == 0.6)
        self.plan(Behaviour(head_delay=1.2))
        headers = [("Prompt-Prefix", "aa:100,bb:40")]
        self.assertTrue(self.fleet.request("n0", STREAM_PATH, headers=headers).whole)
        self.fleet.request("n0", STREAM_PATH, request_id="r2")
        (late,) = self.fleet.events("n0", Event.ROUTED_REQUEST_SLOW)
        self.assertEqual((late["request"], late["online"], late["unread"]), ("r1", 0, 0))
        self.assertGreater(late["waited"], 0.6)
        use = self.fleet.nodes["n0"]._fleet.use
        self.assertEqual([use.total(one.engine_id).unread for one in self.fleet.engines], [0, 0])

    def test_silent_engine_is_given_up_where_a_retry_is_allowed(self):
        self.plan(Behaviour(head_delay=3.0))
        with mock.patch.object(routed_run, "FIRST_EVENT_TIMEOUT", 0.1):
            answer = self.fleet.request("n0", STREAM_PATH)
        self.assertEqual((answer.status, answer.body), (200, whole_stream()))
        self.assertEqual(len(self.runs()), 2)

    def test_disconnecting_client_ends_its_attempt(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(pause=0.05, events=200)
        connection = self.fleet.open("n0", STREAM_PATH)
        wait_until(lambda: sum(one.running for one in self.fleet.engines) == 1)
        connection.close()
        wait_until(lambda: sum(one.cut_by_peer for one in self.fleet.engines) == 1)

    def test_client_disconnecting_before_the_first_event_ends_its_attempt(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(silent=True)
        # Neither the engine's time-out nor the route's (5 s) ends the attempt earlier.
        with mock.patch.object(routed_run, "FIRST_EVENT_TIMEOUT", 60.0):
            connection = self.fleet.open("n0", STREAM_PATH)
            wait_until(lambda: sum(len(one.heads) for one in self.fleet.engines) == 1)
            connection.close()
            wait_until(lambda: self.fleet.events("n0", Event.ROUTED_ATTEMPT_FAILED), timeout=3.0)
        self.assertEqual(sum(len(one.heads) for one in self.fleet.engines), 1)


class ConfigurationTest(unittest.TestCase):
    def test_before_any_configuration(self):
        fleet = GatewayFleet(nodes=1, engines=1, configured=False)
        self.addCleanup(fleet.stop)
        answer = fleet.request("n0", STREAM_PATH)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertFalse(fleet.nodes["n0"].ready)

    def test_a_node_that_has_just_started_waits_for_its_configuration(self):
        fleet = GatewayFleet(nodes=1, engines=1, configured=False)
        self.addCleanup(fleet.stop)
        asked = gevent.spawn(fleet.request, "n0", STREAM_PATH)
        gevent.sleep(0.05)
        fleet.configure()
        self.assertEqual(asked.get().status, 200)

    def test_no_route(self):
        fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(fleet.stop)
        self.assertEqual(fleet.request("n0", "/nowhere/?k=secret").status, 404)
        (logged,) = fleet.events("n0", Event.REQUEST_UNROUTED)
        self.assertEqual((logged["request"], logged["path"]), ("r1", "/nowhere/"))
        self.assertEqual((logged["revision"], logged["revision_source"]), (2, "store"))
        self.assertLess(logged["revision_age"], 2.0)

    def test_no_route_is_not_final_while_a_newer_revision_may_have_one(self):
        fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(fleet.stop)
        fleet.topics.down = True
        wait_until(lambda: fleet.nodes["n0"]._state_age().revision_age > MAX_REVISION_AGE)
        answer = fleet.request("n0", "/nowhere/")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        fleet.topics.down = False
        wait_until(lambda: fleet.nodes["n0"]._state_age().revision_age < MAX_REVISION_AGE)
        self.assertEqual(fleet.request("n0", "/nowhere/").status, 404)

    def test_no_route_is_not_final_while_a_peer_has_a_newer_revision(self):
        fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(fleet.stop)
        fleet.nodes["n0"]._revisions.consider(4, "n9", f"127.0.0.1:{free_port()}")
        self.assertEqual(fleet.request("n0", "/nowhere/").status, 503)
        fleet.configure()
        wait_until(lambda: fleet.nodes["n0"].configuration.revision == 4)
        self.assertEqual(fleet.request("n0", "/nowhere/").status, 404)

    def test_revisions_only_move_forward_and_come_from_peers(self):
        fleet = GatewayFleet(nodes=2, engines=1)
        self.addCleanup(fleet.stop)
        node = fleet.nodes["n1"]
        former = node.configuration.document
        wait_until(lambda: len(node.peers.all()) == 1)
        self.assertEqual(node.configuration.revision, 2)
        node.configuration.adopt(b'{"version": 9}', "test")
        wait_until(lambda: fleet.nodes["n0"].configuration.revision == 9)
        node.configuration.adopt(former, "test")
        self.assertEqual(node.configuration.revision, 9)

    def test_unreadable_revision_leaves_the_previous_one_in_force(self):
        fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(fleet.stop)
        fleet.nodes["n0"].configuration.adopt(b'{"routes": 5}', "test")
        self.assertEqual(fleet.nodes["n0"].configuration.revision, 2)
        (event,) = fleet.events("n0", Event.CONFIGURATION_UNREADABLE)
        self.assertEqual(len(event["mistakes"]), 2)


class DirectoryTest(unittest.TestCase):
    """Engines that are running but not listed in the directory at the moment."""

    def setUp(self):
        self.fleet = GatewayFleet(nodes=0, engines=1)
        self.addCleanup(self.fleet.stop)
        self.engine = self.fleet.engines[0]
        self.unlist()

    def unlist(self):
        self.fleet.topics.append(DIRECTORY_TOPIC, 0, [KeyedRecord(self.engine.engine_id, b"")])

    def lost_topics(self):
        return [fields["topic"] for fields in self.fleet.events("n0", Event.STORE_LOST)]

    def make_store_unavailable(self, node):
        """Make the store unavailable; one failed read is not enough for that."""
        self.fleet.topics.down = True
        wait_until(lambda: DIRECTORY_TOPIC in self.lost_topics())
        wait_until(lambda: node._directory.store_unreachable)
        self.fleet.topics.down = False

    def ask(self, allowed_ms):
        return self.fleet.request("n0", STREAM_PATH, headers=[("Deadline-Ms", str(allowed_ms))])

    def test_a_request_at_a_node_that_starts_waits_for_the_directory(self):
        self.fleet.start_node("n0")
        asked = gevent.spawn(self.ask, 8000)
        gevent.sleep(0.6)
        self.fleet.list_engine(self.engine)
        self.assertEqual(asked.get().status, 200)

    def test_it_waits_if_only_other_services_are_listed(self):
        other = json.dumps(self.engine.entry() | {"service": "other"}).encode()
        self.fleet.topics.append(DIRECTORY_TOPIC, 0, [KeyedRecord("e8", other)])
        node = self.fleet.start_node("n0")
        wait_until(lambda: node.ready)
        asked = gevent.spawn(self.ask, 8000)
        gevent.sleep(0.4)
        self.fleet.list_engine(self.engine)
        self.assertEqual(asked.get().status, 200)

    def test_it_waits_for_at_most_half_of_its_time(self):
        self.fleet.start_node("n0")
        started = time.monotonic()
        answer = self.ask(600)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertLess(time.monotonic() - started, 0.55)

    def test_a_request_waits_for_entries_that_lapsed_with_the_store(self):
        self.fleet.list_engine(self.engine)
        node = self.fleet.start_node("n0")
        wait_until(lambda: node.ready)
        # The engine's entry expires while the store is unavailable. It is kept for a while, and
        # then dropped since the engine does not register again.
        self.make_store_unavailable(node)
        self.unlist()
        wait_until(lambda: self.fleet.events("n0", Event.ENGINES_LAPSED))
        self.assertEqual(self.ask(4000).status, 200)
        wait_until(lambda: not node._fleet.listed_engines())
        self.fleet.list_engine(self.engine)
        wait_until(lambda: node._fleet.listed_engines())
        self.assertEqual(self.ask(4000).status, 200)

    def test_an_entry_that_lapsed_goes_though_the_timer_fires_early(self):
        self.fleet.list_engine(self.engine)
        node = self.fleet.start_node("n0", clock=SlowClock(0.9))
        wait_until(lambda: node.ready)
        self.make_store_unavailable(node)
        self.unlist()
        wait_until(lambda: self.fleet.events("n0", Event.ENGINES_LAPSED))
        wait_until(lambda: not node._fleet.listed_engines(), timeout=6.0)

    def test_request_is_refused_at_once_if_the_last_engine_has_gone(self):
        self.fleet.list_engine(self.engine)
        node = self.fleet.start_node("n0")
        wait_until(lambda: node.ready)
        wait_until(lambda: not node._fleet.directory_unsettled())
        self.unlist()
        wait_until(lambda: not node.ready)
        started = time.monotonic()
        self.assertEqual(self.ask(8000).status, 503)
        self.assertLess(time.monotonic() - started, 1.0)

    def test_unreadable_entry_is_logged(self):
        record = KeyedRecord("e9", b"{")
        self.fleet.topics.append(DIRECTORY_TOPIC, 0, [record])
        self.fleet.start_node("n0")
        wait_until(lambda: self.fleet.events("n0", Event.ENGINE_UNREADABLE))


class StopTest(unittest.TestCase):
    def test_drain_finishes_running_requests(self):
        fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(fleet.stop)
        fleet.engines[0].default_behaviour = Behaviour(pause=0.05, events=12)
        node = fleet.nodes["n0"]
        asked = gevent.spawn(fleet.request, "n0", STREAM_PATH)
        wait_until(lambda: fleet.engines[0].running == 1)
        node.request_drain()
        wait_until(lambda: not node.ready)
        late = fleet.request("n0", ONCE_PATH, request_id="late")
        self.assertEqual((late.status, late.headers["connection"]), (200, "close"))
        answer = asked.get()
        self.assertEqual((answer.whole, answer.body), (True, whole_stream(events=12)))
        node.wait()
        self.assertTrue(fleet.events("n0", Event.DRAIN_FINISHED))

    def test_requests_late_in_a_drain_are_refused(self):
        fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(fleet.stop)
        fleet.engines[0].default_behaviour = Behaviour(pause=0.05, events=60)
        node = fleet.nodes["n0"]
        connection = fleet.connect("n0")
        asked = gevent.spawn(fleet.request, "n0", STREAM_PATH)
        wait_until(lambda: fleet.engines[0].running == 1)
        half = f"POST {ONCE_PATH} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: late\r\n".encode()
        connection.sendall(half)
        node.request_drain()
        wait_until(lambda: node.application.refusing)
        connection.sendall(b"Content-Length: 0\r\n\r\n")
        answer = read_answer(connection)
        self.assertEqual((answer.status, answer.headers["connection"]), (503, "close"))
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(len(fleet.engines[0].runs), 1)
        self.assertTrue(asked.get().whole)


if __name__ == "__main__":
    unittest.main()
