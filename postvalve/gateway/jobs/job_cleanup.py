"""Deletes from the store what nobody can ask for any more: expired jobs, and progress of items."""

from __future__ import annotations

import gevent

from postvalve.clock import Clock, milliseconds
from postvalve.core.membership.peers import PeerView
from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import StoreUnavailableError
from postvalve.gateway.jobs.item_progress import PROGRESS_TOPIC, SWEEP_INTERVAL, ProgressLog
from postvalve.gateway.jobs.job_log import JobLog

PURGE_INTERVAL = 10.0
"""Seconds between checks for jobs that can no longer be queried."""


class JobCleanup:
    """This node's part in it: of all nodes one deletes each job, and one sweeps the progress."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        log: JobLog,
        progress: ProgressLog,
        peers: PeerView,
        status_time: float,
    ) -> None:
        """Set up; `status_time` is for how many seconds a job stays readable."""
        self._clock = clock
        self._events = events
        self._log = log
        self._progress = progress
        self._peers = peers
        self._status_time = status_time
        self.draining = False

    def _is_owner(self, name: str) -> bool:
        """Whether this node is the one of all that cleans up what has this name."""
        if self.draining:
            return False
        return self._peers.successor(name, include_self=True) == self._peers.node_id

    def purge_jobs(self) -> None:
        """Delete jobs that can no longer be queried; never returns."""
        while True:
            gevent.sleep(PURGE_INTERVAL)
            now_ms = milliseconds(self._clock.wall())
            expired = [
                job
                for job in self._log.board.expired(now_ms, milliseconds(self._status_time))
                if self._is_owner(job.job_id)
            ]
            if not expired:
                continue
            try:
                self._log.drop_jobs(expired)
            except StoreUnavailableError:
                continue
            self._events.emit(Event.ROUTED_JOBS_PURGED, jobs=len(expired))

    def sweep_progress(self) -> None:
        """Delete saved progress of items whose jobs have ended; never returns."""
        while True:
            gevent.sleep(SWEEP_INTERVAL)
            if not self._is_owner(PROGRESS_TOPIC):
                continue
            try:
                saved = self._progress.saved_keys()
                if any(saved.values()):
                    self._log.follower.read_current()
                    open_jobs = {job.job_id for job in self._log.board.open_jobs()}
                    self._progress.sweep(open_jobs, saved)
            except StoreUnavailableError:
                continue
