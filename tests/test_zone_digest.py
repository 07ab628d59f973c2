"""Zone digests: the packed form, the view of other zones, the choice of the reporter, and counts of
a whole fleet."""

import contextlib
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.engine_use import EngineUse
from postvalve.core.batch.preemption import PeerRunningItems, encode_running, encode_zone_running
from postvalve.core.membership.load_report import LoadReport, RunningItem
from postvalve.core.membership.peers import (
    REPORTER_SILENT_AFTER,
    SILENT_AFTER,
    ZONE_SILENT_AFTER,
    PeerView,
)
from postvalve.core.membership.zone_digest import (
    ZoneDigest,
    ZoneDigestError,
    ZoneMember,
    members_version,
    unpack_digest,
)
from postvalve.core.membership.zone_reporting import (
    LISTEN_TIME,
    MAX_DIGEST_INTERVAL,
    MAX_DIRECT_PEERS,
    MEMBERS_INTERVAL,
    RECENT_REPORT_AGE,
    ZoneReporting,
    uses_digests,
)
from postvalve.events import Event
from postvalve.gateway.fleet.load_reports import LoadReports
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.messages.generated import gateway
from tests.gateway_support import RecordingEventLog

NAMES = st.text(max_size=30)
COUNTS = st.integers(0, 2**31)
MEMBERS = st.builds(
    ZoneMember,
    node_id=NAMES,
    incarnation=st.integers(0, 2**63),
    peer_address=NAMES,
    leaving=st.booleans(),
    store_failing=st.booleans(),
    store_silent=st.booleans(),
)


@st.composite
def digests(draw):
    members = draw(st.none() | st.lists(MEMBERS, max_size=5).map(tuple))
    return ZoneDigest(
        zone=draw(NAMES),
        reporter=draw(NAMES),
        peer_address=draw(NAMES),
        incarnation=draw(st.integers(0, 2**63)),
        sequence=draw(COUNTS),
        revision=draw(st.integers(0, 2**63)),
        engine_use=draw(st.binary(max_size=100)),
        items_running=draw(st.binary(max_size=100)),
        items_waiting=draw(st.binary(max_size=100)),
        size=draw(st.integers(0, 999)) if members is None else len(members),
        members_version=draw(COUNTS),
        members=members,
        running=draw(st.lists(st.builds(RunningItem, NAMES, st.integers(0, 999)), max_size=5)),
    )


class PackedDigestTest(unittest.TestCase):
    @given(digests())
    def test_a_digest_is_unpacked_as_it_was_packed(self, digest):
        self.assertEqual(unpack_digest(digest.pack()), digest)

    @given(digests(), st.integers(1, 400))
    def test_a_truncated_digest_is_rejected(self, digest, missing):
        data = digest.pack()
        with self.assertRaises(ZoneDigestError):
            unpack_digest(data[: max(0, len(data) - missing)])

    @given(st.binary(max_size=200))
    def test_other_bytes_raise_nothing_else(self, data):
        with contextlib.suppress(ZoneDigestError):
            unpack_digest(data)


def member(node_id, incarnation=1, **fields):
    return ZoneMember(node_id, incarnation, "127.0.0.1:1", **fields)


def digest(*members, reporter="far1", sequence=1, listed=True, **fields):
    fields = {"zone": "far", "peer_address": "127.0.0.1:1", "incarnation": 1, **fields}
    return ZoneDigest(
        reporter=reporter,
        sequence=sequence,
        size=len(members),
        members_version=members_version(members),
        members=members if listed else None,
        **fields,
    )


