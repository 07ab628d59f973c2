"""Items that find no engine in a scheduling pass, and the order in which others are tried then."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from postvalve.core.membership.engine_life import EngineLife
from postvalve.gateway.jobs.running_item import RunningItem

MAX_MISSES = 16
"""Items that one pass tries in vain, since each try looks at all engines."""
ORDERED_MISSES = 8
"""Misses after which a pass tries the smallest items first. Otherwise a series of large ones, each
a little smaller than the one before, would keep all others from starting."""


@dataclass(frozen=True, slots=True)
class Miss:
    """Items that find no engine in a pass."""

    version: str | None
    """Version that they need; None stands for all items."""
    tokens: int = 0
    """Least tokens that they may need."""
    excluded: EngineLife | None = None
    """Engine that is not open to them; None if no engine has a slot that they fit in."""

    def rules_out(self, item: RunningItem) -> bool:
        """Return whether an item is one of them."""
        return (
            self.version in (None, item.version)
            and self.excluded in (None, item.failed_engine)
            and self.tokens <= item.tokens
        )


def candidates(items: Sequence[RunningItem], misses: Sequence[Miss]) -> Iterator[RunningItem]:
    """Yield items in their order, or the smallest first once many have found no engine."""
    for idx, item in enumerate(items):
        if len(misses) >= ORDERED_MISSES:
            yield from sorted(items[idx:], key=lambda one: one.tokens)
            return
        yield item
