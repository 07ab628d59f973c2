"""One routed request: its attempts at engines, one after the other, and its response."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TypeVar

import gevent

from postvalve.clock import Clock
from postvalve.core.admission.callers import Caller
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.known_facts import VersionEvidence
from postvalve.core.routing.stream_origins import MAX_TIME
from postvalve.events import Event, EventLog
from postvalve.exceptions import (
    AttemptError,
    ClientGoneError,
    EngineNotListeningError,
    EngineUnconfirmedError,
    GivenUpError,
    PostvalveError,
    PromptPartHeldError,
    RefusedError,
    RequestExpiredError,
    StreamVersionUnknownError,
    Verdict,
)
from postvalve.gateway.engines.engine_answer import EngineAnswer
from postvalve.gateway.engines.engine_connections import ConnectionPool, request_bytes
from postvalve.gateway.engines.event_stream import event_id_of
from postvalve.gateway.engines.quarantine_guard import QuarantineGuard
from postvalve.gateway.engines.quarantine_services import QuarantineServices
from postvalve.gateway.engines.run_watch import EngineReports, RunWatch
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.listed_engines import CONFIRM_TIMEOUT
from postvalve.gateway.fleet.load_reading import read_load
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.fleet.stream_versions import (
    PROOF_TIMEOUT,
    UNKNOWN_RETRY_AFTER,
    StreamVersions,
    TakenUpStream,
)
from postvalve.gateway.interfaces import Dialect, EngineEntry, Headers, Judgement, RequestTerms
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.gateway.serving.admission_queue import AdmissionQueue
from postvalve.gateway.serving.caller_accounts import RequestAccount
from postvalve.gateway.serving.fair_shares import RequestShare
from postvalve.gateway.serving.pace_observer import PaceObserver
from postvalve.gateway.serving.retry_policy import (
    FAIL_OVER_EARLY_TRIES,
    REFUSAL_BACKOFF,
    AttemptProgress,
    RetryPolicy,
)
from postvalve.gateway.serving.tenant_credit import TenantCredit
from postvalve.settings.routes import RepeatPolicy, RouteSpec

Result = TypeVar("Result")

FIRST_EVENT_TIMEOUT = 2.0
"""Seconds without a byte before the first event after which an engine is asked for the run."""
EVENT_TIMEOUT = 1.0
"""Seconds without a byte between events after which an engine is asked for the run."""
MAX_REFUSED_CONNECTIONS = 32
"""Refused connections of one request after which it pauses before the next ones. Where very many
engines are gone at once, requests must not take all of a node's time."""
OVERLOAD_RETRY_AFTER = 0.5
"""Retry-After in seconds when no engine takes a request."""
MAX_LOGGED_ID = 80
"""Most characters of the id of an earlier attempt in a log line."""


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A client's request with what was decided about it: route, service, caller and deadline."""

    terms: RequestTerms
    route: RouteSpec
    service: str
    method: str
    target: str
    headers: Headers
    body: bytes
    caller: Caller
    address: str
    """IP address that the request came from."""
    host: str
    arrived_at: float
    deadline: float
    """Monotonic seconds; the client's deadline or the route's, whichever is earlier."""
    account: RequestAccount


@dataclass(frozen=True, slots=True)
class RunServices:
    """The parts of the node that a run uses."""

    clock: Clock
    events: EventLog
    fleet: EngineFleet
    pool: ConnectionPool
    dialect: Dialect
    metrics: GatewayMetrics
    admission_queue: AdmissionQueue
    quarantine: QuarantineServices
    limits: TenantCredit
    stream_versions: StreamVersions
    reports: EngineReports


