"""Runs one online request: sequential attempts at engines, and the answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent

from postvalve.clock import Clock
from postvalve.exceptions import AttemptError, DeadlineExceededError, PostvalveError, Verdict
from postvalve.node.error_documents import error_event
from postvalve.node.online.admission import Admission, AdmissionClient
from postvalve.node.online.observer import OnlineObserver
from postvalve.node.online.request import OnlineRequest
from postvalve.node.online.retries import RequestProgress, RetryPolicy
from postvalve.services.engine import EngineStream


@dataclass(frozen=True, slots=True)
class RunServices:
    """The services of a node that its request runs use."""

    clock: Clock
    admissions: AdmissionClient
    retries: RetryPolicy
    observer: OnlineObserver


class RequestRun:
    """Runs the attempts of one request one after the other, until its deadline."""

    def __init__(
        self, services: RunServices, request: OnlineRequest, on_end: Callable[[], None]
    ) -> None:
        self._admissions = services.admissions
        self._retries = services.retries
        self._observer = services.observer
        self._request = request
        self._on_end = on_end
        self._progress = RequestProgress()
        self._admission: Admission | None = None
        self._stream: EngineStream | None = None
        self._finished = False
        remaining = max(0.0, request.deadline - services.clock.monotonic())
        self._deadline_timer = gevent.spawn_later(remaining, self._expire)

    def start(self) -> OnlineAnswer:
        """Open a stream at an engine, with retries, and return the answer."""
        self._open()
        return OnlineAnswer(self)

    def _open(self) -> None:
        while True:
            try:
                self._attempt()
                return
            except AttemptError as error:
                self._record_failed_attempt(error)
                if not self._may_retry(error.verdict):
                    raise self._final_error(error) from error
            except PostvalveError as error:
                # A refusal of this attempt says nothing about the earlier ones.
                if self._progress.may_have_run:
                    error.verdict = Verdict.MAY_HAVE_RUN
                raise

    def _attempt(self) -> None:
        self._check_deadline()
        self._admission = self._admissions.admit(self._request, self._progress.failed_engines)
        self._progress.attempts += 1
        self._stream = self._admissions.open_stream(
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

    def _record_failed_attempt(self, error: AttemptError) -> None:
        assert self._admission is not None
        self._progress.failed_engines.add(self._admission.candidate.engine_id)
        if error.verdict is not Verdict.NOT_RUN:
            self._progress.may_have_run = True
        self._observer.record_failure(self._admission, error)
        self._release()

    def _may_retry(self, verdict: Verdict) -> bool:
        return self._retries.allow(self._request, self._progress, verdict)

    def _final_error(self, error: AttemptError) -> PostvalveError:
        final: PostvalveError = error
        if self._progress.expired:
            final = DeadlineExceededError("the deadline passed")
        if self._progress.may_have_run:
            final.verdict = Verdict.MAY_HAVE_RUN
        return final

    def events(self) -> Iterator[bytes]:
        """Yield the answer's events; a truncated stream is resumed or ends in an error event."""
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
            self._observer.record_early_end(self._request, error)
            yield error_event(error)
            self.finish("failed")
        finally:
            self.finish("abandoned")

    def _stream_events(self) -> Iterator[bytes]:
        assert self._stream is not None
        for event in self._stream.events():
            if not self._progress.events_sent:
                self._observer.record_first_token(self._request)
            self._progress.events_sent += 1
            yield event

    def _resume(self, error: AttemptError) -> None:
        self._record_failed_attempt(error)
        if not self._may_retry(error.verdict):
            raise self._final_error(error)
        self._open()
        self._observer.record_resume(self._request)

    def read_body(self) -> bytes:
        """Read the body of an answer that is not streamed; failed attempts may be retried."""
        while True:
            assert self._stream is not None
            try:
                content = self._stream.read_body()
                self._observer.record_first_token(self._request)
                self.finish("completed")
                return content
            except AttemptError as error:
                self._record_failed_attempt(error)
                if not self._may_retry(error.verdict):
                    self.finish("failed")
                    raise self._final_error(error) from error
                self._reopen()

    def _reopen(self) -> None:
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
            self._admissions.release(self._admission)
            self._admission = None

    def finish(self, outcome: str) -> None:
        """Release the slot and the stream, and record the outcome; later calls have no effect."""
        if self._finished:
            return
        self._finished = True
        self._deadline_timer.kill(block=False)
        self._release()
        self._observer.record_end(self._request, outcome)
        self._on_end()


class OnlineAnswer:
    """The answer to a request whose engine has accepted it."""

    def __init__(self, run: RequestRun) -> None:
        self._run = run

    def events(self) -> Iterator[bytes]:
        """Yield the encoded server-sent events of the answer."""
        return self._run.events()

    def read_body(self) -> bytes:
        """Return the complete answer as JSON.

        Raises:
            PostvalveError: if no attempt succeeded, with a verdict.
        """
        return self._run.read_body()
