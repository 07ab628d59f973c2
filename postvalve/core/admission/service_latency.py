"""How fast a service's engines are, learnt from the attempts of this node.

The time to a first event is taken as a part that every request needs and a part for each prompt
token that the engine reads before it. Both, and how long a slot is held, come from what attempts
showed, with the older ones forgotten; nothing is assumed of an engine.
"""

from __future__ import annotations

from dataclasses import dataclass, field

FORGET = 0.97
"""Weight that each sample leaves to all before it."""
LEAST_SAMPLES = 4.0
"""Weight of samples from which estimates are relied on."""
LONGEST_FACTOR = 4.0
"""A sample counts for at most so many times the mean: a dark engine says nothing of the others."""
ERROR_WEIGHT = 0.05
"""Weight of a new error in the margin."""
QUEUE_WEIGHT = 0.1
"""Weight of a new sample in the time for each place of an engine's queue."""
LONGEST_QUEUE_FACTOR = 10.0
"""A place in a queue is taken to cost at most so many times what free slots would make of it."""


@dataclass(slots=True)
class _DecayedLine:
    """A straight line through samples, by least squares, the older ones counting less."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        for name, value in (("weight", 1.0), ("x", x), ("y", y), ("xx", x * x), ("xy", x * y)):
            setattr(self, name, getattr(self, name) * FORGET + value)

    @property
    def mean(self) -> float:
        return self.y / self.weight if self.weight else 0.0

    def slope(self) -> float:
        """Never negative: no engine gets faster by what it must read."""
        spread = self.xx * self.weight - self.x * self.x
        if spread <= 1e-9 * max(1.0, self.xx * self.weight):
            return 0.0
        return max(0.0, (self.xy * self.weight - self.x * self.y) / spread)

    def at(self, x: float) -> float:
        """The line at `x`."""
        slope = self.slope()
        return max(0.0, self.mean + slope * (x - self.x / self.weight)) if self.weight else 0.0


@dataclass(slots=True)
class ServiceLatency:
    """Estimates for one service; times in seconds."""

    _first: _DecayedLine = field(default_factory=_DecayedLine)
    _held: _DecayedLine = field(default_factory=_DecayedLine)
    _pause: _DecayedLine = field(default_factory=_DecayedLine)
    _longest_pause: _DecayedLine = field(default_factory=_DecayedLine)
    _error: float = 0.0
    _queue_factor: float = 1.0

    @property
    def known(self) -> bool:
        """Whether there are enough samples to decide by."""
        return min(self._first.weight, self._held.weight) >= LEAST_SAMPLES

    def observe_first_event(self, tokens: int, seconds: float) -> None:
        """Note the first event of an attempt that found a free slot.

        Args:
            tokens: Prompt tokens that the engine had to read, its own ones among them.
            seconds: From its sending to the event.
        """
        mean = self._first.mean
        if self._first.weight >= LEAST_SAMPLES:
            seconds = min(seconds, mean * LONGEST_FACTOR)
        self._first.add(tokens / 1000, seconds)

    def observe_slot_time(self, seconds: float) -> None:
        """Note how long a request held its slot."""
        self._held.add(0.0, seconds)

    def observe_pause(self, running: int, seconds: float) -> None:
        """Note the mean time between an attempt's events, while so many requests ran there."""
        self._pause.add(running, seconds)

    def observe_longest_pause(self, running: int, seconds: float) -> None:
        """Note the longest time between them likewise."""
        self._longest_pause.add(running, seconds)

    def observe_queue(self, places: int, slots: int, seconds: float) -> None:
        """Note how long an attempt waited in an engine's queue.

        Counts of other nodes are a moment old, so a queue is often longer than it was thought to
        be; what a place costs by experience has that in it.

        Args:
            places: Requests before it, and its own, as this node knew.
            slots: Of the engine.
            seconds: From its sending to the first event, without what that takes anyhow.
        """
        usual = places * self.slot_time / max(1, slots)
        if usual <= 0:
            return
        factor = min(LONGEST_QUEUE_FACTOR, max(0.0, seconds) / usual)
        self._queue_factor += QUEUE_WEIGHT * (factor - self._queue_factor)

    def queue_delay_per_place(self, slots: int) -> float:
        """Seconds for each place in the queue of an engine with so many slots."""
        return self.slot_time / max(1, slots) * max(1.0, self._queue_factor)

    def observe_error(self, expected: float, seconds: float) -> None:
        """Note what a first event took that was expected to take `expected`."""
        longest = max(expected, self._first.mean) * LONGEST_FACTOR
        error = abs(min(seconds, longest) - expected)
        self._error += ERROR_WEIGHT * (error - self._error)

    def first_event(self, tokens: int) -> float:
        """Seconds to a first event where a slot is free and so many tokens are to be read."""
        return self._first.at(tokens / 1000)

    def pause(self, running: int) -> float:
        """Seconds between events in the mean, while so many requests run; 0 where unknown."""
        return self._pause.at(running) if self._pause.weight >= LEAST_SAMPLES else 0.0

    def longest_pause(self, running: int) -> float:
        """The longest pause of a stream likewise, as streams have it on average."""
        known = self._longest_pause.weight >= LEAST_SAMPLES
        return self._longest_pause.at(running) if known else 0.0

    @property
    def slot_time(self) -> float:
        """Seconds that a request holds its slot."""
        return self._held.mean

    @property
    def margin(self) -> float:
        """Seconds by which first events miss what was expected of them, in the mean."""
        return self._error
