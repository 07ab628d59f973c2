"""The items of the jobs that this node works on: which they are, as the log of jobs tells."""

from __future__ import annotations

import math
from collections.abc import Callable

import gevent

from postvalve.core.batch.job_board import BoardJob
from postvalve.core.batch.progress import SavedJob
from postvalve.events import Event, EventLog
from postvalve.gateway.jobs.item_progress import ProgressLog, unpack_segment
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.job_service import JobService
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.messages.generated import gateway


class OwnItems:
    """Items by job and index."""

    def __init__(
        self,
        identity: gateway.NodeStarted,
        events: EventLog,
        log: JobLog,
        jobs: JobService,
        progress: ProgressLog,
        wake: Callable[[], None],
    ) -> None:
        """Follow the log of jobs; `wake` is called when there may be something to start."""
        self._identity = identity
        self._events = events
        self._log = log
        self._jobs = jobs
        self._progress = progress
        self._wake = wake
        self.by_job: dict[str, dict[int, RunningItem]] = {}
        self._told_lost: set[str] = set()
        self.draining = False
        """Whether this node is about to end: what runs ends here, whoever has the job."""
        self.on_job_added: Callable[[], None] = lambda: None
        """Called when a job was taken."""
        progress.unfinished = self.all
        log.add_listener(self._jobs_changed)

    def all(self) -> list[RunningItem]:
        """Every item that has not ended."""
        return [item for items in self.by_job.values() for item in items.values()]

    def remove(self, item: RunningItem) -> None:
        """An item has ended."""
        self.by_job.get(item.job_id, {}).pop(item.index, None)
        item.cancelled = True

    def drop_all(self) -> None:
        """Drop everything at once."""
        for job_id in list(self.by_job):
            self._drop_job(job_id)

    def _jobs_changed(self, touched: set[str]) -> None:
        for job_id in touched:
            job = self._log.board.jobs.get(job_id)
            if job is None or not job.open:
                self._drop_job(job_id)
            elif not self._is_mine(job):
                self._lose_job(job)
            elif job_id in self.by_job:
                for index in job.finished & self.by_job[job_id].keys():
                    self._drop_item(job_id, index)
            else:
                self._take_job(job)
        self._wake()

    def _is_mine(self, job: BoardJob) -> bool:
        identity = self._identity
        return job.node_id == identity.node_id and job.incarnation == identity.incarnation

    def _take_job(self, job: BoardJob) -> None:
        due = job.accepted.due_at_ms
        items = {
            index: RunningItem(
                job.job_id,
                index,
                job.claim_id,
                due,
                output_tokens=job.items[index].output_tokens,
                prompt_tokens=job.items[index].prompt_tokens,
            )
            for index in job.unfinished()
        }
        self.by_job[job.job_id] = items
        self.on_job_added()
        if job.taken_over:
            for item in items.values():
                item.not_before = math.inf
            gevent.spawn(self._restore, job, items)

    def _restore(self, job: BoardJob, items: dict[int, RunningItem]) -> None:
        """Let the items of a job that was taken over go on where they are known to be."""
        saved = SavedJob()
        try:
            self._jobs.fetch_requests(job)
            saved = self._progress.restore(job)
        finally:
            for index, item in items.items():
                known = saved.items.get(index)
                if known is not None:
                    item.events = [unpack_segment(text) for text in known.texts]
                    item.last_event_id = known.last_event_id
                    item.run_seconds = known.run_ms / 1000
                # Failures may have been counted here while the saved ones were read.
                item.failures += saved.failures.get(index, 0)
                item.not_before = 0.0
            self._events.emit(
                Event.ROUTED_JOB_RESTORED,
                job=job.job_id,
                items=len(items),
                restored=len(saved.items.keys() & items.keys()),
                segments=len(saved.keys),
            )
            self._wake()

    def _lose_job(self, job: BoardJob) -> None:
        if job.job_id not in self.by_job:
            return
        if job.job_id not in self._told_lost:
            self._told_lost.add(job.job_id)
            self._events.emit(Event.ROUTED_JOB_LOST, job=job.job_id, to=job.node_id)
        if not self.draining:
            self._drop_job(job.job_id)
            return
        # What runs at a leaving node ends here; its reports say so.
        for index, item in list(self.by_job[job.job_id].items()):
            if not item.running or index in job.finished:
                self._drop_item(job.job_id, index)

    def _drop_job(self, job_id: str) -> None:
        for index in list(self.by_job.get(job_id, ())):
            self._drop_item(job_id, index)
        self.by_job.pop(job_id, None)
        self._told_lost.discard(job_id)

    def _drop_item(self, job_id: str, index: int) -> None:
        item = self.by_job[job_id].pop(index)
        item.cancelled = True
        if item.answer is not None:
            item.answer.abort()
