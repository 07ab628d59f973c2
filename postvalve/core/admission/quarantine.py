"""Quarantine of requests that may crash the engines that run them.

A request that crashes every engine that runs it can take the whole fleet down when it is sent again
and again: with a new id each time, to any node, or as a batch item that is always retried. Such a
request is known as a *query of death*. The quarantine records observations of the form *an engine
failed while running this request*. An observation is excused when the engine turns out to be alive
or the request gets an answer. Observations and excuses are only ever added, so they can be merged
in any order, and duplicated or lost messages do no harm.

Of the requests that an engine was running when it failed, all but one are innocent. They are
retried elsewhere at once, and their answers clear them. A request under which two engines failed is
suspect: it runs once at a time in the whole fleet, at an engine chosen by its digest, so that
suspect requests spread over the engines and copies of one request meet at the same engine. A
request under which a third engine failed is held back for a time that doubles with each further
failure. A variant of such a request under which no engine has failed may belong to another client:
it runs alone until several variants have caused failures, which shows that the headers make no
difference.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import xxhash

from postvalve.core.admission.request_identity import RequestIdentity
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.ownership import preferred_owner

DOUBTFUL_ENDS = 2
"""Failed engines from which on a request runs alone: it was interrupted twice in a row."""
HELD_ENDS = 3
"""Failed engines from which on a request is held back. An innocent request gets there only if it
was running at three engines that failed, the third of which ran no other known suspect request."""
HOLD_TIME = 60.0
"""Seconds for which a request is held back after the third failure. The time doubles with each
further one, so a request ends one engine in the first minute, one in the next two, and so on."""
MAX_HOLD_TIME = 3600.0
DOUBT_TIME = 30.0
"""Seconds after its last failure for which a request stays suspect if it is not held back. Engines
that fail for other reasons rarely run the same request twice in so short a time."""
BEGIN_TIME = 1.0
"""Seconds after the first event of a run from which the run is not taken for the cause of its
engine's failure. Requests that crash engines do so as they begin to run: after 50 to 140 ms where
this was observed."""
ANSWER_TIME = 30.0
"""Seconds for which an answer counts in favour of the same request when it is sent again. A request
that many clients send runs at all engines at all times, so it is there whenever one fails: beside a
request that crashed all three engines of a run, 84 of 100 such common requests got a 502 without
this rule, and 23 with it."""
LISTED_TIME = 1.0
"""Seconds after its first answer in which a restarted engine may not be listed yet."""
MAX_ANSWERS = 4_096
"""Answers remembered: 136 a second, which is twice a node's share of the planned load."""
MAX_CASES = 512
"""Entries kept. Each engine failure adds as many as the engine has slots, 8 to 20."""
ENOUGH_VARIANTS = 3
"""Number of failing variants from which on all variants of a request are held back."""
MAX_FACTS = 12
"""Observations kept per entry."""


class Ruling(enum.Enum):
    """Whether a request may run."""

    FREE = "free"
    """It may run without restriction."""
    ALONE = "alone"
    """It may run once at a time in the whole fleet, and at one engine only."""
    HELD = "held"
    """It may not run now."""


@dataclass(frozen=True, slots=True)
class FactId:
    """Identifies one observation: an engine instance, and a number unique within that instance."""

    engine: EngineLife
    stamp: int


@dataclass(slots=True)
class Fact:
    """An observation: an engine failed while it ran a request, or is about to run a suspect one."""

    ended_at: float
    """Monotonic seconds; the earliest of all reported times, so that repeated reports do not make
    an observation younger."""
    variant: int = 0
    """Variant of the request, see `request_identity`."""
    trial: bool = False
    """Whether it was recorded when a suspect request was sent. Only the sending node can excuse
    it."""
    excused: bool = False
    """Whether the observation no longer counts. An excuse is never withdrawn."""


