"""Decides whether a request queued by fair share waits, starts, or is refused with a retry time.

It takes the place of the decision in `core/admission/online_admission` where tenants have shares.
The target load is tenants that together want more than the engines can serve in time. In order of
arrival, all requests would be a little late. In order of shares, those in front are in time, and a
request that is too far behind is refused while its client can still retry, also in a lasting
overload; requests that would be late anyway leave their slots to those that can be in time. No
request is refused for the sake of requests behind it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from postvalve.core.admission.online_admission import (
    HOLD_SHARE,
    MIN_RETRY_AFTER,
    RETRY_AFTER_SHARE,
    RETRY_JITTER,
    AdmissionAction,
    EngineOccupancy,
    PendingRequest,
)
from postvalve.core.admission.service_latency import ServiceLatency

MAX_ENGINE_QUEUE = 1
"""Requests queued at each engine while others wait in order: a slot that comes free becomes known
at other nodes some tenths of a second later, and would be idle until then."""
REFUSAL_DEVIATIONS = 2.33
"""Standard deviations by which the requests ahead must exceed the expected number of slots that
come free in time before a request is refused: one in a hundred of those refused would have got a
slot."""


def free_capacity(engines: Sequence[EngineOccupancy], pace: ServiceLatency) -> int:
    """Return how many requests the engines accept before any wait at a node."""
    return sum(
        max(0, engine.capacity(pace) + MAX_ENGINE_QUEUE - engine.online) for engine in engines
    )


def zone_queue_wait(ahead: int, engines: Sequence[EngineOccupancy], pace: ServiceLatency) -> float:
    """Return the seconds until a slot is free for a request with `ahead` others before it."""
    capacity = sum(engine.capacity(pace) for engine in engines)
    excess = ahead + 1 + sum(engine.online for engine in engines) - capacity
    return max(0, excess) * pace.queue_delay_per_place(capacity) if capacity else 0.0


def hold_expired(req: PendingRequest, now: float) -> bool:
    """Return whether a request has waited for as long as any may; it then starts, whatever its
    position."""
    return now - req.arrived_at >= req.target_latency * HOLD_SHARE


def decide_in_order(
    req: PendingRequest,
    engines: Sequence[EngineOccupancy],
    pace: ServiceLatency,
    now: float,
    ahead: int,
) -> AdmissionAction:
    """Decide about a queued request at `now`.

    Args:
        req: The request.
        engines: The engines that may take it.
        pace: Latencies of the service.
        now: Monotonic seconds.
        ahead: Number of requests that go before it.
    """
    if not engines or free_capacity(engines, pace) > ahead or hold_expired(req, now):
        return AdmissionAction.START
    if not (pace.known and req.may_retry):
        return AdmissionAction.HOLD
    unread = min(engine.unread for engine in engines)
    seconds_left = req.arrived_at + req.target_latency - now - pace.first_event(unread + req.tokens)
    return (
        AdmissionAction.HOLD
        if _may_get_slot(seconds_left, engines, pace, ahead)
        else AdmissionAction.REFUSE
    )


def _may_get_slot(
    seconds_left: float, engines: Sequence[EngineOccupancy], pace: ServiceLatency, ahead: int
) -> bool:
    """Return whether a request has a fair chance of a slot within `seconds_left` seconds.

    Slots come free at random: the expected number, give or take its square root.
    """
    if seconds_left < 0:
        return False
    capacity = sum(engine.capacity(pace) for engine in engines)
    delay = pace.queue_delay_per_place(capacity)
    excess = ahead + 1 + sum(engine.online for engine in engines) - capacity
    expected_slots = seconds_left / delay if delay > 0 else math.inf
    return excess <= 1 + expected_slots + REFUSAL_DEVIATIONS * math.sqrt(expected_slots)


def retry_after_seconds(expected: float, time_left: float, jitter: float) -> float:
    """Return the seconds after which a refused client should retry.

    Args:
        expected: Estimated seconds until there is capacity for the request.
        time_left: Seconds that the client will still wait.
        jitter: Random number from 0 to 1, so that clients refused together retry at different
            times.
    """
    latest = max(0.0, time_left) * RETRY_AFTER_SHARE
    return min(latest, max(MIN_RETRY_AFTER, expected) + RETRY_JITTER * jitter)
