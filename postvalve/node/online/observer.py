"""Metrics and events of online requests."""

from __future__ import annotations

from postvalve.events import Event
from postvalve.exceptions import AttemptError, PostvalveError
from postvalve.node.context import NodeContext
from postvalve.node.online.admission import Admission
from postvalve.node.online.request import OnlineRequest
from postvalve.states import TrafficClass


class OnlineObserver:
    """Records metrics and log events of online requests."""

    def __init__(self, context: NodeContext) -> None:
        self._clock = context.clock
        self._events = context.events
        self._metrics = context.metrics

    def record_failure(self, admission: Admission, error: AttemptError) -> None:
        """Log and count a failed attempt at an engine."""
        self._metrics.record_failed_attempt(TrafficClass.ONLINE, error)
        self._events.emit(
            Event.ATTEMPT_FAILED,
            engine=admission.candidate.engine_id,
            attempt=admission.attempt_id,
            verdict=error.verdict.value,
            error=error.message,
        )

    def record_resume(self, request: OnlineRequest) -> None:
        """Log and count a stream that was resumed at another engine."""
        self._metrics.retries.labels("resume").inc()
        self._events.emit(Event.STREAM_RESUMED, request=request.request_id)

    def record_early_end(self, request: OnlineRequest, error: PostvalveError) -> None:
        """Log that a stream to the client ended with an error event."""
        self._events.emit(Event.STREAM_ENDED_EARLY, request=request.request_id, error=error.message)

    def record_first_token(self, request: OnlineRequest) -> None:
        """Observe the time from a request's arrival to its first token."""
        waited = self._clock.monotonic() - request.arrived_at
        self._metrics.first_token.labels(request.workload.name).observe(waited)
        self._metrics.tenant_first_token.labels(request.tenant.name).observe(waited)

    def record_end(self, request: OnlineRequest, outcome: str) -> None:
        """Count a request that ended, and observe its duration."""
        workload = request.workload.name
        self._metrics.requests.labels(request.tenant.name, workload, outcome).inc()
        duration = self._clock.monotonic() - request.arrived_at
        self._metrics.request_duration.labels(workload).observe(duration)
