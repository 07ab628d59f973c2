"""How slowly somebody may send, or take, what must come in time."""

from __future__ import annotations


class MinTransferRate:
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

    def record(self, size: int, now: float) -> None:
        """So many bytes went over."""
        self._left = min(self._allowance, self.seconds_left(now) + size / self._rate)
        self._told_at = now

    def seconds_left(self, now: float) -> float:
        """Seconds until it is too slow if nothing goes over; 0 or less: it is."""
        return self._left - (now - self._told_at)
