"""Parsing of server-sent events, whose lines may end with LF, CRLF or CR."""

from __future__ import annotations

import re

from postvalve.exceptions import AttemptError, Verdict

MAX_ID_DIGITS = 18
"""Most digits of an event's id, as of all numbers in headers."""
MAX_EMPTY_LINE = 4
"""Most bytes of the line ends that end an event."""
_CR = b"\r"
_EMPTY_LINE = b"\n\n"
_ANY_EMPTY_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")


def event_end(data: bytes | bytearray, start: int = 0) -> int:
    """Return the size of the first complete event, its empty line included; 0 if there is none.

    Args:
        data: The stream from the beginning of the event.
        start: Number of bytes at the beginning in which no empty line begins.
    """
    if data.find(_CR, start) < 0:
        found = data.find(_EMPTY_LINE, start)
        return found + len(_EMPTY_LINE) if found >= 0 else 0
    match = _ANY_EMPTY_LINE.search(data, start)
    return match.end() if match else 0


def ends_inside_event(rest: bytes) -> bool:
    """Whether a stream that ends with `rest`, what follows its last complete event, was cut.

    Empty lines and comments between events belong to none.
    """
    return has_field(rest) or (bool(rest) and not rest.endswith((b"\n", b"\r")))


def has_field(event: bytes) -> bool:
    """Whether an event has any line but comments."""
    return any(line and not line.startswith(b":") for line in event.splitlines())


def event_id_of(event: bytes) -> int | None:
    """Return the numeric `id` field of an event; None if it is absent or not a number.

    Raises:
        AttemptError: It has more than `MAX_ID_DIGITS` digits, so nothing could go on after it.
    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            if text.isdigit() and len(text) > MAX_ID_DIGITS:
                raise AttemptError("the engine sent too long an event id", Verdict.MAY_HAVE_RUN)
            return int(text) if text.isdigit() else None
    return None


def event_data(event: bytes) -> bytes:
    """Return the `data` fields of an event, joined by line feeds."""
    lines = [line[5:] for line in event.splitlines() if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines)
