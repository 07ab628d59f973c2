"""Quarantine checks and reports of one request or batch item over all of its attempts."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from postvalve.core.admission.quarantine import FATAL_START_TIME, RunPermission, Trial
from postvalve.core.admission.request_identity import RequestIdentity
from postvalve.core.membership.engine_life import EngineLife
from postvalve.events import Event
from postvalve.exceptions import EngineDisconnectedError, PostvalveError, QuarantinedError, Verdict
from postvalve.gateway.engines.part_guard import PartGuard
from postvalve.gateway.engines.quarantine_services import QuarantineServices


class QuarantineGuard:
    """Asks the quarantine whether a request may run, and reports how its runs end.

    While the quarantine is empty the only cost is one digest for each complete response, 13 us
    with a body of 1 kB.
    """

    def __init__(
        self,
        services: QuarantineServices,
        request_id: str,
        identify: Callable[[], RequestIdentity],
        identify_parts: Callable[[], Sequence[bytes]],
        *,
        is_item: bool = False,
    ) -> None:
        """Set up for one request or batch item; it is identified only once that is needed."""
        quarantine = self._quarantine = services.requests
        self._clock = services.clock
        self._events = services.events
        self._parts = PartGuard(services, request_id, identify_parts, is_item=is_item)
        self._is_item = is_item
        self._request_id = request_id
        self._identify = identify
        self._check = quarantine.check_item if is_item else quarantine.check_request
        self._identity: RequestIdentity | None = None
        self._trial: Trial | None = None
        self._life = EngineLife()
        self._sent_at = 0.0
        self._first_event_at: float | None = None
        self._is_cleared = False
        """Whether the current run has shown that the request does not crash its engine."""
        self.alone = False
        """Whether the next or current run is a trial: the request is suspect and must run alone."""

    @property
    def identity(self) -> RequestIdentity:
        """Identity of the request, the same each time that it is sent again."""
        if self._identity is None:
            self._identity = self._identify()
        return self._identity

    def check(self) -> None:
        """Determine whether the request may run now, and whether it must run alone.

        Raises:
            QuarantinedError: The request is held back.
            PromptPartHeldError: A part of its prompt is.
        """
        self.alone = False
        self._parts.check()
        if not len(self._quarantine):
            return
        decision = self._check(self.identity, self._clock.monotonic())
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
        """Record that the request is about to be sent to an engine.

        Raises:
            PromptPartHeldError: Another node tries a part of its prompt.
        """
        self._parts.begin(life)
        now = self._clock.monotonic()
        self._life, self._sent_at, self._first_event_at = life, now, None
        self._is_cleared = False
        if self.alone:
            self._trial = self._quarantine.begin_trial(self.identity, life, now)
            self._events.emit(
                Event.QUARANTINED_REQUEST_TRIED,
                request=self._request_id,
                digest=self.identity.digest.hex(),
                engine=life,
            )

    def record_head(self) -> None:
        """Record that the head of the engine's response was received."""
        self._quarantine.record_alive(self._life, self._sent_at, self._clock.monotonic())

    def record_event(self) -> None:
        """Record that an event of the response was received."""
        self._parts.record_event()
        if self._first_event_at is None:
            self._first_event_at = self._clock.monotonic()
        elif not self._is_cleared and not self._just_began:
            self.record_answer()

    def record_answer(self) -> None:
        """Record that the request does not crash its engine.

        Called when the response is complete, or has gone on for longer than a fatal request needs
        to crash its engine. Waiting for the end would be wrong for batch items: they generate for
        seconds, so engines that fail meanwhile for other reasons would put them into quarantine
        until their job's deadline has passed.
        """
        self._is_cleared = True
        self._parts.record_answer()
        self._end_trial()
        if self._quarantine.record_answer(self.identity, self._clock.monotonic()):
            self._events.emit(
                Event.QUARANTINE_CLEARED,
                request=self._request_id,
                digest=self.identity.digest.hex(),
                engine=self._life,
            )

    def record_engine_failure(self) -> None:
        """Record that the engine reported a failure: it is alive, but another may still crash.

        A reported failure must not clear the request. When it did, a fatal request crashed 18
        engines instead of 3.
        """
        self._is_cleared = True
        self._parts.record_engine_failure()
        self._end_trial()

    def record_failure(self, error: PostvalveError) -> None:
        """Record that the current run failed."""
        self._parts.record_failure(error)
        if error.verdict is Verdict.NOT_RUN:
            self._end_trial()
        elif isinstance(error, EngineDisconnectedError) and self._just_began:
            self._record_crash()
            self._end_trial()
        self.end()

    def _record_crash(self) -> None:
        now = self._clock.monotonic()
        # Items don't crash engines by themselves.
        counts = not self._is_item and self._quarantine.record_end(
            self.identity, self._life, self._sent_at, now
        )
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
        """Record that the current run is over.

        A trial may end without a result, because the client disconnected or the engine stopped
        responding. It then counts as a crash until the engine responds again.
        """
        self._parts.end()
        if self._trial is not None:
            self._record_crash()
            self._end_trial()

    def _end_trial(self) -> None:
        trial, self._trial = self._trial, None
        if trial is not None:
            self._quarantine.end_trial(trial)
