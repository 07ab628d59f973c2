"""Facts that a node knows up to a moment, for acts that can't be taken back.

Such an act (to go on with a stream, to deny that a job exists) needs a fact to hold at a stated
moment, such as the one at which an engine answered. However young a copy is, its age does not show
that: what was acknowledged since may be missing. A read that began after the moment does, since the
store's answers are linearizable. Ages are for choices that may be wrong, such as routing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from postvalve.core.membership.engine_life import MAX_IDS, EngineLife

Value = TypeVar("Value")


class Fact(Generic[Value]):
    """Something that held from when it was read until `known_until`. Monotonic seconds."""

    __slots__ = ("_ended_at", "_read_at", "_read_up_to", "source", "value")

    def __init__(
        self, value: Value, source: str, read_at: float, read_up_to: Callable[[], float]
    ) -> None:
        """Record a fact that has just been read.

        Args:
            value: What was read.
            source: Name of what it was read from.
            read_at: When it was read.
            read_up_to: Returns the moment up to which all changes of the source are known.
        """
        self.value = value
        self.source = source
        self._read_at = read_at
        self._read_up_to = read_up_to
        self._ended_at: float | None = None

    @property
    def known_until(self) -> float:
        """The moment up to which the fact is known to have held."""
        return self._read_up_to() if self._ended_at is None else self._ended_at

    @property
    def is_over(self) -> bool:
        """Whether something else has been read since, so that `known_until` stays as it is."""
        return self._ended_at is not None

    def is_later_than(self, moment: float) -> bool:
        """Whether it was read after a moment, so that it does not tell of that."""
        return moment <= self._read_at

    def end(self) -> None:
        """Record that something else was read, before `read_up_to` counts that read."""
        if self._ended_at is None:
            self._ended_at = self._read_up_to()

    def held_at(self, moment: float) -> bool:
        """Whether the fact is known to have held at a moment.

        A read that began at the same reading of the clock may have begun before.
        """
        return not self.is_later_than(moment) and moment < self.known_until


@dataclass(frozen=True, slots=True)
class EngineVersion:
    """Version of an engine's software, and the service that it is part of."""

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class VersionEvidence:
    """What shows which version answered a request: an engine is listed before it serves."""

    fact: Fact[EngineVersion] | None
    """The version under the engine's id; None if the id was not listed."""
    answered_at: float
    """Monotonic seconds at which an engine with this id first answered over the connection."""

    @property
    def is_proven(self) -> bool:
        """Whether no engine of another version can have answered."""
        return self.fact is not None and self.fact.held_at(self.answered_at)

    @property
    def is_refuted(self) -> bool:
        """Whether no read can show any more which version answered."""
        if self.fact is None or self.fact.is_later_than(self.answered_at):
            return True
        return self.fact.is_over and not self.is_proven

    @property
    def missing(self) -> str:
        """What is missing for a proof, for log lines; empty if nothing is."""
        if self.is_proven:
            return ""
        return "one version since" if self.is_refuted else "a read of the directory"


class EngineVersions:
    """The version that each engine id stands for, from one change of it to the next.

    An engine may start again under its id with another version. A restart with the same version
    ends no fact, unless it was seen in a snapshot: others may have come and gone unread before.
    """

    def __init__(self) -> None:
        self.read_up_to: Callable[[], float] = lambda: float("-inf")
        """Returns the moment up to which all entries of the directory are known."""
        self._facts: dict[str, tuple[EngineLife, Fact[EngineVersion]]] = {}

    def observe(
        self, life: EngineLife, service: str, version: str, now: float, *, is_snapshot: bool = False
    ) -> None:
        """Record an entry that was read, in the order of the directory's changes.

        Called before `read_up_to` counts the read.
        """
        value = EngineVersion(service, version)
        known = self._facts.pop(life.engine_id, None)
        if known is not None:
            former, fact = known
            if fact.value == value and (former == life or not is_snapshot):
                self._facts[life.engine_id] = life, fact
                return
            fact.end()
        self._facts[life.engine_id] = life, Fact(value, "directory", now, self.read_up_to)
        if len(self._facts) > MAX_IDS:
            _, dropped = self._facts.pop(next(iter(self._facts)))
            dropped.end()

    def of(self, engine_id: str, version: str) -> Fact[EngineVersion] | None:
        """Return the fact that an id stands for a version; None if it does not, as far as known."""
        known = self._facts.get(engine_id)
        return known[1] if known is not None and known[1].value.version == version else None
