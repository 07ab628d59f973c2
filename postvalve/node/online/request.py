"""A checked online request."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.settings.fleet import TenantSpec, WorkloadSpec


@dataclass(frozen=True, slots=True)
class OnlineRequest:
    """A checked request of a caller."""

    request_id: str
    tenant: TenantSpec
    workload: WorkloadSpec
    model: str
    body: bytes
    """JSON as the caller sent it; passed to the engine unchanged."""
    streamed: bool
    at_most_once: bool
    prefix_key: str
    """Requests with the same key likely share a prompt prefix."""
    cache_salt: str
    deadline: float
    """Monotonic seconds."""
    arrived_at: float
    """Monotonic seconds."""
