"""Whether an online request goes to an engine now, waits at the node, or is asked to come back.

Engines serve first come, first served. In a heap of requests that is larger than their slots
this makes everybody late by a little. So a request goes to an engine's queue only if it can still
be in time there; those that can't leave the slots to those that can. One that has its time before
it is refused at once, not run, with the time at which room is expected; one that has come back, or
can't, waits at the node and takes the first slot that nobody needs to be in time.
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
"""Share of its target latency that a request is held at the most before an engine gets it: one
that has come back must reach an engine while its client still waits."""
FIRST_TRY_SHARE = 0.97
"""Share of the longest time that clients give from which a request counts as a first try; less
than a client has left that came back after `MIN_RETRY_AFTER`, for any time up to 10 s."""
MIN_RETRY_AFTER = 0.3
"""Seconds after which a refused client may come back at the earliest."""
RETRY_AFTER_SHARE = 0.3
"""Share of the time left after which a refused client comes back at the latest."""
RETRY_JITTER = 0.5
"""Seconds over which clients that were refused together come back."""
UNKNOWN_LATENCY_QUEUE = 1
"""Online requests that may wait at an engine before its pace is known."""
PERSISTENT_AFTER = 2.5
"""Seconds after which an overload is none that clients can wait out: by then those that were told
to come back are here, and whoever is refused or held only comes later."""
EPISODE_WEIGHT = 0.3
"""Weight of a new overload in the expected length of the next one."""
EPISODE_GAP = 0.5
"""Seconds in which every request finds room, after which an overload is over."""
INITIAL_EPISODE_LENGTH = 1.0
"""Seconds that the first overload is expected to last."""


class AdmissionAction(enum.Enum):
    """What becomes of a request now."""

    START = "start"
    HOLD = "hold"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """What decides about a request; times in monotonic seconds."""

    arrived_at: float
    target_latency: float
    deadline: float
    tokens: int
    """Prompt tokens that an engine may have to read for it."""
    may_retry: bool
    """Whether its client can come back in time if it is refused."""


def finds_room(
    req: PendingRequest, rooms: Sequence[EngineOccupancy], pace: ServiceLatency, now: float
) -> bool:
    """Whether an engine should get a request now, for its own sake."""
    if not rooms or any_has_capacity(rooms, pace):
        # A slot that no online work needs: late or not, nothing better can be had.
        return True
    if not pace.known:
        # Nobody can say what a queue costs yet: one place in it is risked.
        return min(room.online - room.capacity(pace) for room in rooms) < UNKNOWN_LATENCY_QUEUE
    left = req.arrived_at + req.target_latency - now
    return any(expected_in_time(rooms, req.tokens, pace, left))


def decide(
    req: PendingRequest,
    rooms: Sequence[EngineOccupancy],
    pace: ServiceLatency,
    now: float,
    *,
    persistent: bool = False,
) -> AdmissionAction:
    """Decide about a request at `now`; alike for all that wait.

    Args:
        req: The request.
        rooms: Load of the engines that may take it.
        pace: Of these engines.
        now: Monotonic seconds.
        persistent: Whether the slots ran out long ago: then engines serve first come, first served.
    """
    if persistent or finds_room(req, rooms, pace, now):
        return AdmissionAction.START
    waited = now - req.arrived_at
    if pace.known and req.may_retry and waited <= req.target_latency * REFUSE_SHARE * 2:
        return (
            AdmissionAction.REFUSE
            if waited >= req.target_latency * REFUSE_SHARE
            else AdmissionAction.HOLD
        )
    if waited >= req.target_latency * HOLD_SHARE:
        return AdmissionAction.START
    return AdmissionAction.HOLD


class OverloadEpisodes:
    """When the slots ran out, and for how long they usually do."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._last = 0.0
        self._length = INITIAL_EPISODE_LENGTH

    def record_full(self, now: float) -> None:
        """A request found no room in time at `now`.

        Slots come free all through an overload; it is over when nobody was short of one for a
        while.
        """
        self._end_old(now)
        self._since = now if self._since is None else self._since
        self._last = now

    def _end_old(self, now: float) -> None:
        if self._since is not None and now - self._last > EPISODE_GAP:
            self._length += EPISODE_WEIGHT * (self._last - self._since - self._length)
            self._since = None

    def persistent(self, now: float) -> bool:
        """Whether the present overload has lasted for longer than clients can wait."""
        self._end_old(now)
        return self._since is not None and now - self._since > PERSISTENT_AFTER

    def seconds_left(self, now: float) -> float:
        """Seconds until there is room again, as far as can be told."""
        self._end_old(now)
        if self._since is None:
            return 0.0
        return max(0.0, self._length - (now - self._since))

    def retry_after(self, now: float, time_left: float, drawn: float) -> float:
        """Seconds told to a refused client; `drawn` is from 0 to 1."""
        latest = time_left * RETRY_AFTER_SHARE
        return min(latest, max(MIN_RETRY_AFTER, self.seconds_left(now)) + RETRY_JITTER * drawn)
