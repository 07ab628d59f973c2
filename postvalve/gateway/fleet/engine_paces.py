"""What this node knows of how fast engines are: learnt, told by engines, and told by peers."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

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
from postvalve.core.routing.pace_gossip import PacePartWriter, unpack_pace_part
from postvalve.events import Event, EventLog
from postvalve.gateway.fleet.placement import Placement

LOOK_INTERVAL = 1.0
"""Seconds between looks at which engines differ, at the least: a tenth of the time in which samples
fade, and at 65 nodes and 45 engines some 3 ms each."""
CHANGES_TOLD = 8
"""Engines of which one look tells by a line each that they begin or cease to differ."""
BAD_LOADS_TOLD = 1_000
"""Engines whose bad figures are told of, once each."""


@dataclass(frozen=True, slots=True)
class PaceSummary:
    """What is known of one engine's pace; ages in seconds, None where nothing is known."""

    learnt: PaceFactors
    weight: float
    """Of the samples of all nodes."""
    age: float | None = None
    """Since the newest of them."""
    reported: float | None = None
    """What the engine told last, for 1.0 as usual."""
    reported_age: float | None = None
    trust: float = 0.0
    """How much of it counts still, from 0 to 1."""


def _age(at: float, now: float) -> float | None:
    return now - at if math.isfinite(at) else None


