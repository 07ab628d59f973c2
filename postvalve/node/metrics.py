"""Prometheus metrics of a node."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    Summary,
    generate_latest,
)

from postvalve.exceptions import AttemptError, CrossedAnswerError
from postvalve.states import TrafficClass

SECONDS_BUCKETS = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.43, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
)  # fmt: skip


class NodeMetrics:
    """The metrics of one node, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "postvalve_requests", "Online requests", "tenant", "workload", "outcome"
        )
        self.first_token = self._histogram(
            "postvalve_first_token_seconds", "Arrival to first token", "workload"
        )
        self.tenant_first_token = Summary(
            "postvalve_tenant_first_token_seconds",
            "Arrival to first token, as sum and count, since buckets for every tenant are many",
            ["tenant"],
            registry=self.registry,
        )
        self.request_duration = self._histogram(
            "postvalve_request_seconds", "Arrival to end of the answer", "workload"
        )
        self.attempts = self._counter(
            "postvalve_attempts", "Attempts at engines", "class", "outcome"
        )
        self.retries = self._counter("postvalve_retries", "Attempts after the first", "kind")
        self.crossed_answers = self._counter(
            "postvalve_crossed_answers", "Answers for another attempt, dropped"
        )
        self.preemptions = self._counter(
            "postvalve_preemptions", "Batch items that gave way to online work"
        )
        self.items = self._counter(
            "postvalve_batch_items", "Batch items that ended", "tenant", "outcome"
        )
        self.item_duration = self._histogram(
            "postvalve_batch_item_seconds", "Dispatch to result of a batch item", "model"
        )
        self.items_waiting = Gauge(
            "postvalve_batch_items_waiting",
            "Batch items waiting at this holder",
            ["model"],
            registry=self.registry,
        )
        self.control_bytes = self._counter(
            "postvalve_control_bytes", "Bytes of heartbeats and digests", "direction"
        )
        self.configuration_revision = Gauge(
            "postvalve_configuration_revision", "Revision in force", registry=self.registry
        )

    def _counter(self, name: str, documentation: str, *labels: str) -> Counter:
        return Counter(name, documentation, labels, registry=self.registry)

    def _histogram(self, name: str, documentation: str, *labels: str) -> Histogram:
        return Histogram(
            name, documentation, labels, buckets=SECONDS_BUCKETS, registry=self.registry
        )

    def record_failed_attempt(self, traffic_class: TrafficClass, error: AttemptError) -> None:
        """Count a failed attempt at an engine, and a crossed answer if that was the cause."""
        self.attempts.labels(traffic_class.value, error.verdict.value).inc()
        if isinstance(error, CrossedAnswerError):
            self.crossed_answers.inc()

    def exposition(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
