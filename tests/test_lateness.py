"""Whether most batch items end late, by what the log tells all nodes."""

import unittest

from postvalve.core.batch.item_shares import MAX_DUE_SECONDS, DueCount, ItemShares
from postvalve.core.batch.lateness import LATENESS_WINDOW, MIN_ITEMS, Lateness


def look(lateness, begin, seconds, late, items=10):
    """So many items are due in each second, of which so many are late."""
    due = {begin + number: DueCount(items, late) for number in range(seconds)}
    for number in range(2 * seconds + 1):
        lateness.update(due, begin + number / 2)


class LatenessTest(unittest.TestCase):
    def test_it_takes_most_to_be_late_and_few_to_be_over(self):
        lateness, told = Lateness(), []
        for number, late in enumerate((4, 6, 4, 2)):
            look(lateness, 100 + number * 2 * LATENESS_WINDOW, 2 * LATENESS_WINDOW, late)
            told.append(lateness.mostly_late)
        self.assertEqual(told, [False, True, True, False])

    def test_few_items_say_nothing(self):
        lateness = Lateness()
        look(lateness, 100, MIN_ITEMS - 1, 1, items=1)
        self.assertFalse(lateness.mostly_late)

    def test_it_is_over_when_nothing_is_due_any_more(self):
        lateness = Lateness()
        look(lateness, 100, LATENESS_WINDOW, 10)
        self.assertTrue(lateness.mostly_late)
        lateness.update({}, 100 + 3 * LATENESS_WINDOW)
        self.assertFalse(lateness.mostly_late)

    def test_what_was_due_before_the_first_look_says_nothing(self):
        """A node that starts doesn't know when those ended."""
        lateness = Lateness()
        lateness.update({90 + number: DueCount(10, 10) for number in range(5)}, 100.0)
        lateness.update({}, 101.0)
        self.assertFalse(lateness.mostly_late)

    def test_a_clock_that_is_set_back_counts_nothing_twice(self):
        lateness = Lateness()
        look(lateness, 100, LATENESS_WINDOW, 10)
        before = lateness.items
        lateness.update({105: DueCount(99, 99)}, 105.0)
        lateness.update({105: DueCount(99, 99)}, 107.0)
        self.assertLessEqual(lateness.items, before)


class DueCountTest(unittest.TestCase):
    def test_results_items_given_up_and_jobs_that_were_ended(self):
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

    def test_a_node_that_never_looks_keeps_a_bounded_number(self):
        shares = ItemShares({})
        for second in range(2 * MAX_DUE_SECONDS):
            shares.add_job(str(second), "ann", 0, second * 1000, [1])
        for second in range(2 * MAX_DUE_SECONDS):
            shares.end_item(str(second), 0, ran=True)
        self.assertEqual(len(shares.due), MAX_DUE_SECONDS)
        self.assertEqual(min(shares.due), MAX_DUE_SECONDS)


if __name__ == "__main__":
    unittest.main()
