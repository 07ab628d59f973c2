"""Log lines of bounded volume to a stream whose reader may be slow; never blocks."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes that wait for a slow reader; later lines are dropped and counted."""
LINES_PER_SECOND = 100.0
"""Lines of what went well that are written for long."""
BURST_LINES = 400.0
"""Such lines that may come at once."""


class LineBudget:
    """A token bucket for lines of what went well; failures are not counted."""

    def __init__(
        self,
        now: Callable[[], float],
        rate: float = LINES_PER_SECOND,
        burst: float = BURST_LINES,
    ) -> None:
        self._now = now
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = now()
        self.rejected = 0
        """Lines that were not written for want of budget."""

    def take(self) -> bool:
        """Whether one more line may be written; a refused one is counted."""
        now = self._now()
        self._left = min(self._burst, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left < 1.0:
            self.rejected += 1
            return False
        self._left -= 1.0
        return True


class NonBlockingLineWriter:
    """Writes lines to a file descriptor, as far as it takes them."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        """Lines that the reader was too slow for."""

    def write(self, text: str) -> int:
        """Take text; what the reader does not take now waits, up to a bound."""
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(data)
            self._buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write as much of what waits as the reader takes."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]
