"""Calls the listeners of a change, each of them whatever happens to the others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from postvalve.events import Event, EventLog

Change = TypeVar("Change")


def notify(listeners: Iterable[Callable[[Change], None]], change: Change, events: EventLog) -> None:
    """Pass a change to each listener; errors are logged, and keep it from no other listener."""
    for listener in listeners:
        try:
            listener(change)
        except Exception as exc:  # the change itself has already been made
            name = getattr(listener, "__qualname__", type(listener).__name__)
            events.emit(Event.LISTENER_FAILED, listener=name, error=repr(exc))
