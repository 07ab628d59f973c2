"""Requests that arrive slowly: answered in time, run by no engine, and held within the budget."""

import contextlib
import json
import time
import unittest

import gevent

from postvalve.events import Event
from tests.answers import parse_answer, read_answer
from tests.gateway_support import BATCH_PATH, HOST, ONCE_PATH, STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until

PATIENCE_MS = 400
"""Milliseconds that headers may take, and that a body may fall behind the minimum rate."""
LARGEST = 1_000_000


class BodyCase(unittest.TestCase):
    patience_ms = PATIENCE_MS

    def setUp(self):
        limits = {"headerTimeoutMs": self.patience_ms, "maxBodyBytes": LARGEST}
        self.fleet = GatewayFleet(nodes=1, engines=1, limits=limits)
        self.addCleanup(self.fleet.stop)
        self.node = self.fleet.nodes["n0"]
        self.engine = self.fleet.engines[0]

    def begin(self, *headers, path=ONCE_PATH, keep=False):
        """Send the headers of a request; returns the connection."""
        connection = self.fleet.connect("n0")
        self.addCleanup(connection.close)
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", "Request-Id: r1", *headers]
        lines += [] if keep else ["Connection: close"]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        return connection

    def events(self, event):
        return self.fleet.events("n0", event)

    def assert_rejected_as_slow(self, connection, within=2.0):
        started = time.monotonic()
        answer = read_answer(connection)
        self.assertLess(time.monotonic() - started, within)
        self.assertEqual((answer.status, answer.headers["connection"]), (408, "close"))
        self.assertEqual(self.engine.runs, [])
        wait_until(lambda: not self.node.application.in_progress)
        self.assertEqual(self.node.slow_clients.budget.held, 0)
        return answer


