"""Reads records of the log."""

from __future__ import annotations

from postvalve.messages.framing import FrameError
from postvalve.messages.generated import records


def parse_record(payload: bytes) -> records.Record:
    """Parse the payload of a log entry.

    Raises:
        FrameError: when the bytes are no record.
    """
    try:
        return records.Record().parse(payload)
    except Exception as error:  # the codec raises whatever its inner calls raise
        raise FrameError(f"no valid record: {error!r}") from error
