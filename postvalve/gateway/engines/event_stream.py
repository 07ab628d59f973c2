"""Parsing of single fields of a server-sent event."""

from __future__ import annotations


def event_id_of(event: bytes) -> int | None:
    """Return the numeric `id` field of an event; None if it is absent or not a number."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


def event_data(event: bytes) -> bytes:
    """Return the `data` fields of an event, joined by line feeds."""
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines)
