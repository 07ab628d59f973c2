"""When requests reached this node, which may be some time before it reads them.

The time that a client allows began before its request was read. A node that gets no processor for a
second reads everything that came meanwhile that much later.
"""

from __future__ import annotations

from typing import Any

import gevent

from postvalve.clock import Clock
from postvalve.core.routing.node_stalls import NodeStalls
from postvalve.sockets import seconds_since_data

TICK_INTERVAL = 0.1
"""Seconds between ticks."""
MAX_DELAY = 30.0
"""Longest delay in seconds that is taken for true."""
MIN_STALL = 0.25
"""Shortest stall in seconds that counts where the kernel doesn't tell. Most of what is read after a
short one came after it began, and would be treated as late without being so."""


class Arrivals:
    """Works out when the request that a connection has just brought reached this node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stalls = NodeStalls(TICK_INTERVAL)

    def watch(self) -> None:
        """Measure the stalls of this node forever."""
        while True:
            self._stalls.tick(self._clock.monotonic())
            gevent.sleep(TICK_INTERVAL)

    def delay(self, connection: Any) -> float:
        """Return the seconds since the last data of a connection reached this node.

        The kernel knows. Where it doesn't tell, everything that is read right after a long stall of
        this node counts as if it had come when the stall began.
        """
        told = seconds_since_data(connection)
        if told:
            return min(MAX_DELAY, told)
        stalled = self._stalls.delay(self._clock.monotonic())
        return min(MAX_DELAY, stalled) if stalled >= MIN_STALL else 0.0
