"""Engines in trouble that answer with a status which HTTP doesn't have, or that allows no body.

A client got 600 and 999 as they came. A 204 with a body, as JSON, ended in an exception that nobody
caught, and a 000 was read on as if the answer were still to come.
"""

import time
import unittest

from postvalve.events import Event
from tests.gateway_support import ONCE_PATH, STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour, event_bytes
from tests.test_gateway_jobs import JobCase
from tests.waiting import wait_until

INVALID = ("000", "0", "099", "12", "101", "600", "999", "2000", "-1", "abc", "+200", "2_0_0", "")
STREAM_TYPE = "text/event-stream"


def answer(status, content_type, request_id, first):
    """Build a whole answer with a status line of its own."""
    events = b"".join(event_bytes(request_id, number) for number in range(first, 4))
    body = events if content_type == STREAM_TYPE else b'{"id": "%s"}' % request_id.encode()
    head = (
        f"HTTP/1.1 {status} odd\r\nRequest-Id: {request_id}\r\nResponse-Seal: odd-seal\r\n"
        f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def odd(status, content_type=STREAM_TYPE, then=b""):
    return Behaviour(
        raw=lambda request_id, first: answer(status, content_type, request_id, first) + then
    )


class InvalidStatusTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=2, maxAttempts=2)
        self.addCleanup(self.fleet.stop)

    def ask(self, path, behaviours):
        for engine in self.fleet.engines:
            engine.next_behaviours = behaviours
        started = time.monotonic()
        found = self.fleet.request("n0", path)
        self.assertLess(time.monotonic() - started, 1.5)
        return found

    def assert_own_failure(self, found):
        self.assertEqual(found.status, 502)
        self.assertNotIn("response-seal", found.headers)
        self.assertEqual(found.document["error"]["verdict"], "may_have_run")
        self.assertFalse(self.fleet.events("n0", Event.REQUEST_ERROR))

    def test_a_request_that_may_be_repeated_goes_on_elsewhere(self):
        for status in INVALID:
            for content_type in (STREAM_TYPE, "application/json"):
                with self.subTest(status=status, content_type=content_type):
                    plan = [odd(status, content_type), Behaviour()]
                    found = self.ask(STREAM_PATH, plan)
                    self.assertEqual((found.status, found.whole), (200, True))
                    self.assertNotEqual(found.headers["response-seal"], "odd-seal")

    def test_any_other_one_ends_as_a_failure_of_our_own(self):
        for status in INVALID:
            for content_type in (STREAM_TYPE, "application/json"):
                with self.subTest(status=status, content_type=content_type):
                    self.assert_own_failure(self.ask(ONCE_PATH, [odd(status, content_type)]))

    def test_what_follows_an_invalid_status_is_no_answer(self):
        for status in ("000", "099", "12"):
            with self.subTest(status=status):
                then = answer("200", STREAM_TYPE, "r1", 1)
                self.assert_own_failure(self.ask(ONCE_PATH, [odd(status, then=then)]))

    def test_bytes_behind_a_status_that_allows_no_body_are_left_out(self):
        for status in (204, 304):
            for content_type in (STREAM_TYPE, "application/json"):
                with self.subTest(status=status, content_type=content_type):
                    found = self.ask(ONCE_PATH, [odd(str(status), content_type)])
                    self.assertEqual((found.status, found.body), (status, b""))
                    self.assertEqual(found.headers["response-seal"], "odd-seal")
                    self.assertNotIn("content-length", found.headers)

    def test_an_answer_without_a_body_passes(self):
        head = b"HTTP/1.1 204 -\r\nRequest-Id: r1\r\nResponse-Seal: whole\r\n\r\n"
        for path in (STREAM_PATH, ONCE_PATH):
            found = self.ask(path, [Behaviour(raw=lambda request_id, first: head)])
            self.assertEqual((found.status, found.headers["response-seal"]), (204, "whole"))

    def test_the_engine_serves_on(self):
        for status in INVALID:
            self.ask(STREAM_PATH, [odd(status), Behaviour()])
        for number in range(4):
            self.assertEqual(self.ask(STREAM_PATH, []).status, 200, number)


class InvalidItemTest(JobCase):
    nodes = 1

    def test_items_go_on_elsewhere(self):
        for engine in self.fleet.engines:
            engine.next_behaviours = [odd(status) for status in ("000", "600", "999", "204")]
        self.submit("n0", "j", items=2)
        results = self.results("n0", "j", 2)
        self.assertEqual({one["state"] for one in results}, {"completed"})
        for one in results:
            self.assertEqual(len(one["text"].splitlines()), 3)
        wait_until(lambda: not any(engine.running for engine in self.fleet.engines))
