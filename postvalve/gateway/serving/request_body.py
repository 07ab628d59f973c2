"""Reads request bodies: what has arrived at once, the rest at a minimum rate."""

from __future__ import annotations

import contextlib
import math
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
"""Minimum rate of a body in bytes per second: a third of the rate of the slowest mobile links."""
READ_BLOCK = MIN_BODY_RATE
"""Bytes per read of a body that arrives slowly: one second at the minimum rate."""

TURN_BYTES = 16 * 1024
"""Bytes of a chunked body, its framing included, after which other connections are served."""
MAX_FRAMING = 8
"""Bytes that a chunked body may take on the wire for each one that it may hold."""
MIN_FRAMING_BYTES = 65_536
"""Bytes of framing that any chunked body may have, trailers included."""
MAX_DISCARD_BYTES = 4 * 1024 * 1024
"""Bytes that are read of the rest of a body that is too large."""
MAX_DISCARD_TIME = 1.0
"""Seconds for which such a rest is read."""

Receive = Callable[[], bytes]
"""Returns the next bytes of a body; empty at its end."""


class SlowBodyError(RefusedError):
    """The body arrived too slowly, or there was no memory for it; the request did not run."""

    code = "body_too_slow"
    error_type = "timeout_error"
    http_status = 408


class UnreadBodyError(RequestTooLargeError):
    """The body is too large, and so is its rest, which will not be read."""


class CutBodyError(InvalidRequestError):
    """The connection ended before the body did, or the body's framing is malformed or too large."""


UNREAD_ERRORS = (SlowBodyError, UnreadBodyError, CutBodyError)
"""Errors after which a connection can't be used for another request."""


class ChunkReader:
    """Reads the wire form of a chunked body: no more than a limit, and others in between."""

    def __init__(self, rfile: Any, limit: float) -> None:
        self._rfile = rfile
        self._left = limit
        self._in_turn = 0

    def read(self, size: int) -> bytes:
        """Read up to `size` bytes.

        Raises:
            OSError: The connection failed, or the limit is exceeded.
        """
        return self._count(self._rfile.read(size))

    def readline(self, size: int) -> bytes:
        """Read up to the end of a line, and up to `size` bytes; see `read`."""
        return self._count(self._rfile.readline(size))

    def _count(self, data: bytes) -> bytes:
        self._left -= len(data)
        if self._left < 0:
            raise OSError("the body has too much framing")
        self._in_turn += len(data)
        if self._in_turn >= TURN_BYTES:
            self._in_turn = 0
            gevent.sleep(0)
        return data


