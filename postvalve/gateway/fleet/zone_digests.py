"""Digests of zones over UDP: makes those of this zone, and passes on those of others."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from postvalve.core.batch.preemption import PeerRunningItems
from postvalve.core.membership.extensions import Extension
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.zone_digest import ZoneDigest, ZoneDigestError, unpack_digest
from postvalve.core.membership.zone_reporting import (
    CHECK_INTERVAL,
    IDLE_CHECK_INTERVAL,
    ZoneReporting,
    reporter_of,
    uses_digests,
)
from postvalve.events import Event
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.messages.framing import encode_frame
from postvalve.messages.generated import gateway

SPARE_INTERVAL = 1.0
"""Seconds between digests that go to one more node of a zone, drawn by chance: the one that should
pass them on may be gone."""


class ZoneDigests:
    """Tells other zones of this one while they have many nodes, and this one of them."""

    def __init__(self, services: PeerServices, items: PeerRunningItems) -> None:
        self._identity = identity = services.identity
        self._clock = clock = services.clock
        self._events = services.events
        self._transport = services.transport
        self._fleet = services.fleet
        self._peers = services.peers
        self._nodes = services.known_nodes
        self._random = services.generator
        self._items = items
        self._reporting = ZoneReporting(
            identity.node_id, identity.zone, identity.incarnation, clock.monotonic()
        )
        self._reports = False
        """Whether this node was its zone's reporter at the last look."""
        self._spare_at = float("-inf")
        self.own_report: Callable[[], LoadReport] = lambda: LoadReport("", 0, 0)
        self.engine_pace: Callable[[list[str], int], bytes] = lambda names, zones: b""
        """Gives what this node and some of its peers have seen of engines' pace, for so many zones.
        """
        self.on_digest: Callable[[ZoneDigest], None] = lambda digest: None

    def run(self) -> None:
        """Tell and pass on for ever."""
        while True:
            gevent.sleep(CHECK_INTERVAL if self._reports else IDLE_CHECK_INTERVAL)
            self.send_due()

    # Telling

    def send_due(self) -> None:
        """Tell each other zone of this one, if that is this node's task, and it is time."""
        zones = self._other_zones()
        now = self._clock.monotonic()
        neighbours = self._peers.neighbours(self._identity.zone)
        reports = uses_digests(sum(map(len, zones.values()))) and self._reporting.is_reporter(
            neighbours, now
        )
        if reports is not self._reports:
            self._reports = reports
            self._events.emit(Event.ZONE_REPORTED, reporter=reports, nodes=len(neighbours) + 1)
        if not reports or not self._reporting.is_due(len(zones), now):
            return
        names = [peer.node_id for peer in neighbours]
        use = self._fleet.use.report_of(names)
        pace = self.engine_pace(names, len(zones))
        told: dict[int, bytes] = {Extension.ENGINE_PACE: pace} if pace else {}
        packed = self._reporting.build_digest(self.own_report(), neighbours, use, now, told)
        data = encode_frame(gateway.ZoneDigest(packed=packed), 0)
        spare = now - self._spare_at >= SPARE_INTERVAL
        if spare:
            self._spare_at = now
        for zone, addresses in zones.items():
            self._send(zone, addresses, data, spare)

    def _other_zones(self) -> dict[str, dict[str, str]]:
        """Peer address of each node by id, for each other zone."""
        zones: dict[str, dict[str, str]] = {}
        for node_id, (address, zone) in self._nodes().items():
            if zone != self._identity.zone:
                zones.setdefault(zone, {})[node_id] = address
        return zones

    def all_zones_known(self) -> bool:
        """Whether it is known of every zone with other nodes who lives there."""
        zones = self._peers.zones()
        return all(
            zones[zone].members if zone in zones else self._peers.neighbours(zone)
            for zone in self._other_zones()
        )

    def _send(self, zone: str, addresses: dict[str, str], data: bytes, spare: bool) -> None:
        known = self._peers.zones().get(zone)
        alive = [node_id for node_id in known.members if node_id in addresses] if known else []
        reporter = reporter_of(zone, alive or addresses)
        chosen = {reporter} if reporter is not None else set()
        if spare or not alive:
            chosen.add(self._random.sample(sorted(addresses), 1)[0])
        for node_id in chosen:
            self._transport.send(addresses[node_id], data)

    # Hearing

    def receive(self, msg: gateway.ZoneDigest, address: str) -> None:
        """Take the digest of another zone, and pass it on to the neighbours if nobody has."""
        try:
            digest = unpack_digest(msg.packed)
        except ZoneDigestError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))
            return
        if self._take(digest) and not msg.relayed:
            self._pass_on(msg.packed)

    def _take(self, digest: ZoneDigest) -> bool:
        """Take a digest in; returns whether it is news."""
        if digest.zone == self._identity.zone:
            return False
        known = self._peers.zones().get(digest.zone)
        before = set(known.members) if known else set()
        if not self._peers.observe_zone(digest, self._clock.monotonic()):
            return False
        if known is None:
            self._events.emit(
                Event.ZONE_HEARD, zone=digest.zone, reporter=digest.reporter, nodes=digest.size
            )
            self._forget_reports(digest.zone)
        elif digest.members is not None:
            self._note_changes(digest, before, set(known.members))
        self._fleet.use.observe(digest.key, digest.engine_use)
        self._fleet.paces.receive(digest.key, digest.extensions.get(Extension.ENGINE_PACE, b""))
        zone = self._peers.zones()[digest.zone]
        self._items.observe_zone(
            digest.key, digest.items_running, zone.order if zone.members_known else ()
        )
        self.on_digest(digest)
        return True

    def _forget_reports(self, zone: str) -> None:
        """Drop what nodes of a zone have told themselves: its digests hold that too."""
        for peer in self._peers.neighbours(zone):
            self._peers.drop(peer.node_id)
            self._fleet.use.forget(peer.node_id)
            self._fleet.paces.forget(peer.node_id)
            self._items.forget(peer.node_id)

    def _note_changes(self, digest: ZoneDigest, before: set[str], after: set[str]) -> None:
        if before == after:
            return
        self._events.emit(
            Event.ZONE_CHANGED,
            zone=digest.zone,
            reporter=digest.reporter,
            joined=sorted(after - before),
            left=sorted(before - after),
        )

    def _pass_on(self, packed: bytes) -> None:
        data = encode_frame(gateway.ZoneDigest(packed=packed, relayed=True), 0)
        for node_id, (address, zone) in self._nodes().items():
            if zone == self._identity.zone and node_id != self._identity.node_id:
                self._transport.send(address, data)
