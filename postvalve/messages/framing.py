"""Frames between nodes: a fixed header, then one encoded message.

Header, big endian: length of the message (u32), kind (u8), correlation id (u64).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import betterproto

from postvalve.messages.generated import gateway, peer

HEADER = struct.Struct("!IBQ")
MAX_FRAME_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PackedReport:
    """A load report in its own layout (`core/membership/load_report`), straight after the header.

    A node of a large zone reads some hundred a second, and the codec took 8 us to unwrap one field
    of bytes: a third of what reading a report took in a profile.
    """

    data: bytes

    def __bytes__(self) -> bytes:
        return self.data


Message = betterproto.Message | PackedReport
"""What a frame holds."""

_MESSAGE_KINDS: tuple[type[Message], ...] = (
    peer.Acknowledgement,
    peer.AdmissionRequest,
    peer.AdmissionReply,
    peer.AdmissionRelease,
    peer.ItemPull,
    peer.ItemPullReply,
    peer.ItemReport,
    peer.ItemReportReply,
    peer.JobCancelNotice,
    peer.ConfigurationFetch,
    peer.ConfigurationReply,
    peer.Heartbeat,
    peer.ZoneDigest,
    PackedReport,
    gateway.RevisionFetch,
    gateway.RevisionReply,
    gateway.StoreAppend,
    gateway.StoreRead,
    gateway.StoreNewest,
    gateway.StoreReply,
    gateway.ZoneDigest,
    gateway.GiveWay,
    gateway.QuarantineNews,
    gateway.QuarantineFetch,
    gateway.CreditAsk,
    gateway.CreditReply,
    gateway.LineState,
    gateway.LineGrant,
)
"""Their positions are on the wire: new ones go to the end, and none is taken out."""
_KIND_OF_TYPE = {message_type: kind for kind, message_type in enumerate(_MESSAGE_KINDS)}
_REPORT_KIND = _KIND_OF_TYPE[PackedReport]


class FrameError(ValueError):
    """Bytes from a peer that are no frame."""


class UnknownKindError(FrameError):
    """A frame whose kind only another build knows; what follows it can be read."""

    def __init__(self, header: FrameHeader) -> None:
        super().__init__(f"frame of unknown kind {header.kind}")
        self.header = header


@dataclass(frozen=True, slots=True)
class FrameHeader:
    """The fixed part of a frame."""

    length: int
    kind: int
    correlation_id: int


def encode_frame(message: Message, correlation_id: int) -> bytes:
    """Encode one message with its header."""
    body = bytes(message)
    return HEADER.pack(len(body), _KIND_OF_TYPE[type(message)], correlation_id) + body


def decode_header(data: bytes) -> FrameHeader:
    """Read a header.

    Raises:
        FrameError: when it is short, or too long a frame.
    """
    if len(data) != HEADER.size:
        raise FrameError("frame header is short")
    header = FrameHeader(*HEADER.unpack(data))
    if header.length > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {header.length} bytes is over {MAX_FRAME_BYTES}")
    return header


def decode_body(header: FrameHeader, body: bytes) -> betterproto.Message:
    """Decode the message that follows a header.

    Raises:
        UnknownKindError: when this build doesn't know the kind.
        FrameError: when the bytes are no such message.
    """
    if len(body) != header.length:
        raise FrameError("frame is cut")
    if header.kind >= len(_MESSAGE_KINDS):
        raise UnknownKindError(header)
    kind = _MESSAGE_KINDS[header.kind]
    if issubclass(kind, PackedReport):
        raise FrameError("load reports travel as datagrams")
    return parse_message(kind, body)


def decode_datagram(data: bytes) -> Message:
    """Decode a datagram, which is one whole frame.

    Raises:
        UnknownKindError: when this build doesn't know its kind.
        FrameError: when it is not.
    """
    header = decode_header(data[: HEADER.size])
    body = data[HEADER.size :]
    if header.kind == _REPORT_KIND and len(body) == header.length:
        return PackedReport(body)
    return decode_body(header, body)


def parse_message(message_type: type[betterproto.Message], data: bytes) -> betterproto.Message:
    """Parse one message from untrusted bytes.

    Raises:
        FrameError: when the bytes are no such message.
    """
    try:
        return message_type().parse(data)
    except Exception as error:  # the codec raises whatever its inner calls raise
        raise FrameError(f"no valid {message_type.__name__}: {error!r}") from error
