"""Buffers responses to slow clients, so that they do not hold up engines.

A client that keeps up gets each event directly from its engine. From the first write that its
socket does not accept at once, a greenlet reads the rest of the response into a buffer.
"""

from __future__ import annotations

import select
import socket
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
from postvalve.sockets import LINGER_DISCARD


class ReaderCutError(PostvalveError):
    """The client read too slowly for the memory that its response may take."""

    code = "reader_too_slow"
    http_status = 408
    verdict = Verdict.MAY_HAVE_RUN


@dataclass(slots=True)
class _SlowClient:
    """A client for which data is or was held."""

    account: BufferAccount
    request_id: str
    since: float
    """Monotonic seconds at which the client began to lag."""
    on_cut: Callable[[], None]


@dataclass(slots=True)
class SlowClients:
    """The clients for which this node holds data, and the memory budget that they share."""

    budget: MemoryBudget
    clock: Clock
    events: EventLog
    metrics: GatewayMetrics
    _clients: dict[BufferAccount, _SlowClient] = field(default_factory=dict)

    def register(self, tenant: str, request_id: str, on_cut: Callable[[], None]) -> BufferAccount:
        """Register a client for which data will be held.

        If the budget gives the client up, `on_cut` is called.
        """
        account, now = BufferAccount(tenant), self.clock.monotonic()
        self._clients[account] = _SlowClient(account, request_id, now, on_cut)
        return account

    def unregister(self, account: BufferAccount) -> None:
        """Release the memory held for a client."""
        self.budget.release(account)
        self._clients.pop(account, None)

    def hold(self, account: BufferAccount, size: int) -> None:
        """Hold `size` more bytes for a client.

        If that exceeds the budget, clients are disconnected: this one or others.
        """
        self.disconnect(self.budget.take(account, size, self.clock.monotonic()))

    def disconnect(self, accounts: list[BufferAccount]) -> None:
        """Disconnect the clients that the budget has given up."""
        for account in accounts:
            one = self._clients.pop(account, None)
            if one is None or account.cause is None:
                continue
            self.metrics.slow_clients.labels(account.cause.value).inc()
            self.events.emit(
                Event.SLOW_CLIENT_CUT,
                request=one.request_id,
                tenant=account.tenant,
                cause=account.cause.value,
                age=round(self.clock.monotonic() - one.since, 3),
                held=self.budget.held,
                limit=self.budget.limit,
            )
            one.on_cut()

    def rows(self) -> list[dict[str, Any]]:
        """Return the clients for which data is held, most bytes first, for the status document."""
        now = self.clock.monotonic()
        slow = sorted(self._clients.values(), key=lambda one: -one.account.size)
        return [
            {
                "request": one.request_id,
                "tenant": one.account.tenant,
                "bytes": one.account.size,
                "age": round(now - one.since, 2),
            }
            for one in slow
        ]

    def __len__(self) -> int:
        return len(self._clients)


