"""What the parts that speak with peers use of their node."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from postvalve.clock import Clock
from postvalve.core.membership.peers import PeerView
from postvalve.core.randomness import RandomSource
from postvalve.events import EventLog
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.messages.generated import gateway
from postvalve.node.transport import Transport


@dataclass(frozen=True, slots=True)
class PeerServices:
    """See the module."""

    identity: gateway.NodeStarted
    """Of this node."""
    clock: Clock
    events: EventLog
    transport: Transport
    fleet: EngineFleet
    peers: PeerView
    announced_nodes: Callable[[], dict[str, tuple[str, str]]]
    """Gives peer address and zone of all nodes that have announced themselves, by id."""
    generator: RandomSource

    def known_nodes(self) -> dict[str, tuple[str, str]]:
        """Peer address and zone of all other nodes that announced themselves or are heard of."""
        nodes = dict(self.announced_nodes())
        for peer in self.peers.all():
            nodes[peer.node_id] = (peer.report.peer_address, peer.report.zone)
        nodes.pop(self.identity.node_id, None)
        return nodes
