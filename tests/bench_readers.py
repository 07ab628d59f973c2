"""Measures how much slow clients delay the other clients of a node.

A store, an engine and a node run as processes, as in the soak test. Fast clients read their
responses as they arrive; in every other round there are also slow clients, which read at a
hundredth of the speed at which their responses are produced.
"""

import argparse
import contextlib
import os
import socket as sockets
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from types import SimpleNamespace

import gevent
import psutil
from gevent import socket

from tests.answers import read_answer
from tests.gateway_support import HOST, STREAM_PATH
from tests.soak.fleet import Fleet
from tests.soak.invariants import InvariantChecker
from tests.soak.processes import ZONES, Engine, Node
from tests.stand_in_engine import Behaviour, StandInEngine

FAST_STREAMS, SLOW_STREAMS = 56, 8
"""Concurrent streams in a round."""
REQUESTS_PER_STREAM = 3
"""Requests that each fast stream sends one after the other."""
EVENTS, EVENT_BYTES, EVENT_PAUSE = 100, 4_000, 0.02
"""Events of a response, bytes of each, and seconds between them."""
START_INTERVAL = 0.003
"""Seconds between the starts of fast streams. If all started together, their first events would
delay each other even without slow clients."""
SLOW_RATIO = 1 / 100
ROUNDS = 3
"""Rounds without slow clients and rounds with them, alternating."""
RECEIVE_BUFFER_BYTES, MAX_SEGMENT_BYTES = 4_096, 1_400
"""Receive buffer and maximum segment size of a slow client, in bytes. With the defaults of the
loopback interface a socket buffers a complete response at once, unlike on a real network."""
MAX_SLOWDOWN = 1.1
"""Target: fast clients' latencies beside slow clients, relative to those without them."""


@dataclass(slots=True)
class RoundResult:
    """Latencies of the fast clients in one round, in seconds, and state of the node at its end."""

    first: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    failures: int = 0
    held_bytes: int = 0
    """Bytes that the node buffered for slow clients at the end of the round."""
    occupied_slots: int = 0
    """Engine slots that the node still counted as occupied when the fast clients had finished."""


class SteadyEngine(Engine):
    """Engine whose speed does not depend on the number of streams."""

    module = "tests.bench_readers"
    slots = 2 * (FAST_STREAMS + SLOW_STREAMS)

    def __init__(self, folder):
        super().__init__(0, folder)
        # The node connects directly to the engine: a proxy in this process would slow its clients.
        self.link.stop()
        self.link = SimpleNamespace(port=self.port, stop=lambda: None)


def run_engine(engine_id, port):
    """Run a stand-in engine until the process is terminated."""
    engine = StandInEngine(engine_id, port)
    engine.default_behaviour = Behaviour(events=EVENTS, padding=EVENT_BYTES, pause=EVENT_PAUSE)
    gevent.wait()


def open_stream(port, request_id, buffer=0):
    """Send a request, and return the connection on which its response arrives."""
    connection = socket.socket()
    if buffer:
        connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, buffer)
        connection.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_MAXSEG, MAX_SEGMENT_BYTES)
    connection.connect(("127.0.0.1", port))
    head = f"POST {STREAM_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
    connection.sendall(f"{head}Connection: close\r\nContent-Length: 0\r\n\r\n".encode())
    return connection


def read_at_once(port, request_id, result):
    """Read one response as it arrives, and record its latencies."""
    events, previous = 0, time.monotonic()
    with contextlib.closing(open_stream(port, request_id)) as connection:
        connection.settimeout(30.0)
        data = b""
        while part := connection.recv(65_536):
            data = data[-1:] + part
            new = data.count(b"\n\n")
            now = time.monotonic()
            if new:
                (result.gaps if events else result.first).append(now - previous)
                previous, events = now, events + new
    result.failures += events != EVENTS


def read_slowly(port, request_id):
    """Read one response at `SLOW_RATIO` of its speed; killed at the end of the round."""
    with contextlib.closing(open_stream(port, request_id, RECEIVE_BUFFER_BYTES)) as connection:
        while connection.recv(int(EVENT_BYTES * SLOW_RATIO)):
            gevent.sleep(EVENT_PAUSE)


