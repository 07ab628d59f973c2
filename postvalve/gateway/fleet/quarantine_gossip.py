"""Tells peers, and the store, of requests under which engines ended.

News goes to some peers at once, and from each that it is news to on to others, so all hear of it
within a few rounds. Once a second each node tells a few peers again what it knows, as datagrams get
lost. Both cost nothing while nothing is known. A node that starts, or that has stood still, asks a
peer before it takes requests. What is held back is kept in the store too, for a fleet of which
every node was lost at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import milliseconds
from postvalve.core.admission.quarantine import (
    HOLD_AFTER,
    EngineFailure,
    FailureId,
    Quarantine,
    QuarantineEntry,
)
from postvalve.core.membership.engine_life import EngineLife
from postvalve.events import Event
from postvalve.exceptions import PeerUnavailableError
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.interfaces import KeyedRecord, KeyedTopics, StoreUnavailableError
from postvalve.messages.framing import encode_frame
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel

QUARANTINE_TOPIC = "quarantine"
GATHER_TIME = 0.05
"""Seconds in which news gathers: an engine that ends under a dozen requests is one datagram."""
FANOUT = 8
"""Peers that get news at once; three rounds of so many reach 380 nodes."""
ROUND_INTERVAL = 1.0
"""Seconds between rounds in which what is known is told again."""
ROUND_PEERS = 3
"""Peers that are told in a round; each node is so told by three others a second in the mean."""
ROUND_DATAGRAMS = 2
"""Datagrams of a round, those of the most engines first: 7 KB/s at the most with three peers."""
DATAGRAM_BYTES = 1_200
"""Of one datagram, so that it goes in one piece."""
NEWS_DATAGRAMS = 1
"""Datagrams of news at once, of the requests with the most engines; rounds bring the rest. So a
zone that is lost with all its engines costs a node 200 KB/s at the most, while it ends."""
LEARN_TIMEOUT = 1.0
"""Seconds that a node which starts waits for what its peers and the store know."""
LEARN_PEERS = 2
"""Peers that are asked at once, so that one which stands still delays nobody."""
STORE_INTERVAL = 1.0
"""Seconds between reads of the store by a node that hears fewer peers than a while ago: where it is
cut off from them, the store is what both sides reach."""
CUT_SHARE = 0.75
"""Share of those peers below which it counts as cut off. One node that ends is no cut: that all
others read the store for it would grow with the square of the fleet."""
CUT_TIME = 60.0
"""Seconds for which it reads the store then; after that the others count as gone."""
STALL_THRESHOLD = 2.0
"""Seconds between two looks after which this node must have stood still; an idle node looks about
once a second."""


class QuarantineGossip:
    """One node's telling and hearing."""

    def __init__(self, services: PeerServices, topics: KeyedTopics, quarantine: Quarantine) -> None:
        self._services = services
        self._clock = services.clock
        self._events = services.events
        self._topics = topics
        self._quarantine = quarantine
        self._news: set[bytes] = set()
        self._saved: dict[bytes, int] = {}
        """Requests that this node has told the store of, and the number of engines told."""
        self._over: set[bytes] = set()
        """Requests that the store kept too long, dropped by this node."""
        self._round_at = float("-inf")
        self._changed = GeventEvent()
        self._looked_at = self._read_at = self._clock.monotonic()
        self._most_peers, self._most_peers_at = 0, self._looked_at
        self._peers_known = GeventEvent()
        self.learned = GeventEvent()
        """Set once this node knows what others know, or has waited for it long enough."""
        self.on_learned: Callable[[], None] = lambda: None
        quarantine.on_change = self._note_change

    # Telling

    def run(self) -> None:
        """Tell for ever."""
        while True:
            if self._changed.wait(ROUND_INTERVAL if len(self._quarantine) else None):
                gevent.sleep(GATHER_TIME)
                self._changed.clear()
                self._tell_news()
            now = self._clock.monotonic()
            if now - self._round_at >= ROUND_INTERVAL:
                self._round_at = now
                self._tell(self._quarantine.digests(), ROUND_PEERS, ROUND_DATAGRAMS)
                self._expire(now)
                for digest in self._quarantine.digests():
                    self._keep_in_store(digest)

    def _note_change(self, digest: bytes) -> None:
        self._news.add(digest)
        self._changed.set()

    def _tell_news(self) -> None:
        news, self._news = self._news, set()
        self._tell(news, FANOUT, NEWS_DATAGRAMS)
        for digest in news:
            self._keep_in_store(digest)

    def _tell(self, digests: Iterable[bytes], peers: int, datagrams: int) -> None:
        addresses = self._some_peers(peers)
        if not addresses:
            return
        for message in self._messages(digests)[:datagrams]:
            data = encode_frame(message, 0)
            for address in addresses:
                self._services.transport.send(address, data)

    def _some_peers(self, count: int) -> list[str]:
        heard = [peer.report.peer_address for peer in self._services.peers.all()]
        # A node that starts has heard nobody yet, and knows who has announced itself.
        addresses = heard or [address for address, _ in self._services.known_nodes().values()]
        return sorted(addresses, key=lambda address: self._draw())[:count]

    def _draw(self) -> float:
        return self._services.generator.uniform(0, 1)

    def _messages(self, digests: Iterable[bytes]) -> list[gateway.QuarantineNews]:
        """What is known of these requests, in messages that fit into datagrams."""
        now = self._clock.monotonic()
        known = [(one, entry) for one in digests if (entry := self._quarantine.entry(one))]
        # Those of equal weight in turns: not all of them may fit.
        known.sort(key=lambda one: (-len(one[1].engines()), self._draw()))
        messages: list[gateway.QuarantineNews] = []
        room = 0
        for digest, entry in known:
            packed = _pack(digest, entry, now)
            size = len(bytes(packed)) + 4
            if size > room:
                messages.append(gateway.QuarantineNews(requests=[]))
                room = DATAGRAM_BYTES
            messages[-1].requests.append(packed)
            room -= size
        return messages

    # Hearing

    def receive(self, message: gateway.QuarantineNews, peer: str) -> None:
        """Take in what a peer knows."""
        now = self._clock.monotonic()
        for told in message.requests:
            self._merge(told.digest, _unpack(told, now), peer)

    def reply(self) -> gateway.QuarantineNews:
        """What a peer that asks gets."""
        now = self._clock.monotonic()
        known = [(one, self._quarantine.entry(one)) for one in self._quarantine.digests()]
        return gateway.QuarantineNews(
            requests=[_pack(digest, entry, now) for digest, entry in known if entry]
        )

    def _merge(self, digest: bytes, told: QuarantineEntry, source: str) -> None:
        if not self._quarantine.merge(digest, told, self._clock.monotonic()):
            return
        summary = self._quarantine.summary(digest, self._clock.monotonic())
        self._events.emit(
            Event.QUARANTINE_LEARNT, digest=digest.hex(), source=source, **summary.fields()
        )

    # Learning

    def on_peers_known(self) -> None:
        """Other nodes are known."""
        self._peers_known.set()

    def learn(self) -> None:
        """Ask the store and peers what they know, as this node starts."""
        asked = [gevent.spawn(self._read_store), gevent.spawn(self._ask_known_peers)]
        gevent.joinall(asked, timeout=LEARN_TIMEOUT)
        self.learned.set()
        self.on_learned()

    def _ask_known_peers(self) -> None:
        self._peers_known.wait(LEARN_TIMEOUT)
        self._ask_peers()

    def check_connectivity(self) -> None:
        """Called some times a second: see whether this node has stood still."""
        now = self._clock.monotonic()
        stood_still = now - self._looked_at > STALL_THRESHOLD
        self._looked_at = now
        if stood_still and self.learned.is_set():
            gevent.spawn(self._ask_peers)
        if self._lacks_peers(now) and now - self._read_at >= STORE_INTERVAL:
            self._read_at = now
            gevent.spawn(self._read_store)

    def _lacks_peers(self, now: float) -> bool:
        """Whether this node heard many more peers lately than it hears now."""
        heard = self._services.peers.count()
        if heard >= self._most_peers or now - self._most_peers_at > CUT_TIME:
            self._most_peers, self._most_peers_at = heard, now
        return heard < self._most_peers * CUT_SHARE

    def _ask_peers(self) -> None:
        addresses = self._some_peers(LEARN_PEERS)
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
            self._take_record(record)

    def _take_record(self, record: KeyedRecord) -> None:
        if not record.value:
            return
        try:
            saved = gateway.QuarantineRecord().parse(record.value)
        except Exception as exc:  # the codec raises whatever its inner calls raise
            self._events.emit(
                Event.LOG_RECORD_INVALID, topic=QUARANTINE_TOPIC, key=record.key, error=repr(exc)
            )
            return
        since = max(0, milliseconds(self._clock.wall()) - saved.written_at_ms) / 1000
        told = _unpack(saved.request, self._clock.monotonic() - since)
        if told.expires_at() <= self._clock.monotonic():
            self._drop_once(saved.request.digest)
        else:
            self._saved[saved.request.digest] = len(told.engines())
            self._merge(saved.request.digest, told, "store")

    def _keep_in_store(self, digest: bytes) -> None:
        """Let the store know of a request that is held back, or that is not any more."""
        entry = self._quarantine.entry(digest)
        if entry is None or not self._keeps(digest):
            return
        ends = len(entry.engines())
        if entry.on_trial or ends == self._saved.get(digest, 0):
            return
        if ends >= HOLD_AFTER:
            self._saved[digest] = ends
            packed = gateway.QuarantineRecord(
                request=_pack(digest, entry, self._clock.monotonic()),
                written_at_ms=milliseconds(self._clock.wall()),
            )
            gevent.spawn(self._append, digest, bytes(packed))
        elif digest in self._saved:
            self._drop(digest)

    def _expire(self, now: float) -> None:
        for digest, entry in self._quarantine.expire(now):
            if len(entry.engines()) >= HOLD_AFTER and self._keeps(digest):
                self._drop(digest)

    def _keeps(self, digest: bytes) -> bool:
        """Whether it is this node that tells the store of a request; one does."""
        node_id = self._services.identity.node_id
        return self._services.peers.successor(digest.hex(), self_works=True) == node_id

    def _drop_once(self, digest: bytes) -> None:
        """Drop what the store still keeps of a request whose time was over at this node's start."""
        if digest not in self._over:
            self._over.add(digest)
            self._drop(digest)

    def _drop(self, digest: bytes) -> None:
        self._saved.pop(digest, None)
        gevent.spawn(self._append, digest, b"")

    def _append(self, digest: bytes, value: bytes) -> None:
        try:
            self._topics.append(QUARANTINE_TOPIC, 0, [KeyedRecord(digest.hex(), value)])
        except StoreUnavailableError as exc:
            # The next round tells it again.
            self._saved.pop(digest, None)
            self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, topic=QUARANTINE_TOPIC)


def _pack(digest: bytes, entry: QuarantineEntry, now: float) -> gateway.SuspectRequest:
    return gateway.SuspectRequest(
        digest=digest,
        ends=[
            gateway.EngineEnd(
                engine=name.engine,
                stamp=name.stamp,
                age_ms=milliseconds(max(0.0, now - failure.ended_at)),
                trial=failure.trial,
                excused=failure.excused,
                variant=failure.variant,
            )
            for name, failure in entry.failures.items()
        ],
    )


def _unpack(told: gateway.SuspectRequest, now: float) -> QuarantineEntry:
    return QuarantineEntry(
        {
            FailureId(EngineLife(end.engine), end.stamp): EngineFailure(
                now - end.age_ms / 1000, end.variant, end.trial, end.excused
            )
            for end in told.ends
        }
    )
