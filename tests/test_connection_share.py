"""Idle connections to engines are limited across all nodes."""

import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.connection_share import MAX_IDLE_CONNECTIONS, idle_connection_limit
from postvalve.gateway.engines.engine_connections import ConnectionPool


class IdleLimitTest(unittest.TestCase):
    def test_the_smallest_bound_is_shared_equally(self):
        self.assertEqual(idle_connection_limit([], 5), MAX_IDLE_CONNECTIONS)
        self.assertEqual(idle_connection_limit([0], 5), MAX_IDLE_CONNECTIONS)
        self.assertEqual(idle_connection_limit([0, 210, 370], 13), 8)
        self.assertEqual(idle_connection_limit([370], 2), MAX_IDLE_CONNECTIONS)

    @given(st.integers(1, 5000), st.integers(1, 500))
    def test_all_nodes_together_stay_within_half_of_the_bound(self, bound, nodes):
        limit = idle_connection_limit([bound], nodes)
        self.assertGreaterEqual(limit, 1)
        if limit > 1:
            self.assertLessEqual(limit * nodes, bound / 2)


class Clock:
    now = 0.0

    def monotonic(self):
        return self.now


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.pool = ConnectionPool(self.clock)
        self.pairs = []

    def tearDown(self):
        for pair in self.pairs:
            for one in pair:
                one.close()

    def rest(self, count, keep_alive="timeout=5"):
        for _ in range(count):
            pair = socket.socketpair()
            self.pairs.append(pair)
            self.pool.release("e:1", pair[0], keep_alive)

    def open_ends(self):
        return [pair[0].fileno() >= 0 for pair in self.pairs]

    def test_connections_beyond_the_limit_are_closed(self):
        self.pool.set_idle_limit(2)
        self.rest(3)
        self.assertEqual(self.open_ends(), [True, True, False])

    def test_a_smaller_share_closes_the_oldest(self):
        self.rest(4)
        self.pool.set_idle_limit(1)
        self.pool.expire()
        self.assertEqual(self.open_ends(), [False, False, False, True])

    def test_connections_idle_for_too_long_are_closed(self):
        self.rest(1, "timeout=2")
        self.rest(1, "timeout=9")
        self.clock.now = 3.0
        self.pool.expire()
        self.assertEqual(self.open_ends(), [False, True])


if __name__ == "__main__":
    unittest.main()
