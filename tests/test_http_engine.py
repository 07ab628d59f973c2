"""Tests of the engine's HTTP client: it accepts only the answer to its own attempt."""

import unittest

from gevent.pywsgi import WSGIServer

from postvalve.exceptions import CrossedAnswerError, Verdict
from postvalve.services.engine import ATTEMPT_HEADER, EngineAttempt, HttpEngine


class AnswerTest(unittest.TestCase):
    def setUp(self):
        self.attempt_id = ""
        self.server = WSGIServer(("127.0.0.1", 0), self.answer, log=None, error_log=None)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.engine = HttpEngine(f"127.0.0.1:{self.server.server_port}")

    def answer(self, environ, start_response):
        start_response("200 OK", [(ATTEMPT_HEADER, self.attempt_id), ("Content-Length", "2")])
        return [b"{}"]

    def open(self, batch):
        return self.engine.open(EngineAttempt("mine", "r1", b"{}", 0, ""), batch=batch)

    def test_the_answer_to_its_own_attempt_is_accepted(self):
        self.attempt_id = "mine"
        for batch in (False, True):
            self.open(batch).close()

    def test_the_answer_to_another_attempt_is_dropped(self):
        self.attempt_id = "other"
        for batch in (False, True):
            with self.assertRaises(CrossedAnswerError) as caught:
                self.open(batch)
            self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)


if __name__ == "__main__":
    unittest.main()
