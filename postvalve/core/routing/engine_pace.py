"""Estimates of how much slower or faster than its service each engine is.

An engine is identified by its life, one run of its process. For each engine and metric, a node
keeps the weight of the samples from its own attempts and the mean of their logarithms; a sample is
a measured time divided by the time that the service's latency estimates predict. Weights decay with
a half-life. Nodes send each other only their own samples, never those of others, so the sum over
nodes counts each sample once, however often it is reported. An engine counts as different once the
mean exceeds its standard error by a given factor. Until then, and after a long time without
samples, it is treated like all others.
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
"""Half-life of samples in seconds, so that an engine that has recovered, and gets little work
meanwhile, is treated like the others again within half a minute."""
PRIOR_WEIGHT = 1.0
"""Weight of the prior that an engine is like the others."""
MIN_WEIGHT = 3.0
"""Weight of samples from which an engine may count as different."""
ENTER_ERRORS = 3.0
"""Standard errors by which the mean must differ for an engine to become different."""
EXIT_ERRORS = 1.5
"""Standard errors by which the mean must differ for an engine to remain different."""
MIN_DIFFERENCE = 0.1
"""Smallest difference of the logarithm that counts: an engine that is slower by less costs a
request less than one more request in its queue."""
INITIAL_DEVIATION = 0.5
"""Assumed standard deviation of samples before any were seen."""
VARIANCE_WEIGHT = 0.05
"""Weight of a new sample in the moving variance."""
MAX_FACTOR = 4.0
"""Upper bound of factors and of single samples; the lower bound is its inverse. Detecting an
unreachable engine is the task of health tracking; here a single time-out must not take hours to
decay."""
MAX_WEIGHT = 60.0
"""Upper bound of the weight of one node's samples, the largest that a report can hold."""
NEGLIGIBLE_WEIGHT = 0.05
"""Weight below which a peer's samples are dropped."""
MAX_EVALUATED = 64
"""Engines evaluated per update: those with new samples first, then those evaluated longest ago.
Each takes some 3 us for every node that has samples of it."""

Kept = TypeVar("Kept")
_MAX_LOG = math.log(MAX_FACTOR)


class PaceMetric(enum.IntEnum):
    """Metric in which engines may differ."""

    FIRST = 0
    """Time to the first event, for requests that found a free slot."""
    PAUSE = 1
    """Time between events."""
    HELD = 2
    """Time for which a request occupies its slot."""


@dataclass(slots=True)
class WeightedMean:
    """Weight and mean of the samples of one metric."""

    weight: float = 0.0
    mean: float = 0.0
    """Mean of the logarithms of the samples."""

    def add(self, weight: float, mean: float) -> None:
        """Add samples of a given mean; `weight` must be above 0."""
        total = self.weight + weight
        self.mean += (mean - self.mean) * weight / total
        self.weight = total


@dataclass(slots=True)
class EngineSamples:
    """Samples of one engine from one or several nodes."""

    at: float
    """Time to which the weights have been decayed, in monotonic seconds."""
    newest_at: float
    """Time of the newest sample, in monotonic seconds."""
    metrics: tuple[WeightedMean, WeightedMean, WeightedMean] = field(
        default_factory=lambda: (WeightedMean(), WeightedMean(), WeightedMean())
    )

    def decay(self, now: float) -> None:
        """Decay the weights to the time `now`."""
        if now > self.at:
            remaining = 0.5 ** ((now - self.at) / HALF_LIFE)
            for entry in self.metrics:
                entry.weight *= remaining
            self.at = now

    @property
    def weight(self) -> float:
        """Weight of the metric with the most samples."""
        return max(entry.weight for entry in self.metrics)


@dataclass(frozen=True, slots=True)
class PaceFactors:
    """Times at an engine as multiples of the usual times of its service."""

    first: float = 1.0
    pause: float = 1.0
    held: float = 1.0

    def scaled(self, now: float) -> PaceFactors:
        """Return the factors multiplied by `now`, the pace that the engine reports at present.

        The slot time is left as it is: the present pace may have changed before a request ends.
        """
        return PaceFactors(self.first * now, self.pause * now, self.held)


UNIFORM = PaceFactors()


@dataclass(frozen=True, slots=True)
class PaceChange:
    """An engine has become different from the others, or has ceased to be."""

    life: EngineLife
    differs: bool
    factors: PaceFactors
    weight: float
    age: float
    """Seconds since the newest sample."""


