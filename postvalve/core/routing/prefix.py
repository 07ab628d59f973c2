"""Keys of prompt prefixes, kept apart by tenant."""

from __future__ import annotations

import hashlib

import xxhash

PREFIX_KEY_CHARACTERS = 512
"""Characters of the first message that decide prefix affinity."""
_SALT_LENGTH = 32


def cache_salt(tenant: str) -> str:
    """Keeps the prefix caches of tenants apart at the engines."""
    return hashlib.sha256(f"cache-salt\0{tenant}".encode()).hexdigest()[:_SALT_LENGTH]


def prefix_key(tenant: str, model: str, first_message: str) -> str:
    """Requests with the same key likely share a prompt prefix in a cache."""
    start = first_message[:PREFIX_KEY_CHARACTERS]
    return xxhash.xxh3_64_hexdigest(f"{tenant}\0{model}\0{start}".encode())
