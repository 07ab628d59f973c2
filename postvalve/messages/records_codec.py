"""Encoding of log records: an envelope with an id, a kind and an encoded message.

The kind is stored as a number. A record of a kind that this version does not know is parsed with
body None, so that all readers skip records of later versions in the same way.
"""

from __future__ import annotations

from dataclasses import dataclass

import betterproto

from postvalve.messages.framing import FrameError
from postvalve.messages.generated import records

_KINDS: dict[int, type[betterproto.Message]] = {
    1: records.ConfigurationChange,
    2: records.FileCreated,
    3: records.FileChunk,
    4: records.FileSealed,
    5: records.FileDeleted,
    6: records.JobSubmitted,
    7: records.ItemsStarted,
    8: records.ItemsFinished,
    9: records.JobCancelled,
    10: records.JobFinished,
    11: records.JobAnnounced,
    12: records.JobCancelRequested,
    13: records.JobClosed,
    14: records.LeaseClaimed,
    15: records.LeaseRenewed,
    16: records.LeaseReleased,
    17: records.FileIndexed,
    18: records.ShardCheckpoint,
    19: records.RequestStarted,
    20: records.RequestFinished,
    21: records.RequestReleased,
}
_KIND_OF_TYPE = {message_type: kind for kind, message_type in _KINDS.items()}


@dataclass(frozen=True, slots=True)
class Record:
    """A decoded log record."""

    record_id: str
    """Unique id, the same in all repetitions of one append."""
    body: betterproto.Message | None
    """The message, or None if this version does not know its kind."""


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    assert record.body is not None
    envelope = records.Envelope(
        record_id=record.record_id,
        kind=_KIND_OF_TYPE[type(record.body)],
        body=bytes(record.body),
    )
    return bytes(envelope)


def parse_record(payload: bytes) -> Record:
    """Parse the payload of a log entry.

    Raises:
        FrameError: The bytes are not a valid record.
    """
    try:
        envelope = records.Envelope().parse(payload)
        message_type = _KINDS.get(envelope.kind)
        body = message_type().parse(envelope.body) if message_type else None
        return Record(envelope.record_id, body)
    except Exception as error:  # betterproto lets exceptions of its internal calls through
        raise FrameError(f"invalid record: {error!r}") from error
