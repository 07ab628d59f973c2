"""Order, start and refusal of waiting requests: the decision, replays of load, the admission
queue."""

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
    finds_capacity,
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
from tests.test_fair_share import bursts, skewed
from tests.test_latency_estimate import make_latency
from tests.test_online_admission import DEADLINE, TARGET_LATENCY, make_occupancy, request, trained

ENGINES, SLOTS, SLOT_TIME = 5, 8, 0.8
CAPACITY = ENGINES * SLOTS / SLOT_TIME
"""Requests per second."""
STEP = 0.005
FIRST_EVENT_TIME = 0.08
"""Seconds from the start of a request to its first event."""


class RuleTest(unittest.TestCase):
    def decide(self, occupancies, ahead=0, now=0.0, **terms):
        return decide_in_order(request(**terms), occupancies, trained(), now, ahead)

    def test_requests_start_while_there_is_capacity(self):
        occupancies = [make_occupancy(8 + MAX_ENGINE_QUEUE), make_occupancy(6)]
        places = free_capacity(occupancies, trained())
        self.assertIs(self.decide(occupancies, ahead=places - 1), AdmissionAction.START)
        self.assertIs(self.decide(occupancies, ahead=places), AdmissionAction.HOLD)

    def test_engine_takes_no_more_than_its_capacity(self):
        """Requests beyond it would lengthen pauses above what callers accept, so they wait in
        order."""
        slow = EngineOccupancy(SLOTS, 0, 0, 0, PaceFactors(2.0, 2.0, 2.0), 0.41)
        pace = make_latency(longest=0.4)
        self.assertEqual(slow.capacity(pace), SLOTS // 2)
        slow.online = SLOTS // 2 + MAX_ENGINE_QUEUE
        self.assertIs(decide_in_order(request(), [slow], pace, 0.0, 0), AdmissionAction.HOLD)
        slow.online -= 1
        self.assertIs(decide_in_order(request(), [slow], pace, 0.0, 0), AdmissionAction.START)

    def test_request_too_far_behind_is_refused_at_once(self):
        self.assertIs(
            self.decide([make_occupancy(9)], ahead=50, may_retry=True), AdmissionAction.REFUSE
        )
        self.assertIs(self.decide([make_occupancy(9)], ahead=50), AdmissionAction.HOLD)

    def test_first_request_is_held_while_it_can_be_in_time(self):
        for now in (0.0, 0.05):
            self.assertIs(
                self.decide([make_occupancy(9)], now=now, may_retry=True), AdmissionAction.HOLD
            )

    def test_hold_limit_equals_that_without_shares(self):
        for now in [number / 100 for number in range(100)]:
            action = self.decide([make_occupancy(30)], 500, now)
            self.assertIs(action is AdmissionAction.START, now >= TARGET_LATENCY * HOLD_SHARE, now)

    def test_retry_after_is_not_negative(self):
        for left in (-2.0, 0.0, 0.1):
            self.assertGreaterEqual(retry_after_seconds(1.0, left, 0.5), 0.0)

    def test_retry_after_follows_the_queue_and_the_client_deadline(self):
        self.assertEqual(retry_after_seconds(0.0, 60.0, 0.0), MIN_RETRY_AFTER)
        self.assertEqual(retry_after_seconds(2.0, 60.0, 0.0), 2.0)
        self.assertEqual(retry_after_seconds(20.0, 10.0, 1.0), 10.0 * RETRY_AFTER_SHARE)


class Replay:
    """Replays load on a pool of engines in one order, and tracks what refused requests missed."""

    def __init__(self, rates, burst, seed, *, by_arrival=False, retries=False):
        """Set up a run; `by_arrival` uses the decision without shares, with `retries` clients retry
        once."""
        self.random = draw = random.Random(seed)
        self.arrivals = []
        for tenant, rate in enumerate(rates):
            now = 0.0
            while now < 10.0:
                now += draw.expovariate(rate * 2)
                if draw.random() * 2 < burst(now):
                    self.arrivals.append((now, tenant, now))
        self.requested = len(self.arrivals)
        self.by_arrival, self.retries = by_arrival, retries
        self.clock = ShareClock()
        self.assigner = TagAssigner(self.clock)
        self.pace = trained(FIRST_EVENT_TIME, SLOT_TIME)
        self.episode = OverloadEpisodes()
        self.ends, self.waiting, self.refused_requests = [], [], []
        self.refused = self.wrongly_refused = 0
        self.in_time = [0] * len(rates)

    def run(self):
        now = 0.0
        while self.arrivals or self.waiting:
            now += STEP
            self.ends = [end for end in self.ends if end > now]
            self.arrivals.sort(reverse=True)
            while self.arrivals and self.arrivals[-1][0] <= now:
                at, tenant, first = self.arrivals.pop()
                tag = self.assigner.assign_tag(str(tenant), 1.0, Work(SLOT_TIME))
                self.waiting.append((at if self.by_arrival else tag, at, tenant, first))
            self._evaluate(now)

    def _evaluate(self, now):
        self.waiting.sort()
        held = 0
        for entry in list(self.waiting):
            occupancies = [EngineOccupancy(ENGINES * SLOTS, len(self.ends), 0, 0)]
            action = self._decide(entry, occupancies, now, held)
            held += action is AdmissionAction.HOLD
            if action is AdmissionAction.HOLD:
                continue
            self.waiting.remove(entry)
            if action is AdmissionAction.REFUSE:
                self._refuse(entry, occupancies, now, held)
            else:
                self._start(entry, now)

    def _decide(self, entry, occupancies, now, held):
        _, at, _, first = entry
        terms = PendingRequest(at, TARGET_LATENCY, first + DEADLINE, 450, at == first)
        if not finds_capacity(terms, occupancies, self.pace, now):
            self.episode.record_full(now)
        if self.by_arrival:
            persistent = self.episode.persistent(now)
            return decide(terms, occupancies, self.pace, now, persistent=persistent)
        return decide_in_order(terms, occupancies, self.pace, now, held)

    def _refuse(self, entry, occupancies, now, held):
        _, at, tenant, first = entry
        self.refused += 1
        self.refused_requests.append(entry)
        self.assigner.assign_tag(str(tenant), 1.0, Work(0.0, -SLOT_TIME))
        if self.retries:
            wait = zone_queue_wait(held, occupancies, self.pace)
            left = first + DEADLINE - now
            seconds = retry_after_seconds(
                max(wait, self.episode.seconds_left(now)), left, self.random.random()
            )
            self.arrivals.append((now + seconds, tenant, first))

    def _start(self, entry, now):
        """Give `entry` a slot, and count the first refused request that would have got it instead.

        It is not counted if `entry` was held for the longest time allowed: then it starts in any
        case.
        """
        tag, at, tenant, _ = entry
        in_turn = now - at < TARGET_LATENCY * HOLD_SHARE
        self.clock.record_served(tag, min((other[0] for other in self.waiting), default=None))
        queued = max(0, len(self.ends) - ENGINES * SLOTS + 1)
        begins = now if not queued else sorted(self.ends)[queued - 1]
        self.ends.append(begins + SLOT_TIME)
        self.in_time[tenant] += begins + FIRST_EVENT_TIME <= at + TARGET_LATENCY
        self.refused_requests = [
            refused_request
            for refused_request in self.refused_requests
            if begins + FIRST_EVENT_TIME <= refused_request[1] + TARGET_LATENCY
        ]
        before = [
            refused_request for refused_request in self.refused_requests if refused_request < entry
        ]
        if before and in_turn:
            self.wrongly_refused += 1
            self.refused_requests.remove(min(before))


class ReplayTest(unittest.TestCase):
    MAX_WRONG_SHARE = 0.02
    """Upper bound of the share of refused requests that would have got a slot in time."""
    LOADS = {
        "bursts": ([CAPACITY * 0.09] * 10, bursts),
        "one tenant at ten times its usual load": (
            [CAPACITY * 0.06] * 9 + [CAPACITY * 0.6],
            lambda now: 1.0,
        ),
        "75 tenants in bursts": (skewed(75, CAPACITY * 0.9), bursts),
    }

    def test_few_refused_requests_could_have_been_served(self):
        for (name, (rates, burst)), retries in itertools.product(self.LOADS.items(), (False, True)):
            replays = [Replay(rates, burst, seed, retries=retries) for seed in range(4)]
            for replay in replays:
                replay.run()
            refused = sum(replay.refused for replay in replays)
            wrongly_refused = sum(replay.wrongly_refused for replay in replays)
            with self.subTest(
                name, retries=retries, refused=refused, wrongly_refused=wrongly_refused
            ):
                self.assertGreater(refused, 0)
                self.assertLessEqual(wrongly_refused, self.MAX_WRONG_SHARE * refused)

    def test_lasting_overload_is_served_in_order(self):
        """Clients retry once. In order of arrival, engines would then serve first come, first
        served."""
        lasting_loads = {
            "one tenant at 16 times its usual load": (
                [CAPACITY * 0.06] * 9 + [CAPACITY * 0.96],
                lambda now: 1.0,
            ),
            "75 tenants at 1.3 of the capacity": (skewed(75, CAPACITY * 1.3), lambda now: 1.0),
        }
        for name, (rates, burst) in (self.LOADS | lasting_loads).items():
            hot = rates.index(max(rates))
            others = {}
            for by_arrival in (True, False):
                replays = [
                    Replay(rates, burst, n, by_arrival=by_arrival, retries=True) for n in range(3)
                ]
                for replay in replays:
                    replay.run()
                others[by_arrival] = sum(
                    sum(replay.in_time) - replay.in_time[hot] for replay in replays
                )
            with self.subTest(name, others=others):
                self.assertGreater(others[False], others[True])


class ShareUpdateTest(unittest.TestCase):
    def test_update_round_trip_and_merge(self):
        key = service_hash("s")
        update = ShareUpdate(5.0, {key: QueuePosition((0, 1), 7.0)})
        other = ShareUpdate(9.0, {key: QueuePosition((0, 1), 6.0), 3: QueuePosition((1, 1), 2.0)})
        self.assertEqual(unpack_share_update(update.pack()), update)
        merged = unpack_share_update(merge_share_updates([update.pack(), b"", b"xx", other.pack()]))
        self.assertEqual(merged, ShareUpdate(9.0, other.queue_heads))
        self.assertEqual(merge_share_updates([b"", b""]), b"")

    def test_malformed_updates_are_ignored(self):
        good = ShareUpdate(5.0, {1: QueuePosition((0, 0), 1.0)}).pack()
        for data in (b"", good[:-1], ShareUpdate(float("nan"), {}).pack()):
            self.assertIsNone(unpack_share_update(data))


class AdmissionQueueCase(unittest.TestCase):
    """An admission queue, with engines that a test fills and frees, and a clock that it
    advances."""

    def setUp(self):
        self.now = 0.0
        self.online = 9
        self.started, self.refused = [], []
        self.clock = mock.Mock(monotonic=lambda: self.now)
        self.fleet = mock.Mock(
            occupancies=lambda service, version=None: [make_occupancy(self.online)],
            has_capacity=lambda service, version=None: self.online < 8,
            pace=lambda service: self.pace,
        )
        self.pace = trained()
        self.queue = AdmissionQueue(
            self.clock, RecordingEventLog(), self.fleet, random.Random(1), mock.Mock()
        )
        # Tests trigger evaluations themselves.
        self.queue._evaluator = mock.Mock()

    def send(self, name, tag=None, rank=(0, 0), allowed=None, age=0.0):
        terms = RequestTerms(name, allowed, None, "", 0, 450, 0)
        route = mock.Mock(target_latency=TARGET_LATENCY)
        route.name = "r"
        at = self.now - age

        def admit():
            try:
                self.queue.admit(route, "s", terms, rank, at, at + DEADLINE, lambda: False, tag=tag)
            except RefusedError:
                self.refused.append(name)
            else:
                self.started.append(name)
                self.online += 1

        gevent.spawn(admit)
        gevent.sleep(0)

    def evaluate(self, now=None):
        self.now = self.now if now is None else now
        self.queue._reevaluate()
        for _ in range(3):
            gevent.sleep(0)

    def receive_queue_head(self, tag, peer="p"):
        self.queue.peer_queue_heads.update(
            peer, ShareUpdate(1.0, {service_hash("s"): QueuePosition((0, 0), tag)})
        )


class TurnTest(AdmissionQueueCase):
    def test_slots_beyond_capacity_are_not_drawn_for(self):
        """Otherwise nodes would draw for slots that no request may use."""
        self.pace = make_latency(longest=0.4)
        slow = EngineOccupancy(SLOTS, SLOTS // 2, 0, 0, PaceFactors(2.0, 2.0, 2.0), 0.41)
        self.queue.nodes = lambda: 100
        entry = mock.Mock(service="s")
        self.assertTrue(all(self.queue._is_turn(entry, [slow]) for _ in range(50)))


class OrderTest(AdmissionQueueCase):
    def test_priority_then_share_then_time_left(self):
        self.send("late", 5.0)
        self.send("share", 3.0, age=0.0)
        self.send("older", 3.0, age=0.05)
        self.send("urgent", 9.0, rank=(-1, 0))
        for _ in range(4):
            self.online = 8
            self.evaluate()
        self.assertEqual(self.started, ["urgent", "older", "share", "late"])

    def test_request_is_passed_no_longer_than_the_hold_limit(self):
        self.send("least", 50.0, rank=(9, 0))
        for number in range(40):
            self.now = number * 0.01
            self.online = 8
            self.send(f"u{number}", 1.0, rank=(0, 0))
            self.evaluate()
            if "least" in self.started:
                break
        self.assertLessEqual(self.now, TARGET_LATENCY * HOLD_SHARE + 0.011)

    def test_new_request_does_not_pass_waiting_ones(self):
        self.send("waits", 3.0)
        self.online = 7
        self.send("behind", 8.0)
        self.assertEqual(self.started, [])
        self.online = 7
        self.send("before", 1.0)
        self.assertEqual(self.started, ["before"])

    def test_queue_head_of_a_peer_goes_first_until_it_expires(self):
        self.receive_queue_head(3.0)
        self.online = 7
        self.send("behind", 8.0)
        self.assertEqual(self.started, [])
        self.now = MAX_REPORT_AGE + 0.01
        self.send("newer", 9.0)
        self.assertEqual(self.started, [])  # a request that waits here goes before it
        self.evaluate()
        self.assertEqual(self.started[0], "behind")

    def test_started_requests_report_the_first_waiting_tag(self):
        served = []
        self.queue.on_started = lambda tag, first: served.append((tag, first))
        self.receive_queue_head(4.0)
        self.send("a", 3.0)
        self.send("b", 6.0)
        self.online = 8
        self.evaluate()
        self.assertEqual(served, [(3.0, 4.0)])

    def test_last_requests_in_order_are_refused(self):
        for number in range(12):
            self.send(f"r{number}", float(number), allowed=DEADLINE)
        self.evaluate()
        kept = [f"r{number}" for number in range(12 - len(self.refused))]
        self.assertGreater(len(self.refused), 0)
        self.assertGreater(len(kept), 0)
        self.assertFalse(set(kept) & set(self.refused))


class EvaluatorTest(AdmissionQueueCase):
    def test_request_that_arrives_while_the_evaluator_ends_is_evaluated(self):
        """An update may block on a full socket buffer, while other greenlets go on."""
        self.queue._evaluator = None
        updates = []

        def update_waiting(waiting):
            updates.append(waiting)
            # The first empty update comes from the evaluation, the second as the evaluator ends.
            if updates[-2:] == [{}, {}] and self.started == ["first"]:
                self.online = 9
                self.send("second", 2.0)
                self.online = 7

        self.queue.zone_queue = mock.Mock(
            is_coordinated=lambda service: False,
            is_granted=lambda service, number: False,
            requests_ahead=lambda service, number: None,
            update_waiting=update_waiting,
        )
        self.send("first", 1.0)
        self.online = 7
        gevent.sleep(0.3)
        self.assertEqual(self.started, ["first", "second"])


class WithoutSharesTest(AdmissionQueueCase):
    """Without tags the order is by priority and arrival, with draws; a plain copy must decide
    alike."""

    def decide_without_shares(self, held, occupancies, draws):
        """Return which requests `(rank, arrived at, can retry)` start and which are refused."""
        started, refused = [], []
        for name, (_, at, can_retry) in sorted(held.items(), key=lambda item: item[1][:2]):
            terms = PendingRequest(at, TARGET_LATENCY, at + DEADLINE, 450, can_retry)
            action = decide(terms, occupancies, self.pace, self.now)
            free = sum(max(0, engine.slots - engine.online) for engine in occupancies)
            if action is AdmissionAction.START and not (
                not free or free >= 5 or draws.uniform(0, 1) * 5 < free
            ):
                continue
            if action is AdmissionAction.START:
                started.append(name)
                occupancies[0].online += 1
            if action is AdmissionAction.REFUSE:
                refused.append(name)
        return started, refused

    def test_decisions_without_shares_equal_plain_copy(self):
        for seed in range(30):
            self.setUp()
            self.queue.nodes = lambda: 5
            draw = random.Random(seed)
            held = {}
            for number in range(12):
                self.now += draw.uniform(0, 0.01)
                self.online = 30
                rank = (draw.randrange(2), draw.randrange(2))
                can_retry = draw.random() < 0.5
                self.send(f"r{number}", None, rank, DEADLINE if can_retry else None)
                held[f"r{number}"] = (rank, self.now, can_retry)
            self.assertEqual((self.started, self.refused), ([], []))
            self.now = draw.uniform(0.12, 0.3)
            self.online = draw.choice((6, 7, 8, 9, 30))
            draws = random.Random(1)
            expected = self.decide_without_shares(held, [make_occupancy(self.online)], draws)
            self.evaluate()
            self.assertEqual(sorted(self.started), sorted(expected[0]))
            self.assertEqual(sorted(self.refused), sorted(expected[1]))


class HoldLimitTest(unittest.TestCase):
    def test_hold_limit(self):
        self.assertFalse(hold_expired(request(), TARGET_LATENCY * HOLD_SHARE - 0.001))
        self.assertTrue(hold_expired(request(), TARGET_LATENCY * HOLD_SHARE))


if __name__ == "__main__":
    unittest.main()
