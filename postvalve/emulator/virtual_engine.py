"""Engines under virtual time: `EngineModel` run by timers of the virtual event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.queue import Queue
from pydantic import ValidationError

from postvalve.emulator.engine_model import (
    Emission,
    EngineModel,
    EngineParameters,
    LoadReport,
    StepResult,
)
from postvalve.emulator.tokens import (
    DONE_EVENT,
    ChatRequest,
    chunk_event,
    completion_document,
    prompt_token_count,
)
from postvalve.emulator.virtual_network import Location, VirtualNetwork
from postvalve.exceptions import (
    AttemptError,
    CrossedAnswerError,
    EngineRejectedError,
    PlatformError,
    Verdict,
)
from postvalve.services.engine import CONNECT_TIMEOUT, TOKEN_TIMEOUT, EngineAttempt, EngineLoad

MODEL_LOAD_SECONDS = 5.0
"""Seconds that an engine takes to load a model."""


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """A load report and the virtual time at which it was made."""

    taken_at: float
    report: LoadReport


@dataclass(slots=True)
class AttemptRecord:
    """What an engine received and sent for one attempt; tests check these records."""

    attempt_id: str
    client: Location
    body: bytes
    resume_offset: int
    submitted_at: float
    last_event_at: float = 0.0
    tokens: int = 0
    finished: bool = False


@dataclass(slots=True)
class EngineFaults:
    """Injected faults; each affects one attempt and is then used up."""

    cut_after_tokens: deque[int]
    crossed_answers: int = 0
    refusals: int = 0
    unanswered_attempts: int = 0
    """Attempts that are accepted and never answered."""


class VirtualEngine:
    """An emulated engine of a simulation, with injected faults and a record of its attempts."""

    def __init__(
        self,
        network: VirtualNetwork,
        location: Location,
        models: dict[str, str],
        parameters: EngineParameters,
        load_lag: float = 0.5,
    ) -> None:
        self.network = network
        self.loop = network.loop
        self.location = location
        self.models = models
        self.model = EngineModel(parameters)
        self.faults = EngineFaults(deque())
        self.attempts: list[AttemptRecord] = []
        self.alive = True
        self.cut_prompt = ""
        """Last message of the requests whose streams are cut after one token; empty for none."""
        self.orders: list[str] = []
        self.fencing_token = 0
        self._load_lag = load_lag
        self._reports: deque[LoadSnapshot] = deque()
        self._streams: dict[str, VirtualEngineStream] = {}
        self._stepping = False

    def submit(self, attempt: EngineAttempt, client: Location) -> VirtualEngineStream:
        """Accept an attempt and return its stream.

        Raises:
            AttemptError: The engine refuses the attempt, so it did not run.
            EngineRejectedError: The request is invalid.
        """
        try:
            request = ChatRequest.model_validate_json(attempt.body)
        except ValidationError as error:
            raise EngineRejectedError(str(error)) from error
        if request.model not in self.models:
            raise AttemptError(f"model {request.model} is not loaded", Verdict.NOT_RUN)
        if self.faults.refusals > 0:
            self.faults.refusals -= 1
            raise AttemptError("refused on order", Verdict.NOT_RUN)
        version = self.models[request.model]
        try:
            self.model.submit(
                attempt.attempt_id,
                request,
                version=version,
                priority=attempt.priority,
                cache_salt=attempt.cache_salt,
                resume_offset=attempt.resume_offset,
            )
        except ValueError as error:
            raise EngineRejectedError(str(error)) from error
        return self._open_stream(attempt, request, client, version)

    def _open_stream(
        self, attempt: EngineAttempt, request: ChatRequest, client: Location, version: str
    ) -> VirtualEngineStream:
        record = AttemptRecord(
            attempt.attempt_id, client, attempt.body, attempt.resume_offset, self.loop.now()
        )
        self.attempts.append(record)
        stream = VirtualEngineStream(self, attempt, request, client, record, version)
        self._streams[attempt.attempt_id] = stream
        if self.faults.unanswered_attempts > 0:
            self.faults.unanswered_attempts -= 1
            stream.unanswered = True
        elif self.cut_prompt and request.messages[-1].content == self.cut_prompt:
            stream.cut_after = 1
        elif self.faults.cut_after_tokens:
            stream.cut_after = self.faults.cut_after_tokens.popleft()
        self._start_step()
        return stream

    def _start_step(self) -> None:
        if self._stepping or self.model.idle or not self.alive:
            return
        self._stepping = True
        result = self.model.step(self.pace())
        self._record_load()
        self.loop.call_for(self.location.owner, result.duration, self._finish_step, result)

    def pace(self) -> float:
        """Return the factor by which work takes longer than usual now."""
        return self.model.parameters.pace(self.location.owner, self.loop.now())

    def _finish_step(self, result: StepResult) -> None:
        self._stepping = False
        for emission in result.emissions:
            stream = self._streams.get(emission.attempt_id)
            if stream is not None:
                stream.emit(emission)
                if emission.finished:
                    self._streams.pop(emission.attempt_id, None)
        self._start_step()

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt and end its stream."""
        self.model.cancel(attempt_id)
        stream = self._streams.pop(attempt_id, None)
        if stream is not None:
            stream.deliver(None)

    def cancel_client(self, owner: str) -> None:
        """Cancel all attempts of a client that was killed."""
        for attempt_id, stream in list(self._streams.items()):
            if stream.client.owner == owner:
                self.cancel(attempt_id)

    def crash(self) -> None:
        """Cut every stream and answer nothing until `restart`."""
        self.alive = False
        for stream in self._streams.values():
            stream.deliver(None)
        self._streams.clear()

    def restart(self, owner: str) -> None:
        """Start again without sequences and under a new owner; records of attempts are kept."""
        self.location = Location(owner, self.location.zone)
        self.model = EngineModel(self.model.parameters)
        self._reports.clear()
        self._stepping = False
        self.alive = True

    def _record_load(self) -> None:
        now = self.loop.now()
        self._reports.append(LoadSnapshot(now, self.model.load()))
        while len(self._reports) > 1 and self._reports[1].taken_at <= now - self._load_lag:
            self._reports.popleft()

    def order(self, action: str, model: str, version: str, fencing_token: int) -> None:
        """Load or unload a model; loading takes `MODEL_LOAD_SECONDS`.

        Raises:
            PlatformError: The fencing token is older than one seen before.
        """
        if fencing_token < self.fencing_token:
            raise PlatformError("older fencing token")
        self.fencing_token = fencing_token
        self.orders.append(f"{action} {model}={version}")
        if action == "unload":
            self.models.pop(model, None)
        else:
            owner = self.location.owner
            self.loop.call_for(owner, MODEL_LOAD_SECONDS, self.models.__setitem__, model, version)

    def load(self) -> EngineLoad:
        """Return a load report that is as old as the load lag, or an empty one."""
        report = LoadReport(0, 0, self.model.parameters.slots, 0)
        if self._reports and self._reports[0].taken_at <= self.loop.now() - self._load_lag:
            report = self._reports[0].report
        return EngineLoad(report.running, report.waiting, report.slots, dict(self.models))


