"""Items of the jobs that this node works on, kept up to date from the job log."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable, Set
from typing import TypeVar

import gevent

from postvalve.core.batch.job_board import BoardJob
from postvalve.core.batch.progress import SavedItem, SavedJob, job_prefix
from postvalve.core.batch.reconciliation import ItemKey
from postvalve.events import Event, EventLog
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.jobs.item_progress import PROGRESS_TOPIC, ProgressLog, unpack_segment
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.job_service import JobService
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.messages.generated import gateway

RESTORE_LIMIT = 6.0
"""Seconds after which the items of a job that was taken over start without what is not read."""

Result = TypeVar("Result")


class OwnItems:
    """This node's unfinished items by job and index."""

    def __init__(
        self,
        identity: gateway.NodeStarted,
        events: EventLog,
        log: JobLog,
        jobs: JobService,
        progress: ProgressLog,
        wake: Callable[[], None],
    ) -> None:
        """Follow the job log; `wake` is called when there may be items to start."""
        self._identity = identity
        self._events = events
        self._log = log
        self._jobs = jobs
        self._progress = progress
        self._wake = wake
        self.by_job: dict[str, dict[int, RunningItem]] = {}
        self._logged_lost: set[str] = set()
        self.draining = False
        """Whether this node is shutting down: running items finish here even if another node claims
        the job."""
        self.can_continue: Callable[[BoardJob, str | None], bool] = lambda job, version: True
        """Returns whether an engine can continue text of a version for a job's items."""
        self.ended_here: Callable[[], Set[ItemKey]] = frozenset
        """Returns the items that have ended here, but perhaps not yet on the board."""
        self.release_slot: Callable[[Placement], None] = lambda placement: None
        """Uncounts a placement at its engine."""
        self.on_job_added: Callable[[], None] = lambda: None
        """Called when a job was added."""
        progress.unfinished = self._savable
        log.add_listener(self._jobs_changed)

    def _savable(self) -> list[RunningItem]:
        """Return the items whose progress others could continue."""
        return [item for item in self.all() if item.is_version_proven]

    def all(self) -> list[RunningItem]:
        """Return all items that have not ended."""
        return [item for items in self.by_job.values() for item in items.values()]

    def remove(self, item: RunningItem) -> None:
        """Remove an item that has ended."""
        self.by_job.get(item.job_id, {}).pop(item.index, None)
        item.cancelled = True

    def drop_all(self) -> None:
        """Remove all jobs and abort their running items."""
        for job_id in list(self.by_job):
            self._drop_job(job_id)

    def _jobs_changed(self, changed_jobs: set[str]) -> None:
        for job_id in changed_jobs:
            job = self._log.board.jobs.get(job_id)
            if job is None or not job.open:
                self._drop_job(job_id)
            elif not self._is_held_here(job):
                self._release_job(job)
            elif job_id in self.by_job:
                for index in job.finished & self.by_job[job_id].keys():
                    self._drop_item(job_id, index)
            else:
                self._add_job(job)
        self._wake()

    def _is_held_here(self, job: BoardJob) -> bool:
        identity = self._identity
        return job.node_id == identity.node_id and job.incarnation == identity.incarnation

    def held_jobs(self) -> list[BoardJob]:
        """Return the open jobs that this node holds, by the board."""
        return [job for job in self._log.board.open_jobs() if self._is_held_here(job)]

    def take_up(self, job: BoardJob, indexes: Iterable[int]) -> None:
        """Work on items that this node holds but does not work on, from their saved progress."""
        items = self._new_items(job, indexes)
        self.by_job.setdefault(job.job_id, {}).update(items)
        self.on_job_added()
        self._start_restore(job, items)

    def drop(self, job_id: str, indexes: Iterable[int]) -> None:
        """Stop working on items, and abort those that run."""
        for index in indexes:
            if index in self.by_job.get(job_id, {}):
                self._drop_item(job_id, index)
        if not self.by_job.get(job_id, True):
            self._drop_job(job_id)

    def release_stalled(self, job_id: str, indexes: Iterable[int]) -> None:
        """Let items be started again that are marked as running, but that no attempt runs."""
        for index in indexes:
            item = self.by_job.get(job_id, {}).get(index)
            if item is None:
                continue
            if item.placement is not None:
                self.release_slot(item.placement)
            item.running = False
            item.placement = None
        self._wake()

    def _add_job(self, job: BoardJob) -> None:
        items = self._new_items(job, job.unfinished())
        self.by_job[job.job_id] = items
        self.on_job_added()
        if job.taken_over:
            self._start_restore(job, items)

    def _new_items(self, job: BoardJob, indexes: Iterable[int]) -> dict[int, RunningItem]:
        due, ended = job.accepted.due_at_ms, self.ended_here()
        return {
            index: RunningItem(
                job.job_id,
                index,
                job.claim_id,
                due,
                output_tokens=job.items[index].output_tokens,
                prompt_tokens=job.items[index].prompt_tokens,
                max_attempts=max(1, job.accepted.max_attempts),
            )
            for index in indexes
            if (job.job_id, index) not in ended
        }

    def _start_restore(self, job: BoardJob, items: dict[int, RunningItem]) -> None:
        for item in items.values():
            item.not_before = math.inf
            item.is_count_read = False
        gevent.spawn(self._restore, job, items)

    def _restore(self, job: BoardJob, items: dict[int, RunningItem]) -> None:
        """Restore the saved progress of a job's items after this node took the job over."""
        try:
            saved = self._read_saved(job)
        finally:
            for index, item in items.items():
                known = saved.items.get(index)
                if known is not None:
                    self._restore_item(item, known)
                if saved.is_complete and not item.is_count_read:
                    item.failures += saved.failures.get(index, 0)
                    item.is_count_read = True
                item.not_before = 0.0
            self._events.emit(
                Event.ROUTED_JOB_RESTORED,
                job=job.job_id,
                items=len(items),
                restored=len(saved.items.keys() & items.keys()),
                segments=len(saved.keys),
                unfit=saved.unfit,
            )
            self._wake()

    def _read_saved(self, job: BoardJob) -> SavedJob:
        """Return the saved progress of a job, as far as the store answers in time."""
        # The requests are wanted here, but each run can also read its own.
        requests = gevent.spawn(self._read, job, self._jobs.fetch_requests)
        progress = gevent.spawn(self._read, job, self._read_progress)
        gevent.joinall([requests, progress], timeout=RESTORE_LIMIT)
        return progress.value or SavedJob(is_complete=False)

    def _read_progress(self, job: BoardJob) -> SavedJob:
        return self._progress.restore(job, lambda version: self.can_continue(job, version))

    def _read(self, job: BoardJob, read: Callable[[BoardJob], Result]) -> Result | None:
        try:
            return read(job)
        except Exception as exc:  # the items must start, whatever it is
            self._events.emit(Event.LOG_UNAVAILABLE, error=repr(exc), job=job.job_id)
            return None

    def _restore_item(self, item: RunningItem, saved: SavedItem) -> None:
        """Let an item go on behind its saved events, or begin anew if they can't be read."""
        try:
            events = [unpack_segment(text) for text in saved.texts]
        except zlib.error:
            key = f"{job_prefix(item.job_id)}{item.index:05d}"
            self._events.emit(Event.LOG_RECORD_INVALID, topic=PROGRESS_TOPIC, key=key)
            return
        item.events = events
        item.last_event_id = saved.last_event_id
        item.version = saved.version
        item.run_seconds = saved.run_ms / 1000

    def _release_job(self, job: BoardJob) -> None:
        if job.job_id not in self.by_job:
            return
        if job.job_id not in self._logged_lost:
            self._logged_lost.add(job.job_id)
            self._events.emit(Event.ROUTED_JOB_LOST, job=job.job_id, to=job.node_id)
        if not self.draining:
            self._drop_job(job.job_id)
            return
        # Running items of a node that is shutting down finish here, as its reports tell the peers.
        for index, item in list(self.by_job[job.job_id].items()):
            if not item.running or index in job.finished:
                self._drop_item(job.job_id, index)

    def _drop_job(self, job_id: str) -> None:
        for index in list(self.by_job.get(job_id, ())):
            self._drop_item(job_id, index)
        self.by_job.pop(job_id, None)
        self._logged_lost.discard(job_id)

    def _drop_item(self, job_id: str, index: int) -> None:
        item = self.by_job[job_id].pop(index)
        item.cancelled = True
        if item.answer is not None:
            item.answer.abort()
