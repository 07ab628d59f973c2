"""Runs batch items at the engines that this node owns, in slots not used by online work."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

import gevent

from postvalve.core.routing.prefix import cache_salt
from postvalve.events import Event
from postvalve.exceptions import (
    AttemptError,
    EngineRejectedError,
    PeerUnavailableError,
    PlatformError,
    Verdict,
)
from postvalve.messages.generated import peer
from postvalve.node.background import BackgroundTasks
from postvalve.node.batch.completion import join_events
from postvalve.node.batch.holder import BatchHolder
from postvalve.node.batch.item_reports import ItemReports
from postvalve.node.context import NodeContext
from postvalve.node.engine_registry import EngineRegistry, OwnedEngine
from postvalve.node.membership_service import MembershipService
from postvalve.node.online.admission import ONLINE_PRIORITY
from postvalve.node.peer_link import Channel
from postvalve.services.engine import EngineAttempt, EngineStream
from postvalve.states import TrafficClass

PULL_TIMEOUT = 5.0
"""Seconds to wait for a holder's reply to a pull."""
MAX_UNREPORTED_ITEMS = 256
"""Finished items in memory, not yet reported, at which this node stops pulling."""
FAILED_ENGINE_BACKOFF = 1.0
"""Seconds without pulls for an engine after a failed attempt at it."""


@dataclass(frozen=True, slots=True)
class UnansweredPull:
    """A pull without a reply; the lost reply may have assigned items."""

    engine_id: str
    holder_address: str


@dataclass(slots=True)
class RunningItem:
    """An item assigned to this node, running or paused."""

    assignment: peer.ItemAssignment
    engine_id: str
    events: list[bytes] = field(default_factory=list)
    model_version: str = ""
    attempts: int = 0
    stream: EngineStream | None = None
    preempted: bool = False
    cancelled: bool = False

    @property
    def engine_attempt_id(self) -> str:
        """Id of the current attempt at the engine."""
        return f"{self.assignment.attempt_id}.{self.attempts}"


