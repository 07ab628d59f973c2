"""Asks the node that keeps a tenant's count before a request of it is let in, and is asked."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import gevent

from postvalve.core.admission.callers import Caller
from postvalve.core.admission.fleet_limits import (
    FleetLimits,
    Lending,
    LimitBounds,
    LimitTerms,
    Loan,
)
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
ASK_PATIENCE = 0.4
"""Seconds that an ask may take: a busy machine stands still for some tenths of a second, and who is
refused by the second choice waits longer than that."""
SILENT_TIME = 0.5
"""Seconds for which a node that did not answer is not asked again: all requests of its tenants
would wait for it."""
UNKNOWN_RETRY_AFTER = 0.1
"""Seconds told to a caller whose tenant's count nobody told; other nodes can tell."""

_LENDINGS = frozenset(one.value for one in Lending)


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
        self.first_patience = FIRST_PATIENCE
        """Seconds; see there."""
        self.patience = ASK_PATIENCE
        """Seconds; see there."""
        self.leaving = False
        """Whether this node is about to end, and lends nothing any more."""
        self.limits = FleetLimits(self._node_id, services.clock.monotonic(), bounds)

    def look(self) -> None:
        """Take in who is alive."""
        live = [one.node_id for one in self._peers.all() if not one.report.leaving]
        if not self.leaving:
            live.append(self._node_id)
        announced = len(self._services.started_nodes())
        if self.limits.look(live, announced, self._clock.monotonic()):
            self.shares.forget()

    def admit(self, caller: Caller, request_id: str, work: Work) -> float:
        """Return when a request is within its tenant's limit.

        Returns:
            Its start tag; 0 where nobody told one.

        Raises:
            RateLimitedError: it is over.
            LimitUnknownError: nobody could tell.
        """
        tenant = caller.tenant
        if tenant is None or not tenant.rate:
            return 0.0
        asked = self.limits.choices(tenant.name)
        node_id, loan = self._borrow(asked, tenant, work)
        if loan.lending is Lending.LENT:
            return loan.tag
        if loan.lending is Lending.OVER:
            self._note_over(tenant, request_id, node_id, loan)
            raise RateLimitedError("the tenant is over its limit", retry_after=loan.wait)
        self._events.emit(
            Event.LIMIT_UNKNOWN,
            request=request_id,
            tenant=tenant.name,
            asked=asked,
            heard=self.limits.heard,
            known=self.limits.known,
        )
        raise LimitUnknownError("the tenant's count is not known", retry_after=UNKNOWN_RETRY_AFTER)

    def _borrow(self, choices: list[str], tenant: RoutedTenant, work: Work) -> tuple[str, Loan]:
        """The answer that counts, and whose it is.

        The second choice is asked while the first one is late. It lends a part only, so where that
        is used up, what the first one says late goes before it.
        """
        if not choices or choices[0] == self._node_id:
            return self._node_id, self._ask(self._node_id, tenant, work)
        first = gevent.spawn(self._ask, choices[0], tenant, work)
        first.join(self.first_patience)
        if first.ready() and first.get().lending is not Lending.NOT_MINE:
            return choices[0], first.get()
        for second in choices[1:]:
            loan = self._ask(second, tenant, work)
            if loan.lending is Lending.LENT or first.get().lending is Lending.NOT_MINE:
                return second, loan
        return choices[0], first.get()

    def _note_over(self, tenant: RoutedTenant, request_id: str, lender: str, loan: Loan) -> None:
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

    def _ask(self, node_id: str, tenant: RoutedTenant, work: Work) -> Loan:
        """Ask one node; one that does not answer lends nothing."""
        terms = LimitTerms(tenant.rate, tenant.burst, max(0, self._revision()))
        now = self._clock.monotonic()
        if node_id == self._node_id:
            return self._lend(tenant.name, terms, work)
        peer = self._peers.get(node_id)
        if peer is None or self._silent_until.get(node_id, 0.0) > now:
            return Loan(Lending.NOT_MINE)
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
        if not isinstance(reply, gateway.CreditReply) or reply.lending not in _LENDINGS:
            return Loan(Lending.NOT_MINE)
        return Loan(Lending(reply.lending), reply.wait, reply.share, reply.tag)

    def _lend(self, tenant: str, terms: LimitTerms, work: Work) -> Loan:
        """Lend this node's credit, with the place of the request among all tenants' ones."""
        loan = self.limits.lend(tenant, terms, self._clock.monotonic())
        if loan.lending is not Lending.LENT or not self.shares.enabled:
            return loan
        return replace(loan, tag=self.shares.stamp(tenant, work))

    def _call(self, node_id: str, address: str, ask: gateway.CreditAsk) -> object:
        reply, error = None, "no answer in time"
        # To open a connection may take longer than the caller has.
        with gevent.Timeout(self.patience, exception=False):
            try:
                transport = self._services.transport
                reply = transport.call(address, Channel.ADMISSION, ask, self.patience)
            except PeerUnavailableError as exc:
                error = exc.message
        if reply is None:
            self._silent_until[node_id] = self._clock.monotonic() + SILENT_TIME
            self._events.emit(Event.CREDIT_NOT_TOLD, peer=node_id, error=error)
        return reply

    def fields(self) -> dict[str, Any]:
        """What it lends by, for operators."""
        limits = self.limits
        return {"heard": limits.heard, "known": limits.known, "share": round(limits.share, 3)}

    def reply(self, ask: gateway.CreditAsk) -> gateway.CreditReply:
        """What a peer that asks gets."""
        terms = LimitTerms(ask.rate, ask.burst, ask.revision)
        self.shares.clock.merge(ask.clock)
        loan = self._lend(ask.tenant, terms, Work(ask.cost, ask.correction))
        return gateway.CreditReply(
            lending=loan.lending.value, wait=loan.wait, share=loan.share, tag=loan.tag
        )
