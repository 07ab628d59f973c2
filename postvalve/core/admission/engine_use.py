"""How many requests each engine runs, by this node's own counts and its peers' reports.

Every node counts what it sent itself, exactly, and hears the counts of the others some
tenths of a second late. Nobody owns an engine: a wrong guess makes a request wait at the
engine for a moment and breaks no promise.
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
"""Engine's hash, online requests, batch items, unread prompt tokens, tokens of memory."""
TOKEN_UNIT = 64
"""Tokens for each unit of a report."""
MAX_UNITS = 0xFFFF
RESERVED_FRACTION = 0.1
"""Share of an engine's slots that pressing batch items leave free beside what online work takes
now."""
RELAXED_FRACTION = 0.35
"""The same for items that have time. In a heap an engine gets two to three requests before batch
has given way (8 slots, 4 requests a second for half a second each): these find a slot."""
QUEUE_FRACTION = 0.05
"""Requests that may wait at an engine before batch gives way, for each slot, where online work
has most of the slots."""
ONLINE_FRACTION = 0.75
"""Share of the slots from which it has: one of its own requests ends soon. Batch items run
for seconds, and among them an online request would wait for one of those."""


HASHES_KEPT = 8_192
"""Hashes of engines that are kept in memory: more than the planned 2,300, and those that left."""


@functools.lru_cache(HASHES_KEPT)
def engine_hash(life: EngineLife) -> int:
    """The 32 bits by which reports name one life of an engine."""
    return xxhash.xxh32_intdigest(life.encode())


@dataclass(slots=True)
class UseCount:
    """Requests in progress at one engine."""

    online: int = 0
    batch: int = 0
    unread: int = 0
    """Prompt tokens of those that have no first token yet."""
    memory: int = 0
    """Tokens that all of them may need in the engine's memory."""

    @property
    def total(self) -> int:
        """Both kinds together."""
        return self.online + self.batch


class EngineUse:
    """Counts by engine."""

    def __init__(self) -> None:
        self._own: dict[int, UseCount] = {}
        self._peers: dict[str, dict[int, UseCount]] = {}
        self._reports: dict[str, bytes] = {}
        """What each peer told last."""
        self._totals: dict[int, UseCount] = {}
        self.online_averages = OnlineAverages()

    def enter(self, life: EngineLife, *, batch: bool, unread: int = 0, memory: int = 0) -> None:
        """Count one request in.

        Args:
            life: The engine.
            batch: Whether it is a batch item.
            unread: Prompt tokens that the engine must read for it.
            memory: Tokens that it may need in the engine's memory.
        """
        self._change(life, 1, batch, unread, memory)

    def leave(self, life: EngineLife, *, batch: bool, unread: int = 0, memory: int = 0) -> None:
        """Count one request out, with the prompt tokens that were not read."""
        self._change(life, -1, batch, -unread, -memory)

    def record_prompt_read(self, life: EngineLife, tokens: int) -> None:
        """A request's prompt was read: its first token came."""
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
            self.online_averages.note(key, self._total(key).online)

    def _total(self, key: int) -> UseCount:
        total = self._totals.get(key)
        if total is None:
            total = self._totals[key] = UseCount()
        return total

    def report(self) -> bytes:
        """This node's own counts, for its peers."""
        return _encode(self._own)

    def report_of(self, node_ids: Iterable[str]) -> bytes:
        """Counts of this node and some of its peers together, for those who do not hear these."""
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
        """Take the counts of a peer in, in place of its former ones."""
        if self._reports.get(node_id) == report:
            return
        self._reports[node_id] = report
        former = self._peers.get(node_id, {})
        self._subtract(former)
        counts: dict[int, UseCount] = {}
        whole = len(report) - len(report) % _ENTRY.size
        for key, online, batch, unread, memory in _ENTRY.iter_unpack(report[:whole]):
            count = counts[key] = UseCount(online, batch, unread * TOKEN_UNIT, memory * TOKEN_UNIT)
            total = self._total(key)
            total.online += online
            total.batch += batch
            total.unread += count.unread
            total.memory += count.memory
        self._peers[node_id] = counts
        # A report leaves out engines where nothing of the peer runs any more.
        self._note_online(former.keys() | counts.keys())

    def forget(self, node_id: str) -> None:
        """Drop the counts of a peer that is gone."""
        self._reports.pop(node_id, None)
        former = self._peers.pop(node_id, {})
        self._subtract(former)
        self._note_online(former)

    def _note_online(self, keys: Iterable[int]) -> None:
        for key in keys:
            self.online_averages.note(key, self._total(key).online)

    def _subtract(self, counts: dict[int, UseCount]) -> None:
        for key, count in counts.items():
            total = self._total(key)
            total.online -= count.online
            total.batch -= count.batch
            total.unread -= count.unread
            total.memory -= count.memory

    def total(self, life: EngineLife) -> UseCount:
        """Requests of all nodes at an engine; callers only read it, and it goes on counting."""
        return self._total(engine_hash(life))

    def own(self, life: EngineLife) -> UseCount:
        """Requests of this node at an engine."""
        return self._own.get(engine_hash(life), UseCount())

    def batch_room(self, life: EngineLife, slots: int, *, pressing: bool = True) -> int:
        """Batch items that may be added; negative when there are more than should start.

        Items fill the gaps between the heaps of online work, and give way when one comes. Those
        that have time leave more room, so that fewer have to. A slot that a heap leaves free just
        now is no room: see `online_means`.
        """
        fraction = RESERVED_FRACTION if pressing else RELAXED_FRACTION
        total = self.total(life)
        mean = math.ceil(self.online_averages.average(engine_hash(life)))
        beside_heap = slots - math.ceil(slots * RESERVED_FRACTION) - mean - total.batch
        return min(slots - math.ceil(slots * fraction) - total.total, beside_heap)

    def excess(self, life: EngineLife, slots: int) -> int:
        """Batch items that should give way: the engine's queue has grown too long."""
        total = self.total(life)
        queued = max(1, int(slots * QUEUE_FRACTION))
        allowed = slots + (queued if total.online >= slots * ONLINE_FRACTION else 0)
        return max(0, min(total.batch, total.total - allowed))


def relaxed_slots(slots: int) -> int:
    """Slots of an engine that batch items which have time may take."""
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
