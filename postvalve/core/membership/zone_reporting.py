"""Which node of a zone sends its digests to other zones, when, and with what content.

Nodes of other zones get each node's own reports while they are few: that costs no more and is more
current. Beyond `MAX_DIRECT_PEERS` a node's own reports to all of them would be less frequent than
digests, so others' knowledge of it does not get worse at the switch.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from types import MappingProxyType

from postvalve.core.batch.item_order import (
    decode_groups,
    encode_groups,
    merge_groups,
    merge_token_times,
)
from postvalve.core.batch.preemption import encode_zone_running
from postvalve.core.membership.extensions import (
    OWN_FEATURES,
    Extension,
    Extensions,
    features_of,
    pack_features,
    pack_ids,
    unpack_ids,
)
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.peers import STORE_SILENT_AFTER, Peer
from postvalve.core.membership.report_schedule import REMOTE_REPORT_RATE
from postvalve.core.membership.zone_digest import ZoneDigest, ZoneMember, members_version
from postvalve.core.scheduling.queue_order import merge_share_updates

DIGEST_INTERVAL = 0.25
"""Least seconds between two digests of a zone."""
MAX_DIGEST_INTERVAL = 1.0
"""Most seconds between two digests of a zone. Four in a row must be lost before the zone counts as
silent."""
REMOTE_DIGEST_RATE = 5_000.0
"""Approximate bytes per second of other zones' digests that a node receives. All control
traffic of a node may take 7 KB/s by design, and reports of its own zone take the rest."""
MAX_DIRECT_PEERS = int(REMOTE_REPORT_RATE * DIGEST_INTERVAL)
"""Number of nodes in other zones up to which each node reports to them itself."""
CHECK_INTERVAL = 0.08
"""Seconds between the reporter's checks whether a digest is due."""
IDLE_CHECK_INTERVAL = 0.5
"""Seconds between the checks of other nodes whether they have become the reporter."""
MEMBERS_INTERVAL = 2.0
"""Seconds after which the list of members is sent again although it has not changed."""
LISTEN_TIME = 1.0
"""Seconds after its start in which a node sends no digest: it must first receive its neighbours'
reports."""
RECENT_REPORT_AGE = 1.2
"""Seconds without a report after which a neighbour is not considered for reporter."""
MAX_DUE_GROUPS = 48
"""Most due times of waiting items in a digest."""


NO_EXTENSIONS: Extensions = MappingProxyType({})


def uses_digests(remote_peers: int) -> bool:
    """Return whether nodes of other zones get digests, given the number of these nodes."""
    return remote_peers > MAX_DIRECT_PEERS


def reporter_of(zone: str, node_ids: Iterable[str]) -> str | None:
    """Return the reporter of a zone; the same on all nodes with the same view."""
    return preferred_owner(zone, node_ids)


class ZoneReporting:
    """Creates the digests of this node's zone."""

    def __init__(self, node_id: str, zone: str, incarnation: int, started_at: float) -> None:
        self._node_id = node_id
        self._zone = zone
        self._incarnation = incarnation
        self._started_at = started_at
        self._sequence = 0
        self._sent_at = float("-inf")
        self._size = 0
        """Bytes in the last digest."""
        self._version = 0
        self._listed_at = float("-inf")

    def is_reporter(self, neighbours: Sequence[Peer], now: float) -> bool:
        """Return whether this node is the reporter of its zone."""
        if now - self._started_at < LISTEN_TIME:
            return False
        recent = [
            peer.node_id
            for peer in neighbours
            if now - peer.last_seen_at <= RECENT_REPORT_AGE and not peer.report.leaving
        ]
        return reporter_of(self._zone, [*recent, self._node_id]) == self._node_id

    def is_due(self, zones: int, now: float) -> bool:
        """Return whether the next digest is due, given the number of zones whose digests nodes
        receive."""
        interval = zones * self._size / REMOTE_DIGEST_RATE
        interval = min(MAX_DIGEST_INTERVAL, max(DIGEST_INTERVAL, interval))
        return now - self._sent_at >= interval

    def build_digest(
        self,
        own: LoadReport,
        neighbours: Sequence[Peer],
        engine_use: bytes,
        now: float,
        rotating_parts: Extensions = NO_EXTENSIONS,
    ) -> bytes:
        """Build the next digest and pack it.

        Args:
            own: This node's own load report.
            neighbours: The other nodes of the zone.
            engine_use: Counts of all nodes of the zone together.
            now: Monotonic seconds.
            rotating_parts: Optional parts that nodes send in rotation, so that their last reports
                do not contain them completely.
        """
        reports = sorted([own, *(peer.report for peer in neighbours)], key=lambda one: one.node_id)
        members = tuple(map(_member, reports))
        version = members_version(members)
        listed = version != self._version or now - self._listed_at >= MEMBERS_INTERVAL
        if listed:
            self._version, self._listed_at = version, now
        self._sequence += 1
        digest = ZoneDigest(
            zone=self._zone,
            reporter=self._node_id,
            peer_address=own.peer_address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            revision=max(one.revision for one in reports),
            engine_use=engine_use,
            items_running=encode_zone_running(one.items_running for one in reports),
            items_waiting=encode_groups(_waiting(own, neighbours)),
            size=len(members),
            members_version=version,
            members=members if listed else None,
            running=[item for one in reports for item in one.running],
            extensions={**merge_extensions(reports), **rotating_parts},
        )
        data = digest.pack()
        self._size = len(data) if not listed or not self._size else self._size
        self._sent_at = now
        return data


def merge_extensions(reports: Sequence[LoadReport]) -> dict[int, bytes]:
    """Return the optional parts of a zone's digest, combined from its nodes' reports."""
    features = OWN_FEATURES
    for report in reports:
        features &= features_of(report.extensions)
    parts: dict[int, bytes] = {Extension.FEATURES: pack_features(features)}
    token_times = [one.extensions.get(Extension.ITEM_PACE, b"") for one in reports]
    if merged_times := merge_token_times(token_times):
        parts[Extension.ITEM_PACE] = merged_times
    unsynced = [one.extensions.get(Extension.UNSYNCED_NODES, b"") for one in reports]
    if unsynced_ids := frozenset().union(*map(unpack_ids, unsynced)):
        parts[Extension.UNSYNCED_NODES] = pack_ids(sorted(unsynced_ids))
    shares = merge_share_updates(one.extensions.get(Extension.SHARE_CLOCK, b"") for one in reports)
    if shares:
        parts[Extension.SHARE_CLOCK] = shares
    return parts


def _waiting(own: LoadReport, neighbours: Sequence[Peer]) -> list[tuple[int, int]]:
    groups = [one for peer in neighbours for one in peer.waiting]
    return merge_groups([*decode_groups(own.items_waiting), *groups])[:MAX_DUE_GROUPS]


def _member(report: LoadReport) -> ZoneMember:
    return ZoneMember(
        node_id=report.node_id,
        incarnation=report.incarnation,
        peer_address=report.peer_address,
        leaving=report.leaving,
        store_failing=report.store_failing,
        store_silent=report.log_silence_ms >= STORE_SILENT_AFTER * 1000,
    )
