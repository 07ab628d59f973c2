"""One line for a zone and a service: which waiting request gets a slot that comes free.

The load it answers: requests wait at many nodes, and a slot that comes free is seen by all of them.
Drawn for, it goes to any of them; in one line it goes to the first in order.

One node of the zone keeps the line. Nodes tell it who waits there, again and again while somebody
does; it grants free slots in order, and counts a grant as taken until a report of that node shows
it. All it knows is told anew all the time, so nothing must be recovered when it is lost. Without
an answer each node goes by its own order, so a keeper can delay nobody for longer than that takes.
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
"""Requests that a node tells of at once, the first in its order: more than it gets slots until it
tells again."""
STATES_PER_SECOND = 150.0
"""States that a keeper reads at the most; with as many answers they stay within 3% of a core."""
MIN_STATE_INTERVAL = 0.06
"""Seconds between two states of a node at the least: with the answers these are 2.5 KB/s."""
STATE_TIME = 0.5
"""Seconds for which a state counts, or two intervals where these are longer. A node that is gone
keeps grants from the others for no longer than `GRANT_TIME` after its last one."""
GRANT_TIME = 0.25
"""Seconds after which a grant that nothing shows counts as not used: reports come sooner."""
COORDINATOR_TIMEOUT = 0.1
"""Seconds without an answer after which a node goes by its own order."""
LISTEN_TIME = 1.0
"""Seconds after its start in which a node keeps no line: it must hear what engines run first."""

_STATE = struct.Struct("!IQIIBB")
"""Hash of the service; incarnation and number of the state; last grant taken; length of the node's
id; number of entries."""
_ENTRY = struct.Struct("!IBBd")
_GRANT = struct.Struct("!IIBB")
"""Hash of the service; number of the grant; numbers of granted and of waiting requests."""
_NUMBER = struct.Struct("!I")
_AHEAD = struct.Struct("!IH")
MAX_TRACKED_NODES = 1000
"""Nodes whose starts are remembered, the last ones: several times as many as a zone has."""
MAX_AHEAD = 0xFFFF
MAX_ADOPTED_GRANT = 0xF0000000
"""Largest number of another keeper beyond which this one goes on: the rest of 32 bits is left for
its own, also where a node tells a wrong one."""


class NewNodes:
    """Nodes that have started lately: they use nothing yet that takes all, and keep no line."""

    def __init__(self, now: float) -> None:
        self._listens_until = now + LISTEN_TIME
        self._lives: dict[str, tuple[int, float]] = {}
        """Incarnation of each node, and when it was first heard."""

    def record(self, node_id: str, incarnation: int, now: float) -> None:
        """A node reported itself."""
        known = self._lives.get(node_id)
        if known is not None and known[0] == incarnation:
            return
        # Who is heard while this node itself starts was there before, as far as it can tell.
        first = -math.inf if known is None and now < self._listens_until else now
        self._lives.pop(node_id, None)
        self._lives[node_id] = incarnation, first
        if len(self._lives) > MAX_TRACKED_NODES:
            del self._lives[next(iter(self._lives))]

    def includes(self, node_id: str, now: float) -> bool:
        """Whether it is one."""
        known = self._lives.get(node_id)
        return known is not None and now - known[1] < SETTLE_TIME


def coordinator_of(zone: str, service: int, node_ids: Iterable[str]) -> str | None:
    """The node that keeps a line, alike at all nodes with the same view."""
    return preferred_owner(f"line {zone} {service}", node_ids)


def state_interval(nodes: int) -> float:
    """Seconds between two states of a node where a zone has so many."""
    return max(MIN_STATE_INTERVAL, nodes / STATES_PER_SECOND)


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits at a node."""

    number: int
    """By which that node knows it."""
    place: QueuePosition


@dataclass(frozen=True, slots=True)
class QueueState:
    """Those that wait at one node for one service, the first in order."""

    service: int
    """Its hash."""
    node_id: str
    incarnation: int
    number: int
    last_grant: int
    """Number of the last grant that this node has taken in."""
    waiting: tuple[WaitingRequest, ...] = ()

    def pack(self) -> bytes:
        """For the wire."""
        node = self.node_id.encode()[:0xFF]
        told = self.waiting[:MAX_REPORTED]
        head = _STATE.pack(
            self.service, self.incarnation, self.number, self.last_grant, len(node), len(told)
        )
        entries = (
            _ENTRY.pack(one.number, *(min(MAX_RANK, r) for r in one.place.rank), one.place.tag)
            for one in told
        )
        return head + node + b"".join(entries)


@dataclass(frozen=True, slots=True)
class Grant:
    """What a keeper tells a node in answer."""

    service: int
    number: int
    """Of this grant; larger ones are newer."""
    granted: tuple[int, ...] = ()
    """Numbers of the requests that may start; those told before are among them until taken."""
    ahead: tuple[tuple[int, int], ...] = ()
    """Numbers of others that wait there, and how many requests go before each."""

    def pack(self) -> bytes:
        """For the wire."""
        granted, ahead = self.granted[:0xFF], self.ahead[:MAX_REPORTED]
        head = _GRANT.pack(self.service, self.number, len(granted), len(ahead))
        numbers = b"".join(map(_NUMBER.pack, granted))
        return head + numbers + b"".join(_AHEAD.pack(n, min(MAX_AHEAD, a)) for n, a in ahead)


class QueueMessageError(ValueError):
    """Bytes that are no state, or no grant."""


