"""The configuration in force: from the store, or from a peer when the store is out of reach."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gevent.event import Event as GeventEvent

from postvalve.core.routing.route_table import RouteTable
from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import KeyedRecord
from postvalve.settings.routes import RoutedConfiguration
from postvalve.settings.validation import InvalidSettingsGroup

Parser = Callable[[bytes], RoutedConfiguration]
"""Reads an operator's document.

Raises:
    InvalidSettingsGroup: it can't be read.
"""


class ConfigurationHolder:
    """Holds the newest revision; it only moves forward."""

    def __init__(self, key: str, parse: Parser, events: EventLog) -> None:
        self._key = key
        self._parse = parse
        self._events = events
        self._listeners: list[Callable[[RouteTable], None]] = []
        self.table: RouteTable | None = None
        self.document = b""
        self.ready = GeventEvent()

    @property
    def revision(self) -> int:
        """Number of the revision in force; -1 before any."""
        return self.table.revision if self.table else -1

    def add_listener(self, listener: Callable[[RouteTable], None]) -> None:
        """Be told of new revisions."""
        self._listeners.append(listener)

    def observe(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        """Take records of the operator's topic in."""
        for record in records:
            if record.key == self._key and record.value:
                self.adopt(record.value, "store")

    def adopt(self, document: bytes, source: str) -> None:
        """Put a revision in force if it is newer."""
        try:
            configuration = self._parse(document)
        except InvalidSettingsGroup as error:
            mistakes = [str(mistake) for mistake in error.exceptions]
            self._events.emit(Event.CONFIGURATION_UNREADABLE, source=source, mistakes=mistakes)
            return
        if configuration.revision <= self.revision:
            return
        self.table = RouteTable(configuration)
        self.document = document
        self._events.emit(
            Event.CONFIGURATION_IN_FORCE, revision=configuration.revision, source=source
        )
        for listener in self._listeners:
            listener(self.table)
        self.ready.set()
