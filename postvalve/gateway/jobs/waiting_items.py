"""What the items of this node wait for: for the log, the status document and the metrics."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import asdict, dataclass
from typing import Any

import gevent

from postvalve.clock import Clock
from postvalve.core.batch.reconciliation import ItemKey
from postvalve.events import Event, EventLog
from postvalve.gateway.fleet.engine_fleet import BatchRoom
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.gateway.metrics import GatewayMetrics

CHECK_INTERVAL = 1.0
"""Seconds between checks of which items wait."""
LOGGED_AFTER = 3.0
"""Seconds that an item waits before this is logged."""
REPEATED_AFTER = 30.0
"""Seconds after which an item that still waits for the same reason is logged again."""
MAX_LINES = 2
"""Most lines that one check writes."""


class Gate(enum.StrEnum):
    """What a waiting item waits for."""

    RESTORE = "restore"
    """Its saved progress is being read after a takeover."""
    QUARANTINE = "quarantine"
    """It is held back, since engines ended while they ran it."""
    COUNT = "count"
    """Its last attempt failed, and the number of its failures is not in the store yet."""
    RETRY = "retry"
    """Its last attempt failed a moment ago."""
    LEAVING_PEER = "leaving peer"
    """A node that is shutting down still runs it."""
    DRAIN = "drain"
    """This node is shutting down."""
    CAPACITY = "capacity"
    """No engine has room for batch items."""
    TURN = "turn"
    """More urgent items, of this node or of peers, take the room that there is."""
    ENGINE = "engine"
    """There is room, but at no engine that may run this item now."""


@dataclass(frozen=True, slots=True)
class PassOutcome:
    """What the last scheduling pass found for the items of one service that compete with each
    other."""

    free_slots: int = 0
    """Batch items that could start at the engines."""
    startable: int = 0
    """Items of this node that were urgent enough to be among them."""
    unplaced: int = 0
    """Of these, items that no engine could run."""


@dataclass(frozen=True, slots=True)
class WaitingFacts:
    """What decides whether one item may start."""

    service: str = ""
    runs_at_leaving_peer: bool = False
    outcome: PassOutcome = PassOutcome()


@dataclass(slots=True)
class _Waiting:
    """A wait of one item."""

    since: float
    gate: Gate
    logged_gate: Gate | None = None
    logged_at: float = -math.inf


class WaitingItems:
    """Follows how long each item of this node has been waiting, and for what."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        metrics: GatewayMetrics,
        items: Callable[[], Iterable[RunningItem]],
        facts: Callable[[Collection[RunningItem]], list[WaitingFacts]],
        room: Callable[[str, bool], BatchRoom],
    ) -> None:
        """Set up.

        Args:
            clock: Source of time.
            events: Log.
            metrics: Metrics of this node.
            items: Returns all items of this node.
            facts: Returns what decides whether each of some items may start.
            room: Returns the room for batch items at the engines of a service that may run items,
                pressing ones or others.
        """
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._items = items
        self._facts = facts
        self._room = room
        self._waiting: dict[ItemKey, _Waiting] = {}
        self.is_draining: Callable[[], bool] = lambda: False
        """Returns whether this node is shutting down."""

    def run(self) -> None:
        """Check periodically, forever."""
        while True:
            gevent.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Update what each item waits for, and log items that have been waiting for long."""
        now = self._clock.monotonic()
        items = [item for item in self._items() if not item.running]
        facts = self._facts(items) if items else []
        former, self._waiting = self._waiting, {}
        due = []
        for item, fact in zip(items, facts, strict=True):
            key = (item.job_id, item.index)
            gate = self._gate(item, fact, now)
            waiting = former.get(key)
            if waiting is None or item.started_at > waiting.since:
                waiting = _Waiting(now, gate)
            waiting.gate = gate
            self._waiting[key] = waiting
            if _is_due(waiting, now):
                due.append((item, fact, waiting))
        self._update_metrics()
        for item, fact, waiting in due[:MAX_LINES]:
            self._log(item, fact, waiting, now, len(due) - MAX_LINES)

    def _gate(self, item: RunningItem, fact: WaitingFacts, now: float) -> Gate:
        if self.is_draining():
            return Gate.DRAIN
        if item.not_before == math.inf:
            return Gate.RESTORE
        if item.is_count_pending:
            return Gate.COUNT
        if item.not_before > now:
            return Gate.QUARANTINE if item.quarantined else Gate.RETRY
        if fact.runs_at_leaving_peer:
            return Gate.LEAVING_PEER
        if fact.outcome.free_slots <= 0:
            return Gate.CAPACITY
        return Gate.ENGINE if fact.outcome.unplaced else Gate.TURN

    def _update_metrics(self) -> None:
        counts = dict.fromkeys(Gate, 0)
        for waiting in self._waiting.values():
            counts[waiting.gate] += 1
        for gate, count in counts.items():
            self._metrics.items_waiting.labels(gate.value).set(count)

    def _log(
        self, item: RunningItem, fact: WaitingFacts, waiting: _Waiting, now: float, others: int
    ) -> None:
        waiting.logged_gate, waiting.logged_at = waiting.gate, now
        self._events.emit(
            Event.ITEM_WAITS,
            job=item.job_id,
            item=item.index,
            gate=waiting.gate.value,
            waited=round(now - waiting.since, 1),
            late=round(self._clock.wall() - item.due_at_ms / 1000, 1),
            pressing=item.pressing,
            held_for=_seconds_held(item, now),
            failures=item.failures,
            events=len(item.events),
            version=item.version,
            free=fact.outcome.free_slots,
            startable=fact.outcome.startable,
            unplaced=fact.outcome.unplaced,
            room=asdict(self._room(fact.service, item.pressing)),
            others=max(0, others),
        )

    def rows(self) -> list[dict[str, Any]]:
        """Return how many items wait for what, and the longest wait of each kind in seconds."""
        now = self._clock.monotonic()
        waits: dict[Gate, list[float]] = {}
        for waiting in self._waiting.values():
            waits.setdefault(waiting.gate, []).append(now - waiting.since)
        return [
            {"gate": gate.value, "items": len(times), "longest": round(max(times), 1)}
            for gate, times in sorted(waits.items())
        ]


def _is_due(waiting: _Waiting, now: float) -> bool:
    if now - waiting.since < LOGGED_AFTER:
        return False
    changed = waiting.gate is not waiting.logged_gate
    return now - waiting.logged_at >= (LOGGED_AFTER if changed else REPEATED_AFTER)


def _seconds_held(item: RunningItem, now: float) -> float | None:
    """Return the seconds until the item may be tried; None if that isn't known."""
    if item.not_before == math.inf:
        return None
    return round(max(0.0, item.not_before - now), 1)
