"""Resolves which rules of the configuration apply to a tenant, a workload or an engine."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import TypeVar

from postvalve.exceptions import InvalidRequestError, PermissionDeniedError
from postvalve.settings.fleet import (
    FleetConfiguration,
    LimitSpec,
    PoolSpec,
    TenantSpec,
    WorkloadSpec,
)
from postvalve.settings.selectors import Selector, parse_selector
from postvalve.states import TrafficClass

Rule = TypeVar("Rule", LimitSpec, PoolSpec)

compiled_selector: Callable[[str], Selector] = lru_cache(maxsize=4096)(parse_selector)
"""Parse a selector; results are cached by the selector's text."""


@dataclass(frozen=True, slots=True)
class Explanation:
    """The rules of one kind that match, in order of precedence."""

    kind: str
    matching: tuple[str, ...]

    @property
    def winner(self) -> str | None:
        """Name of the rule in force; None if no rule matches."""
        return self.matching[0] if self.matching else None


def tenant_labels(tenant: TenantSpec) -> dict[str, str]:
    """Return the labels of a tenant, with its name added as `name`."""
    return {**tenant.labels, "name": tenant.name}


def workload_labels(workload: WorkloadSpec) -> dict[str, str]:
    """Return the labels of a workload, with its name and traffic class added as `name` and
    `class`."""
    return {**workload.labels, "name": workload.name, "class": workload.traffic_class.value}


def matching_limits(
    configuration: FleetConfiguration, tenant: TenantSpec, workload: WorkloadSpec
) -> list[LimitSpec]:
    """Return the limit rules that match both the tenant and the workload, in order of
    precedence."""
    matching = [
        rule
        for rule in configuration.limits
        if compiled_selector(rule.tenants).matches(tenant_labels(tenant))
        and compiled_selector(rule.workloads).matches(workload_labels(workload))
    ]
    return _by_precedence(matching)


def matching_pools(
    configuration: FleetConfiguration, engine_labels: Mapping[str, str]
) -> list[PoolSpec]:
    """Return the pools whose selector matches the engine's labels, in order of precedence."""
    matching = [
        pool
        for pool in configuration.pools
        if compiled_selector(pool.engines).matches(engine_labels)
    ]
    return _by_precedence(matching)


def pool_serves(pool: PoolSpec, tenant: TenantSpec, model: str) -> bool:
    """Return whether the pool's engines accept this tenant's requests for the model."""
    permitted = compiled_selector(pool.tenants).matches(tenant_labels(tenant))
    return permitted and model.partition(":")[0] in pool.models


def resolve_workload(
    configuration: FleetConfiguration,
    tenant: TenantSpec,
    name: str | None,
    traffic_class: TrafficClass,
) -> WorkloadSpec:
    """Return the workload of a request.

    The traffic class is set by operators in the configuration, never by the caller.

    Raises:
        InvalidRequestError: there is no workload of this name, or no name was given and none is the
            default.
        PermissionDeniedError: the workload is not open to the tenant, or not for this traffic
            class.
    """
    permitted = [
        workload
        for workload in configuration.workloads
        if compiled_selector(workload.tenants).matches(tenant_labels(tenant))
        and workload.traffic_class is traffic_class
    ]
    if name is None:
        return _default_workload(permitted, traffic_class)
    for workload in permitted:
        if workload.name == name:
            return workload
    if name in configuration.workload_by_name:
        raise PermissionDeniedError(f"workload {name!r} is not open to {traffic_class} requests")
    raise InvalidRequestError(f"there is no workload {name!r}", parameter="workload")


def _default_workload(
    permitted: Sequence[WorkloadSpec], traffic_class: TrafficClass
) -> WorkloadSpec:
    for workload in permitted:
        if workload.default:
            return workload
    raise InvalidRequestError(
        f"name a workload: there is no default for {traffic_class} requests",
        parameter="workload",
    )


def explain(
    configuration: FleetConfiguration,
    tenant: TenantSpec,
    workload: WorkloadSpec,
    engine_labels: Mapping[str, str],
) -> list[Explanation]:
    """Return the matching rules of each kind, in order of precedence."""
    limits = matching_limits(configuration, tenant, workload)
    pools = matching_pools(configuration, engine_labels)
    return [
        Explanation("limits", tuple(rule.name for rule in limits)),
        Explanation("pools", tuple(pool.name for pool in pools)),
    ]


def _by_precedence(rules: Iterable[Rule]) -> list[Rule]:
    # The sort is stable, so among rules of equal precedence the first in the document wins.
    return sorted(rules, key=lambda rule: -rule.precedence)
