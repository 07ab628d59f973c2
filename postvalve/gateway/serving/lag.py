"""Tells who lags from who keeps up, where what is sent or comes is larger than sockets hold."""

from __future__ import annotations

import select
from typing import Any

import gevent

LAG = 0.5
"""Seconds that a client is waited for, all waits together, before what is held for it counts.
A large body seldom comes whole with its head, nor does a large answer go out by one write; one that
goes at a link's full speed must not be given up for others."""
LAG_STEP = 0.05
"""Seconds between two looks whether a client is waited for."""


def await_lag(connection: Any, event: int) -> None:
    """Wait until a client lags.

    Args:
        connection: The client's.
        event: What it is waited for: `select.POLLIN` to send, `select.POLLOUT` to read.
    """
    waited = 0.0
    while waited < LAG:
        gevent.sleep(LAG_STEP)
        # A node that is busy, or has stood still, finds it ready: it didn't wait for the client.
        waited += 0.0 if _is_ready(connection, event) else LAG_STEP


def _is_ready(connection: Any, event: int) -> bool:
    poll = select.poll()
    poll.register(connection.fileno(), event)
    return bool(poll.poll(0))
