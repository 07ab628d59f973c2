"""Finds out whether an engine whose connection broke has crashed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from postvalve.clock import Clock
from postvalve.core.membership.engine_life import EngineLife
from postvalve.gateway.engines.engine_connections import CONNECT_TIMEOUT, ConnectionPool

MAX_CRASHED = 256
"""Crashed engines remembered."""

OnResult = Callable[[bool], None]


@dataclass(slots=True)
class _Check:
    ended_at: float
    waiting: list[OnResult] = field(default_factory=list)


class EngineCrashes:
    """Tells crashes of engines from broken connections, one check at a time for each engine.

    An engine has crashed if nothing listens at its address any more although the directory lists it
    as ready: single connections also break off engines that live on, and engines that leave
    announce it.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        address_of: Callable[[EngineLife], str | None],
    ) -> None:
        """Set up; `address_of` returns IP:PORT of an engine that is listed as ready, else None."""
        self._clock = clock
        self._pool = pool
        self._address_of = address_of
        self._checks: dict[EngineLife, _Check] = {}
        self._crashed_at: dict[EngineLife, float] = {}

    def check(self, life: EngineLife, sent_at: float, ended_at: float, on_result: OnResult) -> None:
        """Find out whether an engine has crashed under a request.

        Args:
            life: Life of the engine.
            sent_at: Monotonic seconds at which the request was sent.
            ended_at: Monotonic seconds at which its connection broke.
            on_result: Called with the result, at once or from another greenlet.
        """
        crashed_at = self._crashed_at.get(life)
        if crashed_at is not None:
            on_result(sent_at < crashed_at)
            return
        address = self._address_of(life)
        if address is None:
            on_result(False)
            return
        check = self._checks.get(life)
        if check is None:
            check = self._checks[life] = _Check(ended_at)
            gevent.spawn(self._run, life, address, check)
        check.waiting.append(on_result)

    def _run(self, life: EngineLife, address: str, check: _Check) -> None:
        deadline = self._clock.monotonic() + CONNECT_TIMEOUT
        has_crashed = not self._pool.is_listening(address, deadline)
        del self._checks[life]
        if has_crashed:
            self._crashed_at[life] = check.ended_at
            if len(self._crashed_at) > MAX_CRASHED:
                del self._crashed_at[next(iter(self._crashed_at))]
        for on_result in check.waiting:
            on_result(has_crashed)
