"""In which order requests wait, and what each node tells of the first that waits there.

Priority goes before share, share before time left. A request may be passed by more urgent ones, and
by tenants that got less, for as long as it is held at all: then an engine gets it in any case (see
`core/admission/holding.HOLD_SHARE`).
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

_CLOCK = struct.Struct("!d")
_FIRST = struct.Struct("!IBBd")
"""Hash of the service; rank; start tag."""
MAX_RANK = 0xFF
MAX_SERVICES = 32
"""Services of which a node tells."""


@dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Where a request stands: the least goes first."""

    rank: tuple[int, int]
    """See `Caller.rank`."""
    tag: float
    """See `core/scheduling/fair_share`."""
    deadline: float = math.inf
    """Monotonic seconds of the node where it waits; of others, unknown."""


def service_hash(service: str) -> int:
    """The 32 bits by which nodes name a service to each other."""
    return xxhash.xxh32_intdigest(service.encode())


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """What a node tells of the fair shares."""

    clock: float
    queue_heads: Mapping[int, QueuePosition]
    """The first that waits there, by the hash of its service."""

    def pack(self) -> bytes:
        """For the wire."""
        told = sorted(self.queue_heads.items())[:MAX_SERVICES]
        return _CLOCK.pack(self.clock) + b"".join(
            _FIRST.pack(key, *(min(MAX_RANK, one) for one in place.rank), place.tag)
            for key, place in told
        )


def unpack_share_update(data: bytes) -> ShareUpdate | None:
    """Undo `ShareUpdate.pack`; None for bytes that are none."""
    if len(data) < _CLOCK.size or (len(data) - _CLOCK.size) % _FIRST.size:
        return None
    (clock,) = _CLOCK.unpack_from(data)
    entries = _FIRST.iter_unpack(data[_CLOCK.size :])
    first = {key: QueuePosition((own, route), tag) for key, own, route, tag in entries}
    if not all(math.isfinite(one) for one in (clock, *(place.tag for place in first.values()))):
        return None
    return ShareUpdate(clock, first)


def merge_share_updates(parts: Iterable[bytes]) -> bytes:
    """What a zone tells: the newest clock, and the first of all its nodes; empty for no news."""
    known = [one for one in map(unpack_share_update, parts) if one is not None]
    if not known:
        return b""
    first: dict[int, QueuePosition] = {}
    for news in known:
        for key, place in news.queue_heads.items():
            first[key] = min(place, first.get(key, place))
    return ShareUpdate(max(one.clock for one in known), first).pack()
