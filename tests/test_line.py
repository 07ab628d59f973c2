"""One line for a zone: its messages, what a keeper grants, and what befalls keepers and nodes."""

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
    def test_states_come_as_they_were_sent(self, sent):
        self.assertEqual(unpack_state(sent.pack()), sent)

    @given(GRANTS)
    def test_grants_come_as_they_were_sent(self, sent):
        self.assertEqual(unpack_grant(sent.pack()), sent)

    @given(st.binary(max_size=100), STATES, st.integers(1, 40))
    def test_other_bytes_raise_nothing_else(self, data, sent, missing):
        for unpack in (unpack_state, unpack_grant):
            with contextlib.suppress(QueueMessageError):
                unpack(data)
        with self.assertRaises(QueueMessageError):
            unpack_state(sent.pack()[:-missing])

    def test_bytes_of_both_stay_small(self):
        waiting = tuple(WaitingRequest(n, QueuePosition((0, 0), 1.0)) for n in range(20))
        packed = QueueState(SERVICE, "node-0000-zone-a", 1, 1, 1, waiting).pack()
        self.assertLessEqual(len(packed), 160)
        grant = Grant(SERVICE, 1, (1, 2), tuple((n, n) for n in range(MAX_REPORTED)))
        self.assertLessEqual(len(grant.pack()), 70)


class KeeperTest(unittest.TestCase):
    def setUp(self):
        self.keeper = QueueCoordinator(SERVICE, 100)

    def granted(self, free, now=0.0):
        nodes = self.keeper.grant(free, now)
        return {node: one.granted for node, one in self.keeper.answers(nodes).items()}

    def test_free_places_go_to_the_first_of_all_nodes(self):
        self.keeper.receive(state("a", [(1, 5.0), (2, 9.0)]), 0.0)
        self.keeper.receive(state("b", [(1, 3.0), (2, 7.0)]), 0.0)
        self.assertEqual(self.granted(3), {"a": (1,), "b": (1, 2)})
        self.assertEqual(self.keeper.answers(["a"])["a"].ahead, ((2, 0),))

    def test_a_grant_counts_until_its_node_has_taken_it_in_or_its_time_is_over(self):
        self.keeper.receive(state("a", [(1, 5.0)]), 0.0)
        self.keeper.receive(state("b", [(1, 6.0)]), 0.0)
        self.assertEqual(self.granted(1), {"a": (1,)})
        self.assertEqual(self.granted(1), {})
        told = self.keeper.answers(["a"])["a"]
        self.keeper.receive(state("a", [], 2, last_grant=told.number), 0.01)
        self.assertEqual(self.granted(1), {"b": (1,)})
        self.keeper.expire(GRANT_TIME + 0.01, 3)
        self.assertEqual(self.keeper.outstanding, 0)

    def test_a_lost_grant_is_told_again_with_the_next_state(self):
        self.keeper.receive(state("a", [(1, 5.0)]), 0.0)
        first = self.granted(1)
        self.keeper.receive(state("a", [(1, 5.0)], 2), 0.05)
        self.assertEqual({"a": self.keeper.answers(["a"])["a"].granted}, first)

    def test_doubled_and_old_states_change_nothing(self):
        self.keeper.receive(state("a", [], 5), 0.0)
        for number in (5, 4):
            self.assertFalse(self.keeper.receive(state("a", [(1, 1.0)], number), 0.1))
        self.assertFalse(self.keeper.has_waiting)
        self.assertTrue(self.keeper.receive(state("a", [(1, 1.0)], 1, incarnation=2), 0.2))

    def test_numbers_of_another_keeper_stand_for_no_grants_of_this_one(self):
        """That one, or this one's former life, numbered higher; its answer came last."""
        self.keeper.receive(state("a", [(1, 5.0)], 1, last_grant=5000), 0.0)
        self.keeper.receive(state("b", [(1, 6.0)]), 0.0)
        self.assertEqual(self.granted(1), {"a": (1,)})
        self.keeper.receive(state("a", [(1, 5.0)], 2, last_grant=5000), 0.01)
        self.assertEqual(self.keeper.outstanding, 1)
        told = self.keeper.answers(["a"])["a"]
        self.keeper.receive(state("a", [], 3, last_grant=told.number), 0.02)
        self.assertEqual(self.keeper.outstanding, 0)

    def test_no_number_that_a_node_tells_makes_a_grant_too_large_to_send(self):
        self.keeper.receive(state("a", [(1, 5.0)], 1, last_grant=2**32 - 1), 0.0)
        self.keeper.grant(1, 0.0)
        self.assertEqual(unpack_grant(self.keeper.answers(["a"])["a"].pack()).granted, (1,))

    def test_a_node_that_is_gone_loses_its_place_only(self):
        self.keeper.receive(state("a", [(1, 1.0)]), 0.0)
        self.keeper.receive(state("b", [(1, 2.0)]), STATE_TIME)
        self.keeper.expire(STATE_TIME + 0.01, 3)
        self.assertEqual(self.granted(1), {"b": (1,)})

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 2**32), st.integers(1, 6))
    def test_no_more_is_outstanding_than_there_is_room_and_nobody_is_passed(self, seed, free):
        draw, now, numbers = random.Random(seed), 0.0, {}
        keeper = QueueCoordinator(SERVICE, 100)
        for _ in range(60):
            now += draw.uniform(0, 0.05)
            node = draw.choice("abcd")
            numbers[node] = numbers.get(node, 0) + 1
            told = [(n, draw.uniform(0, 50)) for n in range(draw.randrange(4))]
            if draw.random() < 0.7:
                keeper.receive(state(node, told, numbers[node]), now)
            keeper.expire(now, 4)
            before = keeper.order()
            keeper.grant(free, now)
            self.assertLessEqual(keeper.outstanding, free)
            left = keeper.order()
            given = [one for one in before if one not in left]
            if given and left:
                self.assertLess(max(given), min(left))


