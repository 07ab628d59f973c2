"""Manages the jobs of held shards: dispatches items to engine owners and records results."""

from __future__ import annotations

import itertools
import json
from collections import Counter

import gevent

from postvalve.clock import milliseconds
from postvalve.core.batch.identity import job_stream, shard_of
from postvalve.core.batch.job_ledger import JobLedger, is_success
from postvalve.core.batch.scheduler import (
    BatchScheduler,
    Dispatch,
    ItemKey,
    ScheduledJob,
)
from postvalve.core.membership.view import StateChanged
from postvalve.events import Event
from postvalve.exceptions import LogUnavailableError, PostvalveError
from postvalve.messages.generated import peer, records
from postvalve.messages.records_codec import Record
from postvalve.node.background import BackgroundTasks
from postvalve.node.batch.cancel_notices import CancelNotices
from postvalve.node.batch.item_bodies import ItemBodies, ItemBody
from postvalve.node.batch.job_store import JobStore
from postvalve.node.batch.result_committer import ResultCommitter
from postvalve.node.batch.shard_leases import ShardLeases
from postvalve.node.batch.start_records import StartRecords
from postvalve.node.context import NodeContext
from postvalve.node.membership_service import MembershipService
from postvalve.states import JobState, NodeState

MAX_ITEMS_PER_PULL = 64
"""Maximum number of items in one reply to a pull."""
LOG_RETRY_DELAY = 1.0
"""Seconds before a failed call to the log is retried."""
ENGINE_FAILURE_STATUS = 502
"""HTTP status recorded for an item that ended without an answer of an engine."""
MAX_RECOVERIES = 20
"""Failed attempts after which a repeatable item ends as failed, since the item may be what makes
engines fail."""


