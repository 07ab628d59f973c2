"""Batch jobs of routed traffic for clients: take, show, give bodies, end. At any node."""

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
    RateLimitedError,
    RefusedError,
    RequestTooLargeError,
    StoreOutOfReachError,
    Verdict,
)
from postvalve.gateway.interfaces import (
    GatewaySettings,
    Headers,
    KeyedRecord,
    StoreUnavailableError,
)
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.knowledge.stored_values import ValueRef
from postvalve.messages.generated import gateway
from postvalve.settings.routes import RouteSpec

MAX_ITEMS = 10_000
"""Items of one job."""
ACCEPT_PATIENCE = 3.0
"""Seconds in which a job's acceptance is tried."""
END_PATIENCE = 2.5
"""Seconds in which an end is tried."""
REPEAT_PAUSE = 0.15
STORE_RETRY_AFTER = 0.6
"""Seconds told to a client while the store is out of reach."""
FULL_RETRY_AFTER = 1.0
"""Seconds told to a client whose job does not fit the route's waiting tokens."""
MAX_FETCHED_BYTES = 8 * 1024 * 1024
"""Requests of a larger job's items are read one by one."""
MAX_PAGE_TEXT_BYTES = 512 * 1024
"""Bytes of packed texts that one page of results reads, one at the least."""


class UndecidedError(PostvalveError):
    """The store was not heard: the job may be accepted, or the end may stand."""

    code = "undecided"
    http_status = 504
    verdict = Verdict.MAY_HAVE_RUN


@dataclass(frozen=True, slots=True)
class SubmittedItem:
    """An item as its client sent it."""

    item_id: str
    target: str
    headers: Headers
    body: bytes
    tokens: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    """The most that it may give."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as its client sent it."""

    job_id: str
    host: str
    route: RouteSpec
    service: str
    items: tuple[SubmittedItem, ...]
    tenant: str = ""
    """Who sent it; empty where nobody needs a key."""

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


