"""The table of a job's items, as the record of its acceptance holds it.

Every node reads every acceptance, so the table says only what all must know, in a fixed layout:
the items' requests lie elsewhere, and are read by the node that runs them.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

_ITEM = struct.Struct("!BIIIHI")
"""Length of the id, tokens, prompt tokens, output tokens, records and bytes of the request."""


class JobItemsError(ValueError):
    """Bytes that are no table of items."""


@dataclass(frozen=True, slots=True)
class ItemSpec:
    """An item of a job."""

    item_id: str
    tokens: int = 0
    """Prompt and most output, summed, as its client counts them towards the route's limit."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    """The most that it may give."""
    request_records: int = 0
    """Records of its request, one after the other in the topic of requests."""
    request_bytes: int = 0
    """Of all of them, so that a read asks for no more."""


def pack_items(items: Iterable[ItemSpec]) -> bytes:
    """The table for a record."""
    parts = []
    for item in items:
        item_id = item.item_id.encode()
        parts.append(
            _ITEM.pack(
                len(item_id),
                item.tokens,
                item.prompt_tokens,
                item.output_tokens,
                item.request_records,
                item.request_bytes,
            )
        )
        parts.append(item_id)
    return b"".join(parts)


def unpack_items(data: bytes) -> tuple[ItemSpec, ...]:
    """Undo `pack_items`.

    Raises:
        JobItemsError: the bytes are cut, or no table.
    """
    items = []
    start = 0
    try:
        while start < len(data):
            length, *numbers = _ITEM.unpack_from(data, start)
            start += _ITEM.size + length
            if start > len(data):
                raise JobItemsError("table of items is cut")
            items.append(ItemSpec(data[start - length : start].decode(), *numbers))
    except (struct.error, UnicodeDecodeError) as exc:
        raise JobItemsError(f"no valid table of items: {exc}") from exc
    return tuple(items)
