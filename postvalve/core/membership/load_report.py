"""Load reports, which a node sends to its peers many times a second, and their packed form.

In a large fleet a node reads some hundred reports a second. So a report is sent as a single bytes
field with a fixed layout: parsing a message field by field takes five times as long.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from postvalve.core.membership.extensions import Extensions, pack_extensions, unpack_extensions

_HEAD = struct.Struct("!QIQHB")
"""Incarnation, sequence, revision, silence of the store in hundredths of a second, flags."""
_LENGTHS = struct.Struct("!BBBHHHH")
"""Lengths of node id, peer address, zone, engine use, running items and waiting items, and the
number of items that a leaving node still runs."""
_RUNNING = struct.Struct("!BH")
"""Length of the job's id, index of the item."""
_DIRECTORY = struct.Struct("!QH")
"""Follows the other fields if the flag is set: offset up to which the engine directory is known,
and its age in hundredths of a second."""
_LEAVING = 1
_STORE_FAILING = 2
_DIRECTORY_KNOWN = 4
_SILENCE_UNIT_MS = 10
_MAX_SILENCE_UNITS = 0xFFFF
_MAX_RUNNING = 1_000
"""Most running items that a leaving node reports."""


class LoadReportError(ValueError):
    """The data is not a valid packed report."""


@dataclass(frozen=True, slots=True)
class RunningItem:
    """An item that a leaving node still runs."""

    job_id: str
    item_index: int


@dataclass(frozen=True, slots=True)
class DirectoryState:
    """Up to where a node knows the engine directory."""

    offset: int
    """Offset of the first record that the node does not know."""
    age_ms: int
    """Age in milliseconds: records acknowledged since then may be missing."""


@dataclass(slots=True)
class LoadReport:
    """One load report. The bytes fields have layouts of their own."""

    node_id: str
    incarnation: int
    """Start time of the node process, in milliseconds since the epoch."""
    sequence: int
    """Increases with each report of the same incarnation."""
    peer_address: str = ""
    zone: str = ""
    leaving: bool = False
    engine_use: bytes = b""
    """Requests in progress by engine; see `core/admission/engine_use`."""
    log_silence_ms: int = 0
    """Milliseconds since the last answer of the store."""
    revision: int = 0
    """Revision of the configuration in force."""
    running: list[RunningItem] = field(default_factory=list)
    """Items that a leaving node still runs. No other node starts them until it is gone."""
    items_running: bytes = b""
    """Urgencies of the running items, by engine; see `core/batch/preemption`."""
    store_failing: bool = False
    """Whether this node itself cannot reach the store."""
    items_waiting: bytes = b""
    """Urgencies and numbers of the waiting items; see `core/batch/item_order`."""
    directory: DirectoryState | None = None
    """What the node knows of the engine directory; None before its first read."""
    extensions: Extensions = field(default_factory=dict)
    """Optional parts after the fixed layout; see `core/membership/extensions`."""

    def pack(self) -> bytes:
        """Return the packed report."""
        flags = (
            (_LEAVING if self.leaving else 0)
            | (_STORE_FAILING if self.store_failing else 0)
            | (_DIRECTORY_KNOWN if self.directory else 0)
        )
        silence = min(_MAX_SILENCE_UNITS, self.log_silence_ms // _SILENCE_UNIT_MS)
        parts = [
            self.node_id.encode(),
            self.peer_address.encode(),
            self.zone.encode(),
            self.engine_use,
            self.items_running,
            self.items_waiting,
        ]
        running = self.running[:_MAX_RUNNING]
        return b"".join(
            (
                _HEAD.pack(self.incarnation, self.sequence, self.revision, silence, flags),
                _LENGTHS.pack(*map(len, parts), len(running)),
                *parts,
                *map(pack_running, running),
                _pack_directory(self.directory),
                pack_extensions(self.extensions),
            )
        )


def _pack_directory(state: DirectoryState | None) -> bytes:
    if state is None:
        return b""
    age = min(_MAX_SILENCE_UNITS, state.age_ms // _SILENCE_UNIT_MS)
    return _DIRECTORY.pack(state.offset, age)


def pack_running(item: RunningItem) -> bytes:
    """Pack one item that a leaving node still runs."""
    job_id = item.job_id.encode()
    return _RUNNING.pack(len(job_id), item.item_index) + job_id


def unpack_report(data: bytes) -> LoadReport:
    """Unpack what `LoadReport.pack` returned.

    Raises:
        LoadReportError: The data is truncated or not a report.
    """
    try:
        return _unpack(data)
    except (struct.error, UnicodeDecodeError) as exc:
        raise LoadReportError(f"invalid load report: {exc}") from exc


def _unpack(data: bytes) -> LoadReport:
    incarnation, sequence, revision, silence, flags = _HEAD.unpack_from(data)
    *lengths, running = _LENGTHS.unpack_from(data, _HEAD.size)
    parts, start = split_parts(data, _HEAD.size + _LENGTHS.size, lengths)
    node_id, peer_address, zone, engine_use, items_running, items_waiting = parts
    items, start = unpack_running(data, start, running)
    directory = None
    if flags & _DIRECTORY_KNOWN:
        offset, age = _DIRECTORY.unpack_from(data, start)
        directory = DirectoryState(offset, age * _SILENCE_UNIT_MS)
        start += _DIRECTORY.size
    return LoadReport(
        node_id=node_id.decode(),
        incarnation=incarnation,
        sequence=sequence,
        peer_address=peer_address.decode(),
        zone=zone.decode(),
        leaving=bool(flags & _LEAVING),
        engine_use=engine_use,
        log_silence_ms=silence * _SILENCE_UNIT_MS,
        revision=revision,
        running=items,
        items_running=items_running,
        store_failing=bool(flags & _STORE_FAILING),
        items_waiting=items_waiting,
        directory=directory,
        extensions=unpack_extensions(data, start),
    )


def split_parts(data: bytes, start: int, lengths: Iterable[int]) -> tuple[list[bytes], int]:
    """Split data from `start` on into parts of the given lengths; returns them and their end.

    Raises:
        LoadReportError: The data is truncated.
    """
    parts = []
    for length in lengths:
        parts.append(data[start : start + length])
        start += length
    if start > len(data):
        raise LoadReportError(f"truncated: {len(data)} of {start} bytes")
    return parts, start


def unpack_running(data: bytes, start: int, count: int) -> tuple[list[RunningItem], int]:
    """Unpack `count` items packed by `pack_running` from `start` on; returns them and their end.

    Raises:
        LoadReportError: The data is truncated.
        struct.error: The data is truncated.
        UnicodeDecodeError: A job's id is not valid UTF-8.
    """
    items = []
    for _ in range(count):
        length, index = _RUNNING.unpack_from(data, start)
        start += _RUNNING.size + length
        if start > len(data):
            raise LoadReportError("load report truncated within its running items")
        items.append(RunningItem(data[start - length : start].decode(), index))
    return items, start
