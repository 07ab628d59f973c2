"""Denials (404, 401), which callers take for final, by nodes whose copy may lack a change."""

import unittest
from time import monotonic

import gevent

from postvalve.events import Event
from postvalve.platform.fleet import CONFIGURATION_TOPIC
from tests.gateway_support import ONCE_PATH, STREAM_PATH, GatewayFleet
from tests.test_gateway_jobs import JobCase
from tests.test_tenants import key
from tests.waiting import wait_until

REFUSED_WITHIN = 0.5
"""Seconds within which a request is refused that would be denied without proof; 0.3 s and what
this machine takes."""


def count_reads(topics, topic):
    """Count the reads of a topic that don't wait for changes; returns the list of them."""
    reads, read = [], topics.read

    def counting_read(name, *arguments):
        if name == topic and not arguments[2]:
            reads.append(monotonic())
        return read(name, *arguments)

    topics.read = counting_read
    return reads


class DenialCase(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(self.fleet.stop)
        self.node = self.fleet.nodes["n0"]
        self.topics = self.fleet.node_topics["n0"]

    def hold_configuration(self):
        """Let the next read that follows the configuration hang, as soon as one has ended."""
        follower = self.node._configuration_follower
        before = follower.fresh_at
        self.topics.holds_waiting_reads = True
        wait_until(lambda: follower.fresh_at > before)


class RouteTest(DenialCase):
    def test_route_that_was_just_added_is_not_denied(self):
        self.fleet.configure(host="other.example")
        wait_until(lambda: self.node.configuration.revision == 4)
        self.hold_configuration()
        self.fleet.configure()
        self.assertEqual(self.fleet.request("n0", STREAM_PATH).status, 200)

    def test_route_that_does_not_exist_is_denied(self):
        started = monotonic()
        self.assertEqual(self.fleet.request("n0", "/nowhere/").status, 404)
        self.assertLess(monotonic() - started, REFUSED_WITHIN)

    def test_no_denial_without_the_store_however_young_the_copy_is(self):
        self.topics.silent = True
        started = monotonic()
        answer = self.fleet.request("n0", "/nowhere/")
        self.assertLess(monotonic() - started, REFUSED_WITHIN)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertIn(b"missing: a read of the configuration", answer.body)
        (logged,) = self.fleet.events("n0", Event.REQUEST_UNROUTED)
        self.assertEqual(logged["missing"], "a read of the configuration")

    def test_one_read_serves_all_and_reads_are_apart(self):
        reads = count_reads(self.topics, CONFIGURATION_TOPIC)
        asked = [gevent.spawn(self.fleet.request, "n0", "/nowhere/") for _ in range(60)]
        gevent.joinall(asked)
        self.assertEqual({one.value.status for one in asked}, {404})
        self.assertLess(len(reads), 20)
        for earlier, later in zip(reads, reads[1:], strict=False):
            self.assertGreater(later - earlier, 0.04)

    def test_requests_that_need_no_proof_are_served_without_the_store(self):
        self.topics.silent = True
        self.assertEqual(self.fleet.request("n0", ONCE_PATH).status, 200)


class StatusTest(DenialCase):
    def lacking(self):
        return self.node.status_document()["proofs_lacking"]

    def test_status_tells_what_can_not_be_proven_and_for_how_long(self):
        self.assertEqual(set(self.lacking().values()), {0.0})
        self.topics.silent = True
        self.fleet.request("n0", "/nowhere/")
        gevent.sleep(0.2)
        lacking = self.lacking()
        self.assertGreater(lacking.pop("configuration"), 0.2)
        self.assertEqual(set(lacking.values()), {0.0})
        _, text = self.node._exposition("/metrics")
        self.assertRegex(
            text.decode(), r'proof_lacking_seconds{topic="configuration"} [0-9]*\.[0-9]'
        )
        self.topics.silent = False
        wait_until(lambda: not self.lacking()["configuration"])


class KeyTest(DenialCase):
    def setUp(self):
        super().setUp()
        self.fleet.configure(tenants=[{"name": "t", "apiKeys": ["k1"]}])
        wait_until(lambda: self.node.configuration.revision == 4)

    def test_key_that_was_just_added_is_not_denied(self):
        self.hold_configuration()
        self.fleet.configure(tenants=[{"name": "t", "apiKeys": ["k1", "k2"]}])
        self.assertEqual(self.fleet.request("n0", STREAM_PATH, headers=key("k2")).status, 200)

    def test_wrong_key_is_denied(self):
        self.assertEqual(self.fleet.request("n0", STREAM_PATH, headers=key("k9")).status, 401)

    def test_route_that_just_became_anonymous_is_not_denied(self):
        self.hold_configuration()
        self.fleet.configure(tenants=[{"name": "t", "apiKeys": ["k1"]}], allowAnonymous=True)
        self.assertEqual(self.fleet.request("n0", STREAM_PATH).status, 200)

    def test_no_denial_without_the_store(self):
        self.topics.silent = True
        answer = self.fleet.request("n0", STREAM_PATH, headers=key("k9"))
        self.assertEqual(answer.status, 503)
        self.assertIn(b"missing: a read of the configuration", answer.body)
        self.assertEqual(self.fleet.request("n0", STREAM_PATH, headers=key("k1")).status, 200)


class JobTest(JobCase):
    def test_one_read_serves_all_that_ask_for_unknown_jobs(self):
        reads = count_reads(self.fleet.node_topics["n0"], "jobs")
        asked = [gevent.spawn(self.page, "n0", f"none{number}") for number in range(40)]
        gevent.joinall(asked)
        self.assertEqual({one.value.status for one in asked}, {404})
        self.assertLess(len(reads), 15)

    def test_no_denial_without_the_store(self):
        self.fleet.node_topics["n0"].silent = True
        started = monotonic()
        answer = self.page("n0", "none")
        self.assertLess(monotonic() - started, REFUSED_WITHIN)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"missing: a read of the jobs", answer.body)


if __name__ == "__main__":
    unittest.main()
