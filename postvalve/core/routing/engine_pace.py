"""How much slower or faster than its service each engine is, by its life.

Each node keeps what its own attempts showed of a life: for each aspect the weight of the samples
and the mean of their logarithms, each sample a time divided by what the service's pace made
expected. Weights halve with time. Nodes tell each other their own, never what they heard, so what
all saw is the sum, however often a report comes. A life counts as different once the sum differs by
more than its error; until then, and after long silence, it is like all others.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.membership.engine_life import EngineLife

HALF_LIFE = 10.0
"""Seconds after which a sample counts half: an engine that turned well again, and gets little work
meanwhile, is like the others again within half a minute."""
PRIOR_WEIGHT = 1.0
"""Weight at which a life that nothing is known of is like the others."""
MIN_WEIGHT = 3.0
"""Weight of samples from which a life may differ."""
ENTER_ERRORS = 3.0
"""Errors of its mean by which a life must differ to be treated so."""
EXIT_ERRORS = 1.5
"""The same to stay so."""
MIN_DIFFERENCE = 0.1
"""Of the logarithm: an engine that is slower by less is worse by less than one request more is."""
INITIAL_DEVIATION = 0.5
"""Standard deviation of a sample before any was seen."""
VARIANCE_WEIGHT = 0.05
"""Weight of a new sample in the deviation."""
MAX_FACTOR = 4.0
"""Factors, and single samples, are at most this, and at least its inverse: a dark engine is for its
standing to tell, and must not need hours to be forgiven."""
MAX_WEIGHT = 60.0
"""What one node's samples may weigh: as much as a report can tell."""
NEGLIGIBLE_WEIGHT = 0.05
"""Weight below which what a peer showed is forgotten."""
MAX_EVALUATED = 64
"""Lives that one look judges; those of which something new was shown go first, then those that were
judged longest ago. Each takes some 3 us for each node that showed something of it."""

Kept = TypeVar("Kept")
_LARGEST_LOG = math.log(MAX_FACTOR)


class PaceMetric(enum.IntEnum):
    """What may differ."""

    FIRST = 0
    """Time to the first event, where a slot was free."""
    PAUSE = 1
    """Time between events."""
    HELD = 2
    """Time that a request holds its slot."""


@dataclass(slots=True)
class WeightedMean:
    """Samples of one aspect."""

    weight: float = 0.0
    mean: float = 0.0
    """Of the logarithms."""

    def add(self, weight: float, mean: float) -> None:
        """Take samples in; `weight` above 0."""
        total = self.weight + weight
        self.mean += (mean - self.mean) * weight / total
        self.weight = total


@dataclass(slots=True)
class EngineSamples:
    """Samples of one life by one node, or several."""

    at: float
    """Monotonic seconds to which the weights are decayed."""
    newest_at: float
    """Monotonic seconds of the newest sample."""
    metrics: tuple[WeightedMean, WeightedMean, WeightedMean] = field(
        default_factory=lambda: (WeightedMean(), WeightedMean(), WeightedMean())
    )

    def decay(self, now: float) -> None:
        """Let the weights fall as time does."""
        if now > self.at:
            left = 0.5 ** ((now - self.at) / HALF_LIFE)
            for one in self.metrics:
                one.weight *= left
            self.at = now

    @property
    def weight(self) -> float:
        """Of the aspect that is known best."""
        return max(one.weight for one in self.metrics)


@dataclass(frozen=True, slots=True)
class PaceFactors:
    """How many times as long as usual for its service an engine takes."""

    first: float = 1.0
    pause: float = 1.0
    held: float = 1.0

    def scaled(self, now: float) -> PaceFactors:
        """With what the engine tells to be now.

        That may be over before a request ends, so its slot is expected to be held as usual there.
        """
        return PaceFactors(self.first * now, self.pause * now, self.held)


UNIFORM = PaceFactors()


@dataclass(frozen=True, slots=True)
class PaceChange:
    """A life that begins or ceases to differ."""

    life: EngineLife
    differs: bool
    factors: PaceFactors
    weight: float
    age: float
    """Seconds since the newest sample."""


