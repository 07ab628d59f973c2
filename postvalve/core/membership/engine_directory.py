"""A node's copy of the engine directory, kept usable during an outage of the store.

Engines renew their own entries in the store. During an outage the entries lapse although the
engines are alive, and live engines register again within moments of its end. So entries that
disappeared while the store was unavailable to all nodes are kept for that long after the outage,
and dropped if they have not come back by then. An entry that disappeared while only this node could
not reach the store belongs to an engine that has left.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from postvalve.core.membership.shared_freshness import SharedFreshness

REREGISTRATION_TIME = 2.0
"""Seconds after an outage within which lapsed entries are registered again, according to the
platform's documentation."""
LAPSED_ENTRY_RETENTION = 1.8
"""Seconds after an outage for which a lapsed entry is kept. An engine that has left must not get
requests for longer than the shortest drain time of a deployment (2 s); the difference is a margin
for requests on their way."""

Entry = TypeVar("Entry")


@dataclass(frozen=True, slots=True)
class _Lapsed(Generic[Entry]):
    entry: Entry
    until: float


class EngineDirectory(Generic[Entry]):
    """Engine entries by engine id."""

    def __init__(self, shared: SharedFreshness) -> None:
        """Create an empty directory; `shared` tells when the store was unavailable to all nodes."""
        self._shared = shared
        self._listed: dict[str, Entry] = {}
        self._lapsed: dict[str, _Lapsed[Entry]] = {}
        self._read = False
        self._store_lost = False
        self._recovered_at = float("-inf")

    def store_lost(self) -> None:
        """Record that this node cannot reach the store."""
        self._store_lost = True

    def store_back(self, now: float) -> None:
        """Record that the store answers this node again since monotonic time `now`."""
        self._store_lost = False
        self._recovered_at = now

    def unsettled(self, now: float) -> bool:
        """Return whether there may be live engines that are not listed.

        That is the case before the first read, during an outage and shortly after it. It also holds
        for `REREGISTRATION_TIME` after the first read, since entries may have lapsed just before.
        """
        recovered_at = max(self._recovered_at, self._shared.returned_at)
        return not self._read or self._store_lost or now - recovered_at < REREGISTRATION_TIME

    def observe(
        self, changes: Iterable[tuple[str, Entry | None]], whole: bool, now: float
    ) -> list[str]:
        """Apply changes of the directory.

        Args:
            changes: Pairs of engine id and entry; None removes the entry.
            whole: Whether the changes are the complete directory.
            now: Monotonic seconds.

        Returns:
            Ids of engines whose entries have disappeared but are kept for a while.
        """
        retain_until = self._shared.returned_at + LAPSED_ENTRY_RETENTION
        retains = self._read and now < retain_until
        if not self._read:
            self._read = True
            self._recovered_at = now
        before = self._listed
        listed = {} if whole else dict(before)
        for engine_id, entry in changes:
            if entry is None:
                listed.pop(engine_id, None)
            else:
                listed[engine_id] = entry
                self._lapsed.pop(engine_id, None)
        missing = [engine_id for engine_id in before if engine_id not in listed] if retains else []
        for engine_id in missing:
            self._lapsed[engine_id] = _Lapsed(before[engine_id], retain_until)
        self._listed = listed
        return missing

    def listed(self, engine_id: str) -> Entry | None:
        """Return the entry of an engine if it is listed."""
        return self._listed.get(engine_id)

    def seconds_to_expiry(self, now: float) -> float | None:
        """Return the seconds until the first retained entry expires; None if none is retained."""
        expiries = [one.until for one in self._lapsed.values()]
        return max(0.0, min(expiries) - now) if expiries else None

    def entries(self, now: float) -> list[Entry]:
        """Return all entries that are listed or retained."""
        self._lapsed = {key: one for key, one in self._lapsed.items() if now < one.until}
        return [*self._listed.values(), *(one.entry for one in self._lapsed.values())]
