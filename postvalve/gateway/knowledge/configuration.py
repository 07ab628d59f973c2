"""The configuration in force, from the store or, if that is unreachable, from a peer."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gevent.event import Event as GeventEvent

from postvalve.core.routing.route_table import RouteTable
from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import KeyedRecord
from postvalve.gateway.knowledge.listeners import notify
from postvalve.settings.routes import RoutedConfiguration
from postvalve.settings.validation import InvalidSettingsGroup

Parser = Callable[[bytes], RoutedConfiguration]
"""Parses an operator's configuration document.

Raises:
    InvalidSettingsGroup: The document is invalid.
"""


class ConfigurationHolder:
    """Holds the newest revision of the configuration; older revisions are ignored."""

    def __init__(self, key: str, parse: Parser, events: EventLog) -> None:
        self._key = key
        self._parse = parse
        self._events = events
        self._listeners: list[Callable[[RouteTable], None]] = []
        self.table: RouteTable | None = None
        self.document = b""
        self.source = ""
        """"store", or the id of the peer that sent the document; empty before the first one."""
        self.ready = GeventEvent()

    @property
    def revision(self) -> int:
        """Number of the revision in force; -1 if there is none yet."""
        return self.table.revision if self.table else -1

    def add_listener(self, listener: Callable[[RouteTable], None]) -> None:
        """Register a callback for new revisions."""
        self._listeners.append(listener)

    def observe(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        """Adopt the configuration if it is among these records of the operator's topic."""
        for record in records:
            if record.key == self._key and record.value:
                self.adopt(record.value, "store")

    def adopt(self, document: bytes, source: str) -> None:
        """Put a document in force if its revision is newer; invalid documents are logged.

        Args:
            document: The operator's document.
            source: "store", or the id of the peer that sent it.
        """
        try:
            configuration = self._parse(document)
        except InvalidSettingsGroup as error:
            mistakes = [str(mistake) for mistake in error.exceptions]
            self._events.emit(Event.CONFIGURATION_UNREADABLE, source=source, mistakes=mistakes)
            return
        if configuration.revision <= self.revision:
            return
        self.table = RouteTable(configuration)
        self.document, self.source = document, source
        self._events.emit(
            Event.CONFIGURATION_IN_FORCE, revision=configuration.revision, source=source
        )
        notify(self._listeners, self.table, self._events)
        self.ready.set()
