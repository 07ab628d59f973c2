"""Compares the items that a node works on with those that it holds by the job board.

Both follow the same log, but the board is replayed state, while a node's items are changed by
events, so an event that is lost would make them differ for good.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Set
from dataclasses import dataclass

ItemKey = tuple[str, int]
"""Job id and item index."""


class DifferenceKind(enum.StrEnum):
    """How an item differs from the board."""

    MISSING = "missing"
    """This node holds it, and neither works on it nor has ended it."""
    LEFT_OVER = "left over"
    """This node works on it, but it has ended, or this node does not hold it."""
    TWICE = "twice"
    """This node works on it, and has already ended it."""
    STALLED = "stalled"
    """It is marked as running, but no attempt runs it."""


@dataclass(frozen=True, slots=True)
class Difference:
    """One item that is not where the board says."""

    kind: DifferenceKind
    job_id: str
    index: int
    claim_id: str
    """Id of the claim under which this node holds the job; empty if it does not."""


@dataclass(frozen=True, slots=True)
class HeldJob:
    """A job that a node holds, by the board."""

    job_id: str
    claim_id: str
    open_items: Collection[int]
    """Indexes of the items without a result."""


@dataclass(frozen=True, slots=True)
class NodeItems:
    """Items of a node, each in one of several states."""

    waiting: Set[ItemKey] = frozenset()
    running: Set[ItemKey] = frozenset()
    """Items that are marked as running."""
    attempts: Set[ItemKey] = frozenset()
    """Items that an attempt runs which was not cancelled."""
    ended: Set[ItemKey] = frozenset()
    """Items that have ended here, but perhaps not yet on the board."""


def differences(held: Iterable[HeldJob], items: NodeItems) -> set[Difference]:
    """Return all differences between the board and a node's items."""
    claims: dict[str, str] = {}
    open_items: set[ItemKey] = set()
    for job in held:
        claims[job.job_id] = job.claim_id
        open_items.update((job.job_id, index) for index in job.open_items)
    worked_on = items.waiting | items.running
    found = {
        DifferenceKind.MISSING: open_items - worked_on - items.attempts - items.ended,
        DifferenceKind.LEFT_OVER: worked_on - open_items,
        DifferenceKind.TWICE: worked_on & open_items & items.ended,
        DifferenceKind.STALLED: (items.running & open_items) - items.attempts - items.ended,
    }
    return {
        Difference(kind, job_id, index, claims.get(job_id, ""))
        for kind, keys in found.items()
        for job_id, index in keys
    }


class Reconciler:
    """Confirms differences: one that is seen at a single check may be a change under way."""

    def __init__(self) -> None:
        self._seen: set[Difference] = set()

    def confirm(self, found: set[Difference]) -> list[Difference]:
        """Return the differences that the previous check found too, in order."""
        confirmed = self._seen & found
        self._seen = found - confirmed
        return sorted(confirmed, key=lambda one: (one.job_id, one.kind, one.index))

    def reset(self) -> None:
        """Forget the previous check, when differences can't be found now."""
        self._seen = set()
