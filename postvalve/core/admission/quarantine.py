"""Requests under which engines ended, and whether they may run again.

A request that makes each engine end that runs it takes the whole fleet away from everybody when it
comes again and again: under ids of its own, at any node, or as an item that is always tried again.
What nodes saw of it is held here as small facts that merge: *an engine ended under this request*.
A fact is excused when the engine turns out to live, or the request gets an answer. Facts and
excuses are only added, so the order in which nodes hear of them, doubles and losses do no harm.
Such a request is known as a *query of death*.

Of the requests that an engine ran as it ended all but one are innocent. They go on elsewhere at
once, and their answers clear them. One under which two engines ended is doubtful: it runs once at
a time in the whole fleet, at an engine that its digest chooses, so that doubtful ones spread and
copies of one meet. One under which a third ended is held back for a time that doubles with each
end that follows. A variant of it under which no engine ended yet may be somebody else's: it runs
alone, until so many variants did the same that the headers can't be what matters.
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

SUSPECT_AFTER = 2
"""Engines that ended under a request from which on it runs alone: it was cut twice in a row."""
HOLD_AFTER = 3
"""Engines from which on it is held back. An innocent one has been where three engines ended, the
third of which ran no other doubtful one that is known."""
HOLD_TIME = 60.0
"""Seconds for which it is held back after the third end, doubled for each one that follows: one
engine in the first minute, one in the next two, and so on."""
MAX_HOLD_TIME = 3600.0
SUSPICION_TIME = 30.0
"""Seconds after its last end from which a request that is not held back is like any other. Engines
that end for causes of their own rarely meet the same request twice in so short a time."""
FATAL_START_TIME = 1.0
"""Seconds after a run's first event from which it is not what ended its engine: one that makes
engines end does so as it begins to run, after 50 to 140 ms where it was seen."""
ANSWER_RETENTION = 30.0
"""Seconds for which an answer speaks for a request that comes again. One that many send runs at all
engines at all times, so it is there whenever one ends: beside a request that ended all engines of a
run, three, 84 in 100 of those that were all alike got a 502 without this, and 23 with it."""
LISTING_DELAY = 1.0
"""Seconds after its first answer in which an engine that started again may not be listed yet."""
MAX_ANSWERS = 4_096
"""Answers that are remembered: 136 a second, twice a node's share of the planned load."""
MAX_ENTRIES = 512
"""Requests that are known at once. One engine that ends brings as many as it has slots, 8 to 20."""
HOLD_ALL_VARIANTS_AFTER = 3
"""Variants under which engines ended from which on all others are held back too."""
MAX_FAILURES = 12
"""Facts that are kept of each."""


class RunPermission(enum.Enum):
    """Whether a request may run."""

    FREE = "free"
    """Like any other."""
    ALONE = "alone"
    """Once at a time in the whole fleet, and at one engine only."""
    HELD = "held"
    """Not now."""


@dataclass(frozen=True, slots=True)
class FailureId:
    """One fact: a life of an engine, and a number that no other fact of that life has."""

    engine: EngineLife
    stamp: int


@dataclass(slots=True)
class EngineFailure:
    """That an engine ended under a request, or is about to be tried."""

    ended_at: float
    """Monotonic seconds; of all that were heard the earliest, so that retelling ages nothing."""
    variant: int = 0
    """Of the request, see `request_identity`."""
    trial: bool = False
    """Whether it was told when a doubtful request was sent; only its sender can excuse it."""
    excused: bool = False
    """Whether it does not count; that is never taken back."""


