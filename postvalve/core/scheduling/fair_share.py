"""Start-time fair queueing: where a request stands among those of all tenants.

Each request gets a start tag: the virtual time at which its tenant's share reaches it. Whoever
compares two tags knows who goes first without knowing either tenant's history, so no node needs a
count of what others served. Work is counted in slot seconds divided by the tenant's weight.

The load it answers: tenants that together want more than the engines have, one of them many times
its usual. Arrival order serves each by what it sends; tags serve each by its weight.

A tag is a hint of order and nothing else. One that is lost, late or given twice costs one request
its place; a lender that begins anew knows no former requests, so its tenants stand at the clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

MIN_WEIGHT = 1e-3
"""Share of the mean weight that a tenant counts for at the least: below it one request would
put its tenant behind for hours."""
MAX_COST = 60.0
"""Slot seconds that one request, or one correction, counts for at the most: what a peer tells in
error must not put a tenant behind for good."""
INITIAL_TIME = 1.0
"""Of a clock that knows nothing: a tag of 0 says that none was told."""
MAX_CREDIT = 0.0
"""Seconds of its share that a tenant keeps for later. None: what it leaves is the others' at once,
and one that comes back begins at the clock."""


def normalized_weights(weights: Mapping[str, float]) -> dict[str, float]:
    """Weights with a mean of 1, so that tags are slot seconds of an average tenant."""
    mean = sum(weights.values()) / max(1, len(weights))
    if mean <= 0:
        return dict.fromkeys(weights, 1.0)
    return {name: max(MIN_WEIGHT, weight / mean) for name, weight in weights.items()}


class ShareClock:
    """The largest start tag that was served in turn, as far as this node has seen."""

    def __init__(self) -> None:
        self.now = INITIAL_TIME

    def merge(self, told: float) -> None:
        """Take in what another node tells; doubles and old ones change nothing."""
        if math.isfinite(told) and told > self.now:
            self.now = told

    def record_served(self, tag: float, first_waiting: float | None) -> None:
        """A request was served while the lowest tag that waits was `first_waiting`.

        A request may be served before its turn: it is more urgent, or it was held for as long as
        it may be. The clock stays behind those that still wait, else their tenants' next requests
        would all begin at the same tag, and stand in the order of arrival.
        """
        self.merge(tag if first_waiting is None else min(tag, first_waiting))


@dataclass(frozen=True, slots=True)
class Work:
    """What a request adds to its tenant's account, in slot seconds."""

    cost: float
    """That this request may take."""
    correction: float = 0.0
    """That former ones took beyond what was told of them; negative where they took less."""


class TagAssigner:
    """Finish tags of the tenants that one node stamps for."""

    def __init__(self, clock: ShareClock) -> None:
        self._clock = clock
        self._finish: dict[str, float] = {}

    def assign_tag(self, tenant: str, weight: float, work: Work) -> float:
        """The start tag of a tenant's next request."""
        correction = max(-MAX_COST, min(MAX_COST, work.correction))
        former = self._finish.get(tenant, self._clock.now) + correction / weight
        start = max(self._clock.now - MAX_CREDIT, former)
        self._finish[tenant] = start + max(0.0, min(MAX_COST, work.cost)) / weight
        return start

    def finish_tags(self) -> dict[str, float]:
        """Where each tenant's next request would stand, for operators."""
        return dict(self._finish)

    def reset(self) -> None:
        """Others may have stamped meanwhile: begin at the clock."""
        self._finish.clear()

    def retain(self, tenants: Mapping[str, float]) -> None:
        """Drop tenants that the configuration doesn't name any more."""
        self._finish = {name: at for name, at in self._finish.items() if name in tenants}
