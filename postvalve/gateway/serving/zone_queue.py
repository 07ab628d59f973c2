"""This node's part in the line of its zone: it tells who waits here, and keeps the lines it should.

See `core/scheduling/line` for the rules.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from postvalve.clock import milliseconds
from postvalve.core.membership.extensions import Feature
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.scheduling.load_shedding import MAX_ENGINE_QUEUE
from postvalve.core.scheduling.queue_order import QueuePosition, service_hash
from postvalve.core.scheduling.zone_queue import (
    COORDINATOR_TIMEOUT,
    LISTEN_TIME,
    Grant,
    NewNodes,
    QueueCoordinator,
    QueueMessageError,
    QueueState,
    coordinator_of,
    first_waiting,
    state_interval,
    unpack_grant,
    unpack_state,
)
from postvalve.events import Event
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.messages.framing import encode_frame
from postvalve.messages.generated import gateway

FIRST_GRANTS = 0x7FFFFFFF
"""Numbers that a keeper's grants may begin with: the rest of 32 bits is left for those after."""
ZONE_COUNT_MAX_AGE = 0.1
"""Seconds for which it is remembered how many zones there are: asked for at each look."""


class ZoneQueue(Protocol):
    """What the waiting room asks of it."""

    def is_coordinated(self, service: str) -> bool:
        """Whether a keeper grants the slots of a service to those that wait here."""
        ...

    def requests_ahead(self, service: str, number: int) -> int | None:
        """Requests of all nodes before one that waits here; None where nobody told."""
        ...

    def is_granted(self, service: str, number: int) -> bool:
        """Whether one that waits here may start."""
        ...

    def update_waiting(self, waiting: dict[str, list[tuple[int, QueuePosition]]]) -> None:
        """Those that wait here now, by service, in order, with their numbers."""
        ...


class NoZoneQueue:
    """Each node by itself."""

    def is_coordinated(self, service: str) -> bool:
        """Never."""
        return False

    def requests_ahead(self, service: str, number: int) -> int | None:
        """Nobody tells."""
        return None

    def is_granted(self, service: str, number: int) -> bool:
        """Nobody grants."""
        return False

    def update_waiting(self, waiting: dict[str, list[tuple[int, QueuePosition]]]) -> None:
        """Nobody hears it."""


@dataclass(slots=True)
class _LocalQueue:
    """What this node has told of one service, and what it heard."""

    name: str
    waiting: tuple[int, ...] = ()
    """Numbers in order, as last told."""
    sent_at: float = float("-inf")
    unanswered_since: float | None = None
    silent: bool = False
    """Whether the keeper did not answer in time."""
    coordinator: str | None = None
    """Whom it was told."""
    last_grant: int = 0
    """Number of the last grant that was taken in."""
    last_grant_reported: int = 0
    """The same, as last told."""
    granted: set[int] = field(default_factory=set)
    ahead: dict[int, int] = field(default_factory=dict)


