"""Connections to engines: one request at a time on each, kept for the next one.

A connection is used again only when its last answer was whole, nothing came after it, and
nothing came while it rested. Every failure says whether the request may have run.
"""

from __future__ import annotations

import socket as sockets
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gevent import socket as gevent_socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from postvalve.clock import Clock
from postvalve.core.admission.connection_share import MAX_IDLE_CONNECTIONS
from postvalve.core.routing.connect_timeout import ConnectTimeout
from postvalve.core.serving.transfer_rate import MinTransferRate
from postvalve.exceptions import AttemptError, EngineDisconnectedError, Verdict
from postvalve.gateway.interfaces import Headers
from postvalve.sockets import disable_nagle

CONNECT_TIMEOUT = 0.6
"""Seconds to open a connection to an engine."""
SEND_PATIENCE = 2.0
"""Seconds that an engine may fall behind in reading a request."""
MIN_SEND_RATE = 125_000
"""Bytes a second that an engine must read at over that: a hundredth of the links of an engine's
machine, which it shares."""
MIN_SEND_WAIT = 0.05
"""Seconds that a send waits at least, however late it is."""
SEND_TIMEOUT_MS = 1_500
"""Milliseconds that sent bytes may stay unacknowledged."""
READ_BLOCK = 32 * 1024
"""Bytes asked of a socket at once."""
REST_MARGIN = 1.0
"""Seconds before an engine's own limit at which a resting connection is not used any more."""
DEFAULT_REST = 4.0
"""Seconds that a connection may rest where the engine tells no limit."""
EVENT_END = b"\n\n"


class _AnswerParser(HTTPResponse):
    """Parses one answer; bytes after it are no part of it."""

    surplus = False

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= 200:
            self.surplus = True
            raise HTTPParseError("bytes after a whole answer")
        super()._on_message_begin()

    def feed(self, data: str | bytes) -> None:
        try:
            super().feed(data)
        except Exception:
            # What came before the surplus stands.
            if not (self.message_complete and self.headers_complete):
                raise
            self.surplus = True

    def take_body(self) -> bytes:
        """Body bytes that were parsed and not yet taken."""
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        return body

    def has_event(self) -> bool:
        """Whether a whole event was parsed and not yet taken."""
        return EVENT_END in self._body_buffer

    def take_event(self) -> bytes:
        """The next whole event, or nothing."""
        end = self._body_buffer.find(EVENT_END)
        if end < 0:
            return b""
        size = end + len(EVENT_END)
        event = bytes(self._body_buffer[:size])
        del self._body_buffer[:size]
        return event


@dataclass(slots=True)
class _Resting:
    connection: Any
    until: float


@dataclass(slots=True)
class _Engine:
    resting: list[_Resting] = field(default_factory=list)


