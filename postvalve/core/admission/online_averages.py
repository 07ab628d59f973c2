"""Recent average of the online requests at each engine.

Within a burst of online requests, a slot may be free only for the moment between two of them. A
batch item started there would be preempted by the next request before it has produced anything. So
the slots available to batch items are also limited by the average online load of the last window.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW = 0.25
"""Seconds in one window: long enough for several requests of a burst to reach an engine, and short
enough for the end of a burst to be noticed soon."""
KEPT_WINDOWS = 40
"""Windows after which engines without online work are dropped, such as engines that have left."""


@dataclass(slots=True)
class _EngineWindow:
    """Online requests at one engine."""

    window: int
    """Number of the current window."""
    count: int = 0
    total: int = 0
    last: int = 0
    mean: float = 0.0
    """Average over the previous window."""

    def advance_to(self, window: int) -> None:
        """Close all windows before the given one."""
        elapsed = window - self.window
        if elapsed <= 0:
            return
        self.mean = self.total / self.count if elapsed == 1 and self.count else self.last
        self.window = window
        self.count = self.total = 0


class OnlineAverages:
    """Average online requests by engine, over the last complete window."""

    def __init__(self) -> None:
        self._engines: dict[int, _EngineWindow] = {}
        self._window = 0
        self._cleaned = 0

    def record(self, engine: int, online: int) -> None:
        """Record the new number of online requests at an engine, given by its hash."""
        known = self._engines.get(engine)
        if known is None:
            known = self._engines[engine] = _EngineWindow(self._window)
        known.advance_to(self._window)
        known.count += 1
        known.total += online
        known.last = online

    def advance(self, now: float) -> None:
        """Set the current window from monotonic time `now`. Called before each look-up of free
        slots."""
        self._window = int(now / WINDOW)
        if self._window - self._cleaned >= KEPT_WINDOWS:
            self._cleaned = self._window
            self._forget_idle()

    def average(self, engine: int) -> float:
        """Return the average of an engine; 0 if nothing is known of it."""
        known = self._engines.get(engine)
        if known is None:
            return 0.0
        known.advance_to(self._window)
        return known.mean

    def _forget_idle(self) -> None:
        for engine, known in list(self._engines.items()):
            known.advance_to(self._window)
            if not known.last and not known.mean:
                del self._engines[engine]
