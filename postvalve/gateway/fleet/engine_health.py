"""Recent failures and replacements of engines, as seen by this node."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from postvalve.clock import Clock
from postvalve.core.membership.engine_life import EngineLife

SUSPECT_TIME = 1.0
"""Seconds for which an engine is avoided after a failed attempt, doubled by each further one."""
MAX_SUSPECT_TIME = 4.0
MAX_UNHEARD_SUSPECT_TIME = 32.0
"""The longest such time for an engine that refuses connections and has never answered: its entry
may be wrong. It may also be starting, so it is avoided for no longer than it has refused before."""

MAX_DOUBLINGS = 16
"""Failures after which the time is not doubled any more, whatever the longest time is."""


@dataclass(slots=True)
class _Health:
    failures: int = 0
    failing_since: float = float("-inf")
    """Monotonic seconds of the first of these failures."""
    suspect_until: float = float("-inf")
    replaced: bool = False


class EngineHealth:
    """Health of engines: which ones are suspect after a failure, and which were replaced."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_life: dict[EngineLife, _Health] = {}
        self._answered: set[EngineLife] = set()
        """Engines that have answered a request."""
        self._suspected_until = float("-inf")
        """Monotonic seconds until which at least one engine may be suspect."""

    def retain(self, listed: Container[EngineLife]) -> None:
        """Drop all engines but those that the directory lists."""
        self._by_life = {life: one for life, one in self._by_life.items() if life in listed}
        self._answered = {life for life in self._answered if life in listed}

    @property
    def any_suspect(self) -> bool:
        """Whether at least one engine may be suspect."""
        return self._suspected_until > self._clock.monotonic()

    def is_suspect(self, life: EngineLife) -> bool:
        """Whether an engine is avoided because of a recent failure."""
        now = self._clock.monotonic()
        if self._suspected_until <= now:
            return False
        health = self._by_life.get(life)
        return health is not None and health.suspect_until > now

    def is_replaced(self, life: EngineLife) -> bool:
        """Whether another engine has answered at an engine's address."""
        health = self._by_life.get(life)
        return health is not None and health.replaced

    def record_success(self, life: EngineLife) -> None:
        """Record a successful attempt."""
        self._answered.add(life)
        if (health := self._by_life.get(life)) is not None:
            health.failures = 0

    def record_failure(self, life: EngineLife, *, not_listening: bool = False) -> float:
        """Record an attempt that its engine failed; return the seconds for which it is avoided.

        Args:
            life: The engine.
            not_listening: Whether its address refused the connection.
        """
        health, now = self._of(life), self._clock.monotonic()
        if not health.failures:
            health.failing_since = now
        health.failures += 1
        longest = MAX_SUSPECT_TIME
        if not_listening and life not in self._answered:
            refusing = min(MAX_UNHEARD_SUSPECT_TIME, now - health.failing_since)
            longest = max(longest, refusing)
        pause = min(longest, SUSPECT_TIME * 2 ** min(health.failures - 1, MAX_DOUBLINGS))
        health.suspect_until = now + pause
        self._suspected_until = max(self._suspected_until, health.suspect_until)
        return pause

    def record_replaced(self, life: EngineLife) -> None:
        """Record that another engine has answered at this engine's address."""
        self._of(life).replaced = True

    def _of(self, life: EngineLife) -> _Health:
        return self._by_life.setdefault(life, _Health())
