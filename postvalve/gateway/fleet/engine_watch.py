"""Fast preemption of batch items: each engine is watched by one node of its zone.

Batch items fill nearly all slots that online requests leave free. Nodes learn of each other's
requests some tenths of a second late, and by then online requests are queued at the engine. So
each node that places a request also sends a report to the engine's watcher at once, and the watcher
tells the nodes of the least urgent items to preempt them. No request waits for the watcher: if it
is lost, or two nodes act as watcher for a moment, items are preempted later, or one too many is.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.batch.preemption import PeerRunningItems, VictimSelector
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.ownership import Owners
from postvalve.events import Event
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.messages.framing import encode_frame
from postvalve.messages.generated import gateway

REPORT_DELAY = 0.005
"""Seconds by which the report to a watcher is delayed, as items of a job start together."""
WATCHER_REFRESH_INTERVAL = 0.5
"""Seconds after which the watchers of engines are determined again."""


class EngineWatch:
    """Reports to the watchers of engines, and preempts items at engines watched by this node."""

    def __init__(self, services: PeerServices, items: PeerRunningItems) -> None:
        self._identity = services.identity
        self._clock = services.clock
        self._events = services.events
        self._transport = services.transport
        self._fleet = services.fleet
        self._peers = services.peers
        self._items = items
        self._victims = VictimSelector()
        self._watchers = Owners()
        """Watcher of each engine of this zone."""
        self._watched: list[EngineLife] = []
        """Engines watched by this node."""
        self._watcher_inputs: tuple[list[str], list[EngineLife]] = ([], [])
        """Nodes and engines from which the watchers were determined."""
        self._determined_at = float("-inf")
        self._pending_watchers: set[str] = set()
        """Watchers to which the newest requests have not been reported yet."""
        self.own_report: Callable[[], bytes] = bytes
        """Returns this node's current load report as a datagram."""
        self.own_urgencies: Callable[[EngineLife], list[int]] = lambda life: []
        """Returns the urgencies of this node's items at an engine."""
        self.on_preempt: Callable[[int, int], None] = lambda engine, urgency: None
        """Called with an engine's hash and the urgency of an item of this node to preempt there."""

    def watched(self) -> list[EngineLife]:
        """Return the engines watched by this node."""
        return self._watched

    def record_placed(self, life: EngineLife) -> None:
        """Schedule a report to an engine's watcher, as this node has placed a request there."""
        watcher = self._watcher_of(life)
        if watcher is None:
            return
        if not self._pending_watchers:
            gevent.spawn_later(REPORT_DELAY, self._report_to_watchers)
        self._pending_watchers.add(watcher)

    def _watcher_of(self, life: EngineLife) -> str | None:
        now = self._clock.monotonic()
        if now - self._determined_at >= WATCHER_REFRESH_INTERVAL:
            self._determined_at = now
            self._find_watchers()
        return self._watchers.of.get(life)

    def _find_watchers(self) -> None:
        zone = self._identity.zone
        nodes = [one.node_id for one in self._peers.neighbours(zone) if not one.report.leaving]
        nodes.append(self._identity.node_id)
        near = [one.life for one in self._fleet.listed_engines() if one.zone == zone]
        if self._watcher_inputs == (nodes, near):
            return
        self._watcher_inputs = (nodes, near)
        self._watchers.update(near, nodes)
        own = self._identity.node_id
        self._watched = [life for life in near if self._watchers.of[life] == own]

    def _report_to_watchers(self) -> None:
        watchers, self._pending_watchers = self._pending_watchers, set()
        if self._identity.node_id in watchers:
            watchers.discard(self._identity.node_id)
            self.preempt_excess()
        if not watchers:
            return
        data = self.own_report()
        for watcher in watchers:
            peer = self._peers.get(watcher)
            if peer is not None:
                self._transport.send(peer.report.peer_address, data)

    def preempt_excess(self) -> None:
        """Preempt items at the engines watched by this node that run too many requests."""
        for life in self._watched:
            self._preempt_at(life)

    def _preempt_at(self, life: EngineLife) -> None:
        engine, own = engine_hash(life), self._identity.node_id
        excess = self._fleet.excess(life)
        running = self._items.at(engine) if excess > 0 else []
        if excess > 0:
            running += [(urgency, own) for urgency in self.own_urgencies(life)]
        self._request_preemption(life, running, excess)

    def _request_preemption(
        self, life: EngineLife, running: list[tuple[int, str]], excess: int
    ) -> None:
        """Request preemption of the least urgent items at an engine, once for each item."""
        engine, now = engine_hash(life), self._clock.monotonic()
        for urgency, node_id in self._victims.select(engine, running, excess, now):
            self._events.emit(Event.ITEM_TOLD_TO_GIVE_WAY, engine=life, peer=node_id, excess=excess)
            self._send_preemption(engine, urgency, node_id)

    def _send_preemption(self, engine: int, urgency: int, node_id: str) -> None:
        if node_id == self._identity.node_id:
            self.on_preempt(engine, urgency)
            return
        peer = self._peers.get(node_id)
        if peer is not None:
            msg = gateway.GiveWay(engine=engine, urgency=urgency)
            self._transport.send(peer.report.peer_address, encode_frame(msg, 0))

    def preempt_remote(self, life: EngineLife) -> None:
        """Preempt items at an engine of another zone that is overloaded in this node's view.

        Engines of this zone are left to their watchers.
        """
        if life in self._watchers.of:
            return
        engine = engine_hash(life)
        known = [one for one in self._items.at(engine) if self._peers.get(one[1]) is not None]
        self._request_preemption(life, known, self._fleet.excess(life))
