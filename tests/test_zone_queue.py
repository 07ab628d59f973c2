"""The queue that a zone shares: messages, grants, and failures of coordinators and nodes."""

import contextlib
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.core.membership.extensions import Extension, Feature, pack_features
from postvalve.core.membership.feature_gate import SETTLE_TIME
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.peers import PeerView
from postvalve.core.scheduling.load_shedding import MAX_ENGINE_QUEUE
from postvalve.core.scheduling.queue_order import QueuePosition, service_hash
from postvalve.core.scheduling.zone_queue import (
    COORDINATOR_TIMEOUT,
    GRANT_TIME,
    LISTEN_TIME,
    MAX_REPORTED,
    MAX_TRACKED_NODES,
    MIN_STATE_INTERVAL,
    STATE_TIME,
    STATES_PER_SECOND,
    Grant,
    NewNodes,
    QueueCoordinator,
    QueueMessageError,
    QueueState,
    WaitingRequest,
    coordinator_of,
    state_interval,
    unpack_grant,
    unpack_state,
)
from postvalve.events import Event
from postvalve.gateway.serving.zone_queue import ZONE_COUNT_MAX_AGE, SharedZoneQueue
from postvalve.messages.framing import decode_datagram
from postvalve.messages.generated import gateway
from tests.gateway_support import RecordingEventLog

SERVICE = service_hash("s")
PLACES = st.builds(
    QueuePosition,
    st.tuples(st.integers(0, 255), st.integers(0, 255)),
    st.floats(0, 1e9, allow_nan=False),
)
NUMBERS = st.integers(0, 2**32 - 1)
STATES = st.builds(
    QueueState,
    service=NUMBERS,
    node_id=st.text(max_size=30),
    incarnation=st.integers(0, 2**63),
    number=NUMBERS,
    last_grant=NUMBERS,
    waiting=st.lists(st.builds(WaitingRequest, NUMBERS, PLACES), max_size=MAX_REPORTED).map(tuple),
)
GRANTS = st.builds(
    Grant,
    service=NUMBERS,
    number=NUMBERS,
    granted=st.lists(NUMBERS, max_size=20).map(tuple),
    ahead=st.lists(st.tuples(NUMBERS, st.integers(0, 65535)), max_size=MAX_REPORTED).map(tuple),
)


def state(node, tags, number=1, last_grant=0, incarnation=1):
    waiting = tuple(WaitingRequest(n, QueuePosition((0, 0), tag)) for n, tag in tags)
    return QueueState(SERVICE, node, incarnation, number, last_grant, waiting)


class MessageTest(unittest.TestCase):
    @given(STATES)
    def test_reports_are_decoded_as_sent(self, sent):
        self.assertEqual(unpack_state(sent.pack()), sent)

    @given(GRANTS)
    def test_grants_are_decoded_as_sent(self, sent):
        self.assertEqual(unpack_grant(sent.pack()), sent)

    @given(st.binary(max_size=100), STATES, st.integers(1, 40))
    def test_malformed_bytes_raise_only_a_message_error(self, data, sent, missing):
        for unpack in (unpack_state, unpack_grant):
            with contextlib.suppress(QueueMessageError):
                unpack(data)
        with self.assertRaises(QueueMessageError):
            unpack_state(sent.pack()[:-missing])

    def test_messages_stay_small(self):
        waiting = tuple(WaitingRequest(n, QueuePosition((0, 0), 1.0)) for n in range(20))
        packed = QueueState(SERVICE, "node-0000-zone-a", 1, 1, 1, waiting).pack()
        self.assertLessEqual(len(packed), 160)
        grant = Grant(SERVICE, 1, (1, 2), tuple((n, n) for n in range(MAX_REPORTED)))
        self.assertLessEqual(len(grant.pack()), 70)


