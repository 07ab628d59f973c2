"""Clocks, injected so that tests and experiments run under virtual time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time. `core` gets times as arguments; only shells hold a clock."""

    def monotonic(self) -> float:
        """Seconds since an arbitrary start; never goes back."""
        ...

    def wall(self) -> float:
        """Seconds since the Unix epoch; for deadlines that callers see."""
        ...


class SystemClock:
    """The machine's clock."""

    def monotonic(self) -> float:
        """See `Clock`."""
        return time.monotonic()

    def wall(self) -> float:
        """See `Clock`."""
        return time.time()


def milliseconds(seconds: float) -> int:
    """Convert seconds to whole milliseconds."""
    return round(seconds * 1000)
