"""Pace of engines: estimated from attempts, reported by engines, and exchanged with peers."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

import gevent

from postvalve.clock import Clock
from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.core.routing.engine_load import (
    CountCorrection,
    EngineLoad,
    PaceReading,
    PaceReadings,
)
from postvalve.core.routing.engine_pace import PaceEstimator, PaceFactors, PaceMetric
from postvalve.core.routing.node_stalls import TICK_INTERVAL, NodeStalls
from postvalve.core.routing.pace_gossip import PacePartWriter, unpack_pace_part
from postvalve.events import Event, EventLog
from postvalve.gateway.fleet.placement import Placement

EVALUATION_INTERVAL = 1.0
"""Least seconds between evaluations of which engines differ: a tenth of the decay time of samples.
One evaluation takes some 3 ms with 65 nodes and 45 engines."""
MAX_PAUSE_AGE = 60.0
"""Seconds after which the longest pauses measured no longer limit how many requests run: batch
items alone renew no such sample, and no caller waits for their events."""
IDLE_INTERVAL = 1.0
"""Seconds between checks whether engines report their pace; without, stalls aren't measured."""
MAX_CHANGES_LOGGED = 8
"""Most engines logged one by one in each evaluation as differing, or no longer differing."""
MAX_BAD_LOADS_LOGGED = 1_000
"""Most engines whose unreadable load is logged; each is logged once."""


@dataclass(frozen=True, slots=True)
class PaceSummary:
    """What is known of one engine's pace; ages in seconds, None if nothing is known."""

    estimated: PaceFactors
    weight: float
    """Total weight of the samples of all nodes."""
    age: float | None = None
    """Age of the newest of these samples."""
    reported: float | None = None
    """Pace that the engine reported last, relative to its usual one."""
    reported_age: float | None = None
    """Age of that report."""
    trust: float = 0.0
    """Weight given to that report at its age, from 0 to 1."""


def _age(at: float, now: float) -> float | None:
    return now - at if math.isfinite(at) else None