class CoordinatorTest(unittest.TestCase):
    def setUp(self):
        self.coordinator = QueueCoordinator(SERVICE, 100)

    def granted(self, free, now=0.0):
        nodes = self.coordinator.grant(free, now)
        return {node: one.granted for node, one in self.coordinator.answers(nodes).items()}

    def test_free_slots_go_to_the_first_requests_of_all_nodes(self):
        self.coordinator.receive(state("a", [(1, 5.0), (2, 9.0)]), 0.0)
        self.coordinator.receive(state("b", [(1, 3.0), (2, 7.0)]), 0.0)
        self.assertEqual(self.granted(3), {"a": (1,), "b": (1, 2)})
        self.assertEqual(self.coordinator.answers(["a"])["a"].ahead, ((2, 0),))

    def test_grant_is_outstanding_until_acknowledged_or_expired(self):
        self.coordinator.receive(state("a", [(1, 5.0)]), 0.0)
        self.coordinator.receive(state("b", [(1, 6.0)]), 0.0)
        self.assertEqual(self.granted(1), {"a": (1,)})
        self.assertEqual(self.granted(1), {})
        told = self.coordinator.answers(["a"])["a"]
        self.coordinator.receive(state("a", [], 2, last_grant=told.number), 0.01)
        self.assertEqual(self.granted(1), {"b": (1,)})
        self.coordinator.expire(GRANT_TIME + 0.01, 3)
        self.assertEqual(self.coordinator.outstanding, 0)

    def test_lost_grant_is_repeated_with_the_next_answer(self):
        self.coordinator.receive(state("a", [(1, 5.0)]), 0.0)
        first = self.granted(1)
        self.coordinator.receive(state("a", [(1, 5.0)], 2), 0.05)
        self.assertEqual({"a": self.coordinator.answers(["a"])["a"].granted}, first)

    def test_duplicate_and_old_reports_change_nothing(self):
        self.coordinator.receive(state("a", [], 5), 0.0)
        for number in (5, 4):
            self.assertFalse(self.coordinator.receive(state("a", [(1, 1.0)], number), 0.1))
        self.assertFalse(self.coordinator.has_waiting)
        self.assertTrue(self.coordinator.receive(state("a", [(1, 1.0)], 1, incarnation=2), 0.2))

    def test_grant_numbers_of_another_coordinator_acknowledge_nothing(self):
        """Another coordinator, or an earlier run of this one, numbered higher and answered last."""
        self.coordinator.receive(state("a", [(1, 5.0)], 1, last_grant=5000), 0.0)
        self.coordinator.receive(state("b", [(1, 6.0)]), 0.0)
        self.assertEqual(self.granted(1), {"a": (1,)})
        self.coordinator.receive(state("a", [(1, 5.0)], 2, last_grant=5000), 0.01)
        self.assertEqual(self.coordinator.outstanding, 1)
        told = self.coordinator.answers(["a"])["a"]
        self.coordinator.receive(state("a", [], 3, last_grant=told.number), 0.02)
        self.assertEqual(self.coordinator.outstanding, 0)

    def test_no_reported_number_makes_a_grant_too_large_to_send(self):
        self.coordinator.receive(state("a", [(1, 5.0)], 1, last_grant=2**32 - 1), 0.0)
        self.coordinator.grant(1, 0.0)
        self.assertEqual(unpack_grant(self.coordinator.answers(["a"])["a"].pack()).granted, (1,))

    def test_dead_node_loses_only_its_own_place(self):
        self.coordinator.receive(state("a", [(1, 1.0)]), 0.0)
        self.coordinator.receive(state("b", [(1, 2.0)]), STATE_TIME)
        self.coordinator.expire(STATE_TIME + 0.01, 3)
        self.assertEqual(self.granted(1), {"b": (1,)})

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 2**32), st.integers(1, 6))
    def test_grants_never_exceed_capacity_or_change_the_order(self, seed, free):
        draw, now, numbers = random.Random(seed), 0.0, {}
        coordinator = QueueCoordinator(SERVICE, 100)
        for _ in range(60):
            now += draw.uniform(0, 0.05)
            node = draw.choice("abcd")
            numbers[node] = numbers.get(node, 0) + 1
            told = [(n, draw.uniform(0, 50)) for n in range(draw.randrange(4))]
            if draw.random() < 0.7:
                coordinator.receive(state(node, told, numbers[node]), now)
            coordinator.expire(now, 4)
            before = coordinator.order()
            coordinator.grant(free, now)
            self.assertLessEqual(coordinator.outstanding, free)
            left = coordinator.order()
            given = [one for one in before if one not in left]
            if given and left:
                self.assertLess(max(given), min(left))


