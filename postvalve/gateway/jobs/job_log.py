"""Reads and writes the topic of batch jobs, and the stored requests of their items."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping, Sequence

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.batch.job_board import BoardJob, JobBoard, board_of
from postvalve.events import Event, EventLog
from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import (
    GatewaySettings,
    KeyedRecord,
    KeyedTopics,
    PositionTakenError,
    StoreUnavailableError,
)
from postvalve.gateway.jobs.result_texts import ResultTexts
from postvalve.gateway.knowledge.listeners import notify
from postvalve.gateway.knowledge.stored_values import ValueRef, ValueStore
from postvalve.gateway.knowledge.topic_follower import TopicFollower

JOB_TOPIC = "jobs"
REQUEST_TOPIC = "requests"
FOLLOW_POLL_TIMEOUT = 1.7
"""Seconds that a read of the job topic waits for a record. Answers that need an up-to-date board
read separately (see `is_fresh`), so this only delays noticing that the path to the store has
failed. The end of a job must be known within 3 s."""
FOLLOW_INTERVAL = 0.4
"""Seconds between such reads. Each read has a cost, and an acknowledged write need not be known for
a second; a client that waits for a result gets it at most this much later."""
RETRY_DELAY = 0.1
"""Seconds before a failed call is repeated, doubled with each repetition."""
MAX_RETRY_DELAY = 0.8

ChangeListener = Callable[[set[str]], None]
"""Called with the ids of the jobs that changed."""


class JobLog:
    """Board of all jobs, kept up to date from their topic, and appends to it."""

    def __init__(
        self,
        settings: GatewaySettings,
        topics: KeyedTopics,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._topics = topics
        self._clock = clock
        self._events = events
        self._requests = ValueStore(
            topics, REQUEST_TOPIC, settings.record_bytes, settings.call_bytes
        )
        self.texts = ResultTexts(settings, topics)
        self._weights: Mapping[str, float] = {}
        self.board = JobBoard()
        self.changed = GeventEvent()
        self.await_current: Callable[[float], bool] = self._read_current
        """Waits, for some seconds at most, until the board holds all that was acknowledged before
        the call; returns whether it does."""
        self._listeners: list[ChangeListener] = []
        self.follower = TopicFollower(
            topics,
            clock,
            events,
            JOB_TOPIC,
            self._observe,
            wait=FOLLOW_POLL_TIMEOUT,
            pause=FOLLOW_INTERVAL,
        )

    def add_listener(self, listener: ChangeListener) -> None:
        """Register a listener for changed jobs."""
        self._listeners.append(listener)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Apply the tenants' weights of the present configuration."""
        self._weights = weights
        self.board.shares.set_weights(weights)

    def _observe(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        changed_jobs: set[str] = set()
        if is_snapshot:
            records_read = ((record.offset, record.key, record.value) for record in records)
            self.board = board_of(records_read, self._weights)
            changed_jobs.update(self.board.jobs)
        else:
            for record in records:
                job_id = self.board.observe(record.offset, record.key, record.value)
                if job_id is not None:
                    changed_jobs.add(job_id)
        self._log_unreadable()
        if not changed_jobs:
            return
        notify(self._listeners, changed_jobs, self._events)
        changed, self.changed = self.changed, GeventEvent()
        changed.set()

    def _log_unreadable(self) -> None:
        keys, self.board.unreadable = self.board.unreadable, []
        for key in keys:
            self._events.emit(Event.LOG_RECORD_INVALID, topic=JOB_TOPIC, key=key)

    def _read_current(self, timeout: float) -> bool:
        try:
            self.follower.read_current()
        except StoreUnavailableError:
            return False
        return True

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._clock.monotonic()

    def silence(self) -> float:
        """Return the seconds since the store last answered."""
        return self._clock.monotonic() - self.follower.answered_at

    def is_fresh(self, max_age: float) -> bool:
        """Return whether the board holds everything that was acknowledged `max_age` seconds ago."""
        return self._clock.monotonic() - self.follower.fresh_at <= max_age

    def append(self, records: Sequence[KeyedRecord], timeout: float) -> None:
        """Append records, retrying until the store accepts them.

        An attempt without an answer may have taken effect. The topic keeps only the newest record
        of a key, and a retry under the same key would move the record behind others. So each retry
        uses new keys, and readers ignore what they already have.

        Raises:
            StoreUnavailableError: After `timeout` seconds; the verdict is NOT_RUN only if no
                attempt may have taken effect.
        """
        deadline = self._clock.monotonic() + timeout
        verdict, delay = Verdict.NOT_RUN, RETRY_DELAY
        for attempt in itertools.count():
            try:
                self._topics.append(JOB_TOPIC, 0, _for_attempt(records, attempt))
                return
            except StoreUnavailableError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = error.verdict
                if self._clock.monotonic() + delay >= deadline:
                    raise StoreUnavailableError(error.message, verdict) from error
            gevent.sleep(delay)
            delay = min(MAX_RETRY_DELAY, delay * 2)

    def append_at_end(self, records: Sequence[KeyedRecord]) -> bool:
        """Append if the topic holds nothing that this board does not, and apply the records to it.

        Returns:
            Whether the records were appended; if not, the board must catch up first.

        Raises:
            StoreUnavailableError: With the verdict of the append; if only the read after it fails,
                the verdict is MAY_HAVE_RUN.
        """
        try:
            offset = self._topics.append(JOB_TOPIC, 0, records, at=self.follower.next_offset)
        except PositionTakenError:
            return False
        if not self.follower.record_own_write(records, offset):
            try:
                self.follower.catch_up()
            except StoreUnavailableError as error:
                raise StoreUnavailableError(error.message, Verdict.MAY_HAVE_RUN) from error
        return True

    # Requests of items

    def store_requests(
        self, job_id: str, nonce: str, partition: int, requests: Sequence[bytes]
    ) -> list[ValueRef]:
        """Store the requests of a job's items in consecutive records.

        Raises:
            StoreUnavailableError: They may not be durable; nothing refers to them.
        """
        keyed = [
            (_request_prefix(job_id, nonce, index), request)
            for index, request in enumerate(requests)
        ]
        return self._requests.put(partition, keyed)

    def request(self, job: BoardJob, index: int) -> bytes:
        """Read the request of an item.

        Raises:
            NotFoundError: It is no longer stored.
            StoreUnavailableError: The store does not answer.
        """
        return self._requests.get([_request_refs(job)[index]])[0]

    def requests(self, job: BoardJob) -> list[bytes]:
        """Read the requests of all items of a job.

        Raises:
            NotFoundError: One of them is no longer stored.
            StoreUnavailableError: The store does not answer.
        """
        return self._requests.get(_request_refs(job))

    def drop_jobs(self, jobs: Sequence[BoardJob]) -> None:
        """Delete all records of expired jobs.

        Raises:
            StoreUnavailableError: The next call continues.
        """
        for job in jobs:
            self.texts.drop(job)
            keys = [key for ref in _request_refs(job) for key in ref.keys]
            self._requests.drop(job.accepted.request_partition, keys)
            # This comes last, since a job that is no longer on the board can't be deleted.
            self._topics.append(JOB_TOPIC, 0, [KeyedRecord(key, b"") for key in reversed(job.keys)])


def _for_attempt(records: Sequence[KeyedRecord], attempt: int) -> Sequence[KeyedRecord]:
    if not attempt:
        return records
    return [KeyedRecord(f"{record.key}/{attempt}", record.value) for record in records]


def _request_prefix(job_id: str, nonce: str, index: int) -> str:
    return f"{job_id}/{nonce}/{index:05d}/"


def _request_refs(job: BoardJob) -> list[ValueRef]:
    accepted = job.accepted
    offset = accepted.request_offset
    refs = []
    for index, item in enumerate(job.items):
        prefix = _request_prefix(job.job_id, accepted.claim_id, index)
        refs.append(
            ValueRef(
                accepted.request_partition,
                prefix,
                offset,
                item.request_records,
                item.request_bytes,
            )
        )
        offset += item.request_records
    return refs
