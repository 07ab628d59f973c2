"""Adapter to one model engine: open a stream, cancel an attempt, read the load.

Every failure says whether the request may have run. Online and batch work use
connections of their own, so that neither waits for the other.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse

from postvalve.exceptions import (
    AttemptError,
    CrossedAnswerError,
    EngineRejectedError,
    PlatformError,
    Verdict,
)

ATTEMPT_HEADER = "X-Attempt-Id"
REQUEST_HEADER = "X-Correlation-Id"
PRIORITY_HEADER = "X-Priority"
SALT_HEADER = "X-Cache-Salt"
RESUME_HEADER = "X-Resume-Offset"
MODEL_VERSION_HEADER = "X-Model-Version"

CONNECT_TIMEOUT = 1.0
"""Seconds to open a connection to an engine."""
TOKEN_TIMEOUT = 30.0
"""Seconds of silence on a stream until the engine counts as failed."""
CONTROL_TIMEOUT = 2.0
"""Seconds until a load read, an order or a cancel counts as unanswered."""
CONNECTIONS = 512
"""Connections to one engine for each kind of work."""
READ_BLOCK = 16 * 1024
"""Bytes asked of a socket at once."""

EVENT_END = b"\n\n"
"""Ends one server-sent event."""
DONE_EVENT = b"data: [DONE]\n\n"
"""The event that ends a whole stream."""


@dataclass(frozen=True, slots=True)
class EngineAttempt:
    """One attempt to run a request at an engine."""

    attempt_id: str
    request_id: str
    body: bytes
    priority: int
    """0 runs first."""
    cache_salt: str
    resume_offset: int = 0

    def headers(self) -> dict[str, str]:
        """The attempt as headers."""
        return {
            "Content-Type": "application/json",
            ATTEMPT_HEADER: self.attempt_id,
            REQUEST_HEADER: self.request_id,
            PRIORITY_HEADER: str(self.priority),
            SALT_HEADER: self.cache_salt,
            RESUME_HEADER: str(self.resume_offset),
        }


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """An engine's report of its load, which lags."""

    running: int
    waiting: int
    slots: int
    models: dict[str, str]
    """Model name to version."""


class EngineStream(Protocol):
    """The answer to one attempt, as it comes."""

    model_version: str
    """Version of the model that answers."""

    def events(self) -> Iterator[bytes]:
        """Yield server-sent events as bytes, the last one included.

        Raises:
            AttemptError: with MAY_HAVE_RUN when the stream ends before its last event.
        """
        ...

    def read_body(self) -> bytes:
        """Read a whole answer that is not streamed.

        Raises:
            AttemptError: with MAY_HAVE_RUN when it is cut.
        """
        ...

    def abort(self) -> None:
        """Close the connection under a greenlet that reads from it, whose read then fails."""
        ...

    def close(self) -> None:
        """End the attempt when its answer was not read to the end."""
        ...


class Engine(Protocol):
    """What postvalve needs of one engine."""

    address: str

    def open(self, attempt: EngineAttempt, *, batch: bool) -> EngineStream:
        """Start an attempt and return its stream once the engine answers.

        Raises:
            AttemptError: with the verdict.
            EngineRejectedError: the engine finds the request invalid.
        """
        ...

    def cancel(self, attempt_id: str) -> None:
        """Ask the engine to stop an attempt; a lost request is made good by closing its stream.

        Raises:
            PlatformError: when the engine did not answer as it should.
        """
        ...

    def order(self, action: str, model: str, version: str, fencing_token: int) -> None:
        """Order to load or unload a model; the load report tells when it is done.

        Raises:
            PlatformError: refused, as an older fencing token is, or not answered.
        """
        ...

    def load(self) -> EngineLoad:
        """Read the load report.

        Raises:
            PlatformError: when the engine did not answer as it should.
        """
        ...


