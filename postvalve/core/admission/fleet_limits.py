"""Limits of tenants over all nodes together: each tenant has a node that lends its credit.

A node asks before it lets a request of a limited tenant in, and the first choice among the nodes
that are alive keeps the tenant's bucket. What makes that safe when views differ:

- A bucket is a rate and a capacity, so whoever takes it over may begin with an empty one: before
  and after together never give more than one bucket does over the same time.
- A node lends by the share of the fleet that it hears, so that the sides of a cut together stay
  within the whole, and one that has just started or hears nobody lends next to nothing.
- Until it is known that the first choice is gone, a second one lends a little: one in each zone,
  for who asks there, by the zone's share of the fleet. So a zone that is cut off has one at once,
  and all of them together lend no more than one would.

What these may give more than one bucket for a moment fits into what a limit may be exceeded by.

The load it answers: one tenant sends many times its usual, on few connections at few nodes, while
nodes come, go, stand still or are cut off. A part of the limit at each node (`tenant_limits`, the
product's own interface) keeps it as well, and refuses most of what such a tenant may send.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from postvalve.core.admission.token_bucket import TokenBucket
from postvalve.core.membership.ownership import rank_owners

PRIMARY_EXCESS_SHARE = 0.5
"""Of what the rate may be exceeded by, for the first choice; the rest is for the second one."""
PRIMARY_SLACK_SHARE = 0.6
"""Of the requests by which any limit may be exceeded, for the first choice: with 20 of them a
tenant of one request a second sends a dozen at once now and then."""
SECONDARY_SLACK_SHARE = 0.4
"""The same for all second choices together, in any window."""
SECONDARY_BURST_SHARE = 0.75
"""Of what second choices may lend in a window, that their full buckets hold; the rest is what comes
in while the window lasts. They are asked seldom, and then by many at once."""
VIEW_RETENTION = 10.0
"""Seconds of views that are remembered, to tell since when a tenant's bucket is this node's."""
FLEET_SIZE_RETENTION = 30.0
"""Seconds for which a node that is not heard any more counts as part of the fleet: longer than a
cut lasts, and two sides would each take the other for gone after it."""
STALL_THRESHOLD = 1.5
"""Seconds between two looks after which this node may have stood still for so long that others lend
in its place: they take it for gone 2 s after its last report, which may be half a second old. Looks
are half a second to a second apart."""
MAX_RETRY_AFTER = 5.0
"""Seconds at the most that a refused caller is told to stay away."""
SETTLE_TIME = 1.5
"""Seconds after its start until a node hears all others: those of other zones are told of a second
after their zone's nodes have started, at the earliest. Till then it lends next to nothing, and who
is refused need not stay away for as long as that would take to grow."""


@dataclass(frozen=True, slots=True)
class LimitTerms:
    """A tenant's limit, by a revision of the configuration."""

    rate: float
    """Requests a second, over all nodes."""
    burst: float
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """What a limit may be exceeded by, all nodes together: a setting of the deployment."""

    window: float = 5.0
    """Seconds, any of them in a row, in which requests are counted."""
    over: float = 0.1
    """Of what the limit allows in a window."""
    slack: float = 20.0
    """Requests on top of that."""

    def capacity(self, terms: LimitTerms) -> float:
        """Requests that a full bucket of a tenant holds."""
        spare = terms.rate * self.window * self.over * PRIMARY_EXCESS_SHARE
        return terms.burst * (1 + self.over) + spare + self.slack * PRIMARY_SLACK_SHARE

    def secondary_credit(self, terms: LimitTerms) -> float:
        """Requests that all second choices of a tenant may lend in any window, together."""
        over = terms.rate * self.window * self.over * (1 - PRIMARY_EXCESS_SHARE)
        return over + self.slack * SECONDARY_SLACK_SHARE


class CreditOutcome(enum.Enum):
    """What a node says that was asked for credit."""

    GRANTED = "lent"
    """The request is within the limit, and was counted."""
    OVER_LIMIT = "over"
    """The tenant is over its limit."""
    NOT_OWNER = "not_mine"
    """Other nodes lend to this tenant."""


@dataclass(frozen=True, slots=True)
class CreditDecision:
    """The answer to one ask, and what it was made of."""

    outcome: CreditOutcome
    wait: float = 0.0
    """Seconds after which a refused caller finds credit, spread over those that were refused."""
    share: float = 1.0
    """Of the limit, that this node lent by."""
    tag: float = 0.0
    """Where the request stands, see `core/scheduling/fair_share`; 0 where nobody told."""


