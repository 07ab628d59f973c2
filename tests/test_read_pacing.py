"""When further reads of a topic start beside unanswered ones."""

import unittest

from postvalve.core.membership.read_pacing import (
    FIRST_RETRY_DELAY,
    MIN_INTERVAL,
    OVERDUE_AFTER,
    RETRY_INTERVAL,
    ReadPacing,
)


class ReadPacingTest(unittest.TestCase):
    def setUp(self):
        self.pacing = ReadPacing(10.0, 1.0)

    def due_in(self, now):
        return round(self.pacing.seconds_to_next(now), 6)

    def test_a_read_is_given_its_wait_and_a_margin(self):
        self.assertEqual(self.due_in(10.0), 1.0 + OVERDUE_AFTER)
        self.assertFalse(self.pacing.in_doubt)

    def test_the_first_failure_hastens_the_next_read_and_later_ones_do_not(self):
        self.pacing.record_failure(10.2)
        self.assertEqual(self.due_in(10.2), FIRST_RETRY_DELAY)
        self.pacing.record_start(10.25)
        self.pacing.record_failure(10.3)
        self.assertEqual(self.due_in(10.25), RETRY_INTERVAL)
        self.assertTrue(self.pacing.in_doubt)

    def test_an_answer_elsewhere_hastens_the_next_read_only_in_doubt(self):
        self.pacing.record_answer_elsewhere()
        self.assertEqual(self.due_in(10.0), 1.0 + OVERDUE_AFTER)
        self.pacing.record_start(11.4)
        self.pacing.record_answer_elsewhere()
        self.assertEqual(self.due_in(11.4), MIN_INTERVAL)

    def test_neither_delays_a_read_that_is_due(self):
        self.pacing.record_start(11.4)
        self.pacing.record_answer_elsewhere()
        self.pacing.record_failure(12.0)
        self.assertLess(self.due_in(12.0), 0.0)


if __name__ == "__main__":
    unittest.main()