class RoutedRun:
    """The attempts of one request."""

    def __init__(self, services: RunServices, request: RoutedRequest) -> None:
        self._services = services
        self._request = request
        self._clock = services.clock
        self._fleet = services.fleet
        self._progress = AttemptProgress(last_event_id=request.terms.last_event_id)
        self._policy = RetryPolicy(request.route, request.arrived_at, request.deadline)
        self._guard = QuarantineGuard(
            services.quarantine,
            request.terms.request_id,
            lambda: services.dialect.identify(
                request.caller.name,
                request.host,
                request.method,
                request.target,
                request.body,
                request.headers,
            ),
            lambda: services.dialect.identify_parts(
                request.caller.name, request.service, request.headers
            ),
        )
        self._share: RequestShare | None = None
        """What the request costs its tenant; None where tenants have no shares."""
        self._placement: Placement | None = None
        self._answer: EngineAnswer | None = None
        self._evidence: VersionEvidence | None = None
        """What shows which version the present answer is of."""
        self._client_disconnected = False
        self._finished = False
        self._pace = PaceObserver(
            services.fleet,
            services.clock,
            services.events,
            services.metrics,
            request.service,
            request.terms.request_id,
            request.arrived_at,
            request.route.target_latency,
        )
        self._has_headers = False
        """Whether the current attempt has response headers, and was counted as a run."""
        self._engine_failed = False
        """Whether those headers report a failure of the engine."""
        self._client_has_headers = False
        """Whether the client already has response headers, from an earlier attempt."""

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have run the request."""
        return self._progress.runs > 0

    def start(self) -> EngineAnswer:
        """Make attempts until an engine responds; returns the response with its headers read.

        Raises:
            PostvalveError: with the verdict; all resources are released before.
        """
        request = self._request
        self._log_taken_up()
        try:
            self._guard.check()
            self._find_version()
            tag = self._acquire_credit()
            self._services.admission_queue.admit(
                request.route,
                request.service,
                request.terms,
                request.caller.rank(request.route),
                request.arrived_at,
                request.deadline,
                lambda: self._client_disconnected,
                request.caller.name,
                tag,
                self._progress.version,
            )
            return self._attempt_until_answered()
        except PostvalveError as error:
            self.finish(error.code)
            raise

    def _log_taken_up(self) -> None:
        terms = self._request.terms
        if terms.last_event_id is not None:
            self._services.events.emit(
                Event.STREAM_TAKEN_UP,
                request=terms.request_id,
                begun_as=terms.begun_as[:MAX_LOGGED_ID],
                after_event=terms.last_event_id,
            )

    def _find_version(self) -> None:
        """Find which engines may go on with a stream that the client takes up.

        Raises:
            StreamVersionUnknownError: No node knows which version began it.
            RefusedError: No engine of that version is left.
        """
        request, terms = self._request, self._request.terms
        if terms.last_event_id is None or request.route.repeat is not RepeatPolicy.RESUMABLE:
            return
        version = self._services.stream_versions.find(
            TakenUpStream(
                request.caller.name,
                request.service,
                terms.begun_as,
                terms.request_id,
                self._client_seconds_left,
            )
        )
        if version is None:
            raise RefusedError(
                "no engine of the version that began this stream is left",
                retry_after=OVERLOAD_RETRY_AFTER,
            )
        self._progress.version = version

    @property
    def _client_seconds_left(self) -> float:
        """Seconds until the client gives up, with all its attempts."""
        request = self._request
        allowed = request.terms.allowed
        if allowed is None:
            return MAX_TIME
        return max(0.0, request.arrived_at + allowed - self._clock.monotonic())

    def _acquire_credit(self) -> float | None:
        """Check the tenant's rate limit.

        Returns the start tag; None where tenants have no shares.
        """
        limits, caller = self._services.limits, self._request.caller
        cost = self._fleet.pace(self._request.service).slot_time
        work = limits.shares.work(caller.name, cost)
        try:
            lender_tag = limits.admit(
                caller, self._request.terms.request_id, work, self._request.deadline
            )
        except PostvalveError:
            limits.shares.record_end(caller.name, work.correction)
            raise
        self._share = limits.shares.open(caller.name, work, lender_tag)
        return self._share.tag if self._share else None

    def _attempt_until_answered(self) -> EngineAnswer:
        while True:
            self._check_time()
            try:
                return self._attempt()
            except AttemptError as error:
                self._fail_attempt(error)
                if not self._may_retry(error.verdict):
                    raise self._final_error(error) from error
                if error.verdict is Verdict.NOT_RUN:
                    self._back_off()

    def _back_off(self) -> None:
        """Back off for a moment if every engine has refused: slots come free all the time."""
        progress = self._progress
        if self._has_untried_engines():
            if progress.refused_connections >= MAX_REFUSED_CONNECTIONS:
                gevent.sleep(REFUSAL_BACKOFF)
            return
        gevent.sleep(progress.next_backoff())

    def _has_untried_engines(self) -> bool:
        """Whether there are engines for the request that were not tried in this round."""
        engines = self._fleet.engines(self._request.service, self._progress.version)
        return any(one.life not in self._progress.tried for one in engines)

    def _check_time(self) -> None:
        if self._client_disconnected:
            raise ClientGoneError("the client left")
        if self._clock.monotonic() >= self._request.deadline:
            raise self._deadline_error()

    def _deadline_error(self) -> PostvalveError:
        if self.may_have_run:
            return GivenUpError("the time is over")
        return RequestExpiredError("the time is over", retry_after=OVERLOAD_RETRY_AFTER)

    def _attempt(self) -> EngineAnswer:
        request = self._request
        self._await_engines()
        # The waiting ends here. If the request was quarantined meanwhile, it must not be sent.
        with self._held_after_runs():
            self._guard.check()
        placement = self._place()
        self._placement = placement
        self._progress.tries += 1
        self._has_headers = False
        self._progress.tried.add(placement.engine.life)
        now = self._clock.monotonic()
        self._pace.record_placed(now)
        request.account.attempt_started(now)
        if self._share is not None:
            self._share.attempt_started(now)
        engine = placement.engine
        with self._held_after_runs():
            self._guard.begin(engine.life)
        answer = self._services.pool.send_request(
            engine.address,
            request.terms.request_id,
            lambda: self._request_bytes(engine.engine_id),
            request.deadline,
            still_usable=lambda: self._fleet.takes_work(engine.life),
            check_connection=lambda answered_at: self._check_connection(engine, answered_at),
            # A connection over which the engine has answered shows which version it is of.
            new_connection=self._progress.broke_off and self._progress.unconfirmed_since is None,
            fail_over_early=self._progress.tries <= FAIL_OVER_EARLY_TRIES
            and self._has_untried_engines(),
            may_be_empty=self._progress.last_event_id is not None,
        )
        self._answer = answer
        self._read(answer.read_head, FIRST_EVENT_TIMEOUT)
        self._check_headers(answer)
        return answer

    def _check_connection(self, engine: EngineEntry, answered_at: float | None) -> None:
        if self._progress.version is not None:
            self._fleet.check_may_continue(engine, answered_at)

    def _request_bytes(self, engine_id: str) -> bytes:
        """Return the request for one engine, with the time that is left now."""
        request = self._request
        headers = self._services.dialect.attempt_headers(
            request.headers,
            request.caller.name,
            engine_id,
            request.deadline - self._clock.monotonic(),
            self._progress.last_event_id,
        )
        return request_bytes(request.method, request.target, headers, request.body)

    @contextmanager
    def _held_after_runs(self) -> Generator[None]:
        """Turn a refusal of the request's prompt into a failure if an engine may have run it."""
        try:
            yield
        except PromptPartHeldError as error:
            if self.may_have_run:
                raise GivenUpError(error.message) from error
            raise

    def _place(self) -> Placement:
        request = self._request
        place, version = self._fleet.place_online, self._progress.version
        left = request.arrived_at + request.route.target_latency - self._clock.monotonic()
        if self._guard.alone:
            placement = self._place_suspect()
        else:
            placement = place(request.service, request.terms, self._progress.tried, left, version)
        if placement is None and self._progress.tried:
            # An engine that failed before is better than none.
            placement = place(request.service, request.terms, (), left, version)
        if placement is None:
            if self.may_have_run:
                raise GivenUpError("no engine is left")
            raise RefusedError("no engine serves this now", retry_after=OVERLOAD_RETRY_AFTER)
        return placement

    def _place_suspect(self) -> Placement | None:
        """Return the engine that all nodes use for a request suspected of crashing engines."""
        request, quarantine = self._request, self._services.quarantine.requests
        return self._fleet.place_at(
            request.service,
            request.terms,
            self._progress.tried,
            lambda engines: quarantine.preferred_engine(self._guard.identity, engines),
            self._progress.version,
        )

    def _await_engines(self) -> None:
        """Wait if no engine is listed at the moment and there is time for it."""
        request = self._request
        latest = self._policy.latest_wait(client_has_headers=self._client_is_receiving)
        version = self._progress.version
        if self._fleet.engines(request.service, version):
            return
        left = latest - self._clock.monotonic()
        found = self._fleet.await_engines(request.service, left, version)
        self._services.events.emit(
            Event.ROUTED_REQUEST_WAITED,
            request=request.terms.request_id,
            service=request.service,
            version=version,
            found=found,
            age=round(self._clock.monotonic() - request.arrived_at, 3),
        )
        self._check_time()

    def _check_headers(self, answer: EngineAnswer) -> None:
        terms = self._request.terms
        judge = self._services.dialect.judge
        judgement = judge(terms.request_id, answer.status, answer.headers)
        self._note_load(judgement, answer)
        life = self._life
        if judgement is Judgement.REFUSED:
            raise AttemptError(f"the engine refused: {answer.status}", Verdict.NOT_RUN)
        if judgement is Judgement.REPLACED:
            if life is not None:
                self._fleet.record_replaced(life)
            raise AttemptError("another engine has the address", Verdict.NOT_RUN)
        if judgement is Judgement.FOREIGN:
            answer.reject()
            raise AttemptError("the engine answered another request", Verdict.MAY_HAVE_RUN)
        self._check_version(answer)
        self._progress.runs += 1
        self._has_headers = True
        self._engine_failed = judgement in (Judgement.FAILED, Judgement.HOPELESS)
        self._guard.record_head()
        if self._engine_failed and not self._forwards_failure(judgement):
            self._progress.runs -= 1
            self._guard.record_engine_failure()
            raise AttemptError(f"the engine failed: {answer.status}", Verdict.MAY_HAVE_RUN)

    def _check_version(self, answer: EngineAnswer) -> None:
        """Note which version answered; one that goes on with a stream must be of its version.

        An engine may listen before it is listed, but is listed before it answers.

        Raises:
            EngineUnconfirmedError: It may be of another version.
        """
        if self._placement is None:
            return
        self._evidence = self._fleet.evidence(self._placement.engine, answer.answered_at)
        if self._progress.version is None:
            return
        if not self._fleet.await_proof(self._evidence, CONFIRM_TIMEOUT):
            raise EngineUnconfirmedError(
                "the version that answered is not confirmed", Verdict.MAY_HAVE_RUN
            )
        self._progress.unconfirmed_since = None

    def _note_load(self, judgement: Judgement, answer: EngineAnswer) -> None:
        placement = self._placement
        if placement is not None:
            dialect, paces = self._services.dialect, self._fleet.paces
            read_load(dialect, self._clock, paces, placement, judgement, answer.headers)

    def _forwards_failure(self, judgement: Judgement) -> bool:
        """Whether the client gets this failure: only the last, while it has no response headers.

        Sent as the end of a stream that the client has begun to receive, a failure made a truncated
        response look complete: once or twice a day where half of the engines failed many requests.
        """
        if self._client_has_headers:
            return False
        return judgement is Judgement.HOPELESS or not self._may_retry(Verdict.MAY_HAVE_RUN)

    @property
    def _life(self) -> EngineLife | None:
        return self._placement.engine.life if self._placement else None

    def _fail_attempt(self, error: AttemptError) -> None:
        answer, life = self._answer, self._life
        if error.verdict is Verdict.NOT_RUN:
            self._request.account.attempt_refused()
        else:
            self._progress.runs += 1
            self._progress.broke_off = True
        judged = answer is not None and answer.status > 0 and error.verdict is Verdict.NOT_RUN
        unconfirmed = isinstance(error, EngineUnconfirmedError)
        if unconfirmed and self._progress.unconfirmed_since is None:
            self._progress.unconfirmed_since = self._clock.monotonic()
        ended = self._client_disconnected or self._clock.monotonic() >= self._request.deadline
        if judged or (unconfirmed and error.verdict is Verdict.NOT_RUN):
            self._progress.tries -= 1
        not_listening = isinstance(error, EngineNotListeningError)
        self._progress.refused_connections += not_listening
        self._progress.any_listened |= not not_listening
        if life is not None and not judged and not unconfirmed and not ended:
            self._fleet.record_failure(life, error.message, not_listening=not_listening)
        self._guard.record_failure(error)
        self._services.events.emit(
            Event.ROUTED_ATTEMPT_FAILED,
            request=self._request.terms.request_id,
            engine=life,
            version=self._placement.engine.version if self._placement else None,
            attempt=self._progress.tries,
            verdict=error.verdict.value,
            age=round(self._clock.monotonic() - self._request.arrived_at, 3),
            events=self._progress.events,
            directory_age=round(self._fleet.directory_age(), 3),
            digest=self._guard.identity.digest.hex(),
            caller=self._request.address,
            tenant=self._request.caller.name,
            error=error.message,
        )
        self._release()

    def _may_retry(self, verdict: Verdict) -> bool:
        return not self._client_disconnected and self._policy.may_retry(
            self._progress,
            verdict,
            self._clock.monotonic(),
            has_untried_engines=self._has_untried_engines(),
            client_has_headers=self._client_is_receiving,
        )

    @property
    def _client_is_receiving(self) -> bool:
        """Whether the client has received a part of an answer."""
        return self._client_has_headers or self._progress.events > 0

    def _read(self, read: Callable[[float], Result], timeout: float) -> Result:
        """Read a part of the answer.

        A request that no other engine may run waits for as long as its client does. Any other one
        goes on elsewhere once its engine is lost, or has lost the run.
        """
        placement, answer, progress = self._placement, self._answer, self._progress
        assert placement is not None
        assert answer is not None
        if not self._policy.may_run_elsewhere(progress, is_counted=self._has_headers):
            return read(max(timeout, self._request.deadline - self._clock.monotonic()))
        engine, service = placement.engine, self._request.service
        watch = RunWatch(
            self._services.reports,
            engine.life,
            engine.address,
            self._request.terms.request_id,
            lambda: self._fleet.has_capacity(service, progress.version, besides=engine.life),
        )
        return watch.read(answer, read, timeout)

    def _final_error(self, error: AttemptError) -> PostvalveError:
        if self._client_disconnected:
            return ClientGoneError("the client left")
        if self._clock.monotonic() >= self._request.deadline:
            return self._deadline_error()
        if self.may_have_run:
            return AttemptError(error.message, Verdict.MAY_HAVE_RUN)
        if isinstance(error, EngineUnconfirmedError):
            return StreamVersionUnknownError(
                f"{error.message}: this node can't read the directory of engines",
                retry_after=UNKNOWN_RETRY_AFTER,
            )
        return RefusedError(error.message, retry_after=OVERLOAD_RETRY_AFTER)

    def events(self) -> Generator[bytes]:
        """Yield complete events; a truncated stream is resumed at another engine where allowed.

        Raises:
            PostvalveError: the stream failed, and the client must see it as truncated.
        """
        outcome = "abandoned"
        try:
            while True:
                try:
                    yield from self._stream_events()
                    outcome = "completed"
                    return
                except AttemptError as error:
                    self._resume(error)
        except PostvalveError as error:
            outcome = error.code
            self._services.events.emit(
                Event.ROUTED_STREAM_CUT,
                request=self._request.terms.request_id,
                events=self._progress.events,
                error=error.message,
            )
            raise
        finally:
            self.finish(outcome)

    def _stream_events(self) -> Iterator[bytes]:
        answer = self._answer
        assert answer is not None
        while True:
            timeout = EVENT_TIMEOUT if self._progress.events else FIRST_EVENT_TIMEOUT
            self._pace.record_read_started()
            event = self._read(answer.read_event, timeout)
            if not event:
                self._pace.record_end(self._placement)
                self._record_completion()
                return
            self._note_event(event)
            yield event

    def _record_completion(self) -> None:
        if self._placement is not None:
            self._fleet.record_success(self._placement.engine.life)
        if self._engine_failed:
            self._guard.record_engine_failure()
        else:
            self._guard.record_answer()
            self._request.account.completed()

    def _note_event(self, event: bytes) -> None:
        progress = self._progress
        self._pace.record_event()
        self._guard.record_event()
        if self._placement is not None:
            self._fleet.record_prompt_read(self._placement)
        if not progress.events:
            self._bind_version()
            self._pace.record_first_event(self._placement, progress)
            self._request.account.first_event()
        progress.events += 1
        number = event_id_of(event)
        if number is not None:
            progress.last_event_id = number

    def _bind_version(self) -> None:
        """Let only engines of the present version go on: the output of others does not fit."""
        if self._progress.version is not None or self._placement is None:
            return
        request = self._request
        self._progress.version = version = self._placement.engine.version
        self._progress.evidence = self._evidence
        if request.route.repeat is RepeatPolicy.RESUMABLE:
            self._services.stream_versions.record(
                request.caller.name,
                request.service,
                request.terms.request_id,
                version,
                self._client_seconds_left,
                self._evidence,
            )

    def _check_origin(self) -> None:
        """Check that the version which began the stream is known, so that others may go on with it.

        Raises:
            StreamVersionUnknownError: It is not.
        """
        evidence = self._progress.evidence
        if evidence is None or self._fleet.await_proof(evidence, PROOF_TIMEOUT):
            return
        self._services.events.emit(
            Event.STREAM_ORIGIN_UNPROVEN,
            request=self._request.terms.request_id,
            service=self._request.service,
            version=self._progress.version,
            missing=evidence.missing,
            directory_age=round(self._fleet.directory_age(), 3),
        )
        raise StreamVersionUnknownError("the engine version that began the stream is not known")

    def _resume(self, error: AttemptError) -> None:
        self._progress.runs -= 1  # counted when its response headers arrived
        self._fail_attempt(error)
        if not self._may_retry(error.verdict):
            raise self._final_error(error)
        self._check_origin()
        self._client_has_headers = True
        self._attempt_until_answered()
        self._services.metrics.resumed.inc()
        self._services.events.emit(
            Event.ROUTED_STREAM_RESUMED,
            request=self._request.terms.request_id,
            engine=self._life,
            version=self._placement.engine.version if self._placement else None,
            after_event=self._progress.last_event_id,
        )

    def body(self) -> bytes:
        """Return the complete body of a response that is not a stream.

        Raises:
            PostvalveError: with the verdict.
        """
        answer = self._answer
        assert answer is not None
        try:
            body = self._read(answer.read_body, FIRST_EVENT_TIMEOUT)
        except AttemptError as error:
            self._progress.runs -= 1
            self._fail_attempt(error)
            self.finish(error.code)
            raise self._final_error(error) from error
        self._record_completion()
        self.finish("completed")
        return body

    def on_disconnect(self) -> None:
        """Abort the current attempt, since the client has disconnected.

        Called from another greenlet.
        """
        self._client_disconnected = True
        if self._answer is not None:
            self._answer.abort()

    def _release(self) -> None:
        if self._answer is not None:
            self._answer.close()
            self._answer = None
        if self._placement is not None:
            self._fleet.release(self._placement)
            self._placement = None
            self._request.account.attempt_ended()
        if self._share is not None:
            self._share.attempt_ended(self._clock.monotonic())

    def finish(self, outcome: str) -> None:
        """Release everything and count the outcome; only the first call has an effect."""
        if self._finished:
            return
        self._finished = True
        self._guard.end()
        self._release()
        if self._share is not None:
            self._share.settle()
        self._services.metrics.requests.labels(outcome).inc()
