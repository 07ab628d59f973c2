"""What the store has acknowledged is known in time, whatever stands still on the way to it."""

import json
import unittest

import gevent

from postvalve.clock import milliseconds
from postvalve.core.membership.load_report import DirectoryState, LoadReport
from postvalve.core.membership.peers import PeerView
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.events import Event
from postvalve.exceptions import PeerUnavailableError, Verdict
from postvalve.gateway.engines.engine_connections import ConnectionPool
from postvalve.gateway.fleet.directory_reader import DirectoryReader
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import KeyedRecord
from postvalve.gateway.knowledge.relayed_topics import RelayedTopics, RelayServer
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.platform.fleet import DIRECTORY_TOPIC, parse_engine
from tests.gateway_support import FaultyTopics, RecordingEventLog
from tests.stand_in_engine import SERVICE

SHORTEST_DRAIN = 2.0
"""Seconds for which a leaving engine may still get requests on the smallest deployments."""
REPORT_INTERVAL = 0.4
"""Seconds between reports of peers here."""


class PeerNetwork:
    """Peers that make calls; one that stands still answers nothing, and does not report."""

    def __init__(self, store, names):
        self.server = RelayServer(store)
        self.names = names
        self.frozen = set()
        self.silent = set()
        """Those whose connection says nothing more, until it is opened anew."""

    def call(self, address, channel, message, timeout):
        started_frozen = address in self.frozen or address in self.silent
        self.silent.discard(address)
        if not started_frozen:
            reply = self._serve(message)
            if address not in self.frozen:
                return reply
        gevent.sleep(timeout)
        raise PeerUnavailableError("no answer", Verdict.MAY_HAVE_RUN)

    def _serve(self, message):
        return self.server.serve(type(message)().parse(bytes(message)))


class Node:
    """The parts of a node that follow the engines' directory, under virtual time."""

    def __init__(self, loop, peers=("a", "b")):
        self.store = MemoryTopics()
        self.clock = VirtualClock(loop)
        self.log = RecordingEventLog()
        self.own = FaultyTopics(self.store)
        self.network = PeerNetwork(self.store, peers)
        self.peers = PeerView("me")
        self.fleet = EngineFleet("z", self.clock, self.log, ConnectionPool(self.clock), None)
        topics = RelayedTopics(
            self.own, "z", self.clock, self.log, self.network, self.peers, GatewayMetrics()
        )
        self.reader = DirectoryReader(
            topics, DIRECTORY_TOPIC, parse_engine, self.fleet, self.clock, self.log
        )
        self.peers_make_calls = self.peers_know_more = True
        self._peers_read_at = 0.0
        gevent.spawn(self._report)
        gevent.spawn(self.reader.run)

    def silence_connections(self):
        """Every open connection of all nodes says nothing more; new ones work."""
        self.peers_know_more = False
        self.own.silent_reads = 1
        self.network.silent = set(self.network.names)

    def _report(self):
        for sequence in range(1, 10_000):
            for name in self.network.names:
                if name not in self.network.frozen:
                    self._observe(name, sequence)
            self.peers.expire(self.clock.monotonic())
            self.reader.update_age()
            gevent.sleep(REPORT_INTERVAL)

    def _observe(self, name, sequence):
        now = self.clock.monotonic()
        if not self.store.down:
            self._peers_read_at = now
        self.peers.observe(
            LoadReport(
                name, 1, sequence, peer_address=name, zone="z", leaving=not self.peers_make_calls
            ),
            now,
        )
        offset = len(self.store.partition(DIRECTORY_TOPIC, 0).log)
        age = milliseconds(now - self._peers_read_at)
        self.reader.receive(DirectoryState(offset if self.peers_know_more else 0, age), name)

    def list_engine(self, name, state="ready"):
        entry = {"service": SERVICE, "address": "127.0.0.1:1", "slots": 4, "state": state}
        entry |= {"zone": "z", "version": "v1", "coldRemainingMs": 0, "sequence": 1}
        record = KeyedRecord(name, json.dumps(entry).encode())
        self.store.append(DIRECTORY_TOPIC, 0, [record])

    def drop_engine(self, name):
        self.store.append(DIRECTORY_TOPIC, 0, [KeyedRecord(name, b"")])

    def lapse(self, name):
        """An entry goes while the store answers nobody."""
        log = self.store.partition(DIRECTORY_TOPIC, 0).log
        log.append(KeyedRecord(name, b"", len(log)))

    def offered(self):
        return sorted(one.engine_id for one in self.fleet.engines(SERVICE))


def settled_node(loop, peers=("a", "b")):
    """A node that has read of two engines a while ago."""
    node = Node(loop, peers)
    for name in ("e1", "e2"):
        node.list_engine(name)
    gevent.sleep(3.0)
    return node


def offered_after(node, leave, seconds):
    """Let an engine leave; returns what takes new work so many seconds later."""
    leave()
    gevent.sleep(seconds)
    return node.offered()


