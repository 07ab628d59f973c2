"""Waiting for conditions in tests."""

import time

import gevent

WAIT_TIMEOUT = 30.0
"""Seconds after which a test fails if a condition is not met; not a limit on latency."""


def wait_until(condition, timeout=WAIT_TIMEOUT):
    """Wait until a condition holds; fails after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        gevent.sleep(0.01)
    raise AssertionError(f"the condition did not hold within {timeout:.0f} s")
