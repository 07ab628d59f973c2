"""Waiting for what must come."""

import time

import gevent

WAIT_TIMEOUT = 30.0
"""Seconds that tests wait for what must come; never a measure."""


def wait_until(condition, timeout=WAIT_TIMEOUT):
    """Wait for a condition; fails when it does not come."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        gevent.sleep(0.01)
    raise AssertionError("what was waited for did not come")