class NewNodesTest(unittest.TestCase):
    def setUp(self):
        self.new = NewNodes(0.0)

    def test_who_is_heard_at_the_start_was_there_before(self):
        self.new.record("a", 1, LISTEN_TIME / 2)
        self.assertFalse(self.new.includes("a", LISTEN_TIME))

    def test_a_node_that_starts_is_new_until_it_uses_what_takes_all_nodes(self):
        self.new.record("a", 1, 0.0)
        for node, incarnation in (("a", 2), ("b", 1)):
            for at in (20.0, 25.0):
                self.new.record(node, incarnation, at)
            self.assertTrue(self.new.includes(node, 20.0 + SETTLE_TIME - 0.01))
            self.assertFalse(self.new.includes(node, 20.0 + SETTLE_TIME))

    def test_one_that_was_not_heard_for_a_while_is_not_new(self):
        self.new.record("a", 1, 20.0)
        self.new.record("a", 1, 500.0)
        self.assertFalse(self.new.includes("a", 500.0))

    def test_no_more_are_remembered_than_a_fleet_has(self):
        for number in range(3 * MAX_TRACKED_NODES):
            self.new.record(f"n{number}", 1, 20.0)
        known = [
            number
            for number in range(3 * MAX_TRACKED_NODES)
            if self.new.includes(f"n{number}", 20.0)
        ]
        self.assertEqual(known, list(range(2 * MAX_TRACKED_NODES, 3 * MAX_TRACKED_NODES)))


class Node:
    """The line of one node, with engines and peers that the test sets."""

    def __init__(self, network, name):
        self.network, self.name = network, name
        self.log = RecordingEventLog()
        self.waiting, self.started = {}, []
        self.clock = SimpleNamespace(monotonic=lambda: network.now, wall=lambda: 1e9 + network.now)
        self.peers = PeerView(name)
        self.can = Feature.LINE
        use = SimpleNamespace(total=lambda life: SimpleNamespace(online=network.online))
        entry = SimpleNamespace(life="e", slots=network.slots, zone="z", service="s")
        fleet = mock.Mock(use=use, engines=lambda s: [entry], listed_engines=lambda: [entry])
        fleet.spare_capacity = lambda entry: entry.slots - use.total(entry.life).online
        fleet.state_of = lambda entry: network.states.get(entry.life, "ready")
        transport = SimpleNamespace(send=lambda address, data: network.send(name, address, data))
        identity = gateway.NodeStarted(name, 1, name, "z")
        self.line = SharedZoneQueue(
            SimpleNamespace(
                identity=identity,
                clock=self.clock,
                events=self.log,
                transport=transport,
                fleet=fleet,
                peers=self.peers,
            )
        )
        self.line.on_granted = self.take
        self.numbers, self.incarnation = 0, 1

    def report(self, leaving=False):
        self.numbers += 1
        parts = {Extension.FEATURES: pack_features(self.can)}
        return LoadReport(
            self.name, self.incarnation, self.numbers, peer_address=self.name, zone="z",
            leaving=leaving, extensions=parts,
        )  # fmt: skip

    def receive(self, report):
        """As the gateway does."""
        if self.peers.observe(report, self.network.now):
            self.line.receive_report(report)

    def ask(self, number, tag):
        self.waiting[number] = QueuePosition((0, 0), tag)

    def take(self):
        """As the waiting room does: what is granted starts."""
        for number in [one for one in self.waiting if self.line.is_granted("s", one)]:
            del self.waiting[number]
            self.started.append(number)
            self.network.online += 1
            self.network.order.append((self.name, number))

    def look(self):
        entries = sorted(self.waiting.items(), key=lambda one: one[1])
        self.line.update_waiting({"s": entries} if entries else {})
        self.take()
        self.line.grant_free_slots()


