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

    def fields(self) -> dict[str, Any]:
        """Return the ages as fields for a log event or the status document."""
        return {
            "directory_age": round(self.directory_age, 3),
            "revision": self.revision,
            "revision_age": round(self.revision_age, 3),
        }
