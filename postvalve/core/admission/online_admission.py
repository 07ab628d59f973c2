"""Admission of online requests: start now, hold at this node, or refuse with a retry time.

Engines serve their queues first come, first served. In a burst larger than their slots this would
make every request a little late. So a request is sent to an engine's queue only if it can still be
in time there, and leaves the slots to other requests otherwise. A request whose client has time to
retry is refused at once, without being run, together with the time at which capacity is expected.
One that is a retry already, or whose client has no time for one, is held at the node and takes the
first slot that no other request needs to be in time.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.routing.latency_estimate import (
    EngineOccupancy,
    any_has_capacity,
    expected_in_time,
)

REFUSE_SHARE = 0.12
"""Share of its target latency within which a request is refused, if at all."""
HOLD_SHARE = 0.8
"""Share of its target latency for which a request is held at most before it is sent to an engine. A
retried request must reach an engine while its client is still waiting."""
FIRST_TRY_SHARE = 0.97
"""Share of the longest deadline that clients set from which a request counts as a first try. It is
more than a client has left that retried after `MIN_RETRY_AFTER`, for any deadline up to 10 s."""
MIN_RETRY_AFTER = 0.3
"""Shortest retry time, in seconds, told to a refused client."""
RETRY_AFTER_SHARE = 0.3
"""Share of the client's remaining time that the retry time may take at most."""
RETRY_JITTER = 0.5
"""Seconds over which the retries of clients refused together are spread."""
UNKNOWN_LATENCY_QUEUE = 1
"""Online requests that may queue at an engine while its latencies are unknown."""
PERSISTENT_AFTER = 2.5
"""Seconds after which an overload counts as persistent, so that waiting does not help clients. By
then those told to retry are back, and refusing or holding any request only makes it later."""
EPISODE_WEIGHT = 0.3
"""Weight of a new overload in the moving average of overload lengths."""
EPISODE_GAP = 0.5
"""Seconds in which every request finds capacity, after which an overload is over."""
INITIAL_EPISODE_LENGTH = 1.0
"""Expected length, in seconds, of the first overload."""


class AdmissionAction(enum.Enum):
    """What to do with an online request now."""

    START = "start"
    HOLD = "hold"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """Properties of an online request that the decision depends on; times in monotonic seconds."""

    arrived_at: float
    target_latency: float
    deadline: float
    tokens: int
    """Prompt tokens that an engine may have to process for it."""
    may_retry: bool
    """Whether its client has time for a retry if it is refused."""


def finds_capacity(
    req: PendingRequest, occupancies: Sequence[EngineOccupancy], latency: ServiceLatency, now: float
) -> bool:
    """Return whether a request should be sent to an engine now, regardless of other requests."""
    if not occupancies or any_has_capacity(occupancies, latency):
        # An engine has a slot that no online work needs: even if the request will be late, it
        # cannot do better elsewhere.
        return True
    if not latency.known:
        # Without estimates of the queueing delay, risk a queue of one request.
        return (
            min(occupancy.online - occupancy.capacity(latency) for occupancy in occupancies)
            < UNKNOWN_LATENCY_QUEUE
        )
    left = req.arrived_at + req.target_latency - now
    return any(expected_in_time(occupancies, req.tokens, latency, left))


def decide(
    req: PendingRequest,
    occupancies: Sequence[EngineOccupancy],
    latency: ServiceLatency,
    now: float,
    *,
    persistent: bool = False,
) -> AdmissionAction:
    """Decide on a request at `now`; the same rule applies to all waiting requests.

    Args:
        req: The request.
        rooms: Load of the engines that may take it.
        pace: Latency estimates for these engines.
        now: Monotonic seconds.
        persistent: Whether the overload is persistent; requests are then started first come, first
            served.
    """
    if persistent or finds_capacity(req, occupancies, latency, now):
        return AdmissionAction.START
    waited = now - req.arrived_at
    if latency.known and req.may_retry and waited <= req.target_latency * REFUSE_SHARE * 2:
        return (
            AdmissionAction.REFUSE
            if waited >= req.target_latency * REFUSE_SHARE
            else AdmissionAction.HOLD
        )
    if waited >= req.target_latency * HOLD_SHARE:
        return AdmissionAction.START
    return AdmissionAction.HOLD


class OverloadEpisodes:
    """Tracks when the engines ran out of slots, and how long overloads usually last."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._last = 0.0
        self._length = INITIAL_EPISODE_LENGTH

    def record_full(self, now: float) -> None:
        """Record that a request found no capacity in time at `now`.

        Slots become free all through an overload. It is over only when no request has been short of
        a slot for `EPISODE_GAP`.
        """
        self._close_expired(now)
        self._since = now if self._since is None else self._since
        self._last = now

    def _close_expired(self, now: float) -> None:
        if self._since is not None and now - self._last > EPISODE_GAP:
            self._length += EPISODE_WEIGHT * (self._last - self._since - self._length)
            self._since = None

    def persistent(self, now: float) -> bool:
        """Return whether the present overload has lasted for longer than clients can wait."""
        self._close_expired(now)
        return self._since is not None and now - self._since > PERSISTENT_AFTER

    def seconds_left(self, now: float) -> float:
        """Return the expected seconds until there is capacity again."""
        self._close_expired(now)
        if self._since is None:
            return 0.0
        return max(0.0, self._length - (now - self._since))

    def retry_after(self, now: float, time_left: float, random_fraction: float) -> float:
        """Return the retry time, in seconds, for a refused client.

        `random_fraction`, from 0 to 1, spreads the retries of clients refused together.
        """
        latest = time_left * RETRY_AFTER_SHARE
        return min(
            latest, max(MIN_RETRY_AFTER, self.seconds_left(now)) + RETRY_JITTER * random_fraction
        )
