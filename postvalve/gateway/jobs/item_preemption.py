"""Items of this node that give way to online work, by its own look or as a peer tells it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.batch.giving_way import RunningItems, encode_running, giving_way
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.report_pace import GATHER_SHARE, IDLE_INTERVAL
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.engine_watch import TELL_DELAY
from postvalve.gateway.jobs.running_item import RunningItem

FOUND_TIME = TELL_DELAY + 2 * GATHER_SHARE * IDLE_INTERVAL
"""Seconds within which a peer's word about an excess comes that this node has seen itself: the
request that made it is told out of turn, and datagrams gather twice on the way. A later word is
about another online request, which waits for the item that this node doesn't stop."""


@dataclass(slots=True)
class _LocalStop:
    """An item that this node has stopped by its own look."""

    at: float
    engine: int
    urgency: int
    item: RunningItem

    @property
    def gone(self) -> bool:
        """Whether it has left the engine; it may run elsewhere since."""
        return not self.item.preempted or not self.item.running


class ItemPreemption:
    """Stops attempts of items; they go on later after their last event."""

    def __init__(
        self,
        node_id: str,
        fleet: EngineFleet,
        peer_items: RunningItems,
        items: Callable[[], Iterable[RunningItem]],
        urgency: Callable[[RunningItem], int],
        now: Callable[[], float],
    ) -> None:
        """Set up.

        Args:
            node_id: This node.
            fleet: Knows what runs at the engines.
            peer_items: What peers run there.
            items: Gives all items of this node.
            urgency: How urgent one is now.
            now: Gives monotonic seconds.
        """
        self._node_id = node_id
        self._fleet = fleet
        self._peer_items = peer_items
        self._items = items
        self._urgency = urgency
        self._now = now
        self._local_stops: list[_LocalStop] = []
        """Items that this node has stopped by its own look of late, and that nobody told to go."""

    def look(self) -> None:
        """Stop items at engines that run more than they have slots for."""
        for life, running in self._running().items():
            kept = [item for item in running if not item.preempted]
            excess = self._fleet.excess(life) - (len(running) - len(kept))
            if excess <= 0:
                continue
            others = self._peer_items.at(engine_hash(life))
            urgencies = [self._urgency(item) for item in kept]
            count = giving_way(self._node_id, urgencies, others, excess)
            # Of equally urgent ones, those that have the least to read anew.
            kept.sort(key=lambda item: (-self._urgency(item), len(item.events)))
            for item in kept[:count]:
                stop = _LocalStop(self._now(), engine_hash(life), self._urgency(item), item)
                self._local_stops.append(stop)
                _stop(item, "look")

    def stop_one(self, engine: int, urgency: int) -> None:
        """Let an item go that is one of the least urgent ones of all nodes at an engine.

        Args:
            engine: The engine's hash.
            urgency: That of the item, as this node told it. Nothing goes where all that run are
                more urgent: the item has ended meanwhile.
        """
        if self._already_stopped(engine, urgency):
            return
        for life, running in self._running().items():
            candidates = [item for item in running if not item.told_to_go]
            if engine_hash(life) != engine or not candidates:
                continue
            # One that gives way already, or of equals the one that has the least to read anew.
            item = max(
                candidates,
                key=lambda other: (self._urgency(other), other.preempted, -len(other.events)),
            )
            if self._urgency(item) < urgency:
                continue
            item.told_to_go = True
            self._local_stops = [stop for stop in self._local_stops if stop.item is not item]
            if not item.preempted:
                _stop(item, "told")

    def _already_stopped(self, engine: int, urgency: int) -> bool:
        """Whether the item that is meant was stopped by this node's own look, and has gone.

        The peer has seen the same excess, and a second item would go for it.
        """
        now = self._now()
        self._local_stops = [stop for stop in self._local_stops if now - stop.at < FOUND_TIME]
        for stop in self._local_stops:
            if stop.gone and stop.engine == engine and stop.urgency >= urgency:
                self._local_stops.remove(stop)
                return True
        return False

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


def _stop(item: RunningItem, cause: str) -> None:
    item.preempted = True
    item.stopped_by = cause
    if item.answer is not None:
        item.answer.abort()
