"""How many requests each engine runs, by this node's own counts and its peers' reports.

Every node counts what it sent itself, exactly, and hears the counts of the others some
tenths of a second late. Nobody owns an engine: a wrong guess makes a request wait at the
engine for a moment and breaks no promise.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

import xxhash

_ENTRY = struct.Struct("!IHHH")
"""Engine's hash, online requests, batch items, unread prompt tokens."""
UNREAD_UNIT = 64
"""Prompt tokens for each unit of a report."""
MAX_UNITS = 0xFFFF
MEAN_MEMORY = 4.0
"""Seconds in which a mean forgets all but a third."""
RESERVE_FACTOR = 1.7
"""Slots kept free of batch, for each slot that online work takes in the mean."""
MAX_RESERVED_FRACTION = 0.7
"""Share of an engine's slots that is kept free of batch at most."""
QUEUE_FRACTION = 0.12
"""Requests that may wait at an engine before batch gives way, for each slot."""


def engine_hash(engine_id: str) -> int:
    """The 32 bits by which reports name an engine."""
    return xxhash.xxh32_intdigest(engine_id.encode())


@dataclass(slots=True)
class UseCount:
    """Requests in progress at one engine."""

    online: int = 0
    batch: int = 0
    unread: int = 0
    """Prompt tokens of those that have no first token yet."""

    @property
    def total(self) -> int:
        """Both kinds together."""
        return self.online + self.batch


class MeanTracker:
    """Mean of a value over time, in which older time counts less and less."""

    def __init__(self, memory: float = MEAN_MEMORY) -> None:
        self._memory = memory
        self._mean = 0.0
        self._value = 0
        self._at: float | None = None

    def record(self, value: int, now: float) -> None:
        """Note a value that holds from `now` on, in monotonic seconds."""
        self._mean = self.mean(now)
        self._value = value
        self._at = now

    def mean(self, now: float) -> float:
        """The mean until `now`, 0 without a value."""
        if self._at is None:
            return 0.0
        kept = math.exp((self._at - now) / self._memory)
        return self._mean * kept + self._value * (1 - kept)


class EngineUse:
    """Counts by engine."""

    def __init__(self) -> None:
        self._own: dict[int, UseCount] = {}
        self._peers: dict[str, dict[int, UseCount]] = {}
        self._totals: dict[int, UseCount] = {}
        self._online_means: dict[int, MeanTracker] = {}

    def enter(self, engine_id: str, *, batch: bool, now: float, unread: int = 0) -> None:
        """Count one request in, with the prompt tokens that the engine must read for it."""
        self._change(engine_id, 1, batch, now, unread)

    def leave(self, engine_id: str, *, batch: bool, now: float, unread: int = 0) -> None:
        """Count one request out, with the prompt tokens that were not read."""
        self._change(engine_id, -1, batch, now, -unread)

    def note_read(self, engine_id: str, tokens: int) -> None:
        """A request's prompt was read: its first token came."""
        key = engine_hash(engine_id)
        for count in (self._own.setdefault(key, UseCount()), self._total(key)):
            count.unread -= tokens

    def _change(
        self, engine_id: str, difference: int, batch: bool, now: float, unread: int
    ) -> None:
        key = engine_hash(engine_id)
        for count in (self._own.setdefault(key, UseCount()), self._total(key)):
            count.unread += unread
            if batch:
                count.batch += difference
            else:
                count.online += difference
        self._note_online(key, now)

    def _total(self, key: int) -> UseCount:
        return self._totals.setdefault(key, UseCount())

    def _note_online(self, key: int, now: float) -> None:
        tracker = self._online_means.setdefault(key, MeanTracker())
        tracker.record(self._total(key).online, now)

    def report(self) -> bytes:
        """This node's own counts, for its peers."""
        used = [(key, count) for key, count in self._own.items() if count.total > 0]
        return b"".join(
            _ENTRY.pack(key, count.online, count.batch, _units(count.unread)) for key, count in used
        )

    def observe(self, node_id: str, report: bytes, now: float) -> None:
        """Take the counts of a peer in, in place of its former ones."""
        self._subtract(self._peers.get(node_id, {}))
        counts: dict[int, UseCount] = {}
        whole = len(report) - len(report) % _ENTRY.size
        for key, online, batch, units in _ENTRY.iter_unpack(report[:whole]):
            count = counts[key] = UseCount(online, batch, units * UNREAD_UNIT)
            total = self._total(key)
            total.online += online
            total.batch += batch
            total.unread += count.unread
            self._note_online(key, now)
        self._peers[node_id] = counts

    def forget(self, node_id: str) -> None:
        """Drop the counts of a peer that is gone."""
        self._subtract(self._peers.pop(node_id, {}))

    def _subtract(self, counts: dict[int, UseCount]) -> None:
        for key, count in counts.items():
            total = self._total(key)
            total.online -= count.online
            total.batch -= count.batch
            total.unread -= count.unread

    def total(self, engine_id: str) -> UseCount:
        """Requests of all nodes at an engine."""
        return self._totals.get(engine_hash(engine_id), UseCount())

    def own(self, engine_id: str) -> UseCount:
        """Requests of this node at an engine."""
        return self._own.get(engine_hash(engine_id), UseCount())

    def batch_room(self, engine_id: str, slots: int, minimum_reserve: int, now: float) -> int:
        """Batch items that may be added; negative when there are more than should start.

        Slots are reserved for a little more than the mean of online work, since items run for
        longer than its heaps last; a heap beyond that waits at the engine for a moment.
        """
        key = engine_hash(engine_id)
        total = self._total(key)
        tracker = self._online_means.get(key)
        mean = tracker.mean(now) if tracker is not None else 0.0
        reserved = min(
            math.ceil(mean * RESERVE_FACTOR) + minimum_reserve, int(slots * MAX_RESERVED_FRACTION)
        )
        return slots - max(reserved, total.online) - total.batch

    def excess(self, engine_id: str, slots: int) -> int:
        """Batch items that should give way: the engine's queue has grown too long."""
        total = self.total(engine_id)
        allowed = slots + max(1, int(slots * QUEUE_FRACTION))
        return max(0, min(total.batch, total.total - allowed))


def _units(tokens: int) -> int:
    return min(MAX_UNITS, -(-max(0, tokens) // UNREAD_UNIT))
