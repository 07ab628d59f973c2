"""Model of an engine: continuous batching, priorities, a bounded prefix cache.

The model has no clock and no input or output: a server, or a test under virtual time, calls
`step` repeatedly and waits for the duration that each step returns.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from postvalve.emulator.tokens import ChatRequest, TokenSequence, prompt_token_count

PREFIX_BLOCK_CHARACTERS = 256


@dataclass(frozen=True, slots=True)
class EngineNoise:
    """Intervals in which an engine is slower because it shares its machine with other processes."""

    slow_share: float = 0.0
    """Share of the intervals that are slow, 0 to 1."""
    factor: float = 1.0
    """Factor by which work takes longer in a slow interval."""
    interval: float = 0.6
    """Length of each interval, in seconds."""


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Size and speed of an engine."""

    slots: int = 16
    """Maximum number of sequences in the running batch."""
    step_base: float = 0.010
    """Fixed part of the duration of a step, in seconds."""
    step_per_sequence: float = 0.0005
    """Seconds that each running sequence adds to a step."""
    prefill_per_token: float = 0.00002
    """Seconds for each prompt token that is not in the prefix cache."""
    cache_blocks: int = 4096
    """Capacity of the prefix cache, in blocks of 256 characters."""
    base_pace: float = 1.0
    """Factor by which all work takes longer than usual, before noise."""
    noise: EngineNoise = EngineNoise()

    def pace(self, name: str, now: float) -> float:
        """Return the factor by which work at engine `name` takes longer than usual now.

        It depends on the arguments only, so simulations are reproducible.
        """
        noise = self.noise
        if noise.slow_share <= 0:
            return self.base_pace
        hash_value = xxhash.xxh32_intdigest(f"{name} {int(now / noise.interval)}".encode())
        return self.base_pace * (noise.factor if hash_value < noise.slow_share * 2**32 else 1.0)


@dataclass(slots=True)
class Sequence:
    """State of one request in the engine."""

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
        """Scheduling order: sequences with lower keys run first."""
        return (self.priority, self.arrival)


@dataclass(frozen=True, slots=True)
class Emission:
    """A token produced by a step."""

    attempt_id: str
    index: int
    text: str
    finished: bool


@dataclass(frozen=True, slots=True)
class ExportedKv:
    """KV cache of one sequence, in the form that another engine can import."""

    cache_salt: str
    prompt_text: str
    position: int


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block stored in the prefix cache or evicted from it."""

    sequence: int
    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine: running and waiting sequences, slots, and cached blocks."""

    running: int
    waiting: int
    slots: int
    cached_blocks: int


@dataclass(slots=True)
class StepResult:
    """Result of one step; its tokens become available `duration` seconds after its start."""

    duration: float = 0.0
    emissions: list[Emission] = field(default_factory=list)


class PrefixCache:
    """LRU cache of prompt prefix blocks, separate for each salt."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[CacheEvent] = []

    def __len__(self) -> int:
        return len(self._blocks)

    def admit(self, salt: str, text: str) -> int:
        """Store a prompt, and return the number of its leading characters that were cached."""
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
    """State of an engine: its sequences, the running batch and the prefix cache."""

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
        """Queue a request whose first `resume_offset` tokens were produced by an earlier attempt.

        Raises:
            ValueError: The attempt id is in use, or the offset is past the last token.
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
        """Remove a running or waiting request, if it is there."""
        sequence = self._sequences.pop(attempt_id, None)
        if sequence is not None and sequence in self._running:
            self._running.remove(sequence)

    @property
    def idle(self) -> bool:
        """Whether there are no sequences, so that a step would do nothing."""
        return not self._sequences

    def load(self) -> LoadReport:
        """Return the present load."""
        running = len(self._running)
        waiting = len(self._sequences) - running
        return LoadReport(running, waiting, self.parameters.slots, len(self.cache))

    def export_kv(self, attempt_id: str) -> ExportedKv | None:
        """Return the KV cache of a sequence, or None if the engine does not have it."""
        sequence = self._sequences.get(attempt_id)
        if sequence is None:
            return None
        text = sequence.request.prompt_text
        return ExportedKv(sequence.cache_salt, text, sequence.position)

    def import_kv(self, exported: ExportedKv) -> int:
        """Store a KV cache exported by another engine, and return the number of cached blocks."""
        self.cache.admit(exported.cache_salt, exported.prompt_text)
        return len(self.cache)

    def step(self, pace: float = 1.0) -> StepResult:
        """Choose the batch by priority and arrival, and run one step of it.

        Args:
            pace: Factor by which the step takes longer than usual.
        """
        self._running = sorted(self._sequences.values(), key=lambda sequence: sequence.sort_key)
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
        uncached = sum(
            self._prefill(sequence) for sequence in self._running if not sequence.prefilled
        )
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
