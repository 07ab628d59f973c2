"""Parsers for the operator's configuration and the engine directory in the platform's store."""

from __future__ import annotations

import re
from collections.abc import Container
from ipaddress import IPv4Address, IPv4Network
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from postvalve.core.admission.api_keys import key_digest
from postvalve.core.membership.engine_life import SEPARATOR, EngineLife
from postvalve.exceptions import MalformedJsonError, SettingsError
from postvalve.gateway.interfaces import EngineEntry, EngineState, KeyedRecord
from postvalve.json_input import parse_json
from postvalve.settings.routes import (
    BatchTerms,
    EdgeLimits,
    RepeatPolicy,
    RoutedConfiguration,
    RoutedTenant,
    RouteSpec,
    ServiceSpec,
    WeightedService,
)
from postvalve.settings.validation import (
    InvalidSettingsGroup,
    check_document,
    invalid_document,
)

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
DIRECTORY_TOPIC = "keyed.servers"
KIND_BATCH = "batch"
KIND_STREAM = "stream"
KIND_SAFE = "safe"
STATE_READY = "ready"
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
"""Maximum size of the configuration document, in bytes; 3,300 tenants take 0.3 MB."""
MAX_SLOTS = 65_535
"""Maximum number of slots of an engine: load reports count no more requests than this at one
engine."""
MAX_WARM_IN_MS = 3_600_000.0
"""Maximum remaining warm-up time in an engine's entry, in milliseconds (one hour)."""
MAX_ID_BYTES = 255
"""Maximum size of an engine's id, in bytes: that of a key of the store."""
MAX_TEXT_LENGTH = 255
"""Maximum length of an engine's service, zone and version, in characters."""
MAX_BORN_MS = 2**53
"""Maximum start time in an engine's entry, in Unix milliseconds. Every JSON library can represent
integers up to this one exactly."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Split(_Model):
    service: str
    weight: float = 1.0


class _Route(_Model):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    kind: str
    timeoutMs: float = 30_000.0  # noqa: N815
    targetLatencyMs: float = 1_000.0  # noqa: N815
    gapAimMs: float | None = None  # noqa: N815
    maxAttempts: int = 1  # noqa: N815
    priority: int = 0
    service: str | None = None
    trafficSplit: list[_Split] | None = None  # noqa: N815
    resumable: bool = False
    allowAnonymous: bool = False  # noqa: N815
    runAimMs: float = 20_000.0  # noqa: N815
    keepS: float = 60.0  # noqa: N815
    maxQueuedTokens: int = 0  # noqa: N815

    def to_route(self) -> RouteSpec:
        """Convert to a postvalve route."""
        targets = tuple(
            WeightedService(service=split.service, weight=split.weight)
            for split in self.trafficSplit or ()
        )
        if not targets and self.service is not None:
            targets = (WeightedService(service=self.service),)
        return RouteSpec(
            name=self.name,
            host=self.host,
            path_prefix=self.pathPrefix,
            targets=targets,
            streamed=self.kind == KIND_STREAM,
            repeat=self._repeat(),
            timeout=self.timeoutMs / 1000,
            target_latency=self.targetLatencyMs / 1000,
            pause_aim=self.gapAimMs / 1000 if self.gapAimMs else None,
            max_attempts=max(1, self.maxAttempts),
            priority=self.priority,
            batch=self._batch(),
            anonymous=self.allowAnonymous,
        )

    def _repeat(self) -> RepeatPolicy:
        if self.resumable:
            return RepeatPolicy.RESUMABLE
        return RepeatPolicy.SAFE if self.kind == KIND_SAFE else RepeatPolicy.ONCE

    def _batch(self) -> BatchTerms | None:
        if self.kind != KIND_BATCH:
            return None
        return BatchTerms(
            run_target=self.runAimMs / 1000,
            keep=self.keepS,
            max_queued_tokens=self.maxQueuedTokens,
        )


class _Engine(_Model):
    slots: int = 1
    kvTokens: int = 0  # noqa: N815


class _Service(_Model):
    name: str
    maxConnections: int = 0  # noqa: N815
    engine: _Engine = _Engine()


class _Tenant(_Model):
    name: str
    apiKeys: list[Annotated[str, Field(min_length=1)]] = []  # noqa: N815
    priority: int | None = None
    ratePerS: float | None = None  # noqa: N815
    burst: float | None = None

    def to_tenant(self) -> RoutedTenant:
        """Convert to a postvalve tenant, which holds only digests of its keys."""
        return RoutedTenant(
            name=self.name,
            key_digests=tuple(dict.fromkeys(map(key_digest, self.apiKeys))),
            priority=self.priority,
            rate=self.ratePerS or 0.0,
            burst=self.burst or 0.0,
        )


class _Limits(_Model):
    maxHeaderBytes: int = 16_384  # noqa: N815
    maxBodyBytes: int = 4_194_304  # noqa: N815
    headerTimeoutMs: float = 3_000.0  # noqa: N815
    idleTimeoutMs: float = 15_000.0  # noqa: N815


class _Configuration(_Model):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


def parse_configuration(document: bytes) -> RoutedConfiguration:
    """Parse the operator's configuration document.

    Raises:
        InvalidSettingsGroup: The document is invalid; contains one error for each problem.
    """
    try:
        parsed = parse_json(document, MAX_CONFIGURATION_BYTES)
    except MalformedJsonError as error:
        problem = SettingsError(CONFIGURATION_KEY, str(error))
        raise InvalidSettingsGroup("the configuration is not valid JSON", [problem]) from None
    source = check_document(_Configuration, parsed, CONFIGURATION_KEY)
    try:
        return _to_routed_configuration(source)
    except ValidationError as error:
        raise invalid_document(error, CONFIGURATION_KEY) from None


def _to_routed_configuration(source: _Configuration) -> RoutedConfiguration:
    limits = source.limits
    return RoutedConfiguration(
        revision=source.version,
        routes=tuple(route.to_route() for route in source.routes),
        services=tuple(
            ServiceSpec(
                name=service.name,
                max_connections=service.maxConnections,
                slots=service.engine.slots,
                memory_tokens=service.engine.kvTokens,
            )
            for service in source.services
        ),
        limits=EdgeLimits(
            header_bytes=limits.maxHeaderBytes,
            body_bytes=limits.maxBodyBytes,
            header_timeout=limits.headerTimeoutMs / 1000,
            idle_timeout=limits.idleTimeoutMs / 1000,
        ),
        tenants=None
        if source.tenants is None
        else tuple(tenant.to_tenant() for tenant in source.tenants),
    )


# Ids are sent in the head of a request, which control characters would end, and whose characters
# are those of Latin-1.
_ENGINE_ID = re.compile(r"[\x20-\x7e\xa0-\xff]+")
_EntryText = Annotated[str, Field(max_length=MAX_TEXT_LENGTH, pattern=r"^[^\x00-\x1f\x7f]*$")]
_NO_HOST_NETWORKS = tuple(map(IPv4Network, ("0.0.0.0/8", "224.0.0.0/4", "240.0.0.0/4")))
"""This network, multicast, and reserved addresses with the broadcast address: none is a host's."""


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    address = IPv4Address(host)
    if any(address in network for network in _NO_HOST_NETWORKS):
        raise ValueError(f"no address of a host: {host}")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65_536):
        raise ValueError(f"invalid port {port[:20]!r}")
    return text


