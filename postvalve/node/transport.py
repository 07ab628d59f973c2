"""How nodes reach each other: requests over TCP, datagrams over UDP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import betterproto
from gevent.server import DatagramServer

from postvalve.events import Event, EventLog
from postvalve.node.peer_link import Channel, PeerClients, PeerHandler, PeerServer

DatagramHandler = Callable[[bytes, str], None]
"""Takes the bytes of a datagram and the sender's address."""


class Transport(Protocol):
    """What a node needs to talk to others."""

    def serve(self, handle_request: PeerHandler, handle_datagram: DatagramHandler) -> None:
        """Start to serve other nodes."""
        ...

    def call(
        self, address: str, channel: Channel, message: betterproto.Message, timeout: float
    ) -> betterproto.Message:
        """Send a request to the node at `address` and wait for its reply.

        Raises:
            PeerUnavailableError: NOT_RUN when it could not be sent, else MAY_HAVE_RUN.
        """
        ...

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        ...

    def stop(self) -> None:
        """Close everything."""
        ...


class NetworkTransport:
    """Sockets, at the node's peer address."""

    def __init__(self, listen: str, events: EventLog) -> None:
        self._listen = listen
        self._events = events
        self._clients = PeerClients()
        self._server: PeerServer | None = None
        self._datagrams: DatagramServer | None = None

    def serve(self, handle_request: PeerHandler, handle_datagram: DatagramHandler) -> None:
        """See `Transport`."""
        host, _, port = self._listen.rpartition(":")
        self._server = PeerServer(self._listen, handle_request, self._events)
        self._server.start()

        def receive(data: bytes, sender: tuple[str, int]) -> None:
            handle_datagram(data, f"{sender[0]}:{sender[1]}")

        self._datagrams = DatagramServer((host, int(port)), receive)
        self._datagrams.start()

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
            self._datagrams.socket.sendto(data, (host, int(port)))
        except OSError as error:
            self._events.emit(Event.PEER_UNREACHABLE, peer=address, error=repr(error))

    def stop(self) -> None:
        """See `Transport`."""
        if self._server is not None:
            self._server.stop()
        if self._datagrams is not None:
            self._datagrams.stop(timeout=1)
        self._clients.close()
