"""Replay of one shard's stream: its lease, and the jobs that are open in it."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.core.batch.lease import LeaseTiming, ShardLease
from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record

CHECKPOINT_EVERY = 256
"""Records after which a holder writes the next checkpoint."""
REPLAY_WINDOW = 2 * CHECKPOINT_EVERY
"""Records before the end in which a reader expects a checkpoint."""


@dataclass(frozen=True, slots=True)
class JobOpened:
    """Effect: a job belongs to this shard from now on."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobCancelPending:
    """Effect: a job's stream may hold a cancel; its running items must stop."""

    job_id: str


ShardEffect = JobOpened | JobCancelPending


class ShardState:
    """What the records of a shard's stream add up to."""

    def __init__(self, node_id: str, incarnation: int, timing: LeaseTiming) -> None:
        self.lease = ShardLease(node_id, incarnation, timing)
        self._open_jobs: dict[str, None] = {}
        self._closed_jobs: set[str] = set()
        self._since_checkpoint = 0

    @property
    def open_jobs(self) -> list[str]:
        """Jobs that were announced and not closed, in order."""
        return list(self._open_jobs)

    @property
    def checkpoint_due(self) -> bool:
        """Whether the holder should write a checkpoint."""
        return self._since_checkpoint >= CHECKPOINT_EVERY

    def observe(self, record: Record, now: float) -> list[ShardEffect]:
        """Take one record in."""
        self._since_checkpoint += 1
        self.lease.observe(record, now)
        body = record.body
        if isinstance(body, records.JobAnnounced):
            return self._open(body.job_id)
        if isinstance(body, records.JobClosed):
            self._close(body.job_id)
        elif isinstance(body, records.JobCancelRequested) and body.job_id in self._open_jobs:
            return [JobCancelPending(body.job_id)]
        elif isinstance(body, records.ShardCheckpoint):
            return self._restore(body)
        return []

    def checkpoint(self) -> records.ShardCheckpoint:
        """The present state as a record. Only the holder writes one."""
        return records.ShardCheckpoint(
            epoch=self.lease.epoch,
            node_id=self.lease.holder,
            incarnation=self.lease.holder_incarnation,
            open_jobs=self.open_jobs,
        )

    def _open(self, job_id: str) -> list[ShardEffect]:
        # A resend announces a job again, also after it was closed.
        if job_id in self._open_jobs or job_id in self._closed_jobs:
            return []
        self._open_jobs[job_id] = None
        return [JobOpened(job_id)]

    def _close(self, job_id: str) -> None:
        self._open_jobs.pop(job_id, None)
        self._closed_jobs.add(job_id)

    def _restore(self, body: records.ShardCheckpoint) -> list[ShardEffect]:
        self._since_checkpoint = 0
        # Announcements that overtook the checkpoint stay open: closing a job twice is
        # harmless, losing one is not.
        effects: list[ShardEffect] = []
        for job_id in body.open_jobs:
            effects += self._open(job_id)
        return effects
