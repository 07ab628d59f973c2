"""What callers of this node got: how requests end, put into the accounts and told to operators."""

from __future__ import annotations

from types import TracebackType
from typing import Any

from postvalve.clock import Clock
from postvalve.core.scheduling.accounts import (
    OTHERS,
    Accounts,
    Counts,
    End,
    Row,
    by_asked,
    by_in_time_score,
    top_tenants,
)
from postvalve.events import Event, EventLog
from postvalve.exceptions import (
    AuthenticationError,
    ClientGoneError,
    DrainingError,
    GivenUpError,
    InvalidRequestError,
    KeyUnknownError,
    LimitUnknownError,
    NotFoundError,
    NotReadyError,
    PostvalveError,
    RateLimitedError,
    RefusedError,
    RequestExpiredError,
    StoreUnreachableError,
    Verdict,
)
from postvalve.gateway.serving.http_server import TruncatedAnswer

SUMMARY_INTERVAL = 10.0
"""Seconds between lines about what tenants got."""
HOLDERS = 3
"""Tenants that are named as those who hold engines."""
TENANTS_PER_LIST = 5
"""Tenants of each order in such a line."""

ENDS: dict[type[BaseException], End] = {
    AuthenticationError: End.KEY_UNKNOWN,
    KeyUnknownError: End.KEY_UNKNOWN,
    InvalidRequestError: End.INVALID,
    NotFoundError: End.INVALID,
    RateLimitedError: End.OVER_LIMIT,
    LimitUnknownError: End.COUNT_UNKNOWN,
    DrainingError: End.NODE_LEAVING,
    StoreUnreachableError: End.STORE_AWAY,
    RequestExpiredError: End.TIME_OVER,
    NotReadyError: End.REFUSED_ELSE,
    RefusedError: End.NO_ROOM,
    GivenUpError: End.GIVEN_UP,
    ClientGoneError: End.LEFT,
    GeneratorExit: End.LEFT,
}
"""How requests end by an error; the nearest class of an error counts."""


def end_of(error: BaseException) -> End:
    """How a request ended that raised `error`."""
    if isinstance(error, TruncatedAnswer) and error.__cause__ is not None:
        return end_of(error.__cause__)
    for kind in type(error).__mro__:
        if kind in ENDS:
            return ENDS[kind]
    not_run = isinstance(error, PostvalveError) and error.verdict is Verdict.NOT_RUN
    return End.REFUSED_ELSE if not_run else End.FAILED


class RequestAccount:
    """One request, from its arrival to its end; a context that ends it whatever happens."""

    __slots__ = (
        "_arrived_at",
        "_book",
        "_clock",
        "_counted",
        "_end",
        "_first_at",
        "_placed_at",
        "_seconds",
        "_target_latency",
        "_tenant",
        "_waited",
    )

    def __init__(self, accounts: Accounts, clock: Clock, arrived_at: float) -> None:
        self._book = accounts
        self._counted = True
        self._clock = clock
        self._arrived_at = arrived_at
        self._tenant = ""
        self._target_latency = 0.0
        self._waited: float | None = None
        """Seconds until its first engine got it; None before."""
        self._placed_at: float | None = None
        """When the attempt under way began."""
        self._first_at: float | None = None
        self._seconds = 0.0
        self._end: End | None = None

    def __enter__(self) -> RequestAccount:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.attempt_ended()
        if error is not None:
            self.failed(error)
        if not self._counted:
            return
        now = self._clock.monotonic()
        self._book.record_request(
            self._tenant,
            self._end or End.FAILED,
            now,
            waited=now - self._arrived_at if self._waited is None else self._waited,
            sent=self._waited is not None,
            engine_seconds=self._seconds,
        )

    def exclude(self) -> None:
        """Do not count it: it asks for nothing that an engine does."""
        self._counted = False

    def identify(self, tenant: str, target_latency: float) -> None:
        """Tell whose it is, and the seconds after which its first event is late."""
        self._tenant = tenant
        self._target_latency = target_latency

    def attempt_started(self, now: float) -> None:
        """An attempt at an engine begins."""
        self._placed_at = now
        self._book.record_start(self._tenant)
        if self._waited is None:
            self._waited = now - self._arrived_at

    def attempt_refused(self) -> None:
        """The engine did not take the attempt under way."""
        self._take_back()

    def attempt_ended(self) -> None:
        """The engine is done with the attempt under way, if there is one."""
        placed_at = self._take_back()
        if placed_at is not None:
            self._seconds += self._clock.monotonic() - placed_at

    def _take_back(self) -> float | None:
        """End the attempt under way; returns when it began, None where there is none."""
        placed_at, self._placed_at = self._placed_at, None
        if placed_at is not None:
            self._book.record_stop(self._tenant)
        return placed_at

    def first_event(self) -> None:
        """The first event of its answer came."""
        self._first_at = self._clock.monotonic()

    def completed(self) -> None:
        """Its answer is whole."""
        first_at = self._clock.monotonic() if self._first_at is None else self._first_at
        in_time = first_at - self._arrived_at <= self._target_latency
        self._end = self._end or (End.IN_TIME if in_time else End.LATE)

    def failed(self, error: BaseException) -> None:
        """It ended by an error; what was told first counts."""
        self._end = self._end or end_of(error)


class CallerAccounts:
    """The accounts of this node, for its parts and its operators."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self.accounts = Accounts()
        self._told_at = clock.monotonic()
        self._told = 0
        """What was counted until the last line."""

    def open(self, arrived_at: float) -> RequestAccount:
        """An account for a request that arrived; nobody's until it is told whose it is."""
        return RequestAccount(self.accounts, self._clock, arrived_at)

    def rows(self) -> list[Row]:
        """See `Accounts.rows`."""
        return self.accounts.rows(self._clock.monotonic())

    def documents(self) -> list[dict[str, Any]]:
        """The rows, for the status document."""
        return [row.fields() for row in self.rows()]

    def holders(self) -> dict[str, int]:
        """Tenants with the most online requests of this node at engines now, and how many."""
        return self.accounts.holders(HOLDERS)

    def log_summary(self) -> None:
        """Write a line once in a while, if tenants got anything since the last one."""
        now = self._clock.monotonic()
        if now - self._told_at < SUMMARY_INTERVAL or self._told == self.accounts.change_count:
            return
        self._told_at, self._told = now, self.accounts.change_count
        lately = {row.tenant: row.recent for row in self.rows() if row.tenant not in ("", OTHERS)}
        lately = {tenant: counts for tenant, counts in lately.items() if counts != Counts()}
        if not lately:
            return
        self._events.emit(
            Event.TENANTS_SERVED,
            tenants=len(lately),
            largest=[
                _summary(one, lately[one])
                for one in top_tenants(lately, by_asked, TENANTS_PER_LIST)
            ],
            worst=[
                _summary(one, lately[one])
                for one in top_tenants(lately, by_in_time_score, TENANTS_PER_LIST)
            ],
        )


def _summary(tenant: str, counts: Counts) -> dict[str, Any]:
    """The counts of a line that are not 0."""
    told = {name: value for name, value in counts.fields().items() if value}
    return {"tenant": tenant, **told}
