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


def free_capacity(rooms: Sequence[EngineOccupancy], pace: ServiceLatency) -> int:
    """Return how many requests the engines accept before any wait at a node."""
    return sum(max(0, one.capacity(pace) + MAX_ENGINE_QUEUE - one.online) for one in rooms)


def zone_queue_wait(ahead: int, rooms: Sequence[EngineOccupancy], pace: ServiceLatency) -> float:
    """Return the seconds until a slot is free for a request with `ahead` others before it."""
    places = sum(one.capacity(pace) for one in rooms)
    before = ahead + 1 + sum(one.online for one in rooms) - places
    return max(0, before) * pace.queue_delay_per_place(places) if places else 0.0


def hold_expired(req: PendingRequest, now: float) -> bool:
    """Return whether a request has waited for as long as any may; it then starts, whatever its
    position."""
    return now - req.arrived_at >= req.target_latency * HOLD_SHARE


def decide_in_order(
    req: PendingRequest,
    rooms: Sequence[EngineOccupancy],
    pace: ServiceLatency,
    now: float,
    ahead: int,
) -> AdmissionAction:
    """Decide about a queued request at `now`.

    Args:
        req: The request.
        rooms: The engines that may take it.
        pace: Latencies of the service.
        now: Monotonic seconds.
        ahead: Number of requests that go before it.
    """
    if not rooms or free_capacity(rooms, pace) > ahead or hold_expired(req, now):
        return AdmissionAction.START
    if not (pace.known and req.may_retry):
        return AdmissionAction.HOLD
    unread = min(one.unread for one in rooms)
    left = req.arrived_at + req.target_latency - now - pace.first_event(unread + req.tokens)
    return (
        AdmissionAction.HOLD if _may_get_slot(left, rooms, pace, ahead) else AdmissionAction.REFUSE
    )


def _may_get_slot(
    left: float, rooms: Sequence[EngineOccupancy], pace: ServiceLatency, ahead: int
) -> bool:
    """Return whether a request has a fair chance of a slot within `left` seconds.

    Slots come free at random: the expected number, give or take its square root.
    """
    if left < 0:
        return False
    places = sum(one.capacity(pace) for one in rooms)
    step = pace.queue_delay_per_place(places)
    before = ahead + 1 + sum(one.online for one in rooms) - places
    mean = left / step if step > 0 else math.inf
    return before <= 1 + mean + REFUSAL_DEVIATIONS * math.sqrt(mean)


def retry_after_seconds(expected: float, time_left: float, drawn: float) -> float:
    """Return the seconds after which a refused client should retry.

    Args:
        expected: Estimated seconds until there is capacity for the request.
        time_left: Seconds that the client will still wait.
        drawn: Random number from 0 to 1, so that clients refused together retry at different times.
    """
    latest = max(0.0, time_left) * RETRY_AFTER_SHARE
    return min(latest, max(MIN_RETRY_AFTER, expected) + RETRY_JITTER * drawn)
