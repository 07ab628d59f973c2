"""Attempts of items at engines: sends requests, reads responses, and handles how attempts end."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol, TypeVar

import gevent
import xxhash

from postvalve.clock import Clock
from postvalve.core.admission.quarantine import FATAL_START_TIME
from postvalve.core.batch.item_end import ItemState
from postvalve.core.batch.item_order import DurationEstimate
from postvalve.core.batch.job_board import BoardJob
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.events import Event, EventLog
from postvalve.exceptions import (
    AnswerTooLargeError,
    AttemptError,
    EngineDisconnectedError,
    EngineNotListeningError,
    EngineUnconfirmedError,
    NotFoundError,
    PostvalveError,
    PromptPartHeldError,
    QuarantinedError,
    Verdict,
)
from postvalve.gateway.engines.engine_answer import EngineAnswer
from postvalve.gateway.engines.engine_connections import ConnectionPool, request_bytes
from postvalve.gateway.engines.event_stream import event_data, event_id_of
from postvalve.gateway.engines.quarantine_guard import QuarantineGuard
from postvalve.gateway.engines.quarantine_services import QuarantineServices
from postvalve.gateway.engines.run_watch import EngineReports, RunWatch
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.listed_engines import CONFIRM_TIMEOUT
from postvalve.gateway.fleet.load_reading import read_load
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.interfaces import Dialect, Judgement
from postvalve.gateway.jobs.failure_counts import FailureCounts
from postvalve.gateway.jobs.item_ends import ItemEnds
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.job_service import JobService, UnreadableRequestError
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.messages.generated import gateway

EVENT_TIMEOUT = 2.0
"""Seconds without a byte after which an engine is asked for the run."""
READ_INTERVAL = 0.08
"""Seconds between reads of one stream, during which events accumulate."""
RETRY_DELAY = 0.3
"""Seconds before an item whose attempt failed is tried again."""
CRASH_RETRY_SPREAD = 2.0
"""Further seconds, of which an item waits a part of its own after its engine has disconnected:
items under which engines crash must not start again all at the same moment."""
MAX_CRASH_DELAY = 8.0
"""Largest further delay, in seconds, if engines have disconnected several times in a row as the
item began; it doubles from one second on."""
MAX_RETRY_DELAY = 10.0
"""Largest delay, in seconds, before an item is tried again whose failures can't be told to be due
to an engine."""
QUARANTINE_RECHECK_INTERVAL = 5.0
"""Seconds after which a quarantined item is checked again, since its quarantine may have been
cleared."""
ENGINE_JUDGEMENTS = frozenset((Judgement.ACCEPTED, Judgement.FAILED, Judgement.HOPELESS))
"""Judgements that only the engine itself can have caused."""
MIN_PROOF_WAIT = 5.0
"""Seconds that an item waits at least for a read that shows the version of its engines, before it
begins again."""
ATTEMPT_TIMEOUT = 120.0
"""Seconds that one attempt may take."""

Result = TypeVar("Result")


class UnexpectedStatusError(AttemptError):
    """An engine answered an item with a failure that is neither a failed attempt nor hopeless.

    It may be due to the engine or to the item, so neither is blamed.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"item failed with status {status}", Verdict.RAN)


class Reader(Protocol):
    """Reads a part of an answer with the method of `EngineAnswer` that is passed."""

    def __call__(self, read: Callable[[float], Result], /) -> Result:
        """Return what the method returns."""
        ...


