"""Gateways, engines and a store in one process, over loopback sockets."""

import contextlib
import itertools
import json
import os
import random
import socket as sockets
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from postvalve.clock import SystemClock
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.events import EventLog
from postvalve.exceptions import Verdict
from postvalve.gateway.gateway import Gateway, GatewayPlatform
from postvalve.gateway.interfaces import GatewaySettings, KeyedRecord, StoreUnavailableError
from postvalve.platform.dialect import PlatformDialect
from postvalve.platform.fleet import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    DIRECTORY_TOPIC,
    parse_configuration,
    parse_engine,
)
from postvalve.platform.lots import PlatformJobCalls

HOST = "h.example"
STREAM_PATH = "/stream/"
ONCE_PATH = "/once/"
BATCH_PATH = "/batch/"
SERVICE = "s"
FIRST_PORT, LAST_PORT = 10_000, 14_000
"""Ports for tests: below those among which Linux chooses (32,768 and up)."""
_PORTS = itertools.count(random.Random(os.getpid()).randrange(LAST_PORT - FIRST_PORT))
"""Processes of one test run begin at places of their own."""
_own_ports = None
"""The first and the last one, where a process was given ports that no other takes."""
GIVEN_UP_AFTER = 0.4
"""Seconds beyond its wait after which a read without an answer is given up here."""
BACK_AFTER = 0.2
"""Seconds until another engine is listed in the place of one that ended."""
ENDS_AFTER = 0.03
"""Seconds that an engine runs a request under which it ends."""
PATIENCE = 30.0
"""Seconds that tests wait for what must come; never a measure."""


def free_port():
    """A port that nobody listens at, and that nobody is given before it is listened at.

    A port that the system chose, and that was closed again, may be chosen for another server.
    """
    first, last = _own_ports or (FIRST_PORT, LAST_PORT)
    while True:
        port = first + next(_PORTS) % (last - first)
        with contextlib.closing(sockets.socket()) as one, contextlib.suppress(OSError):
            one.bind(("127.0.0.1", port))
            return port


def take_ports(first, last):
    """Give `free_port` ports that no other process takes: soaks beside each other need it."""
    global _own_ports
    _own_ports = (first, last)


def wait_until(condition, patience=PATIENCE):
    """Wait for a condition; fails when it does not come."""
    deadline = time.monotonic() + patience
    while time.monotonic() < deadline:
        if condition():
            return
        gevent.sleep(0.01)
    raise AssertionError("what was waited for did not come")


class Behaviour:
    """What an engine does with one request."""

    def __init__(self, **changes):
        self.status = 200
        self.refuse = False
        """Say that it did not run."""
        self.cut_after = None
        """Events after which the connection is closed; -1: before the head."""
        self.silent = False
        self.foreign = False
        self.surplus = b""
        self.late_surplus = b""
        """Bytes that come while the connection rests."""
        self.pause = 0.0
        self.thinks = 0.0
        """Seconds before the head."""
        self.events = 3
        self.piecewise = False
        self.__dict__.update(changes)


