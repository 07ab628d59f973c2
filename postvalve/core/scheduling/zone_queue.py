"""Queue shared by the nodes of a zone, one per service: decides which request gets a free slot.

Requests wait at many nodes, and all of them see a slot that comes free. If nodes drew for it, any
of them might get it; with a shared queue it goes to the first request in order.

One node of the zone coordinates the queue. Nodes report their waiting requests to it repeatedly
while there are any. It grants free slots in order, and counts a grant as used until a report of
that node accounts for it. All of its state is reported again all the time, so nothing must be
recovered when it is lost. Without an answer each node follows its own order, so a coordinator that
fails delays requests for no longer than the time-out.
"""

from __future__ import annotations

import bisect
import math
import struct
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from postvalve.core.membership.feature_gate import SETTLE_TIME
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.scheduling.queue_order import MAX_RANK, QueuePosition

MAX_REPORTED = 4
"""Waiting requests in one report, the first in the node's order: more than the node gets slots
until its next report."""
STATES_PER_SECOND = 150.0
"""Reports that a coordinator reads per second at most; together with as many answers they take less
than 3% of a core."""
MIN_STATE_INTERVAL = 0.06
"""Least seconds between two reports of a node; together with the answers these are 2.5 KB/s."""
STATE_TIME = 0.5
"""Seconds for which a report is valid, or two report intervals if these are longer. A node that is
gone blocks slots for no longer than `GRANT_TIME` after its last grant."""
GRANT_TIME = 0.25
"""Seconds after which a grant that no report accounts for counts as unused; reports come sooner
than that."""
COORDINATOR_TIMEOUT = 0.1
"""Seconds without an answer after which a node follows its own order."""
LISTEN_TIME = 1.0
"""Seconds after its start in which a node coordinates no queue: it must first receive reports of
what the engines run."""

_STATE = struct.Struct("!IQIIBB")
"""Hash of the service, incarnation, number of the report, last grant received, length of the node's
id, number of entries."""
_ENTRY = struct.Struct("!IBBd")
_GRANT = struct.Struct("!IIBB")
"""Hash of the service, number of the grant, number of granted requests, number of waiting
requests."""
_NUMBER = struct.Struct("!I")
_AHEAD = struct.Struct("!IH")
MAX_TRACKED_NODES = 1000
"""Upper bound of the nodes whose starts are remembered, the latest ones: several times the size of
a zone."""
MAX_AHEAD = 0xFFFF
MAX_ADOPTED_GRANT = 0xF0000000
"""Largest grant number of another coordinator that this one adopts. The rest of the 32 bits is
reserved for its own numbers, in case a node reports a wrong one."""


class NewNodes:
    """Nodes that have started lately; they use no feature yet that needs all nodes, and coordinate
    no queue."""

    def __init__(self, now: float) -> None:
        self._listens_until = now + LISTEN_TIME
        self._incarnations: dict[str, tuple[int, float]] = {}
        """Incarnation of each node, and when its first report arrived."""

    def record(self, node_id: str, incarnation: int, now: float) -> None:
        """Record that a node reported itself."""
        known = self._incarnations.get(node_id)
        if known is not None and known[0] == incarnation:
            return
        # A node that reports while this one is starting is taken to be older.
        first_heard = -math.inf if known is None and now < self._listens_until else now
        self._incarnations.pop(node_id, None)
        self._incarnations[node_id] = incarnation, first_heard
        if len(self._incarnations) > MAX_TRACKED_NODES:
            del self._incarnations[next(iter(self._incarnations))]

    def includes(self, node_id: str, now: float) -> bool:
        """Return whether a node has started lately."""
        known = self._incarnations.get(node_id)
        return known is not None and now - known[1] < SETTLE_TIME


def coordinator_of(zone: str, service: int, node_ids: Iterable[str]) -> str | None:
    """Return the node that coordinates a queue, the same at all nodes with the same view."""
    return preferred_owner(f"line {zone} {service}", node_ids)


