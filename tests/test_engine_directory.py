"""The engine directory during and after outages of the store."""

import unittest

from postvalve.core.membership.engine_directory import (
    LAPSED_ENTRY_RETENTION,
    REREGISTRATION_TIME,
    EngineDirectory,
)
from postvalve.core.membership.shared_freshness import (
    UNAVAILABLE_AFTER,
    UPDATE_INTERVAL,
    SharedFreshness,
)


class EngineDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.shared = SharedFreshness(0.0)
        self.directory = EngineDirectory(self.shared)

    def unavailable_to_all(self, until):
        """No node reads the directory from time 0 on; this node is the first to read it again."""
        for half_second in range(int(until * 2)):
            self.shared.update(half_second / 2)
        self.directory.store_lost()
        self.shared.record(until, until)
        self.directory.store_back(until)

    def read(self, *names, now=0.0):
        return self.directory.observe([(name, name) for name in names], True, now)

    def entries(self, now):
        return sorted(self.directory.entries(now))

    def test_entries_removed_while_the_store_answers_are_dropped(self):
        self.read("a", "b")
        self.assertEqual(self.directory.observe([("a", None)], False, 100.0), [])
        self.assertEqual(self.entries(100.0), ["b"])
        self.assertEqual(self.read("a", now=101.0), [])
        self.assertEqual(self.entries(101.0), ["a"])

    def test_entries_that_lapsed_with_the_store_are_kept_until_they_must_be_back(self):
        self.read("a", "b")
        self.unavailable_to_all(50.0)
        self.assertEqual(self.read("b", now=50.1), ["a"])
        self.assertEqual(self.entries(50.0 + LAPSED_ENTRY_RETENTION - 0.1), ["a", "b"])
        self.assertEqual(self.entries(50.0 + LAPSED_ENTRY_RETENTION), ["b"])

    def test_an_entry_removed_while_only_this_node_is_cut_off_is_dropped(self):
        self.read("a", "b")
        self.directory.store_lost()
        for half_second in range(100):
            self.shared.record(half_second / 2 - 1.0, half_second / 2)
        self.directory.store_back(50.0)
        self.assertEqual(self.read("b", now=50.1), [])
        self.assertEqual(self.entries(50.1), ["b"])

    def test_other_nodes_tell_when_the_store_recovered(self):
        self.read("a", "b")
        self.unavailable_to_all(50.0)
        self.directory.store_lost()
        self.directory.store_back(51.0)
        self.assertEqual(self.read("b", now=51.0), ["a"])
        self.assertEqual(self.entries(50.0 + LAPSED_ENTRY_RETENTION), ["b"])

    def test_all_entries_may_lapse(self):
        self.read("a", "b")
        self.unavailable_to_all(50.0)
        self.assertEqual(self.read(now=50.1), ["a", "b"])
        self.assertEqual(self.entries(50.2), ["a", "b"])
        self.directory.observe([("a", "a")], False, 51.0)
        self.assertEqual(self.entries(51.0), ["a", "b"])
        self.assertEqual(self.entries(50.0 + LAPSED_ENTRY_RETENTION), ["a"])

    def test_entries_removed_after_the_reregistration_time_are_dropped_at_once(self):
        self.read("a", "b")
        self.unavailable_to_all(50.0)
        later = 50.0 + REREGISTRATION_TIME + 0.1
        self.assertEqual(self.directory.observe([("a", None)], False, later), [])
        self.assertEqual(self.entries(later), ["b"])

    def test_an_entry_that_is_kept_is_used_no_longer_than_the_shortest_drain(self):
        self.assertLess(LAPSED_ENTRY_RETENTION, 2.0)

    def test_it_is_unsettled_until_read_and_around_an_outage(self):
        self.assertTrue(self.directory.unsettled(0.0))
        self.read("a", now=3.0)
        self.assertTrue(self.directory.unsettled(3.0 + REREGISTRATION_TIME - 0.1))
        self.assertFalse(self.directory.unsettled(3.0 + REREGISTRATION_TIME))
        self.read("a", now=4.0)
        self.assertFalse(self.directory.unsettled(6.0))
        self.directory.store_lost()
        self.assertTrue(self.directory.unsettled(9.0))
        self.directory.store_back(10.0)
        self.assertTrue(self.directory.unsettled(10.0 + REREGISTRATION_TIME - 0.1))
        self.assertFalse(self.directory.unsettled(10.0 + REREGISTRATION_TIME))

    def test_a_first_read_keeps_nothing(self):
        self.directory.store_back(0.0)
        self.assertEqual(self.read("a", now=0.1), [])
        self.assertEqual(self.entries(0.1), ["a"])


class SharedFreshnessTest(unittest.TestCase):
    def test_the_store_is_unavailable_when_no_node_learns_anything_new(self):
        shared = SharedFreshness(0.0)
        for now in (0.5, 1.0, 1.5):
            shared.record(now - 0.4, now)
        for now in (2.0, 2.5, 3.0):
            shared.record(1.1, now)
            self.assertFalse(shared.unavailable)
        shared.record(1.1, 1.1 + UNAVAILABLE_AFTER)
        self.assertTrue(shared.unavailable)
        shared.record(3.5, 3.6)
        self.assertFalse(shared.unavailable)
        self.assertEqual(shared.returned_at, 3.5)

    def test_one_node_that_reads_it_is_enough(self):
        shared = SharedFreshness(0.0)
        for tenth in range(100):
            now = tenth / 10
            shared.record(0.0, now)
            shared.record(now - 1.2, now)
        self.assertFalse(shared.unavailable)
        self.assertEqual(shared.returned_at, float("-inf"))

    def test_a_suspended_node_assumes_no_outage(self):
        shared = SharedFreshness(0.0)
        shared.record(0.0, 0.1)
        shared.update(4.6)
        self.assertFalse(shared.unavailable)

    def test_a_node_that_stands_still_for_less_than_a_read_assumes_no_outage(self):
        for tenths in range(1, 20):
            with self.subTest(stall=tenths / 10):
                shared = SharedFreshness(0.0)
                for now in (0.5, 1.0, 1.4):
                    shared.update(now)
                shared.update(1.4 + UPDATE_INTERVAL + tenths / 10)
                self.assertFalse(shared.unavailable)

    def test_updates_that_are_a_little_late_hide_no_outage(self):
        shared = SharedFreshness(0.0)
        for number in range(1, 7):
            shared.update(number * (UPDATE_INTERVAL + 0.02))
        self.assertTrue(shared.unavailable)

    def test_it_never_goes_back(self):
        shared = SharedFreshness(0.0)
        shared.record(1.0, 1.0)
        shared.record(0.5, 1.1)
        shared.update(1.0 + UNAVAILABLE_AFTER - 0.7)
        shared.update(1.0 + UNAVAILABLE_AFTER - 0.1)
        self.assertFalse(shared.unavailable)


if __name__ == "__main__":
    unittest.main()
