"""What an attempt of an item shows of its engine's pace."""

import unittest
from unittest import mock

from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.exceptions import AttemptError, Verdict
from postvalve.gateway.jobs.item_attempts import ItemAttempts
from postvalve.gateway.jobs.running_item import RunningItem


class GivingWayTest(unittest.TestCase):
    def setUp(self):
        self.item = RunningItem("j", 0, "c", 50, running=True, guard=mock.Mock())
        self.fleet = mock.Mock()
        self.pool = mock.Mock()
        clock = mock.Mock(**{"monotonic.return_value": 100.0})
        rest = [mock.MagicMock() for _ in range(4)]
        ends = [mock.MagicMock() for _ in range(5)]
        self.attempts = ItemAttempts(clock, *rest[:3], self.fleet, self.pool, rest[3], *ends)

    def test_one_that_gives_way_before_it_is_sent_shows_nothing(self):
        """What its former attempt showed is of another engine, and was noted."""
        self.item.times = AttemptTimes(1.0)
        for number in range(10):
            self.item.times.note_event(1.0 + number)

        def give_way(*args, **kwargs):
            self.item.preempted = True
            raise AttemptError("the connection was given up", Verdict.NOT_RUN)

        self.pool.start.side_effect = give_way
        self.attempts.run(self.item, mock.MagicMock())
        self.assertTrue(self.pool.start.called)
        for call in self.fleet.paces.note_end.call_args_list:
            self.assertEqual(call.args[1].mean_pause, 0.0)


if __name__ == "__main__":
    unittest.main()
