"""Answers to slow clients: read on ahead of them, so that they keep no engine waiting.

A client that keeps up gets each event straight from its engine. From the first write that its
connection doesn't take at once, a greenlet reads the rest of the answer into a store.
"""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from inspect import GEN_CLOSED, getgeneratorstate
from typing import Any

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.serving.client_buffer import BufferAccount, CutCause, EventBuffer, MemoryBudget
from postvalve.events import Event, EventLog
from postvalve.exceptions import PostvalveError, Verdict
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.gateway.serving.lag import await_lag

CLOSE_AT_ONCE = struct.pack("ii", 1, 0)
"""Linger option of a connection that keeps nothing for its client when it is closed."""


class ReaderCutError(PostvalveError):
    """The client was too slow for what could be held for it."""

    code = "reader_too_slow"
    http_status = 408
    verdict = Verdict.MAY_HAVE_RUN


@dataclass(slots=True)
class _Slow:
    """One client for which something is held, or was."""

    holding: BufferAccount
    request_id: str
    since: float
    """Monotonic seconds."""
    on_cut: Callable[[], None]


@dataclass(slots=True)
class SlowClients:
    """Those for whom this node holds something; their budget."""

    budget: MemoryBudget
    clock: Clock
    events: EventLog
    metrics: GatewayMetrics
    _slow: dict[BufferAccount, _Slow] = field(default_factory=dict)

    def register(self, tenant: str, request_id: str, on_cut: Callable[[], None]) -> BufferAccount:
        """Begin to hold something for a client; `on_cut` is called if it is given up."""
        holding, now = BufferAccount(tenant), self.clock.monotonic()
        self._slow[holding] = _Slow(holding, request_id, now, on_cut)
        return holding

    def unregister(self, holding: BufferAccount) -> None:
        """Hold nothing for it any more."""
        self.budget.release(holding)
        self._slow.pop(holding, None)

    def hold(self, holding: BufferAccount, size: int) -> None:
        """Hold `size` bytes more, whoever must be given up for it."""
        self.disconnect(self.budget.take(holding, size, self.clock.monotonic()))

    def disconnect(self, holdings: list[BufferAccount]) -> None:
        """End the connections of clients that the budget has given up."""
        for holding in holdings:
            one = self._slow.pop(holding, None)
            if one is None or holding.cause is None:
                continue
            self.metrics.slow_clients.labels(holding.cause.value).inc()
            self.events.emit(
                Event.SLOW_CLIENT_CUT,
                request=one.request_id,
                tenant=holding.tenant,
                cause=holding.cause.value,
                age=round(self.clock.monotonic() - one.since, 3),
                held=self.budget.held,
                limit=self.budget.limit,
            )
            one.on_cut()

    def rows(self) -> list[dict[str, Any]]:
        """Whom something is held for, most bytes first."""
        now = self.clock.monotonic()
        slow = sorted(self._slow.values(), key=lambda one: -one.holding.size)
        return [
            {
                "request": one.request_id,
                "tenant": one.holding.tenant,
                "bytes": one.holding.size,
                "age": round(now - one.since, 2),
            }
            for one in slow
        ]

    def __len__(self) -> int:
        return len(self._slow)


class ReadAhead:
    """One answer on its way to one client."""

    def __init__(
        self,
        slow: SlowClients,
        source: Generator[bytes],
        tenant: str,
        request_id: str,
        connection: Any,
    ) -> None:
        """Nothing is read yet; `source` gives the answer's events."""
        self._slow = slow
        self._clock = slow.clock
        self._source = source
        self._tenant = tenant
        self._request_id = request_id
        self._connection = connection
        self._whole: bytes | None = None
        self._reader: gevent.Greenlet | None = None
        self._counter: gevent.Greenlet | None = None
        self._holding: BufferAccount | None = None
        self._store: EventBuffer | None = None
        self._came = GeventEvent()
        """Set when an event or the end was stored."""
        self._room = GeventEvent()
        """Set when the client took an event."""

    def events(self) -> Iterator[bytes]:
        """Yield the events in order, whoever reads them from the engine.

        Raises:
            PostvalveError: as the answer's own; or the client was given up.
        """
        for event in self._source:
            yield event
            if self._store is not None:
                yield from self._stored_events(self._store)
                return

    def body(self, body: bytes) -> bytes:
        """An answer that is no stream, and is here whole."""
        self._whole = body
        return body

    def on_client_lag(self) -> None:
        """A write waits for the client. Called while it waits, between two events."""
        if self._holding is not None or getgeneratorstate(self._source) == GEN_CLOSED:
            return
        slow = self._slow
        self._holding = slow.register(self._tenant, self._request_id, self._cut)
        slow.metrics.slow_clients.labels("lagged").inc()
        slow.events.emit(
            Event.CLIENT_LAGS,
            request=self._request_id,
            tenant=self._tenant,
            held=slow.budget.held,
            lagging=len(slow),
        )
        if self._whole is not None:
            self._counter = gevent.spawn(self._count_when_late, self._holding, len(self._whole))
            return
        self._store = EventBuffer(slow.budget, self._holding)
        self._reader = gevent.spawn(self._read_on, self._store)

    def _count_when_late(self, holding: BufferAccount, size: int) -> None:
        """Hold a whole answer for a client that doesn't take it as it goes out."""
        await_lag(self._connection, select.POLLOUT)
        self._slow.hold(holding, size)

    def _read_on(self, store: EventBuffer) -> None:
        # Unless it comes to its end, it must look cut.
        error: PostvalveError | None = ReaderCutError("the answer was not read to its end")
        try:
            for event in self._source:
                self._await_room(store, len(event))
                self._slow.disconnect(store.put(event, self._clock.monotonic()))
                if store.holding.cause is not None:
                    return
                self._came.set()
            error = None
        except PostvalveError as exc:
            error = exc
        finally:
            # Where it ends midway, the attempt under way ends with it.
            self._source.close()
            store.end(error)
            self._came.set()

    def _await_room(self, store: EventBuffer, size: int) -> None:
        """Let the engine wait while the store is full, which it may be for a short time only."""
        while (patience := store.max_wait(size, self._clock.monotonic())) > 0:
            self._room.clear()
            self._room.wait(patience)
        if store.holding.cause is CutCause.STORE_FULL:
            self._slow.disconnect([store.holding])

    def _stored_events(self, store: EventBuffer) -> Iterator[bytes]:
        while True:
            if store.holding.cause is not None:
                raise ReaderCutError(f"the client is too slow: {store.holding.cause.value}")
            event = store.first()
            if event:
                yield event
                # Until now the connection had not taken it.
                store.pop_first(self._clock.monotonic())
                self._room.set()
            elif store.ended:
                if store.error is not None:
                    raise store.error
                return
            else:
                self._came.clear()
                self._came.wait()

    def _cut(self) -> None:
        """End the connection, and the attempt under way with it. Called by whoever needs room."""
        if self._reader is not None and self._reader is not gevent.getcurrent():
            self._reader.kill(block=False)
        self._came.set()
        drop_connection(self._connection)

    def client_gone(self) -> None:
        """The client left: nothing is kept for it any more."""
        if self._holding is not None:
            drop_connection(self._connection)

    def close(self) -> None:
        """Nothing more goes to the client; an attempt under way ends."""
        for greenlet in (self._reader, self._counter):
            if greenlet is not None:
                greenlet.kill()
        self._source.close()
        if self._holding is not None:
            self._slow.unregister(self._holding)


def drop_connection(connection: Any) -> None:
    """End a connection, and let go of what its socket still keeps; who waits for it goes on."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_AT_ONCE)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # it has ended already
