"""Load and pace as reported by engines, and how long a reported pace remains valid.

Pace is the time that work takes at an engine, relative to usual (1.0). It changes many times a
second, so a reading's weight depends on its age. How fast the readings of an engine decorrelate is
learnt from pairs of them, grouped by the time between the two: if the later reading of such pairs
is independent of the earlier one, a reading of that age does not predict the engine's present pace.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

MIN_AGE = 0.05
"""Seconds of the first age class; each further class is twice as long."""
AGE_CLASSES = 8
"""Number of age classes; a reading older than all of them (6.4 s) has no weight."""
DECAY = 0.99
"""Factor by which the weight of older pairs falls with each new pair."""
MIN_PAIRS = 6.0
"""Weight of pairs from which an age class is used."""
MIN_VARIANCE = 0.0025
"""Variance of the logarithm of pace below which readings are ignored: an engine's pace then varies
by less than 5%."""
BASELINE_WEIGHT = 0.1
"""Weight of a new reading in the moving average of an engine's readings."""
MAX_PACE = 16.0
"""Upper bound of readings; the lower bound is its inverse."""
CORRECTION_TIME = 0.3
"""Seconds for which an engine's own count of its requests corrects this node's count; by then all
nodes have reported what they sent there."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load figures from one answer of an engine."""

    at: float
    """When the head of the answer was read, in monotonic seconds."""
    running: int
    waiting: int
    slots: int
    pace: float | None = None
    """Time that work takes at the engine now, relative to usual (1.0); None if the engine does not
    report it."""

    @property
    def requests(self) -> int:
        """Running and queued requests together."""
        return self.running + self.waiting


class EngineLoadError(ValueError):
    """An engine reported load figures that are malformed or out of range."""


@dataclass(slots=True)
class _MeanSquare:
    """Decaying mean of squared differences between readings."""

    weight: float = 0.0
    squares: float = 0.0

    def add(self, difference: float) -> None:
        self.weight = self.weight * DECAY + 1.0
        self.squares = self.squares * DECAY + difference * difference

    @property
    def mean(self) -> float:
        return self.squares / self.weight if self.weight else 0.0


@dataclass(slots=True)
class PaceReading:
    """The latest pace reported for an engine, and the average of its readings; both as
    logarithms."""

    at: float
    """When it was read, in monotonic seconds."""
    value: float
    baseline: float
    peer: str = ""
    """The peer that passed the reading on; empty if the engine itself reported it to this node."""

    @property
    def deviation(self) -> float:
        """Logarithm of how much slower the engine is now than its own average."""
        return self.value - self.baseline


class PaceReadings:
    """Pace readings of one service's engines, by the hash of the engine's life."""

    def __init__(self) -> None:
        self._readings: dict[int, PaceReading] = {}
        self._differences = [_MeanSquare() for _ in range(AGE_CLASSES)]
        self._deviations = _MeanSquare()
        """Squared deviations of readings from each engine's average."""

    @property
    def has_readings(self) -> bool:
        """Whether any engine has reported its pace."""
        return bool(self._readings)

    def readings(self) -> dict[int, PaceReading]:
        """Return the latest reading of each engine; callers must not modify the mapping."""
        return self._readings

    def record(self, life: int, pace: float, at: float, peer: str = "") -> bool:
        """Record a reading from an engine or a peer; return whether it is the latest of its
        engine."""
        value = math.log(min(MAX_PACE, max(1 / MAX_PACE, pace)))
        last = self._readings.get(life)
        if last is None:
            # Engines call 1.0 usual, so the average starts there. A lasting deviation is also part
            # of the samples of the engine's attempts and must not count twice.
            self._readings[life] = PaceReading(at, value, BASELINE_WEIGHT * value, peer)
            return True
        if at <= last.at:
            return False
        age_class = _age_class(at - last.at)
        if age_class < AGE_CLASSES:
            self._differences[age_class].add(value - last.value)
        self._deviations.add(value - last.baseline)
        last.at, last.value, last.peer = at, value, peer
        last.baseline += BASELINE_WEIGHT * (value - last.baseline)
        return True

    def confidence(self, age: float) -> float:
        """Return the fraction of a deviation that remains after `age` seconds, from 0 to 1.

        This is the autocorrelation of readings. An age class with too few pairs uses the next older
        class that has enough, so a reading is never used for longer than the data support.
        """
        variance = self._deviations.mean
        if self._deviations.weight < MIN_PAIRS or variance < MIN_VARIANCE:
            return 0.0
        for age_class in range(_age_class(max(0.0, age)), AGE_CLASSES):
            if self._differences[age_class].weight >= MIN_PAIRS:
                return min(1.0, max(0.0, 1.0 - self._differences[age_class].mean / (2 * variance)))
        return 0.0

    def factor(self, life: int, now: float) -> float:
        """Return how much longer than its own average an engine probably takes at `now`."""
        reading = self._readings.get(life)
        if reading is None:
            return 1.0
        confidence = self.confidence(now - reading.at)
        return math.exp(confidence * reading.deviation) if confidence else 1.0

    def retain(self, lives: Container[int]) -> None:
        """Drop the readings of engines that are not in `lives`."""
        self._readings = {life: entry for life, entry in self._readings.items() if life in lives}


def _age_class(age: float) -> int:
    if age < MIN_AGE:
        return 0
    return int(math.log2(age / MIN_AGE)) + 1


@dataclass(slots=True)
class _Excess:
    at: float
    requests: int


class CountCorrection:
    """Requests at engines that no node reports, such as those of a node that was killed."""

    def __init__(self) -> None:
        self._excess: dict[int, _Excess] = {}

    def record(self, life: int, reported: int, counted: int, now: float) -> None:
        """Record the number of requests that an engine reported, and the number that this node
        counts there."""
        if reported > counted:
            self._excess[life] = _Excess(now, reported - counted)
        else:
            self._excess.pop(life, None)

    def requests(self, life: int, now: float) -> int:
        """Return the number of requests at the engine beyond those that this node counts there."""
        excess = self._excess.get(life)
        if excess is None or now - excess.at > CORRECTION_TIME:
            return 0
        return excess.requests

    def retain(self, lives: Container[int]) -> None:
        """Drop the corrections of engines that are not in `lives`."""
        self._excess = {life: entry for life, entry in self._excess.items() if life in lives}
