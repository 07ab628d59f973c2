"""Who waits first at other nodes, as their reports and other zones' digests tell."""

from __future__ import annotations

import math

from postvalve.clock import Clock
from postvalve.core.scheduling.queue_order import ShareUpdate, service_hash

MAX_REPORT_AGE = 0.5
"""Seconds after which what a peer told of those that wait there says nothing any more: a node that
hears of nobody must not be held up by who waited at one that is gone."""


class PeerQueueHeads:
    """By peer: its newest news."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._news: dict[str, tuple[float, ShareUpdate]] = {}

    def update(self, peer: str, news: ShareUpdate) -> None:
        """Take in what a node, or a zone, tells."""
        if news.queue_heads:
            self._news[peer] = (self._clock.monotonic(), news)
        else:
            self._news.pop(peer, None)

    def _fresh(self) -> list[ShareUpdate]:
        now = self._clock.monotonic()
        old = [peer for peer, (at, _) in self._news.items() if now - at > MAX_REPORT_AGE]
        for peer in old:
            del self._news[peer]
        return [news for _, news in self._news.values()]

    def for_service(self, service: str) -> list[tuple[tuple[int, int], float]]:
        """Rank and tag of the first that waits at each peer, in order."""
        if not self._news:
            return []
        key = service_hash(service)
        places = (news.queue_heads.get(key) for news in self._fresh())
        return sorted((one.rank, one.tag) for one in places if one is not None)

    def min_tag(self) -> float:
        """The least tag that waits at any peer; infinite where nobody does."""
        tags = (one.tag for news in self._fresh() for one in news.queue_heads.values())
        return min(tags, default=math.inf)
