"""The WSGI application that clients talk to: routing, request limits, responses and errors."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.admission.callers import (
    KEY_RETRY_AFTER,
    Caller,
    KeyPolicy,
    identify_caller,
)
from postvalve.core.randomness import RandomSource
from postvalve.core.routing.route_table import RouteTable, choose_target, target_fraction
from postvalve.core.serving.http_status import WITHOUT_BODY
from postvalve.events import Event, EventLog
from postvalve.exceptions import (
    AuthenticationError,
    DrainingError,
    HeadTooLargeError,
    KeyUnknownError,
    NotFoundError,
    NotReadyError,
    PostvalveError,
    RouteUnknownError,
    Verdict,
)
from postvalve.gateway.engines.engine_answer import EngineAnswer
from postvalve.gateway.interfaces import RequestTerms
from postvalve.gateway.knowledge.state_age import StateAge
from postvalve.gateway.serving.arrivals import Arrivals
from postvalve.gateway.serving.caller_accounts import CallerAccounts, RequestAccount
from postvalve.gateway.serving.disconnect_watcher import DisconnectWatcher
from postvalve.gateway.serving.http_calls import HttpCall, HttpReply, JobCalls, error_reply
from postvalve.gateway.serving.http_server import (
    CONNECTION_KEY,
    HEADERS_KEY,
    ON_LAG_KEY,
    TARGET_KEY,
    TruncatedAnswer,
)
from postvalve.gateway.serving.read_ahead import ReadAhead, SlowClients
from postvalve.gateway.serving.request_body import UNREAD_ERRORS, BodyReader
from postvalve.gateway.serving.routed_run import RoutedRequest, RoutedRun, RunServices
from postvalve.settings.routes import EdgeLimits, RouteSpec

STARTUP_WAIT = 2.5
"""Seconds that a request waits at a node that has just started, until it has a configuration and
engines. A start takes less than one second; directory entries that expired while the store was
unavailable are back after two."""
STARTUP_WAIT_SHARE = 0.5
"""Fraction of a request's time that it may spend waiting for a node to start; the rest is left for
the client to be served by another node."""
DRAINING_RETRY_AFTER = 0.1
"""Retry-After in seconds from a node that is draining; other nodes can serve the client at once."""
NOT_READY_RETRY_AFTER = 0.5
"""Retry-After in seconds from a node that has no configuration yet."""
ROUTE_RETRY_AFTER = 0.3
"""Retry-After in seconds from a node that may not know a route yet; other nodes may know it."""
DEADLINE_MARGIN = 0.02
"""Seconds before the route's timeout at which a request is given up, so that the error response
still reaches the client in time."""
LATE_READ = 0.25
"""Seconds that a request must have waited to be read for a log line about it."""
DENIAL_TIMEOUT = 0.25
"""Seconds that a read of the configuration may take before a caller is denied a route or key."""
MAX_LOGGED_PATH = 100
"""Most characters of a request's path in a log line."""
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
    )
)
"""Hop-by-hop headers, which apply to a single connection and are not forwarded."""

StartResponse = Callable[..., Any]


