"""Clocks, injected so that tests and experiments run under virtual time.

Which time is for what: `monotonic` for how old something is and until when it holds (beliefs,
leases, deadlines), `steady` for how long another process took, `wall` for what callers see and for
what is kept in the store. Pauses are gevent's timers, which stand still in a suspension; whoever
waits looks at `monotonic` again when they fire.
"""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time. `core` gets times as arguments; only shells hold a clock."""

    def monotonic(self) -> float:
        """Seconds since an arbitrary start; never goes back, and counts suspensions."""
        ...

    def steady(self) -> float:
        """Seconds that this machine was running; stands still while it is suspended."""
        ...

    def wall(self) -> float:
        """Seconds since the Unix epoch; for deadlines that callers see."""
        ...


class SystemClock:
    """The machine's clock."""

    def monotonic(self) -> float:
        """See `Clock`."""
        # With the clock that stands still in a suspension, 5 s of one counted as 0 s.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def steady(self) -> float:
        """See `Clock`."""
        return time.monotonic()

    def wall(self) -> float:
        """See `Clock`."""
        return time.time()


def milliseconds(seconds: float) -> int:
    """Convert seconds to whole milliseconds."""
    return round(seconds * 1000)
