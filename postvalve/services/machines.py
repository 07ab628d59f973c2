"""Client of the platform's machine list, which lags and is therefore used only as a hint."""

from __future__ import annotations

from typing import Protocol

from geventhttpclient import HTTPClient
from geventhttpclient.url import URL
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from postvalve.exceptions import PlatformError
from postvalve.json_input import parse_json
from postvalve.states import MachineKind, MachineState

ANSWER_TIMEOUT = 3.0
"""Time-out of a read of the list, in seconds."""


class Machine(BaseModel):
    """A machine of the platform's list.

    `address` is IP:PORT: the peer interface of a node, or the HTTP interface of an engine.
    """

    model_config = ConfigDict(frozen=True)

    machine_id: str
    kind: MachineKind
    address: str
    zone: str
    labels: dict[str, str] = {}
    state: MachineState = MachineState.LIVE


MACHINE_LIST = TypeAdapter(list[Machine])
"""Validates and serializes the list as JSON."""


class MachineList(Protocol):
    """Interface of the machine list."""

    def fetch(self) -> list[Machine]:
        """Fetch the complete list.

        Raises:
            PlatformError: The list could not be fetched or is malformed.
        """
        ...


class HttpMachineList:
    """HTTP client of the machine list."""

    def __init__(self, url: str) -> None:
        parsed = URL(url)
        self._client = HTTPClient(
            parsed.host,
            port=parsed.port,
            concurrency=2,
            connection_timeout=ANSWER_TIMEOUT,
            network_timeout=ANSWER_TIMEOUT,
        )

    def fetch(self) -> list[Machine]:
        """See `MachineList`."""
        try:
            with self._client.get("/machines") as response:
                content = response.read()
            return MACHINE_LIST.validate_python(parse_json(content))
        except (ValidationError, ValueError) as error:
            raise PlatformError(f"malformed machine list: {error}") from error
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise PlatformError(f"machine list: {error!r}") from error
