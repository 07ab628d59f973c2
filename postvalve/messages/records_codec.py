"""Records of the log: an envelope with an id, a kind and an encoded message.

Kinds are numbers in the log; a kind that this version does not know is kept as None, so
that records of later versions are passed over alike by all readers.
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
    """One record as readers see it."""

    record_id: str
    """Repeats of one append carry the same id."""
    body: betterproto.Message | None


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
        FrameError: when the bytes are no record.
    """
    try:
        envelope = records.Envelope().parse(payload)
        message_type = _KINDS.get(envelope.kind)
        body = message_type().parse(envelope.body) if message_type else None
        return Record(envelope.record_id, body)
    except Exception as error:  # the codec raises whatever its inner calls raise
        raise FrameError(f"no valid record: {error!r}") from error
