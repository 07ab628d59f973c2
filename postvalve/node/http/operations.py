"""Health checks, metrics and status, for operators and their tools."""

from __future__ import annotations

from typing import Any, Protocol

from werkzeug.wrappers import Request, Response

from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.http.authentication import authenticate_operator
from postvalve.node.http.json_responses import json_response
from postvalve.node.metrics import NodeMetrics


class StatusSource(Protocol):
    """State of a node that `OperationsEndpoint` reports."""

    @property
    def draining(self) -> bool:
        """Whether the node is draining and accepts no new work."""
        ...

    @property
    def ready(self) -> bool:
        """Whether the node has a configuration and can serve callers."""
        ...

    def status_document(self) -> dict[str, Any]:
        """Return the state of the node and of its peers, for `postvalve status`."""
        ...


class OperationsEndpoint:
    """Handlers of `/healthz`, `/readyz`, `/metrics` and `/status`."""

    def __init__(
        self, node: StatusSource, configuration: ConfigurationService, metrics: NodeMetrics
    ) -> None:
        self._node = node
        self._configuration = configuration
        self._metrics = metrics

    def healthz(self, request: Request) -> Response:
        """Return 200 as long as the process responds, also while it is draining."""
        return json_response({"status": "ok"})

    def readyz(self, request: Request) -> Response:
        """Return 200 while the node accepts new work, else 503."""
        if self._node.draining:
            return json_response({"status": "draining"}, 503)
        if not self._node.ready:
            return json_response({"status": "starting"}, 503)
        return json_response({"status": "ready"})

    def metrics(self, request: Request) -> Response:
        """Return the metrics in the text format of Prometheus."""
        return Response(self._metrics.exposition(), content_type="text/plain; version=0.0.4")

    def status(self, request: Request) -> Response:
        """Return the state of the node and of its peers; requires an operator key."""
        authenticate_operator(request, self._configuration.current)
        return json_response(self._node.status_document())
