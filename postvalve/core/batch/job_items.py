"""Table of a job's items, as stored in the record of its acceptance.

Every node reads every acceptance, so the table has a fixed layout and holds only what all nodes
must know. The items' requests are stored in another topic, and read by the node that runs them.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

_ITEM = struct.Struct("!BIIIHI")
"""Length of the id, tokens, prompt tokens, output tokens, records and bytes of the request."""


class JobItemsError(ValueError):
    """Raised for bytes that are not a valid table of items."""


@dataclass(frozen=True, slots=True)
class ItemSpec:
    """One item of a job, without its request."""

    item_id: str
    tokens: int = 0
    """Prompt tokens plus the most output tokens, as the client counts them towards the route's
    limit."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    """The most tokens that the item may generate."""
    request_records: int = 0
    """Number of consecutive records of its request in the request topic."""
    request_bytes: int = 0
    """Bytes of all these records, which bounds the size of the read."""


def pack_items(items: Iterable[ItemSpec]) -> bytes:
    """Encode a table of items for the record of an acceptance."""
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
    """Decode the result of `pack_items`.

    Raises:
        JobItemsError: The bytes are truncated or malformed.
    """
    items = []
    start = 0
    try:
        while start < len(data):
            length, *numbers = _ITEM.unpack_from(data, start)
            start += _ITEM.size + length
            if start > len(data):
                raise JobItemsError("item table truncated")
            items.append(ItemSpec(data[start - length : start].decode(), *numbers))
    except (struct.error, UnicodeDecodeError) as exc:
        raise JobItemsError(f"malformed item table: {exc}") from exc
    return tuple(items)
