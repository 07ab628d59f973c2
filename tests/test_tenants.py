"""Authentication of tenants by API key at nodes that route requests.

Guards against nodes that forward what a client claims to be. Engines ran requests for the tenant
named in the client's own header, got its API key among the headers, and ran requests with unknown
keys as well: 7,063 of them on a day without any fault.
"""

import json
import unittest
from typing import ClassVar

from postvalve.events import Event
from postvalve.platform.fleet import parse_configuration
from postvalve.settings.validation import InvalidSettingsGroup
from tests.gateway_support import BATCH_PATH, STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.test_gateway_jobs import job_body
from tests.waiting import wait_until

KEY, SECOND_KEY, OTHER_KEY = "first-key-of-ann", "second-key-of-ann", "key-of-bob"
TENANTS = [
    {"name": "ann", "apiKeys": [KEY, SECOND_KEY], "priority": 1, "ratePerS": 0, "burst": 0},
    {"name": "bob", "apiKeys": [OTHER_KEY]},
]


def key(text):
    return [("Api-Key", text)]


class TenantCase(unittest.TestCase):
    changes: ClassVar = {}

    def setUp(self):
        self.fleet = GatewayFleet(nodes=2, engines=2, tenants=TENANTS, **self.changes)
        self.addCleanup(self.fleet.stop)
        wait_until(lambda: all(len(one.peers.all()) == 1 for one in self.fleet.nodes.values()))

    def send(self, headers=(), node="n0", path=STREAM_PATH + "x", **changes):
        return self.fleet.request(node, path, headers=headers, body=b"b", **changes)

    def heads(self):
        """Return the headers of all requests that reached an engine, names in lower case."""
        return [headers for engine in self.fleet.engines for _, headers in engine.heads]

    def in_force(self, revision):
        nodes = self.fleet.nodes.values()
        wait_until(lambda: all(one.configuration.revision >= revision for one in nodes))


