"""The gateway's HTTP servers: for clients, for readiness, and for metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent import GreenletExit
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from postvalve.wsgi_handler import NoDelayHandler

MAX_CONNECTIONS = 3_000
"""Connections of clients that are open at once."""
HEAD_TIMEOUT = 3.0
"""Seconds from a head's first bytes to its end, until a configuration says otherwise."""
CONNECTION_KEY = "postvalve.connection"
TARGET_KEY = "postvalve.target"
HEADERS_KEY = "postvalve.headers"
ON_LAG_KEY = "postvalve.lag"
"""What to call when a write waits for the client for the first time."""
HEAD_END = b"\r\n\r\n"
HEAD_TOO_SLOW = (
    "408 Request Timeout",
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
)
"""Status, and answer, to a head that came too slowly; nothing ran."""

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class TruncatedAnswer(GreenletExit):
    """Raised by an application to end an answer so that it looks cut."""


class _Handler(NoDelayHandler):
    """Passes targets and headers on as they came; tells when a client lags."""

    _head_limit: gevent.Timeout | None = None

    def handle_one_request(self) -> Any:
        """Serve one request, if its head comes in time."""
        try:
            return super().handle_one_request()
        except gevent.Timeout as limit:
            if limit is not self._head_limit:
                raise
            return HEAD_TOO_SLOW
        finally:
            self._end_head_limit()

    def read_requestline(self) -> str:
        """Wait for the next request; the connection rests until its first bytes are there."""
        self.socket.settimeout(self.server.idle_timeout)
        self.server.resting.add(self)
        try:
            begun = self.rfile.peek(1)
        finally:
            self.server.resting.discard(self)
        if begun and HEAD_END not in begun:
            self._head_limit = gevent.Timeout.start_new(self.server.head_timeout)
        return str(super().read_requestline())

    def _end_head_limit(self) -> None:
        if self._head_limit is not None:
            self._head_limit.close()
            self._head_limit = None

    def _sendall(self, data: bytes | memoryview) -> None:
        try:
            sent = self.socket.send(data, 0, 0.0)
        except BlockingIOError:
            sent = 0
        self.response_length += sent
        if sent < len(data):
            self._send_rest(memoryview(data)[sent:])

    def _send_rest(self, rest: memoryview) -> None:
        """Send what the connection doesn't take at once; the first time, say that it lags."""
        lags = self.environ and self.environ.pop(ON_LAG_KEY, None)
        if lags:
            lags()
        try:
            super()._sendall(rest)
        except OSError as error:
            # The client's fault, and no other answer could be sent.
            self.response_length += 1
            raise TruncatedAnswer(str(error)) from error

    def get_environ(self) -> dict[str, Any]:
        """The request, with its target and headers unchanged."""
        self._end_head_limit()
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = [(name, _unfold(value)) for name, value in self.headers.items()]
        return environ


def _unfold(value: str) -> str:
    """A header's value in one line: a folded one may look like two headers to who reads it next."""
    return " ".join(value.splitlines())


class _Server(WSGIServer):
    handler_class = _Handler

    def __init__(self, listen: str, application: Application, idle_timeout: float) -> None:
        host, _, port = listen.rpartition(":")
        self.idle_timeout = idle_timeout
        self.head_timeout = HEAD_TIMEOUT
        self.resting: set[_Handler] = set()
        super().__init__(
            (host, int(port)),
            application,
            log=None,
            error_log=None,
            spawn=Pool(MAX_CONNECTIONS),
            # The default would look a name up.
            environ={"SERVER_NAME": host, "SERVER_PORT": port},
            backlog=1024,
        )


class GatewayServer:
    """Listens for clients."""

    def __init__(self, listen: str, application: Application, idle_timeout: float = 60.0) -> None:
        self._server = _Server(listen, application, idle_timeout)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def set_idle_timeout(self, seconds: float) -> None:
        """Set how long a connection may rest, from its next rest on."""
        self._server.idle_timeout = seconds

    def set_head_timeout(self, seconds: float) -> None:
        """Set how long a head may take from its first bytes on."""
        self._server.head_timeout = seconds

    def close_listener(self) -> None:
        """Take no new connections; those that are open go on."""
        self._server.close()

    def close_idle(self) -> None:
        """End the connections on which no request is under way."""
        for handler in list(self._server.resting):
            handler.socket.close()

    def stop(self, timeout: float) -> None:
        """Stop; requests in progress have `timeout` seconds."""
        self._server.close()
        gevent.spawn(self._server.stop, timeout).join(timeout)


def plain_server(listen: str, answer: Callable[[str], tuple[str, bytes]]) -> WSGIServer:
    """A server for other programs of the operators.

    Args:
        listen: IP:PORT.
        answer: Gives status and text for a path.
    """

    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        status, body = answer(environ["PATH_INFO"])
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    host, _, port = listen.rpartition(":")
    return WSGIServer(
        (host, int(port)),
        application,
        log=None,
        error_log=None,
        environ={"SERVER_NAME": host, "SERVER_PORT": port},
    )
