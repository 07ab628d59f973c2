"""Addresses of the other nodes, as announced in the store.

A node appends its own address and then reads the topic once. Of two nodes the one that reads later
finds the other, and its first load report makes the other aware of it, so no node needs to follow
the topic. It is separate from the topic of jobs, which is large, so that nodes that all start
together find each other before they have read the jobs.
"""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import IPv4Address

import gevent
from gevent.event import Event as GeventEvent

from postvalve.events import Event, EventLog
from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import KeyedRecord, KeyedTopics, StoreUnavailableError
from postvalve.messages.framing import parse_message
from postvalve.messages.generated import gateway

NODE_TOPIC = "nodes"
ANNOUNCE_RETRY_DELAY = 0.3
"""Seconds after which a further announcement begins if none has succeeded, doubled each time."""
MAX_ANNOUNCE_RETRY_DELAY = 0.6
MAX_PENDING = 3
"""Most announcements under way: calls to a part of the store may hang after it is back."""


class NodeDirectory:
    """Announces this node and holds the nodes announced before; some of these may be gone."""

    def __init__(
        self, identity: gateway.NodeStarted, topics: KeyedTopics, events: EventLog
    ) -> None:
        self._identity = identity
        self._events = events
        self._topics = topics
        self._addresses: dict[str, tuple[str, str]] | None = None
        self._known = GeventEvent()
        """Set once the announced nodes were read."""
        self._pending = 0
        self.tries = 0
        """Announcements that have begun."""
        self.on_change: Callable[[], None] = lambda: None
        """Called after the addresses were read."""

    @property
    def is_known(self) -> bool:
        """Whether the announced nodes were read."""
        return self._addresses is not None

    def addresses(self) -> dict[str, tuple[str, str]] | None:
        """Return peer address and zone of the announced nodes, by node id.

        None before they were read: there may be any number of them.
        """
        return self._addresses

    def announce(self) -> None:
        """Append this node's address and read those of the others; returns once that succeeded."""
        delay = ANNOUNCE_RETRY_DELAY
        while not self.is_known:
            if self._pending < MAX_PENDING:
                self._pending += 1
                self.tries += 1
                gevent.spawn(self._announce_once)
            self._known.wait(delay)
            delay = min(MAX_ANNOUNCE_RETRY_DELAY, delay * 2)
        self.on_change()

    def _announce_once(self) -> None:
        record = KeyedRecord(self._identity.node_id, bytes(self._identity))
        try:
            self._topics.append(NODE_TOPIC, 0, [record])
            self._addresses = self._read()
            self._known.set()
        except StoreUnavailableError as exc:
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, topic=NODE_TOPIC)
        except Exception as exc:  # it is tried again, whatever it is
            self._events.emit(Event.LOG_UNAVAILABLE, error=repr(exc), topic=NODE_TOPIC)
        finally:
            self._pending -= 1

    def _read(self) -> dict[str, tuple[str, str]]:
        """Read the announced nodes.

        Raises:
            StoreUnavailableError: They can't be read, or what is read is older than this node.
        """
        found: dict[str, tuple[str, str]] = {}
        after, more, has_own = "", True, False
        while more:
            part, more = self._topics.newest(NODE_TOPIC, 0, after)
            for record in part.records:
                found[record.key] = self._address(record)
                after = record.key
                has_own |= record.value == bytes(self._identity)
            more = more and bool(part.records)
        if not has_own:
            raise StoreUnavailableError(
                "this node's own address is missing among those read", Verdict.MAY_HAVE_RUN
            )
        return {node_id: one for node_id, one in found.items() if one[0]}

    def _address(self, record: KeyedRecord) -> tuple[str, str]:
        if not record.value:
            return "", ""
        try:
            node = parse_message(gateway.NodeStarted, record.value)
            assert isinstance(node, gateway.NodeStarted)
            _check_address(node.peer_address)
        except ValueError as exc:
            self._events.emit(
                Event.LOG_RECORD_INVALID, topic=NODE_TOPIC, key=record.key, error=repr(exc)
            )
            return "", ""
        return node.peer_address, node.zone


def _check_address(address: str) -> None:
    """Check the address of a node.

    Raises:
        ValueError: It is not an IP:PORT.
    """
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65_536):
        raise ValueError(f"invalid port {port[:20]!r}")
