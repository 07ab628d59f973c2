"""What takes all nodes is on only while all that are heard can do it, and doesn't flap."""

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
LOOK = 0.5
"""Seconds between looks."""


class BuildsCase(unittest.TestCase):
    def setUp(self):
        self.now, self.sequence, self.log = 0.0, 0, RecordingEventLog()
        self.peers = PeerView("me")
        self.peers.gate = FeatureGate(OWN)
        self.heard = {}
        """What each peer that reports can do, by name."""
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

    def play(self, seconds):
        for _ in range(round(seconds / LOOK)):
            self.now += LOOK
            for name, features in self.heard.items():
                self.report(name, features)
            self.peers.expire(self.now)
            self.feature_status.update()

    def told(self):
        return [fields["on"] for event, fields in self.log.written]


class SwitchTest(BuildsCase):
    def test_a_node_that_starts_waits(self):
        self.heard = {"a": OWN}
        self.play(SETTLE_TIME)
        self.assertEqual(self.peers.features(), Feature.NONE)
        self.play(2 * LOOK)
        self.assertEqual(self.peers.features(), OWN)

    def test_an_earlier_build_keeps_all_off_from_its_first_report_on(self):
        self.heard = {"a": OWN}
        self.play(2 * SETTLE_TIME)
        self.report("old", None)
        self.assertEqual(self.peers.features(), Feature.NONE)

    def test_so_does_a_zone_whose_digest_tells_nothing(self):
        self.heard = {"zone:far": OWN}
        self.play(2 * SETTLE_TIME)
        self.assertEqual(self.peers.features(), OWN)
        self.report("zone:far", None)
        self.assertEqual(self.peers.features(), Feature.NONE)

    def test_only_what_it_lacks_goes_off(self):
        self.heard = {"a": OWN}
        self.play(2 * SETTLE_TIME)
        self.report("old", SHARES)
        self.assertEqual(self.peers.features(), SHARES)

    def test_a_later_build_keeps_nothing_off(self):
        self.heard = {"a": sum(Feature) | 1 << 30}
        self.play(2 * SETTLE_TIME)
        self.assertEqual(self.peers.features(), OWN)

    def test_all_is_on_again_when_the_last_earlier_node_is_gone(self):
        self.heard = {"a": OWN, "old": None}
        self.play(2 * SETTLE_TIME)
        del self.heard["old"]
        self.play(SILENT_AFTER + SETTLE_TIME - LOOK)
        self.assertEqual(self.peers.features(), Feature.NONE)
        self.play(4 * LOOK)
        self.assertEqual(self.peers.features(), OWN)

    def test_an_able_node_that_starts_takes_nothing_away(self):
        self.heard = {"a": OWN}
        self.play(2 * SETTLE_TIME)
        self.heard["new"] = OWN
        self.play(LOOK)
        self.assertEqual(self.peers.features(), OWN)

    def test_a_node_that_stood_still_for_long_begins_anew(self):
        self.heard = {"a": OWN}
        self.play(2 * SETTLE_TIME)
        self.now += SETTLE_TIME
        self.play(LOOK)
        self.assertEqual(self.peers.features(), Feature.NONE)

    def test_an_earlier_node_heard_now_and_then_switches_nothing_on(self):
        self.heard = {"a": OWN}
        for _ in range(20):
            self.report("old", None)
            self.play(SETTLE_TIME - LOOK)
        self.assertEqual(self.told(), [])

    def test_whoever_comes_and_goes_each_matter_changes_seldom(self):
        """On at the most once in `SETTLE_TIME`, and never while somebody heard can't."""
        draw = random.Random(1)
        for _ in range(2_000):
            name = draw.choice(["a", "b", "c", "zone:far"])
            if draw.random() < 0.5:
                self.heard.pop(name, None)
            else:
                self.heard[name] = draw.choice([OWN, OWN, OWN, SHARES, None])
            self.play(draw.choice([LOOK, 2.0, 9.0]))
            self.assertFalse(self.peers.features() & ~self.peers.common_features())
        changes = len(self.told())
        self.assertGreater(changes, 20)
        self.assertLess(changes, 2 * 2 * self.now / SETTLE_TIME)


class TellingTest(BuildsCase):
    def test_each_change_is_one_line_with_who_keeps_it_off(self):
        self.heard = {"a": OWN}
        self.play(2 * SETTLE_TIME)
        self.heard["old"] = SHARES
        self.play(SETTLE_TIME)
        events = [event for event, _ in self.log.written]
        self.assertEqual(events, [Event.FEATURES_CHANGED] * 2)
        self.assertEqual(self.told(), [["line", "batch_shares"], ["batch_shares"]])
        self.assertEqual(self.log.written[1][1]["lacking"], {"line": ["old"]})

    def test_status_tells_own_and_lesser_builds_and_what_is_off(self):
        self.heard = {"a": OWN, "zone:far": None}
        self.play(LOOK)
        far = ["zone:far"]
        peers = {"line batch_shares": 1, "none": 1}
        wanted = {"own": ["line", "batch_shares"], "peers": peers, "lesser_peers": {"zone:far": []}}
        wanted |= {"on": [], "off": {"line": far, "batch_shares": far}}
        self.assertEqual(self.feature_status.fields(), wanted)

    def test_status_tells_that_a_matter_settles(self):
        self.heard = {"a": LINE | SHARES}
        self.play(LOOK)
        self.assertEqual(self.feature_status.fields()["off"]["line"], ["settling, 10 s"])

    def test_the_status_of_a_node_has_it(self):
        fleet = GatewayFleet(nodes=2, engines=1)
        self.addCleanup(fleet.stop)
        node = fleet.nodes["n0"]
        wait_until(lambda: node.status_document()["builds"]["peers"])
        self.assertEqual(node.status_document()["builds"]["lesser_peers"], {})


if __name__ == "__main__":
    unittest.main()
