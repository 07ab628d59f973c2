"""The engines' directory as a node holds it, also over an outage of the store.

Engines keep their entries alive in the store themselves. While it is away entries lapse, although
their engines live; those that live come back within moments of its return. So what went missing
while it was away for all nodes is kept for that long from its return, and what never came back is
gone. What went missing while only this node did not reach it has left.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from postvalve.core.membership.shared_freshness import SharedFreshness

REREGISTRATION_TIME = 2.0
"""Seconds after the store's return within which entries that lapsed come back, as the platform's
pages say."""
LAPSED_ENTRY_RETENTION = 1.8
"""Seconds from the store's return for which an entry that lapsed is kept: an engine that has left
takes no request for longer than the shortest time that a deployment gives (2 s), with a margin for
a request on its way."""

Entry = TypeVar("Entry")


@dataclass(frozen=True, slots=True)
class _Lapsed(Generic[Entry]):
    entry: Entry
    until: float


class EngineDirectory(Generic[Entry]):
    """Entries by engine id."""

    def __init__(self, shared: SharedFreshness) -> None:
        """Hold nothing yet; `shared` tells when the store was away for all nodes."""
        self._shared = shared
        self._listed: dict[str, Entry] = {}
        self._lapsed: dict[str, _Lapsed[Entry]] = {}
        self._read = False
        self._store_lost = False
        self._back_at = float("-inf")

    def store_lost(self) -> None:
        """The store does not answer this node."""
        self._store_lost = True

    def store_back(self, now: float) -> None:
        """The store answers this node again, since monotonic time `now`."""
        self._store_lost = False
        self._back_at = now

    def unsettled(self, now: float) -> bool:
        """Whether engines may live that are not listed: not read yet, or lapsed a moment ago.

        A node that has just read the directory for the first time can't know what lapsed before.
        """
        back_at = max(self._back_at, self._shared.returned_at)
        return not self._read or self._store_lost or now - back_at < REREGISTRATION_TIME

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
        keep_until = self._shared.returned_at + LAPSED_ENTRY_RETENTION
        keeps = self._read and now < keep_until
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
            self._lapsed[engine_id] = _Lapsed(before[engine_id], keep_until)
        self._listed = listed
        return missing

    def listed(self, engine_id: str) -> Entry | None:
        """The entry of an engine, if it is listed."""
        return self._listed.get(engine_id)

    def seconds_to_expiry(self, now: float) -> float | None:
        """Seconds until the first entry that is only kept must go; None when none is kept."""
        untils = [one.until for one in self._lapsed.values()]
        return max(0.0, min(untils) - now) if untils else None

    def entries(self, now: float) -> list[Entry]:
        """Entries that are listed or kept."""
        self._lapsed = {key: one for key, one in self._lapsed.items() if now < one.until}
        return [*self._listed.values(), *(one.entry for one in self._lapsed.values())]
