"""One node's view of the other nodes, from heartbeats, zone digests and the machine list."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from postvalve.messages.generated import peer
from postvalve.states import NodeState

DIGEST_SILENCE_FACTOR = 3.0
"""Number of missed digests after which a node known only by digests is declared dead."""


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Time-outs, in seconds, after which a silent node is declared dead."""

    dead_after: float
    digest_interval: float


@dataclass(slots=True)
class Member:
    """State of one node in this view."""

    node_id: str
    zone: str
    peer_address: str
    incarnation: int
    sequence: int
    state: NodeState
    last_seen_at: float
    configuration_revision: int
    summary: peer.NodeSummary = field(default_factory=peer.NodeSummary)
    summary_version: int = 0
    reported_directly: bool = True


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Effect: a node's state changed in this view."""

    node_id: str
    incarnation: int
    state: NodeState


class MembershipView:
    """Members by node id.

    LEAVING is sticky within an incarnation: no message of that incarnation, older or newer, resets
    it.
    """

    def __init__(self, timing: MembershipTiming) -> None:
        self._timing = timing
        self._members: dict[str, Member] = {}

    def get(self, node_id: str) -> Member | None:
        """Return a member, whatever its state."""
        return self._members.get(node_id)

    def members(self) -> list[Member]:
        """Return all members that are not dead."""
        return [one for one in self._members.values() if one.state is not NodeState.DEAD]

    def alive(self, zone: str | None = None) -> list[Member]:
        """Return the members that take work, of one zone or of all."""
        return [
            one
            for one in self._members.values()
            if one.state is NodeState.ALIVE and zone in (None, one.zone)
        ]

    def observe(
        self, heartbeat: peer.Heartbeat, now: float, *, direct: bool = True
    ) -> list[StateChanged]:
        """Apply a heartbeat, received from its node or relayed in a digest."""
        known = self._members.get(heartbeat.node_id)
        if known is not None and not _is_newer(heartbeat, known):
            return []
        member = self._merge(heartbeat, known, now, direct)
        self._members[member.node_id] = member
        if known is not None and _same_state(known, member):
            return []
        return [StateChanged(member.node_id, member.incarnation, member.state)]

    def _merge(
        self, heartbeat: peer.Heartbeat, known: Member | None, now: float, direct: bool
    ) -> Member:
        same_life = known is not None and known.incarnation == heartbeat.incarnation
        was_leaving = same_life and known is not None and known.state is NodeState.LEAVING
        leaving = heartbeat.leaving or was_leaving
        member = Member(
            node_id=heartbeat.node_id,
            zone=heartbeat.zone,
            peer_address=heartbeat.peer_address,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            state=NodeState.LEAVING if leaving else NodeState.ALIVE,
            last_seen_at=now,
            configuration_revision=heartbeat.configuration_revision,
            summary_version=heartbeat.summary_version,
            reported_directly=direct,
        )
        if heartbeat.summary:
            member.summary = peer.NodeSummary().parse(heartbeat.summary)
        elif known is not None and same_life:
            member.summary = known.summary
            member.summary_version = known.summary_version
        return member

    def mark_leaving(self, node_id: str) -> list[StateChanged]:
        """Mark a node as leaving because the machine list says that its machine is."""
        member = self._members.get(node_id)
        if member is None or member.state is not NodeState.ALIVE:
            return []
        member.state = NodeState.LEAVING
        return [StateChanged(node_id, member.incarnation, member.state)]

    def expire(self, now: float) -> list[StateChanged]:
        """Declare silent nodes dead."""
        changes = []
        for member in self.members():
            if now - member.last_seen_at >= self._silence_limit(member):
                member.state = NodeState.DEAD
                changes.append(StateChanged(member.node_id, member.incarnation, member.state))
        return changes

    def _silence_limit(self, member: Member) -> float:
        if member.reported_directly:
            return self._timing.dead_after
        return self._timing.dead_after + DIGEST_SILENCE_FACTOR * self._timing.digest_interval

    def alive_ids(self, zone: str | None = None) -> Iterable[str]:
        """Return the ids of the members that take work."""
        return [member.node_id for member in self.alive(zone)]


def _is_newer(heartbeat: peer.Heartbeat, known: Member) -> bool:
    if heartbeat.incarnation != known.incarnation:
        return heartbeat.incarnation > known.incarnation
    if known.state is NodeState.DEAD and heartbeat.sequence == known.sequence:
        return False
    return heartbeat.sequence > known.sequence


def _same_state(before: Member, after: Member) -> bool:
    return before.state is after.state and before.incarnation == after.incarnation
