"""Counts the failed runs of batch items, over all nodes that have worked on their jobs.

The count of an item is in the store before the item runs again, so the loss of a node loses one
failed run at most. A node that has taken a job over and could not read the counts may run each item
once; it learns the count before a second run.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from postvalve.core.batch.item_end import ItemState
from postvalve.events import Event, EventLog
from postvalve.gateway.jobs.item_ends import ItemEnds
from postvalve.gateway.jobs.item_progress import ProgressLog
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.running_item import RunningItem

RETRY_DELAY = 0.3
"""Seconds after which a call to the store is repeated, doubled after each further failure."""
MAX_RETRY_DELAY = 2.0


class FailureCounts:
    """Failed runs of this node's items."""

    def __init__(
        self,
        events: EventLog,
        log: JobLog,
        progress: ProgressLog,
        ends: ItemEnds,
        wake: Callable[[], None],
    ) -> None:
        """Set up; `wake` is called when an item may run again."""
        self._events = events
        self._log = log
        self._progress = progress
        self._ends = ends
        self._wake = wake

    def record(self, item: RunningItem) -> None:
        """Count a failed run; the item ends, or waits until the count is in the store."""
        item.failures += 1
        if item.is_count_read and item.failures >= item.max_attempts:
            self._ends.end(item, ItemState.DEAD)
            return
        item.is_count_pending = True
        gevent.spawn(self._settle, item)

    def _settle(self, item: RunningItem) -> None:
        """Make the count of an item complete and durable; retries until that succeeds."""
        delay = RETRY_DELAY
        while not item.cancelled:
            try:
                self._read(item)
                if item.failures >= item.max_attempts:
                    self._ends.end(item, ItemState.DEAD)
                    return
                self._progress.save_failures(item)
                break
            except Exception as exc:  # the item must be able to run again, whatever it is
                self._events.emit(
                    Event.LOG_UNAVAILABLE,
                    error=repr(exc),
                    job=item.job_id,
                    item=item.index,
                    failures=item.failures,
                )
            gevent.sleep(delay)
            delay = min(MAX_RETRY_DELAY, delay * 2)
        item.is_count_pending = False
        self._wake()

    def _read(self, item: RunningItem) -> None:
        """Add the failed runs at earlier holders of the item's job, unless that was done."""
        job = self._log.board.jobs.get(item.job_id)
        if item.is_count_read or job is None:
            return
        saved = self._progress.read_failures(job)
        if not item.is_count_read:
            item.failures += saved.get(item.index, 0)
            item.is_count_read = True