class BatchRunner:
    """Pulls items for the owned engines, runs them and reports their outcomes."""

    def __init__(
        self,
        context: NodeContext,
        membership: MembershipService,
        registry: EngineRegistry,
        holder: BatchHolder,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._metrics = context.metrics
        self._transport = context.transport
        self._membership = membership
        self._registry = registry
        self._holder = holder
        self._held_attempts: dict[str, set[str]] = {}
        """Attempt ids by engine, from the pull until the report is accepted."""
        self._unanswered: dict[UnansweredPull, None] = {}
        self._running: dict[str, RunningItem] = {}
        self._paused: dict[str, list[RunningItem]] = {}
        self._pulling: set[str] = set()
        self._backoff_until: dict[str, float] = {}
        self._reports = ItemReports(context, membership, holder)
        self._draining = False
        registry.add_preemption_listener(self.preempt)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start to pull items, at intervals and whenever new work is announced."""
        self._membership.add_work_listener(self.pull_all)
        tasks.every(self._settings.timing.pull_interval, self.pull_all)

    @property
    def in_progress(self) -> int:
        """Number of items that run, are paused or wait to be reported."""
        paused = sum(len(items) for items in self._paused.values())
        return len(self._running) + paused + self._reports.pending

    def drain(self) -> None:
        """Stop pulling; paused items are still resumed where slots are free."""
        self._draining = True

    def pull_all(self) -> None:
        """Fill the free slots of every owned engine."""
        for pull in list(self._unanswered):
            if pull.engine_id not in self._pulling:
                self._pulling.add(pull.engine_id)
                gevent.spawn(self._confirm_received, pull)
        for engine in self._registry.usable_engines():
            self._schedule_fill(engine)
        self._return_unowned_items()

    def _confirm_received(self, pull: UnansweredPull) -> None:
        """Send a holder the attempts held here, so that it requeues those lost with a reply."""
        request = self._pull_request(pull.engine_id, [], 0)
        addresses = {member.peer_address for member in self._membership.view.members()}
        try:
            if pull.holder_address in addresses:
                self._transport.call(pull.holder_address, Channel.BATCH, request, PULL_TIMEOUT)
            self._unanswered.pop(pull, None)
        except PeerUnavailableError:
            return
        finally:
            self._pulling.discard(pull.engine_id)

    def _pull_request(self, engine_id: str, models: list[str], slots: int) -> peer.ItemPull:
        return peer.ItemPull(
            node_id=self._settings.node_id,
            incarnation=self._membership.incarnation,
            engine_id=engine_id,
            models=models,
            slots=slots,
            held_attempts=sorted(self._held_attempts.get(engine_id, ())),
        )

    def _schedule_fill(self, engine: OwnedEngine) -> None:
        engine_id = engine.machine.machine_id
        if engine_id not in self._pulling:
            self._pulling.add(engine_id)
            gevent.spawn(self._fill, engine)

    def _fill(self, engine: OwnedEngine) -> None:
        try:
            self._resume_paused(engine)
            # Slots freed during a pull are filled by the next one.
            while self._may_pull(engine) and self._pull(engine):
                pass
        finally:
            self._pulling.discard(engine.machine.machine_id)

    def _may_pull(self, engine: OwnedEngine) -> bool:
        now = self._clock.monotonic()
        backoff_over = self._backoff_until.get(engine.machine.machine_id, 0.0) <= now
        below_report_limit = self._reports.pending < MAX_UNREPORTED_ITEMS
        return engine.usable and backoff_over and below_report_limit and not self._draining

    def _resume_paused(self, engine: OwnedEngine) -> None:
        paused = self._paused.get(engine.machine.machine_id, [])
        while paused and engine.slots.batch_capacity(self._clock.monotonic()) > 0:
            self._start_item(engine, paused.pop(0))

    def _return_unowned_items(self) -> None:
        """Return the paused items of engines that this node no longer owns to their holders."""
        owned = {engine.machine.machine_id for engine in self._registry.usable_engines()}
        for engine_id in [engine_id for engine_id in self._paused if engine_id not in owned]:
            for item in self._paused.pop(engine_id):
                self._send_report(item, _interrupted_outcome(item), 0, b"")

    def _pull(self, engine: OwnedEngine) -> bool:
        """Start items of the first holder that has some, and return whether there were any."""
        capacity = engine.slots.batch_capacity(self._clock.monotonic())
        if capacity < 1:
            return False
        engine_id = engine.machine.machine_id
        request = self._pull_request(engine_id, self._served_models(engine), capacity)
        for address in self._holders_with_work(set(request.models)):
            assignments = self._pull_from(address, request)
            for assignment in assignments:
                item = RunningItem(assignment, engine.machine.machine_id)
                self._held_attempts.setdefault(item.engine_id, set()).add(assignment.attempt_id)
                self._start_item(engine, item)
            if assignments:
                return True
        return False

    def _served_models(self, engine: OwnedEngine) -> list[str]:
        pools = self._registry.pools_of(engine.machine)
        allowed = set(pools[0].models) if pools else set()
        return sorted(model for model in engine.load.models if model.partition(":")[0] in allowed)

    def _holders_with_work(self, models: set[str]) -> list[str]:
        """Return the peer addresses of holders with waiting items, in order of preference.

        Nodes of the same zone come first, and within a zone those with the most waiting items.
        The empty address stands for this node, which comes last of its own zone.
        """
        found: list[tuple[bool, int, str]] = []
        if models & set(self._holder.waiting_by_model()):
            found.append((False, 0, ""))
        for member in self._membership.view.members():
            waiting = sum(batch.items for batch in member.summary.pending if batch.model in models)
            if waiting and member.node_id != self._settings.node_id:
                is_remote_zone = member.zone != self._settings.zone
                found.append((is_remote_zone, -waiting, member.peer_address))
        return [address for _, _, address in sorted(found)]

    def _pull_from(self, address: str, request: peer.ItemPull) -> list[peer.ItemAssignment]:
        if not address:
            return self._holder.pull(request)
        try:
            reply = self._transport.call(address, Channel.BATCH, request, PULL_TIMEOUT)
        except PeerUnavailableError:
            self._unanswered[UnansweredPull(request.engine_id, address)] = None
            return []
        return reply.items if isinstance(reply, peer.ItemPullReply) else []

    def _start_item(self, engine: OwnedEngine, item: RunningItem) -> None:
        item.attempts += 1
        item.preempted = False
        now = self._clock.monotonic()
        assignment = item.assignment
        if not engine.slots.admit_batch(item.engine_attempt_id, assignment.rank, now):
            # Online work took the slot while the item was in transit.
            self._pause(engine, item)
            return
        self._running[item.engine_attempt_id] = item
        gevent.spawn(self._run, engine, item)

    def _pause(self, engine: OwnedEngine, item: RunningItem) -> None:
        self._paused.setdefault(engine.machine.machine_id, []).append(item)

    def _run(self, engine: OwnedEngine, item: RunningItem) -> None:
        attempt_id = item.engine_attempt_id
        try:
            self._read_stream(engine, item)
            outcome = peer.ItemOutcome.ITEM_OUTCOME_COMPLETED
            self._end(item, outcome, 200, join_events(item.events))
        except EngineRejectedError as error:
            body = json.dumps({"error": {"message": error.message}}).encode("utf-8")
            self._end(item, peer.ItemOutcome.ITEM_OUTCOME_FAILED, error.http_status, body)
        except AttemptError as error:
            self._handle_attempt_error(engine, item, error)
        finally:
            if item.stream is not None:
                item.stream.close()
            self._running.pop(attempt_id, None)
            self._registry.release(engine.machine.machine_id, attempt_id)
            self._schedule_fill(engine)

    def _read_stream(self, engine: OwnedEngine, item: RunningItem) -> None:
        assignment = item.assignment
        item.stream = engine.connection.open(
            EngineAttempt(
                attempt_id=item.engine_attempt_id,
                request_id=f"chatcmpl-{assignment.attempt_id}",
                body=_as_streamed(assignment.request_body),
                priority=ONLINE_PRIORITY + 1 + assignment.rank,
                cache_salt=cache_salt(assignment.tenant),
                resume_offset=len(item.events),
            ),
            batch=True,
        )
        if item.events and item.stream.model_version != item.model_version:
            item.events.clear()
            raise AttemptError("model version changed before the resume", Verdict.MAY_HAVE_RUN)
        item.model_version = item.stream.model_version
        if item.preempted or item.cancelled:
            raise AttemptError("interrupted", Verdict.MAY_HAVE_RUN)
        for event in item.stream.events():
            item.events.append(event)

    def _handle_attempt_error(
        self, engine: OwnedEngine, item: RunningItem, error: AttemptError
    ) -> None:
        if item.cancelled:
            return
        if item.preempted:
            self._metrics.attempts.labels(TrafficClass.BATCH.value, "preempted").inc()
            self._pause(engine, item)
            return
        engine_id = engine.machine.machine_id
        self._metrics.record_failed_attempt(TrafficClass.BATCH, error)
        self._events.emit(
            Event.ATTEMPT_FAILED,
            engine=engine_id,
            attempt=item.engine_attempt_id,
            verdict=error.verdict.value,
            error=error.message,
        )
        self._backoff_until[engine_id] = self._clock.monotonic() + FAILED_ENGINE_BACKOFF
        outcome = _interrupted_outcome(item)
        if error.verdict is Verdict.MAY_HAVE_RUN:
            outcome = peer.ItemOutcome.ITEM_OUTCOME_MAY_HAVE_RUN
        self._end(item, outcome, 0, b"")

    def _end(self, item: RunningItem, outcome: peer.ItemOutcome, status: int, body: bytes) -> None:
        if not item.cancelled:
            self._send_report(item, outcome, status, body)

    def _send_report(
        self, item: RunningItem, outcome: peer.ItemOutcome, status: int, body: bytes
    ) -> None:
        report = peer.ItemReport(
            job_id=item.assignment.job_id,
            item_index=item.assignment.item_index,
            attempt_id=item.assignment.attempt_id,
            outcome=outcome,
            status_code=status,
            response_body=body,
        )
        self._reports.send(
            report,
            still_needed=lambda: not item.cancelled,
            on_end=lambda: self._drop_held_attempt(item),
        )

    def _drop_held_attempt(self, item: RunningItem) -> None:
        self._held_attempts.get(item.engine_id, set()).discard(item.assignment.attempt_id)

    def preempt(self, engine_id: str, attempt_ids: tuple[str, ...]) -> None:
        """Abort attempts that lost their slots to online work, and pause their items."""
        connection = None
        for engine in self._registry.usable_engines():
            if engine.machine.machine_id == engine_id:
                connection = engine.connection
        for attempt_id in attempt_ids:
            item = self._running.get(attempt_id)
            if item is None:
                continue
            item.preempted = True
            self._metrics.preemptions.inc()
            self._events.emit(Event.ITEM_PREEMPTED, engine=engine_id, attempt=attempt_id)
            self._stop_stream(item)
            if connection is not None:
                gevent.spawn(_cancel_best_effort, connection.cancel, attempt_id)

    def cancel_job(self, job_id: str) -> None:
        """Abort the running items of a cancelled job, and drop its paused ones."""
        for items in self._paused.values():
            for item in [item for item in items if item.assignment.job_id == job_id]:
                items.remove(item)
                self._drop_held_attempt(item)
        for item in list(self._running.values()):
            if item.assignment.job_id == job_id:
                item.cancelled = True
                self._drop_held_attempt(item)
                self._stop_stream(item)

    @staticmethod
    def _stop_stream(item: RunningItem) -> None:
        if item.stream is not None:
            item.stream.abort()


def _interrupted_outcome(item: RunningItem) -> peer.ItemOutcome:
    # An item that produced events did run, which matters if it must run at most once.
    if item.events and item.assignment.at_most_once:
        return peer.ItemOutcome.ITEM_OUTCOME_MAY_HAVE_RUN
    return peer.ItemOutcome.ITEM_OUTCOME_NOT_RUN


def _as_streamed(body: bytes) -> bytes:
    document = json.loads(body)
    document["stream"] = True
    return json.dumps(document).encode("utf-8")


def _cancel_best_effort(cancel: object, attempt_id: str) -> None:
    assert callable(cancel)
    try:
        cancel(attempt_id)
    except PlatformError:
        # Closing the stream's connection stops the attempt too, a little later.
        return