def state_interval(nodes: int) -> float:
    """Return the seconds between two reports of a node in a zone of so many nodes."""
    return max(MIN_STATE_INTERVAL, nodes / STATES_PER_SECOND)


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits at a node."""

    number: int
    """Number of the request, unique at its node."""
    place: QueuePosition


@dataclass(frozen=True, slots=True)
class QueueState:
    """Report of the requests that wait at one node for one service, the first in order."""

    service: int
    """Hash of the service."""
    node_id: str
    incarnation: int
    number: int
    last_grant: int
    """Number of the last grant that the node has received."""
    waiting: tuple[WaitingRequest, ...] = ()

    def pack(self) -> bytes:
        """Encode the report."""
        node = self.node_id.encode()[:0xFF]
        reported = self.waiting[:MAX_REPORTED]
        head = _STATE.pack(
            self.service, self.incarnation, self.number, self.last_grant, len(node), len(reported)
        )
        entries = (
            _ENTRY.pack(
                entry.number, *(min(MAX_RANK, r) for r in entry.place.rank), entry.place.tag
            )
            for entry in reported
        )
        return head + node + b"".join(entries)


@dataclass(frozen=True, slots=True)
class Grant:
    """A coordinator's answer to a node's report."""

    service: int
    number: int
    """Number of the grant; a larger one is newer."""
    granted: tuple[int, ...] = ()
    """Numbers of the requests that may start, including earlier grants that the node has not yet
    acknowledged."""
    ahead: tuple[tuple[int, int], ...] = ()
    """Numbers of the node's other waiting requests, each with the number of requests ahead of
    it."""

    def pack(self) -> bytes:
        """Encode the answer."""
        granted, ahead = self.granted[:0xFF], self.ahead[:MAX_REPORTED]
        head = _GRANT.pack(self.service, self.number, len(granted), len(ahead))
        numbers = b"".join(map(_NUMBER.pack, granted))
        return head + numbers + b"".join(_AHEAD.pack(n, min(MAX_AHEAD, a)) for n, a in ahead)


class QueueMessageError(ValueError):
    """A report or an answer is malformed."""


def unpack_state(data: bytes) -> QueueState:
    """Decode the bytes from `QueueState.pack`.

    Raises:
        QueueMessageError: the bytes are malformed.
    """
    try:
        service, incarnation, number, last_grant, length, count = _STATE.unpack_from(data)
        start = _STATE.size + length
        node = data[_STATE.size : start].decode()
        if len(data) != start + count * _ENTRY.size:
            raise QueueMessageError("queue state has a wrong length")
        entries = _ENTRY.iter_unpack(data[start:])
    except (struct.error, UnicodeDecodeError) as exc:
        raise QueueMessageError(f"malformed queue state: {exc}") from exc
    waiting = tuple(
        WaitingRequest(entry, QueuePosition((tenant_rank, route_rank), tag))
        for entry, tenant_rank, route_rank, tag in entries
        if math.isfinite(tag)
    )
    return QueueState(service, node, incarnation, number, last_grant, waiting)


def unpack_grant(data: bytes) -> Grant:
    """Decode the bytes from `Grant.pack`.

    Raises:
        QueueMessageError: the bytes are malformed.
    """
    try:
        service, number, granted, ahead = _GRANT.unpack_from(data)
    except struct.error as exc:
        raise QueueMessageError(f"malformed grant: {exc}") from exc
    end = _GRANT.size + granted * _NUMBER.size
    if len(data) != end + ahead * _AHEAD.size:
        raise QueueMessageError("grant has a wrong length")
    numbers = tuple(entry for (entry,) in _NUMBER.iter_unpack(data[_GRANT.size : end]))
    return Grant(service, number, numbers, tuple(_AHEAD.iter_unpack(data[end:])))


@dataclass(slots=True)
class _PendingGrant:
    """A grant that no report accounts for yet."""

    request: int
    grant: int
    at: float


_SortKey = tuple[tuple[int, int], float, str, int]
"""Rank, tag, node and number of a request. These are plain tuples, because a coordinator sorts all
waiting requests for each answer, and `QueuePosition` takes ten times as long to compare."""


@dataclass(slots=True)
class _Member:
    """State of one node at the coordinator."""

    state: QueueState
    last_seen_at: float
    given: list[_PendingGrant] = field(default_factory=list)
    ungranted: list[_SortKey] = field(default_factory=list)
    """Requests that wait without a grant."""

    def update(self) -> None:
        """Recompute which requests wait without a grant."""
        given = {entry.request for entry in self.given}
        self.ungranted = [
            (entry.place.rank, entry.place.tag, self.state.node_id, entry.number)
            for entry in self.state.waiting
            if entry.number not in given
        ]


class QueueCoordinator:
    """The queue of one service at its coordinator; times are monotonic seconds."""

    def __init__(self, service: int, first_grant: int) -> None:
        """Start with an empty queue; `first_grant` must be above all grant numbers that this node
        has used before."""
        self._service = service
        self._members: dict[str, _Member] = {}
        self._grants = first_grant

    def receive(self, state: QueueState, now: float) -> bool:
        """Receive a node's report; return whether it is newer than the one known."""
        known = self._members.get(state.node_id)
        if self._grants < state.last_grant <= MAX_ADOPTED_GRANT:
            # The number comes from another coordinator. Numbers of this one must be larger, else
            # its grants would count as received before the node has seen them.
            self._grants = state.last_grant
        if known is None:
            known = self._members[state.node_id] = _Member(state, now)
            known.update()
            return True
        same_incarnation = known.state.incarnation == state.incarnation
        if same_incarnation and state.number <= known.state.number:
            return False
        if not same_incarnation:
            known.given = []
        known.state, known.last_seen_at = state, now
        # The node's load report, which shows the grants it has used, goes out before each of these
        # reports.
        known.given = [entry for entry in known.given if entry.grant > state.last_grant]
        known.update()
        return True

    def expire(self, now: float, nodes: int) -> None:
        """Drop reports and grants that have expired, in a zone of so many nodes."""
        oldest = now - max(STATE_TIME, 2 * state_interval(nodes))
        self._members = {
            node_id: entry
            for node_id, entry in self._members.items()
            if entry.last_seen_at > oldest
        }
        for member in self._members.values():
            if member.given and now - member.given[0].at >= GRANT_TIME:
                member.given = [entry for entry in member.given if now - entry.at < GRANT_TIME]
                member.update()

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return any(entry.state.waiting for entry in self._members.values())

    @property
    def outstanding(self) -> int:
        """Number of grants counted as used that no report accounts for yet."""
        return sum(len(entry.given) for entry in self._members.values())

    def order(self) -> list[_SortKey]:
        """Return the requests that wait without a grant, the first one first."""
        keys: list[_SortKey] = []
        for member in self._members.values():
            keys += member.ungranted
        keys.sort()
        return keys

    def grant(self, free: int, now: float) -> set[str]:
        """Grant free slots in order; return the nodes that got some.

        Args:
            free: Free slots at engines, outstanding grants not subtracted.
            now: Monotonic seconds.
        """
        remaining = free - self.outstanding
        if remaining <= 0:
            return set()
        nodes = set()
        for _, _, node_id, number in self.order()[:remaining]:
            self._grants += 1
            self._members[node_id].given.append(_PendingGrant(number, self._grants, now))
            nodes.add(node_id)
        for node_id in nodes:
            self._members[node_id].update()
        return nodes

    def answers(self, node_ids: Collection[str]) -> dict[str, Grant]:
        """Return the answers to some nodes: their unacknowledged grants, and the requests ahead of
        the others."""
        if not node_ids:
            return {}
        order = self.order()
        members = ((node_id, self._members.get(node_id)) for node_id in node_ids)
        return {
            node_id: self._answer(entry, order) for node_id, entry in members if entry is not None
        }

    def _answer(self, member: _Member, order: list[_SortKey]) -> Grant:
        last = max((entry.grant for entry in member.given), default=member.state.last_grant)
        ahead = tuple((key[3], bisect.bisect_left(order, key)) for key in member.ungranted)
        return Grant(self._service, last, tuple(entry.request for entry in member.given), ahead)


def first_waiting(waiting: Sequence[tuple[int, QueuePosition]]) -> tuple[WaitingRequest, ...]:
    """Return the part of a node's waiting requests that it reports, given in its order."""
    return tuple(WaitingRequest(number, place) for number, place in waiting[:MAX_REPORTED])
