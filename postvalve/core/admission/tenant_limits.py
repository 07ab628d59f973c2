"""Tenant limits enforced by each node alone: a token bucket and a concurrency limit per rule."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.core.admission.token_bucket import TokenBucket
from postvalve.exceptions import RateLimitedError
from postvalve.settings.fleet import LimitSpec

CONCURRENCY_RETRY_AFTER = 1.0
"""Retry time in seconds told to a tenant that has too many requests in progress."""


@dataclass(frozen=True, slots=True)
class LimitKey:
    """One tenant under one limit rule."""

    tenant: str
    rule: str


class TenantLimiter:
    """Counts requests at this node. Rates are divided by the number of live nodes."""

    def __init__(self) -> None:
        self._buckets: dict[LimitKey, TokenBucket] = {}
        self._in_progress: dict[LimitKey, int] = {}

    def enter(self, tenant: str, limit: LimitSpec, live_nodes: int, now: float) -> LimitKey:
        """Count a request that starts.

        Returns:
            The key to pass to `leave`.

        Raises:
            RateLimitedError: The request exceeds a limit and was not counted.
        """
        key = LimitKey(tenant, limit.name)
        if self._in_progress.get(key, 0) >= limit.concurrency:
            raise RateLimitedError(
                f"{limit.concurrency} requests are in progress under the limit {limit.name}",
                retry_after=CONCURRENCY_RETRY_AFTER,
            )
        wait = self._bucket(key, limit, live_nodes, now).take(now)
        if wait > 0:
            raise RateLimitedError(f"over the rate of the limit {limit.name}", retry_after=wait)
        self._in_progress[key] = self._in_progress.get(key, 0) + 1
        return key

    def leave(self, key: LimitKey) -> None:
        """Remove a request that ended."""
        remaining = self._in_progress[key] - 1
        if remaining:
            self._in_progress[key] = remaining
        else:
            del self._in_progress[key]

    def _bucket(self, key: LimitKey, limit: LimitSpec, live_nodes: int, now: float) -> TokenBucket:
        rate = limit.requests_per_second / max(1, live_nodes)
        # With a capacity below one request, the bucket would refuse everything.
        burst = max(1.0, limit.burst / max(1, live_nodes))
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(rate, burst, burst, now)
        bucket.rate = rate
        bucket.burst = burst
        return bucket