class SteadyFleet(Fleet):
    """A store, a node and a `SteadyEngine`."""

    def start(self):
        """Start the processes, and wait until the node is ready."""
        self.store.start()
        self._wait_until(lambda: self.set_store_fault())
        engine = SteadyEngine(self.folder)
        self.engines = [engine]
        self.list_engine(engine)
        self.publish()
        node = Node("n0", ZONES[0], self.folder, self.store_port)
        self.nodes = [node]
        node.process.start()
        self._wait_until(lambda: self.is_ready(node))


class Bench:
    """Runs the clients of each round against the node of a fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._node = fleet.nodes[0]
        self._numbers = iter(range(1_000_000))

    def run_round(self, slow):
        """Run a round with `slow` slow clients and return its result."""
        result = RoundResult()
        slow_clients = [
            gevent.spawn(read_slowly, self._node.front, f"s-{next(self._numbers)}")
            for _ in range(slow)
        ]
        # Lets the slow clients fall behind; the pause is the same in rounds without them.
        gevent.sleep(1.0)
        fast_clients = [
            gevent.spawn(self._run_fast_client, number, result) for number in range(FAST_STREAMS)
        ]
        gevent.joinall(fast_clients)
        status = self._status()
        result.held_bytes = sum(row["bytes"] for row in status.get("readers", ()))
        result.occupied_slots = sum(row["online"] for row in status["engines"])
        gevent.killall(slow_clients)
        return result

    def _run_fast_client(self, number, result):
        gevent.sleep(number * START_INTERVAL)
        for _ in range(REQUESTS_PER_STREAM):
            try:
                read_at_once(self._node.front, f"q-{next(self._numbers)}", result)
            except OSError:
                result.failures += 1

    def _status(self):
        connection = socket.create_connection(("127.0.0.1", self._node.metrics))
        with contextlib.closing(connection):
            connection.sendall(b"GET /status HTTP/1.0\r\n\r\n")
            return read_answer(connection).document

    def memory(self):
        """Return the resident memory of the node, in bytes."""
        return int(psutil.Process(self._node.process.pid).memory_info().rss)


def p95(values):
    """Return the 95th percentile in milliseconds, of values in seconds."""
    return sorted(values)[int(0.95 * (len(values) - 1))] * 1000


def measure(fleet):
    """Run rounds with and without slow clients alternately, and return the medians of each kind."""
    bench = Bench(fleet)
    bench.run_round(0)
    before, rounds = bench.memory(), []
    for _ in range(ROUNDS):
        rounds.append((bench.run_round(0), bench.run_round(SLOW_STREAMS)))
    row = {"failures": sum(result.failures for pair in rounds for result in pair)}
    for name in ("first", "gaps"):
        alone = median(p95(getattr(result, name)) for result, _ in rounds)
        beside = median(p95(getattr(result, name)) for _, result in rounds)
        row |= {f"{name}_p95_alone_ms": alone, f"{name}_p95_beside_slow_ms": beside}
        row[f"{name}_ratio"] = beside / alone
    row["held_bytes"] = max(result.held_bytes for _, result in rounds)
    row["places_still_held"] = max(result.occupied_slots for _, result in rounds)
    row["node_grew_bytes"] = bench.memory() - before
    row["machine_load"] = os.getloadavg()[0]
    return {name: round(value, 3) for name, value in row.items()}


def main():
    """Run the benchmark and print its results; with arguments, run its engine process instead."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("engine", nargs="*", help="run the engine with this id, at this port")
    engine = parser.parse_args().engine
    if engine:
        run_engine(engine[0], int(engine[1]))
        return 0
    with tempfile.TemporaryDirectory() as folder:
        fleet = SteadyFleet(Path(folder), InvariantChecker())
        try:
            fleet.start()
            row = measure(fleet)
        finally:
            fleet.stop()
    for name, value in row.items():
        print(f"readers {name} {value}")
    met = max(row["first_ratio"], row["gaps_ratio"]) <= MAX_SLOWDOWN
    print(f"readers target {MAX_SLOWDOWN}: {'met' if met else 'not met'}")
    return 0 if not row["failures"] else 1


if __name__ == "__main__":
    sys.exit(main())
