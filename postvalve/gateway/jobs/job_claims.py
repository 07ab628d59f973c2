"""Takes over jobs that no node works on."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from postvalve.clock import Clock
from postvalve.core.batch.job_board import BoardJob, RecordKind, record_key
from postvalve.core.membership.peers import PeerView
from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.messages.generated import gateway

CLAIM_INTERVAL = 0.4
"""Seconds between checks for jobs that no node works on."""
CLAIM_AFTER_START = 1.5
"""Seconds after it has read which nodes there are before a starting node claims jobs of others,
since it must first hear from them."""
ZONE_DISCOVERY_TIMEOUT = 4.0
"""Seconds after that from which a node treats zones that it has not heard from as gone. A zone's
digest lists the members only from time to time."""
MAX_STORE_SILENCE = 3.0
"""Seconds without contact to the store after which a node claims nothing."""


class JobClaims:
    """Claims of this node. A wrong claim causes duplicate work, but no wrong result."""

    def __init__(
        self,
        identity: gateway.NodeStarted,
        clock: Clock,
        events: EventLog,
        log: JobLog,
        peers: PeerView,
        new_id: Callable[[], str],
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._events = events
        self._log = log
        self._peers = peers
        self._new_id = new_id
        self._started_at = clock.monotonic()
        self.draining = False
        self.nodes_known_at: Callable[[], float | None] = lambda: self._started_at
        """Returns the monotonic seconds since which this node knows which nodes there are; None
        before."""
        self.all_zones_known: Callable[[], bool] = lambda: True
        """Returns whether the members of every zone are known."""

    def run(self) -> None:
        """Check for abandoned jobs forever."""
        while True:
            gevent.sleep(CLAIM_INTERVAL)
            if self.draining or self._log.silence() > MAX_STORE_SILENCE:
                continue
            for job in self._log.board.open_jobs():
                self._claim_if_abandoned(job)

    def _claim_if_abandoned(self, job: BoardJob) -> None:
        try:
            if self._should_claim(job):
                self._claim(job)
        except Exception as exc:  # other jobs must be claimed, whatever it is
            self._events.emit(Event.LOG_UNAVAILABLE, error=repr(exc), job=job.job_id)

    def _should_claim(self, job: BoardJob) -> bool:
        identity = self._identity
        if job.node_id == identity.node_id:
            # An earlier incarnation of this node is certainly gone.
            return job.incarnation != identity.incarnation
        if not self._membership_known():
            return False
        if self._peers.can_run_jobs(job.node_id, job.incarnation):
            return False
        return self._peers.successor(job.job_id, include_self=True) == identity.node_id

    def _membership_known(self) -> bool:
        known_at = self.nodes_known_at()
        if known_at is None:
            return False
        age = self._clock.monotonic() - known_at
        return age >= ZONE_DISCOVERY_TIMEOUT or (
            age >= CLAIM_AFTER_START and self.all_zones_known()
        )

    def _claim(self, job: BoardJob) -> None:
        claim = gateway.JobClaimed(
            job_id=job.job_id,
            claim_id=self._new_id(),
            replaces=job.claim_id,
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
        )
        key = record_key(RecordKind.CLAIM, job.job_id, claim.claim_id)
        self._events.emit(
            Event.ROUTED_JOB_CLAIMED,
            job=job.job_id,
            former=job.node_id,
            left=len(list(job.unfinished())),
        )
        try:
            self._log.append([KeyedRecord(key, bytes(claim))], CLAIM_INTERVAL)
            self._log.follower.catch_up()
        except StoreUnavailableError as error:
            self._events.emit(Event.LOG_UNAVAILABLE, error=error.message, job=job.job_id)
