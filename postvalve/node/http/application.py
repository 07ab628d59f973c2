"""WSGI application of a node: routing, authentication and error responses."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.exceptions import (
    ClientDisconnected,
    HTTPException,
    MethodNotAllowed,
    RequestEntityTooLarge,
)
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from postvalve.events import Event
from postvalve.exceptions import (
    DrainingError,
    InvalidRequestError,
    LogUnavailableError,
    MethodNotAllowedError,
    NotFoundError,
    PostvalveError,
    RequestTooLargeError,
    Verdict,
)
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.http.authentication import authenticate_tenant
from postvalve.node.http.batches import BatchesEndpoint
from postvalve.node.http.chat import ChatEndpoint
from postvalve.node.http.errors import error_response
from postvalve.node.http.files import FilesEndpoint
from postvalve.node.http.operations import OperationsEndpoint, StatusSource

DRAINING_RETRY_AFTER = 1.0
"""Retry-After, in seconds, of a draining node; other nodes accept the request at once."""

TenantHandler = Callable[..., Response]
OperationsHandler = Callable[[Request], Response]


class InternalError(PostvalveError):
    """An unexpected error; whether the request had an effect is not known."""

    verdict = Verdict.MAY_HAVE_RUN


class NodeApplication:
    """Serves the API of callers and the endpoints of operators."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationService,
        node: StatusSource,
        chat: ChatEndpoint,
        files: FilesEndpoint,
        batches: BatchesEndpoint,
        operations: OperationsEndpoint,
    ) -> None:
        self._http = context.settings.http
        self._timing = context.settings.timing
        self._events = context.events
        self._configuration = configuration
        self._node = node
        self._operations_routes: dict[str, OperationsHandler] = {
            "GET /healthz": operations.healthz,
            "GET /readyz": operations.readyz,
            "GET /metrics": operations.metrics,
            "GET /status": operations.status,
        }
        self._tenant_routes: dict[str, TenantHandler] = {
            "GET /v1/models": chat.list_models,
            "GET /v1/models/<model>": chat.show_model,
            "POST /v1/chat/completions": chat.complete,
            "POST /v1/files": files.upload,
            "GET /v1/files": files.list,
            "GET /v1/files/<file_id>": files.show,
            "DELETE /v1/files/<file_id>": files.delete,
            "GET /v1/files/<file_id>/content": files.content,
            "POST /v1/batches": batches.create,
            "GET /v1/batches": batches.list,
            "GET /v1/batches/<job_id>": batches.show,
            "POST /v1/batches/<job_id>/cancel": batches.cancel,
        }
        self._map = Map(
            [_rule(route) for route in (*self._operations_routes, *self._tenant_routes)]
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request, as the WSGI entry point."""
        request = Request(environ)
        request.max_content_length = self._http.max_body_bytes
        try:
            response = self._respond(request)
        except Exception as error:  # any error becomes a response; the server keeps running
            response = self._handle_error(request, error)
        if self._node.draining:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        route, arguments = self._match(request)
        operations_handler = self._operations_routes.get(route)
        if operations_handler is not None:
            return operations_handler(request)
        if self._node.draining and request.method == "POST":
            raise DrainingError("this node is leaving", retry_after=DRAINING_RETRY_AFTER)
        tenant = authenticate_tenant(request, self._configuration.current)
        return self._tenant_routes[route](request, tenant, **arguments)

    def _match(self, request: Request) -> tuple[str, dict[str, str]]:
        try:
            route, arguments = self._map.bind_to_environ(request.environ).match()
        except MethodNotAllowed:
            raise MethodNotAllowedError(
                f"{request.method} is not allowed for {request.path}"
            ) from None
        except HTTPException:
            raise NotFoundError(f"there is nothing at {request.path}") from None
        return str(route), dict(arguments)

    def _handle_error(self, request: Request, error: Exception) -> Response:
        reported = self._to_postvalve_error(request, error)
        if reported.http_status >= 500:
            self._events.emit(
                Event.REQUEST_FAILED,
                path=request.path,
                code=reported.code,
                verdict=reported.verdict.value,
                error=reported.message,
            )
        return error_response(reported)

    def _to_postvalve_error(self, request: Request, error: Exception) -> PostvalveError:
        if isinstance(error, LogUnavailableError) and error.retry_after is None:
            error.retry_after = self._timing.log_retry_after
        if isinstance(error, PostvalveError):
            return error
        if isinstance(error, RequestEntityTooLarge):
            return RequestTooLargeError(f"body over {request.max_content_length} bytes")
        if isinstance(error, (ClientDisconnected, OSError)):
            return InvalidRequestError("the request's body was cut")
        self._events.emit(Event.REQUEST_ERROR, path=request.path, error=repr(error))
        return InternalError("unexpected error")


def _rule(route: str) -> Rule:
    method, path = route.split(" ")
    return Rule(path, methods=[method], endpoint=route)
