"""Shared dependencies of the parts of a node that communicate with peers."""

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
    """Dependencies passed to each part that communicates with peers."""

    identity: gateway.NodeStarted
    """Id, incarnation, address and zone of this node."""
    clock: Clock
    events: EventLog
    transport: Transport
    fleet: EngineFleet
    peers: PeerView
    announced_nodes: Callable[[], dict[str, tuple[str, str]] | None]
    """Returns peer address and zone of all nodes that have announced themselves, by id; None before
    they were read."""
    generator: RandomSource

    def known_nodes(self) -> dict[str, tuple[str, str]]:
        """Return peer address and zone, by id, of all other nodes announced or heard from.

        Before the announced ones were read, others may be missing.
        """
        nodes = dict(self.announced_nodes() or {})
        for peer in self.peers.all():
            nodes[peer.node_id] = (peer.report.peer_address, peer.report.zone)
        nodes.pop(self.identity.node_id, None)
        return nodes