class Network:
    """Nodes of one zone under virtual time; datagrams come at the next step, or never."""

    def __init__(self, count=4, slots=4):
        self.now, self.slots, self.online = 100.0, slots, slots + MAX_ENGINE_QUEUE
        self.order, self.queue, self.sent = [], [], 0
        self.states = {}
        self.frozen, self.lost = set(), lambda source, target: False
        self.nodes = {f"n{number}": Node(self, f"n{number}") for number in range(count)}
        self.hear_all()
        self.now += LISTEN_TIME + ZONE_COUNT_MAX_AGE
        self.settle()

    def settle(self):
        """What all that are heard can do goes on."""
        for seconds in (0.0, SETTLE_TIME):
            self.now += seconds
            for one in self.nodes.values():
                one.peers.gate.update(one.peers.common_features(), self.now)

    def hear_all(self):
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
            line, msg = self.nodes[target].line, decode_datagram(data)
            if isinstance(msg, gateway.LineState):
                line.receive_state(msg, source)
            elif isinstance(msg, gateway.LineGrant):
                line.receive_grant(msg, source)
        for one in list(self.nodes.values()):
            if one.name not in self.frozen:
                one.look()

    def play(self, seconds):
        for _ in range(round(seconds / 0.015)):
            self.step()

    @property
    def keeper(self):
        return coordinator_of("z", SERVICE, self.nodes)

    def others(self):
        return [one for name, one in self.nodes.items() if name != self.keeper]


