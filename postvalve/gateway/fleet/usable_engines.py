"""The engines of one service that take new work, and those that one request looks at."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.ownership import rank_owners
from postvalve.core.randomness import RandomSource
from postvalve.gateway.interfaces import EngineEntry

LOOKS = 48
"""Engines of the own zone, and of all others, that a request looks at: four are drawn from those by
which it can be in time, and among so many there are some unless hardly any engine has room. At
3,000 engines a choice among all takes 9 ms, among these 0.5 ms (timeit)."""
KEEPERS = 8
"""Engines that may keep a shared part, the likeliest first; the next ones are for where these are
full."""
KEYS_KEPT = 512
"""Shared parts whose keepers are remembered; to rank 1,000 engines takes 0.3 ms (timeit)."""


class UsableEngines:
    """As one state of the directory has them."""

    def __init__(self, entries: Sequence[EngineEntry], zone: str) -> None:
        """Set up; `zone` is the one of this node."""
        self.all = entries
        """All of them."""
        self.near = [one for one in entries if one.zone == zone]
        """Those of this node's zone."""
        self.far = [one for one in entries if one.zone != zone]
        """Those of all other zones."""
        self._by_life = {one.life: one for one in entries}
        self._keepers: dict[str, list[EngineEntry]] = {}

    def drawn(
        self, generator: RandomSource, prefix_key: str, watched: Collection[EngineLife]
    ) -> Sequence[EngineEntry]:
        """Those that one request looks at.

        Args:
            generator: Draws them.
            prefix_key: Names the shared part that the request has; empty where it has none.
            watched: Engines that this node watches over.
        """
        if max(len(self.near), len(self.far)) <= LOOKS:
            return self.all
        found = [
            *generator.sample(self.near, min(LOOKS, len(self.near))),
            *generator.sample(self.far, min(LOOKS, len(self.far))),
        ]
        wanted = {life: self._by_life[life] for life in watched if life in self._by_life}
        if prefix_key:
            wanted |= {one.life: one for one in self._keepers_of(prefix_key)}
        for one in found:
            wanted.pop(one.life, None)
        return [*found, *wanted.values()]

    def _keepers_of(self, prefix_key: str) -> list[EngineEntry]:
        """Alike at all nodes of a zone."""
        found = self._keepers.get(prefix_key)
        if found is None:
            lives = [one.life for one in self.near or self.all]
            ranked = rank_owners(prefix_key, lives)[:KEEPERS]
            if len(self._keepers) >= KEYS_KEPT:
                del self._keepers[next(iter(self._keepers))]
            found = self._keepers[prefix_key] = [self._by_life[life] for life in ranked]
        return found