class ViewOfZonesTest(unittest.TestCase):
    def setUp(self):
        self.view = PeerView("me")

    def test_nodes_of_a_zone_can_run_jobs_while_its_digests_arrive(self):
        self.view.observe_zone(digest(member("a"), member("b", 7)), 0.0)
        self.assertTrue(self.view.can_run_jobs("a", 1) and self.view.can_run_jobs("b", 7))
        self.assertFalse(self.view.can_run_jobs("b", 8))
        self.assertEqual(self.view.expire(ZONE_SILENT_AFTER - 0.1).zones, [])
        self.view.expire(ZONE_SILENT_AFTER - 0.05)
        self.assertEqual(self.view.expire(ZONE_SILENT_AFTER + 0.1).zones, ["far"])
        self.assertFalse(self.view.can_run_jobs("a", 1))
        self.assertEqual(self.view.count(), 0)

    def test_a_suspended_node_drops_no_zone(self):
        self.view.observe_zone(digest(member("a")), 0.0)
        self.view.expire(0.5)
        self.assertEqual(self.view.expire(9.0).zones, [])
        self.assertTrue(self.view.can_run_jobs("a", 1))

    def test_a_digest_without_the_list_keeps_the_list(self):
        self.view.observe_zone(digest(member("a")), 0.0)
        self.view.observe_zone(digest(member("a"), sequence=2, listed=False), 1.0)
        self.assertTrue(self.view.can_run_jobs("a", 1))
        self.view.observe_zone(digest(member("b"), sequence=3), 2.0)
        self.assertFalse(self.view.can_run_jobs("a", 1))
        self.assertTrue(self.view.can_run_jobs("b", 1))

    def test_older_digests_of_one_reporter_are_ignored(self):
        self.assertTrue(self.view.observe_zone(digest(member("a"), sequence=5), 0.0))
        self.assertFalse(self.view.observe_zone(digest(member("a"), sequence=5), 0.1))
        self.assertFalse(self.view.observe_zone(digest(sequence=4), 0.1))
        self.assertTrue(self.view.observe_zone(digest(incarnation=0, sequence=1), 3.0))

    def test_a_reporter_that_hears_fewer_counts_only_when_the_other_is_silent(self):
        self.view.observe_zone(digest(member("a"), member("b")), 0.0)
        alone = digest(member("b"), reporter="b")
        self.assertFalse(self.view.observe_zone(alone, 0.5))
        self.assertTrue(self.view.can_run_jobs("a", 1))
        self.assertTrue(self.view.observe_zone(alone, REPORTER_SILENT_AFTER + 0.1))
        self.assertFalse(self.view.can_run_jobs("a", 1))

    def test_leaving_nodes_and_those_without_the_store_run_no_jobs(self):
        members = (member("a", leaving=True), member("b", store_silent=True), member("c"))
        self.view.observe_zone(digest(*members), 0.0)
        self.assertFalse(self.view.can_run_jobs("a", 1) or self.view.can_run_jobs("b", 1))
        self.assertEqual(self.view.successor("job", include_self=False), "c")

    def test_items_that_run_at_leaving_nodes_are_left_to_them(self):
        items = [RunningItem("j", 2)]
        self.view.observe_zone(digest(member("a", leaving=True), running=items), 0.0)
        self.assertEqual(self.view.running_on_leaving_peers(), {("j", 2)})

    def test_reports_are_ignored_while_digests_arrive(self):
        self.view.observe_zone(digest(member("a")), 0.0)
        report = LoadReport("a", 1, 1, zone="far")
        self.assertFalse(self.view.observe(report, 0.1))
        for second in range(8):
            self.view.expire(second)
        self.assertTrue(self.view.observe(report, 8.0))


class RunningInZonesTest(unittest.TestCase):
    def test_items_of_an_unknown_node_are_kept_under_its_zone(self):
        items = PeerRunningItems()
        reports = [encode_running([(7, 40)]), encode_running([(7, 50), (8, 60)])]
        packed = encode_zone_running(reports)
        items.observe_zone("zone:far", packed, ["a", "b"])
        self.assertEqual(items.at(7), [(40, "a"), (50, "b")])
        items.observe_zone("zone:far", packed, [])
        self.assertEqual(items.at(8), [(60, "zone:far")])
        items.forget("zone:far")
        self.assertEqual(items.at(7), [])


