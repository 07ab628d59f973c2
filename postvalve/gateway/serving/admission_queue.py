"""The queue of online requests at this node, which wait until an engine has capacity."""

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
    finds_capacity,
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

EVALUATION_INTERVAL = 0.015
"""Seconds between two evaluations of the queue."""
_Heads = Sequence[tuple[tuple[int, int], float]]
"""Rank and tag of the first request queued at each peer, in order."""
MIN_RETRY_TIME = 1.0
"""Seconds that a client must have left to retry after a refusal."""
MAX_ROWS = 50
"""Queued requests that the status document lists, the first in order."""
MAX_LOGGED_AHEAD = 3
"""Requests ahead that a request's log events name, the nearest ones."""


@dataclass(slots=True, eq=False)
class _QueuedRequest:
    request_id: str
    service: str
    place: QueuePosition
    """Where tenants have no shares, its tag is the time of arrival."""
    shared: bool
    """Whether tenants have shares."""
    number: int
    """Number by which nodes refer to the request in messages."""
    pending: PendingRequest
    disconnected: Callable[[], bool]
    tenant: str = ""
    """The tenant that sent it; empty for anonymous requests."""
    version: str | None = None
    """Version of the engines that may run it; None for any."""
    decided: AsyncResult = field(default_factory=AsyncResult)


_place_of = attrgetter("place")


@dataclass(slots=True)
class _Queue:
    """The requests queued for one service, during one evaluation."""

    occupancies: list[EngineOccupancy]
    heads: _Heads
    ahead: int = 0
    """Requests of this node that go before the next one."""


def _peers_ahead(heads: _Heads, place: QueuePosition) -> int:
    """Return the number of peers with a queued request that goes before a place."""
    return bisect.bisect_left(heads, (place.rank, place.tag))


