"""Tests of log output: it never blocks, its rate is limited, and dropped lines are counted."""

import json
import os
import unittest

import structlog

from postvalve.events import BoundedEventLog, Event, configure_logging
from postvalve.log_output import MAX_BUFFERED_BYTES, LineBudget, NonBlockingLineWriter


class LineBudgetTest(unittest.TestCase):
    def test_lines_beyond_the_rate_are_counted(self):
        now = [0.0]
        budget = LineBudget(lambda: now[0], rate=2.0, burst=3.0)
        self.assertEqual([budget.take() for _ in range(4)], [True, True, True, False])
        now[0] = 1.0
        self.assertEqual([budget.take() for _ in range(3)], [True, True, False])
        self.assertEqual(budget.rejected, 2)


class PipeCase(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.lines = NonBlockingLineWriter(writer)


class NonBlockingLineWriterTest(PipeCase):
    def test_slow_reader_does_not_block_writes(self):
        line = "x" * 999 + "\n"
        for _ in range(2000):
            self.lines.write(line)
            self.lines.flush()
        self.assertGreater(self.lines.dropped, 1000)
        os.set_blocking(self.reader, False)
        read = 0
        while True:
            try:
                read += len(os.read(self.reader, 1 << 20))
            except BlockingIOError:
                break
            self.lines.flush()
        self.assertEqual(read, (2000 - self.lines.dropped) * 1000)
        self.assertGreater(read, MAX_BUFFERED_BYTES - 1000)


class BoundedEventLogTest(PipeCase):
    def setUp(self):
        super().setUp()
        configure_logging("info", self.lines)
        self.addCleanup(structlog.reset_defaults)

    def test_failures_are_always_written_and_dropped_lines_counted(self):
        log = BoundedEventLog("n", "z", self.lines, LineBudget(lambda: 0.0, rate=0.0, burst=1.0))
        for _ in range(3):
            log.emit(Event.NODE_STARTED)
        log.emit(Event.ROUTED_REQUEST_FAILED, request="r")
        written = [json.loads(line) for line in os.read(self.reader, 65536).splitlines()]
        self.assertEqual([line["number"] for line in written], [100, 213])
        self.assertEqual(written[1]["left_out"], 2)
        self.assertEqual(log.dropped, 2)


if __name__ == "__main__":
    unittest.main()
