"""Exit code of a run of all tests: failures not listed in KNOWN-RED.txt fail it."""

import unittest

from scripts.run_tests import exit_code, is_run


class ExitCodeTest(unittest.TestCase):
    def test_unlisted_failures_fail_the_run(self):
        self.assertEqual(exit_code(frozenset(), [], 5), 0)
        self.assertEqual(exit_code(frozenset({"a"}), [], 5), 1)
        self.assertEqual(exit_code(frozenset({"a", "b"}), ["a"], 5), 1)

    def test_listed_tests_never_fail_the_run(self):
        self.assertEqual(exit_code(frozenset({"a"}), ["a"], 5), 0)
        self.assertEqual(exit_code(frozenset(), ["a"], 5), 0)

    def test_a_run_without_tests_fails(self):
        self.assertEqual(exit_code(frozenset(), [], 0), 1)


class ListedTest(unittest.TestCase):
    """Entries that are run by hand were told as passed."""

    def test_what_no_module_runs_has_not_passed(self):
        modules = ["tests.test_soak", "tests.test_limits"]
        self.assertTrue(is_run("tests.test_soak.RunTest.test_it", modules))
        self.assertFalse(is_run("tests.soak requests are served", modules))
        self.assertFalse(is_run("review", modules))


if __name__ == "__main__":
    unittest.main()
