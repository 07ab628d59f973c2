"""Parts with engine pace, sent in turn, must reach all peers, whatever other reports go to some."""

from unittest import mock

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.engine_load import EngineLoad
from postvalve.core.routing.engine_pace import PaceMetric
from postvalve.core.routing.pace_gossip import RESEND_INTERVAL, unpack_pace_part
from postvalve.gateway.fleet.engine_paces import EnginePaces
from tests.gateway_support import RecordingEventLog
from tests.test_zone_digest import FleetCase

SERVICE = "s"
SLOW, OTHER = EngineLife.of("slow", 5), EngineLife.of("e0", 5)


class TurnsTest(FleetCase):
    def start_fleet(self, zones, nodes_each):
        self.start(zones, nodes_each)
        self.received = {}
        for node in self.nodes:
            paces = EnginePaces(self.clock, RecordingEventLog())
            paces.retain({SLOW: SERVICE, OTHER: SERVICE})
            reported = EngineLoad(self.clock.now, 0, 0, 8, 1.0)
            for life in (SLOW, OTHER):
                paces.record_load(mock.Mock(engine=mock.Mock(life=life, service=SERVICE)), reported)
            node.reports._fleet.paces = paces
            received = self.received[node.name] = set()
            paces.receive = mock.Mock(
                side_effect=lambda _, data, received=received: self.receive_part(data, received)
            )
            node.reports.enable_pace_reports()
        self.run_for(2.0)

    def receive_part(self, data, received):
        if data:
            received |= {life for life, _ in unpack_pace_part(data, 0.0).lives}

    def make_slow(self, node):
        paces = node.reports._fleet.paces
        for _ in range(20):
            paces.estimator.observe(SLOW, PaceMetric.PAUSE, 0.1, 0.05, self.clock.now)
        paces.estimator.update(self.clock.now)
        self.assertTrue(paces.reports_pace(SERVICE))

    def check_all_received(self, sender):
        for node in self.nodes:
            if node is not sender:
                self.assertIn(engine_hash(SLOW), self.received[node.name])

    def test_report_out_of_turn_does_not_consume_pace_parts(self):
        """Nodes that watch an engine or coordinate a queue get a report with each request."""
        self.start_fleet(1, 4)
        sender = self.nodes[0]
        self.make_slow(sender)
        for _ in range(3):
            sender.reports.next_report()
        sender.reports.schedule_report()
        self.run_for(RESEND_INTERVAL / 2)
        self.check_all_received(sender)

    def test_own_part_of_a_digest_does_not_consume_pace_parts(self):
        self.start_fleet(1, 4)
        sender = self.nodes[0]
        self.make_slow(sender)
        sender.reports.zones.own_report()
        sender.reports.schedule_report()
        self.run_for(RESEND_INTERVAL / 2)
        self.check_all_received(sender)

    def test_other_zones_receive_pace_too(self):
        self.start_fleet(2, 3)
        sender = self.nodes[0]
        for _ in range(6):
            self.make_slow(sender)
            sender.reports.schedule_report()
            self.run_for(0.5)
        self.run_for(RESEND_INTERVAL / 2)
        self.check_all_received(sender)
