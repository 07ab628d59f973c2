"""Submits, reads, cancels and lists jobs on the log; for use by any node and the CLI."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import TypeVar

from postvalve.clock import Clock, milliseconds
from postvalve.core.batch.identity import (
    job_stream,
    shard_of,
    shard_stream,
    tenant_stream,
)
from postvalve.core.batch.job_ledger import JobLedger, SubmissionOutcome
from postvalve.exceptions import (
    ConflictError,
    LogUnavailableError,
    NotFoundError,
    Verdict,
)
from postvalve.messages.framing import FrameError
from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record, parse_record
from postvalve.node.log_writer import LogWriter
from postvalve.services.log import LogService, read_all

Indexed = TypeVar("Indexed", records.JobAnnounced, records.FileIndexed)

MAX_CACHED_LEDGERS = 256
"""Ledgers of jobs that a node keeps in its cache."""


class JobStore:
    """Reads and writes jobs on the log, with an LRU cache of their ledgers."""

    def __init__(self, log: LogService, writer: LogWriter, clock: Clock, shards: int) -> None:
        self._log = log
        self._writer = writer
        self._clock = clock
        self._shards = shards
        self._ledgers: OrderedDict[str, JobLedger] = OrderedDict()

    def submit(self, submission: records.JobSubmitted) -> JobLedger:
        """Make a job durable and announce it to its shard; a resend returns the same job.

        Raises:
            ConflictError: if the idempotency key was used for a different job.
            LogUnavailableError: if the log did not answer; the job may have been accepted, and a
                resend is safe.
        """
        ledger = self.refresh(submission.job_id)
        if not ledger.exists:
            self._writer.append(job_stream(submission.job_id), submission)
            ledger = self.refresh(submission.job_id)
        outcome = ledger.submission_outcome(submission.request_digest)
        if outcome is SubmissionOutcome.CONFLICT:
            raise ConflictError(
                "this idempotency key was used for another batch",
                parameter="Idempotency-Key",
                code="idempotency_key_reused",
            )
        self._announce(submission)
        return ledger

    def _announce(self, submission: records.JobSubmitted) -> None:
        announcement = records.JobAnnounced(job_id=submission.job_id, tenant=submission.tenant)
        shard = shard_of(submission.job_id, self._shards)
        for stream in (tenant_stream(submission.tenant), shard_stream(shard)):
            try:
                self._writer.append(stream, announcement)
            except LogUnavailableError as error:
                # The job itself is durable, so a resend can still start it.
                raise LogUnavailableError(
                    error.message, Verdict.MAY_HAVE_RUN, retry_after=error.retry_after
                ) from error

    def get(self, tenant: str, job_id: str) -> JobLedger:
        """Return the present state of a tenant's job.

        Raises:
            NotFoundError: if the job does not exist or belongs to another tenant.
        """
        ledger = self.refresh(job_id)
        if ledger.submission is None or ledger.submission.tenant != tenant:
            raise NotFoundError(f"there is no batch {job_id!r}")
        return ledger

    def refresh(self, job_id: str) -> JobLedger:
        """Return the ledger of a job after applying all records of its stream."""
        ledger = self._ledgers.get(job_id) or JobLedger(job_id)
        self.catch_up(ledger)
        if ledger.exists:
            self._ledgers[job_id] = ledger
            self._ledgers.move_to_end(job_id)
        while len(self._ledgers) > MAX_CACHED_LEDGERS:
            self._ledgers.popitem(last=False)
        return ledger

    def catch_up(self, ledger: JobLedger) -> None:
        """Apply the records that were appended to the job's stream since the ledger was read."""
        for entry in read_all(self._log, job_stream(ledger.job_id), ledger.next_offset):
            self._observe(ledger, entry.offset, entry.payload)

    @staticmethod
    def _observe(ledger: JobLedger, offset: int, payload: bytes) -> None:
        # Another greenlet may have applied the same records in the meantime.
        if offset < ledger.next_offset:
            return
        try:
            record = parse_record(payload)
        except FrameError:
            record = Record("", None)
        ledger.observe(offset, record)

    def cancel(self, tenant: str, job_id: str) -> JobLedger:
        """Cancel a job, unless it has already ended, and return its state.

        Raises:
            NotFoundError: if the job does not exist or belongs to another tenant.
            LogUnavailableError: if the log did not answer; the job may have been cancelled, and
                another cancel is safe.
        """
        ledger = self.get(tenant, job_id)
        if ledger.state.is_terminal:
            return ledger
        cancelled_at = milliseconds(self._clock.wall())
        body = records.JobCancelled(cancelled_at_ms=cancelled_at)
        self._writer.append(job_stream(job_id), body)
        request = records.JobCancelRequested(job_id=job_id)
        shard = shard_of(job_id, self._shards)
        self._writer.append(shard_stream(shard), request)
        return self.refresh(job_id)

    def results(self, job_id: str) -> Iterator[records.ItemResult]:
        """Yield the results of a job that count, in offset order, without storing them."""
        ledger = JobLedger(job_id)
        for entry in read_all(self._log, job_stream(job_id)):
            yield from ledger.observe(entry.offset, parse_record(entry.payload))

    def tenant_jobs(self, tenant: str) -> list[str]:
        """Return the ids of a tenant's jobs, newest first."""
        return self._index(tenant_stream(tenant), records.JobAnnounced, _job_id_of)

    def tenant_files(self, tenant: str) -> list[str]:
        """Return the ids of a tenant's uploaded files, newest first."""
        return self._index(tenant_stream(tenant), records.FileIndexed, _file_id_of)

    def announced_jobs(self) -> list[str]:
        """Return the ids of the jobs of all tenants, in order of their shards."""
        ids: dict[str, None] = {}
        for shard in range(self._shards):
            for job_id in self._index(shard_stream(shard), records.JobAnnounced, _job_id_of):
                ids[job_id] = None
        return list(ids)

    def _index(
        self, stream: str, body_type: type[Indexed], id_of: Callable[[Indexed], str]
    ) -> list[str]:
        ids: dict[str, None] = {}
        for entry in read_all(self._log, stream):
            body = parse_record(entry.payload).body
            if isinstance(body, body_type):
                ids[id_of(body)] = None
        return list(reversed(ids))


def _job_id_of(body: records.JobAnnounced) -> str:
    return body.job_id


def _file_id_of(body: records.FileIndexed) -> str:
    return body.file_id
