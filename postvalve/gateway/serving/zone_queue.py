"""This node's side of the queues that its zone shares, one for each service.

It reports the requests queued here to the node that coordinates a queue, and coordinates queues
itself. See `core/scheduling/zone_queue` for the rules.
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

FIRST_GRANT_MASK = 0x7FFFFFFF
"""Mask of the first number of a coordinator's grants: the rest of the 32-bit range is left for
those that follow."""
ZONE_COUNT_MAX_AGE = 0.1
"""Seconds for which the number of zones is cached; every evaluation of the queue needs it."""


class ZoneQueue(Protocol):
    """What the admission queue asks of the shared queue of its zone."""

    def is_coordinated(self, service: str) -> bool:
        """Whether a coordinator grants the slots of a service to the requests queued here."""
        ...

    def requests_ahead(self, service: str, number: int) -> int | None:
        """Return how many requests of all nodes go before one; None if that is unknown."""
        ...

    def is_granted(self, service: str, number: int) -> bool:
        """Whether a request queued here was granted a slot."""
        ...

    def update_waiting(self, waiting: dict[str, list[tuple[int, QueuePosition]]]) -> None:
        """Update the requests queued here now: numbers and places by service, in order."""
        ...


class NoZoneQueue:
    """Used where a node takes part in no shared queue."""

    def is_coordinated(self, service: str) -> bool:
        """Return False: there is no coordinator."""
        return False

    def requests_ahead(self, service: str, number: int) -> int | None:
        """Return None: no coordinator reports positions."""
        return None

    def is_granted(self, service: str, number: int) -> bool:
        """Return False: no coordinator grants slots."""
        return False

    def update_waiting(self, waiting: dict[str, list[tuple[int, QueuePosition]]]) -> None:
        """Ignore the update."""


@dataclass(slots=True)
class _LocalQueue:
    """The requests queued here for one service.

    It holds what was last reported to the coordinator, and the coordinator's answer.
    """

    name: str
    waiting: tuple[int, ...] = ()
    """Numbers of the requests last reported, in order."""
    sent_at: float = float("-inf")
    unanswered_since: float | None = None
    silent: bool = False
    """Whether the coordinator did not answer in time."""
    coordinator: str | None = None
    """Node id of the coordinator that the queue was reported to."""
    last_grant: int = 0
    """Number of the last grant received."""
    last_grant_reported: int = 0
    """The value of `last_grant` when the queue was last reported."""
    granted: set[int] = field(default_factory=set)
    ahead: dict[int, int] = field(default_factory=dict)


class SharedZoneQueue:
    """This node's side of the shared queues of its zone, one for each service."""

    def __init__(self, services: PeerServices) -> None:
        self._identity = services.identity
        self._clock = services.clock
        self._events = services.events
        self._transport = services.transport
        self._fleet = services.fleet
        self._peers = services.peers
        self._started_at = services.clock.monotonic()
        self._new_nodes = NewNodes(self._started_at)
        self._report_count = 0
        self._zones_counted_at = float("-inf")
        self._zone_count = 1
        """Number of zones that have nodes; all of them share the engines."""
        self._queues: dict[int, _LocalQueue] = {}
        self._coordinators: dict[int, QueueCoordinator] = {}
        self._service_names: dict[int, str] = {}
        """Service names by hash."""
        self.leaving = False
        self.own_report: Callable[[], bytes] = bytes
        """Returns this node's current load report as a datagram."""
        self.on_granted: Callable[[], None] = lambda: None
        """Called when requests queued here were granted slots."""

    # Requests queued at this node

    @property
    def _supported(self) -> bool:
        """Whether all live peers support shared queues; older builds do not know these messages."""
        return Feature.LINE in self._peers.features()

    def _count_zones(self, now: float) -> None:
        if now - self._zones_counted_at >= ZONE_COUNT_MAX_AGE:
            self._zones_counted_at = now
            zones = {one.report.zone for one in self._peers.all()}
            self._zone_count = len(zones | {self._identity.zone})

    def is_coordinated(self, service: str) -> bool:
        """Whether a coordinator grants the slots of a service to the requests queued here."""
        queue = self._queues.get(service_hash(service))
        return queue is not None and bool(queue.waiting) and not queue.silent and self._supported

    def requests_ahead(self, service: str, number: int) -> int | None:
        """Return how many requests of all nodes go before one; None if that is unknown."""
        queue = self._queues.get(service_hash(service))
        if queue is None or queue.silent or number not in queue.ahead:
            return None
        # The coordinator knows only its own zone; the other zones take slots of all engines at the
        # same rate.
        return queue.ahead[number] * self._zone_count

    def is_granted(self, service: str, number: int) -> bool:
        """Whether a request queued here was granted a slot."""
        queue = self._queues.get(service_hash(service))
        return queue is not None and number in queue.granted

    def update_waiting(self, waiting: dict[str, list[tuple[int, QueuePosition]]]) -> None:
        """Report the requests queued here to the coordinators, where a report is due."""
        if not self._supported:
            self._queues.clear()
            return
        now = self._clock.monotonic()
        self._count_zones(now)
        for service, entries in waiting.items():
            key = service_hash(service)
            self._service_names[key] = service
            self._report_if_due(
                key, self._queues.setdefault(key, _LocalQueue(service)), entries, now
            )
        for key, queue in list(self._queues.items()):
            if queue.name in waiting or not queue.waiting:
                continue
            if queue.last_grant != queue.last_grant_reported:
                # This node's load report includes the granted requests by now.
                self._send_report(key, queue, [], now)
            else:
                self._clear(queue)

    def _report_if_due(
        self, key: int, queue: _LocalQueue, entries: list[tuple[int, QueuePosition]], now: float
    ) -> None:
        if now - queue.sent_at >= state_interval(len(self._coordinator_candidates())):
            if queue.unanswered_since is None:
                queue.unanswered_since = now
            self._send_report(key, queue, entries, now)
        self._check_timeout(queue, now)

    def _send_report(
        self, key: int, queue: _LocalQueue, entries: list[tuple[int, QueuePosition]], now: float
    ) -> None:
        self._report_count += 1
        identity = self._identity
        coordinator = coordinator_of(identity.zone, key, self._coordinator_candidates())
        if coordinator != queue.coordinator:
            # Each coordinator numbers its own grants: none of the new one's was received yet.
            queue.coordinator, queue.last_grant, queue.last_grant_reported = coordinator, 0, 0
        state = QueueState(
            key,
            identity.node_id,
            identity.incarnation,
            self._report_count,
            queue.last_grant,
            first_waiting(entries),
        )
        queue.waiting, queue.sent_at = tuple(one.number for one in state.waiting), now
        queue.granted &= {number for number, _ in entries}
        if not entries:
            self._clear(queue)
        if coordinator == identity.node_id:
            self._process_report(state)
            return
        peer = self._peers.get(coordinator) if coordinator is not None else None
        if peer is None:
            return
        if queue.last_grant != queue.last_grant_reported:
            # The requests started by the last grants must be counted before the coordinator grants
            # more.
            self._transport.send(peer.report.peer_address, self.own_report())
            queue.last_grant_reported = queue.last_grant
        msg = gateway.LineState(packed=state.pack())
        self._transport.send(peer.report.peer_address, encode_frame(msg, 0))

    @staticmethod
    def _clear(queue: _LocalQueue) -> None:
        """Clear a queue in which no request waits any more; no answer is expected."""
        queue.waiting = ()
        queue.ahead = {}
        if not queue.silent:
            queue.unanswered_since = None

    def _check_timeout(self, queue: _LocalQueue, now: float) -> None:
        since = queue.unanswered_since
        if since is None or now - since < COORDINATOR_TIMEOUT or queue.silent:
            return
        queue.silent = True
        self._events.emit(Event.LINE_SILENT, service=queue.name, seconds=round(now - since, 3))

    def _coordinator_candidates(self) -> list[str]:
        """Return the nodes of the zone that may coordinate a queue."""
        local = self._peers.neighbours(self._identity.zone)
        now = self._clock.monotonic()
        nodes = [
            one.node_id
            for one in local
            if not one.report.leaving and not self._new_nodes.includes(one.node_id, now)
        ]
        return nodes if self.leaving else [*nodes, self._identity.node_id]

    def receive_grant(self, msg: gateway.LineGrant, address: str) -> None:
        """Process a coordinator's answer."""
        try:
            self._process_grant(unpack_grant(msg.packed))
        except QueueMessageError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))

    def _process_grant(self, grant: Grant) -> None:
        queue = self._queues.get(grant.service)
        if queue is None:
            return
        if queue.silent:
            self._events.emit(Event.LINE_ANSWERS, service=queue.name)
        queue.unanswered_since, queue.silent = None, False
        queue.ahead = dict(grant.ahead)
        queue.last_grant = max(queue.last_grant, grant.number)
        new = set(grant.granted) - queue.granted
        if new:
            queue.granted |= new
            self.on_granted()
        if grant.granted and not queue.waiting:
            # No request is queued here any more: return the granted slots.
            self._send_report(grant.service, queue, [], self._clock.monotonic())

    # Queues that this node coordinates

    @property
    def _may_coordinate(self) -> bool:
        return self._supported and not self.leaving

    def receive_state(self, msg: gateway.LineState, address: str) -> None:
        """Process a peer's report of the requests queued there."""
        try:
            self._process_report(unpack_state(msg.packed))
        except QueueMessageError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))

    def _process_report(self, state: QueueState) -> None:
        now = self._clock.monotonic()
        if not self._may_coordinate or now - self._started_at < LISTEN_TIME:
            return
        self._count_zones(now)
        coordinator = self._coordinators.get(state.service)
        if coordinator is None:
            # Numbers continue above those of a previous run of this node: no coordinator makes more
            # than a thousand grants per second.
            first = milliseconds(self._clock.wall()) & FIRST_GRANT_MASK
            coordinator = self._coordinators[state.service] = QueueCoordinator(state.service, first)
        if coordinator.receive(state, now):
            self._grant(state.service, coordinator, {state.node_id} if state.waiting else set())

    def receive_report(self, report: LoadReport) -> None:
        """Process a peer's load report, and grant the slots that have come free."""
        self._new_nodes.record(report.node_id, report.incarnation, self._clock.monotonic())
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant the slots that have come free."""
        if not self._may_coordinate:
            # Another node coordinates the queues, or none does: grants based on old reports would
            # be made in addition to its own.
            self._coordinators.clear()
        for service, coordinator in list(self._coordinators.items()):
            if coordinator.has_waiting:
                self._grant(service, coordinator, set())

    def _grant(self, service: int, coordinator: QueueCoordinator, reporting: set[str]) -> None:
        """Grant free slots, and answer the nodes that reported and those that got a grant."""
        now = self._clock.monotonic()
        coordinator.expire(now, len(self._coordinator_candidates()))
        name = self._service_names.get(service) or self._service_named(service)
        if name is None:
            return
        nodes = reporting | (
            coordinator.grant(self._free_slots(name), now) if coordinator.has_waiting else set()
        )
        for node_id, grant in coordinator.answers(nodes).items():
            self._send(node_id, grant)
            if grant.granted:
                self._events.emit(
                    Event.LINE_GRANTED,
                    service=name,
                    peer=node_id,
                    granted=len(grant.granted),
                    outstanding=coordinator.outstanding,
                )

    def _service_named(self, service: int) -> str | None:
        for entry in self._fleet.listed_engines():
            self._service_names[service_hash(entry.service)] = entry.service
        return self._service_names.get(service)

    def _free_slots(self, service: str) -> int:
        """Return how many requests the engines can still take from this zone's queue.

        That is the free places at the zone's own engines, and this zone's part of the free slots
        elsewhere. Engines that failed a moment ago run nothing and look free; they count only if
        all of them failed.
        """
        entries = self._fleet.engines(service)
        healthy = [one for one in entries if self._fleet.state_of(one) != "suspect"] or entries
        local = remote = 0
        for entry in healthy:
            left = self._fleet.spare_capacity(entry)
            if entry.zone == self._identity.zone:
                local += max(0, left + MAX_ENGINE_QUEUE)
            else:
                remote += max(0, left)
        # A single free slot elsewhere is granted even where the zone's part is less than one: if
        # the other zones have no request waiting, it would stay idle.
        return local + remote // self._zone_count or min(1, remote)

    def _send(self, node_id: str, grant: Grant) -> None:
        if node_id == self._identity.node_id:
            self._process_grant(grant)
            return
        peer = self._peers.get(node_id)
        if peer is not None:
            data = encode_frame(gateway.LineGrant(packed=grant.pack()), 0)
            self._transport.send(peer.report.peer_address, data)

    def fields(self) -> dict[str, Any]:
        """Return the queues as this node knows them, for the status document."""
        kept = [
            {
                "service": self._service_names.get(service, ""),
                "waiting": len(coordinator.order()),
                "granted": coordinator.outstanding,
            }
            for service, coordinator in self._coordinators.items()
            if coordinator.has_waiting
        ]
        own = [
            {"service": queue.name, "told": len(queue.waiting), "keeper_silent": queue.silent}
            for queue in self._queues.values()
        ]
        return {"kept": kept, "waiting_here": own}
