"""Requests wait in order, start and are turned away: the rule, replays, the waiting room."""

import itertools
import random
import unittest
from unittest import mock

import gevent

from postvalve.core.admission.online_admission import (
    HOLD_SHARE,
    MIN_RETRY_AFTER,
    RETRY_AFTER_SHARE,
    AdmissionAction,
    EngineOccupancy,
    OverloadEpisodes,
    PendingRequest,
    decide,
    finds_room,
)
from postvalve.core.routing.engine_pace import PaceFactors
from postvalve.core.scheduling.fair_share import ShareClock, TagAssigner, Work
from postvalve.core.scheduling.load_shedding import (
    MAX_ENGINE_QUEUE,
    decide_in_order,
    free_capacity,
    hold_expired,
    retry_after_seconds,
    zone_queue_wait,
)
from postvalve.core.scheduling.queue_order import (
    QueuePosition,
    ShareUpdate,
    merge_share_updates,
    service_hash,
    unpack_share_update,
)
from postvalve.exceptions import RefusedError
from postvalve.gateway.interfaces import RequestTerms
from postvalve.gateway.serving.admission_queue import AdmissionQueue
from postvalve.gateway.serving.peer_queue_heads import MAX_REPORT_AGE
from tests.gateway_support import RecordingEventLog
from tests.test_fair_share import heaps, skewed
from tests.test_holding import AIM, DEADLINE, learnt, request, room
from tests.test_latency_estimate import learnt as learnt_by_pauses

ENGINES, SLOTS, HELD = 5, 8, 0.8
CAPACITY = ENGINES * SLOTS / HELD
"""Requests a second."""
STEP = 0.005
PRESENT = 0.08
"""Seconds from a start to its first event."""


