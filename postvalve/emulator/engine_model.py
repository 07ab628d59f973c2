"""Model of an engine: continuous batching, priorities, a bounded prefix cache.

Pure: the shell, or a test under virtual time, asks for one step after the other.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from postvalve.emulator.tokens import ChatRequest, TokenSequence, prompt_token_count

PREFIX_BLOCK_CHARACTERS = 256


@dataclass(frozen=True, slots=True)
class EngineNoise:
    """Times in which an engine is slower, since it shares its machine with others."""

    slow_share: float = 0.0
    """Of all times."""
    factor: float = 1.0
    """How many times as long work takes in them."""
    interval: float = 0.6
    """Length of each time, slow or not."""


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Size and speed of an engine."""

    slots: int = 16
    """Sequences in one running batch."""
    step_base: float = 0.010
    """Seconds of a step with an empty batch."""
    step_per_sequence: float = 0.0005
    """Seconds that each running sequence adds to a step."""
    prefill_per_token: float = 0.00002
    """Seconds for each prompt token that the prefix cache does not hold."""
    cache_blocks: int = 4096
    """Capacity of the prefix cache, blocks of 256 characters."""
    base_pace: float = 1.0
    """How many times as long as usual all work takes."""
    noise: EngineNoise = EngineNoise()

    def pace(self, name: str, now: float) -> float:
        """How many times as long as usual work takes at engine `name` now.

        A function of both: a run is the same each time.
        """
        noise = self.noise
        if noise.slow_share <= 0:
            return self.base_pace
        hash_value = xxhash.xxh32_intdigest(f"{name} {int(now / noise.interval)}".encode())
        return self.base_pace * (noise.factor if hash_value < noise.slow_share * 2**32 else 1.0)


@dataclass(slots=True)
class Sequence:
    """One request inside the engine."""

    attempt_id: str
    request: ChatRequest
    tokens: TokenSequence
    priority: int
    cache_salt: str
    arrival: int
    position: int = 0
    prefilled: bool = False
    prompt_tokens: int = 0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Lower runs first."""
        return (self.priority, self.arrival)


@dataclass(frozen=True, slots=True)
class Emission:
    """One token that a step produced."""

    attempt_id: str
    index: int
    text: str
    finished: bool


@dataclass(frozen=True, slots=True)
class ExportedKv:
    """The cache of one sequence, as another engine can take it."""

    cache_salt: str
    prompt_text: str
    position: int


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that came into the prefix cache or left it."""

    sequence: int
    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the engine says of its load."""

    running: int
    waiting: int
    slots: int
    cached_blocks: int


@dataclass(slots=True)
class StepResult:
    """Outcome of one step; its tokens appear `duration` seconds after its start."""

    duration: float = 0.0
    emissions: list[Emission] = field(default_factory=list)


class PrefixCache:
    """Least recently used blocks of prompt prefixes, apart for each salt."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[CacheEvent] = []

    def __len__(self) -> int:
        return len(self._blocks)

    def admit(self, salt: str, text: str) -> int:
        """Take a prompt in and return how many of its characters were cached."""
        digest = xxhash.xxh3_64(salt.encode())
        cached = 0
        prefix_intact = True
        for start in range(0, len(text), PREFIX_BLOCK_CHARACTERS):
            digest.update(text[start : start + PREFIX_BLOCK_CHARACTERS].encode("utf-8"))
            block = digest.intdigest()
            prefix_intact = prefix_intact and block in self._blocks
            if prefix_intact:
                cached = min(len(text), start + PREFIX_BLOCK_CHARACTERS)
            self._touch(block)
        return cached

    def _touch(self, block: int) -> None:
        if block not in self._blocks:
            self._record(block, stored=True)
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record(evicted, stored=False)

    def _record(self, block: int, *, stored: bool) -> None:
        self.events.append(CacheEvent(len(self.events), block, stored))


class EngineModel:
    """State of one engine."""

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.cache = PrefixCache(parameters.cache_blocks)
        self._sequences: dict[str, Sequence] = {}
        self._running: list[Sequence] = []
        self._arrivals = 0

    def submit(
        self,
        attempt_id: str,
        request: ChatRequest,
        *,
        version: str,
        priority: int,
        cache_salt: str,
        resume_offset: int = 0,
    ) -> None:
        """Queue a request; `resume_offset` tokens of it were produced before.

        Raises:
            ValueError: when the attempt id is in use, or the offset is past the end.
        """
        tokens = TokenSequence(request, version)
        if attempt_id in self._sequences:
            raise ValueError(f"attempt {attempt_id} is already here")
        if not 0 <= resume_offset < tokens.count:
            raise ValueError(f"cannot resume at {resume_offset} of {tokens.count} tokens")
        self._arrivals += 1
        self._sequences[attempt_id] = Sequence(
            attempt_id, request, tokens, priority, cache_salt, self._arrivals, resume_offset
        )

    def cancel(self, attempt_id: str) -> None:
        """Drop a request, wherever it is."""
        sequence = self._sequences.pop(attempt_id, None)
        if sequence is not None and sequence in self._running:
            self._running.remove(sequence)

    @property
    def idle(self) -> bool:
        """Whether a step would do nothing."""
        return not self._sequences

    def load(self) -> LoadReport:
        """The present load."""
        running = len(self._running)
        waiting = len(self._sequences) - running
        return LoadReport(running, waiting, self.parameters.slots, len(self.cache))

    def export_kv(self, attempt_id: str) -> ExportedKv | None:
        """The cache of a sequence; None when it is not here."""
        sequence = self._sequences.get(attempt_id)
        if sequence is None:
            return None
        text = sequence.request.prompt_text
        return ExportedKv(sequence.cache_salt, text, sequence.position)

    def import_kv(self, exported: ExportedKv) -> int:
        """Take another engine's cache in; returns the number of blocks held then."""
        self.cache.admit(exported.cache_salt, exported.prompt_text)
        return len(self.cache)

    def step(self, pace: float = 1.0) -> StepResult:
        """Run one step of the batch, after choosing it by priority and arrival.

        Args:
            pace: How many times as long as usual it takes.
        """
        self._running = sorted(self._sequences.values(), key=lambda one: one.sort_key)
        del self._running[self.parameters.slots :]
        result = StepResult()
        if not self._running:
            return result
        result.duration = self._step_duration() * pace
        for sequence in self._running:
            result.emissions.append(self._advance(sequence))
        for emission in result.emissions:
            if emission.finished:
                self.cancel(emission.attempt_id)
        return result

    def _step_duration(self) -> float:
        parameters = self.parameters
        uncached = sum(self._prefill(one) for one in self._running if not one.prefilled)
        return (
            parameters.step_base
            + parameters.step_per_sequence * len(self._running)
            + parameters.prefill_per_token * uncached
        )

    def _prefill(self, sequence: Sequence) -> int:
        text = sequence.request.prompt_text
        sequence.prefilled = True
        sequence.prompt_tokens = prompt_token_count(text)
        cached = self.cache.admit(sequence.cache_salt, text)
        return prompt_token_count(text[cached:]) + sequence.position

    def _advance(self, sequence: Sequence) -> Emission:
        index = sequence.position
        sequence.position += 1
        finished = sequence.position >= sequence.tokens.count
        return Emission(sequence.attempt_id, index, sequence.tokens.token(index), finished)
