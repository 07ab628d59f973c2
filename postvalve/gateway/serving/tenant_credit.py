"""Rate limits of tenants over all nodes.

A node asks the lender, which owns a tenant's token bucket, for the credit of each request, and
answers such calls of its peers.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import gevent

from postvalve.core.admission.callers import Caller
from postvalve.core.admission.fleet_limits import (
    CreditDecision,
    CreditOutcome,
    FleetLimits,
    LimitBounds,
    LimitTerms,
)
from postvalve.core.membership.extensions import Extension, pack_ids, unpack_ids
from postvalve.core.membership.store_reachability import RECENT_REPORT_AGE
from postvalve.core.membership.zone_reporting import MAX_DIGEST_INTERVAL
from postvalve.core.scheduling.fair_share import Work
from postvalve.events import Event
from postvalve.exceptions import LimitUnknownError, PeerUnavailableError, RateLimitedError
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.serving.fair_shares import FairShares
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel
from postvalve.settings.routes import RoutedTenant

PRIMARY_TIMEOUT = 0.08
"""Seconds after which the secondary lender is asked in addition to the primary one; some twenty
times what a call between zones takes."""
CALL_TIMEOUT = 0.4
"""Seconds that a call to a lender may take: a busy machine may be suspended for some tenths of a
second, and a client that the secondary lender refuses waits longer than that."""
MAX_CREDIT_WAIT = 0.05
"""Seconds in total for which a call is held until there is credit: a bucket is empty for a moment
after another node has taken it over, and a request would be refused below its tenant's limit. Less
than `PRIMARY_TIMEOUT`, after which the secondary lender is asked."""
CREDIT_POLL_INTERVAL = 0.005
"""Least seconds between two checks for credit while a call is held."""
UNRESPONSIVE_TIME = 0.5
"""Seconds for which a node that did not answer is not asked again: all requests of its tenants
would wait for it."""
LENDER_TIMEOUT = 2.5
"""Seconds without a report after which other nodes lend in a node's place. Other zones are declared
dead later than this, but a zone that is cut off would have no lenders until then. It is longer than
another node needs to take over the digests of a zone whose reporter is lost."""
LENDER_SUSPECT_AFTER = LENDER_TIMEOUT - MAX_DIGEST_INTERVAL
"""Seconds without a report of a node after which it no longer counts in the share of the fleet by
which this node lends. A node whose reports do not arrive here may have received the last report one
report earlier, and begins to lend itself that much sooner."""
VIEW_UPDATE_INTERVAL = 0.5
"""Approximate seconds between two updates of the live nodes."""
UNKNOWN_RETRY_AFTER = 0.1
"""Retry-After in seconds when no lender answered and other nodes can reach one."""
STARTUP_RETRY_INTERVAL = 0.1
"""Seconds after which a starting node asks again if no lender answered."""
STARTUP_WAIT_SHARE = 0.3
"""Fraction of a client's time left that each such wait may take."""
RETRY_AFTER_SHARE = 0.7
"""Fraction of a client's time left that Retry-After may take: the request must be served in the
rest."""
RETRY_JITTER = 1.0
"""Seconds over which retries are spread when clients wait for other nodes to lend, since these
begin with empty buckets."""

_OUTCOMES = frozenset(one.value for one in CreditOutcome)


