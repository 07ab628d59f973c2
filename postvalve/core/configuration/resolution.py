"""Which rule of the configuration covers a tenant, a workload or an engine, and why."""

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
"""Parsed selectors by their text."""


@dataclass(frozen=True, slots=True)
class Explanation:
    """Rules that cover a thing, the winner first."""

    kind: str
    matching: tuple[str, ...]

    @property
    def winner(self) -> str | None:
        """Name of the rule in force."""
        return self.matching[0] if self.matching else None


def tenant_labels(tenant: TenantSpec) -> dict[str, str]:
    """Labels of a tenant, with its name as `name`."""
    return {**tenant.labels, "name": tenant.name}


def workload_labels(workload: WorkloadSpec) -> dict[str, str]:
    """Labels of a workload, with its name and class as `name` and `class`."""
    return {**workload.labels, "name": workload.name, "class": workload.traffic_class.value}


def matching_limits(
    configuration: FleetConfiguration, tenant: TenantSpec, workload: WorkloadSpec
) -> list[LimitSpec]:
    """Limit rules that cover the pair, the winner first."""
    covering = [
        rule
        for rule in configuration.limits
        if compiled_selector(rule.tenants).matches(tenant_labels(tenant))
        and compiled_selector(rule.workloads).matches(workload_labels(workload))
    ]
    return _by_precedence(covering)


def matching_pools(
    configuration: FleetConfiguration, engine_labels: Mapping[str, str]
) -> list[PoolSpec]:
    """Pools whose selector covers the engine, the winner first."""
    covering = [
        pool
        for pool in configuration.pools
        if compiled_selector(pool.engines).matches(engine_labels)
    ]
    return _by_precedence(covering)


def pool_serves(pool: PoolSpec, tenant: TenantSpec, model: str) -> bool:
    """Whether the pool's engines take this tenant's requests for the model."""
    covered = compiled_selector(pool.tenants).matches(tenant_labels(tenant))
    return covered and model.partition(":")[0] in pool.models


def resolve_workload(
    configuration: FleetConfiguration,
    tenant: TenantSpec,
    name: str | None,
    traffic_class: TrafficClass,
) -> WorkloadSpec:
    """The workload of a request. Its class comes from the operators, never from the caller.

    Raises:
        InvalidRequestError: no such workload, or none is the default.
        PermissionDeniedError: the tenant may not use it, or not in this class.
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
    """Say for each kind of rule which cover these, the winner first."""
    limits = matching_limits(configuration, tenant, workload)
    pools = matching_pools(configuration, engine_labels)
    return [
        Explanation("limits", tuple(rule.name for rule in limits)),
        Explanation("pools", tuple(pool.name for pool in pools)),
    ]


def _by_precedence(rules: Iterable[Rule]) -> list[Rule]:
    # The sort is stable, so the first in the document wins among equals.
    return sorted(rules, key=lambda rule: -rule.precedence)
