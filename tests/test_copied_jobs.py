"""Copies of an accepted job meet no limit of waiting tokens.

A copy got 429, "none of it runs", where its node had not read the acceptance yet: the limit came
before the look at the jobs.
"""

import unittest

import gevent
from gevent.event import Event as GeventEvent

from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.exceptions import RateLimitedError, RefusedError
from postvalve.gateway.jobs.job_log import JOB_TOPIC
from tests.test_job_acceptance import TOKENS, LateClock, job_service, submission


class CopiedJobTest(unittest.TestCase):
    """A copy of an accepted job is accepted, however many tokens wait."""

    def setUp(self):
        self.topics, self.clock = MemoryTopics(), LateClock()
        self.service, self.log = job_service("n0", self.topics, self.clock)

    def test_at_a_node_that_has_not_read_the_jobs_yet(self):
        self.service.submit(submission("j", TOKENS))
        other, _ = job_service("n1", self.topics, self.clock)
        other.submit(submission("j", TOKENS))

    def test_at_a_node_whose_board_is_behind(self):
        other, _ = job_service("n1", self.topics, self.clock)
        other.submit(submission("before", TOKENS))
        self.log.follower.catch_up()
        self.service.end("before")
        self.service.submit(submission("j", TOKENS))
        other.submit(submission("j", TOKENS))

    def test_at_the_same_node_while_the_first_is_under_way(self):
        original, held = self.topics.append, GeventEvent()

        def append(topic, part, records, at=None):
            if topic == JOB_TOPIC:
                held.wait(5.0)
            return original(topic, part, records, at)

        self.topics.append = append
        first = gevent.spawn(self.service.submit, submission("j", TOKENS))
        gevent.sleep(0.01)
        second = gevent.spawn(self.service.submit, submission("j", TOKENS))
        gevent.sleep(0.01)
        held.set()
        gevent.joinall((first, second), timeout=5.0, raise_error=True)

    def test_a_job_beyond_the_limit_is_refused_only_by_a_board_that_was_read(self):
        self.service.submit(submission("j", TOKENS))
        with self.assertRaises(RateLimitedError):
            self.service.submit(submission("k", TOKENS))
        self.topics.down = True
        with self.assertRaises(RefusedError) as caught:
            self.service.submit(submission("k", TOKENS))
        self.assertNotIsInstance(caught.exception, RateLimitedError)
