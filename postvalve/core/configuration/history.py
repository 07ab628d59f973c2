"""Replays the stream of configuration changes into a history of revisions.

A change is accepted if its base is the revision in force at its offset; of several changes with the
same base, the first in offset order wins. A revision's number is the offset of its change, so
revision numbers only increase.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record

NO_REVISION = -1
"""Revision number before the first accepted change, and the base that this change must name."""


class ChangeOutcome(enum.StrEnum):
    """Outcome of one record of the configuration stream."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REPEATED = "repeated"
    IGNORED = "ignored"
    """The record is not a configuration change."""


@dataclass(frozen=True, slots=True)
class Revision:
    """An accepted configuration change."""

    number: int
    document: bytes
    author: str = ""
    written_at_ms: int = 0


class ConfigurationHistory:
    """Decides configuration changes in stream order and keeps the newest known revision.

    A newer revision may also come from a peer while the log is unreachable. Decisions depend only
    on the log, so that every reader reaches the same ones.
    """

    def __init__(self) -> None:
        self._revision_in_force = NO_REVISION
        self._newest: Revision | None = None
        self._outcomes: dict[str, ChangeOutcome] = {}

    @property
    def newest(self) -> Revision | None:
        """The newest revision known from the log or from peers; None if there is none."""
        return self._newest

    @property
    def newest_number(self) -> int:
        """Number of the newest known revision, or NO_REVISION."""
        return self._newest.number if self._newest else NO_REVISION

    def observe(self, offset: int, record: Record) -> ChangeOutcome:
        """Decide the record at `offset`; records must be passed in offset order."""
        if record.record_id in self._outcomes:
            return ChangeOutcome.REPEATED
        change = record.body
        if not isinstance(change, records.ConfigurationChange):
            return ChangeOutcome.IGNORED
        outcome = ChangeOutcome.CONFLICT
        if change.base_revision == self._revision_in_force:
            outcome = ChangeOutcome.ACCEPTED
            self._revision_in_force = offset
            self._advance(Revision(offset, change.document, change.author, change.written_at_ms))
        self._outcomes[record.record_id] = outcome
        return outcome

    def outcome_of(self, record_id: str) -> ChangeOutcome | None:
        """Return the outcome of the first record with this id, or None if it has not been read
        yet."""
        return self._outcomes.get(record_id)

    def adopt(self, revision: Revision) -> bool:
        """Take over a revision from a peer; return whether it was newer than the known one."""
        return self._advance(revision)

    def _advance(self, revision: Revision) -> bool:
        if revision.number <= self.newest_number:
            return False
        self._newest = revision
        return True
