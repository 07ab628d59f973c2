"""How much online work each engine has had a moment ago.

In a heap of online work a slot is free for the moment between two requests. A batch item that
starts there is cut when the next one comes, before it has given anything. So room for items is
counted by the mean of the last moment, too.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW = 0.25
"""Seconds of one mean: several requests come to an engine in a heap, and a lull is soon noticed."""
KEPT_WINDOWS = 40
"""Windows after which engines without online work are forgotten: those that left are among them."""


@dataclass(slots=True)
class _Engine:
    """Online requests of one engine."""

    window: int
    """The window that is being counted."""
    count: int = 0
    total: int = 0
    last: int = 0
    mean: float = 0.0
    """Of the window before."""

    def catch_up(self, window: int) -> None:
        """End the windows before this one."""
        over = window - self.window
        if over <= 0:
            return
        self.mean = self.total / self.count if over == 1 and self.count else self.last
        self.window = window
        self.count = self.total = 0


class OnlineAverages:
    """Means of online requests by engine, over the last window that is over."""

    def __init__(self) -> None:
        self._engines: dict[int, _Engine] = {}
        self._window = 0
        self._cleaned = 0

    def note(self, engine: int, online: int) -> None:
        """The number of online requests at an engine, by its hash, has become this."""
        known = self._engines.get(engine)
        if known is None:
            known = self._engines[engine] = _Engine(self._window)
        known.catch_up(self._window)
        known.count += 1
        known.total += online
        known.last = online

    def advance(self, now: float) -> None:
        """It is `now`, in monotonic seconds; told at each look for room."""
        self._window = int(now / WINDOW)
        if self._window - self._cleaned >= KEPT_WINDOWS:
            self._cleaned = self._window
            self._forget_idle()

    def average(self, engine: int) -> float:
        """The mean of an engine; 0 where nothing is known of it."""
        known = self._engines.get(engine)
        if known is None:
            return 0.0
        known.catch_up(self._window)
        return known.mean

    def _forget_idle(self) -> None:
        for engine, known in list(self._engines.items()):
            known.catch_up(self._window)
            if not known.last and not known.mean:
                del self._engines[engine]