class SlowBodyTest(BodyCase):
    def test_stalled_body_gets_408(self):
        connection = self.begin("Content-Length: 1000")
        connection.sendall(b"some")
        answer = self.assert_rejected_as_slow(connection)
        self.assertEqual(answer.document["error"]["verdict"], "not_run")
        self.assertEqual(answer.document["error"]["code"], "body_too_slow")
        (told,) = self.events(Event.BODY_TOO_SLOW)
        self.assertEqual((told["request"], told["size"]), ("r1", 4))

    def test_trickling_body_gets_408(self):
        for headers in (
            ("Content-Length: 1000",),
            ("Transfer-Encoding: chunked",),
            ("Content-Length: 1000", "Expect: 100-continue"),
        ):
            with self.subTest(headers):
                connection = self.begin(*headers)
                trickle = gevent.spawn(self._trickle, connection, headers)
                started = time.monotonic()
                wait_until(lambda: self.node.application.in_progress)
                wait_until(lambda: not self.node.application.in_progress, 3.0)
                self.assertGreater(time.monotonic() - started, PATIENCE_MS / 2000)
                trickle.kill()
                data = read_answer_head(connection)
                self.assertIn(b" 408 ", data)
        self.assertEqual(self.engine.runs, [])

    @staticmethod
    def _trickle(connection, headers):
        piece = b"1\r\nx\r\n" if "chunked" in headers[0] else b"x"
        with contextlib.suppress(OSError):
            while True:
                connection.sendall(piece)
                gevent.sleep(0.05)

    def test_trickling_job_gets_408(self):
        connection = self.begin("Content-Length: 1000", path=BATCH_PATH)
        self.assert_rejected_as_slow(connection)

    def test_body_above_the_minimum_rate_is_served(self):
        connection = self.begin("Content-Length: 8000")
        for _ in range(8):
            connection.sendall(b"x" * 1_000)
            gevent.sleep(0.1)
        self.assertEqual(read_answer(connection).status, 200)
        self.assertEqual(self.engine.bodies["r1"], b"x" * 8_000)
        self.assertEqual(self.node.slow_clients.budget.held, 0)

    def test_large_bodies_pass_unchanged(self):
        body = bytes(number % 251 for number in range(LARGEST))
        connection = self.begin(f"Content-Length: {len(body)}")
        connection.sendall(body)
        self.assertEqual(read_answer(connection).status, 200)
        self.assertEqual(self.engine.bodies["r1"], body)

    def test_chunked_and_awaited_bodies_pass_unchanged(self):
        connection = self.begin("Transfer-Encoding: chunked")
        connection.sendall(b"5\r\nfirst\r\n")
        gevent.sleep(0.05)
        connection.sendall(b"6\r\nsecond\r\n0\r\n\r\n")
        self.assertEqual(read_answer(connection).status, 200)
        self.assertEqual(self.engine.bodies["r1"], b"firstsecond")
        connection = self.begin("Expect: 100-continue", "Content-Length: 5")
        self.assertIn(b"100 Continue", connection.recv(100))
        connection.sendall(b"third")
        self.assertEqual(read_answer(connection).status, 200)
        self.assertEqual(self.engine.bodies["r1"], b"third")

    def test_requests_one_after_the_other(self):
        connection = self.begin("Content-Length: 50000", keep=True)
        connection.sendall(b"a" * 20_000)
        gevent.sleep(0.05)
        second = f"POST {STREAM_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r2\r\n"
        second += "Connection: close\r\nContent-Length: 3\r\n\r\n"
        self.engine.next_behaviours = [Behaviour(events=2), Behaviour(events=1)]
        connection.sendall(b"a" * 30_000 + second.encode() + b"abc")
        data = b""
        while part := connection.recv(65_536):
            data += part
        self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(self.engine.bodies, {"r1": b"a" * 50_000, "r2": b"abc"})

    def test_a_chunked_body_is_not_read_beyond_the_limit(self):
        connection = self.begin("Transfer-Encoding: chunked")
        chunk = f"{LARGEST // 2:x}\r\n".encode() + b"x" * (LARGEST // 2) + b"\r\n"
        connection.sendall(chunk * 3)
        answer = parse_answer(read_answer_head(connection))
        self.assertEqual(answer.status, 413)


class BodyBudgetTest(BodyCase):
    """Of several bodies that arrive at once, those that keep up are never given up for others."""

    patience_ms = 3_000
    """Longer than a body may lag before it counts as held memory."""

    def test_bodies_that_keep_up_are_read_beyond_the_budget(self):
        budget = self.node.slow_clients.budget
        budget.limit = 5_000
        for framing in ("Content-Length: 6000", "Transfer-Encoding: chunked"):
            with self.subTest(framing):
                chunked = "chunked" in framing
                connections = [self.begin(framing) for _ in range(3)]
                for _ in range(3):
                    for connection in connections:
                        connection.sendall(b"7d0\r\n" * chunked + b"x" * 2_000 + b"\r\n" * chunked)
                    gevent.sleep(0.02)
                for connection in connections:
                    connection.sendall(b"0\r\n\r\n" * chunked)
                answers = [read_answer(connection).status for connection in connections]
                self.assertEqual(answers, [200] * 3)
                self.assertEqual(self.engine.bodies["r1"], b"x" * 6_000)
        self.assertEqual(self.events(Event.SLOW_CLIENT_CUT), [])

    def test_suspended_node_counts_no_body_as_lagging(self):
        budget = self.node.slow_clients.budget
        budget.limit = 5_000
        connections = [self.begin("Content-Length: 6000") for _ in range(3)]
        for connection in connections:
            connection.sendall(b"x" * 3_000)
        gevent.sleep(0.1)
        for connection in connections:
            connection.sendall(b"x" * 2_000)
        time.sleep(1.0)
        gevent.sleep(0.02)
        for connection in connections:
            connection.sendall(b"x" * 1_000)
        self.assertEqual([read_answer(connection).status for connection in connections], [200] * 3)
        self.assertEqual(self.events(Event.SLOW_CLIENT_CUT), [])

    def test_busy_node_counts_no_body_as_lagging(self):
        budget = self.node.slow_clients.budget
        budget.limit = 5_000
        connections = [self.begin("Content-Length: 6000") for _ in range(3)]
        gevent.sleep(0.02)
        for _ in range(15):
            for connection in connections:
                connection.sendall(b"x" * 400)
            # The process does nothing else meanwhile, as if other requests took all its time.
            time.sleep(0.06)
            gevent.sleep(0.001)
        self.assertEqual([read_answer(connection).status for connection in connections], [200] * 3)
        self.assertEqual(self.events(Event.SLOW_CLIENT_CUT), [])

    def test_lagging_body_is_given_up_before_those_that_keep_up(self):
        budget = self.node.slow_clients.budget
        budget.limit = 5_000
        slow = self.begin("Content-Length: 10000")
        slow.sendall(b"x" * 3_000)
        wait_until(lambda: budget.held == 3_000)
        quick = self.begin("Content-Length: 9000")
        for _ in range(3):
            quick.sendall(b"x" * 3_000)
            gevent.sleep(0.02)
        self.assertEqual(read_answer(quick).status, 200)
        self.assertEqual(self.events(Event.SLOW_CLIENT_CUT), [])
        slow.sendall(b"x" * 2_500)
        self.engine.runs.clear()
        self.assert_rejected_as_slow(slow)

    def test_bodies_that_come_slowly_count_in_the_budget(self):
        budget = self.node.slow_clients.budget
        budget.limit = 5_000
        first = self.begin("Content-Length: 10000")
        first.sendall(b"x" * 3_000)
        wait_until(lambda: budget.held == 3_000)
        second = self.begin("Content-Length: 10000")
        second.sendall(b"x" * 2_500)
        self.assert_rejected_as_slow(first)
        (told,) = self.events(Event.SLOW_CLIENT_CUT)
        self.assertEqual(told["cause"], "memory_short")


class SlowHeadTest(BodyCase):
    def test_stalled_or_trickling_headers_get_408(self):
        for begin in (b"P", b"POST /once/ HTTP/1.1\r\nHost: h"):
            with self.subTest(begin):
                connection = self.fleet.connect("n0")
                self.addCleanup(connection.close)
                connection.sendall(begin)
                gevent.sleep(0.1)
                connection.sendall(begin[-1:])
                self.assert_rejected_as_slow(connection)

    def test_headers_in_pieces_are_served(self):
        connection = self.fleet.connect("n0")
        self.addCleanup(connection.close)
        head = f"POST {ONCE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n"
        head += "Connection: close\r\nContent-Length: 0\r\n\r\n"
        for begin in range(0, len(head), 40):
            connection.sendall(head[begin : begin + 40].encode())
            gevent.sleep(0.02)
        # Serving takes longer than headers may take.
        self.engine.default_behaviour = Behaviour(pause=PATIENCE_MS / 2000, events=4)
        answer = read_answer(connection)
        self.assertEqual((answer.status, answer.whole), (200, True))

    def test_connection_may_be_idle_longer_than_the_header_timeout(self):
        connection = self.begin("Content-Length: 0", keep=True)
        wait_until(lambda: self.engine.runs)
        gevent.sleep(3 * PATIENCE_MS / 1000)
        connection.sendall(
            f"POST {ONCE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r2\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
        )
        data = b""
        while part := connection.recv(65_536):
            data += part
        self.assertEqual(data.count(b"HTTP/1.1 200"), 2)


class SuspendedNodeTest(BodyCase):
    """A node that was suspended for longer than a client may lag must not blame its clients."""

    REST = {
        "Content-Length: 8": (b"some", b"body"),
        "Transfer-Encoding: chunked": (b"4\r\nsome\r\n", b"4\r\nbody\r\n0\r\n\r\n"),
    }

    def suspend_before_the_rest(self, connection, rest):
        """Send the rest while the node is suspended."""
        gevent.sleep(0.05)
        connection.sendall(rest)
        time.sleep(2 * PATIENCE_MS / 1000)

    def test_body_received_meanwhile_is_served(self):
        for framing, (first, rest) in self.REST.items():
            with self.subTest(framing):
                connection = self.begin(framing)
                connection.sendall(first)
                self.suspend_before_the_rest(connection, rest)
                self.assertEqual(read_answer(connection).status, 200)
                self.assertEqual(self.engine.bodies["r1"], b"somebody")

    def test_headers_received_meanwhile_are_served(self):
        connection = self.fleet.connect("n0")
        self.addCleanup(connection.close)
        connection.sendall(f"POST {ONCE_PATH} HTTP/1.1\r\nHost: ".encode())
        rest = f"{HOST}\r\nRequest-Id: r1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.suspend_before_the_rest(connection, rest.encode())
        self.assertEqual(read_answer(connection).status, 200)


def read_answer_head(connection):
    """Read until the connection ends or fails."""
    connection.settimeout(3.0)
    data = b""
    try:
        while part := connection.recv(65_536):
            data += part
    except OSError:
        pass
    return data


class SlowEngineTest(unittest.TestCase):
    """Engines that do not read what they are sent."""

    BODY = b"x" * 16_000_000
    """More than the socket buffers to an engine hold."""

    def setUp(self):
        limits = {"maxBodyBytes": len(self.BODY)}
        self.fleet = GatewayFleet(nodes=1, engines=2, limits=limits, timeoutMs=20_000)
        self.addCleanup(self.fleet.stop)
        self.node = self.fleet.nodes["n0"]

    def placed(self):
        return sum(row["online"] for row in self.node.status_document()["engines"])

    def test_a_request_goes_on_elsewhere_where_it_may(self):
        stalled = self.fleet.engines[0]
        stalled.reads = False
        for number in range(2):
            request_id = f"r{number}"
            started = time.monotonic()
            answer = self.fleet.request("n0", STREAM_PATH, body=self.BODY, request_id=request_id)
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertLess(time.monotonic() - started, 4.5)
            self.assertEqual(self.fleet.engines[1].bodies[request_id], self.BODY)
        self.assertEqual(self.placed(), 0)

    def test_an_engine_that_reads_steadily_is_waited_for(self):
        for engine in self.fleet.engines:
            engine.read_pause = 0.015
        started = time.monotonic()
        answer = self.fleet.request("n0", ONCE_PATH, body=self.BODY)
        self.assertGreater(time.monotonic() - started, 2.5)
        self.assertEqual((answer.status, answer.whole), (200, True))

    def test_request_on_a_once_route_ends_as_may_have_run(self):
        for engine in self.fleet.engines:
            engine.reads = False
        answer = self.fleet.request("n0", ONCE_PATH, body=self.BODY)
        self.assertGreaterEqual(answer.status, 500)
        self.assertEqual(json.loads(answer.body)["error"]["verdict"], "may_have_run")
        wait_until(lambda: self.placed() == 0)


if __name__ == "__main__":
    unittest.main()
