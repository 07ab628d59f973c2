"""Start-time fair queueing (SFQ) of the requests of all tenants.

Each request gets a start tag: the virtual time at which its tenant's share reaches it. Two tags can
be compared without knowledge of either tenant's history, so no node needs counts of what others
have served. Work is measured in slot seconds divided by the tenant's weight.

The target load is tenants that together want more than the engines have, one of them many times its
usual load. Order of arrival would serve each tenant in proportion to what it sends; order of tags
serves each in proportion to its weight.

A tag only affects order. One that is lost, late or assigned twice costs one request its position. A
node that becomes a tenant's lender knows no former requests, so its tenants start at the clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

MIN_WEIGHT = 1e-3
"""Lower bound of weights as a fraction of the mean weight; below it, one request would set its
tenant back for hours."""
MAX_COST = 60.0
"""Upper bound in slot seconds of the cost of one request, or of one correction, so that an error in
a peer's message does not set a tenant back for good."""
INITIAL_TIME = 1.0
"""Virtual time of a new clock; it is above 0, since a tag of 0 means that none was sent."""
MAX_CREDIT = 0.0
"""Seconds of unused share that a tenant may keep. None: what it leaves goes to the others at once,
and a tenant that returns starts at the clock."""


def normalized_weights(weights: Mapping[str, float]) -> dict[str, float]:
    """Scale weights to a mean of 1, so that tags are slot seconds of an average tenant."""
    mean = sum(weights.values()) / max(1, len(weights))
    if mean <= 0:
        return dict.fromkeys(weights, 1.0)
    return {name: max(MIN_WEIGHT, weight / mean) for name, weight in weights.items()}


class ShareClock:
    """The largest start tag that was served in order, as far as this node knows."""

    def __init__(self) -> None:
        self.now = INITIAL_TIME

    def merge(self, other: float) -> None:
        """Merge another node's clock; repeated and older values have no effect."""
        if math.isfinite(other) and other > self.now:
            self.now = other

    def record_served(self, tag: float, first_waiting: float | None) -> None:
        """Advance the clock after a request was served while the lowest waiting tag was
        `first_waiting`.

        A request may be served out of order, because it has a higher priority or has been held for
        the longest time allowed. The clock does not pass the tags that still wait; otherwise the
        next requests of their tenants would all start at the same tag, and be served in order of
        arrival.
        """
        self.merge(tag if first_waiting is None else min(tag, first_waiting))


@dataclass(frozen=True, slots=True)
class Work:
    """Work that a request adds to its tenant's account, in slot seconds."""

    cost: float
    """Estimated work of this request."""
    correction: float = 0.0
    """Work of former requests beyond their estimates; negative if they took less."""


class TagAssigner:
    """Assigns start tags to requests of the tenants for which this node is the lender.

    It keeps the finish tag of each tenant's last request.
    """

    def __init__(self, clock: ShareClock) -> None:
        self._clock = clock
        self._finish: dict[str, float] = {}

    def assign_tag(self, tenant: str, weight: float, work: Work) -> float:
        """Return the start tag of a tenant's next request."""
        correction = max(-MAX_COST, min(MAX_COST, work.correction))
        finish = self._finish.get(tenant, self._clock.now) + correction / weight
        start = max(self._clock.now - MAX_CREDIT, finish)
        self._finish[tenant] = start + max(0.0, min(MAX_COST, work.cost)) / weight
        return start

    def finish_tags(self) -> dict[str, float]:
        """Return the finish tag of each tenant, for operators."""
        return dict(self._finish)

    def reset(self) -> None:
        """Drop all finish tags, because other nodes may have assigned tags meanwhile; tenants start
        at the clock."""
        self._finish.clear()

    def retain(self, tenants: Mapping[str, float]) -> None:
        """Drop tenants that are no longer in the configuration."""
        self._finish = {name: tag for name, tag in self._finish.items() if name in tenants}
