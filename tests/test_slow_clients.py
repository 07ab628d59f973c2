"""Clients that read slowly must not hold up engines, harm others or exhaust the memory."""

import socket as sockets
import time
import unittest

import gevent
from gevent import socket

from postvalve.core.serving.client_buffer import EVENT_OVERHEAD
from postvalve.events import Event
from tests.answers import parse_answer, read_answer
from tests.gateway_support import HOST, ONCE_PATH, STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until

SMALL_BUFFER = 4_096
"""Size set for the socket buffers between a node and a slow client; the system more than doubles
it."""
EVENTS = 200
PADDING = 1_000
SIZE = EVENTS * PADDING
"""Least size of a response in bytes; far more than the socket buffers of a slow client hold."""


def whole_stream(request_id, events=EVENTS, padding=PADDING):
    return b"".join(
        f"id: {number}\ndata: {request_id} part {number}{'x' * padding}\n\n".encode()
        for number in range(1, events + 1)
    )


class SlowClientCase(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=2)
        self.addCleanup(self.fleet.stop)
        self.node = self.fleet.nodes["n0"]
        listener = self.node._server._server.socket
        listener.setsockopt(sockets.SOL_SOCKET, sockets.SO_SNDBUF, SMALL_BUFFER)
        self.answer_with(events=EVENTS, padding=PADDING)

    def answer_with(self, **behaviour):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(**behaviour)

    def send(self, request_id, path=STREAM_PATH):
        """Send a request and do not read its response yet; returns the connection."""
        host, port = self.fleet.settings["n0"].listen.split(":")
        connection = socket.socket()
        connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, SMALL_BUFFER)
        connection.connect((host, int(port)))
        self.addCleanup(connection.close)
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        connection.sendall(f"{head}Connection: close\r\nContent-Length: 0\r\n\r\n".encode())
        return connection

    def placed(self):
        """Return the number of requests at engines, as the node counts them."""
        return sum(row["online"] for row in self.node.status_document()["engines"])

    def held(self):
        return self.node.slow_clients.budget.held

    def events(self, event):
        return self.fleet.events("n0", event)


class ReadAheadTest(SlowClientCase):
    def test_stalled_client_occupies_no_engine(self):
        connection = self.send("r1")
        wait_until(lambda: any(engine.runs for engine in self.fleet.engines))
        wait_until(lambda: self.placed() == 0, 5.0)
        self.assertGreater(self.held(), SIZE / 2)
        rows = self.node.status_document()["readers"]
        self.assertEqual([(row["request"], row["bytes"]) for row in rows], [("r1", self.held())])
        answer = read_answer(connection)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, whole_stream("r1"))
        wait_until(lambda: self.held() == 0)
        self.assertEqual(self.node.status_document()["readers"], [])
        self.assertEqual(len(self.events(Event.CLIENT_LAGS)), 1)

    def test_events_stay_separate_chunks(self):
        connection = self.send("r1")
        wait_until(lambda: self.held() > SIZE / 2)
        connection.settimeout(10.0)
        data = b""
        while not parse_answer(data).whole:
            data += connection.recv(65_536)
        _, _, chunks = data.partition(b"\r\n\r\n")
        sizes = []
        while chunks:
            size, _, chunks = chunks.partition(b"\r\n")
            sizes.append(int(size, 16))
            chunks = chunks[int(size, 16) + 2 :]
        events = whole_stream("r1").split(b"\n\n")[:-1]
        self.assertEqual(sizes, [len(one) + 2 for one in events] + [0])

    def test_client_that_keeps_up_does_not_count_as_slow(self):
        self.answer_with(events=3, padding=10)
        answer = read_answer(self.send("r1"))
        self.assertEqual(answer.body, whole_stream("r1", 3, 10))
        self.assertEqual(self.events(Event.CLIENT_LAGS), [])

    def test_response_that_is_not_a_stream_counts_too(self):
        self.answer_with(events=EVENTS, padding=PADDING, content_type="text/plain")
        connection = self.send("r1")
        wait_until(lambda: self.held() >= SIZE)
        self.assertEqual(self.placed(), 0)
        answer = read_answer(connection)
        self.assertEqual((answer.body, answer.whole), (whole_stream("r1"), True))
        wait_until(lambda: self.held() == 0)

    def test_response_read_at_full_speed_does_not_count(self):
        """The response is larger than the socket buffers: a write has to wait for any client."""
        self.node.slow_clients.budget.limit = SIZE // 2
        self.answer_with(events=EVENTS, padding=PADDING, content_type="text/plain")
        for number in range(3):
            answer = read_answer(self.send(f"r{number}"))
            self.assertEqual((answer.body, answer.whole), (whole_stream(f"r{number}"), True))
        self.assertEqual(self.events(Event.SLOW_CLIENT_CUT), [])
        wait_until(lambda: not self.node.application.in_progress)
        self.assertEqual((self.held(), self.node.status_document()["readers"]), (0, []))

    def test_slow_stream_resumes_at_another_engine(self):
        plan = [Behaviour(events=EVENTS, padding=PADDING, cut_after=120)]
        for engine in self.fleet.engines:
            engine.next_behaviours = plan
        connection = self.send("r1")
        wait_until(lambda: self.placed() == 0 and self.held() > SIZE / 2)
        runs = sorted(run for engine in self.fleet.engines for run in engine.runs if run[1])
        self.assertEqual(runs, [("r1", "120")])
        answer = read_answer(connection)
        self.assertEqual((answer.body, answer.whole), (whole_stream("r1"), True))

    def test_truncated_response_looks_truncated(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(events=EVENTS, padding=PADDING, cut_after=120)
        connection = self.send("r1", ONCE_PATH)
        wait_until(lambda: self.placed() == 0 and self.held() > SIZE / 4)
        answer = read_answer(connection)
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, whole_stream("r1", 120))

    def test_a_client_that_leaves_ends_its_attempt(self):
        self.answer_with(events=EVENTS, padding=PADDING, pause=0.02)
        connection = self.send("r1")
        wait_until(lambda: self.held() > 0)
        connection.close()
        wait_until(lambda: self.placed() == 0, 2.0)
        wait_until(lambda: sum(engine.cut_by_peer for engine in self.fleet.engines) == 1)
        wait_until(lambda: self.held() == 0 and not self.node.application.in_progress)
        self.assertEqual(self.node.status_document()["readers"], [])

    def test_client_disconnecting_from_a_complete_response_frees_it(self):
        connection = self.send("r1")
        wait_until(lambda: self.held() > 0 and self.placed() == 0)
        connection.shutdown(sockets.SHUT_WR)
        wait_until(lambda: self.held() == 0 and not self.node.application.in_progress)

    def test_a_drain_waits_for_it(self):
        connection = self.send("r1")
        wait_until(lambda: self.held() > SIZE / 2)
        self.node.request_drain()
        gevent.sleep(1.5)
        self.assertEqual(self.node.application.in_progress, 1)
        answer = read_answer(connection)
        self.assertEqual((answer.body, answer.whole), (whole_stream("r1"), True))
        wait_until(lambda: self.events(Event.DRAIN_FINISHED), 4.0)


