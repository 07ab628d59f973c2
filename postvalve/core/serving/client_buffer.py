"""What a node holds for slow clients: one budget for all, a bounded store for each stream.

Bytes count from when they are held until the client has taken them. Whoever holds nothing keeps up,
and is never given up for others.
"""

from __future__ import annotations

import enum
from collections import defaultdict, deque
from dataclasses import dataclass

from postvalve.exceptions import PostvalveError

BUDGET_SHARE = 1 / 16
"""Share of a machine's memory held for slow clients. A node at rest takes nearly three quarters of
the smallest machines, and requests under way want most of what is left."""
DEFAULT_MACHINE_MB = 256.0
"""Memory reckoned with where the settings don't tell a machine's."""
STREAM_SHARE = 1 / 4
"""Share of the budget that one stream may hold, so that one client doesn't use it up."""
EVENT_OVERHEAD = 56
"""Bytes that an event takes beside its own: the object's head, its place in the store, and what the
allocator rounds up. Events of a token are shorter than this."""
MAX_BACKPRESSURE = 2.0
"""Seconds for which a full store may keep an engine's answer waiting, all its waits together.
Engines cut answers off that lie unread for some seconds, and a slot is held meanwhile."""


def slow_client_bytes(memory_mb: float | None) -> int:
    """The budget of a node on a machine with so many MB."""
    return int((memory_mb or DEFAULT_MACHINE_MB) * 1e6 * BUDGET_SHARE)


class CutCause(enum.StrEnum):
    """Why a slow client is given up."""

    MEMORY_SHORT = "memory_short"
    """The budget was used up, and the client held most for longest."""
    STORE_FULL = "store_full"
    """Its own store was full for too long."""


@dataclass(slots=True, eq=False)
class BufferAccount:
    """What is held for one connection."""

    tenant: str
    """Whose it is; empty where that isn't known."""
    size: int = 0
    """Bytes."""
    cause: CutCause | None = None
    """Why it was given up, if it was."""
    _byte_seconds: float = 0.0
    _told_at: float = 0.0

    def change(self, size: int, now: float) -> None:
        """Hold `size` bytes more, or less."""
        self._byte_seconds = self.byte_seconds(now)
        self._told_at = now
        self.size += size
        if not self.size:
            # It has caught up.
            self._byte_seconds = 0.0

    def byte_seconds(self, now: float) -> float:
        """How much for how long, since it last held nothing."""
        return self._byte_seconds + self.size * (now - self._told_at)


class MemoryBudget:
    """Bytes that a node holds for all its slow clients."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        """Bytes."""
        self.stream_share = STREAM_SHARE
        self.held = 0
        """Bytes; never above the limit."""
        self._holdings: dict[BufferAccount, None] = {}

    @property
    def stream_limit(self) -> int:
        """Bytes that one stream may hold."""
        return int(self.limit * self.stream_share)

    def holdings(self) -> list[BufferAccount]:
        """Whoever something is held for."""
        return list(self._holdings)

    def take(self, holding: BufferAccount, size: int, now: float) -> list[BufferAccount]:
        """Hold `size` bytes more; returns who is given up for it, `holding` itself perhaps.

        What those held counts no more. Nothing is added to one that was given up.
        """
        given_up: list[BufferAccount] = []
        if holding.cause is None and holding.size + size > self.limit:
            given_up.append(self._give_up(holding))
        while holding.cause is None and self.held + size > self.limit:
            given_up.append(self._give_up(self._worst(holding, size, now)))
        if holding.cause is None:
            self._change(holding, size, now)
        return given_up

    def give(self, holding: BufferAccount, size: int, now: float) -> None:
        """Hold `size` bytes less; nothing is held any more for one that was given up."""
        if holding.cause is None:
            self._change(holding, -size, now)

    def cut(self, holding: BufferAccount, cause: CutCause) -> None:
        """Give a holding up."""
        self.release(holding)
        holding.cause = cause

    def release(self, holding: BufferAccount) -> None:
        """Hold nothing for it any more."""
        self.held -= holding.size
        holding.size = 0
        self._holdings.pop(holding, None)

    def _change(self, holding: BufferAccount, size: int, now: float) -> None:
        self.held += size
        holding.change(size, now)
        if holding.size:
            self._holdings[holding] = None
        else:
            self._holdings.pop(holding, None)

    def _give_up(self, holding: BufferAccount) -> BufferAccount:
        self.cut(holding, CutCause.MEMORY_SHORT)
        return holding

    def _worst(self, asking: BufferAccount, size: int, now: float) -> BufferAccount:
        """Of the tenant that holds most, who holds most for longest.

        Tenants count alike: it is for engines' time that they agree on rates. The bytes asked for
        count as the asker's, so that it doesn't push others out from above its own share.
        """
        by_tenant: dict[str, int] = defaultdict(int)
        for one in self._holdings:
            by_tenant[one.tenant] += one.size
        by_tenant[asking.tenant] += size
        most = max(by_tenant.values())
        tenants = {name for name, held in by_tenant.items() if held == most}
        candidates = [one for one in self._holdings if one.tenant in tenants]
        return max(candidates or [asking], key=lambda one: (one.byte_seconds(now), one.size))


class EventBuffer:
    """Events of one stream that its client hasn't taken yet, in order, and how the stream ended."""

    def __init__(self, budget: MemoryBudget, holding: BufferAccount) -> None:
        self.holding = holding
        self._budget = budget
        self._events: deque[bytes] = deque()
        self._held_back = 0.0
        self._full_since: float | None = None
        self.ended = False
        """Whether nothing more will come."""
        self.error: PostvalveError | None = None
        """What ended the stream before its end."""

    def max_wait(self, size: int, now: float) -> float:
        """Seconds for which an event of `size` bytes must wait for room, at the most.

        None are left, and the store is given up, when the client has been too slow for too long.
        """
        held, wanted = self.holding.size, size + EVENT_OVERHEAD
        full = held > 0 and held + wanted > self._budget.stream_limit
        if self._full_since is not None:
            self._held_back += now - self._full_since
        self._full_since = now if full else None
        if not full:
            return 0.0
        left = MAX_BACKPRESSURE - self._held_back
        if left <= 0 and self.holding.cause is None:
            self._budget.cut(self.holding, CutCause.STORE_FULL)
        return max(0.0, left)

    def put(self, event: bytes, now: float) -> list[BufferAccount]:
        """Keep an event; returns who is given up for it, this store's own holding perhaps."""
        given_up = self._budget.take(self.holding, len(event) + EVENT_OVERHEAD, now)
        if self.holding.cause is None:
            self._events.append(event)
        return given_up

    def first(self) -> bytes:
        """The event that the client gets next, or nothing."""
        return self._events[0] if self._events and self.holding.cause is None else b""

    def pop_first(self, now: float) -> None:
        """The client has taken it."""
        if self._events:
            size = len(self._events.popleft()) + EVENT_OVERHEAD
            self._budget.give(self.holding, size, now)

    def end(self, error: PostvalveError | None) -> None:
        """Nothing more comes; what is kept is still given out."""
        self.ended = True
        self.error = error

    def close(self) -> None:
        """Keep nothing any more."""
        self._events.clear()
        self._budget.release(self.holding)
