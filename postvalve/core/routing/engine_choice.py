"""Choice of an engine for a routed request: what it must read first, load, zone, kept parts.

An engine reads prompts one after the other, so a short request behind a long prompt waits for
all of it, however many slots are free. Costs are therefore counted in prompt tokens: those
that the engine must read before this request's first token, and what else is worth as much.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from dataclasses import dataclass

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.randomness import RandomSource

AFFINITY_TOKENS = 1_000
"""Shared prompt tokens from which it pays to go where they were read before."""
REMOTE_ZONE_TOKENS = 4_000
"""Tokens that may wait at an engine of the own zone before another zone's is better."""
COLD_TOKENS = 4_000
"""Tokens that may wait at a warm engine before one that is slow from its start is better: as many
as another zone costs. Tried on a copy of a site whose engines take 3 times as long for 6 s."""
ALMOST_FULL_TOKENS = 4_000
"""Tokens that an engine counts for which online work almost fills: requests that are under way
elsewhere, and that this node has not heard of yet, may take its last slots."""
PREEMPTION_TOKENS = 2_000
"""Tokens that could be read while a batch item gives way: less than another zone costs, since the
node that watches over an engine hears of requests from its own zone at once."""
OWN_ENGINE_TOKENS = 750
"""Tokens that may wait more at an engine that this node watches over: half the load of a full one.
It knows at once what others send there, where its counts of other engines are some tenths of a
second old, and sends nobody a report out of turn. Of the requests in heaps at 20 nodes and 24
engines 0.067 waited for a slot without this, 0.039 with it, and 0.95 and 0.47 went to engines that
another node watches over."""
QUEUED_REQUEST_TOKENS = 4_000
"""Tokens that could be read while a request waits for a slot, for each that waits before it."""
LOAD_TOKENS = 1_500
"""Tokens by which a full engine is worse than an empty one, since each step takes longer."""
SAMPLE_SIZE = 2
"""Engines of the own zone, and of all others, that one choice looks at."""
ALMOST_FULL = 0.85
"""Share of its slots that online work has from which an engine counts as almost full."""


@dataclass(frozen=True, slots=True)
class EngineOption:
    """An engine that may take a request, as this node sees it now."""

    life: EngineLife
    zone: str
    slots: int
    in_flight: int
    """Requests of all kinds and nodes."""
    batch: int = 0
    """Batch items among them, which give way."""
    unread: int = 0
    """Prompt tokens of requests in flight that have no first token yet."""
    cold: bool = False
    """Whether it is still slow from its start."""
    memory_short: int = 0
    """Tokens by which the engine's memory is too small for this request beside the others."""
    queue_penalty: float = 0.0
    """By how much it is worse than an even engine of the same load; see `core/routing/expectation`.
    Below 0 where it is better."""

    @property
    def load(self) -> float:
        """Requests for each slot."""
        return self.in_flight / max(1, self.slots)

    @property
    def online(self) -> int:
        """Online requests of all nodes."""
        return self.in_flight - self.batch


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """An option, and what it costs."""

    option: EngineOption
    shared_unread: int
    """Tokens of the request's shared parts that this engine likely has to read."""
    cost: float
    """In prompt tokens."""

    @property
    def life(self) -> EngineLife:
        """The engine."""
        return self.option.life


class EngineChooser:
    """Chooses among engines."""

    def __init__(self, zone: str, generator: RandomSource) -> None:
        self._zone = zone
        self._random = generator

    def choose(
        self,
        options: Sequence[EngineOption],
        prefix_key: str,
        shared_tokens: int,
        own: Container[EngineLife] = (),
    ) -> EngineChoice:
        """The engine for a request.

        Nodes know each other's requests a tenth of a second late; if all took the best engine of
        one view, they would take the same one. Each looks at two that it draws from its zone, at
        two from the others, and at the one that keeps the shared parts.

        Args:
            options: Engines of the service, one at least.
            prefix_key: Requests with the same key share the first parts of their prompts.
            shared_tokens: Tokens of those parts.
            own: Engines of which this node hears first what others send there.
        """
        holder = self._holder(options, prefix_key) if shared_tokens >= AFFINITY_TOKENS else None
        choices = []
        for option in self._drawn(options, holder, own):
            read = holder is None or option.life == holder
            unread = 0 if read else shared_tokens
            cost = unread + self._cost(option) - (OWN_ENGINE_TOKENS if option.life in own else 0)
            choices.append(EngineChoice(option, unread, cost))
        return min(choices, key=lambda one: one.cost)

    def _drawn(
        self, options: Sequence[EngineOption], holder: str | None, own: Container[EngineLife]
    ) -> list[EngineOption]:
        near = [one for one in options if one.zone == self._zone]
        far = [one for one in options if one.zone != self._zone]
        return [
            *self._random.sample(near, min(SAMPLE_SIZE, len(near))),
            *self._random.sample(far, min(SAMPLE_SIZE, len(far))),
            *(one for one in options if one.life == holder or one.life in own),
        ]

    def _cost(self, option: EngineOption) -> float:
        cost = option.unread + LOAD_TOKENS * option.load
        if option.zone != self._zone:
            cost += REMOTE_ZONE_TOKENS
        if option.queue_penalty:
            cost += QUEUED_REQUEST_TOKENS * option.queue_penalty
        if option.cold:
            cost += COLD_TOKENS
        if option.online >= ALMOST_FULL * option.slots:
            cost += ALMOST_FULL_TOKENS
        elif option.in_flight >= option.slots:
            cost += PREEMPTION_TOKENS
        if option.memory_short > 0:
            # It waits for others to end, or makes the engine put another one back.
            cost += QUEUED_REQUEST_TOKENS + option.memory_short
        return cost + QUEUED_REQUEST_TOKENS * max(0, option.online - option.slots + 1)

    def _holder(self, options: Sequence[EngineOption], prefix_key: str) -> str | None:
        """The engine that likely keeps the shared parts; alike at all nodes of a zone."""
        near = [one.life for one in options if one.zone == self._zone]
        return preferred_owner(prefix_key, near or [one.life for one in options])
