"""Whether this node can reach the store itself, and which peer can relay its calls.

The store may reject single nodes, or be cut off from them, while it serves the others. In that case
a peer makes the calls. Peers report whether they reach the store, so if none does, none is asked.
"""

from __future__ import annotations

import itertools
from collections.abc import Container, Set

from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.peers import PeerView

FAILING_AFTER = 2
"""Consecutive failed calls after which the store counts as unreachable from this node."""
PROBE_INTERVAL = 0.8
"""Seconds between attempts to call an unreachable store directly."""
RECENT_REPORT_AGE = 1.1
"""Seconds after a peer's last report for which it may be asked. One of the reports, which come at
least every 0.5 s, may be lost. It also bounds how long a suspended peer is asked."""
AVOID_TIME = 2.0
"""Seconds for which a peer that did not answer is not asked again."""
MIN_RELAY_TIMEOUT = 0.5
"""First time-out in seconds for a relayed read, in addition to the time that the read may wait. It
applies unless the store has been slow."""
MAX_RELAY_TIMEOUT = 2.0
"""Longest such time-out, and the time-out of all calls other than waiting reads."""
MAX_DOUBLINGS = 16
"""Most doublings of that time-out; 1,024 would exceed a float."""
DOUBLE_TIMEOUT_AFTER = 2
"""Consecutive unanswered reads from which a slow store is more likely than a lost peer."""


class StoreReachability:
    """Whether this node's own calls reach the store."""

    def __init__(self) -> None:
        self._failures = 0
        self._answered_start = float("-inf")
        """Start of the latest of the calls that were answered, in monotonic seconds."""
        self._probed_at = float("-inf")

    @property
    def failing(self) -> bool:
        """Whether the store is unreachable from this node."""
        return self._failures >= FAILING_AFTER

    def record(self, answered: bool, started: float) -> bool:
        """Record the outcome of a direct call that began at monotonic time `started`.

        The failure of a call that began before an answered one is out of date.

        Returns:
            Whether `failing` has changed.
        """
        before = self.failing
        if answered:
            self._failures = 0
            self._answered_start = max(self._answered_start, started)
        elif started >= self._answered_start:
            self._failures += 1
        return self.failing is not before

    def use_direct(self, now: float) -> bool:
        """Return whether this node makes the next call itself, at monotonic time `now`."""
        if not self.failing:
            return True
        if now - self._probed_at < PROBE_INTERVAL:
            return False
        self._probed_at = now
        return True


class RelayTimeout:
    """Time-out for reads relayed by a peer.

    A follower learns nothing while it waits for a suspended peer, so the first reads are given up
    soon. If several remain unanswered, the store may be slow, and the time-out grows.
    """

    def __init__(self) -> None:
        self._unanswered = 0

    @property
    def seconds(self) -> float:
        """Time-out in seconds, in addition to the time that the read may wait."""
        doubled = min(MAX_DOUBLINGS, max(0, self._unanswered - DOUBLE_TIMEOUT_AFTER + 1))
        return min(MAX_RELAY_TIMEOUT, MIN_RELAY_TIMEOUT * 2**doubled)

    def record(self, answered: bool) -> None:
        """Record whether the last relayed read was answered."""
        self._unanswered = 0 if answered else self._unanswered + 1


class AvoidedPeers:
    """Addresses of peers that recently did not answer."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, address: str, now: float) -> None:
        """Avoid a peer for `AVOID_TIME`, from monotonic time `now` on."""
        self._until[address] = now + AVOID_TIME

    def at(self, now: float) -> Set[str]:
        """Return the addresses that are avoided now."""
        self._until = {one: until for one, until in self._until.items() if now < until}
        return self._until.keys()


class PendingRelays:
    """Calls that peers are relaying for this node."""

    def __init__(self) -> None:
        self._due: dict[int, tuple[str, float]] = {}
        """Peer of each call, and when its answer was due, in monotonic seconds."""
        self._ids = itertools.count()

    def start(self, address: str, due_at: float) -> int:
        """Record a call to a peer whose answer is due at a monotonic time; returns its id."""
        call_id = next(self._ids)
        self._due[call_id] = (address, due_at)
        return call_id

    def end(self, call_id: int) -> None:
        """Record that a call was answered or given up."""
        del self._due[call_id]

    def overdue(self, now: float) -> set[str]:
        """Return the addresses of peers with a call that is overdue by `MIN_RELAY_TIMEOUT`."""
        calls = self._due.values()
        return {address for address, due_at in calls if now - due_at >= MIN_RELAY_TIMEOUT}


def relay_address(
    peers: PeerView, zone: str, now: float, avoided: Container[str] = ()
) -> str | None:
    """Return the address of the peer that relays calls for this node, preferably one in its zone.

    Args:
        peers: The other nodes.
        zone: This node's zone.
        now: Monotonic seconds.
        avoided: Addresses of peers that did not answer.
    """
    candidates = {
        peer.node_id: peer.report
        for peer in peers.all()
        if not (peer.report.store_failing or peer.report.leaving)
        and now - peer.last_seen_at <= RECENT_REPORT_AGE
        and peer.report.peer_address not in avoided
    }
    near = [node_id for node_id, report in candidates.items() if report.zone == zone]
    # Nodes that are cut off together spread their calls over the nodes that are not.
    chosen = preferred_owner(peers.node_id, near or candidates)
    return candidates[chosen].peer_address if chosen is not None else None
