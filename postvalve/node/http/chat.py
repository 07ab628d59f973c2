"""`/v1/chat/completions` and `/v1/models`."""

from __future__ import annotations

import hashlib

from werkzeug.wrappers import Request, Response

from postvalve.core.configuration.resolution import resolve_workload
from postvalve.core.routing.prefix import cache_salt, prefix_key
from postvalve.exceptions import NotFoundError, Verdict
from postvalve.node.batch.input_lines import ChatCompletionBody, check_chat_body
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.http.errors import VERDICT_HEADER
from postvalve.node.http.headers import (
    REPLAYED_HEADER,
    at_most_once,
    deadline_seconds,
    idempotency_key,
    workload_name,
)
from postvalve.node.http.json_responses import json_response
from postvalve.node.keyed_requests import KeyedRequests
from postvalve.node.online.dispatcher import OnlineDispatcher
from postvalve.node.online.request import OnlineRequest
from postvalve.services.engine import REQUEST_HEADER
from postvalve.settings.fleet import TenantSpec
from postvalve.states import TrafficClass


class ChatEndpoint:
    """Handlers of chat completions and models."""

    def __init__(
        self,
        context: NodeContext,
        configuration: ConfigurationService,
        dispatcher: OnlineDispatcher,
        keyed_requests: KeyedRequests,
    ) -> None:
        self._settings = context.settings.http
        self._clock = context.clock
        self._new_id = context.new_id
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._keyed_requests = keyed_requests

    def complete(self, request: Request, tenant: TenantSpec) -> Response:
        """Run one chat completion, streamed if the request asks for it."""
        arrived_at = self._clock.monotonic()
        content = request.get_data()
        body = check_chat_body(content)
        online = self._online_request(request, tenant, body, content, arrived_at)
        headers = {VERDICT_HEADER: Verdict.RAN.value, REQUEST_HEADER: online.request_id}
        key = idempotency_key(request)
        if key is not None:
            return self._complete_idempotent(online, key, headers)
        answer = self._dispatcher.run(online)
        if online.streamed:
            return Response(
                answer.events(),
                headers={**headers, "Cache-Control": "no-cache"},
                content_type="text/event-stream",
                direct_passthrough=True,
            )
        return Response(answer.read_body(), headers=headers, content_type="application/json")

    def _complete_idempotent(
        self, online: OnlineRequest, key: str, headers: dict[str, str]
    ) -> Response:
        digest = hashlib.sha256(online.workload.name.encode() + b"\0" + online.body).hexdigest()
        answer = self._keyed_requests.run(online, key, digest)
        headers[REPLAYED_HEADER] = str(answer.replayed).lower()
        return Response(
            answer.blocks,
            headers=headers,
            content_type=answer.content_type,
            direct_passthrough=True,
        )

    def _online_request(
        self,
        request: Request,
        tenant: TenantSpec,
        body: ChatCompletionBody,
        content: bytes,
        arrived_at: float,
    ) -> OnlineRequest:
        configuration = self._configuration.current
        self._check_model(body.model)
        workload = resolve_workload(
            configuration, tenant, workload_name(request), TrafficClass.ONLINE
        )
        time_limit = deadline_seconds(request) or self._settings.request_timeout
        return OnlineRequest(
            request_id=f"chatcmpl-{self._new_id()}",
            tenant=tenant,
            workload=workload,
            model=body.model,
            body=content,
            streamed=body.stream,
            at_most_once=at_most_once(request),
            prefix_key=prefix_key(tenant.name, body.model, body.messages[0].content),
            cache_salt=cache_salt(tenant.name),
            deadline=arrived_at + min(time_limit, self._settings.request_timeout),
            arrived_at=arrived_at,
        )

    def _check_model(self, model: str) -> None:
        if not self._configuration.current.serves(model):
            raise NotFoundError(f"there is no model {model!r}", parameter="model")

    def list_models(self, request: Request, tenant: TenantSpec) -> Response:
        """List all models that are served."""
        models = [self._model_document(name) for name in self._configuration.current.served_names]
        return json_response({"object": "list", "data": models})

    def show_model(self, request: Request, tenant: TenantSpec, model: str) -> Response:
        """Return one model."""
        self._check_model(model)
        return json_response(self._model_document(model))

    @staticmethod
    def _model_document(name: str) -> dict[str, str | int]:
        return {"id": name, "object": "model", "created": 0, "owned_by": "postvalve"}
