"""Items of this node that give way to online work, by its own look or as a peer tells it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.batch.giving_way import RunningItems, encode_running, giving_way
from postvalve.core.membership.engine_life import EngineLife
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.jobs.running_item import RunningItem


class ItemPreemption:
    """Stops attempts of items; they go on later after their last event."""

    def __init__(
        self,
        node_id: str,
        fleet: EngineFleet,
        peer_items: RunningItems,
        items: Callable[[], Iterable[RunningItem]],
        urgency: Callable[[RunningItem], int],
    ) -> None:
        """Set up; `items` gives all items of this node, `urgency` how urgent one is now."""
        self._node_id = node_id
        self._fleet = fleet
        self._peer_items = peer_items
        self._items = items
        self._urgency = urgency

    def look(self) -> None:
        """Stop items at engines that run more than they have slots for."""
        for life, running in self._running().items():
            staying = [item for item in running if not item.preempted]
            excess = self._fleet.excess(life) - (len(running) - len(staying))
            if excess <= 0:
                continue
            others = self._peer_items.at(engine_hash(life))
            urgencies = [self._urgency(item) for item in staying]
            count = giving_way(self._node_id, urgencies, others, excess)
            # Of equally urgent ones, those that have the least to read anew.
            staying.sort(key=lambda item: (-self._urgency(item), len(item.events)))
            for item in staying[:count]:
                _stop(item)

    def stop_one(self, engine: int, urgency: int) -> None:
        """Let an item go that is one of the least urgent ones of all nodes at an engine.

        Args:
            engine: The engine's hash.
            urgency: That of the item, as this node told it. Nothing goes where all that run are
                more urgent: the item has ended meanwhile.
        """
        for life, running in self._running().items():
            open_to = [item for item in running if not item.told_to_go]
            if engine_hash(life) != engine or not open_to:
                continue
            # One that gives way already, or of equals the one that has the least to read anew.
            item = max(
                open_to, key=lambda one: (self._urgency(one), one.preempted, -len(one.events))
            )
            if self._urgency(item) < urgency:
                continue
            item.told_to_go = True
            if not item.preempted:
                _stop(item)

    def urgencies_at(self, life: EngineLife) -> list[int]:
        """Urgencies of this node's items at an engine, of those that give way already too."""
        return [self._urgency(item) for item in self._running().get(life, ())]

    def report(self) -> bytes:
        """Engines and urgencies of the items that run here, for the peers."""
        return encode_running(
            (engine_hash(life), self._urgency(item))
            for life, items in self._running().items()
            for item in items
        )

    def _running(self) -> dict[EngineLife, list[RunningItem]]:
        by_engine: dict[EngineLife, list[RunningItem]] = {}
        for item in self._items():
            if item.running and item.placement is not None:
                by_engine.setdefault(item.placement.engine.life, []).append(item)
        return by_engine


def _stop(item: RunningItem) -> None:
    item.preempted = True
    if item.answer is not None:
        item.answer.abort()
