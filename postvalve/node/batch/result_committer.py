"""Group commit of item results: many results per append, and one append at a time per job."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from gevent.event import Event as GeventEvent
from gevent.pool import Pool

from postvalve.core.batch.identity import job_stream
from postvalve.events import Event, EventLog
from postvalve.exceptions import LogUnavailableError
from postvalve.messages.generated import records
from postvalve.node.log_writer import LogWriter

GROUP_COMMIT_DELAY = 0.005
"""Seconds for which results are collected before an append."""
MAX_RESULTS_PER_APPEND = 256
MAX_BYTES_PER_APPEND = 2 * 1024 * 1024
CONCURRENT_APPENDS = 8
"""Jobs whose results are appended concurrently."""
APPEND_ATTEMPT_TIMEOUT = 30.0
"""Seconds for which an append is retried before the outage is logged and it starts over."""

CommitListener = Callable[[str, int, records.ItemsFinished], None]


@dataclass(slots=True)
class _PendingResult:
    """A result to append, and the event that is set once it is durable."""

    result: records.ItemResult
    committed: AsyncResult


class ResultCommitter:
    """Appends results to the streams of their jobs, and retries until they are acknowledged."""

    def __init__(self, writer: LogWriter, events: EventLog, on_commit: CommitListener) -> None:
        self._writer = writer
        self._events = events
        self._on_commit = on_commit
        self._queues: dict[str, list[_PendingResult]] = defaultdict(list)
        self._appending: set[str] = set()
        self._pool = Pool(CONCURRENT_APPENDS)
        self._wakeup = GeventEvent()

    @property
    def pending(self) -> int:
        """Number of queued results, plus the jobs whose results are being appended."""
        return sum(len(queue) for queue in self._queues.values()) + len(self._appending)

    def commit(self, job_id: str, result: records.ItemResult) -> None:
        """Queue a result for its job's stream, and wait until it is durable."""
        pending_result = _PendingResult(result, AsyncResult())
        self._queues[job_id].append(pending_result)
        self._wakeup.set()
        pending_result.committed.get()

    def run_once(self) -> None:
        """Wait for queued results, and start an append for each job that has some."""
        self._wakeup.wait()
        gevent.sleep(GROUP_COMMIT_DELAY)
        self._wakeup.clear()
        for job_id in [job_id for job_id, queue in self._queues.items() if queue]:
            if job_id not in self._appending:
                self._appending.add(job_id)
                self._pool.spawn(self._append_queued, job_id)

    def _append_queued(self, job_id: str) -> None:
        try:
            while batch := self._next_batch(job_id):
                self._append(job_id, batch)
        finally:
            self._appending.discard(job_id)

    def _next_batch(self, job_id: str) -> list[_PendingResult]:
        queue = self._queues[job_id]
        count = 0
        size = 0
        for pending_result in queue[:MAX_RESULTS_PER_APPEND]:
            size += len(pending_result.result.response_body)
            if count and size > MAX_BYTES_PER_APPEND:
                break
            count += 1
        batch = queue[:count]
        del queue[:count]
        if not queue:
            self._queues.pop(job_id, None)
        return batch

    def _append(self, job_id: str, batch: list[_PendingResult]) -> None:
        body = records.ItemsFinished(results=[pending_result.result for pending_result in batch])
        offset = self._append_with_retry(job_id, body)
        self._on_commit(job_id, offset, body)
        for pending_result in batch:
            pending_result.committed.set(None)

    def _append_with_retry(self, job_id: str, body: records.ItemsFinished) -> int:
        while True:
            try:
                return self._writer.append(job_stream(job_id), body, APPEND_ATTEMPT_TIMEOUT)
            except LogUnavailableError as error:
                self._events.emit(Event.LOG_UNAVAILABLE, job=job_id, error=error.message)
