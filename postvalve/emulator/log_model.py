"""The log in memory, with faults on order. Used by the log program and by tests."""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass, field

from postvalve.exceptions import LogUnavailableError, Verdict
from postvalve.services.log import DEFAULT_READ_BYTES, LogEntry, LogSlice


class LogFault(enum.StrEnum):
    """What the log does wrong until told otherwise."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


@dataclass(slots=True)
class LogFaults:
    """Faults in force."""

    fault: LogFault = LogFault.NONE
    delay: float = 0.0
    """Seconds added to each call under SLOW; the shell waits them."""
    cut_zones: set[str] = field(default_factory=set)
    """Zones that can't reach the log."""


class LogModel:
    """Streams as lists of payloads."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self._streams: dict[str, list[bytes]] = defaultdict(list)

    def append(self, stream: str, payload: bytes, zone: str = "") -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailableError: as the faults say; MAY_HAVE_RUN after it took effect.
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
        """Read at most about `limit` bytes, one record at least; never waits."""
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
        """Number of records in a stream."""
        return len(self._streams.get(stream, ()))

    def _check_reachable(self, zone: str) -> None:
        if self.faults.fault is LogFault.DOWN or zone in self.faults.cut_zones:
            raise LogUnavailableError("log is down", Verdict.NOT_RUN)
