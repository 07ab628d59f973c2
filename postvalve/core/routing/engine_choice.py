"""Choice of an engine for a routed request, by cost.

An engine reads prompts one after the other, so a short request behind a long prompt waits for all
of it, however many slots are free. Costs are therefore counted in prompt tokens: the tokens that
the engine must read before this request's first token, plus penalties for load, zone and queueing
in the same unit.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from dataclasses import dataclass

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.randomness import RandomSource

AFFINITY_TOKENS = 1_000
"""Shared prompt tokens from which the request prefers the engine that has probably read them
before."""
REMOTE_ZONE_TOKENS = 4_000
"""Penalty for an engine of another zone: an engine of this node's own zone is preferred until so
many tokens wait there."""
COLD_TOKENS = 4_000
"""Penalty for an engine that is still slow after its start, equal to that of another zone. Tried on
a copy of a deployment whose engines take 3 times as long for their first 6 s."""
ALMOST_FULL_TOKENS = 4_000
"""Penalty for an engine almost full with online work: requests placed by other nodes that this node
has not heard of yet may take its last slots."""
PREEMPTION_TOKENS = 2_000
"""Penalty for an engine where a batch item must be preempted first. It is less than that of another
zone, since the node that watches an engine is told of requests from its own zone at once."""
OWN_ENGINE_TOKENS = 750
"""Bonus for an engine that this node watches, half the penalty of a full one. This node learns at
once what others send there, while its counts of other engines are some tenths of a second old, and
it need not send a report out of turn. Of the requests in bursts at 20 nodes and 24 engines, the
fraction that waited for a slot fell from 0.067 to 0.039, and the fraction sent to engines that
another node watches from 0.95 to 0.47."""
QUEUED_REQUEST_TOKENS = 4_000
"""Penalty for each request that would be served before this one gets a slot."""
LOAD_TOKENS = 1_500
"""Penalty for a full engine compared with an empty one, since each decoding step takes longer."""
SAMPLE_SIZE = 2
"""Engines drawn at random for one choice, from the own zone and from all other zones each."""
ALMOST_FULL = 0.85
"""Fraction of an engine's slots held by online work from which it counts as almost full."""


@dataclass(frozen=True, slots=True)
class EngineOption:
    """A candidate engine for a request, as this node sees it now."""

    life: EngineLife
    zone: str
    slots: int
    in_flight: int
    """Requests of all kinds, from all nodes."""
    batch: int = 0
    """Batch items among the requests; they can be preempted."""
    unread: int = 0
    """Prompt tokens of requests in flight that have no first token yet."""
    cold: bool = False
    """Whether the engine is still slow after its start."""
    memory_short: int = 0
    """Tokens by which the engine's memory falls short for this request beside the others."""
    queue_penalty: float = 0.0
    """How much worse the engine is than a uniform one of the same load, in queue positions;
    negative if it is better. See `core/routing/latency_estimate`."""

    @property
    def load(self) -> float:
        """Requests per slot."""
        return self.in_flight / max(1, self.slots)

    @property
    def online(self) -> int:
        """Online requests from all nodes."""
        return self.in_flight - self.batch


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """A candidate engine and its cost."""

    option: EngineOption
    shared_unread: int
    """Tokens of the request's shared prefix that this engine probably has to read."""
    cost: float
    """Cost in prompt tokens."""

    @property
    def life(self) -> EngineLife:
        """The engine, by its life."""
        return self.option.life


class EngineChooser:
    """Chooses the engine of the least cost from a random sample."""

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
        """Choose an engine for a request.

        Nodes learn of each other's requests about a tenth of a second late. If each took the best
        engine of the same view, they would all choose the same one. So each node considers two
        engines drawn at random from its zone, two from the other zones, and the one that holds the
        shared prefix.

        Args:
            options: Engines of the service, at least one.
            prefix_key: Requests with the same key share the beginning of their prompts.
            shared_tokens: Tokens of the shared prefix.
            own: Engines that this node watches; it is told first what other nodes send there.
        """
        holder = (
            self._prefix_holder(options, prefix_key) if shared_tokens >= AFFINITY_TOKENS else None
        )
        choices = []
        for option in self._sample(options, holder, own):
            has_prefix = holder is None or option.life == holder
            unread = 0 if has_prefix else shared_tokens
            cost = unread + self._cost(option) - (OWN_ENGINE_TOKENS if option.life in own else 0)
            choices.append(EngineChoice(option, unread, cost))
        return min(choices, key=lambda candidate: candidate.cost)

    def _sample(
        self, options: Sequence[EngineOption], holder: str | None, own: Container[EngineLife]
    ) -> list[EngineOption]:
        local = [candidate for candidate in options if candidate.zone == self._zone]
        remote = [candidate for candidate in options if candidate.zone != self._zone]
        return [
            *self._random.sample(local, min(SAMPLE_SIZE, len(local))),
            *self._random.sample(remote, min(SAMPLE_SIZE, len(remote))),
            *(
                candidate
                for candidate in options
                if candidate.life == holder or candidate.life in own
            ),
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
            # The request waits until others end, or the engine evicts another one to make room.
            cost += QUEUED_REQUEST_TOKENS + option.memory_short
        return cost + QUEUED_REQUEST_TOKENS * max(0, option.online - option.slots + 1)

    def _prefix_holder(self, options: Sequence[EngineOption], prefix_key: str) -> str | None:
        """Return the engine that probably holds the shared prefix; the same at all nodes of a
        zone."""
        local = [candidate.life for candidate in options if candidate.zone == self._zone]
        return preferred_owner(prefix_key, local or [candidate.life for candidate in options])