class ZoneLineTest(unittest.TestCase):
    def setUp(self):
        self.network = Network()
        self.first, self.second, self.third = self.network.others()

    def stand(self, *nodes):
        return [one.line.is_coordinated("s") for one in nodes]

    def test_slots_go_to_the_first_in_order_over_all_nodes(self):
        self.first.ask(1, 9.0)
        self.second.ask(1, 3.0)
        self.second.ask(2, 7.0)
        self.network.nodes[self.network.keeper].ask(5, 5.0)
        self.network.play(0.15)
        self.assertEqual(self.network.order, [])
        for _ in range(4):
            self.network.online -= 1
            self.network.play(GRANT_TIME + 0.1)
        names = (self.second.name, self.network.keeper, self.second.name, self.first.name)
        self.assertEqual(self.network.order, list(zip(names, (1, 5, 2, 1), strict=True)))

    def test_nodes_hear_how_many_go_before(self):
        self.first.ask(1, 9.0)
        self.second.ask(1, 3.0)
        self.network.play(0.2)
        self.assertEqual(self.first.line.requests_ahead("s", 1), 1)
        self.assertEqual(self.second.line.requests_ahead("s", 1), 0)

    def test_without_a_keeper_that_answers_nodes_go_by_their_own_order(self):
        """It died: nobody has noticed yet."""
        dead = self.network.keeper
        self.network.frozen.add(dead)
        self.first.ask(1, 1.0)
        self.network.play(COORDINATOR_TIMEOUT - 0.03)
        self.assertEqual(self.stand(self.first), [True])
        self.network.play(0.06)
        self.assertEqual(self.stand(self.first), [False])
        self.assertEqual(len(self.first.log.written), 1)
        self.assertIs(self.first.log.written[0][0], Event.LINE_SILENT)
        # Its report stays away: another one keeps the line.
        for one in self.network.others():
            one.peers.drop(dead)
        del self.network.nodes[dead]
        self.network.play(0.1)
        self.network.online -= 1
        self.network.play(0.1)
        self.assertEqual(len(self.network.order), 1)

    def test_a_keeper_that_stood_still_grants_by_new_states_only(self):
        keeper = self.network.keeper
        self.first.ask(1, 1.0)
        self.network.play(0.1)
        self.network.frozen.add(keeper)
        self.first.waiting.clear()
        self.network.play(STATE_TIME + 0.1)
        self.network.frozen.clear()
        self.second.ask(1, 5.0)
        self.network.online -= 1
        self.network.play(0.2)
        self.assertEqual(self.network.order, [(self.second.name, 1)])

    def test_two_keepers_grant_each_request_once(self):
        """The third node doesn't hear the keeper, and takes itself or another for it."""
        self.third.peers.drop(self.network.keeper)
        for number, one in enumerate((self.first, self.second, self.third)):
            one.ask(1, float(number))
        self.network.play(0.1)
        self.network.online -= 3
        self.network.play(0.6)
        started = [(one.name, 1) for one in (self.first, self.second, self.third)]
        self.assertEqual(sorted(self.network.order), sorted(started))

    def test_a_lost_grant_is_used_later_and_delays_the_others_by_its_time_only(self):
        keeper = self.network.keeper
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        self.network.play(0.1)
        self.network.lost = lambda source, target: (source, target) == (keeper, self.first.name)
        self.network.online -= 1
        self.network.play(0.06)
        self.assertEqual(self.network.order, [])
        self.network.lost = lambda source, target: False
        self.network.play(0.1)
        self.assertEqual(self.network.order, [(self.first.name, 1)])

    def test_a_node_that_dies_with_a_grant_delays_the_others_by_its_time_only(self):
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        self.network.play(0.1)
        self.network.frozen.add(self.first.name)
        self.network.online -= 1
        self.network.play(STATE_TIME + 0.1)
        self.assertEqual(self.network.order, [(self.second.name, 1)])

    def test_a_new_keeper_that_numbers_its_grants_lower_counts_them(self):
        """What a node took in of a former keeper must not stand for the new one's grants."""
        former = self.network.keeper
        self.first.ask(1, 1.0)
        self.network.play(0.1)
        self.network.online -= 1
        self.network.play(0.1)
        self.first.line._queues[SERVICE].last_grant += 1_000_000
        del self.network.nodes[former]
        for one in self.network.nodes.values():
            one.peers.drop(former)
        keeper = self.network.keeper
        asking = next(one for name, one in self.network.nodes.items() if name != keeper)
        asking.line._queues.setdefault(SERVICE, self.first.line._queues[SERVICE])
        asking.ask(2, 1.0)
        self.network.play(0.1)
        self.network.lost = lambda source, target: source == keeper
        self.network.online -= 1
        self.network.play(0.03)
        member = self.network.nodes[keeper].line._coordinators[SERVICE]._members[asking.name]
        given = list(member.given)
        self.assertEqual(len(given), 1)
        self.network.play(0.15)
        self.assertEqual(member.given, given)

    def test_engines_that_failed_a_moment_ago_count_only_where_all_did(self):
        line = self.first.line
        entry = SimpleNamespace(life="f", slots=4, zone="z", service="s")
        dark = SimpleNamespace(life="d", slots=4, zone="z", service="s")
        line._fleet.engines = lambda service: [entry, dark]
        self.network.online = 2
        self.network.states = {"d": "suspect"}
        self.assertEqual(line._free_slots("s"), 2 + MAX_ENGINE_QUEUE)
        self.network.states = {"d": "suspect", "f": "suspect"}
        self.assertEqual(line._free_slots("s"), 2 * (2 + MAX_ENGINE_QUEUE))

    def test_a_grant_for_nobody_is_handed_back(self):
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        self.network.play(0.1)
        self.first.waiting.clear()  # its client left
        self.network.online -= 1
        self.network.play(0.1)
        self.assertEqual(self.network.order, [(self.second.name, 1)])

    def test_with_a_third_of_all_datagrams_lost_everybody_is_served(self):
        for seed in range(5):
            draw = random.Random(seed)
            network = Network()
            network.lost = lambda source, target, draw=draw: draw.random() < 1 / 3
            for number, one in enumerate(network.nodes.values()):
                one.ask(1, float(number))
                one.ask(2, float(number))
            for _ in range(8):
                network.online -= 1
                network.play(0.4)
            self.assertEqual(len(network.order), 8)

    def test_a_keeper_that_has_just_started_or_leaves_grants_nothing(self):
        keeper = self.network.nodes[self.network.keeper].line
        keeper._started_at = self.network.now
        self.first.ask(1, 1.0)
        self.network.play(0.2)
        self.assertEqual(self.stand(self.first), [False])
        keeper._started_at, keeper.leaving = 0.0, True
        self.network.play(0.2)
        self.assertEqual(self.stand(self.first), [False])
        report = self.network.nodes[self.network.keeper].report(leaving=True)
        for one in self.network.others():
            one.peers.observe(report, self.network.now)
        self.network.play(0.2)
        self.assertEqual(self.stand(self.first), [True])

    def test_a_keeper_that_starts_anew_leaves_no_zone_without_a_line(self):
        """What all can do goes on there when it has settled; till then another one keeps it."""
        network, keeper = self.network, self.network.keeper
        network.nodes[keeper] = Node(network, keeper)
        network.nodes[keeper].incarnation = 2
        network.hear_all()
        self.first.ask(1, 1.0)
        self.second.ask(1, 2.0)
        for _ in range(3):
            network.play(1.0)
            self.assertEqual(self.stand(self.first, self.second), [True, True])
        network.online -= 1
        network.play(0.2)
        self.assertEqual(network.order, [(self.first.name, 1)])
        network.settle()
        network.play(0.2)
        self.assertEqual(self.second.line._queues[SERVICE].keeper, keeper)
        self.assertEqual(self.stand(self.second), [True])

    def test_one_node_that_cannot_turns_it_off_for_all_that_hear_it(self):
        self.third.can = Feature.NONE
        self.network.hear_all()
        self.first.ask(1, 1.0)
        self.network.play(0.2)
        self.assertEqual((self.stand(self.first), self.network.sent), ([False], 0))
        self.third.can = Feature.LINE
        self.network.hear_all()
        self.network.settle()
        self.network.play(0.2)
        self.assertEqual(self.stand(self.first), [True])

    def test_nothing_is_sent_from_the_moment_on_that_one_is_heard_that_cannot(self):
        """An older build doesn't know these messages, and may have taken a member's place."""
        self.first.ask(1, 1.0)
        self.network.play(0.2)
        self.third.can = Feature.NONE
        self.network.hear_all()
        self.network.queue.clear()
        self.network.sent = 0
        self.network.online -= 1
        self.network.play(0.3)
        self.assertEqual((self.stand(self.first), self.network.sent), ([False], 0))

    def test_a_keeper_that_leaves_grants_nothing_to_those_that_it_knows(self):
        """Others keep the line from its last report on, and grant the same slots."""
        keeper = self.network.keeper
        self.first.ask(1, 1.0)
        self.network.play(0.2)
        self.network.nodes[keeper].line.leaving = True
        self.network.online -= 1
        self.network.play(0.3)
        self.assertEqual(self.network.order, [])

    def test_a_single_free_slot_of_another_zone_goes_to_who_has_no_engine_near(self):
        line = self.first.line
        far = SimpleNamespace(life="f", slots=4, zone="y", service="s")
        line._fleet.engines = lambda service: [far]
        line._zones = 3
        for online, places in ((5, 0), (4, 0), (3, 1), (0, 1)):
            self.network.online = online
            self.assertEqual(line._free_slots("s"), places)
        line._zones = 2
        self.assertEqual(line._free_slots("s"), 2)

    def test_nothing_is_sent_while_nobody_waits(self):
        self.network.play(1.0)
        self.assertEqual(self.network.sent, 0)

    def test_operators_see_the_line(self):
        self.first.ask(1, 1.0)
        self.network.play(0.1)
        kept = self.network.nodes[self.network.keeper].line.fields()["kept"]
        self.assertEqual(kept, [{"service": "s", "waiting": 1, "granted": 0}])


class LoadTest(unittest.TestCase):
    CORE_SHARE = 0.03
    MESSAGE_TIME = 75e-6
    """Seconds of a core for a state that is read and answered, or less."""

    def test_a_keeper_reads_no_more_than_its_part_of_a_core_allows(self):
        for nodes in (5, 22, 65, 127):
            rate = nodes / state_interval(nodes)
            self.assertLessEqual(rate, STATES_PER_SECOND + 1e-6)
            self.assertLessEqual(rate * self.MESSAGE_TIME * 2, self.CORE_SHARE)
        self.assertEqual(state_interval(1), MIN_STATE_INTERVAL)

    def test_states_of_a_zone_come_no_more_often_than_planned(self):
        network = Network(count=8)
        for one in network.nodes.values():
            for number in range(20):
                one.ask(number, float(number))
        network.play(0.3)
        network.sent = 0
        network.play(3.0)
        planned = 3.0 * 7 / state_interval(8)
        # A state and its answer each.
        self.assertLessEqual(network.sent, 2 * planned * 1.1)


if __name__ == "__main__":
    unittest.main()
