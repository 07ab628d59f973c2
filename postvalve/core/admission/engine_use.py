"""Number of requests running at each engine, from this node's own counts and its peers' reports.

Every node counts its own requests exactly and learns the other nodes' counts with a delay of some
tenths of a second. No node owns an engine: a count that is out of date makes a request queue
briefly at the engine and violates no guarantee.
"""

from __future__ import annotations

import functools
import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from postvalve.core.admission.online_averages import OnlineAverages
from postvalve.core.membership.engine_life import EngineLife

_ENTRY = struct.Struct("!IHHHH")
"""Engine hash, online requests, batch items, prompt tokens not processed yet, tokens of memory."""
TOKEN_UNIT = 64
"""Tokens per unit in a report."""
MAX_UNITS = 0xFFFF
RESERVED_FRACTION = 0.1
"""Share of an engine's slots that batch items leave free beyond the current online load if they are
pressing, that is, due soon."""
RELAXED_FRACTION = 0.35
"""The same for batch items that are not pressing. In a burst (8 slots, 4 requests a second of half
a second each) an engine gets two to three requests before batch items have been preempted; these
requests find a free slot."""
SPARE_FRACTION = 0.5
"""Share of an engine's slots up to which pressing items start whatever capacity was measured. Fewer
would delay items without end for pauses that may have another cause."""
QUEUE_FRACTION = 0.05
"""Requests per slot that may queue at an engine before batch items are preempted, while online work
holds at least `ONLINE_FRACTION` of the slots."""
ONLINE_FRACTION = 0.75
"""Share of the slots from which online work counts as predominant: one of its own requests ends
soon and frees a slot. Batch items run for seconds, so among them a queued online request would have
to wait for one of those to end."""


HASH_BITS = 32
HASHES_KEPT = 8_192
"""Engine hashes cached in memory: enough for the planned 2,300 engines and those that have left."""


@functools.lru_cache(HASHES_KEPT)
def engine_hash(life: EngineLife) -> int:
    """Return the 32-bit hash that identifies a life of an engine in reports."""
    return xxhash.xxh32_intdigest(life.encode())


@dataclass(slots=True)
class UseCount:
    """Requests in progress at one engine."""

    online: int = 0
    batch: int = 0
    unread: int = 0
    """Prompt tokens of the requests that have produced no token yet."""
    memory: int = 0
    """Tokens that all the requests may need in the engine's memory."""

    @property
    def total(self) -> int:
        """Number of online requests and batch items."""
        return self.online + self.batch


