"""What an engine tells of its load, and for how long its pace now tells anything.

The pace changes many times a second, so its age decides what it is worth. How fast readings of one
engine part is learnt from pairs of them, by the time between the two: where the later one says
nothing of the former one, neither does it say anything of what runs there by then.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

MIN_AGE = 0.05
"""Seconds of the first class of ages; each further one is twice as long."""
AGE_CLASSES = 8
"""Classes of ages; a reading that is older than all of them (6.4 s) counts nothing."""
DECAY = 0.99
"""Weight that each pair leaves to all before it."""
MIN_PAIRS = 6.0
"""Weight of pairs from which a class of ages is relied on."""
MIN_VARIANCE = 0.0025
"""Of the logarithm; below it (5 in 100) paces of one engine differ by less than is worth a look."""
BASELINE_WEIGHT = 0.1
"""Weight of a new reading in what an engine usually tells."""
MAX_PACE = 16.0
"""Readings count as at most so many times the usual time, and at least as the inverse."""
CORRECTION_TIME = 0.3
"""Seconds in which an engine's own count of its requests corrects this node's: by then all nodes
have reported what they had sent there."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Figures of one answer."""

    at: float
    """Monotonic seconds at which the answer's head was read."""
    running: int
    waiting: int
    slots: int
    pace: float | None = None
    """How long work takes there now, for 1.0 as usual; None where the engine doesn't tell."""

    @property
    def requests(self) -> int:
        """Those that it runs, and those that wait there."""
        return self.running + self.waiting


class EngineLoadError(ValueError):
    """Figures that can't be an engine's load."""


@dataclass(slots=True)
class _Pairs:
    """Pairs of readings with about the same time between the two."""

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
    """The newest pace that an engine told, and what it usually tells; both as logarithms."""

    at: float
    """Monotonic seconds at which it was read."""
    value: float
    baseline: float
    peer: str = ""
    """Who told this node; empty where the engine itself did."""

    @property
    def deviation(self) -> float:
        """By how much the engine is slower than it usually is."""
        return self.value - self.baseline


class PaceReadings:
    """Readings of one service's engines, by the hashes of their lives."""

    def __init__(self) -> None:
        self._readings: dict[int, PaceReading] = {}
        self._pairs = [_Pairs() for _ in range(AGE_CLASSES)]
        self._spread = _Pairs()
        """Deviations from what each engine usually tells."""

    @property
    def has_readings(self) -> bool:
        """Whether any engine tells its pace."""
        return bool(self._readings)

    def readings(self) -> dict[int, PaceReading]:
        """The newest of each engine; callers only read them."""
        return self._readings

    def record(self, life: int, pace: float, at: float, peer: str = "") -> bool:
        """Take a reading in, by this node or a peer; returns whether it is the newest."""
        value = math.log(min(MAX_PACE, max(1 / MAX_PACE, pace)))
        last = self._readings.get(life)
        if last is None:
            # 1.0 is what engines call usual; what this one tells for good is part of what it shows.
            self._readings[life] = PaceReading(at, value, BASELINE_WEIGHT * value, peer)
            return True
        if at <= last.at:
            return False
        group = _age_class(at - last.at)
        if group < AGE_CLASSES:
            self._pairs[group].add(value - last.value)
        self._spread.add(value - last.baseline)
        last.at, last.value, last.peer = at, value, peer
        last.baseline += BASELINE_WEIGHT * (value - last.baseline)
        return True

    def confidence(self, age: float) -> float:
        """How much of a deviation is left after so many seconds; 0 to 1.

        The autocorrelation of an engine's readings. A class of ages without pairs takes that of the
        next older one: a reading is never trusted for longer than was seen.
        """
        variance = self._spread.mean
        if self._spread.weight < MIN_PAIRS or variance < MIN_VARIANCE:
            return 0.0
        for group in range(_age_class(max(0.0, age)), AGE_CLASSES):
            if self._pairs[group].weight >= MIN_PAIRS:
                return min(1.0, max(0.0, 1.0 - self._pairs[group].mean / (2 * variance)))
        return 0.0

    def factor(self, life: int, now: float) -> float:
        """How much longer than usual for it an engine likely takes at `now`."""
        reading = self._readings.get(life)
        if reading is None:
            return 1.0
        trust = self.confidence(now - reading.at)
        return math.exp(trust * reading.deviation) if trust else 1.0

    def retain(self, lives: Container[int]) -> None:
        """Forget engines that are gone."""
        self._readings = {life: one for life, one in self._readings.items() if life in lives}


def _age_class(age: float) -> int:
    if age < MIN_AGE:
        return 0
    return int(math.log2(age / MIN_AGE)) + 1


@dataclass(slots=True)
class _Excess:
    at: float
    requests: int


class CountCorrection:
    """Requests at engines that no node reports, such as those whose sender was killed."""

    def __init__(self) -> None:
        self._excess: dict[int, _Excess] = {}

    def record(self, life: int, told: int, counted: int, now: float) -> None:
        """An engine told how many requests it has; this node counts `counted` there."""
        if told > counted:
            self._excess[life] = _Excess(now, told - counted)
        else:
            self._excess.pop(life, None)

    def requests(self, life: int, now: float) -> int:
        """Requests beyond those that this node counts there."""
        excess = self._excess.get(life)
        if excess is None or now - excess.at > CORRECTION_TIME:
            return 0
        return excess.requests

    def retain(self, lives: Container[int]) -> None:
        """Forget engines that are gone."""
        self._excess = {life: one for life, one in self._excess.items() if life in lives}
