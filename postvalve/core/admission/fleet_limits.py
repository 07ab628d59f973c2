"""Rate limits of tenants across all nodes, enforced by one lender node per tenant.

A node asks for credit before it admits a request of a limited tenant. The tenant's token bucket is
kept by its primary lender: the first choice of rendezvous hashing among the live nodes. This stays
safe while nodes have different views of the fleet:

- A bucket has a rate and a capacity, so a node that takes a tenant over starts with an empty one:
  the former and the new lender together never grant more than one bucket would over the same time.
- A lender's rate and capacity are scaled by the share of the fleet that it reaches. The sides of a
  network partition together stay within the whole limit, and a node that has just started or is
  isolated grants almost nothing.
- A node that has not read which nodes there are is no lender: no share of the limit is safe without
  the size of the fleet. Nodes that it reports to count it among those that they reach, so that its
  share is lent by them.
- Until it is certain that the primary lender is gone, a secondary one grants a little. There is one
  in each zone, for requests that arrive there, with a share in proportion to the zone's size. A
  zone that is cut off therefore has a lender at once, and all secondary lenders together grant no
  more than a single one would.

What these rules may grant briefly beyond one bucket fits into the tolerance of the limit.

The design load is a tenant that sends many times its usual rate, on few connections to few nodes,
while nodes start, stop, are suspended or are cut off. Giving each node a fixed part of the limit
(`tenant_limits`, used by the product's own interface) would also hold the limit, but would refuse
most of what such a tenant may send.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from postvalve.core.admission.token_bucket import TokenBucket
from postvalve.core.membership.ownership import rank_owners

PRIMARY_EXCESS_SHARE = 0.5
"""Share of the tolerated excess rate that the primary lender may use. The secondary lenders have
the rest."""
PRIMARY_SLACK_SHARE = 0.6
"""Share of the slack of a limit that the primary lender may use. With a slack of 20 requests, a
tenant limited to one request a second can send bursts of a dozen."""
SECONDARY_SLACK_SHARE = 0.4
"""Share of the slack that all secondary lenders together may use in any window."""
SECONDARY_BURST_SHARE = 0.75
"""Share of the secondary lenders' credit per window that their full buckets hold; the rest is
refill during the window. They are asked rarely, and then by many requests at once."""
VIEW_RETENTION = 10.0
"""Seconds of past membership views kept, to find since when this node has been a tenant's
lender."""
FLEET_SIZE_RETENTION = 30.0
"""Seconds for which a node that no longer reports counts in the size of the fleet. It must
exceed the length of a partition: once it has passed, each of the two sides would count the other
as gone."""
STALL_THRESHOLD = 1.5
"""Seconds between two updates from which this node may have been suspended for so long that others
lend in its place. They count it as gone 2 s after its last report, which may be half a second old.
Updates normally come every 0.5 to 1 s."""
MAX_RETRY_AFTER = 5.0
"""Longest retry time, in seconds, sent to a refused client."""
SETTLE_TIME = 1.5
"""Seconds after a node has read which nodes there are until it has reports of all of them. Nodes of
other zones are announced a second after the nodes of their own zone have started, at the earliest.
Until then this node grants almost nothing, and refused clients are told to retry when this time is
over instead of when a bucket of that small share has refilled."""


@dataclass(frozen=True, slots=True)
class LimitTerms:
    """Limit of a tenant in one revision of the configuration."""

    rate: float
    """Requests per second, across all nodes."""
    burst: float
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """Tolerance within which the nodes together may exceed a limit; a deployment setting."""

    window: float = 5.0
    """Length in seconds of the sliding window in which requests are counted."""
    over: float = 0.1
    """Tolerated excess, as a share of what the limit allows in a window."""
    slack: float = 20.0
    """Requests tolerated in addition."""

    def capacity(self, terms: LimitTerms) -> float:
        """Return the capacity of a tenant's bucket, in requests."""
        spare = terms.rate * self.window * self.over * PRIMARY_EXCESS_SHARE
        return terms.burst * (1 + self.over) + spare + self.slack * PRIMARY_SLACK_SHARE

    def secondary_credit(self, terms: LimitTerms) -> float:
        """Return the requests that all secondary lenders of a tenant may grant in any window,
        together."""
        over = terms.rate * self.window * self.over * (1 - PRIMARY_EXCESS_SHARE)
        return over + self.slack * SECONDARY_SLACK_SHARE


class CreditOutcome(enum.Enum):
    """Answer of a lender to a request for credit."""

    GRANTED = "lent"
    """The request is within the limit and was counted."""
    OVER_LIMIT = "over"
    """The tenant is over its limit."""
    NOT_OWNER = "not_mine"
    """Other nodes are this tenant's lenders."""


@dataclass(frozen=True, slots=True)
class CreditDecision:
    """Decision on one request for credit."""

    outcome: CreditOutcome
    wait: float = 0.0
    """Seconds after which a refused client should retry. Retries of refused clients are spread
    out."""
    share: float = 1.0
    """Share of the limit by which this node grants credit."""
    tag: float = 0.0
    """Start tag of the request in the fair queue, see `core/scheduling/fair_share`; 0 if
    unknown."""


