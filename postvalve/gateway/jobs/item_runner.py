"""Starts the items of the jobs that this node works on, as engines have free slots."""

from __future__ import annotations

from collections.abc import Callable, Collection

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.batch.item_order import DurationEstimate, count_startable
from postvalve.core.batch.job_board import BoardJob
from postvalve.core.batch.unused_room import UnusedRoom
from postvalve.core.membership import load_report
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.extensions import Extension
from postvalve.core.membership.peers import PeerView
from postvalve.events import Event, EventLog
from postvalve.gateway.engines.engine_connections import ConnectionPool
from postvalve.gateway.engines.quarantine_services import QuarantineServices
from postvalve.gateway.engines.run_watch import EngineReports
from postvalve.gateway.fleet.engine_fleet import BatchRoom, EngineFleet
from postvalve.gateway.fleet.load_reports import LoadReports
from postvalve.gateway.interfaces import Dialect
from postvalve.gateway.jobs.end_writer import EndWriter
from postvalve.gateway.jobs.failure_counts import FailureCounts
from postvalve.gateway.jobs.item_attempts import ItemAttempts
from postvalve.gateway.jobs.item_ends import ItemEnds
from postvalve.gateway.jobs.item_preemption import ItemPreemption
from postvalve.gateway.jobs.item_progress import ProgressLog
from postvalve.gateway.jobs.item_reconciliation import ItemReconciliation
from postvalve.gateway.jobs.item_urgency import ItemUrgency
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.job_service import JobService
from postvalve.gateway.jobs.own_items import OwnItems
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.gateway.jobs.unplaced_items import MAX_MISSES, Miss, candidates
from postvalve.gateway.jobs.waiting_items import PassOutcome, WaitingFacts, WaitingItems
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.messages.generated import gateway
from postvalve.settings.routes import RouteSpec

PASS_INTERVAL = 0.1
"""Seconds between scheduling passes if no event triggers one."""
IDLE_INTERVAL = 1.0
"""Seconds between passes while this node works on no job; a new job wakes it."""
MIN_PASS_INTERVAL = 0.02
"""Minimum seconds between passes, since each request that is sent anywhere may trigger one."""
MIN_VERSION_WAIT = 5.0
"""Seconds that an item waits at least for an engine of its version while others have room."""

_Ranked = tuple[int, RunningItem]
"""Urgency and item. Urgencies are computed once per pass, since a node may have thousands of
items."""


