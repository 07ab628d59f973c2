"""How old what a node knows is: of the engines, and of the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class StateAge:
    """Ages are seconds of which the node does not know what the store acknowledged in them."""

    directory_age: float = 0.0
    revision: int = -1
    """Of the configuration in force; -1 before any."""
    revision_age: float = 0.0

    def fields(self) -> dict[str, Any]:
        """As fields of a log line, or of a status document."""
        return {
            "directory_age": round(self.directory_age, 3),
            "revision": self.revision,
            "revision_age": round(self.revision_age, 3),
        }