class EngineUse:
    """Requests in progress by engine, from this node and its peers."""

    def __init__(self) -> None:
        self._own: dict[int, UseCount] = {}
        self._peers: dict[str, dict[int, UseCount]] = {}
        self._reports: dict[str, bytes] = {}
        """Last report of each peer."""
        self._totals: dict[int, UseCount] = {}
        self.online_averages = OnlineAverages()

    def enter(self, life: EngineLife, *, batch: bool, unread: int = 0, memory: int = 0) -> None:
        """Count a request that starts.

        Args:
            life: The engine.
            batch: Whether the request is a batch item.
            unread: Prompt tokens that the engine must process for it.
            memory: Tokens that it may need in the engine's memory.
        """
        self._change(life, 1, batch, unread, memory)

    def leave(self, life: EngineLife, *, batch: bool, unread: int = 0, memory: int = 0) -> None:
        """Remove a request that ended, with those of its prompt tokens that were not processed."""
        self._change(life, -1, batch, -unread, -memory)

    def record_prompt_read(self, life: EngineLife, tokens: int) -> None:
        """Subtract prompt tokens that were processed: the request's first token arrived."""
        key = engine_hash(life)
        for count in (self._own.setdefault(key, UseCount()), self._total(key)):
            count.unread -= tokens

    def _change(
        self, life: EngineLife, difference: int, batch: bool, unread: int, memory: int
    ) -> None:
        key = engine_hash(life)
        for count in (self._own.setdefault(key, UseCount()), self._total(key)):
            count.unread += unread
            count.memory += memory
            if batch:
                count.batch += difference
            else:
                count.online += difference
        if not batch:
            self.online_averages.record(key, self._total(key).online)

    def _total(self, key: int) -> UseCount:
        total = self._totals.get(key)
        if total is None:
            total = self._totals[key] = UseCount()
        return total

    def report(self) -> bytes:
        """Return this node's own counts, packed for its peers."""
        return _encode(self._own)

    def report_of(self, node_ids: Iterable[str]) -> bytes:
        """Return the sum of the counts of this node and some of its peers, packed.

        It is meant for nodes that do not receive those peers' own reports.
        """
        sums: dict[int, UseCount] = {}
        for counts in (self._own, *(self._peers.get(node_id, {}) for node_id in node_ids)):
            for key, count in counts.items():
                total = sums.setdefault(key, UseCount())
                total.online += count.online
                total.batch += count.batch
                total.unread += count.unread
                total.memory += count.memory
        return _encode(sums)

    def observe(self, node_id: str, report: bytes) -> None:
        """Replace a peer's counts by those of its new report."""
        if self._reports.get(node_id) == report:
            return
        self._reports[node_id] = report
        former = self._peers.get(node_id, {})
        self._subtract(former)
        counts: dict[int, UseCount] = {}
        complete_size = len(report) - len(report) % _ENTRY.size
        for key, online, batch, unread, memory in _ENTRY.iter_unpack(report[:complete_size]):
            count = counts[key] = UseCount(online, batch, unread * TOKEN_UNIT, memory * TOKEN_UNIT)
            total = self._total(key)
            total.online += online
            total.batch += batch
            total.unread += count.unread
            total.memory += count.memory
        self._peers[node_id] = counts
        # A report omits engines at which the peer runs nothing any more.
        self._record_online(former.keys() | counts.keys())

    def forget(self, node_id: str) -> None:
        """Drop the counts of a peer that is gone."""
        self._reports.pop(node_id, None)
        former = self._peers.pop(node_id, {})
        self._subtract(former)
        self._record_online(former)

    def _record_online(self, keys: Iterable[int]) -> None:
        for key in keys:
            self.online_averages.record(key, self._total(key).online)

    def _subtract(self, counts: dict[int, UseCount]) -> None:
        for key, count in counts.items():
            total = self._total(key)
            total.online -= count.online
            total.batch -= count.batch
            total.unread -= count.unread
            total.memory -= count.memory

    def total(self, life: EngineLife) -> UseCount:
        """Return the live count of all nodes' requests at an engine. Callers must not modify it."""
        return self._total(engine_hash(life))

    def own(self, life: EngineLife) -> UseCount:
        """Return this node's own requests at an engine."""
        return self._own.get(engine_hash(life), UseCount())

    def batch_capacity(self, life: EngineLife, slots: int, *, pressing: bool = True) -> int:
        """Return how many batch items may start; negative when too many run.

        Batch items fill the gaps between bursts of online requests and are preempted when a burst
        comes. Items that are not pressing leave more slots free, so that fewer have to be
        preempted. A slot that is free only for a moment within a burst does not count as free: see
        `online_averages`. An idle engine takes an item however few slots it has.
        """
        fraction = RESERVED_FRACTION if pressing else RELAXED_FRACTION
        total = self.total(life)
        beside_burst = slots - math.ceil(slots * RESERVED_FRACTION) - self._batch_and_mean(life)
        free = min(slots - math.ceil(slots * fraction) - total.total, beside_burst)
        return max(1, free) if self._is_idle(life) else free

    def spare_slots(self, life: EngineLife, slots: int) -> int:
        """Return how many batch items may start until `SPARE_FRACTION` of the slots is in use;
        negative if more is."""
        spare = math.ceil(slots * SPARE_FRACTION)
        return spare - max(self.total(life).total, self._batch_and_mean(life))

    def _is_idle(self, life: EngineLife) -> bool:
        """Return whether an engine runs nothing, and not only between two online requests."""
        return self.total(life).total == 0 and not self.online_averages.average(engine_hash(life))

    def _batch_and_mean(self, life: EngineLife) -> int:
        """Return the batch items at an engine and the recent average of its online requests."""
        mean = math.ceil(self.online_averages.average(engine_hash(life)))
        return mean + self.total(life).batch

    def excess(self, life: EngineLife, slots: int) -> int:
        """Return how many batch items to preempt because the engine's queue is too long."""
        total = self.total(life)
        queued = max(1, int(slots * QUEUE_FRACTION))
        # The only slot of an engine is that of the batch item.
        may_queue = slots > 1 and total.online >= slots * ONLINE_FRACTION
        allowed = slots + (queued if may_queue else 0)
        return max(0, min(total.batch, total.total - allowed))


def relaxed_slots(slots: int) -> int:
    """Return how many slots of an engine batch items that are not pressing may take."""
    return slots - math.ceil(slots * RELAXED_FRACTION)


def _encode(counts: Mapping[int, UseCount]) -> bytes:
    return b"".join(
        _ENTRY.pack(
            key,
            min(MAX_UNITS, count.online),
            min(MAX_UNITS, count.batch),
            _units(count.unread),
            _units(count.memory),
        )
        for key, count in counts.items()
        if count.total > 0
    )


def _units(tokens: int) -> int:
    return min(MAX_UNITS, -(-max(0, tokens) // TOKEN_UNIT))
