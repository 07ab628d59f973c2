"""Quarantine of prompt parts under which engines crash.

A part of a prompt may crash each engine that begins to answer, whatever else the request holds, so
no two of the requests need be alike. After a crash the shared parts of all runs that had just begun
at the engine are implicated. A run that *begins* after the crash and gets past its start clears all
its parts; earlier ones say nothing, since a part may become fatal after hours of good answers.
Parts that everybody uses are in each crash, and are cleared by the next good run.

A part is suspect once engines crashed under it on several occasions. Requests with a suspect part
run as trials only, one at a time for each part in the whole fleet; others with it are refused
meanwhile. If several parts of a request are suspect, one with fewer of them is tried first, as its
outcome tells more. A part whose trial crashed its engine is held back for a time that grows with
each further one. The first times are short: while engines crash for another cause, trials fail by
chance, and nothing else can clear a part that is held back.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import xxhash

from postvalve.core.admission.part_entry import (
    PartCrash,
    PartEntry,
    PartTrial,
)
from postvalve.core.admission.quarantine import ITEM_HOLD_TIME, RunPermission
from postvalve.core.membership.engine_life import EngineLife

SUSPECT_AFTER = 3
"""Occasions from which on a part is suspect."""
MIN_SHARE_OF_STRONGEST = 0.7
"""Share of the occasions of the part with the most that makes another part suspect as well."""
MAX_STRONGEST = 6
"""Occasions from which on the strongest evidence raises that bound no further."""
TRIAL_RETRY = 1.0
"""Seconds after which a request may come back that is refused because of a trial."""
AMBIGUITY_TIME = 2.0
"""Seconds for which a request with several suspect parts waits for one with fewer of them."""
FEWEST_RETENTION = 5.0
"""Seconds for which the fewest suspect parts of a request are remembered."""
MAX_PARTS = 32
"""Shared parts of a prompt that are considered, the first ones."""
MAX_ENTRIES = 512
"""Parts kept. Each crash adds a few for each slot of the engine."""


@dataclass(frozen=True, slots=True)
class PartDecision:
    """Permission to run a request, and the part that it depends on."""

    permission: RunPermission
    suspects: tuple[bytes, ...] = ()
    """Digests of the suspect parts, the one that decides first."""
    occasions: int = 0
    age: float = 0.0
    """Seconds since the last crash under the deciding part."""
    seconds: float = 0.0
    """Seconds after which the request may be tried, if it is held back."""


_FREE = PartDecision(RunPermission.FREE)


@dataclass(frozen=True, slots=True)
class RunningTrial:
    """One trial that this node has announced."""

    number: int
    digests: tuple[bytes, ...]


@dataclass(slots=True)
class _Sighting:
    """Requests with one suspect part, as seen by this node."""

    since: float
    """Monotonic seconds at which the part was first seen as suspect."""
    fewest: int
    """Fewest suspect parts of a request with it."""
    at: float
    """Monotonic seconds at which such a request was last seen."""


class PartQuarantine:
    """Crashes by digest of a prompt part. Times are monotonic seconds."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._entries: dict[bytes, PartEntry] = {}
        self._begun_at: dict[bytes, float] = {}
        """Begin of the latest good run of each part with an entry."""
        self._sightings: dict[bytes, _Sighting] = {}
        self._evidence: dict[bytes, int] = {}
        """Occasions of each part that has not failed a trial. They take too long to be counted for
        each request."""
        self._trial_count = 0
        self.on_change: Callable[[bytes], None] = lambda digest: None
        """Called with the digest of a part about which something new is known."""

    def __len__(self) -> int:
        return len(self._entries)

    def digests(self) -> list[bytes]:
        """Return the digests of all parts with an entry."""
        return list(self._entries)

    def entry(self, digest: bytes) -> PartEntry | None:
        """Return the entry of a part."""
        return self._entries.get(digest)

    # Decisions

    def check(self, digests: Sequence[bytes], now: float, *, is_item: bool = False) -> PartDecision:
        """Decide whether a request or batch item with these shared parts may run.

        An item is tried again earlier than a request.
        """
        if not any(digest in self._entries for digest in digests):
            return _FREE
        suspects = self._suspects(digests, now)
        if not suspects:
            return _FREE
        if is_item:
            waits = {digest: self._item_wait_of(digest, now) for digest in suspects}
        else:
            waits = {digest: self._wait_of(digest, len(suspects), now) for digest in suspects}
        deciding = max(suspects, key=lambda digest: waits[digest])
        entry, seconds = self._entries[deciding], waits[deciding]
        permission = RunPermission.HELD if seconds > 0 else RunPermission.ALONE
        others = tuple(digest for digest in suspects if digest != deciding)
        age = now - entry.last_crash_at
        return PartDecision(permission, (deciding, *others), entry.occasions, age, seconds)

    def _suspects(self, digests: Sequence[bytes], now: float) -> list[bytes]:
        bound = self._occasions_bound()
        return [
            digest
            for digest in digests
            if (entry := self._entries.get(digest)) is not None
            and now < entry.expires_at
            and (entry.failed_trials or entry.occasions >= bound)
        ]

    def _occasions_bound(self) -> int:
        """Return the occasions from which on a part is suspect.

        A part that was there on half of the occasions on which another one was is there by chance.
        """
        strongest = min(MAX_STRONGEST, max(self._evidence.values(), default=0))
        return max(SUSPECT_AFTER, math.ceil(strongest * MIN_SHARE_OF_STRONGEST))

    def _wait_of(self, digest: bytes, suspects: int, now: float) -> float:
        """Return after how many seconds a request with this suspect part may be tried."""
        entry = self._entries[digest]
        sighting = self._see(digest, suspects, now)
        if entry.open_trials(now):
            return TRIAL_RETRY
        left = entry.last_crash_at + entry.trial_delay - now
        if left > 0:
            return left
        is_ambiguous = suspects > 1 and now - sighting.since < AMBIGUITY_TIME
        return TRIAL_RETRY if is_ambiguous or suspects > sighting.fewest else 0.0

    def _item_wait_of(self, digest: bytes, now: float) -> float:
        """Return after how many seconds an item with this suspect part may be tried."""
        entry = self._entries[digest]
        if entry.open_trials(now):
            return TRIAL_RETRY
        delay = min(ITEM_HOLD_TIME, entry.trial_delay)
        return max(0.0, entry.last_crash_at + delay - now)

    def _see(self, digest: bytes, suspects: int, now: float) -> _Sighting:
        seen = self._sightings.get(digest)
        if seen is None or now - seen.at > FEWEST_RETENTION:
            since = now if seen is None else seen.since
            seen = self._sightings[digest] = _Sighting(since, suspects, now)
        elif suspects <= seen.fewest:
            seen.fewest, seen.at = suspects, now
        return seen

    # Reports of runs

    def record_crash(
        self,
        digests: Iterable[bytes],
        engine: EngineLife,
        ended_at: float,
        trial: RunningTrial | None = None,
    ) -> None:
        """Record that an engine crashed while a run with these parts had just begun.

        Args:
            digests: The shared parts of the run's prompt.
            engine: The engine.
            ended_at: Monotonic seconds.
            trial: The trial that the run was, if it was one.
        """
        tried = trial.digests if trial is not None else ()
        for digest in digests:
            crash = PartCrash(ended_at, on_trial=digest in tried)
            self._merge(digest, PartEntry({engine: crash}), ended_at)

    def record_good_start(self, digests: Iterable[bytes], begun_at: float) -> list[bytes]:
        """Record that a run with these parts began at `begun_at` and got past its start.

        Returns:
            The parts that crashes counted against until now.
        """
        cleared = []
        for digest in digests:
            entry = self._entries.get(digest)
            if entry is None:
                continue
            self._begun_at[digest] = max(begun_at, self._begun_at.get(digest, 0.0))
            if self._excuse(entry, begun_at):
                cleared.append(digest)
                self._sightings.pop(digest, None)
                self._record_change(digest)
        return cleared

    def is_convicted(self, digest: bytes) -> bool:
        """Whether a part surely crashes engines: a trial and many occasions say so."""
        entry = self._entries.get(digest)
        return entry is not None and entry.is_convicted

    def has_other_cause(
        self, engine: EngineLife, own: Iterable[bytes], trial: RunningTrial
    ) -> bool:
        """Whether an engine that crashed on a trial may have crashed under another request.

        Args:
            engine: The engine.
            own: The shared parts of the request that was tried.
            trial: The trial.
        """
        own = set(own)
        tried = (self._entries.get(digest) for digest in trial.digests)
        least = max((entry.occasions for entry in tried if entry is not None), default=0) - 1
        return any(
            digest not in own
            and (crash := entry.crashes.get(engine)) is not None
            and not crash.excused
            and entry.occasions >= max(SUSPECT_AFTER, least)
            for digest, entry in self._entries.items()
        )

    def excuse_beside(self, culprit: bytes, own: Iterable[bytes]) -> set[EngineLife]:
        """Excuse other parts for the crashes that one part has caused.

        Parts in `own` are spared, and those that are suspect, as they may be the cause themselves.

        Returns:
            The engines that the part has crashed.
        """
        entry = self._entries.get(culprit)
        lives = set(entry.crashes) if entry is not None else set()
        bound = self._occasions_bound()
        spared = {culprit, *own}
        for digest, other in self._entries.items():
            if other.occasions >= bound:
                continue
            explained = [
                crash
                for life, crash in other.crashes.items()
                if life in lives and not crash.excused and not crash.on_trial
            ]
            if explained and digest not in spared:
                for crash in explained:
                    crash.excused = True
                self._record_change(digest)
        return lives

    @staticmethod
    def _excuse(entry: PartEntry, begun_at: float) -> bool:
        """Excuse the crashes before `begun_at`; returns whether there were any."""
        earlier = [crash for crash in entry.counting() if crash.ended_at < begun_at]
        for crash in earlier:
            crash.excused = True
        return bool(earlier)

    # Trials

    def begin_trial(self, digests: Iterable[bytes], now: float) -> RunningTrial:
        """Announce a trial of these suspect parts."""
        self._trial_count += 1
        text = f"{self._node_id} {now} {self._trial_count}"
        trial = RunningTrial(xxhash.xxh32_intdigest(text.encode()), tuple(digests))
        for digest in trial.digests:
            self._merge(digest, PartEntry(trials={trial.number: PartTrial(now)}), now)
        return trial

    def wins(self, trial: RunningTrial, now: float) -> bool:
        """Whether a trial goes before all others that were announced at the same time."""
        open_trials = (
            entry.open_trials(now)
            for digest in trial.digests
            if (entry := self._entries.get(digest)) is not None
        )
        return all(min(numbers, default=trial.number) == trial.number for numbers in open_trials)

    def end_trial(self, trial: RunningTrial, now: float) -> None:
        """Record that a trial is over. Its outcome was recorded before."""
        for digest in trial.digests:
            if digest in self._entries:
                self._merge(digest, PartEntry(trials={trial.number: PartTrial(now, True)}), now)

    # Knowledge of others

    def merge(self, digest: bytes, other: PartEntry, now: float) -> bool:
        """Merge what another node or the store knows of a part; returns whether anything was
        new."""
        if other.expires_at <= now and not other.open_trials(now):
            return False
        return self._merge(digest, other, now)

    def _merge(self, digest: bytes, other: PartEntry, now: float) -> bool:
        entry = self._entries.get(digest)
        if entry is None:
            entry = self._entries[digest] = PartEntry()
            self._drop_surplus(digest)
        if not entry.merge(other, now):
            return False
        self._excuse(entry, self._begun_at.get(digest, float("-inf")))
        self._record_change(digest)
        return True

    def _record_change(self, digest: bytes) -> None:
        entry = self._entries[digest]
        if entry.failed_trials:
            self._evidence.pop(digest, None)
        else:
            self._evidence[digest] = entry.occasions
        self.on_change(digest)

    def _drop_surplus(self, kept: bytes) -> None:
        """If there are too many entries, drop the one with the fewest occasions."""
        if len(self._entries) <= MAX_ENTRIES:
            return
        others = (digest for digest in self._entries if digest != kept)
        self._forget(min(others, key=lambda one: self._entries[one].occasions))

    def _forget(self, digest: bytes) -> None:
        for table in (self._entries, self._begun_at, self._sightings, self._evidence):
            table.pop(digest, None)

    def expire(self, now: float) -> list[tuple[bytes, PartEntry]]:
        """Drop entries that are no longer needed and return them. Called about once a second."""
        expired = [
            (digest, entry)
            for digest, entry in self._entries.items()
            if entry.expires_at <= now and not entry.open_trials(now)
        ]
        for digest, _ in expired:
            self._forget(digest)
        return expired

    def fields(self, digest: bytes, now: float) -> dict[str, Any]:
        """Return the fields of a log event or of the status document about a part."""
        entry = self._entries.get(digest) or PartEntry()
        left = entry.last_crash_at + entry.trial_delay - now
        return {
            "occasions": entry.occasions,
            "crashes": len(entry.counting()),
            "failed_trials": entry.failed_trials,
            "age": round(now - entry.last_crash_at, 3) if entry.counting() else None,
            "held_for": round(max(0.0, left), 1) if entry.counting() else 0.0,
            "on_trial": bool(entry.open_trials(now)),
        }
