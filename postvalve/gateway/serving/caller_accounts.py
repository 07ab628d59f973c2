"""Counts how requests at this node end, by tenant, for metrics, the status document and the log."""

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
    RouteUnknownError,
    StoreUnreachableError,
    Verdict,
)
from postvalve.gateway.serving.http_server import TruncatedAnswer

SUMMARY_INTERVAL = 10.0
"""Seconds between two log events that summarise what tenants got."""
MAX_HOLDERS = 3
"""Number of tenants named as those with the most requests at engines."""
TENANTS_PER_LIST = 5
"""Number of tenants in each list of a summary event."""

END_BY_ERROR: dict[type[BaseException], End] = {
    AuthenticationError: End.KEY_UNKNOWN,
    KeyUnknownError: End.KEY_UNKNOWN,
    InvalidRequestError: End.INVALID,
    NotFoundError: End.INVALID,
    RouteUnknownError: End.REFUSED_ELSE,
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
"""The outcome that each error stands for; of an error's base classes the nearest one decides."""


def end_of(error: BaseException) -> End:
    """Return the outcome of a request that raised `error`."""
    if isinstance(error, TruncatedAnswer) and error.__cause__ is not None:
        return end_of(error.__cause__)
    for kind in type(error).__mro__:
        if kind in END_BY_ERROR:
            return END_BY_ERROR[kind]
    not_run = isinstance(error, PostvalveError) and error.verdict is Verdict.NOT_RUN
    return End.REFUSED_ELSE if not_run else End.FAILED


class RequestAccount:
    """Outcome and times of one request.

    As a context manager it records the request on exit, whatever happened.
    """

    __slots__ = (
        "_accounts",
        "_arrived_at",
        "_clock",
        "_counted",
        "_end",
        "_engine_seconds",
        "_first_event_at",
        "_placed_at",
        "_target_latency",
        "_tenant",
        "_waited",
    )

    def __init__(self, accounts: Accounts, clock: Clock, arrived_at: float) -> None:
        self._accounts = accounts
        self._counted = True
        self._clock = clock
        self._arrived_at = arrived_at
        self._tenant = ""
        self._target_latency = 0.0
        self._waited: float | None = None
        """Seconds until the first attempt at an engine began; None before that."""
        self._placed_at: float | None = None
        """When the current attempt began; None between attempts."""
        self._first_event_at: float | None = None
        self._engine_seconds = 0.0
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
        self._accounts.record_request(
            self._tenant,
            self._end or End.FAILED,
            now,
            waited=now - self._arrived_at if self._waited is None else self._waited,
            sent=self._waited is not None,
            engine_seconds=self._engine_seconds,
        )

    def exclude(self) -> None:
        """Leave this call out of the counts, since it asks for no work of an engine."""
        self._counted = False

    def identify(self, tenant: str, target_latency: float) -> None:
        """Set the request's tenant, and the seconds after which its first event counts as late."""
        self._tenant = tenant
        self._target_latency = target_latency

    def attempt_started(self, now: float) -> None:
        """Record that an attempt at an engine begins."""
        self._placed_at = now
        self._accounts.record_start(self._tenant)
        if self._waited is None:
            self._waited = now - self._arrived_at

    def attempt_refused(self) -> None:
        """Record that the engine refused the current attempt; its time is not engine time."""
        self._end_attempt()

    def attempt_ended(self) -> None:
        """Record that the engine is done with the current attempt, if there is one."""
        placed_at = self._end_attempt()
        if placed_at is not None:
            self._engine_seconds += self._clock.monotonic() - placed_at

    def _end_attempt(self) -> float | None:
        """End the current attempt; returns when it began, or None if there is none."""
        placed_at, self._placed_at = self._placed_at, None
        if placed_at is not None:
            self._accounts.record_stop(self._tenant)
        return placed_at

    def first_event(self) -> None:
        """Record that the first event of the response has arrived."""
        self._first_event_at = self._clock.monotonic()

    def completed(self) -> None:
        """Record that the response is complete."""
        first_event_at = (
            self._clock.monotonic() if self._first_event_at is None else self._first_event_at
        )
        in_time = first_event_at - self._arrived_at <= self._target_latency
        self._end = self._end or (End.IN_TIME if in_time else End.LATE)

    def failed(self, error: BaseException) -> None:
        """Record that the request failed with `error`; an outcome recorded earlier stands."""
        self._end = self._end or end_of(error)


class CallerAccounts:
    """Request counts of this node by tenant."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self.accounts = Accounts()
        self._logged_at = clock.monotonic()
        self._logged_count = 0
        """Number of records counted up to the last summary event."""

    def open(self, arrived_at: float) -> RequestAccount:
        """Return an account for a request that has arrived; its tenant is set later."""
        return RequestAccount(self.accounts, self._clock, arrived_at)

    def rows(self) -> list[Row]:
        """Return one row for each tenant, see `Accounts.rows`."""
        return self.accounts.rows(self._clock.monotonic())

    def documents(self) -> list[dict[str, Any]]:
        """Return the rows as JSON objects for the status document."""
        return [row.fields() for row in self.rows()]

    def holders(self) -> dict[str, int]:
        """Return the tenants with the most online requests at engines now, with their numbers."""
        return self.accounts.holders(MAX_HOLDERS)

    def log_summary(self) -> None:
        """Emit a summary event if it is due and anything was counted since the last one."""
        now = self._clock.monotonic()
        if (
            now - self._logged_at < SUMMARY_INTERVAL
            or self._logged_count == self.accounts.change_count
        ):
            return
        self._logged_at, self._logged_count = now, self.accounts.change_count
        recent = {row.tenant: row.recent for row in self.rows() if row.tenant not in ("", OTHERS)}
        recent = {tenant: counts for tenant, counts in recent.items() if counts != Counts()}
        if not recent:
            return
        self._events.emit(
            Event.TENANTS_SERVED,
            tenants=len(recent),
            largest=[
                _summary(one, recent[one])
                for one in top_tenants(recent, by_asked, TENANTS_PER_LIST)
            ],
            worst=[
                _summary(one, recent[one])
                for one in top_tenants(recent, by_in_time_score, TENANTS_PER_LIST)
            ],
        )


def _summary(tenant: str, counts: Counts) -> dict[str, Any]:
    """Return the non-zero counts of a tenant."""
    nonzero = {name: value for name, value in counts.fields().items() if value}
    return {"tenant": tenant, **nonzero}
