"""Prometheus metrics of a gateway."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from postvalve.core.scheduling.accounts import End, ItemOutcome, Row

SECONDS_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0)


class GatewayMetrics:
    """All metrics of a gateway, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "postvalve_routed_requests", "Routed requests", ["outcome"], registry=self.registry
        )
        self.first_event = Histogram(
            "postvalve_first_event_seconds",
            "Arrival to first event",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.resumed = Counter(
            "postvalve_resumed_streams", "Streams resumed elsewhere", registry=self.registry
        )
        self.held = Counter(
            "postvalve_held_requests",
            "Online requests held, released and turned away",
            ["event"],
            registry=self.registry,
        )
        self.items = Counter(
            "postvalve_items", "Batch items that ended here", ["outcome"], registry=self.registry
        )
        self.items_waiting = Gauge(
            "postvalve_items_waiting",
            "Batch items of this node that wait, by what they wait for",
            ["gate"],
            registry=self.registry,
        )
        self.items_restarted = Counter(
            "postvalve_items_restarted",
            "Batch items begun again, as no engine could continue their text",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "postvalve_store_calls", "Calls to the store", ["call", "outcome"],
            registry=self.registry,
        )  # fmt: skip
        self.connections = Gauge(
            "postvalve_engine_connections_opened", "Since the start", registry=self.registry
        )
        self.directory_age = Gauge(
            "postvalve_directory_age_seconds",
            "Of which changes of the engines' directory are not known",
            registry=self.registry,
        )
        self.revision_age = Gauge(
            "postvalve_configuration_age_seconds",
            "Of which changes of the configuration are not known",
            registry=self.registry,
        )
        self.proof_lacking = Gauge(
            "postvalve_proof_lacking_seconds",
            "Since requests that need a read of this topic have got none; 0 if they have",
            ["topic"],
            registry=self.registry,
        )
        self.quarantined = Gauge(
            "postvalve_quarantine_requests",
            "Requests under which engines ended lately, as this node knows",
            registry=self.registry,
        )
        self.oversized_answers = Counter(
            "postvalve_oversized_answers",
            "Answers of engines given up as a part of them exceeded its limit",
            ["part"],
            registry=self.registry,
        )
        self.slow_clients = Counter(
            "postvalve_slow_clients",
            "Clients that lagged or were given up, and bodies that came too slowly",
            ["event"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "postvalve_slow_client_bytes", "Held for slow clients", registry=self.registry
        )
        self.lagging = Gauge(
            "postvalve_lagging_clients",
            "For which the rest of an answer, or the begin of a body, is held",
            registry=self.registry,
        )
        self.dropped_log_lines = Gauge(
            "postvalve_log_lines_dropped", "Since the start", registry=self.registry
        )

    def register_tenants(self, rows: Callable[[], list[Row]]) -> None:
        """Export the counts of tenants as well; `rows` returns the current ones."""
        self.registry.register(_TenantCollector(rows))

    def exposition(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        return generate_latest(self.registry)


class _TenantCollector(Collector):
    """Counts by tenant, with one set of series for each account of `core/scheduling/accounts`.

    The series of a tenant that loses its account end, and the row of all other tenants grows.
    """

    def __init__(self, rows: Callable[[], list[Row]]) -> None:
        self._rows = rows

    def describe(self) -> list[CounterMetricFamily]:
        """Return nothing, so that registering the collector reads no counts."""
        return []

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the current counts."""
        requests = CounterMetricFamily(
            "postvalve_tenant_requests", "Requests that ended", labels=["tenant", "end"]
        )
        items = CounterMetricFamily(
            "postvalve_tenant_items", "Batch items that ended here", labels=["tenant", "outcome"]
        )
        waited = CounterMetricFamily(
            "postvalve_tenant_wait_seconds",
            "Until an engine got a request, or until it ended without one",
            labels=["tenant"],
        )
        engine = CounterMetricFamily(
            "postvalve_tenant_engine_seconds",
            "For which requests and items were at engines",
            labels=["tenant", "work"],
        )
        for row in self._rows():
            for end in End:
                requests.add_metric([row.tenant, end], row.total.ends.get(end, 0))
            for outcome in ItemOutcome:
                items.add_metric([row.tenant, outcome], row.total.items.get(outcome, 0))
            waited.add_metric([row.tenant], row.total.waited)
            engine.add_metric([row.tenant, "online"], row.total.online_seconds)
            engine.add_metric([row.tenant, "batch"], row.total.item_seconds)
        yield from (requests, items, waited, engine)
