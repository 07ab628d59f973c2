"""Which requests are the same: what stays when a request comes again, under another id.

A digest stands for a request wherever nodes tell each other of it. It is a cryptographic one: a
tenant who could find a second request with the digest of another tenant's could have that one
held back.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 16
"""To hit a given digest takes about 2**128 tries."""
_REQUEST = b"request"
_ITEM = b"item"
"""Requests and batch items never share a digest."""


def request_digest(caller: str, host: str, method: str, target: str, body: bytes) -> bytes:
    """The digest of an online request: alike for each time that it comes from its caller.

    Args:
        caller: Who sends it, so that nobody can have a digest of somebody else's request.
        host: The host that it is for.
        method: Its method.
        target: Path and query.
        body: Its whole body.
    """
    named = (caller, host, method, target)
    return _digest([_REQUEST, *(text.encode() for text in named), body])


def item_digest(host: str, target: str, headers: Iterable[tuple[str, str]], body: bytes) -> bytes:
    """The digest of a batch item: alike for all items that an engine can't tell apart.

    An item's caller is not known where it runs, so everything that the engine gets counts.

    Args:
        host: The host of the item's job.
        target: Path and query.
        headers: Those that came with the item.
        body: Its whole body.
    """
    named = sorted(f"{name.lower()}:{value}" for name, value in headers)
    return _digest([_ITEM, host.encode(), target.encode(), "\n".join(named).encode(), body])


def _digest(parts: Iterable[bytes]) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # Lengths keep parts apart whose texts run into each other.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