class ItemAttempts:
    """Runs an item at an engine until it ends, is preempted or fails."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        log: JobLog,
        jobs: JobService,
        fleet: EngineFleet,
        pool: ConnectionPool,
        dialect: Dialect,
        ends: ItemEnds,
        failures: FailureCounts,
        quarantine: QuarantineServices,
        estimate: DurationEstimate,
        wake: Callable[[], None],
    ) -> None:
        """Set up; `wake` is called when an item may be started again or a slot is free."""
        self._clock = clock
        self._events = events
        self._log = log
        self._jobs = jobs
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._ends = ends
        self._failures = failures
        self._quarantine = quarantine
        self._estimate = estimate
        self._wake = wake
        self.restart: Callable[[RunningItem], None] = RunningItem.restart
        """Called to let an item begin again, as nobody knows which version made its events."""
        self.engine_reports: EngineReports | None = None
        """What engines tell of their runs; None if a silent one isn't asked."""
        self._active: dict[int, RunningItem] = {}
        """Items of attempts that have not ended, by object id."""

    def active(self) -> list[RunningItem]:
        """Return the items of all attempts that have not ended."""
        return list(self._active.values())

    def start(self, item: RunningItem, placement: Placement) -> None:
        """Run an item in a greenlet of its own; see `run`."""
        self._active[id(item)] = item
        gevent.spawn(self.run, item, placement)

    def run(self, item: RunningItem, placement: Placement) -> None:
        """Run an item that was already counted at an engine, and uncount it afterwards."""
        occupied_slot = True
        # Discards the times of the previous attempt, at another engine, before this request is
        # sent.
        item.times = AttemptTimes(self._clock.monotonic())
        try:
            occupied_slot = self._run_once(item, placement)
        except Exception as exc:  # without a delay it would be repeated at once
            self._record_defect(item, exc)
        finally:
            self._finish(item, placement, occupied_slot=occupied_slot)

    def _run_once(self, item: RunningItem, placement: Placement) -> bool:
        """Run an item and handle expected failures; returns whether it occupied a slot."""
        try:
            self._attempt(item, placement)
        except PostvalveError as error:
            self._record_failure(item, placement, error)
            return error.verdict is not Verdict.NOT_RUN
        return True

    def _finish(self, item: RunningItem, placement: Placement, *, occupied_slot: bool) -> None:
        self._fleet.release(placement)
        try:
            if item.answer is not None:
                item.answer.close()
            if item.guard is not None:
                item.guard.end()
        except Exception as exc:  # the item must be startable again
            self._record_defect(item, exc)
        item.answer = None
        self._active.pop(id(item), None)
        item.running = False
        item.placement = None
        seconds = self._clock.monotonic() - item.started_at
        item.run_seconds += seconds
        if occupied_slot:
            self._ends.record_run(item, seconds)
        self._wake()

    def _attempt(self, item: RunningItem, placement: Placement) -> None:
        job = self._log.board.jobs.get(item.job_id)
        if job is None or item.cancelled:
            return
        item_id = job.items[item.index].item_id
        req = self._jobs.item_request(job, item.index)
        header_pairs = [(header.name, header.value) for header in req.headers]
        guard = self._guard_of(item, job, req, header_pairs, placement.engine.service)
        guard.check()
        engine = placement.engine

        if item.cancelled or not self._fleet.takes_work(engine.life):
            return

        def still_usable() -> bool:
            # An item that is preempted before its request was sent has no response to abort yet.
            return not item.preempted and self._fleet.takes_work(engine.life)

        self._check_origin(item)
        send_request = self._pool.send_request
        if item.last_event_id is not None:
            check = partial(self._fleet.check_may_continue, engine)
            send_request = partial(send_request, check_connection=check)
        headers = self._dialect.attempt_headers(
            self._dialect.item_headers(header_pairs, item_id, job.accepted.host),
            job.accepted.tenant,
            engine.engine_id,
            None,
            item.last_event_id,
        )
        data = request_bytes("POST", req.target, headers, req.body)
        deadline = self._clock.monotonic() + ATTEMPT_TIMEOUT
        guard.begin(engine.life)
        answer = item.answer = send_request(
            engine.address,
            item_id,
            lambda: data,
            deadline,
            still_usable=still_usable,
            may_be_empty=item.last_event_id is not None,
        )
        if item.cancelled:
            answer.abort()
            return
        if item.preempted:
            answer.abort()
            raise AttemptError("attempt aborted: item cancelled or preempted", Verdict.MAY_HAVE_RUN)
        item.times = AttemptTimes(self._clock.monotonic())
        read = self._reader(placement, item_id, answer)
        read(answer.read_head)
        self._judge(item, placement, item_id, answer)
        evidence = self._fleet.evidence(engine, answer.answered_at)
        if item.last_event_id is None:
            item.evidence = evidence
        elif not self._fleet.await_proof(evidence, CONFIRM_TIMEOUT):
            raise EngineUnconfirmedError(
                "the version that answered is not confirmed", Verdict.MAY_HAVE_RUN
            )
        if not item.cancelled and answer.status == 200:
            self._read_stream(item, answer, read)
            self._fleet.paces.record_end(placement, item.times)
            self._fleet.record_success(engine.life)
            guard.record_answer()
            self._complete(item)

    def _check_origin(self, item: RunningItem) -> None:
        """Check that the version which made an item's events is known; if it can't be, drop them.

        Raises:
            EngineUnconfirmedError: A read of the directory may still show it.
        """
        evidence = item.evidence
        if item.last_event_id is None or evidence is None:
            return
        if not self._fleet.await_proof(evidence, CONFIRM_TIMEOUT):
            if not evidence.is_refuted:
                raise EngineUnconfirmedError("the item's version is not confirmed", Verdict.NOT_RUN)
            self.restart(item)

    def _guard_of(
        self,
        item: RunningItem,
        job: BoardJob,
        req: gateway.ItemRequest,
        headers: list[tuple[str, str]],
        service: str,
    ) -> QuarantineGuard:
        if item.guard is None:
            item.guard = QuarantineGuard(
                self._quarantine,
                job.items[item.index].item_id,
                lambda: self._dialect.identify(
                    job.accepted.tenant,
                    job.accepted.host,
                    "POST",
                    req.target,
                    req.body,
                    headers,
                ),
                lambda: self._dialect.identify_parts(job.accepted.tenant, service, headers),
                is_item=True,
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
        if guard is not None and judgement in ENGINE_JUDGEMENTS:
            guard.record_head()
        if guard is not None and judgement in (Judgement.FAILED, Judgement.HOPELESS):
            guard.record_engine_failure()
        item.is_answered = judgement in ENGINE_JUDGEMENTS
        if judgement is Judgement.ACCEPTED:
            if answer.status != 200:
                raise AttemptError(f"no stream: status {answer.status}", Verdict.MAY_HAVE_RUN)
            item.unheard_runs = 0
            return
        if judgement is Judgement.HOPELESS:
            self._ends.end(item, ItemState.DEAD)
            return
        if judgement is Judgement.FAILED and not self._dialect.is_failed_attempt(answer.status):
            raise UnexpectedStatusError(answer.status)
        if judgement is Judgement.FAILED:
            self._failures.record(item)
            if item.cancelled:
                return
            raise AttemptError(f"item failed with status {answer.status}", Verdict.RAN)
        if judgement is Judgement.FOREIGN:
            answer.reject()
        if judgement is Judgement.REPLACED:
            self._fleet.record_replaced(life)
        verdict = Verdict.MAY_HAVE_RUN if judgement is Judgement.FOREIGN else Verdict.NOT_RUN
        raise AttemptError(f"engine did not accept the item: status {answer.status}", verdict)

    def _reader(self, placement: Placement, item_id: str, answer: EngineAnswer) -> Reader:
        """Return what reads a part of the answer, for as long as its engine has the run."""
        if self.engine_reports is None:
            return lambda read: read(EVENT_TIMEOUT)
        engine = placement.engine
        # An item that has not begun waits here rather than at an engine.
        watch = RunWatch(self.engine_reports, engine.life, engine.address, item_id, lambda: True)
        return lambda read: watch.read(answer, read, EVENT_TIMEOUT)

    def _read_stream(self, item: RunningItem, answer: EngineAnswer, read: Reader) -> None:
        left = self._pool.limits.body
        while True:
            event = read(answer.read_event)
            if not event:
                return
            left -= len(event)
            if left < 0:
                self._pool.on_oversized("body")
                raise AnswerTooLargeError("the item's events are too many", Verdict.MAY_HAVE_RUN)
            if item.cancelled or item.preempted:
                raise AttemptError(
                    "attempt aborted: item cancelled or preempted", Verdict.MAY_HAVE_RUN
                )
            number = event_id_of(event)
            if number is None:
                continue
            self._record_event(item)
            if item.guard is not None:
                item.guard.record_event()
            if item.version is None and item.placement is not None:
                item.version = item.placement.engine.version
            item.events.append(event_data(event))
            item.last_event_id = number
            if not answer.has_event():
                gevent.sleep(READ_INTERVAL)

    def _record_event(self, item: RunningItem) -> None:
        times, placement = item.times, item.placement
        item.version_missed_at = item.unconfirmed_since = None
        self._fleet.paces.record_event(times)
        if placement is None:
            return
        self._fleet.record_prompt_read(placement)
        if times.events == 1:
            self._fleet.paces.record_first_event(placement, times.first_event)

    def _record_failure(
        self, item: RunningItem, placement: Placement, error: PostvalveError
    ) -> None:
        if item.cancelled:
            return
        item.quarantined = isinstance(error, (QuarantinedError, PromptPartHeldError))
        if isinstance(error, (QuarantinedError, PromptPartHeldError)):
            item.not_before = self._clock.monotonic() + min(
                error.seconds, QUARANTINE_RECHECK_INTERVAL
            )
            return
        if isinstance(error, (NotFoundError, UnreadableRequestError, UnexpectedStatusError)):
            self._put_off(item)
            self._log_failure(item, placement, error)
            return
        life = placement.engine.life
        item.retry_delay = 0.0
        item.unheard_runs += error.verdict is Verdict.MAY_HAVE_RUN and not item.is_answered
        if item.guard is not None:
            item.guard.record_failure(error)
        if item.preempted:
            self._fleet.paces.record_end(placement, item.times, complete=False)
            self._log_preempted(item, life)
            return
        if isinstance(error, EngineUnconfirmedError):
            self._await_proof(item)
            self._log_failure(item, placement, error)
            return
        item.failed_engine = life
        item.not_before = self._clock.monotonic() + RETRY_DELAY + self._crash_delay(item, error)
        gevent.spawn_later(RETRY_DELAY, self._clear_failed_engine, item)
        refused = item.answer is not None and error.verdict is Verdict.NOT_RUN
        if isinstance(error, AttemptError) and error.verdict is not Verdict.RAN and not refused:
            # The engine gave no response, or one that can't be trusted.
            not_listening = isinstance(error, EngineNotListeningError)
            self._fleet.record_failure(life, error.message, not_listening=not_listening)
        self._log_failure(item, placement, error)

    def _await_proof(self, item: RunningItem) -> None:
        """Try an item again later, or anew once it has waited as long as its text took."""
        now = self._clock.monotonic()
        item.not_before = now + RETRY_DELAY
        if item.unconfirmed_since is None:
            item.unconfirmed_since = now
        elif now - item.unconfirmed_since >= max(MIN_PROOF_WAIT, item.run_seconds):
            self.restart(item)

    def _crash_delay(self, item: RunningItem, error: PostvalveError) -> float:
        """Return the further seconds that an item waits, if its engine has disconnected."""
        if not isinstance(error, EngineDisconnectedError):
            return 0.0
        times = item.times
        if times.events and self._clock.monotonic() - times.first_at >= FATAL_START_TIME:
            item.crashes = 0
            return 0.0
        item.crashes += 1
        longer = min(MAX_CRASH_DELAY, 2.0 ** (item.crashes - 2)) if item.crashes > 1 else 0.0
        return longer + (0.0 if times.events else CRASH_RETRY_SPREAD * _spread(item))

    def _put_off(self, item: RunningItem) -> None:
        """Try an item again later, and later each time: no engine may be to blame."""
        item.quarantined = False
        item.retry_delay = min(MAX_RETRY_DELAY, max(RETRY_DELAY, item.retry_delay * 2))
        item.not_before = self._clock.monotonic() + item.retry_delay

    def _record_defect(self, item: RunningItem, exc: Exception) -> None:
        self._events.emit(
            Event.ITEM_ATTEMPT_BROKE,
            job=item.job_id,
            item=item.index,
            ended=item.cancelled,
            error=repr(exc),
        )
        if not item.cancelled:
            self._put_off(item)

    def _log_failure(self, item: RunningItem, placement: Placement, error: PostvalveError) -> None:
        self._events.emit(
            Event.ROUTED_ITEM_FAILED,
            job=item.job_id,
            item=item.index,
            engine=placement.engine.life,
            events=len(item.events),
            failures=item.failures,
            verdict=error.verdict.value,
            directory_age=round(self._fleet.directory_age(), 3),
            digest=item.guard.identity.digest.hex() if item.guard else "",
            error=error.message,
        )

    def _log_preempted(self, item: RunningItem, life: EngineLife) -> None:
        now = self._clock.monotonic()
        use = self._fleet.use.total(life)
        self._events.emit(
            Event.ROUTED_ITEM_PREEMPTED,
            job=item.job_id,
            item=item.index,
            engine=life,
            cause=item.preempted_by,
            ran=round(now - item.started_at, 3),
            left=round(self._estimate.seconds_left(item.output_tokens, item.seconds_run(now)), 3),
            events=len(item.events),
            online=use.online,
            batch=use.batch,
        )

    def _clear_failed_engine(self, item: RunningItem) -> None:
        # If the failed engine is the only one with free slots, it is tried again.
        item.failed_engine = None
        self._wake()

    def _complete(self, item: RunningItem) -> None:
        if not item.cancelled:
            self._estimate.observe(item.seconds_run(self._clock.monotonic()), item.output_tokens)
            self._ends.end(item, ItemState.COMPLETED, b"\n".join(item.events))


def _spread(item: RunningItem) -> float:
    """Return a fraction from 0 to 1 that is the same for an item at all times."""
    return xxhash.xxh32_intdigest(f"{item.job_id} {item.index}".encode()) / 2**32
