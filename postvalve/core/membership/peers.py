"""Other gateways, as known from their load reports and from the digests of other zones."""

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
"""Seconds without a digest after which all nodes of a zone count as gone. When the reporter of a
zone is lost, another node must first detect that, which takes `SILENT_AFTER`."""
REPORTER_SILENT_AFTER = 1.2
"""Seconds without a digest after which a digest of another reporter is accepted even if that one
has reports of fewer members."""
STALL_THRESHOLD = 1.0
"""Seconds between two updates from which this node itself must have been suspended."""
STORE_SILENT_AFTER = 4.0
"""Seconds without the store after which a node's jobs are better processed elsewhere."""


@dataclass(slots=True)
class Peer:
    """Another node's last report, or what its zone's digest contains about it."""

    report: LoadReport
    last_seen_at: float
    waiting: list[tuple[int, int]]
    """Urgencies and numbers of the items waiting at the node. Empty for nodes of a zone known by
    digests, which contain only the sum."""

    @property
    def node_id(self) -> str:
        """The node's id."""
        return self.report.node_id

    @property
    def can_run_jobs(self) -> bool:
        """Whether the node can process jobs: it is not leaving and reaches the store."""
        report = self.report
        return not report.leaving and report.log_silence_ms < STORE_SILENT_AFTER * 1000


@dataclass(slots=True)
class RemoteZone:
    """Another zone, as known from its last digest."""

    digest: ZoneDigest
    last_seen_at: float
    waiting: list[tuple[int, int]] = field(default_factory=list)
    members_version: int = 0
    """Version of the list from which the members were taken; 0 before the first list."""
    members: dict[str, Peer] = field(default_factory=dict)
    order: tuple[str, ...] = ()
    """Ids of all nodes on that list, in its order."""

    @property
    def members_known(self) -> bool:
        """Whether the known list of members is the one to which the last digest refers."""
        return self.members_version == self.digest.members_version


@dataclass(frozen=True, slots=True)
class SilentPeers:
    """Nodes and zones dropped because they were silent for too long."""

    nodes: list[str] = field(default_factory=list)
    """Ids of nodes that were known by their own reports."""
    zones: list[str] = field(default_factory=list)
    """Names of zones that were known by digests."""


