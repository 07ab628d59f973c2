"""Operators' limits on the size of bodies and of headers."""

import unittest

from postvalve.gateway.serving.http_calls import HttpCall
from tests.gateway_support import STREAM_PATH, GatewayFleet

LIMITS = {"maxHeaderBytes": 600, "maxBodyBytes": 1_000}


class ClientLimitTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=1, limits=LIMITS)
        self.addCleanup(self.fleet.stop)

    def send(self, body=b"", header=""):
        headers = [("X-One", header)] if header else ()
        return self.fleet.request("n0", STREAM_PATH + "x", headers=headers, body=body)

    def test_requests_within_the_limits_are_served(self):
        self.assertEqual(self.send(b"b" * 1_000, "h" * 400).status, 200)

    def test_larger_requests_are_refused_and_reach_no_engine(self):
        for status, sent in ((413, {"body": b"b" * 1_001}), (431, {"header": "h" * 600})):
            answer = self.send(**sent)
            self.assertEqual(answer.status, status)
            self.assertEqual(answer.document["error"]["verdict"], "not_run")
        (engine,) = self.fleet.engines
        self.assertEqual(engine.runs, [])

    def test_long_target_does_not_count_as_header(self):
        answer = self.fleet.request("n0", STREAM_PATH + "x" * 500, headers=[("X-One", "h" * 300)])
        self.assertEqual(answer.status, 200)


class HeaderBytesTest(unittest.TestCase):
    def test_header_size_is_never_overestimated(self):
        """Whitespace around values may be absent, and lines may end with a newline only."""
        headers = [("Host", "h"), ("X-One", ""), ("X-Two", "\xe9")]
        call = HttpCall("GET", "/" + "x" * 500, "h", headers, b"")
        self.assertEqual(call.header_bytes, len("Host:h\nX-One:\nX-Two:\xe9\n".encode("latin-1")))


if __name__ == "__main__":
    unittest.main()
