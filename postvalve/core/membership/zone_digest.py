"""Zone digest: the sum of a zone's load reports, and the list of its nodes.

If every node reported to every other one, the traffic would grow with the square of the fleet, and
engines of other zones are only a second choice. So one node of a zone sums up the reports that it
receives there and sends the digest to one node of each other zone, which forwards it to its
neighbours.

Like a load report, a digest is sent as a single bytes field with a fixed layout.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from postvalve.core.membership.extensions import Extensions, pack_extensions, unpack_extensions
from postvalve.core.membership.load_report import (
    LoadReport,
    LoadReportError,
    RunningItem,
    pack_running,
    split_parts,
    unpack_running,
)

_HEAD = struct.Struct("!QIQHI?H")
"""Incarnation of the reporter, sequence, revision, number of members, version of the list of
members, whether the list follows, and the number of items that leaving members still run."""
_LENGTHS = struct.Struct("!BBBHHH")
"""Lengths of zone, reporter, its address, engine use, running items and waiting items."""
_MEMBER = struct.Struct("!QBBB")
"""Incarnation, flags, length of the id and of the address."""
_LEAVING = 1
_STORE_FAILING = 2
_STORE_SILENT = 4
SILENT_STORE_MS = 600_000
"""Value of `log_silence_ms` that stands for a member whose store is silent."""
ZONE_PREFIX = "zone:"
"""Prefix of the key under which a zone's counts are kept beside those of nodes."""
MAX_RUNNING = 1_000
"""Most running items of leaving members in one digest."""


class ZoneDigestError(ValueError):
    """The data is not a valid packed digest."""


@dataclass(frozen=True, slots=True)
class ZoneMember:
    """A node of the zone, as described to other zones."""

    node_id: str
    incarnation: int
    """Start time of the node process, in milliseconds since the epoch."""
    peer_address: str
    """IP:PORT."""
    leaving: bool = False
    store_failing: bool = False
    """Whether the node itself cannot reach the store."""
    store_silent: bool = False
    """Whether the node has not heard from the store for so long that others should process its
    jobs."""

    def report(self, zone: str, sequence: int, revision: int, extensions: Extensions) -> LoadReport:
        """Return a load report of this node, without counts.

        Args:
            zone: The zone of the digest.
            sequence: Sequence number of the digest.
            revision: Configuration revision of the digest.
            extensions: Optional parts of the digest, which hold for each member.
        """
        return LoadReport(
            node_id=self.node_id,
            incarnation=self.incarnation,
            sequence=sequence,
            peer_address=self.peer_address,
            zone=zone,
            leaving=self.leaving,
            log_silence_ms=SILENT_STORE_MS if self.store_silent else 0,
            revision=revision,
            store_failing=self.store_failing,
            extensions=extensions,
        )


@dataclass(slots=True)
class ZoneDigest:
    """One zone digest. Bytes fields have the layouts of load reports unless documented
    otherwise."""

    zone: str
    reporter: str
    """Id of the node that made the digest."""
    peer_address: str
    """IP:PORT of that node."""
    incarnation: int
    """Incarnation of that node."""
    sequence: int
    """Increases with each digest of the same reporter and incarnation."""
    revision: int = 0
    """Newest configuration revision in force at a node of the zone."""
    engine_use: bytes = b""
    """Requests in progress of all the zone's nodes, by engine."""
    items_running: bytes = b""
    """Urgencies of the running items, by engine and member; see `core/batch/preemption`."""
    items_waiting: bytes = b""
    size: int = 0
    """Number of members."""
    members_version: int = 0
    """Hash of the list of members."""
    members: tuple[ZoneMember, ...] | None = None
    """None if the list is omitted because it has not changed."""
    running: list[RunningItem] = field(default_factory=list)
    """Items that the zone's leaving nodes still run."""
    extensions: Extensions = field(default_factory=dict)
    """Optional parts after the fixed layout, for all members together."""

    @property
    def key(self) -> str:
        """Key under which the zone's counts are kept."""
        return ZONE_PREFIX + self.zone

    def pack(self) -> bytes:
        """Return the packed digest."""
        texts = [one.encode() for one in (self.zone, self.reporter, self.peer_address)]
        parts = [*texts, self.engine_use, self.items_running, self.items_waiting]
        members = self.members or ()
        running = self.running[:MAX_RUNNING]
        return b"".join(
            (
                _HEAD.pack(
                    self.incarnation,
                    self.sequence,
                    self.revision,
                    self.size,
                    self.members_version,
                    self.members is not None,
                    len(running),
                ),
                _LENGTHS.pack(*map(len, parts)),
                *parts,
                *map(_pack_member, members),
                *map(pack_running, running),
                pack_extensions(self.extensions),
            )
        )


def members_version(members: Sequence[ZoneMember]) -> int:
    """Return a hash of a list of members."""
    return xxhash.xxh32_intdigest(b"".join(map(_pack_member, members)))


def _pack_member(member: ZoneMember) -> bytes:
    flags = (
        (_LEAVING if member.leaving else 0)
        | (_STORE_FAILING if member.store_failing else 0)
        | (_STORE_SILENT if member.store_silent else 0)
    )
    node_id, address = member.node_id.encode(), member.peer_address.encode()
    head = _MEMBER.pack(member.incarnation, flags, len(node_id), len(address))
    return head + node_id + address


def unpack_digest(data: bytes) -> ZoneDigest:
    """Unpack what `ZoneDigest.pack` returned.

    Raises:
        ZoneDigestError: The data is truncated or not a digest.
    """
    try:
        return _unpack(data)
    except (struct.error, UnicodeDecodeError, LoadReportError) as exc:
        raise ZoneDigestError(f"invalid zone digest: {exc}") from exc


def _unpack(data: bytes) -> ZoneDigest:
    incarnation, sequence, revision, size, version, listed, running = _HEAD.unpack_from(data)
    lengths = _LENGTHS.unpack_from(data, _HEAD.size)
    parts, start = split_parts(data, _HEAD.size + _LENGTHS.size, lengths)
    zone, reporter, address, engine_use, items_running, items_waiting = parts
    members, start = _unpack_members(data, start, size if listed else 0)
    items, start = unpack_running(data, start, running)
    return ZoneDigest(
        zone=zone.decode(),
        reporter=reporter.decode(),
        peer_address=address.decode(),
        incarnation=incarnation,
        sequence=sequence,
        revision=revision,
        engine_use=engine_use,
        items_running=items_running,
        items_waiting=items_waiting,
        size=size,
        members_version=version,
        members=members if listed else None,
        running=items,
        extensions=unpack_extensions(data, start),
    )


def _unpack_members(data: bytes, start: int, count: int) -> tuple[tuple[ZoneMember, ...], int]:
    members = []
    for _ in range(count):
        incarnation, flags, id_length, address_length = _MEMBER.unpack_from(data, start)
        id_end = start + _MEMBER.size + id_length
        end = id_end + address_length
        if end > len(data):
            raise ZoneDigestError("zone digest truncated within its members")
        members.append(
            ZoneMember(
                node_id=data[start + _MEMBER.size : id_end].decode(),
                incarnation=incarnation,
                peer_address=data[id_end:end].decode(),
                leaving=bool(flags & _LEAVING),
                store_failing=bool(flags & _STORE_FAILING),
                store_silent=bool(flags & _STORE_SILENT),
            )
        )
        start = end
    return tuple(members), start