class NewNodesTest(unittest.TestCase):
    def setUp(self):
        self.new = NewNodes(0.0)

    def test_nodes_seen_during_start_are_not_new(self):
        self.new.record("a", 1, LISTEN_TIME / 2)
        self.assertFalse(self.new.includes("a", LISTEN_TIME))

    def test_started_node_is_new_until_its_features_are_active(self):
        self.new.record("a", 1, 0.0)
        for node, incarnation in (("a", 2), ("b", 1)):
            for at in (20.0, 25.0):
                self.new.record(node, incarnation, at)
            self.assertTrue(self.new.includes(node, 20.0 + SETTLE_TIME - 0.01))
            self.assertFalse(self.new.includes(node, 20.0 + SETTLE_TIME))

    def test_node_silent_for_a_while_is_not_new(self):
        self.new.record("a", 1, 20.0)
        self.new.record("a", 1, 500.0)
        self.assertFalse(self.new.includes("a", 500.0))

    def test_number_of_tracked_nodes_is_bounded(self):
        for number in range(3 * MAX_TRACKED_NODES):
            self.new.record(f"n{number}", 1, 20.0)
        known = [
            number
            for number in range(3 * MAX_TRACKED_NODES)
            if self.new.includes(f"n{number}", 20.0)
        ]
        self.assertEqual(known, list(range(2 * MAX_TRACKED_NODES, 3 * MAX_TRACKED_NODES)))


class Node:
    """The zone queue of one node, with engines and peers set by the test."""

    def __init__(self, network, name):
        self.network, self.name = network, name
        self.log = RecordingEventLog()
        self.waiting, self.started = {}, []
        self.clock = SimpleNamespace(monotonic=lambda: network.now, wall=lambda: 1e9 + network.now)
        self.peers = PeerView(name)
        self.features = Feature.LINE
        use = SimpleNamespace(total=lambda life: SimpleNamespace(online=network.online))
        entry = SimpleNamespace(life="e", slots=network.slots, zone="z", service="s")
        fleet = mock.Mock(use=use, engines=lambda s: [entry], listed_engines=lambda: [entry])
        fleet.spare_capacity = lambda entry: entry.slots - use.total(entry.life).online
        fleet.state_of = lambda entry: network.states.get(entry.life, "ready")
        transport = SimpleNamespace(send=lambda address, data: network.send(name, address, data))
        identity = gateway.NodeStarted(name, 1, name, "z")
        self.zone_queue = SharedZoneQueue(
            SimpleNamespace(
                identity=identity,
                clock=self.clock,
                events=self.log,
                transport=transport,
                fleet=fleet,
                peers=self.peers,
            )
        )
        self.zone_queue.on_granted = self.take
        self.numbers, self.incarnation = 0, 1

    def report(self, leaving=False):
        self.numbers += 1
        parts = {Extension.FEATURES: pack_features(self.features)}
        return LoadReport(
            self.name, self.incarnation, self.numbers, peer_address=self.name, zone="z",
            leaving=leaving, extensions=parts,
        )  # fmt: skip

    def receive(self, report):
        """Process a load report as the gateway does."""
        if self.peers.observe(report, self.network.now):
            self.zone_queue.receive_report(report)

    def ask(self, number, tag):
        self.waiting[number] = QueuePosition((0, 0), tag)

    def take(self):
        """Start the granted requests as the admission queue does."""
        for number in [one for one in self.waiting if self.zone_queue.is_granted("s", one)]:
            del self.waiting[number]
            self.started.append(number)
            self.network.online += 1
            self.network.order.append((self.name, number))

    def update_queue(self):
        entries = sorted(self.waiting.items(), key=lambda one: one[1])
        self.zone_queue.update_waiting({"s": entries} if entries else {})
        self.take()
        self.zone_queue.grant_free_slots()


