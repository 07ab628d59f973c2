"""Client interface to routed batch jobs at any node: submit, list results, read bodies, cancel."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import xxhash

from postvalve.clock import Clock, milliseconds
from postvalve.core.batch.item_end import ItemEnd, ItemState
from postvalve.core.batch.job_board import JOB_FORM, BoardJob, RecordKind, record_key
from postvalve.core.batch.job_items import ItemSpec, pack_items
from postvalve.events import Event, EventLog
from postvalve.exceptions import (
    NotFoundError,
    PostvalveError,
    RefusedError,
    RequestTooLargeError,
)
from postvalve.gateway.interfaces import GatewaySettings, KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs.job_acceptance import (
    STORE_RETRY_AFTER,
    JobAcceptance,
    UndecidedError,
)
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.submission import Submission, SubmittedItem
from postvalve.gateway.knowledge.stored_values import ValueRef
from postvalve.messages.framing import FrameError, parse_message
from postvalve.messages.generated import gateway

MAX_ITEMS = 10_000
"""Maximum number of items of one job."""
ACCEPT_TIMEOUT = 3.0
"""Seconds for which a job's acceptance is tried."""
END_TIMEOUT = 2.5
"""Seconds for which writing a job's end is tried."""
DENIAL_TIMEOUT = 0.25
"""Seconds that a read of the jobs may take before a caller is told that there is no such job."""
READ_TIMEOUT = 1.5
"""Seconds that a read of the jobs may take before results are told."""
MAX_FETCHED_BYTES = 8 * 1024 * 1024
"""Limit up to which a job's requests are fetched at once; those of larger jobs are read one by
one."""
MAX_PAGE_TEXT_BYTES = 512 * 1024
"""Compressed text bytes of one page of results; a page holds at least one result."""


class UnreadableRequestError(PostvalveError):
    """Raised for a stored request that can't be parsed."""


