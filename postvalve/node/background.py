"""Background tasks of a node, in greenlets that go on after an error."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event as GeventEvent

from postvalve.events import Event, EventLog

ERROR_RETRY_DELAY = 1.0
"""Minimum number of seconds before a task that raised an error runs again."""


class BackgroundTasks:
    """Background greenlets that are stopped together."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._greenlets: list[gevent.Greenlet] = []
        self.stopping = GeventEvent()

    def every(self, interval: float, task: Callable[[], None]) -> None:
        """Run `task` at once, then again `interval` seconds after each run."""
        self._spawn(task, interval)

    def loop(self, task: Callable[[], None]) -> None:
        """Run `task` in a loop without a delay; the task itself must block."""
        self._spawn(task, 0.0)

    def _spawn(self, task: Callable[[], None], interval: float) -> None:
        self._greenlets.append(gevent.spawn(self._run, task, interval))

    def _run(self, task: Callable[[], None], interval: float) -> None:
        while not self.stopping.is_set():
            delay = interval
            try:
                task()
            except Exception as error:  # one failed run must not end a background task
                self._events.emit(
                    Event.BACKGROUND_TASK_FAILED, task=task.__qualname__, error=repr(error)
                )
                delay = max(interval, ERROR_RETRY_DELAY)
            self.stopping.wait(delay)

    def stop(self) -> None:
        """Kill all tasks, and wait at most 2 s for them to end."""
        self.stopping.set()
        gevent.killall(self._greenlets, timeout=2.0)
