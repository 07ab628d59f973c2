"""Measures one routed request for the latency estimates of its service."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.clock import Clock
from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.core.routing.latency_estimate import expected_first_event
from postvalve.events import Event, EventLog
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.placement import ConsideredEngine, Placement
from postvalve.gateway.metrics import GatewayMetrics

MAX_LOGGED_CANDIDATES = 6
"""Number of engines that a log event about a late request lists: the chosen one, and those expected
to be first."""


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


@dataclass(slots=True)
class Attempts:
    """How often a request was sent."""

    tries: int = 0
    refused_rounds: int = 0
    """Number of rounds in which every engine refused the request."""


class PaceObserver:
    """Measures the attempts of one request."""

    def __init__(
        self,
        fleet: EngineFleet,
        clock: Clock,
        events: EventLog,
        metrics: GatewayMetrics,
        service: str,
        request_id: str,
        arrived_at: float,
        target_latency: float,
    ) -> None:
        """Begin measuring a request.

        Args:
            service: The service that it is sent to.
            arrived_at: Monotonic seconds.
            target_latency: Seconds after which its first event counts as late.
        """
        self._fleet = fleet
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._service = service
        self._request_id = request_id
        self._arrived_at = arrived_at
        self._target_latency = target_latency
        self._placed_at = 0.0
        self._first_at = 0.0
        """When the first event arrived; 0 before that."""
        self._times = AttemptTimes(0.0)
        """Event times of the current attempt."""

    def record_placed(self, now: float) -> None:
        """Record that an attempt begins."""
        self._placed_at = now
        self._times = AttemptTimes(now)

    def record_read_started(self) -> None:
        """Record that the next event is about to be read.

        The time until it arrives is then the engine's, not the reader's.
        """
        self._times.requested_at = self._clock.monotonic()

    def record_event(self) -> None:
        """Record that an event was read."""
        self._fleet.paces.record_event(self._times)

    def record_first_event(self, placement: Placement | None, attempts: Attempts) -> None:
        """Record the first event of the request, and log it if it was late."""
        waited = self._clock.monotonic() - self._arrived_at
        self._metrics.first_event.observe(waited)
        if placement is None:
            return
        self._learn_first_event(placement)
        if waited <= self._target_latency:
            return
        self._events.emit(
            Event.ROUTED_REQUEST_SLOW,
            request=self._request_id,
            engine=placement.engine.life,
            engine_zone=placement.engine.zone,
            slots=placement.engine.slots,
            online=placement.online_seen,
            batch=placement.batch_seen,
            unread=placement.unread_seen,
            attempt=attempts.tries,
            refused_rounds=attempts.refused_rounds,
            placed=round(self._placed_at - self._arrived_at, 3),
            waited=round(waited, 3),
        )

        if placement.considered:
            self._log_candidates(placement)

    def _log_candidates(self, placement: Placement) -> None:
        """Log the engines that a late request could have been sent to, the best ones."""
        pace = self._fleet.pace(self._service)
        tokens = placement.to_read - placement.unread_seen
        expected = [
            (expected_first_event(one.occupancy, tokens, pace), one) for one in placement.considered
        ]
        expected.sort(key=lambda one: (one[1].life != placement.engine.life, one[0]))
        self._events.emit(
            Event.PLACED_BY_PACE,
            request=self._request_id,
            engine=placement.engine.life,
            engines=len(expected),
            candidates=[
                self._candidate_fields(one, seconds)
                for seconds, one in expected[:MAX_LOGGED_CANDIDATES]
            ],
        )

    def _candidate_fields(self, one: ConsideredEngine, seconds: float) -> dict[str, object]:
        now = self._clock.monotonic()
        facts = self._fleet.paces.summary(self._service, one.life, now)
        return {
            "engine": one.life,
            "expected_ms": round(seconds * 1000),
            "online": one.occupancy.online,
            "batch": one.occupancy.batch,
            "first": round(one.occupancy.factors.first, 2),
            "pause": round(one.occupancy.factors.pause, 2),
            "held": round(one.occupancy.factors.held, 2),
            "age": _rounded(facts.age),
            "told_age": _rounded(facts.reported_age),
        }

    def _learn_first_event(self, placement: Placement) -> None:
        now = self._first_at = self._clock.monotonic()
        pace = self._fleet.pace(self._service)
        seconds = now - self._placed_at
        self._fleet.paces.record_first_event(placement, seconds)
        if placement.found_slot:
            pace.observe_first_event(placement.to_read, seconds)
        if not pace.known:
            return
        pace.observe_error(placement.expected, seconds)
        slots = placement.engine.slots
        queued = placement.online_seen - slots + 1
        if queued > 0:
            pace.observe_queue(queued, slots, seconds - pace.first_event(placement.to_read))

    def record_end(self, placement: Placement | None) -> None:
        """Learn from a stream that ended normally how long it held its slot."""
        if placement is None or not self._first_at:
            return
        pace = self._fleet.pace(self._service)
        read = min(self._first_at - self._placed_at, pace.first_event(placement.to_read))
        pace.observe_slot_time(self._clock.monotonic() - self._first_at + max(0.0, read))
        self._fleet.paces.record_end(placement, self._times)
