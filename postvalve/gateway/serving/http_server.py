"""The gateway's HTTP servers: for clients, for readiness, and for metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent import GreenletExit
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from postvalve.wsgi_handler import SendAtOnceHandler

MAX_CONNECTIONS = 3_000
"""Connections of clients that are open at once."""
CONNECTION_KEY = "postvalve.connection"
TARGET_KEY = "postvalve.target"
HEADERS_KEY = "postvalve.headers"

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class CutAnswer(GreenletExit):
    """Raised by an application to end an answer so that it looks cut."""


class _Handler(SendAtOnceHandler):
    """Passes targets and headers on as they came."""

    def read_requestline(self) -> str:
        """Wait for the next request; the connection rests meanwhile."""
        self.socket.settimeout(self.server.idle_timeout)
        self.server.resting.add(self)
        try:
            return str(super().read_requestline())
        finally:
            self.server.resting.discard(self)

    def get_environ(self) -> dict[str, Any]:
        """The request, with its target and headers unchanged."""
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

    def close_listener(self) -> None:
        """Take no new connections; those that are open go on."""
        self._server.close()

    def close_resting(self) -> None:
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
