"""Notices at once that a client has closed its connection while its request is served."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import gevent

READ_EVENT = 1
"""libev's event of a readable socket."""


class DisconnectWatcher:
    """Watches one connection without a greenlet of its own."""

    def __init__(self, connection: Any, on_gone: Callable[[], None]) -> None:
        self._connection = connection
        self._on_gone = on_gone
        self._watcher = gevent.get_hub().loop.io(connection.fileno(), READ_EVENT)
        self._watcher.start(self._readable)

    def _readable(self) -> None:
        # Bytes are the client's next request; only an end or an error means that it left.
        self._watcher.stop()
        if not _has_bytes(self._connection):
            gevent.spawn(self._on_gone)

    def stop(self) -> None:
        """Stop to watch."""
        self._watcher.stop()
        self._watcher.close()


def _has_bytes(connection: Any) -> bool:
    try:
        with socket.socket(fileno=socket.dup(connection.fileno())) as raw:
            return bool(raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return True
    except OSError:
        return False
