"""Follows the streams of shards that this node may hold, and maintains their leases."""

from __future__ import annotations

from typing import Protocol

import betterproto
import gevent
from gevent.event import Event as GeventEvent

from postvalve.core.batch.identity import shard_stream
from postvalve.core.batch.lease import LeaseStep, LeaseTiming
from postvalve.core.batch.shard_state import (
    REPLAY_WINDOW,
    JobCancelPending,
    JobOpened,
    ShardEffect,
    ShardState,
)
from postvalve.core.membership.ownership import rank_owners
from postvalve.events import Event
from postvalve.exceptions import LogUnavailableError
from postvalve.messages.framing import FrameError
from postvalve.messages.generated import records
from postvalve.messages.records_codec import parse_record
from postvalve.node.background import BackgroundTasks
from postvalve.node.context import NodeContext
from postvalve.node.membership_service import MembershipService
from postvalve.services.log import LogEntry
from postvalve.states import LeaseState, NodeState

LONG_POLL_TIMEOUT = 5.0
"""Seconds for which a read of a shard's stream waits for new records."""
FOLLOWERS_PER_SHARD = 2
"""Nodes that follow a shard: the preferred holder and its successor."""
LEASE_CHECK_INTERVAL = 0.25
"""Seconds between checks of the leases."""
LOG_RETRY_DELAY = 1.0
"""Seconds before a failed read is retried."""


class ShardListener(Protocol):
    """Receives changes of the held shards and their jobs."""

    def shard_acquired(self, shard: int, open_jobs: list[str]) -> None:
        """Handle that this node has become the holder of a shard."""

    def shard_lost(self, shard: int) -> None:
        """Handle that this node no longer holds a shard."""

    def job_opened(self, shard: int, job_id: str) -> None:
        """Handle a new job of a held shard."""

    def job_cancel_requested(self, shard: int, job_id: str) -> None:
        """Handle a cancel of a held shard's job, which may not be in the job's stream yet."""


class _Follower:
    """Replay state and position in the stream of one followed shard."""

    def __init__(self, shard: int, state: ShardState) -> None:
        self.shard = shard
        self.state = state
        self.offset = -1
        self.caught_up = False
        self.held = False
        self.stopped = GeventEvent()