class GatewayApplication:
    """WSGI application of the client-facing server."""

    def __init__(
        self,
        services: RunServices,
        jobs: JobCalls,
        table: Callable[[], RouteTable | None],
        usable: GeventEvent,
        generator: RandomSource,
        accounts: CallerAccounts,
        slow_clients: SlowClients,
        arrivals: Arrivals,
    ) -> None:
        self._services = services
        self._slow_clients = slow_clients
        self._arrivals = arrivals
        self._clock: Clock = services.clock
        self._events: EventLog = services.events
        self._jobs = jobs
        self._table = table
        self._usable = usable
        self._random = generator
        self._accounts = accounts
        self.draining = False
        """Whether responses carry `Connection: close`."""
        self.refusing = False
        """Whether new requests are refused."""
        self._runs: set[RoutedRun] = set()
        self.in_progress = 0
        self.state_age: Callable[[], StateAge] = StateAge
        self.await_configuration: Callable[[float], bool] = lambda timeout: True
        """Waits, for some seconds at most, for a read of the configuration that begins afterwards;
        returns whether there was one."""
        self.key_policy = KeyPolicy()

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request and count it under its tenant."""
        self.in_progress += 1
        delay = self._arrivals.delay(environ[CONNECTION_KEY])
        arrived_at = self._clock.monotonic() - delay
        if delay >= LATE_READ:
            self._log_late_read(environ, delay)
        try:
            with self._accounts.open(arrived_at) as account:
                yield from self._serve(environ, start_response, arrived_at, account)
        finally:
            self.in_progress -= 1

    def _log_late_read(self, environ: dict[str, Any], delay: float) -> None:
        terms = self._services.dialect.read_terms(environ[HEADERS_KEY])
        self._events.emit(
            Event.REQUEST_READ_LATE, request=terms.request_id, seconds=round(delay, 3)
        )

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        arrived_at: float,
        account: RequestAccount,
    ) -> Iterator[bytes]:
        request_id = ""
        try:
            call = self._read_call(environ)
            if self.refusing:
                raise DrainingError("this node is leaving", retry_after=DRAINING_RETRY_AFTER)
            table = self._wait_for_table(call)
            if self._jobs.matches(call):
                caller = self._caller(call, table, _needs_key)
                account.exclude()
                yield from self._send(start_response, self._jobs.serve(call, caller))
                return
            route, table = self._route(call, table)
            caller = self._caller(
                call,
                table,
                lambda call, table: not (table.match(call.host, call.path) or route).anonymous,
            )
            account.identify(caller.name, route.target_latency)
            if route.batch is not None:
                reply = self._jobs.submit(call, route, caller)
                account.completed()
                yield from self._send(start_response, reply)
                return
            request = self._routed_request(call, route, caller, arrived_at, account)
            request_id = request.terms.request_id
            yield from self._relay(request, environ, start_response)
        except PostvalveError as error:
            account.failed(error)
            self._log_failure(request_id, error, arrived_at)
            yield from self._send(start_response, self._error_reply(error))
        except (GeneratorExit, TruncatedAnswer):
            raise
        except Exception as error:  # any failure gets a response, and the process keeps running
            account.failed(error)
            self._events.emit(Event.REQUEST_ERROR, request=request_id, error=repr(error))
            failure = PostvalveError("unexpected error")
            failure.verdict = Verdict.MAY_HAVE_RUN
            yield from self._send(start_response, self._error_reply(failure))

    def _error_reply(self, error: PostvalveError) -> HttpReply:
        seconds = error.retry_after
        retry = self._services.dialect.retry_headers(seconds) if seconds is not None else []
        if isinstance(error, UNREAD_ERRORS):
            retry = [*retry, ("Connection", "close")]
        return error_reply(error, retry)

    def _log_failure(self, request_id: str, error: PostvalveError, arrived_at: float) -> None:
        if not request_id and error.http_status < 500:
            return
        self._events.emit(
            Event.ROUTED_REQUEST_FAILED,
            request=request_id,
            status=error.http_status,
            code=error.code,
            verdict=error.verdict.value,
            age=round(self._clock.monotonic() - arrived_at, 3),
            **self.state_age().fields(),
            error=error.message,
        )

    def _read_call(self, environ: dict[str, Any]) -> HttpCall:
        table, headers = self._table(), environ[HEADERS_KEY]
        limits = table.configuration.limits if table else EdgeLimits()
        body = BodyReader(
            environ,
            limits.body_bytes if table else None,
            limits.header_timeout,
            self._slow_clients,
            lambda: self._services.dialect.read_terms(headers).request_id,
        )
        call = HttpCall(
            environ["REQUEST_METHOD"],
            environ[TARGET_KEY],
            environ.get("HTTP_HOST", ""),
            headers,
            body.read(),
            address=environ.get("REMOTE_ADDR", ""),
        )
        if table and call.header_bytes > table.configuration.limits.header_bytes:
            raise HeadTooLargeError("the request's headers are too large")
        return call

    def _wait_for_table(self, call: HttpCall) -> RouteTable:
        """Return the configuration in force, which is used for all decisions about this request."""
        self._wait_until_usable(call)
        table = self._table()
        if table is None:
            raise NotReadyError(
                "this node has no configuration yet", retry_after=NOT_READY_RETRY_AFTER
            )
        return table

    def _route(self, call: HttpCall, table: RouteTable) -> tuple[RouteSpec, RouteTable]:
        """Return a call's route, and the configuration that has it."""
        route = table.match(call.host, call.path)
        if route is not None:
            return route, table
        # Clients treat a 404 as final, and this node may not have read a newer revision yet.
        table, missing = self._proven_table(table)
        route = table.match(call.host, call.path)
        if route is not None:
            return route, table
        state_age = self.state_age()
        error: PostvalveError = NotFoundError("no route leads there")
        if missing:
            error = RouteUnknownError(
                f"this node may not know the route yet (missing: {missing})",
                retry_after=ROUTE_RETRY_AFTER,
            )
        self._events.emit(
            Event.REQUEST_UNROUTED,
            request=self._services.dialect.read_terms(call.headers).request_id,
            status=error.http_status,
            host=call.host,
            path=call.path[:MAX_LOGGED_PATH],
            missing=missing,
            **state_age.fields(),
        )
        raise error

    def _proven_table(self, table: RouteTable) -> tuple[RouteTable, str]:
        """Read the configuration, as a caller is about to be denied something by a copy of it.

        Returns:
            The configuration in force after that, and what is missing for a proof that it is the
            newest one; empty if nothing is.
        """
        is_read = self.await_configuration(DENIAL_TIMEOUT)
        newest = self._table() or table
        if not is_read:
            return newest, "a read of the configuration"
        is_behind = self.state_age().may_lack_changes
        return newest, "a revision that a peer reports" if is_behind else ""

    def _caller(
        self,
        call: HttpCall,
        table: RouteTable,
        needs_key: Callable[[HttpCall, RouteTable], bool],
    ) -> Caller:
        """Return the caller of a request.

        Raises:
            AuthenticationError: The newest configuration denies it.
            KeyUnknownError: This node can't tell.
        """
        key = None
        try:
            key = self._services.dialect.api_key(call.headers)
            return self._known_caller(call, table, key, needs_key)
        except AuthenticationError as exc:
            self._events.emit(
                Event.CALLER_UNKNOWN,
                request=self._services.dialect.read_terms(call.headers).request_id,
                status=exc.http_status,
                key=key is not None,
                **self.state_age().fields(),
                error=exc.message,
            )
            raise

    def _known_caller(
        self,
        call: HttpCall,
        table: RouteTable,
        key: str | None,
        needs_key: Callable[[HttpCall, RouteTable], bool],
    ) -> Caller:
        try:
            return self._identify(table, key, needs_key(call, table))
        except AuthenticationError:
            # Clients treat a 401 as final, too.
            table, missing = self._proven_table(table)
        try:
            return self._identify(table, key, needs_key(call, table))
        except AuthenticationError as exc:
            if not missing:
                raise
            raise KeyUnknownError(
                f"this node may not know the API key yet (missing: {missing})",
                retry_after=KEY_RETRY_AFTER,
            ) from exc

    def _identify(self, table: RouteTable, key: str | None, needs_key: bool) -> Caller:
        return identify_caller(
            table,
            key,
            needs_key=needs_key,
            age=self.state_age().revision_age,
            policy=self.key_policy,
        )

    def _wait_until_usable(self, call: HttpCall) -> None:
        """Wait until this node can serve, within the time that the client allows."""
        if self._usable.is_set():
            return
        allowed = self._services.dialect.read_terms(call.headers).allowed
        max_wait = (
            STARTUP_WAIT if allowed is None else min(STARTUP_WAIT, allowed * STARTUP_WAIT_SHARE)
        )
        self._usable.wait(max_wait)

    def _routed_request(
        self,
        call: HttpCall,
        route: RouteSpec,
        caller: Caller,
        arrived_at: float,
        account: RequestAccount,
    ) -> RoutedRequest:
        terms = self._services.dialect.read_terms(call.headers)
        deadline = arrived_at + route.timeout - DEADLINE_MARGIN
        if terms.allowed is not None:
            deadline = min(deadline, arrived_at + terms.allowed)
        return RoutedRequest(
            terms=terms,
            route=route,
            service=choose_target(route.targets, self._target_fraction(terms, caller)),
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            caller=caller,
            address=call.address,
            host=call.host,
            arrived_at=arrived_at,
            deadline=deadline,
            account=account,
        )

    def _target_fraction(self, terms: RequestTerms, caller: Caller) -> float:
        """Return what chooses among a route's services: for a stream, the attempt that began it."""
        begun_as = terms.request_id if terms.last_event_id is None else terms.begun_as
        if not begun_as:
            return self._random.uniform(0, 1)
        return target_fraction(caller.name, begun_as)

    def _relay(
        self, request: RoutedRequest, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        run, connection = RoutedRun(self._services, request), environ[CONNECTION_KEY]
        self._runs.add(run)
        ahead = ReadAhead(
            self._slow_clients,
            run.events(),
            request.caller.name,
            request.terms.request_id,
            connection,
        )
        environ[ON_LAG_KEY] = ahead.on_client_lag

        def on_disconnect() -> None:
            run.on_disconnect()
            ahead.on_disconnect()

        watch = DisconnectWatcher(connection, on_disconnect)
        try:
            answer = run.start()
            # A retried attempt has response headers of its own; the client gets those of the first
            # one.
            status, headers = f"{answer.status} {answer.reason}", self._answer_headers(answer)
            if not _is_stream(answer):
                body = ahead.body(run.body())
                start_response(status, headers)
                yield body
                return
            events = ahead.events()
            # The headers are sent with the first event, so that a failure before it can still set
            # the status.
            first = next(events, b"")
            start_response(status, headers)
            yield first
            yield from self._rest_of_stream(events, request.terms.request_id)
        finally:
            watch.stop()
            ahead.close()
            run.finish("abandoned")
            self._runs.discard(run)

    def abandon(self) -> None:
        """Abort every request under way."""
        for run in list(self._runs):
            run.on_disconnect()

    def _rest_of_stream(self, events: Iterator[bytes], request_id: str) -> Iterator[bytes]:
        try:
            yield from events
        except PostvalveError as error:
            raise TruncatedAnswer(error.message) from error
        except Exception as error:  # an error document would end the stream as if it were whole
            self._events.emit(Event.REQUEST_ERROR, request=request_id, error=repr(error))
            raise TruncatedAnswer(str(error)) from error

    def _answer_headers(self, answer: EngineAnswer) -> list[tuple[str, str]]:
        # Another engine may go on with a stream, and its bytes need not be as many.
        has_length = not _is_stream(answer) and answer.status not in WITHOUT_BODY
        left_out = HOP_BY_HOP_HEADERS | (set() if has_length else {"content-length"})
        headers = [(name, value) for name, value in answer.headers if name.lower() not in left_out]
        return [*headers, *self._connection_headers()]

    def _connection_headers(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self.draining else []

    def _send(self, start_response: StartResponse, reply: HttpReply) -> Iterator[bytes]:
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
            *self._connection_headers(),
        ]
        start_response(reply.status_line, headers)
        yield reply.body


def _needs_key(call: HttpCall, table: RouteTable) -> bool:
    """Whether a call about jobs needs an API key.

    It does not where the host has a batch route that allows anonymous requests.
    """
    routes = table.routes_of_host(call.host)
    return not any(route.batch is not None and route.anonymous for route in routes)


def _is_stream(answer: EngineAnswer) -> bool:
    return (answer.header("content-type") or "").startswith("text/event-stream")
