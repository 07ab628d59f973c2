"""Quarantine of requests that may crash the engines that run them.

A request that crashes every engine that runs it can take the whole fleet down when it is sent again
and again, with a new id each time, to any node. Such a request is known as a *query of death*. The
quarantine records failures: *an engine failed while running this request*. A failure is excused
when the engine turns out to be alive or the request gets an answer. Failures and excuses are only
ever added, so they can be merged in any order, and duplicated or lost messages do no harm.

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

SUSPECT_AFTER = 2
"""Failed engines from which on a request runs alone: it was interrupted twice in a row."""
HOLD_AFTER = 3
"""Failed engines from which on a request is held back. An innocent request gets there only if it
was running at three engines that failed, the third of which ran no other known suspect request."""
HOLD_TIME = 60.0
"""Seconds for which a request is held back after the third failure. The time doubles with each
further one, so a request crashes one engine in the first minute, one in the next two, and so on."""
MAX_HOLD_TIME = 3600.0
ITEM_HOLD_TIME = 8.0
"""Longest time in seconds for which a batch item is held back after a crash. Items are owed, and
don't crash engines by themselves."""
TRIAL_DELAYS = {1: 8.0, 2: 16.0, 3: 60.0}
"""Seconds until a prompt part that is held back is tried all the same, by the number of failures
from the one on that led to the hold. Engines of a fleet in trouble also fail under innocent work,
which would wait for longer than its callers have."""
SUSPICION_TIME = 30.0
"""Seconds after its last failure for which a request stays suspect if it is not held back. Engines
that fail for other reasons rarely run the same request twice in so short a time."""
FATAL_START_TIME = 1.0
"""Seconds after the first event of a run from which the run is not taken for the cause of its
engine's failure. Requests that crash engines do so as they begin to run: after 50 to 140 ms where
this was observed."""
ANSWER_RETENTION = 30.0
"""Seconds for which an answer counts in favour of the same request when it is sent again. A request
that many clients send runs at all engines at all times, so it is there whenever one fails: beside a
request that crashed all three engines of a run, 84 of 100 such common requests got a 502 without
this rule, and 23 with it."""
LISTING_DELAY = 1.0
"""Seconds after its first answer in which a restarted engine may not be listed yet."""
MAX_ANSWERS = 4_096
"""Answers remembered: 136 a second, which is twice a node's share of the planned load."""
MAX_ENTRIES = 512
"""Entries kept. Each engine failure adds as many as the engine has slots, 8 to 20."""
HOLD_ALL_VARIANTS_AFTER = 3
"""Number of failing variants from which on all variants of a request are held back."""
MAX_FAILURES = 12
"""Failures kept per entry."""


class RunPermission(enum.Enum):
    """Whether a request may run."""

    FREE = "free"
    """It may run without restriction."""
    ALONE = "alone"
    """It may run once at a time in the whole fleet, and at one engine only."""
    HELD = "held"
    """It may not run now."""


@dataclass(frozen=True, slots=True)
class FailureId:
    """Identifies one failure: the life of the engine that failed, and a number unique within that
    life."""

    engine: EngineLife
    stamp: int


@dataclass(slots=True)
class EngineFailure:
    """An engine that failed while it ran a request, or that is about to run a suspect one."""

    ended_at: float
    """Monotonic seconds; the earliest of all reported times, so that repeated reports do not make a
    failure look more recent."""
    variant: int = 0
    """Variant of the request, see `request_identity`."""
    trial: bool = False
    """Whether it was recorded when a suspect request was sent. Only the sending node can excuse
    it."""
    excused: bool = False
    """Whether the failure does not count. An excuse is never withdrawn."""


