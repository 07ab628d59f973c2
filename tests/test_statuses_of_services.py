"""Answers of the store, the log and own engines with a status that HTTP doesn't have."""

import unittest

from postvalve.clock import SystemClock
from postvalve.exceptions import AttemptError, LogUnavailableError, Verdict
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.platform.store import PlatformStore
from postvalve.services.engine import ATTEMPT_HEADER, EngineAttempt, HttpEngine
from postvalve.services.log import HttpLog
from tests.cutting_server import CuttingServer
from tests.test_invalid_statuses import INVALID

BODY = b'{"offset": 5, "end": 6, "records": []}'
FIELDS = f"{ATTEMPT_HEADER}: mine\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
SOUND = b"HTTP/1.1 200 OK\r\n" + FIELDS + BODY


def answer(status, then=b""):
    return f"HTTP/1.1 {status} odd\r\n".encode() + FIELDS + BODY + then


class ServiceStatusTest(unittest.TestCase):
    def setUp(self):
        self.server = CuttingServer()
        self.addCleanup(self.server.stop)

    def check(self, call, error):
        """Check that no odd answer is taken, alone or with a sound one behind it."""
        taken = []
        for status in INVALID:
            for then in (b"", SOUND):
                self.server.answer = answer(status, then)
                try:
                    call()
                except error as exc:
                    self.assertIs(exc.verdict, Verdict.MAY_HAVE_RUN, status)
                else:
                    taken.append((status, "with another" if then else "alone"))
        self.assertEqual(taken, [])

    def test_appends_to_the_store_are_not_taken_for_done_or_undone(self):
        store = PlatformStore(self.server.address, SystemClock())
        self.server.answer = SOUND
        self.assertEqual(store.append("t", 0, [KeyedRecord("k", b"v")]), 5)
        self.check(lambda: store.append("t", 0, [KeyedRecord("k", b"v")]), StoreUnavailableError)

    def test_appends_to_the_log_are_not_taken_for_done_or_undone(self):
        log = HttpLog(f"http://{self.server.address}", "z")
        self.server.answer = SOUND
        self.assertEqual(log.append("s", b"v"), 5)
        self.check(lambda: log.append("s", b"v"), LogUnavailableError)

    def test_own_engines_have_not_answered(self):
        engine = HttpEngine(self.server.address)
        attempt = EngineAttempt("mine", "r1", b"{}", 0, "")
        self.server.answer = SOUND
        engine.open(attempt, batch=False).close()
        self.check(lambda: engine.open(attempt, batch=False), AttemptError)