@dataclass(slots=True)
class Case:
    """What is known of one request."""

    facts: dict[FactId, Fact] = field(default_factory=dict)

    def engines(self) -> dict[EngineLife, float]:
        """Return the engine instances that failed, with the time of each failure."""
        found: dict[EngineLife, float] = {}
        for name, fact in self.facts.items():
            if not fact.excused:
                found[name.engine] = min(found.get(name.engine, fact.ended_at), fact.ended_at)
        return found

    def variants(self) -> set[int]:
        """Return the variants under which engines failed."""
        return {fact.variant for fact in self.facts.values() if not fact.excused}

    def of(self, variant: int) -> list[Fact]:
        """Return the observations of one variant."""
        return [fact for fact in self.facts.values() if fact.variant == variant]

    @property
    def on_trial(self) -> bool:
        """Whether a run of the request is in progress, as far as is known."""
        return any(fact.trial and not fact.excused for fact in self.facts.values())

    def concerns(self, variant: int) -> bool:
        """Return whether a variant is restricted by this entry, for example by a run in
        progress."""
        known = self.variants()
        return self.on_trial or variant in known or len(known) >= ENOUGH_VARIANTS

    def held_until(self) -> float:
        """Return until when the request is held back, in monotonic seconds; in the past if it is
        not."""
        ends = self.engines()
        if len(ends) < HELD_ENDS:
            return float("-inf")
        return max(ends.values()) + hold_time(len(ends))

    def forgotten_at(self) -> float:
        """Return the monotonic time from which the entry may be dropped.

        An entry that was held back is kept for the same time again, so that the next failure counts
        as a further one.
        """
        ends = self.engines()
        latest = max((fact.ended_at for fact in self.facts.values()), default=float("-inf"))
        if len(ends) < HELD_ENDS:
            return latest + DOUBT_TIME
        return self.held_until() + hold_time(len(ends))

    def merge(self, other: Case) -> bool:
        """Merge another node's knowledge of the same request; returns whether anything was new."""
        before = {name: fact.excused for name, fact in self.facts.items()}
        for name, fact in other.facts.items():
            known = self.facts.setdefault(name, Fact(fact.ended_at, fact.variant, fact.trial))
            known.ended_at = min(known.ended_at, fact.ended_at)
            known.excused |= fact.excused
        self._prune()
        return any(before.get(name) != fact.excused for name, fact in self.facts.items())

    def _prune(self) -> None:
        """Drop the least important observations. If they are reported again, they are dropped
        again."""
        while len(self.facts) > MAX_FACTS:
            facts = self.facts
            del facts[min(facts, key=lambda one: (not facts[one].excused, facts[one].ended_at))]


def hold_time(ends: int) -> float:
    """Return for how many seconds a request is held back after the given number of failures."""
    return min(MAX_HOLD_TIME, HOLD_TIME * 2.0 ** min(16, ends - HELD_ENDS))


@dataclass(frozen=True, slots=True)
class Decision:
    """Permission to run a request, and what it was based on."""

    ruling: Ruling
    ends: int = 0
    """Number of engines that failed under the request."""
    age: float = 0.0
    """Seconds since the last failure."""
    seconds: float = 0.0
    """Seconds for which the request is still held back."""


