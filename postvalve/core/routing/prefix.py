"""Keys of prompt prefixes, separate for each tenant."""

from __future__ import annotations

import hashlib

import xxhash

PREFIX_KEY_CHARACTERS = 512
"""Characters of the first message that determine prefix affinity."""
_SALT_LENGTH = 32


def cache_salt(tenant: str) -> str:
    """Return a salt that keeps the prefix caches of tenants separate at the engines."""
    return hashlib.sha256(f"cache-salt\0{tenant}".encode()).hexdigest()[:_SALT_LENGTH]


def prefix_key(tenant: str, model: str, first_message: str) -> str:
    """Return a key that is equal for requests that probably share a prompt prefix in a cache."""
    start = first_message[:PREFIX_KEY_CHARACTERS]
    return xxhash.xxh3_64_hexdigest(f"{tenant}\0{model}\0{start}".encode())
