"""Which running items give way to online work at an engine: the least urgent of all nodes.

Every node tells the urgencies of the items that it runs, by engine. All nodes see the same
excess and the same order, a tenth of a second late, so each stops just those of its own items
that are among the least urgent. What a peer has stopped meanwhile still stands in its last
report, in the count and in the order alike, so nobody stops an item in its place.
"""

from __future__ import annotations

import struct
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

_ENTRY = struct.Struct("!IQ")
"""Engine's hash, urgency in milliseconds of the epoch."""
_ZONE_ENTRY = struct.Struct("!IQH")
"""The same, and which of the zone's members runs the item."""
PREEMPT_NOTICE_TIMEOUT = 0.4
"""Seconds within which an item that was told to give way has left the reports; if it has not, the
message was lost, and it is told again."""


class PeerRunningItems:
    """Urgencies of the items that peers run, by engine."""

    def __init__(self) -> None:
        self._by_source: dict[str, dict[int, list[tuple[int, str]]]] = {}
        """Urgency and node of each item, by engine and by who told of it: a node, or a zone."""
        self._reports: dict[str, bytes] = {}
        """What each node told last."""

    def observe(self, node_id: str, report: bytes) -> None:
        """Take a peer's report in, in place of its former one."""
        if self._reports.get(node_id) == report:
            return
        self._reports[node_id] = report
        self._by_source[node_id] = _by_engine(
            (engine, due, node_id) for engine, due in _iter(_ENTRY, report)
        )

    def observe_zone(self, name: str, report: bytes, members: Sequence[str]) -> None:
        """Take what a zone's digest tells, in place of the former one.

        Args:
            name: The name under which the zone is kept; stands for members that are not known yet.
            report: As `encode_zone_running` gives it.
            members: Ids of the zone's nodes, in the order of the digest.
        """
        self._by_source[name] = _by_engine(
            (engine, due, members[idx] if idx < len(members) else name)
            for engine, due, idx in _iter(_ZONE_ENTRY, report)
        )

    def forget(self, source: str) -> None:
        """Drop a peer, or a zone, that is gone."""
        self._reports.pop(source, None)
        self._by_source.pop(source, None)

    def at(self, engine: int) -> list[tuple[int, str]]:
        """Urgency and node of each item that peers run at an engine, by its hash."""
        return [one for engines in self._by_source.values() for one in engines.get(engine, ())]


def _iter(layout: struct.Struct, report: bytes) -> Iterator[tuple[int, ...]]:
    return layout.iter_unpack(report[: len(report) - len(report) % layout.size])


def _by_engine(
    entries: Iterable[tuple[int, int, str]],
) -> dict[int, list[tuple[int, str]]]:
    engines: dict[int, list[tuple[int, str]]] = defaultdict(list)
    for engine, due, node_id in entries:
        engines[engine].append((due, node_id))
    return engines


def encode_zone_running(reports: Iterable[bytes]) -> bytes:
    """Items of a zone's nodes for its digest; a report of each, in the order of the members."""
    return b"".join(
        _ZONE_ENTRY.pack(engine, due, idx)
        for idx, report in enumerate(reports)
        for engine, due in _iter(_ENTRY, report)
    )


def encode_running(items: Iterable[tuple[int, int]]) -> bytes:
    """A report: hash of the engine and urgency of each running item."""
    return b"".join(_ENTRY.pack(engine, due) for engine, due in items)


def count_preempted(
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


class VictimSelector:
    """Which items the node that watches over an engine tells to give way.

    What it told stands in the reports for a while, so it remembers it, and tells nobody twice.
    """

    def __init__(self) -> None:
        self._told: dict[int, list[tuple[float, tuple[int, str]]]] = {}
        """When each item was told, by engine."""

    def select(
        self, engine: int, running: Sequence[tuple[int, str]], excess: int, now: float
    ) -> list[tuple[int, str]]:
        """Urgency and node of the items that are to be told now.

        Args:
            engine: The engine's hash.
            running: Urgency and node of each item that runs there.
            excess: Items that should give way, those that were told among them.
            now: Monotonic seconds.
        """
        if excess <= 0:
            self._told.pop(engine, None)
            return []
        left = sorted(running, reverse=True)
        waited_for = []
        for told_at, item in self._told.get(engine, ()):
            if now - told_at < PREEMPT_NOTICE_TIMEOUT and item in left:
                left.remove(item)
                waited_for.append((told_at, item))
        chosen = left[: max(0, excess - len(waited_for))]
        self._told[engine] = waited_for + [(now, item) for item in chosen]
        return chosen
