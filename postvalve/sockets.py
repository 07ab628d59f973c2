"""Options of TCP connections."""

from __future__ import annotations

import socket
from typing import Any


def send_at_once(connection: Any) -> None:
    """Turn Nagle's algorithm off.

    A token that waits for the acknowledgement of the one before it comes up to 40 ms late,
    since receivers delay acknowledgements.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