class SharedZoneQueue:
    """Lines of this node's zone."""

    def __init__(self, services: PeerServices) -> None:
        self._identity = services.identity
        self._clock = services.clock
        self._events = services.events
        self._transport = services.transport
        self._fleet = services.fleet
        self._peers = services.peers
        self._started_at = services.clock.monotonic()
        self._new_nodes = NewNodes(self._started_at)
        self._numbers = 0
        self._zones_at = float("-inf")
        self._zones = 1
        """Zones with nodes, that share the engines."""
        self._queues: dict[int, _LocalQueue] = {}
        self._coordinators: dict[int, QueueCoordinator] = {}
        self._names: dict[int, str] = {}
        """Services by hash."""
        self.leaving = False
        self.own_report: Callable[[], bytes] = bytes
        """Gives this node's present report, as a datagram."""
        self.on_granted: Callable[[], None] = lambda: None
        """Called when requests that wait here may start."""

    # Those that wait here

    @property
    def _usable(self) -> bool:
        """Whether all nodes that are heard can do this: others don't know its messages."""
        return Feature.LINE in self._peers.features()

    def _count_zones(self, now: float) -> None:
        if now - self._zones_at >= ZONE_COUNT_MAX_AGE:
            self._zones_at = now
            zones = {one.report.zone for one in self._peers.all()}
            self._zones = len(zones | {self._identity.zone})

    def is_coordinated(self, service: str) -> bool:
        """See `ZoneQueue`."""
        told = self._queues.get(service_hash(service))
        return told is not None and bool(told.waiting) and not told.silent and self._usable

    def requests_ahead(self, service: str, number: int) -> int | None:
        """See `ZoneQueue`."""
        told = self._queues.get(service_hash(service))
        if told is None or told.silent or number not in told.ahead:
            return None
        # The keeper knows its own zone; the others take slots of all engines at the same pace.
        return told.ahead[number] * self._zones

    def is_granted(self, service: str, number: int) -> bool:
        """See `ZoneQueue`."""
        told = self._queues.get(service_hash(service))
        return told is not None and number in told.granted

    def update_waiting(self, waiting: dict[str, list[tuple[int, QueuePosition]]]) -> None:
        """See `ZoneQueue`."""
        if not self._usable:
            self._queues.clear()
            return
        now = self._clock.monotonic()
        self._count_zones(now)
        for service, entries in waiting.items():
            key = service_hash(service)
            self._names[key] = service
            self._tell(key, self._queues.setdefault(key, _LocalQueue(service)), entries, now)
        for key, told in list(self._queues.items()):
            if told.name in waiting or not told.waiting:
                continue
            if told.last_grant != told.last_grant_reported:
                # What was granted is in this node's own counts now.
                self._send_state(key, told, [], now)
            else:
                self._rest(told)

    def _tell(
        self, key: int, told: _LocalQueue, entries: list[tuple[int, QueuePosition]], now: float
    ) -> None:
        if now - told.sent_at >= state_interval(len(self._nodes())):
            if told.unanswered_since is None:
                told.unanswered_since = now
            self._send_state(key, told, entries, now)
        self._note_silence(told, now)

    def _send_state(
        self, key: int, told: _LocalQueue, entries: list[tuple[int, QueuePosition]], now: float
    ) -> None:
        self._numbers += 1
        identity = self._identity
        keeper = coordinator_of(identity.zone, key, self._nodes())
        if keeper != told.coordinator:
            # Each keeper numbers its grants itself: none of this one's was taken in yet.
            told.coordinator, told.last_grant, told.last_grant_reported = keeper, 0, 0
        state = QueueState(
            key,
            identity.node_id,
            identity.incarnation,
            self._numbers,
            told.last_grant,
            first_waiting(entries),
        )
        told.waiting, told.sent_at = tuple(one.number for one in state.waiting), now
        told.granted &= {number for number, _ in entries}
        if not entries:
            self._rest(told)
        if keeper == identity.node_id:
            self._take_state(state)
            return
        peer = self._peers.get(keeper) if keeper is not None else None
        if peer is None:
            return
        if told.last_grant != told.last_grant_reported:
            # What was started by the last grants must be counted before the keeper grants again.
            self._transport.send(peer.report.peer_address, self.own_report())
            told.last_grant_reported = told.last_grant
        msg = gateway.LineState(packed=state.pack())
        self._transport.send(peer.report.peer_address, encode_frame(msg, 0))

    @staticmethod
    def _rest(told: _LocalQueue) -> None:
        """Nobody waits here any more: no answer is due."""
        told.waiting = ()
        told.ahead = {}
        if not told.silent:
            told.unanswered_since = None

    def _note_silence(self, told: _LocalQueue, now: float) -> None:
        since = told.unanswered_since
        if since is None or now - since < COORDINATOR_TIMEOUT or told.silent:
            return
        told.silent = True
        self._events.emit(Event.LINE_SILENT, service=told.name, seconds=round(now - since, 3))

    def _nodes(self) -> list[str]:
        """Nodes of the zone that may keep a line."""
        near = self._peers.neighbours(self._identity.zone)
        now = self._clock.monotonic()
        nodes = [
            one.node_id
            for one in near
            if not one.report.leaving and not self._new_nodes.includes(one.node_id, now)
        ]
        return nodes if self.leaving else [*nodes, self._identity.node_id]

    def receive_grant(self, msg: gateway.LineGrant, address: str) -> None:
        """Take in a keeper's answer."""
        try:
            self._take_grant(unpack_grant(msg.packed))
        except QueueMessageError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))

    def _take_grant(self, grant: Grant) -> None:
        told = self._queues.get(grant.service)
        if told is None:
            return
        if told.silent:
            self._events.emit(Event.LINE_ANSWERS, service=told.name)
        told.unanswered_since, told.silent = None, False
        told.ahead = dict(grant.ahead)
        told.last_grant = max(told.last_grant, grant.number)
        new = set(grant.granted) - told.granted
        if new:
            told.granted |= new
            self.on_granted()
        if grant.granted and not told.waiting:
            # Nobody waits here any more: hand it back.
            self._send_state(grant.service, told, [], self._clock.monotonic())

    # The lines that this node keeps

    @property
    def _may_keep(self) -> bool:
        return self._usable and not self.leaving

    def receive_state(self, msg: gateway.LineState, address: str) -> None:
        """Take in who waits at a peer."""
        try:
            self._take_state(unpack_state(msg.packed))
        except QueueMessageError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))

    def _take_state(self, state: QueueState) -> None:
        now = self._clock.monotonic()
        if not self._may_keep or now - self._started_at < LISTEN_TIME:
            return
        self._count_zones(now)
        keeper = self._coordinators.get(state.service)
        if keeper is None:
            # Numbers go on beyond those of a former life: no keeper grants so many a second.
            first = milliseconds(self._clock.wall()) & FIRST_GRANTS
            keeper = self._coordinators[state.service] = QueueCoordinator(state.service, first)
        if keeper.receive(state, now):
            self._grant(state.service, keeper, {state.node_id} if state.waiting else set())

    def receive_report(self, report: LoadReport) -> None:
        """A peer's counts came in: grant what has come free."""
        self._new_nodes.record(report.node_id, report.incarnation, self._clock.monotonic())
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant what has come free."""
        if not self._may_keep:
            # Another one keeps the lines, or nobody: grants by old states would go beside theirs.
            self._coordinators.clear()
        for service, keeper in list(self._coordinators.items()):
            if keeper.has_waiting:
                self._grant(service, keeper, set())

    def _grant(self, service: int, keeper: QueueCoordinator, asking: set[str]) -> None:
        """Grant free places, and answer those that asked and those that got some."""
        now = self._clock.monotonic()
        keeper.expire(now, len(self._nodes()))
        name = self._names.get(service) or self._service_named(service)
        if name is None:
            return
        nodes = asking | (
            keeper.grant(self._free_slots(name), now) if keeper.has_waiting else set()
        )
        for node_id, grant in keeper.answers(nodes).items():
            self._send(node_id, grant)
            if grant.granted:
                self._events.emit(
                    Event.LINE_GRANTED,
                    service=name,
                    peer=node_id,
                    granted=len(grant.granted),
                    outstanding=keeper.outstanding,
                )

    def _service_named(self, service: int) -> str | None:
        for entry in self._fleet.listed_engines():
            self._names[service_hash(entry.service)] = entry.service
        return self._names.get(service)

    def _free_slots(self, service: str) -> int:
        """Places at the zone's engines, and this zone's part of the free slots at the others.

        Engines that failed a moment ago run nothing and look free: they count where all did.
        """
        entries = self._fleet.engines(service)
        sound = [one for one in entries if self._fleet.state_of(one) != "suspect"] or entries
        near = far = 0
        for entry in sound:
            left = self._fleet.spare_capacity(entry)
            if entry.zone == self._identity.zone:
                near += max(0, left + MAX_ENGINE_QUEUE)
            else:
                far += max(0, left)
        # One slot is one request's also where no zone's part is a whole one: where nobody waits in
        # the others it would stand idle.
        return near + far // self._zones or min(1, far)

    def _send(self, node_id: str, grant: Grant) -> None:
        if node_id == self._identity.node_id:
            self._take_grant(grant)
            return
        peer = self._peers.get(node_id)
        if peer is not None:
            data = encode_frame(gateway.LineGrant(packed=grant.pack()), 0)
            self._transport.send(peer.report.peer_address, data)

    def fields(self) -> dict[str, Any]:
        """Lines as this node knows them, for operators."""
        kept = [
            {
                "service": self._names.get(service, ""),
                "waiting": len(keeper.order()),
                "granted": keeper.outstanding,
            }
            for service, keeper in self._coordinators.items()
            if keeper.has_waiting
        ]
        own = [
            {"service": told.name, "told": len(told.waiting), "keeper_silent": told.silent}
            for told in self._queues.values()
        ]
        return {"kept": kept, "waiting_here": own}
