"""Reads the newest record of each key of a partition, page by page."""

from __future__ import annotations

from dataclasses import dataclass, field

from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import KeyedRecord, KeyedTopics, StoreUnavailableError


@dataclass(slots=True)
class SnapshotRead:
    """Resumable read of the newest record of each key, page by page.

    The pages are not a consistent snapshot: changes made during the read lie after the offset at
    which the first page was taken, and the history is followed from that offset. So the read may
    resume after its last page at any later time. A store whose reads are behind may take a later
    page at a smaller offset, and the history is then followed from there.
    """

    started_at: float
    """Monotonic seconds at which the first page was requested."""
    end: int = -1
    """Smallest end of the partition that a page was taken at; -1 before the first page."""
    _found: dict[str, KeyedRecord] = field(default_factory=dict)
    _after: str = ""

    def read(self, topics: KeyedTopics, topic: str) -> None:
        """Read the remaining pages.

        Raises:
            PlatformError: A page could not be read; the pages before it are kept.
        """
        more = True
        while more:
            part, more = topics.newest(topic, 0, self._after)
            self.end = part.end_offset if self.end < 0 else min(self.end, part.end_offset)
            before = self._after
            for record in part.records:
                self._found[record.key] = record
                self._after = record.key
            more = more and bool(part.records)
            if more and self._after == before:
                raise StoreUnavailableError("the store repeats a page", Verdict.MAY_HAVE_RUN)

    def records(self) -> list[KeyedRecord]:
        """Return the records before `end` in offset order.

        Later pages may contain records from `end` on, but miss others whose keys belong to pages
        read before. All of these are read in order from the history.
        """
        before = [one for one in self._found.values() if one.offset < self.end]
        return sorted(before, key=lambda one: one.offset)
