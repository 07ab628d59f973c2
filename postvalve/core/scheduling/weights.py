"""How much of the engines' time a tenant is entitled to, against the others that want some."""

from __future__ import annotations

from collections.abc import Iterable

from postvalve.settings.routes import RoutedTenant

DEFAULT_WEIGHT = 1.0
"""Of a tenant where the configuration says nothing by which tenants could differ."""


def tenant_weights(tenants: Iterable[RoutedTenant]) -> dict[str, float]:
    """Weight by the tenant's name.

    Rates are what operators have agreed on with tenants, so they are the weights where every tenant
    has one. A tenant without a rate can't be set against one that has one: then all count alike.
    """
    known = list(tenants)
    rated = all(one.rate > 0 for one in known)
    return {one.name: one.rate if rated else DEFAULT_WEIGHT for one in known}