class StandInEngine:
    """An engine at a loopback address that answers as it is told."""

    def __init__(self, engine_id, port=None):
        self.engine_id = engine_id
        self.expected_id = engine_id
        self.port = port or free_port()
        self.plan = []
        """Behaviours of the next requests; then the usual one."""
        self.usual = Behaviour()
        self.runs = []
        """Request id and last event id of each run."""
        self.bodies = {}
        self.heads = []
        self.connections = 0
        self.cut_by_peer = 0
        self.running = 0
        self.fatal_bodies = set()
        """Bodies of the requests under which it ends as soon as it runs them."""
        self.ended = False
        self.on_end = lambda engine: None
        self._open = set()
        self._server = StreamServer(("127.0.0.1", self.port), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def entry(self, state="ready", slots=4, zone="z"):
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "sequence": 1,
        }

    def stop(self):
        self._server.stop(timeout=0.1)

    def end(self):
        """End as a process does: nothing listens, and all connections are closed."""
        if self.ended:
            return
        self.ended = True
        self._server.close()
        for connection in list(self._open):
            connection.shutdown(sockets.SHUT_RDWR)
        self.on_end(self)

    def _serve(self, connection, address):
        self.connections += 1
        self._open.add(connection)
        with contextlib.suppress(OSError):
            while not self.ended and self._serve_one(connection):
                pass
        self._open.discard(connection)
        connection.close()

    def _serve_one(self, connection):
        head = b""
        while b"\r\n\r\n" not in head:
            part = connection.recv(65536)
            if not part:
                return False
            head += part
        head, _, body = head.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        while len(body) < int(headers.get("content-length", 0)):
            body += connection.recv(65536)
        self.heads.append((lines[0], headers))
        request_id = headers["request-id"]
        if headers.get("expect-instance") != self.expected_id:
            connection.sendall(b"HTTP/1.1 421 -\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n")
            return True
        behaviour = self.plan.pop(0) if self.plan else self.usual
        if behaviour.refuse:
            connection.sendall(b"HTTP/1.1 503 -\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        if behaviour.silent:
            gevent.sleep(30)
            return False
        if behaviour.cut_after == -1:
            self.runs.append((request_id, headers.get("last-event-id")))
            return False
        self.runs.append((request_id, headers.get("last-event-id")))
        self.bodies[request_id] = body
        if body in self.fatal_bodies:
            gevent.sleep(ENDS_AFTER)
            self.end()
            return False
        self.running += 1
        try:
            return self._answer(connection, behaviour, request_id, headers)
        finally:
            self.running -= 1

    def _answer(self, connection, behaviour, request_id, headers):
        gevent.sleep(behaviour.thinks)
        told = "other" if behaviour.foreign else request_id
        common = f"Request-Id: {told}\r\nResponse-Seal: seal-{self.engine_id}\r\n"
        if behaviour.status != 200:
            connection.sendall(
                f"HTTP/1.1 {behaviour.status} -\r\n{common}Content-Length: 0\r\n\r\n".encode()
            )
            return True
        connection.sendall(
            f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id", 0)) + 1
        for sent, number in enumerate(range(first, behaviour.events + 1)):
            if behaviour.cut_after is not None and sent >= behaviour.cut_after:
                connection.sendall(b"9\r\nid: 9")
                return False
            event = f"id: {number}\ndata: {request_id} part {number}\n\n".encode()
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            for piece in (chunk[:9], chunk[9:]) if behaviour.piecewise else (chunk,):
                connection.sendall(piece)
                gevent.sleep(0.005 if behaviour.piecewise else 0)
            if behaviour.pause and not self._still_there(connection, behaviour.pause):
                self.cut_by_peer += 1
                return False
        connection.sendall(b"0\r\n\r\n" + behaviour.surplus)
        if behaviour.late_surplus:
            gevent.sleep(0.05)
            connection.sendall(behaviour.late_surplus)
        return True

    @staticmethod
    def _still_there(connection, pause):
        connection.settimeout(pause)
        try:
            return bool(connection.recv(1, sockets.MSG_PEEK))
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            connection.settimeout(None)


class SlowClock(SystemClock):
    """Runs at a part of the speed at which timers do, so that each of these fires early."""

    def __init__(self, speed):
        self._speed = speed

    def monotonic(self):
        return super().monotonic() * self._speed


class SuspendedClock(SystemClock):
    """A clock whose two times part when its machine is suspended."""

    def __init__(self):
        self.suspended = 0.0

    def monotonic(self):
        return super().monotonic() + self.suspended


class QuietLog(EventLog):
    """Keeps events for the checks of tests."""

    def __init__(self):
        self.written = []

    def emit(self, event, **fields):
        self.written.append((event, fields))


class Answer:
    """What a client got."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def document(self):
        return json.loads(self.body)


class OwnTopics:
    """One node's way to the store that all share."""

    def __init__(self, topics):
        self._topics = topics
        self.cut = None
        """The verdict of each call while the node can't reach the store."""
        self.refused = 0
        self.silent = False
        """Whether calls are never answered."""
        self.silent_reads = 0
        """Waiting reads, those under way among them, that are given up without an answer."""
        self.holds_waiting_reads = False
        """Whether those that wait for a record are not."""
        self.held = 0
        """Calls that were not."""

    def _check(self):
        if self.silent:
            self.held += 1
            gevent.sleep(PATIENCE)
        if self.cut is not None:
            self.refused += 1
            raise StoreUnavailableError("cut off", self.cut)

    def append(self, *arguments, **named):
        self._check()
        return self._topics.append(*arguments, **named)

    def read(self, *arguments):
        self._check()
        wait = arguments[3]
        if wait and self.holds_waiting_reads:
            gevent.sleep(PATIENCE)
        now = gevent.get_hub().loop.now
        started = now()
        found = self._topics.read(*arguments)
        if wait and self.silent_reads:
            self.silent_reads -= 1
            gevent.sleep(max(0.0, started + wait + GIVEN_UP_AFTER - now()))
            raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
        return found

    def newest(self, *arguments):
        self._check()
        return self._topics.newest(*arguments)


class GatewayFleet:
    """Nodes that share one store and some engines."""

    def __init__(self, nodes=2, engines=2, configured=True, **configuration):
        self.topics = MemoryTopics()
        self.engines = [StandInEngine(f"e{number}") for number in range(engines)]
        self.nodes = {}
        self.settings = {}
        self.logs = {}
        self.own_topics = {}
        self._version = 0
        for engine in self.engines:
            self.list_engine(engine)
        if configured:
            self.configure(**configuration)
        for number in range(nodes):
            self.start_node(f"n{number}")
        if configured:
            for node in self.nodes.values():
                wait_until(lambda node=node: node.ready)

    def list_engine(self, engine, state="ready"):
        record = KeyedRecord(engine.engine_id, json.dumps(engine.entry(state)).encode())
        self.topics.append(DIRECTORY_TOPIC, 0, [record])

    def configure(self, **changes):
        """Publish a configuration; changes go into every route."""
        self._version += 2
        batch = {"kind": "batch", "runAimMs": 20000, "keepS": 60, "maxQueuedTokens": 0}
        routes = [
            {"name": "stream", "pathPrefix": STREAM_PATH, "kind": "stream", "resumable": True},
            {"name": "once", "pathPrefix": ONCE_PATH, "kind": "stream", "resumable": False},
            {"name": "batch", "pathPrefix": BATCH_PATH, **batch},
        ]
        for route in routes:
            route |= {"host": HOST, "service": SERVICE, "timeoutMs": 5000, "maxAttempts": 3}
            route |= changes
        document = {"version": self._version, "routes": routes, "services": [{"name": SERVICE}]}
        record = KeyedRecord(CONFIGURATION_KEY, json.dumps(document).encode())
        self.topics.append(CONFIGURATION_TOPIC, 0, [record])

    def start_node(self, name, zone="z", clock=None):
        settings = GatewaySettings(
            node_id=name,
            zone=zone,
            listen=f"127.0.0.1:{free_port()}",
            ready_listen=f"127.0.0.1:{free_port()}",
            peer_listen=f"127.0.0.1:{free_port()}",
            metrics_listen="",
            grace=6.0,
            drain_notice=1.0,
            read_patience=1.0,
            body_partitions=2,
            record_bytes=262_144,
            call_bytes=2_097_152,
        )
        own = self.own_topics[name] = OwnTopics(self.topics)
        platform = GatewayPlatform(
            topics=own,
            dialect=PlatformDialect(),
            job_calls=PlatformJobCalls,
            configuration_topic=CONFIGURATION_TOPIC,
            configuration_key=CONFIGURATION_KEY,
            parse_configuration=parse_configuration,
            directory_topic=DIRECTORY_TOPIC,
            parse_engine=parse_engine,
            status_time=120.0,
        )
        log = self.logs[name] = QuietLog()
        node = Gateway(settings, platform, clock or SystemClock(), log)
        self.nodes[name] = node
        self.settings[name] = settings
        node.start()
        return node

    def stop(self):
        for node in self.nodes.values():
            node.kill()
        for engine in self.engines:
            engine.stop()

    def kill(self, name):
        """End a node without a word."""
        self.nodes.pop(name).kill()

    def events(self, name, event):
        return [fields for one, fields in self.logs[name].written if one is event]

    def make_fragile(self, body):
        """Let all engines, and those that follow them, end under requests with this body."""
        for engine in self.engines:
            engine.fatal_bodies.add(body)
            engine.on_end = self._replace_engine

    def _replace_engine(self, ended):
        """Start another engine in the place of one that ended, and list it a little later."""
        number = len(self.engines)
        engine = StandInEngine(f"e{number}")
        engine.fatal_bodies = ended.fatal_bodies
        engine.on_end = ended.on_end
        engine.usual = ended.usual
        self.engines.append(engine)
        gevent.spawn_later(BACK_AFTER, self._list_instead, ended, engine)

    def _list_instead(self, ended, engine):
        self.topics.append(DIRECTORY_TOPIC, 0, [KeyedRecord(ended.engine_id, b"")])
        self.list_engine(engine)

    def request(
        self, node, path, *, method="POST", headers=(), body=b"", request_id="r1", caller=None
    ):
        """Send one request on a connection of its own and read the whole answer."""
        connection = self.open(node, path, method, headers, body, request_id, caller)
        try:
            return read_answer(connection)
        finally:
            connection.close()

    def connect(self, node, caller=None):
        """A connection on which nothing was sent, from an address of `caller`'s own."""
        host, port = self.settings[node].listen.split(":")
        source = (caller, 0) if caller else None
        return socket.create_connection((host, int(port)), source_address=source)

    def open(self, node, path, method="POST", headers=(), body=b"", request_id="r1", caller=None):
        """Send one request; returns the connection."""
        connection = self.connect(node, caller)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Connection: close", f"Content-Length: {len(body)}"]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return connection


def read_answer(connection):
    connection.settimeout(PATIENCE)
    data = b""
    with contextlib.suppress(OSError):
        while part := connection.recv(65536):
            data += part
    return parse_answer(data)


def parse_answer(data):
    """What bytes hold of an answer; status 0 while the head is not whole."""
    head, end, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    if not end:
        return Answer(0, {}, b"", False)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    if headers.get("transfer-encoding") == "chunked":
        body, whole = _dechunk(body)
    else:
        whole = len(body) == int(headers.get("content-length", -1))
    return Answer(int(lines[0].split()[1]), headers, body, whole)


def _dechunk(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16) if size else -1
        if length == 0:
            return body, True
        if length < 0 or len(data) < length + 2:
            break
        body += data[:length]
        data = data[length + 2 :]
    return body, False
