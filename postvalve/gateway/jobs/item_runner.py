"""Runs the items of the jobs that this node works on, and writes their ends."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock, milliseconds
from postvalve.core.admission.quarantine import Quarantine
from postvalve.core.batch.item_end import ItemState
from postvalve.core.batch.item_order import DurationEstimate, is_pressing, startable, urgency
from postvalve.core.batch.job_board import BoardJob
from postvalve.core.membership import load_report
from postvalve.core.membership.peers import PeerView
from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.events import Event, EventLog
from postvalve.exceptions import AttemptError, PostvalveError, QuarantinedError, Verdict
from postvalve.gateway.engines.engine_connections import ConnectionPool, EngineAnswer, request_bytes
from postvalve.gateway.engines.event_stream import event_data, event_id_of
from postvalve.gateway.engines.request_guard import RequestGuard
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.load_reading import read_load
from postvalve.gateway.fleet.load_reports import LoadReports
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.interfaces import Dialect, Judgement
from postvalve.gateway.jobs.end_writer import EndedItem, EndWriter
from postvalve.gateway.jobs.item_preemption import ItemPreemption
from postvalve.gateway.jobs.item_progress import ProgressLog
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.job_service import JobService
from postvalve.gateway.jobs.own_items import OwnItems
from postvalve.gateway.jobs.result_texts import pack_text
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.messages.generated import gateway
from postvalve.settings.routes import RouteSpec

START_INTERVAL = 0.1
"""Seconds between looks for room, when no event tells of any."""
IDLE_INTERVAL = 1.0
"""The same while this node works on no job; a job that it gets wakes it."""
LOOK_PAUSE = 0.02
"""Seconds between looks at the least: each request that is sent somewhere may ask for one."""
EVENT_SILENCE = 2.0
"""Seconds without a byte until an engine counts as failed."""
READ_PAUSE = 0.08
"""Seconds between reads of one stream, in which events gather."""
END_SPREADS = 1.5
"""Seconds after an item's end in which other nodes may not have read it."""
FAILED_PAUSE = 0.3
"""Seconds before an item whose attempt failed is tried again."""
QUARANTINE_LOOK = 5.0
"""Seconds until an item that is held back looks whether it still is: it may have been cleared."""
ANSWERS = frozenset((Judgement.ACCEPTED, Judgement.FAILED, Judgement.HOPELESS))
"""What only the engine itself can have said."""
ITEM_TIME = 120.0
"""Seconds that one attempt may take."""
GIVE_UP_MARGIN_MS = 5_000
"""Milliseconds by which clocks may differ or have been set ahead."""


