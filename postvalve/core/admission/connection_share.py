"""Limit on idle connections to an engine that all nodes share.

An engine accepts a limited number of connections from all callers together and resets any beyond
it. A connection that is idle at one node cannot be opened by another one. So the nodes together may
keep at most half of the limit idle, in equal shares. The other half is for requests in progress,
whose number is bounded by the engine's slots.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_IDLE_CONNECTIONS = 24
"""Most idle connections to one engine at a node, whatever the engine's limit."""
IDLE_SHARE = 0.5
"""Share of an engine's connections that may be idle at all nodes together."""


def idle_connection_limit(max_connections: Iterable[int], nodes: int) -> int:
    """Return how many connections to one engine may be idle at this node.

    Args:
        max_connections: Connection limits of the services' engines; 0 for no limit. The smallest
            one applies.
        nodes: Number of nodes in the fleet, including this one.
    """
    bound = min((one for one in max_connections if one > 0), default=0)
    if not bound:
        return MAX_IDLE_CONNECTIONS
    return max(1, min(MAX_IDLE_CONNECTIONS, int(bound * IDLE_SHARE) // max(1, nodes)))
