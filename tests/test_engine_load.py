"""Load figures from engines: parsing at the boundary, and confidence by age."""

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
PERIOD = 0.6
"""Seconds for which an engine of these tests keeps its pace."""


def read(value, now=1.0):
    return PlatformDialect().engine_load([(ENGINE_LOAD, value)], now)


def record_varying_pace(signal, lives=20, seconds=60.0, every=0.15, share=0.15, seed=1):
    """Record readings of engines that are 2.5 times as slow in some periods of `PERIOD` seconds."""
    draw = random.Random(seed)
    slow = {}
    now = 0.0
    while now < seconds:
        for life in range(lives):
            period = (life, int(now / PERIOD))
            if period not in slow:
                slow[period] = draw.random() < share
            signal.record(life, 2.5 if slow[period] else 1.0, now + 0.001 * life)
        now += every * draw.uniform(0.3, 1.7)
    return now


class BorderTest(unittest.TestCase):
    def test_three_values(self):
        self.assertEqual(read("3,0,8"), EngineLoad(1.0, 3, 0, 8))

    def test_four_values(self):
        self.assertEqual(read(" 3, 1 ,8,250 "), EngineLoad(1.0, 3, 1, 8, 2.5))

    def test_missing_header(self):
        self.assertIsNone(PlatformDialect().engine_load([("Other", "1,2,3")], 1.0))

    def test_malformed_header(self):
        for value in (
            "", "x", "3", "3,0", "-1,0,8", "3,0,8,-5", "3,0,8,0", "3,0,8,nan", "3,0,8,1e9",
            "3,0,8,100,7", "3,0,0,100", "3,,8,100", "9" * 40 + ",0,8", "3,0,8," + "9" * 40,
            "3,0,\u00b2", "\u0663,0,8", "3,0,8,\u00b9\u00b9", "9" * 5_000 + ",0,8",
        ):  # fmt: skip
            with self.subTest(value=value[:20]), self.assertRaises(EngineLoadError):
                read(value)

    @given(st.text(max_size=300))
    def test_any_text_is_parsed_or_rejected(self, value):
        try:
            load = read(value)
        except EngineLoadError as exc:
            self.assertLessEqual(len(str(exc)), 80)
        else:
            self.assertGreater(load.slots, 0)


class SignalTest(unittest.TestCase):
    def test_confidence_follows_observed_duration(self):
        signal = PaceReadings()
        record_varying_pace(signal)
        self.assertGreater(signal.confidence(0.04), 0.7)
        self.assertLess(signal.confidence(2 * PERIOD), 0.3)
        self.assertEqual(signal.confidence(60.0), 0.0)

    def test_uncorrelated_readings_have_low_confidence(self):
        draw = random.Random(2)
        signal = PaceReadings()
        for number in range(2_000):
            signal.record(number % 10, draw.choice((1.0, 2.5)), number * 0.01)
        self.assertLess(max(signal.confidence(age) for age in (0.0, 0.1, 0.5)), 0.25)

    def test_constant_reading_has_no_effect(self):
        """An engine's lasting pace is part of the samples of its attempts, and must not count
        twice."""
        signal = PaceReadings()
        for number in range(400):
            for life, pace in ((1, 1.0), (2, 1.8)):
                signal.record(life, pace, number * 0.1 + life * 0.01)
        self.assertAlmostEqual(signal.factor(2, 40.0), 1.0, delta=0.02)

    def test_no_confidence_without_pairs(self):
        signal = PaceReadings()
        signal.record(LIFE, 2.5, 1.0)
        self.assertTrue(signal.has_readings)
        self.assertEqual(signal.factor(LIFE, 1.0), 1.0)

    def test_slow_reading_counts_while_recent(self):
        signal = PaceReadings()
        now = record_varying_pace(signal)
        signal.record(LIFE, 2.5, now + 0.1)
        self.assertGreater(signal.factor(LIFE, now + 0.12), 1.5)
        self.assertLess(signal.factor(LIFE, now + 3.0), 1.2)

    def test_older_reading_from_a_peer_is_ignored(self):
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

    def test_removed_engines_are_dropped(self):
        signal = PaceReadings()
        signal.record(LIFE, 2.0, 1.0)
        signal.retain({8})
        self.assertFalse(signal.has_readings)


class CountsTest(unittest.TestCase):
    def test_unreported_requests_count_for_a_limited_time(self):
        counts = CountCorrection()
        counts.record(LIFE, 7, 4, 1.0)
        self.assertEqual(counts.requests(LIFE, 1.1), 3)
        self.assertEqual(counts.requests(LIFE, 1.0 + CORRECTION_TIME + 0.01), 0)

    def test_lower_count_from_an_engine_is_ignored(self):
        """Requests on their way to the engine are not in its count yet."""
        counts = CountCorrection()
        counts.record(LIFE, 7, 4, 1.0)
        counts.record(LIFE, 2, 4, 1.1)
        self.assertEqual(counts.requests(LIFE, 1.1), 0)
