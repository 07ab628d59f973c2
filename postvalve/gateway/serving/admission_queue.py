"""Online requests that wait at this node until an engine has room for them."""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import attrgetter
from typing import Any

import gevent
from gevent.event import AsyncResult

from postvalve.clock import Clock
from postvalve.core.admission.online_admission import (
    FIRST_TRY_SHARE,
    AdmissionAction,
    OverloadEpisodes,
    PendingRequest,
    decide,
    finds_room,
)
from postvalve.core.randomness import RandomSource
from postvalve.core.routing.latency_estimate import EngineOccupancy, least_loaded
from postvalve.core.scheduling.load_shedding import (
    decide_in_order,
    free_capacity,
    hold_expired,
    retry_after_seconds,
    zone_queue_wait,
)
from postvalve.core.scheduling.queue_order import QueuePosition, service_hash
from postvalve.events import Event, EventLog
from postvalve.exceptions import RefusedError
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import RequestTerms
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.gateway.serving.peer_queue_heads import PeerQueueHeads
from postvalve.gateway.serving.zone_queue import NoZoneQueue, ZoneQueue
from postvalve.settings.routes import RouteSpec

LOOK_INTERVAL = 0.015
"""Seconds between looks at those that wait."""
_Firsts = Sequence[tuple[tuple[int, int], float]]
"""Rank and tag of the first that waits at each peer, in order."""
LEAST_RETURN_TIME = 1.0
"""Seconds that a client must have left to come back after a refusal."""
MAX_ROWS = 50
"""Requests that wait which are told to operators, the first in order."""
MAX_LOGGED_AHEAD = 3
"""Requests in front of one that its lines in the log name, the nearest ones."""


@dataclass(slots=True, eq=False)
class _Waiting:
    request_id: str
    service: str
    place: QueuePosition
    """Where tenants have no shares, the time of its arrival stands for the tag."""
    shared: bool
    """Whether they have."""
    number: int
    """By which nodes name it to each other."""
    held: PendingRequest
    gone: Callable[[], bool]
    tenant: str = ""
    """Who sends it; empty for nobody in particular."""
    decided: AsyncResult = field(default_factory=AsyncResult)


_place_of = attrgetter("place")


@dataclass(slots=True)
class _Queue:
    """Those that wait for one service, at one look."""

    rooms: list[EngineOccupancy]
    firsts: _Firsts
    held: int = 0
    """Of this node, that go before the next one."""


def _before(firsts: _Firsts, place: QueuePosition) -> int:
    """Peers where somebody waits that goes before a place."""
    return bisect.bisect_left(firsts, (place.rank, place.tag))


