"""Optional parts of load reports and digests, and the features common to nodes of two builds."""

import struct
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.membership.extensions import (
    OWN_FEATURES,
    Extension,
    Feature,
    features_of,
    pack_extensions,
    pack_features,
    unpack_extensions,
)
from postvalve.core.membership.load_report import (
    DirectoryState,
    LoadReport,
    LoadReportError,
    unpack_report,
)
from postvalve.core.membership.peers import PeerView
from postvalve.core.membership.zone_digest import ZoneDigest, unpack_digest

PARTS = st.dictionaries(st.integers(0, 255), st.binary(max_size=200), max_size=5)


def report(node_id: str, **fields: object) -> LoadReport:
    return LoadReport(node_id=node_id, incarnation=1, sequence=1, zone="z", **fields)


class LayoutTest(unittest.TestCase):
    @given(PARTS)
    def test_parts_arrive_as_they_were_sent(self, parts):
        self.assertEqual(unpack_extensions(b"head" + pack_extensions(parts), 4), parts)

    @given(PARTS, st.booleans())
    def test_reports_carry_them_behind_all_else(self, parts, known):
        state = DirectoryState(7, 120) if known else None
        sent = report("a", directory=state, extensions=parts)
        self.assertEqual(unpack_report(sent.pack()), sent)

    @given(PARTS)
    def test_digests_carry_them_behind_all_else(self, parts):
        sent = ZoneDigest("z", "a", "127.0.0.1:1", 1, 1, extensions=parts)
        self.assertEqual(unpack_digest(sent.pack()), sent)

    def test_a_report_of_a_build_without_them_is_read(self):
        plain = report("a", directory=DirectoryState(7, 120))
        self.assertEqual(unpack_report(plain.pack()).extensions, {})

    def test_a_truncated_part_is_rejected(self):
        whole = report("a", extensions={9: b"abc"}).pack()
        for length in range(len(whole) - 5, len(whole)):
            with self.assertRaises(LoadReportError):
                unpack_report(whole[:length])

    def test_a_part_that_is_too_long_is_left_out(self):
        self.assertEqual(pack_extensions({1: b"x" * 70_000}), b"")
        with self.assertRaises(struct.error):
            unpack_extensions(b"\x01\x00\x05abc", 0)


class FeatureTest(unittest.TestCase):
    def test_an_earlier_build_has_none(self):
        self.assertEqual(features_of({}), Feature.NONE)

    def test_a_later_build_may_have_more(self):
        parts = {Extension.FEATURES: (0xFFFF_FFFF).to_bytes(4, "big")}
        self.assertEqual(features_of(parts), Feature(sum(Feature)))

    def test_common_features_are_those_of_every_node(self):
        peers = PeerView("me")
        able = {Extension.FEATURES: pack_features(OWN_FEATURES)}
        peers.observe(report("new", extensions=able), 0.0)
        self.assertEqual(peers.common_features(), OWN_FEATURES)
        peers.observe(report("old"), 0.0)
        self.assertEqual(peers.common_features(), Feature.NONE)
        peers.drop("old")
        self.assertEqual(peers.common_features(), OWN_FEATURES)

    def test_the_newest_digest_of_a_zone_decides(self):
        peers = PeerView("me")
        able = {Extension.FEATURES: pack_features(OWN_FEATURES)}
        peers.observe_zone(ZoneDigest("far", "a", "", 1, 1, extensions=able), 0.0)
        self.assertEqual(peers.common_features(), OWN_FEATURES)
        peers.observe_zone(ZoneDigest("far", "a", "", 1, 2), 0.1)
        self.assertEqual(peers.common_features(), Feature.NONE)
