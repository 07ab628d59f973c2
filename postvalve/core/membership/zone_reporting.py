"""Which node of a zone tells the others of it, when, and what.

Nodes of other zones are told of singly while they are few: then their own reports are as cheap,
and fresher. Beyond `MAX_DIRECT_PEERS` a node's own reports to all of them would come less often than
digests do, so there is no step in what others know of it.
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
)
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.peers import STORE_SILENT_AFTER, Peer
from postvalve.core.membership.report_schedule import REMOTE_REPORT_RATE
from postvalve.core.membership.zone_digest import ZoneDigest, ZoneMember, members_version
from postvalve.core.scheduling.queue_order import merge_share_updates

DIGEST_INTERVAL = 0.25
"""Seconds between two digests of a zone at the least."""
MAX_DIGEST_INTERVAL = 1.0
"""Seconds between them at the most; four in a row must be lost before a zone counts as silent."""
REMOTE_DIGEST_RATE = 5_000.0
"""Bytes a second of other zones' digests that a node hears, about: the planned size leaves 7 KB/s
for all control of a node, and its own zone's reports take the rest."""
MAX_DIRECT_PEERS = int(REMOTE_REPORT_RATE * DIGEST_INTERVAL)
"""Nodes of other zones up to which each node reports to them itself."""
CHECK_INTERVAL = 0.08
"""Seconds between looks of the reporter whether a digest is due."""
IDLE_CHECK_INTERVAL = 0.5
"""Seconds between looks of all others whether they have become the reporter."""
MEMBERS_INTERVAL = 2.0
"""Seconds after which the list of members is told again though it is the same."""
LISTEN_TIME = 1.0
"""Seconds after its start in which a node tells nothing of its zone: it must hear of it first."""
HEARD_WITHIN = 1.2
"""Seconds without a report after which a neighbour is not taken for the reporter."""
MAX_DUE_GROUPS = 48
"""Due times of waiting items that a digest tells."""


NO_EXTENSIONS: Extensions = MappingProxyType({})


def uses_digests(far_peers: int) -> bool:
    """Whether so many nodes of other zones are told of a zone by its digest."""
    return far_peers > MAX_DIRECT_PEERS


def reporter_of(zone: str, node_ids: Iterable[str]) -> str | None:
    """The node that tells others of its zone, alike at all nodes with the same view."""
    return preferred_owner(zone, node_ids)


class ZoneReporting:
    """The digests that this node makes of its own zone."""

    def __init__(self, node_id: str, zone: str, incarnation: int, started_at: float) -> None:
        self._node_id = node_id
        self._zone = zone
        self._incarnation = incarnation
        self._started_at = started_at
        self._sequence = 0
        self._sent_at = float("-inf")
        self._size = 0
        """Bytes of the last digest."""
        self._version = 0
        self._listed_at = float("-inf")

    def is_reporter(self, neighbours: Sequence[Peer], now: float) -> bool:
        """Whether this node tells the others of its zone."""
        if now - self._started_at < LISTEN_TIME:
            return False
        heard = [
            peer.node_id
            for peer in neighbours
            if now - peer.heard_at <= HEARD_WITHIN and not peer.report.leaving
        ]
        return reporter_of(self._zone, [*heard, self._node_id]) == self._node_id

    def is_due(self, zones: int, now: float) -> bool:
        """Whether it is time for the next digest, where nodes hear those of so many zones."""
        interval = zones * self._size / REMOTE_DIGEST_RATE
        interval = min(MAX_DIGEST_INTERVAL, max(DIGEST_INTERVAL, interval))
        return now - self._sent_at >= interval

    def build_digest(
        self,
        own: LoadReport,
        neighbours: Sequence[Peer],
        engine_use: bytes,
        now: float,
        told: Extensions = NO_EXTENSIONS,
    ) -> bytes:
        """The next digest, packed.

        Args:
            own: What this node would report of itself.
            neighbours: The other nodes of the zone.
            engine_use: Counts of all of them together.
            now: Monotonic seconds.
            told: Parts that nodes tell in turns, which the last reports don't hold whole.
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
            extensions={**merge_extensions(reports), **told},
        )
        data = digest.pack()
        self._size = len(data) if not listed or not self._size else self._size
        self._sent_at = now
        return data


def merge_extensions(reports: Sequence[LoadReport]) -> dict[int, bytes]:
    """Parts of a zone's digest: what its nodes tell together."""
    features = OWN_FEATURES
    for report in reports:
        features &= features_of(report.extensions)
    parts: dict[int, bytes] = {Extension.FEATURES: pack_features(features)}
    told = [one.extensions.get(Extension.ITEM_PACE, b"") for one in reports]
    if pace := merge_token_times(told):
        parts[Extension.ITEM_PACE] = pace
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
