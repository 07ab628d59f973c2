"""Part of load reports and zone digests in which nodes exchange engine pace, of bounded size.

A part holds the sender's own samples of some engines, and some of the readings that engines
reported to it. New information goes first, then the samples that were sent longest ago, so that a
node that starts receives all of them in time. The byte rate that a node may receive is divided
among the senders, so with more nodes each sends less.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from postvalve.core.routing.engine_load import PaceReading
from postvalve.core.routing.engine_pace import EngineSamples, PaceMetric

MAX_RECEIVE_RATE = 1_000.0
"""Bytes per second of these parts that a node receives from its zone, and as many again from all
other zones; the planned size leaves 7 KB/s for all control traffic of a node."""
MAX_PACE_PART_BYTES = 240
"""Size limit of one part in bytes, so that a report fits into a datagram."""
MAX_READING_AGE = 0.5
"""Age in seconds from which a reading is no longer sent."""
MIN_DEVIATION = 0.1
"""Deviation of the logarithm from the engine's average below which a reading is sent only if the
one sent before deviated."""
MIN_WEIGHT = 0.2
"""Weight of samples below which they are not sent."""
RESEND_INTERVAL = 5.0
"""Seconds after which samples are sent again although nothing is new, for nodes that have started
since, and in case a datagram was lost."""

_LIVES = struct.Struct("!B")
"""Number of samples records; readings fill the rest."""
_LIFE = struct.Struct("!I3b3BB")
"""Hash of the engine's life, means, weights, age of the newest sample."""
_READING = struct.Struct("!IbB")
"""Hash of the engine's life, value, age."""
_MEAN_UNIT = 1 / 64
_WEIGHT_UNIT = 1 / 4
_LIFE_AGE_UNIT = 0.25
_VALUE_UNIT = 1 / 32
_READING_AGE_UNIT = 0.01


@dataclass(frozen=True, slots=True)
class PacePart:
    """A decoded part of a peer's report; times are monotonic seconds of this node."""

    lives: tuple[tuple[int, EngineSamples], ...]
    readings: tuple[tuple[int, float, float], ...]
    """Hash of the engine's life, pace (1.0 is usual) and time of each reading."""