class ReporterTest(unittest.TestCase):
    def reporters(self, nodes, now, last_seen_at=None):
        """Return the nodes that consider themselves the reporter, while each hears all others."""
        found = []
        for own in nodes:
            view = PeerView(own)
            for other in nodes:
                report = LoadReport(other, 1, 1, zone="z")
                view.observe(report, (last_seen_at or {}).get(other, now))
            reporting = ZoneReporting(own, "z", 1, 0.0)
            if reporting.is_reporter(view.neighbours("z"), now):
                found.append(own)
        return found

    def test_one_node_of_a_zone_is_the_reporter(self):
        self.assertEqual(len(self.reporters([f"n{number}" for number in range(39)], 9.0)), 1)

    def test_a_starting_node_is_not_the_reporter(self):
        self.assertEqual(self.reporters(["a", "b"], LISTEN_TIME / 2), [])

    def test_another_node_reports_when_the_reporter_is_silent(self):
        nodes = [f"n{number}" for number in range(9)]
        first = self.reporters(nodes, 9.0)
        silent = {first[0]: 9.0 - RECENT_REPORT_AGE - 0.1}
        others = [one for one in self.reporters(nodes, 9.0, silent) if one not in first]
        self.assertEqual(len(others), 1)
        self.assertLess(RECENT_REPORT_AGE, SILENT_AFTER)

    def test_few_nodes_get_reports_instead_of_digests(self):
        self.assertFalse(uses_digests(MAX_DIRECT_PEERS))
        self.assertTrue(uses_digests(MAX_DIRECT_PEERS + 1))

    def test_the_list_is_sent_when_it_changes_and_periodically(self):
        reporting = ZoneReporting("a", "z", 1, 0.0)
        own = LoadReport("a", 1, 1, zone="z")

        def listed(now):
            return unpack_digest(reporting.build_digest(own, [], b"", now)).members is not None

        self.assertTrue(listed(1.0))
        self.assertFalse(listed(1.5))
        own.leaving = True
        self.assertTrue(listed(2.0))
        self.assertFalse(listed(2.5))
        self.assertTrue(listed(2.0 + MEMBERS_INTERVAL))

    def test_large_digests_are_less_frequent_but_before_a_zone_counts_as_silent(self):
        reporting = ZoneReporting("a", "z", 1, 0.0)
        own = LoadReport("a", 1, 1, zone="z")
        reporting.build_digest(own, [], b"", 1.0)
        self.assertTrue(reporting.is_due(4, 1.3))
        reporting.build_digest(own, [], b"x" * 3_000, 2.0)
        self.assertFalse(reporting.is_due(4, 2.3))
        self.assertTrue(reporting.is_due(4, 2.0 + MAX_DIGEST_INTERVAL))
        self.assertLessEqual(4 * MAX_DIGEST_INTERVAL, ZONE_SILENT_AFTER)


class Clock:
    now = 100.0

    def monotonic(self):
        return self.now


class Network:
    """Datagrams between nodes of one process, some of which are lost."""

    def __init__(self, chance):
        self.chance = chance
        self.loss = 0.0
        self.nodes = {}
        self.in_flight = []
        self.cross_zone = 0
        """Datagrams sent from one zone to another."""

    def send(self, sender, address, data):
        receiver = self.nodes[address]
        self.cross_zone += sender.identity.zone != receiver.identity.zone
        if self.chance.random() >= self.loss:
            self.in_flight.append((address, data))

    def deliver(self):
        while self.in_flight:
            index = self.chance.randrange(len(self.in_flight))
            address, data = self.in_flight.pop(index)
            self.nodes[address].reports.receive(data, address)


class Node:
    def __init__(self, number, zone, clock, network, directory):
        self.name = f"node{number}"
        self.address = f"127.0.0.1:{9000 + number}"
        self.identity = gateway.NodeStarted(
            node_id=self.name, incarnation=5, peer_address=self.address, zone=zone
        )
        directory[self.name] = (self.address, zone)
        network.nodes[self.address] = self
        self.use = EngineUse()
        self.peers = PeerView(self.name)
        self.log = RecordingEventLog()
        transport = mock.Mock()
        transport.send = lambda address, data: network.send(self, address, data)
        self.reports = LoadReports(
            PeerServices(
                self.identity,
                clock,
                self.log,
                transport,
                mock.Mock(use=self.use, listed_engines=list),
                self.peers,
                lambda: directory,
                network.chance,
            )
        )

    def step(self):
        self.reports.send_due()
        self.reports.zones.send_due()


class FleetCase(unittest.TestCase):
    """Base class for tests of a whole fleet in one process, with a simulated clock and network."""

    def setUp(self):
        self.clock = Clock()
        self.network = Network(random.Random(1))
        self.directory = {}
        self.nodes = []

    def start(self, zones, nodes_each):
        self.nodes = [
            Node(number, f"z{number % zones}", self.clock, self.network, self.directory)
            for number in range(zones * nodes_each)
        ]

    def run_for(self, seconds, nodes=None):
        for _ in range(int(seconds / 0.25)):
            self.clock.now += 0.25
            for node in nodes or self.nodes:
                node.step()
            self.network.deliver()


class GatherTest(FleetCase):
    def test_reports_gather_longer_the_more_rarely_each_peer_reports(self):
        self.start(1, 2)
        reports = self.nodes[0].reports
        times = []
        for peers in (2, 23, 38, 500):
            reports._targets = (["a"] * peers, [])
            times.append(round(reports.gather_time(), 3))
        # The interval between reports is 0.08 s with few peers and 0.5 s with very many.
        self.assertEqual(times, [0.02, 0.032, 0.053, 0.083])