class AdmissionQueue:
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
        self._numbers = itertools.count(1)
        self._episodes: dict[str, OverloadEpisodes] = {}
        self._longest: dict[str, float] = {}
        """The longest time that clients of a route gave, in seconds."""
        self._evaluator: gevent.Greenlet | None = None
        self.nodes: Callable[[], int] = lambda: 1
        """Number of nodes that share the engines."""
        self.holders: Callable[[], dict[str, int]] = dict
        """Tenants with the most online requests of this node at engines, and how many."""
        self.zone_queue: ZoneQueue = NoZoneQueue()
        self.on_started: Callable[[float, float | None], None] = lambda tag, first: None
        """Takes the tag of a request that starts, and the first one that waits behind it."""
        self.peer_queue_heads = PeerQueueHeads(clock)

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
        tag: float | None = None,
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
            tag: Its start tag; None where tenants have no shares.

        Raises:
            RefusedError: there is no room in time, and the client can come back.
        """
        held = PendingRequest(
            arrived_at,
            route.target_latency,
            deadline,
            terms.own_tokens,
            self._may_return(route, terms, deadline - arrived_at),
        )
        place = QueuePosition(rank, arrived_at if tag is None else tag, deadline)
        if self._fleet.has_room(service) and (tag is None or self._is_first(service, place)):
            self._start(place, service, tag is not None)
            return
        number = next(self._numbers)
        shared = tag is not None
        entry = _Waiting(terms.request_id, service, place, shared, number, held, gone, tenant)
        ruling, rooms = self._first_ruling(entry)
        if ruling is AdmissionAction.HOLD:
            self._note(Event.ROUTED_REQUEST_HELD, entry, rooms)
            ruling = self._wait(entry)
            rooms = self._fleet.occupancies(service)
            if ruling is AdmissionAction.START:
                self._note(Event.ROUTED_REQUEST_RELEASED, entry, rooms)
        if ruling is AdmissionAction.REFUSE:
            raise self._refusal(entry, rooms)
        self._start(place, service, entry.shared)

    def _first_ruling(self, entry: _Waiting) -> tuple[AdmissionAction, list[EngineOccupancy]]:
        """About a request that has just come."""
        rooms = self._fleet.occupancies(entry.service)
        if not entry.shared:
            return self._rule(entry, rooms), rooms
        ruling = self._rule_in_order(entry, rooms, self._ahead(entry))
        if ruling is AdmissionAction.START and not self._is_first(entry.service, entry.place):
            ruling = AdmissionAction.HOLD
        return ruling, rooms

    def _is_first(self, service: str, place: QueuePosition) -> bool:
        """Whether nobody who waits, here or elsewhere as far as is known, goes before it."""
        if self.zone_queue.is_coordinated(service):
            return False
        own = self.first_waiting().get(service_hash(service), place)
        return place <= own and not _before(self.peer_queue_heads.for_service(service), place)

    def _start(self, place: QueuePosition, service: str, shared: bool) -> None:
        """A request with this place goes on."""
        if not shared:
            return
        tags = (one.place.tag for one in self._open() if one.shared)
        first = min(min(tags, default=math.inf), self.peer_queue_heads.min_tag())
        self.on_started(place.tag, None if first == math.inf else first)

    def _open(self) -> Iterator[_Waiting]:
        """Those that nothing was decided about."""
        return (one for one in self._waiting if not one.decided.ready())

    def first_waiting(self) -> dict[int, QueuePosition]:
        """The first that waits here, by the hash of its service."""
        first: dict[int, QueuePosition] = {}
        for entry in self._open():
            if entry.shared:
                key = service_hash(entry.service)
                first[key] = min(entry.place, first.get(key, entry.place))
        return first

    def _ahead(self, entry: _Waiting) -> int:
        """Requests of all nodes that go before one, as far as is known here."""
        own = sum(one.service == entry.service and one.place < entry.place for one in self._open())
        return self._ahead_of(entry, own, self.peer_queue_heads.for_service(entry.service))

    def _ahead_of(self, entry: _Waiting, own: int, firsts: _Firsts) -> int:
        """The same, where `own` of this node do, and `firsts` wait first at the others."""
        told = self.zone_queue.requests_ahead(entry.service, entry.number)
        if told is not None:
            return told
        # Where somebody goes before it there are about as many who do as here.
        return own + _before(firsts, entry.place) * max(1, own)

    def _may_return(self, route: RouteSpec, terms: RequestTerms, left: float) -> bool:
        """Whether a refused client would come back: it has, as far as its time tells, not yet."""
        if terms.allowed is None or terms.last_event_id is not None:
            return False
        longest = max(terms.allowed, self._longest.get(route.name, 0.0))
        self._longest[route.name] = longest
        return left >= LEAST_RETURN_TIME and terms.allowed >= longest * FIRST_TRY_SHARE

    def _rule(self, entry: _Waiting, rooms: list[EngineOccupancy]) -> AdmissionAction:
        now = self._clock.monotonic()
        pace = self._fleet.pace(entry.service)
        episode = self._episode(entry.service)
        if not finds_room(entry.held, rooms, pace, now):
            episode.record_full(now)
        return decide(entry.held, rooms, pace, now, persistent=episode.persistent(now))

    def _rule_in_order(
        self, entry: _Waiting, rooms: list[EngineOccupancy], ahead: int
    ) -> AdmissionAction:
        now = self._clock.monotonic()
        pace = self._fleet.pace(entry.service)
        if rooms and not free_capacity(rooms, pace):
            self._episode(entry.service).record_full(now)
        return decide_in_order(entry.held, rooms, pace, now, ahead)

    def _episode(self, service: str) -> OverloadEpisodes:
        return self._episodes.setdefault(service, OverloadEpisodes())

    def _wait(self, entry: _Waiting) -> AdmissionAction:
        self._waiting.append(entry)
        if self._evaluator is None:
            self._evaluator = gevent.spawn(self._look_while_held)
        try:
            ruling: AdmissionAction = entry.decided.get()
        finally:
            self._waiting.remove(entry)
        return ruling

    def _look_while_held(self) -> None:
        while self._waiting:
            gevent.sleep(LOOK_INTERVAL)
            self._reevaluate()
        # Telling may wait for the socket: one that comes meanwhile needs a looker of its own.
        self._evaluator = None
        self.zone_queue.update_waiting({})

    def reevaluate(self) -> None:
        """Something has changed for those that wait."""
        if self._waiting:
            self._reevaluate()

    def _reevaluate(self) -> None:
        """Decide about all that wait, in their order."""
        queues: dict[str, _Queue] = {}
        waiting = sorted(self._waiting, key=_place_of)
        self._show(waiting)
        for entry in waiting:
            if entry.decided.ready():
                continue
            if entry.service not in queues:
                rooms = self._fleet.occupancies(entry.service)
                queues[entry.service] = _Queue(
                    rooms, self.peer_queue_heads.for_service(entry.service)
                )
            queue = queues[entry.service]
            ruling = self._decide(entry, queue) if entry.shared else self._draw(entry, queue.rooms)
            if ruling is not AdmissionAction.HOLD:
                entry.decided.set(ruling)
            if ruling is AdmissionAction.START and queue.rooms:
                # It will be counted when its attempt starts; the next ones must know now.
                least_loaded(queue.rooms, self._fleet.pace(entry.service)).online += 1
            queue.held += ruling is AdmissionAction.HOLD

    def _show(self, waiting: list[_Waiting]) -> None:
        """Tell the line who waits here."""
        of: dict[str, list[tuple[int, QueuePosition]]] = {}
        for entry in waiting:
            if entry.shared and not entry.decided.ready():
                of.setdefault(entry.service, []).append((entry.number, entry.place))
        self.zone_queue.update_waiting(of)

    def _draw(self, entry: _Waiting, rooms: list[EngineOccupancy]) -> AdmissionAction:
        """Decide where tenants have no shares."""
        ruling = AdmissionAction.START if entry.gone() else self._rule(entry, rooms)
        if ruling is AdmissionAction.START and not self._is_turn(entry, rooms):
            return AdmissionAction.HOLD
        return ruling

    def _decide(self, entry: _Waiting, queue: _Queue) -> AdmissionAction:
        """Decide where they have some."""
        if entry.gone() or self.zone_queue.is_granted(entry.service, entry.number):
            return AdmissionAction.START
        ahead = self._ahead_of(entry, queue.held, queue.firsts)
        ruling = self._rule_in_order(entry, queue.rooms, ahead)
        if ruling is not AdmissionAction.START or hold_expired(entry.held, self._clock.monotonic()):
            return ruling
        if self.zone_queue.is_coordinated(entry.service):
            return AdmissionAction.HOLD
        return ruling if self._is_turn(entry, queue.rooms) else AdmissionAction.HOLD

    def _is_turn(self, entry: _Waiting, rooms: list[EngineOccupancy]) -> bool:
        """Whether this node takes a free slot: all nodes see the same ones.

        Each takes one with the chance that gives all of them together as many as there are.
        """
        pace = self._fleet.pace(entry.service)
        free = sum(max(0, room.capacity(pace) - room.online) for room in rooms)
        nodes = self.nodes()
        return not free or free >= nodes or self._random.uniform(0, 1) * nodes < free

    def _refusal(self, entry: _Waiting, rooms: list[EngineOccupancy]) -> RefusedError:
        now = self._clock.monotonic()
        left = entry.held.deadline - now
        drawn = self._random.uniform(0, 1)
        episode = self._episode(entry.service)
        if entry.shared:
            wait = zone_queue_wait(self._ahead(entry), rooms, self._fleet.pace(entry.service))
            seconds = retry_after_seconds(max(wait, episode.seconds_left(now)), left, drawn)
        else:
            seconds = episode.retry_after(now, left, drawn)
        self._note(Event.ROUTED_REQUEST_TURNED_AWAY, entry, rooms, retry_after=round(seconds, 3))
        return RefusedError("no engine can serve this in time", retry_after=seconds)

    def _note(
        self, event: Event, entry: _Waiting, rooms: list[EngineOccupancy], **fields: float
    ) -> None:
        pace = self._fleet.pace(entry.service)
        if entry.shared:
            told = self.zone_queue.requests_ahead(entry.service, entry.number) is not None
            fields |= {
                "tag": round(entry.place.tag, 3),
                "before_all": self._ahead(entry),
                "in_line": told,
            }
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
            slot_time=round(pace.slot_time, 3),
            margin=round(pace.margin, 3),
            **self._place_of(entry),
            **fields,
        )

    def _place_of(self, entry: _Waiting) -> dict[str, Any]:
        """Whose a request is, behind whom it waits and who runs, where callers have names."""
        if not entry.tenant:
            return {}
        same_engines = (one for one in self._waiting if one.service == entry.service)
        ahead = [one for one in same_engines if one.place < entry.place]
        nearest = sorted(ahead, key=_place_of)[-MAX_LOGGED_AHEAD:]
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
        for entry in nsmallest(MAX_ROWS, self._waiting, key=_place_of):
            rows.append(
                {
                    "request": entry.request_id,
                    "service": entry.service,
                    "tenant": entry.tenant,
                    "rank": list(entry.place.rank),
                    "waited": round(now - entry.held.arrived_at, 3),
                    "behind": last.get(entry.service, ""),
                }
            )
            last[entry.service] = entry.request_id
        return rows