@dataclass(slots=True)
class _Account:
    terms: LimitTerms
    bucket: TokenBucket
    next_retry: float = 0.0
    """Monotonic seconds at which the last refused client was told to retry."""


@dataclass(frozen=True, slots=True)
class _ShareRecord:
    """Share of the limit by which this node may grant credit from a time on."""

    since: float
    share: float
    zone_share: float


@dataclass(slots=True)
class _View:
    since: float
    live: frozenset[str]
    near: frozenset[str]
    """Nodes of this node's own zone, including itself."""
    choices: dict[str, list[str]] = field(default_factory=dict)
    """Primary and secondary lender by tenant."""

    def choices_of(self, tenant: str) -> list[str]:
        lenders = self.choices.get(tenant)
        if lenders is None:
            first = rank_owners(tenant, self.live)[:1]
            second = rank_owners(tenant, self.near.difference(first))[:1]
            lenders = self.choices[tenant] = first + second
        return lenders


class FleetLimits:
    """Token buckets of the tenants that this node lends to, and the choice of lenders.

    All times are monotonic seconds.
    """

    def __init__(self, node_id: str, now: float, bounds: LimitBounds = LimitBounds()) -> None:
        self._node_id = node_id
        self._bounds = bounds
        self._started_at = now
        self.known_at: float | None = None
        """Time since which it is known which nodes there are; None before."""
        self._updated_at = now
        self._views: deque[_View] = deque(
            [_View(now, frozenset((node_id,)), frozenset((node_id,)))]
        )
        self._recently_seen = self._near_seen = frozenset((node_id,))
        self._share_history: deque[_ShareRecord] = deque([_ShareRecord(now, 0.0, 0.0)])
        """Shares over the time for which views are kept, since a bucket also refills while it is
        unused."""
        self._sizes: deque[tuple[float, int]] = deque()
        """Fleet sizes seen, as time and number of nodes, the largest first."""
        self._primary: dict[str, _Account] = {}
        self._secondary: dict[str, _Account] = {}
        self.fleet_size: int | None = None
        """Number of nodes in the fleet, as far as this node knows; None if it can't tell."""

    @property
    def live_nodes(self) -> int:
        """Number of live nodes that this node knows, including itself."""
        return len(self._views[-1].live)

    @property
    def _settled_at(self) -> float:
        """Time at which this node has reports of all others."""
        return max(self._started_at, self.known_at or 0.0) + SETTLE_TIME

    def is_starting(self, now: float) -> bool:
        """Return whether this node started so recently that it may lack reports of some others."""
        return now < self._settled_at

    @property
    def share(self) -> float:
        """Share of the fleet whose reports reached this node recently."""
        return self._share_of(self._recently_seen)

    @property
    def zone_share(self) -> float:
        """Share of the fleet in this node's zone whose reports reached this node recently."""
        return self._share_of(self._near_seen)

    def _share_of(self, nodes: frozenset[str]) -> float:
        return min(1.0, len(nodes) / max(1, self.fleet_size)) if self.fleet_size else 0.0

    def update_view(
        self,
        live: Iterable[str],
        announced: int | None,
        now: float,
        neighbours: Iterable[str] | None = None,
        certain: Iterable[str] | None = None,
        unsynced: Iterable[str] = (),
    ) -> bool:
        """Take in which nodes are alive. Called several times a second and before each decision.

        Returns:
            Whether this node was suspended, so that others may have lent in its place.

        Args:
            live: Ids of the nodes that take work, as far as this one knows, including its own
                unless it is leaving.
            announced: Number of nodes registered in the store; used while this node has just
                started. None if they have not been read: then this node is no lender.
            now: Monotonic seconds.
            neighbours: Those of the live nodes that are in this node's zone; None if all are.
            certain: Those that reported so recently that no node lends in their place yet; None if
                all were. Of the two sides of a partition, one detects it up to a report interval
                before the other: its lender starts only after the other side's share has ended.
            unsynced: Those of the live nodes, besides this one, that have not read which nodes
                there are, and lend nothing.
        """
        suspended = now - self._updated_at > STALL_THRESHOLD
        if suspended:
            self._drop_all(now)
        self._updated_at = now
        if announced is not None and self.known_at is None:
            self.known_at = now
        reached = frozenset(live)
        near_reached = reached if neighbours is None else frozenset(neighbours)
        no_lenders = frozenset(unsynced) - {self._node_id}
        if self.known_at is None:
            no_lenders |= {self._node_id}
        view, nodes, near = self._views[-1], reached - no_lenders, near_reached - no_lenders
        if nodes != view.live or near != view.near:
            self._views.append(_View(now, nodes, near))
            self._drop_lost()
        while len(self._views) > 1 and self._views[1].since < now - VIEW_RETENTION:
            self._views.popleft()
        self._recently_seen = reached if certain is None else reached.intersection(certain)
        self._near_seen = self._recently_seen & near_reached
        self._record_size(len(reached), announced or 0, now)
        self._record_shares(now)
        return suspended

    def _record_shares(self, now: float) -> None:
        history, share, zone_share = self._share_history, self.share, self.zone_share
        if (share, zone_share) != (history[-1].share, history[-1].zone_share):
            history.append(_ShareRecord(now, share, zone_share))
        while len(history) > 1 and history[1].since < now - VIEW_RETENTION:
            history.popleft()

    def _record_size(self, reachable: int, announced: int, now: float) -> None:
        while self._sizes and self._sizes[0][0] < now - FLEET_SIZE_RETENTION:
            self._sizes.popleft()
        while self._sizes and self._sizes[-1][1] <= reachable:
            self._sizes.pop()
        self._sizes.append((now, reachable))
        if self.known_at is None:
            return
        is_recent = now - self.known_at < FLEET_SIZE_RETENTION
        self.fleet_size = max(self._sizes[0][1], announced if is_recent else 0)

    def _drop_all(self, now: float) -> None:
        """Drop all buckets after a suspension, during which other nodes have lent."""
        self._primary.clear()
        self._secondary.clear()
        self._views = deque([_View(now, self._views[-1].live, self._views[-1].near)])

    def _drop_lost(self) -> None:
        """Drop the buckets of tenants that other nodes lend to now.

        If this node becomes their lender again, it starts with an empty bucket.
        """
        view = self._views[-1]
        for rank, accounts in enumerate((self._primary, self._secondary)):
            for tenant in list(accounts):
                if view.choices_of(tenant)[rank : rank + 1] != [self._node_id]:
                    del accounts[tenant]

    def choices(self, tenant: str) -> list[str]:
        """Return the nodes to ask for a tenant's credit, the primary lender first; at most two."""
        return self._views[-1].choices_of(tenant)

    def try_acquire(self, tenant: str, terms: LimitTerms, now: float) -> CreditDecision:
        """Take credit for one request of a tenant."""
        choices = self.choices(tenant)
        if self._node_id not in choices:
            return CreditDecision(CreditOutcome.NOT_OWNER)
        is_secondary = choices[0] != self._node_id
        accounts = self._secondary if is_secondary else self._primary
        account = accounts.get(tenant)
        if account is None:
            bucket = TokenBucket(0.0, 0.0, 0.0, self._lender_since(tenant, is_secondary))
            account = accounts[tenant] = _Account(terms, bucket)
        if terms.revision >= account.terms.revision:
            account.terms = terms
        record = self._fill(account, is_secondary)
        share = record.zone_share if is_secondary else record.share
        wait = account.bucket.take(now)
        if not wait:
            return CreditDecision(CreditOutcome.GRANTED, share=share)
        return CreditDecision(CreditOutcome.OVER_LIMIT, self._retry_time(account, now, wait), share)

    def _fill(self, account: _Account, is_secondary: bool) -> _ShareRecord:
        """Refill a bucket at each share that applied since its last use; returns the current share.

        What a smaller share left to other lenders was granted by them, and does not become this
        node's credit when their reports arrive again.
        """
        bucket, set_share = (
            account.bucket,
            self._set_secondary_share if is_secondary else self._set_primary_share,
        )
        for record in self._share_history:
            if record.since > bucket.refilled_at:
                bucket.refill(record.since)
            set_share(account, record)
        return self._share_history[-1]

    def _set_primary_share(self, account: _Account, record: _ShareRecord) -> None:
        """Set the rate and capacity of a primary lender's bucket."""
        bucket = account.bucket
        bucket.rate = max(account.terms.rate * record.share, 1e-6)
        # With a capacity below one request, the bucket would refuse everything.
        bucket.burst = max(1.0, self._bounds.capacity(account.terms) * record.share)

    def _set_secondary_share(self, account: _Account, record: _ShareRecord) -> None:
        """Set the rate and capacity of a secondary lender's bucket."""
        share, bucket = record.zone_share, account.bucket
        credit = self._bounds.secondary_credit(account.terms) * share
        bucket.rate = max(credit * (1 - SECONDARY_BURST_SHARE) / self._bounds.window, 1e-6)
        # At most one zone can hold more than half of the fleet, so rounding up to one request there
        # cannot add up across zones.
        min_burst = 1.0 if share > 0.5 else 0.0
        bucket.burst = max(min_burst, credit * SECONDARY_BURST_SHARE)

    def _retry_time(self, account: _Account, now: float, wait: float) -> float:
        """Return the seconds until a refused client may retry; successive clients are spaced
        out."""
        gap, earliest = 1.0 / account.bucket.rate, now + wait
        if self.is_starting(now):
            gap = 1.0 / max(account.terms.rate, 1e-6)
            earliest = min(earliest, self._settled_at + gap)
        account.next_retry = min(max(account.next_retry + gap, earliest), now + MAX_RETRY_AFTER)
        return account.next_retry - now

    def _lender_since(self, tenant: str, is_secondary: bool) -> float:
        """Return since when this node has been a tenant's primary or secondary lender."""
        rank, since = int(is_secondary), self._views[-1].since
        for view in reversed(self._views):
            if view.choices_of(tenant)[rank : rank + 1] != [self._node_id]:
                break
            since = view.since
        return since
