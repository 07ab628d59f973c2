"""Fields of server-sent events."""

from __future__ import annotations


def event_id_of(event: bytes) -> int | None:
    """The number of an event, if it has one."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


def event_data(event: bytes) -> bytes:
    """The data of an event, its lines joined by line feeds."""
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines)
