"""What a node tells its peers of engines' pace: a part of reports and digests, of bounded size.

A part holds some lives, with what the sender's own attempts showed of each, and some of the paces
that engines told it. What is new goes first; then those lives that were told longest ago, so that a
node that starts hears of all in a while. A share of the bytes that a node may hear bounds it, so
that more nodes tell less each.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from postvalve.core.routing.engine_load import PaceReading
from postvalve.core.routing.engine_pace import EngineSamples, PaceMetric

MAX_RECEIVE_RATE = 1_000.0
"""Bytes a second of these parts that a node hears from its zone, and the same from all others: the
planned size leaves 7 KB/s for all control of a node."""
MAX_PACE_PART_BYTES = 240
"""Of one part: a report stays within a datagram."""
MAX_READING_AGE = 0.5
"""Seconds after which a reading isn't told any more."""
MIN_DEVIATION = 0.1
"""Of the logarithm: readings that deviate less, from what the engine tells usually, are told only
after one that did."""
MIN_WEIGHT = 0.2
"""Weight of samples from which they are told."""
RESEND_INTERVAL = 5.0
"""Seconds after which a life is told again though nothing new was shown: a node that starts hears
of all in a while, and what a lost datagram held comes late."""

_LIVES = struct.Struct("!B")
"""Number of lives, which follow; readings are the rest."""
_LIFE = struct.Struct("!I3b3BB")
"""Hash, means, weights, age of the newest sample."""
_READING = struct.Struct("!IbB")
"""Hash, value, age."""
_MEAN_UNIT = 1 / 64
_WEIGHT_UNIT = 1 / 4
_LIFE_AGE_UNIT = 0.25
_VALUE_UNIT = 1 / 32
_READING_AGE_UNIT = 0.01


@dataclass(frozen=True, slots=True)
class PacePart:
    """A part, as a peer told it; times in monotonic seconds of this node."""

    lives: tuple[tuple[int, EngineSamples], ...]
    readings: tuple[tuple[int, float, float], ...]
    """Hash, pace (1.0 as usual) and time of each."""