@dataclass(slots=True)
class QuarantineEntry:
    """What is known of one request."""

    failures: dict[FailureId, EngineFailure] = field(default_factory=dict)

    def engines(self) -> dict[EngineLife, float]:
        """Return the lives of engines that failed, with the time of each failure."""
        found: dict[EngineLife, float] = {}
        for failure_id, failure in self.failures.items():
            if not failure.excused:
                found[failure_id.engine] = min(
                    found.get(failure_id.engine, failure.ended_at), failure.ended_at
                )
        return found

    def variants(self) -> set[int]:
        """Return the variants under which engines failed."""
        return {failure.variant for failure in self.failures.values() if not failure.excused}

    def of(self, variant: int) -> list[EngineFailure]:
        """Return the failures of one variant."""
        return [failure for failure in self.failures.values() if failure.variant == variant]

    @property
    def on_trial(self) -> bool:
        """Whether a run of the request is in progress, as far as is known."""
        return any(failure.trial and not failure.excused for failure in self.failures.values())

    def applies_to(self, variant: int) -> bool:
        """Return whether a variant is restricted by this entry, for example by a run in
        progress."""
        known = self.variants()
        return self.on_trial or variant in known or len(known) >= HOLD_ALL_VARIANTS_AFTER

    def held_until(self) -> float:
        """Return until when the request is held back, in monotonic seconds; in the past if it is
        not."""
        ends = self.engines()
        if len(ends) < HOLD_AFTER:
            return float("-inf")
        return max(ends.values()) + hold_time(len(ends))

    def expires_at(self) -> float:
        """Return the monotonic time from which the entry may be dropped.

        An entry that was held back is kept for the same time again, so that the next failure counts
        as a further one.
        """
        ends = self.engines()
        latest = max(
            (failure.ended_at for failure in self.failures.values()), default=float("-inf")
        )
        if len(ends) < HOLD_AFTER:
            return latest + SUSPICION_TIME
        return self.held_until() + hold_time(len(ends))

    def merge(self, other: QuarantineEntry) -> bool:
        """Merge another node's knowledge of the same request; returns whether anything was new."""
        before = {failure_id: failure.excused for failure_id, failure in self.failures.items()}
        for failure_id, failure in other.failures.items():
            known = self.failures.setdefault(
                failure_id, EngineFailure(failure.ended_at, failure.variant, failure.trial)
            )
            known.ended_at = min(known.ended_at, failure.ended_at)
            known.excused |= failure.excused
        self._prune()
        return any(
            before.get(failure_id) != failure.excused
            for failure_id, failure in self.failures.items()
        )

    def _prune(self) -> None:
        """Drop the least important failures. If they are reported again, they are dropped
        again."""
        while len(self.failures) > MAX_FAILURES:
            failures = self.failures
            del failures[
                min(failures, key=lambda one: (not failures[one].excused, failures[one].ended_at))
            ]


def hold_time(ends: int) -> float:
    """Return for how many seconds a request is held back after the given number of failures."""
    return min(MAX_HOLD_TIME, HOLD_TIME * 2.0 ** min(16, ends - HOLD_AFTER))


def trial_delay(failures: int) -> float:
    """Return the seconds until the next trial of a prompt part.

    Args:
        failures: Number of failures from the one on that led to the hold; at least 1.
    """
    return TRIAL_DELAYS.get(failures, hold_time(failures + HOLD_AFTER - 1))


@dataclass(frozen=True, slots=True)
class QuarantineDecision:
    """Permission to run a request, and what it was based on."""

    permission: RunPermission
    ends: int = 0
    """Number of engines that failed under the request."""
    age: float = 0.0
    """Seconds since the last failure."""
    seconds: float = 0.0
    """Seconds for which the request is still held back."""


_FREE = QuarantineDecision(RunPermission.FREE)


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
    failure: FailureId


