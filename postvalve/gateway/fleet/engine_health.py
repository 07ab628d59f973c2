"""How engines behaved towards this node, by their lives."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from postvalve.clock import Clock
from postvalve.core.membership.engine_life import EngineLife

SUSPECT_TIME = 1.0
"""Seconds that an engine is avoided after a failed attempt; doubled while it goes on."""
MAX_SUSPECT_TIME = 4.0


@dataclass(slots=True)
class _Standing:
    failures: int = 0
    suspect_until: float = float("-inf")
    replaced: bool = False


class EngineHealth:
    """Which engines failed a moment ago, and which were replaced."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_life: dict[EngineLife, _Standing] = {}
        self._suspected_until = float("-inf")
        """Monotonic seconds until which any engine is suspect."""

    def retain(self, listed: Container[EngineLife]) -> None:
        """Forget all but these: what is told of a former life later on is not kept."""
        self._by_life = {life: one for life, one in self._by_life.items() if life in listed}

    @property
    def any_suspect(self) -> bool:
        """Whether any engine may be suspect."""
        return self._suspected_until > self._clock.monotonic()

    def is_suspect(self, life: EngineLife) -> bool:
        """Whether an engine failed a moment ago."""
        now = self._clock.monotonic()
        if self._suspected_until <= now:
            return False
        standing = self._by_life.get(life)
        return standing is not None and standing.suspect_until > now

    def is_replaced(self, life: EngineLife) -> bool:
        """Whether another engine was met at an engine's address."""
        standing = self._by_life.get(life)
        return standing is not None and standing.replaced

    def record_success(self, life: EngineLife) -> None:
        """An attempt went well."""
        if (standing := self._by_life.get(life)) is not None:
            standing.failures = 0

    def record_failure(self, life: EngineLife) -> float:
        """An attempt failed by its engine; returns the seconds for which that one is avoided."""
        standing = self._of(life)
        standing.failures += 1
        pause = min(MAX_SUSPECT_TIME, SUSPECT_TIME * 2 ** (standing.failures - 1))
        standing.suspect_until = self._clock.monotonic() + pause
        self._suspected_until = max(self._suspected_until, standing.suspect_until)
        return pause

    def record_replaced(self, life: EngineLife) -> None:
        """Another engine lives at its address."""
        self._of(life).replaced = True

    def _of(self, life: EngineLife) -> _Standing:
        return self._by_life.setdefault(life, _Standing())
