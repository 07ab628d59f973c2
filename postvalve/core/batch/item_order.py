"""Which waiting items start now: the most urgent of all nodes, as far as there is room.

Each node tells its peers how many items wait with which due time. All take the same view of
the free slots, so a node starts an item only if its rank among all waiting ones fits them.
"""

from __future__ import annotations

import struct
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

_GROUP = struct.Struct("!QH")
"""Urgency in milliseconds of the epoch, number of items."""
_PACE = struct.Struct("!I")
"""Microseconds for each output token."""
MICROSECONDS = 1_000_000
"""Of a second."""
MAX_PACE = 0xFFFF_FFFF
MAX_COUNT = 0xFFFF
MAX_GROUPS = 24
"""Due times that one report tells; the least urgent items beyond them are left out."""
NEARLY_ENDED_BONUS_MS = 600_000
"""Milliseconds by which running items that nearly end go before the others: cut, they would have
taken a slot for almost a whole run, and take one again."""
MISSED_DUE_PENALTY_MS = 600_000
"""Milliseconds by which items that can't end in time rank behind those that can."""
ESTIMATE_MARGIN = 1.15
"""Estimates are taken so many times longer than they are."""
ESTIMATE_WEIGHT = 0.1
"""Weight of a new sample in an estimate."""
PRESSING_FACTOR = 2.5
"""An item is pressing when less than so many times what it and those that wait beside it still need
is left until it is due."""
TAG_STEP = 16_384
"""Tokens of a step of the shares, about a job of ten items: tenants that differ by less do not
compete, and go by due time, by which the most are in time. Each step of a job is a group of a
report, which tells so many only."""
_DUE_STEP_MS = 64
_DUE_BITS = 24
_TAG_BITS = 34
_PRIORITY_BITS = 4
MIN_REMAINING_FRACTION = 0.15
"""Share of its estimate that an item needs at least, however long it has run."""


class DurationEstimate:
    """How long items run, learnt from those that ended here, else from what peers tell."""

    def __init__(self) -> None:
        self._own: float | None = None
        """Seconds for each output token that an item could give at the most."""
        self._told: float | None = None

    def observe(self, seconds: float, output_tokens: int) -> None:
        """Note an item that ran whole; `output_tokens` is the most it could give."""
        sample = seconds / max(1, output_tokens)
        known = self._own
        if known is None:
            self._own = sample
        else:
            self._own = known + ESTIMATE_WEIGHT * (sample - known)

    def learn_from_peers(self, parts: Iterable[bytes]) -> None:
        """Take in what peers have learnt, as their `pack` gives it."""
        paces = _read_paces(parts)
        if paces:
            self._told = median(paces) / MICROSECONDS

    def pack(self) -> bytes:
        """What this node has learnt, for its peers; empty before an item ended here."""
        if self._own is None:
            return b""
        return _PACE.pack(min(MAX_PACE, round(self._own * MICROSECONDS)))

    def seconds_left(self, output_tokens: int, run_seconds: float) -> float:
        """Seconds that an item still needs; 0 while nothing is known."""
        return max(self._whole(output_tokens) - run_seconds, self._least(output_tokens))

    def nearly_ended(self, output_tokens: int, run_seconds: float) -> bool:
        """Whether an item needs no more than the least that any is taken to need."""
        return 0 < self.seconds_left(output_tokens, run_seconds) <= self._least(output_tokens)

    def _least(self, output_tokens: int) -> float:
        return self._whole(output_tokens) * MIN_REMAINING_FRACTION

    def _whole(self, output_tokens: int) -> float:
        pace = self._own if self._own is not None else self._told
        return (pace or 0.0) * output_tokens * ESTIMATE_MARGIN


def _read_paces(parts: Iterable[bytes]) -> list[int]:
    return [_PACE.unpack(part)[0] for part in parts if len(part) == _PACE.size]


def merge_token_times(parts: Iterable[bytes]) -> bytes:
    """What the nodes of a zone have learnt, as one part for its digest."""
    paces = _read_paces(parts)
    return _PACE.pack(int(median(paces))) if paces else b""


def urgency(due_at_ms: int, now_ms: int, seconds_left: float) -> int:
    """Sort key of a waiting item, in milliseconds of the epoch.

    The earliest due time first; but an item that would end too late anyhow must not make
    others late, so it ranks behind all that can still be in time.
    """
    if now_ms + seconds_left * 1000 > due_at_ms:
        return due_at_ms + MISSED_DUE_PENALTY_MS
    return due_at_ms


@dataclass(frozen=True, slots=True)
class ShareRank:
    """Where an item stands among those of all tenants."""

    priority: int
    """Of its tenant or route; 0 is the most urgent."""
    tag: int
    """In tokens: see `item_shares`."""
    by_due: bool = False
    """Whether its share counts no more, or not now: it has begun, or items mostly end in time."""
    nearly_ended: bool = False
    """Whether it runs and nearly ends: it goes before the others, and gives way last."""


def share_urgency(rank: ShareRank, due_at_ms: int, now_ms: int, seconds_left: float) -> int:
    """Sort key of an item where tenants compete, in the 64 bits of a report.

    Those that would end too late come last, as in `urgency`; then priority, the tenant's share, and
    between equals the due time. All of a priority that nearly end go before the others of it, then
    those that have begun: what was cut for another tenant's item would mostly end too late, and all
    that it has run be lost. One that is late for long stands with the others again: it would never
    start while they keep coming.
    """
    late = now_ms + seconds_left * 1000 > due_at_ms
    hopeless = late and now_ms < due_at_ms + MISSED_DUE_PENALTY_MS
    priority = min(rank.priority, (1 << _PRIORITY_BITS) - 1)
    step = 0 if rank.by_due else min(rank.tag // TAG_STEP + 1, (1 << _TAG_BITS) - 1)
    due = due_at_ms // _DUE_STEP_MS % (1 << _DUE_BITS)
    key = int(hopeless) << _PRIORITY_BITS | priority
    key = key << 1 | int(not rank.nearly_ended)
    key = key << _TAG_BITS | step
    return key << _DUE_BITS | due


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


def count_startable(own_due: Sequence[int], peers_due: Iterable[tuple[int, int]], room: int) -> int:
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
