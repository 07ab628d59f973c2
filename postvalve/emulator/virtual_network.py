"""Network between nodes under virtual time, with delays, partitions and closed endpoints."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import betterproto
import gevent
from gevent.event import AsyncResult

from postvalve.emulator.virtual_time import VirtualLoop
from postvalve.exceptions import PeerUnavailableError, Verdict
from postvalve.node.peer_link import Channel, PeerHandler
from postvalve.node.transport import DatagramHandler

LOCAL_DELAY = 0.0003
"""One-way delay within a zone, in seconds."""
ZONE_DELAY = 0.001
"""One-way delay between zones, in seconds."""


@dataclass(frozen=True, slots=True)
class Location:
    """Where a process runs: its owner in the event loop, and its zone."""

    owner: str
    zone: str


@dataclass(slots=True)
class Endpoint:
    """A listening node: its location and its handlers."""

    location: Location
    handle_request: PeerHandler
    handle_datagram: DatagramHandler


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call whose reply has not arrived."""

    caller: Location
    callee: Location
    result: AsyncResult


@dataclass(slots=True)
class Traffic:
    """Messages and bytes sent by one owner."""

    datagrams: int = 0
    datagram_bytes: int = 0
    calls: int = 0
    call_bytes: int = 0


class VirtualNetwork:
    """Carries messages in encoded form, so that every simulation exercises the codec."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.traffic: dict[str, Traffic] = {}
        self.drops_reply: Callable[[betterproto.Message], bool] = lambda reply: False
        """Decides whether a reply is lost; tests may replace it."""
        self._endpoints: dict[str, Endpoint] = {}
        self._pending: list[PendingCall] = []
        self._cuts: set[frozenset[str]] = set()

    def cut(self, first: str, second: str) -> None:
        """Partition two zones or owners: no message passes between them."""
        self._cuts.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """End the partition between two zones or owners."""
        self._cuts.discard(frozenset((first, second)))

    def connected(self, first: Location, second: Location) -> bool:
        """Return whether messages pass between two locations."""
        if not self._cuts:
            return True
        names_first = {first.owner, first.zone}
        names_second = {second.owner, second.zone}
        return not any(
            frozenset((name, other_name)) in self._cuts
            for name in names_first
            for other_name in names_second
        )

    def delay(self, first: Location, second: Location) -> float:
        """Return the one-way delay between two locations, in seconds."""
        return LOCAL_DELAY if first.zone == second.zone else ZONE_DELAY

    def listen(self, address: str, endpoint: Endpoint) -> None:
        """Register a node's handlers at an address."""
        self._endpoints[address] = endpoint

    def close(self, address: str) -> None:
        """Remove the endpoint of an address; pending calls to it fail immediately."""
        endpoint = self._endpoints.pop(address, None)
        if endpoint is None:
            return
        for call in [call for call in self._pending if call.callee == endpoint.location]:
            error = PeerUnavailableError("the connection was reset", Verdict.MAY_HAVE_RUN)
            self.loop.call_for(call.caller.owner, 0.0, call.result.set_exception, error)

    def _traffic_of(self, location: Location) -> Traffic:
        return self.traffic.setdefault(location.owner, Traffic())

    def send(self, sender: Location, sender_address: str, address: str, data: bytes) -> None:
        """Deliver a datagram, unless the receiver is unknown or partitioned from the sender."""
        traffic = self._traffic_of(sender)
        traffic.datagrams += 1
        traffic.datagram_bytes += len(data)
        endpoint = self._endpoints.get(address)
        if endpoint is None or not self.connected(sender, endpoint.location):
            return
        delay = self.delay(sender, endpoint.location)
        self.loop.call_for(
            endpoint.location.owner, delay, endpoint.handle_datagram, data, sender_address
        )

    def call(
        self, caller: Location, address: str, message: betterproto.Message, timeout: float
    ) -> betterproto.Message:
        """Deliver a request and return its reply.

        Raises:
            PeerUnavailableError: The connection was refused or reset, or the call timed out.
        """
        traffic = self._traffic_of(caller)
        traffic.calls += 1
        data = bytes(message)
        traffic.call_bytes += len(data)
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            gevent.sleep(ZONE_DELAY)
            raise PeerUnavailableError("the connection was refused", Verdict.NOT_RUN)
        pending = PendingCall(caller, endpoint.location, AsyncResult())
        self._pending.append(pending)
        if self.connected(caller, endpoint.location):
            delay = self.delay(caller, endpoint.location)
            self.loop.call_for(
                endpoint.location.owner, delay, self._serve, endpoint, pending, type(message), data
            )
        try:
            return pending.result.get(timeout=timeout)
        except gevent.Timeout:
            raise PeerUnavailableError("no answer in time", Verdict.MAY_HAVE_RUN) from None
        finally:
            self._pending.remove(pending)

    def _serve(
        self,
        endpoint: Endpoint,
        pending: PendingCall,
        message_type: type[betterproto.Message],
        data: bytes,
    ) -> None:
        gevent.spawn(self._answer, endpoint, pending, message_type().parse(data))

    def _answer(
        self, endpoint: Endpoint, pending: PendingCall, message: betterproto.Message
    ) -> None:
        reply = endpoint.handle_request(message)
        if not self.connected(endpoint.location, pending.caller) or self.drops_reply(reply):
            return
        copied = type(reply)().parse(bytes(reply))
        delay = self.delay(endpoint.location, pending.caller)
        self.loop.call_for(pending.caller.owner, delay, pending.result.set, copied)


class VirtualTransport:
    """Implementation of `Transport` for one node."""

    def __init__(self, network: VirtualNetwork, location: Location, address: str) -> None:
        self._network = network
        self._location = location
        self._address = address

    def serve(self, handle_request: PeerHandler, handle_datagram: DatagramHandler) -> None:
        """See `Transport`."""
        endpoint = Endpoint(self._location, handle_request, handle_datagram)
        self._network.listen(self._address, endpoint)

    def call(
        self, address: str, channel: Channel, message: betterproto.Message, timeout: float
    ) -> betterproto.Message:
        """See `Transport`."""
        return self._network.call(self._location, address, message, timeout)

    def send(self, address: str, data: bytes) -> None:
        """See `Transport`."""
        self._network.send(self._location, self._address, address, data)

    def stop(self) -> None:
        """See `Transport`."""
        self._network.close(self._address)
