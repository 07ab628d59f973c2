"""Schema of the fleet configuration that operators publish.

Rules apply to objects by label selectors; none addresses a single machine. If several rules match
the same object, the one with the highest `precedence` applies, and among equals the first in the
document.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cached_property
from typing import Annotated, Self

from pydantic import AfterValidator, Field, model_validator

from postvalve.exceptions import MalformedJsonError, SettingsError
from postvalve.json_input import parse_json
from postvalve.settings.selectors import parse_selector
from postvalve.settings.strict_model import Name, StrictModel
from postvalve.settings.validation import InvalidSettingsGroup, check_document
from postvalve.states import TrafficClass


def _check_selector(text: str) -> str:
    parse_selector(text)
    return text


def _check_nonempty_selector(text: str) -> str:
    if not text.strip():
        raise ValueError("an empty selector would drain the whole fleet")
    return _check_selector(text)


SelectorText = Annotated[str, AfterValidator(_check_selector)]
"""A label selector; the empty selector matches everything."""

Labels = dict[Name, Name]
"""Labels of an object, which selectors match."""


class TenantSpec(StrictModel):
    """A tenant, with SHA-256 digests of its API keys; the keys themselves are not stored."""

    name: Name
    labels: Labels = {}
    api_key_sha256: list[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]] = Field(min_length=1)


class OperatorSpec(StrictModel):
    """An operator, who may read the state of nodes."""

    name: Name
    api_key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class DrainSpec(StrictModel):
    """Machines (nodes or engines) that accept no new work."""

    name: Name
    machines: Annotated[str, AfterValidator(_check_nonempty_selector)]


class WorkloadSpec(StrictModel):
    """A kind of work, which requests name and whose traffic class operators decide."""

    name: Name
    labels: Labels = {}
    traffic_class: TrafficClass
    rank: int = Field(0, ge=0, le=15, description="order among batch workloads, 0 first")
    tenants: SelectorText = Field("", description="tenants that may use it")
    default: bool = Field(False, description="used for requests that name no workload")


class ModelSpec(StrictModel):
    """A model that requests may name."""

    name: Name
    labels: Labels = {}
    version: Name = "1"
    adapters: list[Name] = []


class PoolSpec(StrictModel):
    """Engines that a selector matches, and the models and tenants that they serve."""

    name: Name
    engines: SelectorText = ""
    models: list[Name] = Field(min_length=1)
    tenants: SelectorText = Field("", description="tenants that may use these engines")
    precedence: int = 0
    online_queue_slots: int = Field(
        32, ge=0, description="online requests that may wait inside one engine"
    )
    batch_slots_beside_online: int | None = Field(
        None, ge=0, description="batch items beside online work on one engine; None: no limit"
    )
    online_headroom_slots: int = Field(2, ge=0, description="engine slots kept free of batch")


class PlacementSpec(StrictModel):
    """Models that the engines a selector matches load, and how a change is rolled out."""

    name: Name
    engines: SelectorText = ""
    models: list[Name] = Field(min_length=1)
    precedence: int = 0
    max_unavailable: int = Field(1, ge=1, description="engines that change at once")


class LimitSpec(StrictModel):
    """Limits of matching tenants and workloads; each tenant has a token bucket of its own."""

    name: Name
    tenants: SelectorText = ""
    workloads: SelectorText = ""
    precedence: int = 0
    requests_per_second: float = Field(gt=0, description="refill of the token bucket")
    burst: int = Field(gt=0, description="size of the token bucket, requests")
    concurrency: int = Field(gt=0, description="requests in progress at once, per node")


class FleetConfiguration(StrictModel):
    """A complete revision of the fleet configuration."""

    tenants: list[TenantSpec] = []
    workloads: list[WorkloadSpec] = []
    models: list[ModelSpec] = []
    pools: list[PoolSpec] = []
    placements: list[PlacementSpec] = []
    limits: list[LimitSpec] = []
    drains: list[DrainSpec] = []
    operators: list[OperatorSpec] = []

    @model_validator(mode="after")
    def _check_references(self) -> Self:
        problems = [*self._duplicate_names(), *self._unknown_models(), *self._shared_keys()]
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def _duplicate_names(self) -> Iterable[str]:
        for kind in type(self).model_fields:
            seen: set[str] = set()
            for item in getattr(self, kind):
                if item.name in seen:
                    yield f"{kind}: duplicate name {item.name!r}"
                seen.add(item.name)

    def _unknown_models(self) -> Iterable[str]:
        known = {model.name for model in self.models}
        for kind, rules in (("pools", self.pools), ("placements", self.placements)):
            for rule in rules:
                for model in rule.models:
                    if model.partition(":")[0] not in known:
                        yield f"{kind}.{rule.name}.models: unknown model {model!r}"

    def _shared_keys(self) -> Iterable[str]:
        holder: dict[str, str] = {}
        for tenant in self.tenants:
            for digest in tenant.api_key_sha256:
                if holder.setdefault(digest, tenant.name) != tenant.name:
                    yield f"tenants.{tenant.name}: shares a key with {holder[digest]}"

    @cached_property
    def tenant_by_key_digest(self) -> dict[str, TenantSpec]:
        """Tenant of each API key, by the key's SHA-256 hex digest."""
        return {digest: tenant for tenant in self.tenants for digest in tenant.api_key_sha256}

    @cached_property
    def model_by_name(self) -> dict[str, ModelSpec]:
        """Specification of each model, by name."""
        return {model.name: model for model in self.models}

    def serves(self, name: str) -> bool:
        """Return whether requests may name this model, or this adapter as MODEL:ADAPTER."""
        model_name, separator, adapter = name.partition(":")
        model = self.model_by_name.get(model_name)
        if model is None:
            return False
        return adapter in model.adapters if separator else True

    @cached_property
    def served_names(self) -> list[str]:
        """Names that requests may use: each model, and each adapter as MODEL:ADAPTER."""
        names: list[str] = []
        for model in self.models:
            names.append(model.name)
            names += [f"{model.name}:{adapter}" for adapter in model.adapters]
        return names

    @cached_property
    def workload_by_name(self) -> dict[str, WorkloadSpec]:
        """Specification of each workload, by name."""
        return {workload.name: workload for workload in self.workloads}


def parse_fleet_configuration(document: bytes, origin: str) -> FleetConfiguration:
    """Parse a fleet configuration from JSON.

    Args:
        document: The JSON text.
        origin: File name or other source, named in each error.

    Raises:
        InvalidSettingsGroup: The document is invalid; contains one error for each problem.
    """
    try:
        parsed = parse_json(document)
    except MalformedJsonError as error:
        problem = SettingsError(origin, f"is not valid JSON: {error}")
        raise InvalidSettingsGroup(f"{origin} cannot be read", [problem]) from None
    return check_document(FleetConfiguration, parsed, origin)