class Network:
    """Nodes of one zone under virtual time; datagrams arrive at the next step, or are lost."""

    def __init__(self, count=4, slots=4):
        self.now, self.slots, self.online = 100.0, slots, slots + MAX_ENGINE_QUEUE
        self.order, self.queue, self.sent = [], [], 0
        self.states = {}
        self.frozen, self.lost = set(), lambda source, target: False
        self.nodes = {f"n{number}": Node(self, f"n{number}") for number in range(count)}
        self.exchange_reports()
        self.now += LISTEN_TIME + ZONE_COUNT_MAX_AGE
        self.settle()

    def settle(self):
        """Let the features that all live nodes support become active."""
        for seconds in (0.0, SETTLE_TIME):
            self.now += seconds
            for one in self.nodes.values():
                one.peers.gate.update(one.peers.common_features(), self.now)

    def exchange_reports(self):
        for one in self.nodes.values():
            report = one.report()
            for other in self.nodes.values():
                other.receive(report)

    def send(self, source, target, data):
        self.sent += 1
        if data and not self.lost(source, target):
            self.queue.append((source, target, data))

    def step(self, seconds=0.015):
        self.now += seconds
        queue, self.queue = self.queue, []
        for source, target, data in queue:
            if target not in self.nodes or target in self.frozen:
                continue
            zone_queue, msg = self.nodes[target].zone_queue, decode_datagram(data)
            if isinstance(msg, gateway.LineState):
                zone_queue.receive_state(msg, source)
            elif isinstance(msg, gateway.LineGrant):
                zone_queue.receive_grant(msg, source)
        for one in list(self.nodes.values()):
            if one.name not in self.frozen:
                one.update_queue()

    def advance(self, seconds):
        for _ in range(round(seconds / 0.015)):
            self.step()

    @property
    def coordinator(self):
        return coordinator_of("z", SERVICE, self.nodes)

    def others(self):
        return [one for name, one in self.nodes.items() if name != self.coordinator]


