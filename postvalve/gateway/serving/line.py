"""This node's side of the queues that its zone shares, one for each service.

It reports the requests queued here to the node that coordinates a queue, and coordinates queues
itself. See `core/scheduling/line` for the rules.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from postvalve.clock import milliseconds
from postvalve.core.membership.extensions import Feature
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.scheduling.line import (
    KEEPER_PATIENCE,
    LISTEN_TIME,
    Grant,
    LineKeeper,
    LineMessageError,
    NewNodes,
    State,
    keeper_of,
    state_interval,
    told_first,
    unpack_grant,
    unpack_state,
)
from postvalve.core.scheduling.turning_away import QUEUED_PLACES
from postvalve.core.scheduling.waiting_order import Place, service_hash
from postvalve.events import Event
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.messages.framing import encode_frame
from postvalve.messages.generated import gateway

FIRST_GRANTS = 0x7FFFFFFF
"""Mask of the first number of a coordinator's grants: the rest of the 32-bit range is left for
those that follow."""
ZONES_AGE = 0.1
"""Seconds for which the number of zones is cached; every evaluation of the queue needs it."""


class Line(Protocol):
    """What the admission queue asks of the shared queue of its zone."""

    def stands(self, service: str) -> bool:
        """Whether a coordinator grants the slots of a service to the requests queued here."""
        ...

    def ahead(self, service: str, number: int) -> int | None:
        """Return how many requests of all nodes go before one queued here; None if that is
        unknown."""
        ...

    def granted(self, service: str, number: int) -> bool:
        """Whether a request queued here was granted a slot."""
        ...

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """Update the requests queued here now: numbers and places by service, in order."""
        ...


class NoLine:
    """Used where a node takes part in no shared queue."""

    def stands(self, service: str) -> bool:
        """Return False: there is no coordinator."""
        return False

    def ahead(self, service: str, number: int) -> int | None:
        """Return None: no coordinator reports positions."""
        return None

    def granted(self, service: str, number: int) -> bool:
        """Return False: no coordinator grants slots."""
        return False

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """Ignore the update."""


@dataclass(slots=True)
class _Told:
    """The requests queued here for one service, as last reported to the coordinator, and its
    answers."""

    name: str
    waiting: tuple[int, ...] = ()
    """Numbers of the requests last reported, in order."""
    sent_at: float = float("-inf")
    unanswered_since: float | None = None
    silent: bool = False
    """Whether the coordinator did not answer in time."""
    keeper: str | None = None
    """Node id of the coordinator that the queue was reported to."""
    taken: int = 0
    """Number of the last grant received."""
    taken_told: int = 0
    """The value of `taken` when the queue was last reported."""
    granted: set[int] = field(default_factory=set)
    ahead: dict[int, int] = field(default_factory=dict)


class ZoneLine:
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
        self._numbers = 0
        self._zones_at = float("-inf")
        self._zones = 1
        """Number of zones that have nodes; all of them share the engines."""
        self._told: dict[int, _Told] = {}
        self._keepers: dict[int, LineKeeper] = {}
        self._names: dict[int, str] = {}
        """Service names by hash."""
        self.leaving = False
        self.own_report: Callable[[], bytes] = bytes
        """Returns this node's current load report as a datagram."""
        self.on_granted: Callable[[], None] = lambda: None
        """Called when requests queued here were granted slots."""

    # Requests queued at this node

    @property
    def _usable(self) -> bool:
        """Whether all live peers support shared queues; older builds do not know these messages."""
        return Feature.LINE in self._peers.features()

    def _count_zones(self, now: float) -> None:
        if now - self._zones_at >= ZONES_AGE:
            self._zones_at = now
            zones = {one.report.zone for one in self._peers.all()}
            self._zones = len(zones | {self._identity.zone})

    def stands(self, service: str) -> bool:
        """Whether a coordinator grants the slots of a service to the requests queued here."""
        told = self._told.get(service_hash(service))
        return told is not None and bool(told.waiting) and not told.silent and self._usable

    def ahead(self, service: str, number: int) -> int | None:
        """Return how many requests of all nodes go before one queued here; None if that is
        unknown."""
        told = self._told.get(service_hash(service))
        if told is None or told.silent or number not in told.ahead:
            return None
        # The coordinator knows only its own zone; the other zones take slots of all engines at the
        # same rate.
        return told.ahead[number] * self._zones

    def granted(self, service: str, number: int) -> bool:
        """Whether a request queued here was granted a slot."""
        told = self._told.get(service_hash(service))
        return told is not None and number in told.granted

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """Report the requests queued here to the coordinators, where a report is due."""
        if not self._usable:
            self._told.clear()
            return
        now = self._clock.monotonic()
        self._count_zones(now)
        for service, entries in waiting.items():
            key = service_hash(service)
            self._names[key] = service
            self._tell(key, self._told.setdefault(key, _Told(service)), entries, now)
        for key, told in list(self._told.items()):
            if told.name in waiting or not told.waiting:
                continue
            if told.taken != told.taken_told:
                # This node's load report includes the granted requests by now.
                self._send_state(key, told, [], now)
            else:
                self._rest(told)

    def _tell(self, key: int, told: _Told, entries: list[tuple[int, Place]], now: float) -> None:
        if now - told.sent_at >= state_interval(len(self._nodes())):
            if told.unanswered_since is None:
                told.unanswered_since = now
            self._send_state(key, told, entries, now)
        self._note_silence(told, now)

    def _send_state(
        self, key: int, told: _Told, entries: list[tuple[int, Place]], now: float
    ) -> None:
        self._numbers += 1
        identity = self._identity
        keeper = keeper_of(identity.zone, key, self._nodes())
        if keeper != told.keeper:
            # Each coordinator numbers its own grants: none of the new one's was received yet.
            told.keeper, told.taken, told.taken_told = keeper, 0, 0
        state = State(
            key,
            identity.node_id,
            identity.incarnation,
            self._numbers,
            told.taken,
            told_first(entries),
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
        if told.taken != told.taken_told:
            # The requests started by the last grants must be counted before the coordinator grants
            # more.
            self._transport.send(peer.report.peer_address, self.own_report())
            told.taken_told = told.taken
        msg = gateway.LineState(packed=state.pack())
        self._transport.send(peer.report.peer_address, encode_frame(msg, 0))

    @staticmethod
    def _rest(told: _Told) -> None:
        """Clear the queue of a service for which no request waits any more; no answer is
        expected."""
        told.waiting = ()
        told.ahead = {}
        if not told.silent:
            told.unanswered_since = None

    def _note_silence(self, told: _Told, now: float) -> None:
        since = told.unanswered_since
        if since is None or now - since < KEEPER_PATIENCE or told.silent:
            return
        told.silent = True
        self._events.emit(Event.LINE_SILENT, service=told.name, seconds=round(now - since, 3))

    def _nodes(self) -> list[str]:
        """Return the nodes of the zone that may coordinate a queue."""
        near = self._peers.neighbours(self._identity.zone)
        now = self._clock.monotonic()
        nodes = [
            one.node_id
            for one in near
            if not one.report.leaving and not self._new_nodes.has(one.node_id, now)
        ]
        return nodes if self.leaving else [*nodes, self._identity.node_id]

    def hear_grant(self, msg: gateway.LineGrant, address: str) -> None:
        """Process a coordinator's answer."""
        try:
            self._take_grant(unpack_grant(msg.packed))
        except LineMessageError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))

    def _take_grant(self, grant: Grant) -> None:
        told = self._told.get(grant.service)
        if told is None:
            return
        if told.silent:
            self._events.emit(Event.LINE_ANSWERS, service=told.name)
        told.unanswered_since, told.silent = None, False
        told.ahead = dict(grant.ahead)
        told.taken = max(told.taken, grant.number)
        new = set(grant.granted) - told.granted
        if new:
            told.granted |= new
            self.on_granted()
        if grant.granted and not told.waiting:
            # No request is queued here any more: return the granted slots.
            self._send_state(grant.service, told, [], self._clock.monotonic())

    # Queues that this node coordinates

    @property
    def _may_keep(self) -> bool:
        return self._usable and not self.leaving

    def hear_state(self, msg: gateway.LineState, address: str) -> None:
        """Process a peer's report of the requests queued there."""
        try:
            self._take_state(unpack_state(msg.packed))
        except LineMessageError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))

    def _take_state(self, state: State) -> None:
        now = self._clock.monotonic()
        if not self._may_keep or now - self._started_at < LISTEN_TIME:
            return
        self._count_zones(now)
        keeper = self._keepers.get(state.service)
        if keeper is None:
            # Numbers continue above those of a previous run of this node: no coordinator makes more
            # than a thousand grants per second.
            first = milliseconds(self._clock.wall()) & FIRST_GRANTS
            keeper = self._keepers[state.service] = LineKeeper(state.service, first)
        if keeper.hear(state, now):
            self._grant(state.service, keeper, {state.node_id} if state.waiting else set())

    def hear_report(self, report: LoadReport) -> None:
        """Process a peer's load report, and grant the slots that have come free."""
        self._new_nodes.hear(report.node_id, report.incarnation, self._clock.monotonic())
        self.look()

    def look(self) -> None:
        """Grant the slots that have come free."""
        if not self._may_keep:
            # Another node coordinates the queues, or none does: grants based on old reports would
            # be made in addition to its own.
            self._keepers.clear()
        for service, keeper in list(self._keepers.items()):
            if keeper.stands:
                self._grant(service, keeper, set())

    def _grant(self, service: int, keeper: LineKeeper, asking: set[str]) -> None:
        """Grant free slots, and answer the nodes that reported and those that got a grant."""
        now = self._clock.monotonic()
        keeper.expire(now, len(self._nodes()))
        name = self._names.get(service) or self._service_named(service)
        if name is None:
            return
        nodes = asking | (keeper.grant(self._free(name), now) if keeper.stands else set())
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

    def _free(self, service: str) -> int:
        """Return how many requests the engines can still take from this zone's queue.

        That is the free places at the zone's own engines, and this zone's part of the free slots
        elsewhere. Engines that failed a moment ago run nothing and look free; they count only if
        all of them failed.
        """
        entries = self._fleet.engines(service)
        sound = [one for one in entries if self._fleet.state_of(one) != "suspect"] or entries
        near = far = 0
        for entry in sound:
            left = self._fleet.places_left(entry)
            if entry.zone == self._identity.zone:
                near += max(0, left + QUEUED_PLACES)
            else:
                far += max(0, left)
        # A single free slot elsewhere is granted even where the zone's part is less than one: if
        # the other zones have no request waiting, it would stay idle.
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
        """Return the queues as this node knows them, for the status document."""
        kept = [
            {
                "service": self._names.get(service, ""),
                "waiting": len(keeper.order()),
                "granted": keeper.outstanding,
            }
            for service, keeper in self._keepers.items()
            if keeper.stands
        ]
        own = [
            {"service": told.name, "told": len(told.waiting), "keeper_silent": told.silent}
            for told in self._told.values()
        ]
        return {"kept": kept, "waiting_here": own}
