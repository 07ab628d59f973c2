"""Admission of online requests: latency estimates, decision rules, and requests held at a node."""

import random
import unittest

import gevent
from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.online_admission import (
    EPISODE_GAP,
    HOLD_SHARE,
    INITIAL_EPISODE_LENGTH,
    MIN_RETRY_AFTER,
    PERSISTENT_AFTER,
    REFUSE_SHARE,
    RETRY_AFTER_SHARE,
    RETRY_JITTER,
    AdmissionAction,
    OverloadEpisodes,
    PendingRequest,
    decide,
)
from postvalve.core.admission.service_latency import MAX_QUEUE_FACTOR, ServiceLatency
from postvalve.core.routing.latency_estimate import (
    EngineOccupancy,
    expected_first_event,
    queue_wait,
)
from postvalve.events import Event
from tests.answers import read_answer
from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until

TARGET_LATENCY = 0.3
DEADLINE = 5.0


def trained(first=0.08, held=0.8):
    pace = ServiceLatency()
    for _ in range(50):
        pace.observe_first_event(450, first)
        pace.observe_slot_time(held)
    return pace


def make_occupancy(online, batch=0, slots=8, unread=0):
    return EngineOccupancy(slots, online, batch, unread)


def request(arrived_at=0.0, may_retry=False, tokens=450):
    return PendingRequest(arrived_at, TARGET_LATENCY, arrived_at + DEADLINE, tokens, may_retry)


class EstimatesTest(unittest.TestCase):
    def test_nothing_is_known_before_there_are_samples(self):
        pace = ServiceLatency()
        self.assertFalse(pace.known)
        pace.observe_first_event(100, 0.1)
        pace.observe_slot_time(1.0)
        self.assertFalse(pace.known)
        self.assertTrue(trained().known)

    def test_the_first_event_latency_grows_with_the_prompt(self):
        pace = ServiceLatency()
        draw = random.Random(1)
        for _ in range(300):
            tokens = draw.randrange(20_000)
            pace.observe_first_event(tokens, 0.05 + tokens / 60_000)
            pace.observe_slot_time(0.5)
        self.assertAlmostEqual(pace.first_event(0), 0.05, places=2)
        self.assertAlmostEqual(pace.first_event(12_000), 0.25, places=2)

    def test_old_samples_are_forgotten(self):
        pace = trained(first=0.08)
        for _ in range(200):
            pace.observe_first_event(450, 0.2)
        self.assertAlmostEqual(pace.first_event(450), 0.2, delta=0.01)

    def test_an_unresponsive_engine_barely_affects_the_estimate(self):
        pace = trained(first=0.08)
        pace.observe_first_event(450, 60.0)
        self.assertLess(pace.first_event(450), 0.1)

    def test_the_queue_delay_follows_observed_delays(self):
        pace = trained(held=0.8)
        self.assertAlmostEqual(pace.queue_delay_per_place(8), 0.1)
        for _ in range(100):
            pace.observe_queue(1, 8, 0.3)
        self.assertAlmostEqual(pace.queue_delay_per_place(8), 0.3, places=2)
        for _ in range(100):
            pace.observe_queue(1, 8, 500.0)
        self.assertLessEqual(pace.queue_delay_per_place(8), 0.1 * MAX_QUEUE_FACTOR + 1e-9)

    @given(st.lists(st.tuples(st.integers(0, 10**6), st.floats(0, 100)), max_size=60))
    def test_estimates_are_never_negative(self, samples):
        pace = ServiceLatency()
        for tokens, seconds in samples:
            pace.observe_first_event(tokens, seconds)
            pace.observe_slot_time(seconds)
            pace.observe_queue(1, 8, seconds - 50)
        for tokens in (0, 100, 10**7):
            self.assertGreaterEqual(pace.first_event(tokens), 0.0)
        self.assertGreaterEqual(pace.queue_delay_per_place(8), 0.0)


