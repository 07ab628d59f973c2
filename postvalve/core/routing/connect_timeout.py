"""How long a connection to an engine may take to open while another engine could have the request.

A dark engine answers nothing, and a packet that is lost is sent again after a second. So what has
not come up within many times what is usual will not come up in time, and nothing was sent: the
request goes elsewhere at once, which never runs it twice.
"""

from __future__ import annotations

from collections import deque

TIMEOUT_MULTIPLE = 8.0
"""Of the longest time that one of the last connections took to open."""
MIN_TIMEOUT = 0.1
"""Seconds that one may take however fast others came up: a busy machine stands still for some tens
of milliseconds."""
MAX_SAMPLES = 64
"""Connections that are looked back at: the slow ones of a machine that turned slow are among them
soon, and gone soon after it."""
MIN_SAMPLES = 8
"""Connections without which nothing is known of what is usual."""


class ConnectTimeout:
    """What connections to engines took to open at this node."""

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record(self, seconds: float) -> None:
        """A connection came up after so long."""
        self._seconds.append(seconds)

    def seconds(self, most: float) -> float:
        """Seconds after which one is given up for another engine; `most` while little is known."""
        if len(self._seconds) < MIN_SAMPLES:
            return most
        return min(most, max(MIN_TIMEOUT, TIMEOUT_MULTIPLE * max(self._seconds)))
