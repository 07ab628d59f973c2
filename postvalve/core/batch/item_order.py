"""Which waiting items start now: the most urgent of all nodes, as far as there is room.

Each node tells its peers how many items wait with which due time. All take the same view of
the free slots, so a node starts an item only if its rank among all waiting ones fits them.
"""

from __future__ import annotations

import struct
from bisect import bisect_left
from collections.abc import Iterable, Sequence

_GROUP = struct.Struct("!QH")
"""Urgency in milliseconds of the epoch, number of items."""
MAX_COUNT = 0xFFFF
MAX_GROUPS = 24
"""Due times that one report tells; the least urgent items beyond them are left out."""
HOPELESS_PENALTY_MS = 600_000
"""Milliseconds by which items that can't end in time rank behind those that can."""
ESTIMATE_MARGIN = 1.15
"""Estimates are taken so many times longer than they are."""
ESTIMATE_WEIGHT = 0.1
"""Weight of a new sample in an estimate."""
PRESSING_FACTOR = 2.5
"""An item is pressing when less than so many times what it and those that wait beside it still need
is left until it is due."""
LEAST_LEFT = 0.15
"""Share of its estimate that an item needs at least, however long it has run."""


class DurationEstimate:
    """How long items run, learnt from those that ended."""

    def __init__(self) -> None:
        self._seconds_per_token: float | None = None

    def observe(self, seconds: float, output_tokens: int) -> None:
        """Note an item that ran whole; `output_tokens` is the most it could give."""
        sample = seconds / max(1, output_tokens)
        known = self._seconds_per_token
        if known is None:
            self._seconds_per_token = sample
        else:
            self._seconds_per_token = known + ESTIMATE_WEIGHT * (sample - known)

    def seconds_left(self, output_tokens: int, run_seconds: float) -> float:
        """Seconds that an item still needs; 0 while nothing is known."""
        whole = (self._seconds_per_token or 0.0) * output_tokens * ESTIMATE_MARGIN
        return max(whole - run_seconds, whole * LEAST_LEFT)


def urgency(due_at_ms: int, now_ms: int, seconds_left: float) -> int:
    """Sort key of a waiting item, in milliseconds of the epoch.

    The earliest due time first; but an item that would end too late anyhow must not make
    others late, so it ranks behind all that can still be in time.
    """
    if now_ms + seconds_left * 1000 > due_at_ms:
        return due_at_ms + HOPELESS_PENALTY_MS
    return due_at_ms


def is_pressing(due_at_ms: int, now_ms: int, seconds_left: float, queue: float) -> bool:
    """Whether an item should start soon to be in time; not one that can't be in time any more.

    Args:
        due_at_ms: When it is due, in milliseconds of the epoch.
        now_ms: Likewise.
        seconds_left: Seconds that it still needs; 0 while that is not known, and then all press.
        queue: Items that wait beside it, for each slot that items may take without pressing.
    """
    if seconds_left <= 0:
        return True
    left = (due_at_ms - now_ms) / 1000
    return seconds_left <= left < PRESSING_FACTOR * seconds_left * (1 + queue)


def startable(own_due: Sequence[int], peers_due: Iterable[tuple[int, int]], room: int) -> int:
    """How many of this node's items may start.

    Args:
        own_due: Due times of this node's waiting items, ascending, in milliseconds.
        peers_due: Due time and number of items that wait at other nodes.
        room: Free slots of all engines.
    """
    if room <= 0:
        return 0
    groups = sorted(peers_due)
    due_times = [due for due, _ in groups]
    before = [0]
    for _, count in groups:
        before.append(before[-1] + count)
    started = 0
    for due in own_due:
        more_urgent = before[bisect_left(due_times, due)]
        if started + more_urgent >= room:
            break
        started += 1
    return started


def group_by_due(own_due: Iterable[int]) -> list[tuple[int, int]]:
    """Due times with the number of items, the most urgent first."""
    return merge_groups((due, 1) for due in own_due)[:MAX_GROUPS]


def merge_groups(groups: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
    """Groups of several nodes, those of one due time added up, the most urgent first."""
    counts: dict[int, int] = {}
    for due, count in groups:
        counts[due] = counts.get(due, 0) + count
    return sorted(counts.items())


def encode_groups(groups: Iterable[tuple[int, int]]) -> bytes:
    """The groups of `group_by_due` for a report; as bytes, since it is read many times a second."""
    return b"".join(_GROUP.pack(due, min(MAX_COUNT, count)) for due, count in groups)


def decode_groups(data: bytes) -> list[tuple[int, int]]:
    """Undo `encode_groups`; what is cut off is passed over."""
    return list(_GROUP.iter_unpack(data[: len(data) - len(data) % _GROUP.size]))
