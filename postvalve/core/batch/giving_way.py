"""Which running items give way to online work at an engine: the least urgent of all nodes.

Every node tells the urgencies of the items that it runs, by engine. All nodes see the same
excess and the same order, a tenth of a second late, so each stops just those of its own items
that are among the least urgent. What a peer has stopped meanwhile still stands in its last
report, in the count and in the order alike, so nobody stops an item in its place.
"""

from __future__ import annotations

import struct
from collections import defaultdict
from collections.abc import Iterable, Sequence

_ENTRY = struct.Struct("!IQ")
"""Engine's hash, urgency in milliseconds of the epoch."""


class RunningItems:
    """Urgencies of the items that peers run, by engine."""

    def __init__(self) -> None:
        self._by_node: dict[str, dict[int, list[int]]] = {}

    def observe(self, node_id: str, report: bytes) -> None:
        """Take a peer's report in, in place of its former one."""
        engines: dict[int, list[int]] = defaultdict(list)
        whole = len(report) - len(report) % _ENTRY.size
        for engine, due in _ENTRY.iter_unpack(report[:whole]):
            engines[engine].append(due)
        self._by_node[node_id] = engines

    def forget(self, node_id: str) -> None:
        """Drop a peer that is gone."""
        self._by_node.pop(node_id, None)

    def at(self, engine: int) -> list[tuple[int, str]]:
        """Urgency and node of each item that peers run at an engine, by its hash."""
        return [
            (due, node_id)
            for node_id, engines in self._by_node.items()
            for due in engines.get(engine, ())
        ]


def encode_running(items: Iterable[tuple[int, int]]) -> bytes:
    """A report: hash of the engine and urgency of each running item."""
    return b"".join(_ENTRY.pack(engine, due) for engine, due in items)


def giving_way(
    node_id: str, own: Sequence[int], others: Sequence[tuple[int, str]], excess: int
) -> int:
    """How many of a node's items at an engine give way; its least urgent ones.

    Args:
        node_id: The node, which breaks ties alike everywhere.
        own: Urgencies of its items at the engine.
        others: Urgency and node of the items of its peers there.
        excess: Items of all nodes that should give way.
    """
    if excess <= 0:
        return 0
    order = sorted([*((due, node_id) for due in own), *others], reverse=True)
    return sum(1 for _, owner in order[:excess] if owner == node_id)
