"""Decides whether and when a failed attempt is retried."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent

from postvalve.core.routing.retry import RetryBudget, backoff, may_repeat
from postvalve.exceptions import Verdict
from postvalve.node.context import NodeContext
from postvalve.node.online.request import OnlineRequest

MAX_ATTEMPTS = 4
"""Maximum attempts at engines for one request, including the first."""


@dataclass(slots=True)
class RequestProgress:
    """Attempts of a request, and how far its answer has come."""

    attempts: int = 0
    failed_engines: set[str] = field(default_factory=set)
    events_sent: int = 0
    model_version: str = ""
    expired: bool = False
    may_have_run: bool = False


class RetryPolicy:
    """Decides on retries, within the retry budget of this node."""

    def __init__(self, context: NodeContext) -> None:
        self._clock = context.clock
        self._random = context.generator
        self._budget = RetryBudget()

    def count_request(self) -> None:
        """Count the first attempt of a request, which adds a fraction of a retry to the budget."""
        self._budget.deposit()

    def allow(self, request: OnlineRequest, progress: RequestProgress, verdict: Verdict) -> bool:
        """Return whether a failed attempt may be retried; if so, sleeps for the backoff first."""
        if progress.attempts >= MAX_ATTEMPTS or progress.expired:
            return False
        if not may_repeat(verdict, at_most_once=request.at_most_once):
            return False
        delay = backoff(progress.attempts - 1, self._random)
        if self._clock.monotonic() + delay >= request.deadline:
            return False
        if not self._budget.withdraw():
            return False
        gevent.sleep(delay)
        return True
