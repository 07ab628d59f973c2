"""Client of the platform's append-only log.

The log has named streams whose records are numbered from 0 in append order, and no conditional
operations. An append whose response is lost may have taken effect, so it is repeated, and readers
drop duplicates by record id.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from postvalve.exceptions import LogUnavailableError, Verdict
from postvalve.json_input import parse_json

MAX_RECORD_BYTES = 8 * 1024 * 1024
DEFAULT_READ_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT = 2.0
"""Time-out of connection set-up to the log, in seconds."""
ANSWER_TIMEOUT = 5.0
"""Time-out of an append or read in seconds, in addition to the time that a read may wait."""
ZONE_HEADER = "X-Zone"


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record of a stream with its offset."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogSlice:
    """Records in offset order, and the end of the stream when they were read."""

    entries: tuple[LogEntry, ...]
    next_offset: int
    end_offset: int

    @property
    def caught_up(self) -> bool:
        """Whether the slice reaches the end of the stream."""
        return self.next_offset >= self.end_offset


class LogService(Protocol):
    """Interface of a log."""

    def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailableError: The append failed. The verdict is NOT_RUN only if the record was
                certainly not appended.
        """
        ...

    def read(
        self, stream: str, offset: int, *, wait: float = 0.0, limit: int = DEFAULT_READ_BYTES
    ) -> LogSlice:
        """Read records from `offset`, about `limit` bytes; wait up to `wait` seconds for the first.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        ...


def read_all(log: LogService, stream: str, offset: int = 0) -> Iterable[LogEntry]:
    """Yield all records from `offset` up to the end that the last read has seen."""
    while True:
        part = log.read(stream, offset)
        yield from part.entries
        offset = part.next_offset
        if part.caught_up:
            return


class HttpLog:
    """HTTP client of the log, with separate connection pools for appends, reads and long polls."""

    def __init__(self, url: str, zone: str, *, concurrency: int = 64) -> None:
        self._url = URL(url)
        self._headers = {ZONE_HEADER: zone}
        self._append_client = self._client(concurrency, ANSWER_TIMEOUT)
        self._read_client = self._client(concurrency, ANSWER_TIMEOUT)
        self._poll_clients: dict[float, HTTPClient] = {}

    def _client(self, concurrency: int, timeout: float) -> HTTPClient:
        return HTTPClient(
            self._url.host,
            port=self._url.port,
            concurrency=concurrency,
            connection_timeout=CONNECT_TIMEOUT,
            network_timeout=timeout,
        )

    def append(self, stream: str, payload: bytes) -> int:
        """See `LogService`."""
        if len(payload) > MAX_RECORD_BYTES:
            raise ValueError(f"record of {len(payload)} bytes exceeds {MAX_RECORD_BYTES} bytes")
        path = f"/streams/{quote(stream, safe='')}/records"
        answer = self._call(self._append_client, "POST", path, payload)
        return int(answer["offset"])

    def read(
        self, stream: str, offset: int, *, wait: float = 0.0, limit: int = DEFAULT_READ_BYTES
    ) -> LogSlice:
        """See `LogService`."""
        path = (
            f"/streams/{quote(stream, safe='')}/records"
            f"?offset={offset}&limit={limit}&wait={wait:.3f}"
        )
        answer = self._call(self._read_client_for(wait), "GET", path, b"")
        entries = tuple(
            LogEntry(offset + index, base64.b64decode(payload))
            for index, payload in enumerate(answer["records"])
        )
        return LogSlice(entries, offset + len(entries), int(answer["end"]))

    def _read_client_for(self, wait: float) -> HTTPClient:
        if wait <= 0:
            return self._read_client
        if wait not in self._poll_clients:
            self._poll_clients[wait] = self._client(1024, wait + ANSWER_TIMEOUT)
        return self._poll_clients[wait]

    def _call(self, client: HTTPClient, method: str, path: str, body: bytes) -> dict:
        try:
            response = client.request(method, path, body=body, headers=self._headers)
            with response:
                content = response.read()
        except ConnectionRefusedError as error:
            raise LogUnavailableError(f"log refused: {error}", Verdict.NOT_RUN) from error
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise LogUnavailableError(f"log: {error!r}", Verdict.MAY_HAVE_RUN) from error
        if response.status_code == 503:
            raise LogUnavailableError("log is unavailable", Verdict.NOT_RUN)
        if response.status_code != 200:
            raise LogUnavailableError(f"log: {response.status_code}", Verdict.MAY_HAVE_RUN)
        return self._decode(content)

    @staticmethod
    def _decode(content: bytes) -> dict:
        try:
            return parse_json(content)
        except ValueError as error:
            raise LogUnavailableError("log answered no JSON", Verdict.MAY_HAVE_RUN) from error
