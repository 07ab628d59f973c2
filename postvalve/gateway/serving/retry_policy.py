"""Whether, and until when, one request is offered to further engines."""

from __future__ import annotations

from dataclasses import dataclass, field

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.known_facts import VersionEvidence
from postvalve.exceptions import Verdict
from postvalve.gateway.serving.pace_observer import Attempts
from postvalve.settings.routes import RepeatPolicy, RouteSpec

MAX_TRIES = 4
"""Engines that one request may be sent to; those that refused it, or the connection, are not
counted."""
FAIL_OVER_EARLY_TRIES = 2
"""Number of attempts, the first ones, in which connecting is given up early. The later ones get all
their time: if no connection comes up, it is rather this node that is slow."""
REFUSAL_BACKOFF = 0.04
"""Seconds before the engines are asked again after all have refused, doubled for each round."""
MAX_REFUSAL_BACKOFF = 0.32
MAX_WAIT_SHARE = 0.5
"""Fraction of a request's time that it may wait for an engine to be listed, or be offered again
after refusals; the rest is left for the client to be served by another node."""
UNCONFIRMED_PATIENCE = 0.25
"""Seconds for which engines are tried whose version no read of the directory shows."""


@dataclass(slots=True)
class AttemptProgress(Attempts):
    """What became of a request's attempts so far."""

    runs: int = 0
    """Number of engines that may have run the request."""
    refused_connections: int = 0
    """Number of tries at which nothing listened at the engine's address."""
    any_listened: bool = False
    """Whether an engine has accepted a connection."""
    broke_off: bool = False
    """Whether an attempt broke off, so that the next ones open new connections."""
    tried: set[EngineLife] = field(default_factory=set)
    last_event_id: int | None = None
    events: int = 0
    version: str | None = None
    """Version of the engines that may go on with the stream; None while any may begin it."""
    evidence: VersionEvidence | None = None
    """What shows that an engine of this version began it; None if other nodes know it, too."""
    unconfirmed_since: float | None = None
    """Monotonic seconds since which no engine could be shown to be of this version."""

    @property
    def has_tries_left(self) -> bool:
        """Whether the request may be sent to a further engine."""
        return self.tries - self.refused_connections < MAX_TRIES

    def next_backoff(self) -> float:
        """Return the seconds to wait after every engine has refused, and begin the next round."""
        pause = min(MAX_REFUSAL_BACKOFF, REFUSAL_BACKOFF * 2**self.refused_rounds)
        self.refused_rounds += 1
        self.tried.clear()
        return pause


class RetryPolicy:
    """Decides by a request's route, its time and the progress of its attempts.

    All times are monotonic seconds.
    """

    def __init__(self, route: RouteSpec, arrived_at: float, deadline: float) -> None:
        self._route = route
        self._arrived_at = arrived_at
        self._deadline = deadline

    def may_run_elsewhere(self, progress: AttemptProgress, *, is_counted: bool) -> bool:
        """Whether a further engine may run the request if the present attempt ends.

        Args:
            progress: The attempts so far.
            is_counted: Whether the present attempt is among the runs.
        """
        route = self._route
        is_repeatable = route.repeat is RepeatPolicy.RESUMABLE or (
            route.repeat is RepeatPolicy.SAFE and progress.events == 0
        )
        runs = progress.runs + (0 if is_counted else 1)
        return is_repeatable and progress.has_tries_left and runs < route.max_attempts

    def may_retry(
        self,
        progress: AttemptProgress,
        verdict: Verdict,
        now: float,
        *,
        has_untried_engines: bool,
        client_has_headers: bool,
    ) -> bool:
        """Whether the request may be offered again after an attempt that failed.

        Args:
            progress: The attempts so far.
            verdict: Whether the attempt may have run.
            now: The present time.
            has_untried_engines: Whether there are engines that were not tried in this round.
            client_has_headers: Whether the client has the head of an answer.
        """
        route = self._route
        if now >= self._deadline:
            return False
        if not progress.has_tries_left or progress.runs >= route.max_attempts:
            return False
        since = progress.unconfirmed_since
        if since is not None and now - since >= UNCONFIRMED_PATIENCE:
            return False
        if verdict is Verdict.NOT_RUN:
            may_wait = now < self.latest_wait(client_has_headers=client_has_headers)
            return may_wait and not self._no_engine_listens(progress, has_untried_engines)
        if route.repeat is RepeatPolicy.SAFE:
            return progress.events == 0
        return route.repeat is RepeatPolicy.RESUMABLE

    def latest_wait(self, *, client_has_headers: bool) -> float:
        """Return until when the request may wait for an engine that takes it.

        Enough time must be left for the client to retry and be served by another node. One that has
        begun to receive an answer has nowhere else to go.
        """
        if client_has_headers:
            return self._deadline
        return self._arrived_at + (self._deadline - self._arrived_at) * MAX_WAIT_SHARE

    @staticmethod
    def _no_engine_listens(progress: AttemptProgress, has_untried_engines: bool) -> bool:
        """Whether every engine refused its connection, so that none has capacity to wait for."""
        tried_enough = progress.refused_connections >= MAX_TRIES
        return tried_enough and not progress.any_listened and not has_untried_engines