class ItemRunner:
    """Items by job."""

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
        quarantine: Quarantine,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._events = events
        self._log = log
        self._jobs = jobs
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._peers = peers
        self._reports = reports
        self._metrics = metrics
        self._route_named = route_named
        self._quarantine = quarantine
        self._ends = ends
        self._progress = progress
        self._wakeup = GeventEvent()
        self._own = OwnItems(identity, events, log, jobs, progress, self.wake)
        self._own.on_taken = reports.changed
        self._looked_at = float("-inf")
        self._estimate = DurationEstimate()
        self._preemption = ItemPreemption(
            identity.node_id, fleet, reports.items, self._own.all, self._urgency
        )
        self._ended_lately: deque[tuple[float, load_report.RunningItem]] = deque()
        reports.waiting_due = self.waiting_due
        reports.running_items = self.running_items
        reports.items_running = self._preemption.report
        reports.watch.on_give_way = self._preemption.stop_one
        reports.watch.own_urgencies = self._preemption.urgencies_at

    @property
    def draining(self) -> bool:
        """Whether this node is about to end: it starts nothing any more."""
        return self._own.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self._own.draining = draining

    @property
    def in_progress(self) -> int:
        """Items that run, and ends that are not durable yet."""
        return sum(one.running for one in self._own.all()) + self._ends.pending

    def waiting_due(self) -> list[int]:
        """Urgencies of the items that wait here, ascending."""
        return [] if self.draining else [self._urgency(item) for item in self._waiting()]

    def running_items(self) -> list[load_report.RunningItem]:
        """Items that run here, and those whose ends may not be read everywhere yet."""
        running = [
            load_report.RunningItem(job_id=item.job_id, item_index=item.index)
            for item in self._own.all()
            if item.running
        ]
        now = self._clock.monotonic()
        while self._ended_lately and self._ended_lately[0][0] < now - END_SPREADS:
            self._ended_lately.popleft()
        return running + [item for _, item in self._ended_lately]

    def _urgency(self, item: RunningItem) -> int:
        left = self._estimate.seconds_left(item.output_tokens, item.run_seconds)
        return urgency(item.due_at_ms, milliseconds(self._clock.wall()), left)

    def _order(self, item: RunningItem) -> tuple[int, str, int]:
        return (self._urgency(item), item.job_id, item.index)

    def wake(self) -> None:
        """Look for room soon."""
        self._wakeup.set()

    def note_peers(self) -> None:
        """Peers have told something: a look is worth it only where this node has items."""
        if self._own.by_job:
            self._wakeup.set()

    def abandon(self) -> None:
        """Drop everything at once."""
        self.draining = True
        self._own.drop_all()

    # Starting

    def run(self) -> None:
        """Start items for ever, as there is room."""
        while True:
            self._wakeup.wait(START_INTERVAL if self._own.by_job else IDLE_INTERVAL)
            # A look that is due goes with what woke this node up; a timer would wake it up again.
            if (early := self._looked_at + LOOK_PAUSE - self._clock.monotonic()) > 0:
                gevent.sleep(early)
            self._wakeup.clear()
            self._looked_at = self._clock.monotonic()
            self._preemption.look()
            if not self.draining:
                self._start_items()

    def _waiting(self) -> list[RunningItem]:
        now = self._clock.monotonic()
        elsewhere = self._peers.running_at_leaving()
        waiting = [
            item
            for item in self._own.all()
            if not item.running
            and item.not_before <= now
            and (item.job_id, item.index) not in elsewhere
        ]
        return sorted(waiting, key=self._order)

    def _start_items(self) -> None:
        by_service: dict[str, list[RunningItem]] = {}
        for item in self._waiting():
            job = self._log.board.jobs.get(item.job_id)
            if job is not None:
                by_service.setdefault(self._service_of(job), []).append(item)
        for service, items in by_service.items():
            queue = self._zone_queue(items) / self._fleet.relaxed_slots(service)
            pressing = [item for item in items if self._is_pressing(item, queue)]
            self._start_those(pressing, service, pressing=True)
            self._start_those([one for one in items if not one.running], service, pressing=False)

    def _start_those(self, items: list[RunningItem], service: str, *, pressing: bool) -> None:
        """Start the most urgent of these, as far as there is room beside the other nodes' ones."""
        due = [self._urgency(item) for item in items]
        room = self._fleet.batch_room(service, pressing=pressing)
        # Items that have time stay in their zone, and rank among those of it.
        others = self._peers.waiting(None if pressing else self._identity.zone)
        count = startable(due, others, room)
        for item in items[:count]:
            if not self._start(item, service, pressing=pressing):
                break

    def _zone_queue(self, items: list[RunningItem]) -> int:
        """Items that wait in this zone, these here among them."""
        return len(items) + sum(count for _, count in self._peers.waiting(self._identity.zone))

    def _is_pressing(self, item: RunningItem, queue: float) -> bool:
        left = self._estimate.seconds_left(item.output_tokens, item.run_seconds)
        return is_pressing(item.due_at_ms, milliseconds(self._clock.wall()), left, queue)

    def _service_of(self, job: BoardJob) -> str:
        # The configuration in force decides, as it does for every other request.
        route = self._route_named(job.accepted.route)
        services = [one.service for one in route.targets] if route else []
        known = job.accepted.service
        return known if known in services or not services else services[0]

    def _start(self, item: RunningItem, service: str, *, pressing: bool) -> bool:
        excluded = [item.failed_engine] if item.failed_engine else []
        placement = self._fleet.place_batch(
            service, item.prompt_tokens, item.output_tokens, excluded, pressing=pressing
        )
        if placement is None:
            return False
        item.running = True
        item.preempted = item.told_to_go = False
        item.placement = placement
        item.started_at = self._clock.monotonic()
        gevent.spawn(self._run, item, placement)
        return True

    # Running

    def _run(self, item: RunningItem, placement: Placement) -> None:
        try:
            self._attempt(item, placement)
        except PostvalveError as error:
            self._note_failure(item, placement, error)
        finally:
            if item.answer is not None:
                item.answer.close()
                item.answer = None
            if item.guard is not None:
                item.guard.end()
            item.running = False
            item.placement = None
            item.run_seconds += self._clock.monotonic() - item.started_at
            self._fleet.leave(placement)
            self._wakeup.set()

    def _attempt(self, item: RunningItem, placement: Placement) -> None:
        job = self._log.board.jobs.get(item.job_id)
        if job is None or item.cancelled:
            return
        item_id = job.items[item.index].item_id
        req = self._jobs.item_request(job, item.index)
        named = [(one.name, one.value) for one in req.headers]
        guard = self._guard_of(item, job, req, named)
        guard.check()
        engine = placement.engine

        def wanted() -> bool:
            return self._fleet.takes_work(engine.life)

        if item.cancelled or not wanted():
            return
        headers = self._dialect.attempt_headers(
            self._dialect.item_headers(named, item_id, job.accepted.host),
            job.accepted.tenant,
            engine.engine_id,
            None,
            item.last_event_id,
        )
        data = request_bytes("POST", req.target, headers, req.body)
        deadline = self._clock.monotonic() + ITEM_TIME
        guard.begin(engine.life)
        answer = item.answer = self._pool.start(engine.address, data, deadline, wanted=wanted)
        if item.cancelled:
            answer.abort()
            return
        item.times = AttemptTimes(self._clock.monotonic())
        answer.read_head(EVENT_SILENCE)
        self._judge(item, placement, item_id, answer)
        if not item.cancelled and answer.status == 200:
            self._read_stream(item, answer)
            self._fleet.paces.note_end(placement, item.times)
            self._fleet.note_success(engine.life)
            guard.note_answered()
            self._complete(item)

    def _guard_of(
        self,
        item: RunningItem,
        job: BoardJob,
        req: gateway.ItemRequest,
        headers: list[tuple[str, str]],
    ) -> RequestGuard:
        if item.guard is None:
            item.guard = RequestGuard(
                self._quarantine,
                self._clock,
                self._events,
                job.items[item.index].item_id,
                lambda: self._dialect.identify(
                    job.accepted.tenant,
                    job.accepted.host,
                    "POST",
                    req.target,
                    req.body,
                    headers,
                ),
            )
        return item.guard

    def _judge(
        self, item: RunningItem, placement: Placement, item_id: str, answer: EngineAnswer
    ) -> None:
        judgement = self._dialect.judge(item_id, answer.status, answer.headers)
        paces = self._fleet.paces
        read_load(self._dialect, self._clock, paces, placement, judgement, answer.headers)
        life = placement.engine.life
        guard = item.guard
        if guard is not None and judgement in ANSWERS:
            guard.note_head()
        if guard is not None and judgement in (Judgement.FAILED, Judgement.HOPELESS):
            guard.note_engine_failed()
        if judgement is Judgement.ACCEPTED:
            return
        if judgement is Judgement.HOPELESS:
            self._end(item, ItemState.DEAD, b"")
            return
        if judgement is Judgement.FAILED:
            item.failures += 1
            job = self._log.board.jobs[item.job_id]
            if item.failures >= max(1, job.accepted.max_attempts):
                self._end(item, ItemState.DEAD, b"")
                return
            gevent.spawn(self._progress.save_failures, item)
            raise AttemptError(f"the item failed: {answer.status}", Verdict.RAN)
        if judgement is Judgement.REPLACED:
            self._fleet.note_replaced(life)
        verdict = Verdict.MAY_HAVE_RUN if judgement is Judgement.FOREIGN else Verdict.NOT_RUN
        raise AttemptError(f"the engine did not take it: {answer.status}", verdict)

    def _read_stream(self, item: RunningItem, answer: EngineAnswer) -> None:
        while True:
            event = answer.read_event(EVENT_SILENCE)
            if not event:
                return
            if item.cancelled or item.preempted:
                raise AttemptError("the attempt was ended", Verdict.MAY_HAVE_RUN)
            number = event_id_of(event)
            if number is None:
                continue
            self._note_event(item)
            if item.guard is not None:
                item.guard.note_event()
            item.events.append(event_data(event))
            item.last_event_id = number
            if not answer.has_event():
                gevent.sleep(READ_PAUSE)

    def _note_event(self, item: RunningItem) -> None:
        times, placement = item.times, item.placement
        times.note_event(self._clock.monotonic())
        if placement is None:
            return
        self._fleet.note_read(placement)
        if times.events == 1:
            self._fleet.paces.note_first_event(placement, times.first_event)

    def _note_failure(self, item: RunningItem, placement: Placement, error: PostvalveError) -> None:
        if item.cancelled:
            return
        if isinstance(error, QuarantinedError):
            item.not_before = self._clock.monotonic() + min(error.seconds, QUARANTINE_LOOK)
            return
        life = placement.engine.life
        if item.guard is not None:
            item.guard.note_failure(error)
        if item.preempted:
            self._fleet.paces.note_end(placement, item.times, whole=False)
            self._events.emit(
                Event.ROUTED_ITEM_PREEMPTED,
                job=item.job_id,
                item=item.index,
                engine=life,
                events=len(item.events),
            )
            return
        item.failed_engine = life
        item.not_before = self._clock.monotonic() + FAILED_PAUSE
        gevent.spawn_later(FAILED_PAUSE, self._forgive, item)
        refused = item.answer is not None and error.verdict is Verdict.NOT_RUN
        if isinstance(error, AttemptError) and error.verdict is not Verdict.RAN and not refused:
            # It gave no answer, or one that can't be trusted.
            self._fleet.note_failure(life, error.message)
        self._events.emit(
            Event.ROUTED_ITEM_FAILED,
            job=item.job_id,
            item=item.index,
            engine=life,
            events=len(item.events),
            failures=item.failures,
            verdict=error.verdict.value,
            directory_age=round(self._fleet.directory_age(), 3),
            digest=item.guard.identity.digest.hex() if item.guard else "",
            error=error.message,
        )

    def _forgive(self, item: RunningItem) -> None:
        # Where the failed engine is the only one with room, it is tried again.
        item.failed_engine = None
        self._wakeup.set()

    def _complete(self, item: RunningItem) -> None:
        if not item.cancelled:
            self._estimate.observe(item.seconds_run(self._clock.monotonic()), item.output_tokens)
            self._end(item, ItemState.COMPLETED, b"\n".join(item.events))

    def _end(self, item: RunningItem, state: ItemState, text: bytes) -> None:
        self._own.remove(item)
        self._progress.forget(item)
        ended = load_report.RunningItem(job_id=item.job_id, item_index=item.index)
        self._ended_lately.append((self._clock.monotonic(), ended))
        completed = state == ItemState.COMPLETED
        packed = pack_text(text) if completed else b""
        self._ends.add(EndedItem(item.job_id, item.index, item.claim_id, state, packed))
        outcome = "completed" if completed else "dead"
        self._metrics.items.labels(outcome).inc()
        self._events.emit(
            Event.ROUTED_ITEM_ENDED,
            job=item.job_id,
            item=item.index,
            outcome=outcome,
            seconds=round(item.seconds_run(self._clock.monotonic()), 3),
            late=round(self._clock.wall() - item.due_at_ms / 1000, 2),
        )

    def give_up_old(self) -> None:
        """End items that may be given up and can't be run, for ever."""
        while True:
            gevent.sleep(1.0)
            now_ms = milliseconds(self._clock.wall())
            for job_id, items in list(self._own.by_job.items()):
                job = self._log.board.jobs.get(job_id)
                if job is None or now_ms < job.accepted.give_up_at_ms + GIVE_UP_MARGIN_MS:
                    continue
                for item in list(items.values()):
                    if not item.running:
                        self._end(item, ItemState.DEAD, b"")
