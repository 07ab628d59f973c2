"""Load reports between nodes over UDP: counts, waiting items, revision, liveness."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock
from postvalve.core.batch.giving_way import RunningItems
from postvalve.core.batch.item_order import group_by_due
from postvalve.core.membership.peers import PeerView
from postvalve.events import Event, EventLog
from postvalve.gateway.fleet import EngineFleet
from postvalve.messages.framing import FrameError, decode_datagram, encode_frame
from postvalve.messages.generated import gateway
from postvalve.node.transport import Transport

REPORT_INTERVAL = 0.5
"""Seconds between reports when nothing changes."""
MAX_SILENCE = 60.0
"""Seconds; longer silences of the store are told as this."""
GATHER_TIME = 0.08
"""Seconds after a report before the next one, in which changes gather."""


class LoadReports:
    """Sends this node's report and takes those of the others."""

    def __init__(
        self,
        identity: gateway.NodeStarted,
        clock: Clock,
        events: EventLog,
        transport: Transport,
        fleet: EngineFleet,
        peers: PeerView,
        addresses: Callable[[], dict[str, str]],
    ) -> None:
        """Set up; `addresses` gives node id to peer address of all nodes that started."""
        self._identity = identity
        self._clock = clock
        self._events = events
        self._transport = transport
        self._fleet = fleet
        self._peers = peers
        self._addresses = addresses
        self._sequence = 0
        self._changed = GeventEvent()
        self.leaving = False
        self.revision: Callable[[], int] = lambda: -1
        self.log_silence: Callable[[], float] = lambda: 0.0
        self.running_items: Callable[[], list[gateway.RunningItem]] = list
        self.waiting_due: Callable[[], list[int]] = list
        self.items_running: Callable[[], bytes] = bytes
        self.store_failing: Callable[[], bool] = bool
        self.items = RunningItems()
        self.on_report: Callable[[gateway.LoadReport], None] = lambda report: None
        fleet.on_change = self._changed.set

    def changed(self) -> None:
        """Report soon."""
        self._changed.set()

    def run(self) -> None:
        """Report for ever."""
        while True:
            self.send()
            gevent.sleep(GATHER_TIME)
            self._changed.wait(REPORT_INTERVAL - GATHER_TIME)
            self._changed.clear()

    def send(self) -> None:
        """Send one report to every node, and expire silent ones."""
        now = self._clock.monotonic()
        for node_id in self._peers.expire(now):
            self._fleet.use.forget(node_id)
            self.items.forget(node_id)
            self._events.emit(Event.PEER_SILENT, peer=node_id)
        self._sequence += 1
        data = encode_frame(self._report(), 0)
        for node_id, address in self._targets().items():
            if node_id != self._identity.node_id:
                self._transport.send(address, data)

    def _targets(self) -> dict[str, str]:
        targets = self._addresses()
        for peer in self._peers.all():
            targets.setdefault(peer.node_id, peer.report.peer_address)
        return targets

    def _report(self) -> gateway.LoadReport:
        return gateway.LoadReport(
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            peer_address=self._identity.peer_address,
            zone=self._identity.zone,
            leaving=self.leaving,
            engine_use=self._fleet.use.report(),
            waiting=[
                gateway.WaitingItems(due_at_ms=due, count=count)
                for due, count in group_by_due(self.waiting_due())
            ],
            log_silence_ms=int(min(MAX_SILENCE, self.log_silence()) * 1000),
            revision=max(0, self.revision()),
            running=self.running_items() if self.leaving else [],
            items_running=self.items_running(),
            store_failing=self.store_failing(),
        )

    def receive(self, data: bytes, address: str) -> None:
        """Take a datagram."""
        try:
            report = decode_datagram(data)
        except FrameError as error:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(error))
            return
        if not isinstance(report, gateway.LoadReport):
            return
        now = self._clock.monotonic()
        first = self._peers.get(report.node_id) is None
        if not self._peers.observe(report, now):
            return
        self._fleet.use.observe(report.node_id, report.engine_use)
        self.items.observe(report.node_id, report.items_running)
        if first:
            self._events.emit(Event.PEER_HEARD, peer=report.node_id, incarnation=report.incarnation)
        self.on_report(report)