class WaitTest(unittest.TestCase):
    def test_free_slots_cost_nothing_and_queues_by_their_length(self):
        pace = trained()
        self.assertEqual(queue_wait(make_occupancy(7), pace), 0.0)
        self.assertAlmostEqual(queue_wait(make_occupancy(8), pace), 0.1)
        self.assertAlmostEqual(queue_wait(make_occupancy(11), pace), 0.4)

    def test_batch_items_are_preempted(self):
        pace = trained()
        self.assertLessEqual(queue_wait(make_occupancy(4, batch=4), pace), 0.15)
        self.assertLessEqual(queue_wait(make_occupancy(7, batch=8), pace), 0.15)

    def test_prompts_ahead_are_processed_first(self):
        pace = ServiceLatency()
        for tokens in range(0, 40_000, 500):
            pace.observe_first_event(tokens, 0.05 + tokens / 60_000)
            pace.observe_slot_time(0.5)
        first = expected_first_event(make_occupancy(1, unread=30_000), 6_000, pace)
        self.assertAlmostEqual(first, 0.65, delta=0.01)


class DecisionTest(unittest.TestCase):
    def decide(self, occupancies, now=0.0, pace=None, **terms):
        return decide(request(**terms), occupancies, pace or trained(), now)

    def test_a_free_slot_is_taken(self):
        for now in (0.0, 0.9, 4.0):
            self.assertIs(
                self.decide([make_occupancy(8), make_occupancy(7)], now), AdmissionAction.START
            )
        self.assertIs(self.decide([]), AdmissionAction.START)

    def test_a_short_queue_is_joined_while_the_request_can_be_in_time(self):
        self.assertIs(self.decide([make_occupancy(9)]), AdmissionAction.START)
        self.assertIs(self.decide([make_occupancy(10)]), AdmissionAction.HOLD)
        self.assertIs(self.decide([make_occupancy(9)], now=0.1), AdmissionAction.HOLD)

    def test_online_work_does_not_wait_behind_batch(self):
        for now in (0.0, 0.5):
            self.assertIs(self.decide([make_occupancy(3, batch=9)], now), AdmissionAction.START)

    def test_a_client_that_can_retry_is_refused_soon_or_not_at_all(self):
        full = [make_occupancy(12)]
        times = [number / 1000 for number in range(0, 1_250, 5)]
        rulings = [self.decide(full, now, may_retry=True) for now in times]
        refused = [
            now for now, one in zip(times, rulings, strict=True) if one is AdmissionAction.REFUSE
        ]
        self.assertAlmostEqual(min(refused), TARGET_LATENCY * REFUSE_SHARE, delta=0.006)
        self.assertLessEqual(max(refused), TARGET_LATENCY / 4)

    def test_a_client_that_cannot_retry_is_never_refused(self):
        for now in (0.0, 0.03, 0.05, 0.5, 2.0):
            self.assertIsNot(self.decide([make_occupancy(30)], now), AdmissionAction.REFUSE)

    def test_no_request_is_held_forever(self):
        self.assertIs(
            self.decide([make_occupancy(30)], TARGET_LATENCY * HOLD_SHARE + 0.01),
            AdmissionAction.START,
        )
        unknown = ServiceLatency()
        self.assertIs(
            self.decide([make_occupancy(30)], TARGET_LATENCY * HOLD_SHARE + 0.01, pace=unknown),
            AdmissionAction.START,
        )

    def test_an_overload_that_lasts_is_served_first_come_first_served(self):
        for can_retry in (False, True):
            for now in (0.0, 0.04, 1.0):
                terms = request(may_retry=can_retry)
                ruling = decide(terms, [make_occupancy(30)], trained(), now, persistent=True)
                self.assertIs(ruling, AdmissionAction.START)

    def test_without_estimates_a_queue_of_one_is_allowed(self):
        unknown = ServiceLatency()
        self.assertIs(self.decide([make_occupancy(8)], pace=unknown), AdmissionAction.START)
        self.assertIs(
            self.decide([make_occupancy(9), make_occupancy(9)], pace=unknown), AdmissionAction.HOLD
        )

    @given(
        st.lists(
            st.builds(make_occupancy, st.integers(0, 30), st.integers(0, 8)), min_size=1, max_size=6
        ),
        st.floats(0, 6),
        st.booleans(),
    )
    def test_refusals_are_only_made_where_all_slots_serve_online_work(
        self, occupancies, now, can_retry
    ):
        ruling = self.decide(occupancies, now, may_retry=can_retry)
        if ruling is AdmissionAction.REFUSE:
            self.assertTrue(all(one.online >= one.slots for one in occupancies))
            self.assertTrue(can_retry)

    def test_no_request_is_refused_while_a_slot_is_free(self):
        slow = trained(first=1.0)
        for occupancies in ([make_occupancy(30), make_occupancy(7)], [make_occupancy(7, batch=9)]):
            for now in (0.0, 0.04, 0.05):
                self.assertIs(
                    self.decide(occupancies, now, slow, may_retry=True), AdmissionAction.START
                )

    def test_more_requests_are_in_time_than_first_come_first_served(self):
        """Compares the rule with a plain queue in front of one engine, on the same arrivals."""
        for seed in range(5):
            draw = random.Random(seed)
            arrivals = sorted(draw.uniform(0, 2.4) for _ in range(60))
            self.assertGreater(in_time(arrivals, ruled=True), in_time(arrivals, ruled=False) + 5)