def unpack_state(data: bytes) -> QueueState:
    """Undo `State.pack`.

    Raises:
        LineMessageError: they are none.
    """
    try:
        service, incarnation, number, taken, length, count = _STATE.unpack_from(data)
        start = _STATE.size + length
        node = data[_STATE.size : start].decode()
        if len(data) != start + count * _ENTRY.size:
            raise QueueMessageError("a state of a wrong length")
        entries = _ENTRY.iter_unpack(data[start:])
    except (struct.error, UnicodeDecodeError) as exc:
        raise QueueMessageError(f"no state: {exc}") from exc
    waiting = tuple(
        WaitingRequest(one, QueuePosition((own, route), tag))
        for one, own, route, tag in entries
        if math.isfinite(tag)
    )
    return QueueState(service, node, incarnation, number, taken, waiting)


def unpack_grant(data: bytes) -> Grant:
    """Undo `Grant.pack`.

    Raises:
        LineMessageError: they are none.
    """
    try:
        service, number, granted, ahead = _GRANT.unpack_from(data)
    except struct.error as exc:
        raise QueueMessageError(f"no grant: {exc}") from exc
    middle = _GRANT.size + granted * _NUMBER.size
    if len(data) != middle + ahead * _AHEAD.size:
        raise QueueMessageError("a grant of a wrong length")
    numbers = tuple(one for (one,) in _NUMBER.iter_unpack(data[_GRANT.size : middle]))
    return Grant(service, number, numbers, tuple(_AHEAD.iter_unpack(data[middle:])))


@dataclass(slots=True)
class _Given:
    """A grant that no report has shown yet."""

    request: int
    grant: int
    at: float


_Key = tuple[tuple[int, int], float, str, int]
"""Rank, tag, node and number of a request: plain tuples, since a keeper sorts all that wait for
each answer, and places take ten times as long to compare."""


@dataclass(slots=True)
class _Member:
    """What the keeper knows of one node."""

    state: QueueState
    heard_at: float
    given: list[_Given] = field(default_factory=list)
    open: list[_Key] = field(default_factory=list)
    """Those that wait without a grant."""

    def update(self) -> None:
        """Find out who waits without a grant."""
        given = {one.request for one in self.given}
        self.open = [
            (one.place.rank, one.place.tag, self.state.node_id, one.number)
            for one in self.state.waiting
            if one.number not in given
        ]


class QueueCoordinator:
    """The line of one service, at the node that keeps it. Times are monotonic seconds."""

    def __init__(self, service: int, first_grant: int) -> None:
        """Know of nobody; `first_grant` is larger than any number that this node gave before."""
        self._service = service
        self._members: dict[str, _Member] = {}
        self._grants = first_grant

    def receive(self, state: QueueState, now: float) -> bool:
        """Take in who waits at a node; returns whether it is newer than what was known."""
        known = self._members.get(state.node_id)
        if self._grants < state.last_grant <= MAX_ADOPTED_GRANT:
            # Another keeper's: this one's must be larger, else they would count as taken unseen.
            self._grants = state.last_grant
        if known is None:
            known = self._members[state.node_id] = _Member(state, now)
            known.update()
            return True
        same_life = known.state.incarnation == state.incarnation
        if same_life and state.number <= known.state.number:
            return False
        if not same_life:
            known.given = []
        known.state, known.heard_at = state, now
        # A report that shows what it has taken goes before each state.
        known.given = [one for one in known.given if one.grant > state.last_grant]
        known.update()
        return True

    def expire(self, now: float, nodes: int) -> None:
        """Drop what is too old, in a zone of so many nodes."""
        oldest = now - max(STATE_TIME, 2 * state_interval(nodes))
        self._members = {
            node_id: one for node_id, one in self._members.items() if one.heard_at > oldest
        }
        for member in self._members.values():
            if member.given and now - member.given[0].at >= GRANT_TIME:
                member.given = [one for one in member.given if now - one.at < GRANT_TIME]
                member.update()

    @property
    def has_waiting(self) -> bool:
        """Whether anybody waits."""
        return any(one.state.waiting for one in self._members.values())

    @property
    def outstanding(self) -> int:
        """Grants that count as taken though no report shows them."""
        return sum(len(one.given) for one in self._members.values())

    def order(self) -> list[_Key]:
        """Those that wait without a grant, the first one first."""
        keys: list[_Key] = []
        for member in self._members.values():
            keys += member.open
        keys.sort()
        return keys

    def grant(self, free: int, now: float) -> set[str]:
        """Grant free places in order; returns the nodes that got some.

        Args:
            free: Places at engines, those granted before not taken off.
            now: Monotonic seconds.
        """
        left = free - self.outstanding
        if left <= 0:
            return set()
        nodes = set()
        for _, _, node_id, number in self.order()[:left]:
            self._grants += 1
            self._members[node_id].given.append(_Given(number, self._grants, now))
            nodes.add(node_id)
        for node_id in nodes:
            self._members[node_id].update()
        return nodes

    def answers(self, node_ids: Collection[str]) -> dict[str, Grant]:
        """What to tell some nodes: their grants that they have not taken in, and who is before."""
        if not node_ids:
            return {}
        order = self.order()
        members = ((node_id, self._members.get(node_id)) for node_id in node_ids)
        return {node_id: self._answer(one, order) for node_id, one in members if one is not None}

    def _answer(self, member: _Member, order: list[_Key]) -> Grant:
        last = max((one.grant for one in member.given), default=member.state.last_grant)
        before = tuple((key[3], bisect.bisect_left(order, key)) for key in member.open)
        return Grant(self._service, last, tuple(one.request for one in member.given), before)


def first_waiting(waiting: Sequence[tuple[int, QueuePosition]]) -> tuple[WaitingRequest, ...]:
    """What a node tells of those that wait there, given in its order."""
    return tuple(WaitingRequest(number, place) for number, place in waiting[:MAX_REPORTED])
