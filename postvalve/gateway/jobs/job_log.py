"""Writes and reads the topic of batch jobs, and what their items are sent as."""

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
from postvalve.gateway.knowledge.stored_values import ValueRef, ValueStore
from postvalve.gateway.knowledge.topic_follower import TopicFollower

JOB_TOPIC = "jobs"
REQUEST_TOPIC = "requests"
FOLLOW_WAIT = 2.0
"""Seconds that a read of the job topic waits for a record. Answers that need the board to be up to
date read beside it (`is_fresh`), so a way that falls silent may be noticed so much later."""
FOLLOW_PAUSE = 0.4
"""Seconds between such reads. Each is priced, and what was acknowledged need not be known for a
second; a result that is waited for comes this much later at the most."""
REPEAT_PAUSE = 0.1
"""Seconds before a failed call is repeated, doubled for each later one."""
MAX_REPEAT_PAUSE = 0.8

ChangeListener = Callable[[set[str]], None]
"""Takes the ids of the jobs that changed."""


class JobLog:
    """The board of all jobs, and appends to their topic."""

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
        self._listeners: list[ChangeListener] = []
        self.follower = TopicFollower(
            topics, clock, events, JOB_TOPIC, self._observe, wait=FOLLOW_WAIT, pause=FOLLOW_PAUSE
        )

    def add_listener(self, listener: ChangeListener) -> None:
        """Be told of changed jobs."""
        self._listeners.append(listener)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Take weights of tenants as the configuration has them now."""
        self._weights = weights
        self.board.shares.set_weights(weights)

    def _observe(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        touched: set[str] = set()
        if whole:
            records_read = ((one.offset, one.key, one.value) for one in records)
            self.board = board_of(records_read, self._weights)
            touched.update(self.board.jobs)
        else:
            for record in records:
                job_id = self.board.observe(record.offset, record.key, record.value)
                if job_id is not None:
                    touched.add(job_id)
        self._tell_unreadable()
        if not touched:
            return
        for listener in self._listeners:
            listener(touched)
        changed, self.changed = self.changed, GeventEvent()
        changed.set()

    def _tell_unreadable(self) -> None:
        keys, self.board.unreadable = self.board.unreadable, []
        for key in keys:
            self._events.emit(Event.LOG_RECORD_INVALID, topic=JOB_TOPIC, key=key)

    def silence(self) -> float:
        """Seconds since the store was heard last."""
        return self._clock.monotonic() - self.follower.answered_at

    def is_fresh(self, patience: float) -> bool:
        """Whether all that was acknowledged `patience` seconds ago is on the board."""
        return self._clock.monotonic() - self.follower.fresh_at <= patience

    def append(self, records: Sequence[KeyedRecord], patience: float) -> None:
        """Append records, repeated until the store takes them.

        A try without an answer may have been done. The topic keeps the newest record of a key
        only, and a repetition under the same key would move the record behind others; so each
        repetition has keys of its own, and readers pass over what stands already.

        Raises:
            StoreUnavailableError: after `patience` seconds; NOT_RUN only when no try may
                have taken effect.
        """
        deadline = self._clock.monotonic() + patience
        verdict, pause = Verdict.NOT_RUN, REPEAT_PAUSE
        for attempt in itertools.count():
            try:
                self._topics.append(JOB_TOPIC, 0, _for_attempt(records, attempt))
                return
            except StoreUnavailableError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = error.verdict
                if self._clock.monotonic() + pause >= deadline:
                    raise StoreUnavailableError(error.message, verdict) from error
            gevent.sleep(pause)
            pause = min(MAX_REPEAT_PAUSE, pause * 2)

    def append_at_end(self, records: Sequence[KeyedRecord]) -> bool:
        """Append if nothing was written that this board does not hold, and put it there.

        Returns:
            Whether the records were appended; if not, the board must catch up first.

        Raises:
            StoreUnavailableError: with the verdict.
        """
        try:
            offset = self._topics.append(JOB_TOPIC, 0, records, at=self.follower.next_offset)
        except PositionTakenError:
            return False
        if not self.follower.record_own_write(records, offset):
            self.follower.catch_up()
        return True

    # Requests of items

    def store_requests(
        self, job_id: str, nonce: str, partition: int, requests: Sequence[bytes]
    ) -> list[ValueRef]:
        """Store what the items of a job are sent as, one after the other.

        Raises:
            StoreUnavailableError: they can't be relied on; nothing refers to them.
        """
        named = [
            (_request_prefix(job_id, nonce, index), request)
            for index, request in enumerate(requests)
        ]
        return self._requests.put(partition, named)

    def request(self, job: BoardJob, index: int) -> bytes:
        """Read what an item is sent as.

        Raises:
            NotFoundError: it is not there any more.
            StoreUnavailableError: no answer.
        """
        return self._requests.get([_request_refs(job)[index]])[0]

    def requests(self, job: BoardJob) -> list[bytes]:
        """Read what all items of a job are sent as.

        Raises:
            NotFoundError: one is not there any more.
            StoreUnavailableError: no answer.
        """
        return self._requests.get(_request_refs(job))

    def drop_jobs(self, jobs: Sequence[BoardJob]) -> None:
        """Drop all records of old jobs.

        Raises:
            StoreUnavailableError: the next try goes on.
        """
        for job in jobs:
            self.texts.drop(job)
            keys = [key for ref in _request_refs(job) for key in ref.keys]
            self._requests.drop(job.accepted.request_partition, keys)
            # Last, since a job that is not on the board any more can't be dropped.
            self._topics.append(JOB_TOPIC, 0, [KeyedRecord(key, b"") for key in reversed(job.keys)])


def _for_attempt(records: Sequence[KeyedRecord], attempt: int) -> Sequence[KeyedRecord]:
    if not attempt:
        return records
    return [KeyedRecord(f"{one.key}/{attempt}", one.value) for one in records]


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
