"""Texts of items that have ended: stored once, and read by the nodes that are asked for them."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Sequence

import xxhash

from postvalve.core.batch.item_end import ItemEnd
from postvalve.core.batch.job_board import BoardJob
from postvalve.gateway.interfaces import GatewaySettings, KeyedTopics
from postvalve.gateway.knowledge.stored_values import ValueRef, ValueStore

TEXT_TOPIC = "texts"
CACHE_BYTES = 2 * 1024 * 1024
"""Bytes of packed texts that a node keeps: clients come back to the same node for the next results
of a job, and its own items' texts need no read at all."""
COMPRESSION_LEVEL = 1


def pack_text(text: bytes) -> bytes:
    """A text as it stands in the store."""
    return zlib.compress(text, COMPRESSION_LEVEL)


def unpack_text(data: bytes) -> bytes:
    """Undo `pack_text`."""
    return zlib.decompress(data) if data else b""


def text_prefix(job_id: str, index: int, claim_id: str) -> str:
    """Begins the keys of a text. Under one claim an item ends once, so no key is used twice."""
    return f"{job_id}/{index:05d}/{claim_id}/"


class ResultTexts:
    """Texts, by the ends that name them."""

    def __init__(self, settings: GatewaySettings, topics: KeyedTopics) -> None:
        self._partitions = settings.body_partitions
        self._own_partition = self._partition_of(settings.node_id)
        self._values = ValueStore(topics, TEXT_TOPIC, settings.record_bytes, settings.call_bytes)
        self._cache: OrderedDict[str, bytes] = OrderedDict()
        """Packed texts by the prefix of their keys, those used last at the end."""
        self._cached_bytes = 0

    def _partition_of(self, node_id: str) -> int:
        # By node, so that what it ends together is stored with one call.
        return xxhash.xxh32_intdigest(node_id.encode()) % self._partitions

    def put(self, texts: Sequence[tuple[str, bytes]]) -> list[ValueRef]:
        """Store packed texts by prefix.

        Raises:
            StoreUnavailableError: they can't be relied on.
        """
        refs = self._values.put(self._own_partition, texts)
        for prefix, text in texts:
            self._keep(prefix, text)
        return refs

    def get(self, ends: Sequence[ItemEnd]) -> list[bytes]:
        """Texts of ended items, from memory or from the store.

        Raises:
            NotFoundError: one is not there any more.
            StoreUnavailableError: no answer.
        """
        missing = [
            _ref(end) for end in ends if end.text_records and _prefix(end) not in self._cache
        ]
        read = dict(zip((ref.prefix for ref in missing), self._values.get(missing), strict=True))
        texts = [self._text(end, read) for end in ends]
        for prefix, packed in read.items():
            self._keep(prefix, packed)
        return texts

    def _text(self, end: ItemEnd, read: dict[str, bytes]) -> bytes:
        if not end.text_records:
            return b""
        prefix = _prefix(end)
        if prefix in read:
            return unpack_text(read[prefix])
        self._cache.move_to_end(prefix)
        return unpack_text(self._cache[prefix])

    def is_cached(self, end: ItemEnd) -> bool:
        """Whether a text needs no read."""
        return not end.text_records or _prefix(end) in self._cache

    def _keep(self, prefix: str, packed: bytes) -> None:
        former = self._cache.pop(prefix, b"")
        self._cache[prefix] = packed
        self._cached_bytes += len(packed) - len(former)
        while self._cached_bytes > CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)

    def drop(self, job: BoardJob) -> None:
        """Drop all texts of a job, those too that an end which came second has left.

        Raises:
            StoreUnavailableError: the next try goes on.
        """
        # An item's whole text is the same in each run, and so takes as many records.
        records = {end.item_index: end.text_records for end in job.results}
        keys: dict[int, list[str]] = {}
        for claim_id, node_id in job.claims:
            kept = keys.setdefault(self._partition_of(node_id), [])
            for index in range(len(job.items)):
                prefix = text_prefix(job.job_id, index, claim_id)
                kept.extend(ValueRef(0, prefix, 0, max(1, records.get(index, 1)), 0).keys)
        for partition, dropped in keys.items():
            self._values.drop(partition, dropped)


def _prefix(end: ItemEnd) -> str:
    return text_prefix(end.job_id, end.item_index, end.claim_id)


def _ref(end: ItemEnd) -> ValueRef:
    return ValueRef(
        end.text_partition, _prefix(end), end.text_offset, end.text_records, end.text_bytes
    )
