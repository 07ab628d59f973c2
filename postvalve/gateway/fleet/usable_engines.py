"""Engines of one service that accept new work, and the sample considered for each request."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.ownership import rank_owners
from postvalve.core.randomness import RandomSource
from postvalve.gateway.interfaces import EngineEntry

CANDIDATES_PER_GROUP = 48
"""Engines of this node's zone, and as many of all other zones, considered for a request. Four of
those expected to be in time are drawn from them; a sample of this size contains some unless nearly
all engines are full. With 3,000 engines a choice among all takes 9 ms, among these 0.5 ms."""
PREFIX_ENGINES = 8
"""Engines that may hold a prompt prefix in their cache, by preference; those after the first are
used when it is full."""
MAX_CACHED_KEYS = 512
"""Prefix keys whose preferred engines are cached; ranking 1,000 engines takes 0.3 ms."""


class UsableEngines:
    """Engines that accept new work, as of one state of the directory."""

    def __init__(self, entries: Sequence[EngineEntry], zone: str) -> None:
        """Set up for the entries of one service; `zone` is the zone of this node."""
        self.all = entries
        """All engines."""
        self.near = [one for one in entries if one.zone == zone]
        """Engines of this node's zone."""
        self.far = [one for one in entries if one.zone != zone]
        """Engines of all other zones."""
        self._by_life = {one.life: one for one in entries}
        self._engines_by_prefix: dict[str, list[EngineEntry]] = {}

    def request_candidates(
        self, generator: RandomSource, prefix_key: str, watched: Collection[EngineLife]
    ) -> Sequence[EngineEntry]:
        """Return the engines to consider for one request.

        Args:
            generator: Random source of the sample.
            prefix_key: Key of the prompt prefix that the request shares; empty for none.
            watched: Engines watched by this node, which are always included.
        """
        if max(len(self.near), len(self.far)) <= CANDIDATES_PER_GROUP:
            return self.all
        found = [
            *generator.sample(self.near, min(CANDIDATES_PER_GROUP, len(self.near))),
            *generator.sample(self.far, min(CANDIDATES_PER_GROUP, len(self.far))),
        ]
        preferred = {life: self._by_life[life] for life in watched if life in self._by_life}
        if prefix_key:
            preferred |= {one.life: one for one in self._prefix_engines(prefix_key)}
        for one in found:
            preferred.pop(one.life, None)
        return [*found, *preferred.values()]

    def _prefix_engines(self, prefix_key: str) -> list[EngineEntry]:
        """Return the preferred engines for a prefix, the same at all nodes of a zone."""
        found = self._engines_by_prefix.get(prefix_key)
        if found is None:
            lives = [one.life for one in self.near or self.all]
            ranked = rank_owners(prefix_key, lives)[:PREFIX_ENGINES]
            if len(self._engines_by_prefix) >= MAX_CACHED_KEYS:
                del self._engines_by_prefix[next(iter(self._engines_by_prefix))]
            found = self._engines_by_prefix[prefix_key] = [self._by_life[life] for life in ranked]
        return found
