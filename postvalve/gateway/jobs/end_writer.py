"""Makes the ends of items durable: writes their texts first, then the ends, in batched appends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event as GeventEvent

from postvalve.core.batch.item_end import ItemEnd, ItemState
from postvalve.core.batch.job_board import RecordKind, record_key
from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.result_texts import text_prefix
from postvalve.gateway.knowledge.stored_values import ValueRef

APPEND_TIMEOUT = 4.0
"""Seconds for which a failed append is retried before it is logged; then it is retried further."""
BATCH_DELAY = 0.01
"""Seconds that ends are collected before an append."""
TEXT_RETRY_DELAY = 0.3
"""Seconds before texts that could not be stored are stored again."""
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
    def prefix(self) -> str:
        """Prefix of the keys of its text records."""
        return text_prefix(self.job_id, self.index, self.claim_id)


class EndWriter:
    """Writes the ends of items, and keeps those that are not durable yet."""

    def __init__(
        self, log: JobLog, events: EventLog, call_bytes: int, new_id: Callable[[], str]
    ) -> None:
        self._log = log
        self._events = events
        self._call_bytes = call_bytes
        self._new_id = new_id
        self._waiting: list[EndedItem] = []
        self._has_waiting = GeventEvent()
        self._in_flight = 0

    @property
    def pending(self) -> int:
        """Number of ends that are not durable yet."""
        return len(self._waiting) + self._in_flight

    def add(self, ended: EndedItem) -> None:
        """Queue an end for the next append."""
        self._waiting.append(ended)
        self._has_waiting.set()

    def run(self) -> None:
        """Write queued ends forever."""
        while True:
            self._has_waiting.wait()
            gevent.sleep(BATCH_DELAY)
            batch = self._take()
            if batch:
                self._write(batch)

    def _take(self) -> list[EndedItem]:
        size, count = 0, 0
        for ended in self._waiting:
            size += len(ended.text) + RECORD_OVERHEAD
            if count and size > self._call_bytes - CALL_BYTES_MARGIN:
                break
            count += 1
        batch = self._waiting[:count]
        del self._waiting[:count]
        if not self._waiting:
            self._has_waiting.clear()
        return batch

    def _write(self, batch: list[EndedItem]) -> None:
        self._in_flight = len(batch)
        refs = self._store_texts(batch)
        while True:
            # A failed attempt may have taken effect, so the next one uses new keys.
            records = [self._record(ended, refs.get(ended.prefix)) for ended in batch]
            try:
                self._log.append(records, APPEND_TIMEOUT)
                self._in_flight = 0
                return
            except StoreUnavailableError as error:
                self._events.emit(Event.LOG_UNAVAILABLE, error=error.message, ends=len(batch))

    def _store_texts(self, batch: list[EndedItem]) -> dict[str, ValueRef]:
        """Store the texts, retrying until it succeeds; returns their locations by prefix."""
        texts = [(ended.prefix, ended.text) for ended in batch if ended.text]
        while texts:
            try:
                refs = self._log.texts.put(texts)
                return {ref.prefix: ref for ref in refs}
            except StoreUnavailableError as exc:
                self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, texts=len(texts))
                gevent.sleep(TEXT_RETRY_DELAY)
        return {}

    def _record(self, ended: EndedItem, ref: ValueRef | None) -> KeyedRecord:
        key = record_key(RecordKind.ITEM, ended.job_id, str(ended.index), self._new_id())
        text = (ref.partition, ref.offset, ref.records, ref.size) if ref is not None else ()
        end = ItemEnd(ended.job_id, ended.index, ended.state, ended.claim_id, *text)
        return KeyedRecord(key, end.pack())
