"""Answers whose attempt is ended while it is found out whether their engine has crashed.

A batch item would be listed as completed with a part of its text: its engine crashed between two
events of an answer without a frame, and the item was preempted while its node asked whether the
engine still listens. A preempted item doesn't count its engine as usable, so that the end was taken
for a whole one.
"""

import unittest
from unittest import mock

from postvalve.clock import SystemClock
from postvalve.exceptions import AttemptError
from postvalve.gateway.engines.engine_answer import EngineAnswer
from postvalve.gateway.interfaces import AnswerLimits
from tests.stand_in_engine import event_bytes

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: i\r\nContent-Type: text/event-stream\r\n\r\n"


class AbortedAnswerTest(unittest.TestCase):
    def answer(self, is_listening, *parts):
        """Return an answer without a frame; each receive gets one of the parts, then the end."""
        connection = mock.Mock(**{"recv.side_effect": [*parts, b""]})
        pool = mock.Mock(clock=SystemClock(), limits=AnswerLimits())
        pool.is_listening.side_effect = is_listening
        deadline = SystemClock().monotonic() + 60.0
        self.is_usable = True
        return EngineAnswer(pool, "a", "i", connection, deadline, lambda: self.is_usable)

    def read(self, answer):
        answer.read_head(1.0)
        events = []
        while event := answer.read_event(1.0):
            events.append(event)
        return events

    def test_its_end_is_no_whole_end_if_the_attempt_ends_meanwhile(self):
        def is_listening(address, deadline):
            self.is_usable = False
            answer.abort()
            return False

        answer = self.answer(is_listening, HEAD + event_bytes("i", 1))
        with self.assertRaises(AttemptError):
            self.read(answer)

    def test_nor_if_the_attempt_was_ended_before(self):
        answer = self.answer(lambda address, deadline: False, HEAD + event_bytes("i", 1))
        answer.read_head(1.0)
        answer.read_event(1.0)
        answer._receive(SystemClock().monotonic() + 1.0)
        self.is_usable = False
        answer.abort()
        with self.assertRaises(AttemptError):
            answer.read_event(1.0)

    def test_an_engine_that_has_announced_its_end_may_exit_after_its_answer(self):
        answer = self.answer(lambda address, deadline: False, HEAD + event_bytes("i", 1))
        self.is_usable = False
        self.assertEqual(self.read(answer), [event_bytes("i", 1)])
