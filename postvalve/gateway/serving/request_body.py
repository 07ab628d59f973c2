"""Reads a request's body: what is there at once, the rest within a stated pace."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent

from postvalve.core.serving.client_buffer import BufferAccount
from postvalve.core.serving.transfer_rate import MinTransferRate
from postvalve.events import Event
from postvalve.exceptions import InvalidRequestError, RefusedError, RequestTooLargeError
from postvalve.gateway.serving.http_server import CONNECTION_KEY
from postvalve.gateway.serving.lag import await_lag
from postvalve.gateway.serving.read_ahead import SlowClients

MIN_BODY_RATE = 4 * 1024
"""Bytes a second that a body must come at: a third of what the slowest mobile links carry."""
READ_BLOCK = MIN_BODY_RATE
"""Bytes read at once of a body that comes slowly: a second of the slowest pace."""

Receive = Callable[[], bytes]
"""Gives the next bytes of a body; nothing at its end."""


class SlowBodyError(RefusedError):
    """The body came too slowly, or there was no room for what had come of it; nothing ran."""

    code = "body_too_slow"
    error_type = "timeout_error"
    http_status = 408


@dataclass(slots=True)
class BodyReader:
    """Reads the body of one request."""

    environ: dict[str, Any]
    largest: int | None
    """Bytes; None where no limit is known yet."""
    patience: float
    """Seconds that it may fall behind the slowest pace."""
    slow: SlowClients
    request_id: Callable[[], str]

    def read(self) -> bytes:
        """The whole body.

        Raises:
            RequestTooLargeError: as soon as that is known.
            SlowBodyError: it won't be read any further; its connection can't go on.
            InvalidRequestError: it was cut.
        """
        source = self.environ["wsgi.input"]
        try:
            length = int(self.environ.get("CONTENT_LENGTH") or 0)
            self._check(length)
            if source.chunked_input or source.socket is not None:
                return self._read_rest(source, [], lambda: source.read(READ_BLOCK))
            parts = list(self._ready_parts(source, length))
            if source.position >= length:
                return b"".join(parts)
            return self._read_rest(source, parts, lambda: self._receive(source, length))
        except (OSError, ValueError) as error:
            raise InvalidRequestError("the request's body was cut") from error

    def _check(self, size: int) -> None:
        if self.largest is not None and size > self.largest:
            raise RequestTooLargeError(f"body over {self.largest} bytes")

    def _ready_parts(self, source: Any, length: int) -> Iterator[bytes]:
        """What has come already, mostly all; the reader's own buffer is empty after less."""
        connection = self.environ[CONNECTION_KEY]
        usual = connection.gettimeout()
        connection.settimeout(0.0)
        try:
            while source.position < length:
                part = source.rfile.read1(length - source.position)
                if not part:
                    return
                source.position += len(part)
                yield part
        finally:
            connection.settimeout(usual)

    def _receive(self, source: Any, length: int) -> bytes:
        """What comes next on the connection itself; nothing after the body's end."""
        if source.position >= length:
            return b""
        wanted = min(READ_BLOCK, length - source.position)
        part: bytes = self.environ[CONNECTION_KEY].recv(wanted)
        if not part:
            raise OSError("the connection ended")
        source.position += len(part)
        return part

    def _read_rest(self, source: Any, parts: list[bytes], receive: Receive) -> bytes:
        """Read on within the pace; from when it lags, what has come counts as held for it."""
        clock = self.slow.clock
        pace = MinTransferRate(MIN_BODY_RATE, self.patience, clock.monotonic())
        body = _LateBody(parts, self.slow, self.request_id, self.environ[CONNECTION_KEY])
        try:
            while not body.given_up:
                part = self._next(receive, pace)
                if part is None:
                    raise self._given_up(source, body.size, "its pace")
                if not part:
                    return b"".join(parts)
                body.add(part)
                self._check(body.size)
                pace.record(len(part), clock.monotonic())
        except OSError:
            # Reading ends like this, too, where others needed the room.
            if not body.given_up:
                raise
        finally:
            body.close()
        raise self._given_up(source, body.size, "no room for it")

    def _next(self, receive: Receive, pace: MinTransferRate) -> bytes | None:
        """What comes within the pace."""
        left = max(0.0, pace.seconds_left(self.slow.clock.monotonic()))
        with gevent.Timeout(left, exception=False):
            return receive()
        return None

    def _given_up(self, source: Any, size: int, cause: str) -> SlowBodyError:
        # The rest isn't waited for.
        source.content_length = source.position
        source.chunked_input = False
        self.slow.metrics.slow_clients.labels("body").inc()
        self.slow.events.emit(
            Event.BODY_TOO_SLOW, request=self.request_id(), size=size, cause=cause
        )
        return SlowBodyError(f"the body came too slowly: {cause}")


class _LateBody:
    """What has come of a body; held for a slow client from when it lags."""

    def __init__(
        self,
        parts: list[bytes],
        slow: SlowClients,
        request_id: Callable[[], str],
        connection: Any,
    ) -> None:
        self.parts = parts
        self.size = sum(map(len, parts))
        """Bytes."""
        self._slow = slow
        self._request_id = request_id
        self._connection = connection
        self._holding: BufferAccount | None = None
        # Counts also a body of which nothing more comes.
        self._counter = gevent.spawn(self._count_when_late)

    @property
    def given_up(self) -> bool:
        """Whether others needed the room."""
        return self._holding is not None and self._holding.cause is not None

    def add(self, part: bytes) -> None:
        """Keep what came."""
        self.parts.append(part)
        self.size += len(part)
        if self._holding is not None:
            self._slow.hold(self._holding, len(part))

    def close(self) -> None:
        """It is here, or won't be read any further."""
        # Waited for: it must not begin to count after this.
        self._counter.kill()
        if self._holding is not None:
            self._slow.unregister(self._holding)

    def _count_when_late(self) -> None:
        await_lag(self._connection, select.POLLIN)
        self._holding = self._slow.register("", self._request_id(), self._stop_reading)
        self._slow.hold(self._holding, self.size)

    def _stop_reading(self) -> None:
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RD)
