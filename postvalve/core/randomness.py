"""Interface of the random number generator that callers seed and pass to decision logic."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

Item = TypeVar("Item")


class RandomSource(Protocol):
    """The methods of `random.Random` that decision logic uses."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random number between `a` and `b`."""
        ...

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """Return `k` distinct items of the population."""
        ...
