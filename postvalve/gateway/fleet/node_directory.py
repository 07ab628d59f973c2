"""Addresses of the other nodes, as the store holds them.

A node writes where it listens and then reads once who else does. Of two nodes the one that reads
later sees the other, and its first report tells the other of it; so nobody follows the topic.
It is apart from the topic of jobs, which is large, so that nodes that all start together hear of
each other before they have read that.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from postvalve.events import Event, EventLog
from postvalve.gateway.interfaces import KeyedRecord, KeyedTopics, StoreUnavailableError
from postvalve.messages.generated import gateway

NODE_TOPIC = "nodes"
ANNOUNCE_PAUSE = 0.3
"""Seconds until a failed announcement is repeated, doubled for each later one."""
MAX_ANNOUNCE_PAUSE = 2.0


class NodeDirectory:
    """Nodes that have announced themselves; some may be gone."""

    def __init__(
        self, identity: gateway.NodeStarted, topics: KeyedTopics, events: EventLog
    ) -> None:
        self._identity = identity
        self._events = events
        self._topics = topics
        self._addresses: dict[str, tuple[str, str]] = {}
        self.on_change: Callable[[], None] = lambda: None

    def addresses(self) -> dict[str, tuple[str, str]]:
        """Peer address and zone by node id."""
        return self._addresses

    def announce(self) -> None:
        """Tell the others of this node and learn of them; repeated until the store answers."""
        pause = ANNOUNCE_PAUSE
        while True:
            try:
                record = KeyedRecord(self._identity.node_id, bytes(self._identity))
                self._topics.append(NODE_TOPIC, 0, [record])
                self._addresses = self._read()
                self.on_change()
                return
            except StoreUnavailableError as exc:
                self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, topic=NODE_TOPIC)
                gevent.sleep(pause)
                pause = min(MAX_ANNOUNCE_PAUSE, pause * 2)

    def _read(self) -> dict[str, tuple[str, str]]:
        found: dict[str, tuple[str, str]] = {}
        after, more = "", True
        while more:
            part, more = self._topics.newest(NODE_TOPIC, 0, after)
            for record in part.records:
                found[record.key] = self._address(record)
                after = record.key
            more = more and bool(part.records)
        return {node_id: one for node_id, one in found.items() if one[0]}

    def _address(self, record: KeyedRecord) -> tuple[str, str]:
        try:
            node = gateway.NodeStarted().parse(record.value)
        except Exception as exc:  # the codec raises whatever its inner calls raise
            self._events.emit(
                Event.LOG_RECORD_INVALID, topic=NODE_TOPIC, key=record.key, error=repr(exc)
            )
            return "", ""
        return node.peer_address, node.zone
