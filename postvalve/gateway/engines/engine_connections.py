"""HTTP/1.1 connection pool for engines; each connection carries one request at a time.

A connection is reused only if its last response was complete and no bytes arrived after it or
while the connection was idle. Every error carries a verdict on whether the request may have run.
"""

from __future__ import annotations

import socket as sockets
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket as gevent_socket

from postvalve.clock import Clock
from postvalve.core.admission.connection_share import MAX_IDLE_CONNECTIONS
from postvalve.core.routing.connect_timeout import ConnectTimeout
from postvalve.core.serving.transfer_rate import MinTransferRate
from postvalve.exceptions import (
    AttemptError,
    EngineDisconnectedError,
    EngineNotListeningError,
    Verdict,
)
from postvalve.gateway.engines.engine_answer import EngineAnswer
from postvalve.gateway.interfaces import AnswerLimits, Headers
from postvalve.sockets import disable_nagle

CONNECT_TIMEOUT = 0.6
"""Longest time-out for opening a connection to an engine, in seconds."""
MAX_SEND_LAG = 2.0
"""Seconds by which an engine may fall behind `MIN_SEND_RATE` in reading a request."""
MIN_SEND_RATE = 125_000
"""Bytes per second at which an engine must read a request: a hundredth of the bandwidth of its
machine's network links, which it shares."""
MIN_SEND_WAIT = 0.05
"""Least time-out of one `send` call in seconds, even if the deadline is closer."""
SEND_TIMEOUT_MS = 1_500
"""TCP_USER_TIMEOUT: milliseconds for which sent bytes may stay unacknowledged."""
PROBE_INTERVAL = 1
"""Seconds without a byte after which the kernel probes a connection, and between its probes; it
fails once one is unanswered for `SEND_TIMEOUT_MS`."""
KEEP_ALIVE_MARGIN = 1.0
"""Seconds before the end of an engine's keep-alive time-out at which an idle connection expires."""
PROXY_CLOSE_TIME = 0.1
"""Seconds in which a proxy closes a new connection if its engine has exited."""
MAX_RESETS = 3
"""Connections that are tried if an engine resets them. One that is exiting may still have accepted
a connection, and refuses the next one."""
RESET_PAUSE = 0.01
"""Seconds between these connections."""
DEFAULT_KEEP_ALIVE = 4.0
"""Seconds that a connection may be idle if the engine announces no keep-alive time-out."""


@dataclass(slots=True)
class _IdleConnection:
    connection: Any
    expires_at: float
    request_id: str
    """Id of the last request that it carried."""
    answered_at: float | None
    """Monotonic seconds of the first answer that came over it; None if none has come yet."""


@dataclass(slots=True)
class _Engine:
    resting: list[_IdleConnection] = field(default_factory=list)


