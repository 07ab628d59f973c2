"""What is known of one prompt part under which engines crashed, see `part_quarantine`.

Crashes and outcomes of trials are only ever added, so they can be merged in any order, and
duplicated or lost messages do no harm.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from postvalve.core.admission.quarantine import trial_delay
from postvalve.core.membership.engine_life import EngineLife

OCCASION_GAP = 0.1
"""Least seconds between the starts of two groups of crashes."""
MAX_GROUP = 2
"""Most crashes of a group that count. Engines that end at once may have another common cause, such
as their machine; requests that crash engines rather arrive one after the other."""
FEW_OCCASIONS = 4
"""Most occasions with which a part whose trial failed may have been tried beside the fatal one,
before enough was known of that."""
FEW_OCCASIONS_DELAY = 5.0
"""Seconds after such a trial until the next one."""
TRIAL_TIME = 5.0
"""Seconds after which a trial that no node has ended counts as over: its node is gone."""
SUSPICION_TIME = 30.0
"""Seconds after its last crash for which a part that is not held back stays known."""
MIN_CONVICTION_TIME = 120.0
"""Least seconds after its last crash for which a part whose trial failed stays known. Requests with
it may be rare."""
MAX_CRASHES = 12
"""Crashes kept per part."""
MAX_TRIALS = 8
"""Trials kept per part."""


@dataclass(slots=True)
class PartCrash:
    """An engine that crashed while a run with the part had just begun."""

    ended_at: float
    """Monotonic seconds; the earliest of all reported times."""
    excused: bool = False
    """Whether a run with the part has begun well since. This is never withdrawn."""
    on_trial: bool = False
    """Whether the run was a trial of the part."""


@dataclass(slots=True)
class PartTrial:
    """A run of a suspect part, announced before it is sent."""

    started_at: float
    """Monotonic seconds; the earliest of all reported times."""
    is_over: bool = False


@dataclass(slots=True)
class PartEntry:
    """What is known of one prompt part."""

    crashes: dict[EngineLife, PartCrash] = field(default_factory=dict)
    trials: dict[int, PartTrial] = field(default_factory=dict)
    """Trials by a random number."""

    def counting(self) -> list[PartCrash]:
        """Return the crashes that count against the part."""
        return [crash for crash in self.crashes.values() if not crash.excused]

    @property
    def last_crash_at(self) -> float:
        """Monotonic seconds of the last crash that counts; infinitely long ago if none does."""
        return max((crash.ended_at for crash in self.counting()), default=float("-inf"))

    @property
    def occasions(self) -> int:
        """Number of occasions on which engines crashed, of those that count."""
        return _occasions(self.counting())

    @property
    def failed_trials(self) -> int:
        """Number of trials that crashed their engine, of those that count."""
        return _failed_trials(self.counting())

    def open_trials(self, now: float) -> list[int]:
        """Return the numbers of the trials that are under way, as far as is known."""
        return [
            number
            for number, trial in self.trials.items()
            if not trial.is_over and now - trial.started_at < TRIAL_TIME
        ]

    @property
    def trial_delay(self) -> float:
        """Seconds from the last crash to the next trial."""
        return _trial_delay(self.counting())

    @property
    def is_convicted(self) -> bool:
        """Whether the part surely crashes engines."""
        return _is_convicted(self.counting())

    @property
    def expires_at(self) -> float:
        """Monotonic time from which the entry may be dropped.

        A part that was held back is remembered for at least the same time again. Excused crashes
        are kept as long as others, so that all nodes learn of the excuse.
        """
        crashes = list(self.crashes.values())
        latest = max((crash.ended_at for crash in crashes), default=float("-inf"))
        if not _failed_trials(crashes):
            return latest + SUSPICION_TIME
        return latest + max(MIN_CONVICTION_TIME, 2 * _trial_delay(crashes))

    def merge(self, other: PartEntry, now: float) -> bool:
        """Merge another node's knowledge of the same part; returns whether anything was new."""
        before = self._facts()
        for life, crash in other.crashes.items():
            known = self.crashes.setdefault(life, PartCrash(crash.ended_at))
            known.ended_at = min(known.ended_at, crash.ended_at)
            known.excused |= crash.excused
            known.on_trial |= crash.on_trial
        for number, trial in other.trials.items():
            known_trial = self.trials.setdefault(number, PartTrial(trial.started_at))
            known_trial.started_at = min(known_trial.started_at, trial.started_at)
            known_trial.is_over |= trial.is_over
        self._prune(now)
        return not self._facts() <= before

    def _facts(self) -> set[tuple[object, ...]]:
        crashes = {(life, one.excused, one.on_trial) for life, one in self.crashes.items()}
        return crashes | {(number, one.is_over) for number, one in self.trials.items()}

    def _prune(self, now: float) -> None:
        """Drop trials that are long over, and the least important of too many crashes.

        If they are reported again, they are dropped again.
        """
        for number, trial in list(self.trials.items()):
            if now - trial.started_at >= TRIAL_TIME:
                del self.trials[number]
        while len(self.trials) > MAX_TRIALS:
            del self.trials[min(self.trials, key=lambda one: self.trials[one].started_at)]
        while len(self.crashes) > MAX_CRASHES:
            crashes = self.crashes
            del crashes[
                min(crashes, key=lambda one: (not crashes[one].excused, crashes[one].ended_at))
            ]


def _occasions(crashes: Iterable[PartCrash]) -> int:
    """Return the number of occasions of some crashes."""
    count, in_group, group_at = 0, 0, float("-inf")
    for ended_at in sorted(crash.ended_at for crash in crashes):
        if ended_at - group_at >= OCCASION_GAP:
            in_group, group_at = 0, ended_at
        in_group += 1
        count += in_group <= MAX_GROUP
    return count


def _failed_trials(crashes: Iterable[PartCrash]) -> int:
    return sum(crash.on_trial for crash in crashes)


def _is_convicted(crashes: Sequence[PartCrash]) -> bool:
    return _failed_trials(crashes) > 0 and _occasions(crashes) > FEW_OCCASIONS


def _trial_delay(crashes: Sequence[PartCrash]) -> float:
    """Return the seconds from the last of some crashes to the next trial."""
    failed = _failed_trials(crashes)
    if not failed:
        return 0.0
    return trial_delay(failed) if _is_convicted(crashes) else FEW_OCCASIONS_DELAY
