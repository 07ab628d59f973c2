"""What a node tells its peers many times a second, and its packed form.

Every node reads some hundred reports a second in a large fleet, so a report travels as one
field of bytes in a fixed layout: to parse a message field by field takes five times as long.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from postvalve.core.membership.extensions import Extensions, pack_extensions, unpack_extensions

_HEAD = struct.Struct("!QIQHB")
"""Incarnation, sequence, revision, silence of the store in hundredths of a second, flags."""
_LENGTHS = struct.Struct("!BBBHHHH")
"""Of node id, peer address, zone, engine use, items that run, items that wait, and the number
of items that a leaving node still runs."""
_RUNNING = struct.Struct("!BH")
"""Length of the job's id, index of the item."""
_DIRECTORY = struct.Struct("!QH")
"""Follows everything else where the flag says so: offset up to which the engines' directory is
known, and its age in hundredths of a second."""
_LEAVING = 1
_STORE_FAILING = 2
_DIRECTORY_KNOWN = 4
_SILENCE_UNIT_MS = 10
_MAX_SILENCE_UNITS = 0xFFFF
_MAX_RUNNING = 1_000
"""Items that a leaving node tells at the most."""


class LoadReportError(ValueError):
    """Bytes that are no packed report."""


@dataclass(frozen=True, slots=True)
class RunningItem:
    """An item that a leaving node still runs."""

    job_id: str
    item_index: int


@dataclass(frozen=True, slots=True)
class DirectoryState:
    """What a node knows of the engines' directory."""

    offset: int
    """Of the first record that it does not know."""
    age_ms: int
    """Milliseconds of which it does not know what was acknowledged in them."""


@dataclass(slots=True)
class LoadReport:
    """One report. The fields of bytes have layouts of their own."""

    node_id: str
    incarnation: int
    """Which life of the node, in milliseconds of the epoch."""
    sequence: int
    """Rises with each report of that life."""
    peer_address: str = ""
    zone: str = ""
    leaving: bool = False
    engine_use: bytes = b""
    """See `core/admission/engine_use`."""
    log_silence_ms: int = 0
    """Since the store was heard last."""
    revision: int = 0
    """Of the configuration in force."""
    running: list[RunningItem] = field(default_factory=list)
    """Items that a leaving node still runs: nobody else starts them until it is gone."""
    items_running: bytes = b""
    """Urgencies of the items that run, by engine; see `core/batch/giving_way`."""
    store_failing: bool = False
    """Whether the store is out of the node's own reach."""
    items_waiting: bytes = b""
    """Urgencies and numbers of the items that wait; see `core/batch/item_order`."""
    directory: DirectoryState | None = None
    """What the node knows of the engines; None before it has read their directory."""
    extensions: Extensions = field(default_factory=dict)
    """Parts that came later than the fixed layout; see `core/membership/extensions`."""

    def pack(self) -> bytes:
        """The report for the wire."""
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
    """One item of a leaving node for the wire."""
    job_id = item.job_id.encode()
    return _RUNNING.pack(len(job_id), item.item_index) + job_id


def unpack_report(data: bytes) -> LoadReport:
    """Undo `LoadReport.pack`.

    Raises:
        LoadReportError: the bytes are cut, or no report.
    """
    try:
        return _unpack(data)
    except (struct.error, UnicodeDecodeError) as exc:
        raise LoadReportError(f"no valid load report: {exc}") from exc


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
    """Parts of given lengths that follow each other from `start` on, and where they end.

    Raises:
        LoadReportError: the bytes are cut.
    """
    parts = []
    for length in lengths:
        parts.append(data[start : start + length])
        start += length
    if start > len(data):
        raise LoadReportError(f"{len(data)} bytes of {start}")
    return parts, start


def unpack_running(data: bytes, start: int, count: int) -> tuple[list[RunningItem], int]:
    """Undo `pack_running` for `count` items that begin at `start`; tells where they end, too.

    Raises:
        LoadReportError: the bytes are cut.
        struct.error: likewise.
        UnicodeDecodeError: a job's id is none.
    """
    items = []
    for _ in range(count):
        length, index = _RUNNING.unpack_from(data, start)
        start += _RUNNING.size + length
        if start > len(data):
            raise LoadReportError("load report is cut")
        items.append(RunningItem(data[start - length : start].decode(), index))
    return items, start
