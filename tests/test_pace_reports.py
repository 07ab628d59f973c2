"""What is told of engines' pace in turns comes to all peers, whatever else is sent to some."""

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
    def begin(self, zones, nodes_each):
        self.start(zones, nodes_each)
        self.heard = {}
        for node in self.nodes:
            paces = EnginePaces(self.clock, RecordingEventLog())
            paces.retain({SLOW: SERVICE, OTHER: SERVICE})
            told = EngineLoad(self.clock.now, 0, 0, 8, 1.0)
            for life in (SLOW, OTHER):
                paces.record_load(mock.Mock(engine=mock.Mock(life=life, service=SERVICE)), told)
            node.reports._fleet.paces = paces
            heard = self.heard[node.name] = set()
            paces.receive = mock.Mock(
                side_effect=lambda _, data, heard=heard: self.take(data, heard)
            )
            node.reports.enable_pace_reports()
        self.play(2.0)

    def take(self, data, heard):
        if data:
            heard |= {life for life, _ in unpack_pace_part(data, 0.0).lives}

    def show(self, node):
        paces = node.reports._fleet.paces
        for _ in range(20):
            paces.learnt.observe(SLOW, PaceMetric.PAUSE, 0.1, 0.05, self.clock.now)
        paces.learnt.update(self.clock.now)
        self.assertTrue(paces.reports_pace(SERVICE))

    def check_all_heard(self, teller):
        for node in self.nodes:
            if node is not teller:
                self.assertIn(engine_hash(SLOW), self.heard[node.name])

    def test_a_report_out_of_turn_takes_nothing_from_the_others(self):
        """Those who watch over an engine, and who keeps a line, get one with each request."""
        self.begin(1, 4)
        teller = self.nodes[0]
        self.show(teller)
        for _ in range(3):
            teller.reports.next_report()
        teller.reports.schedule_report()
        self.play(RESEND_INTERVAL / 2)
        self.check_all_heard(teller)

    def test_nor_does_what_a_digest_is_made_of(self):
        self.begin(1, 4)
        teller = self.nodes[0]
        self.show(teller)
        teller.reports.zones.own_report()
        teller.reports.schedule_report()
        self.play(RESEND_INTERVAL / 2)
        self.check_all_heard(teller)

    def test_peers_of_other_zones_hear_as_those_of_the_own(self):
        self.begin(2, 3)
        teller = self.nodes[0]
        for _ in range(6):
            self.show(teller)
            teller.reports.schedule_report()
            self.play(0.5)
        self.play(RESEND_INTERVAL / 2)
        self.check_all_heard(teller)
