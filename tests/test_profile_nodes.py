"""The profiler counts the processor time of nodes, and excludes that of engines and clients."""

import contextlib
import io
import time
import unittest
from unittest import mock

from tests import profile_nodes
from tests.profile_nodes import Samples


class ProfileTest(unittest.TestCase):
    def test_a_short_profile_prints_each_cost(self):
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            mock.patch.object(profile_nodes, "SETTLE_SECONDS", 0.5),
        ):
            profile_nodes.profile(nodes=2, engines=2, zones=2, seconds=1.0, rate=20.0)
        printed = output.getvalue()
        for name in ("idle: ", "per event of a response: ", "per request without its events: "):
            self.assertIn(name, printed)
        self.assertIn("requests, ", printed)

    def test_time_of_test_code_is_excluded(self):
        with Samples() as samples:
            deadline = time.process_time() + 0.1
            while time.process_time() < deadline:
                pass
        self.assertEqual(sum(samples.parts.values()), 0)
        self.assertGreater(samples.excluded, 10)
        self.assertEqual(samples.seconds, 0.0)

    def test_invalid_numbers_are_rejected(self):
        for arguments in (["--nodes", "0"], ["--zones", "0"], ["--seconds", "0"], ["--rate", "-1"]):
            with (
                mock.patch("sys.argv", ["profile_nodes", *arguments]),
                contextlib.redirect_stderr(io.StringIO()),
                self.assertRaises(SystemExit),
            ):
                profile_nodes.main()
