"""Gateways, engines and a store in one process, over loopback sockets."""

import json

import gevent
from gevent import socket

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
from tests.answers import read_answer
from tests.ports import free_port
from tests.stand_in_engine import SERVICE, StandInEngine
from tests.waiting import WAIT_TIMEOUT, wait_until

HOST = "h.example"
STREAM_PATH = "/stream/"
ONCE_PATH = "/once/"
BATCH_PATH = "/batch/"
GIVEN_UP_AFTER = 0.4
"""Seconds beyond its wait after which a read without an answer is given up here."""
BACK_AFTER = 0.2
"""Seconds until another engine is listed in the place of one that ended."""


class SlowClock(SystemClock):
    """Runs at a part of the speed at which timers do, so that each of these fires early."""

    def __init__(self, speed):
        self._speed = speed

    def monotonic(self):
        return super().monotonic() * self._speed


class SuspendedClock(SystemClock):
    """A clock whose two times part when its machine is suspended."""

    def __init__(self):
        self.suspended_seconds = 0.0

    def monotonic(self):
        return super().monotonic() + self.suspended_seconds


class RecordingEventLog(EventLog):
    """Keeps events for the checks of tests."""

    def __init__(self):
        self.written = []

    def emit(self, event, **fields):
        self.written.append((event, fields))


class FaultyTopics:
    """One node's way to the store that all share."""

    def __init__(self, topics):
        self._topics = topics
        self.outage_verdict = None
        """The verdict of each call while the node can't reach the store."""
        self.refused = 0
        self.silent = False
        """Whether calls are never answered."""
        self.silent_reads = 0
        """Waiting reads, those under way among them, that are given up without an answer."""
        self.holds_waiting_reads = False
        """Whether those that wait for a record are not."""
        self.hung_calls = 0
        """Calls that were not."""

    def _check(self):
        if self.silent:
            self.hung_calls += 1
            gevent.sleep(WAIT_TIMEOUT)
        if self.outage_verdict is not None:
            self.refused += 1
            raise StoreUnavailableError("cut off", self.outage_verdict)

    def append(self, *arguments, **named):
        self._check()
        return self._topics.append(*arguments, **named)

    def read(self, *arguments):
        self._check()
        wait = arguments[3]
        if wait and self.holds_waiting_reads:
            gevent.sleep(WAIT_TIMEOUT)
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
        self.node_topics = {}
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

    def configure(self, tenants=None, limits=None, **changes):
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
        if limits is not None:
            document["limits"] = limits
        if tenants is not None:
            document["tenants"] = tenants
        if limits is not None:
            document["limits"] = limits
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
        own = self.node_topics[name] = FaultyTopics(self.topics)
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
        log = self.logs[name] = RecordingEventLog()
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

    def crash_on_body(self, body, *, reborn=False):
        """Let all engines, and those that follow them, end under requests with this body.

        Each is back a little later, under another id, or `reborn` under the one that it had.
        """
        for engine in self.engines:
            engine.fatal_bodies.add(body)
            engine.on_end = self._revive_engine if reborn else self._replace_engine

    def _revive_engine(self, ended):
        gevent.spawn_later(BACK_AFTER, self._start_again, ended)

    def _start_again(self, ended):
        engine = StandInEngine(ended.engine_id, ended.port, ended.born + 1)
        engine.fatal_bodies = ended.fatal_bodies
        engine.on_end = ended.on_end
        engine.default_behaviour = ended.default_behaviour
        self.engines.append(engine)
        self.list_engine(engine)

    def _replace_engine(self, ended):
        """Start another engine in the place of one that ended, and list it a little later."""
        number = len(self.engines)
        engine = StandInEngine(f"e{number}")
        engine.fatal_bodies = ended.fatal_bodies
        engine.on_end = ended.on_end
        engine.default_behaviour = ended.default_behaviour
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
