"""State of an online request with an idempotency key, from the records of its stream.

The first start in offset order runs the request. The request ends with a finish record, whose
answer every resend gets, or with a release record, which frees the key again. If a node dies and
leaves a start behind, a repeatable request may be started again after its deadline; a request that
must run at most once may not.
"""

from __future__ import annotations

import enum

from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record


class KeyState(enum.StrEnum):
    """State in which a new arrival with the key finds the request."""

    FREE = "free"
    RUNNING = "running"
    ABANDONED = "abandoned"
    """Started, not finished, and past its deadline."""
    FINISHED = "finished"


class KeyedRequest:
    """State of one idempotency key of one tenant."""

    def __init__(self) -> None:
        self.start: records.RequestStarted | None = None
        self.finish: records.RequestFinished | None = None
        self.request_digest = ""
        self.next_offset = 0

    def observe(self, offset: int, record: Record) -> None:
        """Apply the record at `offset`; records must be passed in offset order."""
        self.next_offset = offset + 1
        body = record.body
        if isinstance(body, records.RequestStarted):
            self._observe_start(body)
        elif isinstance(body, records.RequestFinished) and self._is_current(body.attempt_id):
            self.finish = self.finish or body
        elif isinstance(body, records.RequestReleased) and self._is_current(body.attempt_id):
            self.start = None

    def _observe_start(self, body: records.RequestStarted) -> None:
        self.request_digest = self.request_digest or body.request_digest
        if self.start is None or self._may_replace(body):
            self.start = body

    def _may_replace(self, body: records.RequestStarted) -> bool:
        # A start replaces another one only if it names it, so of two nodes that race for an
        # abandoned key, the first in offset order wins.
        assert self.start is not None
        if self.finish is not None or self.start.at_most_once:
            return False
        return body.replaces_attempt_id == self.start.attempt_id

    def _is_current(self, attempt_id: str) -> bool:
        return self.start is not None and self.start.attempt_id == attempt_id

    def state(self, wall_ms: int) -> KeyState:
        """Return the state that an arrival at wall-clock time `wall_ms` finds."""
        if self.finish is not None:
            return KeyState.FINISHED
        if self.start is None:
            return KeyState.FREE
        if wall_ms > self.start.deadline_at_ms:
            return KeyState.ABANDONED
        return KeyState.RUNNING
