"""Compares this node's items with the job board, and mends what differs."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

import gevent

from postvalve.core.batch.reconciliation import (
    DifferenceKind,
    HeldJob,
    NodeItems,
    Reconciler,
    differences,
)
from postvalve.events import Event, EventLog
from postvalve.gateway.jobs.end_writer import EndWriter
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.own_items import OwnItems
from postvalve.gateway.jobs.running_item import RunningItem

CHECK_INTERVAL = 2.0
"""Seconds between checks; a difference is mended at the second check that finds it."""
MAX_BOARD_AGE = 3.0
"""Age of the board, in seconds, from which it is not compared."""
MAX_LINES = 6
"""Most lines that one check writes."""


class ItemReconciliation:
    """Finds items that are missing among this node's items, or should not be there."""

    def __init__(
        self,
        events: EventLog,
        log: JobLog,
        own: OwnItems,
        writer: EndWriter,
        attempts: Callable[[], Iterable[RunningItem]],
    ) -> None:
        """Set up; `attempts` returns the items of all attempts that have not ended."""
        self._events = events
        self._log = log
        self._own = own
        self._writer = writer
        self._attempts = attempts
        self._reconciler = Reconciler()

    def run(self) -> None:
        """Check periodically, forever."""
        while True:
            gevent.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Compare once, and mend the differences that the previous check found too."""
        follower = self._log.follower
        # A node that is shutting down finishes running items of jobs that others have claimed.
        if not follower.loaded or follower.age > MAX_BOARD_AGE or self._own.draining:
            self._reconciler.reset()
            return
        found = self._reconciler.confirm(differences(self._held_jobs(), self._items()))
        groups = itertools.groupby(found, key=lambda one: (one.job_id, one.kind))
        for number, ((job_id, kind), group) in enumerate(groups):
            indexes = [one.index for one in group]
            if number < MAX_LINES:
                self._log_found(job_id, kind, indexes)
            self._mend(job_id, kind, indexes)

    def _held_jobs(self) -> list[HeldJob]:
        return [
            HeldJob(job.job_id, job.claim_id, list(job.unfinished()))
            for job in self._own.held_jobs()
        ]

    def _items(self) -> NodeItems:
        own = self._own.all()
        return NodeItems(
            waiting={(item.job_id, item.index) for item in own if not item.running},
            running={(item.job_id, item.index) for item in own if item.running},
            attempts={(item.job_id, item.index) for item in self._attempts() if not item.cancelled},
            ended=self._writer.unconfirmed(),
        )

    def _log_found(self, job_id: str, kind: DifferenceKind, indexes: list[int]) -> None:
        self._events.emit(
            Event.ITEMS_DIFFER,
            job=job_id,
            item=indexes[0],
            items=len(indexes),
            found=kind.value,
            board_age=round(self._log.follower.age, 3),
        )

    def _mend(self, job_id: str, kind: DifferenceKind, indexes: list[int]) -> None:
        if kind is DifferenceKind.MISSING:
            self._own.take_up(self._log.board.jobs[job_id], indexes)
        elif kind is DifferenceKind.STALLED:
            self._own.release_stalled(job_id, indexes)
        else:
            self._own.drop(job_id, indexes)
