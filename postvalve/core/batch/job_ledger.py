"""State of one job, replayed from its stream. Every reader decides alike, in offset order.

- The first submission is the job; later ones with the same digest are resends.
- The first start of an item is the only one that may be dispatched at most once.
- The first result of an item counts, unless a cancel precedes it.
- The first cancel ends the job, unless the job's last result precedes it.
- A job past its deadline continues: an accepted item may be late but is not lost.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record
from postvalve.states import JobState


class SubmissionOutcome(enum.StrEnum):
    """Result of a submission."""

    ACCEPTED = "accepted"
    RESENT = "resent"
    CONFLICT = "conflict"


class JobLedger:
    """Compact state of a job: one byte per item and counts, without result bodies."""

    def __init__(self, job_id: str) -> None:
        self.job_id = job_id
        self.submission: records.JobSubmitted | None = None
        self.next_offset = 0
        self.completed = 0
        self.failed = 0
        self.state = JobState.IN_PROGRESS
        self.ended_at_ms = 0
        self._finished = bytearray()
        self._starts: dict[int, str] = {}

    @property
    def exists(self) -> bool:
        """Whether a submission was read."""
        return self.submission is not None

    @property
    def accepted(self) -> records.JobSubmitted:
        """The accepted submission; raises LookupError if there is none."""
        if self.submission is None:
            raise LookupError(f"job {self.job_id} was not submitted")
        return self.submission

    @property
    def remaining(self) -> int:
        """Number of items without a result."""
        return len(self._finished) - self.completed - self.failed

    def observe(self, offset: int, record: Record) -> list[records.ItemResult]:
        """Apply the record at `offset`, and return those of its results that count."""
        if offset != self.next_offset:
            raise ValueError(f"expected offset {self.next_offset}, got {offset}")
        self.next_offset = offset + 1
        body = record.body
        if isinstance(body, records.JobSubmitted):
            self._submit(body)
        elif isinstance(body, records.ItemsStarted):
            for start in body.starts:
                self._starts.setdefault(start.item_index, start.attempt_id)
        elif isinstance(body, records.ItemsFinished):
            return self._finish_items(body)
        elif isinstance(body, records.JobCancelled):
            self._end(JobState.CANCELLED, body.cancelled_at_ms)
        elif isinstance(body, records.JobFinished):
            self._record_finish(body)
        return []

    def submission_outcome(self, request_digest: str) -> SubmissionOutcome | None:
        """Compare the digest of a submission with the accepted one; None if there is none yet."""
        if self.submission is None:
            return None
        same = self.submission.request_digest == request_digest
        return SubmissionOutcome.RESENT if same else SubmissionOutcome.CONFLICT

    def is_finished(self, item_index: int) -> bool:
        """Return whether the item has a result that counts."""
        return bool(self._finished[item_index])

    def start_of(self, item_index: int) -> str | None:
        """Return the only attempt that may run an at-most-once item."""
        return self._starts.get(item_index)

    def unfinished_starts(self) -> Iterator[int]:
        """Yield the items that were started and have no result."""
        return (index for index in self._starts if not self._finished[index])

    def _submit(self, body: records.JobSubmitted) -> None:
        if self.submission is not None:
            return
        self.submission = body
        self._finished = bytearray(body.items)

    def _finish_items(self, body: records.ItemsFinished) -> list[records.ItemResult]:
        counted = [result for result in body.results if self._count(result)]
        if self.exists and self.remaining == 0:
            self._end(JobState.COMPLETED, 0)
        return counted

    def _count(self, result: records.ItemResult) -> bool:
        if self.state.is_terminal or result.item_index >= len(self._finished):
            return False
        if self._finished[result.item_index]:
            return False
        self._finished[result.item_index] = 1
        if is_success(result):
            self.completed += 1
        else:
            self.failed += 1
        return True

    def _record_finish(self, body: records.JobFinished) -> None:
        if self.state is JobState.COMPLETED and not self.ended_at_ms:
            self.ended_at_ms = body.finished_at_ms

    def _end(self, state: JobState, at_ms: int) -> None:
        if not self.exists or self.state.is_terminal:
            return
        self.state = state
        self.ended_at_ms = at_ms


def is_success(result: records.ItemResult) -> bool:
    """Return whether a result is an answer rather than an error."""
    return 200 <= result.status_code < 300 and not result.may_have_run
