"""Asks the node that keeps a tenant's count before a request of it is let in, and is asked."""

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
from postvalve.core.membership.store_reachability import HEARD_WITHIN
from postvalve.core.membership.zone_reporting import MAX_DIGEST_INTERVAL
from postvalve.core.scheduling.fair_share import Work
from postvalve.events import Event
from postvalve.exceptions import LimitUnknownError, PeerUnavailableError, RateLimitedError
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.serving.fair_shares import FairShares
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel
from postvalve.settings.routes import RoutedTenant

FIRST_PATIENCE = 0.08
"""Seconds after which the second choice is asked beside the first one, some twenty times what an
ask takes between zones."""
CALL_TIMEOUT = 0.4
"""Seconds that an ask may take: a busy machine stands still for some tenths of a second, and who is
refused by the second choice waits longer than that."""
SHORT_WAIT = 0.05
"""Seconds in all for which an ask is kept until there is credit: a bucket that was taken over is
empty for a moment, and who asks would be refused below its limit. Less than `FIRST_PATIENCE`, after
which the second choice is asked."""
SHORT_PAUSE = 0.005
"""Seconds between two looks for credit meanwhile, at the least."""
SILENT_TIME = 0.5
"""Seconds for which a node that did not answer is not asked again: all requests of its tenants
would wait for it."""
LENDER_TIMEOUT = 2.5
"""Seconds without a word of a node after which others lend in its place. Other zones are taken for
gone later, but a zone that is cut off would have no lenders until then. It is longer than it takes
until another node tells of a zone whose reporter is lost."""
LENDER_SUSPECT_AFTER = LENDER_TIMEOUT - MAX_DIGEST_INTERVAL
"""Seconds without a word of a node after which this one lends nothing for its part: those that it
does not hear may have heard it last a report earlier, and lend for themselves so much sooner."""
LOOK_TIME = 0.5
"""Seconds between two looks at who is alive, about."""
UNKNOWN_RETRY_AFTER = 0.1
"""Seconds told to a caller whose tenant's count nobody told where other nodes can tell."""
START_PAUSE = 0.1
"""Seconds after which a node that starts asks again who told nothing."""
START_SHARE = 0.3
"""Of a client's time, that it waits there each time at the most."""
RETRY_AFTER_SHARE = 0.7
"""Of a client's time, after which it is not told to come back: it must be served in the rest."""
RETRY_JITTER = 1.0
"""Seconds over which those come back that are told when other nodes will lend: these begin with
nothing."""

_LENDINGS = frozenset(one.value for one in CreditOutcome)


