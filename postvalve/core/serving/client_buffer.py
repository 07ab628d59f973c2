"""Event buffers of slow clients: a bounded buffer for each stream, and one memory budget for all.

Bytes count from when they are buffered until the client has received them. A client for which
nothing is buffered keeps up, and is never dropped for the sake of others.
"""

from __future__ import annotations

import enum
from collections import defaultdict, deque
from dataclasses import dataclass

from postvalve.exceptions import PostvalveError

BUDGET_SHARE = 1 / 16
"""Fraction of a machine's memory that may be buffered for slow clients. An idle node uses nearly
three quarters of the smallest machines, and requests in flight need most of the rest."""
DEFAULT_MACHINE_MB = 256.0
"""Memory size assumed if the settings do not give the machine's."""
STREAM_SHARE = 1 / 4
"""Fraction of the budget that one stream may use, so that one client cannot exhaust it."""
EVENT_OVERHEAD = 56
"""Memory that an event takes beside its bytes: the object's header, its entry in the buffer, and
the allocator's rounding. Events of a single token are shorter than this."""
MAX_BACKPRESSURE = 2.0
"""Total seconds for which a full buffer may block reading from the engine. Engines drop answers
that stay unread for some seconds, and a slot is occupied meanwhile."""


def slow_client_bytes(memory_mb: float | None) -> int:
    """Return the budget in bytes of a node on a machine with so many MB."""
    return int((memory_mb or DEFAULT_MACHINE_MB) * 1e6 * BUDGET_SHARE)


class CutCause(enum.StrEnum):
    """Why a slow client was dropped."""

    MEMORY_SHORT = "memory_short"
    """The budget was exhausted, and the client used the most memory for the longest time."""
    STORE_FULL = "store_full"
    """The client's own buffer was full for too long."""


@dataclass(slots=True, eq=False)
class BufferAccount:
    """Memory used for one connection."""

    tenant: str
    """Name of the tenant; empty if it is unknown."""
    size: int = 0
    """Buffered bytes."""
    cause: CutCause | None = None
    """Why the client was dropped; None if it was not."""
    _byte_seconds: float = 0.0
    _updated_at: float = 0.0

    def change(self, size: int, now: float) -> None:
        """Change the buffered bytes by `size`, which may be negative."""
        self._byte_seconds = self.byte_seconds(now)
        self._updated_at = now
        self.size += size
        if not self.size:
            # The client has caught up.
            self._byte_seconds = 0.0

    def byte_seconds(self, now: float) -> float:
        """Return the integral of buffered bytes over time since the buffer was last empty."""
        return self._byte_seconds + self.size * (now - self._updated_at)


class MemoryBudget:
    """Memory budget of a node for all its slow clients."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        """Limit in bytes."""
        self.stream_share = STREAM_SHARE
        self.held = 0
        """Buffered bytes, never above the limit."""
        self._accounts: dict[BufferAccount, None] = {}

    @property
    def stream_limit(self) -> int:
        """Bytes that may be buffered for one stream."""
        return int(self.limit * self.stream_share)

    def accounts(self) -> list[BufferAccount]:
        """Return the accounts for which something is buffered."""
        return list(self._accounts)

    def take(self, account: BufferAccount, size: int, now: float) -> list[BufferAccount]:
        """Reserve `size` bytes; return the accounts dropped for it, which may include `account`
        itself.

        Bytes of dropped accounts are released at once. Nothing is reserved for an account that is
        dropped.
        """
        dropped: list[BufferAccount] = []
        if account.cause is None and account.size + size > self.limit:
            dropped.append(self._drop(account))
        while account.cause is None and self.held + size > self.limit:
            dropped.append(self._drop(self._largest_user(account, size, now)))
        if account.cause is None:
            self._change(account, size, now)
        return dropped

    def give(self, account: BufferAccount, size: int, now: float) -> None:
        """Return `size` bytes to the budget; no effect for a dropped account."""
        if account.cause is None:
            self._change(account, -size, now)

    def cut(self, account: BufferAccount, cause: CutCause) -> None:
        """Drop an account and release its bytes."""
        self.release(account)
        account.cause = cause

    def release(self, account: BufferAccount) -> None:
        """Release all bytes of an account."""
        self.held -= account.size
        account.size = 0
        self._accounts.pop(account, None)

    def _change(self, account: BufferAccount, size: int, now: float) -> None:
        self.held += size
        account.change(size, now)
        if account.size:
            self._accounts[account] = None
        else:
            self._accounts.pop(account, None)

    def _drop(self, account: BufferAccount) -> BufferAccount:
        self.cut(account, CutCause.MEMORY_SHORT)
        return account

    def _largest_user(self, requester: BufferAccount, size: int, now: float) -> BufferAccount:
        """Return the account with the most memory over time, from the tenant that uses the most
        memory.

        Tenants are equal here, since their agreed rates concern engine time, not memory. The
        requested bytes count for the account that asks, so that it cannot displace others by
        exceeding its own share.
        """
        by_tenant: dict[str, int] = defaultdict(int)
        for account in self._accounts:
            by_tenant[account.tenant] += account.size
        by_tenant[requester.tenant] += size
        maximum = max(by_tenant.values())
        tenants = {name for name, held in by_tenant.items() if held == maximum}
        candidates = [account for account in self._accounts if account.tenant in tenants]
        return max(
            candidates or [requester], key=lambda account: (account.byte_seconds(now), account.size)
        )


class EventBuffer:
    """Buffered events of one stream, in order, and how the stream ended."""

    def __init__(self, budget: MemoryBudget, account: BufferAccount) -> None:
        self.account = account
        self._budget = budget
        self._events: deque[bytes] = deque()
        self._blocked_seconds = 0.0
        self._full_since: float | None = None
        self.ended = False
        """Whether no more events will come."""
        self.error: PostvalveError | None = None
        """The error that cut the stream off; None if it was not."""

    def max_wait(self, size: int, now: float) -> float:
        """Return how many seconds at most an event of `size` bytes must wait for buffer space.

        If the client has been too slow for too long, the result is 0 and the client is dropped.
        """
        held, wanted = self.account.size, size + EVENT_OVERHEAD
        full = held > 0 and held + wanted > self._budget.stream_limit
        if self._full_since is not None:
            self._blocked_seconds += now - self._full_since
        self._full_since = now if full else None
        if not full:
            return 0.0
        left = MAX_BACKPRESSURE - self._blocked_seconds
        if left <= 0 and self.account.cause is None:
            self._budget.cut(self.account, CutCause.STORE_FULL)
        return max(0.0, left)

    def put(self, event: bytes, now: float) -> list[BufferAccount]:
        """Append an event; return the accounts dropped for it, which may include this buffer's
        own."""
        dropped = self._budget.take(self.account, len(event) + EVENT_OVERHEAD, now)
        if self.account.cause is None:
            self._events.append(event)
        return dropped

    def first(self) -> bytes:
        """Return the event to send next; empty if there is none."""
        return self._events[0] if self._events and self.account.cause is None else b""

    def pop_first(self, now: float) -> None:
        """Remove the first event, which the client has received."""
        if self._events:
            size = len(self._events.popleft()) + EVENT_OVERHEAD
            self._budget.give(self.account, size, now)

    def end(self, error: PostvalveError | None) -> None:
        """Mark the end of the stream; buffered events are still sent."""
        self.ended = True
        self.error = error

    def close(self) -> None:
        """Drop all events and release their bytes."""
        self._events.clear()
        self._budget.release(self.account)
