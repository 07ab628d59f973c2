"""Configuration of routed traffic: which requests go to which service, and on what terms.

Routed requests pass through a node unchanged. Operators define routes and services; an adapter
reads the configuration from its source (a platform's store, a file).
"""

from __future__ import annotations

import enum
from typing import Annotated, Self

from pydantic import Field, model_validator

from postvalve.settings.strict_model import StrictModel

MAX_REVISION = 2**53
"""Greatest revision. Every JSON library can represent integers up to this one exactly, and messages
between nodes hold 64 bits."""
MAX_SECONDS = 366 * 24 * 3600.0
"""Longest time that a setting may state, in seconds. Sockets and timers fail from 292 years on."""
MAX_RATE = 1e12
"""Greatest rate, burst and weight, so that sums of them stay finite."""
MAX_COUNT = 2**31 - 1
"""Greatest number of bytes, requests, connections or attempts."""
MAX_TOKENS = 2**53
"""Greatest number of tokens; sums of some thousand fit into 64 bits."""
MAX_NAME_LENGTH = 255
"""Maximum length of the name of a route, a service or a host, in characters."""
MAX_PATH_LENGTH = 8_192
"""Maximum length of a path prefix, in characters."""

ObjectName = Annotated[str, Field(max_length=MAX_NAME_LENGTH)]
"""Name of a route, a service or a host."""


class RepeatPolicy(enum.StrEnum):
    """Whether and how a request that may have run may be repeated."""

    SAFE = "safe"
    """It may be run again from the start."""
    ONCE = "once"
    """It must run at most once."""
    RESUMABLE = "resume"
    """Its stream may be resumed at another engine after the last complete event."""


class WeightedService(StrictModel):
    """A service that receives a share of a route's requests."""

    service: ObjectName
    weight: float = Field(
        1.0, ge=0, le=MAX_RATE, description="share, relative to the sum of all weights"
    )


class BatchTerms(StrictModel):
    """Terms of a route that accepts batch jobs."""

    run_target: float = Field(
        gt=0, le=MAX_SECONDS, description="seconds from submission until all items are due"
    )
    keep: float = Field(
        gt=0, le=MAX_SECONDS, description="seconds from submission until items may be abandoned"
    )
    max_queued_tokens: int = Field(
        0, ge=0, le=MAX_TOKENS, description="tokens queued at once; 0: no limit"
    )


class RouteSpec(StrictModel):
    """A route, which matches requests by host and path prefix."""

    name: ObjectName
    host: ObjectName
    path_prefix: str = Field(max_length=MAX_PATH_LENGTH)
    targets: tuple[WeightedService, ...] = Field(min_length=1)
    streamed: bool = Field(False, description="whether answers are event streams")
    repeat: RepeatPolicy = RepeatPolicy.ONCE
    timeout: float = Field(gt=0, le=MAX_SECONDS, description="seconds a request may be held")
    target_latency: float = Field(
        1.0, gt=0, le=MAX_SECONDS, description="seconds to an answer or first event"
    )
    pause_aim: float | None = Field(
        None,
        gt=0,
        le=MAX_SECONDS,
        description="target for the seconds between two events; none: no target",
    )
    max_attempts: int = Field(
        1, ge=1, le=MAX_COUNT, description="engines at which a request may be tried"
    )
    priority: int = Field(0, ge=0, le=MAX_COUNT, description="0 is the most urgent")
    batch: BatchTerms | None = None
    anonymous: bool = Field(False, description="whether requests need no API key")


class RoutedTenant(StrictModel):
    """A tenant, with SHA-256 digests of its API keys; the keys themselves are not stored."""

    name: str = Field(pattern=r"^[!-~]{1,64}$", description="visible ASCII: it becomes a header")
    key_digests: tuple[str, ...] = ()
    priority: int | None = Field(
        None, ge=0, le=MAX_COUNT, description="0 is the most urgent; overrides the route's priority"
    )
    rate: float = Field(
        0.0, ge=0, le=MAX_RATE, description="requests a second over all nodes; 0: no limit"
    )
    burst: float = Field(0.0, ge=0, le=MAX_RATE, description="requests on top of the rate")


class ServiceSpec(StrictModel):
    """A service: a group of engines that serve the same requests."""

    name: ObjectName
    max_connections: int = Field(
        0, ge=0, le=MAX_COUNT, description="connections to one engine; 0: no limit"
    )
    slots: int = Field(1, ge=1, le=MAX_COUNT, description="requests that an engine runs at once")
    memory_tokens: int = Field(
        0, ge=0, le=MAX_TOKENS, description="tokens that an engine holds; 0: no limit"
    )


class EdgeLimits(StrictModel):
    """Limits on the size and duration of clients' requests."""

    header_bytes: int = Field(
        16_384, gt=0, le=MAX_COUNT, description="bytes of a request's headers"
    )
    body_bytes: int = Field(
        4 * 1024 * 1024, gt=0, le=MAX_COUNT, description="bytes of a request's body"
    )
    header_timeout: float = Field(
        3.0, gt=0, le=MAX_SECONDS, description="seconds until all headers are received"
    )
    idle_timeout: float = Field(
        15.0, gt=0, le=MAX_SECONDS, description="seconds a connection may be idle"
    )


class RoutedConfiguration(StrictModel):
    """A complete revision of the configuration of routed traffic."""

    revision: int = Field(ge=0, le=MAX_REVISION)
    routes: tuple[RouteSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: EdgeLimits = EdgeLimits()
    tenants: tuple[RoutedTenant, ...] | None = Field(
        None, description="who may send requests; if absent, anyone may, without a key"
    )

    @model_validator(mode="after")
    def _check_tenants(self) -> Self:
        """Reject duplicate names and keys, which would make the tenant of a request ambiguous."""
        tenants = self.tenants or ()
        names = [tenant.name for tenant in tenants]
        digests = [digest for tenant in tenants for digest in tenant.key_digests]
        if len(set(names)) < len(names):
            raise ValueError("two tenants have the same name")
        if len(set(digests)) < len(digests):
            raise ValueError("an API key is listed twice")
        return self
