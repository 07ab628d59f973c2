"""Requests between nodes over TCP, multiplexed on each connection.

A node keeps two connections to each peer, one for admission and one for batch items, so that
messages for online requests are not queued behind batch payloads in a socket.
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
from postvalve.node.unknown_messages import UnknownMessageCounter
from postvalve.sockets import disable_nagle, enable_keepalive

CONNECT_TIMEOUT = 0.5
"""Time-out, in seconds, of connecting to a peer."""
MAX_HANDLERS_PER_CONNECTION = 1024
"""Maximum number of concurrent requests of one peer connection."""

ADDRESS_ERRORS = (OSError, ValueError, OverflowError, TypeError)
"""What sockets raise for an address that can't be reached, or is none: addresses of peers come from
records and messages, so they may be anything."""

PeerHandler = Callable[[betterproto.Message], betterproto.Message]


class Channel(enum.Enum):
    """The connections to one peer, by the messages they carry."""

    ADMISSION = "admission"
    BATCH = "batch"


def read_frame(connection: socket) -> tuple[betterproto.Message, int] | None:
    """Read one frame; None at the end of the connection.

    Raises:
        UnknownKindError: only another build knows the kind; the next frame can be read.
        FrameError: the bytes are not a valid frame.
    """
    raw_header = _read_exactly(connection, HEADER.size)
    if not raw_header:
        return None
    header = decode_header(raw_header)
    body = _read_exactly(connection, header.length)
    return decode_body(header, body), header.correlation_id


def _read_exactly(connection: socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        chunk = connection.recv(min(size - len(data), 1 << 20))
        if not chunk:
            break
        data += chunk
    return bytes(data)


class PeerServer:
    """Serves requests of other nodes on a TCP port."""

    def __init__(self, listen: str, handler: PeerHandler, events: EventLog) -> None:
        host, _, port = listen.rpartition(":")
        self._handler = handler
        self._events = events
        self._passed_over = UnknownMessageCounter(events)
        self._connections: set[socket] = set()
        self._server = StreamServer((host, int(port)), self._serve)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close connections."""
        self._server.stop(timeout=1)
        for connection in list(self._connections):
            connection.close()

    def _serve(self, connection: socket, address: object) -> None:
        disable_nagle(connection)
        enable_keepalive(connection)
        write_lock = RLock()
        handlers = Pool(MAX_HANDLERS_PER_CONNECTION)
        self._connections.add(connection)
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
            self._connections.discard(connection)
            connection.close()

    def _next_frame(
        self, connection: socket, write_lock: RLock, address: object
    ) -> tuple[betterproto.Message, int] | None:
        """Return the next request that this build knows, or None at the end of the connection.

        Requests of unknown kinds get an `Acknowledgement` at once, so that the peer does not wait
        for its time-out.
        """
        while True:
            try:
                return read_frame(connection)
            except UnknownKindError as unknown:
                self._passed_over.record(unknown.header.kind, str(address), time.monotonic())
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
        except Exception as error:  # the peer runs into its time-out; the cause is logged here
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
    """Client side of one connection to a peer."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._socket = create_connection((host, int(port)), timeout=CONNECT_TIMEOUT)
        self._socket.settimeout(None)
        disable_nagle(self._socket)
        self._write_lock = RLock()
        self._pending: dict[int, AsyncResult] = {}
        self._correlation_ids = itertools.count(1)
        self._replies_read = 0
        """Number of replies read on this connection."""
        self.closed = False
        gevent.spawn(self._read_replies)

    def call(self, message: betterproto.Message, timeout: float) -> betterproto.Message:
        """Send a request and wait for its reply.

        If no reply to any request arrives during the time-out, the connection may be dead. It is
        closed then, so that the next call opens another one.

        Raises:
            PeerUnavailableError: with MAY_HAVE_RUN, as the request may have been received.
        """
        replies_read = self._replies_read
        correlation_id = next(self._correlation_ids)
        result = self._pending[correlation_id] = AsyncResult()
        try:
            with self._write_lock:
                self._socket.sendall(encode_frame(message, correlation_id))
            return result.get(timeout=timeout)
        except gevent.Timeout as error:
            is_silent = self._replies_read == replies_read
            if is_silent:
                self._pending.pop(correlation_id, None)
                self.close()
            received = "no reply, and nothing else" if is_silent else "no reply"
            raise PeerUnavailableError(
                f"peer: {received} in {timeout:.1f} s", Verdict.MAY_HAVE_RUN
            ) from error
        except OSError as error:
            raise PeerUnavailableError(f"peer: {error!r}", Verdict.MAY_HAVE_RUN) from error
        finally:
            self._pending.pop(correlation_id, None)

    def _read_replies(self) -> None:
        try:
            while self._read_reply():
                self._replies_read += 1
        except (OSError, FrameError):
            pass
        finally:
            self.close()

    def _read_reply(self) -> bool:
        """Pass the next reply to its caller; returns False at the end of the connection."""
        # Replies that arrive after the time-out of their call are dropped.
        try:
            frame = read_frame(self._socket)
        except UnknownKindError as unknown:
            # The peer may have run the request, but this build can't decode its reply.
            error = PeerUnavailableError(f"peer: {unknown}", Verdict.MAY_HAVE_RUN)
            if (result := self._pending.get(unknown.header.correlation_id)) is not None:
                result.set_exception(error)
            return True
        if frame is None:
            return False
        message, correlation_id = frame
        if (result := self._pending.get(correlation_id)) is not None:
            result.set(message)
        return True

    def close(self) -> None:
        """Close the connection, and fail all calls that wait for a reply."""
        self.closed = True
        self._socket.close()
        for result in self._pending.values():
            result.set_exception(
                PeerUnavailableError("the peer closed the connection", Verdict.MAY_HAVE_RUN)
            )


class PeerClients:
    """Connections to all peers, opened on first use."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, Channel], PeerConnection] = {}
        self._connect_locks: dict[tuple[str, Channel], RLock] = {}
        self._connect_failures: Counter[tuple[str, Channel]] = Counter()
        """Number of failed attempts to connect."""

    def call(
        self, address: str, channel: Channel, message: betterproto.Message, timeout: float
    ) -> betterproto.Message:
        """Send a request to the node at `address` and wait for its reply.

        Raises:
            PeerUnavailableError: NOT_RUN if no connection could be opened, else MAY_HAVE_RUN.
        """
        return self._connection(address, channel).call(message, timeout)

    def _connection(self, address: str, channel: Channel) -> PeerConnection:
        key = (address, channel)
        connect_failures = self._connect_failures[key]
        with self._connect_locks.setdefault(key, RLock()):
            connection = self._connections.get(key)
            if connection is not None and not connection.closed:
                return connection
            if self._connect_failures[key] != connect_failures:
                # An attempt failed while this call waited for the lock. If each waiting call
                # tried again, their connect time-outs would add up.
                raise PeerUnavailableError("peer: connecting failed just now", Verdict.NOT_RUN)
            try:
                connection = self._connections[key] = PeerConnection(address)
            except ADDRESS_ERRORS as error:
                self._connect_failures[key] += 1
                raise PeerUnavailableError(f"peer: {error!r}", Verdict.NOT_RUN) from error
            return connection

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
