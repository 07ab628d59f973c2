"""Settings of a node process: a TOML file, overridden by command-line flags."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field

from postvalve.exceptions import SettingsError
from postvalve.settings.strict_model import Name, StrictModel
from postvalve.settings.validation import InvalidSettingsGroup, check_document

Address = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]
"""An IP address and a port, such as 127.0.0.1:8080."""

Url = Annotated[str, Field(pattern=r"^http://[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]
"""A base URL with an IP address as host, such as http://127.0.0.1:8080."""


class HttpSettings(StrictModel):
    """Limits of the HTTP interface for callers."""

    max_body_bytes: int = Field(16 * 1024 * 1024, gt=0, description="bytes of a request's body")
    max_file_bytes: int = Field(512 * 1024 * 1024, gt=0, description="bytes of an uploaded file")
    max_items_per_job: int = Field(300_000, gt=0, description="lines of a batch input file")
    max_connections: int = Field(4_096, gt=0, description="concurrent connections")
    idle_timeout: float = Field(60.0, gt=0, description="seconds a connection may stay silent")
    request_timeout: float = Field(
        600.0, gt=0, description="seconds; deadline of requests that give none"
    )


class TimingSettings(StrictModel):
    """Intervals and time-outs of a node's background tasks, in seconds."""

    heartbeat_interval: float = Field(1.0, gt=0, description="seconds between heartbeats")
    dead_after: float = Field(4.0, gt=0, description="seconds of silence until a node is dead")
    digest_interval: float = Field(5.0, gt=0, description="seconds between zone digests")
    machine_list_interval: float = Field(2.0, gt=0, description="seconds between list reads")
    load_report_interval: float = Field(1.0, gt=0, description="seconds between load reads")
    lease_duration: float = Field(10.0, gt=0, description="seconds a shard lease lasts")
    lease_renewal: float = Field(3.0, gt=0, description="seconds between lease renewals")
    pull_interval: float = Field(
        0.25, gt=0, description="seconds between checks for free slots, in case an event was missed"
    )
    drain_timeout: float = Field(600.0, gt=0, description="seconds a drain waits for streams")
    log_retry_after: float = Field(
        2.0, gt=0, description="Retry-After, in seconds, while the log is unavailable"
    )


class NodeSettings(StrictModel):
    """Settings of the command `postvalve node`."""

    node_id: Name = Field(description="unique name of this node")
    zone: Name = Field(description="zone of this machine")
    region: Name = Field("default", description="region of this machine")
    listen: Address = Field(description="address of the HTTP interface for callers")
    labels: dict[Name, Name] = Field({}, description="labels that selectors match")
    peer_listen: Address = Field(description="TCP and UDP address for other nodes")
    log_url: Url = Field(description="the platform's log service")
    machine_list_url: Url = Field(description="the platform's machine list")
    shards: int = Field(16, gt=0, le=65_536, description="shards of the batch work; fleet-wide")
    http: HttpSettings = HttpSettings()
    timing: TimingSettings = TimingSettings()


def load_node_settings(path: Path | None, overrides: dict[str, Any]) -> NodeSettings:
    """Load the settings file and apply the flags on top of it.

    Args:
        path: TOML file; None if all settings are given by flags.
        overrides: Values from flags by field name; None values are ignored.

    Raises:
        InvalidSettingsGroup: The settings are unreadable or invalid; contains one error for each
            problem.
    """
    document = _read_toml(path) if path is not None else {}
    document.update({name: value for name, value in overrides.items() if value is not None})
    return check_document(NodeSettings, document, str(path) if path else "flags")


def _read_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = SettingsError(str(path), str(error))
        raise InvalidSettingsGroup(f"{path} cannot be read", [problem]) from None
