"""Clients that send bodies in pieces and delay reading their answers."""

import contextlib
import itertools
import random
import socket as sockets
import time

import gevent
from gevent import socket

from tests.answers import read_answer
from tests.gateway_support import HOST, STREAM_PATH
from tests.soak.engine import LARGE, LARGE_MARK
from tests.soak.invariants import OnlineRequest
from tests.stand_in_engine import event_bytes

MEAN_INTERVAL = 1.0
"""Mean seconds between two requests."""
MAX_STALL = 3.0
"""Seconds for which a client reads nothing, at most."""
BODY = b"b" * 200_000
SMALL_BUFFER, SEGMENT = 4_096, 1_400
"""Bytes of the client's receive buffer and of a TCP segment. With the defaults of the loopback
interface, the socket would buffer the complete answer."""
DEADLINE_MS = 4_000


def expected_answer(request_id):
    """Build the body that an engine sends for a request with a large answer."""
    numbers = range(1, LARGE.events + 1)
    return b"".join(event_bytes(request_id, number, LARGE.padding) for number in numbers)


class StallingClients:
    """Sends requests as stalling clients do, and checks the answers."""

    def __init__(self, invariants, seed, pick_node):
        """Create the clients; `pick_node` returns the node for the next request."""
        self._invariants = invariants
        self._random = random.Random(f"{seed} stalling")
        self._pick_node = pick_node
        self._numbers = itertools.count()
        self.stopped = False
        self.requests = []

    def start(self):
        gevent.spawn(self._send)

    def _send(self):
        while not self.stopped:
            stall = self._random.uniform(0.0, MAX_STALL)
            gevent.spawn(
                self._run_request, self._pick_node(), f"{LARGE_MARK}{next(self._numbers)}", stall
            )
            gevent.sleep(self._random.expovariate(1 / MEAN_INTERVAL))

    def _run_request(self, node, request_id, stall):
        req = OnlineRequest(
            request_id, False, node.name, time.time(), expected=expected_answer(request_id)
        )
        self.requests.append(req)
        with contextlib.suppress(OSError), contextlib.closing(socket.socket()) as conn:
            self._send_in_pieces(conn, node.front, request_id)
            gevent.sleep(stall)
            with gevent.Timeout(
                DEADLINE_MS / 1000 + 4.0, OSError("no answer within the time limit")
            ):
                answer = read_answer(conn)
            req.status, req.body, req.whole = answer.status, answer.body, answer.whole
        req.ended_at = time.time()
        self._invariants.check_online_request(req)
        self._invariants.check_stalled_request(req)

    @staticmethod
    def _send_in_pieces(conn, port, request_id):
        conn.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, SMALL_BUFFER)
        conn.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_MAXSEG, SEGMENT)
        conn.settimeout(2.0)
        conn.connect(("127.0.0.1", port))
        head = f"POST {STREAM_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        head += f"Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n"
        conn.sendall(f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY[:100_000])
        gevent.sleep(0.1)
        conn.sendall(BODY[100_000:])
