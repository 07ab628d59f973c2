"""Periodic work of a node, in greenlets that outlive their errors."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event as GeventEvent

from postvalve.events import Event, EventLog

ERROR_RETRY_DELAY = 1.0
"""Seconds before a failed task is run again."""


class BackgroundTasks:
    """Greenlets that are ended together."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._greenlets: list[gevent.Greenlet] = []
        self.stopping = GeventEvent()

    def every(self, interval: float, task: Callable[[], None]) -> None:
        """Run `task` now and then every `interval` seconds."""
        self._spawn(task, interval)

    def loop(self, task: Callable[[], None]) -> None:
        """Run `task` over and over; it waits by itself."""
        self._spawn(task, 0.0)

    def _spawn(self, task: Callable[[], None], interval: float) -> None:
        self._greenlets.append(gevent.spawn(self._run, task, interval))

    def _run(self, task: Callable[[], None], interval: float) -> None:
        while not self.stopping.is_set():
            pause = interval
            try:
                task()
            except Exception as error:  # a background task must go on whatever happens
                self._events.emit(
                    Event.BACKGROUND_TASK_FAILED, task=task.__qualname__, error=repr(error)
                )
                pause = max(interval, ERROR_RETRY_DELAY)
            self.stopping.wait(pause)

    def stop(self) -> None:
        """End all tasks."""
        self.stopping.set()
        gevent.killall(self._greenlets, timeout=2.0)
