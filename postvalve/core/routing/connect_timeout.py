"""Time-out of connection set-up to an engine, while another engine could serve the request.

An engine that is down or unreachable does not answer, and a lost SYN is retransmitted only after a
second. A connection that takes many times longer than recent ones is therefore unlikely to open in
time. Nothing has been sent on it yet, so failing over to another engine at once cannot run the
request twice.
"""

from __future__ import annotations

from collections import deque

TIMEOUT_MULTIPLE = 8.0
"""Time-out as a multiple of the longest recent set-up time."""
MIN_TIMEOUT = 0.1
"""Lower bound of the time-out, in seconds: a busy machine may be unresponsive for some tens of
milliseconds."""
MAX_SAMPLES = 64
"""Number of recent connections considered, so that the slow set-ups of a machine that becomes slow
enter the window soon, and leave it soon after it recovers."""
MIN_SAMPLES = 8
"""Number of connections below which usual set-up times count as unknown."""


class ConnectTimeout:
    """Adaptive time-out from the set-up times of this node's recent connections to engines."""

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record(self, seconds: float) -> None:
        """Record how many seconds the set-up of a connection took."""
        self._seconds.append(seconds)

    def seconds(self, maximum: float) -> float:
        """Return the time-out in seconds, at most `maximum`, which is also used while there are too
        few samples."""
        if len(self._seconds) < MIN_SAMPLES:
            return maximum
        return min(maximum, max(MIN_TIMEOUT, TIMEOUT_MULTIPLE * max(self._seconds)))
