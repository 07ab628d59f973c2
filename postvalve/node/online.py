"""Runs one online request: limits, choice of an engine, admission, attempts, retries."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent

from postvalve.core.admission.tenant_limits import LimitKey, TenantLimiter
from postvalve.core.configuration.resolution import matching_limits
from postvalve.core.routing.retry import RetryBudget, backoff, may_repeat
from postvalve.core.routing.router import EngineCandidate, Router
from postvalve.events import Event
from postvalve.exceptions import (
    AttemptError,
    DeadlineExceededError,
    PeerUnavailableError,
    PostvalveError,
    RefusedError,
    Verdict,
)
from postvalve.messages.generated import peer
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.engine_registry import EngineRegistry
from postvalve.node.membership_service import MembershipService
from postvalve.node.peer_link import Channel
from postvalve.platform.engine import EngineAttempt, EngineStream
from postvalve.settings.fleet import TenantSpec, WorkloadSpec
from postvalve.states import TrafficClass

ADMISSION_TIMEOUT = 0.5
"""Seconds until an owner's answer is given up and another engine is asked."""
MAX_ATTEMPTS = 4
"""Attempts at engines for one request, the first included."""
MAX_ADMISSION_ROUNDS = 6
"""Owners asked before a request is refused."""
OVERLOAD_RETRY_AFTER = 1.0
"""Seconds told to a caller when no engine has room."""
ONLINE_PRIORITY = 0
"""Priority of online attempts at engines; batch ranks follow."""


@dataclass(frozen=True, slots=True)
class OnlineRequest:
    """A checked request of a caller."""

    request_id: str
    tenant: TenantSpec
    workload: WorkloadSpec
    model: str
    body: bytes
    """JSON as the caller sent it; passed to the engine unchanged."""
    streamed: bool
    at_most_once: bool
    prefix_key: str
    """Requests with the same key likely share a prompt prefix."""
    cache_salt: str
    deadline: float
    """Monotonic seconds."""
    arrived_at: float
    """Monotonic seconds."""


@dataclass(slots=True)
class _Admission:
    """A slot at an engine, held for one attempt."""

    attempt_id: str
    candidate: EngineCandidate
    released: bool = False


@dataclass(slots=True)
class _Progress:
    """What a request went through."""

    attempts: int = 0
    failed_engines: set[str] = field(default_factory=set)
    events_sent: int = 0
    model_version: str = ""
    expired: bool = False
    may_have_run: bool = False