def in_time(arrivals, ruled):
    """Return how many requests are in time at one engine of 8 slots, each occupied for 0.8 s."""
    pace = trained()
    free_at = [0.0] * 8
    waiting = list(arrivals)
    good = 0
    now = 0.0
    queue = []
    while waiting or queue:
        now += 0.005
        while waiting and waiting[0] <= now:
            queue.append(waiting.pop(0))
        for arrived_at in list(queue):
            online = sum(at > now for at in free_at)
            last = max(free_at)
            backlog = online if last <= now + 0.8 else 8 + round((last - now - 0.8) / 0.1)
            if ruled:
                terms = PendingRequest(arrived_at, TARGET_LATENCY, arrived_at + DEADLINE, 450, True)
                ruling = decide(terms, [make_occupancy(max(online, backlog))], pace, now)
                if ruling is AdmissionAction.REFUSE:
                    queue.remove(arrived_at)  # the client retries after the burst
                if ruling is not AdmissionAction.START:
                    continue
            queue.remove(arrived_at)
            slot = free_at.index(min(free_at))
            begins = max(now, free_at[slot])
            free_at[slot] = begins + 0.8
            good += begins + 0.08 <= arrived_at + TARGET_LATENCY
    return good


class EpisodeTest(unittest.TestCase):
    def test_overload_lengths_are_estimated_after_an_initial_guess(self):
        episodes = OverloadEpisodes()
        self.assertEqual(episodes.seconds_left(0.0), 0.0)
        now = 0.0
        for _ in range(20):
            start = now
            while now < start + 1.8:
                episodes.record_full(now)
                now += 0.05
            now += 3.6
        episodes.record_full(now)
        self.assertAlmostEqual(episodes.seconds_left(now), 1.8, delta=0.1)
        self.assertEqual(episodes.seconds_left(now + EPISODE_GAP + 0.1), 0.0)

    def test_an_overload_persists_until_slots_have_been_free_for_a_while(self):
        episodes = OverloadEpisodes()
        now = 0.0
        while now < 10.0:
            episodes.record_full(now)
            self.assertEqual(episodes.persistent(now), now > PERSISTENT_AFTER)
            now += 0.25
        self.assertFalse(episodes.persistent(now + EPISODE_GAP))
        episodes.record_full(now + 1.0)
        self.assertFalse(episodes.persistent(now + 1.0))

    def test_the_retry_time_fits_the_clients_deadline_and_is_spread(self):
        episodes = OverloadEpisodes()
        episodes.record_full(0.0)
        self.assertAlmostEqual(episodes.retry_after(0.0, 60.0, 0.0), INITIAL_EPISODE_LENGTH)
        self.assertAlmostEqual(
            episodes.retry_after(0.0, 60.0, 1.0), INITIAL_EPISODE_LENGTH + RETRY_JITTER
        )
        self.assertAlmostEqual(episodes.retry_after(0.0, 2.0, 1.0), 2.0 * RETRY_AFTER_SHARE)
        self.assertAlmostEqual(
            episodes.retry_after(0.4 + INITIAL_EPISODE_LENGTH, 60.0, 0.0), MIN_RETRY_AFTER
        )


