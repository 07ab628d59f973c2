"""Preemption of batch items by online requests: the least urgent items of all nodes stop first.

Every node reports the urgencies of its running items by engine. All nodes see the same excess and
the same order, about 0.1 s late, so each node stops only those of its own items that are among the
least urgent. An item that a peer has already stopped remains in that peer's last report, both in
the count and in the order, so no node stops another item in its place.
"""

from __future__ import annotations

import struct
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

_ENTRY = struct.Struct("!IQ")
"""Hash of the engine, and urgency in milliseconds of the epoch."""
_ZONE_ENTRY = struct.Struct("!IQH")
"""Hash of the engine, urgency in milliseconds of the epoch, and index of the zone member that runs
the item."""
PREEMPT_NOTICE_TIMEOUT = 0.4
"""Seconds within which an item that was asked to stop disappears from the reports. If it is still
reported after that, the message was lost and is sent again."""


class PeerRunningItems:
    """Urgencies of the items that peers run, by engine."""

    def __init__(self) -> None:
        self._by_source: dict[str, dict[int, list[tuple[int, str]]]] = {}
        """Urgency and node id of each item, by reporting source (a node or a zone) and engine
        hash."""
        self._reports: dict[str, bytes] = {}
        """Last report of each node."""

    def observe(self, node_id: str, report: bytes) -> None:
        """Replace the previous report of a peer."""
        if self._reports.get(node_id) == report:
            return
        self._reports[node_id] = report
        self._by_source[node_id] = _by_engine(
            (engine, due, node_id) for engine, due in _iter(_ENTRY, report)
        )

    def observe_zone(self, name: str, report: bytes, members: Sequence[str]) -> None:
        """Replace the previous content of a zone's digest.

        Args:
            name: Key under which the zone is stored; also stands in for members that are not known
                yet.
            report: Bytes as returned by `encode_zone_running`.
            members: Ids of the zone's nodes, in the order of the digest.
        """
        self._by_source[name] = _by_engine(
            (engine, due, members[idx] if idx < len(members) else name)
            for engine, due, idx in _iter(_ZONE_ENTRY, report)
        )

    def forget(self, source: str) -> None:
        """Remove a peer or a zone that is gone."""
        self._reports.pop(source, None)
        self._by_source.pop(source, None)

    def at(self, engine: int) -> list[tuple[int, str]]:
        """Return urgency and node id of the items that peers run at the engine with this hash."""
        return [entry for engines in self._by_source.values() for entry in engines.get(engine, ())]


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
    """Encode a zone's running items for its digest, from one report per member in order."""
    return b"".join(
        _ZONE_ENTRY.pack(engine, due, idx)
        for idx, report in enumerate(reports)
        for engine, due in _iter(_ENTRY, report)
    )


def encode_running(items: Iterable[tuple[int, int]]) -> bytes:
    """Encode a report from the engine hash and urgency of each running item."""
    return b"".join(_ENTRY.pack(engine, due) for engine, due in items)


def count_preempted(
    node_id: str, own: Sequence[int], others: Sequence[tuple[int, str]], excess: int
) -> int:
    """Return how many of a node's items at an engine are preempted, its least urgent ones first.

    Args:
        node_id: The node; used to break ties in the same way on all nodes.
        own: Urgencies of its items at the engine.
        others: Urgency and node id of its peers' items at the engine.
        excess: Number of items over all nodes that should stop.
    """
    if excess <= 0:
        return 0
    order = sorted([*((due, node_id) for due in own), *others], reverse=True)
    return sum(1 for _, owner in order[:excess] if owner == node_id)


class VictimSelector:
    """Selects the items that the watcher of an engine asks nodes to stop.

    Items that were asked to stop remain in the reports for a while, so the selector remembers them
    and does not ask twice.
    """

    def __init__(self) -> None:
        self._notified: dict[int, list[tuple[float, tuple[int, str]]]] = {}
        """Time and item of each request to stop, by engine hash."""

    def select(
        self, engine: int, running: Sequence[tuple[int, str]], excess: int, now: float
    ) -> list[tuple[int, str]]:
        """Return urgency and node id of the items that are asked to stop now.

        Args:
            engine: Hash of the engine.
            running: Urgency and node id of each item that runs there.
            excess: Number of items that should stop, including those that were already asked to.
            now: Monotonic seconds.
        """
        if excess <= 0:
            self._notified.pop(engine, None)
            return []
        candidates = sorted(running, reverse=True)
        pending = []
        for notified_at, item in self._notified.get(engine, ()):
            if now - notified_at < PREEMPT_NOTICE_TIMEOUT and item in candidates:
                candidates.remove(item)
                pending.append((notified_at, item))
        chosen = candidates[: max(0, excess - len(pending))]
        self._notified[engine] = pending + [(now, item) for item in chosen]
        return chosen