class VirtualEngineStream:
    """Response stream of one attempt: the engine emits tokens, and the client reads them."""

    def __init__(
        self,
        engine: VirtualEngine,
        attempt: EngineAttempt,
        request: ChatRequest,
        client: Location,
        record: AttemptRecord,
        version: str,
    ) -> None:
        self.client = client
        self.model_version = version
        self.unanswered = False
        self.cut_after: int | None = None
        self._engine = engine
        self._attempt = attempt
        self._request = request
        self._record = record
        self._queue: Queue = Queue()
        self._first: Emission | None = None
        self._ended = False

    # Engine side

    def emit(self, emission: Emission) -> None:
        """Record a token and send it to the client, unless the stream is to stay unanswered."""
        if self.unanswered:
            return
        record = self._record
        record.tokens += 1
        record.last_event_at = self._engine.loop.now()
        record.finished = emission.finished
        self.deliver(emission)
        if self.cut_after is not None and record.tokens >= self.cut_after:
            self._engine.cancel(self._attempt.attempt_id)

    def deliver(self, emission: Emission | None) -> None:
        """Send a token to the client after the network delay; None closes the connection."""
        network = self._engine.network
        if network.connected(self._engine.location, self.client):
            delay = network.delay(self._engine.location, self.client)
            network.loop.call_for(self.client.owner, delay, self._queue.put, emission)

    # Client side

    def wait_for_first(self) -> None:
        """Wait for the first token, which arrives together with the response headers.

        Raises:
            AttemptError: The stream was cut, or the token did not arrive within the time-out.
        """
        self._first = self._next_emission()

    def _next_emission(self) -> Emission:
        try:
            emission = self._queue.get(timeout=TOKEN_TIMEOUT)
        except Exception as error:
            raise AttemptError("the engine is silent", Verdict.MAY_HAVE_RUN) from error
        if emission is None:
            self._ended = True
            raise AttemptError("the engine's stream was cut", Verdict.MAY_HAVE_RUN)
        assert isinstance(emission, Emission)
        return emission

    def _emissions(self) -> Iterator[Emission]:
        while not self._ended:
            emission = self._first or self._next_emission()
            self._first = None
            self._ended = emission.finished
            yield emission

    def events(self) -> Iterator[bytes]:
        """See `EngineStream`."""
        for emission in self._emissions():
            yield chunk_event(
                self._attempt.request_id, self._request.model, [emission.text], emission.finished
            )
        yield DONE_EVENT

    def read_body(self) -> bytes:
        """See `EngineStream`."""
        text = "".join(emission.text for emission in self._emissions())
        return completion_document(
            self._attempt.request_id,
            self._request,
            text,
            prompt_token_count(self._request.prompt_text),
            self._request.token_count,
        )

    def abort(self) -> None:
        """See `EngineStream`."""
        self._queue.put(None)

    def close(self) -> None:
        """See `EngineStream`."""
        if not self._record.finished:
            engine = self._engine
            delay = engine.network.delay(self.client, engine.location)
            engine.loop.call_for(
                engine.location.owner, delay, engine.cancel, self._attempt.attempt_id
            )