@dataclass(slots=True)
class BodyReader:
    """Reads the body of one request."""

    environ: dict[str, Any]
    max_bytes: int | None
    """Maximum size of the body in bytes; None while no configuration sets one."""
    max_lag: float
    """Seconds that the body may fall behind the minimum rate."""
    slow_clients: SlowClients
    request_id: Callable[[], str]

    def read(self) -> bytes:
        """Read the whole body.

        Raises:
            RequestTooLargeError: as soon as the size is known to exceed the limit. The rest was
                read.
            UnreadBodyError: the same, but the rest will not be read.
            SlowBodyError: the rest will not be read.
            CutBodyError: the connection ended before the body did, or its framing is malformed.
        """
        source = self.environ["wsgi.input"]
        if source.chunked_input:
            limit = math.inf if self.max_bytes is None else MAX_FRAMING * self.max_bytes
            source.rfile = ChunkReader(source.rfile, limit + MIN_FRAMING_BYTES)
        try:
            return self._read(source)
        except RequestTooLargeError as error:
            if not self._discard(source):
                raise UnreadBodyError(error.message) from error
            raise

    def _read(self, source: Any) -> bytes:
        try:
            length = int(self.environ.get("CONTENT_LENGTH") or 0)
            self._check(length)
            if source.chunked_input or source.socket is not None:
                return self._read_rest(source, [], lambda: source.read(READ_BLOCK))
            parts = list(self._received_parts(source, length))
            if source.position >= length:
                return b"".join(parts)
            return self._read_rest(source, parts, lambda: self._receive(source, length))
        except (OSError, ValueError) as error:
            _stop_reading(source)
            raise CutBodyError("the request's body was cut, or is malformed") from error

    def _discard(self, source: Any) -> bool:
        """Read the rest of a refused body, as its client may read no answer before all is sent.

        Returns:
            Whether all of it was read.
        """
        clock = self.slow_clients.clock
        ends_at, left = clock.monotonic() + MAX_DISCARD_TIME, MAX_DISCARD_BYTES
        with contextlib.suppress(OSError):
            while left > 0 and (seconds := ends_at - clock.monotonic()) > 0:
                part = None
                with gevent.Timeout(seconds, exception=False):
                    part = source.read(TURN_BYTES)
                if part == b"":
                    return True
                if part is None:
                    break
                left -= len(part)
                gevent.sleep(0)
        _stop_reading(source)
        return False

    def _check(self, size: int) -> None:
        if self.max_bytes is not None and size > self.max_bytes:
            raise RequestTooLargeError(f"body over {self.max_bytes} bytes")

    def _received_parts(self, source: Any, length: int) -> Iterator[bytes]:
        """Yield what has already arrived, mostly the whole body.

        After a short read the reader's own buffer is empty.
        """
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
        """Read the next part from the socket itself; empty after the end of the body."""
        if source.position >= length:
            return b""
        wanted = min(READ_BLOCK, length - source.position)
        part: bytes = self.environ[CONNECTION_KEY].recv(wanted)
        if not part:
            raise OSError("connection closed before the end of the body")
        source.position += len(part)
        return part

    def _read_rest(self, source: Any, parts: list[bytes], receive: Receive) -> bytes:
        """Read the rest at the minimum rate.

        Once the client lags, the part received so far counts as held memory.
        """
        clock = self.slow_clients.clock
        pace = MinTransferRate(MIN_BODY_RATE, self.max_lag, clock.monotonic())
        body = _PartialBody(parts, self.slow_clients, self.request_id, self.environ[CONNECTION_KEY])
        try:
            while not body.given_up:
                part = self._next_part(receive, pace)
                if part is None:
                    raise self._too_slow_error(source, body.size, "its pace")
                if not part:
                    return b"".join(parts)
                body.add(part)
                self._check(body.size)
                pace.record(len(part), clock.monotonic())
        except OSError:
            # Reading also ends with an error where the client was given up for others.
            if not body.given_up:
                raise
        finally:
            body.close()
        raise self._too_slow_error(source, body.size, "no room for it")

    def _next_part(self, receive: Receive, pace: MinTransferRate) -> bytes | None:
        """Return the next part; None if it does not arrive at the minimum rate."""
        left = max(0.0, pace.seconds_left(self.slow_clients.clock.monotonic()))
        with gevent.Timeout(left, exception=False):
            return receive()
        return None

    def _too_slow_error(self, source: Any, size: int, cause: str) -> SlowBodyError:
        _stop_reading(source)
        self.slow_clients.metrics.slow_clients.labels("body").inc()
        self.slow_clients.events.emit(
            Event.BODY_TOO_SLOW, request=self.request_id(), size=size, cause=cause
        )
        return SlowBodyError(f"the body came too slowly: {cause}")


def _stop_reading(source: Any) -> None:
    """Keep the server from reading the rest of the body."""
    source.content_length = source.position
    source.chunked_input = False


class _PartialBody:
    """The part of a body received so far; it counts as held memory once the client lags."""

    def __init__(
        self,
        parts: list[bytes],
        slow: SlowClients,
        request_id: Callable[[], str],
        connection: Any,
    ) -> None:
        self.parts = parts
        self.size = sum(map(len, parts))
        """Bytes received."""
        self._slow_clients = slow
        self._request_id = request_id
        self._connection = connection
        self._holding: BufferAccount | None = None
        # Runs in a greenlet, so that a body of which nothing more arrives is counted too.
        self._lag_watch = gevent.spawn(self._hold_when_lagging)

    @property
    def given_up(self) -> bool:
        """Whether the client was given up because others needed the memory."""
        return self._holding is not None and self._holding.cause is not None

    def add(self, part: bytes) -> None:
        """Append a part."""
        self.parts.append(part)
        self.size += len(part)
        if self._holding is not None:
            self._slow_clients.hold(self._holding, len(part))

    def close(self) -> None:
        """Release the memory: the body is complete, or will not be read any further."""
        # Blocks until the greenlet has ended, since it must not count the body after this.
        self._lag_watch.kill()
        if self._holding is not None:
            self._slow_clients.unregister(self._holding)

    def _hold_when_lagging(self) -> None:
        await_lag(self._connection, select.POLLIN)
        self._holding = self._slow_clients.register("", self._request_id(), self._stop_reading)
        self._slow_clients.hold(self._holding, self.size)

    def _stop_reading(self) -> None:
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RD)