class TenantCredit:
    """This node's asks and answers."""

    def __init__(
        self,
        services: PeerServices,
        revision: Callable[[], int],
        bounds: LimitBounds,
        shares: FairShares,
    ) -> None:
        """Count nothing yet; `revision` gives that of the configuration in force."""
        self.shares = shares
        self._services = services
        self._clock = services.clock
        self._events = services.events
        self._peers = services.peers
        self._node_id = services.identity.node_id
        self._revision = revision
        self._silent_until: dict[str, float] = {}
        self.primary_timeout = FIRST_PATIENCE
        """Seconds; see there."""
        self.call_timeout = CALL_TIMEOUT
        """Seconds; see there."""
        self.leaving = False
        """Whether this node is about to end, and lends nothing any more."""
        self.limits = FleetLimits(self._node_id, services.clock.monotonic(), bounds)

    def update_view(self) -> None:
        """Take in who is alive."""
        now, zone = self._clock.monotonic(), self._services.identity.zone
        heard = [
            one
            for one in self._peers.all()
            if not one.report.leaving and now - one.heard_at <= LENDER_TIMEOUT
        ]
        own = [] if self.leaving else [self._node_id]
        live = [one.node_id for one in heard] + own
        near = [one.node_id for one in heard if one.report.zone == zone] + own
        certain = [one.node_id for one in heard if now - one.heard_at <= LENDER_SUSPECT_AFTER] + own
        announced = len(self._services.announced_nodes())
        if self.limits.update_view(live, announced, now, near, certain):
            self.shares.reset()

    def admit(
        self, caller: Caller, request_id: str, work: Work, deadline: float = math.inf
    ) -> float:
        """Return when a request is within its tenant's limit; its time ends at `deadline`.

        Returns:
            Its start tag; 0 where nobody told one.

        Raises:
            RateLimitedError: it is over.
            LimitUnknownError: nobody could tell.
        """
        tenant = caller.tenant
        if tenant is None or not tenant.rate:
            return 0.0
        asked, node_id, loan = self._borrow_patiently(tenant, work, deadline)
        if loan.outcome is CreditOutcome.GRANTED:
            return loan.tag
        if loan.outcome is CreditOutcome.OVER_LIMIT:
            self._note_over(tenant, request_id, node_id, loan)
            raise RateLimitedError("the tenant is over its limit", retry_after=loan.wait)
        known_in = round(self._known_in(asked, deadline), 3)
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

    def _borrow_patiently(
        self, tenant: RoutedTenant, work: Work, deadline: float
    ) -> tuple[list[str], str, CreditDecision]:
        """Whom it asked, whose answer counts, and that: a node that starts asks again.

        When all nodes start together their buckets begin empty, and what was under way before comes
        back at once, its client's last try mostly.
        """
        while True:
            asked = self.limits.choices(tenant.name)
            node_id, loan = self._borrow(asked, tenant, work)
            now = self._clock.monotonic()
            wait = max(loan.wait, START_PAUSE)
            if loan.outcome is CreditOutcome.GRANTED or not self.limits.is_starting(now + wait):
                return asked, node_id, loan
            if wait > (deadline - now) * START_SHARE:
                return asked, node_id, loan
            gevent.sleep(wait)

    def _known_in(self, asked: list[str], deadline: float) -> float:
        """Seconds until somebody can tell a tenant's count, where the client has them.

        Nodes that this one hears don't reach a silent lender either, and take another one for it
        at the same time as this one.
        """
        first = self._peers.get(asked[0]) if asked else None
        now = self._clock.monotonic()
        if first is None or not self._was_silent(first.node_id, now):
            return UNKNOWN_RETRY_AFTER
        if not self._hears_neighbours():
            return UNKNOWN_RETRY_AFTER
        left = first.heard_at + LENDER_TIMEOUT + LOOK_TIME - now
        most = (deadline - now) * RETRY_AFTER_SHARE
        if not 0 < left <= most:
            return UNKNOWN_RETRY_AFTER
        return min(most, left + self._services.generator.uniform(0.0, RETRY_JITTER))

    def _borrow(
        self, choices: list[str], tenant: RoutedTenant, work: Work
    ) -> tuple[str, CreditDecision]:
        """The answer that counts, and whose it is.

        The second choice is asked while the first one is late, or lends for a part of the fleet. It
        lends little, which being used up says nothing of the tenant's limit.
        """
        if not choices or choices[0] == self._node_id:
            first, patience = self._node_id, None
        else:
            first, patience = choices[0], self.primary_timeout
        asked = gevent.spawn(self._ask, first, tenant, work)
        asked.join(patience)
        loan = asked.value or CreditDecision(CreditOutcome.NOT_OWNER)
        if loan.outcome is CreditOutcome.GRANTED or (
            loan.outcome is CreditOutcome.OVER_LIMIT and loan.share >= 1.0
        ):
            return first, loan
        for second in choices[1:]:
            little = self._ask(second, tenant, work)
            if little.outcome is CreditOutcome.GRANTED:
                return second, little
        return first, asked.get()

    def _was_silent(self, node_id: str, now: float) -> bool:
        """Whether a node did not answer, and the second choice has been asked since at the most.

        One that answered and lends nothing knows of another lender, and this node will in a moment.
        """
        return self._silent_until.get(node_id, 0.0) > now - self.call_timeout

    def _hears_neighbours(self) -> bool:
        """Whether this node is not alone cut off, as far as it knows."""
        now, zone = self._clock.monotonic(), self._services.identity.zone
        return any(now - one.heard_at <= HEARD_WITHIN for one in self._peers.neighbours(zone))

    def _note_over(
        self, tenant: RoutedTenant, request_id: str, lender: str, loan: CreditDecision
    ) -> None:
        self._events.emit(
            Event.TENANT_OVER_LIMIT,
            request=request_id,
            tenant=tenant.name,
            lender=lender,
            rate=tenant.rate,
            burst=tenant.burst,
            revision=self._revision(),
            share=round(loan.share, 3),
            retry_after=round(loan.wait, 3),
        )

    def _ask(self, node_id: str, tenant: RoutedTenant, work: Work) -> CreditDecision:
        """Ask one node; one that does not answer lends nothing."""
        terms = LimitTerms(tenant.rate, tenant.burst, max(0, self._revision()))
        now = self._clock.monotonic()
        if node_id == self._node_id:
            return self._lend(tenant.name, terms, work)
        peer = self._peers.get(node_id)
        if peer is None or self._silent_until.get(node_id, 0.0) > now:
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
            self._silent_until[node_id] = self._clock.monotonic() + SILENT_TIME
        if not isinstance(reply, gateway.CreditReply) or reply.lending not in _LENDINGS:
            return CreditDecision(CreditOutcome.NOT_OWNER)
        return CreditDecision(CreditOutcome(reply.lending), reply.wait, reply.share, reply.tag)

    def _lend(self, tenant: str, terms: LimitTerms, work: Work) -> CreditDecision:
        """Lend this node's credit, with the place of the request among all tenants' ones.

        Credit that comes in a moment is waited for.
        """
        asked_at = self._clock.monotonic()
        loan = self.limits.try_acquire(tenant, terms, asked_at)
        while loan.outcome is CreditOutcome.OVER_LIMIT:
            wait = max(loan.wait, SHORT_PAUSE)
            if self._clock.monotonic() + wait > asked_at + SHORT_WAIT:
                break
            gevent.sleep(wait)
            loan = self.limits.try_acquire(tenant, terms, self._clock.monotonic())
        if loan.outcome is not CreditOutcome.GRANTED or not self.shares.enabled:
            return loan
        return replace(loan, tag=self.shares.assign_tag(tenant, work))

    def _call(self, node_id: str, address: str, ask: gateway.CreditAsk) -> object:
        reply, error = None, "no answer in time"
        # To open a connection may take longer than the caller has.
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
        """What it lends by, for operators."""
        limits = self.limits
        return {
            "heard": limits.live_nodes,
            "known": limits.fleet_size,
            "share": round(limits.share, 3),
        }

    def reply(self, ask: gateway.CreditAsk) -> gateway.CreditReply:
        """What a peer that asks gets."""
        terms = LimitTerms(ask.rate, ask.burst, ask.revision)
        self.shares.clock.merge(ask.clock)
        loan = self._lend(ask.tenant, terms, Work(ask.cost, ask.correction))
        if (
            loan.outcome is CreditOutcome.OVER_LIMIT
            and self.limits.choices(ask.tenant)[0] != self._node_id
        ):
            # Its part being used up says nothing of the limit, for which some builds take it.
            loan = CreditDecision(CreditOutcome.NOT_OWNER)
        return gateway.CreditReply(
            lending=loan.outcome.value, wait=loan.wait, share=loan.share, tag=loan.tag
        )
