"""In-memory log with injected faults, used by the emulated log server and by tests."""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass, field

from postvalve.exceptions import LogUnavailableError, Verdict
from postvalve.services.log import DEFAULT_READ_BYTES, LogEntry, LogSlice


class LogFault(enum.StrEnum):
    """Fault of the log, in effect until another one is set."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


@dataclass(slots=True)
class LogFaults:
    """Faults in effect."""

    fault: LogFault = LogFault.NONE
    delay: float = 0.0
    """Seconds by which each call is delayed under SLOW; the server does the waiting."""
    cut_zones: set[str] = field(default_factory=set)
    """Zones that cannot reach the log."""


class LogModel:
    """Streams of records, kept as lists of payloads."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self._streams: dict[str, list[bytes]] = defaultdict(list)

    def append(self, stream: str, payload: bytes, zone: str = "") -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailableError: A fault is in effect; the verdict is NOT_RUN, or MAY_HAVE_RUN if
                the record was appended and only the answer is lost.
        """
        self._check_reachable(zone)
        records = self._streams[stream]
        records.append(payload)
        if self.faults.fault is LogFault.LOSE_ANSWERS:
            raise LogUnavailableError("answer lost", Verdict.MAY_HAVE_RUN)
        return len(records) - 1

    def read(
        self,
        stream: str,
        offset: int,
        *,
        wait: float = 0.0,
        limit: int = DEFAULT_READ_BYTES,
        zone: str = "",
    ) -> LogSlice:
        """Read records up to `limit` bytes in total, but at least one; never waits.

        Raises:
            LogUnavailableError: The log is down or cannot be reached from the zone.
        """
        self._check_reachable(zone)
        records = self._streams.get(stream, [])
        entries: list[LogEntry] = []
        size = 0
        for position in range(offset, len(records)):
            size += len(records[position])
            if entries and size > limit:
                break
            entries.append(LogEntry(position, records[position]))
        return LogSlice(tuple(entries), offset + len(entries), len(records))

    def length(self, stream: str) -> int:
        """Return the number of records in a stream."""
        return len(self._streams.get(stream, ()))

    def _check_reachable(self, zone: str) -> None:
        if self.faults.fault is LogFault.DOWN or zone in self.faults.cut_zones:
            raise LogUnavailableError("log is down", Verdict.NOT_RUN)
