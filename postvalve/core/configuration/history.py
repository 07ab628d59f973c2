"""Replay of the configuration stream.

The first change in offset order whose base is the revision in force wins. A revision's
number is its offset, so numbers grow and a node only moves forward.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record

NO_REVISION = -1
"""Number before the first accepted change; its base is this."""


class ChangeOutcome(enum.StrEnum):
    """What became of one record of the configuration stream."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REPEATED = "repeated"
    IGNORED = "ignored"
    """No change at all."""


@dataclass(frozen=True, slots=True)
class Revision:
    """An accepted change."""

    number: int
    document: bytes
    author: str = ""
    written_at_ms: int = 0


class ConfigurationHistory:
    """Decides changes as they are read, and keeps the newest revision known.

    A revision may also come from a peer while the log is out of reach. Decisions hang on
    the log alone, so that every reader decides alike.
    """

    def __init__(self) -> None:
        self._decided = NO_REVISION
        self._newest: Revision | None = None
        self._outcomes: dict[str, ChangeOutcome] = {}

    @property
    def newest(self) -> Revision | None:
        """The newest revision known from log or peers."""
        return self._newest

    @property
    def newest_number(self) -> int:
        """Its number, or NO_REVISION."""
        return self._newest.number if self._newest else NO_REVISION

    def observe(self, offset: int, record: Record) -> ChangeOutcome:
        """Decide the record at `offset`; offsets must come in order."""
        if record.record_id in self._outcomes:
            return ChangeOutcome.REPEATED
        change = record.body
        if not isinstance(change, records.ConfigurationChange):
            return ChangeOutcome.IGNORED
        outcome = ChangeOutcome.CONFLICT
        if change.base_revision == self._decided:
            outcome = ChangeOutcome.ACCEPTED
            self._decided = offset
            self._move_forward(
                Revision(offset, change.document, change.author, change.written_at_ms)
            )
        self._outcomes[record.record_id] = outcome
        return outcome

    def outcome_of(self, record_id: str) -> ChangeOutcome | None:
        """Outcome of the first record with this id; None when it was not read yet."""
        return self._outcomes.get(record_id)

    def adopt(self, revision: Revision) -> bool:
        """Take a revision from a peer; returns whether it was newer."""
        return self._move_forward(revision)

    def _move_forward(self, revision: Revision) -> bool:
        if revision.number <= self.newest_number:
            return False
        self._newest = revision
        return True