class PaceEstimator:
    """Estimates the pace of the engines of all services, from samples of this node and its
    peers."""

    def __init__(self) -> None:
        self._lives: dict[int, EngineLife] = {}
        self._services: dict[int, str] = {}
        self._own_samples: dict[int, EngineSamples] = {}
        self._peer_samples: dict[int, dict[str, EngineSamples]] = {}
        """Samples received from peers, by life and the peer's name."""
        self._factors: dict[int, PaceFactors] = {}
        """Factors of the engines that differ from the others."""
        self._newest_at: dict[int, float] = {}
        """Time of the newest sample of each engine from any node, in monotonic seconds."""
        self._evaluated_at: dict[int, float] = {}
        """When each engine was last evaluated."""
        self._variance: dict[tuple[str, PaceMetric], float] = {}
        self._differing: set[str] = set()
        """Services with at least one engine that differs from the others."""

    def retain(self, services: Mapping[EngineLife, str]) -> None:
        """Set the engines that the directory lists now; samples of all other engines are
        dropped."""
        self._lives = {engine_hash(life): life for life in services}
        self._services = {engine_hash(life): name for life, name in services.items()}
        self._own_samples = _restrict(self._own_samples, self._lives)
        self._peer_samples = _restrict(self._peer_samples, self._lives)
        self._factors = _restrict(self._factors, self._lives)
        self._newest_at = _restrict(self._newest_at, self._lives)
        self._evaluated_at = _restrict(self._evaluated_at, self._lives)
        self._update_services()

    def is_listed(self, life: int) -> bool:
        """Return whether the directory lists an engine whose life has this hash."""
        return life in self._lives

    def service_of(self, life: int) -> str:
        """Return the service of an engine; empty if the directory does not list it."""
        return self._services.get(life, "")

    def differs(self, service: str) -> bool:
        """Return whether any engine of a service differs from the others."""
        return service in self._differing

    def factors(self, life: int) -> PaceFactors:
        """Return the factors of an engine; UNIFORM if it does not differ."""
        return self._factors.get(life, UNIFORM)

    def observe(
        self, life: EngineLife, metric: PaceMetric, seconds: float, expected: float, now: float
    ) -> None:
        """Add a sample from an attempt of this node.

        Args:
            life: The engine.
            metric: What was measured.
            seconds: The measured time.
            expected: The usual time at the service's engines. The sample is ignored unless both
                times are above 0.
            now: Monotonic seconds.
        """
        key = engine_hash(life)
        if key not in self._lives or seconds <= 0 or expected <= 0:
            return
        value = _clamp(math.log(seconds) - math.log(expected))
        self._update_variance(key, metric, value)
        samples = self._own_samples.get(key)
        if samples is None:
            samples = self._own_samples[key] = EngineSamples(now, now)
        samples.decay(now)
        samples.newest_at = self._newest_at[key] = now
        entry = samples.metrics[metric]
        entry.add(1.0, value)
        entry.weight = min(MAX_WEIGHT, entry.weight)

    def _update_variance(self, key: int, metric: PaceMetric, value: float) -> None:
        """Update the variance of the samples of single engines."""
        known = self._own_samples.get(key)
        if known is None or known.metrics[metric].weight <= 0:
            return
        entry = known.metrics[metric]
        # Corrects for the error of the mean, which adds to that of the sample.
        square = (value - entry.mean) ** 2 * entry.weight / (entry.weight + 1.0)
        at = (self._services[key], metric)
        variance = self._variance.get(at, INITIAL_DEVIATION**2)
        self._variance[at] = variance + VARIANCE_WEIGHT * (square - variance)

    def error(self, service: str, metric: PaceMetric, weight: float) -> float:
        """Return the standard error of the mean of samples of a given weight."""
        variance = self._variance.get((service, metric), INITIAL_DEVIATION**2)
        return math.sqrt(variance / weight) if weight > 0 else math.inf

    # Samples from peers

    def receive_samples(self, peer: str, life: int, samples: EngineSamples) -> None:
        """Replace a peer's samples of an engine by newer ones."""
        if life in self._lives:
            self._peer_samples.setdefault(life, {})[peer] = samples
            self._newest_at[life] = max(samples.newest_at, self._newest_at.get(life, float("-inf")))

    def drop_peer(self, peer: str) -> None:
        """Drop a peer's samples, because they now arrive in a zone digest. Those of a node that is
        gone need no call, they decay."""
        for samples in self._peer_samples.values():
            samples.pop(peer, None)

    def own_sample_times(self) -> Iterator[tuple[int, float]]:
        """Return the engines of which this node has samples, with the time of the newest."""
        return ((life, samples.newest_at) for life, samples in self._own_samples.items())

    def sample_times(self) -> Iterator[tuple[int, float]]:
        """Return the engines of which any node has samples, with the time of the newest."""
        return iter(self._newest_at.items())

    def own_samples(self, life: int, now: float) -> EngineSamples:
        """Return the samples from this node's attempts at an engine."""
        return self._sum(life, now, set())

    def samples_of(self, life: int, peers: set[str], now: float) -> EngineSamples:
        """Return the samples of an engine from this node and some of its peers."""
        return self._sum(life, now, peers)

    def all_samples(self, life: int, now: float) -> EngineSamples:
        """Return the samples of an engine from all nodes."""
        return self._sum(life, now, None)

    def _sum(self, life: int, now: float, names: set[str] | None) -> EngineSamples:
        total = EngineSamples(now, float("-inf"))
        by_peer = self._peer_samples.get(life, {})
        parts = [entry for name, entry in by_peer.items() if names is None or name in names]
        own = self._own_samples.get(life)
        for part in (*parts, own) if own is not None else parts:
            part.decay(now)
            total.newest_at = max(total.newest_at, part.newest_at)
            for sums, entry in zip(total.metrics, part.metrics, strict=True):
                if entry.weight > 0:
                    sums.add(entry.weight, entry.mean)
        return total

    # Evaluation

    def update(self, now: float) -> list[PaceChange]:
        """Update which engines differ from the others; return those whose status changed."""
        changes = []
        for life in self._due():
            self._evaluated_at[life] = now
            self._drop_decayed(life, now)
            previous = self._factors.get(life, UNIFORM)
            total = self.all_samples(life, now)
            factors = self._evaluate(life, total, previous)
            if factors == UNIFORM:
                self._factors.pop(life, None)
            else:
                self._factors[life] = factors
            if (factors == UNIFORM) is not (previous == UNIFORM):
                age = max(0.0, now - total.newest_at)
                name = self._lives[life]
                changes.append(PaceChange(name, factors != UNIFORM, factors, total.weight, age))
        self._update_services()
        return changes

    def _due(self) -> list[int]:
        """Return the engines to evaluate now."""
        never = float("-inf")
        order = sorted(
            (
                self._evaluated_at.get(life, never) >= newest,
                self._evaluated_at.get(life, never),
                life,
            )
            for life, newest in self._newest_at.items()
        )
        return [life for _, _, life in order[:MAX_EVALUATED]]

    def _drop_decayed(self, life: int, now: float) -> None:
        by_peer = self._peer_samples.get(life, {})
        for name, samples in list(by_peer.items()):
            samples.decay(now)
            if samples.weight < NEGLIGIBLE_WEIGHT:
                del by_peer[name]

    def _evaluate(self, life: int, total: EngineSamples, previous: PaceFactors) -> PaceFactors:
        before = (previous.first, previous.pause, previous.held)
        first, pause, held = (
            self._factor(self._services[life], metric, total.metrics[metric], before[metric])
            for metric in PaceMetric
        )
        return PaceFactors(first, pause, held)

    def _factor(
        self, service: str, metric: PaceMetric, samples: WeightedMean, before: float
    ) -> float:
        was_different = before != 1.0
        if samples.weight < (PRIOR_WEIGHT if was_different else MIN_WEIGHT):
            return 1.0
        errors = EXIT_ERRORS if was_different else ENTER_ERRORS
        threshold = MIN_DIFFERENCE / 2 if was_different else MIN_DIFFERENCE
        error = self.error(service, metric, samples.weight)
        if abs(samples.mean) < max(threshold, errors * error):
            return 1.0
        return math.exp(_clamp(samples.mean * samples.weight / (samples.weight + PRIOR_WEIGHT)))

    def _update_services(self) -> None:
        self._differing = {self._services[life] for life in self._factors}


def _clamp(value: float) -> float:
    return min(_MAX_LOG, max(-_MAX_LOG, value))


def _restrict(by_life: dict[int, Kept], lives: Mapping[int, EngineLife]) -> dict[int, Kept]:
    return {life: entry for life, entry in by_life.items() if life in lives}