class EngineAnswer:
    """The answer to one attempt, as it comes."""

    def __init__(
        self, pool: ConnectionPool, address: str, connection: Any, deadline: float
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection = connection
        self._deadline = deadline
        self._parser = _AnswerParser("POST")
        self._ended = False
        self.aborted = False
        self.received = False
        """Whether any byte came."""

    @property
    def status(self) -> int:
        """Status code."""
        return int(self._parser.get_code())

    @property
    def reason(self) -> str:
        """Reason phrase."""
        return self._parser.status_message or "-"

    @property
    def headers(self) -> Headers:
        """Headers in their order."""
        return list(self._parser.items())

    def header(self, name: str) -> str | None:
        """One header."""
        value = self._parser.get(name.lower())
        return value[0] if isinstance(value, list) else value

    def read_head(self, silence: float) -> None:
        """Read until the head is whole.

        Raises:
            AttemptError: with MAY_HAVE_RUN.
        """
        while not self._parser.headers_complete or self._parser.get_code() < 200:
            self._receive(silence)

    def read_event(self, silence: float) -> bytes:
        """The next whole event; nothing at the whole end of the stream.

        Args:
            silence: Seconds without a byte after which the engine counts as failed.

        Raises:
            AttemptError: with MAY_HAVE_RUN, when the stream is cut or silent.
        """
        while True:
            event = self._parser.take_event()
            if event:
                return event
            if self._parser.message_complete:
                return b""
            self._receive(silence)

    def read_body(self, silence: float) -> bytes:
        """The whole body.

        Raises:
            AttemptError: with MAY_HAVE_RUN, when it is cut.
        """
        while not self._parser.message_complete:
            self._receive(silence)
        return self._parser.take_body()

    def has_event(self) -> bool:
        """Whether the next event, or the end, needs no more bytes."""
        return self._parser.has_event() or self._parser.message_complete

    def take_remaining_body(self) -> bytes:
        """What a stream has after its last event."""
        return self._parser.take_body()

    def _receive(self, silence: float) -> None:
        left = self._deadline - self._pool.clock.monotonic()
        if self.aborted:
            raise AttemptError("the attempt was ended", Verdict.MAY_HAVE_RUN)
        if left <= 0:
            raise AttemptError("the deadline passed", Verdict.MAY_HAVE_RUN)
        data = self._receive_bytes(min(silence, left))
        try:
            self._parser.feed(data)
        except Exception as error:  # the parser raises whatever its callbacks raise
            kind = AttemptError if data else EngineDisconnectedError
            raise kind(f"the engine failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        if not data and not self._parser.message_complete:
            raise EngineDisconnectedError("the engine cut its answer", Verdict.MAY_HAVE_RUN)

    def _receive_bytes(self, patience: float) -> bytes:
        """What comes next; nothing where the engine closed the connection."""
        try:
            self._connection.settimeout(patience)
            data: bytes = self._connection.recv(READ_BLOCK)
        except TimeoutError as error:
            raise AttemptError(f"the engine failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        except OSError as error:
            kind = AttemptError if self.aborted else EngineDisconnectedError
            raise kind(f"the engine failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        if data:
            self.received = True
        elif not self._parser.headers_complete:
            raise EngineDisconnectedError(
                "the engine failed: closed before an answer", Verdict.MAY_HAVE_RUN
            )
        return data

    def abort(self) -> None:
        """End the attempt from another greenlet; the read under way fails."""
        self.aborted = True
        self._connection.close()

    def close(self) -> None:
        """Give the connection back, or end it when the answer was not read whole."""
        if self._ended:
            return
        self._ended = True
        parser = self._parser
        if self.aborted or parser.surplus or parser.should_close():
            self._connection.close()
            return
        self._pool.release(self._address, self._connection, self.header("keep-alive"))


class ConnectionPool:
    """Connections by the address of their engine."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._engines: dict[str, _Engine] = defaultdict(_Engine)
        self._resting_limit = MAX_IDLE_CONNECTIONS
        self._patience = ConnectTimeout()
        self.opened = 0
        """Connections opened since the start."""

    def send_request(
        self,
        address: str,
        request: bytes,
        deadline: float,
        *,
        still_usable: Callable[[], bool],
        new_connection: bool = False,
        fail_over_early: bool = False,
    ) -> EngineAnswer:
        """Send a request; returns its answer, of which nothing was read yet.

        Args:
            address: IP:PORT of the engine.
            request: Head and body.
            deadline: Monotonic seconds.
            wanted: Tells, once there is a connection, whether the engine still takes work: it may
                have left while one was opened.
            fresh: Whether it takes a connection of its own: many that rest may have fallen
                silent at the same time.
            hurried: Whether another engine may have the request where a connection does not come
                up as soon as they do.

        Raises:
            AttemptError: NOT_RUN when nothing was sent, else MAY_HAVE_RUN.
        """
        resting = None if new_connection else self._take(address)
        connection = resting or self._open(address, deadline, fail_over_early)
        if not still_usable():
            connection.close()
            raise AttemptError("the engine takes no work any more", Verdict.NOT_RUN)
        answer = EngineAnswer(self, address, connection, deadline)
        try:
            self._send(connection, request, deadline)
        except OSError as error:
            connection.close()
            kind = AttemptError if isinstance(error, TimeoutError) else EngineDisconnectedError
            raise kind(f"sending failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        return answer

    def _send(self, connection: Any, request: bytes, deadline: float) -> None:
        """Send a request to an engine that reads it in time; mostly its socket takes it at once."""
        now = self.clock.monotonic()
        pace = MinTransferRate(MIN_SEND_RATE, SEND_PATIENCE, now)
        rest = memoryview(request)
        while rest:
            connection.settimeout(max(MIN_SEND_WAIT, min(pace.seconds_left(now), deadline - now)))
            sent = connection.send(rest)
            rest = rest[sent:]
            now = self.clock.monotonic()
            pace.record(sent, now)
            if rest and (pace.seconds_left(now) <= 0 or now >= deadline):
                raise TimeoutError("the engine reads too slowly")

    def _take(self, address: str) -> Any | None:
        resting = self._engines[address].resting
        now = self.clock.monotonic()
        while resting:
            one = resting.pop()
            if one.until > now and not _readable(one.connection):
                return one.connection
            one.connection.close()
        return None

    def _open(self, address: str, deadline: float, fail_over_early: bool) -> Any:
        host, _, port = address.rpartition(":")
        started_at = self.clock.monotonic()
        longest = self._patience.seconds(CONNECT_TIMEOUT) if fail_over_early else CONNECT_TIMEOUT
        patience = min(longest, deadline - started_at)
        if patience <= 0:
            raise AttemptError("the deadline passed", Verdict.NOT_RUN)
        connection = gevent_socket.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            disable_nagle(connection)
            connection.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)
            connection.settimeout(patience)
            connection.connect((host, int(port)))
        except OSError as error:
            connection.close()
            raise AttemptError(f"connecting failed: {error!r}", Verdict.NOT_RUN) from error
        self._patience.record(self.clock.monotonic() - started_at)
        self.opened += 1
        return connection

    def release(self, address: str, connection: Any, keep_alive: str | None) -> None:
        """Keep a connection whose last answer was whole."""
        resting = self._engines[address].resting
        seconds = _kept_seconds(keep_alive)
        if len(resting) >= self._resting_limit or seconds <= 0:
            connection.close()
            return
        resting.append(_Resting(connection, self.clock.monotonic() + seconds))

    def set_idle_limit(self, connections: int) -> None:
        """Set how many connections to one engine may rest, from the next `expire` on."""
        self._resting_limit = connections

    def expire(self) -> None:
        """Close connections that have rested too long or are too many; called now and then."""
        now = self.clock.monotonic()
        for address, engine in list(self._engines.items()):
            kept = [one for one in engine.resting if one.until > now][-self._resting_limit :]
            for one in engine.resting:
                if one not in kept:
                    one.connection.close()
            engine.resting[:] = kept
            if not engine.resting:
                del self._engines[address]

    def drop(self, address: str) -> None:
        """Close what rests at an address: its engine failed or is gone."""
        engine = self._engines.pop(address, None)
        for one in engine.resting if engine else ():
            one.connection.close()


def _readable(connection: Any) -> bool:
    # Bytes or an end that came while it rested make it useless.
    connection.settimeout(0.0)
    try:
        connection.recv(1, sockets.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def _kept_seconds(keep_alive: str | None) -> float:
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return int(value) - REST_MARGIN
    return DEFAULT_REST


def request_bytes(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """A whole request for the wire; the length is added."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
