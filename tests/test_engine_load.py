"""What engines tell of their load: read at the border, believed by its age."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.routing.engine_load import (
    CORRECTION_TIME,
    CountCorrection,
    EngineLoad,
    EngineLoadError,
    PaceReadings,
)
from postvalve.platform.dialect import ENGINE_LOAD, PlatformDialect

LIFE = 7
STEADY = 0.6
"""Seconds for which an engine of these tests keeps a pace."""


def read(value, now=1.0):
    return PlatformDialect().engine_load([(ENGINE_LOAD, value)], now)


def told_in_turns(signal, lives=20, seconds=60.0, every=0.15, share=0.15, seed=1):
    """Each engine is 2.5 times as slow for some of the times of `STEADY` seconds."""
    draw = random.Random(seed)
    slow = {}
    now = 0.0
    while now < seconds:
        for life in range(lives):
            turn = (life, int(now / STEADY))
            if turn not in slow:
                slow[turn] = draw.random() < share
            signal.record(life, 2.5 if slow[turn] else 1.0, now + 0.001 * life)
        now += every * draw.uniform(0.3, 1.7)
    return now


class BorderTest(unittest.TestCase):
    def test_three_figures(self):
        self.assertEqual(read("3,0,8"), EngineLoad(1.0, 3, 0, 8))

    def test_four_figures(self):
        self.assertEqual(read(" 3, 1 ,8,250 "), EngineLoad(1.0, 3, 1, 8, 2.5))

    def test_none(self):
        self.assertIsNone(PlatformDialect().engine_load([("Other", "1,2,3")], 1.0))

    def test_nonsense(self):
        for value in (
            "", "x", "3", "3,0", "-1,0,8", "3,0,8,-5", "3,0,8,0", "3,0,8,nan", "3,0,8,1e9",
            "3,0,8,100,7", "3,0,0,100", "3,,8,100", "9" * 40 + ",0,8", "3,0,8," + "9" * 40,
            "3,0,\u00b2", "\u0663,0,8", "3,0,8,\u00b9\u00b9", "9" * 5_000 + ",0,8",
        ):  # fmt: skip
            with self.subTest(value=value[:20]), self.assertRaises(EngineLoadError):
                read(value)

    @given(st.text(max_size=300))
    def test_whatever_it_is_it_is_read_or_named(self, value):
        try:
            load = read(value)
        except EngineLoadError as exc:
            self.assertLessEqual(len(str(exc)), 80)
        else:
            self.assertGreater(load.slots, 0)


class SignalTest(unittest.TestCase):
    def test_how_long_a_reading_holds_is_learnt(self):
        signal = PaceReadings()
        told_in_turns(signal)
        self.assertGreater(signal.confidence(0.04), 0.7)
        self.assertLess(signal.confidence(2 * STEADY), 0.3)
        self.assertEqual(signal.confidence(60.0), 0.0)

    def test_a_figure_that_changes_with_each_reading_counts_nothing(self):
        draw = random.Random(2)
        signal = PaceReadings()
        for number in range(2_000):
            signal.record(number % 10, draw.choice((1.0, 2.5)), number * 0.01)
        self.assertLess(max(signal.confidence(age) for age in (0.0, 0.1, 0.5)), 0.25)

    def test_what_an_engine_always_tells_changes_nothing(self):
        """Its usual pace is what its attempts show, and must not count twice."""
        signal = PaceReadings()
        for number in range(400):
            for life, pace in ((1, 1.0), (2, 1.8)):
                signal.record(life, pace, number * 0.1 + life * 0.01)
        self.assertAlmostEqual(signal.factor(2, 40.0), 1.0, delta=0.02)

    def test_before_pairs_were_seen_nothing_is_believed(self):
        signal = PaceReadings()
        signal.record(LIFE, 2.5, 1.0)
        self.assertTrue(signal.has_readings)
        self.assertEqual(signal.factor(LIFE, 1.0), 1.0)

    def test_a_slow_turn_counts_while_it_is_fresh(self):
        signal = PaceReadings()
        now = told_in_turns(signal)
        signal.record(LIFE, 2.5, now + 0.1)
        self.assertGreater(signal.factor(LIFE, now + 0.12), 1.5)
        self.assertLess(signal.factor(LIFE, now + 3.0), 1.2)

    def test_an_older_reading_of_a_peer_is_passed_over(self):
        signal = PaceReadings()
        self.assertTrue(signal.record(LIFE, 1.0, 2.0))
        self.assertFalse(signal.record(LIFE, 9.0, 1.0, "n1"))
        self.assertEqual(signal.readings()[LIFE].peer, "")

    @given(st.lists(st.tuples(st.integers(0, 3), st.floats(1e-9, 1e9), st.floats(0, 100))))
    def test_factors_are_bounded(self, readings):
        signal = PaceReadings()
        for life, pace, at in readings:
            signal.record(life, pace, at)
        for life in range(4):
            self.assertTrue(1 / 260 < signal.factor(life, 100.0) < 260)
            self.assertTrue(0.0 <= signal.confidence(0.1) <= 1.0)

    def test_engines_that_are_gone_are_forgotten(self):
        signal = PaceReadings()
        signal.record(LIFE, 2.0, 1.0)
        signal.retain({8})
        self.assertFalse(signal.has_readings)


class CountsTest(unittest.TestCase):
    def test_what_nobody_reports_counts_for_a_moment(self):
        counts = CountCorrection()
        counts.record(LIFE, 7, 4, 1.0)
        self.assertEqual(counts.requests(LIFE, 1.1), 3)
        self.assertEqual(counts.requests(LIFE, 1.0 + CORRECTION_TIME + 0.01), 0)

    def test_an_engine_that_tells_fewer_is_not_believed_to_be_freer(self):
        """Requests that are on their way to it are not in its figures."""
        counts = CountCorrection()
        counts.record(LIFE, 7, 4, 1.0)
        counts.record(LIFE, 2, 4, 1.1)
        self.assertEqual(counts.requests(LIFE, 1.1), 0)
