"""Waiting for what must come."""

import time

import gevent

PATIENCE = 30.0
"""Seconds that tests wait for what must come; never a measure."""


def wait_until(condition, patience=PATIENCE):
    """Wait for a condition; fails when it does not come."""
    deadline = time.monotonic() + patience
    while time.monotonic() < deadline:
        if condition():
            return
        gevent.sleep(0.01)
    raise AssertionError("what was waited for did not come")
