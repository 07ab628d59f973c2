"""Slots of one engine. Only the engine's owner admits work to it.

Online requests take any slot and preempt batch items at once. Batch items take only slots beyond
the headroom, which follows the recently observed bursts of online requests.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

BURST_WINDOW = 30.0
"""Seconds of the sliding window over which the peak online concurrency is taken."""
MAX_HEADROOM_FRACTION = 0.5
"""Largest share of the slots kept as headroom."""
ONLINE_MEMORY = 2.0
"""Seconds after its last online request for which an engine counts as serving online work."""
FULL_RETRY_AFTER = 0.5
"""Retry time in seconds sent to a gateway when online work fills every slot."""


@dataclass(frozen=True, slots=True)
class OnlineDecision:
    """Result of a request for an online slot."""

    granted: bool
    preempted: tuple[str, ...] = ()
    """Attempts of batch items that must be cancelled at the engine at once."""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class OnlineOccupant:
    """An online attempt that occupies a slot."""

    gateway_id: str
    admitted_at: float


@dataclass(frozen=True, slots=True)
class BatchOccupant:
    """A batch item that occupies a slot."""

    attempt_id: str
    rank: int
    started_at: float


class BurstTracker:
    """Peak online concurrency over a sliding window."""

    def __init__(self, window: float = BURST_WINDOW) -> None:
        self._window = window
        self._samples: deque[tuple[float, int]] = deque()

    def record(self, concurrency: int, now: float) -> None:
        """Record the concurrency at `now`."""
        # An earlier sample that is not larger can never be the peak again.
        while self._samples and self._samples[-1][1] <= concurrency:
            self._samples.pop()
        self._samples.append((now, concurrency))

    def peak(self, now: float) -> int:
        """Return the largest concurrency in the window."""
        while len(self._samples) > 1 and self._samples[0][0] < now - self._window:
            self._samples.popleft()
        return self._samples[0][1] if self._samples else 0


@dataclass(frozen=True, slots=True)
class SlotPolicy:
    """How a pool shares an engine's slots between online and batch work."""

    minimum_headroom: int = 0
    batch_beside_online: int | None = None
    """Batch items that may run while the engine serves online work; None for no limit."""
    online_queue: int = 0
    """Online attempts admitted beyond the slots. They queue inside the engine, ahead of all batch
    items."""


class EngineSlots:
    """The occupants of one engine's slots."""

    def __init__(self, slots: int, policy: SlotPolicy) -> None:
        self.slots = slots
        self.policy = policy
        self._online: dict[str, OnlineOccupant] = {}
        self._batch: dict[str, BatchOccupant] = {}
        self._bursts = BurstTracker()
        self._online_at = float("-inf")

    @property
    def online_count(self) -> int:
        """Number of online attempts in progress."""
        return len(self._online)

    @property
    def batch_count(self) -> int:
        """Number of batch items in progress."""
        return len(self._batch)

    def admit_online(self, attempt_id: str, gateway_id: str, now: float) -> OnlineDecision:
        """Admit an online attempt if possible, preempting batch items when no slot is free."""
        if self.online_count >= self.slots + self.policy.online_queue:
            return OnlineDecision(False, retry_after=FULL_RETRY_AFTER)
        self._online[attempt_id] = OnlineOccupant(gateway_id, now)
        self._online_at = now
        self._bursts.record(self.online_count, now)
        return OnlineDecision(True, preempted=self._preempt_excess())

    def _preempt_excess(self) -> tuple[str, ...]:
        excess = self.online_count + self.batch_count - self.slots
        bound = self.policy.batch_beside_online
        if bound is not None:
            excess = max(excess, self.batch_count - bound)
        if excess <= 0:
            return ()
        victims = sorted(self._batch.values(), key=_cheapest_first)[:excess]
        for victim in victims:
            del self._batch[victim.attempt_id]
        return tuple(victim.attempt_id for victim in victims)

    def headroom(self, now: float) -> int:
        """Return the slots to keep free of batch items: the recent online peak minus the current
        load."""
        expected = max(self.policy.minimum_headroom, self._bursts.peak(now) - self.online_count)
        return min(expected, int(self.slots * MAX_HEADROOM_FRACTION))

    def batch_capacity(self, now: float) -> int:
        """Return how many more batch items may start."""
        used = self.online_count + self.batch_count
        free = self.slots - self.headroom(now) - used
        bound = self.policy.batch_beside_online
        if bound is not None and now - self._online_at < ONLINE_MEMORY:
            free = min(free, bound - self.batch_count)
        return max(0, free)

    def admit_batch(self, attempt_id: str, rank: int, now: float) -> bool:
        """Take a slot for a batch item; returns False if there is none."""
        if self.batch_capacity(now) < 1:
            return False
        self._batch[attempt_id] = BatchOccupant(attempt_id, rank, now)
        return True

    def release(self, attempt_id: str, now: float) -> None:
        """Free the slot of an attempt. Unknown attempts are ignored."""
        if self._online.pop(attempt_id, None) is not None:
            self._online_at = now
            self._bursts.record(self.online_count, now)
        self._batch.pop(attempt_id, None)

    def release_gateway(self, gateway_id: str, now: float) -> None:
        """Free the slots of a gateway that died."""
        for attempt_id, occupant in list(self._online.items()):
            if occupant.gateway_id == gateway_id:
                self.release(attempt_id, now)

    def release_older(self, admitted_before: float, now: float) -> None:
        """Free the slots of attempts admitted before the given time, whose release must have been
        lost."""
        for attempt_id, occupant in list(self._online.items()):
            if occupant.admitted_at < admitted_before:
                self.release(attempt_id, now)


def _cheapest_first(occupant: BatchOccupant) -> tuple[int, float]:
    # The highest rank number is the least important. Among equals, the item that has run for the
    # shortest time loses the least work.
    return (-occupant.rank, -occupant.started_at)
