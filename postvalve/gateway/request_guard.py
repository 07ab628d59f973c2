"""What one request, or batch item, tells the quarantine over its attempts, and gets from it."""

from __future__ import annotations

from collections.abc import Callable

from postvalve.clock import Clock
from postvalve.core.admission.quarantine import BEGIN_TIME, Quarantine, Ruling, Trial
from postvalve.events import Event, EventLog
from postvalve.exceptions import EngineCutError, PostvalveError, QuarantinedError


class RequestGuard:
    """One request's part in the quarantine. Costs nothing while nothing is known."""

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Clock,
        events: EventLog,
        request_id: str,
        digest: Callable[[], bytes],
    ) -> None:
        """Guard a request; its digest is asked for where it is needed only."""
        self._quarantine = quarantine
        self._clock = clock
        self._events = events
        self._request_id = request_id
        self._give_digest = digest
        self._digest = b""
        self._trial: Trial | None = None
        self._engine_id = ""
        self._sent_at = 0.0
        self._first_event_at: float | None = None
        self.alone = False
        """Whether the next run, or the one under way, is that of a doubtful request."""

    @property
    def digest(self) -> bytes:
        """What stands for the request each time that it comes."""
        self._digest = self._digest or self._give_digest()
        return self._digest

    def check(self) -> None:
        """See whether the request may run now, and whether alone.

        Raises:
            QuarantinedError: it may not.
        """
        self.alone = False
        if not len(self._quarantine):
            return
        decision = self._quarantine.rule(self.digest, self._clock.monotonic())
        self.alone = decision.ruling is Ruling.ALONE
        if decision.ruling is Ruling.HELD:
            self._events.emit(
                Event.REQUEST_QUARANTINED,
                request=self._request_id,
                digest=self.digest.hex(),
                ends=decision.ends,
                age=round(decision.age, 3),
                seconds=round(decision.seconds, 1),
            )
            raise QuarantinedError(decision.ends, decision.seconds)

    def begin(self, engine_id: str) -> None:
        """The request is about to be sent to an engine."""
        now = self._clock.monotonic()
        self._engine_id, self._sent_at, self._first_event_at = engine_id, now, None
        if self.alone:
            self._trial = self._quarantine.begin_trial(self.digest, engine_id, now)
            self._events.emit(
                Event.QUARANTINED_REQUEST_TRIED,
                request=self._request_id,
                digest=self.digest.hex(),
                engine=engine_id,
            )

    def note_head(self) -> None:
        """The engine has begun to answer."""
        self._quarantine.note_alive(self._engine_id, self._sent_at)

    def note_event(self) -> None:
        """An event came."""
        if self._first_event_at is None:
            self._first_event_at = self._clock.monotonic()

    def note_answered(self) -> None:
        """The engine's answer is whole."""
        if len(self._quarantine) and self._quarantine.note_answered(self.digest):
            self._events.emit(
                Event.QUARANTINE_CLEARED,
                request=self._request_id,
                digest=self.digest.hex(),
                engine=self._engine_id,
            )

    def note_failure(self, error: PostvalveError) -> None:
        """The run under way failed."""
        if isinstance(error, EngineCutError) and self._just_began:
            now = self._clock.monotonic()
            self._quarantine.note_end(self.digest, self._engine_id, now)
            decision = self._quarantine.rule(self.digest, now)
            self._events.emit(
                Event.ENGINE_ENDED_UNDER_REQUEST,
                request=self._request_id,
                digest=self.digest.hex(),
                engine=self._engine_id,
                ran=round(now - self._sent_at, 3),
                ends=decision.ends,
                ruling=decision.ruling.value,
            )
        self.end()

    @property
    def _just_began(self) -> bool:
        first = self._first_event_at
        return first is None or self._clock.monotonic() - first < BEGIN_TIME

    def end(self) -> None:
        """No run is under way any more."""
        trial, self._trial = self._trial, None
        if trial is not None:
            self._quarantine.end_trial(trial)
