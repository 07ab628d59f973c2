"""Messages of a kind that only another build knows: harmless, and a line at the most."""

import contextlib
import unittest
from unittest import mock

import gevent
from gevent import socket

from postvalve.core.admission.engine_use import EngineUse
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.peers import PeerView
from postvalve.events import Event
from postvalve.exceptions import PeerUnavailableError, Verdict
from postvalve.gateway.fleet.load_reports import LoadReports
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.messages.framing import HEADER, PackedReport, encode_frame
from postvalve.messages.generated import gateway, peer
from postvalve.node.peer_link import Channel, PeerClients, PeerServer, read_frame
from postvalve.node.unknown_messages import UNKNOWN_MESSAGE_LOG_INTERVAL
from tests.gateway_support import RecordingEventLog
from tests.ports import free_port

LATER_KIND = 250
"""A kind that no build has."""
LATER = HEADER.pack(3, LATER_KIND, 7) + b"new"


class CallTest(unittest.TestCase):
    def setUp(self):
        self.log = RecordingEventLog()
        address = f"127.0.0.1:{free_port()}"
        server = PeerServer(address, lambda message: gateway.RevisionReply(revision=9), self.log)
        server.start()
        self.addCleanup(server.stop)
        host, _, port = address.rpartition(":")
        self.conn = socket.create_connection((host, int(port)), timeout=5.0)
        self.addCleanup(self.conn.close)

    def told(self):
        return [event for event, _ in self.log.written]

    def test_calls_beside_it_are_answered(self):
        self.conn.sendall(LATER + encode_frame(gateway.RevisionFetch(), 8))
        answers = {number: msg for msg, number in (read_frame(self.conn), read_frame(self.conn))}
        self.assertEqual(answers[8], gateway.RevisionReply(revision=9))
        self.assertEqual(answers[7], peer.Acknowledgement())

    def test_a_caller_hears_at_once_that_it_is_not_known(self):
        self.conn.sendall(LATER)
        self.assertEqual(read_frame(self.conn), (peer.Acknowledgement(), 7))

    def test_any_number_of_them_is_one_line(self):
        self.conn.sendall(LATER * 50)
        for _ in range(50):
            read_frame(self.conn)
        self.assertEqual(self.told(), [Event.MESSAGES_NOT_KNOWN])

    def test_what_is_no_frame_still_ends_the_connection(self):
        self.conn.sendall(HEADER.pack(0xFFFF_FFFF, LATER_KIND, 7))
        with contextlib.suppress(ConnectionResetError):
            self.assertIsNone(read_frame(self.conn))
        self.assertEqual(self.told(), [Event.PEER_MESSAGE_INVALID])


class ReplyTest(unittest.TestCase):
    def begin_call(self):
        """Returns the call, its peer's connection and its number."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        clients = PeerClients()
        self.addCleanup(clients.close)
        call = gevent.spawn(clients.call, address, Channel.ADMISSION, gateway.RevisionFetch(), 5.0)
        conn, _ = listener.accept()
        self.addCleanup(conn.close)
        _, number = read_frame(conn)
        return call, conn, number

    def test_a_reply_that_is_not_known_ends_no_other_call(self):
        call, conn, number = self.begin_call()
        conn.sendall(LATER + encode_frame(gateway.RevisionReply(revision=9), number))
        self.assertEqual(call.get(timeout=5.0), gateway.RevisionReply(revision=9))

    def test_a_call_whose_reply_is_not_known_may_have_run(self):
        """An acknowledgement would say that the peer didn't know the call."""
        call, conn, number = self.begin_call()
        conn.sendall(HEADER.pack(3, LATER_KIND, number) + b"new")
        with self.assertRaises(PeerUnavailableError) as caught:
            call.get(timeout=3.0)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)


class DatagramTest(unittest.TestCase):
    def setUp(self):
        self.log, self.now = RecordingEventLog(), 0.0
        self.peers = PeerView("me")
        fleet = mock.Mock(use=EngineUse(), listed_engines=list)
        identity = gateway.NodeStarted(node_id="me", incarnation=1, zone="z")
        clock = mock.Mock(monotonic=lambda: self.now)
        self.reports = LoadReports(
            PeerServices(identity, clock, self.log, mock.Mock(), fleet, self.peers, dict, None)
        )

    def told(self):
        return [(event, fields["count"]) for event, fields in self.log.written]

    def test_any_number_of_them_is_a_line_a_minute(self):
        for _ in range(100):
            self.now += 0.1
            self.reports.receive(LATER, "127.0.0.1:9")
        self.assertEqual(self.told(), [(Event.MESSAGES_NOT_KNOWN, 1)])
        self.now += UNKNOWN_MESSAGE_LOG_INTERVAL
        self.reports.receive(LATER, "127.0.0.1:9")
        self.assertEqual(self.told()[1:], [(Event.MESSAGES_NOT_KNOWN, 100)])

    def test_reports_beside_them_are_read(self):
        self.reports.receive(LATER, "127.0.0.1:9")
        report = LoadReport("a", 1, 1, zone="z")
        self.reports.receive(encode_frame(PackedReport(report.pack()), 0), "127.0.0.1:9")
        self.assertIsNotNone(self.peers.get("a"))


if __name__ == "__main__":
    unittest.main()
