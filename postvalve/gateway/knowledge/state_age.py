"""Ages of a node's copies of the engine directory and of the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MAX_REVISION_AGE = 2.0
"""Age of the configuration, in seconds, up to which it counts as current: the shortest time within
which some deployment requires an acknowledged revision in force."""


@dataclass(frozen=True, slots=True)
class StateAge:
    """Age of each copy: the seconds in which the store may have acknowledged unseen changes."""

    directory_age: float = 0.0
    revision: int = -1
    """Revision of the configuration in force; -1 if there is none yet."""
    revision_age: float = 0.0
    revision_source: str = ""
    """Where it was read: "store", or the id of a peer."""
    reported_revision: int = -1
    """Greatest revision that any peer reported to have in force; -1 if there is none."""

    @property
    def may_lack_changes(self) -> bool:
        """Whether there may be a newer revision that this node should have in force already."""
        is_old = self.revision_age > MAX_REVISION_AGE
        return is_old or self.reported_revision > self.revision

    def fields(self) -> dict[str, Any]:
        """Return the ages as fields for a log event or the status document."""
        return {
            "directory_age": round(self.directory_age, 3),
            "revision": self.revision,
            "revision_age": round(self.revision_age, 3),
            "revision_source": self.revision_source,
            "reported_revision": self.reported_revision,
        }
