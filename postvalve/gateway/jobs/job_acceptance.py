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
LIMIT_READ_TIMEOUT = 0.25
"""Seconds that a read of the jobs may take before a job is refused by the limit."""
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

    def prepare(self, submission: Submission) -> bool:
        """Check that a job may be accepted, before its requests are stored.

        Returns:
            Whether it has been accepted before, so that nothing is left to do.

        Raises:
            RateLimitedError: It exceeds the route's limit; nothing of it will run.
            StoreUnreachableError: This node can't read the jobs; nothing of it will run.
        """
        if not self._log.follower.loaded:
            try:
                self._log.follower.catch_up()
            except StoreUnavailableError as error:
                raise self.refusal(submission, error.message) from error
        return self.is_accepted(submission.job_id) or self._check_limit(submission)

    def _check_limit(self, submission: Submission) -> bool:
        """Check the limit of waiting tokens; returns whether the job turns out to be accepted.

        A copy of an accepted job is within the limit, and other jobs may have ended, so only a read
        that began after the call refuses one.
        """
        if self._exceeds_limit(submission) is None:
            return False
        if not self._log.await_current(LIMIT_READ_TIMEOUT):
            raise self.refusal(submission, "no read of the jobs shows that the limit is reached")
        if self.is_accepted(submission.job_id):
            return True
        waiting = self._exceeds_limit(submission)
        if waiting is not None:
            raise self._over_limit(submission, waiting)
        return False

    def _exceeds_limit(self, submission: Submission) -> int | None:
        """Return the waiting tokens if the job doesn't fit beside them; None if it does."""
        waiting = self._log.board.waiting_tokens(submission.route.name, submission.tenant)
        limit = _limit(submission)
        return waiting if limit and waiting + submission.tokens > limit else None

    def _over_limit(self, submission: Submission, waiting: int) -> RateLimitedError:
        limit = _limit(submission)
        self._events.emit(
            Event.ROUTED_JOB_REFUSED,
            job=submission.job_id,
            reason="waiting tokens",
            waiting=waiting,
            tenant=submission.tenant,
            tokens=submission.tokens,
            limit=limit,
        )
        return RateLimitedError(f"{waiting} tokens wait of {limit}", retry_after=FULL_RETRY_AFTER)

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
            if state is AcceptanceState.NOT_ACCEPTED and self._check_limit(submission):
                break
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


def _limit(submission: Submission) -> int:
    """Return the tokens that may wait on the job's route; 0 for any number."""
    batch = submission.route.batch
    return batch.max_queued_tokens if batch else 0
