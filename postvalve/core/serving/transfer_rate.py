"""Enforcement of a minimum rate on transfers to or from slow peers."""

from __future__ import annotations


class MinTransferRate:
    """Checks whether a transfer keeps up with a minimum rate.

    It may fall behind by a fixed time. Bytes sent early give no credit for later; otherwise a peer
    could send much at once and then trickle the rest for a long time.
    """

    def __init__(self, rate: float, allowance: float, now: float) -> None:
        """Start at `now` with a minimum rate in bytes per second and the seconds that it may fall
        behind."""
        self._rate = rate
        self._allowance = allowance
        self._allowance_left = allowance
        self._updated_at = now

    def record(self, size: int, now: float) -> None:
        """Record that `size` bytes were transferred."""
        self._allowance_left = min(self._allowance, self.seconds_left(now) + size / self._rate)
        self._updated_at = now

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the transfer is too slow if nothing more is transferred.

        At 0 or less it is too slow.
        """
        return self._allowance_left - (now - self._updated_at)
