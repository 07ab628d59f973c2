"""The store's topics, asked by a peer while this node can't reach the store itself."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import singledispatchmethod
from typing import TypeVar

import betterproto
import gevent

from postvalve.clock import Clock
from postvalve.core.membership.peers import PeerView
from postvalve.core.membership.store_reachability import (
    MAX_RELAY_TIMEOUT,
    AvoidedPeers,
    RelayTimeout,
    StoreReachability,
    relay_address,
)
from postvalve.events import Event, EventLog
from postvalve.exceptions import PeerUnavailableError, Verdict
from postvalve.gateway.interfaces import (
    HistoryGoneError,
    KeyedRecord,
    KeyedTopics,
    PositionTakenError,
    StoreUnavailableError,
    TopicSlice,
)
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel
from postvalve.node.transport import Transport

MAX_RELAYED_WAIT = 0.5
"""Seconds that a relayed read waits at most: what this node knows ages while it waits for a peer
that was lost, and its own way may be back before."""
PROBE = "Probe"
"""The kind of call that looks whether the store answers, in metrics."""
PROBE_BYTES = 1
"""Bytes asked for to see whether the store answers."""

Result = TypeVar("Result")
_Outcome = gateway.StoreOutcome


class RelayedTopics:
    """See `KeyedTopics`. Calls go by a peer while this node's own ones fail."""

    def __init__(
        self,
        own: KeyedTopics,
        zone: str,
        clock: Clock,
        events: EventLog,
        transport: Transport,
        peers: PeerView,
        metrics: GatewayMetrics,
    ) -> None:
        self._own = own
        self._zone = zone
        self._clock = clock
        self._events = events
        self._transport = transport
        self._peers = peers
        self._metrics = metrics
        self._path = StoreReachability()
        self._patience = RelayTimeout()
        self._avoided = AvoidedPeers()
        self._probing = False
        self._last_read = ("", 0, 0)
        """Topic, partition and offset that were read last."""
        self.on_change: Callable[[], None] = lambda: None

    @property
    def failing(self) -> bool:
        """Whether the store is out of this node's own reach."""
        return self._path.failing

    def append(
        self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        """See `KeyedTopics`."""
        call = gateway.StoreAppend(
            topic=topic,
            part=part,
            records=[gateway.StoreRecord(key=one.key, value=one.value) for one in records],
            conditional=at is not None,
            at=at or 0,
        )
        return self._call(
            lambda: self._own.append(topic, part, records, at), call, lambda reply: reply.offset
        )

    def read(self, topic: str, part: int, offset: int, wait: float, limit: int) -> TopicSlice:
        """See `KeyedTopics`."""
        relayed_wait = min(wait, MAX_RELAYED_WAIT)
        call = gateway.StoreRead(
            topic=topic, part=part, offset=offset, wait_ms=int(relayed_wait * 1000), limit=limit
        )
        self._last_read = (topic, part, offset)
        return self._call(
            lambda: self._own.read(topic, part, offset, wait, limit), call, _slice, relayed_wait
        )

    def newest(self, topic: str, part: int, after: str = "") -> tuple[TopicSlice, bool]:
        """See `KeyedTopics`."""
        call = gateway.StoreNewest(topic=topic, part=part, after=after)
        return self._call(
            lambda: self._own.newest(topic, part, after),
            call,
            lambda reply: (_slice(reply), reply.more),
        )

    def _call(
        self,
        own: Callable[[], Result],
        call: betterproto.Message,
        result: Callable[[gateway.StoreReply], Result],
        wait: float = 0.0,
    ) -> Result:
        kind = type(call).__name__
        relay = self._relay() if self._path.failing else None
        if relay is not None:
            self._look_for_own_way()
            return result(self._relayed(relay, call, wait))
        try:
            return self._by_own_way(kind, own)
        except StoreUnavailableError as exc:
            relay = self._relay()
            unanswered = exc.verdict is not Verdict.NOT_RUN
            # An append that may be done must not be repeated under the same keys.
            once = isinstance(call, gateway.StoreAppend) and unanswered
            # A connection may have fallen silent: who follows tries a new one first.
            again = bool(wait) and unanswered and not self._path.failing
            if relay is None or once or again:
                raise
        return result(self._relayed(relay, call, wait))

    def _by_own_way(self, kind: str, own: Callable[[], Result]) -> Result:
        try:
            answer = own()
        except StoreUnavailableError as exc:
            self._metrics.store_calls.labels(kind, "failed").inc()
            self._note(False, exc.message)
            raise
        except (HistoryGoneError, PositionTakenError):
            self._metrics.store_calls.labels(kind, "answered").inc()
            self._note(True)
            raise
        self._metrics.store_calls.labels(kind, "answered").inc()
        self._note(True)
        return answer

    def _look_for_own_way(self) -> None:
        """See now and then whether the store is within own reach again, beside all calls."""
        if not self._probing and self._path.use_direct(self._clock.monotonic()):
            self._probing = True
            gevent.spawn(self._probe)

    def _probe(self) -> None:
        try:
            self._by_own_way(PROBE, lambda: self._own.read(*self._last_read, 0.0, PROBE_BYTES))
        except HistoryGoneError:
            # It answered, which is all that was asked.
            pass
        except StoreUnavailableError as exc:
            self._events.emit(Event.STORE_STILL_OUT_OF_REACH, error=exc.message)
        finally:
            self._probing = False

    def _note(self, answered: bool, error: str = "") -> None:
        if not self._path.note(answered):
            return
        event = Event.STORE_REACHED if answered else Event.STORE_OUT_OF_REACH
        self._events.emit(event, error=error, relay=self._relay() or "")
        self.on_change()

    def _relay(self) -> str | None:
        now = self._clock.monotonic()
        return relay_address(self._peers, self._zone, now, self._avoided.at(now))

    def _relayed(self, address: str, call: betterproto.Message, wait: float) -> gateway.StoreReply:
        self._metrics.store_calls.labels(type(call).__name__, "by a peer").inc()
        patience = self._patience.seconds if wait else MAX_RELAY_TIMEOUT
        try:
            reply = self._transport.call(address, Channel.BATCH, call, wait + patience)
        except PeerUnavailableError as exc:
            self._avoided.add(address, self._clock.monotonic())
            self._patience.note(False)
            raise StoreUnavailableError(f"relay {address}: {exc.message}", exc.verdict) from exc
        self._patience.note(True)
        if not isinstance(reply, gateway.StoreReply):
            # A build that doesn't know the call has not made it.
            told = f"relay {address}: {type(reply).__name__}"
            raise StoreUnavailableError(told, Verdict.NOT_RUN)
        if reply.outcome == _Outcome.STORE_OUTCOME_DONE:
            return reply
        if reply.outcome == _Outcome.STORE_OUTCOME_POSITION_TAKEN:
            raise PositionTakenError(reply.end_offset)
        if reply.outcome == _Outcome.STORE_OUTCOME_HISTORY_GONE:
            raise HistoryGoneError(reply.message)
        done = reply.outcome != _Outcome.STORE_OUTCOME_NOT_DONE
        verdict = Verdict.MAY_HAVE_RUN if done else Verdict.NOT_RUN
        raise StoreUnavailableError(f"relay {address}: {reply.message}", verdict)


class RelayServer:
    """Makes calls for peers, itself and never by another peer."""

    def __init__(self, own: KeyedTopics) -> None:
        self._own = own

    def serve(self, call: betterproto.Message) -> gateway.StoreReply:
        """Make one call.

        Raises:
            TypeError: it is no call of the store.
        """
        try:
            return self._answer(call)
        except PositionTakenError as exc:
            outcome = _Outcome.STORE_OUTCOME_POSITION_TAKEN
            return gateway.StoreReply(outcome=outcome, end_offset=exc.end_offset)
        except HistoryGoneError as exc:
            outcome = _Outcome.STORE_OUTCOME_HISTORY_GONE
            return gateway.StoreReply(outcome=outcome, message=exc.message)
        except StoreUnavailableError as exc:
            not_done = exc.verdict is Verdict.NOT_RUN
            outcome = (
                _Outcome.STORE_OUTCOME_NOT_DONE if not_done else _Outcome.STORE_OUTCOME_MAY_BE_DONE
            )
            return gateway.StoreReply(outcome=outcome, message=exc.message)

    @singledispatchmethod
    def _answer(self, call: betterproto.Message) -> gateway.StoreReply:
        raise TypeError(f"no request of a peer: {type(call).__name__}")

    @_answer.register
    def _(self, call: gateway.StoreAppend) -> gateway.StoreReply:
        records = [KeyedRecord(one.key, one.value) for one in call.records]
        at = call.at if call.conditional else None
        offset = self._own.append(call.topic, call.part, records, at)
        return gateway.StoreReply(outcome=_Outcome.STORE_OUTCOME_DONE, offset=offset)

    @_answer.register
    def _(self, call: gateway.StoreRead) -> gateway.StoreReply:
        wait = min(MAX_RELAYED_WAIT, call.wait_ms / 1000)
        part = self._own.read(call.topic, call.part, call.offset, wait, call.limit)
        return _reply(part, False)

    @_answer.register
    def _(self, call: gateway.StoreNewest) -> gateway.StoreReply:
        return _reply(*self._own.newest(call.topic, call.part, call.after))


def _reply(part: TopicSlice, more: bool) -> gateway.StoreReply:
    return gateway.StoreReply(
        outcome=_Outcome.STORE_OUTCOME_DONE,
        offset=part.next_offset,
        end_offset=part.end_offset,
        records=[
            gateway.StoreRecord(key=one.key, value=one.value, offset=one.offset)
            for one in part.records
        ],
        more=more,
    )


def _slice(reply: gateway.StoreReply) -> TopicSlice:
    records = tuple(KeyedRecord(one.key, one.value, one.offset) for one in reply.records)
    return TopicSlice(records, reply.offset, reply.end_offset)
