"""Reads and publishes configuration revisions on the log, for operators' tools."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from postvalve.clock import Clock, milliseconds
from postvalve.core.batch.identity import CONFIGURATION_STREAM
from postvalve.core.configuration.history import (
    NO_REVISION,
    ChangeOutcome,
    ConfigurationHistory,
    Revision,
)
from postvalve.exceptions import RevisionConflictError
from postvalve.messages.generated import records
from postvalve.messages.records_codec import parse_record
from postvalve.node.log_writer import LogWriter
from postvalve.services.log import LogService, read_all
from postvalve.settings.fleet import FleetConfiguration, parse_fleet_configuration


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One submitted change of the configuration, and its outcome."""

    offset: int
    base_revision: int
    author: str
    written_at_ms: int
    outcome: ChangeOutcome


class ConfigurationStore:
    """Reads and publishes configuration revisions on the log."""

    def __init__(
        self, log: LogService, writer: LogWriter, clock: Clock, new_id: Callable[[], str]
    ) -> None:
        self._log = log
        self._new_id = new_id
        self._writer = writer
        self._clock = clock

    def newest(self) -> Revision | None:
        """Return the active revision according to the log, or None before the first.

        Raises:
            LogUnavailableError: the log does not respond.
        """
        return self._replay().newest

    def newest_configuration(self) -> FleetConfiguration:
        """Return the active configuration, or an empty one before the first revision."""
        revision = self.newest()
        if revision is None:
            return FleetConfiguration()
        return parse_fleet_configuration(revision.document, f"revision {revision.number}")

    def history(self) -> list[HistoryEntry]:
        """Return all submitted changes in offset order, with their outcomes."""
        history = ConfigurationHistory()
        entries: list[HistoryEntry] = []
        for entry in read_all(self._log, CONFIGURATION_STREAM):
            record = parse_record(entry.payload)
            outcome = history.observe(entry.offset, record)
            change = record.body
            if not isinstance(change, records.ConfigurationChange):
                continue
            entries.append(
                HistoryEntry(
                    entry.offset,
                    change.base_revision,
                    change.author,
                    change.written_at_ms,
                    outcome,
                )
            )
        return entries

    def publish(
        self, configuration: FleetConfiguration, base_revision: int | None, author: str
    ) -> int:
        """Publish a validated configuration; returns its revision once the log has decided on it.

        Args:
            configuration: The complete new configuration.
            base_revision: The revision that the change is based on; None for the newest.
            author: Name of the author, for the history.

        Raises:
            RevisionConflictError: another change with the same base precedes it on the log.
            LogUnavailableError: the change may have been published; `history` shows whether it was.
        """
        if base_revision is None:
            newest = self.newest()
            base_revision = newest.number if newest else NO_REVISION
        change = records.ConfigurationChange(
            base_revision=base_revision,
            author=author,
            document=configuration.model_dump_json().encode("utf-8"),
            written_at_ms=milliseconds(self._clock.wall()),
        )
        record_id = self._new_id()
        self._writer.append(CONFIGURATION_STREAM, change, record_id=record_id)
        return self._published_revision(record_id, base_revision)

    def _published_revision(self, record_id: str, base_revision: int) -> int:
        # An acknowledged append is not yet accepted: an earlier record may have the same base, so
        # the stream has to be read up to it.
        history = ConfigurationHistory()
        for entry in read_all(self._log, CONFIGURATION_STREAM):
            record = parse_record(entry.payload)
            outcome = history.observe(entry.offset, record)
            if record.record_id != record_id:
                continue
            if outcome is ChangeOutcome.ACCEPTED:
                return entry.offset
            break
        raise RevisionConflictError(
            f"revision {base_revision} is no longer the newest: another change came first",
            parameter="base",
        )

    def _replay(self) -> ConfigurationHistory:
        history = ConfigurationHistory()
        for entry in read_all(self._log, CONFIGURATION_STREAM):
            history.observe(entry.offset, parse_record(entry.payload))
        return history
