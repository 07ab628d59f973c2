"""Non-blocking, rate-limited log output to a stream whose reader may be slow."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable

MAX_BUFFERED_BYTES = 256 * 1024
"""Maximum number of bytes buffered for a slow reader; lines beyond it are dropped and counted."""
LINES_PER_SECOND = 100.0
"""Sustained rate of log lines of levels debug and info."""
BURST_LINES = 400.0
"""Maximum burst of such lines."""


class LineBudget:
    """Token bucket for log lines of levels debug and info; warnings and errors take no tokens."""

    def __init__(
        self,
        now: Callable[[], float],
        rate: float = LINES_PER_SECOND,
        burst: float = BURST_LINES,
    ) -> None:
        self._now = now
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now()
        self.rejected = 0
        """Number of lines that were not written because the bucket was empty."""

    def take(self) -> bool:
        """Take a token for a line and return whether there was one; count the line if not."""
        now = self._now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.rejected += 1
            return False
        self._tokens -= 1.0
        return True


class NonBlockingLineWriter:
    """Writes lines to a file descriptor without blocking, and buffers what the reader has not yet
    accepted."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        """Number of lines dropped because the buffer was full."""

    def write(self, text: str) -> int:
        """Add text to the buffer, or drop it if the buffer is full."""
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(data)
            self._buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]
