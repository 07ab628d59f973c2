"""The engines' directory as a node holds it, also over an outage of the store.

Engines keep their entries alive in the store themselves. While it is away entries lapse, although
their engines live; those that live come back within moments of its return. So what goes missing
then is kept for that long, and what never came back is gone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

RETURN_TIME = 2.0
"""Seconds after the store's return within which entries that lapsed come back, as the platform's
pages say."""
KEEP_TIME = 1.8
"""Seconds that an entry which lapsed is kept: an engine that has left takes no request for longer
than the shortest time that a deployment gives (2 s), with a margin for a request on its way."""

Entry = TypeVar("Entry")


@dataclass(frozen=True, slots=True)
class _Lapsed(Generic[Entry]):
    entry: Entry
    until: float


class EngineDirectory(Generic[Entry]):
    """Entries by engine id."""

    def __init__(self) -> None:
        self._listed: dict[str, Entry] = {}
        self._lapsed: dict[str, _Lapsed[Entry]] = {}
        self._read = False
        self._store_lost = False
        self._back_at = float("-inf")

    def store_lost(self) -> None:
        """The store does not answer."""
        self._store_lost = True

    def store_back(self, now: float) -> None:
        """The store answers again, since monotonic time `now`."""
        self._store_lost = False
        self._back_at = now

    def unsettled(self, now: float) -> bool:
        """Whether engines may live that are not listed: not read yet, or lapsed a moment ago.

        A node that has just read the directory for the first time can't know what lapsed before.
        """
        return not self._read or self._store_lost or now - self._back_at < RETURN_TIME

    def observe(
        self, changes: Iterable[tuple[str, Entry | None]], whole: bool, now: float
    ) -> list[str]:
        """Take entries in; None removes one.

        Args:
            changes: Engine id and entry.
            whole: Whether these are all entries that there are.
            now: Monotonic seconds.

        Returns:
            Ids of the engines that are missing from now on, but kept for a while.
        """
        keeps = self._read and self.unsettled(now)
        if not self._read:
            self._read = True
            self._back_at = now
        before = self._listed
        listed = {} if whole else dict(before)
        for engine_id, entry in changes:
            if entry is None:
                listed.pop(engine_id, None)
            else:
                listed[engine_id] = entry
                self._lapsed.pop(engine_id, None)
        missing = [engine_id for engine_id in before if engine_id not in listed] if keeps else []
        for engine_id in missing:
            self._lapsed[engine_id] = _Lapsed(before[engine_id], now + KEEP_TIME)
        self._listed = listed
        return missing

    def seconds_kept(self, now: float) -> float | None:
        """Seconds until the first entry that is only kept must go; None when none is kept."""
        untils = [one.until for one in self._lapsed.values()]
        return max(0.0, min(untils) - now) if untils else None

    def entries(self, now: float) -> list[Entry]:
        """Entries that are listed or kept."""
        self._lapsed = {key: one for key, one in self._lapsed.items() if now < one.until}
        return [*self._listed.values(), *(one.entry for one in self._lapsed.values())]
