"""The profile of nodes counts what nodes do, and not what engines and clients do."""

import contextlib
import io
import time
import unittest
from unittest import mock

from tests import profile_nodes
from tests.profile_nodes import Samples


class ProfileTest(unittest.TestCase):
    def test_a_short_profile_tells_each_cost(self):
        out = io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            mock.patch.object(profile_nodes, "SETTLE_SECONDS", 0.5),
        ):
            profile_nodes.profile(nodes=2, engines=2, zones=2, seconds=1.0, rate=20.0)
        told = out.getvalue()
        for name in ("at rest", "an event of an answer", "a request without its events"):
            self.assertIn(name, told)
        self.assertIn("requests ", told)

    def test_time_of_tests_is_none_of_theirs(self):
        with Samples() as samples:
            deadline = time.process_time() + 0.1
            while time.process_time() < deadline:
                pass
        self.assertEqual(sum(samples.parts.values()), 0)
        self.assertGreater(samples.excluded, 10)
        self.assertEqual(samples.seconds, 0.0)

    def test_numbers_that_make_no_sense_are_refused(self):
        for arguments in (["--nodes", "0"], ["--zones", "0"], ["--seconds", "0"], ["--rate", "-1"]):
            with (
                mock.patch("sys.argv", ["profile_nodes", *arguments]),
                contextlib.redirect_stderr(io.StringIO()),
                self.assertRaises(SystemExit),
            ):
                profile_nodes.main()
