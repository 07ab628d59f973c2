"""Online request after validation."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.settings.fleet import TenantSpec, WorkloadSpec


@dataclass(frozen=True, slots=True)
class OnlineRequest:
    """A validated online request, with its tenant and workload resolved."""

    request_id: str
    tenant: TenantSpec
    workload: WorkloadSpec
    model: str
    body: bytes
    """JSON body as the client sent it, passed to the engine unchanged."""
    streamed: bool
    at_most_once: bool
    prefix_key: str
    """Requests with the same key likely share a prompt prefix."""
    cache_salt: str
    deadline: float
    """Time by which the request must end, in monotonic seconds."""
    arrived_at: float
    """Arrival time at this node, in monotonic seconds."""