class TenantCredit:
    """Acquires and lends credit of tenants' token buckets at this node."""

    def __init__(
        self,
        services: PeerServices,
        revision: Callable[[], int],
        bounds: LimitBounds,
        shares: FairShares,
    ) -> None:
        """Begin with empty buckets; `revision` returns that of the configuration in force."""
        self.shares = shares
        self._services = services
        self._clock = services.clock
        self._events = services.events
        self._peers = services.peers
        self._node_id = services.identity.node_id
        self._revision = revision
        self._unresponsive_until: dict[str, float] = {}
        self.primary_timeout = PRIMARY_TIMEOUT
        """Seconds, see `PRIMARY_TIMEOUT`."""
        self.call_timeout = CALL_TIMEOUT
        """Seconds, see `CALL_TIMEOUT`."""
        self.leaving = False
        """Whether this node is draining, and lends no more."""
        self.limits = FleetLimits(self._node_id, services.clock.monotonic(), bounds)

    def update_view(self) -> None:
        """Update the set of live nodes that may lend."""
        now, zone = self._clock.monotonic(), self._services.identity.zone
        reporting = [
            one
            for one in self._peers.all()
            if not one.report.leaving and now - one.last_seen_at <= LENDER_TIMEOUT
        ]
        own = [] if self.leaving else [self._node_id]
        live = [one.node_id for one in reporting] + own
        near = [one.node_id for one in reporting if one.report.zone == zone] + own
        certain = [
            one.node_id for one in reporting if now - one.last_seen_at <= LENDER_SUSPECT_AFTER
        ] + own
        announced = self._services.announced_nodes()
        size = None if announced is None else len(announced)
        parts = self._peers.extension_parts(Extension.UNSYNCED_NODES)
        unsynced = frozenset().union(*map(unpack_ids, parts))
        if self.limits.update_view(live, size, now, near, certain, unsynced):
            self.shares.reset()

    @property
    def knows_fleet(self) -> bool:
        """Whether this node can tell which share of the limits it may lend."""
        return self.limits.fleet_size is not None

    def pack_unsynced(self) -> bytes:
        """Return a part of this node's reports: its id while it lends nothing."""
        return pack_ids((self._node_id,)) if self._services.announced_nodes() is None else b""

    def admit(
        self, caller: Caller, request_id: str, work: Work, deadline: float = math.inf
    ) -> float:
        """Return once a request is within its tenant's rate limit.

        Args:
            caller: The authenticated caller.
            request_id: Id of the request, for the log.
            work: Cost and correction for the tenant's fair share.
            deadline: Monotonic seconds at which the request's time ends.

        Returns:
            The start tag of the request; 0 if no lender assigned one.

        Raises:
            RateLimitedError: the tenant is over its limit.
            LimitUnknownError: no lender answered.
        """
        tenant = caller.tenant
        if tenant is None or not tenant.rate:
            return 0.0
        asked, node_id, decision = self._acquire_with_retry(tenant, work, deadline)
        if decision.outcome is CreditOutcome.GRANTED:
            return decision.tag
        if decision.outcome is CreditOutcome.OVER_LIMIT:
            self._log_over_limit(tenant, request_id, node_id, decision)
            raise RateLimitedError("the tenant is over its limit", retry_after=decision.wait)
        known_in = round(self._seconds_to_takeover(asked, deadline), 3)
        self._events.emit(
            Event.LIMIT_UNKNOWN,
            request=request_id,
            tenant=tenant.name,
            asked=asked,
            heard=self.limits.live_nodes,
            known=self.limits.fleet_size,
            known_in=known_in,
        )
        raise LimitUnknownError("the tenant's count is not known", retry_after=known_in)

    def _acquire_with_retry(
        self, tenant: RoutedTenant, work: Work, deadline: float
    ) -> tuple[list[str], str, CreditDecision]:
        """Return the lenders asked, the one whose answer counts, and its answer.

        A node that has just started asks again: when all nodes start together their buckets are
        empty, and the requests that were under way before are retried at once, mostly as their
        client's last try.
        """
        while True:
            asked = self.limits.choices(tenant.name)
            node_id, decision = self._acquire(asked, tenant, work)
            now = self._clock.monotonic()
            wait = max(decision.wait, STARTUP_RETRY_INTERVAL)
            if decision.outcome is CreditOutcome.GRANTED or not self.limits.is_starting(now + wait):
                return asked, node_id, decision
            if wait > (deadline - now) * STARTUP_WAIT_SHARE:
                return asked, node_id, decision
            gevent.sleep(wait)

    def _seconds_to_takeover(self, asked: list[str], deadline: float) -> float:
        """Return the seconds until another lender takes over, if the client has that much time.

        The nodes whose reports arrive here can't reach a silent lender either, and replace it at
        the same time as this one.
        """
        first = self._peers.get(asked[0]) if asked else None
        now = self._clock.monotonic()
        if first is None or not self._unanswered_recently(first.node_id, now):
            return UNKNOWN_RETRY_AFTER
        if not self._has_recent_zone_peers():
            return UNKNOWN_RETRY_AFTER
        left = first.last_seen_at + LENDER_TIMEOUT + VIEW_UPDATE_INTERVAL - now
        most = (deadline - now) * RETRY_AFTER_SHARE
        if not 0 < left <= most:
            return UNKNOWN_RETRY_AFTER
        return min(most, left + self._services.generator.uniform(0.0, RETRY_JITTER))

    def _acquire(
        self, choices: list[str], tenant: RoutedTenant, work: Work
    ) -> tuple[str, CreditDecision]:
        """Return the answer that counts, and the node that gave it.

        The secondary lender is asked if the primary one is late, or has credit for a part of the
        fleet only. It has little credit, and running out of it does not mean that the tenant is
        over its limit.
        """
        if not choices or choices[0] == self._node_id:
            first, timeout = self._node_id, None
        else:
            first, timeout = choices[0], self.primary_timeout
        asked = gevent.spawn(self._request_credit, first, tenant, work)
        asked.join(timeout)
        decision = asked.value or CreditDecision(CreditOutcome.NOT_OWNER)
        if decision.outcome is CreditOutcome.GRANTED or (
            decision.outcome is CreditOutcome.OVER_LIMIT and decision.share >= 1.0
        ):
            return first, decision
        for second in choices[1:]:
            secondary_decision = self._request_credit(second, tenant, work)
            if secondary_decision.outcome is CreditOutcome.GRANTED:
                return second, secondary_decision
        return first, asked.get()

    def _unanswered_recently(self, node_id: str, now: float) -> bool:
        """Whether a node did not answer, and only the secondary lender was asked since.

        A node that answers but does not lend knows of another lender, and this node soon will too.
        """
        return self._unresponsive_until.get(node_id, 0.0) > now - self.call_timeout

    def _has_recent_zone_peers(self) -> bool:
        """Whether peers of this node's zone reported recently, so that it is not cut off itself."""
        now, zone = self._clock.monotonic(), self._services.identity.zone
        return any(
            now - one.last_seen_at <= RECENT_REPORT_AGE for one in self._peers.neighbours(zone)
        )

    def _log_over_limit(
        self, tenant: RoutedTenant, request_id: str, lender: str, decision: CreditDecision
    ) -> None:
        self._events.emit(
            Event.TENANT_OVER_LIMIT,
            request=request_id,
            tenant=tenant.name,
            lender=lender,
            rate=tenant.rate,
            burst=tenant.burst,
            revision=self._revision(),
            share=round(decision.share, 3),
            retry_after=round(decision.wait, 3),
        )

    def _request_credit(self, node_id: str, tenant: RoutedTenant, work: Work) -> CreditDecision:
        """Ask one node for credit; a node that does not answer lends none."""
        terms = LimitTerms(tenant.rate, tenant.burst, max(0, self._revision()))
        now = self._clock.monotonic()
        if node_id == self._node_id:
            return self._lend_credit(tenant.name, terms, work)
        peer = self._peers.get(node_id)
        if peer is None or self._unresponsive_until.get(node_id, 0.0) > now:
            return CreditDecision(CreditOutcome.NOT_OWNER)
        ask = gateway.CreditAsk(
            tenant=tenant.name,
            rate=terms.rate,
            burst=terms.burst,
            revision=terms.revision,
            clock=self.shares.clock.now if self.shares.enabled else 0.0,
            cost=work.cost,
            correction=work.correction,
        )
        reply = self._call(node_id, peer.report.peer_address, ask)
        if reply is None:
            self._unresponsive_until[node_id] = self._clock.monotonic() + UNRESPONSIVE_TIME
        if not isinstance(reply, gateway.CreditReply) or reply.lending not in _OUTCOMES:
            return CreditDecision(CreditOutcome.NOT_OWNER)
        return CreditDecision(CreditOutcome(reply.lending), reply.wait, reply.share, reply.tag)

    def _lend_credit(self, tenant: str, terms: LimitTerms, work: Work) -> CreditDecision:
        """Take credit from this node's bucket, and assign the request's start tag.

        Credit that will be there in a moment is waited for.
        """
        asked_at = self._clock.monotonic()
        decision = self.limits.try_acquire(tenant, terms, asked_at)
        while decision.outcome is CreditOutcome.OVER_LIMIT:
            wait = max(decision.wait, CREDIT_POLL_INTERVAL)
            if self._clock.monotonic() + wait > asked_at + MAX_CREDIT_WAIT:
                break
            gevent.sleep(wait)
            decision = self.limits.try_acquire(tenant, terms, self._clock.monotonic())
        if decision.outcome is not CreditOutcome.GRANTED or not self.shares.enabled:
            return decision
        return replace(decision, tag=self.shares.assign_tag(tenant, work))

    def _call(self, node_id: str, address: str, ask: gateway.CreditAsk) -> object:
        reply, error = None, "no answer in time"
        # Opening a connection may take longer than the caller has.
        with gevent.Timeout(self.call_timeout, exception=False):
            try:
                transport = self._services.transport
                reply = transport.call(address, Channel.ADMISSION, ask, self.call_timeout)
            except PeerUnavailableError as exc:
                error = exc.message
        if reply is None:
            self._events.emit(Event.CREDIT_NOT_TOLD, peer=node_id, error=error)
        return reply

    def fields(self) -> dict[str, Any]:
        """Return what this node's lending is based on, for the status document."""
        limits = self.limits
        return {
            "heard": limits.live_nodes,
            "known": limits.fleet_size,
            "share": round(limits.share, 3),
        }

    def reply(self, ask: gateway.CreditAsk) -> gateway.CreditReply:
        """Answer a peer's request for credit."""
        terms = LimitTerms(ask.rate, ask.burst, ask.revision)
        self.shares.clock.merge(ask.clock)
        decision = self._lend_credit(ask.tenant, terms, Work(ask.cost, ask.correction))
        if (
            decision.outcome is CreditOutcome.OVER_LIMIT
            and self.limits.choices(ask.tenant)[0] != self._node_id
        ):
            # A secondary lender's empty bucket does not mean that the limit is reached, but some
            # builds take it for that.
            decision = CreditDecision(CreditOutcome.NOT_OWNER)
        return gateway.CreditReply(
            lending=decision.outcome.value,
            wait=decision.wait,
            share=decision.share,
            tag=decision.tag,
        )
