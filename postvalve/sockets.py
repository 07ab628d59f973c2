"""Options of TCP sockets."""

from __future__ import annotations

import socket
import struct
from typing import Any

KEEPALIVE_IDLE = 30
"""Seconds without a byte after which keep-alive probes are sent."""
KEEPALIVE_INTERVAL = 10
"""Seconds between two keep-alive probes."""
KEEPALIVE_PROBES = 3
"""Number of unanswered keep-alive probes after which a connection is closed."""
LINGER_DISCARD = struct.pack("ii", 1, 0)
"""SO_LINGER value that discards unsent data when a connection is closed, and resets it."""
_LAST_DATA_RECEIVED = struct.Struct("=52xI")
"""Layout of `struct tcp_info` up to `tcpi_last_data_recv`, in milliseconds; see tcp(7)."""


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


def seconds_since_data(connection: Any) -> float:
    """Return the seconds since the last data of a TCP connection reached this machine.

    The result is 0 where the operating system doesn't tell.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    except (OSError, AttributeError):
        return 0.0
    if len(info) < _LAST_DATA_RECEIVED.size:
        return 0.0
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack(info)
    return float(milliseconds) / 1000