@dataclass(slots=True)
class _Account:
    terms: LimitTerms
    bucket: TokenBucket
    next_return: float = 0.0
    """Monotonic seconds at which the last refused caller was told to come back."""


@dataclass(frozen=True, slots=True)
class _Part:
    """What a node could lend by from a time on."""

    since: float
    share: float
    zone_share: float


@dataclass(slots=True)
class _View:
    since: float
    live: frozenset[str]
    near: frozenset[str]
    """Those of the node's own zone, itself among them."""
    choices: dict[str, list[str]] = field(default_factory=dict)
    """First and second choice by tenant."""

    def choices_of(self, tenant: str) -> list[str]:
        found = self.choices.get(tenant)
        if found is None:
            first = rank_owners(tenant, self.live)[:1]
            second = rank_owners(tenant, self.near.difference(first))[:1]
            found = self.choices[tenant] = first + second
        return found


class FleetLimits:
    """The buckets of one node, and whom it asks. Times are monotonic seconds."""

    def __init__(self, node_id: str, now: float, bounds: LimitBounds = LimitBounds()) -> None:
        self._node_id = node_id
        self._bounds = bounds
        self._started_at = now
        self._looked_at = now
        self._views: deque[_View] = deque(
            [_View(now, frozenset((node_id,)), frozenset((node_id,)))]
        )
        self._certain = frozenset((node_id,))
        self._parts: deque[_Part] = deque([_Part(now, 0.0, 0.0)])
        """For as long as views; a bucket that is not asked for fills by them all the same."""
        self._sizes: deque[tuple[float, int]] = deque()
        """When the fleet was seen to have so many nodes, the largest first."""
        self._own: dict[str, _Account] = {}
        self._deputy: dict[str, _Account] = {}
        self.fleet_size = 1
        """Nodes of the fleet, as far as this one knows."""

    @property
    def live_nodes(self) -> int:
        """Nodes that are alive, this one among them, as far as it knows."""
        return len(self._views[-1].live)

    def is_starting(self, now: float) -> bool:
        """Whether this node has just started, and may not hear all others yet."""
        return now < self._started_at + SETTLE_TIME

    @property
    def share(self) -> float:
        """Of the fleet, that this node has heard a moment ago."""
        return min(1.0, len(self._certain) / max(1, self.fleet_size))

    @property
    def zone_share(self) -> float:
        """Of the fleet, that this node has heard a moment ago in its own zone."""
        near = self._views[-1].near & self._certain
        return min(1.0, len(near) / max(1, self.fleet_size))

    def update_view(
        self,
        live: Iterable[str],
        announced: int,
        now: float,
        neighbours: Iterable[str] | None = None,
        certain: Iterable[str] | None = None,
    ) -> bool:
        """Take in who is alive; called some times a second and before each decision.

        Returns:
            Whether this node stood still, so that others may have lent in its place.

        Args:
            live: Ids of the nodes that take work, as far as this one knows; itself among them
                unless it leaves.
            announced: Nodes that the store knows of; counts while this node has just started.
            now: Monotonic seconds.
            neighbours: Those of them in this node's zone; None where all are.
            certain: Those that were heard so lately that nobody lends in their place yet; None
                where all were. Of two sides of a cut, one finds it out by a report's interval
                before the other: its lender begins when the other one's part has ended.
        """
        stalled = now - self._looked_at > STALL_THRESHOLD
        if stalled:
            self._forget(now)
        self._looked_at = now
        nodes, view = frozenset(live), self._views[-1]
        near = nodes if neighbours is None else frozenset(neighbours)
        if nodes != view.live or near != view.near:
            self._views.append(_View(now, nodes, near))
            self._drop_foreign()
        while len(self._views) > 1 and self._views[1].since < now - VIEW_RETENTION:
            self._views.popleft()
        self._certain = nodes if certain is None else nodes.intersection(certain)
        self._note_size(len(nodes), announced, now)
        self._note_part(now)
        return stalled

    def _note_part(self, now: float) -> None:
        parts, share, zone_share = self._parts, self.share, self.zone_share
        if (share, zone_share) != (parts[-1].share, parts[-1].zone_share):
            parts.append(_Part(now, share, zone_share))
        while len(parts) > 1 and parts[1].since < now - VIEW_RETENTION:
            parts.popleft()

    def _note_size(self, heard: int, announced: int, now: float) -> None:
        while self._sizes and self._sizes[0][0] < now - FLEET_SIZE_RETENTION:
            self._sizes.popleft()
        while self._sizes and self._sizes[-1][1] <= heard:
            self._sizes.pop()
        self._sizes.append((now, heard))
        young = now - self._started_at < FLEET_SIZE_RETENTION
        self.fleet_size = max(self._sizes[0][1], announced if young else 0)

    def _forget(self, now: float) -> None:
        """This node stood still: others have lent meanwhile."""
        self._own.clear()
        self._deputy.clear()
        self._views = deque([_View(now, self._views[-1].live, self._views[-1].near)])

    def _drop_foreign(self) -> None:
        """Others lend from now on, and this node begins anew when it does so again."""
        view = self._views[-1]
        for rank, accounts in enumerate((self._own, self._deputy)):
            for tenant in list(accounts):
                if view.choices_of(tenant)[rank : rank + 1] != [self._node_id]:
                    del accounts[tenant]

    def choices(self, tenant: str) -> list[str]:
        """Whom to ask, the first one first; two at the most."""
        return self._views[-1].choices_of(tenant)

    def try_acquire(self, tenant: str, terms: LimitTerms, now: float) -> CreditDecision:
        """Decide on one request of a tenant."""
        choices = self.choices(tenant)
        if self._node_id not in choices:
            return CreditDecision(CreditOutcome.NOT_OWNER)
        deputy = choices[0] != self._node_id
        accounts = self._deputy if deputy else self._own
        account = accounts.get(tenant)
        if account is None:
            bucket = TokenBucket(0.0, 0.0, 0.0, self._mine_since(tenant, deputy))
            account = accounts[tenant] = _Account(terms, bucket)
        if terms.revision >= account.terms.revision:
            account.terms = terms
        part = self._fill(account, deputy)
        share = part.zone_share if deputy else part.share
        wait = account.bucket.take(now)
        if not wait:
            return CreditDecision(CreditOutcome.GRANTED, share=share)
        return CreditDecision(
            CreditOutcome.OVER_LIMIT, self._return_time(account, now, wait), share
        )

    def _fill(self, account: _Account, deputy: bool) -> _Part:
        """Fill a bucket by each part since it was asked for; returns the one that is in force.

        Others have lent what a part left, which is no credit of this node once it hears them again.
        """
        bucket, set_part = account.bucket, self._set_zone_part if deputy else self._set_part
        for part in self._parts:
            if part.since > bucket.refilled_at:
                bucket.refill(part.since)
            set_part(account, part)
        return self._parts[-1]

    def _set_part(self, account: _Account, part: _Part) -> None:
        """Set what a first choice lends by."""
        bucket = account.bucket
        bucket.rate = max(account.terms.rate * part.share, 1e-6)
        # A share below one request would refuse everything.
        bucket.burst = max(1.0, self._bounds.capacity(account.terms) * part.share)

    def _set_zone_part(self, account: _Account, part: _Part) -> None:
        """Set what a second choice lends by."""
        share, bucket = part.zone_share, account.bucket
        credit = self._bounds.secondary_credit(account.terms) * share
        bucket.rate = max(credit * (1 - SECONDARY_BURST_SHARE) / self._bounds.window, 1e-6)
        # Only one zone can hold most of the fleet, and lend one request of a smaller share.
        least = 1.0 if share > 0.5 else 0.0
        bucket.burst = max(least, credit * SECONDARY_BURST_SHARE)

    def _return_time(self, account: _Account, now: float, wait: float) -> float:
        """Seconds until a refused caller may come back, one behind the other."""
        gap, earliest = 1.0 / account.bucket.rate, now + wait
        settled_at = self._started_at + SETTLE_TIME
        if self.is_starting(now):
            gap = 1.0 / max(account.terms.rate, 1e-6)
            earliest = min(earliest, settled_at + gap)
        account.next_return = min(max(account.next_return + gap, earliest), now + MAX_RETRY_AFTER)
        return account.next_return - now

    def _mine_since(self, tenant: str, deputy: bool) -> float:
        """Since when this node has been a tenant's first choice, or its second one."""
        rank, since = int(deputy), self._views[-1].since
        for view in reversed(self._views):
            if view.choices_of(tenant)[rank : rank + 1] != [self._node_id]:
                break
            since = view.since
        return since
