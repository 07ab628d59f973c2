"""A machine that is suspended for some seconds.

The steady clock that a process usually reads stands still meanwhile, so a node that wakes up takes
what it knew before for fresh: engines that have left since, a lease that others took over, a
configuration that was replaced. Ages must come from the clock that counts the suspension.
"""

import time
import unittest
from unittest import mock

from postvalve.clock import SystemClock


class SystemClockTest(unittest.TestCase):
    def test_a_suspension_counts(self):
        clock = SystemClock()
        before = clock.monotonic()
        running = time.clock_gettime

        def after_suspension(which):
            return running(which) + (5.0 if which == time.CLOCK_BOOTTIME else 0.0)

        with mock.patch("time.clock_gettime", after_suspension):
            self.assertGreaterEqual(clock.monotonic() - before, 5.0)