class BatchHolder:
    """Holds jobs: schedules their items, answers engine owners and closes ended jobs.

    A node holds the jobs of the shards whose leases it has.
    """

    def __init__(
        self, context: NodeContext, membership: MembershipService, store: JobStore
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._metrics = context.metrics
        self._writer = context.writer
        self._new_id = context.new_id
        self._membership = membership
        self._store = store
        self._scheduler = BatchScheduler()
        self._starts = StartRecords(context, store)
        self._notices = CancelNotices(context, membership)
        self._bodies = ItemBodies(context.log)
        self._custom_ids: dict[ItemKey, str] = {}
        self._recoveries: Counter[ItemKey] = Counter()
        self._loading: set[str] = set()
        self._closing: set[str] = set()
        self.committer = ResultCommitter(context.writer, context.events, self._results_committed)
        self.leases = ShardLeases(context, membership, self)
        membership.add_listener(self._node_state_changed)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start the background tasks that maintain leases and commit results."""
        self.leases.start(tasks)
        tasks.loop(self.committer.run_once)

    def waiting_by_model(self) -> dict[str, int]:
        """Return the number of items that wait for an engine, by model."""
        return self._scheduler.waiting_by_model()

    # ShardListener

    def shard_acquired(self, shard: int, open_jobs: list[str]) -> None:
        """See `ShardListener`."""
        for job_id in open_jobs:
            self.job_opened(shard, job_id)

    def shard_lost(self, shard: int) -> None:
        """See `ShardListener`. Dispatched items still finish at their engine owners."""
        for job_id in self._scheduler.job_ids():
            if shard_of(job_id, self._settings.shards) == shard:
                self._scheduler.remove(job_id)

    def job_opened(self, shard: int, job_id: str) -> None:
        """See `ShardListener`."""
        if job_id not in self._scheduler and job_id not in self._loading:
            self._loading.add(job_id)
            gevent.spawn(self._load_job, shard, job_id)

    def job_cancel_requested(self, shard: int, job_id: str) -> None:
        """See `ShardListener`."""
        gevent.spawn(self._catch_up, job_id)

    def _load_job(self, shard: int, job_id: str) -> None:
        ledger = JobLedger(job_id)
        try:
            while self.leases.holds(shard):
                try:
                    self._store.catch_up(ledger)
                    break
                except LogUnavailableError:
                    gevent.sleep(LOG_RETRY_DELAY)
            else:
                return
        finally:
            self._loading.discard(job_id)
        if not ledger.exists:
            return
        job = ScheduledJob(ledger, ledger.accepted.deadline_at_ms / 1000)
        job.withheld.update(ledger.unfinished_starts())
        self._scheduler.add(job)
        self._events.emit(Event.JOB_LOADED, job=job_id, remaining=ledger.remaining)
        self._schedule_unknown_starts(job)
        self._close_if_ended(job)
        self._membership.announce()

    def _schedule_unknown_starts(self, job: ScheduledJob) -> None:
        """Schedule the end of items that an earlier holder started, unless a result comes first."""
        for item_index in list(job.withheld):
            self._end_after_lease(ItemKey(job.ledger.job_id, item_index))

    def _end_after_lease(self, key: ItemKey) -> None:
        """End an item as "may have run" after one lease duration, unless it has a result then."""
        delay = self._settings.timing.lease_duration
        gevent.spawn_later(delay, self._end_as_may_have_run, key)

    # Requests from engine owners

    def pull(self, request: peer.ItemPull) -> list[peer.ItemAssignment]:
        """Return items to run at an engine with free slots."""
        self._recover_lost_items(request)
        keys = self._scheduler.take(
            request.models, min(request.slots, MAX_ITEMS_PER_PULL), self._clock.wall()
        )
        assignments: list[peer.ItemAssignment] = []
        for job_id, job_keys in itertools.groupby(keys, key=lambda key: key.job_id):
            assignments += self._assign_items(request, job_id, list(job_keys))
        return assignments

    def _recover_lost_items(self, request: peer.ItemPull) -> None:
        lost = self._scheduler.lost_dispatches(
            request.node_id, request.incarnation, request.engine_id, set(request.held_attempts)
        )
        for dispatch in lost:
            gevent.spawn(self._recover_with_retry, dispatch.key)

    def _assign_items(
        self, request: peer.ItemPull, job_id: str, keys: list[ItemKey]
    ) -> list[peer.ItemAssignment]:
        job = self._scheduler.job(job_id)
        if job is None or not self._holds(job_id):
            return self._requeue(keys)
        attempts = {key: self._starts.attempt_for(key) for key in keys}
        try:
            file_id = job.ledger.accepted.input_file_id
            bodies = {key: self._bodies.get(file_id, key.item_index) for key in keys}
            if job.ledger.accepted.at_most_once:
                attempts = self._record_starts(job, attempts)
        except LogUnavailableError:
            return self._requeue(keys)
        return [
            self._assign(request, job, key, attempt_id, bodies[key])
            for key, attempt_id in attempts.items()
        ]

    def _requeue(self, keys: list[ItemKey]) -> list[peer.ItemAssignment]:
        for key in keys:
            self._scheduler.requeue(key)
        return []

    def _assign(
        self,
        request: peer.ItemPull,
        job: ScheduledJob,
        key: ItemKey,
        attempt_id: str,
        item: ItemBody,
    ) -> peer.ItemAssignment:
        submission = job.ledger.accepted
        now = self._clock.monotonic()
        self._custom_ids[key] = item.custom_id
        self._scheduler.dispatched(
            Dispatch(key, attempt_id, request.node_id, request.incarnation, request.engine_id, now)
        )
        return peer.ItemAssignment(
            job_id=key.job_id,
            item_index=key.item_index,
            attempt_id=attempt_id,
            tenant=submission.tenant,
            rank=submission.rank,
            request_body=item.body,
            at_most_once=submission.at_most_once,
        )

    def _record_starts(self, job: ScheduledJob, attempts: dict[ItemKey, str]) -> dict[ItemKey, str]:
        """Record the starts of at-most-once items, and return the attempts that may run.

        Items whose first recorded start is another attempt are withheld.

        Raises:
            LogUnavailableError: if the starts could not be confirmed; the next pull repeats them.
        """
        first_starts = self._starts.record(job.ledger, attempts)
        may_run = first_starts if self._holds(job.ledger.job_id) else {}
        for key in [key for key in attempts if key not in may_run]:
            self._scheduler.withhold(key)
            self._end_after_lease(key)
        return may_run

    def _holds(self, job_id: str) -> bool:
        return self.leases.holds(shard_of(job_id, self._settings.shards))

    def report(self, report: peer.ItemReport) -> peer.ItemReportReply:
        """Process the report of an engine owner; a result is durable on return."""
        key = ItemKey(report.job_id, report.item_index)
        job = self._scheduler.job(report.job_id)
        if job is None:
            return self._report_of_unknown_job(report)
        if job.ledger.is_finished(report.item_index) or job.ledger.state.is_terminal:
            self._scheduler.finished(key, self._clock.monotonic())
            return peer.ItemReportReply(accepted=True)
        outcome = report.outcome
        if outcome in (
            peer.ItemOutcome.ITEM_OUTCOME_COMPLETED,
            peer.ItemOutcome.ITEM_OUTCOME_FAILED,
        ):
            self._commit_result(job, key, report)
        elif outcome == peer.ItemOutcome.ITEM_OUTCOME_MAY_HAVE_RUN:
            self._recover(key)
        else:
            self._handle_not_run(job, key, report.attempt_id)
        return peer.ItemReportReply(accepted=True)

    def _report_of_unknown_job(self, report: peer.ItemReport) -> peer.ItemReportReply:
        if self._holds(report.job_id):
            ledger = self._store.refresh(report.job_id)
            if ledger.exists and ledger.state.is_terminal:
                return peer.ItemReportReply(accepted=True)
        return peer.ItemReportReply(not_holder=True)

    def _commit_result(self, job: ScheduledJob, key: ItemKey, report: peer.ItemReport) -> None:
        result = records.ItemResult(
            item_index=key.item_index,
            attempt_id=report.attempt_id,
            custom_id=self._custom_id(job, key),
            status_code=report.status_code,
            response_body=report.response_body,
        )
        self.committer.commit(key.job_id, result)

    def _custom_id(self, job: ScheduledJob, key: ItemKey) -> str:
        custom_id = self._custom_ids.get(key)
        if custom_id is None:
            file_id = job.ledger.accepted.input_file_id
            custom_id = self._bodies.get(file_id, key.item_index).custom_id
        return custom_id

    def _handle_not_run(self, job: ScheduledJob, key: ItemKey, attempt_id: str) -> None:
        dispatch = self._scheduler.dispatch_of(key)
        if dispatch is None or dispatch.attempt_id != attempt_id:
            return
        if job.ledger.accepted.at_most_once:
            # Only the first recorded start may run, and this item already has one.
            self._end_as_may_have_run(key)
        else:
            self._scheduler.requeue(key)

    def _recover(self, key: ItemKey) -> None:
        """Requeue an item whose attempt may have run, or end it if it must not run again."""
        job = self._scheduler.job(key.job_id)
        if job is None or job.ledger.is_finished(key.item_index):
            return
        if job.ledger.accepted.at_most_once:
            self._end_as_may_have_run(key)
            return
        self._recoveries[key] += 1
        if self._recoveries[key] >= MAX_RECOVERIES:
            self._end_as_failed(job, key)
            return
        self._events.emit(Event.ITEM_RECOVERED, job=key.job_id, item=key.item_index)
        self._scheduler.requeue(key)

    def _end_as_failed(self, job: ScheduledJob, key: ItemKey) -> None:
        """End an item after `MAX_RECOVERIES` failures, since it may be what makes engines fail."""
        message = f"engines failed {MAX_RECOVERIES} times while they ran this item"
        result = records.ItemResult(
            item_index=key.item_index,
            attempt_id=self._new_id(),
            custom_id=self._custom_id(job, key),
            status_code=ENGINE_FAILURE_STATUS,
            response_body=json.dumps({"error": {"message": message}}).encode("utf-8"),
        )
        self._events.emit(Event.ITEM_GIVEN_UP, job=key.job_id, item=key.item_index)
        self.committer.commit(key.job_id, result)

    def _end_as_may_have_run(self, key: ItemKey) -> None:
        job = self._scheduler.job(key.job_id)
        if job is None or job.ledger.is_finished(key.item_index):
            return
        if job.ledger.state.is_terminal:
            return
        self._events.emit(Event.ITEM_MAY_HAVE_RUN, job=key.job_id, item=key.item_index)
        result = records.ItemResult(
            item_index=key.item_index,
            attempt_id=job.ledger.start_of(key.item_index) or "",
            custom_id=self._custom_id(job, key),
            status_code=ENGINE_FAILURE_STATUS,
            may_have_run=True,
        )
        self.committer.commit(key.job_id, result)

    # Durable records

    def _results_committed(self, job_id: str, offset: int, body: records.ItemsFinished) -> None:
        job = self._scheduler.job(job_id)
        if job is None:
            return
        ledger = job.ledger
        if offset == ledger.next_offset:
            # No other record was appended in between, so there is nothing to read.
            ledger.observe(offset, Record("", body))
        else:
            self._store.catch_up(ledger)
        now = self._clock.monotonic()
        for result in body.results:
            key = ItemKey(job_id, result.item_index)
            self._observe_duration(ledger.accepted.model, key, now)
            self._scheduler.finished(key, now)
            self._custom_ids.pop(key, None)
            self._recoveries.pop(key, None)
            outcome = "completed" if is_success(result) else "failed"
            self._metrics.items.labels(ledger.accepted.tenant, outcome).inc()
        self._close_if_ended(job)

    def _observe_duration(self, model: str, key: ItemKey, now: float) -> None:
        dispatch = self._scheduler.dispatch_of(key)
        if dispatch is not None:
            self._metrics.item_duration.labels(model).observe(now - dispatch.dispatched_at)

    def _catch_up(self, job_id: str) -> None:
        job = self._scheduler.job(job_id)
        if job is None:
            return
        try:
            self._store.catch_up(job.ledger)
        except LogUnavailableError:
            gevent.spawn_later(LOG_RETRY_DELAY, self._catch_up, job_id)
            return
        self._close_if_ended(job)

    def _close_if_ended(self, job: ScheduledJob) -> None:
        ledger = job.ledger
        if not ledger.state.is_terminal or ledger.job_id in self._closing:
            return
        self._closing.add(ledger.job_id)
        self._events.emit(Event.JOB_ENDED, job=ledger.job_id, state=ledger.state.value)
        for dispatch in self._scheduler.remove(ledger.job_id):
            self._custom_ids.pop(dispatch.key, None)
        if ledger.state is JobState.CANCELLED:
            self._notices.send(ledger.job_id)
        self._bodies.evict(ledger.accepted.input_file_id)
        gevent.spawn(self._append_end, job)

    def _append_end(self, job: ScheduledJob) -> None:
        ledger = job.ledger
        try:
            if ledger.state is JobState.COMPLETED and not ledger.ended_at_ms:
                finished = records.JobFinished(finished_at_ms=milliseconds(self._clock.wall()))
                self._writer.append(job_stream(ledger.job_id), finished)
            shard = shard_of(ledger.job_id, self._settings.shards)
            self.leases.append_job_closed(shard, ledger.job_id)
        except LogUnavailableError as error:
            self._events.emit(Event.LOG_UNAVAILABLE, job=ledger.job_id, error=error.message)
            gevent.spawn_later(LOG_RETRY_DELAY, self._append_end, job)
            return
        self._closing.discard(ledger.job_id)

    # State changes of engine owners

    def _node_state_changed(self, change: StateChanged) -> None:
        for dispatch in self._scheduler.dispatches():
            if dispatch.owner_id != change.node_id:
                continue
            restarted = dispatch.owner_incarnation < change.incarnation
            if restarted or change.state is NodeState.DEAD:
                gevent.spawn(self._recover_with_retry, dispatch.key)

    def _recover_with_retry(self, key: ItemKey) -> None:
        try:
            self._recover(key)
        except PostvalveError as error:
            self._events.emit(Event.LOG_UNAVAILABLE, job=key.job_id, error=error.message)
            gevent.spawn_later(LOG_RETRY_DELAY, self._recover_with_retry, key)
