"""Other gateways, as their load reports and the digests of other zones tell."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from postvalve.core.batch.item_order import decode_groups
from postvalve.core.membership.extensions import Extension, Feature, features_of
from postvalve.core.membership.feature_gate import FeatureGate
from postvalve.core.membership.load_report import LoadReport, RunningItem
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.zone_digest import ZONE_PREFIX, ZoneDigest, ZoneMember

SILENT_AFTER = 2.0
"""Seconds without a report after which a node counts as gone."""
ZONE_SILENT_AFTER = 4.0
"""Seconds without a digest after which all nodes of a zone count as gone: when its reporter is
lost, another one must first find that out, after `SILENT_AFTER`."""
REPORTER_SILENT_AFTER = 1.2
"""Seconds without a digest after which another reporter of that zone counts whatever it knows."""
STALL_THRESHOLD = 1.0
"""Seconds between two looks after which this node itself must have stood still."""
STORE_SILENT_AFTER = 4.0
"""Seconds without the store after which a node's jobs are better worked on elsewhere."""


@dataclass(slots=True)
class Peer:
    """Another node's last report, or what its zone's digest tells of it."""

    report: LoadReport
    heard_at: float
    waiting: list[tuple[int, int]]
    """Urgencies and numbers of the items that wait there; empty where a digest sums them up."""

    @property
    def node_id(self) -> str:
        """Its id."""
        return self.report.node_id

    @property
    def can_run_jobs(self) -> bool:
        """Whether it can work on jobs."""
        report = self.report
        return not report.leaving and report.log_silence_ms < STORE_SILENT_AFTER * 1000


@dataclass(slots=True)
class RemoteZone:
    """Another zone, by its last digest."""

    digest: ZoneDigest
    heard_at: float
    waiting: list[tuple[int, int]] = field(default_factory=list)
    members_version: int = 0
    """Of the list that the members were taken from; 0 before the first."""
    members: dict[str, Peer] = field(default_factory=dict)
    order: tuple[str, ...] = ()
    """Ids of all nodes of that list, in its order."""

    @property
    def members_known(self) -> bool:
        """Whether the list of members is the one that the last digest speaks of."""
        return self.members_version == self.digest.members_version


@dataclass(frozen=True, slots=True)
class SilentPeers:
    """Who was not heard for too long."""

    nodes: list[str] = field(default_factory=list)
    """Ids of the nodes that reported themselves."""
    zones: list[str] = field(default_factory=list)
    """Names of the zones that were known by digests."""


