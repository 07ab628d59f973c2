"""Starts the online requests that clients send to this node, within their tenants' limits."""

from __future__ import annotations

from postvalve.core.admission.tenant_limits import LimitKey, TenantLimiter
from postvalve.core.configuration.resolution import matching_limits
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.engine_registry import EngineRegistry
from postvalve.node.membership_service import MembershipService
from postvalve.node.online.admission import AdmissionClient
from postvalve.node.online.observer import OnlineObserver
from postvalve.node.online.request import OnlineRequest
from postvalve.node.online.retries import RetryPolicy
from postvalve.node.online.run import OnlineAnswer, RequestRun, RunServices


class OnlineDispatcher:
    """Runs the online requests that clients send to this node, and counts those in progress."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationService,
        membership: MembershipService,
        registry: EngineRegistry,
    ) -> None:
        self._clock = context.clock
        self._configuration = configuration
        self._membership = membership
        self._limiter = TenantLimiter()
        self._services = RunServices(
            context.clock,
            AdmissionClient(context, membership, registry),
            RetryPolicy(context),
            OnlineObserver(context),
        )
        self.in_progress = 0

    def run(self, request: OnlineRequest) -> OnlineAnswer:
        """Start a request, and return once an engine answers.

        Raises:
            PostvalveError: if the request was refused or failed, with a verdict; all slots and
                limits are released.
        """
        limit_key = self._enter_limit(request)
        self.in_progress += 1
        self._services.retries.count_request()
        run = RequestRun(self._services, request, lambda: self._request_ended(limit_key))
        try:
            return run.start()
        except BaseException:
            run.finish("refused")
            raise

    def _enter_limit(self, request: OnlineRequest) -> LimitKey | None:
        rules = matching_limits(self._configuration.current, request.tenant, request.workload)
        if not rules:
            return None
        live_nodes = len(self._membership.view.alive())
        now = self._clock.monotonic()
        return self._limiter.enter(request.tenant.name, rules[0], live_nodes, now)

    def _request_ended(self, limit_key: LimitKey | None) -> None:
        self.in_progress -= 1
        if limit_key is not None:
            self._limiter.leave(limit_key)
