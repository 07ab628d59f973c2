"""Which engine version began each stream, so that its client can take it up at another node.

What engines of two versions write does not fit together, and engines do not check it. A client that
takes a stream up names the attempt that brought its first event. The node that served the attempt
may be gone, so it tells a few others, the owners of the stream, which version began it.

Streams and versions are known by hashes: entries are small, have one size, and tell a node nothing
of another tenant's streams.
"""

from __future__ import annotations

import hashlib
import math
import struct
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

import xxhash

STREAM_BYTES = 8
"""Size of a stream's key."""
MAX_STREAMS = 40_000
"""Streams remembered, the longest known of which are dropped first. At the planned load, 68 streams
a second here and three times as many told by others, these are those of more than two minutes."""
_ENTRY = struct.Struct(f"!{STREAM_BYTES}sIB")
"""Key, version, and seconds for which to remember it in units of `TIME_UNIT`."""
TIME_UNIT = 4.0
"""Seconds."""
MAX_TIME = 0xFF * TIME_UNIT
"""Longest time, in seconds, for which a stream is remembered."""


def stream_key(tenant: str, service: str, request_id: str) -> bytes:
    """Return the key of a stream.

    Clients choose their ids, so the hash must not let one tenant find another one's key.

    Args:
        tenant: The tenant that sent the request; empty for anonymous requests.
        service: The service that it was sent to.
        request_id: Id of the attempt that brought the stream's first event.
    """
    text = "\0".join((tenant, service, request_id))
    return hashlib.blake2b(text.encode(), digest_size=STREAM_BYTES).digest()


def version_hash(version: str) -> int:
    """Return the 32-bit hash by which nodes identify an engine version to each other."""
    return xxhash.xxh32_intdigest(version.encode())


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The version that began a stream."""

    service: str
    """Empty if a peer reported the stream."""
    version: int | None
    """Hash of the version; None if reports contradict each other."""
    expires_at: float
    """Monotonic seconds from which no client can take the stream up."""


@dataclass(frozen=True, slots=True)
class OriginReport:
    """What a node tells the owners of a stream."""

    stream: bytes
    version: int
    seconds: float
    """For which to remember it."""


class StreamOriginError(ValueError):
    """A message about streams is malformed."""


class StreamOrigins:
    """Streams that clients may take up; of bounded size. All times are monotonic seconds."""

    def __init__(self, most: int = MAX_STREAMS) -> None:
        self._most = most
        self._streams: dict[bytes, StreamOrigin] = {}
        """By key, those recorded last at the end."""

    def __len__(self) -> int:
        return len(self._streams)

    def record(
        self, stream: bytes, version: int, expires_at: float, now: float, service: str = ""
    ) -> None:
        """Record which version began a stream; a contradiction makes it unknown."""
        known = self._streams.pop(stream, None)
        if known is not None and known.expires_at > now:
            expires_at = max(expires_at, known.expires_at)
            service = service or known.service
            origin = StreamOrigin(
                service, version if known.version == version else None, expires_at
            )
        else:
            origin = StreamOrigin(service, version, expires_at)
        self._streams[stream] = origin
        while len(self._streams) > self._most:
            del self._streams[next(iter(self._streams))]

    def contradict(self, stream: bytes) -> None:
        """Record that nobody can know which version began a stream."""
        origin = self._streams.get(stream)
        if origin is not None:
            self._streams[stream] = replace(origin, version=None)

    def __contains__(self, stream: bytes) -> bool:
        return stream in self._streams

    def find(self, stream: bytes, now: float) -> int | None:
        """Return the version that began a stream; None if it is not known."""
        origin = self._streams.get(stream)
        return origin.version if origin is not None and origin.expires_at > now else None

    def is_contradicted(self, stream: bytes, now: float) -> bool:
        """Whether reports of a stream's version contradict each other."""
        origin = self._streams.get(stream)
        return origin is not None and origin.version is None and origin.expires_at > now

    def reports(self, service: str, now: float) -> Iterator[OriginReport]:
        """Yield reports of all streams of a service that this node has served."""
        for stream, origin in self._streams.items():
            if origin.service == service and origin.version is not None and origin.expires_at > now:
                yield OriginReport(stream, origin.version, origin.expires_at - now)

    def expire(self, now: float) -> None:
        """Forget streams that no client can take up any more."""
        self._streams = {
            stream: origin for stream, origin in self._streams.items() if origin.expires_at > now
        }

    def counts(self) -> Counter[tuple[str, int | None]]:
        """Return the number of remembered streams by service and version."""
        return Counter((one.service, one.version) for one in self._streams.values())


def pack_reports(reports: Iterable[OriginReport]) -> bytes:
    """Pack reports for one message."""
    return b"".join(
        _ENTRY.pack(
            one.stream,
            one.version,
            math.ceil(min(MAX_TIME, max(0.0, one.seconds)) / TIME_UNIT),
        )
        for one in reports
    )


def unpack_reports(data: bytes) -> list[OriginReport]:
    """Unpack the reports of one message.

    Raises:
        StreamOriginError: The data is truncated.
    """
    if len(data) % _ENTRY.size:
        raise StreamOriginError(f"{len(data)} bytes are no whole number of reports")
    return [
        OriginReport(stream, version, units * TIME_UNIT)
        for stream, version, units in _ENTRY.iter_unpack(data)
    ]
