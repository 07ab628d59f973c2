"""Reads answers of engines, and asks a silent one what became of a run before it is given up."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent.event import AsyncResult

from postvalve.clock import Clock
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.silent_run import ProbeResult, RunState, SilentRun
from postvalve.events import Event, EventLog
from postvalve.exceptions import AttemptError, EngineDisconnectedError, EngineSilentError
from postvalve.gateway.engines.engine_answer import EngineAnswer
from postvalve.gateway.engines.engine_connections import ConnectionPool, request_bytes
from postvalve.gateway.interfaces import Dialect

Result = TypeVar("Result")

REPORT_TIMEOUT = 0.4
"""Seconds in which an engine must answer that is asked for its runs; it needs no slot for that."""
RECHECK_INTERVAL = 0.6
"""Seconds after which a silent engine is asked again; its reports are some tenths of a second
old."""


class EngineReports:
    """Asks engines for the requests that they hold, one call at a time for each."""

    def __init__(
        self, clock: Clock, events: EventLog, pool: ConnectionPool, dialect: Dialect
    ) -> None:
        self.clock = clock
        self.events = events
        self._pool = pool
        self._dialect = dialect
        self._pending: dict[str, AsyncResult] = {}

    def ask(self, address: str) -> AsyncResult:
        """Ask the engine at an address; returns the result, a `ProbeResult` once there is one."""
        pending = self._pending.get(address)
        if pending is None:
            pending = self._pending[address] = AsyncResult()
            gevent.spawn(self._run, address, pending)
        return pending

    def _run(self, address: str, result: AsyncResult) -> None:
        try:
            result.set(self._fetch(address))
        finally:
            del self._pending[address]

    def _fetch(self, address: str) -> ProbeResult:
        headers = [("Host", address)]
        try:
            answer = self._pool.send_request(
                address,
                "",
                lambda: request_bytes("GET", self._dialect.run_report_target, headers, b""),
                self.clock.monotonic() + REPORT_TIMEOUT,
                still_usable=lambda: True,
                # Idle connections may be as dead as the one that is silent.
                new_connection=True,
            )
            answer.read_head(REPORT_TIMEOUT)
            body = answer.read_body(REPORT_TIMEOUT)
            status = answer.status
            answer.close()
        except EngineDisconnectedError:
            # At its limit of connections an engine resets further ones.
            return ProbeResult(answered=True)
        except AttemptError:
            return ProbeResult(answered=False)
        return ProbeResult(True, self._dialect.read_run_report(body) if status == 200 else None)


class RunWatch:
    """Reads the answer of one run at one engine."""

    def __init__(
        self,
        reports: EngineReports,
        life: EngineLife,
        address: str,
        request_id: str,
        may_move: Callable[[], bool],
    ) -> None:
        """Watch a run.

        Args:
            reports: What engines tell of their runs.
            life: Life of the engine.
            address: IP:PORT of the engine.
            request_id: Id of the request.
            may_move: Returns whether the request is better offered elsewhere although the engine
                may still answer. It is asked only before the first byte of the answer.
        """
        self._reports = reports
        self._life = life
        self._address = address
        self._request_id = request_id
        self._may_move = may_move

    def read(self, answer: EngineAnswer, read: Callable[[float], Result], timeout: float) -> Result:
        """Return what `read` returns, for as long as the run may still answer.

        Bytes that don't amount to what is read are no pause: they may trickle without end.

        Args:
            answer: The answer.
            read: Reads a part of it; called with the seconds that it may wait.
            timeout: Seconds without it after which the run is given up unless the engine holds it.

        Raises:
            EngineSilentError: Nothing came, and nothing more will.
            AttemptError: The answer was cut, or the deadline passed.
        """
        silence = SilentRun(self._request_id)
        bytes_before = answer.received_bytes
        silent_since = self._reports.clock.monotonic()
        wait = max(timeout - REPORT_TIMEOUT, timeout / 2)
        state: RunState | None = None
        while True:
            try:
                return read(wait)
            except EngineSilentError:
                asked = self._reports.ask(self._address)
            try:
                # What comes meanwhile must not wait for the report.
                return read(REPORT_TIMEOUT)
            except EngineSilentError:
                if answer.received_bytes > bytes_before:
                    raise
                has_begun = bytes_before > 0
                before, state = state, silence.judge(asked.value or ProbeResult(answered=False))
                keeps = state.may_still_answer and (has_begun or not self._may_move())
                if not keeps or state is not before:
                    self._log(state, asked.value, silent_since, has_begun=has_begun, keeps=keeps)
                if not keeps:
                    raise
            wait = RECHECK_INTERVAL - REPORT_TIMEOUT

    def _log(
        self,
        state: RunState,
        probe: ProbeResult | None,
        silent_since: float,
        *,
        has_begun: bool,
        keeps: bool,
    ) -> None:
        report = probe.report if probe else None
        self._reports.events.emit(
            Event.RUN_SILENT,
            request=self._request_id,
            engine=self._life,
            state=state.value,
            begun=has_begun,
            waiting=report.waiting if report else None,
            runs=len(report.runs) if report else None,
            silent=round(self._reports.clock.monotonic() - silent_since, 3),
            kept=keeps,
        )