class PaceEstimator:
    """What the lives of all services showed."""

    def __init__(self) -> None:
        self._lives: dict[int, EngineLife] = {}
        self._services: dict[int, str] = {}
        self._own: dict[int, EngineSamples] = {}
        self._peers: dict[int, dict[str, EngineSamples]] = {}
        """What each peer told, by life and the peer's name."""
        self._factors: dict[int, PaceFactors] = {}
        """Of those that differ."""
        self._newest: dict[int, float] = {}
        """Monotonic seconds of the newest sample of each life, by anybody."""
        self._judged: dict[int, float] = {}
        """When each life was judged last."""
        self._variance: dict[tuple[str, PaceMetric], float] = {}
        self._differing: set[str] = set()
        """Services of which an engine differs."""

    def retain(self, services: Mapping[EngineLife, str]) -> None:
        """Take the directory's present list in: what was shown of other lives is forgotten."""
        self._lives = {engine_hash(life): life for life in services}
        self._services = {engine_hash(life): name for life, name in services.items()}
        self._own = _only(self._own, self._lives)
        self._peers = _only(self._peers, self._lives)
        self._factors = _only(self._factors, self._lives)
        self._newest = _only(self._newest, self._lives)
        self._judged = _only(self._judged, self._lives)
        self._note_services()

    def knows(self, life: int) -> bool:
        """Whether the directory lists a life of this hash."""
        return life in self._lives

    def service_of(self, life: int) -> str:
        """The service of a life; empty where it is not listed."""
        return self._services.get(life, "")

    def differs(self, service: str) -> bool:
        """Whether any engine of a service differs from the others."""
        return service in self._differing

    def factors(self, life: int) -> PaceFactors:
        """Of a life; 1 where it doesn't differ."""
        return self._factors.get(life, UNIFORM)

    def observe(
        self, life: EngineLife, aspect: PaceMetric, seconds: float, expected: float, now: float
    ) -> None:
        """Note what an attempt of this node showed.

        Args:
            life: The engine.
            aspect: What was measured.
            seconds: What it took.
            expected: What it takes at the service's engines; nothing is learnt where this, or
                the time itself, is not above 0.
            now: Monotonic seconds.
        """
        key = engine_hash(life)
        if key not in self._lives or seconds <= 0 or expected <= 0:
            return
        value = _bounded(math.log(seconds) - math.log(expected))
        self._note_spread(key, aspect, value)
        shown = self._own.get(key)
        if shown is None:
            shown = self._own[key] = EngineSamples(now, now)
        shown.decay(now)
        shown.newest_at = self._newest[key] = now
        one = shown.metrics[aspect]
        one.add(1.0, value)
        one.weight = min(MAX_WEIGHT, one.weight)

    def _note_spread(self, key: int, aspect: PaceMetric, value: float) -> None:
        """Learn how much samples of one life differ from each other."""
        known = self._own.get(key)
        if known is None or known.metrics[aspect].weight <= 0:
            return
        one = known.metrics[aspect]
        # Both the sample and the mean that it is held against err.
        square = (value - one.mean) ** 2 * one.weight / (one.weight + 1.0)
        at = (self._services[key], aspect)
        variance = self._variance.get(at, INITIAL_DEVIATION**2)
        self._variance[at] = variance + VARIANCE_WEIGHT * (square - variance)

    def error(self, service: str, aspect: PaceMetric, weight: float) -> float:
        """Standard error of the mean of samples of so much weight."""
        variance = self._variance.get((service, aspect), INITIAL_DEVIATION**2)
        return math.sqrt(variance / weight) if weight > 0 else math.inf

    # What peers tell

    def receive_samples(self, peer: str, life: int, shown: EngineSamples) -> None:
        """Take in what a peer showed of a life, in place of what it told before."""
        if life in self._lives:
            self._peers.setdefault(life, {})[peer] = shown
            self._newest[life] = max(shown.newest_at, self._newest.get(life, float("-inf")))

    def drop_peer(self, peer: str) -> None:
        """What a peer told comes by another way now; of one that is gone it fades by itself."""
        for shown in self._peers.values():
            shown.pop(peer, None)

    def own_sample_times(self) -> Iterator[tuple[int, float]]:
        """Lives that this node's attempts showed something of, and the time of the newest."""
        return ((life, shown.newest_at) for life, shown in self._own.items())

    def sample_times(self) -> Iterator[tuple[int, float]]:
        """Lives that anybody showed something of, and the time of the newest."""
        return iter(self._newest.items())

    def own_samples(self, life: int, now: float) -> EngineSamples:
        """What this node's attempts showed of a life."""
        return self._total(life, now, set())

    def samples_of(self, life: int, peers: set[str], now: float) -> EngineSamples:
        """What this node and some of its peers showed of a life, together."""
        return self._total(life, now, peers)

    def all_samples(self, life: int, now: float) -> EngineSamples:
        """What all showed of a life."""
        return self._total(life, now, None)

    def _total(self, life: int, now: float, names: set[str] | None) -> EngineSamples:
        total = EngineSamples(now, float("-inf"))
        told = self._peers.get(life, {})
        parts = [one for name, one in told.items() if names is None or name in names]
        own = self._own.get(life)
        for part in (*parts, own) if own is not None else parts:
            part.decay(now)
            total.newest_at = max(total.newest_at, part.newest_at)
            for sums, one in zip(total.metrics, part.metrics, strict=True):
                if one.weight > 0:
                    sums.add(one.weight, one.mean)
        return total

    # What follows

    def update(self, now: float) -> list[PaceChange]:
        """Work out which lives differ; returns those that begin or cease to."""
        changes = []
        for life in self._due():
            self._judged[life] = now
            self._drop_faded(life, now)
            former = self._factors.get(life, UNIFORM)
            total = self.all_samples(life, now)
            factors = self._judge(life, total, former)
            if factors == UNIFORM:
                self._factors.pop(life, None)
            else:
                self._factors[life] = factors
            if (factors == UNIFORM) is not (former == UNIFORM):
                age = max(0.0, now - total.newest_at)
                name = self._lives[life]
                changes.append(PaceChange(name, factors != UNIFORM, factors, total.weight, age))
        self._note_services()
        return changes

    def _due(self) -> list[int]:
        """Lives to judge now."""
        never = float("-inf")
        order = sorted(
            (self._judged.get(life, never) >= newest, self._judged.get(life, never), life)
            for life, newest in self._newest.items()
        )
        return [life for _, _, life in order[:MAX_EVALUATED]]

    def _drop_faded(self, life: int, now: float) -> None:
        told = self._peers.get(life, {})
        for name, shown in list(told.items()):
            shown.decay(now)
            if shown.weight < NEGLIGIBLE_WEIGHT:
                del told[name]

    def _judge(self, life: int, total: EngineSamples, former: PaceFactors) -> PaceFactors:
        before = (former.first, former.pause, former.held)
        first, pause, held = (
            self._factor(self._services[life], aspect, total.metrics[aspect], before[aspect])
            for aspect in PaceMetric
        )
        return PaceFactors(first, pause, held)

    def _factor(
        self, service: str, aspect: PaceMetric, shown: WeightedMean, before: float
    ) -> float:
        differed = before != 1.0
        if shown.weight < (PRIOR_WEIGHT if differed else MIN_WEIGHT):
            return 1.0
        errors = EXIT_ERRORS if differed else ENTER_ERRORS
        least = MIN_DIFFERENCE / 2 if differed else MIN_DIFFERENCE
        error = self.error(service, aspect, shown.weight)
        if abs(shown.mean) < max(least, errors * error):
            return 1.0
        return math.exp(_bounded(shown.mean * shown.weight / (shown.weight + PRIOR_WEIGHT)))

    def _note_services(self) -> None:
        self._differing = {self._services[life] for life in self._factors}


def _bounded(value: float) -> float:
    return min(_LARGEST_LOG, max(-_LARGEST_LOG, value))


def _only(by_life: dict[int, Kept], lives: Mapping[int, EngineLife]) -> dict[int, Kept]:
    return {life: one for life, one in by_life.items() if life in lives}
