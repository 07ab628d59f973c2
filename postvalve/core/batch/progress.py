"""Saved progress of batch items, as chains of segments from which another node can resume.

A node that runs an item saves the events it has received in segments of one chain. Keys are never
reused: if the outcome of a save is unknown, the node begins another chain, so a save that takes
effect late can't overwrite anything. A reader uses the longest chain whose segments follow one
another from the item's beginning.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from postvalve.messages.framing import FrameError, parse_message
from postvalve.messages.generated import gateway


@dataclass(frozen=True, slots=True)
class SavedItem:
    """Saved progress of an item that another node, or an earlier incarnation, has run."""

    last_event_id: int
    texts: tuple[bytes, ...]
    """Compressed data of the item's events, by segment."""
    run_ms: int
    """Milliseconds that the item has run."""
    version: str | None = None
    """Version of the engines that made the text; None if the build that saved it did not tell."""


FAILURES = "failures"
"""Used in place of a chain's name in the key of the record that counts an item's failed runs."""


@dataclass(slots=True)
class SavedJob:
    """Saved items of one job, and all keys that were found for it."""

    items: dict[int, SavedItem] = field(default_factory=dict)
    failures: dict[int, int] = field(default_factory=dict)
    """Number of failed runs by item, over all nodes that worked on the job."""
    keys: list[str] = field(default_factory=list)
    is_complete: bool = True
    """Whether everything that was saved could be read."""
    unfit: int = 0
    """Chains left out because of the version of their engines."""


def job_prefix(job_id: str) -> str:
    """Return the common prefix of the keys of a job's segments."""
    return f"{job_id}/"


def segment_key(job_id: str, index: int, chain: str, number: int) -> str:
    """Return the key of one segment; `number` counts the segments of a chain from 0."""
    return f"{job_id}/{index:05d}/{chain}/{number:04d}"


def failures_key(job_id: str, index: int, failures: int = 0) -> str:
    """Return the key of the record that counts an item's failed runs.

    Each count has a key of its own, so a save that takes effect late overwrites no later one.
    """
    return segment_key(job_id, index, FAILURES, failures)


def job_of_key(key: str) -> str:
    """Return the id of the job that a segment belongs to."""
    return key.partition("/")[0]


def assemble(
    records: Iterable[tuple[str, bytes]],
    can_continue: Callable[[str | None], bool] = lambda version: True,
) -> SavedJob:
    """Assemble the saved segments of one job.

    Args:
        records: Key and value of each segment; an unreadable value ends its chain.
        can_continue: Tells whether an engine can continue the text of a version.
    """
    saved = SavedJob()
    chains: dict[tuple[int, str], dict[int, gateway.ItemProgress]] = {}
    for key, value in records:
        saved.keys.append(key)
        name, chain, number = _parse(key)
        if number < 0:
            continue
        try:
            segment = parse_message(gateway.ItemProgress, value)
        except FrameError:
            continue
        assert isinstance(segment, gateway.ItemProgress)
        if chain == FAILURES:
            saved.failures[name] = max(segment.failures, saved.failures.get(name, 0))
            continue
        chains.setdefault((name, chain), {})[number] = segment
    for (index, _), segments in sorted(chains.items()):
        item = _joined(segments)
        if item is not None and not can_continue(item.version):
            saved.unfit += 1
            continue
        known = saved.items.get(index)
        if item is not None and (known is None or item.last_event_id > known.last_event_id):
            saved.items[index] = item
    return saved


def _parse(key: str) -> tuple[int, str, int]:
    parts = key.rsplit("/", 3)
    if len(parts) != 4 or not (_is_number(parts[1]) and _is_number(parts[3])):
        return 0, "", -1
    return int(parts[1]), parts[2], int(parts[3])


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _joined(segments: dict[int, gateway.ItemProgress]) -> SavedItem | None:
    texts: list[bytes] = []
    last = run_ms = 0
    versions: list[str | None] = []
    while (segment := segments.get(len(texts))) is not None and segment.after_event_id == last:
        version = segment.engine_version if segment.has_version else None
        if versions and version != versions[0]:
            break
        versions.append(version)
        texts.append(segment.text)
        last, run_ms = segment.last_event_id, segment.run_ms
    return SavedItem(last, tuple(texts), run_ms, versions[0]) if texts else None
