"""Batch jobs as submitted by clients."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.gateway.interfaces import Headers
from postvalve.settings.routes import RouteSpec


@dataclass(frozen=True, slots=True)
class SubmittedItem:
    """An item as submitted by a client."""

    item_id: str
    target: str
    headers: Headers
    body: bytes
    tokens: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    """The most tokens that the item may generate."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as submitted by a client."""

    job_id: str
    host: str
    route: RouteSpec
    service: str
    items: tuple[SubmittedItem, ...]
    tenant: str = ""
    """Tenant that submitted it; empty if the route needs no key."""

    @property
    def tokens(self) -> int:
        """Total tokens of all items."""
        return sum(item.tokens for item in self.items)
