"""Tells clients that lag behind from those that keep up.

It matters where a body or a response is larger than the socket buffers.
"""

from __future__ import annotations

import select
from typing import Any

import gevent

LAG_THRESHOLD = 0.5
"""Seconds that a client must have been waited for, in total, before the data held for it counts. A
large body seldom arrives complete with its headers, nor is a large response sent by one write; a
transfer at the full speed of its link must not be given up in favour of others."""
LAG_POLL_INTERVAL = 0.05
"""Seconds between two checks whether the client is being waited for."""


def await_lag(connection: Any, event: int) -> None:
    """Return once a client has been waited for during `LAG_THRESHOLD` seconds in total.

    Args:
        connection: The client's socket.
        event: What is waited for: `select.POLLIN` for the client to send, `select.POLLOUT` for it
            to read.
    """
    waited = 0.0
    while waited < LAG_THRESHOLD:
        gevent.sleep(LAG_POLL_INTERVAL)
        # If the node was busy or suspended, the socket is ready by now: that time was not spent
        # waiting for the client.
        waited += 0.0 if _is_ready(connection, event) else LAG_POLL_INTERVAL


def _is_ready(connection: Any, event: int) -> bool:
    poll = select.poll()
    poll.register(connection.fileno(), event)
    return bool(poll.poll(0))