@dataclass(slots=True)
class QuarantineEntry:
    """What is known of one request."""

    failures: dict[FailureId, EngineFailure] = field(default_factory=dict)

    def engines(self) -> dict[EngineLife, float]:
        """Lives of engines that ended, and when."""
        found: dict[EngineLife, float] = {}
        for name, failure in self.failures.items():
            if not failure.excused:
                found[name.engine] = min(found.get(name.engine, failure.ended_at), failure.ended_at)
        return found

    def variants(self) -> set[int]:
        """Variants under which engines ended."""
        return {failure.variant for failure in self.failures.values() if not failure.excused}

    def of(self, variant: int) -> list[EngineFailure]:
        """Facts of one variant."""
        return [failure for failure in self.failures.values() if failure.variant == variant]

    @property
    def on_trial(self) -> bool:
        """Whether a run of it is under way, as far as is known."""
        return any(failure.trial and not failure.excused for failure in self.failures.values())

    def applies_to(self, variant: int) -> bool:
        """Whether what is known holds a variant back, that of a run under way among others."""
        known = self.variants()
        return self.on_trial or variant in known or len(known) >= HOLD_ALL_VARIANTS_AFTER

    def held_until(self) -> float:
        """Monotonic seconds until which it is held back; in the past where it is not."""
        ends = self.engines()
        if len(ends) < HOLD_AFTER:
            return float("-inf")
        return max(ends.values()) + hold_time(len(ends))

    def expires_at(self) -> float:
        """Monotonic seconds from which nothing of it is needed any more.

        One that was held back is remembered as long again: the next end must count as one more.
        """
        ends = self.engines()
        latest = max(
            (failure.ended_at for failure in self.failures.values()), default=float("-inf")
        )
        if len(ends) < HOLD_AFTER:
            return latest + SUSPICION_TIME
        return self.held_until() + hold_time(len(ends))

    def merge(self, told: QuarantineEntry) -> bool:
        """Take in what another one knows of the same request; tells whether any of it is news."""
        before = {name: failure.excused for name, failure in self.failures.items()}
        for name, failure in told.failures.items():
            known = self.failures.setdefault(
                name, EngineFailure(failure.ended_at, failure.variant, failure.trial)
            )
            known.ended_at = min(known.ended_at, failure.ended_at)
            known.excused |= failure.excused
        self._prune()
        return any(before.get(name) != failure.excused for name, failure in self.failures.items())

    def _prune(self) -> None:
        """Drop the facts of least weight; those that come again are dropped again."""
        while len(self.failures) > MAX_FAILURES:
            failures = self.failures
            del failures[
                min(failures, key=lambda one: (not failures[one].excused, failures[one].ended_at))
            ]


def hold_time(ends: int) -> float:
    """Seconds for which a request is held back after so many engines ended under it."""
    return min(MAX_HOLD_TIME, HOLD_TIME * 2.0 ** min(16, ends - HOLD_AFTER))


@dataclass(frozen=True, slots=True)
class QuarantineDecision:
    """A ruling, and what it was made of."""

    permission: RunPermission
    ends: int = 0
    """Engines that ended under the request."""
    age: float = 0.0
    """Seconds since the last of them did."""
    seconds: float = 0.0
    """For which it is held back from now on."""


_FREE = QuarantineDecision(RunPermission.FREE)


@dataclass(frozen=True, slots=True)
class Summary:
    """What is known of a request, for operators."""

    ends: int
    """Engines that ended under it."""
    variants: int
    """Of the request, under which they did."""
    age: float
    """Seconds since the last of them did."""
    seconds: float
    """For which it is held back from now on; 0 where it is not."""
    on_trial: bool

    def fields(self) -> dict[str, Any]:
        """As fields of a log line, or of a status document."""
        return {
            "ends": self.ends,
            "variants": self.variants,
            "age": round(self.age, 3),
            "held_for": round(self.seconds, 1),
            "on_trial": self.on_trial,
        }


@dataclass(frozen=True, slots=True)
class Trial:
    """A run of a doubtful request, told before it began."""

    digest: bytes
    failure: FailureId


