"""One answer for all who ask what an engine takes; even engines are taken as they were before."""

import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.admission.online_admission import PendingRequest, finds_room
from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.engine_choice import (
    ALMOST_FULL,
    ALMOST_FULL_TOKENS,
    COLD_TOKENS,
    LOAD_TOKENS,
    PREEMPTION_TOKENS,
    QUEUED_REQUEST_TOKENS,
    REMOTE_ZONE_TOKENS,
    EngineChooser,
    EngineOption,
)
from postvalve.core.routing.engine_load import EngineLoad, PaceReadings
from postvalve.core.routing.engine_pace import PaceFactors, PaceMetric
from postvalve.core.routing.latency_estimate import (
    PREEMPTION_TIME,
    EngineOccupancy,
    capacity_within,
    expected_first_event,
    least_loaded,
    queue_penalty,
    queue_wait,
)
from postvalve.core.scheduling.load_shedding import MAX_ENGINE_QUEUE
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.service_capacity import UNIFORM_CAPACITY
from postvalve.gateway.interfaces import EngineEntry, EngineState, RequestTerms
from postvalve.gateway.serving.zone_queue import SharedZoneQueue
from tests.gateway_support import RecordingEventLog

SLOTS = 8
SERVICE = "s"
SLOW = PaceFactors(2.0, 2.0, 2.0)
loads = st.tuples(st.integers(1, 12), st.integers(0, 20), st.integers(0, 20), st.integers(0, 9_000))


def learnt(first=0.06, held=0.8, pause=0.04, longest=0.1):
    pace = ServiceLatency()
    for number in range(40):
        pace.observe_first_event(100 + number * 30, first + number * 0.001)
        pace.observe_slot_time(held)
        pace.observe_pause(1 + number % SLOTS, pause)
        pace.observe_longest_pause(1 + number % SLOTS, longest * (1 + number % SLOTS) / SLOTS)
    return pace


def former_queue_wait(room, pace):
    """As it was before engines had factors."""
    total = room.online + room.batch
    if total < room.slots:
        return 0.0
    by_slots = pace.queue_delay_per_place(room.slots)
    if room.online < room.slots:
        return min(PREEMPTION_TIME, (total - room.slots + 1) * by_slots)
    return (room.online - room.slots + 1) * by_slots


def former_expected_first(room, tokens, pace):
    return former_queue_wait(room, pace) + pace.first_event(room.unread + tokens)


def former_finds_room(req, rooms, pace, now):
    if not rooms or any(room.online < room.slots for room in rooms):
        return True
    if not pace.known:
        return min(room.online - room.slots for room in rooms) < 1
    left = req.arrived_at + req.target_latency - now
    first = min(former_expected_first(room, req.tokens, pace) for room in rooms)
    return first + pace.margin <= left


def former_cost(option, zone):
    cost = option.unread + LOAD_TOKENS * option.load
    cost += REMOTE_ZONE_TOKENS if option.zone != zone else 0
    cost += COLD_TOKENS if option.cold else 0
    if option.online >= ALMOST_FULL * option.slots:
        cost += ALMOST_FULL_TOKENS
    elif option.in_flight >= option.slots:
        cost += PREEMPTION_TOKENS
    if option.memory_short > 0:
        cost += QUEUED_REQUEST_TOKENS + option.memory_short
    return cost + QUEUED_REQUEST_TOKENS * max(0, option.online - option.slots + 1)


class EvenEnginesTest(unittest.TestCase):
    @given(st.lists(loads, max_size=6), st.integers(0, 3_000), st.floats(0, 2), st.booleans())
    def test_what_is_expected_is_as_before(self, drawn, tokens, now, known):
        pace = learnt() if known else ServiceLatency()
        rooms = [EngineOccupancy(*one, pause_aim=0.001) for one in drawn]
        req = PendingRequest(0.0, 0.3, 5.0, tokens, True)
        self.assertEqual(
            finds_room(req, rooms, pace, now), former_finds_room(req, rooms, pace, now)
        )
        for room in rooms:
            self.assertEqual(queue_wait(room, pace), former_queue_wait(room, pace))
            self.assertEqual(
                expected_first_event(room, tokens, pace), former_expected_first(room, tokens, pace)
            )
            self.assertEqual(queue_penalty(room, tokens, pace), 0.0)

    @given(st.lists(st.tuples(loads, st.booleans(), st.booleans()), min_size=1, max_size=12),
           st.integers(0, 1_000))  # fmt: skip
    def test_the_choice_is_as_before(self, drawn, seed):
        options = [
            EngineOption(EngineLife.of(f"e{n}"), "near" if near else "far", slots,
                         online + batch, batch, unread, cold)
            for n, ((slots, online, batch, unread), near, cold) in enumerate(drawn)
        ]  # fmt: skip
        choice = EngineChooser("near", random.Random(seed)).choose(options, "", 0)
        draw = random.Random(seed)
        near = [one for one in options if one.zone == "near"]
        far = [one for one in options if one.zone != "near"]
        looked = [*draw.sample(near, min(2, len(near))), *draw.sample(far, min(2, len(far)))]
        best = min(looked, key=lambda one: former_cost(one, "near"))
        self.assertEqual((choice.life, choice.cost), (best.life, former_cost(best, "near")))


