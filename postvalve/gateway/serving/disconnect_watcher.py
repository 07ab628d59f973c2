"""Detects at once that a client has closed its connection while its request is being served."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import gevent

READ_EVENT = 1
"""libev's READ flag: the socket is readable."""


class DisconnectWatcher:
    """Watches one connection through the event loop, without a greenlet of its own."""

    def __init__(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
        self._connection = connection
        self._on_disconnect = on_disconnect
        self._watcher = gevent.get_hub().loop.io(connection.fileno(), READ_EVENT)
        self._watcher.start(self._on_readable)

    def _on_readable(self) -> None:
        # Readable bytes are the client's next request; only end of file or an error is a
        # disconnect.
        self._watcher.stop()
        if not _has_data(self._connection):
            gevent.spawn(self._on_disconnect)

    def stop(self) -> None:
        """Stop watching the connection."""
        self._watcher.stop()
        self._watcher.close()


def _has_data(connection: Any) -> bool:
    try:
        with socket.socket(fileno=socket.dup(connection.fileno())) as raw:
            return bool(raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return True
    except OSError:
        return False
