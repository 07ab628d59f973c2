"""A node process on the users' platform.

This is the only module that imports `postvalve.platform`.
"""

from __future__ import annotations

import gc
import signal
import sys
from pathlib import Path

import gevent

from postvalve.clock import SystemClock
from postvalve.events import BoundedEventLog, Event, configure_logging
from postvalve.gateway.gateway import Gateway
from postvalve.log_output import LineBudget, NonBlockingLineWriter
from postvalve.platform.adapter import gateway_platform
from postvalve.platform.settings import load_settings, settings_path
from postvalve.settings.validation import InvalidSettingsGroup

INVALID_SETTINGS = 2
"""Exit code of a process whose settings are invalid."""


def run(path: Path | None = None, *, check: bool = False) -> int:
    """Run a node until SIGTERM or SIGINT, and return the exit code.

    Args:
        path: Settings file; None to take its path from the environment.
        check: Only validate the settings.
    """
    try:
        settings = load_settings(path or settings_path())
    except InvalidSettingsGroup as error:
        print(error.message, file=sys.stderr)
        for problem in error.exceptions:
            print(f"  {problem}", file=sys.stderr)
        return INVALID_SETTINGS
    if check:
        print("the settings are valid")
        return 0
    gateway_settings = settings.gateway_settings()
    clock = SystemClock()
    lines = NonBlockingLineWriter(sys.stdout.fileno())
    configure_logging(gateway_settings.log_level, lines)
    events = BoundedEventLog(
        gateway_settings.node_id, gateway_settings.zone, lines, LineBudget(clock.monotonic)
    )
    node = Gateway(gateway_settings, gateway_platform(settings, clock), clock, events)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, node.request_drain)
    # Settings are not reloaded while the process runs, but SIGHUP must not terminate it.
    gevent.signal_handler(signal.SIGHUP, events.emit, Event.SETTINGS_CHANGED)
    node.start()
    gc.freeze()
    node.wait()
    return 0
