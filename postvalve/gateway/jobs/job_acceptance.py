"""Makes the acceptance of a batch job durable, and refuses only what surely does not run."""

from __future__ import annotations

import gevent

from postvalve.clock import Clock
from postvalve.core.batch.acceptance import AcceptanceAttempts, AcceptanceState
from postvalve.core.batch.job_board import RecordKind, record_key
from postvalve.events import Event, EventLog
from postvalve.exceptions import (
    PostvalveError,
    RateLimitedError,
    StoreUnreachableError,
    Verdict,
)
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.submission import Submission
from postvalve.messages.generated import gateway

RETRY_DELAY = 0.15
"""Seconds before a failed append is tried again."""
SETTLE_TIMEOUT = 0.25
"""Seconds that a last read may take which may show that a job was accepted."""
STORE_RETRY_AFTER = 0.6
"""Retry-After, in seconds, while the store is out of reach."""
FULL_RETRY_AFTER = 1.0
"""Retry-After, in seconds, for a job that exceeds the route's limit of queued tokens."""


class UndecidedError(PostvalveError):
    """Raised if the store did not answer, so that the job may be accepted or the end recorded."""

    code = "undecided"
    http_status = 504
    verdict = Verdict.MAY_HAVE_RUN


class JobAcceptance:
    """Appends the acceptances of jobs that clients submit to this node."""

    def __init__(self, clock: Clock, events: EventLog, log: JobLog) -> None:
        self._clock = clock
        self._events = events
        self._log = log

    def is_accepted(self, job_id: str) -> bool:
        """Whether the acceptance of a job has been read."""
        return job_id in self._log.board.jobs

    def check_limit(self, submission: Submission) -> None:
        """Check the limit of waiting tokens.

        Raises:
            RateLimitedError: The job exceeds it.
        """
        batch = submission.route.batch
        limit = batch.max_queued_tokens if batch else 0
        waiting = self._log.board.waiting_tokens(submission.route.name, submission.tenant)
        if limit and waiting + submission.tokens > limit:
            self._events.emit(
                Event.ROUTED_JOB_REFUSED,
                job=submission.job_id,
                reason="waiting tokens",
                waiting=waiting,
                tenant=submission.tenant,
                tokens=submission.tokens,
                limit=limit,
            )
            raise RateLimitedError(
                f"{waiting} tokens wait of {limit}", retry_after=FULL_RETRY_AFTER
            )

    def refusal(self, submission: Submission, reason: str) -> PostvalveError:
        """Log that a job is refused, and return the error for its client."""
        self._events.emit(
            Event.ROUTED_JOB_REFUSED, job=submission.job_id, reason=reason, waiting=-1
        )
        return StoreUnreachableError("the store is out of reach", retry_after=STORE_RETRY_AFTER)

    def accept(
        self, submission: Submission, accepted: gateway.JobAccepted, deadline: float
    ) -> None:
        """Append the acceptance at the known end of the topic, unless the job is accepted already.

        Repeating an append without an answer at the same offset settles what became of it, as does
        any record that others append there.

        Args:
            submission: The job.
            accepted: Its record.
            deadline: Monotonic seconds from which nothing is tried again.

        Raises:
            RateLimitedError: It exceeds the route's limit; nothing of it will run.
            StoreUnreachableError: Nothing of it will run.
            UndecidedError: It may have been accepted, or may still be.
        """
        key = record_key(RecordKind.ACCEPT, submission.job_id, accepted.claim_id)
        record = KeyedRecord(key, bytes(accepted))
        attempts = AcceptanceAttempts(submission.job_id)
        while (state := self._state(attempts)) is not AcceptanceState.ACCEPTED:
            if state is AcceptanceState.NOT_ACCEPTED:
                self.check_limit(submission)
            error = self._try_append(attempts, record)
            if error is None:
                continue
            if self._clock.monotonic() + RETRY_DELAY >= deadline:
                self._settle(submission, attempts, error)
                break
            gevent.sleep(RETRY_DELAY)
        self._log_accepted(submission)

    def _state(self, attempts: AcceptanceAttempts) -> AcceptanceState:
        return attempts.state(self._log.board.jobs, self._log.follower.applied_offset)

    def _try_append(
        self, attempts: AcceptanceAttempts, record: KeyedRecord
    ) -> StoreUnavailableError | None:
        """Append once, or read what is missing before; returns the error if a call failed."""
        follower = self._log.follower
        offset = follower.next_offset
        try:
            if offset == follower.applied_offset and self._log.append_at_end([record]):
                return None
        except StoreUnavailableError as error:
            if error.verdict is not Verdict.NOT_RUN:
                attempts.record_unanswered(offset)
            return error
        try:
            follower.catch_up()
        except StoreUnavailableError as error:
            return error
        return None

    def _settle(
        self, submission: Submission, attempts: AcceptanceAttempts, error: StoreUnavailableError
    ) -> None:
        """Return if the job was accepted, as the time for it is over.

        Raises:
            StoreUnreachableError: It was not, and will not be.
            UndecidedError: Not even a last read shows that.
        """
        if self._state(attempts) is AcceptanceState.UNDECIDED:
            self._log.await_current(SETTLE_TIMEOUT)
        state = self._state(attempts)
        if state is AcceptanceState.ACCEPTED:
            return
        if state is AcceptanceState.NOT_ACCEPTED:
            raise self.refusal(submission, error.message) from error
        self._events.emit(
            Event.ROUTED_JOB_UNDECIDED,
            job=submission.job_id,
            tried_at=attempts.unanswered_at,
            applied=self._log.follower.applied_offset,
            error=error.message,
        )
        raise UndecidedError("the store does not answer") from error

    def _log_accepted(self, submission: Submission) -> None:
        self._events.emit(
            Event.ROUTED_JOB_ACCEPTED,
            job=submission.job_id,
            items=len(submission.items),
            tokens=submission.tokens,
            offset=self._log.follower.next_offset,
        )
