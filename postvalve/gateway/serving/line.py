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
"""Numbers that a keeper's grants may begin with: the rest of 32 bits is left for those after."""
ZONES_AGE = 0.1
"""Seconds for which it is remembered how many zones there are: asked for at each look."""


class Line(Protocol):
    """What the waiting room asks of it."""

    def stands(self, service: str) -> bool:
        """Whether a keeper grants the slots of a service to those that wait here."""
        ...

    def ahead(self, service: str, number: int) -> int | None:
        """Requests of all nodes before one that waits here; None where nobody told."""
        ...

    def granted(self, service: str, number: int) -> bool:
        """Whether one that waits here may start."""
        ...

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """Those that wait here now, by service, in order, with their numbers."""
        ...


class NoLine:
    """Each node by itself."""

    def stands(self, service: str) -> bool:
        """Never."""
        return False

    def ahead(self, service: str, number: int) -> int | None:
        """Nobody tells."""
        return None

    def granted(self, service: str, number: int) -> bool:
        """Nobody grants."""
        return False

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """Nobody hears it."""


@dataclass(slots=True)
class _Told:
    """What this node has told of one service, and what it heard."""

    name: str
    waiting: tuple[int, ...] = ()
    """Numbers in order, as last told."""
    sent_at: float = float("-inf")
    unanswered_since: float | None = None
    silent: bool = False
    """Whether the keeper did not answer in time."""
    keeper: str | None = None
    """Whom it was told."""
    taken: int = 0
    """Number of the last grant that was taken in."""
    taken_told: int = 0
    """The same, as last told."""
    granted: set[int] = field(default_factory=set)
    ahead: dict[int, int] = field(default_factory=dict)


class ZoneLine:
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
        self._told: dict[int, _Told] = {}
        self._keepers: dict[int, LineKeeper] = {}
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
        if now - self._zones_at >= ZONES_AGE:
            self._zones_at = now
            zones = {one.report.zone for one in self._peers.all()}
            self._zones = len(zones | {self._identity.zone})

    def stands(self, service: str) -> bool:
        """See `Line`."""
        told = self._told.get(service_hash(service))
        return told is not None and bool(told.waiting) and not told.silent and self._usable

    def ahead(self, service: str, number: int) -> int | None:
        """See `Line`."""
        told = self._told.get(service_hash(service))
        if told is None or told.silent or number not in told.ahead:
            return None
        # The keeper knows its own zone; the others take slots of all engines at the same pace.
        return told.ahead[number] * self._zones

    def granted(self, service: str, number: int) -> bool:
        """See `Line`."""
        told = self._told.get(service_hash(service))
        return told is not None and number in told.granted

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """See `Line`."""
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
                # What was granted is in this node's own counts now.
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
            # Each keeper numbers its grants itself: none of this one's was taken in yet.
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
            # What was started by the last grants must be counted before the keeper grants again.
            self._transport.send(peer.report.peer_address, self.own_report())
            told.taken_told = told.taken
        msg = gateway.LineState(packed=state.pack())
        self._transport.send(peer.report.peer_address, encode_frame(msg, 0))

    @staticmethod
    def _rest(told: _Told) -> None:
        """Nobody waits here any more: no answer is due."""
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
        """Nodes of the zone that may keep a line."""
        near = self._peers.neighbours(self._identity.zone)
        now = self._clock.monotonic()
        nodes = [
            one.node_id
            for one in near
            if not one.report.leaving and not self._new_nodes.has(one.node_id, now)
        ]
        return nodes if self.leaving else [*nodes, self._identity.node_id]

    def hear_grant(self, msg: gateway.LineGrant, address: str) -> None:
        """Take in a keeper's answer."""
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
            # Nobody waits here any more: hand it back.
            self._send_state(grant.service, told, [], self._clock.monotonic())

    # The lines that this node keeps

    @property
    def _may_keep(self) -> bool:
        return self._usable and not self.leaving

    def hear_state(self, msg: gateway.LineState, address: str) -> None:
        """Take in who waits at a peer."""
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
            # Numbers go on beyond those of a former life: no keeper grants so many a second.
            first = milliseconds(self._clock.wall()) & FIRST_GRANTS
            keeper = self._keepers[state.service] = LineKeeper(state.service, first)
        if keeper.hear(state, now):
            self._grant(state.service, keeper, {state.node_id} if state.waiting else set())

    def hear_report(self, report: LoadReport) -> None:
        """A peer's counts came in: grant what has come free."""
        self._new_nodes.hear(report.node_id, report.incarnation, self._clock.monotonic())
        self.look()

    def look(self) -> None:
        """Grant what has come free."""
        if not self._may_keep:
            # Another one keeps the lines, or nobody: grants by old states would go beside theirs.
            self._keepers.clear()
        for service, keeper in list(self._keepers.items()):
            if keeper.stands:
                self._grant(service, keeper, set())

    def _grant(self, service: int, keeper: LineKeeper, asking: set[str]) -> None:
        """Grant free places, and answer those that asked and those that got some."""
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
        """Places at the zone's engines, and this zone's part of the free slots at the others.

        Engines that failed a moment ago run nothing and look free: they count where all did.
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
            for service, keeper in self._keepers.items()
            if keeper.stands
        ]
        own = [
            {"service": told.name, "told": len(told.waiting), "keeper_silent": told.silent}
            for told in self._told.values()
        ]
        return {"kept": kept, "waiting_here": own}
