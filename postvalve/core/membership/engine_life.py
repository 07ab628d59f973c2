"""Identity of one run of an engine process, by which counts, health, connections and failures are
kept."""

from __future__ import annotations

MAX_IDS = 16_384
"""Engine ids whose newest instance is remembered: seven times the planned number of engines."""
SEPARATOR = "@"
"""Separates id and start time; it occurs in no engine id."""


class EngineLife(str):
    """An engine's id and start time, as one string.

    A restarted engine has lost all its state, so it counts as another instance in everything that
    is counted, remembered or reported about engines. A string can be sent like an id, and a
    dictionary look-up takes 65 ns, against 422 ns for a data class of both fields (measured with
    timeit).
    """

    __slots__ = ()

    @classmethod
    def of(cls, engine_id: str, born: int = 0) -> EngineLife:
        """Return the instance of an engine that started at `born`.

        Args:
            engine_id: The engine's id.
            born: Start time in milliseconds since the epoch; 0 if the engine does not report it and
                gets a new id with each start.
        """
        return cls(f"{engine_id}{SEPARATOR}{born}" if born else engine_id)

    @property
    def engine_id(self) -> str:
        """The engine's id, which its next instance may have too."""
        return self.partition(SEPARATOR)[0]

    @property
    def born(self) -> int:
        """Start time in milliseconds since the epoch; 0 if the engine does not report it."""
        return int(self.partition(SEPARATOR)[2] or 0)


class NewestLives:
    """The newest instance reported under each engine id.

    The last record that a former instance wrote to the store may be read after the first one of its
    successor.
    """

    def __init__(self) -> None:
        self._born: dict[str, int] = {}

    def admits(self, life: EngineLife) -> bool:
        """Record an instance; returns False if a newer instance of the same id is known."""
        newest = self._born.pop(life.engine_id, 0)
        self._born[life.engine_id] = max(newest, life.born)
        if len(self._born) > MAX_IDS:
            del self._born[next(iter(self._born))]
        return life.born >= newest
