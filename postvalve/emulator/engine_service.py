"""HTTP server of an emulated engine, around `EngineModel`.

Requests are chat completions. Headers carry the attempt id, the priority (0 is served first),
the cache salt and the resume offset, as for the platform's engines.
"""

from __future__ import annotations

import enum
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from urllib.parse import quote

import gevent
from gevent.event import Event
from gevent.queue import Queue
from geventhttpclient import HTTPClient
from geventhttpclient.url import URL
from pydantic import ValidationError
from werkzeug.wrappers import Request, Response

from postvalve.emulator.engine_model import (
    Emission,
    EngineModel,
    EngineParameters,
    ExportedKv,
    LoadReport,
)
from postvalve.emulator.service import EmulatorApplication, json_response
from postvalve.emulator.tokens import (
    DONE_EVENT,
    ChatRequest,
    TokenSequence,
    chunk_event,
    completion_document,
    prompt_token_count,
)
from postvalve.services.engine import (
    ATTEMPT_HEADER,
    MODEL_VERSION_HEADER,
    PRIORITY_HEADER,
    REQUEST_HEADER,
    RESUME_HEADER,
    SALT_HEADER,
)

WEIGHTS_TIMEOUT = 600.0
"""Seconds without data after which fetching weights fails."""


class EngineRole(enum.StrEnum):
    """Part of a request that an engine runs: prefill, decode, or both."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class EngineEmulation:
    """Parameters of an emulated engine, and the delay and loss of what it reports."""

    parameters: EngineParameters = field(default_factory=EngineParameters)
    load_lag: float = 0.5
    """Age of load reports, in seconds."""
    cache_event_lag: float = 1.0
    """Delay of cache events, in seconds."""
    cache_event_loss_interval: int = 50
    """One of this many cache events is not reported."""


@dataclass(slots=True)
class EngineFaults:
    """Injected faults; each affects one request and is then used up."""

    cut_after_tokens: int | None = None
    crossed_answers: int = 0
    refuse: int = 0


@dataclass(frozen=True, slots=True)
class _LaggedReport:
    taken_at: float
    report: LoadReport
    cache_events: int


class EngineServer:
    """Runs the model in real time and streams its tokens over HTTP."""

    def __init__(
        self, models: dict[str, str], emulation: EngineEmulation, weights_url: str = ""
    ) -> None:
        self._models = models
        self._weights_url = weights_url
        self._role = EngineRole.MIXED
        self._emulation = emulation
        self._model = EngineModel(emulation.parameters)
        self._queues: dict[str, Queue] = {}
        self._work_available = Event()
        self._faults = EngineFaults()
        self._reports: list[_LaggedReport] = []
        self._served = 0
        self._fencing_token = 0

    def application(self) -> EmulatorApplication:
        """Return the WSGI application."""
        return EmulatorApplication(
            {
                "POST /v1/chat/completions": self._complete,
                "DELETE /v1/attempts/<attempt_id>": self._cancel,
                "GET /v1/load": self._load,
                "GET /v1/cache-events": self._cache_events,
                "POST /v1/orders": self._order,
                "GET /v1/kv/<attempt_id>": self._export_kv,
                "POST /v1/kv": self._import_kv,
                "PUT /faults": self._set_faults,
                "GET /statistics": self._statistics,
            }
        )

    def start(self) -> None:
        """Start a greenlet that runs the steps of the model."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._record_load()
            if self._model.idle:
                self._work_available.clear()
                self._work_available.wait(self._emulation.load_lag)
                continue
            result = self._model.step()
            gevent.sleep(result.duration)
            for emission in result.emissions:
                queue = self._queues.get(emission.attempt_id)
                if queue is not None:
                    queue.put(emission)

    def _record_load(self) -> None:
        now = time.monotonic()
        report = _LaggedReport(now, self._model.load(), len(self._model.cache.events))
        self._reports.append(report)
        max_lag = max(self._emulation.load_lag, self._emulation.cache_event_lag)
        while len(self._reports) > 2 and self._reports[1].taken_at < now - max_lag:
            self._reports.pop(0)

    def _lagged(self, lag: float) -> _LaggedReport | None:
        limit = time.monotonic() - lag
        old = [report for report in self._reports if report.taken_at <= limit]
        return old[-1] if old else None

    def _complete(self, request: Request) -> Response:
        try:
            chat = ChatRequest.model_validate_json(request.get_data())
        except ValidationError as error:
            return json_response({"error": str(error)}, 400)
        if chat.model not in self._models:
            return json_response({"error": f"model {chat.model} is not loaded"}, 409)
        if self._faults.refuse > 0:
            self._faults.refuse -= 1
            return json_response({"error": "refused on order"}, 503)
        attempt_id = request.headers[ATTEMPT_HEADER]
        offset = int(request.headers.get(RESUME_HEADER, "0"))
        version = self._models[chat.model]
        self._model.submit(
            attempt_id,
            chat,
            version=version,
            priority=int(request.headers.get(PRIORITY_HEADER, "0")),
            cache_salt=request.headers.get(SALT_HEADER, ""),
            resume_offset=offset,
        )
        self._served += 1
        self._queues[attempt_id] = Queue()
        self._work_available.set()
        return self._respond(request, chat, attempt_id, version)

    def _respond(
        self, request: Request, chat: ChatRequest, attempt_id: str, version: str
    ) -> Response:
        response_attempt_id = attempt_id
        if self._faults.crossed_answers > 0:
            self._faults.crossed_answers -= 1
            response_attempt_id = f"crossed-{attempt_id}"
        headers = {ATTEMPT_HEADER: response_attempt_id, MODEL_VERSION_HEADER: version}
        request_id = request.headers.get(REQUEST_HEADER, attempt_id)
        if chat.stream:
            events = self._events(chat, attempt_id, request_id)
            return Response(events, headers=headers, content_type="text/event-stream")
        completion = self._completion(chat, attempt_id, request_id, version)
        return Response(completion, headers=headers, content_type="application/json")

    def _events(self, chat: ChatRequest, attempt_id: str, request_id: str) -> Iterator[bytes]:
        queue = self._queues[attempt_id]
        cut_after, self._faults.cut_after_tokens = self._faults.cut_after_tokens, None
        sent = 0
        try:
            while True:
                emission = self._next_emission(queue)
                yield chunk_event(request_id, chat.model, [emission.text], emission.finished)
                sent += 1
                if emission.finished:
                    break
                if cut_after is not None and sent >= cut_after:
                    raise ConnectionAbortedError(f"injected fault: cut after {sent} tokens")
            yield DONE_EVENT
        finally:
            self._discard(attempt_id)

    def _completion(
        self, chat: ChatRequest, attempt_id: str, request_id: str, version: str
    ) -> Iterator[bytes]:
        queue = self._queues[attempt_id]
        try:
            while not self._next_emission(queue).finished:
                pass
            text = TokenSequence(chat, version).text()
            prompt_tokens = prompt_token_count(chat.prompt_text)
            yield completion_document(request_id, chat, text, prompt_tokens, chat.token_count)
        finally:
            self._discard(attempt_id)

    def _discard(self, attempt_id: str) -> None:
        self._queues.pop(attempt_id, None)
        self._model.cancel(attempt_id)

    def _cancel(self, request: Request, attempt_id: str) -> Response:
        queue = self._queues.get(attempt_id)
        if queue is not None:
            queue.put(None)
        self._discard(attempt_id)
        return json_response({})

    @staticmethod
    def _next_emission(queue: Queue) -> Emission:
        emission = queue.get()
        if emission is None:
            raise ConnectionAbortedError("attempt cancelled")
        assert isinstance(emission, Emission)
        return emission

    def _load(self, request: Request) -> Response:
        lagged = self._lagged(self._emulation.load_lag)
        load = asdict(lagged.report) if lagged else asdict(LoadReport(0, 0, self._slots, 0))
        return json_response({**load, "models": self._models, "role": self._role})

    @property
    def _slots(self) -> int:
        return self._emulation.parameters.slots

    def _cache_events(self, request: Request) -> Response:
        start = request.args.get("from", 0, int)
        lagged = self._lagged(self._emulation.cache_event_lag)
        end = lagged.cache_events if lagged else 0
        loss_interval = self._emulation.cache_event_loss_interval
        events = [
            asdict(event)
            for event in self._model.cache.events[start:end]
            if event.sequence % loss_interval != loss_interval - 1
        ]
        return json_response({"events": events, "next": max(start, end)})

    def _order(self, request: Request) -> Response:
        order = request.get_json()
        fencing_token = int(order["fencing_token"])
        if fencing_token < self._fencing_token:
            return json_response({"error": "older fencing token"}, 409)
        self._fencing_token = fencing_token
        action = order["action"]
        if action == "load":
            gevent.spawn(self._load_model, str(order["model"]), str(order["version"]))
        elif action == "unload":
            self._models.pop(str(order["model"]), None)
        elif action == "set_role":
            self._role = EngineRole(order["role"])
        else:
            return json_response({"error": f"unknown action {action!r}"}, 400)
        return json_response({"models": self._models, "role": self._role})

    def _load_model(self, model: str, version: str) -> None:
        if self._weights_url:
            url = URL(self._weights_url)
            client = HTTPClient(url.host, port=url.port, network_timeout=WEIGHTS_TIMEOUT)
            client.get(f"/weights/{quote(model, safe='')}/{quote(version, safe='')}").read()
            client.close()
        self._models[model] = version

    def _export_kv(self, request: Request, attempt_id: str) -> Response:
        exported = self._model.export_kv(attempt_id)
        if exported is None:
            return json_response({"error": f"no attempt {attempt_id!r} is here"}, 404)
        return json_response(asdict(exported))

    def _import_kv(self, request: Request) -> Response:
        blocks = self._model.import_kv(ExportedKv(**request.get_json()))
        return json_response({"blocks": blocks})

    def _set_faults(self, request: Request) -> Response:
        document = request.get_json()
        self._faults = EngineFaults(
            cut_after_tokens=document.get("cut_after_tokens"),
            crossed_answers=int(document.get("crossed_answers", 0)),
            refuse=int(document.get("refuse", 0)),
        )
        return json_response({})

    def _statistics(self, request: Request) -> Response:
        return json_response({"served": self._served})
