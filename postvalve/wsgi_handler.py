"""What the HTTP servers of all interfaces have in common."""

from __future__ import annotations

from typing import Any

from gevent.pywsgi import WSGIHandler

from postvalve.sockets import disable_nagle


class NoDelayHandler(WSGIHandler):
    """Sends each piece of an answer at once, and ends connections that stay silent.

    Its server has `idle_timeout`, in seconds.
    """

    code: int

    def __init__(self, connection: Any, address: Any, server: Any, rfile: Any = None) -> None:
        # Covers idle keep-alive, slow headers, slow bodies and clients that don't read.
        connection.settimeout(server.idle_timeout)
        disable_nagle(connection)
        super().__init__(connection, address, server, rfile)

    def _sendall(self, data: bytes | memoryview) -> None:
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
