"""Unit tests of single parts of the gateway: claims, ends of items, and fields of event streams."""

import unittest
from unittest import mock

import gevent

from postvalve.core.batch.item_end import ItemState
from postvalve.core.batch.job_board import JobBoard
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.peers import PeerView
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.events import Event
from postvalve.gateway.engines.event_stream import event_data, event_id_of
from postvalve.gateway.jobs.end_writer import EndedItem, EndWriter
from postvalve.gateway.jobs.job_claims import CLAIM_AFTER_START, ZONE_DISCOVERY_TIMEOUT, JobClaims
from postvalve.messages.generated import gateway
from tests.gateway_support import RecordingEventLog
from tests.test_job_board import accepted
from tests.test_job_log import accept, job_log, positions
from tests.waiting import wait_until


class Clock:
    now = 100.0

    def monotonic(self):
        return self.now


def claims_of(node_id, incarnation, clock, peers):
    log = mock.Mock(board=JobBoard())
    log.silence.return_value = 0.0
    identity = gateway.NodeStarted(node_id=node_id, incarnation=incarnation)
    return JobClaims(identity, clock, RecordingEventLog(), log, peers, lambda: "c1")


class ClaimTest(unittest.TestCase):
    """The job of `accepted` belongs to the first incarnation of node n0."""

    def setUp(self):
        self.clock = Clock()
        board = JobBoard()
        board.observe(0, "accept/j/c0", bytes(accepted()))
        self.job = board.jobs["j"]

    def should_claim(
        self, node_id, incarnation=1, reports=(), after=CLAIM_AFTER_START, heard_all=lambda: True
    ):
        peers = PeerView(node_id)
        for report in reports:
            peers.observe(report, self.clock.now)
        claims = claims_of(node_id, incarnation, self.clock, peers)
        claims.all_zones_known = heard_all
        self.clock.now += after
        return claims._should_claim(self.job)

    def test_own_jobs_of_this_incarnation_are_kept(self):
        self.assertFalse(self.should_claim("n0", 1))

    def test_own_jobs_of_an_earlier_incarnation_are_claimed_at_once(self):
        self.assertTrue(self.should_claim("n0", 2, after=0.0))

    def test_jobs_of_others_are_not_claimed_before_peers_can_have_reported(self):
        self.assertFalse(self.should_claim("n1", after=CLAIM_AFTER_START / 2))
        self.assertTrue(self.should_claim("n1"))

    def test_jobs_wait_longer_while_the_members_of_a_zone_are_unknown(self):
        heard = mock.Mock(return_value=False)
        self.assertFalse(self.should_claim("n1", heard_all=heard))
        self.assertTrue(self.should_claim("n1", after=ZONE_DISCOVERY_TIMEOUT, heard_all=heard))
        self.assertTrue(self.should_claim("n0", 2, after=0.0, heard_all=heard))

    def test_jobs_of_working_nodes_are_left_alone(self):
        report = LoadReport(node_id="n0", incarnation=1, sequence=1)
        self.assertFalse(self.should_claim("n1", reports=[report]))

    def test_another_incarnation_of_the_node_does_not_work_on_them(self):
        report = LoadReport(node_id="n0", incarnation=5, sequence=1)
        nodes = ["n0", "n1"]
        self.assertIn(PeerView("n1").successor("j", include_self=True), nodes)
        claimed = self.should_claim("n1", reports=[report])
        peers = PeerView("n1")
        peers.observe(report, 0.0)
        self.assertEqual(claimed, peers.successor("j", include_self=True) == "n1")


class EndWriterTest(unittest.TestCase):
    def setUp(self):
        self.topics = MemoryTopics()
        self.log = job_log(self.topics)
        accept(self.log, items=40)
        self.events = RecordingEventLog()
        numbers = iter(range(1000))
        self.writer = EndWriter(self.log, self.events, 16_384, lambda: str(next(numbers)))
        running = gevent.spawn(self.writer.run)
        self.addCleanup(running.kill)

    def add(self, count, size):
        for index in range(count):
            state = ItemState.COMPLETED
            self.writer.add(EndedItem("j", index, "c", state, b"x" * size))

    def test_ends_are_written_in_order_and_in_calls_that_fit(self):
        self.add(40, 2_000)
        self.assertEqual(self.writer.pending, 40)
        wait_until(lambda: not self.writer.pending)
        self.assertEqual(positions(self.log), list(range(40)))
        # One call for the acceptance, and at most two ends per call of 16 KB.
        self.assertGreaterEqual(self.topics.calls, 20)

    def test_ends_survive_a_store_that_is_down(self):
        self.topics.down = True
        self.add(3, 10)
        gevent.sleep(0.3)
        self.assertEqual(self.writer.pending, 3)
        self.topics.down = False
        wait_until(lambda: not self.writer.pending)
        self.assertEqual(positions(self.log), [0, 1, 2])

    def test_ends_whose_answers_are_lost_count_once(self):
        self.topics.lost_answers = 2
        self.add(3, 10)
        wait_until(lambda: not self.writer.pending)
        self.assertEqual(positions(self.log), [0, 1, 2])
        self.assertNotIn(Event.LOG_UNAVAILABLE, [event for event, _ in self.events.written])


class EventFieldsTest(unittest.TestCase):
    def test_numbers(self):
        self.assertEqual(event_id_of(b"id: 12\ndata: x\n\n"), 12)
        self.assertEqual(event_id_of(b"data: x\nid:7\n\n"), 7)
        for event in (b"data: id: 3\n\n", b"id: x\n\n", b"id:\n\n"):
            self.assertIsNone(event_id_of(event))

    def test_data(self):
        self.assertEqual(event_data(b"id: 1\ndata: a  b\n\n"), b"a  b")
        self.assertEqual(event_data(b"data:a\ndata: b\n\n"), b"a\nb")


if __name__ == "__main__":
    unittest.main()
