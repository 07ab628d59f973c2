"""The first request queued at each peer, from load reports and the digests of other zones."""

from __future__ import annotations

import math

from postvalve.clock import Clock
from postvalve.core.scheduling.queue_order import ShareUpdate, service_hash

MAX_REPORT_AGE = 0.5
"""Seconds after which a peer's queue heads are ignored: requests here must not wait for one that
was queued at a node that has gone."""


class PeerQueueHeads:
    """The latest queue heads of each peer node or zone."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updates: dict[str, tuple[float, ShareUpdate]] = {}

    def update(self, peer: str, update: ShareUpdate) -> None:
        """Update the queue heads of a node or zone."""
        if update.queue_heads:
            self._updates[peer] = (self._clock.monotonic(), update)
        else:
            self._updates.pop(peer, None)

    def _current(self) -> list[ShareUpdate]:
        now = self._clock.monotonic()
        old = [peer for peer, (at, _) in self._updates.items() if now - at > MAX_REPORT_AGE]
        for peer in old:
            del self._updates[peer]
        return [update for _, update in self._updates.values()]

    def for_service(self, service: str) -> list[tuple[tuple[int, int], float]]:
        """Return rank and tag of the first request queued at each peer for a service, in order."""
        if not self._updates:
            return []
        key = service_hash(service)
        places = (update.queue_heads.get(key) for update in self._current())
        return sorted((one.rank, one.tag) for one in places if one is not None)

    def min_tag(self) -> float:
        """Return the least tag queued at any peer; infinite if none is queued."""
        tags = (one.tag for update in self._current() for one in update.queue_heads.values())
        return min(tags, default=math.inf)