class FleetTest(FleetCase):
    """Compares each node's counts with the requests that really run."""

    def test_all_nodes_count_all_running_requests(self):
        for seed, (zones, nodes_each) in enumerate(((2, 3), (3, 16), (5, 8))):
            with self.subTest(zones=zones, nodes_each=nodes_each):
                self.setUp()
                self.start(zones, nodes_each)
                self._simulate_requests(random.Random(seed))

    def _simulate_requests(self, chance):
        naive = dict.fromkeys(("e0", "e1", "e2"), 0)
        running = []
        self.network.loss = 0.2
        for _ in range(30):
            for _ in range(40):
                if running and chance.random() < 0.45:
                    node, engine = running.pop(chance.randrange(len(running)))
                    node.use.leave(engine, batch=False)
                    naive[engine] -= 1
                else:
                    node, engine = chance.choice(self.nodes), chance.choice(list(naive))
                    node.use.enter(engine, batch=False)
                    running.append((node, engine))
                    naive[engine] += 1
            self.run_for(0.25)
        self.network.loss = 0.0
        self.run_for(4.0)
        for node in self.nodes:
            self.assertEqual({engine: node.use.total(engine).total for engine in naive}, naive)
            self.assertEqual(node.peers.count(), len(self.nodes) - 1)

    def test_nothing_counts_twice_when_nodes_switch_to_digests(self):
        self.start(2, 4)
        for node in self.nodes:
            node.use.enter("e0", batch=False)
        self.run_for(2.0)
        self.assertTrue(all(node.use.total("e0").total == 8 for node in self.nodes))
        for module in ("load_reports", "zone_digests"):
            patch = mock.patch(f"postvalve.gateway.fleet.{module}.uses_digests", return_value=True)
            patch.start()
            self.addCleanup(patch.stop)
        for _ in range(8):
            self.run_for(0.25)
            self.assertEqual({node.use.total("e0").total for node in self.nodes}, {8})
        self.assertTrue(all(node.peers.zones() for node in self.nodes))

    def test_nodes_know_who_runs_which_item_in_other_zones(self):
        self.start(3, 12)
        runner = self.nodes[0]
        running = encode_running([(7, 40), (9, 50)])
        runner.reports.items_running = lambda: running
        self.run_for(4.0)
        for node in self.nodes[1:]:
            self.assertEqual(node.reports.items.at(7), [(40, runner.name)])
            self.assertEqual(node.reports.items.at(9), [(50, runner.name)])

    def test_cross_zone_traffic_does_not_grow_with_the_nodes(self):
        sent = []
        for nodes_each in (8, 16):
            self.setUp()
            self.start(5, nodes_each)
            self.run_for(4.0)
            before = self.network.cross_zone
            self.run_for(4.0)
            sent.append(self.network.cross_zone - before)
        self.assertLessEqual(sent[1], sent[0] * 1.1)

    def test_nodes_starting_together_drop_no_peer(self):
        self.start(4, 11)
        self.run_for(8.0)
        for node in self.nodes:
            logged = [event for event, _ in node.log.written]
            self.assertNotIn(Event.PEER_SILENT, logged)
            self.assertNotIn(Event.ZONE_SILENT, logged)
            self.assertTrue(
                all(node.peers.can_run_jobs(one.name, 5) for one in self.nodes if one != node)
            )

    def test_the_loss_of_a_reporter_drops_no_zone(self):
        self.start(3, 20)
        self.run_for(4.0)
        lost = next(one for one in self.nodes if (Event.ZONE_REPORTED, mock.ANY) in one.log.written)
        rest = [one for one in self.nodes if one is not lost]
        self.run_for(8.0, rest)
        for node in rest:
            self.assertNotIn(Event.ZONE_SILENT, [event for event, _ in node.log.written])
            self.assertFalse(node.peers.can_run_jobs(lost.name, 5))
            self.assertEqual(node.peers.count(), len(rest) - 1)

    def test_a_lost_zone_is_dropped(self):
        self.start(3, 20)
        self.run_for(4.0)
        rest = [one for one in self.nodes if one.identity.zone != "z1"]
        self.run_for(ZONE_SILENT_AFTER + 2, rest)
        for node in rest:
            self.assertEqual(node.peers.count(), len(rest) - 1)


if __name__ == "__main__":
    unittest.main()
