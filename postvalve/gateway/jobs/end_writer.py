"""Makes the ends of items durable: writes their texts first, then the ends, in batched appends."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
from gevent.event import Event as GeventEvent

from postvalve.core.batch.item_end import ItemEnd, ItemState
from postvalve.core.batch.job_board import RecordKind, record_key
from postvalve.core.batch.reconciliation import ItemKey
from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.result_texts import text_prefix
from postvalve.gateway.knowledge.stored_values import ValueRef

APPEND_TIMEOUT = 4.0
"""Seconds for which a failed append is retried before it is logged; then it is retried further."""
BATCH_DELAY = 0.01
"""Seconds that ends are collected before an append."""
RETRY_DELAY = 0.3
"""Seconds before ends that could not be written are written again."""
MAX_RETRY_DELAY = 5.0
"""Largest delay, in seconds, before an end is tried again that fails while the store answers."""
STORE_ANSWERS = 3.0
"""Seconds since the store's last answer within which a failure may be due to the end itself."""
MAX_BATCH = 2_048
"""Most ends of one append."""
CALL_BYTES_MARGIN = 8_192
"""Bytes of a call that are reserved for keys and lengths."""
RECORD_OVERHEAD = 1_024
"""Bytes counted for each record in addition to its text."""


@dataclass(frozen=True, slots=True)
class EndedItem:
    """An item that has ended at this node."""

    job_id: str
    index: int
    claim_id: str
    """Id of the claim under which it ran."""
    state: ItemState
    text: bytes = b""
    """Its compressed output; empty if it is dead."""

    @property
    def key(self) -> ItemKey:
        """Job id and index."""
        return self.job_id, self.index

    @property
    def prefix(self) -> str:
        """Prefix of the keys of its text records."""
        return text_prefix(self.job_id, self.index, self.claim_id)


@dataclass(slots=True)
class _Queued:
    """An end that is not durable yet."""

    ended: EndedItem
    delay: float = 0.0
    """Seconds by which its next attempt was put off."""
    not_before: float = 0.0
    """Monotonic seconds before which it is not tried again."""

    @property
    def was_put_off(self) -> bool:
        """Whether it failed alone; from then on it is tried alone, so that no other end waits."""
        return self.delay > 0


