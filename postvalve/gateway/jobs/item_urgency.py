"""How urgent this node's items are: by due time, or by the shares of tenants that compete."""

from __future__ import annotations

from collections.abc import Sequence

from postvalve.clock import Clock, milliseconds
from postvalve.core.batch.item_order import (
    NEARLY_ENDED_BONUS_MS,
    DurationEstimate,
    ShareRank,
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
"""Seconds after which it is looked anew what peers tell: asked for each item."""


class ItemUrgency:
    """Sort keys of items, alike at all nodes."""

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
        self._looked_at = float("-inf")
        self._lateness = Lateness()

    def configure(self, table: RouteTable) -> None:
        """Take the tenants and routes of a configuration."""
        tenants: Sequence[RoutedTenant] = table.configuration.tenants or ()
        self._tenants = {one.name: one for one in tenants}
        self._route_priorities = {one.name: one.priority for one in table.configuration.routes}
        self._log.set_weights(tenant_weights(tenants))
        self._looked_at = float("-inf")

    @property
    def by_shares(self) -> bool:
        """Whether tenants compete, and all nodes that are heard order by shares.

        Nodes of an earlier build order by due time, and two orders side by side would let each
        node start what the other counts behind its own.
        """
        self._look()
        return self._by_shares

    def _look(self) -> None:
        now = self._clock.monotonic()
        if now - self._looked_at < PEER_REFRESH_INTERVAL:
            return
        self._looked_at = now
        self._estimate.learn_from_peers(self._peers.extension_parts(Extension.ITEM_PACE))
        compete = len(self._tenants) >= 2
        self._look_for_late()
        able = Feature.BATCH_SHARES in self._peers.features()
        self._by_shares = compete and able
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

    def _look_for_late(self) -> None:
        if self._log.follower.age > STALE_AFTER:
            # Results are missing that came meanwhile: everything would seem late.
            return
        shares, now = self._log.board.shares, self._clock.wall()
        self._lateness.update(shares.due, now)
        shares.forget_due(int(now) - LATENESS_WINDOW)

    def of(self, item: RunningItem) -> int:
        """How urgent an item is; the lowest first."""
        now_ms, left = milliseconds(self._clock.wall()), self.seconds_left(item)
        ends_soon = self._ends_soon(item, now_ms, left)
        rank = self._rank(item, ends_soon) if self.by_shares else None
        if rank is not None:
            return share_urgency(rank, item.due_at_ms, now_ms, left)
        due = urgency(item.due_at_ms, now_ms, left)
        return max(0, due - NEARLY_ENDED_BONUS_MS) if ends_soon else due

    def _ends_soon(self, item: RunningItem, now_ms: int, left: float) -> bool:
        """Whether a running item nearly ends, and in time; such a one gives way last."""
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
        """Seconds that an item still needs, its present run counted; 0 while nothing is known."""
        run = item.seconds_run(self._clock.monotonic())
        return self._estimate.seconds_left(item.output_tokens, run)

    def is_pressing(self, item: RunningItem, queue: float) -> bool:
        """Whether an item should start soon to be in time: see `item_order.is_pressing`."""
        now_ms = milliseconds(self._clock.wall())
        return is_pressing(item.due_at_ms, now_ms, self.seconds_left(item), queue)