class ReadAhead:
    """One response on its way to one client."""

    def __init__(
        self,
        slow: SlowClients,
        source: Generator[bytes],
        tenant: str,
        request_id: str,
        connection: Any,
    ) -> None:
        """Begin without reading anything; `source` yields the events of the response."""
        self._slow_clients = slow
        self._clock = slow.clock
        self._source = source
        self._tenant = tenant
        self._request_id = request_id
        self._connection = connection
        self._body: bytes | None = None
        self._reader: gevent.Greenlet | None = None
        self._lag_watch: gevent.Greenlet | None = None
        self._holding: BufferAccount | None = None
        self._buffer: EventBuffer | None = None
        self._buffer_changed = GeventEvent()
        """Set when an event, or the end of the response, was stored."""
        self._space_freed = GeventEvent()
        """Set when the client has taken an event."""

    def events(self) -> Iterator[bytes]:
        """Yield the events in order, from the engine or from the buffer.

        Raises:
            PostvalveError: the response failed, or the client was given up.
        """
        for event in self._source:
            yield event
            if self._buffer is not None:
                yield from self._buffered_events(self._buffer)
                return

    def body(self, body: bytes) -> bytes:
        """Pass on a complete response body that is not a stream."""
        self._body = body
        return body

    def on_client_lag(self) -> None:
        """Begin to buffer, since a write waits for the client.

        Called during that write, between two events.
        """
        if self._holding is not None or getgeneratorstate(self._source) == GEN_CLOSED:
            return
        slow = self._slow_clients
        self._holding = slow.register(self._tenant, self._request_id, self._abort)
        slow.metrics.slow_clients.labels("lagged").inc()
        slow.events.emit(
            Event.CLIENT_LAGS,
            request=self._request_id,
            tenant=self._tenant,
            held=slow.budget.held,
            lagging=len(slow),
        )
        if self._body is not None:
            self._lag_watch = gevent.spawn(self._hold_when_lagging, self._holding, len(self._body))
            return
        self._buffer = EventBuffer(slow.budget, self._holding)
        self._reader = gevent.spawn(self._read_rest, self._buffer)

    def _hold_when_lagging(self, account: BufferAccount, size: int) -> None:
        """Count a complete body as held memory once the client has lagged for some time."""
        await_lag(self._connection, select.POLLOUT)
        self._slow_clients.hold(account, size)

    def _read_rest(self, buffer: EventBuffer) -> None:
        # Unless the source is read to its end, the client must see the response as truncated.
        error: PostvalveError | None = ReaderCutError("the answer was not read to its end")
        try:
            for event in self._source:
                self._await_space(buffer, len(event))
                self._slow_clients.disconnect(buffer.put(event, self._clock.monotonic()))
                if buffer.account.cause is not None:
                    return
                self._buffer_changed.set()
            error = None
        except PostvalveError as exc:
            error = exc
        finally:
            # If reading stopped early, closing the source ends the current attempt.
            self._source.close()
            buffer.end(error)
            self._buffer_changed.set()

    def _await_space(self, buffer: EventBuffer, size: int) -> None:
        """Wait while the buffer is full; the engine may be held up for a short time only."""
        while (max_wait := buffer.max_wait(size, self._clock.monotonic())) > 0:
            self._space_freed.clear()
            self._space_freed.wait(max_wait)
        if buffer.account.cause is CutCause.STORE_FULL:
            self._slow_clients.disconnect([buffer.account])

    def _buffered_events(self, buffer: EventBuffer) -> Iterator[bytes]:
        while True:
            if buffer.account.cause is not None:
                raise ReaderCutError(f"the client is too slow: {buffer.account.cause.value}")
            event = buffer.first()
            if event:
                yield event
                # Until now the socket had not accepted the event.
                buffer.pop_first(self._clock.monotonic())
                self._space_freed.set()
            elif buffer.ended:
                if buffer.error is not None:
                    raise buffer.error
                return
            else:
                self._buffer_changed.clear()
                self._buffer_changed.wait()

    def _abort(self) -> None:
        """Close the connection and end the current attempt.

        Called from the greenlet of whichever client needs the memory.
        """
        if self._reader is not None and self._reader is not gevent.getcurrent():
            self._reader.kill(block=False)
        self._buffer_changed.set()
        reset_connection(self._connection)

    def on_disconnect(self) -> None:
        """Drop what is held for a client that has disconnected."""
        if self._holding is not None:
            reset_connection(self._connection)

    def close(self) -> None:
        """Stop reading and sending; the current attempt ends."""
        for greenlet in (self._reader, self._lag_watch):
            if greenlet is not None:
                greenlet.kill()
        self._source.close()
        if self._holding is not None:
            self._slow_clients.unregister(self._holding)


def reset_connection(connection: Any) -> None:
    """Reset a connection and discard its unsent data; a write that waits for it returns."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DISCARD)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # already closed