class ManyClientsTest(SlowClientCase):
    def test_fast_clients_are_served_beside_many_stalled_ones(self):
        stalled = [self.send(f"slow-{number}") for number in range(24)]
        wait_until(lambda: len(self.events(Event.CLIENT_LAGS)) == 24)
        for number in range(8):
            answer = read_answer(self.send(f"quick-{number}"))
            self.assertEqual(answer.body, whole_stream(f"quick-{number}"))
        wait_until(lambda: self.placed() == 0)
        self.assertLessEqual(self.held(), self.node.slow_clients.budget.limit)
        for number, connection in enumerate(stalled):
            self.assertEqual(read_answer(connection).body, whole_stream(f"slow-{number}"))

    def test_a_client_at_a_hundredth_of_the_speed(self):
        self.answer_with(events=EVENTS, padding=PADDING, pause=0.001)
        connection = self.send("r1")
        data = b""
        started = time.monotonic()
        while self.placed() or not data:
            data += connection.recv(1_000)
            gevent.sleep(0.1)
        self.assertLess(time.monotonic() - started, 5.0)
        self.assertLess(len(data), SIZE / 2)
        connection.settimeout(10.0)
        while not parse_answer(data).whole:
            data += connection.recv(65_536)
        self.assertEqual(parse_answer(data).body, whole_stream("r1"))


class ShortMemoryTest(SlowClientCase):
    def setUp(self):
        super().setUp()
        self.budget = self.node.slow_clients.budget

    def watch_budget(self):
        """Return a list whose last entry is the most that was held so far."""
        peak = [0]

        def sample():
            while True:
                peak.append(max(peak.pop(), self.budget.held))
                gevent.sleep(0.002)

        greenlet = gevent.spawn(sample)
        self.addCleanup(greenlet.kill)
        return peak

    def test_largest_and_oldest_is_disconnected(self):
        self.budget.limit = 3 * (SIZE + EVENTS * EVENT_OVERHEAD)
        # Lets one buffer hold a complete response here.
        self.budget.stream_share = 1.0
        peak = self.watch_budget()
        connections = {}
        for name in ("first", "second", "third", "fourth"):
            connections[name] = self.send(name)
            wait_until(lambda: self.placed() == 0 and self.held() > 0)
            gevent.sleep(0.1)
        wait_until(lambda: self.events(Event.SLOW_CLIENT_CUT))
        wait_until(lambda: self.placed() == 0)
        cuts = [(one["request"], one["cause"]) for one in self.events(Event.SLOW_CLIENT_CUT)]
        self.assertEqual(cuts, [("first", "memory_short")])
        self.assertFalse(read_answer(connections.pop("first")).whole)
        for name, connection in connections.items():
            self.assertEqual(read_answer(connection).body, whole_stream(name))
        self.assertLessEqual(peak[-1], self.budget.limit)
        wait_until(lambda: not self.node.application.in_progress)
        self.assertEqual(self.budget.held, 0)

    def test_full_buffer_ends_its_stream_and_frees_its_engine(self):
        self.budget.limit = SIZE
        connection = self.send("r1")
        wait_until(lambda: self.held() > SIZE / 8)
        started = time.monotonic()
        wait_until(lambda: self.events(Event.SLOW_CLIENT_CUT), 6.0)
        self.assertEqual(self.events(Event.SLOW_CLIENT_CUT)[0]["cause"], "store_full")
        wait_until(lambda: self.placed() == 0, 1.0)
        self.assertLess(time.monotonic() - started, 4.0)
        self.assertFalse(read_answer(connection).whole)
        wait_until(lambda: not self.node.application.in_progress)

    def test_given_up_stream_frees_its_engine_while_running(self):
        self.answer_with(events=EVENTS, padding=PADDING, pause=0.01)
        connection = self.send("r1")
        wait_until(lambda: self.held() > 10 * PADDING)
        account = self.budget.accounts()[0]
        self.budget.limit = self.held()
        self.node.slow_clients.hold(account, 1)
        wait_until(lambda: self.placed() == 0, 1.0)
        wait_until(lambda: sum(engine.cut_by_peer for engine in self.fleet.engines) == 1)
        self.assertFalse(read_answer(connection).whole)
        wait_until(lambda: not self.node.application.in_progress)


if __name__ == "__main__":
    unittest.main()