@dataclass(frozen=True, slots=True)
class ListedResult:
    """Result of one item, as listed for clients."""

    item_id: str
    completed: bool
    text: bytes


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from one position on."""

    total: int
    results: tuple[ListedResult, ...]
    next_position: int


class JobService:
    """Handles client requests about jobs."""

    def __init__(
        self,
        settings: GatewaySettings,
        identity: gateway.NodeStarted,
        clock: Clock,
        events: EventLog,
        log: JobLog,
        new_id: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._events = events
        self._log = log
        self._new_id = new_id
        self._acceptance = JobAcceptance(clock, events, log)
        self.requests: dict[str, list[gateway.ItemRequest]] = {}
        """Requests of items by job, for open jobs that were submitted to this node or run here."""
        self._in_progress: set[str] = set()
        log.add_listener(self._forget_requests)

    def submit(self, submission: Submission) -> None:
        """Accept a job; returns once it is durable. A resend of an accepted job changes nothing.

        Raises:
            RateLimitedError: It exceeds the route's limit; nothing of it will run.
            RefusedError: Nothing of it will run.
            UndecidedError: It may have been accepted; a resend is safe.
        """
        started = self._clock.monotonic()
        if submission.job_id in self._log.board.jobs:
            return
        if len(submission.items) > MAX_ITEMS:
            raise RequestTooLargeError(f"a job of more than {MAX_ITEMS} items")
        self._await_concurrent_submission(submission.job_id)
        self._in_progress.add(submission.job_id)
        try:
            self._submit_new(submission, started + ACCEPT_TIMEOUT)
        finally:
            self._in_progress.discard(submission.job_id)

    def _await_concurrent_submission(self, job_id: str) -> None:
        # A concurrent submission of the same job to this node is decided first.
        while job_id in self._in_progress:
            gevent.sleep(0.02)

    def _submit_new(self, submission: Submission, deadline: float) -> None:
        if self._acceptance.prepare(submission):
            return
        nonce = self._new_id()
        requests = [_item_request(item) for item in submission.items]
        partition = (
            xxhash.xxh32_intdigest(submission.job_id.encode()) % self._settings.body_partitions
        )
        try:
            refs = self._log.store_requests(
                submission.job_id, nonce, partition, [bytes(request) for request in requests]
            )
        except StoreUnavailableError as error:
            raise self._acceptance.refusal(submission, error.message) from error
        accepted = self._record(submission, nonce, refs)
        self.requests[submission.job_id] = requests
        try:
            self._acceptance.accept(submission, accepted, deadline)
        except PostvalveError:
            if submission.job_id not in self._log.board.jobs:
                self.requests.pop(submission.job_id, None)
            raise

    def _record(
        self, submission: Submission, nonce: str, refs: list[ValueRef]
    ) -> gateway.JobAccepted:
        route, batch = submission.route, submission.route.batch
        assert batch is not None
        now_ms = milliseconds(self._clock.wall())
        return gateway.JobAccepted(
            job_id=submission.job_id,
            route=route.name,
            host=submission.host,
            service=submission.service,
            items=pack_items(
                ItemSpec(
                    item.item_id,
                    item.tokens,
                    item.prompt_tokens,
                    item.output_tokens,
                    ref.records,
                    ref.size,
                )
                for item, ref in zip(submission.items, refs, strict=True)
            ),
            accepted_at_ms=now_ms,
            due_at_ms=now_ms + milliseconds(batch.run_target),
            give_up_at_ms=now_ms + milliseconds(batch.keep),
            max_attempts=route.max_attempts,
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            claim_id=nonce,
            request_partition=refs[0].partition,
            request_offset=refs[0].offset,
            form=JOB_FORM,
            tenant=submission.tenant,
            share_clock=self._log.board.shares.clock,
        )

    def _forget_requests(self, changed_jobs: set[str]) -> None:
        for job_id in changed_jobs & self.requests.keys():
            job = self._log.board.jobs.get(job_id)
            if job is not None and not job.open:
                del self.requests[job_id]

    def results(self, job_id: str, position: int, wait: float) -> ResultPage:
        """Return the results from `position` on; waits up to `wait` seconds for one.

        Raises:
            NotFoundError: There is no such job.
            RefusedError: This node may not be up to date.
        """
        job = self._job(job_id)
        deadline = self._clock.monotonic() + wait
        while position >= len(job.results) and job.open:
            left = deadline - self._clock.monotonic()
            if left <= 0:
                break
            self._log.changed.wait(left)
            job = self._log.board.jobs.get(job_id, job)
        if position >= len(job.results):
            self._require_fresh()
            # A read of the whole topic makes a new board.
            job = self._log.board.jobs.get(job_id, job)
        ends = job.results[position:]
        texts = self._texts(ends)
        listed = tuple(_listed(job, *result) for result in zip(ends, texts, strict=False))
        return ResultPage(len(job.items), listed, position + len(listed))

    def _texts(self, ends: list[ItemEnd]) -> list[bytes]:
        """Return the texts of the first of these ends, as many as one page holds.

        Raises:
            RefusedError: Not even the first one can be read now.
        """
        size, count = 0, 0
        for end in ends:
            size += end.text_bytes
            if count and size > MAX_PAGE_TEXT_BYTES:
                break
            count += 1
        try:
            return self._log.texts.get(ends[:count])
        except (StoreUnavailableError, NotFoundError) as exc:
            # Texts that this node has cached are returned anyway.
            cached = list(itertools.takewhile(self._log.texts.is_cached, ends[:count]))
            self._events.emit(
                Event.LOG_UNAVAILABLE, error=exc.message, texts=count, at_hand=len(cached)
            )
            if not cached:
                raise RefusedError(
                    "the store is out of reach", retry_after=STORE_RETRY_AFTER
                ) from exc
            return self._log.texts.get(cached)

    def _job(self, job_id: str) -> BoardJob:
        job = self._log.board.jobs.get(job_id)
        if job is not None:
            return job
        if not self._log.await_current(DENIAL_TIMEOUT):
            raise RefusedError(
                "this node may not know the job yet (missing: a read of the jobs)",
                retry_after=STORE_RETRY_AFTER,
            )
        job = self._log.board.jobs.get(job_id)
        if job is None:
            raise NotFoundError("there is no such job")
        return job

    def _require_fresh(self) -> None:
        """Ensure that the board is up to date.

        Raises:
            RefusedError: The store does not answer.
        """
        if self._log.is_fresh(self._settings.read_patience):
            return
        if not self._log.await_current(READ_TIMEOUT):
            raise RefusedError(
                "the store is out of reach (missing: a read of the jobs)",
                retry_after=STORE_RETRY_AFTER,
            )

    def body(self, job_id: str, item_id: str) -> bytes:
        """Return the body of an item.

        Raises:
            NotFoundError: There is no such item.
            UnreadableRequestError: What is stored can't be parsed.
            RefusedError: The store is out of reach.
        """
        job = self._job(job_id)
        index = job.index_of(item_id)
        if index is None:
            raise NotFoundError("there is no such item")
        return self.item_request(job, index).body

    def item_request(self, job: BoardJob, index: int) -> gateway.ItemRequest:
        """Return the request of an item, from memory or from the store.

        Raises:
            NotFoundError: It is no longer stored.
            UnreadableRequestError: What is stored can't be parsed.
            RefusedError: The store is out of reach.
        """
        kept = self.requests.get(job.job_id)
        if kept is not None:
            return kept[index]
        try:
            stored = self._log.request(job, index)
        except StoreUnavailableError as error:
            raise RefusedError(
                "the store is out of reach", retry_after=STORE_RETRY_AFTER
            ) from error
        try:
            request = parse_message(gateway.ItemRequest, stored)
        except FrameError as exc:
            raise UnreadableRequestError(f"stored request unreadable: {exc!r}") from exc
        assert isinstance(request, gateway.ItemRequest)
        return request

    def fetch_requests(self, job: BoardJob) -> None:
        """Fetch all requests of a job that this node now works on, with as few calls as possible.

        Items run several times if they are preempted, and each run needs the request.
        """
        size = sum(item.request_bytes for item in job.items)
        if job.job_id in self.requests or size > MAX_FETCHED_BYTES:
            return
        try:
            found = self._log.requests(job)
        except (StoreUnavailableError, NotFoundError) as exc:
            # Each run then reads its own request.
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, job=job.job_id)
            return
        known = self._log.board.jobs.get(job.job_id)
        if known is not None and known.open:
            self.requests[job.job_id] = [gateway.ItemRequest().parse(request) for request in found]

    def end(self, job_id: str) -> None:
        """Cancel a job; results that are already listed stay.

        Raises:
            NotFoundError: There is no such job.
            RefusedError: This node may not be up to date.
            UndecidedError: The cancel may have been recorded; repeating it is safe.
        """
        job = self._job(job_id)
        if job.ended:
            return
        ended = gateway.JobEnded(job_id=job_id, ended_at_ms=milliseconds(self._clock.wall()))
        key = record_key(RecordKind.END, job_id, self._new_id())
        try:
            self._log.append([KeyedRecord(key, bytes(ended))], END_TIMEOUT)
            self._log.follower.catch_up()
        except StoreUnavailableError as error:
            raise UndecidedError("the store does not answer") from error
        self._events.emit(Event.ROUTED_JOB_ENDED, job=job_id, listed=len(job.results))


def _listed(job: BoardJob, result: ItemEnd, text: bytes) -> ListedResult:
    return ListedResult(
        item_id=job.items[result.item_index].item_id,
        completed=result.state == ItemState.COMPLETED,
        text=text,
    )


def _item_request(item: SubmittedItem) -> gateway.ItemRequest:
    headers = [gateway.ItemHeader(name=name, value=value) for name, value in item.headers]
    return gateway.ItemRequest(target=item.target, headers=headers, body=item.body)
