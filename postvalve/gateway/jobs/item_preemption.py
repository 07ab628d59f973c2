"""Preempts items of this node for online requests, by its own check or at a peer's request."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.batch.preemption import PeerRunningItems, count_preempted, encode_running
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.report_schedule import GATHER_SHARE, IDLE_INTERVAL
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.engine_watch import REPORT_DELAY
from postvalve.gateway.jobs.running_item import RunningItem

DUPLICATE_NOTICE_WINDOW = REPORT_DELAY + 2 * GATHER_SHARE * IDLE_INTERVAL
"""Seconds within which a peer's notice refers to an excess that this node has already handled: the
request that caused it is reported out of turn, and datagrams are batched twice on the way. A later
notice is about another online request, which would keep waiting if this node ignored it."""


@dataclass(slots=True)
class _LocalStop:
    """An item that this node's own check has preempted."""

    at: float
    engine: int
    urgency: int
    item: RunningItem

    @property
    def gone(self) -> bool:
        """Whether the item has left the engine; it may be running elsewhere since."""
        return not self.item.preempted or not self.item.running


class ItemPreemption:
    """Stops attempts of items, which resume later after their last event."""

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
            node_id: Id of this node.
            fleet: Tracks what runs at the engines.
            peer_items: Items that peers run at the engines.
            items: Returns all items of this node.
            urgency: Returns the present sort key of an item.
            now: Returns monotonic seconds.
        """
        self._node_id = node_id
        self._fleet = fleet
        self._peer_items = peer_items
        self._items = items
        self._urgency = urgency
        self._now = now
        self._local_stops: list[_LocalStop] = []
        """Items recently stopped by this node's own check, for which no peer's notice has come
        yet."""

    def preempt_excess(self) -> None:
        """Stop items at engines that run more requests than they have slots for."""
        for life, running in self._running().items():
            kept = [item for item in running if not item.preempted]
            excess = self._fleet.excess(life) - (len(running) - len(kept))
            if excess <= 0:
                continue
            others = self._peer_items.at(engine_hash(life))
            urgencies = [self._urgency(item) for item in kept]
            count = count_preempted(self._node_id, urgencies, others, excess)
            # Among equally urgent items, those with the least to process again are stopped first.
            kept.sort(key=lambda item: (-self._urgency(item), len(item.events)))
            for item in [item for item in kept if not item.must_be_heard][:count]:
                stop = _LocalStop(self._now(), engine_hash(life), self._urgency(item), item)
                self._local_stops.append(stop)
                _stop(item, "look")

    def preempt_one(self, engine: int, urgency: int) -> None:
        """Stop one item at an engine that is among the least urgent of all nodes.

        Args:
            engine: Hash of the engine.
            urgency: Urgency of the item, as this node reported it. Nothing is stopped if all
                running items are more urgent, since the item has then ended.
        """
        if self._already_stopped(engine, urgency):
            return
        for life, running in self._running().items():
            candidates = [
                item for item in running if not (item.preempt_requested or item.must_be_heard)
            ]
            if engine_hash(life) != engine or not candidates:
                continue
            # Prefers an item that is already being stopped; among equals, the one with the least to
            # process again.
            item = max(
                candidates,
                key=lambda other: (self._urgency(other), other.preempted, -len(other.events)),
            )
            if self._urgency(item) < urgency:
                continue
            item.preempt_requested = True
            self._local_stops = [stop for stop in self._local_stops if stop.item is not item]
            if not item.preempted:
                _stop(item, "told")

    def _already_stopped(self, engine: int, urgency: int) -> bool:
        """Return whether a notice refers to an item that this node has already stopped itself.

        The peer has seen the same excess, and a second item would be stopped for it.
        """
        now = self._now()
        self._local_stops = [
            stop for stop in self._local_stops if now - stop.at < DUPLICATE_NOTICE_WINDOW
        ]
        for stop in self._local_stops:
            if stop.gone and stop.engine == engine and stop.urgency >= urgency:
                self._local_stops.remove(stop)
                return True
        return False

    def urgencies_at(self, life: EngineLife) -> list[int]:
        """Return the urgencies of this node's items at an engine, including those being stopped."""
        return [self._urgency(item) for item in self._running().get(life, ())]

    def report(self) -> bytes:
        """Encode the engines and urgencies of this node's running items for its peers."""
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