class ConnectionPool:
    """Pool of idle connections, by engine address."""

    def __init__(self, clock: Clock, limits: AnswerLimits | None = None) -> None:
        self.clock = clock
        self.limits = limits or AnswerLimits()
        self.on_oversized: Callable[[str], None] = lambda part: None
        """Called with the part, "head", "event" or "body", of an answer that exceeds its limit."""
        self._engines: dict[str, _Engine] = defaultdict(_Engine)
        self._idle_limit = MAX_IDLE_CONNECTIONS
        self._connect_timeout = ConnectTimeout()
        self.opened = 0
        """Connections opened since the process started."""

    def send_request(
        self,
        address: str,
        request_id: str,
        request: Callable[[], bytes],
        deadline: float,
        *,
        still_usable: Callable[[], bool],
        check_connection: Callable[[float | None], None] = lambda answered_at: None,
        new_connection: bool = False,
        fail_over_early: bool = False,
        may_be_empty: bool = False,
    ) -> EngineAnswer:
        """Send a request and return its response, of which nothing has been read yet.

        Args:
            address: IP:PORT of the engine.
            request_id: Id of the request. It isn't sent again over a connection that carried it
                last, as a refusal that comes twice couldn't be told from its answer.
            request: Returns head and body as bytes for the wire. Called once a connection is open,
                as they tell how much time is left.
            deadline: Monotonic seconds.
            still_usable: Returns whether the engine still accepts work. Called once a connection is
                open, as the engine may have left meanwhile, and at the end of a response that has
                neither a length nor chunks.
            check_connection: Called after that with the monotonic seconds of the first answer that
                came over the connection, or None; raises an `AttemptError` if the request must not
                be sent over it.
            new_connection: Whether to open a new connection instead of using an idle one. Many idle
                connections may have stopped responding at the same time.
            fail_over_early: Whether to give up early on a connection that opens much more slowly
                than usual, because another engine can take the request.
            may_be_empty: Whether a success without any content may be whole though it has no frame,
                as nothing may be left of a stream that is taken up.

        Raises:
            AttemptError: No byte was sent (verdict NOT_RUN), or sending failed after it began
                (verdict MAY_HAVE_RUN).
        """
        resting = None if new_connection else self._take_idle(address, request_id)
        answered_at = resting.answered_at if resting else None
        connection = (
            resting.connection if resting else self._open(address, deadline, fail_over_early)
        )
        if not still_usable():
            connection.close()
            raise AttemptError("the engine takes no work any more", Verdict.NOT_RUN)
        try:
            check_connection(answered_at)
        except AttemptError:
            connection.close()
            raise
        if self.clock.monotonic() >= deadline:
            connection.close()
            raise AttemptError("the deadline passed", Verdict.NOT_RUN)
        answer = EngineAnswer(
            self,
            address,
            request_id,
            connection,
            deadline,
            still_usable,
            may_be_empty=may_be_empty,
            answered_at=answered_at,
        )
        try:
            self._send(connection, request(), deadline)
        except OSError as error:
            connection.close()
            kind = AttemptError if isinstance(error, TimeoutError) else EngineDisconnectedError
            raise kind(f"sending failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        return answer

    def _send(self, connection: Any, request: bytes, deadline: float) -> None:
        """Send a request; raise TimeoutError if the engine reads it too slowly."""
        now = self.clock.monotonic()
        pace = MinTransferRate(MIN_SEND_RATE, MAX_SEND_LAG, now)
        remaining = memoryview(request)
        while remaining:
            connection.settimeout(max(MIN_SEND_WAIT, min(pace.seconds_left(now), deadline - now)))
            sent = connection.send(remaining)
            remaining = remaining[sent:]
            now = self.clock.monotonic()
            pace.record(sent, now)
            if remaining and (pace.seconds_left(now) <= 0 or now >= deadline):
                raise TimeoutError("the engine reads too slowly")

    def _take_idle(self, address: str, request_id: str) -> _IdleConnection | None:
        resting = self._engines[address].resting
        now = self.clock.monotonic()
        for one in reversed(resting.copy()):
            if request_id and one.request_id == request_id:
                continue
            resting.remove(one)
            if one.expires_at > now and not _readable(one.connection):
                return one
            one.connection.close()
        return None

    def _open(self, address: str, deadline: float, fail_over_early: bool) -> Any:
        host, _, port = address.rpartition(":")
        started_at = self.clock.monotonic()
        limit = (
            self._connect_timeout.seconds(CONNECT_TIMEOUT) if fail_over_early else CONNECT_TIMEOUT
        )
        timeout = min(limit, deadline - started_at)
        if timeout <= 0:
            raise AttemptError("the deadline passed", Verdict.NOT_RUN)
        connection = gevent_socket.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            disable_nagle(connection)
            connection.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)
            connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
            connection.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_KEEPIDLE, PROBE_INTERVAL)
            connection.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_KEEPINTVL, PROBE_INTERVAL)
            connection.settimeout(timeout)
            connection.connect((host, int(port)))
        except OSError as error:
            connection.close()
            is_refused = isinstance(error, ConnectionRefusedError)
            kind = EngineNotListeningError if is_refused else AttemptError
            raise kind(f"connecting failed: {error!r}", Verdict.NOT_RUN) from error
        self._connect_timeout.record(self.clock.monotonic() - started_at)
        self.opened += 1
        return connection

    def is_listening(self, address: str, deadline: float) -> bool:
        """Return whether an engine accepts connections; False only if it surely does not.

        The connection is kept for the next request.
        """
        for _ in range(MAX_RESETS):
            try:
                connection = self._open(address, deadline, fail_over_early=False)
            except AttemptError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return False
                if not isinstance(error.__cause__, ConnectionError):
                    return True
                gevent.sleep(RESET_PAUSE)
                continue
            try:
                connection.settimeout(PROXY_CLOSE_TIME)
                connection.recv(1, sockets.MSG_PEEK)
            except TimeoutError:
                self.release(address, connection, None)
                return True
            except OSError:
                connection.close()
                gevent.sleep(RESET_PAUSE)
            else:
                connection.close()
                return False
        # It resets all connections: engines do so beyond their limit.
        return True

    def release(
        self,
        address: str,
        connection: Any,
        keep_alive: str | None,
        request_id: str = "",
        answered_at: float | None = None,
    ) -> None:
        """Put a connection whose last response was complete back into the pool.

        Args:
            address: IP:PORT of the engine.
            connection: The open connection.
            keep_alive: The engine's Keep-Alive header; None if it sent none.
            request_id: Id of the last request that it carried; empty if none.
            answered_at: Monotonic seconds of the first answer that came over it; None if none has.
        """
        resting = self._engines[address].resting
        seconds = _keep_alive_seconds(keep_alive)
        if len(resting) >= self._idle_limit or seconds <= 0:
            connection.close()
            return
        expires_at = self.clock.monotonic() + seconds
        resting.append(_IdleConnection(connection, expires_at, request_id, answered_at))

    def set_idle_limit(self, connections: int) -> None:
        """Set the number of idle connections kept for each engine, from the next `expire` on."""
        self._idle_limit = connections

    def expire(self) -> None:
        """Close idle connections that have expired or exceed the limit; called periodically."""
        now = self.clock.monotonic()
        for address, engine in list(self._engines.items()):
            kept = [one for one in engine.resting if one.expires_at > now][-self._idle_limit :]
            for one in engine.resting:
                if one not in kept:
                    one.connection.close()
            engine.resting[:] = kept
            if not engine.resting:
                del self._engines[address]

    def drop(self, address: str) -> None:
        """Close all idle connections to an address whose engine has failed or is gone."""
        engine = self._engines.pop(address, None)
        for one in engine.resting if engine else ():
            one.connection.close()


def _readable(connection: Any) -> bool:
    # Unexpected bytes or an end of stream make an idle connection unusable.
    connection.settimeout(0.0)
    try:
        connection.recv(1, sockets.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def _keep_alive_seconds(keep_alive: str | None) -> float:
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return int(value) - KEEP_ALIVE_MARGIN
    return DEFAULT_KEEP_ALIVE


def request_bytes(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Serialize an HTTP request; adds a Content-Length header where one is needed."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
