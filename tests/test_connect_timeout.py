"""Dark engines: how long a request waits for a connection that does not come up."""

import unittest
from unittest import mock

import gevent
from gevent import socket

from postvalve.core.routing.connect_timeout import (
    MAX_SAMPLES,
    MIN_SAMPLES,
    MIN_TIMEOUT,
    ConnectTimeout,
)
from postvalve.events import Event
from postvalve.gateway.engines import engine_connections
from postvalve.gateway.engines.engine_connections import CONNECT_TIMEOUT
from tests.gateway_support import STREAM_PATH, GatewayFleet

IN_TIME = 0.3
"""Seconds to the first event that callers count as in time here."""


class PatienceTest(unittest.TestCase):
    def test_nothing_is_given_up_early_before_something_is_known(self):
        patience = ConnectTimeout()
        for _ in range(MIN_SAMPLES - 1):
            patience.record(0.001)
        self.assertEqual(patience.seconds(CONNECT_TIMEOUT), CONNECT_TIMEOUT)
        patience.record(0.001)
        self.assertEqual(patience.seconds(CONNECT_TIMEOUT), MIN_TIMEOUT)

    def test_far_engines_and_slow_machines_get_more_time_and_not_for_ever(self):
        patience = ConnectTimeout()
        for seconds in (0.001,) * 20 + (0.04,):
            patience.record(seconds)
        self.assertAlmostEqual(patience.seconds(CONNECT_TIMEOUT), 0.32)
        patience.record(0.3)
        self.assertEqual(patience.seconds(CONNECT_TIMEOUT), CONNECT_TIMEOUT)
        for _ in range(MAX_SAMPLES):
            patience.record(0.001)
        self.assertEqual(patience.seconds(CONNECT_TIMEOUT), MIN_TIMEOUT)


class DarkEngineTest(unittest.TestCase):
    """Half of the engines answer nothing any more, not even a connection."""

    def setUp(self):
        self.fleet = GatewayFleet(nodes=1, engines=4)
        self.addCleanup(self.fleet.stop)
        for number in range(4 * MIN_SAMPLES):
            self.fleet.request("n0", STREAM_PATH + "x", request_id=f"w{number}")
            self.fleet.nodes["n0"]._pool.drop(self.fleet.engines[number % 4].address)

    def test_a_request_is_served_in_time_by_another_and_runs_once(self):
        dark = {engine.port for engine in self.fleet.engines[:2]}
        pool = self.fleet.nodes["n0"]._pool
        for engine in self.fleet.engines:
            pool.drop(engine.address)
        before = sum(len(engine.runs) for engine in self.fleet.engines)

        class DarkSocket(socket.socket):
            def connect(self, address):
                if address[1] in dark:
                    gevent.sleep(self.gettimeout())
                    raise TimeoutError("timed out")
                return super().connect(address)

        with mock.patch.object(engine_connections.gevent_socket, "socket", DarkSocket):
            answers = [
                self.fleet.request("n0", STREAM_PATH + "x", request_id=f"r{number}")
                for number in range(8)
            ]
        self.assertEqual({one.status for one in answers}, {200})
        self.assertEqual(sum(len(engine.runs) for engine in self.fleet.engines), before + 8)
        failed = self.fleet.events("n0", Event.ROUTED_ATTEMPT_FAILED)
        self.assertTrue(failed)
        self.assertLess(max(one["age"] for one in failed), IN_TIME)


class OnlyEngineTest(unittest.TestCase):
    """Its connections turn slow, and no other engine could have the request."""

    SLOW = 0.2

    def test_it_gets_all_the_time_that_a_connection_may_take(self):
        fleet = GatewayFleet(nodes=1, engines=1)
        self.addCleanup(fleet.stop)
        pool, address = fleet.nodes["n0"]._pool, fleet.engines[0].address
        for number in range(2 * MIN_SAMPLES):
            fleet.request("n0", STREAM_PATH + "x", request_id=f"w{number}")
            pool.drop(address)
        slow, port = self.SLOW, fleet.engines[0].port

        class SlowSocket(socket.socket):
            def connect(self, address):
                if address[1] == port:
                    gevent.sleep(min(slow, self.gettimeout()))
                    if self.gettimeout() < slow:
                        raise TimeoutError("timed out")
                return super().connect(address)

        with mock.patch.object(engine_connections.gevent_socket, "socket", SlowSocket):
            answer = fleet.request("n0", STREAM_PATH + "x", request_id="r")
        self.assertEqual(answer.status, 200)
        self.assertEqual(fleet.events("n0", Event.ROUTED_ATTEMPT_FAILED), [])
