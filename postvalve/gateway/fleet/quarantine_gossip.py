"""Spreads the quarantine, what engines crashed under, among nodes by gossip.

A node sends changes to some peers at once, and each peer for which they are new forwards them, so
all nodes know them within a few hops. As datagrams get lost, each node also sends what it knows to
a few peers once a second. Neither costs anything while the quarantine is empty. A node that starts,
or that was suspended, asks peers for their quarantine before it takes requests. What is held back
is also saved in the store, in case all nodes of the fleet are lost at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import milliseconds
from postvalve.core.admission.part_quarantine import PartQuarantine
from postvalve.core.admission.quarantine import Quarantine
from postvalve.events import Event
from postvalve.exceptions import PeerUnavailableError
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.fleet.quarantine_tables import (
    Packed,
    PartTable,
    QuarantineTable,
    RequestTable,
)
from postvalve.gateway.interfaces import KeyedRecord, KeyedTopics, StoreUnavailableError
from postvalve.log_output import LineBudget
from postvalve.messages.framing import FrameError, encode_frame, parse_message
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel

QUARANTINE_TOPIC = "quarantine"
COLLECT_TIME = 0.05
"""Seconds for which changes are collected: an engine that crashes under a dozen requests causes
one datagram."""
GOSSIP_FANOUT = 8
"""Peers that get changes at once; three hops reach 380 nodes."""
ROUND_INTERVAL = 1.0
"""Seconds between gossip rounds, in which a node sends what it knows again."""
ROUND_PEERS = 3
"""Peers to which a node sends in each round, so that it receives from three on average."""
ROUND_DATAGRAMS = 2
"""Most datagrams for each peer in a round, requests with the most crashed engines first. With three
peers this is 7 KB/s at most."""
DATAGRAM_BYTES = 1_200
"""Largest datagram in bytes, small enough not to be fragmented."""
CHANGE_DATAGRAMS = 1
"""Most datagrams of changes for each peer at once, requests with the most crashed engines first;
the rounds carry the rest. This bounds the cost at 200 KB/s for each node while a whole zone is
lost with all its engines."""
LEARN_TIMEOUT = 1.0
"""Seconds for which a starting node waits for the quarantine of its peers and the store."""
PEERS_ASKED = 2
"""Peers asked at the same time, so that a suspended one causes no delay."""
STORE_INTERVAL = 1.0
"""Seconds between reads of the store by a node with fewer peers than before: in a network
partition both sides may still reach the store."""
PARTITION_SHARE = 0.75
"""Share of the earlier peers below which a node assumes a partition. The loss of a single node
must not make all others read the store, as that cost would grow with the square of the fleet."""
PARTITION_TIME = 60.0
"""Seconds for which a node then reads the store; after that the missing peers count as gone."""
STALL_THRESHOLD = 2.0
"""Seconds between two checks from which this node must have been suspended; an idle node checks
about once a second."""
LEARNT_LINES_PER_SECOND, LEARNT_BURST = 2.0, 20.0
"""Lines on requests learnt from others, each second and at once. While many engines crash, each
node learns of hundreds of requests, most of them innocent."""


Entry = tuple[QuarantineTable, bytes]
"""A digest, and the table that has it."""


class QuarantineGossip:
    """One node's exchange of its quarantine with peers and the store."""

    def __init__(
        self,
        services: PeerServices,
        topics: KeyedTopics,
        quarantine: Quarantine,
        parts: PartQuarantine,
    ) -> None:
        self._services = services
        self._clock = services.clock
        self._events = services.events
        self._topics = topics
        requests, prompt_parts = RequestTable(quarantine), PartTable(parts)
        self._tables: tuple[QuarantineTable, ...] = (requests, prompt_parts)
        self._changes: set[Entry] = set()
        self._saved: dict[Entry, int] = {}
        """Entries saved in the store, with what it knows of them, see `QuarantineTable.lasting`."""
        self._removed: set[Entry] = set()
        """Expired entries that this node has removed from the store."""
        self._learnt_lines = LineBudget(
            self._clock.monotonic, LEARNT_LINES_PER_SECOND, LEARNT_BURST
        )
        self._learnt_lines_left_out = 0
        self._round_at = float("-inf")
        self._changed = GeventEvent()
        self._checked_at = self._read_at = self._clock.monotonic()
        self._most_peers, self._most_peers_at = 0, self._checked_at
        self._peers_known = GeventEvent()
        self.learned = GeventEvent()
        """Set once this node has learned the quarantine of others, or the wait has timed out."""
        self.on_learned: Callable[[], None] = lambda: None
        """Called after `learned` was set."""
        quarantine.on_change = lambda digest: self._record_change(requests, digest)
        parts.on_change = lambda digest: self._record_change(prompt_parts, digest)

    # Sending

    def run(self) -> None:
        """Send changes and rounds; never returns."""
        while True:
            if self._changed.wait(ROUND_INTERVAL if self._known() else None):
                gevent.sleep(COLLECT_TIME)
                self._changed.clear()
                self._send_changes()
            now = self._clock.monotonic()
            if now - self._round_at >= ROUND_INTERVAL:
                self._round_at = now
                self._send_records(self._known(), ROUND_PEERS, ROUND_DATAGRAMS)
                self._expire(now)
                for entry in self._known():
                    self._save(entry)

    def _known(self) -> list[Entry]:
        return [(table, digest) for table in self._tables for digest in table.digests()]

    def _record_change(self, table: QuarantineTable, digest: bytes) -> None:
        self._changes.add((table, digest))
        self._changed.set()

    def _send_changes(self) -> None:
        changes, self._changes = self._changes, set()
        self._send_records(changes, GOSSIP_FANOUT, CHANGE_DATAGRAMS)
        for entry in changes:
            self._save(entry)

    def _send_records(self, entries: Iterable[Entry], peers: int, datagrams: int) -> None:
        addresses = self._random_peers(peers)
        if not addresses:
            return
        for message in self._messages(entries)[:datagrams]:
            data = encode_frame(message, 0)
            for address in addresses:
                self._services.transport.send(address, data)

    def _random_peers(self, count: int) -> list[str]:
        reporting = [peer.report.peer_address for peer in self._services.peers.all()]
        # A starting node has received no report yet, but knows the announced nodes.
        addresses = reporting or [address for address, _ in self._services.known_nodes().values()]
        return sorted(addresses, key=lambda address: self._random_rank())[:count]

    def _random_rank(self) -> float:
        return self._services.generator.uniform(0, 1)

    def _messages(self, entries: Iterable[Entry]) -> list[gateway.QuarantineNews]:
        """Pack what is known of these entries into messages that fit into datagrams."""
        now = self._clock.monotonic()
        # In random order among equals, as not all of them may fit.
        ranked = sorted(entries, key=lambda one: (-one[0].importance(one[1]), self._random_rank()))
        messages: list[gateway.QuarantineNews] = []
        space_left = 0
        for table, digest in ranked:
            packed = table.pack(digest, now)
            if packed is None:
                continue
            size = len(bytes(packed)) + 4
            if size > space_left:
                messages.append(gateway.QuarantineNews(requests=[], parts=[]))
                space_left = DATAGRAM_BYTES
            table.add(messages[-1], packed)
            space_left -= size
        return messages

    # Receiving

    def receive(self, message: gateway.QuarantineNews, peer: str) -> None:
        """Merge what a peer sent."""
        now = self._clock.monotonic()
        for table in self._tables:
            for received in table.packed_in(message):
                self._merge(table, received, now, peer)

    def reply(self) -> gateway.QuarantineNews:
        """Return the whole quarantine, for a peer that asks for it."""
        now = self._clock.monotonic()
        news = gateway.QuarantineNews(requests=[], parts=[])
        for table, digest in self._known():
            table.add(news, table.pack(digest, now))
        return news

    def _merge(self, table: QuarantineTable, packed: Packed, packed_at: float, source: str) -> None:
        if table.merge(packed, packed_at, self._clock.monotonic()):
            self._log_learnt(table, packed.digest, source)

    def _log_learnt(self, table: QuarantineTable, digest: bytes, source: str) -> None:
        if not self._learnt_lines.take():
            self._learnt_lines_left_out += 1
            return
        others, self._learnt_lines_left_out = self._learnt_lines_left_out, 0
        self._events.emit(
            table.learnt_event,
            digest=digest.hex(),
            source=source,
            others=others,
            **table.fields(digest, self._clock.monotonic()),
        )

    # Learning

    def on_peers_known(self) -> None:
        """Signal that the addresses of other nodes are known."""
        self._peers_known.set()

    def learn(self) -> None:
        """Learn the quarantine from the store and from peers at the start of this node."""
        asked = [gevent.spawn(self._read_store), gevent.spawn(self._ask_known_peers)]
        gevent.joinall(asked, timeout=LEARN_TIMEOUT)
        self.learned.set()
        self.on_learned()

    def _ask_known_peers(self) -> None:
        self._peers_known.wait(LEARN_TIMEOUT)
        self._ask_peers()

    def check_connectivity(self) -> None:
        """Detect a suspension of this node, or a partition, and learn the quarantine again.

        Called a few times a second.
        """
        now = self._clock.monotonic()
        was_suspended = now - self._checked_at > STALL_THRESHOLD
        self._checked_at = now
        if was_suspended and self.learned.is_set():
            gevent.spawn(self._ask_peers)
        if self._is_partitioned(now) and now - self._read_at >= STORE_INTERVAL:
            self._read_at = now
            gevent.spawn(self._read_store)

    def _is_partitioned(self, now: float) -> bool:
        """Whether this node has far fewer peers than in the last `PARTITION_TIME` seconds."""
        count = self._services.peers.count()
        if count >= self._most_peers or now - self._most_peers_at > PARTITION_TIME:
            self._most_peers, self._most_peers_at = count, now
        return count < self._most_peers * PARTITION_SHARE

    def _ask_peers(self) -> None:
        addresses = self._random_peers(PEERS_ASKED)
        asked = [gevent.spawn(self._ask, address) for address in addresses]
        gevent.joinall(asked, timeout=LEARN_TIMEOUT, count=1)

    def _ask(self, address: str) -> None:
        fetch = gateway.QuarantineFetch(node_id=self._services.identity.node_id)
        try:
            reply = self._services.transport.call(address, Channel.ADMISSION, fetch, LEARN_TIMEOUT)
        except PeerUnavailableError as exc:
            self._events.emit(Event.QUARANTINE_NOT_LEARNT, source=address, error=exc.message)
            return
        if isinstance(reply, gateway.QuarantineNews):
            self.receive(reply, address)

    # The store

    def _read_store(self) -> None:
        try:
            records, _ = self._topics.newest(QUARANTINE_TOPIC, 0)
        except StoreUnavailableError as exc:
            self._events.emit(Event.QUARANTINE_NOT_LEARNT, source="store", error=exc.message)
            return
        for record in records.records:
            self._load_record(record)

    def _load_record(self, record: KeyedRecord) -> None:
        if not record.value:
            return
        try:
            saved = parse_message(gateway.QuarantineRecord, record.value)
        except FrameError as exc:
            self._events.emit(
                Event.LOG_RECORD_INVALID, topic=QUARANTINE_TOPIC, key=record.key, error=repr(exc)
            )
            return
        assert isinstance(saved, gateway.QuarantineRecord)
        now = self._clock.monotonic()
        packed_at = now - max(0, milliseconds(self._clock.wall()) - saved.written_at_ms) / 1000
        for table in self._tables:
            packed = table.packed_of(saved)
            if packed is None:
                continue
            entry = (table, packed.digest)
            stored = table.stored(packed, packed_at, now)
            if stored is None:
                self._remove_once(entry)
            else:
                self._saved[entry] = stored
                self._merge(table, packed, packed_at, "store")

    def _save(self, entry: Entry) -> None:
        """Save an entry in the store while it is held back; otherwise remove it from there."""
        table, digest = entry
        lasting = table.lasting(digest)
        if lasting is None or lasting == self._saved.get(entry, 0) or not self._is_saver(digest):
            return
        if not lasting:
            self._remove(entry)
            return
        self._saved[entry] = lasting
        packed = table.pack(digest, self._clock.monotonic())
        record = table.record(packed, milliseconds(self._clock.wall()))
        gevent.spawn(self._append, entry, bytes(record))

    def _expire(self, now: float) -> None:
        for table in self._tables:
            for digest in table.expire(now):
                if self._is_saver(digest):
                    self._remove((table, digest))

    def _is_saver(self, digest: bytes) -> bool:
        """Whether this node is the one that saves an entry in the store."""
        node_id = self._services.identity.node_id
        return self._services.peers.successor(digest.hex(), include_self=True) == node_id

    def _remove_once(self, entry: Entry) -> None:
        """Remove an expired entry from the store, unless this node has done so already."""
        if entry not in self._removed:
            self._removed.add(entry)
            self._remove(entry)

    def _remove(self, entry: Entry) -> None:
        self._saved.pop(entry, None)
        gevent.spawn(self._append, entry, b"")

    def _append(self, entry: Entry, value: bytes) -> None:
        table, digest = entry
        try:
            self._topics.append(QUARANTINE_TOPIC, 0, [KeyedRecord(table.record_key(digest), value)])
        except StoreUnavailableError as exc:
            # The next round saves it again.
            self._saved.pop(entry, None)
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, topic=QUARANTINE_TOPIC)
