"""What one zone tells the others: the sum of its nodes' load reports, and who lives there.

Reports of every node to every other one grow with the square of the fleet, and other zones'
engines are only a second choice. So one node of a zone sums up what it hears there, and tells
that to one node of each other zone, which passes it on to its neighbours.

Like a load report, a digest travels as one field of bytes in a fixed layout.
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
"""Incarnation of the reporter, sequence, revision, number of members, version of their list,
whether it follows, and the number of items that leaving members still run."""
_LENGTHS = struct.Struct("!BBBHHH")
"""Of zone, reporter, its address, engine use, items that run, and items that wait."""
_MEMBER = struct.Struct("!QBBB")
"""Incarnation, flags, length of the id and of the address."""
_LEAVING = 1
_STORE_FAILING = 2
_STORE_SILENT = 4
SILENT_STORE_MS = 600_000
"""Silence of the store that is told of a member whose store is silent."""
ZONE_PREFIX = "zone:"
"""Begins the name under which a zone's counts are kept beside those of nodes."""
MAX_RUNNING = 1_000
"""Items of leaving members that one digest tells at the most."""


class ZoneDigestError(ValueError):
    """Bytes that are no packed digest."""


@dataclass(frozen=True, slots=True)
class ZoneMember:
    """A node of the zone, as far as others must know it."""

    node_id: str
    incarnation: int
    """Which life of the node, in milliseconds of the epoch."""
    peer_address: str
    """IP:PORT."""
    leaving: bool = False
    store_failing: bool = False
    """Whether the store is out of the node's own reach."""
    store_silent: bool = False
    """Whether it has not heard the store for so long that others should work on its jobs."""

    def report(self, zone: str, sequence: int, revision: int, extensions: Extensions) -> LoadReport:
        """What a load report of this node would say of it, counts left out.

        Args:
            extensions: Of the digest: they hold for each member.
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
    """One digest. Where nothing else is said, fields of bytes have the layouts of load reports."""

    zone: str
    reporter: str
    """Id of the node that made it."""
    peer_address: str
    """IP:PORT of that node."""
    incarnation: int
    """Of that node."""
    sequence: int
    """Rises with each digest of that life of it."""
    revision: int = 0
    """Newest revision of the configuration that a node of the zone has in force."""
    engine_use: bytes = b""
    """Requests of all its nodes, by engine."""
    items_running: bytes = b""
    """Urgencies of the items that run, by engine and member; see `core/batch/giving_way`."""
    items_waiting: bytes = b""
    size: int = 0
    """Number of members."""
    members_version: int = 0
    """Hash of the list of members."""
    members: tuple[ZoneMember, ...] | None = None
    """None where they are left out, since they are the same as before."""
    running: list[RunningItem] = field(default_factory=list)
    """Items that its leaving nodes still run."""
    extensions: Extensions = field(default_factory=dict)
    """Parts that came later than the fixed layout, of all members together."""

    @property
    def key(self) -> str:
        """The name under which the zone's counts are kept."""
        return ZONE_PREFIX + self.zone

    def pack(self) -> bytes:
        """The digest for the wire."""
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
    """A number that differs, but for chance, where lists differ."""
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
    """Undo `ZoneDigest.pack`.

    Raises:
        ZoneDigestError: the bytes are cut, or no digest.
    """
    try:
        return _unpack(data)
    except (struct.error, UnicodeDecodeError, LoadReportError) as exc:
        raise ZoneDigestError(f"no valid zone digest: {exc}") from exc


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
            raise ZoneDigestError("zone digest is cut")
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
