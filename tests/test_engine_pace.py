"""What lives of engines showed: learnt, told, merged, forgotten."""

import math
import random
import struct
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.attempt_times import MIN_PAUSES, AttemptTimes
from postvalve.core.routing.engine_pace import (
    HALF_LIFE,
    MAX_FACTOR,
    UNIFORM,
    EngineSamples,
    PaceEstimator,
    PaceMetric,
)
from postvalve.core.routing.pace_gossip import (
    MAX_PACE_PART_BYTES,
    MAX_RECEIVE_RATE,
    PacePartWriter,
    unpack_pace_part,
)

SERVICE = "s"
SLOW = EngineLife.of("slow", 5)
OTHERS = [EngineLife.of(f"e{number}", 5) for number in range(3)]
LIFE_BYTES = 12
"""Of a part that tells of one life."""
TOLD_SECONDS = 20
CONVERGED_AFTER = 12
"""Samples of a life after which its factor is within a fifth of the true one."""

times = st.floats(min_value=-1e6, max_value=1e6, allow_nan=False)
samples = st.lists(
    st.tuples(st.sampled_from([SLOW, *OTHERS]), st.sampled_from(list(PaceMetric)), times, times),
    max_size=60,
)


def pace_of(*lives):
    pace = PaceEstimator()
    pace.retain(dict.fromkeys(lives or (SLOW, *OTHERS), SERVICE))
    return pace


def teach(pace, life, factor, count, start=0.0, step=0.1, spread=0.0, draw=None):
    for number in range(count):
        noise = draw.gauss(0, spread) if draw else 0.0
        for aspect in PaceMetric:
            seconds = 0.05 * factor * math.exp(noise)
            pace.observe(life, aspect, seconds, 0.05, start + number * step)


def tell(teller, pace, now, sources=1):
    return teller.next_part(
        pace.own_sample_times(), lambda life: pace.own_samples(life, now), [], sources, now
    )


def factors(pace, life, now):
    pace.update(now)
    return pace.factors(engine_hash(life))


class LearningTest(unittest.TestCase):
    @given(samples)
    def test_factors_are_bounded_whatever_is_shown(self, shown):
        pace = pace_of()
        for number, (life, aspect, seconds, expected) in enumerate(shown):
            pace.observe(life, aspect, seconds, expected, number * 0.01)
        for life in (SLOW, *OTHERS):
            found = factors(pace, life, 1.0)
            for one in (found.first, found.pause, found.held):
                self.assertGreaterEqual(one, 1 / MAX_FACTOR - 1e-9)
                self.assertLessEqual(one, MAX_FACTOR + 1e-9)

    @given(
        st.floats(0.4, 3.0),
        st.integers(0, 10_000),
    )
    def test_a_life_converges_within_the_stated_samples(self, factor, seed):
        draw = random.Random(seed)
        pace = pace_of()
        for life in OTHERS:
            teach(pace, life, 1.0, 4 * CONVERGED_AFTER, spread=0.1, draw=draw)
        teach(pace, SLOW, factor, CONVERGED_AFTER, spread=0.1, draw=draw)
        found = factors(pace, SLOW, CONVERGED_AFTER * 0.1)
        for one in (found.first, found.pause, found.held):
            self.assertLess(abs(math.log(one / factor)), 0.2)

    @given(st.integers(0, 10_000))
    def test_even_engines_hardly_ever_differ(self, seed):
        """Three errors: of lives that are alike one in some hundred may, and then by little."""
        draw = random.Random(seed)
        pace = pace_of()
        for life in (SLOW, *OTHERS):
            teach(pace, life, 1.0, 40, spread=0.3, draw=draw)
        for life in (SLOW, *OTHERS):
            found = factors(pace, life, 4.0)
            self.assertLess(abs(math.log(found.pause)), 0.3)

    def test_nothing_is_known_of_a_new_life(self):
        pace = pace_of()
        teach(pace, SLOW, 2.0, 20)
        self.assertGreater(factors(pace, SLOW, 2.0).pause, 1.5)
        again = EngineLife.of("slow", 6)
        pace.retain(dict.fromkeys((again, *OTHERS), SERVICE))
        self.assertIs(factors(pace, again, 2.0), UNIFORM)
        self.assertIs(factors(pace, SLOW, 2.0), UNIFORM)
        self.assertFalse(pace.differs(SERVICE))

    def test_what_comes_of_a_former_life_teaches_nothing(self):
        pace = pace_of(*OTHERS)
        teach(pace, SLOW, 3.0, 20)
        pace.receive_samples("n1", engine_hash(SLOW), EngineSamples(2.0, 2.0))
        self.assertEqual(list(pace.sample_times()), [])
        self.assertFalse(pace.differs(SERVICE))

    def test_an_engine_that_gets_no_work_is_tried_again(self):
        pace = pace_of()
        teach(pace, SLOW, 2.0, 20)
        self.assertGreater(factors(pace, SLOW, 2.0).pause, 1.5)
        self.assertIs(factors(pace, SLOW, 2.0 + 8 * HALF_LIFE), UNIFORM)

    def test_a_slow_engine_that_is_well_again_is_seen_to_be(self):
        pace = pace_of()
        teach(pace, SLOW, 2.0, 30)
        teach(pace, SLOW, 1.0, 30, start=3.0 + HALF_LIFE)
        self.assertLess(factors(pace, SLOW, 6.0 + HALF_LIFE).pause, 1.3)

    def test_one_dark_sample_changes_nothing(self):
        pace = pace_of()
        for life in (SLOW, *OTHERS):
            teach(pace, life, 1.0, 20)
        pace.observe(SLOW, PaceMetric.FIRST, 30.0, 0.05, 2.0)
        self.assertIs(factors(pace, SLOW, 2.0), UNIFORM)

    def test_each_change_is_told_once(self):
        pace = pace_of()
        teach(pace, SLOW, 2.0, 20)
        changes = pace.update(2.0)
        self.assertEqual([(one.life, one.differs) for one in changes], [(SLOW, True)])
        self.assertEqual(pace.update(2.1), [])
        self.assertEqual([one.differs for one in pace.update(2.0 + 8 * HALF_LIFE)], [False])


