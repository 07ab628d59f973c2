"""Checks and reports of one request's prompt parts over all of its attempts."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from postvalve.core.admission.part_quarantine import TRIAL_RETRY, RunningTrial
from postvalve.core.admission.quarantine import FATAL_START_TIME, RunPermission
from postvalve.core.membership.engine_life import EngineLife
from postvalve.events import Event
from postvalve.exceptions import (
    EngineDisconnectedError,
    PostvalveError,
    PromptPartHeldError,
    Verdict,
)
from postvalve.gateway.engines.quarantine_services import QuarantineServices

TRIAL_NOTICE = 0.25
"""Seconds between the announcement of a trial and its request, in which trials of other nodes
become known."""
MAX_LOGGED_PARTS = 8


class PartGuard:
    """Asks whether a request with certain prompt parts may run, and reports how its runs end."""

    def __init__(
        self,
        services: QuarantineServices,
        request_id: str,
        identify: Callable[[], Sequence[bytes]],
        *,
        is_item: bool = False,
    ) -> None:
        """Set up for one request or batch item; `identify` returns the digests of its shared
        parts, and is called only once they are needed."""
        self._is_item = is_item
        self._services = services
        self._parts = services.parts
        self._clock = services.clock
        self._request_id = request_id
        self._identify = identify
        self._digests: Sequence[bytes] | None = None
        self._suspects: tuple[bytes, ...] = ()
        """Suspect parts of a request that must run as a trial."""
        self._trial: RunningTrial | None = None
        self._life = EngineLife()
        self._sent_at = 0.0
        self._begun_at: float | None = None
        self._is_reported = False
        """Whether the current run has got past its start."""

    @property
    def digests(self) -> Sequence[bytes]:
        """Digests of the shared parts of the prompt."""
        if self._digests is None:
            self._digests = self._identify()
        return self._digests

    def check(self) -> None:
        """Determine whether the request may run now, and whether as a trial.

        Raises:
            PromptPartHeldError: It may not.
        """
        self._suspects = ()
        if not len(self._parts):
            return
        now = self._clock.monotonic()
        decision = self._parts.check(self.digests, now, is_item=self._is_item)
        if decision.permission is RunPermission.HELD:
            self._services.events.emit(
                Event.PROMPT_PART_HELD,
                request=self._request_id,
                parts=self._logged(decision.suspects),
                occasions=decision.occasions,
                age=round(decision.age, 3),
                seconds=round(decision.seconds, 1),
            )
            raise PromptPartHeldError(decision.seconds)
        if decision.permission is RunPermission.ALONE:
            self._suspects = decision.suspects

    def begin(self, life: EngineLife) -> None:
        """Record that the request is about to be sent; a trial is announced and waits before.

        Raises:
            PromptPartHeldError: Another node tries the part.
        """
        self._life, self._begun_at, self._is_reported = life, None, False
        if self._suspects:
            self._announce()
        self._sent_at = self._clock.monotonic()

    def _announce(self) -> None:
        trial = self._trial = self._parts.begin_trial(self._suspects, self._clock.monotonic())
        gevent.sleep(TRIAL_NOTICE)
        goes_first = self._parts.wins(trial, self._clock.monotonic())
        self._services.events.emit(
            Event.PROMPT_PART_TRIED,
            request=self._request_id,
            parts=self._logged(self._suspects),
            engine=self._life,
            sent=goes_first,
        )
        if not goes_first:
            self._end_trial()
            raise PromptPartHeldError(TRIAL_RETRY)

    def record_event(self) -> None:
        """Record that an event of the response was received."""
        if self._is_reported:
            return
        now = self._clock.monotonic()
        if self._begun_at is None:
            self._begun_at = now
        elif now - self._begun_at >= FATAL_START_TIME:
            self.record_answer()

    def record_answer(self) -> None:
        """Record that the response is complete, or has got past its start."""
        if self._is_reported:
            return
        self._is_reported = True
        if len(self._parts):
            begun_at = self._sent_at if self._begun_at is None else self._begun_at
            cleared = self._parts.record_good_start(self.digests, begun_at)
            if cleared:
                self._services.events.emit(
                    Event.PROMPT_PART_CLEARED,
                    request=self._request_id,
                    parts=self._logged(cleared),
                    engine=self._life,
                )
        self._end_trial()

    def record_engine_failure(self) -> None:
        """Record that the engine reported a failure, which says nothing about the parts."""
        self._end_trial()

    def record_failure(self, error: PostvalveError) -> None:
        """Record that the current run failed."""
        if isinstance(error, EngineDisconnectedError) and not self._is_reported:
            trial, self._trial = self._trial, None
            self._check_engine(trial, self._life, self._sent_at)
        elif error.verdict is Verdict.NOT_RUN:
            self._end_trial()
        else:
            self.end()

    def end(self) -> None:
        """Record that the current run is over.

        A trial whose run ends without a result may crash its engine a moment later.
        """
        trial, self._trial = self._trial, None
        if trial is not None:
            gevent.spawn_later(
                FATAL_START_TIME, self._check_engine, trial, self._life, self._sent_at
            )

    def _check_engine(self, trial: RunningTrial | None, life: EngineLife, sent_at: float) -> None:
        """Implicate the parts if the engine that a run was sent to has crashed."""
        if not self.digests:
            return
        ended_at = self._clock.monotonic()

        def on_result(has_crashed: bool) -> None:
            if has_crashed:
                self._record_crash(life, ended_at, sent_at, trial)
            if trial is None:
                return
            if has_crashed:
                # Other nodes may report what else had just begun at the engine.
                gevent.spawn_later(TRIAL_NOTICE, self._judge, trial, life, ended_at)
            else:
                self._parts.end_trial(trial, self._clock.monotonic())

        self._services.crashes.check(life, sent_at, ended_at, on_result)

    def _judge(self, trial: RunningTrial, life: EngineLife, ended_at: float) -> None:
        """Decide whether the parts on trial have crashed an engine."""
        if not self._parts.has_other_cause(life, self.digests, trial):
            self._parts.record_crash(trial.digests, life, ended_at, trial)
            self._excuse_others(trial)
        self._parts.end_trial(trial, self._clock.monotonic())

    def _record_crash(
        self, life: EngineLife, ended_at: float, sent_at: float, trial: RunningTrial | None
    ) -> None:
        self._parts.record_crash(self.digests, life, ended_at)
        self._services.events.emit(
            Event.ENGINE_CRASHED_UNDER_PARTS,
            request=self._request_id,
            parts=self._logged(self.digests),
            engine=life,
            trial=trial is not None,
            ran=round(ended_at - sent_at, 3),
        )

    def _excuse_others(self, trial: RunningTrial) -> None:
        """Excuse what ran beside a part that surely crashes engines."""
        culprits = [digest for digest in trial.digests if self._parts.is_convicted(digest)]
        if len(culprits) != 1 or len(trial.digests) != 1:
            return
        lives = self._parts.excuse_beside(culprits[0], self.digests)
        self._services.requests.excuse_lives(lives)

    def _end_trial(self) -> None:
        trial, self._trial = self._trial, None
        if trial is not None:
            self._parts.end_trial(trial, self._clock.monotonic())

    @staticmethod
    def _logged(digests: Sequence[bytes]) -> list[str]:
        return [digest.hex() for digest in digests[:MAX_LOGGED_PARTS]]
