"""This node's part in the fair shares: it stamps for tenants, and tells what it knows."""

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

LEAST_TENANTS = 2
"""Tenants of the configuration from which there is something to share."""
UNKNOWN_COST = 1.0
"""Slot seconds of a request while nobody knows what one takes: without any cost all would get the
same tag. What it took corrects the account."""
ROWS_TOLD = 20
"""Tenants whose tags `status` shows, those furthest beyond their shares first."""


class FairShares:
    """Tags of this node; off where the configuration names fewer than two tenants."""

    def __init__(self, table: Callable[[], RouteTable | None]) -> None:
        """Know nothing yet; `table` gives the routes in force."""
        self._table = table
        self._seen: RouteTable | None = None
        self._weights: dict[str, float] = {}
        self.clock = ShareClock()
        self._lent = TagAssigner(self.clock)
        """Of tenants that this node lends to, or stamps for because nobody else does."""
        self._untold: dict[str, float] = {}
        """Corrections by tenant that its lender has not heard, in slot seconds."""
        self.first_waiting: Callable[[], dict[int, QueuePosition]] = dict
        """Gives the first that waits here, by the hash of its service."""

    @property
    def enabled(self) -> bool:
        """Whether tenants have shares."""
        self._look()
        return len(self._weights) >= LEAST_TENANTS

    def _look(self) -> None:
        table = self._table()
        if table is self._seen:
            return
        self._seen = table
        tenants = (table.configuration.tenants if table else None) or ()
        self._weights = normalized_weights(tenant_weights(tenants))
        self._lent.retain(self._weights)
        self._untold = {one: told for one, told in self._untold.items() if one in self._weights}

    def work(self, tenant: str, cost: float) -> Work:
        """What a tenant's next request tells its lender; corrections are told once.

        Args:
            tenant: Who sends it.
            cost: Slot seconds that it may take; 0 while nobody knows.
        """
        if not self.enabled:
            return Work(0.0)
        untold = self._untold.pop(tenant, 0.0)
        correction = max(-MAX_COST, min(MAX_COST, untold))
        if untold != correction:
            # Many ended since the last one: no lender takes more at once.
            self._untold[tenant] = untold - correction
        return Work(min(MAX_COST, cost or UNKNOWN_COST), correction)

    def open(self, tenant: str, work: Work, told: float) -> RequestShare | None:
        """Count a request in; None where there are no shares.

        Args:
            tenant: Who sends it; requests without a tenant share one account.
            work: What was told of it.
            told: The start tag that its lender gave; 0 where nobody did.
        """
        if not self.enabled:
            return None
        return RequestShare(self, tenant, work.cost, told or self.assign_tag(tenant, work))

    def assign_tag(self, tenant: str, work: Work) -> float:
        """The start tag of a request."""
        self._look()
        return self._lent.assign_tag(tenant, self._weights.get(tenant, 1.0), work)

    def record_end(self, tenant: str, correction: float) -> None:
        """A request took so many slot seconds beyond what was told; fewer where negative."""
        if tenant in self._weights or not tenant:
            self._untold[tenant] = self._untold.get(tenant, 0.0) + correction

    def reset(self) -> None:
        """This node stood still, and others stamped meanwhile."""
        self._lent.reset()

    def pack(self) -> bytes:
        """What reports tell; nothing where there are no shares."""
        if not self.enabled:
            return b""
        return ShareUpdate(self.clock.now, self.first_waiting()).pack()

    def receive(self, data: bytes) -> ShareUpdate | None:
        """Take in what a peer tells."""
        news = unpack_share_update(data)
        if news is not None:
            self.clock.merge(news.clock)
        return news

    def fields(self) -> dict[str, Any]:
        """What this node stamps by, for operators."""
        last = sorted(self._lent.finish_tags().items(), key=lambda one: -one[1])[:ROWS_TOLD]
        now = self.clock.now
        rows = [{"tenant": name, "ahead_s": round(at - now, 3)} for name, at in last]
        return {"enabled": self.enabled, "clock_s": round(now, 3), "tags": rows}


@dataclass(slots=True)
class RequestShare:
    """What one request costs its tenant."""

    shares: FairShares
    tenant: str
    estimate: float
    """Slot seconds that were told of it."""
    tag: float
    _took: float = 0.0
    _since: float | None = field(default=None)

    def attempt_started(self, now: float) -> None:
        """An engine gets it."""
        self._since = now

    def attempt_ended(self, now: float) -> None:
        """That engine has ended with it."""
        if self._since is not None:
            self._took += now - self._since
            self._since = None

    def settle(self) -> None:
        """Correct the account: whoever was refused gets back what it was told to cost."""
        self.shares.record_end(self.tenant, min(MAX_COST, self._took) - self.estimate)
