"""Items of this node that give way to online work, by its own look or as a peer tells it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.batch.preemption import PeerRunningItems, count_preempted, encode_running
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.report_schedule import GATHER_SHARE, IDLE_INTERVAL
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.engine_watch import TELL_DELAY
from postvalve.gateway.jobs.running_item import RunningItem

DUPLICATE_NOTICE_WINDOW = TELL_DELAY + 2 * GATHER_SHARE * IDLE_INTERVAL
"""Seconds within which a peer's word about an excess comes that this node has seen itself: the
request that made it is told out of turn, and datagrams gather twice on the way. A later word is
about another online request, which waits for the item that this node doesn't stop."""


@dataclass(slots=True)
class _Found:
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
        peer_items: PeerRunningItems,
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
        self._found: list[_Found] = []
        """Items that this node has stopped by its own look of late, and that nobody told to go."""

    def preempt_excess(self) -> None:
        """Stop items at engines that run more than they have slots for."""
        for life, running in self._running().items():
            staying = [item for item in running if not item.preempted]
            excess = self._fleet.excess(life) - (len(running) - len(staying))
            if excess <= 0:
                continue
            others = self._peer_items.at(engine_hash(life))
            urgencies = [self._urgency(item) for item in staying]
            count = count_preempted(self._node_id, urgencies, others, excess)
            # Of equally urgent ones, those that have the least to read anew.
            staying.sort(key=lambda item: (-self._urgency(item), len(item.events)))
            for item in staying[:count]:
                found = _Found(self._now(), engine_hash(life), self._urgency(item), item)
                self._found.append(found)
                _stop(item, "look")

    def preempt_one(self, engine: int, urgency: int) -> None:
        """Let an item go that is one of the least urgent ones of all nodes at an engine.

        Args:
            engine: The engine's hash.
            urgency: That of the item, as this node told it. Nothing goes where all that run are
                more urgent: the item has ended meanwhile.
        """
        if self._was_found(engine, urgency):
            return
        for life, running in self._running().items():
            open_to = [item for item in running if not item.preempt_requested]
            if engine_hash(life) != engine or not open_to:
                continue
            # One that gives way already, or of equals the one that has the least to read anew.
            item = max(
                open_to, key=lambda one: (self._urgency(one), one.preempted, -len(one.events))
            )
            if self._urgency(item) < urgency:
                continue
            item.preempt_requested = True
            self._found = [one for one in self._found if one.item is not item]
            if not item.preempted:
                _stop(item, "told")

    def _was_found(self, engine: int, urgency: int) -> bool:
        """Whether the item that is meant was stopped by this node's own look, and has gone.

        The peer has seen the same excess, and a second item would go for it.
        """
        now = self._now()
        self._found = [one for one in self._found if now - one.at < DUPLICATE_NOTICE_WINDOW]
        for found in self._found:
            if found.gone and found.engine == engine and found.urgency >= urgency:
                self._found.remove(found)
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
    item.preempted_by = cause
    if item.answer is not None:
        item.answer.abort()
