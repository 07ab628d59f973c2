"""Communication between nodes: requests over TCP, datagrams over UDP."""

from __future__ import annotations

import socket as sockets
from collections.abc import Callable
from typing import Protocol

import betterproto
import gevent
from gevent import socket as gevent_socket

from postvalve.events import Event, EventLog
from postvalve.node.peer_link import ADDRESS_ERRORS, Channel, PeerClients, PeerHandler, PeerServer

GATHER_TIME = 0.02
"""Default number of seconds for which received datagrams gather before they are read together.

Waking up costs more than reading one datagram.
"""
MAX_DATAGRAM = 65_536

DatagramHandler = Callable[[bytes, str], None]
"""Called with the bytes of a datagram and the sender's address."""


class Transport(Protocol):
    """Interface through which a node communicates with other nodes."""

    def serve(self, handle_request: PeerHandler, handle_datagram: DatagramHandler) -> None:
        """Start to serve requests and datagrams of other nodes."""
        ...

    def call(
        self, address: str, channel: Channel, message: betterproto.Message, timeout: float
    ) -> betterproto.Message:
        """Send a request to the node at `address` and wait for its reply.

        Raises:
            PeerUnavailableError: NOT_RUN if it could not be sent, else MAY_HAVE_RUN.
        """
        ...

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        ...

    def stop(self) -> None:
        """Stop serving, and close all connections."""
        ...


class NetworkTransport:
    """Transport over the sockets of the operating system, at the node's peer address."""

    def __init__(self, listen: str, events: EventLog) -> None:
        self._listen = listen
        self._events = events
        self._clients = PeerClients()
        self._server: PeerServer | None = None
        self._datagrams: gevent_socket.socket | None = None
        self._receiver: gevent.Greenlet | None = None
        self.gather_time: Callable[[], float] = lambda: GATHER_TIME
        """Returns the seconds for which received datagrams gather before they are read together."""

    def serve(self, handle_request: PeerHandler, handle_datagram: DatagramHandler) -> None:
        """See `Transport`."""
        host, _, port = self._listen.rpartition(":")
        self._server = PeerServer(self._listen, handle_request, self._events)
        self._server.start()

        self._datagrams = gevent_socket.socket(sockets.AF_INET, sockets.SOCK_DGRAM)
        self._datagrams.bind((host, int(port)))
        self._receiver = gevent.spawn(self._receive, self._datagrams, handle_datagram)

    def _receive(self, conn: gevent_socket.socket, handle: DatagramHandler) -> None:
        """Read datagrams until the transport stops: each time all that have been received."""
        while True:
            conn.settimeout(None)
            try:
                while True:
                    data, sender = conn.recvfrom(MAX_DATAGRAM)
                    self._handle(handle, data, f"{sender[0]}:{sender[1]}")
                    conn.settimeout(0.0)
            except BlockingIOError:
                pass
            except OSError as exc:
                if self._datagrams is None:
                    return
                # An asynchronous error of an earlier send, such as ECONNREFUSED.
                self._events.emit(Event.PEER_UNREACHABLE, peer="", error=repr(exc))
            gevent.sleep(self.gather_time())

    def _handle(self, handle: DatagramHandler, data: bytes, sender: str) -> None:
        try:
            handle(data, sender)
        except Exception as exc:  # an error of the handler must not end the receive loop
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=sender, error=repr(exc))

    def call(
        self, address: str, channel: Channel, message: betterproto.Message, timeout: float
    ) -> betterproto.Message:
        """See `Transport`."""
        return self._clients.call(address, channel, message, timeout)

    def send(self, address: str, data: bytes) -> None:
        """See `Transport`."""
        if self._datagrams is None:
            return
        host, _, port = address.rpartition(":")
        try:
            self._datagrams.sendto(data, (host, int(port)))
        except ADDRESS_ERRORS as exc:
            self._events.emit(Event.PEER_UNREACHABLE, peer=address, error=repr(exc))

    def stop(self) -> None:
        """See `Transport`."""
        if self._server is not None:
            self._server.stop()
        datagrams, self._datagrams = self._datagrams, None
        if datagrams is not None:
            datagrams.close()
        if self._receiver is not None:
            self._receiver.kill(block=False)
        self._clients.close()
