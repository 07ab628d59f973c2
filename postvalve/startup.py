"""Entry point of a node on the users' platform.

Imports take a good part of a second, and a SIGHUP in this time, which announces changed settings,
would terminate the process. The signal is therefore ignored before anything else is imported.
"""

from __future__ import annotations

import signal
import sys


def run() -> int:
    """Run a node until it is told to stop, and return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from postvalve.node_process import run as run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(run())
