"""Tenants' weights in the fair sharing of engine time."""

from __future__ import annotations

from collections.abc import Iterable

from postvalve.settings.routes import RoutedTenant

DEFAULT_WEIGHT = 1.0
"""Weight of tenants if the configuration does not distinguish them."""


def tenant_weights(tenants: Iterable[RoutedTenant]) -> dict[str, float]:
    """Return the weight of each tenant by name.

    Rates are agreed between operators and tenants, so they are the weights if every tenant has one.
    A tenant without a rate cannot be compared with one that has a rate; then all weights are equal.
    """
    known = list(tenants)
    rated = all(tenant.rate > 0 for tenant in known)
    return {tenant.name: tenant.rate if rated else DEFAULT_WEIGHT for tenant in known}