_FREE = Decision(Ruling.FREE)


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of a quarantine entry for operators."""

    ends: int
    """Number of engines that failed under the request."""
    variants: int
    """Number of variants of the request under which engines failed."""
    age: float
    """Seconds since the last failure."""
    seconds: float
    """Seconds for which the request is still held back; 0 if it is not."""
    on_trial: bool

    def fields(self) -> dict[str, Any]:
        """Return the fields of a log event or of the status document."""
        return {
            "ends": self.ends,
            "variants": self.variants,
            "age": round(self.age, 3),
            "held_for": round(self.seconds, 1),
            "on_trial": self.on_trial,
        }


@dataclass(frozen=True, slots=True)
class Trial:
    """One run of a suspect request, announced before it starts."""

    digest: bytes
    fact: FactId


class Quarantine:
    """Quarantine entries by request digest. Times are monotonic seconds."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._cases: dict[bytes, Case] = {}
        self._stamps = 0
        self._answered: dict[RequestIdentity, float] = {}
        """Time of the last answer of each request, in order of these times."""
        self._unconfirmed: dict[EngineLife, tuple[float, float]] = {}
        """Implicated engine instances that seem to answer: when the request was sent, and when the
        answer arrived."""
        self._implicated: set[EngineLife] = set()
        """Engine instances named by observations, some of which may have been excused since."""
        self.on_change: Callable[[bytes], None] = lambda digest: None
        """Called with the digest of a request about which something new is known."""

    def __len__(self) -> int:
        return len(self._cases)

    def digests(self) -> list[bytes]:
        """Return the digests of all requests with an entry."""
        return list(self._cases)

    def case(self, digest: bytes) -> Case | None:
        """Return the entry of a request."""
        return self._cases.get(digest)

    def rule(self, identity: RequestIdentity, now: float) -> Decision:
        """Decide whether a request may run."""
        case = self._cases.get(identity.digest)
        if case is None:
            return _FREE
        ends = case.engines()
        if len(ends) < DOUBTFUL_ENDS:
            return _FREE
        age = now - max(ends.values())
        if len(ends) < HELD_ENDS:
            ruling = Ruling.FREE if age >= DOUBT_TIME else Ruling.ALONE
            return Decision(ruling, len(ends), age)
        seconds = case.held_until() - now
        if seconds <= 0 or not case.concerns(identity.variant):
            return Decision(Ruling.ALONE, len(ends), age)
        return Decision(Ruling.HELD, len(ends), age, seconds)

    def summary(self, digest: bytes, now: float) -> Summary:
        """Return a summary of what is known of a request."""
        case = self._cases.get(digest, Case())
        ends = case.engines()
        age = now - max(ends.values(), default=now)
        seconds = max(0.0, case.held_until() - now)
        return Summary(len(ends), len(case.variants()), age, seconds, case.on_trial)

    def note_end(
        self, identity: RequestIdentity, engine: EngineLife, sent_at: float, now: float
    ) -> bool:
        """Record that an engine's connection broke during a request, before the answer was
        complete.

        Returns:
            Whether the failure counts against the request. It does not if the request was answered
                recently, or was sent after the engine had failed under another request.
        """
        if any(fact.ended_at < sent_at for _, _, fact in self._failures_of(engine)):
            return False
        if self._was_answered(identity, now):
            return False
        self._add(identity, engine, now, trial=False)
        return True

    def begin_trial(self, identity: RequestIdentity, engine: EngineLife, now: float) -> Trial:
        """Record a failure in advance for a suspect request that is about to be sent.

        It counts until the run has an outcome, so all nodes hold the request back before the engine
        has had time to fail.
        """
        return Trial(identity.digest, self._add(identity, engine, now, trial=True))

    def end_trial(self, trial: Trial) -> None:
        """End a run of a suspect request. What the run revealed about the engine was recorded
        before."""
        case = self._cases.get(trial.digest)
        if case is not None and trial.fact in case.facts:
            self._excuse(trial.digest, case, [case.facts[trial.fact]])

    def note_answered(self, identity: RequestIdentity, now: float) -> bool:
        """Record that an engine ran the request to its end, or for long: it did not cause a
        failure.

        Returns:
            Whether this is new information.
        """
        self._answered.pop(identity, None)
        self._answered[identity] = now
        if len(self._answered) > MAX_ANSWERS:
            del self._answered[next(iter(self._answered))]
        case = self._cases.get(identity.digest)
        return case is not None and self._excuse(identity.digest, case, case.of(identity.variant))

    def _was_answered(self, identity: RequestIdentity, at: float) -> bool:
        return at - self._answered.get(identity, float("-inf")) < ANSWER_TIME

    def note_alive(self, engine: EngineLife, sent_at: float, now: float) -> None:
        """Record that an engine answered a request sent to it at `sent_at`, so it had not failed.

        If engines restart under the same id, the answer may be the next instance's. So it counts
        only once `confirm` has found that no other instance is listed.
        """
        if not engine.born:
            self._excuse_ends(engine, sent_at)
        elif engine in self._implicated:
            self._unconfirmed[engine] = (sent_at, now)

    def confirm(self, listed: Callable[[EngineLife], bool], known_at: float) -> None:
        """Excuse the instances that answered and are still listed by the directory.

        Args:
            listed: Returns whether the directory lists an instance.
            known_at: Monotonic seconds up to which the directory is known.
        """
        for engine, (sent_at, answered_at) in list(self._unconfirmed.items()):
            if not listed(engine):
                del self._unconfirmed[engine]
            elif known_at >= answered_at + LISTED_TIME:
                del self._unconfirmed[engine]
                self._excuse_ends(engine, sent_at)

    def _excuse_ends(self, engine: EngineLife, sent_at: float) -> None:
        ends = self._failures_of(engine)
        for digest, case, fact in ends:
            if fact.ended_at < sent_at:
                self._excuse(digest, case, [fact])
        if all(fact.ended_at < sent_at for _, _, fact in ends):
            self._implicated.discard(engine)

    def _failures_of(self, engine: EngineLife) -> list[tuple[bytes, Case, Fact]]:
        """Return the observations of an engine instance that have not been excused."""
        if engine not in self._implicated:
            return []
        return [
            (digest, case, fact)
            for digest, case in self._cases.items()
            for name, fact in case.facts.items()
            if name.engine == engine and not fact.trial and not fact.excused
        ]

    def preferred_engine(
        self, identity: RequestIdentity, engines: Iterable[EngineLife]
    ) -> EngineLife | None:
        """Return the engine that runs a suspect request; the same at all nodes with the same
        engines."""
        return preferred_owner(identity.digest.hex(), list(engines))

    def merge(self, digest: bytes, other: Case, now: float) -> bool:
        """Merge what another node or the store knows of a request; returns whether anything was
        new."""
        if other.forgotten_at() <= now:
            return False
        case = self._cases.get(digest) or Case()
        if not case.merge(other):
            return False
        self._implicated.update(name.engine for name in other.facts)
        self._store(digest, case)
        self.on_change(digest)
        self._excuse_answered(digest, case)
        return True

    def _excuse_answered(self, digest: bytes, case: Case) -> None:
        """Excuse reported failures of a request that this node has seen answered recently."""
        for variant in case.variants():
            facts = case.of(variant)
            first = min(fact.ended_at for fact in facts if not fact.excused)
            if self._was_answered(RequestIdentity(digest, variant), first):
                self._excuse(digest, case, facts)

    def expire(self, now: float) -> list[tuple[bytes, Case]]:
        """Drop entries that are no longer needed and return them. Called about once a second."""
        cases = self._cases.items()
        expired = [(digest, case) for digest, case in cases if case.forgotten_at() <= now]
        for digest, _ in expired:
            del self._cases[digest]
        self._implicated = {name.engine for case in self._cases.values() for name in case.facts}
        return expired

    def _add(
        self, identity: RequestIdentity, engine: EngineLife, now: float, *, trial: bool
    ) -> FactId:
        digest = identity.digest
        self._stamps += 1
        stamp = xxhash.xxh32_intdigest(f"{self._node_id} {now} {self._stamps}".encode())
        name = FactId(engine, stamp)
        case = self._cases.get(digest) or Case()
        case.merge(Case({name: Fact(now, identity.variant, trial)}))
        self._implicated.add(engine)
        self._store(digest, case)
        self.on_change(digest)
        return name

    def _excuse(self, digest: bytes, case: Case, facts: Iterable[Fact]) -> bool:
        newly_excused = [fact for fact in facts if not fact.excused]
        for fact in newly_excused:
            fact.excused = True
        if newly_excused:
            self.on_change(digest)
        return bool(newly_excused)

    def _store(self, digest: bytes, case: Case) -> None:
        """Store an entry. If there are too many, drop an old one of little importance."""
        self._cases[digest] = case
        if len(self._cases) <= MAX_CASES:
            return
        minor = (one for one, kept in self._cases.items() if len(kept.engines()) < DOUBTFUL_ENDS)
        del self._cases[next(minor, next(iter(self._cases)))]
