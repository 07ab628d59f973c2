"""Urgency of this node's items: by due time, or by shares while tenants compete."""

from __future__ import annotations

from collections.abc import Sequence

from postvalve.clock import Clock, milliseconds
from postvalve.core.batch.item_order import (
    NEARLY_ENDED_BONUS_MS,
    DurationEstimate,
    ShareRank,
    is_late,
    is_pressing,
    share_urgency,
    urgency,
)
from postvalve.core.batch.lateness import LATENESS_WINDOW, Lateness
from postvalve.core.membership.extensions import Extension, Feature
from postvalve.core.membership.peers import PeerView
from postvalve.core.routing.route_table import RouteTable
from postvalve.core.scheduling.weights import tenant_weights
from postvalve.events import Event, EventLog
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.gateway.knowledge.topic_follower import STALE_AFTER
from postvalve.settings.routes import RoutedTenant

PEER_REFRESH_INTERVAL = 0.5
"""Seconds for which the peers' reports are cached, since the urgency of every item depends on
them."""


class ItemUrgency:
    """Sort keys of items, computed alike on all nodes."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        log: JobLog,
        peers: PeerView,
        estimate: DurationEstimate,
    ) -> None:
        self._clock = clock
        self._events = events
        self._log = log
        self._peers = peers
        self._estimate = estimate
        self._tenants: dict[str, RoutedTenant] = {}
        self._route_priorities: dict[str, int] = {}
        self._by_shares = False
        self._order = "due time"
        self._refreshed_at = float("-inf")
        self._lateness = Lateness()

    def configure(self, table: RouteTable) -> None:
        """Apply the tenants and routes of a configuration."""
        tenants: Sequence[RoutedTenant] = table.configuration.tenants or ()
        self._tenants = {tenant.name: tenant for tenant in tenants}
        self._route_priorities = {
            route.name: route.priority for route in table.configuration.routes
        }
        self._log.set_weights(tenant_weights(tenants))
        self._refreshed_at = float("-inf")

    @property
    def by_shares(self) -> bool:
        """Whether tenants compete, and all known nodes support ordering by shares.

        Nodes of an earlier build order by due time. With two orders in use, each node would start
        items that the other ranks behind its own.
        """
        self._refresh()
        return self._by_shares

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now - self._refreshed_at < PEER_REFRESH_INTERVAL:
            return
        self._refreshed_at = now
        self._estimate.learn_from_peers(self._peers.extension_parts(Extension.ITEM_PACE))
        has_competing_tenants = len(self._tenants) >= 2
        self._update_lateness()
        able = Feature.BATCH_SHARES in self._peers.features()
        self._by_shares = has_competing_tenants and able
        order = "shares" if self._by_shares and self._lateness.mostly_late else "due time"
        if order != self._order:
            self._order = order
            self._events.emit(
                Event.ITEM_ORDER,
                order=order,
                tenants=len(self._tenants),
                able=able,
                due=self._lateness.items,
                late=self._lateness.late,
            )

    def _update_lateness(self) -> None:
        if self._log.follower.age > STALE_AFTER:
            # Recent results are missing, so all items would appear late.
            return
        shares, now = self._log.board.shares, self._clock.wall()
        self._lateness.update(shares.due, now)
        shares.forget_due(int(now) - LATENESS_WINDOW)

    def of(self, item: RunningItem) -> int:
        """Return the sort key of an item; the lowest is the most urgent."""
        now_ms, left = milliseconds(self._clock.wall()), self.seconds_left(item)
        ends_soon = self._ends_soon(item, now_ms, left)
        rank = self._rank(item, ends_soon) if self.by_shares else None
        if rank is not None:
            return share_urgency(rank, item.due_at_ms, now_ms, left)
        due = urgency(item.due_at_ms, now_ms, left)
        return max(0, due - NEARLY_ENDED_BONUS_MS) if ends_soon else due

    def _ends_soon(self, item: RunningItem, now_ms: int, left: float) -> bool:
        """Return whether a running item is about to finish in time; it is preempted last."""
        if not item.running or now_ms + left * 1000 > item.due_at_ms:
            return False
        run = item.seconds_run(self._clock.monotonic())
        return self._estimate.nearly_ended(item.output_tokens, run)

    def _rank(self, item: RunningItem, ends_soon: bool) -> ShareRank | None:
        job = self._log.board.jobs.get(item.job_id)
        if job is None:
            return None
        if not self._lateness.mostly_late:
            return ShareRank(0, 0, True, ends_soon)
        tenant = self._tenants.get(job.accepted.tenant)
        own = tenant.priority if tenant is not None else None
        priority = self._route_priorities.get(job.accepted.route, 0) if own is None else own
        tag = self._log.board.shares.tag(item.job_id, item.index)
        return ShareRank(priority, tag, bool(item.events), ends_soon)

    def seconds_left(self, item: RunningItem) -> float:
        """Return the seconds that an item still needs, given its run time so far; 0 if unknown."""
        run = item.seconds_run(self._clock.monotonic())
        return self._estimate.seconds_left(item.output_tokens, run)

    def is_pressing(self, item: RunningItem, queue: float) -> bool:
        """Return whether an item must start soon to finish in time (`item_order.is_pressing`)."""
        now_ms = milliseconds(self._clock.wall())
        return is_pressing(item.due_at_ms, now_ms, self.seconds_left(item), queue)

    def is_late(self, item: RunningItem) -> bool:
        """Return whether an item can't finish by its due time any more."""
        now_ms = milliseconds(self._clock.wall())
        return is_late(item.due_at_ms, now_ms, self.seconds_left(item))