class ItemRunner:
    """Schedules this node's items onto engines."""

    def __init__(
        self,
        identity: gateway.NodeStarted,
        clock: Clock,
        events: EventLog,
        log: JobLog,
        jobs: JobService,
        fleet: EngineFleet,
        pool: ConnectionPool,
        dialect: Dialect,
        peers: PeerView,
        reports: LoadReports,
        ends: EndWriter,
        progress: ProgressLog,
        metrics: GatewayMetrics,
        route_named: Callable[[str], RouteSpec | None],
        quarantine: QuarantineServices,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._events = events
        self._log = log
        self._progress = progress
        self._metrics = metrics
        self._fleet = fleet
        self._peers = peers
        self._route_named = route_named
        self._wakeup = GeventEvent()
        self._own = OwnItems(identity, events, log, jobs, progress, self.wake)
        self._own.on_job_added = reports.schedule_report
        self._own.can_continue = self._can_continue
        self._own.release_slot = fleet.release
        self._last_pass_at = float("-inf")
        estimate = DurationEstimate()
        self.urgency = ItemUrgency(clock, events, log, peers, estimate)
        self.ends = ItemEnds(clock, events, log, self._own, ends, progress, metrics)
        self._attempts = ItemAttempts(
            clock,
            events,
            log,
            jobs,
            fleet,
            pool,
            dialect,
            self.ends,
            FailureCounts(events, log, progress, self.ends, self.wake),
            quarantine,
            estimate,
            self.wake,
        )
        self._attempts.restart = self._restart
        self._own.ended_here = ends.unconfirmed
        self.reconciliation = ItemReconciliation(
            events, log, self._own, ends, self._attempts.active
        )
        self._outcomes: dict[tuple[str, bool], PassOutcome] = {}
        """Outcome of the last pass by service, and by whether its items were pressing."""
        self._unused_room: dict[tuple[str, bool, bool], UnusedRoom] = {}
        """By service, and by whether the items are pressing and overdue."""
        self.waiting = WaitingItems(
            clock, events, metrics, self._own.all, self._waiting_facts, self._batch_room
        )
        self.waiting.is_draining = lambda: self.draining
        self._preemption = ItemPreemption(
            identity.node_id,
            fleet,
            reports.items,
            self._own.all,
            self.urgency.of,
            clock.monotonic,
        )
        reports.extensions[Extension.ITEM_PACE] = estimate.pack
        reports.waiting_due = self.waiting_due
        reports.running_items = self.running_items
        reports.items_running = self._preemption.report
        reports.watch.on_preempt = self._preemption.preempt_one
        reports.watch.own_urgencies = self._preemption.urgencies_at

    def ask_silent_engines(self, reports: EngineReports) -> None:
        """Let silent engines be asked for their runs before an attempt there is given up."""
        self._attempts.engine_reports = reports

    @property
    def draining(self) -> bool:
        """Whether this node is shutting down, and starts nothing any more."""
        return self._own.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self._own.draining = draining

    @property
    def in_progress(self) -> int:
        """Number of running items and of ends that are not durable yet."""
        return sum(item.running for item in self._own.all()) + self.ends.pending

    def waiting_due(self) -> list[int]:
        """Return the urgencies of the items that wait here, ascending."""
        return [] if self.draining else [urgency for urgency, _ in self._waiting()]

    def running_items(self) -> list[load_report.RunningItem]:
        """Return the running items, and those whose ends other nodes may not have read yet."""
        running = [
            load_report.RunningItem(job_id=item.job_id, item_index=item.index)
            for item in self._own.all()
            if item.running
        ]
        return running + self.ends.recent()

    def wake(self) -> None:
        """Trigger a scheduling pass."""
        self._wakeup.set()

    def on_peer_update(self) -> None:
        """Trigger a scheduling pass after a peer's report, if this node has any items."""
        if self._own.by_job:
            self._wakeup.set()

    def expire_items(self) -> None:
        """End items that are past their keep time and can't be run, checking forever."""
        self.ends.expire_items()

    def abandon(self) -> None:
        """Stop all items at once, without waiting for running ones."""
        self.draining = True
        self._own.drop_all()

    def run(self) -> None:
        """Run scheduling passes forever."""
        while True:
            self._wakeup.wait(PASS_INTERVAL if self._own.by_job else IDLE_INTERVAL)
            # Waits here for the minimum interval, so that this wake-up serves the pass; a timer
            # would cause another one.
            if (remaining := self._last_pass_at + MIN_PASS_INTERVAL - self._clock.monotonic()) > 0:
                gevent.sleep(remaining)
            self._wakeup.clear()
            self._last_pass_at = self._clock.monotonic()
            self._fleet.use.online_averages.advance(self._last_pass_at)
            self._preemption.preempt_excess()
            if not self.draining:
                self._start_items()

    def _waiting(self) -> list[_Ranked]:
        """Return the items that may start, the most urgent first."""
        now = self._clock.monotonic()
        running_elsewhere = self._peers.running_on_leaving_peers()
        waiting = [
            (self.urgency.of(item), item)
            for item in self._own.all()
            if not item.running
            and not item.is_count_pending
            and item.not_before <= now
            and (item.job_id, item.index) not in running_elsewhere
        ]
        return sorted(waiting, key=lambda ranked: (ranked[0], ranked[1].job_id, ranked[1].index))

    def _start_items(self) -> None:
        by_service: dict[str, list[_Ranked]] = {}
        for ranked in self._waiting():
            job = self._log.board.jobs.get(ranked[1].job_id)
            if job is not None:
                by_service.setdefault(self._service_of(job), []).append(ranked)
        for service, items in by_service.items():
            queue = self._zone_queue(items) / self._fleet.relaxed_slots(service)
            for _, item in items:
                item.pressing = self.urgency.is_pressing(item, queue)
            pressing = [ranked for ranked in items if ranked[1].pressing]
            self._start_group(pressing, service, pressing=True)
            rest = [ranked for ranked in items if not ranked[1].running]
            self._start_group(rest, service, pressing=False)
            self._start_overdue([item for _, item in rest if not item.running], service)

    def _waiting_facts(self, items: Collection[RunningItem]) -> list[WaitingFacts]:
        """Return what decides whether each of these items may start."""
        running_elsewhere = self._peers.running_on_leaving_peers()
        found = []
        for item in items:
            job = self._log.board.jobs.get(item.job_id)
            service = self._service_of(job) if job is not None else ""
            outcome = self._outcomes.get((service, item.pressing), PassOutcome())
            is_elsewhere = (item.job_id, item.index) in running_elsewhere
            found.append(WaitingFacts(service, is_elsewhere, outcome))
        return found

    def _batch_room(self, service: str, pressing: bool) -> BatchRoom:
        return self._fleet.batch_room(service, pressing=pressing)

    def _start_group(self, items: list[_Ranked], service: str, *, pressing: bool) -> None:
        """Start the most urgent of these items, as far as other nodes' items leave slots."""
        due = [urgency for urgency, _ in items]
        free_slots = self._fleet.batch_capacity(service, pressing=pressing)
        # Items that are not pressing stay in their zone, and rank among the items of that zone.
        others = self._peers.waiting(None if pressing else self._identity.zone)
        count = count_startable(due, others, free_slots)
        unplaced = self._start_some([item for _, item in items], service, count, pressing=pressing)
        self._outcomes[service, pressing] = PassOutcome(free_slots, count, unplaced)
        if count < len(items):
            self._start_in_unused_room([item for _, item in items], service, pressing=pressing)

    def _start_overdue(self, items: list[RunningItem], service: str) -> None:
        """Start overdue items without room in their zone at any engines with spare slots."""
        if not self._room(service, pressing=False, overdue=True).is_due(self._clock.monotonic()):
            return
        late = [item for item in items if not item.pressing and self.urgency.is_late(item)]
        if late:
            self._start_in_unused_room(late, service, pressing=False, overdue=True)

    def _start_some(
        self, items: list[RunningItem], service: str, count: int, *, pressing: bool
    ) -> int:
        """Start up to `count` of these items; return how many of that number found no engine."""
        misses: list[Miss] = []
        for item in candidates(items, misses):
            if not count or len(misses) >= MAX_MISSES:
                break
            if self._is_version_gone(service, item.version):
                self._restart(item)
            ruling = [miss for miss in misses if miss.rules_out(item)]
            if any(miss.version is None for miss in ruling):
                continue
            if not ruling and self._start(item, service, pressing=pressing):
                count -= 1
            elif self._is_version_wait_over(item):
                if self._start(item, service, pressing=pressing, any_version=True):
                    count -= 1
                else:
                    misses.append(Miss(None, item.tokens, item.failed_engine))
            elif not ruling:
                misses.append(self._miss(item, service, pressing))
        return count if misses else 0

    def _start_in_unused_room(
        self, items: list[RunningItem], service: str, *, pressing: bool, overdue: bool = False
    ) -> None:
        """Start items that more urgent ones of peers, which don't start, keep from their turn."""
        now = self._clock.monotonic()
        room = self._room(service, pressing=pressing, overdue=overdue)
        if not room.is_due(now):
            return
        engines = self._fleet.engines_with_batch_room(service, pressing=pressing, overdue=overdue)
        zone = None if pressing or overdue else self._identity.zone
        for life in room.check(engines, self._peers.with_waiting_items(zone), now):
            if all(item.running for item in items):
                break
            if self._start_at(life, items, service, pressing=pressing, overdue=overdue):
                room.take(life)
            else:
                room.pass_over(life)

    def _room(self, service: str, *, pressing: bool, overdue: bool) -> UnusedRoom:
        kind = (service, pressing, overdue)
        if kind not in self._unused_room:
            self._unused_room[kind] = UnusedRoom(self._identity.node_id, overdue=overdue)
        return self._unused_room[kind]

    def _start_at(
        self,
        life: EngineLife,
        items: list[RunningItem],
        service: str,
        *,
        pressing: bool,
        overdue: bool,
    ) -> bool:
        """Start the first of these items that may run at an engine; returns whether one may."""
        engines = self._fleet.engines(service)
        version = next((one.version for one in engines if one.life == life), None)
        misses: list[Miss] = []
        for item in candidates([one for one in items if not one.running], misses):
            if len(misses) >= MAX_MISSES:
                break
            if self._is_version_gone(service, item.version):
                self._restart(item)
            any_version = item.version not in (None, version)
            if any_version and not self._is_version_wait_over(item):
                continue
            if any(miss.rules_out(item) for miss in misses):
                continue
            if self._start(
                item,
                service,
                pressing=pressing,
                overdue=overdue,
                only=life,
                any_version=any_version,
            ):
                return True
            misses.append(Miss(None, item.tokens, item.failed_engine))
        return False

    def _miss(self, item: RunningItem, service: str, pressing: bool) -> Miss:
        """Return why an item has found no engine: there is no slot, or none that fits it."""
        capacity = self._fleet.batch_capacity(service, pressing=pressing, version=item.version)
        if capacity:
            return Miss(item.version, item.tokens, item.failed_engine)
        return Miss(item.version)

    def _zone_queue(self, items: list[_Ranked]) -> int:
        """Return the number of items that wait in this zone, including this node's."""
        return len(items) + sum(count for _, count in self._peers.waiting(self._identity.zone))

    def _service_of(self, job: BoardJob) -> str:
        # The present configuration decides, as for any other request.
        route = self._route_named(job.accepted.route)
        services = [target.service for target in route.targets] if route else []
        known = job.accepted.service
        return known if known in services or not services else services[0]

    def _can_continue(self, job: BoardJob, version: str | None) -> bool:
        """Whether an engine can continue saved text; nobody knows what fits text of no version."""
        return version is not None and not self._is_version_gone(self._service_of(job), version)

    def _is_version_gone(self, service: str, version: str | None) -> bool:
        """Whether no engine of a version is left, and none is about to be listed."""
        return (
            version is not None
            and not self._fleet.engines(service, version)
            and not self._fleet.directory_unsettled()
        )

    def _is_version_wait_over(self, item: RunningItem) -> bool:
        """Whether an item that finds no engine of its version should begin again at another one.

        It waits for as long as its text took. So waiting costs no more than beginning again, and
        both together at most twice as much as the better of the two.
        """
        if item.version is None:
            return False
        now = self._clock.monotonic()
        if item.version_missed_at is None:
            item.version_missed_at = now
        return now - item.version_missed_at >= max(MIN_VERSION_WAIT, item.run_seconds)

    def _restart(self, item: RunningItem) -> None:
        """Let an item begin again, at any engine: no engine can continue its text."""
        missed_at = item.version_missed_at or item.unconfirmed_since
        self._events.emit(
            Event.ITEM_RESTARTED,
            job=item.job_id,
            item=item.index,
            version=item.version,
            events=len(item.events),
            missing=item.evidence.missing if item.evidence is not None else "",
            waited=0.0 if missed_at is None else round(self._clock.monotonic() - missed_at, 1),
            directory_age=round(self._fleet.directory_age(), 3),
        )
        self._metrics.items_restarted.inc()
        self._progress.forget_chain(item)
        item.restart()

    def _start(
        self,
        item: RunningItem,
        service: str,
        *,
        pressing: bool,
        overdue: bool = False,
        only: EngineLife | None = None,
        any_version: bool = False,
    ) -> bool:
        """Start an item at an engine that has room for it, or only at a given one.

        At an engine of any version, it begins again.
        """
        version = None if any_version else item.version
        excluded = [item.failed_engine] if item.failed_engine else []
        if only is not None:
            engines = self._fleet.engines(service, version)
            excluded += [one.life for one in engines if one.life != only]
        placement = self._fleet.place_batch(
            service,
            item.prompt_tokens,
            item.output_tokens,
            excluded,
            pressing=pressing,
            overdue=overdue,
            version=version,
        )
        if placement is None:
            return False
        if placement.engine.version != item.version and item.version is not None:
            self._restart(item)
        item.running = True
        item.preempted = item.preempt_requested = item.is_answered = False
        item.placement = placement
        item.started_at = self._clock.monotonic()
        self._events.emit(
            Event.ITEM_STARTED,
            job=item.job_id,
            item=item.index,
            engine=placement.engine.life,
            version=placement.engine.version,
            pressing=pressing,
            overdue=overdue,
            online=placement.online_seen,
            batch=placement.batch_seen,
            events=len(item.events),
        )
        self._attempts.start(item, placement)
        return True