class Quarantine:
    """Quarantine entries by request digest. Times are monotonic seconds."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._entries: dict[bytes, QuarantineEntry] = {}
        self._stamps = 0
        self._answered: dict[RequestIdentity, float] = {}
        """Time of the last answer of each request, in order of these times."""
        self._unconfirmed: dict[EngineLife, tuple[float, float]] = {}
        """Lives of implicated engines that seem to answer: when the request was sent, and when the
        answer arrived."""
        self._implicated: set[EngineLife] = set()
        """Lives of engines named by failures, some of which may have been excused since."""
        self.on_change: Callable[[bytes], None] = lambda digest: None
        """Called with the digest of a request about which something new is known."""

    def __len__(self) -> int:
        return len(self._entries)

    def digests(self) -> list[bytes]:
        """Return the digests of all requests with an entry."""
        return list(self._entries)

    def entry(self, digest: bytes) -> QuarantineEntry | None:
        """Return the entry of a request."""
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
            permission = RunPermission.FREE if age >= SUSPICION_TIME else RunPermission.ALONE
            return QuarantineDecision(permission, len(ends), age)
        seconds = entry.held_until() - now
        if seconds <= 0 or not entry.applies_to(identity.variant):
            return QuarantineDecision(RunPermission.ALONE, len(ends), age)
        return QuarantineDecision(RunPermission.HELD, len(ends), age, seconds)

    def check_item(self, identity: RequestIdentity, now: float) -> QuarantineDecision:
        """Decide whether a batch item may run.

        Runs of items are no evidence. An item that equals a request which crashes engines waits for
        a while after each crash, until it is clear which of the two may run.
        """
        decision = self.check_request(identity, now)
        if decision.permission is not RunPermission.HELD:
            return _FREE
        left = ITEM_HOLD_TIME - decision.age
        permission = RunPermission.HELD if left > 0 else RunPermission.FREE
        return QuarantineDecision(permission, decision.ends, decision.age, max(0.0, left))

    def summary(self, digest: bytes, now: float) -> Summary:
        """Return a summary of what is known of a request."""
        entry = self._entries.get(digest, QuarantineEntry())
        ends = entry.engines()
        age = now - max(ends.values(), default=now)
        seconds = max(0.0, entry.held_until() - now)
        return Summary(len(ends), len(entry.variants()), age, seconds, entry.on_trial)

    def record_end(
        self, identity: RequestIdentity, engine: EngineLife, sent_at: float, now: float
    ) -> bool:
        """Record that an engine's connection broke during a request, before the answer was
        complete.

        Returns:
            Whether the failure counts against the request. It does not if the request was answered
            recently, or was sent after the engine had failed under another request.
        """
        if any(failure.ended_at < sent_at for _, _, failure in self._failures_of(engine)):
            return False
        if self._was_answered(identity, now):
            return False
        self._add_failure(identity, engine, now, trial=False)
        return True

    def begin_trial(self, identity: RequestIdentity, engine: EngineLife, now: float) -> Trial:
        """Record a failure in advance for a suspect request that is about to be sent.

        It counts until the run has an outcome, so all nodes hold the request back before the engine
        has had time to fail.
        """
        return Trial(identity.digest, self._add_failure(identity, engine, now, trial=True))

    def end_trial(self, trial: Trial) -> None:
        """End a run of a suspect request. What the run revealed about the engine was recorded
        before."""
        entry = self._entries.get(trial.digest)
        if entry is not None and trial.failure in entry.failures:
            self._excuse(trial.digest, entry, [entry.failures[trial.failure]])

    def record_answer(self, identity: RequestIdentity, now: float) -> bool:
        """Record that an engine ran the request to its end, or for long: it did not cause a
        failure.

        Returns:
            Whether this is new information.
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
        """Record that an engine answered a request sent to it at `sent_at`, so it had not failed.

        If engines restart under the same id, the answer may come from the next life. So it counts
        only once `confirm_alive` has found that no other life is listed.
        """
        if not engine.born:
            self._excuse_failures(engine, sent_at)
        elif engine in self._implicated:
            self._unconfirmed[engine] = (sent_at, now)

    def confirm_alive(self, listed: Callable[[EngineLife], bool], known_at: float) -> None:
        """Excuse the engines that answered and whose lives the directory still lists.

        Args:
            listed: Returns whether the directory lists a life.
            known_at: Monotonic seconds up to which the directory is known.
        """
        for engine, (sent_at, answered_at) in list(self._unconfirmed.items()):
            if not listed(engine):
                del self._unconfirmed[engine]
            elif known_at >= answered_at + LISTING_DELAY:
                del self._unconfirmed[engine]
                self._excuse_failures(engine, sent_at)

    def _excuse_failures(self, engine: EngineLife, sent_at: float) -> None:
        ends = self._failures_of(engine)
        for digest, entry, failure in ends:
            if failure.ended_at < sent_at:
                self._excuse(digest, entry, [failure])
        if all(failure.ended_at < sent_at for _, _, failure in ends):
            self._implicated.discard(engine)

    def excuse_lives(self, lives: Iterable[EngineLife]) -> None:
        """Excuse all requests for the failures of engines whose cause is known."""
        for life in lives:
            for digest, entry, failure in self._failures_of(life):
                self._excuse(digest, entry, [failure])

    def _failures_of(
        self, engine: EngineLife
    ) -> list[tuple[bytes, QuarantineEntry, EngineFailure]]:
        """Return the failures of one life of an engine that have not been excused."""
        if engine not in self._implicated:
            return []
        return [
            (digest, entry, failure)
            for digest, entry in self._entries.items()
            for failure_id, failure in entry.failures.items()
            if failure_id.engine == engine and not failure.trial and not failure.excused
        ]

    def preferred_engine(
        self, identity: RequestIdentity, engines: Iterable[EngineLife]
    ) -> EngineLife | None:
        """Return the engine that runs a suspect request; the same at all nodes with the same
        engines."""
        return preferred_owner(identity.digest.hex(), list(engines))

    def merge(self, digest: bytes, other: QuarantineEntry, now: float) -> bool:
        """Merge what another node or the store knows of a request; returns whether anything was
        new."""
        if other.expires_at() <= now:
            return False
        entry = self._entries.get(digest) or QuarantineEntry()
        if not entry.merge(other):
            return False
        self._implicated.update(failure_id.engine for failure_id in other.failures)
        self._store(digest, entry)
        self.on_change(digest)
        self._excuse_answered(digest, entry)
        return True

    def _excuse_answered(self, digest: bytes, entry: QuarantineEntry) -> None:
        """Excuse reported failures of a request that this node has seen answered recently."""
        for variant in entry.variants():
            failures = entry.of(variant)
            first = min(failure.ended_at for failure in failures if not failure.excused)
            if self._was_answered(RequestIdentity(digest, variant), first):
                self._excuse(digest, entry, failures)

    def expire(self, now: float) -> list[tuple[bytes, QuarantineEntry]]:
        """Drop entries that are no longer needed and return them. Called about once a second."""
        entries = self._entries.items()
        expired = [(digest, entry) for digest, entry in entries if entry.expires_at() <= now]
        for digest, _ in expired:
            del self._entries[digest]
        self._implicated = {
            failure_id.engine for entry in self._entries.values() for failure_id in entry.failures
        }
        return expired

    def _add_failure(
        self, identity: RequestIdentity, engine: EngineLife, now: float, *, trial: bool
    ) -> FailureId:
        digest = identity.digest
        self._stamps += 1
        stamp = xxhash.xxh32_intdigest(f"{self._node_id} {now} {self._stamps}".encode())
        failure_id = FailureId(engine, stamp)
        entry = self._entries.get(digest) or QuarantineEntry()
        entry.merge(QuarantineEntry({failure_id: EngineFailure(now, identity.variant, trial)}))
        self._implicated.add(engine)
        self._store(digest, entry)
        self.on_change(digest)
        return failure_id

    def _excuse(
        self, digest: bytes, entry: QuarantineEntry, failures: Iterable[EngineFailure]
    ) -> bool:
        newly_excused = [failure for failure in failures if not failure.excused]
        for failure in newly_excused:
            failure.excused = True
        if newly_excused:
            self.on_change(digest)
        return bool(newly_excused)

    def _store(self, digest: bytes, entry: QuarantineEntry) -> None:
        """Store an entry. If there are too many, drop an old one of little importance."""
        self._entries[digest] = entry
        if len(self._entries) <= MAX_ENTRIES:
            return
        minor = (one for one, kept in self._entries.items() if len(kept.engines()) < SUSPECT_AFTER)
        del self._entries[next(minor, next(iter(self._entries)))]