class FrozenPeerTest(unittest.TestCase):
    """A node asks the store by a peer, and the peer stands still."""

    def leave_beside_a_frozen_peer(self, phase):
        def session(loop):
            node = settled_node(loop)
            node.own.outage_verdict = Verdict.NOT_RUN
            gevent.sleep(4.0 + phase)
            node.network.frozen = {"a", "b"}
            node.own.outage_verdict = None
            gevent.sleep(1.0)
            return offered_after(node, lambda: node.list_engine("e1", "draining"), SHORTEST_DRAIN)

        return run_virtual(session)

    def test_a_leaving_is_known_though_the_peer_that_was_asked_stands_still(self):
        for step in range(20):
            with self.subTest(phase=step / 10):
                self.assertEqual(self.leave_beside_a_frozen_peer(step / 10), ["e2"])


class SilentConnectionsTest(unittest.TestCase):
    """All connections of a node fall silent at one moment, those to peers as well."""

    def leave_after_silence(self, phase):
        def session(loop):
            node = settled_node(loop)
            gevent.sleep(phase)
            node.silence_connections()
            return offered_after(node, lambda: node.drop_engine("e1"), SHORTEST_DRAIN)

        return run_virtual(session)

    def test_a_leaving_is_known_by_a_new_connection(self):
        for step in range(12):
            with self.subTest(phase=step / 10):
                self.assertEqual(self.leave_after_silence(step / 10), ["e2"])


class LeftMeanwhileTest(unittest.TestCase):
    """An engine leaves while only this node does not reach the store."""

    def leave_beside_a_cut(self, verdict, peers, cut_for, left_at):
        def session(loop):
            node = settled_node(loop, peers)
            node.peers_make_calls = False
            node.own.outage_verdict = verdict
            gevent.sleep(left_at)
            node.drop_engine("e1")
            gevent.sleep(cut_for - left_at)
            node.own.outage_verdict = None
            gevent.sleep(SHORTEST_DRAIN - (cut_for - left_at))
            return node.offered()

        return run_virtual(session)

    def test_an_engine_that_left_is_not_taken_for_one_that_lapsed(self):
        for left_at in (0.1, 0.5, 0.9, 1.1):
            with self.subTest(left_at=left_at):
                offered = self.leave_beside_a_cut(Verdict.NOT_RUN, ("a", "b"), 1.2, left_at)
                self.assertEqual(offered, ["e2"])

    def test_a_node_that_hears_nobody_takes_no_short_cut_for_an_outage(self):
        for left_at in (0.1, 0.3, 0.5):
            with self.subTest(left_at=left_at):
                offered = self.leave_beside_a_cut(Verdict.NOT_RUN, (), 0.6, left_at)
                self.assertEqual(offered, ["e2"])

    def test_it_is_gone_also_after_a_long_cut_if_others_read_the_directory(self):
        def session(loop):
            node = settled_node(loop)
            node.peers_make_calls = False
            node.own.outage_verdict = Verdict.NOT_RUN
            gevent.sleep(4.0)
            node.drop_engine("e1")
            node.own.outage_verdict = None
            gevent.sleep(1.5)
            return node.offered()

        self.assertEqual(run_virtual(session), ["e2"])


class BehindTest(unittest.TestCase):
    """The read of a node hangs, for whatever reason; its peers know more."""

    def test_what_peers_know_is_read_beside_a_read_that_hangs(self):
        def session(loop):
            node = settled_node(loop)
            node.own.holds_waiting_reads = True
            gevent.sleep(2.0)
            offered = offered_after(node, lambda: node.drop_engine("e1"), SHORTEST_DRAIN)
            told = [event for event, _ in node.log.written if event is Event.DIRECTORY_BEHIND]
            return offered, len(told)

        self.assertEqual(run_virtual(session), (["e2"], 1))

    def test_nothing_is_read_beside_reads_that_come_back(self):
        def session(loop):
            node = Node(loop)
            for number in range(40):
                node.list_engine(f"e{number}")
                gevent.sleep(0.17)
            gevent.sleep(1.0)
            told = [event for event, _ in node.log.written if event is Event.DIRECTORY_BEHIND]
            return len(node.offered()), len(told)

        self.assertEqual(run_virtual(session), (40, 0))


class LapsedWithTheStoreTest(unittest.TestCase):
    """The store is away for all nodes, and entries of living engines lapse."""

    def outage(self, cut_longer):
        """What is offered just after, 1.2 s and 2.6 s after the store's return; e1 comes back."""

        def session(loop):
            node = settled_node(loop)
            node.store.down = True
            gevent.sleep(4.0)
            node.lapse("e1")
            node.lapse("e2")
            node.store.down = False
            node.own.outage_verdict = Verdict.NOT_RUN if cut_longer else None
            node.peers_make_calls = not cut_longer
            gevent.sleep(cut_longer)
            node.own.outage_verdict = None
            offered = [node.offered()]
            gevent.sleep(1.2 - cut_longer)
            node.list_engine("e1")
            offered.append(node.offered())
            gevent.sleep(1.4)
            return [*offered, node.offered()]

        return run_virtual(session)

    def test_entries_are_kept_until_they_must_be_back(self):
        both = ["e1", "e2"]
        self.assertEqual(self.outage(0.0), [both, both, ["e1"]])

    def test_also_where_others_reach_the_store_first(self):
        both = ["e1", "e2"]
        self.assertEqual(self.outage(0.6), [both, both, ["e1"]])


if __name__ == "__main__":
    unittest.main()