class Quarantine:
    """Cases by digest. Times are monotonic seconds."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._entries: dict[bytes, QuarantineEntry] = {}
        self._stamps = 0
        self._answered: dict[RequestIdentity, float] = {}
        """When a request was answered last, the latest one last."""
        self._answering: dict[EngineLife, tuple[float, float]] = {}
        """Blamed lives that seem to answer: when the request was sent, and when they did."""
        self._blamed: set[EngineLife] = set()
        """Engines that facts name, some of which may not stand any more."""
        self.on_change: Callable[[bytes], None] = lambda digest: None
        """Called with a digest of which something new is known."""

    def __len__(self) -> int:
        return len(self._entries)

    def digests(self) -> list[bytes]:
        """Of all requests that something is known of."""
        return list(self._entries)

    def entry(self, digest: bytes) -> QuarantineEntry | None:
        """What is known of a request."""
        return self._entries.get(digest)

    def check_request(self, identity: RequestIdentity, now: float) -> QuarantineDecision:
        """Decide whether a request may run."""
        entry = self._entries.get(identity.digest)
        if entry is None:
            return _FREE
        ends = entry.engines()
        if len(ends) < SUSPECT_AFTER:
            return _FREE
        age = now - max(ends.values())
        if len(ends) < HOLD_AFTER:
            ruling = RunPermission.FREE if age >= SUSPICION_TIME else RunPermission.ALONE
            return QuarantineDecision(ruling, len(ends), age)
        seconds = entry.held_until() - now
        if seconds <= 0 or not entry.applies_to(identity.variant):
            return QuarantineDecision(RunPermission.ALONE, len(ends), age)
        return QuarantineDecision(RunPermission.HELD, len(ends), age, seconds)

    def summary(self, digest: bytes, now: float) -> Summary:
        """What is known of a request."""
        entry = self._entries.get(digest, QuarantineEntry())
        ends = entry.engines()
        age = now - max(ends.values(), default=now)
        seconds = max(0.0, entry.held_until() - now)
        return Summary(len(ends), len(entry.variants()), age, seconds, entry.on_trial)

    def record_end(
        self, identity: RequestIdentity, engine: EngineLife, sent_at: float, now: float
    ) -> bool:
        """An engine's connection ended under a request, before its answer was whole.

        Returns:
            Whether that counts: a request that was answered lately, or was sent there after the
            engine had ended for somebody else, did not end it.
        """
        if any(failure.ended_at < sent_at for _, _, failure in self._ends_of(engine)):
            return False
        if self._was_answered(identity, now):
            return False
        self._add(identity, engine, now, trial=False)
        return True

    def begin_trial(self, identity: RequestIdentity, engine: EngineLife, now: float) -> Trial:
        """A doubtful request is about to be sent: it counts as an end until it has an outcome.

        So all nodes hold it back before the engine has had the time to end.
        """
        return Trial(identity.digest, self._add(identity, engine, now, trial=True))

    def end_trial(self, trial: Trial) -> None:
        """The run has an outcome, and whatever it says of the engine was noted."""
        entry = self._entries.get(trial.digest)
        if entry is not None and trial.failure in entry.failures:
            self._excuse(trial.digest, entry, [entry.failures[trial.failure]])

    def record_answer(self, identity: RequestIdentity, now: float) -> bool:
        """An engine ran the request, to its end or for long: none ended because of it.

        Returns:
            Whether that is news.
        """
        self._answered.pop(identity, None)
        self._answered[identity] = now
        if len(self._answered) > MAX_ANSWERS:
            del self._answered[next(iter(self._answered))]
        entry = self._entries.get(identity.digest)
        return entry is not None and self._excuse(
            identity.digest, entry, entry.of(identity.variant)
        )

    def _was_answered(self, identity: RequestIdentity, at: float) -> bool:
        return at - self._answered.get(identity, float("-inf")) < ANSWER_RETENTION

    def record_alive(self, engine: EngineLife, sent_at: float, now: float) -> None:
        """An engine answered a request that was sent to it at `sent_at`: it had not ended.

        Where engines come back under their ids it may have been the next life that answered. So
        the answer counts once `confirm` has seen that no other life is listed.
        """
        if not engine.born:
            self._excuse_ends(engine, sent_at)
        elif engine in self._blamed:
            self._answering[engine] = (sent_at, now)

    def confirm_alive(self, listed: Callable[[EngineLife], bool], known_at: float) -> None:
        """See which lives that answered are still the ones that the directory lists.

        Args:
            listed: Tells whether the directory lists a life.
            known_at: Monotonic seconds up to which the directory is known.
        """
        for engine, (sent_at, answered_at) in list(self._answering.items()):
            if not listed(engine):
                del self._answering[engine]
            elif known_at >= answered_at + LISTING_DELAY:
                del self._answering[engine]
                self._excuse_ends(engine, sent_at)

    def _excuse_ends(self, engine: EngineLife, sent_at: float) -> None:
        ends = self._ends_of(engine)
        for digest, entry, failure in ends:
            if failure.ended_at < sent_at:
                self._excuse(digest, entry, [failure])
        if all(failure.ended_at < sent_at for _, _, failure in ends):
            self._blamed.discard(engine)

    def _ends_of(self, engine: EngineLife) -> list[tuple[bytes, QuarantineEntry, EngineFailure]]:
        """Facts that stand and name an engine."""
        if engine not in self._blamed:
            return []
        return [
            (digest, entry, failure)
            for digest, entry in self._entries.items()
            for name, failure in entry.failures.items()
            if name.engine == engine and not failure.trial and not failure.excused
        ]

    def preferred_engine(
        self, identity: RequestIdentity, engines: Iterable[EngineLife]
    ) -> EngineLife | None:
        """Where a doubtful request runs; alike at all nodes with the same engines."""
        return preferred_owner(identity.digest.hex(), list(engines))

    def merge(self, digest: bytes, told: QuarantineEntry, now: float) -> bool:
        """Take in what another node, or the store, knows of a request; tells if that is news."""
        if told.expires_at() <= now:
            return False
        entry = self._entries.get(digest) or QuarantineEntry()
        if not entry.merge(told):
            return False
        self._blamed.update(name.engine for name in told.failures)
        self._keep(digest, entry)
        self.on_change(digest)
        self._speak_for(digest, entry)
        return True

    def _speak_for(self, digest: bytes, entry: QuarantineEntry) -> None:
        """Excuse what others tell of a request that this node saw answered lately."""
        for variant in entry.variants():
            failures = entry.of(variant)
            first = min(failure.ended_at for failure in failures if not failure.excused)
            if self._was_answered(RequestIdentity(digest, variant), first):
                self._excuse(digest, entry, failures)

    def expire(self, now: float) -> list[tuple[bytes, QuarantineEntry]]:
        """Drop what is not needed any more; returns it. Called about each second."""
        cases = self._entries.items()
        old = [(digest, entry) for digest, entry in cases if entry.expires_at() <= now]
        for digest, _ in old:
            del self._entries[digest]
        self._blamed = {name.engine for entry in self._entries.values() for name in entry.failures}
        return old

    def _add(
        self, identity: RequestIdentity, engine: EngineLife, now: float, *, trial: bool
    ) -> FailureId:
        digest = identity.digest
        self._stamps += 1
        stamp = xxhash.xxh32_intdigest(f"{self._node_id} {now} {self._stamps}".encode())
        name = FailureId(engine, stamp)
        entry = self._entries.get(digest) or QuarantineEntry()
        entry.merge(QuarantineEntry({name: EngineFailure(now, identity.variant, trial)}))
        self._blamed.add(engine)
        self._keep(digest, entry)
        self.on_change(digest)
        return name

    def _excuse(
        self, digest: bytes, entry: QuarantineEntry, failures: Iterable[EngineFailure]
    ) -> bool:
        fresh = [failure for failure in failures if not failure.excused]
        for failure in fresh:
            failure.excused = True
        if fresh:
            self.on_change(digest)
        return bool(fresh)

    def _keep(self, digest: bytes, entry: QuarantineEntry) -> None:
        """Keep a case; where there are too many an old one of little weight goes."""
        self._entries[digest] = entry
        if len(self._entries) <= MAX_ENTRIES:
            return
        light = (one for one, kept in self._entries.items() if len(kept.engines()) < SUSPECT_AFTER)
        del self._entries[next(light, next(iter(self._entries)))]