class HeldAtNodeTest(unittest.TestCase):
    """One engine with one slot, which takes 0.4 s for each request."""

    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=1, targetLatencyMs=300)
        self.addCleanup(self.fleet.stop)
        self.engine = self.fleet.engines[0]
        self.list_with_one_slot()
        self.engine.default_behaviour = Behaviour(events=1, head_delay=0.4)

    def list_with_one_slot(self):
        entry = self.engine.entry
        self.engine.entry = lambda state="ready": entry(state, slots=1)
        self.fleet.list_engine(self.engine)
        node = self.fleet.nodes["n0"]
        wait_until(lambda: [one.slots for one in node._fleet.listed_engines()] == [1])

    def train(self):
        pace = self.fleet.nodes["n0"]._fleet.pace("s")
        for _ in range(50):
            pace.observe_first_event(0, 0.1)
            pace.observe_slot_time(0.4)

    def send(self, number, deadline_ms=5000):
        headers = [("Deadline-Ms", str(deadline_ms))]
        return self.fleet.open("n0", STREAM_PATH + "x", headers=headers, request_id=f"r{number}")

    def running(self):
        wait_until(lambda: self.engine.running == 1)

    def test_a_request_that_cannot_be_in_time_is_refused_with_a_retry_time(self):
        self.train()
        first = self.send(1)
        self.running()
        answer = read_answer(self.send(2))
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertEqual(read_answer(first).status, 200)
        self.assertNotIn("r2", [run[0] for run in self.engine.runs])
        events = self.fleet.events("n0", Event.ROUTED_REQUEST_TURNED_AWAY)
        self.assertEqual([one["request"] for one in events], ["r2"])

    def test_a_retry_waits_and_is_served(self):
        self.train()
        first = self.send(1)
        self.running()
        again = self.send(2, deadline_ms=3500)
        self.assertEqual([read_answer(first).status, read_answer(again).status], [200, 200])
        released = self.fleet.events("n0", Event.ROUTED_REQUEST_RELEASED)
        self.assertEqual([one["request"] for one in released], ["r2"])

    def test_an_immediate_retry_is_not_refused_again(self):
        self.train()
        first = self.send(1)
        self.running()
        refused = read_answer(self.send(2))
        self.assertEqual(refused.status, 503)
        self.assertGreaterEqual(float(refused.headers["retry-after"]), MIN_RETRY_AFTER)
        left = 5000 - int(MIN_RETRY_AFTER * 1000)
        again = self.send(3, deadline_ms=left)
        self.assertEqual([read_answer(first).status, read_answer(again).status], [200, 200])

    def test_a_client_that_leaves_while_it_waits_is_not_sent_on(self):
        self.train()
        first = self.send(1)
        self.running()
        gone = self.send(2, deadline_ms=3500)
        wait_until(lambda: self.fleet.events("n0", Event.ROUTED_REQUEST_HELD))
        gone.close()
        wait_until(lambda: self.fleet.events("n0", Event.ROUTED_REQUEST_RELEASED))
        self.assertEqual(read_answer(first).status, 200)
        gevent.sleep(0.05)
        self.assertNotIn("r2", [run[0] for run in self.engine.runs])


if __name__ == "__main__":
    unittest.main()