class OnlineDispatcher:
    """Dispatches online requests of this node's callers."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationService,
        membership: MembershipService,
        registry: EngineRegistry,
    ) -> None:
        self._node_id = context.settings.node_id
        self._clock = context.clock
        self._events = context.events
        self._metrics = context.metrics
        self._transport = context.transport
        self._new_id = context.new_id
        self._configuration = configuration
        self._membership = membership
        self._registry = registry
        self._random = context.generator
        self._router = Router(context.settings.zone, context.generator)
        self._limiter = TenantLimiter()
        self._budget = RetryBudget()
        self.in_progress = 0

    def run(self, request: OnlineRequest) -> OnlineAnswer:
        """Start a request; returns once an engine answers.

        Raises:
            PostvalveError: with a verdict; nothing is held after it.
        """
        limit_keys = self._enter_limits(request)
        self.in_progress += 1
        self._budget.deposit()
        run = _RequestRun(self, request, limit_keys)
        try:
            return run.start()
        except BaseException:
            run.finish("refused")
            raise

    def _enter_limits(self, request: OnlineRequest) -> list[LimitKey]:
        rules = matching_limits(self._configuration.current, request.tenant, request.workload)
        if not rules:
            return []
        live_nodes = len(self._membership.view.alive())
        now = self._clock.monotonic()
        return [self._limiter.enter(request.tenant.name, rules[0], live_nodes, now)]

    def admit(self, request: OnlineRequest, failed_engines: set[str]) -> _Admission:
        """Get a slot at some engine.

        Raises:
            RefusedError: no engine has room, or none serves the model.
        """
        candidates = self._registry.candidates(request.tenant, request.model, failed_engines)
        if not candidates:
            # Better an engine that failed before than none.
            candidates = self._registry.candidates(request.tenant, request.model, ())
        retry_after = OVERLOAD_RETRY_AFTER
        order = self._router.order(candidates, request.prefix_key)
        for candidate in order[:MAX_ADMISSION_ROUNDS]:
            admission = _Admission(self._new_id(), candidate)
            reply = self._ask_owner(request, admission)
            if reply.outcome == peer.AdmissionOutcome.ADMISSION_OUTCOME_GRANTED:
                return admission
            retry_after = max(retry_after, reply.retry_after_ms / 1000)
        reason = "every engine is busy" if candidates else "no engine serves the model now"
        raise RefusedError(reason, retry_after=retry_after)

    def _ask_owner(self, request: OnlineRequest, admission: _Admission) -> peer.AdmissionReply:
        message = peer.AdmissionRequest(
            attempt_id=admission.attempt_id,
            engine_id=admission.candidate.engine_id,
            tenant=request.tenant.name,
            model=request.model,
            gateway_id=self._node_id,
        )
        if admission.candidate.owner_id == self._node_id:
            return self._registry.admit_online(message)
        try:
            reply = self._call_owner(admission, message)
        except PeerUnavailableError:
            # The grant may have been made: give it back so that no slot leaks.
            self.release(admission)
            return peer.AdmissionReply()
        assert isinstance(reply, peer.AdmissionReply)
        return reply

    def _call_owner(
        self, admission: _Admission, message: peer.AdmissionRequest | peer.AdmissionRelease
    ) -> object:
        owner = self._membership.member(admission.candidate.owner_id)
        if owner is None:
            raise PeerUnavailableError("the owner is unknown", Verdict.NOT_RUN)
        return self._transport.call(
            owner.peer_address, Channel.ADMISSION, message, ADMISSION_TIMEOUT
        )

    def release(self, admission: _Admission) -> None:
        """Give a slot back; does not wait for the owner."""
        if admission.released:
            return
        admission.released = True
        candidate = admission.candidate
        if candidate.owner_id == self._node_id:
            self._registry.release(candidate.engine_id, admission.attempt_id)
        else:
            gevent.spawn(self._release_remote, admission)

    def _release_remote(self, admission: _Admission) -> None:
        message = peer.AdmissionRelease(
            attempt_id=admission.attempt_id, engine_id=admission.candidate.engine_id
        )
        for attempt in range(MAX_ATTEMPTS):
            try:
                self._call_owner(admission, message)
                return
            except PeerUnavailableError:
                gevent.sleep(ADMISSION_TIMEOUT * 2**attempt)

    def open_stream(
        self, request: OnlineRequest, admission: _Admission, resume_offset: int
    ) -> EngineStream:
        """Start an attempt at the admitted engine.

        Raises:
            AttemptError: with the verdict.
        """
        machine = self._registry.machine(admission.candidate.engine_id)
        if machine is None:
            raise AttemptError("the engine left the machine list", Verdict.NOT_RUN)
        attempt = EngineAttempt(
            attempt_id=admission.attempt_id,
            request_id=request.request_id,
            body=request.body,
            priority=ONLINE_PRIORITY,
            cache_salt=request.cache_salt,
            resume_offset=resume_offset,
        )
        remaining = max(0.0, request.deadline - self._clock.monotonic())
        try:
            with gevent.Timeout(remaining):
                return self._registry.connection(machine).open(attempt, batch=False)
        except gevent.Timeout as error:
            raise AttemptError("the engine did not answer in time", Verdict.MAY_HAVE_RUN) from error

    def allow_retry(self, request: OnlineRequest, progress: _Progress, verdict: Verdict) -> bool:
        """Whether a failed attempt is followed by another; waits the backoff."""
        if progress.attempts >= MAX_ATTEMPTS or progress.expired:
            return False
        if not may_repeat(verdict, at_most_once=request.at_most_once):
            return False
        pause = backoff(progress.attempts - 1, self._random)
        if self._clock.monotonic() + pause >= request.deadline:
            return False
        if not self._budget.withdraw():
            return False
        gevent.sleep(pause)
        return True

    def note_failure(self, admission: _Admission, error: AttemptError) -> None:
        """Log and count a failed attempt."""
        self._metrics.note_failed_attempt(TrafficClass.ONLINE, error)
        self._events.emit(
            Event.ATTEMPT_FAILED,
            engine=admission.candidate.engine_id,
            attempt=admission.attempt_id,
            verdict=error.verdict.value,
            error=error.message,
        )

    def note_resume(self, request: OnlineRequest) -> None:
        """Log and count a stream that goes on at another engine."""
        self._metrics.retries.labels("resume").inc()
        self._events.emit(Event.STREAM_RESUMED, request=request.request_id)

    def note_early_end(self, request: OnlineRequest, error: PostvalveError) -> None:
        """Log a stream that ends with an error."""
        self._events.emit(Event.STREAM_ENDED_EARLY, request=request.request_id, error=error.message)

    def note_first_token(self, request: OnlineRequest) -> None:
        """Record the time to the first token."""
        waited = self._clock.monotonic() - request.arrived_at
        self._metrics.first_token.labels(request.workload.name).observe(waited)
        self._metrics.tenant_first_token.labels(request.tenant.name).observe(waited)

    def end(self, request: OnlineRequest, limit_keys: list[LimitKey], outcome: str) -> None:
        """Count a request out."""
        self.in_progress -= 1
        for key in limit_keys:
            self._limiter.leave(key)
        workload = request.workload.name
        self._metrics.requests.labels(request.tenant.name, workload, outcome).inc()
        duration = self._clock.monotonic() - request.arrived_at
        self._metrics.request_duration.labels(workload).observe(duration)

    def schedule_deadline(
        self, request: OnlineRequest, expire: Callable[[], None]
    ) -> gevent.Greenlet:
        """Call `expire` when the request's deadline passes."""
        remaining = max(0.0, request.deadline - self._clock.monotonic())
        return gevent.spawn_later(remaining, expire)


