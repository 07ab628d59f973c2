"""Engine versions at which the streams of a service may have begun.

If there is only one, it began every stream. That is known only if no other was listed for as long
as a stream may be taken up, which a node that has just started has not seen itself. So each version
is recorded in the store for as long, and a starting node reads these records.
"""

from __future__ import annotations

from collections.abc import Iterable

VERSION_RETENTION = 600.0
"""Seconds after an engine of a version was last listed for which streams that it began may still be
taken up; more than any client waits."""

_Version = tuple[str, int]
"""Service, and hash of the version."""


class VersionHistory:
    """Versions listed lately, as one node knows them. All times are monotonic seconds."""

    def __init__(self, started_at: float) -> None:
        self._followed_since = started_at
        self.gaps = 0
        """Gaps in what this node has seen of the directory; 0 until it has read it. The time before
        its first read is the first gap."""
        self._complete_at = started_at + VERSION_RETENTION
        self._listed: set[_Version] = set()
        self._left_at: dict[_Version, float] = {}
        """When versions that are no longer listed were last listed, as far as this node knows."""

    def observe(self, listed: Iterable[_Version], now: float) -> None:
        """Record the versions that the directory lists now."""
        present = set(listed)
        for version in self._listed - present:
            self._left_at[version] = now
        for version in present:
            self._left_at.pop(version, None)
        self._listed = present

    def record_earlier(self, service: str, version: int, now: float) -> None:
        """Record a version that was listed until `now` at the latest, here or at other nodes."""
        if (service, version) not in self._listed:
            self._left_at[service, version] = max(now, self._left_at.get((service, version), now))

    def record_gap(self, now: float) -> None:
        """Record that the directory is followed from now on, but was not just before.

        That holds after each read of the whole directory, the first one included: versions may have
        come and gone unseen.
        """
        self.gaps += 1
        self._followed_since = now
        self._complete_at = now + VERSION_RETENTION

    @property
    def followed_since(self) -> float:
        """Since when every version listed is known."""
        return self._followed_since

    def record_complete(self, now: float) -> None:
        """Record that all versions listed before `followed_since` are known."""
        self._complete_at = min(self._complete_at, now)

    def is_complete(self, now: float) -> bool:
        """Whether no version can be missing that was listed before `followed_since`."""
        return now >= self._complete_at

    def possible(self, service: str, now: float) -> frozenset[int]:
        """Return the versions at which streams of a service may have begun, as far as known."""
        return frozenset(one for name, one in self.all(now) if name == service)

    def all(self, now: float) -> set[_Version]:
        """Return the versions of all services at which streams may have begun."""
        self._left_at = {
            version: at for version, at in self._left_at.items() if now - at < VERSION_RETENTION
        }
        return self._listed | self._left_at.keys()

    @property
    def listed(self) -> frozenset[_Version]:
        """The versions that the directory lists now."""
        return frozenset(self._listed)
