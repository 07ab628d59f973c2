"""Online requests that wait at this node until an engine has room for them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import attrgetter
from typing import Any

import gevent
from gevent.event import AsyncResult

from postvalve.clock import Clock
from postvalve.core.admission.holding import (
    FRESH_SHARE,
    EngineRoom,
    HeldRequest,
    OverloadEpisodes,
    Ruling,
    finds_room,
    rule,
)
from postvalve.core.randomness import RandomSource
from postvalve.events import Event, EventLog
from postvalve.exceptions import RefusedError
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import RequestTerms
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.settings.routes import RouteSpec

LOOK_INTERVAL = 0.015
"""Seconds between looks at those that wait."""
LEAST_RETURN_TIME = 1.0
"""Seconds that a client must have left to come back after a refusal."""
MOST_ROWS = 50
"""Requests that wait which are told to operators, the first in order."""
MOST_AHEAD = 3
"""Requests in front of one that its lines in the log name, the nearest ones."""


@dataclass(slots=True, eq=False)
class _Waiting:
    request_id: str
    service: str
    rank: tuple[int, int]
    """Its tenant's priority, then its route's; 0 is the most urgent."""
    held: HeldRequest
    gone: Callable[[], bool]
    tenant: str = ""
    """Who sends it; empty for nobody in particular."""
    decided: AsyncResult = field(default_factory=AsyncResult)

    order: tuple[tuple[int, int], float] = field(init=False)
    """Its place among those that wait here: the least goes first."""

    def __post_init__(self) -> None:
        self.order = (self.rank, self.held.arrived_at)


_order_of = attrgetter("order")


class WaitingRoom:
    """Holds, releases and refuses; see `core/admission/holding` for the rules."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        fleet: EngineFleet,
        generator: RandomSource,
        metrics: GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._events = events
        self._fleet = fleet
        self._random = generator
        self._metrics = metrics
        self._waiting: list[_Waiting] = []
        self._episodes: dict[str, OverloadEpisodes] = {}
        self._longest: dict[str, float] = {}
        """The longest time that clients of a route gave, in seconds."""
        self._looker: gevent.Greenlet | None = None
        self.nodes: Callable[[], int] = lambda: 1
        """Number of nodes that share the engines."""
        self.holders: Callable[[], dict[str, int]] = dict
        """Tenants with the most online requests of this node at engines, and how many."""

    def admit(
        self,
        route: RouteSpec,
        service: str,
        terms: RequestTerms,
        rank: tuple[int, int],
        arrived_at: float,
        deadline: float,
        gone: Callable[[], bool],
        tenant: str = "",
    ) -> None:
        """Return when an engine should get the request, or when its client has gone.

        Args:
            route: Its route.
            service: The service that serves it.
            terms: What its headers say.
            rank: Its urgency, see `Caller.rank`.
            arrived_at: Monotonic seconds.
            deadline: Likewise.
            gone: Tells whether the client has left.
            tenant: Who sends it; empty for nobody in particular.

        Raises:
            RefusedError: there is no room in time, and the client can come back.
        """
        held = HeldRequest(
            arrived_at,
            route.target_latency,
            deadline,
            terms.own_tokens,
            self._may_return(route, terms, deadline - arrived_at),
        )
        if self._fleet.has_room(service):
            return
        entry = _Waiting(terms.request_id, service, rank, held, gone, tenant)
        rooms = self._fleet.rooms(service)
        ruling = self._rule(entry, rooms)
        if ruling is Ruling.HOLD:
            self._note(Event.ROUTED_REQUEST_HELD, entry, rooms)
            ruling = self._wait(entry)
            rooms = self._fleet.rooms(service)
            if ruling is Ruling.START:
                self._note(Event.ROUTED_REQUEST_RELEASED, entry, rooms)
        if ruling is Ruling.REFUSE:
            raise self._refusal(entry, rooms)

    def _may_return(self, route: RouteSpec, terms: RequestTerms, left: float) -> bool:
        """Whether a refused client would come back: it has, as far as its time tells, not yet."""
        if terms.allowed is None or terms.last_event_id is not None:
            return False
        longest = max(terms.allowed, self._longest.get(route.name, 0.0))
        self._longest[route.name] = longest
        return left >= LEAST_RETURN_TIME and terms.allowed >= longest * FRESH_SHARE

    def _rule(self, entry: _Waiting, rooms: list[EngineRoom]) -> Ruling:
        now = self._clock.monotonic()
        pace = self._fleet.pace(entry.service)
        episode = self._episode(entry.service)
        if not finds_room(entry.held, rooms, pace, now):
            episode.note_full(now)
        return rule(entry.held, rooms, pace, now, persistent=episode.persistent(now))

    def _episode(self, service: str) -> OverloadEpisodes:
        return self._episodes.setdefault(service, OverloadEpisodes())

    def _wait(self, entry: _Waiting) -> Ruling:
        self._waiting.append(entry)
        if self._looker is None:
            self._looker = gevent.spawn(self._look_while_held)
        try:
            ruling: Ruling = entry.decided.get()
        finally:
            self._waiting.remove(entry)
        return ruling

    def _look_while_held(self) -> None:
        while self._waiting:
            gevent.sleep(LOOK_INTERVAL)
            self._look()
        self._looker = None

    def _look(self) -> None:
        """Decide about all that wait, the most urgent kinds and the oldest first."""
        rooms_of: dict[str, list[EngineRoom]] = {}
        for entry in sorted(self._waiting, key=_order_of):
            if entry.decided.ready():
                continue
            if entry.service not in rooms_of:
                rooms_of[entry.service] = self._fleet.rooms(entry.service)
            rooms = rooms_of[entry.service]
            ruling = Ruling.START if entry.gone() else self._rule(entry, rooms)
            if ruling is Ruling.START and not self._is_turn(entry, rooms):
                continue
            if ruling is not Ruling.HOLD:
                entry.decided.set(ruling)
            if ruling is Ruling.START and rooms:
                # It will be counted when its attempt starts; the next ones must know now.
                min(rooms, key=lambda room: room.online / max(1, room.slots)).online += 1

    def _is_turn(self, entry: _Waiting, rooms: list[EngineRoom]) -> bool:
        """Whether this node takes a free slot: all nodes see the same ones.

        Each takes one with the chance that gives all of them together as many as there are.
        """
        free = sum(max(0, room.slots - room.online) for room in rooms)
        nodes = self.nodes()
        return not free or free >= nodes or self._random.uniform(0, 1) * nodes < free

    def _refusal(self, entry: _Waiting, rooms: list[EngineRoom]) -> RefusedError:
        now = self._clock.monotonic()
        left = entry.held.deadline - now
        drawn = self._random.uniform(0, 1)
        seconds = self._episode(entry.service).retry_after(now, left, drawn)
        self._note(Event.ROUTED_REQUEST_TURNED_AWAY, entry, rooms, retry_after=round(seconds, 3))
        return RefusedError("no engine can serve this in time", retry_after=seconds)

    def _note(
        self, event: Event, entry: _Waiting, rooms: list[EngineRoom], **fields: float
    ) -> None:
        pace = self._fleet.pace(entry.service)
        self._metrics.held.labels(event.name).inc()
        self._events.emit(
            event,
            request=entry.request_id,
            service=entry.service,
            engines=len(rooms),
            slots=sum(room.slots for room in rooms),
            online=sum(room.online for room in rooms),
            held=len(self._waiting),
            waited=round(self._clock.monotonic() - entry.held.arrived_at, 3),
            slot_time=round(pace.held, 3),
            margin=round(pace.margin, 3),
            **self._place_of(entry),
            **fields,
        )

    def _place_of(self, entry: _Waiting) -> dict[str, Any]:
        """Whose a request is, behind whom it waits and who runs, where callers have names."""
        if not entry.tenant:
            return {}
        same_engines = (one for one in self._waiting if one.service == entry.service)
        ahead = [one for one in same_engines if one.order < entry.order]
        nearest = sorted(ahead, key=_order_of)[-MOST_AHEAD:]
        return {
            "tenant": entry.tenant,
            "before": len(ahead),
            "ahead": [one.request_id for one in nearest],
            "holders": self.holders(),
        }

    def rows(self) -> list[dict[str, Any]]:
        """Who waits here now, and behind whom, in the order in which they go."""
        now = self._clock.monotonic()
        rows: list[dict[str, Any]] = []
        last: dict[str, str] = {}
        """The request that came last in order, by service."""
        for entry in nsmallest(MOST_ROWS, self._waiting, key=_order_of):
            rows.append(
                {
                    "request": entry.request_id,
                    "service": entry.service,
                    "tenant": entry.tenant,
                    "rank": list(entry.rank),
                    "waited": round(now - entry.held.arrived_at, 3),
                    "behind": last.get(entry.service, ""),
                }
            )
            last[entry.service] = entry.request_id
        return rows
