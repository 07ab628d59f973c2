"""Retry budget, retry safety and backoff of failed attempts."""

from __future__ import annotations

from postvalve.core.randomness import RandomSource
from postvalve.exceptions import Verdict

RETRY_RATIO = 0.2
"""Retries allowed per request, on average."""
RETRY_RESERVE = 100.0
"""Upper bound of the retries saved up, enough to resume all streams of an engine that dies."""
RETRY_BACKOFF_BASE = 0.010
"""Longest wait in seconds before the first retry; it doubles with each retry, with full jitter."""


class RetryBudget:
    """Limits retries to a ratio of requests: each request deposits a fraction of a retry."""

    def __init__(self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def deposit(self) -> None:
        """Count the first attempt of a request."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


def may_repeat(verdict: Verdict, *, at_most_once: bool) -> bool:
    """Return whether another attempt respects the delivery guarantee of the request."""
    if verdict is Verdict.NOT_RUN:
        return True
    return verdict is Verdict.MAY_HAVE_RUN and not at_most_once


def backoff(attempt: int, generator: RandomSource) -> float:
    """Return the seconds to wait before retry number `attempt`, counted from 0, with full
    jitter."""
    return generator.uniform(0, RETRY_BACKOFF_BASE * 2**attempt)
