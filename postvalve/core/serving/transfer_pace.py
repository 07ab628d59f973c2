"""How slowly somebody may send, or take, what must come in time; who lags."""

from __future__ import annotations


class TransferPace:
    """Whether a transfer keeps up with the slowest pace allowed.

    It may fall behind by a stated time, and what went early is no credit for later: else somebody
    could send much at once and trickle the rest for long.
    """

    def __init__(self, rate: float, allowance: float, now: float) -> None:
        """Bytes a second, seconds that it may fall behind, and the time at which it begins."""
        self._rate = rate
        self._allowance = allowance
        self._left = allowance
        self._told_at = now

    def went(self, size: int, now: float) -> None:
        """So many bytes went over."""
        self._left = min(self._allowance, self.left(now) + size / self._rate)
        self._told_at = now

    def left(self, now: float) -> float:
        """Seconds until it is too slow if nothing goes over; 0 or less: it is."""
        return self._left - (now - self._told_at)


class Lag:
    """How long somebody was waited for, all waits together.

    Only waits count: what comes late because the node itself is busy is there when it looks.
    """

    def __init__(self, allowance: float) -> None:
        """Seconds for which whoever keeps up may be waited for."""
        self._left = allowance
        self._waits_since: float | None = None

    def wait(self, now: float) -> None:
        """A wait begins."""
        self._waits_since = now

    def came(self, now: float) -> None:
        """What was waited for is there."""
        self._left = self.left(now)
        self._waits_since = None

    def left(self, now: float) -> float:
        """Seconds of waiting until somebody lags; 0 or less: somebody does."""
        waited = 0.0 if self._waits_since is None else now - self._waits_since
        return self._left - waited
