"""The HTTP server of a node: limits on connections, and on silent or slow clients."""

from __future__ import annotations

from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from postvalve.node.http.application import NodeApplication
from postvalve.settings.process import HttpSettings
from postvalve.sockets import send_at_once


class _Handler(WSGIHandler):
    """Ends connections that stay silent."""

    code: int

    def __init__(self, connection: Any, address: Any, server: _Server, rfile: Any = None) -> None:
        # Covers idle keep-alive, slow headers, slow bodies and clients that don't read.
        connection.settimeout(server.idle_timeout)
        send_at_once(connection)
        super().__init__(connection, address, server, rfile)

    def _sendall(self, data: bytes) -> None:
        # The kernel mostly takes a token at once; then no timer needs to be started. A client
        # that doesn't read is still ended: `send` waits as long as the socket's timeout.
        rest = memoryview(data)
        while rest:
            try:
                sent = self.socket.send(rest)
            except OSError as error:
                self.status = f"socket error: {error}"
                self.code = -abs(self.code)
                raise
            rest = rest[sent:]
        self.response_length += len(data)

    def log_error(self, message: str, *arguments: Any) -> None:
        """Malformed requests are answered; they are no events of the node."""


class _Server(WSGIServer):
    handler_class = _Handler

    def __init__(self, listen: str, application: NodeApplication, http: HttpSettings) -> None:
        host, _, port = listen.rpartition(":")
        self.idle_timeout = http.idle_timeout
        super().__init__(
            (host, int(port)),
            application,
            log=None,
            error_log=None,
            spawn=Pool(http.max_connections),
        )


class HttpServer:
    """Listens for callers."""

    def __init__(self, listen: str, application: NodeApplication, http: HttpSettings) -> None:
        self._server = _Server(listen, application, http)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self, timeout: float) -> None:
        """Stop to listen; requests in progress have `timeout` seconds."""
        self._server.close()
        gevent.spawn(self._server.stop, timeout).join(timeout)
