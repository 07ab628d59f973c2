"""Which requests are the same: what stays when a request comes again, under another id.

A digest stands for a request wherever nodes tell each other of it. It is a cryptographic one: a
tenant who could find a second request with the digest of another tenant's could have that one
held back. Where the wire does not name callers, somebody who knows both can still send the same
path and body with other headers; so these are told apart too, as *variants* of the request.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

DIGEST_BYTES = 16
"""To hit a given digest takes about 2**128 tries."""


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """What stands for a request each time that it comes."""

    digest: bytes
    """Of caller, host, method, target and body."""
    variant: int
    """32 bits of the headers that came with it."""


def identify(
    caller: str,
    host: str,
    method: str,
    target: str,
    body: bytes,
    headers: Iterable[tuple[str, str]],
) -> RequestIdentity:
    """The identity of a request or batch item.

    Args:
        caller: What the wire tells of who sends it; empty where it tells nothing.
        host: The host that it is for.
        method: Its method.
        target: Path and query.
        body: Its whole body.
        headers: Those that stay when it comes again, in any order.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (*(text.encode() for text in (caller, host, method, target)), body):
        # Lengths keep parts apart whose texts run into each other.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    lines = sorted(f"{name.lower()}: {value}" for name, value in headers)
    return RequestIdentity(digest.digest(), xxhash.xxh32_intdigest("\n".join(lines).encode()))