class _Entry(BaseModel):
    """Entry that an engine publishes about itself in the directory.

    Other programs may write to the same topic, so every field is required and its type checked
    strictly. Only `born` is optional, since older engines do not publish it.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    service: _EntryText = Field(min_length=1)
    address: Annotated[str, AfterValidator(_check_address)]
    zone: _EntryText = Field(min_length=1)
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    version: _EntryText
    sequence: int = Field(ge=0)
    warm_in_ms: float = Field(ge=0, le=MAX_WARM_IN_MS, alias="coldRemainingMs")
    """Remaining time, in milliseconds, in which the engine is still slow after its start."""
    born: int = Field(0, ge=0, le=MAX_BORN_MS)
    """Start of the engine, in Unix milliseconds; 0 if it was not published."""


def parse_engine(
    record: KeyedRecord, own_addresses: Container[str] = frozenset()
) -> EngineEntry | None:
    """Parse an entry of the engine directory; return None if it is invalid.

    Args:
        record: The entry, with the engine's id as its key.
        own_addresses: Addresses at which this node itself listens; none of them is an engine's.
    """
    if not _ENGINE_ID.fullmatch(record.key) or SEPARATOR in record.key:
        return None
    if len(record.key.encode()) > MAX_ID_BYTES:
        return None
    try:
        entry = _Entry.model_validate_json(record.value)
    except ValidationError:
        return None
    if entry.address in own_addresses:
        return None
    ready = entry.state == STATE_READY
    return EngineEntry(
        life=EngineLife.of(record.key, entry.born),
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        state=EngineState.READY if ready else EngineState.LEAVING,
        version=entry.version,
        warm_in=entry.warm_in_ms / 1000,
    )