class ShardLeases:
    """Claims, renews and releases the leases of the shards for which this node is preferred."""

    def __init__(
        self, context: NodeContext, membership: MembershipService, listener: ShardListener
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._log = context.log
        self._writer = context.writer
        self._membership = membership
        self._listener = listener
        self._followers: dict[int, _Follower] = {}
        self._releasing = False
        self._view_complete = False
        self._ranked_nodes: tuple[str, ...] = ()
        self._preferences: list[list[str]] = []
        self._started_at = self._clock.monotonic()
        timing = self._settings.timing
        self._timing = LeaseTiming(timing.lease_duration, timing.lease_renewal)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start to follow shards and maintain their leases."""
        tasks.every(LEASE_CHECK_INTERVAL, self.step)

    def held_shards(self) -> list[int]:
        """Return the shards whose leases this node holds, by its own clock."""
        return sorted(shard for shard in self._followers if self.holds(shard))

    def holds(self, shard: int) -> bool:
        """Return whether this node has an unexpired lease of the shard, by its own clock."""
        follower = self._followers.get(shard)
        if follower is None or not follower.held:
            return False
        return follower.state.lease.state(self._clock.monotonic()) is LeaseState.HELD_HERE

    def shard_state(self, shard: int) -> ShardState | None:
        """Return the replayed state of a shard, or None if this node does not follow it."""
        follower = self._followers.get(shard)
        return follower.state if follower else None

    def release_all(self) -> None:
        """Release all held leases before a planned stop."""
        self._releasing = True
        for follower in list(self._followers.values()):
            if follower.held:
                self._append_step(follower, LeaseStep.RELEASE)
                self._mark_lost(follower)

    def step(self) -> None:
        """Follow the shards that rank this node among their first, and update their leases."""
        if self._releasing or not self._is_view_complete():
            return
        nodes = tuple(self._membership.view.alive_ids())
        if nodes != self._ranked_nodes:
            self._ranked_nodes = nodes
            self._preferences = [
                rank_owners(f"shard.{shard}", nodes)[:FOLLOWERS_PER_SHARD]
                for shard in range(self._settings.shards)
            ]
        for shard, order in enumerate(self._preferences):
            self._step_shard(shard, order)

    def _is_view_complete(self) -> bool:
        # A node that has just started and has heard from no other node would be the preferred
        # holder of every shard, and would claim them all.
        if self._view_complete or self._membership.all_listed_nodes_known():
            self._view_complete = True
        timing = self._settings.timing
        timeout = timing.machine_list_interval + timing.dead_after + timing.digest_interval
        return self._view_complete or self._clock.monotonic() - self._started_at >= timeout

    def _step_shard(self, shard: int, order: list[str]) -> None:
        node_id = self._settings.node_id
        follower = self._followers.get(shard)
        if node_id not in order:
            if follower is not None and not follower.held:
                follower.stopped.set()
                del self._followers[shard]
                return
            if follower is None:
                return
        follower = follower or self._follow(shard)
        if follower.caught_up:
            self._step_lease(follower, preferred=order[:1] == [node_id])

    def _follow(self, shard: int) -> _Follower:
        state = ShardState(self._settings.node_id, self._membership.incarnation, self._timing)
        follower = self._followers[shard] = _Follower(shard, state)
        gevent.spawn(self._read_loop, follower)
        return follower

    def _step_lease(self, follower: _Follower, *, preferred: bool) -> None:
        now = self._clock.monotonic()
        lease = follower.state.lease
        holding = lease.state(now) is LeaseState.HELD_HERE
        if holding and not follower.held:
            self._mark_acquired(follower)
        elif follower.held and not holding:
            self._mark_lost(follower)
        step = lease.next_step(now, preferred=preferred, holder_gone=self._is_dead(lease.holder))
        if step is not LeaseStep.NONE:
            gevent.spawn(self._append_step, follower, step)
        if step is LeaseStep.RELEASE:
            self._mark_lost(follower)
        elif holding and follower.state.checkpoint_due:
            gevent.spawn(self._append_checkpoint, follower)

    def _is_dead(self, holder: str) -> bool:
        member = self._membership.member(holder)
        return member is not None and member.state is NodeState.DEAD

    def _mark_acquired(self, follower: _Follower) -> None:
        follower.held = True
        self._events.emit(Event.SHARD_LEASED, shard=follower.shard)
        self._listener.shard_acquired(follower.shard, follower.state.open_jobs)

    def _mark_lost(self, follower: _Follower) -> None:
        if follower.held:
            follower.held = False
            self._events.emit(Event.SHARD_LOST, shard=follower.shard)
            self._listener.shard_lost(follower.shard)

    def _append_step(self, follower: _Follower, step: LeaseStep) -> None:
        lease = follower.state.lease
        if step is LeaseStep.CLAIM:
            claim = records.LeaseClaimed(
                epoch=lease.epoch + 1,
                node_id=self._settings.node_id,
                incarnation=self._membership.incarnation,
            )
            self._append(follower, claim)
        elif step is LeaseStep.RENEW:
            renewal = records.LeaseRenewed(epoch=lease.epoch)
            self._append(follower, renewal)
        else:
            release = records.LeaseReleased(epoch=lease.epoch)
            self._append(follower, release)

    def _append_checkpoint(self, follower: _Follower) -> None:
        checkpoint = follower.state.checkpoint()
        self._append(follower, checkpoint)

    def append_job_closed(self, shard: int, job_id: str) -> None:
        """Record in the shard's stream that a job ended, so that later holders skip it."""
        closed = records.JobClosed(job_id=job_id)
        self._writer.append(shard_stream(shard), closed)

    def _append(self, follower: _Follower, body: betterproto.Message) -> None:
        try:
            self._writer.append(shard_stream(follower.shard), body, timeout=1.0)
        except LogUnavailableError as error:
            self._events.emit(Event.LOG_UNAVAILABLE, shard=follower.shard, error=error.message)

    def _read_loop(self, follower: _Follower) -> None:
        stream = shard_stream(follower.shard)
        while not follower.stopped.is_set():
            try:
                if follower.offset < 0:
                    follower.offset = self._replay_start(stream)
                wait = LONG_POLL_TIMEOUT if follower.caught_up else 0.0
                log_slice = self._log.read(stream, follower.offset, wait=wait)
            except LogUnavailableError:
                gevent.sleep(LOG_RETRY_DELAY)
                continue
            for entry in log_slice.entries:
                self._observe(follower, entry)
            follower.offset = log_slice.next_offset
            follower.caught_up = follower.caught_up or log_slice.caught_up

    def _replay_start(self, stream: str) -> int:
        end = self._log.read(stream, 0, limit=1).end_offset
        window = REPLAY_WINDOW
        while True:
            start = max(0, end - window)
            log_slice = self._log.read(stream, start)
            for entry in reversed(log_slice.entries):
                if start == 0:
                    return 0
                if isinstance(parse_record(entry.payload).body, records.ShardCheckpoint):
                    return entry.offset
            if start == 0:
                return 0
            window *= 2

    def _observe(self, follower: _Follower, entry: LogEntry) -> None:
        try:
            record = parse_record(entry.payload)
        except FrameError as error:
            self._events.emit(Event.LOG_RECORD_INVALID, shard=follower.shard, error=str(error))
            return
        effects = follower.state.observe(record, self._clock.monotonic())
        if follower.held:
            for effect in effects:
                self._apply(follower.shard, effect)

    def _apply(self, shard: int, effect: ShardEffect) -> None:
        if isinstance(effect, JobOpened):
            self._listener.job_opened(shard, effect.job_id)
        elif isinstance(effect, JobCancelPending):
            self._listener.job_cancel_requested(shard, effect.job_id)