class EndWriter:
    """Writes the ends of items, and keeps each of them until it is durable.

    After a failure the next batch is half as large. So an end that can't be written is soon tried
    alone, and then it is put off, while those behind it are written.
    """

    def __init__(
        self, log: JobLog, events: EventLog, call_bytes: int, new_id: Callable[[], str]
    ) -> None:
        self._log = log
        self._events = events
        self._call_bytes = call_bytes
        self._new_id = new_id
        self._waiting: list[_Queued] = []
        self._has_waiting = GeventEvent()
        self._batch_limit = MAX_BATCH
        self._is_turn_of_new = False
        """Whether ends that did not fail alone go first; they take turns with those that did."""
        self._written: deque[tuple[float, ItemKey]] = deque()
        """Items whose ends are durable, with the monotonic time in seconds at which they were."""
        self._refs: dict[str, ValueRef] = {}
        """Locations of the texts that are stored, by prefix, while their ends are not durable."""

    @property
    def pending(self) -> int:
        """Number of ends that are not durable yet."""
        return len(self._waiting)

    def unconfirmed(self) -> set[ItemKey]:
        """Return the items whose ends are not durable, or may not have been read back yet."""
        while self._written and self._written[0][0] < self._log.follower.fresh_at:
            self._written.popleft()
        waiting = {queued.ended.key for queued in self._waiting}
        return waiting | {key for _, key in self._written}

    def add(self, ended: EndedItem) -> None:
        """Queue an end for the next append."""
        self._waiting.append(_Queued(ended))
        self._has_waiting.set()

    def run(self) -> None:
        """Write queued ends forever."""
        while True:
            self._has_waiting.wait()
            gevent.sleep(BATCH_DELAY)
            if batch := self._next_batch():
                self._try_batch(batch)
            else:
                self._wait_for_retry()

    def _next_batch(self) -> list[_Queued]:
        now = self._log.now()
        due = [queued for queued in self._waiting if queued.not_before <= now]
        new = [queued for queued in due if not queued.was_put_off]
        self._is_turn_of_new = not self._is_turn_of_new
        if not new or (len(new) < len(due) and not self._is_turn_of_new):
            return [queued for queued in due if queued.was_put_off][:1]
        batch: list[_Queued] = []
        size = 0
        for queued in new:
            size += len(queued.ended.text) + RECORD_OVERHEAD
            is_full = size > self._call_bytes - CALL_BYTES_MARGIN
            if batch and (is_full or len(batch) >= self._batch_limit):
                break
            batch.append(queued)
        return batch

    def _wait_for_retry(self) -> None:
        """Wait until an end that was put off is due, or another one is added."""
        self._has_waiting.clear()
        if self._waiting:
            due = min(queued.not_before for queued in self._waiting)
            self._has_waiting.wait(max(0.0, due - self._log.now()))
            self._has_waiting.set()

    def _try_batch(self, batch: list[_Queued]) -> None:
        # After a failure, appends are tried once each: smaller ones will show what it is due to.
        is_searching = batch[0].was_put_off or self._batch_limit < MAX_BATCH
        timeout = 0.0 if is_searching else APPEND_TIMEOUT
        try:
            self._write([queued.ended for queued in batch], timeout)
        except StoreUnavailableError as exc:
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, ends=len(batch))
        except Exception as exc:  # the ends must not be lost, whatever it is
            self._log_defect(batch, exc)
        else:
            self._remove(batch)
            return
        self._put_off(batch)
        gevent.sleep(RETRY_DELAY)

    def _log_defect(self, batch: list[_Queued], exc: Exception) -> None:
        first = batch[0].ended
        self._events.emit(
            Event.ITEM_END_FAILED,
            job=first.job_id,
            item=first.index,
            ends=len(batch),
            error=repr(exc),
        )

    def _remove(self, batch: list[_Queued]) -> None:
        written = {id(queued) for queued in batch}
        self._waiting = [queued for queued in self._waiting if id(queued) not in written]
        now = self._log.now()
        for queued in batch:
            self._written.append((now, queued.ended.key))
            self._refs.pop(queued.ended.prefix, None)
        self._batch_limit = min(MAX_BATCH, self._batch_limit * 2)

    def _put_off(self, batch: list[_Queued]) -> None:
        if not batch[0].was_put_off:
            self._batch_limit = max(1, len(batch) // 2)
        if len(batch) > 1:
            return
        (queued,) = batch
        longer = min(MAX_RETRY_DELAY, queued.delay * 2)
        store_answers = self._log.silence() <= STORE_ANSWERS
        queued.delay = max(RETRY_DELAY, longer if store_answers else 0.0)
        queued.not_before = self._log.now() + queued.delay

    def _write(self, ends: Sequence[EndedItem], timeout: float = APPEND_TIMEOUT) -> None:
        self._store_texts(ends)
        # A failed attempt may have taken effect, so each one uses new keys.
        records = [self._record(ended) for ended in ends]
        self._log.append(records, timeout)

    def _store_texts(self, ends: Sequence[EndedItem]) -> None:
        texts = [
            (ended.prefix, ended.text)
            for ended in ends
            if ended.text and ended.prefix not in self._refs
        ]
        if texts:
            self._refs.update((ref.prefix, ref) for ref in self._log.texts.put(texts))

    def _record(self, ended: EndedItem) -> KeyedRecord:
        key = record_key(RecordKind.ITEM, ended.job_id, str(ended.index), self._new_id())
        ref = self._refs.get(ended.prefix)
        text = (ref.partition, ref.offset, ref.records, ref.size) if ref is not None else ()
        end = ItemEnd(ended.job_id, ended.index, ended.state, ended.claim_id, *text)
        return KeyedRecord(key, end.pack())
