"""Look-up of API keys. Both interfaces store only SHA-256 digests of keys, never the keys."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import TypeVar

Holder = TypeVar("Holder")


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of a key, in hex."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def find_by_key(key: str, holders: Mapping[str, Holder]) -> Holder | None:
    """Return the holder of a key, or None.

    Args:
        key: The key as the caller sent it.
        holders: Holders by key digest. A look-up by digest leaks nothing about stored keys through
            its timing.
    """
    return holders.get(key_digest(key))


def same_key(key: str, digest: str) -> bool:
    """Return whether a key has the given digest. The comparison takes constant time."""
    return hmac.compare_digest(key_digest(key), digest)
