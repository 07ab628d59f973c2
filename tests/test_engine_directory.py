"""The engines' directory over outages of the store."""

import unittest

from postvalve.core.membership.engine_directory import KEEP_TIME, RETURN_TIME, EngineDirectory


class EngineDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = EngineDirectory()

    def read(self, *names, now=0.0):
        return self.directory.observe([(name, name) for name in names], True, now)

    def entries(self, now):
        return sorted(self.directory.entries(now))

    def test_entries_that_go_while_the_store_answers_are_gone(self):
        self.read("a", "b")
        self.assertEqual(self.directory.observe([("a", None)], False, 100.0), [])
        self.assertEqual(self.entries(100.0), ["b"])
        self.assertEqual(self.read("a", now=101.0), [])
        self.assertEqual(self.entries(101.0), ["a"])

    def test_entries_that_lapsed_with_the_store_are_kept_until_they_must_be_back(self):
        self.read("a", "b")
        self.directory.store_lost()
        self.directory.store_back(50.0)
        self.assertEqual(self.read("b", now=50.1), ["a"])
        self.assertEqual(self.entries(50.1 + KEEP_TIME - 0.1), ["a", "b"])
        self.assertEqual(self.entries(50.1 + KEEP_TIME), ["b"])

    def test_all_entries_may_lapse(self):
        self.read("a", "b")
        self.directory.store_lost()
        self.directory.store_back(50.0)
        self.assertEqual(self.read(now=50.1), ["a", "b"])
        self.assertEqual(self.entries(50.2), ["a", "b"])
        self.directory.observe([("a", "a")], False, 51.0)
        self.assertEqual(self.entries(51.0), ["a", "b"])
        self.assertEqual(self.entries(50.1 + KEEP_TIME), ["a"])

    def test_what_goes_later_than_entries_come_back_is_gone_at_once(self):
        self.read("a", "b")
        self.directory.store_lost()
        self.directory.store_back(50.0)
        later = 50.0 + RETURN_TIME + 0.1
        self.assertEqual(self.directory.observe([("a", None)], False, later), [])
        self.assertEqual(self.entries(later), ["b"])

    def test_an_entry_that_is_kept_is_used_no_longer_than_the_shortest_drain(self):
        self.assertLess(KEEP_TIME, 2.0)

    def test_it_is_unsettled_until_read_and_around_an_outage(self):
        self.assertTrue(self.directory.unsettled(0.0))
        self.read("a", now=3.0)
        self.assertTrue(self.directory.unsettled(3.0 + RETURN_TIME - 0.1))
        self.assertFalse(self.directory.unsettled(3.0 + RETURN_TIME))
        self.read("a", now=4.0)
        self.assertFalse(self.directory.unsettled(6.0))
        self.directory.store_lost()
        self.assertTrue(self.directory.unsettled(9.0))
        self.directory.store_back(10.0)
        self.assertTrue(self.directory.unsettled(10.0 + RETURN_TIME - 0.1))
        self.assertFalse(self.directory.unsettled(10.0 + RETURN_TIME))

    def test_a_first_read_keeps_nothing(self):
        self.directory.store_back(0.0)
        self.assertEqual(self.read("a", now=0.1), [])
        self.assertEqual(self.entries(0.1), ["a"])


if __name__ == "__main__":
    unittest.main()
