"""Ages of a node's copies of the engine directory and of the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


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

    def fields(self) -> dict[str, Any]:
        """Return the ages as fields for a log event or the status document."""
        return {
            "directory_age": round(self.directory_age, 3),
            "revision": self.revision,
            "revision_age": round(self.revision_age, 3),
            "revision_source": self.revision_source,
            "reported_revision": self.reported_revision,
        }
