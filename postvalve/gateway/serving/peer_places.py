"""The first request queued at each peer, from load reports and the digests of other zones."""

from __future__ import annotations

import math

from postvalve.clock import Clock
from postvalve.core.scheduling.waiting_order import ShareNews, service_hash

NEWS_AGE = 0.5
"""Seconds after which a peer's queue heads are ignored: requests here must not wait for one that
was queued at a node that has gone."""


class PeerPlaces:
    """The latest queue heads of each peer node or zone."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._news: dict[str, tuple[float, ShareNews]] = {}

    def hear(self, peer: str, news: ShareNews) -> None:
        """Update the queue heads of a node or zone."""
        if news.first:
            self._news[peer] = (self._clock.monotonic(), news)
        else:
            self._news.pop(peer, None)

    def _fresh(self) -> list[ShareNews]:
        now = self._clock.monotonic()
        old = [peer for peer, (at, _) in self._news.items() if now - at > NEWS_AGE]
        for peer in old:
            del self._news[peer]
        return [news for _, news in self._news.values()]

    def firsts(self, service: str) -> list[tuple[tuple[int, int], float]]:
        """Return rank and tag of the first request queued at each peer for a service, in order."""
        if not self._news:
            return []
        key = service_hash(service)
        places = (news.first.get(key) for news in self._fresh())
        return sorted((one.rank, one.tag) for one in places if one is not None)

    def first_tag(self) -> float:
        """Return the least tag queued at any peer; infinite if none is queued."""
        tags = (one.tag for news in self._fresh() for one in news.first.values())
        return min(tags, default=math.inf)
