"""Reads that are repeated beside unanswered ones until any of them is answered."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.membership.read_pacing import ReadPacing
from postvalve.exceptions import PlatformError


class HedgedReads:
    """Makes reads in turns; each turn ends with the first answer to any of its reads."""

    def __init__(self, read: Callable[[float], None], clock: Clock, wait: float) -> None:
        """Set up to make reads.

        Args:
            read: Makes one read that waits for records for this many seconds; raises
                `PlatformError` if it is not answered.
            clock: Source of time.
            wait: Seconds for which the first read of a turn waits for records.
        """
        self._read = read
        self._clock = clock
        self._wait = wait
        self._pending: set[gevent.Greenlet] = set()
        """Unanswered reads, also those of earlier turns."""
        self._waiting = 0
        """Pending reads that wait for records."""
        self._turn_started = float("-inf")
        self._answered_start = float("-inf")
        """Start of the latest of the reads that were answered, in monotonic seconds."""
        self._pacing = ReadPacing(self._turn_started, 0.0)
        self._wake = GeventEvent()
        """Set when a read has ended, or when the next one may be due earlier."""
        self._defect: Exception | None = None
        """Unexpected error of a read, which `run_turn` raises."""
        self.is_exclusive: Callable[[], bool] = lambda: False
        """Whether no read may start beside another one now."""
        self.on_overdue: Callable[[float], None] = lambda seconds: None
        """Called with the time for which the first read of a turn has been unanswered."""
        self.before_further_read: Callable[[], None] = lambda: None
        """Called before each read that starts beside unanswered ones, or after failed ones."""

    @property
    def pending(self) -> int:
        """Number of unanswered reads."""
        return len(self._pending)

    def run_turn(self) -> None:
        """Read until a read of this turn is answered.

        Raises:
            Exception: A read failed with an error other than `PlatformError`.
        """
        started = self._turn_started = self._clock.monotonic()
        pacing = self._pacing = ReadPacing(started, self._wait)
        self._start(self._wait)
        while not self._wait_for_answer():
            if not pacing.in_doubt:
                self.on_overdue(self._clock.monotonic() - started)
            self.before_further_read()
            pacing.record_start(self._clock.monotonic())
            # One read at a time waits for records: its time-out is the longest, for a slow store.
            self._start(0.0 if self._waiting else self._wait)

    def record_answer_elsewhere(self) -> None:
        """Read soon if reads are unanswered: the store has answered another call of this node."""
        if self._pacing.in_doubt:
            self._pacing.record_answer_elsewhere()
            self._wake.set()

    def stop(self) -> None:
        """Give up all pending reads."""
        gevent.killall(list(self._pending), block=False)
        # A read that is killed before it has begun does not remove itself.
        self._pending.clear()

    def _wait_for_answer(self) -> bool:
        """Wait until a read of this turn is answered, or the next one is due and may start.

        Returns:
            Whether a read was answered.
        """
        while self._answered_start < self._turn_started:
            if self._defect is not None:
                defect, self._defect = self._defect, None
                raise defect
            left = self._pacing.seconds_to_next(self._clock.monotonic())
            may_start = self.pending < (1 if self.is_exclusive() else self._pacing.max_pending)
            if left <= 0 and may_start:
                return False
            self._wake.clear()
            self._wake.wait(left if may_start else None)
        return True

    def _start(self, wait: float) -> None:
        self._pending.add(gevent.spawn(self._attempt, wait))

    def _attempt(self, wait: float) -> None:
        started = self._clock.monotonic()
        self._waiting += wait > 0
        try:
            self._read(wait)
            self._answered_start = max(self._answered_start, started)
        except PlatformError:
            if started >= self._turn_started:
                self._pacing.record_failure(self._clock.monotonic())
        except Exception as exc:  # raised by `run_turn`, whose caller logs it
            self._defect = exc
        finally:
            self._waiting -= wait > 0
            self._pending.discard(gevent.getcurrent())
            self._wake.set()
