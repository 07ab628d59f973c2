"""Whether a job was accepted, as far as a node knows while its appends go unanswered.

An acceptance is appended on the condition that the topic ends at a given offset. If the answer is
lost, the append has taken effect, will take effect later, or never will. Only the record at that
offset tells: the growth of the topic alone may be due to the acceptance itself.
"""

from __future__ import annotations

import enum
from collections.abc import Container


class AcceptanceState(enum.Enum):
    """What is known of a job's acceptance."""

    ACCEPTED = "accepted"
    """Its record has been read."""
    NOT_ACCEPTED = "not_accepted"
    """No append of this node has taken effect, nor can one still do so."""
    UNDECIDED = "undecided"
    """An append without an answer may have taken effect, or may still do so."""


class AcceptanceAttempts:
    """The conditional appends by which one node tries to accept a job."""

    def __init__(self, job_id: str) -> None:
        self._job_id = job_id
        self.unanswered_at: int | None = None
        """Offset named by the last append without an answer; None if there was none."""

    def record_unanswered(self, offset: int) -> None:
        """Record that an append at an offset got no answer, so that it may take effect."""
        self.unanswered_at = offset

    def state(self, jobs: Container[str], applied_offset: int) -> AcceptanceState:
        """Return what is known.

        Args:
            jobs: Ids of the jobs that have been read.
            applied_offset: Offset up to which the records of the topic are part of `jobs`.
        """
        if self._job_id in jobs:
            return AcceptanceState.ACCEPTED
        if self.unanswered_at is None or self.unanswered_at < applied_offset:
            return AcceptanceState.NOT_ACCEPTED
        return AcceptanceState.UNDECIDED
