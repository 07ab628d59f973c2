"""Identity of a request: what stays the same when it is sent again under another id.

Nodes refer to a request by a digest. It is cryptographic because a tenant who could construct a
second request with the digest of another tenant's could have that request held back. If callers are
not authenticated, somebody who knows path and body can still send them with other headers. So
requests that differ in their headers are distinguished as *variants* of the same request.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

DIGEST_BYTES = 16
"""Finding a request with a given digest takes about 2**128 tries."""


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Identity of a request, equal each time that the request is sent."""

    digest: bytes
    """Digest of caller, host, method, target and body."""
    variant: int
    """32-bit hash of the headers that came with it."""


def identify(
    caller: str,
    host: str,
    method: str,
    target: str,
    body: bytes,
    headers: Iterable[tuple[str, str]],
) -> RequestIdentity:
    """Return the identity of a request or batch item.

    Args:
        caller: The sender as identified by the protocol; empty if it is not.
        host: The host that the request is for.
        method: HTTP method.
        target: Path and query.
        body: The complete body.
        headers: Headers that stay the same when the request is sent again, in any order.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (*(text.encode() for text in (caller, host, method, target)), body):
        # Length prefixes keep adjacent parts distinct: "a" + "bc" must not hash like "ab" + "c".
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    lines = sorted(f"{name.lower()}: {value}" for name, value in headers)
    return RequestIdentity(digest.digest(), xxhash.xxh32_intdigest("\n".join(lines).encode()))


def identify_parts(
    caller: str, service: str, model: str, names: Iterable[str]
) -> tuple[bytes, ...]:
    """Return the digests of prompt parts.

    Callers name the parts, so equal names of two callers, or for two models, need not mean the same
    text.

    Args:
        caller: The sender as identified by the protocol; empty if it is not.
        service: The service whose engines read the prompt.
        model: The model that reads it; empty for the only one.
        names: Names of the parts.
    """
    digests = []
    for name in names:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (caller, service, model, name):
            digest.update(len(part.encode()).to_bytes(8, "big"))
            digest.update(part.encode())
        digests.append(digest.digest())
    return tuple(digests)