class SharedZoneQueueTest(unittest.TestCase):
    def setUp(self):
        self.network = Network()
        self.first, self.second, self.third = self.network.others()

    def coordinated(self, *nodes):
        return [one.zone_queue.is_coordinated("s") for one in nodes]

    def test_slots_go_to_the_first_in_order_over_all_nodes(self):
        self.first.ask(1, 9.0)
        self.second.ask(1, 3.0)
        self.second.ask(2, 7.0)
        self.network.nodes[self.network.coordinator].ask(5, 5.0)
        self.network.advance(0.15)
        self.assertEqual(self.network.order, [])
        for _ in range(4):
            self.network.online -= 1
            self.network.advance(GRANT_TIME + 0.1)
        names = (self.second.name, self.network.coordinator, self.second.name, self.first.name)
        self.assertEqual(self.network.order, list(zip(names, (1, 5, 2, 1), strict=True)))

    def test_nodes_learn_how_many_requests_are_ahead(self):
        self.first.ask(1, 9.0)
        self.second.ask(1, 3.0)
        self.network.advance(0.2)
        self.assertEqual(self.first.zone_queue.requests_ahead("s", 1), 1)
        self.assertEqual(self.second.zone_queue.requests_ahead("s", 1), 0)

    def test_without_an_answer_nodes_use_their_own_order(self):
        """The coordinator has died, and no node has noticed yet."""
        dead = self.network.coordinator
        self.network.frozen.add(dead)
        self.first.ask(1, 1.0)
        self.network.advance(COORDINATOR_TIMEOUT - 0.03)
        self.assertEqual(self.coordinated(self.first), [True])
        self.network.advance(0.06)
        self.assertEqual(self.coordinated(self.first), [False])
        self.assertEqual(len(self.first.log.written), 1)
        self.assertIs(self.first.log.written[0][0], Event.LINE_SILENT)
        # Its reports stop: another node becomes coordinator.
        for one in self.network.others():
            one.peers.drop(dead)
        del self.network.nodes[dead]
        self.network.advance(0.1)
        self.network.online -= 1
        self.network.advance(0.1)
        self.assertEqual(len(self.network.order), 1)

    def test_suspended_coordinator_grants_by_new_reports_only(self):
        coordinator = self.network.coordinator
        self.first.ask(1, 1.0)
        self.network.advance(0.1)
        self.network.frozen.add(coordinator)
        self.first.waiting.clear()
        self.network.advance(STATE_TIME + 0.1)
        self.network.frozen.clear()
        self.second.ask(1, 5.0)
        self.network.online -= 1
        self.network.advance(0.2)
        self.assertEqual(self.network.order, [(self.second.name, 1)])

    def test_two_coordinators_grant_each_request_once(self):
        """The third node gets no reports of the coordinator, and takes itself or another for it."""
        self.third.peers.drop(self.network.coordinator)
        for number, one in enumerate((self.first, self.second, self.third)):
            one.ask(1, float(number))
        self.network.advance(0.1)
        self.network.online -= 3
        self.network.advance(0.6)
        started = [(one.name, 1) for one in (self.first, self.second, self.third)]
        self.assertEqual(sorted(self.network.order), sorted(started))

    def test_lost_grant_delays_others_only_until_it_is_repeated(self):
        coordinator = self.network.coordinator
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        self.network.advance(0.1)
        self.network.lost = lambda source, target: (
            (source, target) == (coordinator, self.first.name)
        )
        self.network.online -= 1
        self.network.advance(0.06)
        self.assertEqual(self.network.order, [])
        self.network.lost = lambda source, target: False
        self.network.advance(0.1)
        self.assertEqual(self.network.order, [(self.first.name, 1)])

    def test_node_dying_with_a_grant_delays_others_only_until_it_expires(self):
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        self.network.advance(0.1)
        self.network.frozen.add(self.first.name)
        self.network.online -= 1
        self.network.advance(STATE_TIME + 0.1)
        self.assertEqual(self.network.order, [(self.second.name, 1)])

    def test_grants_of_a_new_coordinator_with_lower_numbers_count(self):
        """Grants received from a previous coordinator must not acknowledge those of the new one."""
        former = self.network.coordinator
        self.first.ask(1, 1.0)
        self.network.advance(0.1)
        self.network.online -= 1
        self.network.advance(0.1)
        self.first.zone_queue._queues[SERVICE].last_grant += 1_000_000
        del self.network.nodes[former]
        for one in self.network.nodes.values():
            one.peers.drop(former)
        coordinator = self.network.coordinator
        asking = next(one for name, one in self.network.nodes.items() if name != coordinator)
        asking.zone_queue._queues.setdefault(SERVICE, self.first.zone_queue._queues[SERVICE])
        asking.ask(2, 1.0)
        self.network.advance(0.1)
        self.network.lost = lambda source, target: source == coordinator
        self.network.online -= 1
        self.network.advance(0.03)
        member = (
            self.network.nodes[coordinator].zone_queue._coordinators[SERVICE]._members[asking.name]
        )
        given = list(member.given)
        self.assertEqual(len(given), 1)
        self.network.advance(0.15)
        self.assertEqual(member.given, given)

    def test_engines_that_just_failed_count_only_if_all_did(self):
        zone_queue = self.first.zone_queue
        entry = SimpleNamespace(life="f", slots=4, zone="z", service="s")
        dark = SimpleNamespace(life="d", slots=4, zone="z", service="s")
        zone_queue._fleet.engines = lambda service: [entry, dark]
        self.network.online = 2
        self.network.states = {"d": "suspect"}
        self.assertEqual(zone_queue._free_slots("s"), 2 + MAX_ENGINE_QUEUE)
        self.network.states = {"d": "suspect", "f": "suspect"}
        self.assertEqual(zone_queue._free_slots("s"), 2 * (2 + MAX_ENGINE_QUEUE))

    def test_unused_grant_is_returned(self):
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        self.network.advance(0.1)
        self.first.waiting.clear()  # the client disconnected
        self.network.online -= 1
        self.network.advance(0.1)
        self.assertEqual(self.network.order, [(self.second.name, 1)])

    def test_all_requests_are_served_with_a_third_of_datagrams_lost(self):
        for seed in range(5):
            draw = random.Random(seed)
            network = Network()
            network.lost = lambda source, target, draw=draw: draw.random() < 1 / 3
            for number, one in enumerate(network.nodes.values()):
                one.ask(1, float(number))
                one.ask(2, float(number))
            for _ in range(8):
                network.online -= 1
                network.advance(0.4)
            self.assertEqual(len(network.order), 8)

    def test_coordinator_that_starts_or_drains_grants_nothing(self):
        coordinator = self.network.nodes[self.network.coordinator].zone_queue
        coordinator._started_at = self.network.now
        self.first.ask(1, 1.0)
        self.network.advance(0.2)
        self.assertEqual(self.coordinated(self.first), [False])
        coordinator._started_at, coordinator.leaving = 0.0, True
        self.network.advance(0.2)
        self.assertEqual(self.coordinated(self.first), [False])
        report = self.network.nodes[self.network.coordinator].report(leaving=True)
        for one in self.network.others():
            one.peers.observe(report, self.network.now)
        self.network.advance(0.2)
        self.assertEqual(self.coordinated(self.first), [True])

    def test_restarted_coordinator_leaves_no_zone_without_a_queue(self):
        """It coordinates again once its shared queue is active; until then another node does."""
        network, coordinator = self.network, self.network.coordinator
        network.nodes[coordinator] = Node(network, coordinator)
        network.nodes[coordinator].incarnation = 2
        network.exchange_reports()
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        for _ in range(3):
            network.advance(1.0)
            self.assertEqual(self.coordinated(self.first, self.second), [True, True])
        network.online -= 1
        network.advance(0.2)
        self.assertEqual(network.order, [(self.first.name, 1)])
        network.settle()
        network.advance(0.2)
        self.assertEqual(self.second.zone_queue._queues[SERVICE].coordinator, coordinator)
        self.assertEqual(self.coordinated(self.second), [True])

    def test_one_node_without_the_feature_disables_it_for_all(self):
        self.third.features = Feature.NONE
        self.network.exchange_reports()
        self.first.ask(1, 1.0)
        self.network.advance(0.2)
        self.assertEqual((self.coordinated(self.first), self.network.sent), ([False], 0))
        self.third.features = Feature.LINE
        self.network.exchange_reports()
        self.network.settle()
        self.network.advance(0.2)
        self.assertEqual(self.coordinated(self.first), [True])

    def test_nothing_is_sent_once_a_node_lacks_the_feature(self):
        """An older build does not know these messages, and may have replaced a node of the zone."""
        self.first.ask(1, 1.0)
        self.network.advance(0.2)
        self.third.features = Feature.NONE
        self.network.exchange_reports()
        self.network.queue.clear()
        self.network.sent = 0
        self.network.online -= 1
        self.network.advance(0.3)
        self.assertEqual((self.coordinated(self.first), self.network.sent), ([False], 0))

    def test_draining_coordinator_grants_nothing_by_earlier_reports(self):
        """From its last report on, other nodes coordinate the queue and grant the same slots."""
        coordinator = self.network.coordinator
        self.first.ask(1, 1.0)
        self.network.advance(0.2)
        self.network.nodes[coordinator].zone_queue.leaving = True
        self.network.online -= 1
        self.network.advance(0.3)
        self.assertEqual(self.network.order, [])

    def test_single_free_slot_elsewhere_is_granted_without_local_engines(self):
        zone_queue = self.first.zone_queue
        far = SimpleNamespace(life="f", slots=4, zone="y", service="s")
        zone_queue._fleet.engines = lambda service: [far]
        zone_queue._zone_count = 3
        for online, places in ((5, 0), (4, 0), (3, 1), (0, 1)):
            self.network.online = online
            self.assertEqual(zone_queue._free_slots("s"), places)
        zone_queue._zone_count = 2
        self.assertEqual(zone_queue._free_slots("s"), 2)

    def test_nothing_is_sent_while_no_request_waits(self):
        self.network.advance(1.0)
        self.assertEqual(self.network.sent, 0)

    def test_status_shows_the_queue(self):
        self.first.ask(1, 1.0)
        self.network.advance(0.1)
        kept = self.network.nodes[self.network.coordinator].zone_queue.fields()["kept"]
        self.assertEqual(kept, [{"service": "s", "waiting": 1, "granted": 0}])


class LoadTest(unittest.TestCase):
    CORE_SHARE = 0.03
    MESSAGE_TIME = 75e-6
    """Upper bound of the seconds of a core for reading and answering one report."""

    def test_coordinator_stays_within_its_share_of_a_core(self):
        for nodes in (5, 22, 65, 127):
            rate = nodes / state_interval(nodes)
            self.assertLessEqual(rate, STATES_PER_SECOND + 1e-6)
            self.assertLessEqual(rate * self.MESSAGE_TIME * 2, self.CORE_SHARE)
        self.assertEqual(state_interval(1), MIN_STATE_INTERVAL)

    def test_reports_of_a_zone_stay_within_the_planned_rate(self):
        network = Network(count=8)
        for one in network.nodes.values():
            for number in range(20):
                one.ask(number, float(number))
        network.advance(0.3)
        network.sent = 0
        network.advance(3.0)
        planned = 3.0 * 7 / state_interval(8)
        # Each report and its answer.
        self.assertLessEqual(network.sent, 2 * planned * 1.1)


if __name__ == "__main__":
    unittest.main()
