"""Whether this node reaches the store itself, and which peer may ask it instead.

The store may turn single machines away, or be cut off from them, while it serves the others.
Then a peer makes the calls. Peers tell in their reports whether they reach the store, so when
nobody does, nobody is asked.
"""

from __future__ import annotations

from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.peers import PeerView

FAILING_AFTER = 2
"""Failed calls in a row after which the store counts as out of this node's reach."""
PROBE_INTERVAL = 0.8
"""Seconds between tries of a store that is out of reach."""


class StorePath:
    """The state of this node's own way to the store."""

    def __init__(self) -> None:
        self._failures = 0
        self._probed_at = float("-inf")

    @property
    def failing(self) -> bool:
        """Whether the store is out of this node's reach."""
        return self._failures >= FAILING_AFTER

    def note(self, answered: bool) -> bool:
        """Note the outcome of an own call; returns whether `failing` has changed."""
        before = self.failing
        self._failures = 0 if answered else self._failures + 1
        return self.failing is not before

    def try_own(self, now: float) -> bool:
        """Whether the next call is made by this node itself, at monotonic time `now`."""
        if not self.failing:
            return True
        if now - self._probed_at < PROBE_INTERVAL:
            return False
        self._probed_at = now
        return True


def relay_address(peers: PeerView, zone: str, avoided: str = "") -> str | None:
    """The peer that makes a call for this node: one of the same zone, if there is one.

    Args:
        peers: Peers that were heard a moment ago.
        zone: This node's zone.
        avoided: Address of a peer that has just failed.
    """
    able = {
        peer.node_id: peer.report
        for peer in peers.all()
        if not (peer.report.store_failing or peer.report.leaving)
        and peer.report.peer_address != avoided
    }
    near = [node_id for node_id, report in able.items() if report.zone == zone]
    # Nodes that are cut off together spread over those that are not.
    chosen = preferred_owner(peers.node_id, near or able)
    return able[chosen].peer_address if chosen is not None else None