@dataclass(slots=True)
class PacePartWriter:
    """Makes the parts for one group of peers."""

    _lives_allowance: float = 0.0
    """Bytes of lives that may be told now."""
    _readings_allowance: float = 0.0
    """Likewise of readings, so that these, which come all the time, don't keep lives untold."""
    _at: float = float("-inf")
    _told: dict[int, float] = field(default_factory=dict)
    """When each life was told last."""
    _told_readings: dict[int, PaceReading] = field(default_factory=dict)

    def next_part(
        self,
        lives: Iterable[tuple[int, float]],
        shown: Callable[[int], EngineSamples],
        readings: Iterable[tuple[int, PaceReading]],
        sources: int,
        now: float,
    ) -> bytes:
        """The next part; empty where there is nothing to tell, or it is not time for it.

        Args:
            lives: Hash of each that may be told of, and monotonic seconds of its newest sample;
                asked for only where there is room to tell of one.
            shown: Gives what a life showed.
            readings: Hash of each engine that told its pace, and what; asked for likewise.
            sources: Nodes, or zones, that each peer hears such parts from.
            now: Monotonic seconds.
        """
        elapsed = min(1.0, now - self._at)
        self._at = now
        more = elapsed * MAX_RECEIVE_RATE / max(1, sources) / 2
        self._lives_allowance = min(MAX_PACE_PART_BYTES / 2, self._lives_allowance + more)
        self._readings_allowance = min(MAX_PACE_PART_BYTES / 2, self._readings_allowance + more)
        packed_lives = self._lives(
            lives, shown, int((self._lives_allowance - _LIVES.size) / _LIFE.size), now
        )
        packed_readings = self._readings(
            readings, int(self._readings_allowance / _READING.size), now
        )
        if not packed_lives and not packed_readings:
            return b""
        self._lives_allowance -= _LIVES.size + len(packed_lives)
        self._readings_allowance -= len(packed_readings)
        return _LIVES.pack(len(packed_lives) // _LIFE.size) + packed_lives + packed_readings

    def _readings(
        self, readings: Iterable[tuple[int, PaceReading]], most: int, now: float
    ) -> bytes:
        if most <= 0:
            return b""
        due = [
            (abs(one.deviation), life, one)
            for life, one in readings
            if now - one.at <= MAX_READING_AGE and self._is_news(life, one)
        ]
        due.sort(key=lambda one: -one[0])
        chosen = due[:most]
        for _, life, one in chosen:
            self._told_readings[life] = PaceReading(one.at, one.value, one.baseline)
        return b"".join(_pack_reading(life, one, now) for _, life, one in chosen)

    def _is_news(self, life: int, reading: PaceReading) -> bool:
        told = self._told_readings.get(life)
        if told is None:
            return abs(reading.deviation) >= MIN_DEVIATION
        if told.at >= reading.at:
            return False
        return max(abs(reading.deviation), abs(told.deviation)) >= MIN_DEVIATION

    def _lives(
        self,
        lives: Iterable[tuple[int, float]],
        shown: Callable[[int], EngineSamples],
        most: int,
        now: float,
    ) -> bytes:
        if most <= 0:
            return b""
        never = float("-inf")
        newest = dict(lives)
        due = [
            (told >= at, told, life)
            for life, at in newest.items()
            if (told := self._told.get(life, never)) < at or now - told >= RESEND_INTERVAL
        ]
        chosen = [(life, shown(life)) for _, _, life in sorted(due)[:most]]
        self._told = {life: at for life, at in self._told.items() if life in newest}
        self._told_readings = {
            life: one for life, one in self._told_readings.items() if now - one.at < 1.0
        }
        for life, _ in chosen:
            self._told[life] = now
        return b"".join(
            _pack_life(life, one, now) for life, one in chosen if one.weight >= MIN_WEIGHT
        )


def _pack_life(life: int, shown: EngineSamples, now: float) -> bytes:
    means = [_signed(one.mean / _MEAN_UNIT) for one in shown.metrics]
    weights = [_unsigned(one.weight / _WEIGHT_UNIT) for one in shown.metrics]
    return _LIFE.pack(life, *means, *weights, _unsigned((now - shown.newest_at) / _LIFE_AGE_UNIT))


def _pack_reading(life: int, reading: PaceReading, now: float) -> bytes:
    age = _unsigned((now - reading.at) / _READING_AGE_UNIT)
    return _READING.pack(life, _signed(reading.value / _VALUE_UNIT), age)


def _signed(value: float) -> int:
    return round(min(127.0, max(-128.0, value)))


def _unsigned(value: float) -> int:
    return round(min(255.0, max(0.0, value)))


def unpack_pace_part(data: bytes, now: float) -> PacePart:
    """Undo `PacePartWriter.part`.

    Raises:
        struct.error: the bytes are cut.
    """
    (count,) = _LIVES.unpack_from(data)
    end = _LIVES.size + count * _LIFE.size
    if len(data) < end or (len(data) - end) % _READING.size:
        raise struct.error("part of engines' pace is cut")
    lives = tuple(_life(fields, now) for fields in _LIFE.iter_unpack(data[_LIVES.size : end]))
    readings = tuple(
        (life, math.exp(value * _VALUE_UNIT), now - age * _READING_AGE_UNIT)
        for life, value, age in _READING.iter_unpack(data[end:])
    )
    return PacePart(lives, readings)


def _life(fields: tuple[int, ...], now: float) -> tuple[int, EngineSamples]:
    life, *rest = fields
    shown = EngineSamples(now, now - rest[-1] * _LIFE_AGE_UNIT)
    for aspect in PaceMetric:
        shown.metrics[aspect].mean = rest[aspect] * _MEAN_UNIT
        shown.metrics[aspect].weight = rest[len(PaceMetric) + aspect] * _WEIGHT_UNIT
    return life, shown
