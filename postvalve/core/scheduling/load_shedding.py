"""Whether a request that stands in order waits for its turn, starts, or is asked to come back.

Beside `core/admission/holding`, where tenants have shares. The load it answers: tenants that
together want more than the engines can serve in time. By age everybody is late by a little. In
order, those in front are in time, and whoever stands too far behind hears so while its client can
still come back, also in an overload that lasts: those that would be late anyhow leave the slots to
those that need not be. Nobody is turned away for those that stand behind it.
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
"""Requests that wait at each engine while others stand in order: a slot that comes free is known
elsewhere some tenths of a second later, and would stand idle so long."""
REFUSAL_DEVIATIONS = 2.33
"""Standard deviations by which more requests must go before one than slots come free in its time,
until it is turned away: one in a hundred of them would have got a slot."""


def free_capacity(rooms: Sequence[EngineOccupancy], pace: ServiceLatency) -> int:
    """Requests that engines take before anybody waits at a node."""
    return sum(max(0, one.capacity(pace) + MAX_ENGINE_QUEUE - one.online) for one in rooms)


def zone_queue_wait(ahead: int, rooms: Sequence[EngineOccupancy], pace: ServiceLatency) -> float:
    """Seconds until a slot is free for a request that `ahead` others go before."""
    places = sum(one.capacity(pace) for one in rooms)
    before = ahead + 1 + sum(one.online for one in rooms) - places
    return max(0, before) * pace.queue_delay_per_place(places) if places else 0.0


def hold_expired(req: PendingRequest, now: float) -> bool:
    """Whether a request has waited for as long as any is held: an engine gets it, turn or not."""
    return now - req.arrived_at >= req.target_latency * HOLD_SHARE


def decide_in_order(
    req: PendingRequest,
    rooms: Sequence[EngineOccupancy],
    pace: ServiceLatency,
    now: float,
    ahead: int,
) -> AdmissionAction:
    """Decide about a request at `now`.

    Args:
        req: The request.
        rooms: Load of the engines that may take it.
        pace: Of these engines.
        now: Monotonic seconds.
        ahead: Requests that go before it.
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
    """Whether a request has a fair chance of a slot within `left` seconds.

    Slots come free by chance: so many in the mean, and about the root of it more or fewer.
    """
    if left < 0:
        return False
    places = sum(one.capacity(pace) for one in rooms)
    step = pace.queue_delay_per_place(places)
    before = ahead + 1 + sum(one.online for one in rooms) - places
    mean = left / step if step > 0 else math.inf
    return before <= 1 + mean + REFUSAL_DEVIATIONS * math.sqrt(mean)


def retry_after_seconds(expected: float, time_left: float, drawn: float) -> float:
    """Seconds told to a client that is turned away.

    Args:
        expected: Seconds until there is room for it, as far as can be told.
        time_left: Seconds that its client still waits.
        drawn: From 0 to 1: those that are turned away together come back one after the other.
    """
    latest = max(0.0, time_left) * RETRY_AFTER_SHARE
    return min(latest, max(MIN_RETRY_AFTER, expected) + RETRY_JITTER * drawn)
