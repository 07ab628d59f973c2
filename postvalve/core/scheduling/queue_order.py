"""Order of waiting requests, and the message in which nodes report their share clock and queue
heads.

Priority comes before share, and share before time left. Requests of higher priority, and those of
tenants that got less, may pass a request until it has been held for the longest time allowed; then
it starts in any case (see `HOLD_SHARE` in `core/admission/online_admission`).
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

_CLOCK = struct.Struct("!d")
_HEAD = struct.Struct("!IBBd")
"""Hash of the service, rank, start tag."""
MAX_RANK = 0xFF
MAX_SERVICES = 32
"""Upper bound of the services in one message."""


@dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Position of a request in the queue; the lowest is served first."""

    rank: tuple[int, int]
    """Priority, see `Caller.rank`."""
    tag: float
    """Start tag, see `core/scheduling/fair_share`."""
    deadline: float = math.inf
    """Monotonic seconds of the node where the request waits; unknown to other nodes."""


def service_hash(service: str) -> int:
    """Return the 32-bit hash by which nodes identify a service to each other."""
    return xxhash.xxh32_intdigest(service.encode())


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """Share clock and queue heads of a node."""

    clock: float
    queue_heads: Mapping[int, QueuePosition]
    """Position of the first request that waits, by the hash of its service."""

    def pack(self) -> bytes:
        """Encode the message."""
        reported = sorted(self.queue_heads.items())[:MAX_SERVICES]
        return _CLOCK.pack(self.clock) + b"".join(
            _HEAD.pack(key, *(min(MAX_RANK, value) for value in position.rank), position.tag)
            for key, position in reported
        )


def unpack_share_update(data: bytes) -> ShareUpdate | None:
    """Decode the bytes from `ShareUpdate.pack`; return None if they are malformed."""
    if len(data) < _CLOCK.size or (len(data) - _CLOCK.size) % _HEAD.size:
        return None
    (clock,) = _CLOCK.unpack_from(data)
    entries = _HEAD.iter_unpack(data[_CLOCK.size :])
    heads = {
        key: QueuePosition((tenant_rank, route_rank), tag)
        for key, tenant_rank, route_rank, tag in entries
    }
    if not all(
        math.isfinite(value) for value in (clock, *(position.tag for position in heads.values()))
    ):
        return None
    return ShareUpdate(clock, heads)


def merge_share_updates(parts: Iterable[bytes]) -> bytes:
    """Merge the messages of a zone's nodes: the latest clock and the first waiting requests.

    Returns empty bytes if no part holds a message.
    """
    known = [value for value in map(unpack_share_update, parts) if value is not None]
    if not known:
        return b""
    heads: dict[int, QueuePosition] = {}
    for update in known:
        for key, position in update.queue_heads.items():
            heads[key] = min(position, heads.get(key, position))
    return ShareUpdate(max(value.clock for value in known), heads).pack()
