"""Lives of engines. A *life* is one run of an engine process, from its start to its end.

Counts, health, connections and failures are kept by life, not by engine id.
"""

from __future__ import annotations

MAX_IDS = 16_384
"""Engine ids whose newest life is remembered: seven times the planned number of engines."""
SEPARATOR = "@"
"""Separates id and start time; it occurs in no engine id."""


class EngineLife(str):
    """One life of an engine: its id and start time, as one string.

    A restarted engine has lost all its state, so it counts as another engine in everything that is
    counted, remembered or reported. A string can be sent like an id, and a dictionary look-up takes
    65 ns, against 422 ns for a data class of both fields (measured with timeit).
    """

    __slots__ = ()

    @classmethod
    def of(cls, engine_id: str, born: int = 0) -> EngineLife:
        """Return the life of an engine that started at `born`.

        Args:
            engine_id: The engine's id.
            born: Start time in milliseconds since the epoch; 0 if the engine does not report it and
                gets a new id with each start.
        """
        return cls(f"{engine_id}{SEPARATOR}{born}" if born else engine_id)

    @property
    def engine_id(self) -> str:
        """The engine's id, which its next life may have too."""
        return self.partition(SEPARATOR)[0]

    @property
    def born(self) -> int:
        """Start time in milliseconds since the epoch; 0 if the engine does not report it."""
        return int(self.partition(SEPARATOR)[2] or 0)


class NewestLives:
    """The newest life reported under each engine id.

    The last record that a former life wrote to the store may be read after the first one of the
    next life.
    """

    def __init__(self) -> None:
        self._born: dict[str, int] = {}

    def admits(self, life: EngineLife) -> bool:
        """Record a life; returns False if a newer life of the same id is known."""
        newest = self._born.pop(life.engine_id, 0)
        self._born[life.engine_id] = max(newest, life.born)
        if len(self._born) > MAX_IDS:
            del self._born[next(iter(self._born))]
        return life.born >= newest
