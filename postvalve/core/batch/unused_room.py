"""Room for batch items that goes unused although items wait.

The rank of an item counts the items that peers report, also those that can't start: they may be for
other engines, may have to stay in their zone, or their node may have stopped. Room that nobody has
used for some seconds is open to any item.

Nodes with waiting items take the room of an engine in an order that they all compute alike. The
second one waits until it would know of a start of the first one. The times between later ones
shrink, so that a node soon has its turn although many before it can't use the room. After each
start, the order begins again.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from postvalve.core.admission.engine_use import HASH_BITS, engine_hash
from postvalve.core.membership.engine_life import EngineLife

CHECK_INTERVAL = 0.1
"""Seconds between two checks of which engines have room."""
MAX_GAP = 1.0
"""Seconds between two checks from which nothing is known of the time between them."""
LEARN_TIME = 0.6
"""Seconds within which nodes of all zones learn that an item has started."""
UNUSED_AFTER = 2.0
"""Seconds for which an engine has room, after which ranks no longer keep items from it. Items of
nodes that stopped may count for longer: see `peers.SILENT_AFTER` and `peers.ZONE_SILENT_AFTER`."""
UNUSED_HALVING = 4.0
"""Nodes in the order of an engine after which the time between two nodes' turns is half as long."""
OVERDUE_HALVING = 1.5
"""The same for overdue items. They leave half of the slots free, so a few nodes that start items at
once do no harm."""
MAX_ENGINES = 4
"""Engines whose unused room a node looks at in one check, since each look goes over its items."""
REGROWTH = 2.0
"""Seconds by which the wait for an engine grows with each second without room there."""


@dataclass(slots=True)
class _Wait:
    """Wait for the room of one engine."""

    left: float
    """Seconds until the room is open to the node that comes first; negative afterwards."""
    batch: int
    """Batch items that ran there at the last check."""


class UnusedRoom:
    """How long engines have had room for batch items, as one node sees it."""

    def __init__(self, node_id: str, *, overdue: bool = False) -> None:
        self._node_id = node_id
        # Items with time have no claim to slots that overdue ones may take in other zones.
        self._unused_after = LEARN_TIME if overdue else UNUSED_AFTER
        self._halving = OVERDUE_HALVING if overdue else UNUSED_HALVING
        self._waits: dict[EngineLife, _Wait] = {}
        self._checked_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether it is time for the next check."""
        return now - self._checked_at >= CHECK_INTERVAL

    def check(
        self, with_room: Mapping[EngineLife, int], peers: Iterable[str], now: float
    ) -> list[EngineLife]:
        """Record which engines have room now; return those whose room is open to this node,
        up to `MAX_ENGINES`.

        Args:
            with_room: Number of running batch items at each engine with room for another one.
            peers: Ids of the other nodes whose items may take this room.
            now: Monotonic seconds.
        """
        passed = now - self._checked_at
        if passed > MAX_GAP:
            self._waits, passed = {}, 0.0
        self._checked_at = now
        self._lengthen(with_room, passed)
        nodes = sorted({self._node_id, *peers}, key=_node_hash)
        position = nodes.index(self._node_id)
        open_now = []
        for life, batch in with_room.items():
            wait = self._waits.setdefault(life, _Wait(self._unused_after + passed, batch))
            rank = _rank(life, position, len(nodes))
            delay = LEARN_TIME * self._halving * math.log1p(rank / self._halving)
            wait.left = max(wait.left - passed, -delay)
            if batch > wait.batch:
                wait.left = max(wait.left, LEARN_TIME)
            wait.batch = batch
            if wait.left <= -delay:
                open_now.append(life)
        return open_now[:MAX_ENGINES]

    def take(self, life: EngineLife) -> None:
        """Record that this node starts an item in an engine's unused room."""
        wait = self._waits[life]
        wait.left = LEARN_TIME
        wait.batch += 1

    def pass_over(self, life: EngineLife) -> None:
        """Record that none of this node's items fits an engine's room, so that it isn't tried again
        at each check."""
        self._waits[life].left += LEARN_TIME

    def _lengthen(self, with_room: Collection[EngineLife], passed: float) -> None:
        """Lengthen the waits for engines without room, and forget those that would begin again."""
        for life in [one for one in self._waits if one not in with_room]:
            wait = self._waits[life]
            wait.left += passed * REGROWTH
            if wait.left >= self._unused_after:
                del self._waits[life]


def _rank(life: EngineLife, position: int, nodes: int) -> int:
    """Return the number of nodes that come before the one at a position of the order.

    Each engine begins at another node, and at almost the same one if the nodes' views differ by a
    few nodes.
    """
    first = engine_hash(life) * nodes >> HASH_BITS
    return (position - first) % nodes


def _node_hash(node_id: str) -> int:
    """Return a sort key that mixes nodes of all zones, which learn late of each other's starts."""
    return xxhash.xxh32_intdigest(node_id.encode())
