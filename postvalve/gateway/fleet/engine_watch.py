"""Batch items give way at once: one node of the zone watches over each engine.

Online requests go to engines whose free slots are filled with batch items but for a few. Nodes
hear of each other's requests some tenths of a second late, and by then online requests wait. So
each node reports out of turn to the one that watches over the engine, and that one tells the
least urgent items to go. Nobody asks it before a request is placed: when it is lost, or two watch
for a moment, items give way later, or one too many does.
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

TELL_DELAY = 0.005
"""Seconds in which requests gather before they are told: items of a job start together."""
WATCHER_REFRESH_INTERVAL = 0.5
"""Seconds after which it is worked out anew who watches over which engine."""


class EngineWatch:
    """This node's part in it."""

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
        """Nodes that watch over the engines of this zone."""
        self._watched: list[EngineLife] = []
        """Engines that this node watches over."""
        self._watchers_of: tuple[list[str], list[EngineLife]] = ([], [])
        """Nodes and engines for which that was worked out."""
        self._looked_at = float("-inf")
        self._untold: set[str] = set()
        """Watchers that have not been told yet of the newest requests."""
        self.own_report: Callable[[], bytes] = bytes
        """Gives this node's present report, as a datagram."""
        self.own_urgencies: Callable[[EngineLife], list[int]] = lambda life: []
        """Gives the urgencies of this node's items at an engine."""
        self.on_preempt: Callable[[int, int], None] = lambda engine, urgency: None
        """Takes an engine's hash, and the urgency of an item that gives way there."""

    def watched(self) -> list[EngineLife]:
        """Engines that this node watches over."""
        return self._watched

    def record_placed(self, life: EngineLife) -> None:
        """This node has sent something to an engine."""
        watcher = self._watcher_of(life)
        if watcher is None:
            return
        if not self._untold:
            gevent.spawn_later(TELL_DELAY, self._tell)
        self._untold.add(watcher)

    def _watcher_of(self, life: EngineLife) -> str | None:
        now = self._clock.monotonic()
        if now - self._looked_at >= WATCHER_REFRESH_INTERVAL:
            self._looked_at = now
            self._find_watchers()
        return self._watchers.of.get(life)

    def _find_watchers(self) -> None:
        zone = self._identity.zone
        nodes = [one.node_id for one in self._peers.neighbours(zone) if not one.report.leaving]
        nodes.append(self._identity.node_id)
        near = [one.life for one in self._fleet.listed_engines() if one.zone == zone]
        if self._watchers_of == (nodes, near):
            return
        self._watchers_of = (nodes, near)
        self._watchers.update(near, nodes)
        own = self._identity.node_id
        self._watched = [life for life in near if self._watchers.of[life] == own]

    def _tell(self) -> None:
        watchers, self._untold = self._untold, set()
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
        """Tell items to go where an engine that this node watches over runs too many."""
        for life in self._watched:
            self._relieve(life)

    def _relieve(self, life: EngineLife) -> None:
        engine, own = engine_hash(life), self._identity.node_id
        excess = self._fleet.excess(life)
        running = self._items.at(engine) if excess > 0 else []
        if excess > 0:
            running += [(urgency, own) for urgency in self.own_urgencies(life)]
        self._tell_victims(life, running, excess)

    def _tell_victims(self, life: EngineLife, running: list[tuple[int, str]], excess: int) -> None:
        """Tell the least urgent of the items that run at an engine to go, each once."""
        engine, now = engine_hash(life), self._clock.monotonic()
        for urgency, node_id in self._victims.select(engine, running, excess, now):
            self._events.emit(Event.ITEM_TOLD_TO_GIVE_WAY, engine=life, peer=node_id, excess=excess)
            self._send(engine, urgency, node_id)

    def _send(self, engine: int, urgency: int, node_id: str) -> None:
        if node_id == self._identity.node_id:
            self.on_preempt(engine, urgency)
            return
        peer = self._peers.get(node_id)
        if peer is not None:
            msg = gateway.GiveWay(engine=engine, urgency=urgency)
            self._transport.send(peer.report.peer_address, encode_frame(msg, 0))

    def preempt_remote(self, life: EngineLife) -> None:
        """An engine of another zone is crowded, as far as this node knows."""
        if life in self._watchers.of:
            return
        engine = engine_hash(life)
        known = [one for one in self._items.at(engine) if self._peers.get(one[1]) is not None]
        self._tell_victims(life, known, self._fleet.excess(life))
