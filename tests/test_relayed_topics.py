"""A node that can't reach the store uses it through a peer that can."""

import contextlib
import json
import unittest

import gevent
from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.peers import PeerView
from postvalve.core.membership.store_reachability import (
    AVOID_TIME,
    FAILING_AFTER,
    MIN_RELAY_TIMEOUT,
    PROBE_INTERVAL,
    RECENT_REPORT_AGE,
    AvoidedPeers,
    RelayTimeout,
    StoreReachability,
    relay_address,
)
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.events import Event
from postvalve.exceptions import PeerUnavailableError, Verdict
from postvalve.gateway.interfaces import (
    HistoryGoneError,
    KeyedRecord,
    PositionTakenError,
    StoreUnavailableError,
)
from postvalve.gateway.knowledge.relayed_topics import RelayedTopics, RelayServer
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.messages.generated import gateway
from tests.gateway_support import BATCH_PATH, FaultyTopics, RecordingEventLog
from tests.test_gateway_jobs import JobCase, whole_text
from tests.waiting import wait_until


def report(node_id, **fields):
    fields = {"zone": "z", "peer_address": f"at-{node_id}"} | fields
    return LoadReport(node_id=node_id, incarnation=1, sequence=1, **fields)


def view(*reports):
    peers = PeerView("me")
    for one in reports:
        peers.observe(one, 0.0)
    return peers


class StoreReachabilityTest(unittest.TestCase):
    def test_a_single_failure_changes_nothing(self):
        path = StoreReachability()
        changes = [path.record(answered, 0.0) for answered in (False, True, False, True)]
        self.assertEqual((changes, path.failing), ([False] * 4, False))

    def test_consecutive_failures_and_one_answer_change_the_state(self):
        path = StoreReachability()
        changes = [path.record(False, 0.0) for _ in range(FAILING_AFTER + 1)]
        self.assertEqual(changes.count(True), 1)
        self.assertTrue(path.failing)
        self.assertTrue(path.record(True, 0.0))
        self.assertFalse(path.failing)

    def test_an_unreachable_store_is_probed_periodically(self):
        path = StoreReachability()
        for _ in range(FAILING_AFTER):
            path.record(False, 0.0)
        tried = [path.use_direct(number * PROBE_INTERVAL / 4) for number in range(9)]
        self.assertEqual(tried, [True, False, False, False] * 2 + [True])

    def test_the_relay_is_a_peer_that_reaches_the_store_preferably_of_the_zone(self):
        self.assertIsNone(relay_address(view(), "z", 0.0))
        failing = report("a", store_failing=True)
        leaving = report("b", leaving=True)
        self.assertIsNone(relay_address(view(failing, leaving), "z", 0.0))
        far, near = report("c", zone="far"), report("d")
        self.assertEqual(relay_address(view(failing, leaving, far), "z", 0.0), "at-c")
        self.assertEqual(relay_address(view(failing, far, near), "z", 0.0), "at-d")
        self.assertEqual(relay_address(view(far, near), "z", 0.0, ["at-d"]), "at-c")
        self.assertIsNone(relay_address(view(far, near), "z", 0.0, ["at-c", "at-d"]))

    def test_a_silent_peer_is_not_used(self):
        peers = view(report("a"))
        self.assertEqual(relay_address(peers, "z", RECENT_REPORT_AGE), "at-a")
        self.assertIsNone(relay_address(peers, "z", RECENT_REPORT_AGE + 0.1))

    def test_a_peer_that_did_not_answer_is_avoided_for_a_while(self):
        avoided = AvoidedPeers()
        avoided.add("at-a", 5.0)
        self.assertIn("at-a", avoided.at(5.0 + AVOID_TIME - 0.1))
        self.assertNotIn("at-b", avoided.at(5.0))
        self.assertNotIn("at-a", avoided.at(5.0 + AVOID_TIME))

    def test_the_timeout_grows_only_after_several_unanswered_calls(self):
        timeout, seconds = RelayTimeout(), []
        for answered in (False, False, False, False, True, False):
            seconds.append(timeout.seconds)
            timeout.record(answered)
        self.assertEqual(seconds, [0.5, 0.5, 1.0, 2.0, 2.0, 0.5])


class PeerTransport:
    """Transport that passes calls to one relay server, or fails them."""

    def __init__(self, server):
        self.server = server
        self.error = None
        self.calls = 0

    def call(self, address, channel, message, timeout):
        self.calls += 1
        if self.error is not None:
            raise self.error
        # Encoded and decoded as on the wire.
        reply = self.server.serve(type(message)().parse(bytes(message)))
        return gateway.StoreReply().parse(bytes(reply))


class Clock:
    now = 0.0

    def monotonic(self):
        return self.now


class RelayedTopicsTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryTopics()
        self.direct = FaultyTopics(self.store)
        self.transport = PeerTransport(RelayServer(self.store))
        self.peers = view(report("a"))
        self.log = RecordingEventLog()
        self.metrics = GatewayMetrics()
        self.topics = RelayedTopics(
            self.direct, "z", Clock(), self.log, self.transport, self.peers, self.metrics
        )

    def outage(self, verdict=Verdict.NOT_RUN):
        self.direct.outage_verdict = verdict
        for _ in range(FAILING_AFTER):
            self.topics.read("t", 0, 0, 0.0, 100)
        self.assertTrue(self.topics.failing)

    def test_nothing_is_relayed_while_the_store_answers(self):
        self.topics.append("t", 0, [KeyedRecord("k", b"v")])
        self.assertEqual(self.transport.calls, 0)

    def test_relayed_calls_have_the_same_results_as_direct_ones(self):
        records = [KeyedRecord("k", b"v"), KeyedRecord("l", b"\x00")]
        self.outage()
        self.assertEqual(self.topics.append("t", 0, records, at=0), 0)
        self.assertEqual(self.topics.append("t", 0, records), 2)
        with self.assertRaises(PositionTakenError) as taken:
            self.topics.append("t", 0, records, at=1)
        self.assertEqual(taken.exception.end_offset, 4)
        for read in (
            lambda topics: topics.read("t", 0, 1, 0.0, 100),
            lambda topics: topics.newest("t", 0),
            lambda topics: topics.newest("t", 0, "k"),
            lambda topics: topics.read("t", 1, 0, 0.0, 100),
        ):
            self.assertEqual(read(self.topics), read(self.store))
        self.store.drop_history()
        with self.assertRaises(HistoryGoneError):
            self.topics.read("t", 0, 0, 0.0, 100)

    def test_an_append_that_may_have_been_made_is_not_relayed(self):
        self.direct.outage_verdict = Verdict.MAY_HAVE_RUN
        with self.assertRaises(StoreUnavailableError) as error:
            self.topics.append("t", 0, [KeyedRecord("k", b"v")])
        self.assertIs(error.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.transport.calls, 0)

    def test_a_refused_append_is_relayed(self):
        self.direct.outage_verdict = Verdict.NOT_RUN
        self.assertEqual(self.topics.append("t", 0, [KeyedRecord("k", b"v")]), 0)

    def test_no_peer_is_used_if_none_reaches_the_store(self):
        self.peers.observe(
            LoadReport(node_id="a", incarnation=1, sequence=2, store_failing=True), 0.0
        )
        self.direct.outage_verdict = Verdict.NOT_RUN
        with self.assertRaises(StoreUnavailableError):
            self.topics.newest("t", 0)
        self.assertEqual(self.transport.calls, 0)

    def test_the_verdict_of_a_failed_call_to_the_peer_is_passed_on(self):
        self.outage()
        for verdict in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
            self.topics._avoided = AvoidedPeers()
            self.transport.error = PeerUnavailableError("gone", verdict)
            with self.assertRaises(StoreUnavailableError) as error:
                self.topics.append("t", 0, [KeyedRecord("k", b"v")])
            self.assertIs(error.exception.verdict, verdict)

    def test_the_verdict_of_the_peers_own_call_is_passed_on(self):
        self.outage()
        self.store.lost_answers = 1
        with self.assertRaises(StoreUnavailableError) as error:
            self.topics.append("t", 0, [KeyedRecord("k", b"v")])
        self.assertIs(error.exception.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_reachable_store_is_logged_and_used_directly_again(self):
        self.outage()
        self.direct.outage_verdict = None
        self.topics.read("t", 0, 0, 0.0, 100)
        gevent.sleep(0)
        self.assertFalse(self.topics.failing)
        self.topics.read("t", 0, 0, 0.0, 100)
        counted = self.metrics.store_calls.labels
        values = [
            counted("StoreRead", outcome)._value.get()
            for outcome in ("answered", "failed", "by a peer")
        ]
        self.assertEqual(values, [1, FAILING_AFTER, FAILING_AFTER + 1])
        self.assertEqual(counted("Probe", "answered")._value.get(), 1)
        logged = [event for event, _ in self.log.written]
        self.assertEqual(logged, [Event.STORE_OUT_OF_REACH, Event.STORE_REACHED])

    def test_a_hanging_probe_delays_no_call(self):
        self.outage()
        self.direct.silent = True
        for _ in range(3):
            self.assertEqual(self.topics.read("t", 0, 0, 0.0, 100).next_offset, 0)
            gevent.sleep(0)
        self.assertEqual(self.direct.hung_calls, 1)
        self.assertTrue(self.topics.failing)

    @given(st.lists(st.booleans(), max_size=30))
    def test_an_outage_loses_and_repeats_no_append(self, outages):
        """Compares with direct appends: the same records in the same order."""
        store = MemoryTopics()
        direct = FaultyTopics(store)
        topics = RelayedTopics(
            direct,
            "z",
            Clock(),
            RecordingEventLog(),
            PeerTransport(RelayServer(store)),
            view(report("a")),
            GatewayMetrics(),
        )
        for number, outage in enumerate(outages):
            direct.outage_verdict = Verdict.NOT_RUN if outage else None
            topics.append("t", 0, [KeyedRecord(f"k{number}", b"v")])
        keys = [one.key for one in store.partition("t", 0).log]
        self.assertEqual(keys, [f"k{number}" for number in range(len(outages))])


class SilentRelayTest(unittest.TestCase):
    """The peer that relays this node's calls does not answer."""

    def relays_of_two_calls(self, names, between):
        """Return the peers that got a call and a second one `between` seconds later."""

        def session(loop):
            asked = []

            class SilentTransport:
                def call(self, address, channel, message, timeout):
                    asked.append(address)
                    gevent.sleep(timeout)
                    raise PeerUnavailableError("no answer", Verdict.MAY_HAVE_RUN)

            direct = FaultyTopics(MemoryTopics())
            direct.outage_verdict = Verdict.NOT_RUN
            topics = RelayedTopics(
                direct,
                "z",
                VirtualClock(loop),
                RecordingEventLog(),
                SilentTransport(),
                view(*map(report, names)),
                GatewayMetrics(),
            )
            for _ in range(FAILING_AFTER):
                topics._reachability.record(False, 0.0)
            for _ in range(2):
                gevent.spawn(self.try_read, topics)
                gevent.sleep(between)
            return asked

        return run_virtual(session)

    def try_read(self, topics):
        with contextlib.suppress(StoreUnavailableError):
            topics.read("t", 0, 0, 0.0, 100)

    def test_the_next_call_goes_to_another_peer(self):
        first, second = self.relays_of_two_calls("ab", MIN_RELAY_TIMEOUT + 0.1)
        self.assertNotEqual(first, second)

    def test_calls_at_the_same_time_go_to_the_same_peer(self):
        first, second = self.relays_of_two_calls("ab", MIN_RELAY_TIMEOUT - 0.1)
        self.assertEqual(first, second)

    def test_the_only_peer_is_asked_again(self):
        first, second = self.relays_of_two_calls("a", MIN_RELAY_TIMEOUT + 0.1)
        self.assertEqual(first, second)


class StatusTest(JobCase):
    def test_the_status_document_shows_the_state_of_a_node(self):
        self.usual(silent=True)
        self.submit("n0", "j")
        nodes = list(self.fleet.nodes.values())

        def logged():
            return [one["batch"] for node in nodes for one in node.status_document()["engines"]]

        wait_until(lambda: sum(logged()) == 6)
        document = json.loads(json.dumps(nodes[0].status_document()))
        self.assertEqual([one["node_id"] for one in document["nodes"]], ["n1"])
        self.assertEqual([one["engine_id"] for one in document["engines"]], ["e0", "e1"])
        (job,) = document["jobs"]
        self.assertEqual((job["job_id"], job["node_id"], job["listed"]), ("j", "n0", 0))
        self.assertEqual((document["store"], document["ready"]), ("own", True))
        self.assertEqual(document["store_away"], False)
        knowledge = document["knowledge"]
        self.assertEqual(knowledge["revision"], document["configuration_revision"])
        self.assertEqual(
            sorted(knowledge),
            [
                "directory_age",
                "reported_revision",
                "revision",
                "revision_age",
                "revision_source",
            ],
        )


class UnreachableStoreTest(JobCase):
    nodes = 3

    def test_a_node_that_can_not_reach_the_store_serves_jobs_and_configuration(self):
        for verdict in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
            with self.subTest(verdict=verdict):
                job_id = f"j-{verdict.value}"
                self.fleet.node_topics["n0"].outage_verdict = verdict
                topics = self.fleet.nodes["n0"]._topics
                wait_until(lambda topics=topics: topics.failing)
                self.assertEqual(self.submit("n0", job_id).status, 202)
                results = self.results("n0", job_id)
                self.assertEqual(self.results("n1", job_id), results)
                for one in results:
                    self.assertEqual(one["text"], whole_text(one["id"]))
                self.fleet.configure()
                revision = self.fleet._version
                holder = self.fleet.nodes["n0"].configuration
                wait_until(lambda holder=holder, to=revision: holder.revision == to)
                self.fleet.node_topics["n0"].outage_verdict = None
                wait_until(lambda topics=topics: not topics.failing)
        self.assertEqual(len(self.runs()), 6)

    def test_a_job_submitted_to_a_node_without_the_store_is_found_everywhere(self):
        self.usual(silent=True)
        self.fleet.node_topics["n0"].outage_verdict = Verdict.NOT_RUN
        self.assertEqual(self.submit("n0", "j").status, 202)
        for node in ("n0", "n1", "n2"):
            answer = self.fleet.request(node, "/api/items/j?id=j-1", method="GET")
            self.assertEqual((answer.status, answer.body), (200, b"body 1"))
        self.assertEqual(self.fleet.request("n0", BATCH_PATH, request_id="x").status, 400)


if __name__ == "__main__":
    unittest.main()
