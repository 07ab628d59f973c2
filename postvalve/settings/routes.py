"""Configuration of routed traffic: which request goes to which service, and on what terms.

Routed requests pass through a node unchanged. Operators describe routes and services; the
source of a configuration (a platform's operator, a file) is an adapter's matter.
"""

from __future__ import annotations

import enum
from typing import Self

from pydantic import Field, model_validator

from postvalve.settings.strict_model import StrictModel


class RepeatPolicy(enum.StrEnum):
    """What may be done with a request that may have run."""

    SAFE = "safe"
    """It may run again from its start."""
    ONCE = "once"
    """It runs at most once."""
    RESUMABLE = "resume"
    """Its stream may go on at another engine after the last whole event."""


class WeightedService(StrictModel):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = Field(1.0, ge=0, description="share, against the sum of all weights")


class BatchTerms(StrictModel):
    """Terms of a route that takes batch jobs."""

    run_target: float = Field(gt=0, description="seconds from sending until all items are due")
    keep: float = Field(gt=0, description="seconds from sending until items may be given up")
    max_queued_tokens: int = Field(0, ge=0, description="tokens waiting at once; 0: no bound")


class RouteSpec(StrictModel):
    """One route: requests of a host below a path."""

    name: str
    host: str
    path_prefix: str
    targets: tuple[WeightedService, ...] = Field(min_length=1)
    streamed: bool = Field(False, description="whether answers are event streams")
    repeat: RepeatPolicy = RepeatPolicy.ONCE
    timeout: float = Field(gt=0, description="seconds a request may be held")
    target_latency: float = Field(1.0, gt=0, description="seconds to an answer or first event")
    pause_aim: float | None = Field(
        None, gt=0, description="seconds between events that callers bear; none: no bound"
    )
    max_attempts: int = Field(1, ge=1, description="engines that one request may go to")
    priority: int = Field(0, ge=0, description="0 is the most urgent")
    batch: BatchTerms | None = None
    anonymous: bool = Field(False, description="whether requests need no API key")


class RoutedTenant(StrictModel):
    """Somebody who sends requests. Keys are held as SHA-256 digests only."""

    name: str = Field(pattern=r"^[!-~]{1,64}$", description="visible ASCII: it becomes a header")
    key_digests: tuple[str, ...] = ()
    priority: int | None = Field(None, ge=0, description="0 is the most urgent; before a route's")
    rate: float = Field(0.0, ge=0, description="requests a second over all nodes; 0: no limit")
    burst: float = Field(0.0, ge=0, description="requests on top of the rate")


class ServiceSpec(StrictModel):
    """Engines that serve the same requests."""

    name: str
    max_connections: int = Field(0, ge=0, description="connections of one engine; 0: no bound")
    slots: int = Field(1, ge=1, description="requests that an engine runs at once")
    memory_tokens: int = Field(0, ge=0, description="tokens that an engine holds; 0: no bound")


class EdgeLimits(StrictModel):
    """What clients may send and how long they may take."""

    header_bytes: int = Field(16_384, gt=0, description="bytes of a request's headers")
    body_bytes: int = Field(4 * 1024 * 1024, gt=0, description="bytes of a request's body")
    header_timeout: float = Field(3.0, gt=0, description="seconds until a head is whole")
    idle_timeout: float = Field(15.0, gt=0, description="seconds a connection may rest")


class RoutedConfiguration(StrictModel):
    """One revision, whole."""

    revision: int
    routes: tuple[RouteSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: EdgeLimits = EdgeLimits()
    tenants: tuple[RoutedTenant, ...] | None = Field(
        None, description="who may send requests; left out: anybody, without a key"
    )

    @model_validator(mode="after")
    def _check_tenants(self) -> Self:
        """A name or key that stands twice would leave open whose request it is."""
        tenants = self.tenants or ()
        names = [one.name for one in tenants]
        digests = [digest for one in tenants for digest in one.key_digests]
        if len(set(names)) < len(names):
            raise ValueError("two tenants have the same name")
        if len(set(digests)) < len(digests):
            raise ValueError("an API key stands twice")
        return self
