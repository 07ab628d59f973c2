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
_FIRST = struct.Struct("!IBBd")
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
        told = sorted(self.queue_heads.items())[:MAX_SERVICES]
        return _CLOCK.pack(self.clock) + b"".join(
            _FIRST.pack(key, *(min(MAX_RANK, one) for one in place.rank), place.tag)
            for key, place in told
        )


def unpack_share_update(data: bytes) -> ShareUpdate | None:
    """Decode the bytes from `ShareUpdate.pack`; return None if they are malformed."""
    if len(data) < _CLOCK.size or (len(data) - _CLOCK.size) % _FIRST.size:
        return None
    (clock,) = _CLOCK.unpack_from(data)
    entries = _FIRST.iter_unpack(data[_CLOCK.size :])
    first = {key: QueuePosition((own, route), tag) for key, own, route, tag in entries}
    if not all(math.isfinite(one) for one in (clock, *(place.tag for place in first.values()))):
        return None
    return ShareUpdate(clock, first)


def merge_share_updates(parts: Iterable[bytes]) -> bytes:
    """Merge the messages of a zone's nodes: the latest clock and the first waiting requests.

    Returns empty bytes if no part holds a message.
    """
    known = [one for one in map(unpack_share_update, parts) if one is not None]
    if not known:
        return b""
    first: dict[int, QueuePosition] = {}
    for news in known:
        for key, place in news.queue_heads.items():
            first[key] = min(place, first.get(key, place))
    return ShareUpdate(max(one.clock for one in known), first).pack()
