"""Start-time fair queueing at this node: assigns start tags and exchanges clocks with peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from postvalve.core.routing.route_table import RouteTable
from postvalve.core.scheduling.fair_share import (
    MAX_COST,
    ShareClock,
    TagAssigner,
    Work,
    normalized_weights,
)
from postvalve.core.scheduling.queue_order import QueuePosition, ShareUpdate, unpack_share_update
from postvalve.core.scheduling.weights import tenant_weights

MIN_TENANTS = 2
"""Number of configured tenants from which fair queueing is enabled."""
DEFAULT_COST = 1.0
"""Cost in slot seconds of a request of a service whose slot time is not known yet. With a cost of 0
all requests would get the same tag. The account is corrected when the request ends."""
MAX_ROWS = 20
"""Number of tenants whose tags the status document lists, those furthest ahead of the clock
first."""


class FairShares:
    """Start tags and corrections of tenants.

    Fair queueing is disabled where the configuration names fewer than `MIN_TENANTS` tenants.
    """

    def __init__(self, table: Callable[[], RouteTable | None]) -> None:
        """Begin without any account; `table` returns the routes in force."""
        self._table = table
        self._last_table: RouteTable | None = None
        self._weights: dict[str, float] = {}
        self.clock = ShareClock()
        self._tags = TagAssigner(self.clock)
        """Finish tags of the tenants for which this node is the lender, or for which no lender
        assigned a tag."""
        self._pending: dict[str, float] = {}
        """Corrections by tenant, in slot seconds, that were not sent to its lender yet."""
        self.first_waiting: Callable[[], dict[int, QueuePosition]] = dict
        """Returns the first request queued here for each service, by the hash of the service."""

    @property
    def enabled(self) -> bool:
        """Whether tenants have fair shares."""
        self._refresh_weights()
        return len(self._weights) >= MIN_TENANTS

    def _refresh_weights(self) -> None:
        table = self._table()
        if table is self._last_table:
            return
        self._last_table = table
        tenants = (table.configuration.tenants if table else None) or ()
        self._weights = normalized_weights(tenant_weights(tenants))
        self._tags.retain(self._weights)
        self._pending = {
            one: lender_tag for one, lender_tag in self._pending.items() if one in self._weights
        }

    def work(self, tenant: str, cost: float) -> Work:
        """Return cost and correction to send to the lender with a tenant's next request.

        A correction is returned once, and is then no longer pending.

        Args:
            tenant: The tenant that sends the request.
            cost: Slot seconds that the request is expected to take; 0 if unknown.
        """
        if not self.enabled:
            return Work(0.0)
        pending = self._pending.pop(tenant, 0.0)
        correction = max(-MAX_COST, min(MAX_COST, pending))
        if pending != correction:
            # Lenders accept no larger correction at once; the rest goes with the next request.
            self._pending[tenant] = pending - correction
        return Work(min(MAX_COST, cost or DEFAULT_COST), correction)

    def open(self, tenant: str, work: Work, lender_tag: float) -> RequestShare | None:
        """Open the account of one request; returns None where tenants have no shares.

        Args:
            tenant: The tenant that sent it; requests without a tenant share one account.
            work: Cost and correction that were sent to the lender.
            lender_tag: The start tag that the lender assigned; 0 if none did.
        """
        if not self.enabled:
            return None
        return RequestShare(self, tenant, work.cost, lender_tag or self.assign_tag(tenant, work))

    def assign_tag(self, tenant: str, work: Work) -> float:
        """Assign the start tag of a tenant's next request."""
        self._refresh_weights()
        return self._tags.assign_tag(tenant, self._weights.get(tenant, 1.0), work)

    def record_end(self, tenant: str, correction: float) -> None:
        """Add a correction in slot seconds: what a request took beyond its estimated cost.

        It is negative if the request took less.
        """
        if tenant in self._weights or not tenant:
            self._pending[tenant] = self._pending.get(tenant, 0.0) + correction

    def reset(self) -> None:
        """Drop all finish tags, since other nodes assigned tags while this one was suspended."""
        self._tags.reset()

    def pack(self) -> bytes:
        """Encode clock and queue heads for load reports; empty where tenants have no shares."""
        if not self.enabled:
            return b""
        return ShareUpdate(self.clock.now, self.first_waiting()).pack()

    def receive(self, data: bytes) -> ShareUpdate | None:
        """Decode what a peer reported and merge its clock; returns None if it can't be decoded."""
        update = unpack_share_update(data)
        if update is not None:
            self.clock.merge(update.clock)
        return update

    def fields(self) -> dict[str, Any]:
        """Return the clock and the tags that this node assigned, for the status document."""
        last = sorted(self._tags.finish_tags().items(), key=lambda one: -one[1])[:MAX_ROWS]
        now = self.clock.now
        rows = [{"tenant": name, "ahead_s": round(at - now, 3)} for name, at in last]
        return {"enabled": self.enabled, "clock_s": round(now, 3), "tags": rows}


@dataclass(slots=True)
class RequestShare:
    """What one request costs its tenant, in slot seconds."""

    shares: FairShares
    tenant: str
    estimate: float
    """Slot seconds that were estimated for it in advance."""
    tag: float
    _elapsed: float = 0.0
    _started_at: float | None = field(default=None)

    def attempt_started(self, now: float) -> None:
        """Record that an engine gets the request."""
        self._started_at = now

    def attempt_ended(self, now: float) -> None:
        """Record that the engine is done with the request."""
        if self._started_at is not None:
            self._elapsed += now - self._started_at
            self._started_at = None

    def settle(self) -> None:
        """Correct the tenant's account: a request that was refused gets its estimated cost back."""
        self.shares.record_end(self.tenant, min(MAX_COST, self._elapsed) - self.estimate)
