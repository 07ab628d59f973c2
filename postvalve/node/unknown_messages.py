"""Counts messages of kinds that this build does not know; they are ignored and logged rarely."""

from __future__ import annotations

from postvalve.events import Event, EventLog

UNKNOWN_MESSAGE_LOG_INTERVAL = 60.0
"""Minimum seconds between two log lines on one kind: while two builds run side by side, such
messages may arrive many times a second, for an hour."""


class UnknownMessageCounter:
    """Counts unknown messages by kind, of which there are at most 256."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._counts: dict[int, int] = {}
        """Messages by kind that no log line has reported yet."""
        self._logged_at: dict[int, float] = {}

    def record(self, kind: int, peer: str, now: float) -> None:
        """Count a message received from a peer at monotonic time `now`, and log it if due."""
        self._counts[kind] = self._counts.get(kind, 0) + 1
        if now - self._logged_at.get(kind, float("-inf")) < UNKNOWN_MESSAGE_LOG_INTERVAL:
            return
        self._logged_at[kind] = now
        count = self._counts.pop(kind)
        self._events.emit(Event.MESSAGES_NOT_KNOWN, kind=kind, peer=peer, count=count)
