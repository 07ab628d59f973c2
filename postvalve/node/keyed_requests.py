"""Online requests with an idempotency key, whose start is recorded on the log before they run.

A resend gets the stored answer. While the first request runs, or if its outcome is unknown, a
resend is refused as *may have run*, so that no request runs twice. A repeatable request may run
again once the deadline of an unfinished start has passed. During a log outage, requests with a
key are refused as not run; requests without a key do not need the log.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import betterproto

from postvalve.clock import milliseconds
from postvalve.core.batch.identity import request_stream
from postvalve.core.routing.keyed_request import KeyedRequest, KeyState
from postvalve.events import Event
from postvalve.exceptions import ConflictError, LogUnavailableError, PostvalveError, Verdict
from postvalve.messages.generated import records
from postvalve.messages.records_codec import parse_record
from postvalve.node.context import NodeContext
from postvalve.node.online.dispatcher import OnlineDispatcher
from postvalve.node.online.request import OnlineRequest
from postvalve.services.engine import DONE_EVENT
from postvalve.services.log import read_all

IN_PROGRESS_RETRY_AFTER = 1.0
"""Retry delay, in seconds, sent to a resend while the first request runs."""
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


@dataclass(frozen=True, slots=True)
class KeyedAnswer:
    """The answer to a request with an idempotency key, new or stored."""

    content_type: str
    blocks: Iterator[bytes]
    replayed: bool


class RequestInProgressError(ConflictError):
    """The first request with the key is running, or its outcome is unknown."""

    verdict = Verdict.MAY_HAVE_RUN
    code = "request_in_progress"


class KeyedRequests:
    """Runs requests that carry an idempotency key, at most one at a time per key."""

    def __init__(self, context: NodeContext, dispatcher: OnlineDispatcher) -> None:
        self._log = context.log
        self._writer = context.writer
        self._clock = context.clock
        self._events = context.events
        self._new_id = context.new_id
        self._dispatcher = dispatcher

    def run(self, request: OnlineRequest, key: str, digest: str) -> KeyedAnswer:
        """Run a request once, or return the stored answer.

        Raises:
            ConflictError: if the key was used for a different request.
            RequestInProgressError: if the first request runs, or its outcome is unknown.
            LogUnavailableError: with NOT_RUN, if the log did not answer before the dispatch.
        """
        stream = request_stream(request.tenant.name, key)
        keyed_request = self._read(stream, KeyedRequest())
        stored = self._stored_answer(keyed_request, digest)
        if stored is not None:
            return stored
        attempt_id = self._start(stream, keyed_request, request, digest)
        return self._dispatch(stream, attempt_id, request)

    def _read(self, stream: str, keyed_request: KeyedRequest) -> KeyedRequest:
        try:
            for entry in read_all(self._log, stream, keyed_request.next_offset):
                keyed_request.observe(entry.offset, parse_record(entry.payload))
        except LogUnavailableError as error:
            # No request is dispatched until the state of its key has been read.
            error.verdict = Verdict.NOT_RUN
            raise
        return keyed_request

    def _stored_answer(self, keyed_request: KeyedRequest, digest: str) -> KeyedAnswer | None:
        if keyed_request.request_digest and keyed_request.request_digest != digest:
            raise ConflictError(
                "this idempotency key was used for another request",
                parameter="Idempotency-Key",
                code="idempotency_key_reused",
            )
        state = keyed_request.state(milliseconds(self._clock.wall()))
        if state is KeyState.RUNNING:
            raise RequestInProgressError(
                "the request with this key is in progress", retry_after=IN_PROGRESS_RETRY_AFTER
            )
        if state is KeyState.ABANDONED and keyed_request.start and keyed_request.start.at_most_once:
            raise RequestInProgressError("the request may have run and is not repeated")
        if keyed_request.finish is None:
            return None
        content = keyed_request.finish.response_body
        return KeyedAnswer(keyed_request.finish.content_type, iter((content,)), True)

    def _start(
        self, stream: str, keyed_request: KeyedRequest, request: OnlineRequest, digest: str
    ) -> str:
        attempt_id = self._new_id()
        remaining = request.deadline - self._clock.monotonic()
        started = records.RequestStarted(
            attempt_id=attempt_id,
            request_digest=digest,
            deadline_at_ms=milliseconds(self._clock.wall() + remaining),
            at_most_once=request.at_most_once,
            replaces_attempt_id=keyed_request.start.attempt_id if keyed_request.start else "",
        )
        try:
            self._writer.append(stream, started)
        except LogUnavailableError as error:
            error.verdict = Verdict.NOT_RUN
            raise
        self._read(stream, keyed_request)
        if keyed_request.start is None or keyed_request.start.attempt_id != attempt_id:
            raise RequestInProgressError(
                "the request with this key is in progress", retry_after=IN_PROGRESS_RETRY_AFTER
            )
        return attempt_id

    def _dispatch(self, stream: str, attempt_id: str, request: OnlineRequest) -> KeyedAnswer:
        try:
            answer = self._dispatcher.run(request)
            if request.streamed:
                blocks = self._stored_events(stream, attempt_id, answer.events())
                return KeyedAnswer(EVENT_STREAM, blocks, False)
            content = answer.read_body()
        except PostvalveError as error:
            if error.verdict is Verdict.NOT_RUN:
                released = records.RequestReleased(attempt_id=attempt_id)
                self._append(stream, released)
            raise
        self._finish(stream, attempt_id, JSON, content)
        return KeyedAnswer(JSON, iter((content,)), False)

    def _stored_events(
        self, stream: str, attempt_id: str, events: Iterator[bytes]
    ) -> Iterator[bytes]:
        collected: list[bytes] = []
        for event in events:
            collected.append(event)
            if event == DONE_EVENT:
                # Stored before the client receives the event that completes the answer.
                self._finish(stream, attempt_id, EVENT_STREAM, b"".join(collected))
            yield event

    def _finish(self, stream: str, attempt_id: str, content_type: str, content: bytes) -> None:
        finished = records.RequestFinished(
            attempt_id=attempt_id, content_type=content_type, response_body=content
        )
        self._append(stream, finished)

    def _append(self, stream: str, body: betterproto.Message) -> None:
        try:
            self._writer.append(stream, body)
        except LogUnavailableError as error:
            # The client still gets its answer or error; a resend is refused as may have run.
            self._events.emit(Event.LOG_UNAVAILABLE, stream=stream, error=error.message)
