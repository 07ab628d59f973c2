"""Decides which waiting items start now: the most urgent of all nodes, as free slots permit.

Each node reports to its peers how many items wait for each due time. All nodes have the same view
of the free slots, so a node starts an item only if the item's rank among all waiting ones is within
that number.
"""

from __future__ import annotations

import struct
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

_GROUP = struct.Struct("!QH")
"""Urgency in milliseconds of the epoch, number of items."""
_TOKEN_TIME = struct.Struct("!I")
"""Microseconds per output token."""
MICROSECONDS_PER_SECOND = 1_000_000
MAX_TOKEN_TIME = 0xFFFF_FFFF
MAX_COUNT = 0xFFFF
MAX_GROUPS = 24
"""Due times that one report holds; less urgent items beyond them are left out."""
NEARLY_ENDED_BONUS_MS = 600_000
"""Milliseconds by which running items that are about to finish rank before others. Stopping one
would waste almost a whole run, and it would need a slot again for the rest."""
MISSED_DUE_PENALTY_MS = 600_000
"""Milliseconds by which items that can't finish by their due time rank behind those that can."""
ESTIMATE_MARGIN = 1.15
"""Safety factor applied to duration estimates."""
ESTIMATE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of an estimate."""
PRESSING_FACTOR = 2.5
"""An item is pressing if the time until it is due is less than this multiple of the time that it
and the items queued beside it still need."""
TAG_STEP = 16_384
"""Tokens per step of a share, about one job of ten items. Tenants whose tags differ by less are
ordered by due time, which lets the most items finish in time. Each step takes one group of a
report, and a report holds only `MAX_GROUPS`."""
_DUE_STEP_MS = 64
_DUE_BITS = 24
_TAG_BITS = 34
_PRIORITY_BITS = 4
MIN_REMAINING_FRACTION = 0.15
"""Least fraction of its estimated duration that an item is assumed to need, however long it has
run."""


class DurationEstimate:
    """Estimated duration of items, from those that finished here, else from what peers report."""

    def __init__(self) -> None:
        self._measured: float | None = None
        """Seconds per output token, relative to the most that an item may generate."""
        self._reported: float | None = None

    def observe(self, seconds: float, output_tokens: int) -> None:
        """Add the run time of a completed item that may have generated up to `output_tokens`."""
        sample = seconds / max(1, output_tokens)
        known = self._measured
        if known is None:
            self._measured = sample
        else:
            self._measured = known + ESTIMATE_WEIGHT * (sample - known)

    def learn_from_peers(self, parts: Iterable[bytes]) -> None:
        """Take in the estimates of peers, as encoded by their `pack`."""
        token_times = _decode_token_times(parts)
        if token_times:
            self._reported = median(token_times) / MICROSECONDS_PER_SECOND

    def pack(self) -> bytes:
        """Encode this node's own estimate for its peers; empty until an item has finished here."""
        if self._measured is None:
            return b""
        return _TOKEN_TIME.pack(
            min(MAX_TOKEN_TIME, round(self._measured * MICROSECONDS_PER_SECOND))
        )

    def seconds_left(self, output_tokens: int, run_seconds: float) -> float:
        """Return the seconds that an item still needs, or 0 if nothing is known yet."""
        return max(
            self._full_seconds(output_tokens) - run_seconds, self._minimum_seconds(output_tokens)
        )

    def nearly_ended(self, output_tokens: int, run_seconds: float) -> bool:
        """Return whether the remaining time is down to the minimum that is assumed for any item."""
        return (
            0
            < self.seconds_left(output_tokens, run_seconds)
            <= self._minimum_seconds(output_tokens)
        )

    def _minimum_seconds(self, output_tokens: int) -> float:
        return self._full_seconds(output_tokens) * MIN_REMAINING_FRACTION

    def _full_seconds(self, output_tokens: int) -> float:
        token_time = self._measured if self._measured is not None else self._reported
        return (token_time or 0.0) * output_tokens * ESTIMATE_MARGIN


def _decode_token_times(parts: Iterable[bytes]) -> list[int]:
    return [_TOKEN_TIME.unpack(part)[0] for part in parts if len(part) == _TOKEN_TIME.size]


def merge_token_times(parts: Iterable[bytes]) -> bytes:
    """Merge the estimates of a zone's nodes into one part of its digest: their median."""
    token_times = _decode_token_times(parts)
    return _TOKEN_TIME.pack(int(median(token_times))) if token_times else b""


def is_late(due_at_ms: int, now_ms: int, seconds_left: float) -> bool:
    """Return whether an item can't finish by its due time any more."""
    return now_ms + seconds_left * 1000 > due_at_ms


