"""Decides which items of the held jobs run next when an engine's owner pulls.

Jobs with little slack come first; then items are ordered by workload rank, by how few items of the
tenant are running, and by deadline.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from postvalve.core.batch.job_ledger import JobLedger

CRITICAL_SLACK_FRACTION = 0.5
"""A job is critical if its items need more than this fraction of the time until its deadline."""
INITIAL_ITEM_SECONDS = 1.0
"""Estimated service time of an item before any was measured."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new sample in the mean service time."""
ASSUMED_PARALLELISM = 16
"""Number of a job's items that run at once, for the slack estimate."""


@dataclass(frozen=True, slots=True)
class ItemKey:
    """Identifies one item of one job."""

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
    """Seconds of the epoch."""
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
        """Approximate number of items that wait to be handed out."""
        return len(self.returned) + self.ledger.accepted.items - self.cursor

    def is_critical(self, wall_now: float) -> bool:
        """Return whether the job has so little slack that it takes precedence."""
        needed = self.ledger.remaining * self.mean_service / ASSUMED_PARALLELISM
        left = self.deadline - wall_now
        return needed > CRITICAL_SLACK_FRACTION * left


class BatchScheduler:
    """Waiting and dispatched items of all jobs that this node holds."""

    def __init__(self) -> None:
        self._jobs: dict[str, ScheduledJob] = {}
        self._dispatches: dict[ItemKey, Dispatch] = {}
        self._running_by_tenant: Counter[str] = Counter()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def job_ids(self) -> list[str]:
        """Return the ids of the held jobs."""
        return list(self._jobs)

    def job(self, job_id: str) -> ScheduledJob | None:
        """Return a held job, or None."""
        return self._jobs.get(job_id)

    def add(self, job: ScheduledJob) -> None:
        """Add a job to be scheduled."""
        self._jobs[job.ledger.job_id] = job

    def remove(self, job_id: str) -> list[Dispatch]:
        """Remove a job, and return those of its items that are dispatched."""
        self._jobs.pop(job_id, None)
        dropped = [
            dispatch for dispatch in self._dispatches.values() if dispatch.key.job_id == job_id
        ]
        for dispatch in dropped:
            self._forget(dispatch)
        return dropped

    def waiting_by_model(self) -> dict[str, int]:
        """Return the number of waiting items by model."""
        waiting: Counter[str] = Counter()
        for job in self._jobs.values():
            if job.waiting > 0:
                waiting[job.ledger.accepted.model] += job.waiting
        return dict(waiting)

    def take(self, models: Iterable[str], slots: int, wall_now: float) -> list[ItemKey]:
        """Take up to `slots` items for an engine that serves `models`."""
        served = set(models)
        taken: list[ItemKey] = []
        pending = [job for job in self._jobs.values() if job.ledger.accepted.model in served]
        while pending and len(taken) < slots:
            job = min(pending, key=lambda candidate: self._order(candidate, wall_now))
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
        """Record that a taken item was handed to an owner."""
        self._dispatches[dispatch.key] = dispatch

    def dispatch_of(self, key: ItemKey) -> Dispatch | None:
        """Return the dispatch of an item, or None if it is not dispatched."""
        return self._dispatches.get(key)

    def dispatches(self) -> list[Dispatch]:
        """Return all dispatched items."""
        return list(self._dispatches.values())

    def lost_dispatches(
        self, owner_id: str, incarnation: int, engine_id: str, held: Container[str]
    ) -> list[Dispatch]:
        """Return the items dispatched for an engine that its owner never received.

        An owner pulls for one engine at a time, so whatever it does not hold at its next pull was
        lost with an earlier answer.
        """
        return [
            dispatch
            for dispatch in self._dispatches.values()
            if dispatch.engine_id == engine_id
            and dispatch.owner_id == owner_id
            and dispatch.owner_incarnation == incarnation
            and dispatch.attempt_id not in held
        ]

    def finished(self, key: ItemKey, now: float) -> None:
        """Record that an item has a result, and update the mean service time of its job."""
        dispatch = self._dispatches.get(key)
        if dispatch is None:
            return
        job = self._jobs.get(key.job_id)
        if job is not None:
            sample = now - dispatch.dispatched_at
            job.mean_service += SERVICE_TIME_WEIGHT * (sample - job.mean_service)
        self._forget(dispatch)

    def requeue(self, key: ItemKey) -> None:
        """Return a taken item to the front of its job's queue; it did not run, or may run again."""
        dispatch = self._dispatches.get(key)
        if dispatch is not None:
            self._forget(dispatch)
        else:
            self._decrement_running(key)
        job = self._jobs.get(key.job_id)
        if job is not None:
            job.returned.append(key.item_index)

    def withhold(self, key: ItemKey) -> None:
        """Exclude a taken item from dispatch, since an earlier start of it may still run."""
        self._decrement_running(key)
        job = self._jobs.get(key.job_id)
        if job is not None:
            job.withheld.add(key.item_index)

    def _forget(self, dispatch: Dispatch) -> None:
        del self._dispatches[dispatch.key]
        self._decrement_running(dispatch.key)

    def _decrement_running(self, key: ItemKey) -> None:
        job = self._jobs.get(key.job_id)
        if job is not None:
            self._running_by_tenant[job.ledger.accepted.tenant] -= 1
