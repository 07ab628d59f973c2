"""Starts a node on the users' platform.

Imports take a good part of a second, and a signal that comes meanwhile would end the process. So
nothing is imported here before the signal for changed settings is ignored.
"""

from __future__ import annotations

import signal
import sys


def run() -> int:
    """Run a node until it is told to stop; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from postvalve.node_process import run as run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(run())