@dataclass(frozen=True, slots=True)
class ListedResult:
    """The end of one item, at its position."""

    item_id: str
    completed: bool
    text: bytes


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from a position on."""

    total: int
    results: tuple[ListedResult, ...]
    next_position: int


class JobService:
    """Jobs by id."""

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
        self.requests: dict[str, list[gateway.ItemRequest]] = {}
        """Requests of open jobs' items that came to this node, or that it works on."""
        self._in_progress: set[str] = set()
        log.add_listener(self._forget_requests)

    def submit(self, submission: Submission) -> None:
        """Take a job; returns once it is durable. A resend finds it taken.

        Raises:
            RateLimitedError: it does not fit the route; nothing of it will run.
            RefusedError: nothing of it will run.
            UndecidedError: it may have been taken; a resend is safe.
        """
        started = self._clock.monotonic()
        if submission.job_id in self._log.board.jobs:
            return
        if len(submission.items) > MAX_ITEMS:
            raise RequestTooLargeError(f"a job of more than {MAX_ITEMS} items")
        self._await_former(submission.job_id)
        self._in_progress.add(submission.job_id)
        try:
            self._take(submission, started + ACCEPT_PATIENCE)
        finally:
            self._in_progress.discard(submission.job_id)

    def _await_former(self, job_id: str) -> None:
        # The same job under way at this node is decided first.
        while job_id in self._in_progress:
            gevent.sleep(0.02)

    def _take(self, submission: Submission, deadline: float) -> None:
        nonce = self._new_id()
        requests = [_item_request(item) for item in submission.items]
        partition = (
            xxhash.xxh32_intdigest(submission.job_id.encode()) % self._settings.body_partitions
        )
        try:
            if not self._log.follower.loaded:
                self._log.follower.catch_up()
            self._check_quota(submission)
            refs = self._log.store_requests(
                submission.job_id, nonce, partition, [bytes(one) for one in requests]
            )
        except StoreUnavailableError as error:
            raise self._refused(submission, error) from error
        accepted = self._record(submission, nonce, refs)
        self.requests[submission.job_id] = requests
        try:
            self._accept(submission, accepted, deadline)
        except PostvalveError:
            if submission.job_id not in self._log.board.jobs:
                self.requests.pop(submission.job_id, None)
            raise

    def _refused(self, submission: Submission, error: StoreUnavailableError) -> PostvalveError:
        self._events.emit(
            Event.ROUTED_JOB_REFUSED, job=submission.job_id, reason=error.message, waiting=-1
        )
        return StoreOutOfReachError("the store is out of reach", retry_after=STORE_RETRY_AFTER)

    def _check_quota(self, submission: Submission) -> None:
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

    def _accept(
        self, submission: Submission, accepted: gateway.JobAccepted, deadline: float
    ) -> None:
        """Append the acceptance at the end of what is known, or learn that it stands.

        An append whose answer was lost may still be done, but only while the topic ends where
        it says. So a repetition at the same place settles it, and until then nothing is told.
        """
        key = record_key(RecordKind.ACCEPT, submission.job_id, accepted.claim_id)
        record = KeyedRecord(key, bytes(accepted))
        follower = self._log.follower
        tried_at = -1
        while submission.job_id not in self._log.board.jobs:
            # Once the topic is known to have grown, an earlier try was done or never will be.
            undecided = tried_at == follower.next_offset
            if not undecided:
                self._check_quota(submission)
            offset = follower.next_offset
            try:
                if not self._log.append_at_end([record]):
                    follower.catch_up()
            except StoreUnavailableError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    tried_at = offset
                if self._clock.monotonic() + REPEAT_PAUSE >= deadline:
                    raise self._unaccepted(submission, tried_at, error) from error
                gevent.sleep(REPEAT_PAUSE)
        self._note_accepted(submission)

    def _unaccepted(
        self, submission: Submission, tried_at: int, error: StoreUnavailableError
    ) -> PostvalveError:
        if tried_at != self._log.follower.next_offset:
            return self._refused(submission, error)
        self._events.emit(Event.ROUTED_JOB_UNDECIDED, job=submission.job_id, error=error.message)
        return UndecidedError("the store does not answer")

    def _note_accepted(self, submission: Submission) -> None:
        self._events.emit(
            Event.ROUTED_JOB_ACCEPTED,
            job=submission.job_id,
            items=len(submission.items),
            tokens=submission.tokens,
            offset=self._log.follower.next_offset,
        )

    def _forget_requests(self, touched: set[str]) -> None:
        for job_id in touched & self.requests.keys():
            job = self._log.board.jobs.get(job_id)
            if job is not None and not job.open:
                del self.requests[job_id]

    def results(self, job_id: str, position: int, wait: float) -> ResultPage:
        """Results from `position` on; waits up to `wait` seconds for one.

        Raises:
            NotFoundError: there is no such job.
            RefusedError: this node can't be sure.
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
        ends = job.results[position:]
        texts = self._texts(ends)
        listed = tuple(_listed(job, *one) for one in zip(ends, texts, strict=False))
        return ResultPage(len(job.items), listed, position + len(listed))

    def _texts(self, ends: list[ItemEnd]) -> list[bytes]:
        """Texts of the first of these ends, as many as one page holds.

        Raises:
            RefusedError: not even the first can be read now.
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
            # What this node has read before is told all the same.
            at_hand = list(itertools.takewhile(self._log.texts.is_cached, ends[:count]))
            self._events.emit(
                Event.LOG_UNAVAILABLE, error=exc.message, texts=count, at_hand=len(at_hand)
            )
            if not at_hand:
                raise RefusedError(
                    "the store is out of reach", retry_after=STORE_RETRY_AFTER
                ) from exc
            return self._log.texts.get(at_hand)

    def _job(self, job_id: str) -> BoardJob:
        job = self._log.board.jobs.get(job_id)
        if job is not None:
            return job
        try:
            self._log.follower.catch_up()
        except StoreUnavailableError as error:
            raise RefusedError(
                "the store is out of reach", retry_after=STORE_RETRY_AFTER
            ) from error
        job = self._log.board.jobs.get(job_id)
        if job is None:
            raise NotFoundError("there is no such job")
        return job

    def _require_fresh(self) -> None:
        """Be sure that nothing was missed.

        Raises:
            RefusedError: this node can't be.
        """
        if self._log.is_fresh(self._settings.read_patience):
            return
        try:
            self._log.follower.catch_up()
        except StoreUnavailableError as error:
            raise RefusedError(
                "the store is out of reach", retry_after=STORE_RETRY_AFTER
            ) from error

    def body(self, job_id: str, item_id: str) -> bytes:
        """The body of an item.

        Raises:
            NotFoundError: there is no such item.
            RefusedError: the store is out of reach.
        """
        job = self._job(job_id)
        index = job.index_of(item_id)
        if index is None:
            raise NotFoundError("there is no such item")
        return self.item_request(job, index).body

    def item_request(self, job: BoardJob, index: int) -> gateway.ItemRequest:
        """What an item is sent as, from memory or from the store.

        Raises:
            NotFoundError: it is not kept any more.
            RefusedError: the store is out of reach.
        """
        kept = self.requests.get(job.job_id)
        if kept is not None:
            return kept[index]
        try:
            return gateway.ItemRequest().parse(self._log.request(job, index))
        except StoreUnavailableError as error:
            raise RefusedError(
                "the store is out of reach", retry_after=STORE_RETRY_AFTER
            ) from error

    def fetch_requests(self, job: BoardJob) -> None:
        """Get the requests of a job that this node works on now, with as few calls as may be.

        Its items run several times where they give way, and each run needs the request.
        """
        size = sum(item.request_bytes for item in job.items)
        if job.job_id in self.requests or size > MAX_FETCHED_BYTES:
            return
        try:
            found = self._log.requests(job)
        except (StoreUnavailableError, NotFoundError) as exc:
            # Each run asks for its own.
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, job=job.job_id)
            return
        known = self._log.board.jobs.get(job.job_id)
        if known is not None and known.open:
            self.requests[job.job_id] = [gateway.ItemRequest().parse(one) for one in found]

    def end(self, job_id: str) -> None:
        """End a job; what is listed stays.

        Raises:
            NotFoundError: there is no such job.
            RefusedError: this node can't be sure.
            UndecidedError: the end may stand; another one is safe.
        """
        job = self._job(job_id)
        if job.ended:
            return
        ended = gateway.JobEnded(job_id=job_id, ended_at_ms=milliseconds(self._clock.wall()))
        key = record_key(RecordKind.END, job_id, self._new_id())
        try:
            self._log.append([KeyedRecord(key, bytes(ended))], END_PATIENCE)
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
