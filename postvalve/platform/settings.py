"""The settings file that the platform writes for each process on a machine."""

from __future__ import annotations

import os
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

from postvalve.core.admission.callers import KeyPolicy
from postvalve.core.admission.fleet_limits import LimitBounds
from postvalve.core.serving.client_buffer import slow_client_bytes
from postvalve.exceptions import MalformedJsonError, SettingsError
from postvalve.gateway.interfaces import AnswerLimits, GatewaySettings
from postvalve.json_input import parse_json
from postvalve.settings.validation import InvalidSettingsGroup, check_document

SETTINGS_VARIABLE = "POSTVALVE_CONFIG"
DRAIN_NOTICE = 2.6
"""Seconds until the platform, which checks readiness once a second, has seen twice that a node is
not ready."""
MIN_ANSWER_BYTES = 4_096
"""Least limit on a part of an engine's answer, in bytes."""
EVERY_ADDRESS, LOOPBACK_ADDRESS = "0.0.0.0", "127.0.0.1"
METRICS_PORT_OFFSET = 1
"""Offset of the metrics port in the process's port range, whose first port is the peers' port."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Listen(_Model):
    front: str = ""
    ready: str = ""


class _Bounds(_Model):
    graceS: float = 8.0  # noqa: N815
    settleMs: float = 1000.0  # noqa: N815
    statusS: float = 120.0  # noqa: N815
    failClosed: bool = False  # noqa: N815
    revokeMs: float = 5_000.0  # noqa: N815
    quotaWindowS: float = Field(5.0, gt=0)  # noqa: N815
    quotaOver: float = Field(0.1, ge=0)  # noqa: N815
    quotaSlack: float = Field(20.0, ge=0)  # noqa: N815


class _Limits(_Model):
    memoryMb: float | None = Field(None, gt=0)  # noqa: N815


class _Answers(_Model):
    head_bytes: int = Field(AnswerLimits.head, ge=MIN_ANSWER_BYTES)
    event_bytes: int = Field(AnswerLimits.event, ge=MIN_ANSWER_BYTES)
    body_bytes: int = Field(AnswerLimits.body, ge=MIN_ANSWER_BYTES)


class _Store(_Model):
    address: str
    parts: int = Field(8, ge=1)
    record_bytes: int = Field(262_144, ge=4_096)
    call_bytes: int = Field(2_097_152, ge=8_192)


class PlatformSettings(_Model):
    """Fields of the settings file that postvalve uses; all others are ignored."""

    node: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    ip: str = Field(min_length=1)
    listen: _Listen
    portRange: tuple[int, int]  # noqa: N815
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    answers: _Answers = _Answers()
    platform: _Store

    def own_addresses(self) -> frozenset[str]:
        """Return the addresses, as IP:PORT, at which this process can be reached."""
        first = self.portRange[0]
        found = {f"{self.ip}:{first}", f"{self.ip}:{first + METRICS_PORT_OFFSET}"}
        for listen in (self.listen.front, self.listen.ready):
            host, _, port = listen.rpartition(":")
            found |= {listen, f"{self.ip}:{port}"}
            if host in ("", EVERY_ADDRESS):
                found.add(f"{LOOPBACK_ADDRESS}:{port}")
        return frozenset(found)

    def gateway_settings(self) -> GatewaySettings:
        """Convert to the settings of a gateway process."""
        return GatewaySettings(
            node_id=self.node,
            zone=self.zone,
            listen=self.listen.front,
            ready_listen=self.listen.ready,
            peer_listen=f"{self.ip}:{self.portRange[0]}",
            metrics_listen=f"{self.ip}:{self.portRange[0] + METRICS_PORT_OFFSET}",
            grace=self.bounds.graceS,
            drain_notice=DRAIN_NOTICE,
            read_patience=self.bounds.settleMs / 1000,
            body_partitions=self.platform.parts,
            record_bytes=self.platform.record_bytes,
            call_bytes=self.platform.call_bytes,
            slow_client_bytes=slow_client_bytes(self.limits.memoryMb),
            limit_bounds=LimitBounds(
                self.bounds.quotaWindowS, self.bounds.quotaOver, self.bounds.quotaSlack
            ),
            answer_limits=AnswerLimits(
                self.answers.head_bytes, self.answers.event_bytes, self.answers.body_bytes
            ),
            key_policy=KeyPolicy(self.bounds.failClosed, self.bounds.revokeMs / 1000),
        )


def settings_path() -> Path:
    """Return the path of the settings file, from the environment.

    Raises:
        InvalidSettingsGroup: The environment variable is not set.
    """
    text = os.environ.get(SETTINGS_VARIABLE, "")
    if not text:
        problem = SettingsError(SETTINGS_VARIABLE, "is not set")
        raise InvalidSettingsGroup("no settings file given", [problem])
    return Path(text)


def load_settings(path: Path) -> PlatformSettings:
    """Load the settings file, which the platform renders as JSON from a template.

    Raises:
        InvalidSettingsGroup: The file is unreadable or invalid; contains one error for each
            problem.
    """
    try:
        document = parse_json(path.read_bytes())
    except (OSError, MalformedJsonError) as error:
        problem = SettingsError(str(path), str(error))
        raise InvalidSettingsGroup(f"{path} cannot be read", [problem]) from None
    return check_document(PlatformSettings, document, str(path))