class EnginePaces:
    """Latency estimates of all services, and the pace of each engine relative to its service."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self._services: dict[str, ServiceLatency] = {}
        self.estimator = PaceEstimator()
        self._readings_by_service: dict[str, PaceReadings] = {}
        self._counts = CountCorrection()
        self._stalls = NodeStalls()
        self._pauses_at: dict[str, float] = {}
        """When the longest pause of a stream was last measured, by service; monotonic seconds."""
        self._near = PacePartWriter()
        """Reports to nodes of this zone."""
        self._far = PacePartWriter()
        """Reports to nodes of other zones."""
        self._zone = PacePartWriter()
        """Digests to other zones, on behalf of all nodes of this zone."""
        self._bad_loads: set[int] = set()
        self._evaluated_at = float("-inf")
        self.count_requests: Callable[[EngineLife], int] = lambda life: 0
        """Returns the requests of all nodes at an engine, as this node counts them."""

    def service(self, service: str) -> ServiceLatency:
        """Return the latency estimates of a service, averaged over its engines."""
        pace = self._services.get(service)
        if pace is None:
            pace = self._services[service] = ServiceLatency()
        return pace

    def retain(self, services: Mapping[EngineLife, str]) -> None:
        """Drop what is known of engines, or earlier lives of them, that are no longer listed."""
        self.estimator.retain(services)
        lives = {engine_hash(life) for life in services}
        self._counts.retain(lives)
        self._bad_loads &= lives
        for pace_readings in self._readings_by_service.values():
            pace_readings.retain(lives)

    def reports_pace(self, service: str) -> bool:
        """Whether engines of a service report their pace; otherwise all are treated as equal.

        Attempts of one burst are slow together, so equal engines often seem to differ. Without
        reports from the engines, acting on such differences costs more than it gains.
        """
        pace_readings = self._readings_by_service.get(service)
        return pace_readings is not None and pace_readings.has_readings

    def knows_pauses(self, service: str, now: float) -> bool:
        """Whether the longest pauses of a service's streams were measured lately."""
        return now - self._pauses_at.get(service, now) <= MAX_PAUSE_AGE

    def factors(self, service: str, life: EngineLife, now: float) -> PaceFactors:
        """Return how much longer than the service's average an engine takes at present."""
        key = engine_hash(life)
        factors = self.estimator.factors(key)
        pace_readings = self._readings_by_service.get(service)
        reported = pace_readings.factor(key, now) if pace_readings is not None else 1.0
        return factors if reported == 1.0 else factors.scaled(reported)

    def summary(self, service: str, life: EngineLife, now: float) -> PaceSummary:
        """Return what is known of an engine's pace, for status and logs."""
        key = engine_hash(life)
        samples = self.estimator.all_samples(key, now)
        pace_readings = self._readings_by_service.get(service)
        reading = pace_readings.readings().get(key) if pace_readings is not None else None
        if pace_readings is None or reading is None:
            return PaceSummary(
                self.estimator.factors(key), samples.weight, _age(samples.newest_at, now)
            )
        reported_age = now - reading.at
        return PaceSummary(
            self.estimator.factors(key),
            samples.weight,
            _age(samples.newest_at, now),
            math.exp(reading.value),
            reported_age,
            pace_readings.confidence(reported_age),
        )

    def uncounted_requests(self, life: EngineLife, now: float) -> int:
        """Return the requests at an engine beyond those that nodes report, by its own count."""
        return self._counts.requests(engine_hash(life), now)

    def watch_stalls(self) -> None:
        """Measure the stalls of this node forever, while engines report their pace."""
        while True:
            if any(one.has_readings for one in self._readings_by_service.values()):
                self._stalls.tick(self._clock.monotonic())
                gevent.sleep(TICK_INTERVAL)
            else:
                self._stalls.pause()
                gevent.sleep(IDLE_INTERVAL)

    # Samples from attempts

    def record_event(self, times: AttemptTimes) -> None:
        """Record in an attempt's times that an event was read now."""
        now = self._clock.monotonic()
        times.record_event(now, self._stalls.delay(now))

    def record_load(self, placement: Placement, load: EngineLoad) -> None:
        """Record the load that an engine reported with a response."""
        if load.pace is None:
            # Load without a pace is ignored: such engines are treated as equal.
            return
        life = placement.engine.life
        key = engine_hash(life)
        if not self.estimator.is_listed(key):
            return
        service = placement.engine.service
        self._readings_by_service.setdefault(service, PaceReadings()).record(
            key, load.pace, load.at
        )
        self._counts.record(key, load.requests, self.count_requests(life), load.at)

    def record_bad_load(self, life: EngineLife, reported: str) -> None:
        """Log an unreadable load report, once per engine."""
        key = engine_hash(life)
        known = self.estimator.is_listed(key)
        if not known or key in self._bad_loads or len(self._bad_loads) >= MAX_BAD_LOADS_LOGGED:
            return
        self._bad_loads.add(key)
        self._events.emit(Event.ENGINE_LOAD_UNREADABLE, engine=life, told=reported)

    def record_first_event(self, placement: Placement, seconds: float) -> None:
        """Record the seconds from an attempt's start to its first event."""
        if not placement.found_slot:
            return
        pace = self.service(placement.engine.service)
        if pace.known:
            expected = pace.first_event(placement.to_read)
            self._observe(placement, PaceMetric.FIRST, seconds, expected)

    def record_end(
        self, placement: Placement, times: AttemptTimes, *, complete: bool = True
    ) -> None:
        """Record the timings of an attempt that did not fail because of its engine.

        Args:
            placement: Placement of the attempt.
            times: Times of its events.
            complete: Whether its response was complete; an attempt stopped by this node, such as a
                preempted one, still shows the pauses between its events.
        """
        pause = times.mean_pause
        if not pause:
            return
        pace = self.service(placement.engine.service)
        running = placement.running
        pace.observe_pause(running, pause)
        if times.requested_at:
            # Events of batch items are read at polling intervals, which hide single pauses.
            pace.observe_longest_pause(running, times.longest_pause)
            self._pauses_at[placement.engine.service] = self._clock.monotonic()
        usual = pace.pause(running)
        if not usual:
            return
        self._observe(placement, PaceMetric.PAUSE, pause, usual)
        if complete and pace.known and placement.found_slot:
            held = self._clock.monotonic() - times.placed_at
            expected = pace.first_event(placement.to_read) + usual * (times.events - 1)
            self._observe(placement, PaceMetric.HELD, held, expected)

    def _observe(
        self, placement: Placement, metric: PaceMetric, seconds: float, expected: float
    ) -> None:
        now = self._clock.monotonic()
        self.estimator.observe(placement.engine.life, metric, seconds, expected, now)

    # Exchange with peers

    def pack_report(self, peers: int, *, far: bool = False) -> bytes:
        """Return the pace part of the next load report.

        Args:
            peers: Number of peers that get reports, which bounds the size of the part.
            far: Whether the report goes to nodes of other zones.
        """
        now = self._clock.monotonic()
        writer = self._far if far else self._near
        return writer.next_part(
            self._reporting_engines(self.estimator.own_sample_times()),
            lambda life: self.estimator.own_samples(life, now),
            self._readings(lambda peer: not peer),
            peers,
            now,
        )

    def pack_zone_digest(self, peers: list[str], zones: int) -> bytes:
        """Return the pace part of the next zone digest.

        Args:
            peers: Nodes of this zone whose samples are included beside those of this node.
            zones: Number of zones that get digests, which bounds the size of the part.
        """
        now = self._clock.monotonic()
        names = set(peers)
        return self._zone.next_part(
            self._reporting_engines(self.estimator.sample_times()),
            lambda life: self.estimator.samples_of(life, names, now),
            self._readings(lambda peer: not peer or peer in names),
            zones,
            now,
        )

    def _reporting_engines(self, lives: Iterator[tuple[int, float]]) -> Iterator[tuple[int, float]]:
        """Select the engines of services whose engines report their pace."""
        return (one for one in lives if self.reports_pace(self.estimator.service_of(one[0])))

    def _readings(self, is_source: Callable[[str], bool]) -> Iterator[tuple[int, PaceReading]]:
        """Yield the newest reading of each engine if its source satisfies `is_source`.

        The source is a peer's id, or empty for a report of the engine to this node.
        """
        return (
            (life, one)
            for pace_readings in self._readings_by_service.values()
            for life, one in pace_readings.readings().items()
            if is_source(one.peer)
        )

    def receive(self, peer: str, data: bytes) -> None:
        """Take in the pace part of a peer's report or digest; a malformed part is logged."""
        if not data:
            return
        try:
            reported = unpack_pace_part(data, self._clock.monotonic())
        except struct.error as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=peer, error=str(exc))
            return
        for life, samples in reported.lives:
            self.estimator.receive_samples(peer, life, samples)
        for life, value, at in reported.readings:
            if service := self.estimator.service_of(life):
                self._readings_by_service.setdefault(service, PaceReadings()).record(
                    life, value, at, peer
                )

    def forget(self, peer: str) -> None:
        """Drop the samples received from a peer, which its zone's digests contain from now on."""
        self.estimator.drop_peer(peer)

    # Evaluation

    def update(self) -> None:
        """Determine which engines differ from the rest; called a few times a second."""
        now = self._clock.monotonic()
        if now - self._evaluated_at < EVALUATION_INTERVAL:
            return
        self._evaluated_at = now
        changes = [
            one
            for one in self.estimator.update(now)
            if self.reports_pace(self.estimator.service_of(engine_hash(one.life)))
        ]
        for change in changes[:MAX_CHANGES_LOGGED]:
            self._events.emit(
                Event.ENGINE_DIFFERS if change.differs else Event.ENGINE_DIFFERS_NO_MORE,
                engine=change.life,
                first=round(change.factors.first, 2),
                pause=round(change.factors.pause, 2),
                held=round(change.factors.held, 2),
                weight=round(change.weight, 1),
                age=round(change.age, 2),
                others=len(changes) - 1,
            )