@dataclass(slots=True)
class PacePartWriter:
    """Encodes the parts that go to one group of peers."""

    _lives_allowance: float = 0.0
    """Bytes of samples that may be sent now."""
    _readings_allowance: float = 0.0
    """Bytes of readings that may be sent now. The allowances are separate, because readings arrive
    all the time and would leave no space for samples."""
    _updated_at: float = float("-inf")
    _sent_at: dict[int, float] = field(default_factory=dict)
    """When the samples of each engine were last sent."""
    _sent_readings: dict[int, PaceReading] = field(default_factory=dict)

    def next_part(
        self,
        lives: Iterable[tuple[int, float]],
        samples: Callable[[int], EngineSamples],
        readings: Iterable[tuple[int, PaceReading]],
        sources: int,
        now: float,
    ) -> bytes:
        """Return the next part; empty if there is nothing to send, or the byte rate is used up.

        Args:
            lives: Hash of each engine of which there are samples, with the time of the newest;
                consumed only if a part has space for one.
            samples: Returns the samples of an engine.
            readings: Hash of each engine that reported its pace, with the latest reading; consumed
                only if a part has space for one.
            sources: Number of nodes, or zones, from which each peer receives such parts.
            now: Monotonic seconds.
        """
        elapsed = min(1.0, now - self._updated_at)
        self._updated_at = now
        added = elapsed * MAX_RECEIVE_RATE / max(1, sources) / 2
        self._lives_allowance = min(MAX_PACE_PART_BYTES / 2, self._lives_allowance + added)
        self._readings_allowance = min(MAX_PACE_PART_BYTES / 2, self._readings_allowance + added)
        packed_lives = self._pack_lives(
            lives, samples, int((self._lives_allowance - _LIVES.size) / _LIFE.size), now
        )
        packed_readings = self._pack_readings(
            readings, int(self._readings_allowance / _READING.size), now
        )
        if not packed_lives and not packed_readings:
            return b""
        self._lives_allowance -= _LIVES.size + len(packed_lives)
        self._readings_allowance -= len(packed_readings)
        return _LIVES.pack(len(packed_lives) // _LIFE.size) + packed_lives + packed_readings

    def _pack_readings(
        self, readings: Iterable[tuple[int, PaceReading]], maximum: int, now: float
    ) -> bytes:
        if maximum <= 0:
            return b""
        due = [
            (abs(entry.deviation), life, entry)
            for life, entry in readings
            if now - entry.at <= MAX_READING_AGE and self._is_new(life, entry)
        ]
        due.sort(key=lambda entry: -entry[0])
        chosen = due[:maximum]
        for _, life, entry in chosen:
            self._sent_readings[life] = PaceReading(entry.at, entry.value, entry.baseline)
        return b"".join(_pack_reading(life, entry, now) for _, life, entry in chosen)

    def _is_new(self, life: int, reading: PaceReading) -> bool:
        sent = self._sent_readings.get(life)
        if sent is None:
            return abs(reading.deviation) >= MIN_DEVIATION
        if sent.at >= reading.at:
            return False
        return max(abs(reading.deviation), abs(sent.deviation)) >= MIN_DEVIATION

    def _pack_lives(
        self,
        lives: Iterable[tuple[int, float]],
        samples: Callable[[int], EngineSamples],
        maximum: int,
        now: float,
    ) -> bytes:
        if maximum <= 0:
            return b""
        never = float("-inf")
        newest = dict(lives)
        due = [
            (sent >= at, sent, life)
            for life, at in newest.items()
            if (sent := self._sent_at.get(life, never)) < at or now - sent >= RESEND_INTERVAL
        ]
        chosen = [(life, samples(life)) for _, _, life in sorted(due)[:maximum]]
        self._sent_at = {life: at for life, at in self._sent_at.items() if life in newest}
        self._sent_readings = {
            life: entry for life, entry in self._sent_readings.items() if now - entry.at < 1.0
        }
        for life, _ in chosen:
            self._sent_at[life] = now
        return b"".join(
            _pack_life(life, entry, now) for life, entry in chosen if entry.weight >= MIN_WEIGHT
        )


def _pack_life(life: int, samples: EngineSamples, now: float) -> bytes:
    means = [_signed(entry.mean / _MEAN_UNIT) for entry in samples.metrics]
    weights = [_unsigned(entry.weight / _WEIGHT_UNIT) for entry in samples.metrics]
    return _LIFE.pack(life, *means, *weights, _unsigned((now - samples.newest_at) / _LIFE_AGE_UNIT))


def _pack_reading(life: int, reading: PaceReading, now: float) -> bytes:
    age = _unsigned((now - reading.at) / _READING_AGE_UNIT)
    return _READING.pack(life, _signed(reading.value / _VALUE_UNIT), age)


def _signed(value: float) -> int:
    return round(min(127.0, max(-128.0, value)))


def _unsigned(value: float) -> int:
    return round(min(255.0, max(0.0, value)))


def unpack_pace_part(data: bytes, now: float) -> PacePart:
    """Decode the bytes from `PacePartWriter.next_part`.

    Raises:
        struct.error: the bytes are truncated.
    """
    (count,) = _LIVES.unpack_from(data)
    end = _LIVES.size + count * _LIFE.size
    if len(data) < end or (len(data) - end) % _READING.size:
        raise struct.error("engine pace part is truncated")
    lives = tuple(
        _unpack_life(fields, now) for fields in _LIFE.iter_unpack(data[_LIVES.size : end])
    )
    readings = tuple(
        (life, math.exp(value * _VALUE_UNIT), now - age * _READING_AGE_UNIT)
        for life, value, age in _READING.iter_unpack(data[end:])
    )
    return PacePart(lives, readings)


def _unpack_life(fields: tuple[int, ...], now: float) -> tuple[int, EngineSamples]:
    life, *rest = fields
    samples = EngineSamples(now, now - rest[-1] * _LIFE_AGE_UNIT)
    for aspect in PaceMetric:
        samples.metrics[aspect].mean = rest[aspect] * _MEAN_UNIT
        samples.metrics[aspect].weight = rest[len(PaceMetric) + aspect] * _WEIGHT_UNIT
    return life, samples
