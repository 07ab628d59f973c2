"""The random numbers that decisions take from their caller, who seeds them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

Item = TypeVar("Item")


class RandomSource(Protocol):
    """The part of `random.Random` that decisions use."""

    def uniform(self, a: float, b: float) -> float:
        """A number between `a` and `b`."""
        ...

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """`k` different items of the population."""
        ...
