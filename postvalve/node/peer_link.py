"""Requests between nodes over TCP, many at once on one connection.

A node keeps two connections to each peer: one for admission and one for batch items,
so that no online message waits behind a batch payload in a socket.
"""

from __future__ import annotations

import enum
import itertools
import time
from collections import Counter
from collections.abc import Callable

import betterproto
import gevent
from gevent.event import AsyncResult
from gevent.lock import RLock
from gevent.pool import Pool
from gevent.server import StreamServer
from gevent.socket import create_connection, socket

from postvalve.events import Event, EventLog
from postvalve.exceptions import PeerUnavailableError, Verdict
from postvalve.messages.framing import (
    HEADER,
    FrameError,
    UnknownKindError,
    decode_body,
    decode_header,
    encode_frame,
)
from postvalve.messages.generated import peer
from postvalve.node.passed_over import PassedOver
from postvalve.sockets import disable_nagle, enable_keepalive

CONNECT_TIMEOUT = 0.5
"""Seconds to open a connection to a peer."""
MAX_HANDLERS_PER_CONNECTION = 1024
"""Requests of one peer connection that are served at once."""

PeerHandler = Callable[[betterproto.Message], betterproto.Message]


class Channel(enum.Enum):
    """Connections to one peer, by what they carry."""

    ADMISSION = "admission"
    BATCH = "batch"


def read_frame(connection: socket) -> tuple[betterproto.Message, int] | None:
    """Read one frame; None at the end of the connection.

    Raises:
        UnknownKindError: when only another build knows its kind; the next frame can be read.
        FrameError: when the bytes are no frame.
    """
    raw_header = _read_exactly(connection, HEADER.size)
    if not raw_header:
        return None
    header = decode_header(raw_header)
    body = _read_exactly(connection, header.length)
    return decode_body(header, body), header.correlation_id


def _read_exactly(connection: socket, size: int) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        part = connection.recv(min(size - len(parts), 1 << 20))
        if not part:
            break
        parts += part
    return bytes(parts)


