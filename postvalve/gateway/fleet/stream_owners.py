"""The nodes that remember a stream on behalf of others: rendezvous hashing over zones and nodes.

The node that takes a stream up may see other members than the one that began it, so it asks a few
more nodes than were told.
"""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.clock import Clock
from postvalve.core.membership.extensions import Feature, features_of
from postvalve.core.membership.ownership import rank_owners
from postvalve.core.membership.peers import PeerView

OWNERS = 3
"""Nodes that are told of a stream."""
NEAR_OWNERS = 2
"""Those of them in the teller's zone if there are other zones, since clients mostly come back to
it; the others survive the loss of the zone."""
NEAR_ASKED = 4
"""Nodes asked in this node's zone."""
FAR_ASKED = 3
"""Nodes asked in each other zone: the teller itself may still count as a member of it."""
MAX_ASKED = 12
"""Most nodes asked; enough for all zones where there are three."""
BUCKETS = 64
"""Groups of streams with the same owners. Ranking 380 nodes takes 0.4 ms, so the owners of a bucket
are kept until the members change."""
MEMBERS_AGE = 0.5
"""Seconds for which the list of members is used. It is made only when a stream needs owners."""


@dataclass(frozen=True, slots=True)
class StreamOwners:
    """Addresses of the nodes to tell of a stream, and of those to ask."""

    told: tuple[str, ...]
    asked: tuple[str, ...]


class OwnerRing:
    """Owners of streams among the peers that support it."""

    def __init__(self, peers: PeerView, zone: str, clock: Clock) -> None:
        self._peers = peers
        self._zone = zone
        self._clock = clock
        self._updated_at = float("-inf")
        self._zones: dict[str, dict[str, str]] = {}
        """Peer addresses by zone and node id."""
        self._owners: dict[int, StreamOwners] = {}

    def _update_members(self) -> None:
        zones: dict[str, dict[str, str]] = {}
        for peer in self._peers.all():
            if Feature.STREAM_ORIGINS in features_of(peer.report.extensions):
                zones.setdefault(peer.report.zone, {})[peer.node_id] = peer.report.peer_address
        if zones != self._zones:
            self._zones = zones
            self._owners = {}

    def of(self, stream: bytes) -> StreamOwners:
        """Return the owners of a stream; none if no peer supports it."""
        now = self._clock.monotonic()
        if now - self._updated_at >= MEMBERS_AGE:
            self._updated_at = now
            self._update_members()
        bucket = stream[0] % BUCKETS if stream else 0
        found = self._owners.get(bucket)
        if found is None:
            found = self._owners[bucket] = self._rank(str(bucket))
        return found

    def _rank(self, key: str) -> StreamOwners:
        near = rank_owners(key, self._zones.get(self._zone, {}))
        others = {name: nodes for name, nodes in self._zones.items() if name != self._zone}
        far = {name: rank_owners(key, nodes)[:FAR_ASKED] for name, nodes in others.items()}
        first = rank_owners(key, (nodes[0] for nodes in far.values()))
        told = near[: NEAR_OWNERS if first else OWNERS]
        told += first[: OWNERS - len(told)]
        asked = near[:NEAR_ASKED]
        for top in first:
            asked += next(nodes for nodes in far.values() if nodes[0] == top)
        addresses = {node: one for nodes in self._zones.values() for node, one in nodes.items()}
        return StreamOwners(
            tuple(addresses[one] for one in told),
            tuple(addresses[one] for one in asked[:MAX_ASKED]),
        )
