"""Choice of an engine for one online request.

Uses the power of two choices on load, with affinity to the engine that probably holds the prompt's
prefix, as long as that engine is not loaded much more than the others.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.randomness import RandomSource

AFFINITY_LOAD_BOUND = 1.25
"""The engine with prefix affinity is chosen while its load is at most this multiple of the mean."""
AFFINITY_LOAD_SLACK = 2.0
"""Requests above this bound that are still accepted."""
ACTIVE_LOAD = 0.5
"""Fraction of an active engine's slots that online work is planned to use."""
ACTIVE_RESERVE = 4
"""Number of additional requests for which the active engines must have room."""
LOCAL_LOAD_LIMIT = 0.8
"""Load from which an engine of the own zone counts as full; engines of other zones are considered
once all local ones are."""


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """An engine as the gateway sees it, from the owner's latest summary."""

    engine_id: str
    owner_id: str
    zone: str
    online_in_flight: int
    slots: int

    @property
    def load(self) -> float:
        """Fraction of the slots that runs online work."""
        return self.online_in_flight / max(1, self.slots)


class Router:
    """Orders the candidate engines of a request; the first is tried first."""

    def __init__(self, zone: str, generator: RandomSource) -> None:
        self._zone = zone
        self._random = generator

    def order(
        self, candidates: Sequence[EngineCandidate], prefix_key: str
    ) -> list[EngineCandidate]:
        """Return all candidates, the chosen one first, the others by zone and load."""
        if not candidates:
            return []
        near = self._active(self._near(candidates))
        first = self._affine(near, prefix_key) or self._less_loaded(near)
        others = [candidate for candidate in candidates if candidate is not first]
        others.sort(
            key=lambda candidate: (
                candidate.load >= 1.0,
                candidate.zone != self._zone,
                candidate.load,
            )
        )
        return [first, *others]

    def _near(self, candidates: Sequence[EngineCandidate]) -> Sequence[EngineCandidate]:
        local = [
            candidate
            for candidate in candidates
            if candidate.zone == self._zone and candidate.load < LOCAL_LOAD_LIMIT
        ]
        return local or candidates

    @staticmethod
    def _active(candidates: Sequence[EngineCandidate]) -> Sequence[EngineCandidate]:
        """Return the fewest engines, in a fixed order, that carry the present load with some
        reserve.

        Online work is concentrated on these, so that the other engines can run batch items without
        affecting it.
        """
        ordered = sorted(candidates, key=lambda candidate: candidate.engine_id)
        in_flight = sum(candidate.online_in_flight for candidate in candidates)
        planned = 0.0
        for number, candidate in enumerate(ordered, 1):
            planned += candidate.slots * ACTIVE_LOAD
            if planned >= in_flight + ACTIVE_RESERVE:
                return ordered[:number]
        return ordered

    def _affine(
        self, candidates: Sequence[EngineCandidate], prefix_key: str
    ) -> EngineCandidate | None:
        chosen_id = preferred_owner(prefix_key, [candidate.engine_id for candidate in candidates])
        chosen = next(candidate for candidate in candidates if candidate.engine_id == chosen_id)
        mean = sum(candidate.online_in_flight for candidate in candidates) / len(candidates)
        if chosen.online_in_flight > AFFINITY_LOAD_BOUND * mean + AFFINITY_LOAD_SLACK:
            return None
        return chosen if chosen.load < 1.0 else None

    def _less_loaded(self, candidates: Sequence[EngineCandidate]) -> EngineCandidate:
        pair = self._random.sample(list(candidates), min(2, len(candidates)))
        return min(pair, key=lambda candidate: candidate.load)