class PeersTest(unittest.TestCase):
    def told(self, pace, now, sources=1):
        teller = PacePartWriter()
        tell(teller, PaceEstimator(), now - 1.0, sources)
        return unpack_pace_part(tell(teller, pace, now, sources), now).lives

    def hear_all(self, pace, peer, lives):
        for life, shown in lives:
            pace.receive_samples(peer, life, shown)

    def test_a_node_that_starts_knows_by_its_peers(self):
        teacher, newcomer = pace_of(), pace_of()
        teach(teacher, SLOW, 2.0, 20)
        self.hear_all(newcomer, "n1", self.told(teacher, 2.0))
        self.assertAlmostEqual(factors(newcomer, SLOW, 2.0).pause, 2.0, delta=0.2)

    def test_what_many_saw_a_little_of_is_seen_by_all(self):
        """No node alone has enough samples of an engine that it sends little to."""
        hearer = pace_of()
        for number in range(8):
            peer = pace_of()
            teach(peer, SLOW, 2.0, 1)
            self.assertIs(factors(peer, SLOW, 0.1), UNIFORM)
            self.hear_all(hearer, f"n{number}", self.told(peer, 0.1))
        self.assertGreater(factors(hearer, SLOW, 0.1).pause, 1.5)

    def test_what_is_told_twice_counts_once(self):
        hearer, peer = pace_of(), pace_of()
        teach(peer, SLOW, 2.0, 1)
        for _ in range(20):
            self.hear_all(hearer, "n1", self.told(peer, 0.1))
        self.assertIs(factors(hearer, SLOW, 0.1), UNIFORM)

    def test_nothing_heard_is_told_on(self):
        hearer, peer = pace_of(), pace_of()
        teach(peer, SLOW, 2.0, 20)
        self.hear_all(hearer, "n1", self.told(peer, 2.0))
        life = engine_hash(SLOW)
        self.assertEqual(list(hearer.own_sample_times()), [])
        self.assertEqual(hearer.own_samples(life, 2.0).weight, 0.0)
        self.assertGreater(hearer.samples_of(life, {"n1"}, 2.0).weight, 10.0)
        self.assertEqual(hearer.samples_of(life, {"n2"}, 2.0).weight, 0.0)

    def test_what_is_old_fades(self):
        hearer, peer = pace_of(), pace_of()
        teach(peer, SLOW, 2.0, 20)
        self.hear_all(hearer, "n1", self.told(peer, 2.0))
        self.assertIs(factors(hearer, SLOW, 2.0 + 8 * HALF_LIFE), UNIFORM)

    def test_a_peer_that_is_wrong_is_outweighed_and_bounded(self):
        hearer = pace_of()
        for number in range(6):
            peer = pace_of()
            for life in (SLOW, *OTHERS):
                teach(peer, life, 1.0, 20)
            self.hear_all(hearer, f"n{number}", self.told(peer, 2.0))
        liar = pace_of()
        teach(liar, SLOW, 1e9, 20)
        self.hear_all(hearer, "liar", self.told(liar, 2.0))
        self.assertLess(factors(hearer, SLOW, 2.0).pause, 1.4)

    @given(st.integers(1, 400), st.integers(1, 200))
    def test_a_part_is_bounded_and_comes_whole(self, count, sources):
        lives = [EngineLife.of(f"x{number}", 1) for number in range(count)]
        pace = pace_of(*lives)
        for life in lives:
            teach(pace, life, 2.0, 1)
        teller = PacePartWriter()
        heard = set()
        for number in range(2 * TOLD_SECONDS):
            part = tell(teller, pace, number * 0.5, sources)
            self.assertLessEqual(len(part), MAX_PACE_PART_BYTES)
            if part:
                heard |= {life for life, _ in unpack_pace_part(part, number * 0.5).lives}
        # Half of the rate is for lives; each may need a part of its own.
        if count * LIFE_BYTES <= (TOLD_SECONDS - 1) * MAX_RECEIVE_RATE / 2 / sources:
            self.assertEqual(len(heard), count)

    @given(st.binary(max_size=200))
    def test_bytes_that_are_none_do_no_harm(self, data):
        try:
            told = unpack_pace_part(data, 1.0)
        except struct.error:
            return
        pace = pace_of()
        self.hear_all(pace, "n1", told.lives)
        pace.update(1.0)


class AttemptTimesTest(unittest.TestCase):
    def test_the_mean_pause(self):
        times = AttemptTimes(1.0)
        for number in range(MIN_PAUSES + 1):
            times.record_event(1.2 + number * 0.04)
        self.assertAlmostEqual(times.first_event, 0.2)
        self.assertAlmostEqual(times.mean_pause, 0.04)

    def test_too_few_events_tell_nothing(self):
        times = AttemptTimes(1.0)
        times.record_event(1.1)
        times.record_event(1.2)
        self.assertEqual(times.mean_pause, 0.0)

    def test_a_reader_that_lags_shows_no_pause(self):
        """Its events lay in a buffer, and it asked late for each."""
        times = AttemptTimes(1.0)
        for number in range(20):
            times.requested_at = 1.2 + number * 2.0
            times.record_event(times.requested_at + 0.0002)
        self.assertEqual((times.pauses, times.mean_pause), (0, 0.0))
