"""Detection that most batch items finish late, from what the job log tells all nodes."""

import unittest

from postvalve.core.batch.item_shares import MAX_DUE_SECONDS, DueCount, ItemShares
from postvalve.core.batch.lateness import LATENESS_WINDOW, MIN_ITEMS, Lateness


def feed(lateness, begin, seconds, late, items=10):
    """Update with `items` items due in each second, `late` of them late."""
    due = {begin + number: DueCount(items, late) for number in range(seconds)}
    for number in range(2 * seconds + 1):
        lateness.update(due, begin + number / 2)


class LatenessTest(unittest.TestCase):
    def test_hysteresis_between_the_two_thresholds(self):
        lateness, states = Lateness(), []
        for number, late in enumerate((4, 6, 4, 2)):
            feed(lateness, 100 + number * 2 * LATENESS_WINDOW, 2 * LATENESS_WINDOW, late)
            states.append(lateness.mostly_late)
        self.assertEqual(states, [False, True, True, False])

    def test_few_items_are_not_significant(self):
        lateness = Lateness()
        feed(lateness, 100, MIN_ITEMS - 1, 1, items=1)
        self.assertFalse(lateness.mostly_late)

    def test_it_is_cleared_when_nothing_is_due(self):
        lateness = Lateness()
        feed(lateness, 100, LATENESS_WINDOW, 10)
        self.assertTrue(lateness.mostly_late)
        lateness.update({}, 100 + 3 * LATENESS_WINDOW)
        self.assertFalse(lateness.mostly_late)

    def test_items_due_before_the_first_update_do_not_count(self):
        """Guards against counting items whose end a node that has just started did not see."""
        lateness = Lateness()
        lateness.update({90 + number: DueCount(10, 10) for number in range(5)}, 100.0)
        lateness.update({}, 101.0)
        self.assertFalse(lateness.mostly_late)

    def test_a_clock_that_is_set_back_counts_no_second_twice(self):
        lateness = Lateness()
        feed(lateness, 100, LATENESS_WINDOW, 10)
        before = lateness.items
        lateness.update({105: DueCount(99, 99)}, 105.0)
        lateness.update({105: DueCount(99, 99)}, 107.0)
        self.assertLessEqual(lateness.items, before)


class DueCountTest(unittest.TestCase):
    def test_counts_of_results_items_given_up_and_cancelled_jobs(self):
        shares = ItemShares({})
        shares.add_job("a", "ann", 0, 5_500, [1] * 6)
        shares.add_job("b", "bob", 0, 5_900, [1] * 3)
        shares.add_job("c", "bob", 0, 9_000, [1])
        shares.end_item("a", 0, ran=True)
        shares.end_item("a", 1, ran=False)
        shares.close_job("b")
        self.assertEqual(shares.due[5], DueCount(5, 4))
        shares.forget_due(9)
        self.assertEqual(shares.due, {9: DueCount(1, 1)})

    def test_counts_are_bounded_without_updates(self):
        shares = ItemShares({})
        for second in range(2 * MAX_DUE_SECONDS):
            shares.add_job(str(second), "ann", 0, second * 1000, [1])
        for second in range(2 * MAX_DUE_SECONDS):
            shares.end_item(str(second), 0, ran=True)
        self.assertEqual(len(shares.due), MAX_DUE_SECONDS)
        self.assertEqual(min(shares.due), MAX_DUE_SECONDS)


if __name__ == "__main__":
    unittest.main()