class PeerServer:
    """Serves requests of other nodes."""

    def __init__(self, listen: str, handler: PeerHandler, events: EventLog) -> None:
        host, _, port = listen.rpartition(":")
        self._handler = handler
        self._events = events
        self._passed_over = PassedOver(events)
        self._server = StreamServer((host, int(port)), self._serve)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close connections."""
        self._server.stop(timeout=1)

    def _serve(self, connection: socket, address: object) -> None:
        disable_nagle(connection)
        enable_keepalive(connection)
        write_lock = RLock()
        handlers = Pool(MAX_HANDLERS_PER_CONNECTION)
        try:
            while frame := self._next_frame(connection, write_lock, address):
                message, correlation_id = frame
                handlers.spawn(self._answer, connection, write_lock, message, correlation_id)
        except FrameError as error:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=str(address), error=str(error))
        except OSError:
            pass
        finally:
            handlers.kill(block=False)
            connection.close()

    def _next_frame(
        self, connection: socket, write_lock: RLock, address: object
    ) -> tuple[betterproto.Message, int] | None:
        """The next call that this build knows; whoever sent another one hears at once."""
        while True:
            try:
                return read_frame(connection)
            except UnknownKindError as unknown:
                self._passed_over.note(unknown.header.kind, str(address), time.monotonic())
                data = encode_frame(peer.Acknowledgement(), unknown.header.correlation_id)
                with write_lock:
                    connection.sendall(data)

    def _answer(
        self,
        connection: socket,
        write_lock: RLock,
        message: betterproto.Message,
        correlation_id: int,
    ) -> None:
        try:
            reply = self._handler(message)
        except Exception as error:  # the peer sees a timeout; the cause is logged here
            self._events.emit(
                Event.REQUEST_ERROR, message=type(message).__name__, error=repr(error)
            )
            return
        data = encode_frame(reply, correlation_id)
        try:
            with write_lock:
                connection.sendall(data)
        except OSError:
            connection.close()


class PeerConnection:
    """One connection to a peer."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._socket = create_connection((host, int(port)), timeout=CONNECT_TIMEOUT)
        self._socket.settimeout(None)
        disable_nagle(self._socket)
        self._write_lock = RLock()
        self._waiting: dict[int, AsyncResult] = {}
        self._correlation_ids = itertools.count(1)
        self._frames = 0
        """Replies read since the start."""
        self.closed = False
        gevent.spawn(self._read_replies)

    def call(self, message: betterproto.Message, timeout: float) -> betterproto.Message:
        """Send a request and wait for its reply.

        A connection that gave nothing in all that time may have fallen silent for good: it is
        closed, so that the next call opens another.

        Raises:
            PeerUnavailableError: with MAY_HAVE_RUN, since the request was sent.
        """
        frames = self._frames
        correlation_id = next(self._correlation_ids)
        result = self._waiting[correlation_id] = AsyncResult()
        try:
            with self._write_lock:
                self._socket.sendall(encode_frame(message, correlation_id))
            return result.get(timeout=timeout)
        except gevent.Timeout as error:
            silent = self._frames == frames
            if silent:
                self._waiting.pop(correlation_id, None)
                self.close()
            told = "no reply, and nothing else" if silent else "no reply"
            raise PeerUnavailableError(
                f"peer: {told} in {timeout:.1f} s", Verdict.MAY_HAVE_RUN
            ) from error
        except OSError as error:
            raise PeerUnavailableError(f"peer: {error!r}", Verdict.MAY_HAVE_RUN) from error
        finally:
            self._waiting.pop(correlation_id, None)

    def _read_replies(self) -> None:
        try:
            while self._read_reply():
                self._frames += 1
        except (OSError, FrameError):
            pass
        finally:
            self.close()

    def _read_reply(self) -> bool:
        """Give the next reply to its caller; False at the end of the connection."""
        # A late reply has no waiter any more and is dropped.
        try:
            frame = read_frame(self._socket)
        except UnknownKindError as unknown:
            # The peer has done something that this build can't read.
            error = PeerUnavailableError(f"peer: {unknown}", Verdict.MAY_HAVE_RUN)
            if (result := self._waiting.get(unknown.header.correlation_id)) is not None:
                result.set_exception(error)
            return True
        if frame is None:
            return False
        message, correlation_id = frame
        if (result := self._waiting.get(correlation_id)) is not None:
            result.set(message)
        return True

    def close(self) -> None:
        """Close, and fail everything that waits."""
        self.closed = True
        self._socket.close()
        for result in self._waiting.values():
            result.set_exception(
                PeerUnavailableError("the peer closed the connection", Verdict.MAY_HAVE_RUN)
            )


class PeerClients:
    """Connections to all peers, opened when first used."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, Channel], PeerConnection] = {}
        self._opening: dict[tuple[str, Channel], RLock] = {}
        self._failed: Counter[tuple[str, Channel]] = Counter()
        """Connections that could not be opened."""

    def call(
        self, address: str, channel: Channel, message: betterproto.Message, timeout: float
    ) -> betterproto.Message:
        """Send a request to the node at `address` and wait for its reply.

        Raises:
            PeerUnavailableError: NOT_RUN when it could not be sent, else MAY_HAVE_RUN.
        """
        return self._connection(address, channel).call(message, timeout)

    def _connection(self, address: str, channel: Channel) -> PeerConnection:
        key = (address, channel)
        failed = self._failed[key]
        with self._opening.setdefault(key, RLock()):
            connection = self._connections.get(key)
            if connection is not None and not connection.closed:
                return connection
            if self._failed[key] != failed:
                # Callers that waited don't wait once more, one after the other.
                raise PeerUnavailableError("peer: connecting failed just now", Verdict.NOT_RUN)
            try:
                connection = self._connections[key] = PeerConnection(address)
            except OSError as error:
                self._failed[key] += 1
                raise PeerUnavailableError(f"peer: {error!r}", Verdict.NOT_RUN) from error
            return connection

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
