"""Reads of a topic on behalf of callers that need all that was acknowledged before they asked.

The store's answers are linearizable, so a read that began after a question came in proves what held
then; a copy, however young, does not. One read serves all callers that asked before it began.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.exceptions import PlatformError

INTERVAL_PER_NODE = 0.0003
"""Least seconds between the starts of two reads for each node of the fleet: together they make no
more than some 3,300 reads a second, however many callers ask."""
OVERDUE_AFTER = 0.1
"""Seconds after which a further read starts beside one without an answer."""
MAX_READS = 3
"""Most reads under way."""


class ReadBarrier:
    """Waits for reads that began after the call."""

    def __init__(
        self,
        read: Callable[[], None],
        clock: Clock,
        node_count: Callable[[], int],
        min_interval: float = 0.0,
    ) -> None:
        """Set up to read on demand.

        Args:
            read: Reads the topic to its end and updates this node's copy; raises a `PlatformError`
                if the store does not answer. Several may be under way at the same time.
            clock: Source of time.
            node_count: Returns the number of nodes that share the store.
            min_interval: Least seconds between the starts of two reads, however few nodes share it.
        """
        self._read = read
        self._clock = clock
        self._node_count = node_count
        self._min_interval = min_interval
        self.lacking_since: float | None = None
        """Monotonic seconds since which callers have got no proof; None if the last one got it."""
        self._next: AsyncResult | None = None
        """Result of the read that starts next; None while no caller waits for one."""
        self._started_at = float("-inf")
        self._pending = 0
        self._ended = GeventEvent()
        """Set when a read ends, until the next one starts."""

    def wait(self, timeout: float) -> bool:
        """Wait for a read that begins after this call.

        Args:
            timeout: Seconds after which the caller stops waiting.

        Returns:
            Whether this node's copy holds all that was acknowledged before the call.
        """
        if self._next is None:
            self._next = AsyncResult()
            gevent.spawn(self._run, self._next)
        asked_at = self._clock.monotonic()
        try:
            is_proven = bool(self._next.get(timeout=timeout))
        except gevent.Timeout:
            is_proven = False
        if not is_proven and self.lacking_since is None:
            self.lacking_since = asked_at
        return is_proven

    def record_read(self, up_to: float) -> None:
        """Record that all that was acknowledged until a moment has been read, by whatever read."""
        if self.lacking_since is not None and self.lacking_since < up_to:
            self.lacking_since = None

    def _run(self, result: AsyncResult) -> None:
        self._await_turn()
        # Whoever calls from here on needs the next read.
        self._next = None
        started_at = self._started_at = self._clock.monotonic()
        self._ended.clear()
        self._pending += 1
        is_answered = False
        try:
            self._read()
            is_answered = True
            self.record_read(started_at)
        except PlatformError:
            # Logged by whoever follows the topic, and by the callers as what they do without.
            pass
        finally:
            self._pending -= 1
            self._ended.set()
            result.set(is_answered)

    def _await_turn(self) -> None:
        """Wait until the next read may start: after the one before, unless that is overdue."""
        interval = max(self._min_interval, INTERVAL_PER_NODE * self._node_count())
        gevent.sleep(max(0.0, self._started_at + interval - self._clock.monotonic()))
        if self._pending:
            self._ended.wait(OVERDUE_AFTER)
        while self._pending >= MAX_READS:
            self._ended.clear()
            self._ended.wait()
