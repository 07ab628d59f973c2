"""Load reports among nodes over UDP: engine use, waiting items, revisions and liveness."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod

import gevent
from gevent.event import Event as GeventEvent

from postvalve.core.batch.item_order import encode_groups, group_by_due
from postvalve.core.batch.preemption import PeerRunningItems
from postvalve.core.membership.extensions import OWN_FEATURES, Extension, pack_features
from postvalve.core.membership.load_report import (
    DirectoryState,
    LoadReport,
    LoadReportError,
    RunningItem,
    unpack_report,
)
from postvalve.core.membership.report_schedule import (
    GATHER_SHARE,
    IDLE_INTERVAL,
    MIN_GATHER_TIME,
    MIN_INTERVAL,
    REMOTE_REPORT_RATE,
    ZONE_REPORT_RATE,
    ReportSchedule,
)
from postvalve.core.membership.zone_digest import ZONE_PREFIX
from postvalve.core.membership.zone_reporting import uses_digests
from postvalve.events import Event
from postvalve.gateway.fleet.engine_watch import EngineWatch
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.fleet.zone_digests import ZoneDigests
from postvalve.messages.framing import (
    FrameError,
    Message,
    PackedReport,
    UnknownKindError,
    decode_datagram,
    encode_frame,
)
from postvalve.messages.generated import gateway
from postvalve.node.unknown_messages import UnknownMessageCounter

TARGETS_AGE = 0.5
"""Seconds between updates of the report targets and checks for silent peers."""
MAX_REPORTED_SILENCE = 60.0
"""Longest silence of the store that a report states, in seconds."""


def _packed(report: LoadReport) -> bytes:
    """Encode a report as a datagram."""
    return encode_frame(PackedReport(report.pack()), 0)


class LoadReports:
    """Sends this node's load reports and receives the datagrams of its peers."""

    def __init__(self, services: PeerServices) -> None:
        self._services = services
        self._identity = services.identity
        self._clock = services.clock
        self._events = services.events
        self._transport = services.transport
        self._fleet = services.fleet
        self._peers = services.peers
        self._passed_over = UnknownMessageCounter(services.events)
        self._near = ReportSchedule(ZONE_REPORT_RATE)
        self._far = ReportSchedule(REMOTE_REPORT_RATE)
        self._sequence = 0
        self._targets: tuple[list[str], list[str]] = ([], [])
        """Addresses of the peers in this node's zone, and in all other zones."""
        self._refreshed_at = float("-inf")
        self._changed = GeventEvent()
        self.leaving = False
        self.revision: Callable[[], int] = lambda: -1
        self.log_silence: Callable[[], float] = lambda: 0.0
        self.running_items: Callable[[], list[RunningItem]] = list
        self.waiting_due: Callable[[], list[int]] = list
        self.items_running: Callable[[], bytes] = bytes
        self.store_failing: Callable[[], bool] = bool
        self.directory: Callable[[], DirectoryState | None] = lambda: None
        self.extensions: dict[Extension, Callable[[], bytes]] = {
            Extension.FEATURES: lambda: pack_features(OWN_FEATURES)
        }
        """Functions that return the extension parts of a report; empty parts are not sent."""
        self.one_time_parts: Callable[[bool, int], dict[int, bytes]] = lambda far, peers: {}
        """Returns extension parts that are sent once to all peers of a group.

        Arguments: whether it is the group of the other zones, and the number of nodes that report
        to each peer. Reports to a single peer must not call it, as its parts would be lost to the
        rest of the group.
        """
        self.on_refresh: Callable[[], None] = lambda: None
        """Called about every `TARGETS_AGE` seconds, after the silent peers were dropped."""
        self.items = PeerRunningItems()
        self.zones = ZoneDigests(services, self.items)
        self.zones.own_report = self._report
        self.watch = EngineWatch(services, self.items)
        self.watch.own_report = self.next_report
        self.on_report: Callable[[LoadReport], None] = lambda report: None
        self.on_quarantine_update: Callable[[gateway.QuarantineNews, str], None] = (
            lambda msg, address: None
        )
        self.on_queue_state: Callable[[gateway.LineState, str], None] = lambda msg, address: None
        self.on_queue_grant: Callable[[gateway.LineGrant, str], None] = lambda msg, address: None
        self.on_origins: Callable[[gateway.StreamOrigins, str], None] = lambda msg, address: None
        self._fleet.on_change = self._changed.set

    def schedule_report(self) -> None:
        """Send a report as soon as the report rate allows it."""
        self._changed.set()

    def gather_time(self) -> float:
        """Return the seconds for which received datagrams are collected before they are handled."""
        near, _ = self._targets
        return max(MIN_GATHER_TIME, GATHER_SHARE * self._near.interval(len(near)))

    def refresh_targets(self) -> None:
        """Determine the report targets again, as the peers have changed, and report soon."""
        self._refreshed_at = float("-inf")
        self._changed.set()

    def next_report(self) -> bytes:
        """Build a report outside the schedule, as a datagram for a single peer."""
        self._sequence += 1
        return _packed(self._report())

    def run(self) -> None:
        """Send reports; never returns."""
        while True:
            self.send_due()
            if self._near.waiting or self._far.waiting:
                gevent.sleep(max(MIN_INTERVAL, self._seconds_left()))
                continue
            gevent.sleep(MIN_INTERVAL)
            self._changed.wait(IDLE_INTERVAL - MIN_INTERVAL)

    def _seconds_left(self) -> float:
        """Return the seconds until a report with changes is due."""
        now = self._clock.monotonic()
        groups = zip((self._near, self._far), self._targets, strict=True)
        left = [one.seconds_left(len(peers), now) for one, peers in groups if one.waiting]
        return min(left, default=0.0)

    def send_due(self) -> None:
        """Send a report to each group of peers for which one is due."""
        now = self._clock.monotonic()
        if now - self._refreshed_at >= TARGETS_AGE:
            self._refreshed_at = now
            self._expire(now)
            self._fleet.paces.update()
            self.on_refresh()
            self._targets = self._find_targets()
        if self._changed.is_set():
            self._changed.clear()
            self._near.record_change()
            self._far.record_change()
        groups = zip((self._near, self._far), self._targets, (False, True), strict=True)
        due = [
            (far, addresses)
            for schedule, addresses, far in groups
            if schedule.take_turn(len(addresses), now) and addresses
        ]
        if due:
            self._send(due)

    def _send(self, due: list[tuple[bool, list[str]]]) -> None:
        """Send the next report to groups of peers, with each group's one-time parts."""
        self._sequence += 1
        report = self._report()
        common = _packed(report)
        for far, addresses in due:
            parts = self.one_time_parts(far, sum(map(len, self._targets)))
            extended = replace(report, extensions={**report.extensions, **parts})
            data = _packed(extended) if parts else common
            for address in addresses:
                self._transport.send(address, data)

    def _expire(self, now: float) -> None:
        silent = self._peers.expire(now)
        for node_id in silent.nodes:
            self._forget(node_id)
            self._events.emit(Event.PEER_SILENT, peer=node_id)
        for zone in silent.zones:
            self._forget(ZONE_PREFIX + zone)
            self._events.emit(Event.ZONE_SILENT, zone=zone)

    def _forget(self, name: str) -> None:
        self._fleet.use.forget(name)
        self.items.forget(name)

    def _find_targets(self) -> tuple[list[str], list[str]]:
        nodes = self._services.known_nodes().values()
        near = [address for address, zone in nodes if zone == self._identity.zone]
        far = [address for address, zone in nodes if zone != self._identity.zone]
        return near, [] if uses_digests(len(far)) else far

    def _report(self) -> LoadReport:
        return LoadReport(
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            peer_address=self._identity.peer_address,
            zone=self._identity.zone,
            leaving=self.leaving,
            engine_use=self._fleet.use.report(),
            log_silence_ms=int(min(MAX_REPORTED_SILENCE, self.log_silence()) * 1000),
            revision=max(0, self.revision()),
            running=self.running_items() if self.leaving else [],
            items_running=self.items_running(),
            store_failing=self.store_failing(),
            items_waiting=encode_groups(group_by_due(self.waiting_due())),
            directory=self.directory(),
            extensions=self._extensions(),
        )

    def _extensions(self) -> dict[int, bytes]:
        """Return the extension parts that are not empty."""
        parts = {extension: build() for extension, build in self.extensions.items()}
        return {extension: data for extension, data in parts.items() if data}

    def enable_pace_reports(self) -> None:
        """Include the pace of engines in reports and zone digests."""
        self.one_time_parts = self._engine_pace
        self.zones.engine_pace = self._fleet.paces.pack_zone_digest

    def _engine_pace(self, far: bool, peers: int) -> dict[int, bytes]:
        pace = self._fleet.paces.pack_report(peers, far=far)
        return {Extension.ENGINE_PACE: pace} if pace else {}

    def receive(self, data: bytes, address: str) -> None:
        """Handle a datagram of a peer; malformed ones are logged."""
        try:
            self._handle(decode_datagram(data), address)
        except UnknownKindError as unknown:
            self._passed_over.record(unknown.header.kind, address, self._clock.monotonic())
        except (FrameError, LoadReportError) as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(exc))

    @singledispatchmethod
    def _handle(self, msg: Message, address: str) -> None:
        """Handle a decoded message; those of the product's own interface are ignored."""

    @_handle.register
    def _(self, msg: gateway.ZoneDigest, address: str) -> None:
        self.zones.receive(msg, address)

    @_handle.register
    def _(self, msg: gateway.QuarantineNews, address: str) -> None:
        self.on_quarantine_update(msg, address)

    @_handle.register
    def _(self, msg: gateway.StreamOrigins, address: str) -> None:
        self.on_origins(msg, address)

    @_handle.register
    def _(self, msg: gateway.GiveWay, address: str) -> None:
        self.watch.on_preempt(msg.engine, msg.urgency)

    @_handle.register
    def _(self, msg: gateway.LineState, address: str) -> None:
        self.on_queue_state(msg, address)

    @_handle.register
    def _(self, msg: gateway.LineGrant, address: str) -> None:
        self.on_queue_grant(msg, address)

    @_handle.register
    def _(self, msg: PackedReport, address: str) -> None:
        report = unpack_report(msg.data)
        now = self._clock.monotonic()
        first = self._peers.get(report.node_id) is None
        if not self._peers.observe(report, now):
            return
        self._fleet.use.observe(report.node_id, report.engine_use)
        self._fleet.paces.receive(report.node_id, report.extensions.get(Extension.ENGINE_PACE, b""))
        self.items.observe(report.node_id, report.items_running)
        if first:
            self.refresh_targets()
            self._events.emit(Event.PEER_HEARD, peer=report.node_id, incarnation=report.incarnation)
        self.watch.preempt_excess()
        self.on_report(report)
