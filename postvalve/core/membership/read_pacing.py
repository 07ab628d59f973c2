"""When a follower of a topic starts another read although earlier ones are unanswered.

A read that hangs says nothing about the store: its connection may be dead, or the store may have
returned since. So the next read does not wait for its time-out, but starts `RETRY_INTERVAL` after
the one before, unless `MAX_PENDING` are pending.
"""

from __future__ import annotations

OVERDUE_AFTER = 0.4
"""Seconds beyond its wait after which a read is overdue."""
RETRY_INTERVAL = 0.4
"""Seconds from one read to the next while none is answered. With the pause and the wait of a
follower and `OVERDUE_AFTER` it stays below the shortest time within which a deployment requires the
changes in effect that the follower reads."""
FIRST_RETRY_DELAY = 0.05
"""Seconds from the first failure to the next read, which may use a peer or a new connection."""
MIN_INTERVAL = 0.1
"""Least seconds between reads that other calls' answers cause: only a part of the store may
answer."""
MAX_PENDING = 4
"""Most reads of one follower that are pending at the same time, but for one more when another call
of the node was answered since the last of them began."""


class ReadPacing:
    """Schedule of one turn: a read, and further ones until any of them is answered."""

    def __init__(self, now: float, wait: float) -> None:
        """Begin a turn at monotonic time `now` with a read that may wait for `wait` seconds."""
        self._started_at = now
        self._due_at = now + wait + OVERDUE_AFTER
        self._failed = False
        self._answered_elsewhere = False
        self.further_reads = 0
        """Reads of this turn after its first one."""

    @property
    def in_doubt(self) -> bool:
        """Whether the first read has failed or is overdue."""
        return self._failed or self.further_reads > 0

    @property
    def max_pending(self) -> int:
        """Most reads of the follower that may be pending now."""
        return MAX_PENDING + self._answered_elsewhere

    def seconds_to_next(self, now: float) -> float:
        """Return the seconds until the next read is due; 0 or less if it is due."""
        return self._due_at - now

    def record_start(self, now: float) -> None:
        """Record that a further read was started."""
        self.further_reads += 1
        self._answered_elsewhere = False
        self._started_at = now
        self._due_at = now + RETRY_INTERVAL

    def record_failure(self, now: float) -> None:
        """Record that a read of this turn has failed; only the first failure has an effect."""
        if not self._failed:
            self._failed = True
            self._due_at = min(self._due_at, now + FIRST_RETRY_DELAY)

    def record_answer_elsewhere(self) -> None:
        """Record that the store has answered another call of this node."""
        if self.in_doubt:
            self._answered_elsewhere = True
            self._due_at = min(self._due_at, self._started_at + MIN_INTERVAL)
