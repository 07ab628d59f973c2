"""Options of TCP sockets."""

from __future__ import annotations

import socket
from typing import Any

KEEPALIVE_IDLE = 30
"""Seconds without a byte after which keep-alive probes are sent."""
KEEPALIVE_INTERVAL = 10
"""Seconds between two keep-alive probes."""
KEEPALIVE_PROBES = 3
"""Number of unanswered keep-alive probes after which a connection is closed."""


def disable_nagle(connection: Any) -> None:
    """Disable Nagle's algorithm, so that each token is sent at once.

    With it, a token would wait for the acknowledgement of the one before it, and arrive up to 40 ms
    late, since receivers delay acknowledgements.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def enable_keepalive(connection: Any) -> None:
    """Enable TCP keep-alive, so that a connection whose peer has vanished ends within a minute.

    Needed by servers, which wait for requests without a time limit; clients have a time-out for
    each reply.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
