"""Which items of the held jobs run next, when an engine's owner pulls.

Order: jobs whose slack is short, then workload rank, then the tenant with the fewest
items running, then the deadline.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from postvalve.core.batch.job_ledger import JobLedger

CRITICAL_SLACK_FRACTION = 0.5
"""A job is critical when its items need more than this share of the time that is left."""
INITIAL_ITEM_SECONDS = 1.0
"""Guess of an item's service time before one was seen."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new sample in the mean service time."""
ASSUMED_PARALLELISM = 16
"""Items of one job that run at once, for the slack estimate."""


@dataclass(frozen=True, slots=True)
class ItemKey:
    """One item of one job."""

    job_id: str
    item_index: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """An item that was handed to the owner of an engine."""

    key: ItemKey
    attempt_id: str
    owner_id: str
    owner_incarnation: int
    engine_id: str
    dispatched_at: float


@dataclass(slots=True)
class ScheduledJob:
    """A job with items to hand out."""

    ledger: JobLedger
    deadline: float
    """Wall-clock seconds."""
    cursor: int = 0
    returned: deque[int] = field(default_factory=deque)
    withheld: set[int] = field(default_factory=set)
    mean_service: float = INITIAL_ITEM_SECONDS

    def next_item(self) -> int | None:
        """Take the next item that was neither finished nor handed out."""
        while self.returned:
            index = self.returned.popleft()
            if not self.ledger.is_finished(index):
                return index
        while self.cursor < self.ledger.accepted.items:
            index = self.cursor
            self.cursor += 1
            if not self.ledger.is_finished(index) and index not in self.withheld:
                return index
        return None

    @property
    def waiting(self) -> int:
        """About how many items wait to be handed out."""
        return len(self.returned) + self.ledger.accepted.items - self.cursor

    def is_critical(self, wall_now: float) -> bool:
        """Whether the job's slack is so short that it goes first."""
        needed = self.ledger.remaining * self.mean_service / ASSUMED_PARALLELISM
        left = self.deadline - wall_now
        return needed > CRITICAL_SLACK_FRACTION * left


class BatchScheduler:
    """Items waiting and items handed out, of all jobs this node holds."""

    def __init__(self) -> None:
        self._jobs: dict[str, ScheduledJob] = {}
        self._dispatches: dict[ItemKey, Dispatch] = {}
        self._running_by_tenant: Counter[str] = Counter()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def job_ids(self) -> list[str]:
        """Ids of the jobs held."""
        return list(self._jobs)

    def job(self, job_id: str) -> ScheduledJob | None:
        """A held job."""
        return self._jobs.get(job_id)

    def add(self, job: ScheduledJob) -> None:
        """Take a job on."""
        self._jobs[job.ledger.job_id] = job

    def remove(self, job_id: str) -> list[Dispatch]:
        """Drop a job; returns the items of it that are with owners."""
        self._jobs.pop(job_id, None)
        dropped = [one for one in self._dispatches.values() if one.key.job_id == job_id]
        for dispatch in dropped:
            self._forget(dispatch)
        return dropped

    def waiting_by_model(self) -> dict[str, int]:
        """Items waiting for each model."""
        waiting: Counter[str] = Counter()
        for job in self._jobs.values():
            if job.waiting > 0:
                waiting[job.ledger.accepted.model] += job.waiting
        return dict(waiting)

    def take(self, models: Iterable[str], slots: int, wall_now: float) -> list[ItemKey]:
        """Take up to `slots` items for an engine that serves `models`."""
        served = set(models)
        taken: list[ItemKey] = []
        pending = [one for one in self._jobs.values() if one.ledger.accepted.model in served]
        while pending and len(taken) < slots:
            job = min(pending, key=lambda one: self._order(one, wall_now))
            index = job.next_item()
            if index is None:
                pending.remove(job)
                continue
            taken.append(ItemKey(job.ledger.job_id, index))
            self._running_by_tenant[job.ledger.accepted.tenant] += 1
        return taken

    def _order(self, job: ScheduledJob, wall_now: float) -> tuple[bool, int, int, float, str]:
        submission = job.ledger.accepted
        return (
            not job.is_critical(wall_now),
            submission.rank,
            self._running_by_tenant[submission.tenant],
            job.deadline,
            submission.job_id,
        )

    def dispatched(self, dispatch: Dispatch) -> None:
        """Note that a taken item is with an owner."""
        self._dispatches[dispatch.key] = dispatch

    def dispatch_of(self, key: ItemKey) -> Dispatch | None:
        """Where an item is."""
        return self._dispatches.get(key)

    def dispatches(self) -> list[Dispatch]:
        """All items that are with owners."""
        return list(self._dispatches.values())

    def lost_dispatches(
        self, owner_id: str, incarnation: int, engine_id: str, held: Container[str]
    ) -> list[Dispatch]:
        """Items handed out for an engine whose owner has never got them.

        An owner pulls for one engine at a time, so what it does not hold when it pulls again
        was lost with an earlier answer.
        """
        return [
            one
            for one in self._dispatches.values()
            if one.engine_id == engine_id
            and one.owner_id == owner_id
            and one.owner_incarnation == incarnation
            and one.attempt_id not in held
        ]

    def finished(self, key: ItemKey, now: float) -> None:
        """Note that an item has a result."""
        dispatch = self._dispatches.get(key)
        if dispatch is None:
            return
        job = self._jobs.get(key.job_id)
        if job is not None:
            sample = now - dispatch.dispatched_at
            job.mean_service += SERVICE_TIME_WEIGHT * (sample - job.mean_service)
        self._forget(dispatch)

    def requeue(self, key: ItemKey) -> None:
        """Put a taken item back in front; it did not run, or may run again."""
        dispatch = self._dispatches.get(key)
        if dispatch is not None:
            self._forget(dispatch)
        else:
            self._uncount(key)
        job = self._jobs.get(key.job_id)
        if job is not None:
            job.returned.append(key.item_index)

    def withhold(self, key: ItemKey) -> None:
        """Keep a taken item from being handed out: an earlier start of it may still run."""
        self._uncount(key)
        job = self._jobs.get(key.job_id)
        if job is not None:
            job.withheld.add(key.item_index)

    def _forget(self, dispatch: Dispatch) -> None:
        del self._dispatches[dispatch.key]
        self._uncount(dispatch.key)

    def _uncount(self, key: ItemKey) -> None:
        job = self._jobs.get(key.job_id)
        if job is not None:
            self._running_by_tenant[job.ledger.accepted.tenant] -= 1