class HttpEngineStream:
    """The answer to one attempt, as it comes."""

    def __init__(self, response: HTTPSocketPoolResponse) -> None:
        self._response = response
        self.model_version = str(response.get(MODEL_VERSION_HEADER, ""))

    def events(self) -> Iterator[bytes]:
        """See `EngineStream`."""
        while True:
            event = self._read_event()
            if not event:
                raise AttemptError("the engine's stream was cut", Verdict.MAY_HAVE_RUN)
            yield event
            if event == DONE_EVENT:
                self._read_rest()
                return

    def read_body(self) -> bytes:
        """See `EngineStream`."""
        content = self._read_rest()
        if not self._response.message_complete:
            raise AttemptError("the engine's answer was cut", Verdict.MAY_HAVE_RUN)
        return content

    def _read_event(self) -> bytes:
        try:
            return self._response.readline(EVENT_END)
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise _cut(error) from error

    def _read_rest(self) -> bytes:
        try:
            return self._response.read()
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise _cut(error) from error

    def abort(self) -> None:
        """See `EngineStream`."""
        connection = self._response._sock
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """See `EngineStream`. The connection is used again when the answer was read whole."""
        self._response.release()


class HttpEngine:
    """One engine over HTTP."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._online = self._client(CONNECTIONS, TOKEN_TIMEOUT)
        self._batch = self._client(CONNECTIONS, TOKEN_TIMEOUT)
        self._control = self._client(4, CONTROL_TIMEOUT)

    def _client(self, concurrency: int, timeout: float) -> HTTPClient:
        host, _, port = self.address.rpartition(":")
        return HTTPClient(
            host,
            port=int(port),
            concurrency=concurrency,
            block_size=READ_BLOCK,
            connection_timeout=CONNECT_TIMEOUT,
            network_timeout=timeout,
        )

    def open(self, attempt: EngineAttempt, *, batch: bool) -> HttpEngineStream:
        """See `Engine`."""
        client = self._batch if batch else self._online
        response = self._post(client, attempt)
        if response.status_code != 200:
            self._raise_refusal(response)
        if response.get(ATTEMPT_HEADER) != attempt.attempt_id:
            response.release()
            raise CrossedAnswerError
        return HttpEngineStream(response)

    def _post(self, client: HTTPClient, attempt: EngineAttempt) -> HTTPSocketPoolResponse:
        try:
            return client.request(
                "POST", "/v1/chat/completions", body=attempt.body, headers=attempt.headers()
            )
        except ConnectionRefusedError as error:
            raise AttemptError("the engine refused the connection", Verdict.NOT_RUN) from error
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise _cut(error) from error

    def _raise_refusal(self, response: HTTPSocketPoolResponse) -> None:
        with response:
            content = response.read()
        if response.status_code in (400, 422):
            raise EngineRejectedError(_error_text(content))
        if response.status_code in (409, 429, 503):
            raise AttemptError(f"the engine refused: {_error_text(content)}", Verdict.NOT_RUN)
        raise AttemptError(f"the engine answered {response.status_code}", Verdict.MAY_HAVE_RUN)

    def cancel(self, attempt_id: str) -> None:
        """See `Engine`."""
        path = f"/v1/attempts/{quote(attempt_id, safe='')}"
        self._control_call("DELETE", path, b"")

    def order(self, action: str, model: str, version: str, fencing_token: int) -> None:
        """See `Engine`."""
        document = {
            "action": action,
            "model": model,
            "version": version,
            "fencing_token": fencing_token,
        }
        self._control_call("POST", "/v1/orders", json.dumps(document).encode("utf-8"))

    def load(self) -> EngineLoad:
        """See `Engine`."""
        document = self._control_call("GET", "/v1/load", b"")
        try:
            return EngineLoad(
                running=int(document["running"]),
                waiting=int(document["waiting"]),
                slots=int(document["slots"]),
                models={str(name): str(value) for name, value in document["models"].items()},
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformError(f"load report is malformed: {error!r}") from error

    def _control_call(self, method: str, path: str, body: bytes) -> Any:
        try:
            with self._control.request(method, path, body=body) as response:
                content = response.read()
            document = json.loads(content)
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise PlatformError(f"engine {self.address}: {error!r}") from error
        if response.status_code != 200:
            raise PlatformError(f"engine {self.address} refused: {_error_text(content)}")
        return document


def _cut(error: Exception) -> AttemptError:
    return AttemptError(f"the connection to the engine failed: {error!r}", Verdict.MAY_HAVE_RUN)


def _error_text(content: bytes) -> str:
    try:
        return str(json.loads(content)["error"])
    except (ValueError, KeyError, TypeError):
        return "no reason given"