class KeyTest(TenantCase):
    def test_a_request_without_a_valid_key_is_refused_and_reaches_no_engine(self):
        doubled = [*key(KEY), *key(KEY)]
        for headers in ((), key("nobody's"), key(""), doubled, [*key(KEY), *key(OTHER_KEY)]):
            answer = self.send(headers)
            self.assertEqual(answer.status, 401, headers)
            self.assertEqual(answer.document["error"]["verdict"], "not_run")
        self.assertEqual(self.heads(), [])

    def test_the_engine_learns_the_tenant_and_not_the_key(self):
        for sent, tenant in ((KEY, "ann"), (SECOND_KEY, "ann"), (OTHER_KEY, "bob")):
            for engine in self.fleet.engines:
                engine.heads.clear()
            self.assertEqual(self.send(key(sent)).status, 200)
            (headers,) = self.heads()
            self.assertEqual(headers["tenant"], tenant)
            self.assertNotIn("api-key", headers)
            self.assertNotIn(sent, str(headers))

    def test_client_cannot_claim_a_tenant(self):
        claims = (
            [("Tenant", "bob")],
            [("tEnAnT", "bob"), ("TENANT", "bob")],
            [("Tenant ", "bob")],
            [("X-One", "1\rTenant: bob")],
            [("X-One", "1\r\n Tenant: bob")],
            [("Connection", "Tenant"), ("Tenant", "bob")],
        )
        for claim in claims:
            for engine in self.fleet.engines:
                engine.heads.clear()
            self.send([*claim, *key(KEY)])
            for headers in self.heads():
                told = [value for name, value in headers.items() if name.strip() == "tenant"]
                self.assertEqual(told, ["ann"], claim)

    def test_no_log_event_or_status_document_contains_a_key(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(cut_after=-1)
        self.send(key(KEY))
        self.send(key("nobody's"))
        told = [str(one) for log in self.fleet.logs.values() for one in log.written]
        told += [json.dumps(node.status_document()) for node in self.fleet.nodes.values()]
        self.assertTrue(any("401" in line for line in told))
        for line in told:
            self.assertNotIn(KEY, line)
            self.assertNotIn("nobody's", line)

    def test_resumed_stream_keeps_its_tenant(self):
        for engine in self.fleet.engines:
            engine.next_behaviours = [Behaviour(cut_after=1)]
        self.assertTrue(self.send(key(KEY)).whole)
        heads = self.heads()
        self.assertGreater(len(heads), 1)
        self.assertEqual({headers["tenant"] for headers in heads}, {"ann"})


class AnonymousTest(TenantCase):
    changes: ClassVar = {"allowAnonymous": True}

    def test_a_route_may_need_no_key(self):
        self.assertEqual(self.send([("Tenant", "ann")]).status, 200)
        self.assertNotIn("tenant", self.heads()[0])

    def test_optional_key_must_be_valid(self):
        self.assertEqual(self.send(key("nobody's")).status, 401)
        self.assertEqual(self.send(key(KEY)).status, 200)
        self.assertEqual(self.heads()[0]["tenant"], "ann")


class ChangingKeysTest(TenantCase):
    def test_a_key_is_valid_by_the_configuration_in_force(self):
        self.fleet.configure(tenants=[{"name": "ann", "apiKeys": [SECOND_KEY]}])
        self.in_force(4)
        self.assertEqual(self.send(key(KEY)).status, 401)
        self.assertEqual(self.send(key(OTHER_KEY)).status, 401)
        self.assertEqual(self.send(key(SECOND_KEY)).status, 200)

    def test_key_may_move_to_another_tenant(self):
        self.fleet.configure(tenants=[{"name": "bob", "apiKeys": [KEY]}])
        self.in_force(4)
        self.assertEqual(self.send(key(KEY)).status, 200)
        self.assertEqual(self.heads()[0]["tenant"], "bob")

    def test_running_stream_continues_when_its_key_is_removed(self):
        """The request was allowed when it was sent; a change applies to later requests only."""
        for engine in self.fleet.engines:
            engine.next_behaviours = [Behaviour(pause=0.3, cut_after=2)]
            engine.default_behaviour = Behaviour(pause=0.05)
        connection = self.fleet.open("n0", STREAM_PATH + "x", headers=key(KEY), body=b"b")
        self.addCleanup(connection.close)
        wait_until(lambda: self.heads())
        self.fleet.configure(tenants=[])
        self.in_force(4)
        self.assertEqual(self.send(key(KEY), request_id="r2").status, 401)
        wait_until(lambda: len(self.heads()) == 2)
        self.assertEqual({headers["tenant"] for headers in self.heads()}, {"ann"})

    def test_empty_tenant_list_rejects_all_requests(self):
        self.fleet.configure(tenants=[])
        self.in_force(4)
        self.assertEqual(self.send(key(KEY)).status, 401)
        self.assertEqual(self.send().status, 401)

    def test_a_configuration_that_cannot_be_read_leaves_the_last_good_one(self):
        for wrong in ("ann", [{"name": "ann"}, {"name": "ann"}], [{"apiKeys": ["x"]}], [7]):
            self.fleet.configure(tenants=wrong)
        wait_until(lambda: len(self.fleet.events("n0", Event.CONFIGURATION_UNREADABLE)) == 4)
        self.assertEqual(self.fleet.nodes["n0"].configuration.revision, 2)
        self.assertEqual(self.send(key(KEY)).status, 200)


class CutOffTest(TenantCase):
    def test_isolated_node_does_not_reject_an_unknown_key(self):
        """Guards against a final 401 for a new key that a node, being cut off, has not seen."""
        self.fleet.node_topics["n0"].silent = self.fleet.node_topics["n1"].silent = True
        wait_until(
            lambda: (
                self.send(key("a key of tomorrow")).status == 503
                and self.send(key(KEY)).status == 200
            )
        )


class JobOfTenantTest(TenantCase):
    def submit(self, sent, node="n0", job_id="j", body=None):
        body = body or job_body(job_id)
        return self.fleet.request(
            node, BATCH_PATH + "x", headers=key(sent), body=body, request_id=job_id
        )

    def query_job(self, path, sent, method="GET", node="n1"):
        headers = key(sent) if sent else ()
        return self.fleet.request(node, path, method=method, headers=headers)

    def test_items_carry_the_tenant_of_their_job(self):
        self.assertEqual(self.submit(KEY).status, 202)
        wait_until(lambda: len(self.heads()) == 3)
        self.assertEqual({headers["tenant"] for headers in self.heads()}, {"ann"})

    def test_the_job_of_another_tenant_does_not_exist(self):
        self.submit(KEY)
        for path, method in (
            ("/api/lots/j?watchAfter=0", "GET"),
            ("/api/items/j?id=j-0", "GET"),
            ("/api/lots/j", "DELETE"),
        ):
            self.assertEqual(self.query_job(path, OTHER_KEY, method).status, 404, path)
            self.assertEqual(self.query_job(path, "nobody's", method).status, 401, path)
            self.assertEqual(self.query_job(path, "", method).status, 401, path)
        self.assertEqual(self.query_job("/api/lots/j?watchAfter=0", SECOND_KEY).status, 200)

    def test_two_tenants_may_use_the_same_id(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(silent=True)
        self.assertEqual(self.submit(KEY).status, 202)
        self.assertEqual(self.submit(OTHER_KEY, body=job_body("k", items=2)).status, 202)
        for sent, total in ((KEY, 3), (OTHER_KEY, 2)):
            page = self.query_job("/api/lots/j?watchAfter=0", sent).document
            self.assertEqual(page["total"], total)

    def test_removing_a_key_ends_no_job(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(pause=0.1)
        self.submit(KEY)
        self.fleet.configure(tenants=[{"name": "ann", "apiKeys": [SECOND_KEY]}])
        self.in_force(4)
        path = "/api/lots/j?watchAfter=0"
        self.assertEqual(self.query_job(path, KEY).status, 401)
        wait_until(lambda: len(self.query_job(path, SECOND_KEY).document["results"]) == 3)

    def test_no_stored_record_contains_the_key(self):
        document = json.loads(job_body("j"))
        for item in document["items"]:
            item["headers"]["Api-Key"] = KEY
            item["headers"]["tenant"] = "bob"
        self.assertEqual(self.submit(KEY, body=json.dumps(document).encode()).status, 202)
        wait_until(lambda: len(self.heads()) == 3)
        self.assertEqual({headers["tenant"] for headers in self.heads()}, {"ann"})
        for topic, records in self.fleet.topics.all_records():
            if topic != "keyed.op":
                for record in records:
                    self.assertNotIn(KEY.encode(), record.value, topic)

    def test_tokens_that_wait_are_counted_for_each_tenant(self):
        self.fleet.configure(tenants=TENANTS, maxQueuedTokens=400)
        self.in_force(4)
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(silent=True)
        self.assertEqual(self.submit(KEY, job_id="a").status, 202)
        self.assertEqual(self.submit(KEY, job_id="b").status, 429)
        self.assertEqual(self.submit(OTHER_KEY, job_id="c").status, 202)


class ConfigurationTest(unittest.TestCase):
    def parse(self, **fields):
        return parse_configuration(json.dumps({"version": 1, **fields}).encode())

    def test_keys_are_held_as_digests(self):
        self.assertNotIn(KEY, repr(self.parse(tenants=TENANTS)))

    def test_terms_of_a_tenant(self):
        ann, bob = self.parse(tenants=TENANTS).tenants
        self.assertEqual((ann.name, ann.priority, ann.rate, ann.burst), ("ann", 1, 0, 0))
        self.assertEqual((bob.priority, bob.rate), (None, 0))
        self.assertIsNone(self.parse().tenants)

    def test_mistakes_are_refused(self):
        for wrong in (
            [{"name": "a b"}],
            [{"name": "a\r\nTenant: b"}],
            [{"name": ""}],
            [{"name": "a", "ratePerS": -1}],
            [{"name": "a", "ratePerS": "many"}],
            [{"name": "a", "apiKeys": [""]}],
            [{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}],
        ):
            with self.assertRaises(InvalidSettingsGroup, msg=wrong):
                self.parse(tenants=wrong)
