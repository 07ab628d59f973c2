"""WSGI request handler that all HTTP servers of a node share."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

from gevent.pywsgi import WSGIHandler

from postvalve.sockets import LINGER_DISCARD, disable_nagle


class NoDelayHandler(WSGIHandler):
    """Handler that sends each part of a response without delay and closes idle connections.

    Its server must have an attribute `idle_timeout`, in seconds.
    """

    code: int

    def __init__(self, connection: Any, address: Any, server: Any, rfile: Any = None) -> None:
        # Applies to idle keep-alive connections, slow headers and bodies, and clients that do not
        # read their response.
        connection.settimeout(server.idle_timeout)
        disable_nagle(connection)
        super().__init__(connection, address, server, rfile)

    def _sendall(self, data: bytes | memoryview) -> None:
        # The kernel usually accepts a token at once, and then no timer has to be started. A client
        # that does not read is still disconnected, since `send` waits no longer than the socket's
        # time-out.
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

    def handle_error(self, *exc_info: Any) -> None:
        """End a response that failed, so that its client sees it as truncated."""
        is_framed = self.response_use_chunked or self.provided_content_length is not None
        if self.headers_sent and not is_framed:
            # The regular end of the connection would be the end of the body, as in HTTP/1.0.
            with contextlib.suppress(OSError):
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DISCARD)
        super().handle_error(*exc_info)

    def log_error(self, message: str, *arguments: Any) -> None:
        """Ignore errors of malformed requests: they are answered, but not logged by the node."""
