"""What one request, or batch item, tells the quarantine over its attempts, and gets from it."""

from __future__ import annotations

from collections.abc import Callable

from postvalve.clock import Clock
from postvalve.core.admission.quarantine import FATAL_START_TIME, Quarantine, RunPermission, Trial
from postvalve.core.admission.request_identity import RequestIdentity
from postvalve.core.membership.engine_life import EngineLife
from postvalve.events import Event, EventLog
from postvalve.exceptions import EngineDisconnectedError, PostvalveError, QuarantinedError, Verdict


class QuarantineGuard:
    """One request's part in the quarantine.

    While nothing is known it costs a digest for each answer, 13 us at 1 kB of body.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Clock,
        events: EventLog,
        request_id: str,
        identify: Callable[[], RequestIdentity],
    ) -> None:
        """Guard a request; its identity is worked out only where it is needed."""
        self._quarantine = quarantine
        self._clock = clock
        self._events = events
        self._request_id = request_id
        self._identify = identify
        self._identity: RequestIdentity | None = None
        self._trial: Trial | None = None
        self._life = EngineLife()
        self._sent_at = 0.0
        self._first_event_at: float | None = None
        self._cleared = False
        """Whether the run under way has shown that the request ends no engine."""
        self.alone = False
        """Whether the next run, or the one under way, is that of a doubtful request."""

    @property
    def identity(self) -> RequestIdentity:
        """What stands for the request each time that it comes."""
        if self._identity is None:
            self._identity = self._identify()
        return self._identity

    def check(self) -> None:
        """See whether the request may run now, and whether alone.

        Raises:
            QuarantinedError: it may not.
        """
        self.alone = False
        if not len(self._quarantine):
            return
        decision = self._quarantine.check_request(self.identity, self._clock.monotonic())
        self.alone = decision.permission is RunPermission.ALONE
        if decision.permission is RunPermission.HELD:
            self._events.emit(
                Event.REQUEST_QUARANTINED,
                request=self._request_id,
                digest=self.identity.digest.hex(),
                ends=decision.ends,
                age=round(decision.age, 3),
                seconds=round(decision.seconds, 1),
            )
            raise QuarantinedError(decision.seconds)

    def begin(self, life: EngineLife) -> None:
        """The request is about to be sent to an engine."""
        now = self._clock.monotonic()
        self._life, self._sent_at, self._first_event_at = life, now, None
        self._cleared = False
        if self.alone:
            self._trial = self._quarantine.begin_trial(self.identity, life, now)
            self._events.emit(
                Event.QUARANTINED_REQUEST_TRIED,
                request=self._request_id,
                digest=self.identity.digest.hex(),
                engine=life,
            )

    def record_head(self) -> None:
        """The engine has begun to answer."""
        self._quarantine.record_alive(self._life, self._sent_at, self._clock.monotonic())

    def record_event(self) -> None:
        """An event came."""
        if self._first_event_at is None:
            self._first_event_at = self._clock.monotonic()
        elif not self._cleared and not self._just_began:
            self.record_answer()

    def record_answer(self) -> None:
        """The engine's answer is whole, or has gone on for so long that the request can't end it.

        An item runs for seconds, and is lost with its job's time where it is held back: one that
        three engines cut short while they generated for it is none that ends engines.
        """
        self._cleared = True
        self._end_trial()
        if self._quarantine.record_answer(self.identity, self._clock.monotonic()):
            self._events.emit(
                Event.QUARANTINE_CLEARED,
                request=self._request_id,
                digest=self.identity.digest.hex(),
                engine=self._life,
            )

    def record_engine_failure(self) -> None:
        """The engine's answer is a failure: it lives, and the next one may end all the same.

        Taken for an answer that clears the request, one such failure let 18 engines end for 3.
        """
        self._cleared = True
        self._end_trial()

    def record_failure(self, error: PostvalveError) -> None:
        """The run under way failed."""
        if error.verdict is Verdict.NOT_RUN:
            self._end_trial()
        elif isinstance(error, EngineDisconnectedError) and self._just_began:
            self._note_end()
            self._end_trial()
        self.end()

    def _note_end(self) -> None:
        now = self._clock.monotonic()
        counts = self._quarantine.record_end(self.identity, self._life, self._sent_at, now)
        decision = self._quarantine.check_request(self.identity, now)
        self._events.emit(
            Event.ENGINE_ENDED_UNDER_REQUEST,
            request=self._request_id,
            digest=self.identity.digest.hex(),
            engine=self._life,
            ran=round(now - self._sent_at, 3),
            counts=counts,
            ends=decision.ends,
            ruling=decision.permission.value,
        )

    @property
    def _just_began(self) -> bool:
        first = self._first_event_at
        return first is None or self._clock.monotonic() - first < FATAL_START_TIME

    def end(self) -> None:
        """No run is under way any more.

        A doubtful run may have ended without telling how it went: its client left, or its engine
        fell silent. That counts as an end until the engine is heard again.
        """
        if self._trial is not None:
            self._note_end()
            self._end_trial()

    def _end_trial(self) -> None:
        trial, self._trial = self._trial, None
        if trial is not None:
            self._quarantine.end_trial(trial)
