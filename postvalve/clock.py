"""Clocks, which are injected so that tests and experiments can run in virtual time.

`monotonic` is for the age and validity of information (views of other nodes, leases, deadlines),
`steady` for how long another process took, and `wall` for times that callers see or that are
stored. Delays use gevent's timers, which do not advance while the machine is suspended; code that
waits therefore reads `monotonic` again when its timer fires.
"""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time. Functions of `core` get times as arguments; only the code around it has a
    clock."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start, which never decrease and include time in
        which the machine was suspended."""
        ...

    def steady(self) -> float:
        """Return the seconds since an arbitrary start, without time in which the machine was
        suspended."""
        ...

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """See `Clock`."""
        # CLOCK_MONOTONIC stands still while the machine is suspended: 5 s of suspension counted as
        # 0 s.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def steady(self) -> float:
        """See `Clock`."""
        return time.monotonic()

    def wall(self) -> float:
        """See `Clock`."""
        return time.time()


def milliseconds(seconds: float) -> int:
    """Convert seconds to milliseconds, rounded to an integer."""
    return round(seconds * 1000)
