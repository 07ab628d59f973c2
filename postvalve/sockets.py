"""Options of TCP connections."""

from __future__ import annotations

import socket
from typing import Any

KEEPALIVE_IDLE = 30
"""Seconds without a byte after which a connection is probed."""
KEEPALIVE_INTERVAL = 10
"""Seconds between probes."""
KEEPALIVE_PROBES = 3
"""Unanswered probes after which a connection ends."""


def disable_nagle(connection: Any) -> None:
    """Turn Nagle's algorithm off.

    A token that waits for the acknowledgement of the one before it comes up to 40 ms late,
    since receivers delay acknowledgements.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def enable_keepalive(connection: Any) -> None:
    """Let a connection whose other end is gone without a word end within a minute.

    For a server that waits for requests: who calls has a time of its own for each reply.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