class RuleTest(unittest.TestCase):
    def decide(self, occupancies, ahead=0, now=0.0, **terms):
        return decide_in_order(request(**terms), occupancies, learnt(), now, ahead)

    def test_the_first_in_order_get_as_many_slots_as_there_are(self):
        occupancies = [room(8 + MAX_ENGINE_QUEUE), room(6)]
        places = free_capacity(occupancies, learnt())
        self.assertIs(self.decide(occupancies, ahead=places - 1), AdmissionAction.START)
        self.assertIs(self.decide(occupancies, ahead=places), AdmissionAction.HOLD)

    def test_an_engine_takes_no_more_than_its_places(self):
        """Those that would make its streams pause longer than callers bear wait in order."""
        slow = EngineOccupancy(SLOTS, 0, 0, 0, PaceFactors(2.0, 2.0, 2.0), 0.41)
        pace = learnt_by_pauses(longest=0.4)
        self.assertEqual(slow.capacity(pace), SLOTS // 2)
        slow.online = SLOTS // 2 + MAX_ENGINE_QUEUE
        self.assertIs(decide_in_order(request(), [slow], pace, 0.0, 0), AdmissionAction.HOLD)
        slow.online -= 1
        self.assertIs(decide_in_order(request(), [slow], pace, 0.0, 0), AdmissionAction.START)

    def test_who_stands_too_far_behind_hears_it_at_once(self):
        self.assertIs(self.decide([room(9)], ahead=50, may_retry=True), AdmissionAction.REFUSE)
        self.assertIs(self.decide([room(9)], ahead=50), AdmissionAction.HOLD)

    def test_the_first_is_held_where_it_can_be_in_time(self):
        for now in (0.0, 0.05):
            self.assertIs(self.decide([room(9)], now=now, may_retry=True), AdmissionAction.HOLD)

    def test_nobody_is_held_longer_than_without_shares(self):
        for now in [number / 100 for number in range(100)]:
            ruling = self.decide([room(30)], 500, now)
            self.assertIs(ruling is AdmissionAction.START, now >= AIM * HOLD_SHARE, now)

    def test_no_time_told_is_below_nothing(self):
        for left in (-2.0, 0.0, 0.1):
            self.assertGreaterEqual(retry_after_seconds(1.0, left, 0.5), 0.0)

    def test_the_time_told_follows_the_line_and_fits_the_client(self):
        self.assertEqual(retry_after_seconds(0.0, 60.0, 0.0), MIN_RETRY_AFTER)
        self.assertEqual(retry_after_seconds(2.0, 60.0, 0.0), 2.0)
        self.assertEqual(retry_after_seconds(20.0, 10.0, 1.0), 10.0 * RETRY_AFTER_SHARE)


class Replay:
    """A pool of engines, one order, and what would have become of those turned away."""

    def __init__(self, rates, burst, seed, *, by_age=False, returns=False):
        """Set up; `by_age` plays the way without shares, `returns` lets clients come back once."""
        self.random = draw = random.Random(seed)
        self.arrivals = []
        for tenant, rate in enumerate(rates):
            now = 0.0
            while now < 10.0:
                now += draw.expovariate(rate * 2)
                if draw.random() * 2 < burst(now):
                    self.arrivals.append((now, tenant, now))
        self.asked = len(self.arrivals)
        self.by_age, self.returns = by_age, returns
        self.clock = ShareClock()
        self.book = TagAssigner(self.clock)
        self.pace = learnt(PRESENT, HELD)
        self.episode = OverloadEpisodes()
        self.ends, self.waiting, self.ghosts = [], [], []
        self.refused = self.wrongly = 0
        self.in_time = [0] * len(rates)

    def run(self):
        now = 0.0
        while self.arrivals or self.waiting:
            now += STEP
            self.ends = [end for end in self.ends if end > now]
            self.arrivals.sort(reverse=True)
            while self.arrivals and self.arrivals[-1][0] <= now:
                at, tenant, first = self.arrivals.pop()
                tag = self.book.assign_tag(str(tenant), 1.0, Work(HELD))
                self.waiting.append((at if self.by_age else tag, at, tenant, first))
            self._look(now)

    def _look(self, now):
        self.waiting.sort()
        held = 0
        for one in list(self.waiting):
            occupancies = [EngineOccupancy(ENGINES * SLOTS, len(self.ends), 0, 0)]
            ruling = self._rule(one, occupancies, now, held)
            held += ruling is AdmissionAction.HOLD
            if ruling is AdmissionAction.HOLD:
                continue
            self.waiting.remove(one)
            if ruling is AdmissionAction.REFUSE:
                self._refuse(one, occupancies, now, held)
            else:
                self._start(one, now)

    def _rule(self, one, occupancies, now, held):
        _, at, _, first = one
        terms = PendingRequest(at, AIM, first + DEADLINE, 450, at == first)
        if not finds_room(terms, occupancies, self.pace, now):
            self.episode.record_full(now)
        if self.by_age:
            persistent = self.episode.persistent(now)
            return decide(terms, occupancies, self.pace, now, persistent=persistent)
        return decide_in_order(terms, occupancies, self.pace, now, held)

    def _refuse(self, one, occupancies, now, held):
        _, at, tenant, first = one
        self.refused += 1
        self.ghosts.append(one)
        self.book.assign_tag(str(tenant), 1.0, Work(0.0, -HELD))
        if self.returns:
            wait = zone_queue_wait(held, occupancies, self.pace)
            left = first + DEADLINE - now
            seconds = retry_after_seconds(
                max(wait, self.episode.seconds_left(now)), left, self.random.random()
            )
            self.arrivals.append((now + seconds, tenant, first))

    def _start(self, one, now):
        """A slot goes to `one`; the first of those turned away may have had it.

        Not where `one` was held for as long as any: it goes to an engine then whoever waits.
        """
        tag, at, tenant, _ = one
        in_turn = now - at < AIM * HOLD_SHARE
        self.clock.record_served(tag, min((other[0] for other in self.waiting), default=None))
        queued = max(0, len(self.ends) - ENGINES * SLOTS + 1)
        begins = now if not queued else sorted(self.ends)[queued - 1]
        self.ends.append(begins + HELD)
        self.in_time[tenant] += begins + PRESENT <= at + AIM
        self.ghosts = [ghost for ghost in self.ghosts if begins + PRESENT <= ghost[1] + AIM]
        before = [ghost for ghost in self.ghosts if ghost < one]
        if before and in_turn:
            self.wrongly += 1
            self.ghosts.remove(min(before))


class ReplayTest(unittest.TestCase):
    WRONGLY = 0.02
    """Of those turned away, that a slot would have come for in time."""
    LOADS = {
        "heaps": ([CAPACITY * 0.09] * 10, heaps),
        "one at ten times its usual": ([CAPACITY * 0.06] * 9 + [CAPACITY * 0.6], lambda now: 1.0),
        "75 tenants in heaps": (skewed(75, CAPACITY * 0.9), heaps),
    }

    def test_hardly_anybody_is_turned_away_who_could_have_been_served(self):
        for (name, (rates, burst)), returns in itertools.product(self.LOADS.items(), (False, True)):
            replays = [Replay(rates, burst, seed, returns=returns) for seed in range(4)]
            for one in replays:
                one.run()
            refused = sum(one.refused for one in replays)
            wrongly = sum(one.wrongly for one in replays)
            with self.subTest(name, returns=returns, refused=refused, wrongly=wrongly):
                self.assertGreater(refused, 0)
                self.assertLessEqual(wrongly, self.WRONGLY * refused)

    def test_an_overload_that_lasts_is_answered_in_order_too(self):
        """Clients come back once; by age engines would serve first come, first served then."""
        lasting = {
            "one at 16 times its usual": (
                [CAPACITY * 0.06] * 9 + [CAPACITY * 0.96],
                lambda now: 1.0,
            ),
            "75 tenants at 1.3 of the room": (skewed(75, CAPACITY * 1.3), lambda now: 1.0),
        }
        for name, (rates, burst) in (self.LOADS | lasting).items():
            hot = rates.index(max(rates))
            others = {}
            for by_age in (True, False):
                replays = [Replay(rates, burst, n, by_age=by_age, returns=True) for n in range(3)]
                for one in replays:
                    one.run()
                others[by_age] = sum(sum(one.in_time) - one.in_time[hot] for one in replays)
            with self.subTest(name, others=others):
                self.assertGreater(others[False], others[True])


class NewsTest(unittest.TestCase):
    def test_it_comes_as_it_was_sent_and_zones_tell_the_first(self):
        key = service_hash("s")
        one = ShareUpdate(5.0, {key: QueuePosition((0, 1), 7.0)})
        other = ShareUpdate(9.0, {key: QueuePosition((0, 1), 6.0), 3: QueuePosition((1, 1), 2.0)})
        self.assertEqual(unpack_share_update(one.pack()), one)
        merged = unpack_share_update(merge_share_updates([one.pack(), b"", b"xx", other.pack()]))
        self.assertEqual(merged, ShareUpdate(9.0, other.queue_heads))
        self.assertEqual(merge_share_updates([b"", b""]), b"")

    def test_what_is_no_news_is_passed_over(self):
        good = ShareUpdate(5.0, {1: QueuePosition((0, 0), 1.0)}).pack()
        for data in (b"", good[:-1], ShareUpdate(float("nan"), {}).pack()):
            self.assertIsNone(unpack_share_update(data))


class RoomCase(unittest.TestCase):
    """A waiting room with engines that a test fills and frees, and a clock that it moves."""

    def setUp(self):
        self.now = 0.0
        self.online = 9
        self.started, self.refused = [], []
        self.clock = mock.Mock(monotonic=lambda: self.now)
        self.fleet = mock.Mock(
            occupancies=lambda service: [room(self.online)],
            has_room=lambda service: self.online < 8,
            pace=lambda service: self.pace,
        )
        self.pace = learnt()
        self.room = AdmissionQueue(
            self.clock, RecordingEventLog(), self.fleet, random.Random(1), mock.Mock()
        )
        # Looks are taken by hand.
        self.room._evaluator = mock.Mock()

    def send(self, name, tag=None, rank=(0, 0), allowed=None, age=0.0):
        terms = RequestTerms(name, allowed, None, "", 0, 450, 0)
        route = mock.Mock(target_latency=AIM)
        route.name = "r"
        at = self.now - age

        def admit():
            try:
                self.room.admit(route, "s", terms, rank, at, at + DEADLINE, lambda: False, tag=tag)
            except RefusedError:
                self.refused.append(name)
            else:
                self.started.append(name)
                self.online += 1

        gevent.spawn(admit)
        gevent.sleep(0)

    def look(self, now=None):
        self.now = self.now if now is None else now
        self.room._reevaluate()
        for _ in range(3):
            gevent.sleep(0)

    def news(self, tag, peer="p"):
        self.room.peer_queue_heads.update(
            peer, ShareUpdate(1.0, {service_hash("s"): QueuePosition((0, 0), tag)})
        )


class TurnTest(RoomCase):
    def test_slots_beyond_its_places_are_nobodys_turn(self):
        """Else nodes would draw for slots that no request may have."""
        self.pace = learnt_by_pauses(longest=0.4)
        slow = EngineOccupancy(SLOTS, SLOTS // 2, 0, 0, PaceFactors(2.0, 2.0, 2.0), 0.41)
        self.room.nodes = lambda: 100
        entry = mock.Mock(service="s")
        self.assertTrue(all(self.room._is_turn(entry, [slow]) for _ in range(50)))


class OrderTest(RoomCase):
    def test_priority_goes_before_share_and_share_before_time_left(self):
        self.send("late", 5.0)
        self.send("share", 3.0, age=0.0)
        self.send("older", 3.0, age=0.05)
        self.send("urgent", 9.0, rank=(-1, 0))
        for _ in range(4):
            self.online = 8
            self.look()
        self.assertEqual(self.started, ["urgent", "older", "share", "late"])

    def test_one_in_front_is_passed_no_longer_than_any_request_is_held(self):
        self.send("least", 50.0, rank=(9, 0))
        for number in range(40):
            self.now = number * 0.01
            self.online = 8
            self.send(f"u{number}", 1.0, rank=(0, 0))
            self.look()
            if "least" in self.started:
                break
        self.assertLessEqual(self.now, AIM * HOLD_SHARE + 0.011)

    def test_a_newcomer_does_not_pass_who_waits_here_or_elsewhere(self):
        self.send("waits", 3.0)
        self.online = 7
        self.send("behind", 8.0)
        self.assertEqual(self.started, [])
        self.online = 7
        self.send("before", 1.0)
        self.assertEqual(self.started, ["before"])

    def test_who_waits_at_a_peer_goes_first_until_that_is_old(self):
        self.news(3.0)
        self.online = 7
        self.send("behind", 8.0)
        self.assertEqual(self.started, [])
        self.now = MAX_REPORT_AGE + 0.01
        self.send("newer", 9.0)
        self.assertEqual(self.started, [])  # one that waits here goes before it
        self.look()
        self.assertEqual(self.started[0], "behind")

    def test_those_that_start_move_the_clock_no_further_than_the_first_that_waits(self):
        served = []
        self.room.on_started = lambda tag, first: served.append((tag, first))
        self.news(4.0)
        self.send("a", 3.0)
        self.send("b", 6.0)
        self.online = 8
        self.look()
        self.assertEqual(served, [(3.0, 4.0)])

    def test_the_last_in_order_is_turned_away(self):
        for number in range(12):
            self.send(f"r{number}", float(number), allowed=DEADLINE)
        self.look()
        kept = [f"r{number}" for number in range(12 - len(self.refused))]
        self.assertGreater(len(self.refused), 0)
        self.assertGreater(len(kept), 0)
        self.assertFalse(set(kept) & set(self.refused))


class LookerTest(RoomCase):
    def test_one_that_comes_while_the_line_is_told_that_nobody_waits_is_looked_at(self):
        """A datagram may wait for room in the socket, and others go on meanwhile."""
        self.room._evaluator = None
        told = []

        def show(waiting):
            told.append(waiting)
            # The look that finds nobody, then that the looker ends.
            if told[-2:] == [{}, {}] and self.started == ["first"]:
                self.online = 9
                self.send("second", 2.0)
                self.online = 7

        self.room.zone_queue = mock.Mock(
            stands=lambda service: False,
            granted=lambda service, number: False,
            ahead=lambda service, number: None,
            show=show,
        )
        self.send("first", 1.0)
        self.online = 7
        gevent.sleep(0.3)
        self.assertEqual(self.started, ["first", "second"])


class WithoutSharesTest(RoomCase):
    """Without tags the way is by priority, age, rule and draw: a plain copy of it decides alike."""

    def plain(self, held, occupancies, draws):
        """What becomes of waiting requests `(rank, arrived at, may return)` at one look."""
        started, refused = [], []
        for name, (_, at, back) in sorted(held.items(), key=lambda one: one[1][:2]):
            terms = PendingRequest(at, AIM, at + DEADLINE, 450, back)
            ruling = decide(terms, occupancies, self.pace, self.now)
            free = sum(max(0, one.slots - one.online) for one in occupancies)
            if ruling is AdmissionAction.START and not (
                not free or free >= 5 or draws.uniform(0, 1) * 5 < free
            ):
                continue
            if ruling is AdmissionAction.START:
                started.append(name)
                occupancies[0].online += 1
            if ruling is AdmissionAction.REFUSE:
                refused.append(name)
        return started, refused

    def test_decisions_are_those_of_priority_age_and_draw(self):
        for seed in range(30):
            self.setUp()
            self.room.nodes = lambda: 5
            draw = random.Random(seed)
            held = {}
            for number in range(12):
                self.now += draw.uniform(0, 0.01)
                self.online = 30
                rank = (draw.randrange(2), draw.randrange(2))
                back = draw.random() < 0.5
                self.send(f"r{number}", None, rank, DEADLINE if back else None)
                held[f"r{number}"] = (rank, self.now, back)
            self.assertEqual((self.started, self.refused), ([], []))
            self.now = draw.uniform(0.12, 0.3)
            self.online = draw.choice((6, 7, 8, 9, 30))
            draws = random.Random(1)
            expected = self.plain(held, [room(self.online)], draws)
            self.look()
            self.assertEqual(sorted(self.started), sorted(expected[0]))
            self.assertEqual(sorted(self.refused), sorted(expected[1]))


class HeldTest(unittest.TestCase):
    def test_the_longest_time_is_the_one_without_shares(self):
        self.assertFalse(hold_expired(request(), AIM * HOLD_SHARE - 0.001))
        self.assertTrue(hold_expired(request(), AIM * HOLD_SHARE))


if __name__ == "__main__":
    unittest.main()
