"""Authentication of callers: finds a request's tenant by its API key."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.core.routing.route_table import RouteTable
from postvalve.exceptions import AuthenticationError, KeyUnknownError
from postvalve.settings.routes import RoutedTenant, RouteSpec

KEY_RETRY_AFTER = 0.3
"""Retry time in seconds when this node cannot judge a key. Other nodes can judge it at once."""


@dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated sender of a request."""

    tenant: RoutedTenant | None = None
    """None for an anonymous caller on a route that needs no key."""
    tenants_defined: bool = False
    """Whether the configuration defines any tenants."""

    @property
    def name(self) -> str:
        """The tenant's name; empty for an anonymous caller."""
        return self.tenant.name if self.tenant else ""

    def rank(self, route: RouteSpec) -> tuple[int, int]:
        """Return the sort key of a request's urgency; lower sorts first.

        The tenant's priority takes precedence over the route's.
        """
        own = self.tenant.priority if self.tenant else None
        return (route.priority if own is None else own, route.priority)


@dataclass(frozen=True, slots=True)
class KeyPolicy:
    """What a node does while its configuration is out of date."""

    fails_closed: bool = False
    """Whether requests that need a key are refused once the configuration is older than
    `closes_after`."""
    closes_after: float = 5.0
    """Age of the configuration, in seconds."""


def identify_caller(
    table: RouteTable,
    key: str | None,
    *,
    needs_key: bool,
    age: float,
    policy: KeyPolicy,
) -> Caller:
    """Return the caller of a request.

    Args:
        table: The configuration in force.
        key: The API key sent with the request, if any.
        needs_key: Whether the route requires a key.
        age: Seconds for which this node may have missed changes of the configuration.
        policy: What to do when the configuration is out of date.

    Raises:
        AuthenticationError: The key is missing, or no tenant holds it.
        KeyUnknownError: This node's configuration is too old to judge the key.
    """
    if not table.requires_api_key:
        return Caller()
    if key is None and not needs_key:
        return Caller(tenants_defined=True)
    if policy.fails_closed and age > policy.closes_after:
        raise KeyUnknownError(
            "this node may have missed that keys changed", retry_after=KEY_RETRY_AFTER
        )
    if key is None:
        raise AuthenticationError("an API key is needed")
    tenant = table.tenant_of(key)
    if tenant is not None:
        return Caller(tenant, tenants_defined=True)
    raise AuthenticationError("the API key is not valid")
