"""Token bucket. Kept apart from `tenant_limits` so that users of the bucket do not load
its settings when they start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """A bucket that refills at `rate` tokens per second up to `burst`."""

    rate: float
    burst: float
    tokens: float
    refilled_at: float

    def refill(self, now: float) -> None:
        """Add the tokens for the time until `now`."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.refilled_at = now

    def take(self, now: float) -> float:
        """Take one token; returns 0, or the seconds until there will be one."""
        self.refill(now)
        if self.tokens < 1.0:
            return (1.0 - self.tokens) / self.rate
        self.tokens -= 1.0
        return 0.0
