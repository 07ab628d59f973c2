"""Features that need all nodes are enabled only while every reporting node supports them.

Nodes that come and go must not make a feature flap.
"""

import random
import unittest
from unittest import mock

from postvalve.core.membership.extensions import Extension, Feature, pack_features
from postvalve.core.membership.feature_gate import SETTLE_TIME, FeatureGate
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.peers import SILENT_AFTER, PeerView
from postvalve.core.membership.zone_digest import ZoneDigest
from postvalve.events import Event
from postvalve.gateway.fleet.feature_status import FeatureStatus
from tests.gateway_support import GatewayFleet, RecordingEventLog
from tests.waiting import wait_until

LINE, SHARES = Feature.LINE, Feature.BATCH_SHARES
OWN = LINE | SHARES
UPDATE_INTERVAL = 0.5
"""Seconds between updates."""


class FeatureStatusCase(unittest.TestCase):
    def setUp(self):
        self.now, self.sequence, self.log = 0.0, 0, RecordingEventLog()
        self.peers = PeerView("me")
        self.peers.gate = FeatureGate(OWN)
        self.peer_features = {}
        """Features of each reporting peer, by its name."""
        clock = mock.Mock(monotonic=lambda: self.now)
        self.feature_status = FeatureStatus(self.peers, clock, self.log)

    def report(self, name, features):
        self.sequence += 1
        parts = {Extension.FEATURES: pack_features(features)} if features is not None else {}
        if name.startswith("zone:"):
            digest = ZoneDigest(name[5:], "r", "", 1, self.sequence, extensions=parts)
            self.peers.observe_zone(digest, self.now)
        else:
            report = LoadReport(name, 1, self.sequence, zone="z", extensions=parts)
            self.peers.observe(report, self.now)

    def advance(self, seconds):
        for _ in range(round(seconds / UPDATE_INTERVAL)):
            self.now += UPDATE_INTERVAL
            for name, features in self.peer_features.items():
                self.report(name, features)
            self.peers.expire(self.now)
            self.feature_status.update()

    def logged_features(self):
        return [fields["on"] for event, fields in self.log.written]


class EnablingTest(FeatureStatusCase):
    def test_a_starting_node_enables_nothing_before_it_has_settled(self):
        self.peer_features = {"a": OWN}
        self.advance(SETTLE_TIME)
        self.assertEqual(self.peers.features(), Feature.NONE)
        self.advance(2 * UPDATE_INTERVAL)
        self.assertEqual(self.peers.features(), OWN)

    def test_the_first_report_of_an_older_build_disables_all_features(self):
        self.peer_features = {"a": OWN}
        self.advance(2 * SETTLE_TIME)
        self.report("old", None)
        self.assertEqual(self.peers.features(), Feature.NONE)

    def test_a_digest_without_features_disables_all_features(self):
        self.peer_features = {"zone:far": OWN}
        self.advance(2 * SETTLE_TIME)
        self.assertEqual(self.peers.features(), OWN)
        self.report("zone:far", None)
        self.assertEqual(self.peers.features(), Feature.NONE)

    def test_only_features_that_a_peer_lacks_are_disabled(self):
        self.peer_features = {"a": OWN}
        self.advance(2 * SETTLE_TIME)
        self.report("old", SHARES)
        self.assertEqual(self.peers.features(), SHARES)

    def test_a_newer_build_disables_nothing(self):
        self.peer_features = {"a": sum(Feature) | 1 << 30}
        self.advance(2 * SETTLE_TIME)
        self.assertEqual(self.peers.features(), OWN)

    def test_features_are_enabled_when_the_last_older_node_is_gone(self):
        self.peer_features = {"a": OWN, "old": None}
        self.advance(2 * SETTLE_TIME)
        del self.peer_features["old"]
        self.advance(SILENT_AFTER + SETTLE_TIME - UPDATE_INTERVAL)
        self.assertEqual(self.peers.features(), Feature.NONE)
        self.advance(4 * UPDATE_INTERVAL)
        self.assertEqual(self.peers.features(), OWN)

    def test_a_starting_node_with_support_disables_nothing(self):
        self.peer_features = {"a": OWN}
        self.advance(2 * SETTLE_TIME)
        self.peer_features["new"] = OWN
        self.advance(UPDATE_INTERVAL)
        self.assertEqual(self.peers.features(), OWN)

    def test_a_node_that_was_suspended_settles_again(self):
        self.peer_features = {"a": OWN}
        self.advance(2 * SETTLE_TIME)
        self.now += SETTLE_TIME
        self.advance(UPDATE_INTERVAL)
        self.assertEqual(self.peers.features(), Feature.NONE)

    def test_an_older_node_seen_intermittently_enables_nothing(self):
        self.peer_features = {"a": OWN}
        for _ in range(20):
            self.report("old", None)
            self.advance(SETTLE_TIME - UPDATE_INTERVAL)
        self.assertEqual(self.logged_features(), [])

    def test_features_change_seldom_while_nodes_come_and_go(self):
        """Enabled at most once in `SETTLE_TIME`, and never while a reporting node lacks support."""
        draw = random.Random(1)
        for _ in range(2_000):
            name = draw.choice(["a", "b", "c", "zone:far"])
            if draw.random() < 0.5:
                self.peer_features.pop(name, None)
            else:
                self.peer_features[name] = draw.choice([OWN, OWN, OWN, SHARES, None])
            self.advance(draw.choice([UPDATE_INTERVAL, 2.0, 9.0]))
            self.assertFalse(self.peers.features() & ~self.peers.common_features())
        changes = len(self.logged_features())
        self.assertGreater(changes, 20)
        self.assertLess(changes, 2 * 2 * self.now / SETTLE_TIME)


class ReportingTest(FeatureStatusCase):
    def test_each_change_is_logged_once_with_the_peers_that_lack_support(self):
        self.peer_features = {"a": OWN}
        self.advance(2 * SETTLE_TIME)
        self.peer_features["old"] = SHARES
        self.advance(SETTLE_TIME)
        events = [event for event, _ in self.log.written]
        self.assertEqual(events, [Event.FEATURES_CHANGED] * 2)
        self.assertEqual(self.logged_features(), [["line", "batch_shares"], ["batch_shares"]])
        self.assertEqual(self.log.written[1][1]["lacking"], {"line": ["old"]})

    def test_status_shows_features_and_peers_that_lack_some(self):
        self.peer_features = {"a": OWN, "zone:far": None}
        self.advance(UPDATE_INTERVAL)
        far = ["zone:far"]
        peers = {"line batch_shares": 1, "none": 1}
        expected = {
            "own": ["line", "batch_shares"],
            "peers": peers,
            "lesser_peers": {"zone:far": []},
        }
        expected |= {"on": [], "off": {"line": far, "batch_shares": far}}
        self.assertEqual(self.feature_status.fields(), expected)

    def test_status_shows_that_a_feature_settles(self):
        self.peer_features = {"a": LINE | SHARES}
        self.advance(UPDATE_INTERVAL)
        self.assertEqual(self.feature_status.fields()["off"]["line"], ["settling, 10 s"])

    def test_status_document_of_a_node_includes_the_features(self):
        fleet = GatewayFleet(nodes=2, engines=1)
        self.addCleanup(fleet.stop)
        node = fleet.nodes["n0"]
        wait_until(lambda: node.status_document()["builds"]["peers"])
        self.assertEqual(node.status_document()["builds"]["lesser_peers"], {})


if __name__ == "__main__":
    unittest.main()