class _RequestRun:
    """The attempts of one request, one after the other."""

    def __init__(
        self, dispatcher: OnlineDispatcher, request: OnlineRequest, limit_keys: list[LimitKey]
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._limit_keys = limit_keys
        self._progress = _Progress()
        self._admission: _Admission | None = None
        self._stream: EngineStream | None = None
        self._finished = False
        self._deadline_timer = dispatcher.schedule_deadline(request, self._expire)

    def start(self) -> OnlineAnswer:
        """Open the first stream, with retries."""
        self._open()
        return OnlineAnswer(self)

    def _open(self) -> None:
        while True:
            try:
                self._attempt()
                return
            except AttemptError as error:
                self._fail_attempt(error)
                if not self._may_go_on(error.verdict):
                    raise self._final_error(error) from error
            except PostvalveError as error:
                # A refusal of this attempt says nothing of the earlier ones.
                if self._progress.may_have_run:
                    error.verdict = Verdict.MAY_HAVE_RUN
                raise

    def _attempt(self) -> None:
        self._check_deadline()
        self._admission = self._dispatcher.admit(self._request, self._progress.failed_engines)
        self._progress.attempts += 1
        self._stream = self._dispatcher.open_stream(
            self._request, self._admission, self._progress.events_sent
        )
        version = self._stream.model_version
        if self._progress.events_sent and version != self._progress.model_version:
            self._stream.close()
            raise AttemptError(
                "no engine with the same model version can resume", Verdict.MAY_HAVE_RUN
            )
        self._progress.model_version = version

    def _check_deadline(self) -> None:
        if self._progress.expired:
            raise DeadlineExceededError("the deadline passed")

    def _fail_attempt(self, error: AttemptError) -> None:
        assert self._admission is not None
        self._progress.failed_engines.add(self._admission.candidate.engine_id)
        if error.verdict is not Verdict.NOT_RUN:
            self._progress.may_have_run = True
        self._dispatcher.note_failure(self._admission, error)
        self._release()

    def _may_go_on(self, verdict: Verdict) -> bool:
        return self._dispatcher.allow_retry(self._request, self._progress, verdict)

    def _final_error(self, error: AttemptError) -> PostvalveError:
        final: PostvalveError = error
        if self._progress.expired:
            final = DeadlineExceededError("the deadline passed")
        if self._progress.may_have_run:
            final.verdict = Verdict.MAY_HAVE_RUN
        return final

    def events(self) -> Iterator[bytes]:
        """Yield the stream's events; a cut one is resumed, or ends with an error event."""
        try:
            while True:
                try:
                    yield from self._stream_events()
                    self.finish("completed")
                    return
                except AttemptError as error:
                    self._resume(error)
        except PostvalveError as error:
            error.verdict = Verdict.MAY_HAVE_RUN
            self._dispatcher.note_early_end(self._request, error)
            yield error_event(error)
            self.finish("failed")
        finally:
            self.finish("abandoned")

    def _stream_events(self) -> Iterator[bytes]:
        assert self._stream is not None
        for event in self._stream.events():
            if not self._progress.events_sent:
                self._dispatcher.note_first_token(self._request)
            self._progress.events_sent += 1
            yield event

    def _resume(self, error: AttemptError) -> None:
        self._fail_attempt(error)
        if not self._may_go_on(error.verdict):
            raise self._final_error(error)
        self._open()
        self._dispatcher.note_resume(self._request)

    def whole(self) -> bytes:
        """Read an answer that is not streamed; retried where the request may repeat."""
        while True:
            assert self._stream is not None
            try:
                content = self._stream.whole()
                self._dispatcher.note_first_token(self._request)
                self.finish("completed")
                return content
            except AttemptError as error:
                self._fail_attempt(error)
                if not self._may_go_on(error.verdict):
                    self.finish("failed")
                    raise self._final_error(error) from error
                self._open_again()

    def _open_again(self) -> None:
        try:
            self._open()
        except PostvalveError:
            self.finish("failed")
            raise

    def _expire(self) -> None:
        self._progress.expired = True
        if self._stream is not None:
            self._stream.abort()

    def _release(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        if self._admission is not None:
            self._dispatcher.release(self._admission)
            self._admission = None

    def finish(self, outcome: str) -> None:
        """Give everything back; only the first call counts."""
        if self._finished:
            return
        self._finished = True
        self._deadline_timer.kill(block=False)
        self._release()
        self._dispatcher.end(self._request, self._limit_keys, outcome)


class OnlineAnswer:
    """The answer to a request whose engine has accepted it."""

    def __init__(self, run: _RequestRun) -> None:
        self._run = run

    def events(self) -> Iterator[bytes]:
        """Server-sent events, ready for the wire."""
        return self._run.events()

    def whole(self) -> bytes:
        """The whole answer as JSON.

        Raises:
            PostvalveError: with a verdict.
        """
        return self._run.whole()


def error_event(error: PostvalveError) -> bytes:
    """The server-sent event that ends a stream that could not be finished."""
    return b"data: " + json.dumps(error_document(error)).encode("utf-8") + b"\n\n"


def error_document(error: PostvalveError) -> dict[str, dict[str, str | float | None]]:
    """An error in the shape that callers of the OpenAI interface know, with the verdict."""
    return {
        "error": {
            "message": error.message,
            "type": error.error_type,
            "param": error.parameter,
            "code": error.code,
            "verdict": error.verdict.value,
            "retry_after": error.retry_after,
        }
    }