class AdmissionQueue:
    """Queues, starts and refuses online requests at one node.

    The rules are those of `core/admission/online_admission` and, where tenants have shares, of
    `core/scheduling/load_shedding`.
    """

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
        self._waiting: list[_QueuedRequest] = []
        self._numbers = itertools.count(1)
        self._episodes: dict[str, OverloadEpisodes] = {}
        self._longest_allowed: dict[str, float] = {}
        """The longest time that clients of a route have allowed, in seconds."""
        self._evaluator: gevent.Greenlet | None = None
        self.nodes: Callable[[], int] = lambda: 1
        """Returns the number of nodes that share the engines."""
        self.holders: Callable[[], dict[str, int]] = dict
        """Returns the tenants with the most online requests of this node at engines, with their
        numbers."""
        self.zone_queue: ZoneQueue = NoZoneQueue()
        self.on_started: Callable[[float, float | None], None] = lambda tag, first: None
        """Called with the tag of a request that starts, and the least tag that still waits, if
        any."""
        self.peer_queue_heads = PeerQueueHeads(clock)

    def admit(
        self,
        route: RouteSpec,
        service: str,
        terms: RequestTerms,
        rank: tuple[int, int],
        arrived_at: float,
        deadline: float,
        disconnected: Callable[[], bool],
        tenant: str = "",
        tag: float | None = None,
        version: str | None = None,
    ) -> None:
        """Return when the request should be sent to an engine, or when its client has disconnected.

        Args:
            route: The route of the request.
            service: The service that it is sent to.
            terms: Deadline, tokens and other terms from its headers.
            rank: Its priority, see `Caller.rank`.
            arrived_at: Monotonic seconds.
            deadline: Monotonic seconds.
            disconnected: Tells whether the client has disconnected.
            tenant: The tenant that sent it; empty for anonymous requests.
            tag: Its start tag; None where tenants have no shares.
            version: Version of the engines that may run it; None for any. Such a request does not
                queue behind those that any engine may run, and is judged by its engines' load.

        Raises:
            RefusedError: no engine has capacity in time, and the client can retry.
        """
        pending = PendingRequest(
            arrived_at,
            route.target_latency,
            deadline,
            terms.own_tokens,
            self._may_retry(route, terms, deadline - arrived_at),
        )
        place = QueuePosition(rank, arrived_at if tag is None else tag, deadline)
        shared = tag is not None and version is None
        if self._fleet.has_capacity(service, version) and (
            not shared or self._is_first(service, place)
        ):
            self._start(place, service, tag is not None)
            return
        number = next(self._numbers)
        entry = _QueuedRequest(
            terms.request_id, service, place, shared, number, pending, disconnected, tenant, version
        )
        action, occupancies = self._decide_on_arrival(entry)
        if action is AdmissionAction.HOLD:
            self._log(Event.ROUTED_REQUEST_HELD, entry, occupancies)
            action = self._wait(entry)
            occupancies = self._fleet.occupancies(service, version)
            if action is AdmissionAction.START:
                self._log(Event.ROUTED_REQUEST_RELEASED, entry, occupancies)
        if action is AdmissionAction.REFUSE:
            raise self._refusal(entry, occupancies)
        self._start(place, service, tag is not None)

    def _decide_on_arrival(
        self, entry: _QueuedRequest
    ) -> tuple[AdmissionAction, list[EngineOccupancy]]:
        """Decide about a request that has just arrived."""
        occupancies = self._fleet.occupancies(entry.service, entry.version)
        if not entry.shared:
            return self._decide_by_time(entry, occupancies), occupancies
        action = self._decide_by_position(entry, occupancies, self._ahead(entry))
        if action is AdmissionAction.START and not self._is_first(entry.service, entry.place):
            action = AdmissionAction.HOLD
        return action, occupancies

    def _is_first(self, service: str, place: QueuePosition) -> bool:
        """Whether no request known to be queued, here or at a peer, goes before a place."""
        if self.zone_queue.is_coordinated(service):
            return False
        own = self.first_waiting().get(service_hash(service), place)
        return place <= own and not _peers_ahead(self.peer_queue_heads.for_service(service), place)

    def _start(self, place: QueuePosition, service: str, shared: bool) -> None:
        """Report the tag of a request that starts."""
        if not shared:
            return
        tags = (one.place.tag for one in self._undecided() if one.shared)
        first = min(min(tags, default=math.inf), self.peer_queue_heads.min_tag())
        self.on_started(place.tag, None if first == math.inf else first)

    def _undecided(self) -> Iterator[_QueuedRequest]:
        """Yield the queued requests that are not decided yet."""
        return (one for one in self._waiting if not one.decided.ready())

    def first_waiting(self) -> dict[int, QueuePosition]:
        """Return the first request queued here for each service, by the hash of the service."""
        first: dict[int, QueuePosition] = {}
        for entry in self._undecided():
            if entry.shared:
                key = service_hash(entry.service)
                first[key] = min(entry.place, first.get(key, entry.place))
        return first

    def _ahead(self, entry: _QueuedRequest) -> int:
        """Return how many requests of all nodes go before one, as far as this node knows."""
        own = sum(
            one.shared and one.service == entry.service and one.place < entry.place
            for one in self._undecided()
        )
        return self._ahead_of(entry, own, self.peer_queue_heads.for_service(entry.service))

    def _ahead_of(self, entry: _QueuedRequest, own: int, heads: _Heads) -> int:
        """Return the same number from those of this node (`own`) and the peers' queue heads."""
        position = self.zone_queue.requests_ahead(entry.service, entry.number)
        if position is not None:
            return position
        # A peer whose first request goes before this one has about as many such requests as this
        # node.
        return own + _peers_ahead(heads, entry.place) * max(1, own)

    def _may_retry(self, route: RouteSpec, terms: RequestTerms, left: float) -> bool:
        """Whether a refused client would retry: its time left suggests that this is a first try."""
        if terms.allowed is None or terms.last_event_id is not None:
            return False
        longest = max(terms.allowed, self._longest_allowed.get(route.name, 0.0))
        self._longest_allowed[route.name] = longest
        return left >= MIN_RETRY_TIME and terms.allowed >= longest * FIRST_TRY_SHARE

    def _decide_by_time(
        self, entry: _QueuedRequest, occupancies: list[EngineOccupancy]
    ) -> AdmissionAction:
        now = self._clock.monotonic()
        pace = self._fleet.pace(entry.service)
        episode = self._episode(entry.service)
        if not finds_capacity(entry.pending, occupancies, pace, now):
            episode.record_full(now)
        return decide(entry.pending, occupancies, pace, now, persistent=episode.persistent(now))

    def _decide_by_position(
        self, entry: _QueuedRequest, occupancies: list[EngineOccupancy], ahead: int
    ) -> AdmissionAction:
        now = self._clock.monotonic()
        pace = self._fleet.pace(entry.service)
        if occupancies and not free_capacity(occupancies, pace):
            self._episode(entry.service).record_full(now)
        return decide_in_order(entry.pending, occupancies, pace, now, ahead)

    def _episode(self, service: str) -> OverloadEpisodes:
        return self._episodes.setdefault(service, OverloadEpisodes())

    def _wait(self, entry: _QueuedRequest) -> AdmissionAction:
        self._waiting.append(entry)
        if self._evaluator is None:
            self._evaluator = gevent.spawn(self._evaluate_while_queued)
        try:
            action: AdmissionAction = entry.decided.get()
        finally:
            self._waiting.remove(entry)
        return action

    def _evaluate_while_queued(self) -> None:
        while self._waiting:
            gevent.sleep(EVALUATION_INTERVAL)
            try:
                self._reevaluate()
            except Exception as exc:  # requests would wait for ever without the next evaluation
                self._events.emit(
                    Event.BACKGROUND_TASK_FAILED, task="AdmissionQueue", error=repr(exc)
                )
        # Reporting may wait for the socket, and a request that arrives meanwhile needs a greenlet
        # of its own.
        self._evaluator = None
        self.zone_queue.update_waiting({})

    def reevaluate(self) -> None:
        """Evaluate the queue again, since engines or grants have changed."""
        if self._waiting:
            self._reevaluate()

    def _reevaluate(self) -> None:
        """Decide about all queued requests, in their order."""
        queues: dict[tuple[str, str | None], _Queue] = {}
        waiting = sorted(self._waiting, key=_place_of)
        self._report_queue(waiting)
        for entry in waiting:
            if entry.decided.ready():
                continue
            key = (entry.service, entry.version)
            if key not in queues:
                occupancies = self._fleet.occupancies(*key)
                queues[key] = _Queue(occupancies, self.peer_queue_heads.for_service(entry.service))
            queue = queues[key]
            action = (
                self._evaluate_with_shares(entry, queue)
                if entry.shared
                else self._evaluate_without_shares(entry, queue.occupancies)
            )
            if action is not AdmissionAction.HOLD:
                entry.decided.set(action)
            if action is AdmissionAction.START and queue.occupancies:
                # The engine's count changes when the attempt starts; the next requests must see it
                # now.
                least_loaded(queue.occupancies, self._fleet.pace(entry.service)).online += 1
            queue.ahead += action is AdmissionAction.HOLD

    def _report_queue(self, waiting: list[_QueuedRequest]) -> None:
        """Report the queued requests to the zone's shared queue."""
        of: dict[str, list[tuple[int, QueuePosition]]] = {}
        for entry in waiting:
            if entry.shared and not entry.decided.ready():
                of.setdefault(entry.service, []).append((entry.number, entry.place))
        self.zone_queue.update_waiting(of)

    def _evaluate_without_shares(
        self, entry: _QueuedRequest, occupancies: list[EngineOccupancy]
    ) -> AdmissionAction:
        """Decide about a request where tenants have no shares."""
        action = (
            AdmissionAction.START
            if entry.disconnected()
            else self._decide_by_time(entry, occupancies)
        )
        if action is AdmissionAction.START and not self._is_turn(entry, occupancies):
            return AdmissionAction.HOLD
        return action

    def _evaluate_with_shares(self, entry: _QueuedRequest, queue: _Queue) -> AdmissionAction:
        """Decide about a request where tenants have shares."""
        if entry.disconnected() or self.zone_queue.is_granted(entry.service, entry.number):
            return AdmissionAction.START
        ahead = self._ahead_of(entry, queue.ahead, queue.heads)
        action = self._decide_by_position(entry, queue.occupancies, ahead)
        if action is not AdmissionAction.START or hold_expired(
            entry.pending, self._clock.monotonic()
        ):
            return action
        if self.zone_queue.is_coordinated(entry.service):
            return AdmissionAction.HOLD
        return action if self._is_turn(entry, queue.occupancies) else AdmissionAction.HOLD

    def _is_turn(self, entry: _QueuedRequest, occupancies: list[EngineOccupancy]) -> bool:
        """Whether this node may take a free slot; all nodes see the same free slots.

        Each node takes one at random, with the probability at which all nodes together take as many
        as are free.
        """
        pace = self._fleet.pace(entry.service)
        free = sum(max(0, occupancy.capacity(pace) - occupancy.online) for occupancy in occupancies)
        nodes = self.nodes()
        return not free or free >= nodes or self._random.uniform(0, 1) * nodes < free

    def _refusal(self, entry: _QueuedRequest, occupancies: list[EngineOccupancy]) -> RefusedError:
        now = self._clock.monotonic()
        left = entry.pending.deadline - now
        drawn = self._random.uniform(0, 1)
        episode = self._episode(entry.service)
        if entry.shared:
            wait = zone_queue_wait(self._ahead(entry), occupancies, self._fleet.pace(entry.service))
            seconds = retry_after_seconds(max(wait, episode.seconds_left(now)), left, drawn)
        else:
            seconds = episode.retry_after(now, left, drawn)
        self._log(
            Event.ROUTED_REQUEST_TURNED_AWAY, entry, occupancies, retry_after=round(seconds, 3)
        )
        return RefusedError("no engine can serve this in time", retry_after=seconds)

    def _log(
        self,
        event: Event,
        entry: _QueuedRequest,
        occupancies: list[EngineOccupancy],
        **fields: float,
    ) -> None:
        pace = self._fleet.pace(entry.service)
        if entry.shared:
            position = self.zone_queue.requests_ahead(entry.service, entry.number) is not None
            fields |= {
                "tag": round(entry.place.tag, 3),
                "before_all": self._ahead(entry),
                "in_line": position,
            }
        self._metrics.held.labels(event.name).inc()
        self._events.emit(
            event,
            request=entry.request_id,
            service=entry.service,
            engines=len(occupancies),
            slots=sum(occupancy.slots for occupancy in occupancies),
            online=sum(occupancy.online for occupancy in occupancies),
            held=len(self._waiting),
            waited=round(self._clock.monotonic() - entry.pending.arrived_at, 3),
            slot_time=round(pace.slot_time, 3),
            margin=round(pace.margin, 3),
            **self._tenant_fields(entry),
            **fields,
        )

    def _tenant_fields(self, entry: _QueuedRequest) -> dict[str, Any]:
        """Return log fields about a request's tenant, and who is ahead and running.

        They are empty for anonymous requests.
        """
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
        """Return the queued requests in order for the status document, each with the one ahead."""
        now = self._clock.monotonic()
        rows: list[dict[str, Any]] = []
        last: dict[str, str] = {}
        """Id of the last request listed, by service."""
        for entry in nsmallest(MAX_ROWS, self._waiting, key=_place_of):
            rows.append(
                {
                    "request": entry.request_id,
                    "service": entry.service,
                    "tenant": entry.tenant,
                    "rank": list(entry.place.rank),
                    "waited": round(now - entry.pending.arrived_at, 3),
                    "behind": last.get(entry.service, ""),
                }
            )
            last[entry.service] = entry.request_id
        return rows