class PeerView:
    """Peers by node id.

    A zone is known by its nodes' own reports or by its digests, never by both: while its digests
    come, the reports of its nodes are passed over.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        """This node's own id."""
        self._peers: dict[str, Peer] = {}
        self._zones: dict[str, RemoteZone] = {}
        self._leaving: set[str] = set()
        """Peers that reported themselves as leaving."""
        self._looked_at: float | None = None
        self.gate = FeatureGate()
        """Which matters that take all nodes are in use."""

    def observe(self, report: LoadReport, now: float) -> bool:
        """Take a report in; returns whether it is newer than what was known."""
        if report.node_id == self.node_id or report.zone in self._zones:
            return False
        known = self._peers.get(report.node_id)
        if known is not None and not _is_newer(report, known.report):
            return False
        waiting = decode_groups(report.items_waiting)
        self._peers[report.node_id] = Peer(report, now, waiting)
        (self._leaving.add if report.leaving else self._leaving.discard)(report.node_id)
        self.gate.restrict(features_of(report.extensions))
        return True

    def observe_zone(self, digest: ZoneDigest, now: float) -> bool:
        """Take a zone's digest in; returns whether it is newer than what was known."""
        zone = self._zones.get(digest.zone)
        if zone is not None and not _supersedes(digest, zone, now):
            return False
        if zone is None:
            zone = self._zones[digest.zone] = RemoteZone(digest, now)
        zone.digest, zone.heard_at = digest, now
        zone.waiting = decode_groups(digest.items_waiting)
        if digest.members is not None and digest.members_version != zone.members_version:
            zone.members_version = digest.members_version
            zone.order = tuple(member.node_id for member in digest.members)
            zone.members = {
                member.node_id: _member_peer(digest, member, now)
                for member in digest.members
                if member.node_id != self.node_id
            }
        for peer in zone.members.values():
            peer.heard_at = now
        self.gate.restrict(features_of(digest.extensions))
        return True

    def drop(self, node_id: str) -> None:
        """Forget what a node reported itself."""
        self._peers.pop(node_id, None)
        self._leaving.discard(node_id)

    def expire(self, now: float) -> SilentPeers:
        """Drop silent peers and zones; returns them. Called a few times a second.

        A node that stood still has heard nobody, which says nothing of the others: they get
        their time anew.
        """
        if self._looked_at is not None and now - self._looked_at > STALL_THRESHOLD:
            for peer in self._peers.values():
                peer.heard_at = now
            for zone in self._zones.values():
                zone.heard_at = now
        self._looked_at = now
        nodes = [
            node_id for node_id, peer in self._peers.items() if now - peer.heard_at > SILENT_AFTER
        ]
        for node_id in nodes:
            self.drop(node_id)
        zones = [
            name for name, far in self._zones.items() if now - far.heard_at > ZONE_SILENT_AFTER
        ]
        for name in zones:
            del self._zones[name]
        self.gate.update(self.common_features(), now)
        return SilentPeers(nodes, zones)

    def all(self) -> list[Peer]:
        """Peers that were heard, or told of, a moment ago."""
        found = list(self._peers.values())
        for zone in self._zones.values():
            found += zone.members.values()
        return found

    def count(self) -> int:
        """Number of these."""
        return len(self._peers) + sum(len(zone.members) for zone in self._zones.values())

    def features(self) -> Feature:
        """What takes all nodes and is in use: see `core/membership/feature_gate`."""
        return self.gate.enabled

    def common_features(self) -> Feature:
        """What all that are heard can do: a zone's digest tells what all its nodes can.

        Of a zone whose digests come, the newest one counts, also where its members are those that
        an earlier one listed: an older build may have taken a machine's place.
        """
        common = self.gate.own
        for _, features in self.peer_features():
            common &= features
        return common

    def peer_features(self) -> Iterator[tuple[str, Feature]]:
        """What each node that reports itself, and each zone that is known by digests, can do."""
        for peer in self._peers.values():
            yield peer.node_id, features_of(peer.report.extensions)
        for name, zone in self._zones.items():
            yield ZONE_PREFIX + name, features_of(zone.digest.extensions)

    def extension_parts(self, number: Extension) -> list[bytes]:
        """What nodes and zones tell in a part beyond the fixed layout, of those that tell it."""
        told = [one.report.extensions for one in self._peers.values()]
        told += [one.digest.extensions for one in self._zones.values()]
        return [parts[number] for parts in told if number in parts]

    def neighbours(self, zone: str) -> list[Peer]:
        """Peers of a zone that report themselves."""
        return [one for one in self._peers.values() if one.report.zone == zone]

    def zones(self) -> dict[str, RemoteZone]:
        """Zones that are known by digests, by name."""
        return self._zones

    def get(self, node_id: str) -> Peer | None:
        """One peer."""
        found = self._peers.get(node_id)
        if found is None:
            for zone in self._zones.values():
                found = found or zone.members.get(node_id)
        return found

    def reports_directly(self, node_id: str) -> bool:
        """Whether a node is known by its own reports, and so this one by its own there."""
        return node_id in self._peers

    def can_run_jobs(self, node_id: str, incarnation: int) -> bool:
        """Whether that life of a node can work on its jobs."""
        peer = self.get(node_id)
        return peer is not None and peer.report.incarnation == incarnation and peer.can_run_jobs

    def successor(self, job_id: str, *, self_works: bool) -> str | None:
        """The node that takes a job over; alike at all nodes with the same view."""
        candidates = [peer.node_id for peer in self.all() if peer.can_run_jobs]
        if self_works:
            candidates.append(self.node_id)
        return preferred_owner(job_id, candidates)

    def running_on_leaving_peers(self) -> set[tuple[str, int]]:
        """Job and index of the items that leaving peers still run."""
        running: list[RunningItem] = []
        for node_id in self._leaving:
            running += self._peers[node_id].report.running
        for zone in self._zones.values():
            running += zone.digest.running
        return {(item.job_id, item.item_index) for item in running}

    def waiting(self, zone: str | None = None) -> Iterable[tuple[int, int]]:
        """Due times and numbers of the items that wait at peers, of one zone or of all."""
        for peer in self._peers.values():
            if zone in (None, peer.report.zone):
                yield from peer.waiting
        for name, far in self._zones.items():
            if zone in (None, name):
                yield from far.waiting


def _member_peer(digest: ZoneDigest, member: ZoneMember, now: float) -> Peer:
    report = member.report(digest.zone, digest.sequence, digest.revision, digest.extensions)
    return Peer(report, now, [])


def _is_newer(report: LoadReport, known: LoadReport) -> bool:
    # Another life of the node: its clock may have been set back, so no order holds.
    if report.incarnation != known.incarnation:
        return True
    return report.sequence > known.sequence


def _supersedes(digest: ZoneDigest, zone: RemoteZone, now: float) -> bool:
    known = zone.digest
    if (digest.reporter, digest.incarnation) == (known.reporter, known.incarnation):
        return digest.sequence > known.sequence
    # A node that hears few of its neighbours takes itself for their reporter.
    return digest.size >= known.size or now - zone.heard_at > REPORTER_SILENT_AFTER
