"""Zone digests over UDP: sends those of this zone, and forwards those of others within it."""

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

BACKUP_INTERVAL = 1.0
"""Seconds between digests that also go to a second, random node of each zone, as the node that
should forward them may be gone."""


class ZoneDigests:
    """Exchanges digests with other zones while these have too many nodes for direct reports."""

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
        self._is_reporter = False
        """Whether this node was its zone's reporter at the last check."""
        self._backup_at = float("-inf")
        self.own_report: Callable[[], LoadReport] = lambda: LoadReport("", 0, 0)
        """Returns this node's current load report."""
        self.engine_pace: Callable[[list[str], int], bytes] = lambda names, zones: b""
        """Returns the pace part of a digest.

        Arguments: the peers whose samples are included, and the number of zones that get it.
        """
        self.on_digest: Callable[[ZoneDigest], None] = lambda digest: None
        """Called with each new digest of another zone."""

    def run(self) -> None:
        """Send digests while this node is its zone's reporter; never returns."""
        while True:
            gevent.sleep(CHECK_INTERVAL if self._is_reporter else IDLE_CHECK_INTERVAL)
            self.send_due()

    # Sending

    def send_due(self) -> None:
        """Send a digest to each other zone if this node is the reporter and one is due."""
        zones = self._other_zones()
        now = self._clock.monotonic()
        neighbours = self._peers.neighbours(self._identity.zone)
        is_reporting = uses_digests(sum(map(len, zones.values()))) and self._reporting.is_reporter(
            neighbours, now
        )
        if is_reporting is not self._is_reporter:
            self._is_reporter = is_reporting
            self._events.emit(Event.ZONE_REPORTED, reporter=is_reporting, nodes=len(neighbours) + 1)
        if not is_reporting or not self._reporting.is_due(len(zones), now):
            return
        names = [peer.node_id for peer in neighbours]
        use = self._fleet.use.report_of(names)
        pace = self.engine_pace(names, len(zones))
        parts: dict[int, bytes] = {Extension.ENGINE_PACE: pace} if pace else {}
        packed = self._reporting.build_digest(self.own_report(), neighbours, use, now, parts)
        data = encode_frame(gateway.ZoneDigest(packed=packed), 0)
        backup = now - self._backup_at >= BACKUP_INTERVAL
        if backup:
            self._backup_at = now
        for zone, addresses in zones.items():
            self._send(zone, addresses, data, backup)

    def _other_zones(self) -> dict[str, dict[str, str]]:
        """Return the peer addresses of the nodes, by id, of each other zone."""
        zones: dict[str, dict[str, str]] = {}
        for node_id, (address, zone) in self._nodes().items():
            if zone != self._identity.zone:
                zones.setdefault(zone, {})[node_id] = address
        return zones

    def all_zones_known(self) -> bool:
        """Whether the members of every other zone that has nodes are known."""
        zones = self._peers.zones()
        return all(
            zones[zone].members if zone in zones else self._peers.neighbours(zone)
            for zone in self._other_zones()
        )

    def _send(self, zone: str, addresses: dict[str, str], data: bytes, backup: bool) -> None:
        known = self._peers.zones().get(zone)
        alive = [node_id for node_id in known.members if node_id in addresses] if known else []
        reporter = reporter_of(zone, alive or addresses)
        chosen = {reporter} if reporter is not None else set()
        if backup or not alive:
            chosen.add(self._random.sample(sorted(addresses), 1)[0])
        for node_id in chosen:
            self._transport.send(addresses[node_id], data)

    # Receiving

    def receive(self, msg: gateway.ZoneDigest, address: str) -> None:
        """Handle the digest of another zone; forward it to this zone unless a node has done so."""
        try:
            digest = unpack_digest(msg.packed)
        except ZoneDigestError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))
            return
        if self._merge(digest) and not msg.relayed:
            self._forward(msg.packed)

    def _merge(self, digest: ZoneDigest) -> bool:
        """Merge a digest; return whether it was new."""
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
            self._log_changes(digest, before, set(known.members))
        self._fleet.use.observe(digest.key, digest.engine_use)
        self._fleet.paces.receive(digest.key, digest.extensions.get(Extension.ENGINE_PACE, b""))
        zone = self._peers.zones()[digest.zone]
        self._items.observe_zone(
            digest.key, digest.items_running, zone.order if zone.members_known else ()
        )
        self.on_digest(digest)
        return True

    def _forget_reports(self, zone: str) -> None:
        """Drop the reports that came directly from nodes of a zone, as its digests include them."""
        for peer in self._peers.neighbours(zone):
            self._peers.drop(peer.node_id)
            self._fleet.use.forget(peer.node_id)
            self._fleet.paces.forget(peer.node_id)
            self._items.forget(peer.node_id)

    def _log_changes(self, digest: ZoneDigest, before: set[str], after: set[str]) -> None:
        if before == after:
            return
        self._events.emit(
            Event.ZONE_CHANGED,
            zone=digest.zone,
            reporter=digest.reporter,
            joined=sorted(after - before),
            left=sorted(before - after),
        )

    def _forward(self, packed: bytes) -> None:
        data = encode_frame(gateway.ZoneDigest(packed=packed, relayed=True), 0)
        for node_id, (address, zone) in self._nodes().items():
            if zone == self._identity.zone and node_id != self._identity.node_id:
                self._transport.send(address, data)
