"""Whether this node reaches the store itself, and which peer may ask it instead.

The store may turn single machines away, or be cut off from them, while it serves the others.
Then a peer makes the calls. Peers tell in their reports whether they reach the store, so when
nobody does, nobody is asked.
"""

from __future__ import annotations

from collections.abc import Container

from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.peers import PeerView

FAILING_AFTER = 2
"""Failed calls in a row after which the store counts as out of this node's reach."""
PROBE_INTERVAL = 0.8
"""Seconds between tries of a store that is out of reach."""
HEARD_WITHIN = 1.1
"""Seconds since a peer was heard within which it may be asked: reports come every 0.5 s at the
least, and one of them may be lost. One that stands still is asked no longer than that."""
AVOID_TIME = 2.0
"""Seconds for which a peer that did not answer is passed over."""
MIN_RELAY_TIMEOUT = 0.5
"""Seconds to a peer's answer, beyond what it may wait, while a slow store was not met."""
MAX_RELAY_TIMEOUT = 2.0
"""The same at the most, and for all calls but waiting reads."""
DOUBLE_TIMEOUT_AFTER = 2
"""Unanswered reads in a row after which a slow store is likelier than a lost peer."""


class StoreReachability:
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

    def use_direct(self, now: float) -> bool:
        """Whether the next call is made by this node itself, at monotonic time `now`."""
        if not self.failing:
            return True
        if now - self._probed_at < PROBE_INTERVAL:
            return False
        self._probed_at = now
        return True


class RelayTimeout:
    """How long a peer's answer to a read is waited for.

    A follower knows nothing new while it waits for a peer that stands still, so the first ones are
    given up soon; where several don't answer, the store may be slow.
    """

    def __init__(self) -> None:
        self._unanswered = 0

    @property
    def seconds(self) -> float:
        """Beyond the time that the read may wait."""
        doubled = max(0, self._unanswered - DOUBLE_TIMEOUT_AFTER + 1)
        return min(MAX_RELAY_TIMEOUT, MIN_RELAY_TIMEOUT * 2**doubled)

    def note(self, answered: bool) -> None:
        """Note whether the last one was answered."""
        self._unanswered = 0 if answered else self._unanswered + 1


class AvoidedPeers:
    """Addresses of peers that did not answer a moment ago."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, address: str, now: float) -> None:
        """Pass a peer over for a while, from monotonic time `now` on."""
        self._until[address] = now + AVOID_TIME

    def at(self, now: float) -> Container[str]:
        """Those that are passed over now."""
        self._until = {one: until for one, until in self._until.items() if now < until}
        return self._until.keys()


def relay_address(
    peers: PeerView, zone: str, now: float, avoided: Container[str] = ()
) -> str | None:
    """The peer that makes a call for this node: one of the same zone, if there is one.

    Args:
        peers: Other nodes.
        zone: This node's zone.
        now: Monotonic seconds.
        avoided: Addresses of peers that did not answer.
    """
    able = {
        peer.node_id: peer.report
        for peer in peers.all()
        if not (peer.report.store_failing or peer.report.leaving)
        and now - peer.heard_at <= HEARD_WITHIN
        and peer.report.peer_address not in avoided
    }
    near = [node_id for node_id, report in able.items() if report.zone == zone]
    # Nodes that are cut off together spread over those that are not.
    chosen = preferred_owner(peers.node_id, near or able)
    return able[chosen].peer_address if chosen is not None else None
