"""The fleet's configuration, as operators publish it.

Everything is covered by selectors over labels; no machine is addressed singly.
Where several rules cover the same thing, the highest `precedence` wins, then the
first in the document.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from functools import cached_property
from typing import Annotated, Any, Self

from pydantic import AfterValidator, Field, model_validator

from postvalve.exceptions import SettingsError
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
"""A selector; the empty one covers everything."""

Labels = dict[Name, Name]
"""Labels by which selectors find an object."""


class TenantSpec(StrictModel):
    """One tenant. Keys are held as SHA-256 digests only."""

    name: Name
    labels: Labels = {}
    api_key_sha256: list[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]] = Field(min_length=1)


class OperatorSpec(StrictModel):
    """Somebody who may read the state of nodes."""

    name: Name
    api_key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class DrainSpec(StrictModel):
    """Machines, nodes and engines alike, that take no new work."""

    name: Name
    machines: Annotated[str, AfterValidator(_check_nonempty_selector)]


class WorkloadSpec(StrictModel):
    """A kind of work, and the class it runs in. Callers name it; operators decide its class."""

    name: Name
    labels: Labels = {}
    traffic_class: TrafficClass
    rank: int = Field(0, ge=0, le=15, description="order among batch workloads, 0 first")
    tenants: SelectorText = Field("", description="tenants that may use it")
    default: bool = Field(False, description="taken when a caller names none")


class ModelSpec(StrictModel):
    """A model that callers may name."""

    name: Name
    labels: Labels = {}
    version: Name = "1"
    adapters: list[Name] = []


class PoolSpec(StrictModel):
    """Engines, found by selector, and what they serve."""

    name: Name
    engines: SelectorText = ""
    models: list[Name] = Field(min_length=1)
    tenants: SelectorText = Field("", description="tenants that may use these engines")
    precedence: int = 0
    online_queue_slots: int = Field(
        32, ge=0, description="online requests that may wait inside one engine"
    )
    batch_slots_beside_online: int | None = Field(
        None, ge=0, description="batch items beside online work on one engine; None: no bound"
    )
    online_headroom_slots: int = Field(2, ge=0, description="engine slots kept free of batch")


class PlacementSpec(StrictModel):
    """What engines hold, found by selector, and how a change of it is rolled out."""

    name: Name
    engines: SelectorText = ""
    models: list[Name] = Field(min_length=1)
    precedence: int = 0
    max_unavailable: int = Field(1, ge=1, description="engines that change at once")


class LimitSpec(StrictModel):
    """Limits of each tenant and workload covered; every tenant has its own bucket."""

    name: Name
    tenants: SelectorText = ""
    workloads: SelectorText = ""
    precedence: int = 0
    requests_per_second: float = Field(gt=0, description="refill of the token bucket")
    burst: int = Field(gt=0, description="size of the token bucket, requests")
    concurrency: int = Field(gt=0, description="requests in progress at once, per node")


class FleetConfiguration(StrictModel):
    """One revision of the whole configuration."""

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
        mistakes = [*self._repeated_names(), *self._unknown_models(), *self._shared_keys()]
        if mistakes:
            raise ValueError("; ".join(mistakes))
        return self

    def _repeated_names(self) -> Iterable[str]:
        for kind in type(self).model_fields:
            seen: set[str] = set()
            for item in getattr(self, kind):
                if item.name in seen:
                    yield f"{kind}: the name {item.name!r} stands twice"
                seen.add(item.name)

    def _unknown_models(self) -> Iterable[str]:
        known = {model.name for model in self.models}
        for kind, rules in (("pools", self.pools), ("placements", self.placements)):
            for rule in rules:
                for model in rule.models:
                    if model.partition(":")[0] not in known:
                        yield f"{kind}.{rule.name}.models: no model is named {model!r}"

    def _shared_keys(self) -> Iterable[str]:
        holder: dict[str, str] = {}
        for tenant in self.tenants:
            for digest in tenant.api_key_sha256:
                if holder.setdefault(digest, tenant.name) != tenant.name:
                    yield f"tenants.{tenant.name}: shares a key with {holder[digest]}"

    @cached_property
    def tenant_by_key_digest(self) -> dict[str, TenantSpec]:
        """SHA-256 hex digest of an API key to its tenant."""
        return {digest: tenant for tenant in self.tenants for digest in tenant.api_key_sha256}

    @cached_property
    def model_by_name(self) -> dict[str, ModelSpec]:
        """Model name to its specification."""
        return {model.name: model for model in self.models}

    def serves(self, name: str) -> bool:
        """Whether callers may name this model, or adapter as MODEL:ADAPTER."""
        model_name, separator, adapter = name.partition(":")
        model = self.model_by_name.get(model_name)
        if model is None:
            return False
        return adapter in model.adapters if separator else True

    @cached_property
    def served_names(self) -> list[str]:
        """Every model, and every adapter as MODEL:ADAPTER."""
        names: list[str] = []
        for model in self.models:
            names.append(model.name)
            names += [f"{model.name}:{adapter}" for adapter in model.adapters]
        return names

    @cached_property
    def workload_by_name(self) -> dict[str, WorkloadSpec]:
        """Workload name to its specification."""
        return {workload.name: workload for workload in self.workloads}


def parse_fleet_configuration(document: bytes, origin: str) -> FleetConfiguration:
    """Read a configuration from JSON.

    Raises:
        InvalidSettingsGroup: with every mistake and its place.
    """
    try:
        parsed: Any = json.loads(document)
    except (UnicodeDecodeError, json.JSONDecodeError, RecursionError) as error:
        mistake = SettingsError(origin, f"is not JSON: {error}")
        raise InvalidSettingsGroup(f"{origin} cannot be read", [mistake]) from None
    return check_document(FleetConfiguration, parsed, origin)
