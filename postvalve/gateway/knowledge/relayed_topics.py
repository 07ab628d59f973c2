"""Access to the store's topics through a peer while this node can't reach the store itself."""

from __future__ import annotations

from collections.abc import Callable, Sequence, Set
from functools import singledispatchmethod
from typing import TypeVar

import betterproto
import gevent

from postvalve.clock import Clock
from postvalve.core.membership.peers import PeerView
from postvalve.core.membership.store_reachability import (
    MAX_RELAY_TIMEOUT,
    AvoidedPeers,
    PendingRelays,
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
"""Longest wait of a relayed read in seconds: this node's copy ages while it waits for a peer that
was lost, and the store may be directly reachable again before."""
PROBE = "Probe"
"""Metric label of calls that only test whether the store is reachable."""
PROBE_BYTES = 1
"""Bytes requested by such a call."""

Result = TypeVar("Result")
_Outcome = gateway.StoreOutcome


class RelayedTopics:
    """Implements `KeyedTopics`; calls are relayed by a peer while direct calls fail."""

    def __init__(
        self,
        direct: KeyedTopics,
        zone: str,
        clock: Clock,
        events: EventLog,
        transport: Transport,
        peers: PeerView,
        metrics: GatewayMetrics,
    ) -> None:
        self._direct = direct
        self._zone = zone
        self._clock = clock
        self._events = events
        self._transport = transport
        self._peers = peers
        self._metrics = metrics
        self._reachability = StoreReachability()
        self._relay_timeout = RelayTimeout()
        self._avoided = AvoidedPeers()
        self._pending = PendingRelays()
        self._path_changes = 0
        """Calls of `change_path` since the store answered the last direct call."""
        self._probing = False
        self._last_read = ("", 0, 0)
        """Topic, partition and offset of the last read, which probes repeat."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when the store becomes reachable or unreachable for this node."""
        self.on_answered: Callable[[], None] = lambda: None
        """Called when the store has answered a direct call."""

    @property
    def failing(self) -> bool:
        """Whether this node can't reach the store directly."""
        return self._reachability.failing

    def append(
        self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        """Append records directly or through a peer; see `KeyedTopics.append`."""
        call = gateway.StoreAppend(
            topic=topic,
            part=part,
            records=[gateway.StoreRecord(key=one.key, value=one.value) for one in records],
            conditional=at is not None,
            at=at or 0,
        )
        return self._call(
            lambda: self._direct.append(topic, part, records, at), call, lambda reply: reply.offset
        )

    def read(self, topic: str, part: int, offset: int, wait: float, limit: int) -> TopicSlice:
        """Read records directly or through a peer; see `KeyedTopics.read`."""
        relayed_wait = min(wait, MAX_RELAYED_WAIT)
        call = gateway.StoreRead(
            topic=topic, part=part, offset=offset, wait_ms=int(relayed_wait * 1000), limit=limit
        )
        self._last_read = (topic, part, offset)
        return self._call(
            lambda: self._direct.read(topic, part, offset, wait, limit), call, _slice, relayed_wait
        )

    def newest(self, topic: str, part: int, after: str = "") -> tuple[TopicSlice, bool]:
        """Read the newest records directly or through a peer; see `KeyedTopics.newest`."""
        call = gateway.StoreNewest(topic=topic, part=part, after=after)
        return self._call(
            lambda: self._direct.newest(topic, part, after),
            call,
            lambda reply: (_slice(reply), reply.more),
        )

    def change_path(self) -> None:
        """Make later direct calls on new connections, and every other short read through a peer."""
        self._direct.change_path()
        self._path_changes += 1

    def _call(
        self,
        direct: Callable[[], Result],
        call: betterproto.Message,
        result: Callable[[gateway.StoreReply], Result],
        wait: float = 0.0,
    ) -> Result:
        kind, failing = type(call).__name__, self._reachability.failing
        relay = self._relay() if failing or self._is_relayed_early(call, wait) else None
        if relay is not None:
            if failing:
                self._probe_if_due()
            return result(self._relayed(relay, call, wait))
        try:
            return self._call_directly(kind, direct)
        except StoreUnavailableError as exc:
            relay = self._relay()
            unanswered = exc.verdict is not Verdict.NOT_RUN
            # An append that may have been made must not be repeated under the same keys.
            must_not_repeat = isinstance(call, gateway.StoreAppend) and unanswered
            # Only a connection may have failed: the follower retries over a new one first.
            retry_directly = bool(wait) and unanswered and not self._reachability.failing
            if relay is None or must_not_repeat or retry_directly:
                raise
        return result(self._relayed(relay, call, wait))

    def _is_relayed_early(self, call: betterproto.Message, wait: float) -> bool:
        """Whether a call goes through a peer before the store counts as unreachable."""
        is_short_read = isinstance(call, gateway.StoreRead) and not wait
        return is_short_read and self._path_changes > 0 and self._path_changes % 2 == 0

    def _call_directly(self, kind: str, direct: Callable[[], Result]) -> Result:
        started = self._clock.monotonic()
        try:
            answer = direct()
        except StoreUnavailableError as exc:
            self._metrics.store_calls.labels(kind, "failed").inc()
            self._record(False, started, exc.message)
            raise
        except (HistoryGoneError, PositionTakenError):
            self._metrics.store_calls.labels(kind, "answered").inc()
            self._record(True, started)
            raise
        self._metrics.store_calls.labels(kind, "answered").inc()
        self._record(True, started)
        return answer

    def _probe_if_due(self) -> None:
        """Start a probe of the direct path if one is due; it runs in parallel to other calls."""
        if not self._probing and self._reachability.use_direct(self._clock.monotonic()):
            self._probing = True
            gevent.spawn(self._probe)

    def _probe(self) -> None:
        try:
            self._call_directly(
                PROBE, lambda: self._direct.read(*self._last_read, 0.0, PROBE_BYTES)
            )
        except HistoryGoneError:
            # Any answer shows that the store is reachable.
            pass
        except StoreUnavailableError as exc:
            self._events.emit(Event.STORE_STILL_OUT_OF_REACH, error=exc.message)
        finally:
            self._probing = False

    def _record(self, answered: bool, started: float, error: str = "") -> None:
        changed = self._reachability.record(answered, started)
        if answered:
            self._path_changes = 0
            self.on_answered()
        if not changed:
            return
        event = Event.STORE_REACHED if answered else Event.STORE_OUT_OF_REACH
        self._events.emit(event, error=error, relay=self._relay() or "")
        self.on_change()

    def _relay(self) -> str | None:
        now = self._clock.monotonic()
        avoided = self._avoided.at(now)
        overdue = self._pending.overdue(now)
        # A peer that has not answered yet may still do so, and is better than none.
        return self._relay_except(avoided | overdue) or self._relay_except(avoided)

    def _relay_except(self, avoided: Set[str]) -> str | None:
        return relay_address(self._peers, self._zone, self._clock.monotonic(), avoided)

    def _relayed(self, address: str, call: betterproto.Message, wait: float) -> gateway.StoreReply:
        self._metrics.store_calls.labels(type(call).__name__, "by a peer").inc()
        timeout = self._relay_timeout.seconds if wait else MAX_RELAY_TIMEOUT
        call_id = self._pending.start(address, due_at=self._clock.monotonic() + wait)
        try:
            reply = self._transport.call(address, Channel.BATCH, call, wait + timeout)
        except PeerUnavailableError as exc:
            self._avoided.add(address, self._clock.monotonic())
            self._relay_timeout.record(False)
            raise StoreUnavailableError(f"relay {address}: {exc.message}", exc.verdict) from exc
        finally:
            self._pending.end(call_id)
        self._relay_timeout.record(True)
        if not isinstance(reply, gateway.StoreReply):
            # An acknowledgement: the peer's build does not know the call and has not made it.
            reason = f"relay {address}: {type(reply).__name__}"
            raise StoreUnavailableError(reason, Verdict.NOT_RUN)
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
    """Makes calls to the store for peers, always directly and never through another peer."""

    def __init__(self, direct: KeyedTopics) -> None:
        self._direct = direct

    def serve(self, call: betterproto.Message) -> gateway.StoreReply:
        """Make one call to the store for a peer.

        Raises:
            TypeError: The message is not a call to the store.
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
        raise TypeError(f"not a call to the store: {type(call).__name__}")

    @_answer.register
    def _(self, call: gateway.StoreAppend) -> gateway.StoreReply:
        records = [KeyedRecord(one.key, one.value) for one in call.records]
        at = call.at if call.conditional else None
        offset = self._direct.append(call.topic, call.part, records, at)
        return gateway.StoreReply(outcome=_Outcome.STORE_OUTCOME_DONE, offset=offset)

    @_answer.register
    def _(self, call: gateway.StoreRead) -> gateway.StoreReply:
        wait = min(MAX_RELAYED_WAIT, call.wait_ms / 1000)
        part = self._direct.read(call.topic, call.part, call.offset, wait, call.limit)
        return _reply(part, False)

    @_answer.register
    def _(self, call: gateway.StoreNewest) -> gateway.StoreReply:
        return _reply(*self._direct.newest(call.topic, call.part, call.after))


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
