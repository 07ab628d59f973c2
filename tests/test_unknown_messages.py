"""Messages of a kind that this build does not know do no harm and cause few log lines."""

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

UNKNOWN_KIND = 250
"""A message kind that no build uses."""
UNKNOWN_FRAME = HEADER.pack(3, UNKNOWN_KIND, 7) + b"new"


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

    def logged(self):
        return [event for event, _ in self.log.written]

    def test_other_calls_on_the_connection_are_answered(self):
        self.conn.sendall(UNKNOWN_FRAME + encode_frame(gateway.RevisionFetch(), 8))
        answers = {number: msg for msg, number in (read_frame(self.conn), read_frame(self.conn))}
        self.assertEqual(answers[8], gateway.RevisionReply(revision=9))
        self.assertEqual(answers[7], peer.Acknowledgement())

    def test_an_unknown_call_is_acknowledged_at_once(self):
        self.conn.sendall(UNKNOWN_FRAME)
        self.assertEqual(read_frame(self.conn), (peer.Acknowledgement(), 7))

    def test_unknown_calls_are_logged_once(self):
        self.conn.sendall(UNKNOWN_FRAME * 50)
        for _ in range(50):
            read_frame(self.conn)
        self.assertEqual(self.logged(), [Event.MESSAGES_NOT_KNOWN])

    def test_an_invalid_frame_still_closes_the_connection(self):
        self.conn.sendall(HEADER.pack(0xFFFF_FFFF, UNKNOWN_KIND, 7))
        with contextlib.suppress(ConnectionResetError):
            self.assertIsNone(read_frame(self.conn))
        self.assertEqual(self.logged(), [Event.PEER_MESSAGE_INVALID])


class ReplyTest(unittest.TestCase):
    def begin_call(self):
        """Start a call; return it with the peer's end of its connection and its number."""
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

    def test_an_unknown_reply_does_not_affect_other_calls(self):
        call, conn, number = self.begin_call()
        conn.sendall(UNKNOWN_FRAME + encode_frame(gateway.RevisionReply(revision=9), number))
        self.assertEqual(call.get(timeout=5.0), gateway.RevisionReply(revision=9))

    def test_a_call_with_an_unknown_reply_may_have_run(self):
        """Only an acknowledgement would mean that the peer does not know the call."""
        call, conn, number = self.begin_call()
        conn.sendall(HEADER.pack(3, UNKNOWN_KIND, number) + b"new")
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

    def logged(self):
        return [(event, fields["count"]) for event, fields in self.log.written]

    def test_unknown_datagrams_are_logged_once_a_minute(self):
        for _ in range(100):
            self.now += 0.1
            self.reports.receive(UNKNOWN_FRAME, "127.0.0.1:9")
        self.assertEqual(self.logged(), [(Event.MESSAGES_NOT_KNOWN, 1)])
        self.now += UNKNOWN_MESSAGE_LOG_INTERVAL
        self.reports.receive(UNKNOWN_FRAME, "127.0.0.1:9")
        self.assertEqual(self.logged()[1:], [(Event.MESSAGES_NOT_KNOWN, 100)])

    def test_reports_between_unknown_datagrams_are_handled(self):
        self.reports.receive(UNKNOWN_FRAME, "127.0.0.1:9")
        report = LoadReport("a", 1, 1, zone="z")
        self.reports.receive(encode_frame(PackedReport(report.pack()), 0), "127.0.0.1:9")
        self.assertIsNotNone(self.peers.get("a"))


if __name__ == "__main__":
    unittest.main()