def urgency(due_at_ms: int, now_ms: int, seconds_left: float) -> int:
    """Return the sort key of a waiting item, in milliseconds of the epoch.

    The earliest due time sorts first. An item that would finish too late anyway must not delay
    others, so it ranks behind all that can still finish in time.
    """
    if is_late(due_at_ms, now_ms, seconds_left):
        return due_at_ms + MISSED_DUE_PENALTY_MS
    return due_at_ms


@dataclass(frozen=True, slots=True)
class ShareRank:
    """Rank of an item among the items of all tenants."""

    priority: int
    """Priority of its tenant or route; 0 is the most urgent."""
    tag: int
    """Start tag in tokens; see `item_shares`."""
    by_due: bool = False
    """Whether the tag is ignored, because the item has begun or because most items finish in
    time."""
    nearly_ended: bool = False
    """Whether it is running and about to finish, so that it ranks first and is preempted last."""


def share_urgency(rank: ShareRank, due_at_ms: int, now_ms: int, seconds_left: float) -> int:
    """Return the sort key of an item where tenants compete, within the 64 bits that a report holds.

    Items that would finish too late come last, as in `urgency`; the others are ordered by priority,
    the tenant's share, and due time. Within a priority, items that are about to finish come first,
    and items that have begun follow: if one of them were stopped for another tenant's item, it
    would mostly finish too late and its run be wasted. An item that has been overdue for
    `MISSED_DUE_PENALTY_MS` ranks with the others again, since it would never start while new ones
    keep arriving.
    """
    late = is_late(due_at_ms, now_ms, seconds_left)
    misses_due = late and now_ms < due_at_ms + MISSED_DUE_PENALTY_MS
    priority = min(rank.priority, (1 << _PRIORITY_BITS) - 1)
    step = 0 if rank.by_due else min(rank.tag // TAG_STEP + 1, (1 << _TAG_BITS) - 1)
    due = due_at_ms // _DUE_STEP_MS % (1 << _DUE_BITS)
    key = int(misses_due) << _PRIORITY_BITS | priority
    key = key << 1 | int(not rank.nearly_ended)
    key = key << _TAG_BITS | step
    return key << _DUE_BITS | due


def is_pressing(due_at_ms: int, now_ms: int, seconds_left: float, queue: float) -> bool:
    """Return whether an item must start soon to finish in time; False if it can't any more.

    Args:
        due_at_ms: Due time in milliseconds of the epoch.
        now_ms: Present time in milliseconds of the epoch.
        seconds_left: Seconds that the item still needs; 0 means unknown, and then every item is
            pressing.
        queue: Items waiting beside it, per slot that is open to items that are not pressing.
    """
    if seconds_left <= 0:
        return True
    left = (due_at_ms - now_ms) / 1000
    return seconds_left <= left < PRESSING_FACTOR * seconds_left * (1 + queue)


def count_startable(
    own_due: Sequence[int], peers_due: Iterable[tuple[int, int]], free_slots: int
) -> int:
    """Return how many of this node's items may start.

    Args:
        own_due: Due times of this node's waiting items, ascending, in milliseconds.
        peers_due: Due time and number of the items that wait at other nodes.
        free_slots: Free slots of all engines.
    """
    if free_slots <= 0:
        return 0
    groups = sorted(peers_due)
    due_times = [due for due, _ in groups]
    before = [0]
    for _, count in groups:
        before.append(before[-1] + count)
    started = 0
    for due in own_due:
        more_urgent = before[bisect_left(due_times, due)]
        if started + more_urgent >= free_slots:
            break
        started += 1
    return started


def group_by_due(own_due: Iterable[int]) -> list[tuple[int, int]]:
    """Count items by due time, the most urgent first, up to `MAX_GROUPS` due times."""
    return merge_groups((due, 1) for due in own_due)[:MAX_GROUPS]


def merge_groups(groups: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
    """Merge the groups of several nodes by due time, the most urgent first."""
    counts: dict[int, int] = {}
    for due, count in groups:
        counts[due] = counts.get(due, 0) + count
    return sorted(counts.items())


def encode_groups(groups: Iterable[tuple[int, int]]) -> bytes:
    """Encode the result of `group_by_due` as bytes, since reports are read many times a second."""
    return b"".join(_GROUP.pack(due, min(MAX_COUNT, count)) for due, count in groups)


def decode_groups(data: bytes) -> list[tuple[int, int]]:
    """Decode the result of `encode_groups`; a truncated last group is ignored."""
    return list(_GROUP.iter_unpack(data[: len(data) - len(data) % _GROUP.size]))