class VirtualEngineClient:
    """Implementation of `Engine` for one node, with the network's delays and failures."""

    def __init__(self, engine: VirtualEngine, client: Location, address: str) -> None:
        self.address = address
        self._engine = engine
        self._client = client

    def open(self, attempt: EngineAttempt, *, batch: bool) -> VirtualEngineStream:
        """See `Engine`."""
        self._reach_engine(AttemptError("the engine refused the connection", Verdict.NOT_RUN))
        stream = self._engine.submit(attempt, self._client)
        try:
            stream.wait_for_first()
        except BaseException:
            stream.close()
            raise
        if self._engine.faults.crossed_answers > 0:
            self._engine.faults.crossed_answers -= 1
            stream.close()
            raise CrossedAnswerError
        return stream

    def _reach_engine(self, error: AttemptError) -> None:
        network = self._engine.network
        if not network.connected(self._client, self._engine.location):
            gevent.sleep(CONNECT_TIMEOUT)
            raise error
        gevent.sleep(network.delay(self._client, self._engine.location))
        if not self._engine.alive:
            raise error

    def cancel(self, attempt_id: str) -> None:
        """See `Engine`."""
        self._begin_control_call()
        self._engine.cancel(attempt_id)

    def order(self, action: str, model: str, version: str, fencing_token: int) -> None:
        """See `Engine`."""
        self._begin_control_call()
        self._engine.order(action, model, version, fencing_token)

    def load(self) -> EngineLoad:
        """See `Engine`."""
        self._begin_control_call()
        return self._engine.load()

    def _begin_control_call(self) -> None:
        try:
            self._reach_engine(AttemptError("the engine does not answer", Verdict.NOT_RUN))
        except AttemptError as error:
            raise PlatformError(error.message) from error