class EnginePaces:
    """Paces of all services and engines."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self._services: dict[str, ServiceLatency] = {}
        self.learnt = PaceEstimator()
        self._signals: dict[str, PaceReadings] = {}
        self._counts = CountCorrection()
        self._near = PacePartWriter()
        """To the zone."""
        self._far = PacePartWriter()
        """To other zones' nodes that are told directly."""
        self._zone = PacePartWriter()
        """To other zones, for all nodes of this one."""
        self._bad_loads: set[int] = set()
        self._looked_at = float("-inf")
        self.count_requests: Callable[[EngineLife], int] = lambda life: 0
        """Gives the requests of all nodes at an engine, as this node counts them."""

    def service(self, service: str) -> ServiceLatency:
        """The pace of a service's engines together."""
        pace = self._services.get(service)
        if pace is None:
            pace = self._services[service] = ServiceLatency()
        return pace

    def retain(self, services: Mapping[EngineLife, str]) -> None:
        """The directory lists these engines: what was known of other lives ends with them."""
        self.learnt.retain(services)
        lives = {engine_hash(life) for life in services}
        self._counts.retain(lives)
        self._bad_loads &= lives
        for signal in self._signals.values():
            signal.retain(lives)

    def reports_pace(self, service: str) -> bool:
        """Whether engines of a service tell their pace; others are taken for alike.

        Attempts of one heap are slow together, so that equal engines often look as if they
        differed; without their own word that costs more than it brings.
        """
        signal = self._signals.get(service)
        return signal is not None and signal.has_readings

    def factors(self, service: str, life: EngineLife, now: float) -> PaceFactors:
        """How much longer than usual for its service an engine takes now."""
        key = engine_hash(life)
        factors = self.learnt.factors(key)
        signal = self._signals.get(service)
        told = signal.factor(key, now) if signal is not None else 1.0
        return factors if told == 1.0 else factors.scaled(told)

    def summary(self, service: str, life: EngineLife, now: float) -> PaceSummary:
        """What is known of an engine's pace, with its age."""
        key = engine_hash(life)
        shown = self.learnt.all_samples(key, now)
        signal = self._signals.get(service)
        reading = signal.readings().get(key) if signal is not None else None
        if signal is None or reading is None:
            return PaceSummary(self.learnt.factors(key), shown.weight, _age(shown.newest_at, now))
        told_age = now - reading.at
        return PaceSummary(
            self.learnt.factors(key),
            shown.weight,
            _age(shown.newest_at, now),
            math.exp(reading.value),
            told_age,
            signal.confidence(told_age),
        )

    def uncounted_requests(self, life: EngineLife, now: float) -> int:
        """Requests at an engine that no node reports, as it told itself."""
        return self._counts.requests(engine_hash(life), now)

    # What attempts show

    def record_load(self, placement: Placement, load: EngineLoad) -> None:
        """An engine told its load with an answer."""
        if load.pace is None:
            # Engines that tell no pace are taken as they always were.
            return
        life = placement.engine.life
        key = engine_hash(life)
        if not self.learnt.knows(key):
            return
        service = placement.engine.service
        self._signals.setdefault(service, PaceReadings()).record(key, load.pace, load.at)
        self._counts.record(key, load.requests, self.count_requests(life), load.at)

    def record_bad_load(self, life: EngineLife, told: str) -> None:
        """An engine's figures can't be read: it is named once."""
        key = engine_hash(life)
        known = self.learnt.knows(key)
        if not known or key in self._bad_loads or len(self._bad_loads) >= BAD_LOADS_TOLD:
            return
        self._bad_loads.add(key)
        self._events.emit(Event.ENGINE_LOAD_UNREADABLE, engine=life, told=told)

    def record_first_event(self, placement: Placement, seconds: float) -> None:
        """An attempt's first event came after so many seconds."""
        if not placement.found_slot:
            return
        pace = self.service(placement.engine.service)
        if pace.known:
            expected = pace.first_event(placement.to_read)
            self._observe(placement, PaceMetric.FIRST, seconds, expected)

    def record_end(self, placement: Placement, times: AttemptTimes, *, whole: bool = True) -> None:
        """An attempt ended by no fault of its engine.

        Args:
            placement: Where.
            times: Of its events.
            whole: Whether it got its last event; one that was ended by this system still shows
                how fast its events came.
        """
        pause = times.mean_pause
        if not pause:
            return
        pace = self.service(placement.engine.service)
        running = placement.running
        pace.observe_pause(running, pause)
        if times.requested_at:
            # Items are read in the intervals of a poll, which show no single pause.
            pace.observe_longest_pause(running, times.longest_pause)
        usual = pace.pause(running)
        if not usual:
            return
        self._observe(placement, PaceMetric.PAUSE, pause, usual)
        if whole and pace.known and placement.found_slot:
            held = self._clock.monotonic() - times.placed_at
            expected = pace.first_event(placement.to_read) + usual * (times.events - 1)
            self._observe(placement, PaceMetric.HELD, held, expected)

    def _observe(
        self, placement: Placement, aspect: PaceMetric, seconds: float, expected: float
    ) -> None:
        now = self._clock.monotonic()
        self.learnt.observe(placement.engine.life, aspect, seconds, expected, now)

    # What peers tell

    def pack_report(self, peers: int, *, far: bool = False) -> bytes:
        """The part of a report where so many peers are told, for all of the zone or all beyond."""
        now = self._clock.monotonic()
        teller = self._far if far else self._near
        return teller.next_part(
            self._worth_telling(self.learnt.own_sample_times()),
            lambda life: self.learnt.own_samples(life, now),
            self._readings(lambda peer: not peer),
            peers,
            now,
        )

    def pack_zone_digest(self, peers: list[str], zones: int) -> bytes:
        """The part of a digest of this node and these peers, to so many zones."""
        now = self._clock.monotonic()
        names = set(peers)
        return self._zone.next_part(
            self._worth_telling(self.learnt.sample_times()),
            lambda life: self.learnt.samples_of(life, names, now),
            self._readings(lambda peer: not peer or peer in names),
            zones,
            now,
        )

    def _worth_telling(self, lives: Iterator[tuple[int, float]]) -> Iterator[tuple[int, float]]:
        """Lives of services whose engines tell their pace."""
        return (one for one in lives if self.reports_pace(self.learnt.service_of(one[0])))

    def _readings(self, heard_from: Callable[[str], bool]) -> Iterator[tuple[int, PaceReading]]:
        """The newest reading of each engine that came from some peers, or from the engine."""
        return (
            (life, one)
            for signal in self._signals.values()
            for life, one in signal.readings().items()
            if heard_from(one.peer)
        )

    def receive(self, peer: str, data: bytes) -> None:
        """Take in what a peer tells; a part that is cut is left out."""
        if not data:
            return
        try:
            told = unpack_pace_part(data, self._clock.monotonic())
        except struct.error as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=peer, error=str(exc))
            return
        for life, shown in told.lives:
            self.learnt.receive_samples(peer, life, shown)
        for life, value, at in told.readings:
            if service := self.learnt.service_of(life):
                self._signals.setdefault(service, PaceReadings()).record(life, value, at, peer)

    def forget(self, peer: str) -> None:
        """What a peer told comes by another way now."""
        self.learnt.drop_peer(peer)

    # What follows

    def update(self) -> None:
        """Work out which engines differ; called a few times a second."""
        now = self._clock.monotonic()
        if now - self._looked_at < LOOK_INTERVAL:
            return
        self._looked_at = now
        changes = [
            one
            for one in self.learnt.update(now)
            if self.reports_pace(self.learnt.service_of(engine_hash(one.life)))
        ]
        for change in changes[:CHANGES_TOLD]:
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
