"""Saved progress of batch items: chains of segments that another node can take up.

A holder saves the events that an item has given in segments of one chain. Keys are never
used twice: where the outcome of a save is not known, the holder begins another chain, so a
save that is done late can't change what stands. A reader takes the longest chain whose
segments follow one another from the item's beginning.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from postvalve.messages.generated import gateway


@dataclass(frozen=True, slots=True)
class SavedItem:
    """What is known of an item that another node, or another life of this one, ran."""

    last_event_id: int
    texts: tuple[bytes, ...]
    """Data of its events, by segment; compressed."""
    run_ms: int
    """How long it has run, in milliseconds."""


FAILURES = "failures"
"""In place of a chain's name: the record that counts an item's failed runs."""


@dataclass(slots=True)
class SavedJob:
    """Saved items of one job, and every key that was found for it."""

    items: dict[int, SavedItem] = field(default_factory=dict)
    failures: dict[int, int] = field(default_factory=dict)
    """Failed runs by item, of all nodes that worked on the job."""
    keys: list[str] = field(default_factory=list)


def job_prefix(job_id: str) -> str:
    """What the keys of a job's segments begin with."""
    return f"{job_id}/"


def segment_key(job_id: str, index: int, chain: str, number: int) -> str:
    """The key of one segment; `number` counts a chain's segments from 0."""
    return f"{job_id}/{index:05d}/{chain}/{number:04d}"


def failures_key(job_id: str, index: int) -> str:
    """The key under which a node keeps the number of an item's failed runs."""
    return segment_key(job_id, index, FAILURES, 0)


def job_of_key(key: str) -> str:
    """The id of the job to which a segment belongs."""
    return key.partition("/")[0]


def assemble(records: Iterable[tuple[str, bytes]]) -> SavedJob:
    """Put the segments of one job together.

    Args:
        records: Key and value of each; values that can't be read end their chains.
    """
    saved = SavedJob()
    chains: dict[tuple[int, str], dict[int, gateway.ItemProgress]] = {}
    for key, value in records:
        saved.keys.append(key)
        name, chain, number = _parse(key)
        if number < 0:
            continue
        try:
            segment = gateway.ItemProgress().parse(value)
        except Exception:  # the codec raises whatever its inner calls raise
            continue
        if chain == FAILURES:
            saved.failures[name] = max(segment.failures, saved.failures.get(name, 0))
            continue
        chains.setdefault((name, chain), {})[number] = segment
    for (index, _), segments in sorted(chains.items()):
        item = _joined(segments)
        known = saved.items.get(index)
        if item is not None and (known is None or item.last_event_id > known.last_event_id):
            saved.items[index] = item
    return saved


def _parse(key: str) -> tuple[int, str, int]:
    parts = key.rsplit("/", 3)
    if len(parts) != 4 or not (parts[1].isdigit() and parts[3].isdigit()):
        return 0, "", -1
    return int(parts[1]), parts[2], int(parts[3])


def _joined(segments: dict[int, gateway.ItemProgress]) -> SavedItem | None:
    texts: list[bytes] = []
    last = run_ms = 0
    while (segment := segments.get(len(texts))) is not None and segment.after_event_id == last:
        texts.append(segment.text)
        last, run_ms = segment.last_event_id, segment.run_ms
    return SavedItem(last, tuple(texts), run_ms) if texts else None
