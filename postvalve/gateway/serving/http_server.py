"""The gateway's HTTP servers: for clients, for readiness checks, and for metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent import GreenletExit
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from postvalve.wsgi_handler import NoDelayHandler

MAX_CONNECTIONS = 3_000
"""Client connections that may be open at once."""
HEADER_TIMEOUT = 3.0
"""Seconds that a request's headers may take from their first byte on, until a configuration sets
another limit."""
CONNECTION_KEY = "postvalve.connection"
TARGET_KEY = "postvalve.target"
HEADERS_KEY = "postvalve.headers"
ON_LAG_KEY = "postvalve.lag"
"""Key of a callback in the WSGI environ, called when a write has to wait for the client for the
first time."""
HEADER_END = b"\r\n\r\n"
HEADER_TIMEOUT_RESPONSE = (
    "408 Request Timeout",
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
)
"""Status, and response, to a client that sent its headers too slowly; the request did not run."""

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class TruncatedAnswer(GreenletExit):
    """Raised by an application to end a response so that the client sees it as truncated."""


class _Handler(NoDelayHandler):
    """Passes the target and the headers on unchanged, and reports when a client lags behind."""

    _header_timer: gevent.Timeout | None = None

    def handle_one_request(self) -> Any:
        """Serve one request, if its headers arrive in time."""
        try:
            return super().handle_one_request()
        except gevent.Timeout as limit:
            if limit is not self._header_timer:
                raise
            return HEADER_TIMEOUT_RESPONSE
        finally:
            self._cancel_header_timer()

    def read_requestline(self) -> str:
        """Wait for the next request; the connection counts as idle until the first bytes arrive."""
        self.socket.settimeout(self.server.idle_timeout)
        self.server.idle_handlers.add(self)
        try:
            peeked = self.rfile.peek(1)
        finally:
            self.server.idle_handlers.discard(self)
        if peeked and HEADER_END not in peeked:
            self._header_timer = gevent.Timeout.start_new(self.server.header_timeout)
        return str(super().read_requestline())

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.close()
            self._header_timer = None

    def _sendall(self, data: bytes | memoryview) -> None:
        try:
            sent = self.socket.send(data, 0, 0.0)
        except BlockingIOError:
            sent = 0
        self.response_length += sent
        if sent < len(data):
            self._send_rest(memoryview(data)[sent:])

    def _send_rest(self, rest: memoryview) -> None:
        """Send what the socket did not accept at once; the first time, call the lag callback."""
        on_lag = self.environ and self.environ.pop(ON_LAG_KEY, None)
        if on_lag:
            on_lag()
        try:
            super()._sendall(rest)
        except OSError as error:
            # The error is the client's, and no other response can be sent. A non-zero length keeps
            # the server from sending one.
            self.response_length += 1
            raise TruncatedAnswer(str(error)) from error

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environ, with the target and the headers as received."""
        self._cancel_header_timer()
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = [(name, _unfold(value)) for name, value in self.headers.items()]
        return environ


def _unfold(value: str) -> str:
    """Return a folded header value on one line.

    The next reader might take a folded value for two headers.
    """
    return " ".join(value.splitlines())


class _Server(WSGIServer):
    handler_class = _Handler

    def __init__(self, listen: str, application: Application, idle_timeout: float) -> None:
        host, _, port = listen.rpartition(":")
        self.idle_timeout = idle_timeout
        self.header_timeout = HEADER_TIMEOUT
        self.idle_handlers: set[_Handler] = set()
        super().__init__(
            (host, int(port)),
            application,
            log=None,
            error_log=None,
            spawn=Pool(MAX_CONNECTIONS),
            # By default the server would resolve its host name.
            environ={"SERVER_NAME": host, "SERVER_PORT": port},
            backlog=1024,
        )


class GatewayServer:
    """The HTTP server for clients."""

    def __init__(self, listen: str, application: Application, idle_timeout: float = 60.0) -> None:
        self._server = _Server(listen, application, idle_timeout)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def set_idle_timeout(self, seconds: float) -> None:
        """Set how long a connection may be idle; applies from its next idle time on."""
        self._server.idle_timeout = seconds

    def set_header_timeout(self, seconds: float) -> None:
        """Set how long a request's headers may take from their first byte on."""
        self._server.header_timeout = seconds

    def close_listener(self) -> None:
        """Accept no new connections; open ones continue."""
        self._server.close()

    def close_idle(self) -> None:
        """Close the connections that have no request under way."""
        for handler in list(self._server.idle_handlers):
            handler.socket.close()

    def stop(self, timeout: float) -> None:
        """Stop the server; requests under way get `timeout` seconds to finish."""
        self._server.close()
        gevent.spawn(self._server.stop, timeout).join(timeout)


def plain_server(listen: str, answer: Callable[[str], tuple[str, bytes]]) -> WSGIServer:
    """Return an HTTP server for health checks and metrics.

    Args:
        listen: IP:PORT.
        answer: Returns status line and plain text body for a path.
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
