"""Messages of kinds that only another build knows: passed over, with a line now and then."""

from __future__ import annotations

from postvalve.events import Event, EventLog

UNKNOWN_MESSAGE_LOG_INTERVAL = 60.0
"""Seconds between two lines on one kind: while two builds run side by side such messages may come
many times a second, for an hour."""


class UnknownMessageCounter:
    """Counts them, by kind; there are 256 of these at the most."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._counts: dict[int, int] = {}
        """Of those that no line has told yet."""
        self._logged_at: dict[int, float] = {}

    def record(self, kind: int, peer: str, now: float) -> None:
        """One came from a peer, at monotonic time `now`."""
        self._counts[kind] = self._counts.get(kind, 0) + 1
        if now - self._logged_at.get(kind, float("-inf")) < UNKNOWN_MESSAGE_LOG_INTERVAL:
            return
        self._logged_at[kind] = now
        count = self._counts.pop(kind)
        self._events.emit(Event.MESSAGES_NOT_KNOWN, kind=kind, peer=peer, count=count)