class PeerView:
    """Peers by node id.

    A zone is known either by its nodes' own reports or by its digests, never by both. While its
    digests arrive, the reports of its nodes are ignored.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        """Id of this node."""
        self._peers: dict[str, Peer] = {}
        self._zones: dict[str, RemoteZone] = {}
        self._leaving: set[str] = set()
        """Peers known by their own reports that are leaving."""
        self._updated_at: float | None = None
        self.gate = FeatureGate()
        """Which features that need all nodes are in use."""

    def observe(self, report: LoadReport, now: float) -> bool:
        """Apply a report; returns whether it is newer than what was known."""
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
        """Apply a zone's digest; returns whether it is newer than what was known."""
        zone = self._zones.get(digest.zone)
        if zone is not None and not _supersedes(digest, zone, now):
            return False
        if zone is None:
            zone = self._zones[digest.zone] = RemoteZone(digest, now)
        zone.digest, zone.last_seen_at = digest, now
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
            peer.last_seen_at = now
        self.gate.restrict(features_of(digest.extensions))
        return True

    def drop(self, node_id: str) -> None:
        """Forget a node that was known by its own reports."""
        self._peers.pop(node_id, None)
        self._leaving.discard(node_id)

    def expire(self, now: float) -> SilentPeers:
        """Drop silent peers and zones, and return them. Called several times a second.

        If this node was suspended, it has received nothing meanwhile, which says nothing about the
        others: their time-outs start again.
        """
        if self._updated_at is not None and now - self._updated_at > STALL_THRESHOLD:
            for peer in self._peers.values():
                peer.last_seen_at = now
            for zone in self._zones.values():
                zone.last_seen_at = now
        self._updated_at = now
        nodes = [
            node_id
            for node_id, peer in self._peers.items()
            if now - peer.last_seen_at > SILENT_AFTER
        ]
        for node_id in nodes:
            self.drop(node_id)
        zones = [
            name
            for name, remote in self._zones.items()
            if now - remote.last_seen_at > ZONE_SILENT_AFTER
        ]
        for name in zones:
            del self._zones[name]
        self.gate.update(self.common_features(), now)
        return SilentPeers(nodes, zones)

    def all(self) -> list[Peer]:
        """Return all peers known from recent reports or digests."""
        found = list(self._peers.values())
        for zone in self._zones.values():
            found += zone.members.values()
        return found

    def count(self) -> int:
        """Return the number of all peers known from recent reports or digests."""
        return len(self._peers) + sum(len(zone.members) for zone in self._zones.values())

    def features(self) -> Feature:
        """Return the features in use that need all nodes: see `core/membership/feature_gate`."""
        return self.gate.enabled

    def common_features(self) -> Feature:
        """Return the features that all known nodes support.

        For a zone known by digests, the newest digest decides, even if the list of members is
        older: a node with an older build may have replaced one of them.
        """
        common = self.gate.own
        for _, features in self.peer_features():
            common &= features
        return common

    def peer_features(self) -> Iterator[tuple[str, Feature]]:
        """Yield the features of each node known by its reports, and of each zone known by
        digests."""
        for peer in self._peers.values():
            yield peer.node_id, features_of(peer.report.extensions)
        for name, zone in self._zones.items():
            yield ZONE_PREFIX + name, features_of(zone.digest.extensions)

    def extension_parts(self, number: Extension) -> list[bytes]:
        """Return the contents of an optional part, from all reports and digests that contain it."""
        reported_parts = [one.report.extensions for one in self._peers.values()]
        reported_parts += [one.digest.extensions for one in self._zones.values()]
        return [parts[number] for parts in reported_parts if number in parts]

    def neighbours(self, zone: str) -> list[Peer]:
        """Return the peers of a zone that are known by their own reports."""
        return [one for one in self._peers.values() if one.report.zone == zone]

    def zones(self) -> dict[str, RemoteZone]:
        """Return the zones known by digests, by name."""
        return self._zones

    def get(self, node_id: str) -> Peer | None:
        """Return a peer by its id."""
        found = self._peers.get(node_id)
        if found is None:
            for zone in self._zones.values():
                found = found or zone.members.get(node_id)
        return found

    def reports_directly(self, node_id: str) -> bool:
        """Return whether a node is known by its own reports; that node then knows this one in the
        same way."""
        return node_id in self._peers

    def can_run_jobs(self, node_id: str, incarnation: int) -> bool:
        """Return whether the given incarnation of a node can process its jobs."""
        peer = self.get(node_id)
        return peer is not None and peer.report.incarnation == incarnation and peer.can_run_jobs

    def successor(self, job_id: str, *, include_self: bool) -> str | None:
        """Return the node that takes over a job; the same on all nodes with the same view."""
        candidates = [peer.node_id for peer in self.all() if peer.can_run_jobs]
        if include_self:
            candidates.append(self.node_id)
        return preferred_owner(job_id, candidates)

    def running_on_leaving_peers(self) -> set[tuple[str, int]]:
        """Return job id and index of the items that leaving peers still run."""
        running: list[RunningItem] = []
        for node_id in self._leaving:
            running += self._peers[node_id].report.running
        for zone in self._zones.values():
            running += zone.digest.running
        return {(item.job_id, item.item_index) for item in running}

    def waiting(self, zone: str | None = None) -> Iterable[tuple[int, int]]:
        """Yield due times and numbers of the items waiting at peers, in one zone or in all."""
        for peer in self._peers.values():
            if zone in (None, peer.report.zone):
                yield from peer.waiting
        for name, remote in self._zones.items():
            if zone in (None, name):
                yield from remote.waiting

    def with_waiting_items(self, zone: str | None = None) -> Iterator[str]:
        """Yield the ids of the peers where items wait, in one zone or in all; of a zone known by
        digests that contain any, those of all its nodes."""
        for peer in self._peers.values():
            if peer.waiting and zone in (None, peer.report.zone):
                yield peer.node_id
        for name, remote in self._zones.items():
            if remote.waiting and zone in (None, name):
                yield from remote.members


def _member_peer(digest: ZoneDigest, member: ZoneMember, now: float) -> Peer:
    report = member.report(digest.zone, digest.sequence, digest.revision, digest.extensions)
    return Peer(report, now, [])


def _is_newer(report: LoadReport, known: LoadReport) -> bool:
    # A new incarnation of the node. Its clock may have been set back, so incarnations are not
    # ordered.
    if report.incarnation != known.incarnation:
        return True
    return report.sequence > known.sequence


def _supersedes(digest: ZoneDigest, zone: RemoteZone, now: float) -> bool:
    known = zone.digest
    if (digest.reporter, digest.incarnation) == (known.reporter, known.incarnation):
        return digest.sequence > known.sequence
    # A node that receives reports of few neighbours considers itself their reporter.
    return digest.size >= known.size or now - zone.last_seen_at > REPORTER_SILENT_AFTER
