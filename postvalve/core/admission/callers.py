"""Who asks: the tenant of a request, by its API key and the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.core.routing.route_table import RouteTable
from postvalve.exceptions import AuthenticationError, KeyUnknownError
from postvalve.settings.routes import RoutedTenant, RouteSpec

UNKNOWN_KEY_MAX_AGE = 2.0
"""Seconds of configuration that a node may have missed up to which a key that it does not know
belongs to nobody. Beyond, its owner may hold it by a newer one: a 401 would be taken as final."""
KEY_RETRY_AFTER = 0.3
"""Seconds told to a client whose key this node can't judge; others can at once."""


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sends a request."""

    tenant: RoutedTenant | None = None
    """None for somebody who shows no key where none is needed."""
    named: bool = False
    """Whether the configuration names tenants at all."""

    @property
    def name(self) -> str:
        """The tenant's name; empty for nobody in particular."""
        return self.tenant.name if self.tenant else ""

    def rank(self, route: RouteSpec) -> tuple[int, int]:
        """Urgency of a request, the least first: its tenant's priority goes before its route's."""
        own = self.tenant.priority if self.tenant else None
        return (route.priority if own is None else own, route.priority)


@dataclass(frozen=True, slots=True)
class KeyPolicy:
    """How long a node that hears of no configuration goes on by the last one it knows."""

    fails_closed: bool = False
    """Whether it refuses everybody who needs a key from `closes_after` on."""
    closes_after: float = 5.0
    """Seconds of configuration that it may have missed."""


def identify_caller(
    table: RouteTable, key: str | None, *, needs_key: bool, age: float, policy: KeyPolicy
) -> Caller:
    """Resolve who sends a request.

    Args:
        table: The configuration in force.
        key: The API key that came with the request.
        needs_key: Whether there must be one.
        age: Seconds of which this node does not know how the configuration changed.
        policy: What a node does that has heard nothing for long.

    Raises:
        AuthenticationError: there is no key, or nobody holds it.
        KeyUnknownError: this node can't tell.
    """
    if not table.requires_api_key:
        return Caller()
    if key is None and not needs_key:
        return Caller(named=True)
    if policy.fails_closed and age > policy.closes_after:
        raise KeyUnknownError(
            "this node may have missed that keys changed", retry_after=KEY_RETRY_AFTER
        )
    if key is None:
        raise AuthenticationError("an API key is needed")
    tenant = table.tenant_of(key)
    if tenant is not None:
        return Caller(tenant, named=True)
    if age > UNKNOWN_KEY_MAX_AGE:
        raise KeyUnknownError("this node may not know the API key yet", retry_after=KEY_RETRY_AFTER)
    raise AuthenticationError("the API key is not valid")
