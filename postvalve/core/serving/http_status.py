"""Which status codes the responses of engines may have (RFC 9110, section 15)."""

from __future__ import annotations

WITHOUT_BODY = frozenset((204, 304))
"""Final statuses whose response ends with its headers, whatever length these tell."""


def is_interim(status: int) -> bool:
    """Whether a response with this status announces another one."""
    return 100 <= status < 200


def is_final(status: int) -> bool:
    """Whether a response with this status is an answer."""
    return 200 <= status < 600
