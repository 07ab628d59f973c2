"""How many connections a node may keep open to an engine that all nodes share.

An engine takes a bounded number of connections from all callers together and resets the rest.
What rests at one node can't be opened by another, so only half of the bound may rest, in equal
shares; the other half is for requests under way, of which slots bound the number.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_IDLE_CONNECTIONS = 24
"""Connections to one engine that a node keeps at the most, whatever the bound."""
IDLE_SHARE = 0.5
"""Share of an engine's connections that may rest at all nodes together."""


def idle_connection_limit(max_connections: Iterable[int], nodes: int) -> int:
    """Connections to one engine that may rest at one node.

    Args:
        max_connections: Bounds of the services' engines; 0 for none. The smallest counts.
        nodes: Nodes of the fleet, this one included.
    """
    bound = min((one for one in max_connections if one > 0), default=0)
    if not bound:
        return MAX_IDLE_CONNECTIONS
    return max(1, min(MAX_IDLE_CONNECTIONS, int(bound * IDLE_SHARE) // max(1, nodes)))
