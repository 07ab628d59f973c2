"""Client of a model engine: starts and cancels attempts, reads the load, orders model changes.

Every failure has a verdict on whether the request may have run. Online and batch requests use
separate connection pools, so that neither waits for the other.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse

from postvalve.core.serving.json_end import is_json_cut
from postvalve.exceptions import (
    AttemptError,
    CrossedAnswerError,
    EngineRejectedError,
    PlatformError,
    Verdict,
)
from postvalve.json_input import parse_json

ATTEMPT_HEADER = "X-Attempt-Id"
REQUEST_HEADER = "X-Correlation-Id"
PRIORITY_HEADER = "X-Priority"
SALT_HEADER = "X-Cache-Salt"
RESUME_HEADER = "X-Resume-Offset"
MODEL_VERSION_HEADER = "X-Model-Version"

CONNECT_TIMEOUT = 1.0
"""Time-out of connection set-up to an engine, in seconds."""
TOKEN_TIMEOUT = 30.0
"""Seconds without a byte on a stream after which the engine counts as failed."""
CONTROL_TIMEOUT = 2.0
"""Time-out of a load read, an order or a cancellation, in seconds."""
CONNECTIONS = 512
"""Maximum number of connections to one engine per traffic class."""
READ_BLOCK = 16 * 1024
"""Maximum number of bytes per read from a socket."""

EVENT_END = b"\n\n"
"""Terminator of a server-sent event."""
DONE_EVENT = b"data: [DONE]\n\n"
"""Last event of a complete stream."""


@dataclass(frozen=True, slots=True)
class EngineAttempt:
    """An attempt to run a request at an engine."""

    attempt_id: str
    request_id: str
    body: bytes
    priority: int
    """Priority at the engine; 0 is the most urgent."""
    cache_salt: str
    resume_offset: int = 0

    def headers(self) -> dict[str, str]:
        """Return the HTTP headers of the attempt."""
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
    """Load that an engine reports, which lags behind its actual load."""

    running: int
    waiting: int
    slots: int
    models: dict[str, str]
    """Version of each loaded model, by model name."""


class EngineStream(Protocol):
    """The response to an attempt, read while the engine generates it."""

    model_version: str
    """Version of the model that generates the response."""

    def events(self) -> Iterator[bytes]:
        """Yield server-sent events as bytes, including the final one.

        Raises:
            AttemptError: The stream ended before its final event (verdict MAY_HAVE_RUN).
        """
        ...

    def read_body(self) -> bytes:
        """Read the complete body of a response that is not streamed.

        Raises:
            AttemptError: The body was truncated (verdict MAY_HAVE_RUN).
        """
        ...

    def abort(self) -> None:
        """Close the connection, so that a read in progress in another greenlet fails."""
        ...

    def close(self) -> None:
        """Release the connection, and end the attempt if its response was not read completely."""
        ...


class Engine(Protocol):
    """Interface of a model engine."""

    address: str

    def open(self, attempt: EngineAttempt, *, batch: bool) -> EngineStream:
        """Start an attempt and return its stream once the engine responds.

        Raises:
            AttemptError: The attempt failed; the verdict says whether it may have run.
            EngineRejectedError: The engine considers the request invalid.
        """
        ...

    def cancel(self, attempt_id: str) -> None:
        """Ask the engine to stop an attempt; if this call fails, closing the stream does the same.

        Raises:
            PlatformError: The engine did not respond or refused.
        """
        ...

    def order(self, action: str, model: str, version: str, fencing_token: int) -> None:
        """Order the engine to load or unload a model; the load report shows when it is done.

        Raises:
            PlatformError: The engine did not respond or refused, as it does when it has seen a
                newer fencing token.
        """
        ...

    def load(self) -> EngineLoad:
        """Read the engine's load report.

        Raises:
            PlatformError: The engine did not respond or its report is malformed.
        """
        ...


class HttpEngineStream:
    """Implementation of `EngineStream` on an HTTP response."""

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
                # The answer is whole, whatever becomes of the rest of its frame.
                with contextlib.suppress(AttemptError):
                    self._read_rest()
                return

    def read_body(self) -> bytes:
        """See `EngineStream`."""
        coding = self._response.get("transfer-encoding")
        if coding is not None and str(coding).lower() != "chunked":
            raise AttemptError("the answer has an unknown transfer coding", Verdict.MAY_HAVE_RUN)
        content = self._read_rest()
        is_framed = coding is not None or "content-length" in self._response
        # Without a frame each end of the connection is the end of the body.
        is_cut = not is_framed and is_json_cut(content)
        if is_cut or not self._response.message_complete:
            raise AttemptError("the engine's answer was cut", Verdict.MAY_HAVE_RUN)
        return content

    def _read_event(self) -> bytes:
        try:
            return self._response.readline(EVENT_END)
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise _connection_error(error) from error

    def _read_rest(self) -> bytes:
        try:
            return self._response.read()
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise _connection_error(error) from error

    def abort(self) -> None:
        """See `EngineStream`."""
        connection = self._response._sock
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """See `EngineStream`. The connection is reused if the response was read completely."""
        self._response.release()


class HttpEngine:
    """HTTP client of a model engine."""

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
            raise _connection_error(error) from error

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
            raise PlatformError(f"malformed load report: {error!r}") from error

    def _control_call(self, method: str, path: str, body: bytes) -> Any:
        try:
            with self._control.request(method, path, body=body) as response:
                content = response.read()
            document = parse_json(content)
        except Exception as error:  # sockets, parser and pool raise unrelated types
            raise PlatformError(f"engine {self.address}: {error!r}") from error
        if response.status_code != 200:
            raise PlatformError(f"engine {self.address} refused: {_error_text(content)}")
        return document


def _connection_error(error: Exception) -> AttemptError:
    return AttemptError(f"the connection to the engine failed: {error!r}", Verdict.MAY_HAVE_RUN)


def _error_text(content: bytes) -> str:
    try:
        return str(parse_json(content)["error"])
    except (ValueError, KeyError, TypeError):
        return "no reason given"