class UnevenEnginesTest(unittest.TestCase):
    def test_a_slow_engine_takes_longer_in_every_part(self):
        pace = learnt()
        for online in (0, SLOTS, SLOTS + 3):
            even = EngineOccupancy(SLOTS, online, 0, 0)
            slow = EngineOccupancy(SLOTS, online, 0, 0, SLOW)
            ratio = expected_first_event(slow, 100, pace) / expected_first_event(even, 100, pace)
            self.assertAlmostEqual(ratio, 2.0)
            self.assertGreater(queue_penalty(slow, 100, pace), 0.0)

    def test_a_fast_engine_is_worth_less_than_nothing_more(self):
        fast = EngineOccupancy(SLOTS, 0, 0, 0, PaceFactors(0.5, 0.5, 0.5))
        self.assertLess(queue_penalty(fast, 100, learnt()), 0.0)

    def test_places_follow_from_the_pauses_that_callers_bear(self):
        pace = learnt(longest=0.4)
        self.assertEqual(EngineOccupancy(SLOTS, 0, 0, 0, SLOW).capacity(pace), SLOTS)
        self.assertEqual(EngineOccupancy(SLOTS, 0, 0, 0, SLOW, 0.8).capacity(pace), SLOTS)
        self.assertEqual(EngineOccupancy(SLOTS, 0, 0, 0, SLOW, 0.41).capacity(pace), SLOTS // 2)

    def test_the_least_full_engine_is_so_by_its_places(self):
        pace = learnt(longest=0.4)
        slow = EngineOccupancy(SLOTS, 3, 0, 0, SLOW, 0.41)
        even = EngineOccupancy(SLOTS, 5, 0, 0)
        self.assertIs(least_loaded([slow, even], pace), even)

    def test_a_slow_one_still_gets_something(self):
        self.assertEqual(EngineOccupancy(SLOTS, 0, 0, 0, SLOW, 1e-6).capacity(learnt()), 1)

    def test_nothing_known_of_pauses_bounds_nothing(self):
        self.assertEqual(capacity_within(SLOTS, ServiceLatency(), 4.0, 0.001), SLOTS)

    @given(st.integers(1, 64), st.floats(0.25, 4.0), st.floats(0.001, 5.0))
    def test_places_are_within_slots(self, slots, factor, aim):
        self.assertTrue(1 <= capacity_within(slots, learnt(), factor, aim) <= slots)

    def test_who_waits_and_who_is_in_time_take_the_same_answer(self):
        pace = learnt()
        req = PendingRequest(0.0, 0.3, 5.0, 100, True)
        for factors in (SLOW, PaceFactors(0.5, 0.5, 0.5)):
            for online in range(SLOTS, SLOTS + 5):
                room = EngineOccupancy(SLOTS, online, 0, 0, factors)
                in_time = expected_first_event(room, 100, pace) + pace.margin <= 0.3
                self.assertEqual(finds_room(req, [room], pace, 0.0), in_time)


class FleetTest(unittest.TestCase):
    """The shell: one node's choice among engines that showed to differ."""

    def setUp(self):
        self.clock = mock.Mock(**{"monotonic.return_value": 100.0})
        self.log = RecordingEventLog()
        self.fleet = EngineFleet("z", self.clock, self.log, mock.Mock(), random.Random(1))
        self.lives = [EngineLife.of(f"e{number}", 1) for number in range(4)]
        self.fleet.update(
            EngineEntry(life, SERVICE, f"{life}:1", "z", SLOTS, EngineState.READY)
            for life in self.lives
        )
        self.fleet.paces._services[SERVICE] = learnt()
        self.tell_pace()

    def tell_pace(self):
        """Engines tell how fast they are, all as usual."""
        signal = self.fleet.paces._signals[SERVICE] = PaceReadings()
        for life in self.lives:
            signal.record(engine_hash(life), 1.0, 100.0)

    def show(self, life, factor):
        for _ in range(20):
            for aspect in PaceMetric:
                self.fleet.paces.learnt.observe(life, aspect, 0.05 * factor, 0.05, 100.0)
        self.clock.monotonic.return_value += 1.0
        self.fleet.paces.update()

    def place(self):
        terms = RequestTerms("r", None, None, "", 0, 100, 10)
        return self.fleet.place_online(SERVICE, terms, (), 0.3)

    def test_a_slow_engine_gets_less_while_others_have_room(self):
        self.show(self.lives[0], 2.5)
        placed = [self.place() for _ in range(16)]
        counts = {life: sum(one.engine.life == life for one in placed) for life in self.lives}
        self.assertLess(counts[self.lives[0]], 2)
        self.assertTrue(all(counts[life] >= 3 for life in self.lives[1:]))

    def test_it_still_takes_what_the_others_have_no_slots_for(self):
        self.show(self.lives[0], 2.5)
        placed = [self.place() for _ in range(4 * SLOTS)]
        counts = {life: sum(one.engine.life == life for one in placed) for life in self.lives}
        self.assertGreaterEqual(counts[self.lives[0]], SLOTS // 2)

    def test_the_line_grants_no_more_than_there_are_places(self):
        """What it grants goes to an engine at once, whether `has_room` says so or not."""
        self.fleet.pause_aim = lambda service: 0.15
        for life in self.lives:
            self.show(life, 2.5)
        identity = mock.Mock(zone="z")
        line = SharedZoneQueue(mock.Mock(fleet=self.fleet, identity=identity, clock=self.clock))
        while self.fleet.has_room(SERVICE):
            self.place()
        online = sum(self.fleet.use.total(life).online for life in self.lives)
        self.assertLess(online, len(self.lives) * SLOTS)
        self.assertLessEqual(line._free_slots(SERVICE), len(self.lives) * MAX_ENGINE_QUEUE)

    def test_what_comes_late_of_an_engine_that_is_gone_teaches_nothing(self):
        self.fleet.paces._signals.clear()
        placement = self.place()
        others = [life for life in self.lives if life != placement.engine.life]
        self.fleet.update(
            EngineEntry(life, SERVICE, f"{life}:1", "z", SLOTS, EngineState.READY)
            for life in others
        )
        self.fleet.paces.record_load(placement, EngineLoad(100.0, 3, 0, SLOTS, 2.5))
        self.fleet.paces.record_bad_load(placement.engine.life, "x")
        self.assertFalse(self.fleet.paces.reports_pace(SERVICE))
        self.assertEqual(self.log.written[-1][0].name, "ENGINE_GONE")

    def test_one_that_is_said_to_differ_is_logged_once(self):
        self.show(self.lives[0], 2.5)
        self.show(self.lives[0], 2.5)
        told = [fields["engine"] for event, fields in self.log.written if "DIFFERS" in event.name]
        self.assertEqual(told, [self.lives[0]])

    def test_engines_that_tell_no_pace_tell_peers_nothing(self):
        """However they differ by what they showed."""
        self.fleet.paces._signals.clear()
        for factor in (1.0, 1.0, 2.5):
            self.clock.monotonic.return_value += 1.0
            self.assertEqual(self.fleet.paces.pack_report(20), b"")
            for life in self.lives:
                self.show(life, factor)
        self.assertEqual(self.fleet.paces.pack_report(20), b"")
        self.assertFalse(self.fleet.paces.reports_pace(SERVICE))
        self.assertIs(self.fleet._rooms_of(SERVICE), UNIFORM_CAPACITY)
        self.assertEqual(self.log.written[len(self.lives) :], [])

    def test_what_a_peer_tells_wrongly_is_left_out(self):
        self.fleet.paces._signals.clear()
        self.fleet.paces.receive("n1", b"\x09cut")
        self.assertIn("PEER_MESSAGE_INVALID", [event.name for event, _ in self.log.written])
        self.assertFalse(self.fleet.paces.reports_pace(SERVICE))

    def test_a_replaced_engine_begins_as_the_others(self):
        self.show(self.lives[0], 2.5)
        again = EngineLife.of("e0", 2)
        self.fleet.update(
            EngineEntry(life, SERVICE, f"{life}:1", "z", SLOTS, EngineState.READY)
            for life in (again, *self.lives[1:])
        )
        self.assertFalse(self.fleet.paces.learnt.differs(SERVICE))
        self.assertEqual(self.fleet.paces.learnt.factors(engine_hash(again)).pause, 1.0)
