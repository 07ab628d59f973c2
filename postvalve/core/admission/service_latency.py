"""Latency estimates of a service's engines, derived from this node's attempts.

The latency of a first event is modelled as a constant part plus a part per prompt token that the
engine processes before it. Both parts, and how long a request occupies a slot, are estimated from
observed attempts with exponential decay. Nothing is assumed about an engine in advance.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DECAY = 0.97
"""Factor by which each new sample reduces the weight of all earlier ones."""
MIN_SAMPLES = 4.0
"""Total weight of samples from which on estimates are used."""
MAX_SAMPLE_FACTOR = 4.0
"""Largest multiple of the mean that a sample counts for, since one engine that does not answer says
nothing about the others."""
ERROR_WEIGHT = 0.05
"""Weight of a new error in the moving average of errors."""
QUEUE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the delay per place in an engine's queue."""
MAX_QUEUE_FACTOR = 10.0
"""Largest multiple of the nominal delay (mean slot time divided by the slots) that a place in a
queue is estimated to cost."""


@dataclass(slots=True)
class _DecayedLinearFit:
    """Least-squares line through samples with exponentially decaying weights."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        for name, value in (("weight", 1.0), ("x", x), ("y", y), ("xx", x * x), ("xy", x * y)):
            setattr(self, name, getattr(self, name) * DECAY + value)

    @property
    def mean(self) -> float:
        return self.y / self.weight if self.weight else 0.0

    def slope(self) -> float:
        """Return the slope, which is never negative: more input makes no engine faster."""
        spread = self.xx * self.weight - self.x * self.x
        if spread <= 1e-9 * max(1.0, self.xx * self.weight):
            return 0.0
        return max(0.0, (self.xy * self.weight - self.x * self.y) / spread)

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        slope = self.slope()
        return max(0.0, self.mean + slope * (x - self.x / self.weight)) if self.weight else 0.0


@dataclass(slots=True)
class ServiceLatency:
    """Latency estimates for one service; times in seconds."""

    _first_event: _DecayedLinearFit = field(default_factory=_DecayedLinearFit)
    _slot_time: _DecayedLinearFit = field(default_factory=_DecayedLinearFit)
    _pause: _DecayedLinearFit = field(default_factory=_DecayedLinearFit)
    _longest_pause: _DecayedLinearFit = field(default_factory=_DecayedLinearFit)
    _error: float = 0.0
    _queue_factor: float = 1.0

    @property
    def known(self) -> bool:
        """Whether there are enough samples to base decisions on."""
        return min(self._first_event.weight, self._slot_time.weight) >= MIN_SAMPLES

    def observe_first_event(self, tokens: int, seconds: float) -> None:
        """Record the latency of the first event of an attempt that found a free slot.

        Args:
            tokens: Prompt tokens that the engine had to process before it, including the request's
                own.
            seconds: Time from sending the request to the event.
        """
        mean = self._first_event.mean
        if self._first_event.weight >= MIN_SAMPLES:
            seconds = min(seconds, mean * MAX_SAMPLE_FACTOR)
        self._first_event.add(tokens / 1000, seconds)

    def observe_slot_time(self, seconds: float) -> None:
        """Record how long a request occupied its slot."""
        self._slot_time.add(0.0, seconds)

    def observe_pause(self, running: int, seconds: float) -> None:
        """Record the mean time between an attempt's events while `running` requests ran at the
        engine."""
        self._pause.add(running, seconds)

    def observe_longest_pause(self, running: int, seconds: float) -> None:
        """Record the longest time between an attempt's events while `running` requests ran at the
        engine."""
        self._longest_pause.add(running, seconds)

    def observe_queue(self, places: int, slots: int, seconds: float) -> None:
        """Record how long an attempt waited in an engine's queue.

        Counts of other nodes' requests arrive with a delay, so a queue is often longer than known.
        The observed delay per place includes this error.

        Args:
            places: Known requests ahead of it in the queue, plus itself.
            slots: Slots of the engine.
            seconds: Time from sending the request to its first event, minus the latency expected
                with a free slot.
        """
        nominal = places * self.slot_time / max(1, slots)
        if nominal <= 0:
            return
        factor = min(MAX_QUEUE_FACTOR, max(0.0, seconds) / nominal)
        self._queue_factor += QUEUE_WEIGHT * (factor - self._queue_factor)

    def queue_delay_per_place(self, slots: int) -> float:
        """Return the delay in seconds per place in the queue of an engine with so many slots."""
        return self.slot_time / max(1, slots) * max(1.0, self._queue_factor)

    def observe_error(self, expected: float, seconds: float) -> None:
        """Record the latency of a first event for which `expected` seconds were estimated."""
        longest = max(expected, self._first_event.mean) * MAX_SAMPLE_FACTOR
        error = abs(min(seconds, longest) - expected)
        self._error += ERROR_WEIGHT * (error - self._error)

    def first_event(self, tokens: int) -> float:
        """Return the latency of a first event when a slot is free and `tokens` prompt tokens must
        be processed."""
        return self._first_event.at(tokens / 1000)

    def pause(self, running: int) -> float:
        """Return the mean time between events while `running` requests run; 0 if unknown."""
        return self._pause.at(running) if self._pause.weight >= MIN_SAMPLES else 0.0

    def longest_pause(self, running: int) -> float:
        """Return the average of the longest pauses of streams while `running` requests run; 0 if
        unknown."""
        known = self._longest_pause.weight >= MIN_SAMPLES
        return self._longest_pause.at(running) if known else 0.0

    @property
    def slot_time(self) -> float:
        """Mean seconds for which a request occupies its slot."""
        return self._slot_time.mean

    @property
    def margin(self) -> float:
        """Mean absolute error, in seconds, of the estimated first-event latencies."""
        return self._error
